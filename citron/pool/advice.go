package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// minTicketValidity is the validity that a ticket must have left when a start is planned, enough for storing a record
	// and sending an order.
	minTicketValidity = 80 * time.Millisecond
	// adviceRetry is the delay before an unanswered request is repeated.
	adviceRetry = 100 * time.Millisecond
	// maxAdviceWorkers is the maximum number of workers in one request.
	maxAdviceWorkers = 100
	// maxAdvisedSteps is the maximum number of waiting steps of one queue that have tickets or a pending request.
	maxAdvisedSteps = 16
	// ticketRenewMargin is added to the cost of a request to get how long before expiry the tickets of a waiting step are
	// requested again.
	ticketRenewMargin = 150 * time.Millisecond
)

// requestAdvice adds a request to the policy service if the step has too few tickets or they expire soon.
func (wp *waitingPass) requestAdvice(s *step) {
	queue := s.job.spec.GetQueue()
	if s.advicePending || len(s.permits) > 0 {
		wp.advisedSteps[queue]++
	}
	if s.advicePending || wp.now < s.adviceRetryAt || wp.advisedSteps[queue] > maxAdvisedSteps {
		return
	}
	if s.coveredVersion == wp.pool.listVersion && wp.earliestExpiry(s) > wp.now+s.adviceCost+ticketRenewMargin {
		return
	}
	a := s.job.spec.GetTerms().GetAdvice()
	allowed, undecided, slots := wp.splitByAdvice(s)
	workers := append(allowed, undecided...)
	workers = workers[:min(len(workers), maxAdviceWorkers)]
	if len(workers) == 0 {
		return
	}
	cost := time.Duration(a.GetDecideUs()+a.GetPerWorkerUs()*int64(len(workers))) * time.Microsecond
	enough := slots >= len(s.tasks) || len(undecided) == 0
	if enough && wp.earliestExpiry(s) > wp.now+cost+ticketRenewMargin {
		s.coveredVersion, s.adviceCost = wp.pool.listVersion, cost
		return
	}
	vm, ok := wp.pool.Advisers.Assign(wp.now, cost)
	if !ok {
		return
	}
	s.advicePending = true
	wp.effects.AdviceRequests = append(wp.effects.AdviceRequests, AdviceRequest{Step: s.ref, Workers: workers, VM: vm, Cost: cost})
	wp.pool.observe(Decision{Kind: DecidedAdviceRequest, Job: s.job.id, Task: citron.TaskRef(s.ref), Outcome: string(vm), Age: wp.now - s.readyAt})
}

// splitByAdvice returns the candidates that may run the step and those that the policy service has not decided on, most
// free cores first. Slots is how many tasks the allowed workers could run if they were empty.
func (wp *waitingPass) splitByAdvice(s *step) (allowed, undecided []citron.Worker, slots int) {
	for _, w := range wp.candidates(s) {
		eligible, decided := s.eligible[w.entry.ID]
		switch {
		case !decided:
			undecided = append(undecided, w.entry.ID)
		case eligible:
			allowed = append(allowed, w.entry.ID)
			slots += w.entry.Capacity.MaxCopies(s.need)
		}
	}
	return allowed, undecided, slots
}

// candidates returns the listed workers whose service, label and capacity suit the step, most free cores first. It
// includes workers without a report in this epoch, since they will have reported by the time that they are needed.
func (wp *waitingPass) candidates(s *step) (list []*worker) {
	for _, w := range wp.pool.byID {
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

// earliestExpiry returns when the first of the usable tickets expires, or 0 if there is none.
func (wp *waitingPass) earliestExpiry(s *step) (earliest time.Duration) {
	for _, r := range s.permits {
		if r.expires > wp.now+minTicketValidity && (earliest == 0 || r.expires < earliest) {
			earliest = r.expires
		}
	}
	return earliest
}
