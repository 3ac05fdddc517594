// Package waits sets how long to wait for answers of a service that is quick on most days and slow on some.
package waits

import (
	"sync/atomic"
	"time"
)

// Bounds are the least and the most time for which a service is waited for.
type Bounds struct {
	Least, Most time.Duration
}

// Limit is a time limit that doubles when answers do not come in time and returns when they come quickly, so that a
// silent service is left soon and a slow one is not left for ever. The zero value works.
type Limit struct {
	now atomic.Int64
}

// quickShare is the part of Least within which an answer counts as quick.
const quickShare = 2

// Now returns the limit for the next call.
func (l *Limit) Now(b Bounds) time.Duration {
	return max(time.Duration(l.now.Load()), b.Least)
}

// Late notes a call that was not answered in time.
func (l *Limit) Late(b Bounds) {
	l.now.Store(int64(min(2*l.Now(b), b.Most)))
}

// Answered notes how long an answer took.
func (l *Limit) Answered(b Bounds, took time.Duration) {
	if took < b.Least/quickShare {
		l.now.Store(int64(b.Least))
	}
}
