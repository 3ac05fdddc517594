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
	a := s.job.spec.GetTerms().GetAdvice()
	workers := b.unasked(s)
	if len(workers) == 0 {
		workers = b.renewable(s)
	}
	if len(workers) == 0 {
		return
	}
	cost := time.Duration(a.GetDecideUs()+a.GetPerWorkerUs()*int64(len(workers))) * time.Microsecond
	if len(s.eligible) > 0 && b.soonestEnd(s) > b.now+cost+renewSpare {
		return
	}
	vm, ok := b.p.Advisers.Assign(b.now, cost)
	if !ok {
		return
	}
	s.asking = true
	b.e.Asks = append(b.e.Asks, Ask{Step: s.ref, Workers: workers, VM: vm, Cost: cost})
	b.p.observe(Decision{Kind: DecidedAsk, Job: s.job.id, Task: citron.TaskRef(s.ref), Outcome: string(vm), Age: b.now - s.readyAt})
}

// unasked lists the workers that the policy service has not been asked about, those with the most room first. Once
// there are answers, only a lack of workers is a reason to ask about more.
func (b *board) unasked(s *step) (ids []citron.Worker) {
	if slices.ContainsFunc(b.candidates(s), func(w *worker) bool { return s.eligible[w.entry.ID] }) {
		return nil
	}
	for _, w := range b.candidates(s) {
		if _, known := s.eligible[w.entry.ID]; !known && len(ids) < askMost {
			ids = append(ids, w.entry.ID)
		}
	}
	return ids
}

// renewable lists the workers that may run the step.
func (b *board) renewable(s *step) (ids []citron.Worker) {
	for _, w := range b.candidates(s) {
		if s.eligible[w.entry.ID] && len(ids) < askMost {
			ids = append(ids, w.entry.ID)
		}
	}
	return ids
}

// candidates lists the workers that could take tasks of the step if they were allowed to, most room first.
func (b *board) candidates(s *step) (list []*worker) {
	for _, w := range b.p.workers {
		if w.usable(b.now) && w.entry.Service == citron.Service(s.job.spec.GetTerms().GetService()) &&
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
