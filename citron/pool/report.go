package pool

import (
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// unhealthyPause is how long a worker that refused an order takes no task.
	unhealthyPause = time.Second
	// noRoomPause is how long a worker that had less room than known takes no task.
	noRoomPause = 300 * time.Millisecond
	// stepPause is how long a step waits after one of its starts was refused.
	stepPause = 20 * time.Millisecond
	// stopRetry is when an unanswered stop is sent again.
	stopRetry = 350 * time.Millisecond
)

// UpdateWorkers takes in the platform's list of workers.
func (p *Pool) UpdateWorkers(now citron.Instant, entries []citron.WorkerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersion++
	listed := map[citron.Worker]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		w := p.workers[e.ID]
		if w == nil {
			w = p.worker(now.Boot, e.ID)
		}
		if e.Draining && (!w.entry.Draining || e.Remaining != w.entry.Remaining) {
			w.leaves = now.Boot + e.Remaining
		}
		w.entry, w.listed = e, true
	}
	for _, w := range slices.Clone(p.order) {
		id := w.entry.ID
		if !listed[id] && w.listed {
			w.listed = false
			p.observe(Decision{Kind: DecidedWorkerLost, Worker: id, Outcome: "unlisted", Reason: "the platform no longer lists it"})
		}
		if !w.listed && len(w.tasks) == 0 {
			p.drop(w)
		}
	}
}

// Started takes in a worker's answer to a start.
func (p *Pool) Started(now citron.Instant, s Start, outcome citron.StartOutcome, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[s.Worker.ID]
	if w == nil {
		return
	}
	if outcome != citron.StartUnknown && outcome != citron.StartGone {
		p.answered(now.Boot, w, clock)
	}
	t := w.tasks[s.Order.Task]
	if t == nil || t.run != s.Order.Run || (t.state != taskOrdered && t.state != taskUnsure) {
		return
	}
	switch outcome {
	case citron.Started:
		t.state, t.startedAt = taskRunning, now.Boot
		p.begun(t.step.job)
	case citron.StartUnknown:
		t.state, t.since = taskUnsure, now.Boot
		w.silent = true
	case citron.StartFenced:
		p.fenced = true
	case citron.StartGone:
		p.gone(now.Boot, w)
	default:
		p.refused(now.Boot, w, t, outcome)
	}
}

// begun notes that a task of a job is known to have started. An order alone is no proof: it may never arrive.
func (p *Pool) begun(j *job) {
	if j.state == work.State_STATE_QUEUED {
		j.state = work.State_STATE_RUNNING
		p.dirty[j] = true
	}
}

