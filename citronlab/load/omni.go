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
	free := &freeTimes{}
	for range slots {
		heap.Push(free, time.Duration(0))
	}
	queue := &waitingCalls{calls: calls, urgency: rank}
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

// freeTimes are the times at which slots come free.
type freeTimes []time.Duration

func (e freeTimes) Len() int           { return len(e) }
func (e freeTimes) Less(i, j int) bool { return e[i] < e[j] }
func (e freeTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *freeTimes) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *freeTimes) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// waitingCalls are the waiting calls, by rank and arrival.
type waitingCalls struct {
	calls   []Call
	urgency []int
	indexes []int
}

func (r *waitingCalls) Len() int { return len(r.indexes) }
func (r *waitingCalls) Less(i, j int) bool {
	a, b := r.indexes[i], r.indexes[j]
	if ra, rb := r.urgency[r.calls[a].Stream], r.urgency[r.calls[b].Stream]; ra != rb {
		return ra < rb
	}
	return a < b
}
func (r *waitingCalls) Swap(i, j int) { r.indexes[i], r.indexes[j] = r.indexes[j], r.indexes[i] }
func (r *waitingCalls) Push(x any)    { r.indexes = append(r.indexes, x.(int)) }
func (r *waitingCalls) Pop() any {
	last := len(r.indexes) - 1
	x := r.indexes[last]
	r.indexes = r.indexes[:last]
	return x
}
