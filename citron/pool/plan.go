package pool

import (
	"math"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// evictionMargin is added to Options.StopGrace to get how long before a worker leaves its tasks are stopped.
	evictionMargin = 400 * time.Millisecond
	// maxReservingGangs is the maximum number of waiting gangs that reserve capacity.
	maxReservingGangs = 2
	// startsPerSecond is the number of tasks that a plan may start at least for each second since the last one, so that a slow store
	// does not limit the starts.
	startsPerSecond = 1000
)

// Plan decides on starts, stops and requests to the policy service and returns them with the records to be stored.
func (p *Pool) Plan(now citron.Instant) (e Effects, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planNumber++
	p.openDue(now)
	p.checkWorkers(now.Boot)
	p.place(now.Boot, &e)
	e.Stops, p.stops = p.stops, nil
	for _, w := range p.byID {
		if w.processedEnd > w.ackedEnd {
			if e.Acks == nil {
				e.Acks = map[citron.Worker]Ack{}
			}
			e.Acks[w.entry.ID] = Ack{w.incarnation, w.processedEnd}
		}
	}
	p.expireJobs(now.Boot, &e)
	return e, p.appendRecords(now, &e)
}

// Committed marks the records of e, and of all plans before, as stored, so that the ends which they cover may be acknowledged to
// workers. It reports whether tasks may start now that had to wait for that.
func (p *Pool) Committed(e Effects) (unblocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range e.listed {
		o.layout.listed = true
	}
	for _, o := range e.unlisted {
		o.job.closed = slices.DeleteFunc(o.job.closed, func(other *occurrence) bool { return other == o })
	}
	for id, a := range e.Acks {
		if w := p.workers[id]; w != nil && w.incarnation == a.Incarnation {
			w.ackedEnd = max(w.ackedEnd, a.Number)
		}
	}
	return len(e.listed) > 0
}

// RunSummary describes what is known of the runs on a worker.
type RunSummary struct {
	Tasks int
	// Unsettled is set if the worker may have runs that have started, stopped or ended without a report, that are not
	// recorded, or that may crash it.
	Unsettled bool
	// Unreported is set if the worker has sent no report in this epoch, or none since its lease expired.
	Unreported bool
}

// NextRenewal returns the next renew order for a worker. Ok is false if the worker is gone or its address is unknown.
func (p *Pool) NextRenewal(now citron.Instant, id citron.Worker) (entry citron.WorkerEntry, o citron.RenewOrder, runs RunSummary, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil || w.gone || w.entry.Address == "" {
		return entry, o, runs, false
	}
	o = citron.RenewOrder{Epoch: p.Epoch, Acked: w.unackedEnd(now.Boot)}
	// An unresponsive worker may still receive renewals, so its lease is left to expire. The same holds for all leases if
	// another daemon may have claimed the pool, which waits for their end if it cannot reach the worker.
	lease := min(p.Options.Lease, p.heldAt+p.Options.MaxLease-now.Boot)
	if w.reported && now.Boot-w.lastAnswer < p.Options.AnswerTimeout && lease > 0 {
		o.Deadline = now.Boot + w.clockOffset + lease
		w.leaseUntil = max(w.leaseUntil, now.Boot+p.maxLeaseTime(lease))
	}
	runs = RunSummary{Tasks: len(w.tasks), Unreported: !w.reported, Unsettled: w.unrecordedRuns}
	for _, t := range w.tasks {
		runs.Unsettled = runs.Unsettled || t.crashes.Exclusive() && !t.settled() || t.state == taskInDoubt || t.state == taskStopping || t.state == taskLeaving
	}
	return w.target(), o, runs, true
}

// Workers returns the workers that are not gone and whose address is known.
func (p *Pool) Workers() (ids []citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.byID {
		if !w.gone && w.entry.Address != "" {
			ids = append(ids, w.entry.ID)
		}
	}
	return ids
}

