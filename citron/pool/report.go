package pool

import (
	"slices"
	"strings"
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

// Listed takes in the platform's list of workers.
func (p *Pool) Listed(now citron.Instant, entries []citron.WorkerEntry) {
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
	case citron.StartUnknown:
		t.state, t.since = taskUnsure, now.Boot
	case citron.StartFenced:
		p.fenced = true
	case citron.StartGone:
		p.gone(now.Boot, w)
	default:
		p.refused(now.Boot, w, t, outcome)
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
	case citron.StartNoRoom:
		w.blockedUntil, reason = now+noRoomPause, "no room"
	case citron.StartNoTicket:
		delete(s.permits, w.entry.ID)
		reason = "ticket lapsed"
	case citron.StartLate:
		reason = "late"
	case citron.StartOld:
		reason = "run was there before"
	case citron.StartBad:
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
	w.lastAnswer, w.seenAnswer = now, true
	if clock != 0 {
		w.clockAhead = clock - now
	}
}

// Held takes in a worker's answer to a hold that was sent at an instant.
func (p *Pool) Held(now citron.Instant, id citron.Worker, sent time.Duration, r citron.Report, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil {
		return
	}
	p.answered(now.Boot, w, clock)
	present := map[citron.TaskRef]int32{}
	w.strangers = false
	for _, run := range r.Running {
		present[run.Task] = run.Run
		p.running(now.Boot, w, run)
	}
	p.ends(now.Boot, w, r.Ended)
	for _, t := range w.sorted() {
		if present[t.ref] != t.run {
			p.absent(now.Boot, t, sent)
		}
	}
}

// ends takes in the ended runs of a report. The end of a job that is not known yet must be listed again, so nothing from
// there on is acknowledged.
func (p *Pool) ends(now time.Duration, w *worker, ends []citron.EndedTask) {
	all := true
	for _, end := range ends {
		if end.Number <= w.processed {
			continue
		}
		all = all && p.known(end.Task)
		if all {
			w.processed = end.Number
		}
		p.end(now, w, end)
	}
}

// known reports whether the job of a task is known, or will never be.
func (p *Pool) known(ref citron.TaskRef) bool {
	if p.complete {
		return true
	}
	name, _, _ := strings.Cut(string(ref), ".")
	_, open := p.jobs[citron.JobID(name)]
	_, over := p.ended[citron.JobID(name)]
	return open || over
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

// end takes in one ended run.
func (p *Pool) end(now time.Duration, w *worker, end citron.EndedTask) {
	t := w.tasks[end.Task]
	if t == nil || t.run != end.Run {
		return
	}
	s := t.step
	ran := now - t.startedAt
	p.observe(Decision{Kind: DecidedEnd, Job: s.job.id, Task: t.ref, Run: t.run, Worker: w.entry.ID, Outcome: string(end.Kind), Age: ran})
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	if t.state == taskLeaving || s.job.terminal {
		p.requeue(now, t, string(end.Kind))
		return
	}
	switch end.Kind {
	case citron.EndDone:
		w.fails.succeeded()
		p.learnt.learn(kindOf(s.job, s.index), ran)
		p.done(now, t)
	case citron.EndFailed:
		p.failed(now, w, t)
	default:
		p.requeue(now, t, string(end.Kind))
	}
}

func (p *Pool) done(now time.Duration, t *task) {
	s := t.step
	if s.spec.GetService() {
		p.requeue(now, t, "service task ended")
		return
	}
	p.vacate(t)
	p.settle(t)
	if s.spec.GetGang() {
		// One end stands for all members.
		for _, member := range s.tasks {
			p.settleMember(now, member)
		}
	}
	p.advance(now, s)
}

// settle marks a task as done.
func (p *Pool) settle(t *task) {
	if t.state == taskDone {
		return
	}
	t.state = taskDone
	t.step.left--
	p.dirty[t.step.job] = true
}

// settleMember marks a gang member as done because another member ended. Its room stays taken until its own worker
// lists the end.
func (p *Pool) settleMember(now time.Duration, t *task) {
	p.settle(t)
	if t.worker != nil {
		t.state, t.since = taskLeaving, now
	}
}

// advance releases the steps behind a step that may be done, and ends the job if it was the last.
func (p *Pool) advance(now time.Duration, s *step) {
	if s.left > 0 || s.job.terminal {
		return
	}
	j, o := s.job, s.occ
	p.release(now, o)
	if !o.done() {
		return
	}
	p.dirty[j] = true
	if j.next < j.spec.GetSchedule().GetRepeats() || slices.ContainsFunc(j.open, func(o *occurrence) bool { return !o.done() }) {
		j.closeDone(p)
		return
	}
	j.state, j.terminal = work.State_STATE_COMPLETED, true
	p.observe(Decision{Kind: DecidedJobEnd, Job: j.id, Outcome: j.state.String(), Age: now - j.accepted})
}

// done reports whether every step of the occurrence is done.
func (o *occurrence) done() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return s.left > 0 })
}