// refused puts a task back whose start the worker refused without doing anything.
func (p *Pool) refused(now time.Duration, w *worker, t *task, outcome citron.StartOutcome) {
	s := t.step
	s.backoff = now + stepPause
	reason := "refused"
	switch outcome {
	case citron.StartUnhealthy:
		w.blockedUntil, reason = now+unhealthyPause, "worker unhealthy"
	case citron.StartNoCapacity:
		w.blockedUntil, reason = now+noRoomPause, "no room"
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

// Stopped takes in a worker's answer to a stop.
func (p *Pool) Stopped(now citron.Instant, s Stop, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[s.Worker.ID]
	if w == nil {
		return
	}
	p.answered(now.Boot, w, clock)
	if t := w.tasks[s.Order.Task]; t != nil && t.run == s.Order.Run && t.state == taskStopping {
		t.stopAcked = now.Boot
	}
}

// MarkUnresponsive notes that a worker has left exchanges without an answer. It takes no task until it answers again.
func (p *Pool) MarkUnresponsive(id citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; w != nil {
		w.silent = true
	}
}

// Gone notes that a life of a worker has ended.
func (p *Pool) Gone(now citron.Instant, id citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; w != nil {
		p.gone(now.Boot, w)
	}
}

// gone handles the proof that a life of a worker is over.
func (p *Pool) gone(now time.Duration, w *worker) {
	if !w.dead {
		w.dead = true
		p.lost(now, w, "the worker has restarted")
	}
}

func (p *Pool) answered(now time.Duration, w *worker, clock time.Duration) {
	w.lastAnswer, w.silent = now, false
	if clock != 0 {
		w.clockAhead = clock - now
	}
}

// Renewed takes in a worker's answer to a hold that was sent at an instant.
func (p *Pool) Renewed(now citron.Instant, id citron.Worker, sent time.Duration, r citron.WorkerReport, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil {
		return
	}
	p.answered(now.Boot, w, clock)
	w.reported = true
	present := map[citron.TaskRef]int32{}
	w.strangers = false
	for _, run := range r.Running {
		present[run.Task] = run.Run
		p.running(now.Boot, w, run)
	}
	p.ends(now.Boot, w, r.Ended)
	if r.Partial {
		return
	}
	for _, t := range w.sorted() {
		if present[t.ref] != t.run {
			p.absent(now.Boot, t, sent)
		}
	}
}

// running takes in one run that a worker reports.
func (p *Pool) running(now time.Duration, w *worker, run citron.RunningTask) {
	t := w.tasks[run.Task]
	if t == nil || t.run != run.Run {
		// Nothing is recorded of this run here: it belongs to a job that is over, or was started by an order that
		// arrived after the task had been given up on.
		w.strangers = true
		if !p.known(run.Task) {
			return
		}
		p.stops = append(p.stops, Stop{Worker: w.entry, Order: citron.StopOrder{Task: run.Task, Run: run.Run, Epoch: p.Epoch}})
		return
	}
	if t.state == taskOrdered || t.state == taskUnsure {
		t.state, t.startedAt = taskRunning, now
	}
	p.begun(t.step.job)
	t.percent = run.Percent
	if run.Checkpoint != "" {
		t.checkpoint = run.Checkpoint
	}
}

// absent handles a recorded run that a report does not show, neither running nor ended.
func (p *Pool) absent(now time.Duration, t *task, sent time.Duration) {
	switch t.state {
	case taskRunning:
		if sent > t.startedAt {
			p.requeue(now, t, "the worker no longer runs it")
		}
	case taskUnsure:
		// The order may still arrive. A stop makes the worker refuse it.
		if sent > t.since {
			p.stop(now, t)
		}
	case taskLeaving:
		if sent > t.since {
			p.requeue(now, t, "ended with its gang")
		}
	case taskStopping:
		if t.stopAcked > 0 && sent > t.stopAcked {
			p.requeue(now, t, "stopped")
		}
	}
}

// lost handles a worker on which nothing of this epoch or an earlier one can run any more.
func (p *Pool) lost(now time.Duration, w *worker, reason string) {
	p.observe(Decision{Kind: DecidedWorkerLost, Worker: w.entry.ID, Outcome: "lost", Reason: reason, Age: now - w.lastAnswer})
	for _, t := range w.sorted() {
		p.requeue(now, t, reason)
	}
	w.reported = false
}

// Advised takes in an answer of the policy service. Failed is set where there was none.
func (p *Pool) Advised(now citron.Instant, a AdviceRequest, permits []citron.Permit, valid time.Duration, failed bool) {
	p.Advisers.RecordResult(a.VM, now.Boot, a.Cost, failed)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.steps[a.Step]
	if s == nil {
		return
	}
	s.asking = false
	if failed {
		s.askAfter = now.Boot + askRetry
		return
	}
	if s.permits == nil {
		s.permits, s.eligible = map[citron.Worker]permit{}, map[citron.Worker]bool{}
	}
	for _, id := range a.Workers {
		s.eligible[id] = false
	}
	for _, r := range permits {
		s.eligible[r.Worker] = true
		s.permits[r.Worker] = permit{ticket: r.Ticket, until: now.Boot + valid}
	}
}
