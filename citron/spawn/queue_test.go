package spawn

import (
	"context"
	"slices"
	"sync"
	"testing"
)

// Guards against a gang of thousands of tasks, each of whose orders takes a goroutine and a connection at the same time.
func TestQueueRunsAFewExchangesAtOnce(t *testing.T) {
	const total = 2000
	for _, most := range []int{1, 7, 0} {
		q := &Queue{Group: &Group{}, Max: most}
		var mu sync.Mutex
		running, peak := 0, 0
		var order []int
		block := make(chan struct{})
		for n := range total {
			q.Go(func(context.Context) {
				mu.Lock()
				running++
				peak = max(peak, running)
				order = append(order, n)
				mu.Unlock()
				<-block
				mu.Lock()
				running--
				mu.Unlock()
			})
		}
		close(block)
		<-q.Group.Idle()
		if len(order) != total || most > 0 && peak > most {
			t.Errorf("at most %d at once: %d of %d exchanges have run, %d at once", most, len(order), total, peak)
		}
		if most == 1 && !slices.IsSorted(order) {
			t.Error("exchanges that wait do not run in turn")
		}
	}
}

// Guards against exchanges that are left when their component ends, and against a queue that does not run again after it was empty.
func TestQueueEndsWithItsGroup(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := &Group{}
	g.SetContext(ctx)
	q := &Queue{Group: g, Max: 2}
	for range 3 {
		ended := make(chan error, 10)
		for range 10 {
			q.Go(func(ctx context.Context) { <-ctx.Done(); ended <- ctx.Err() })
		}
		cancel()
		<-g.Idle()
		if len(ended) != 10 {
			t.Errorf("%d of 10 exchanges have ended with their group", len(ended))
		}
		if q.running != 0 || len(q.waiting) != 0 {
			t.Errorf("%d run and %d wait after the end", q.running, len(q.waiting))
		}
	}
}
