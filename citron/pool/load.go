package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Lateness tells what the result of a job is still worth to its caller.
type Lateness int

// Kinds of lateness.
const (
	// InTime means that the job can still meet its objective.
	InTime Lateness = iota
	// Late means that its result is worth less.
	Late
	// TooLate means that its result is worth nothing.
	TooLate
	latenessKinds
)

// LatenessNames are the kinds of lateness as written to logs, in their order.
var LatenessNames = [latenessKinds]string{"InTime", "Late", "TooLate"}

// QueueUse is what one queue waits for and uses, by lateness. Starts and Advice cover the time since the last UseByQueue.
type QueueUse struct {
	Queue citron.QueueName
	// Waiting counts the ready steps with waiting tasks, Advised those of them that have tickets or a request under way.
	Waiting, Advised [latenessKinds]int
	// Cores are used by runs.
	Cores [latenessKinds]float64
	// Starts counts the planned runs, Advice is the time of the policy service that was asked for.
	Starts [latenessKinds]int
	Advice [latenessKinds]time.Duration
}

// Use is the capacity of the usable workers and what the queues do with it.
type Use struct {
	Capacity, Free citron.Capacity
	Queues         []QueueUse
}

// useByQueue counts starts and requests by queue.
type useByQueue map[citron.QueueName]*QueueUse

// of returns the counts of the queue of a step.
func (u useByQueue) of(s *step) *QueueUse {
	name := citron.QueueName(s.job.spec.GetQueue())
	if u[name] == nil {
		u[name] = &QueueUse{Queue: name}
	}
	return u[name]
}

// latenessOf returns the lateness of a step whose remaining tasks start now.
func (p *Pool) latenessOf(now time.Duration, s *step) Lateness {
	end := now + p.expectedOf(s)
	switch objective := s.deadline - s.job.accepted; {
	case end <= s.deadline:
		return InTime
	case end <= s.job.accepted+tooLateFactor*objective:
		return Late
	}
	return TooLate
}

// UseByQueue returns what the queues use and need now, and begins to count starts and requests anew. Runs count by what their
// job is worth if they end as expected.
func (p *Pool) UseByQueue(now time.Duration) (u Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range slices.Concat(p.waiting, p.idle) {
		if s.job.terminal || s.waitingTasks() == 0 {
			continue
		}
		q, l := p.used.of(s), p.latenessOf(now, s)
		q.Waiting[l]++
		if s.advised(now) {
			q.Advised[l]++
		}
	}
	for _, w := range p.byID {
		if w.usable(now) {
			u.Capacity, u.Free = u.Capacity.Add(w.entry.Capacity), u.Free.Add(w.free())
		}
		for _, t := range w.tasks {
			p.used.of(t.step).Cores[p.latenessOf(min(t.startedAt, now), t.step)] += float64(t.step.need.MilliCores) / 1000
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.used)) {
		u.Queues = append(u.Queues, *p.used[name])
	}
	p.used = useByQueue{}
	return u
}
