package spawn

import (
	"context"
	"sync"
)

// Queue runs exchanges of a group, at most Max of them at once and the others in turn. One that waits takes no goroutine.
type Queue struct {
	Group *Group
	// Max is the number of exchanges that run at once; 0 means any number.
	Max int

	mu      sync.Mutex
	running int
	waiting []func(ctx context.Context)
}

// Go runs f as an exchange once fewer than Max others run.
func (q *Queue) Go(f func(ctx context.Context)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.Max > 0 && q.running >= q.Max {
		q.waiting = append(q.waiting, f)
		return
	}
	q.running++
	q.Group.Go(func(ctx context.Context) {
		for ; f != nil; f = q.next() {
			f(ctx)
		}
	})
}

// next returns the exchange that has waited for longest, nil if there is none.
func (q *Queue) next() (f func(ctx context.Context)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.running--
		return nil
	}
	f, q.waiting[0] = q.waiting[0], nil
	q.waiting = q.waiting[1:]
	return f
}
