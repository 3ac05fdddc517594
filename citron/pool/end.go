package pool

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

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

// end takes in one ended run.
func (p *Pool) end(now time.Duration, w *worker, end citron.EndedTask) {
	t := w.tasks[end.Task]
	if t == nil || t.run != end.Run {
		p.endOfFormerRun(now, w, end)
		return
	}
	s := t.step
	p.begun(s.job)
	ran := now - t.startedAt
	p.observe(Decision{Kind: DecidedEnd, Job: s.job.id, Task: t.ref, Run: t.run, Worker: w.entry.ID, Outcome: string(end.Kind), Age: ran})
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	if t.over() {
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

// endOfFormerRun takes in the end of a run that had been given up, since its worker did not answer: it counts all the same.
func (p *Pool) endOfFormerRun(now time.Duration, w *worker, end citron.EndedTask) {
	t := p.task(end.Task)
	if t == nil || end.Run > t.run || t.over() || t.step.spec.GetService() || end.Kind != citron.EndDone && end.Kind != citron.EndFailed {
		return
	}
	p.observe(Decision{Kind: DecidedEnd, Job: t.step.job.id, Task: t.ref, Run: end.Run, Worker: w.entry.ID, Outcome: string(end.Kind), Reason: "the run had been given up"})
	if end.Kind == citron.EndFailed {
		p.countFailure(now, t, end.Run)
		return
	}
	p.settleByFormerRun(now, t)
}

// over reports whether nothing is expected of a task any more, though a run of it may still be on a worker.
func (t *task) over() bool {
	return t.state == taskDone || t.state == taskLeaving || t.settled || t.step.job.terminal
}

// settleByFormerRun settles a task, with all members of its gang, that an earlier run has done. Later runs are stopped.
func (p *Pool) settleByFormerRun(now time.Duration, t *task) {
	tasks := []*task{t}
	if t.step.spec.GetGang() {
		tasks = t.step.tasks
	}
	for _, t := range tasks {
		if t.over() {
			continue
		}
		state := t.state
		p.settle(t)
		if state == taskWaiting {
			continue
		}
		// Its room stays taken until its worker lists the end.
		t.state, t.settled = taskStopping, true
		if state != taskStopping {
			p.stop(now, t)
		}
	}
	p.advance(now, t.step)
}

// task finds a task of an open occurrence by its name.
func (p *Pool) task(ref citron.TaskRef) *task {
	cut := strings.LastIndexByte(string(ref), '.')
	if cut < 0 {
		return nil
	}
	s := p.steps[citron.StepRef(ref[:cut])]
	index, err := strconv.Atoi(string(ref[cut+1:]))
	if s == nil || err != nil || index < 0 || index >= len(s.tasks) {
		return nil
	}
	return s.tasks[index]
}

// done settles a task, with its whole gang, whose run has ended as done.
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

// failed puts a task back whose run has failed, and counts the attempt.
func (p *Pool) failed(now time.Duration, w *worker, t *task) {
	s := t.step
	if pause := w.fails.failed(s.job.id); pause > 0 {
		w.blockedUntil = now + pause
		p.observe(Decision{Kind: DecidedQuarantine, Worker: w.entry.ID, Reason: "tasks of several jobs failed in a row", Age: pause})
	}
	if t.failedOn == nil {
		t.failedOn = map[citron.Worker]bool{}
	}
	t.failedOn[w.entry.ID] = true
	p.requeue(now, t, "failed")
	p.countFailure(now, t, t.run)
}

// countFailure counts a failed run once and ends the job where the attempts are used up.
func (p *Pool) countFailure(now time.Duration, t *task, run int32) {
	s := t.step
	if s.spec.GetService() || s.job.terminal || slices.Contains(t.failedRuns, run) {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	p.dirty[s.job] = true
	failures := len(t.failedRuns)
	if s.spec.GetGang() {
		failures = 0
		for _, member := range s.tasks {
			failures += len(member.failedRuns)
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
	over := t.over()
	p.vacate(t)
	if over {
		t.state = taskDone
		return
	}
	p.observe(Decision{Kind: DecidedRequeue, Job: s.job.id, Task: t.ref, Run: t.run, Reason: reason})
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
	if !slices.Contains(p.waiting, s) {
		p.waiting = append(p.waiting, s)
	}
}
