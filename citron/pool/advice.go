package pool

import (
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
)

const (
	// minTicketValidity is the validity that a ticket must have left when a start is planned, enough for storing a record
	// and sending an order.
	minTicketValidity = 80 * time.Millisecond
	// adviceRetry is the delay before an unanswered request is repeated.
	adviceRetry = 100 * time.Millisecond
	// maxAdviceWorkers is the maximum number of workers in one request.
	maxAdviceWorkers = 100
	// maxAdviseAll is the number of candidates up to which a request covers all of them.
	maxAdviseAll = 64
	// minAdviceWorkers is the number of workers in a request that is not exceeded unless the tasks are expected not to fit.
	minAdviceWorkers = 16
	// adviceMargin is the factor by which the room on the workers asked about is expected to exceed the waiting tasks. Other
	// steps take a part of that room before the answer is there.
	adviceMargin = 3
	// adviceCheckInterval is the time after which it is checked again whether a waiting step needs more advice.
	adviceCheckInterval = 60 * time.Millisecond
	// priorPermitShare is the expected share of permitted workers before any answer; it counts like priorDecisions decisions.
	priorPermitShare = 0.4
	priorDecisions   = 50
	// minAdvisedSteps is the number of waiting steps of one queue that may have tickets or a pending request in any pool.
	// Large pools may have one for each worker, provided that renewing the tickets of all of them takes no more than the time of
	// one daemon for each workersPerAdviser workers.
	minAdvisedSteps   = 16
	workersPerAdviser = 60
	// ticketRenewMargin is added to the cost of a request to get how long before expiry the tickets of a waiting step are
	// requested again.
	ticketRenewMargin = 150 * time.Millisecond
)

// requestAdvice adds a request to the policy service if the step has too few tickets or they expire soon.
func (wp *waitingPass) requestAdvice(s *step) {
	if !s.advised(wp.now) && !wp.adviserFree(s) {
		return
	}
	if may := wp.mayAsk(s); !may || s.advicePending || wp.now < s.adviceRetryAt {
		return
	}
	if s.coveredVersion == wp.pool.listVersion && wp.earliestExpiry(s) > wp.now+s.adviceCost+ticketRenewMargin || wp.now < s.adviceCheckAt {
		return
	}
	if !wp.adviserFree(s) {
		return
	}
	workers, enough := wp.selectAdvised(s)
	if len(workers) == 0 {
		return
	}
	cost := adviceCost(s, len(workers))
	if enough && wp.earliestExpiry(s) > wp.now+cost+ticketRenewMargin {
		s.coveredVersion, s.adviceCost = wp.pool.listVersion, cost
		return
	}
	vm, ok := wp.pool.Advisers.Assign(wp.now, cost, wp.urgent(s))
	if !ok {
		return
	}
	s.advicePending = true
	if s.askedAt == 0 {
		s.askedAt = wp.now
	}
	wp.pool.used.of(s).Advice[wp.pool.latenessOf(wp.now, s)] += cost
	wp.effects.AdviceRequests = append(wp.effects.AdviceRequests, AdviceRequest{Step: s.ref, Workers: workers, VM: vm, Cost: cost})
	wp.pool.observe(Decision{Kind: DecidedAdviceRequest, Job: s.job.id, Task: citron.TaskRef(s.ref), Outcome: string(vm), Age: wp.now - s.readyAt})
}

// adviceKind distinguishes the requests that daemons may be free for while they are busy for others.
type adviceKind struct{ long, urgent bool }

// adviserFree reports whether a daemon is free for a request for a step. If none was, none is for the rest of the pass.
func (wp *waitingPass) adviserFree(s *step) bool {
	cost := adviceCost(s, minAdviceWorkers)
	kind := adviceKind{advice.IsLong(cost), wp.urgent(s)}
	if wp.busyAdvisers[kind] {
		return false
	}
	if wp.pool.Advisers.Available(wp.now, cost, kind.urgent) {
		return true
	}
	if wp.busyAdvisers == nil {
		wp.busyAdvisers = map[adviceKind]bool{}
	}
	wp.busyAdvisers[kind] = true
	return false
}