// checkWorkers gives up the runs of workers whose lease has expired, evicts tasks from workers about to leave and
// repeats unanswered stops.
func (p *Pool) checkWorkers(now time.Duration) {
	checkStops := now-p.stopsCheckedAt >= stopCheckInterval
	if checkStops {
		p.stopsCheckedAt = now
	}
	for _, w := range p.byID {
		if len(w.tasks) == 0 {
			continue
		}
		if now > w.leaseUntil && now-w.lastAnswer > p.Options.AnswerTimeout {
			p.loseWorker(now, w, "its lease has lapsed without an answer")
			continue
		}
		leaving := w.entry.Draining && now > w.leavesAt-p.Options.StopGrace-evictionMargin
		if !leaving && !(checkStops && w.stopsTask()) {
			continue
		}
		for _, t := range w.sortedTasks() {
			switch {
			case t.state == taskStopping && t.stopAckedAt == 0 && now-t.stopSentAt > stopRetry:
				t.stopSentAt = now
				p.sendStop(t)
			case leaving && t.state == taskRunning:
				p.observe(Decision{Kind: DecidedRequeue, Job: t.step.job.id, Task: t.ref, Run: t.run, Worker: w.entry.ID, Reason: "the worker leaves"})
				p.stopRun(now, t)
			}
		}
	}
}

// stopsTask reports whether a task on the worker is being stopped.
func (w *worker) stopsTask() bool {
	for _, t := range w.tasks {
		if t.state == taskStopping {
			return true
		}
	}
	return false
}

// place starts the waiting tasks that fit, in the order of sortWaiting.
func (p *Pool) place(now time.Duration, e *Effects) {
	p.classifyArrivals()
	p.setAside(now)
	p.recallAged(now)
	p.updateShares(now)
	p.sortWaiting(now)
	p.countUnknown(now)
	p.readSpeeds(now)
	p.lastPlan = PlanStats{SlowWorkers: p.speeds.slow, FastWorkers: p.speeds.fast}
	wp := waitingPass{pool: p, now: now, effects: e, advisedSteps: map[string]int{}, headrooms: p.findHeadroom(now), startsLeft: p.startLimit(now), runs: p.countRuns()}
	wp.closeWorkers()
	for _, s := range p.waiting {
		p.lastPlan.WaitingSteps++
		wp.placeStep(s)
		wp.observeWait(s)
		p.lastPlan.WaitingTasks += s.waitingTasks()
	}
	p.checkBacklogs(now)
	wp.placeIdle()
	p.lastPlan.IdleSteps = len(p.idle)
	wp.restartStragglers()
	for _, w := range p.byID {
		p.lastPlan.RunningTasks += len(w.tasks)
		if w.listed {
			p.lastPlan.ListedWorkers++
		}
		if w.usable(now) {
			p.lastPlan.UsableWorkers++
		}
	}
}

// startLimit returns the number of tasks that a plan may start.
func (p *Pool) startLimit(now time.Duration) int {
	since := now - p.placedAt
	if p.placedAt == 0 {
		since = 0
	}
	p.placedAt = now
	limit := math.MaxInt
	if p.Options.StartsPerPlan > 0 {
		limit = max(p.Options.StartsPerPlan, int(startsPerSecond*since.Seconds()))
	}
	if p.Options.MaxRuns > 0 {
		limit = min(limit, p.Options.MaxRuns-p.countRuns())
	}
	return limit
}

// countRuns returns the number of tasks that may be on a worker.
func (p *Pool) countRuns() (runs int) {
	for _, w := range p.byID {
		runs += len(w.tasks)
	}
	return runs
}

// The reason why a step waits is reported first after explainAfter and then once per explainEvery.
const (
	explainAfter = 3 * time.Second
	explainEvery = 3 * time.Second
	// maxExplained is the maximum number of reasons in one plan, each of which takes a look at all workers.
	maxExplained = 4
)

// observeWait reports why a step has been waiting for long.
func (wp *waitingPass) observeWait(s *step) {
	if wp.now-s.readyAt < explainAfter || wp.now-s.explainedAt < explainEvery || wp.explained >= maxExplained || s.waitingTasks() == 0 {
		return
	}
	wp.explained++
	s.explainedAt = wp.now
	wp.pool.observe(Decision{
		Kind: DecidedWait, Job: s.job.id, Task: citron.TaskRef(s.ref), Age: wp.now - s.readyAt,
		Reason: wp.waitReason(s),
	})
}

// waitingTasks returns the number of waiting tasks of a step.
func (s *step) waitingTasks() int { return s.counts.waiting }

