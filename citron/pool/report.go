package pool

import (
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// unhealthyBackoff is how long a worker that refused a start as unhealthy is given no tasks.
	unhealthyBackoff = time.Second
	// noCapacityBackoff is how long a worker with less free capacity than assumed is given no tasks.
	noCapacityBackoff = 300 * time.Millisecond
	// stepBackoff is how long a step waits after a worker refused one of its starts.
	stepBackoff = 20 * time.Millisecond
	// stopRetry is the delay before an unanswered stop is sent again.
	stopRetry = 350 * time.Millisecond
	// stopCheckInterval is the time between two searches for such stops, which look at all tasks.
	stopCheckInterval = 50 * time.Millisecond
)

// UpdateWorkers applies a new list of workers from the platform. It returns the workers that it shows in another life, to which
// a renew order should be sent at once: until then, late orders to the former life can reach this one.
func (p *Pool) UpdateWorkers(now citron.Instant, entries []citron.WorkerEntry) (restarted []citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersion++
	listed := map[citron.Worker]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		w := p.workers[e.ID]
		if w == nil {
			w = p.ensureWorker(now.Boot, e.ID)
		}
		former := w.incarnation
		if !p.beginLife(now.Boot, w, e.Incarnation, 0, "its entry") {
			w.listed = true
			continue
		}
		if former != 0 && w.incarnation != former {
			restarted = append(restarted, e.ID)
		}
		if e.Draining && (!w.entry.Draining || e.Remaining != w.entry.Remaining) {
			w.leavesAt = now.Boot + e.Remaining
		}
		w.setEntry(e)
		w.listed, w.speed.group = true, speedGroup(&e)
	}
	for _, w := range slices.Clone(p.byID) {
		id := w.entry.ID
		if !listed[id] && w.listed {
			w.listed = false
			p.observe(Decision{Kind: DecidedWorkerLost, Worker: id, Outcome: "unlisted", Reason: "the platform no longer lists it"})
		}
		if !w.listed && len(w.tasks) == 0 && !w.awaitsVerdict(now.Boot) && (p.terms == nil || !p.hidesRuns(now.Boot, w)) {
			p.removeWorker(w)
		}
	}
	return restarted
}

// Started applies a worker's answer to a start order.
func (p *Pool) Started(now citron.Instant, s Start, outcome citron.StartOutcome, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[s.Worker.ID]
	if w == nil || w.incarnation != s.Worker.Incarnation {
		return
	}
	if outcome != citron.StartUnknown && outcome != citron.StartGone {
		p.recordAnswer(now.Boot, w, clock)
	}
	t := w.tasks[s.Order.Task]
	if t == nil || t.run != s.Order.Run || (t.state != taskOrdered && t.state != taskInDoubt) {
		return
	}
	switch outcome {
	case citron.Started:
		t.setState(taskRunning)
		t.startedAt, t.startSeen = now.Boot, true
		p.markRunning(t.step.job)
	case citron.StartUnknown:
		t.setState(taskInDoubt)
		t.stateSince = now.Boot
		w.unresponsive, w.sameLife = true, false
	case citron.StartFenced:
		p.fenced = true
	case citron.StartGone:
		p.workerGone(now.Boot, w)
	default:
		p.applyRefusal(now.Boot, w, t, outcome)
	}
}

// markRunning sets the state of a queued job once a task is known to have started. A start order that was sent is not
// enough, since it may never arrive.
func (p *Pool) markRunning(j *job) {
	if j.state == work.State_STATE_QUEUED {
		j.state = work.State_STATE_RUNNING
		p.changeJob(j)
	}
}

// applyRefusal requeues a task whose start the worker refused without starting anything.
func (p *Pool) applyRefusal(now time.Duration, w *worker, t *task, outcome citron.StartOutcome) {
	s := t.step
	s.backoffUntil = now + stepBackoff
	reason := "refused"
	switch outcome {
	case citron.StartUnhealthy:
		w.blockedUntil, reason = now+unhealthyBackoff, "worker unhealthy"
	case citron.StartNoCapacity:
		w.blockedUntil, reason = now+noCapacityBackoff, "no room"
	case citron.StartNoTicket:
		delete(s.permits, w.entry.ID)
		reason = "ticket lapsed"
	case citron.StartLate:
		reason = "late"
	case citron.StartStale:
		reason = "run was there before"
	case citron.StartMalformed:
		reason = "order malformed"
	}
	p.requeue(now, t, reason)
}

// Stopped applies a worker's answer to a stop order.
func (p *Pool) Stopped(now citron.Instant, s Stop, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[s.Worker.ID]
	if w == nil || w.incarnation != s.Worker.Incarnation {
		return
	}
	p.recordAnswer(now.Boot, w, clock)
	if t := w.tasks[s.Order.Task]; t != nil && t.run == s.Order.Run && t.state == taskStopping {
		t.stopAckedAt = now.Boot
	}
}

// MarkUnresponsive records that a worker did not answer. It is given no tasks until it answers again.
func (p *Pool) MarkUnresponsive(id citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; w != nil {
		w.unresponsive, w.sameLife = true, false
	}
}

// MarkRefused records that a worker refused a connection, as one that has crashed does.
func (p *Pool) MarkRefused(now citron.Instant, id citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; w != nil && w.refusedAt == 0 {
		w.refusedAt = now.Boot
	}
}

// Gone records that the worker to which an order was sent has restarted or left, which ends its runs.
func (p *Pool) Gone(now citron.Instant, to *citron.WorkerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[to.ID]; w != nil && w.incarnation == to.Incarnation {
		p.workerGone(now.Boot, w)
	}
}

