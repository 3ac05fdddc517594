// Package waits sets how long to wait for answers of a service that is quick on most days and slow on some.
package waits

import (
	"sync/atomic"
	"time"
)

// Limit is a time limit that doubles when answers do not come in time and returns when they come quickly, so that a
// silent service is left soon and a slow one is not left for ever. Set Least and Most before use.
type Limit struct {
	Least, Most time.Duration

	now atomic.Int64
}

// quickShare is the part of Least within which an answer counts as quick.
const quickShare = 2

// Now returns the limit for the next call.
func (l *Limit) Now() time.Duration {
	return max(time.Duration(l.now.Load()), l.Least)
}

// Late notes a call that was not answered in time.
func (l *Limit) Late() {
	l.now.Store(int64(min(2*l.Now(), l.Most)))
}

// Answered notes how long an answer took.
func (l *Limit) Answered(took time.Duration) {
	if took < l.Least/quickShare {
		l.now.Store(int64(l.Least))
	}
}