// urgent reports whether a request for a step must not wait behind others.
func (wp *waitingPass) urgent(s *step) bool {
	return s.priority() == 0 && wp.pool.latenessOf(wp.now, s) == InTime
}

// mayAsk reports whether a step may have tickets now. The first steps of each queue may, so that they find theirs valid once there
// is room; others only as far as there is room for them. Without the latter a few steps that fit nowhere keep all others from
// their tickets, however small those are.
func (wp *waitingPass) mayAsk(s *step) bool {
	queue := s.job.spec.GetQueue()
	if s.advised(wp.now) {
		wp.advisedSteps[queue]++
	}
	return wp.advisedSteps[queue] <= wp.maxAdvisedSteps(s) && !wp.waitsForGangs(s) || wp.claimRoom(s)
}

// waitsForGangs reports whether a step is a gang that has been decided on and comes after those that reserve capacity. Renewing its
// tickets before it fits would take up the policy service to no use.
func (wp *waitingPass) waitsForGangs(s *step) bool {
	return s.spec.GetGang() && len(s.eligible) > 0 && wp.reservingGangs >= maxReservingGangs
}

// needsTicket reports whether tasks of the step start only with a ticket of the policy service.
func (s *step) needsTicket() bool { return s.job.spec.GetTerms().GetAdvice() != nil }

// hasTicket reports whether a ticket of the step may be valid.
func (s *step) hasTicket(now time.Duration) bool { return s.ticketsUntil > now+minTicketValidity }

// advised reports whether a step has a valid ticket or waits for the answer to a request.
func (s *step) advised(now time.Duration) bool {
	return s.advicePending || s.hasTicket(now)
}

// claimRoom reports whether there is room for the waiting tasks of a step on the workers that it may use, as far as that is known,
// and takes it from what is left for further steps in this pass.
func (wp *waitingPass) claimRoom(s *step) bool {
	tasks := 1
	if s.spec.GetGang() {
		tasks = s.tasks.size
	}
	need, found := s.need.Times(s.waitingTasks()), 0
	if !wp.unclaimedRoom(s).Fits(s.need.Times(tasks)) {
		return false
	}
	for _, c := range wp.roomy(s) {
		eligible, decided := s.eligible[c.worker.entry.ID]
		if (eligible || !decided) && !wp.closed[c.worker] && c.worker.usable(wp.now) {
			found += s.copiesOn(c.worker)
		}
		if found >= tasks {
			*wp.unclaimedRoom(s) = wp.unclaimedRoom(s).Sub(need).AtLeastZero()
			return true
		}
	}
	return false
}

// unclaimedRoom returns the free capacity of the usable workers of the service of a step that no claimRoom has taken.
func (wp *waitingPass) unclaimedRoom(s *step) *citron.Capacity {
	left, known := wp.unclaimed[s.service()]
	if known {
		return left
	}
	free := *wp.freeRoom(s.service())
	left = &free
	if wp.unclaimed == nil {
		wp.unclaimed = map[citron.Service]*citron.Capacity{}
	}
	wp.unclaimed[s.service()] = left
	return left
}

// maxAdvisedSteps returns the maximum number of waiting steps of the queue of s that have tickets or a pending request. It
// grows with the pool, since the rate of jobs does, while the time for an answer does not. Steps whose tickets take long to
// renew are fewer: in an overloaded pool they would take up all time of the policy service.
func (wp *waitingPass) maxAdvisedSteps(s *step) int {
	workers := len(wp.pool.byID)
	valid := time.Duration(s.job.spec.GetTerms().GetAdvice().GetValidMs()) * time.Millisecond
	renewable := int(valid * time.Duration(workers/workersPerAdviser) / max(adviceCost(s, 2*minAdviceWorkers), time.Millisecond))
	return max(minAdvisedSteps, min(workers, renewable))
}

// adviceCost returns the time that the policy service takes to decide on a number of workers for a step.
func adviceCost(s *step, workers int) time.Duration {
	a := s.job.spec.GetTerms().GetAdvice()
	return time.Duration(a.GetDecideUs()+a.GetPerWorkerUs()*int64(workers)) * time.Microsecond
}