// workerGone gives up the runs of a worker that has restarted or left.
func (p *Pool) workerGone(now time.Duration, w *worker) {
	if !w.gone {
		w.gone = true
		p.loseWorker(now, w, "the worker has restarted")
		p.countCrash(now, w)
	}
}

// recordAnswer updates the time of the last answer and the worker's clock; a clock of 0 is unknown.
func (p *Pool) recordAnswer(now time.Duration, w *worker, clock time.Duration) {
	w.lastAnswer, w.unresponsive, w.refusedAt = now, false, 0
	if clock != 0 {
		w.clockOffset = clock - now
	}
}

// Renewed applies a worker's answer to a renew order that was sent at the given time. A run that was started or stopped
// after that may be missing in the report.
func (p *Pool) Renewed(now citron.Instant, id citron.Worker, sent time.Duration, r citron.WorkerReport, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil {
		return
	}
	if !p.beginLife(now.Boot, w, r.Incarnation, sent, "its report") {
		return
	}
	p.recordAnswer(now.Boot, w, clock)
	w.reported, w.lost = true, nil
	w.lastReport, w.sameLife = now.Boot, true
	present := map[citron.TaskRef]int32{}
	w.unrecordedRuns = false
	for _, run := range r.Running {
		present[run.Task] = run.Run
		p.applyRunning(now.Boot, w, run)
	}
	w.listedEnd = 0
	if len(r.Ended) > 0 {
		w.listedEnd = r.Ended[0].Number
	}
	p.applyEnds(now.Boot, w, r.Ended)
	if r.Partial {
		return
	}
	for _, t := range w.tasksWith(func(t *task) bool { return present[t.ref] != t.run }) {
		p.applyAbsent(now.Boot, t, sent)
	}
}

// applyRunning applies a run that a worker reports as running.
func (p *Pool) applyRunning(now time.Duration, w *worker, run citron.RunningTask) {
	t := w.tasks[run.Task]
	if t == nil || t.run != run.Run {
		// The run is not recorded on this worker: its job has ended, or its start order arrived after the run had been
		// given up.
		w.unrecordedRuns = true
		if !p.jobKnown(run.Task) {
			return
		}
		p.stops = append(p.stops, Stop{Worker: w.target(), Order: citron.StopOrder{Task: run.Task, Run: run.Run, Epoch: p.Epoch}})
		return
	}
	if t.state == taskOrdered || t.state == taskInDoubt {
		t.setState(taskRunning)
		t.startedAt = now
	}
	p.markRunning(t.step.job)
	t.percent = run.Percent
	if run.Checkpoint != "" {
		t.checkpoint = run.Checkpoint
	}
}

// applyAbsent handles a recorded run that a report lists neither as running nor as ended.
func (p *Pool) applyAbsent(now time.Duration, t *task, sent time.Duration) {
	switch t.state {
	case taskRunning:
		if sent > t.startedAt {
			p.requeue(now, t, "the worker no longer runs it")
		}
	case taskInDoubt:
		// The start order may still arrive. After a stop the worker refuses it.
		if sent > t.stateSince {
			p.stopRun(now, t)
		}
	case taskLeaving:
		if sent > t.stateSince {
			p.requeue(now, t, "ended with its gang")
		}
	case taskStopping:
		if t.stopAckedAt > 0 && sent > t.stopAckedAt {
			p.requeue(now, t, "stopped")
		}
	}
}

// loseWorker requeues the tasks of a worker on which no run of this epoch or an earlier one can still be running.
func (p *Pool) loseWorker(now time.Duration, w *worker, reason string) {
	p.recordLost(now, w, w.sortedTasks())
	p.observe(Decision{Kind: DecidedWorkerLost, Worker: w.entry.ID, Outcome: "lost", Reason: reason, Age: now - w.lastAnswer})
	for _, t := range w.sortedTasks() {
		p.observe(Decision{
			Kind: DecidedRunLost, Job: t.step.job.id, Task: t.ref, Run: t.run, Worker: w.entry.ID, Outcome: taskStateNames[t.state],
			Reason: reason, Age: max(w.lastAnswer-t.startedAt, 0),
		})
		p.requeue(now, t, reason)
	}
	w.reported = false
}

// Advised applies an answer of the policy service. Failed is set if there was none.
func (p *Pool) Advised(now citron.Instant, a AdviceRequest, permits []citron.Permit, valid time.Duration, failed bool) {
	p.Advisers.RecordResult(a.VM, now.Boot, a.Cost, failed)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.steps[a.Step]
	if s == nil {
		return
	}
	s.advicePending = false
	if failed {
		s.adviceRetryAt = now.Boot + adviceRetry
		return
	}
	if s.permits == nil {
		s.permits, s.eligible = map[citron.Worker]permit{}, map[citron.Worker]bool{}
	}
	counts := p.permitCounts[s.job.spec.GetQueue()]
	counts.decided += float64(len(a.Workers))
	counts.permitted += float64(len(permits))
	p.permitCounts[s.job.spec.GetQueue()] = counts
	s.adviceCheckAt = 0
	for _, id := range a.Workers {
		s.eligible[id] = false
	}
	for _, r := range permits {
		s.eligible[r.Worker] = true
		s.permits[r.Worker] = permit{ticket: r.Ticket, expires: now.Boot + valid}
		s.ticketsUntil = now.Boot + valid
	}
}