// closeDone drops the occurrences of a repeated job that are done and of which nothing runs.
func (j *job) closeDone(p *Pool) {
	j.open = slices.DeleteFunc(j.open, func(o *occurrence) bool {
		over := o.done() && !o.busy()
		if over {
			p.dropSteps(o)
		}
		return over
	})
}

func (p *Pool) failed(now time.Duration, w *worker, t *task) {
	s := t.step
	if pause := w.fails.failed(s.job.id); pause > 0 {
		w.blockedUntil = now + pause
		p.observe(Decision{Kind: DecidedQuarantine, Worker: w.entry.ID, Reason: "tasks of several jobs failed in a row", Age: pause})
	}
	t.failures++
	if t.failedOn == nil {
		t.failedOn = map[citron.Worker]bool{}
	}
	t.failedOn[w.entry.ID] = true
	p.requeue(now, t, "failed")
	if s.spec.GetService() || s.job.terminal {
		return
	}
	failures := t.failures
	if s.spec.GetGang() {
		failures = 0
		for _, member := range s.tasks {
			failures += member.failures
		}
	}
	if attempts := int(s.job.spec.GetTerms().GetAttempts()); failures >= max(attempts, 1) {
		p.finish(now, s.job, work.State_STATE_FAILED, "a task has used up its attempts")
	}
}

// vacate frees the room of a run that is no longer on its worker.
func (p *Pool) vacate(t *task) {
	if t.worker == nil {
		return
	}
	delete(t.worker.tasks, t.ref)
	t.worker.used = t.worker.used.Sub(t.step.need)
	t.worker = nil
	p.dirty[t.step.job] = true
}

// requeue puts a task back whose run is over without being done.
func (p *Pool) requeue(now time.Duration, t *task, reason string) {
	s := t.step
	over := s.job.terminal || t.state == taskLeaving
	p.vacate(t)
	if over {
		t.state = taskDone
		return
	}
	p.observe(Decision{Kind: DecidedRestart, Job: s.job.id, Task: t.ref, Run: t.run, Reason: reason})
	t.state, t.since, t.waitedFrom, t.percent = taskWaiting, now, now, 0
	p.await(s)
	if s.spec.GetGang() {
		p.breakGang(now, s)
	}
}

// breakGang stops the other members of a gang of which one member does not run; they could not work without it.
func (p *Pool) breakGang(now time.Duration, s *step) {
	for _, member := range s.tasks {
		switch member.state {
		case taskOrdered, taskUnsure, taskRunning:
			p.stop(now, member)
		}
	}
}

func (p *Pool) await(s *step) {
	for _, w := range p.waiting {
		if w == s {
			return
		}
	}
	p.waiting = append(p.waiting, s)
}

// lost handles a worker on which nothing of this epoch or an earlier one can run any more.
func (p *Pool) lost(now time.Duration, w *worker, reason string) {
	p.observe(Decision{Kind: DecidedWorkerLost, Worker: w.entry.ID, Outcome: "lost", Reason: reason, Age: now - w.lastAnswer})
	for _, t := range w.sorted() {
		p.requeue(now, t, reason)
	}
	w.seenAnswer = false
}

// Advised takes in an answer of the policy service. Failed is set where there was none.
func (p *Pool) Advised(now citron.Instant, a Ask, permits []citron.Permit, valid time.Duration, failed bool) {
	p.Advisers.Answered(a.VM, now.Boot, a.Cost, failed)
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