// selectAdvised returns the workers to request advice on for a step. Enough is set if the decisions so far suffice.
func (wp *waitingPass) selectAdvised(s *step) (workers []citron.Worker, enough bool) {
	candidates := wp.candidates(s)
	if len(candidates) > maxAdviseAll {
		return wp.selectLikely(s, candidates)
	}
	allowed, undecided, slots := splitByAdvice(s, candidates)
	return append(allowed, undecided...), slots >= s.tasks.size || len(undecided) == 0
}

// splitByAdvice returns the candidates that may run the step and those that the policy service has not decided on. Slots is
// how many tasks the allowed workers could run if they were empty.
func splitByAdvice(s *step, candidates []*worker) (allowed, undecided []citron.Worker, slots int) {
	for _, w := range candidates {
		eligible, decided := s.eligible[w.entry.ID]
		switch {
		case !decided:
			undecided = append(undecided, w.entry.ID)
		case eligible:
			allowed = append(allowed, w.entry.ID)
			slots += s.copiesOnEmpty(w)
		}
	}
	return allowed, undecided, slots
}

// selectLikely returns a part of many candidates: those that may run the step, then as many of the undecided ones as are
// expected to hold adviceMargin times its waiting tasks. Those with room come first, in an order that differs from step to
// step, so that steps waiting at the same time do not ask about the same workers.
//
// A service step does not wait for room on the workers that it may use: their tasks may run for as long as its own, and its
// callers are without it for all of that time. It asks about full workers too, so that it can take the first room anywhere.
func (wp *waitingPass) selectLikely(s *step, candidates []*worker) (workers []citron.Worker, enough bool) {
	var withRoom, full []*worker
	roomNow, slots := 0, 0
	for _, w := range candidates {
		eligible, decided := s.eligible[w.entry.ID]
		copies := s.copiesOn(w)
		switch {
		case eligible:
			workers = append(workers, w.entry.ID)
			roomNow += copies
			slots += s.copiesOnEmpty(w)
		case decided:
		case copies > 0:
			withRoom = append(withRoom, w)
		default:
			full = append(full, w)
		}
	}
	waiting := s.waitingTasks()
	waitsForRoom := slots >= s.tasks.size && !s.spec.GetService() || len(workers) >= maxAdviceWorkers
	if roomNow >= waiting || len(withRoom) == 0 && (waitsForRoom || len(full) == 0) {
		s.adviceCheckAt = wp.now + adviceCheckInterval
		return workers[:min(len(workers), maxAdviceWorkers)], true
	}
	wp.spread(s, withRoom)
	share := wp.pool.permitShare(s.job.spec.GetQueue())
	expected := float64(roomNow)
	for _, w := range append(withRoom, full...) {
		if len(workers) >= maxAdviceWorkers || len(workers) >= minAdviceWorkers && expected >= adviceMargin*float64(waiting) {
			break
		}
		workers = append(workers, w.entry.ID)
		expected += share * float64(max(s.copiesOn(w), 1))
	}
	return workers, false
}

// copiesOn returns how many more tasks of the step a worker has room for.
func (s *step) copiesOn(w *worker) int {
	copies := w.free().MaxCopies(s.need)
	if limit := int(s.spec.GetPerWorker()); limit > 0 {
		copies = min(copies, max(limit-s.counts.onWorker[w], 0))
	}
	return copies
}

// copiesOnEmpty returns how many tasks of the step a worker could run if it were empty.
func (s *step) copiesOnEmpty(w *worker) int {
	copies := w.entry.Capacity.MaxCopies(s.need)
	if limit := int(s.spec.GetPerWorker()); limit > 0 {
		copies = min(copies, limit)
	}
	return copies
}

// permitCount counts for one queue on how many workers the policy service decided and how many of them it permitted.
type permitCount struct {
	decided, permitted float64
}

// permitShare returns the share of workers that the policy service is expected to permit for a queue.
func (p *Pool) permitShare(queue string) float64 {
	c := p.permitCounts[queue]
	return (c.permitted + priorPermitShare*priorDecisions) / (c.decided + priorDecisions)
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
