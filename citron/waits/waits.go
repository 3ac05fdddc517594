// Package waits sets how long to wait for answers of a service that is quick on most days and slow on some.
package waits

import (
	"sync/atomic"
	"time"
)

// Bounds are the least and the most time for which a service is waited for.
type Bounds struct {
	Min, Max time.Duration
}

// Timeout is a time limit that doubles when answers do not come in time and returns when they come quickly, so that a
// silent service is left soon and a slow one is not left for ever. The zero value works.
type Timeout struct {
	current atomic.Int64
}

// quickDivisor is the part of Least within which an answer counts as quick.
const quickDivisor = 2

// Current returns the limit for the next call.
func (l *Timeout) Current(b Bounds) time.Duration {
	return max(time.Duration(l.current.Load()), b.Min)
}

// TimedOut notes a call that was not answered in time.
func (l *Timeout) TimedOut(b Bounds) {
	l.current.Store(int64(min(2*l.Current(b), b.Max)))
}

// Answered notes how long an answer took.
func (l *Timeout) Answered(b Bounds, took time.Duration) {
	if took < b.Min/quickDivisor {
		l.current.Store(int64(b.Min))
	}
}
