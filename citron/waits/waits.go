// Package waits adapts timeouts to a service that usually answers quickly but is slow at times.
package waits

import (
	"sync/atomic"
	"time"
)

// Bounds are the minimum and the maximum of a timeout.
type Bounds struct {
	Min, Max time.Duration
}

// Timeout is an adaptive timeout. It doubles when a call times out and returns to the minimum after a quick answer, so
// that calls to an unresponsive service fail early and calls to a slow one do not fail for ever. The zero value works.
type Timeout struct {
	// current is in nanoseconds; 0 stands for the minimum.
	current atomic.Int64
}

// quickDivisor sets which answers are quick: those within Bounds.Min / quickDivisor.
const quickDivisor = 2

// Current returns the timeout of the next call.
func (t *Timeout) Current(b Bounds) time.Duration {
	return max(time.Duration(t.current.Load()), b.Min)
}

// TimedOut records a call that was not answered in time.
func (t *Timeout) TimedOut(b Bounds) {
	t.current.Store(int64(min(2*t.Current(b), b.Max)))
}

// Answered records how long an answer took.
func (t *Timeout) Answered(b Bounds, took time.Duration) {
	if took < b.Min/quickDivisor {
		t.current.Store(int64(b.Min))
	}
}

// transferPerByte is the time per byte that is added for the transfer of a message: a link of 2 Mbit/s, the slowest that a
// daemon has, shared with as much other traffic.
const transferPerByte = 8 * time.Microsecond

// Transfer returns the time to add to a timeout for the transfer of a message of some size.
func Transfer(bytes int) time.Duration {
	return time.Duration(bytes) * transferPerByte
}