// waitingPass is the state of one pass of Plan over the waiting steps.
type waitingPass struct {
	pool    *Pool
	now     time.Duration
	effects *Effects
	// reservations is the capacity reserved for waiting gangs, by worker.
	reservations map[*worker]reservation
	// released is what the tasks on a worker are expected to release, until one starts there.
	released map[*worker]*released
	// reservingGangs counts the gangs that tried to reserve capacity.
	reservingGangs int
	// quotaHolds is the part of a team's maximum kept for a waiting gang; teamRuns are the runs of each team.
	quotaHolds map[citron.Team]quotaHold
	teamRuns   map[citron.Team][]teamRun
	// advisedSteps counts the waiting steps with tickets or a pending request, by queue.
	advisedSteps map[string]int
	// free is the free capacity of each service that was asked for.
	free map[citron.Service]*citron.Capacity
	// unclaimed is the free capacity of each service for steps beyond those that may have tickets without room.
	unclaimed map[citron.Service]*citron.Capacity
	// headrooms is the capacity left to priority 0 by service; nil if there is none.
	headrooms map[citron.Service]*serviceHeadroom
	// closed holds the workers on which nothing may start in this pass: one has a suspect that has not settled, or must let
	// its tasks settle before a suspect may start there.
	closed map[*worker]bool
	// lists are the candidates sorted in this pass; fitting is reused by candidates, holders by ticketHolders.
	lists   candidateLists
	fitting []*worker
	holders []candidate
	// busyAdvisers holds the kinds of request that no daemon could send in this pass.
	busyAdvisers map[adviceKind]bool
	// startsLeft is the number of tasks after which this pass starts no others but the rest of a gang.
	startsLeft int
	// runs counts the tasks that may be on a worker.
	runs int
	// explained counts the reasons for waiting that were reported in this pass.
	explained int
	// lastNeed is the result of speedNeed for the step that was last looked at.
	lastNeed speedNeed
}

// reservation is capacity kept free for waiting gangs. Tasks that are expected to end before until may use it.
type reservation struct {
	capacity citron.Capacity
	until    time.Duration
}

// placeStep starts the waiting tasks of a step as far as they fit.
func (wp *waitingPass) placeStep(s *step) {
	room := wp.quotaRoom(s)
	if wp.now < s.backoffUntil || room == 0 {
		return
	}
	if s.needsTicket() {
		wp.requestAdvice(s)
		if len(s.permits) == 0 || !s.spec.GetGang() && !s.hasTicket(wp.now) {
			return
		}
	}
	if l := &s.occurrence.layout; wp.startsLeft <= 0 || l.listing && !l.listed {
		return
	}
	if s.spec.GetGang() {
		if !wp.exceedsRuns(s) {
			wp.placeGang(s)
		}
		return
	}
	for i := s.counts.firstWaiting; i < s.tasks.size && s.counts.waiting > 0; i++ {
		t := s.tasks.at(i)
		wp.pool.lastPlan.Looks++
		if t == nil || t.state != taskWaiting {
			if i == s.counts.firstWaiting {
				s.counts.firstWaiting++
			}
			continue
		}
		if wp.startsLeft <= 0 {
			return
		}
		if wp.mustLeaveHeadroom(s, 1) {
			return
		}
		w := wp.workerFor(s, t)
		if w == nil && t.crashes.Exclusive() {
			continue // The other tasks of the step fit on more workers.
		}
		if w == nil || room == 0 {
			return
		}
		wp.startTask(t, w, t.run+1)
		room--
	}
}

// exceedsRuns reports whether a gang must wait for runs under way. One that is larger than Options.MaxRuns does not wait for all of them.
func (wp *waitingPass) exceedsRuns(s *step) bool {
	most := wp.pool.Options.MaxRuns
	return most > 0 && wp.runs > most/2 && wp.runs+s.tasks.size > most
}

// allowed reports whether a worker accepts tasks and may run those of a step now, whatever its free capacity.
func (wp *waitingPass) allowed(s *step, w *worker) bool {
	if !w.usable(wp.now) || w.entry.Service != citron.Service(s.job.spec.GetTerms().GetService()) || !w.entry.HasLabel(s.spec.GetRequires()) {
		return false
	}
	if interferes(s, w) || wp.closed[w] {
		return false
	}
	if s.job.spec.GetTerms().GetAdvice() == nil {
		return true
	}
	r, ok := s.permits[w.entry.ID]
	return ok && r.expires > wp.now+minTicketValidity
}

// interferes reports whether a fill task would share the worker with a task that has a tail latency target. How much
// they slow each other down differs by image and changes within seconds, so they are always kept apart.
func interferes(s *step, w *worker) bool {
	return s.spec.GetFills() && w.serving > 0 || s.spec.GetTailTargetMs() > 0 && w.filling > 0
}

