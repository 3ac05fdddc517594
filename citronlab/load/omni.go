package load

import (
	"container/heap"
	"time"
)

// Omniscient returns how long each call would wait in one queue that sees every slot, serves by rank (lower first)
// and then by arrival, and gives a call up that cannot start before its limit. Waits of calls that were given up
// are negative.
func Omniscient(calls []Call, slots int, rank []int, limit []time.Duration) []time.Duration {
	waits := make([]time.Duration, len(calls))
	free := &ends{}
	for range slots {
		heap.Push(free, time.Duration(0))
	}
	queue := &ranked{calls: calls, rank: rank}
	next := 0
	for next < len(calls) || queue.Len() > 0 {
		now := (*free)[0]
		if queue.Len() == 0 {
			now = max(now, calls[next].At)
		}
		for next < len(calls) && calls[next].At <= now {
			heap.Push(queue, next)
			next++
		}
		n := heap.Pop(queue).(int)
		waits[n] = now - calls[n].At
		if waits[n] > limit[calls[n].Stream] {
			waits[n] = -1
			continue
		}
		heap.Pop(free)
		heap.Push(free, now+calls[n].RunTime)
	}
	return waits
}

// ends are the times at which slots come free.
type ends []time.Duration

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i] < e[j] }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *ends) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// ranked are the waiting calls, by rank and arrival.
type ranked struct {
	calls []Call
	rank  []int
	order []int
}

func (r *ranked) Len() int { return len(r.order) }
func (r *ranked) Less(i, j int) bool {
	a, b := r.order[i], r.order[j]
	if ra, rb := r.rank[r.calls[a].Stream], r.rank[r.calls[b].Stream]; ra != rb {
		return ra < rb
	}
	return a < b
}
func (r *ranked) Swap(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] }
func (r *ranked) Push(x any)    { r.order = append(r.order, x.(int)) }
func (r *ranked) Pop() any {
	last := len(r.order) - 1
	x := r.order[last]
	r.order = r.order[:last]
	return x
}
