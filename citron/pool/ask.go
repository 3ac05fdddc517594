package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// permitMargin is the life that a ticket must have left when a start is planned: one record and one order.
	permitMargin = 80 * time.Millisecond
	// askRetry is when an unanswered question is put again.
	askRetry = 100 * time.Millisecond
	// askMost is the number of workers in one question.
	askMost = 100
	// askAhead bounds the steps of one queue that hold answers without having started.
	askAhead = 16
	// renewSpare is how much earlier than needed tickets of a waiting gang are renewed.
	renewSpare = 150 * time.Millisecond
)

// ask puts a question to the policy service where the step lacks tickets.
func (b *board) ask(s *step) {
	queue := s.job.spec.GetQueue()
	if s.asking || len(s.permits) > 0 {
		b.asked[queue]++
	}
	if s.asking || b.now < s.askAfter || b.asked[queue] > askAhead {
		return
	}
	if s.covered == b.p.listVersion && b.soonestEnd(s) > b.now+s.askCost+renewSpare {
		return
	}
	a := s.job.spec.GetTerms().GetAdvice()
	known, unknown, seats := b.sorted(s)
	workers := append(known, unknown...)
	workers = workers[:min(len(workers), askMost)]
	if len(workers) == 0 {
		return
	}
	cost := time.Duration(a.GetDecideUs()+a.GetPerWorkerUs()*int64(len(workers))) * time.Microsecond
	enough := seats >= len(s.tasks) || len(unknown) == 0
	if enough && b.soonestEnd(s) > b.now+cost+renewSpare {
		s.covered, s.askCost = b.p.listVersion, cost
		return
	}
	vm, ok := b.p.Advisers.Assign(b.now, cost)
	if !ok {
		return
	}
	s.asking = true
	b.e.AdviceRequests = append(b.e.AdviceRequests, AdviceRequest{Step: s.ref, Workers: workers, VM: vm, Cost: cost})
	b.p.observe(Decision{Kind: DecidedAdviceRequest, Job: s.job.id, Task: citron.TaskRef(s.ref), Outcome: string(vm), Age: b.now - s.readyAt})
}

// sorted lists the workers that may run the step and those of which that is not known yet, most room first. Seats is
// how many tasks the former could run if they were empty.
func (b *board) sorted(s *step) (known, unknown []citron.Worker, seats int) {
	for _, w := range b.candidates(s) {
		allowed, asked := s.eligible[w.entry.ID]
		switch {
		case !asked:
			unknown = append(unknown, w.entry.ID)
		case allowed:
			known = append(known, w.entry.ID)
			seats += w.entry.Capacity.MaxCopies(s.need)
		}
	}
	return known, unknown, seats
}

// candidates lists the workers that could take tasks of the step if they were allowed to, most room first. Workers
// that have not answered yet are among them: they will have by the time they are needed.
func (b *board) candidates(s *step) (list []*worker) {
	for _, w := range b.p.order {
		if w.listed && !w.dead && !w.entry.Draining && w.entry.Service == citron.Service(s.job.spec.GetTerms().GetService()) &&
			w.entry.HasLabel(s.spec.GetRequires()) && w.entry.Capacity.Fits(s.need) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(y.free().MilliCores, x.free().MilliCores), cmp.Compare(x.entry.ID, y.entry.ID))
	})
	return list
}

// soonestEnd is when the first ticket that is still good lapses; the zero time if none is.
func (b *board) soonestEnd(s *step) (soonest time.Duration) {
	for _, r := range s.permits {
		if r.until > b.now+permitMargin && (soonest == 0 || r.until < soonest) {
			soonest = r.until
		}
	}
	return soonest
}