// capacityFor returns the free capacity of a worker for a step. Its reservation is subtracted unless a task of the step
// is expected to end before the reserved capacity is needed.
func (wp *waitingPass) capacityFor(s *step, w *worker) citron.Capacity {
	free := w.free()
	if r, ok := wp.reservations[w]; ok && wp.now+wp.pool.runTimeOn(w, s) > r.until {
		free = free.Sub(r.capacity)
	}
	return free
}

// bestWorker returns the best-fitting worker, that is the one left with the fewest free cores, or nil if the task fits
// on none. Workers in other racks and workers with failures come last; fill tasks prefer the most free cores. Of the
// others, workers with less expected loss by interference come first. A suitable of nil accepts every worker.
func (wp *waitingPass) bestWorker(s *step, t *task, suitable func(*worker) bool) (best *worker) {
	var bestScore int64
	for _, c := range wp.startable(s) {
		w := c.worker
		// The capacity is checked first: in a full pool it leaves few workers whose tickets must be looked up.
		if !w.free().Fits(s.need) || !wp.allowed(s, w) || !wp.capacityFor(s, w).Fits(s.need) || suitable != nil && !suitable(w) {
			continue
		}
		if limit := int(s.spec.GetPerWorker()); limit > 0 && s.counts.onWorker[w] >= limit {
			continue
		}
		score := w.free().MilliCores - s.need.MilliCores
		if s.spec.GetFills() || t.crashes.Exclusive() {
			// Fill tasks run on the processor time that other tasks leave. Where a suspect runs, few others may be lost.
			score = -w.free().MilliCores
		}
		if rack := s.spec.GetDataRack(); rack != "" && string(w.entry.Rack) != rack {
			score += otherRackPenalty
		}
		if s.spec.GetSameRack() && wp.inOtherRack(s, w) {
			score += otherRackPenalty
		}
		score += int64(wp.speedRank(s, w))*speedPenalty + lossPenalty*wp.expectedLoss(s, w)
		if w.failures.suspect() {
			score += suspectPenalty
		}
		if t.failedOn[w.entry.ID] {
			score += 2 * otherRackPenalty
		}
		if best == nil || score < bestScore || score == bestScore && w.entry.ID < best.entry.ID {
			best, bestScore = w, score
		}
	}
	return best
}

const (
	// otherRackPenalty outweighs any difference in free capacity, in thousandths of a core.
	otherRackPenalty = 1 << 40
	// suspectPenalty outweighs any difference in free capacity and expected loss, but not otherRackPenalty.
	suspectPenalty = 1 << 30
)

// inOtherRack reports whether a task of the step is on a worker in another rack than w.
func (wp *waitingPass) inOtherRack(s *step, w *worker) bool {
	return s.counts.assigned > s.counts.inRack[w.entry.Rack]
}

// startTask assigns a run to a worker, takes the capacity and adds the start order.
func (wp *waitingPass) startTask(t *task, w *worker, run int32) {
	s, p := t.step, wp.pool
	wp.startsLeft--
	wp.runs++
	t.setState(taskOrdered)
	t.run, t.stateSince, t.startedAt, t.startSeen = run, wp.now, wp.now, false
	p.joinWorker(wp.now, t, w, true)
	p.assign(t, w)
	delete(wp.released, w)
	if free := wp.free[s.service()]; free != nil {
		*free = free.Sub(s.need)
	}
	wp.useHeadroom(s)
	if t.crashes.Exclusive() {
		wp.closeWorker(w)
	}
	p.used.of(s).Starts[p.latenessOf(wp.now, s)]++
	w.leaseUntil = max(w.leaseUntil, wp.now+p.maxLeaseTime(p.Options.Lease))
	t.incarnation = w.incarnation
	s.placed(wp.now)
	j := s.job
	p.changeTask(t)
	wp.effects.Starts = append(wp.effects.Starts, Start{Worker: w.target(), Order: citron.StartOrder{
		Task:           t.ref,
		Run:            run,
		Payload:        j.spec.GetPayload(),
		PayloadOmitted: j.spec.GetPayloadOmitted(),
		Checkpoint:     t.checkpoint,
		Ticket:         s.permits[w.entry.ID].ticket,
		Epoch:          p.Epoch,
		Deadline:       wp.now + w.clockOffset + p.Options.StartTimeout,
	}})
	p.observe(Decision{Kind: DecidedStart, Job: j.id, Task: t.ref, Run: run, Worker: w.entry.ID, Age: wp.now - t.waitingSince, Expected: p.runTimeOn(w, s), Speed: w.speed.factor})
}
