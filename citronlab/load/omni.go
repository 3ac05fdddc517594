package load

import (
	"container/heap"
	"time"
)

// Omniscient returns the wait of each call in a simulation of one queue that sees every slot. The queue serves calls by
// urgency (lower values first) and then by arrival, and drops a call that cannot start within the maximum wait. The wait
// of a dropped call is negative. Calls must be sorted by arrival; urgencies and maxWaits are indexed by stream.
func Omniscient(calls []Call, slots int, urgencies []int, maxWaits []time.Duration) []time.Duration {
	waits := make([]time.Duration, len(calls))
	free := &freeTimes{}
	for range slots {
		heap.Push(free, time.Duration(0))
	}
	queue := &waitingCalls{calls: calls, urgencies: urgencies}
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
		if waits[n] > maxWaits[calls[n].Stream] {
			waits[n] = -1
			continue
		}
		heap.Pop(free)
		heap.Push(free, now+calls[n].RunTime)
	}
	return waits
}

// freeTimes is a heap of the times at which the slots become free.
type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeTimes) Push(x any)        { *f = append(*f, x.(time.Duration)) }
func (f *freeTimes) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}

// waitingCalls is a heap of the indexes of waiting calls, by urgency and arrival.
type waitingCalls struct {
	calls     []Call
	urgencies []int
	indexes   []int
}

func (w *waitingCalls) Len() int { return len(w.indexes) }
func (w *waitingCalls) Less(i, j int) bool {
	a, b := w.indexes[i], w.indexes[j]
	if ua, ub := w.urgencies[w.calls[a].Stream], w.urgencies[w.calls[b].Stream]; ua != ub {
		return ua < ub
	}
	return a < b
}
func (w *waitingCalls) Swap(i, j int) { w.indexes[i], w.indexes[j] = w.indexes[j], w.indexes[i] }
func (w *waitingCalls) Push(x any)    { w.indexes = append(w.indexes, x.(int)) }
func (w *waitingCalls) Pop() any {
	last := len(w.indexes) - 1
	x := w.indexes[last]
	w.indexes = w.indexes[:last]
	return x
}
