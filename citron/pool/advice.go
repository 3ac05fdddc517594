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
	// adviceRetry is when an unanswered question is put again.
	adviceRetry = 100 * time.Millisecond
	// maxAdviceWorkers is the number of workers in one question.
	maxAdviceWorkers = 100
	// maxAdvisedSteps bounds the steps of one queue that hold answers without having started.
	maxAdvisedSteps = 16
	// renewMargin is how much earlier than needed tickets of a waiting gang are renewed.
	renewMargin = 150 * time.Millisecond
)

// requestAdvice puts a question to the policy service where the step lacks tickets.
func (b *waitingPass) requestAdvice(s *step) {
	queue := s.job.spec.GetQueue()
	if s.advicePending || len(s.permits) > 0 {
		b.advisedSteps[queue]++
	}
	if s.advicePending || b.now < s.adviceRetryAt || b.advisedSteps[queue] > maxAdvisedSteps {
		return
	}
	if s.coveredVersion == b.pool.listVersion && b.earliestExpiry(s) > b.now+s.adviceCost+renewMargin {
		return
	}
	a := s.job.spec.GetTerms().GetAdvice()
	known, unknown, seats := b.splitByAdvice(s)
	workers := append(known, unknown...)
	workers = workers[:min(len(workers), maxAdviceWorkers)]
	if len(workers) == 0 {
		return
	}
	cost := time.Duration(a.GetDecideUs()+a.GetPerWorkerUs()*int64(len(workers))) * time.Microsecond
	enough := seats >= len(s.tasks) || len(unknown) == 0
	if enough && b.earliestExpiry(s) > b.now+cost+renewMargin {
		s.coveredVersion, s.adviceCost = b.pool.listVersion, cost
		return
	}
	vm, ok := b.pool.Advisers.Assign(b.now, cost)
	if !ok {
		return
	}
	s.advicePending = true
	b.effects.AdviceRequests = append(b.effects.AdviceRequests, AdviceRequest{Step: s.ref, Workers: workers, VM: vm, Cost: cost})
	b.pool.observe(Decision{Kind: DecidedAdviceRequest, Job: s.job.id, Task: citron.TaskRef(s.ref), Outcome: string(vm), Age: b.now - s.readyAt})
}

// splitByAdvice lists the workers that may run the step and those of which that is not known yet, most room first. Seats is
// how many tasks the former could run if they were empty.
func (b *waitingPass) splitByAdvice(s *step) (known, unknown []citron.Worker, seats int) {
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
func (b *waitingPass) candidates(s *step) (list []*worker) {
	for _, w := range b.pool.byID {
		if w.listed && !w.gone && !w.entry.Draining && w.entry.Service == citron.Service(s.job.spec.GetTerms().GetService()) &&
			w.entry.HasLabel(s.spec.GetRequires()) && w.entry.Capacity.Fits(s.need) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(y.free().MilliCores, x.free().MilliCores), cmp.Compare(x.entry.ID, y.entry.ID))
	})
	return list
}

// earliestExpiry is when the first ticket that is still good lapses; the zero time if none is.
func (b *waitingPass) earliestExpiry(s *step) (soonest time.Duration) {
	for _, r := range s.permits {
		if r.expires > b.now+permitMargin && (soonest == 0 || r.expires < soonest) {
			soonest = r.expires
		}
	}
	return soonest
}
