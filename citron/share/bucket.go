// Package share decides which team gets scarce capacity. Its decisions rest on what the caller passes in; it has no
// goroutines, sockets or clocks.
//
// It answers this load: teams with skewed weights on a cluster that is 83 % used, bursts of one queue by 2.5, and single
// teams that send 7.5 times their usual load.
package share

import "time"

// Bucket is a token bucket. The zero value is full.
type Bucket struct {
	// spent is the number of tokens missing from a full bucket at the time at.
	spent float64
	at    time.Duration
}

// Take takes a token and reports whether there was one. The bucket gains rate tokens per second up to burst. Times may go
// back, which adds no tokens.
func (b *Bucket) Take(rate, burst float64, at time.Duration) bool {
	// The burst may have been larger before.
	b.spent = min(b.spent, burst)
	if at > b.at {
		b.spent = max(b.spent-rate*(at-b.at).Seconds(), 0)
		b.at = at
	}
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
