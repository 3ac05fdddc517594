package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/citron/crash"
	"github.com/citroncross/citroncross/schema/work"
)

// Knows reports whether a job has been accepted here.
func (p *Pool) Knows(id citron.JobID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, open := p.jobs[id]
	_, ended := p.ended[id]
	return open || ended
}

// Accept adds a job. Progress and parts are the last records that a former holder wrote of it, if any.
func (p *Pool) Accept(now citron.Instant, spec *work.Job, progress *work.Progress, parts ...*work.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := citron.JobID(spec.GetID())
	if _, known := p.jobs[id]; known {
		return
	}
	if _, ended := p.ended[id]; ended {
		return
	}
	ended := IsTerminal(progress.GetState())
	if ended && len(progress.GetOpen()) == 0 {
		p.ended[id] = endedJob{now.Boot, progress.GetState(), progress.GetNextOccurrence(), progress.GetEndedMs(), int(progress.GetParts())}
		return
	}
	if len(spec.GetSteps()) == 0 {
		return // The job has ended and only its trimmed record has been read.
	}
	waited := max(now.Wall.Sub(time.UnixMilli(spec.GetAcceptedMs())), 0)
	j := &job{id: id, spec: spec, accepted: now.Boot - waited, state: progress.GetState(), recorded: progress.GetState(), nextOccurrence: progress.GetNextOccurrence(), parts: int(progress.GetParts())}
	p.jobs[id] = j
	p.arrivals = append(p.arrivals, j)
	if spec.GetSchedule().GetRepeats() > 0 {
		p.scheduled = append(p.scheduled, j)
	}
	for _, o := range progress.GetOpen() {
		p.restoreOccurrence(now.Boot, j, o, parts)
	}
	if ended {
		// Its runs use capacity until their workers report the ends.
		j.terminal = true
		p.stopAllTasks(now.Boot, j)
		p.changeJob(j)
		return
	}
	for _, o := range slices.Clone(j.open) {
		if len(o.steps) > 0 && o.done() {
			p.advance(now.Boot, o.steps[0]) // The former holder was lost before it had recorded the end.
		}
	}
	if spec.GetSchedule().GetRepeats() == 0 && j.nextOccurrence == 0 {
		p.beginOccurrence(now.Boot, j, 0, j.accepted)
		j.nextOccurrence = 1
	}
}

// IsTerminal reports whether s is a final state of a job.
func IsTerminal(s work.State) bool {
	return s == work.State_STATE_COMPLETED || s == work.State_STATE_FAILED || s == work.State_STATE_CANCELLED
}

// Cancel ends a job and stops its tasks.
func (p *Pool) Cancel(now citron.Instant, id citron.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j, ok := p.jobs[id]; ok && !j.terminal {
		p.endJob(now.Boot, j, work.State_STATE_CANCELLED, "cancelled by its caller")
	}
}

// Fail ends a job as failed and stops its tasks.
func (p *Pool) Fail(now citron.Instant, id citron.JobID, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j, ok := p.jobs[id]; ok && !j.terminal {
		p.endJob(now.Boot, j, work.State_STATE_FAILED, reason)
	}
}

// openDue opens the occurrences of scheduled jobs that are due.
func (p *Pool) openDue(now citron.Instant) {
	p.scheduled = slices.DeleteFunc(p.scheduled, func(j *job) bool { return j.terminal })
	for _, j := range p.scheduled {
		s := j.spec.GetSchedule()
		for !j.terminal && j.nextOccurrence < s.GetRepeats() {
			due := time.UnixMilli(s.GetFirstMs() + int64(j.nextOccurrence)*s.GetIntervalMs())
			wait := due.Sub(now.Wall)
			if wait > 0 || !j.mayOpen(p) {
				break
			}
			p.beginOccurrence(now.Boot, j, j.nextOccurrence, now.Boot+wait)
			j.nextOccurrence++
			p.changeJob(j)
		}
	}
}

// mayOpen reports whether a scheduled job may have one more open occurrence. Later ones wait for the end of earlier ones, since a
// schedule that begins in the past may have any number of them due at once.
func (j *job) mayOpen(p *Pool) bool {
	open := admit.OpenOccurrences(len(j.spec.GetSteps()), j.countTasks())
	if len(j.open) >= open {
		p.closeDoneOccurrences(j)
	}
	return len(j.open) < open
}

// beginOccurrence adds an occurrence that no former holder has begun.
func (p *Pool) beginOccurrence(now time.Duration, j *job, number int32, from time.Duration) {
	l := p.layOut(j)
	p.openOccurrence(now, j, number, from).layout = l
	if l.parts > 0 {
		p.changeJob(j) // The next plan lists the parts.
	}
}

// openOccurrence adds an occurrence; its latency objective is counted from the boot time from.
func (p *Pool) openOccurrence(now time.Duration, j *job, number int32, from time.Duration) *occurrence {
	o, tasks := &occurrence{job: j, number: number}, 0
	objective := p.objective(j)
	after := timesAfter(j.spec.GetSteps(), func(n int) time.Duration { return p.expectedRunTime(j, n) })
	for n, spec := range j.spec.GetSteps() {
		s := &step{
			ref:        citron.StepRef(fmt.Sprintf("%s.%d.%d", j.id, number, n)),
			job:        j,
			occurrence: o,
			index:      n,
			spec:       spec,
			firstTask:  tasks,
			remaining:  int(spec.GetTasks()),
			deadline:   from + objective - after[n],
			need:       citron.Capacity{MilliCores: spec.GetMilliCores(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators()},
		}
		if spec.GetFills() {
			s.need.MilliCores = 0
		}
		s.tasks = newTaskList(s, int(spec.GetTasks()), now)
		tasks += s.tasks.size
		o.steps = append(o.steps, s)
		p.steps[s.ref] = s
	}
	j.open = append(j.open, o)
	p.releaseSteps(now, o)
	return o
}

// TaskName returns the name of a task of one occurrence of a job.
func TaskName(id citron.JobID, occurrence, step, index int32) citron.TaskRef {
	return citron.TaskRef(fmt.Sprintf("%s.%d.%d.%d", id, occurrence, step, index))
}

// releaseSteps marks the steps of o whose dependencies are done as ready.
func (p *Pool) releaseSteps(now time.Duration, o *occurrence) {
	for _, s := range o.steps {
		if s.ready || s.remaining == 0 || slices.ContainsFunc(s.spec.GetAfter(), func(n int32) bool { return o.steps[n].remaining > 0 }) {
			continue
		}
		s.ready, s.readyAt = true, now
		p.recordHeadroom(now, s)
		p.waiting = append(p.waiting, s)
	}
}

// restoreOccurrence rebuilds an open occurrence from its records. Started runs are in doubt until their worker reports
// or its lease expires.
func (p *Pool) restoreOccurrence(now time.Duration, j *job, recorded *work.Occurrence, parts []*work.Part) {
	from := j.accepted
	if s := j.spec.GetSchedule(); s.GetRepeats() > 0 {
		from = now
	}
	o := p.openOccurrence(now, j, recorded.GetNumber(), from)
	for _, r := range o.restoreLayout(recorded, parts) {
		if int(r.GetStep()) >= len(o.steps) || int(r.GetIndex()) >= o.steps[r.GetStep()].tasks.size {
			continue
		}
		s := o.steps[r.GetStep()]
		t := s.tasks.at(int(r.GetIndex()))
		if t == nil {
			continue // The record names the task twice.
		}
		t.restoreRun(r.GetRun())
		t.failedRuns, t.checkpoint = r.GetFailedRuns(), r.GetCheckpoint()
		if s.spec.GetGang() {
			for _, run := range t.failedRuns {
				s.gangFailures.Record(run)
			}
		}
		t.crashes = crash.History{Runs: r.GetCrashedRuns(), Suspicions: r.GetSuspectedRuns()}
		p.watchSuspect(t)
		s.gangRun = max(s.gangRun, t.run)
		switch r.GetState() {
		case work.TaskState_TASK_STATE_DONE:
			t.setState(taskDone)
			s.remaining--
			s.tasks.settle(t)
		case work.TaskState_TASK_STATE_STARTED:
			p.adoptRun(now, t, r, taskInDoubt)
		case work.TaskState_TASK_STATE_LEAVING:
			p.adoptRun(now, t, r, taskLeaving)
			s.remaining--
		}
	}
	for _, s := range o.steps {
		if s.spec.GetGang() && s.remaining < s.tasks.size {
			// Only some of the records that show the end of the gang are stored.
			p.completeGang(now, s)
		} else if s.spec.GetGang() && s.waitingTasks() > 0 {
			// Members are started together, so a running member belongs to a broken gang that the former holder was about
			// to stop.
			p.breakGang(now, s)
		}
	}
	p.releaseSteps(now, o)
}

// adoptRun assigns a run that a former holder started to its worker.
func (p *Pool) adoptRun(now time.Duration, t *task, r *work.Task, state taskState) {
	w := p.ensureWorker(now, citron.Worker(r.GetWorker()))
	t.incarnation = citron.Incarnation(r.GetWorkerIncarnation())
	// The former holder may have renewed the lease until this epoch began.
	w.leaseUntil = max(w.leaseUntil, now+p.maxLeaseTime(p.Options.MaxLease))
	t.setState(state)
	t.stateSince, t.startedAt = now, now
	p.joinWorker(now, t, w, false)
	p.assign(t, w)
	if w.incarnation != 0 {
		p.endFormerRuns(now, w, false)
	}
}

// ensureWorker returns the worker with an id and adds it if it is unknown; the platform need not have listed it.
func (p *Pool) ensureWorker(now time.Duration, id citron.Worker) *worker {
	w, ok := p.workers[id]
	if !ok {
		w = &worker{entry: citron.WorkerEntry{ID: id}, hash: xxhash.Sum64String(string(id)), tasks: map[citron.TaskRef]*task{}, lastAnswer: now}
		p.workers[id] = w
		n, _ := p.workerIndex(id)
		p.byID = slices.Insert(p.byID, n, w)
	}
	return w
}

// workerIndex returns the index in byID at which a worker is or would be inserted.
func (p *Pool) workerIndex(id citron.Worker) (n int, found bool) {
	return slices.BinarySearchFunc(p.byID, id, func(w *worker, id citron.Worker) int { return cmp.Compare(w.entry.ID, id) })
}

// removeWorker removes a worker from the pool.
func (p *Pool) removeWorker(w *worker) {
	delete(p.workers, w.entry.ID)
	p.runTimes.Forget(w.entry.ID)
	if n, found := p.workerIndex(w.entry.ID); found {
		p.byID = slices.Delete(p.byID, n, n+1)
	}
}

// maxLeaseTime returns the maximum time on this daemon's clock until a lease that is renewed now has expired on the
// worker's clock and the worker has stopped its tasks.
func (p *Pool) maxLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+p.Options.ClockDrift)) + p.Options.StopGrace
}

// objective returns the latency objective of a job: its longest chain of steps times the stretch, plus the target.
func (p *Pool) objective(j *job) time.Duration {
	terms := j.spec.GetTerms()
	chain := longestChain(j.spec.GetSteps(), func(n int) time.Duration { return p.expectedRunTime(j, n) })
	stretch := float64(terms.GetStretchPercent()) / 100
	return time.Duration(math.Max(stretch, 1)*float64(chain)) + time.Duration(terms.GetTargetMs())*time.Millisecond
}

// longestChain returns the run time of the longest chain of dependent steps.
func longestChain(steps []*work.Step, runTime func(n int) time.Duration) (longest time.Duration) {
	for n, after := range timesAfter(steps, runTime) {
		longest = max(longest, runTime(n)+after)
	}
	return longest
}

// timesAfter returns for each step the run time of the longest chain of steps that depend on it. Steps depend on earlier ones only.
func timesAfter(steps []*work.Step, runTime func(n int) time.Duration) []time.Duration {
	after := make([]time.Duration, len(steps))
	for m := len(steps) - 1; m >= 0; m-- {
		chain := runTime(m) + after[m]
		for _, n := range steps[m].GetAfter() {
			if n >= 0 && int(n) < m {
				after[n] = max(after[n], chain)
			}
		}
	}
	return after
}

// expectedRunTime returns the expected run time of a task of step n.
func (p *Pool) expectedRunTime(j *job, n int) time.Duration {
	s := j.spec.GetSteps()[n]
	return p.runTimes.Estimate(kindOf(j, n), time.Duration(s.GetEstimateMs())*time.Millisecond)
}

// expectedOf returns the expected run time of a task of a step, as it was when it was first asked for since the last plan began.
func (p *Pool) expectedOf(s *step) time.Duration {
	if s.expectedAt != p.planNumber || s.expected == 0 {
		s.expected, s.expectedAt = p.expectedRunTime(s.job, s.index), p.planNumber
	}
	return s.expected
}

// endJob sets the final state of a job and stops its tasks.
func (p *Pool) endJob(now time.Duration, j *job, state work.State, reason string) {
	j.state, j.terminal = state, true
	p.changeJob(j)
	p.observe(Decision{Kind: DecidedJobEnd, Job: j.id, Outcome: state.String(), Reason: reason, Age: now - j.accepted, Spent: p.spentOn(now, j)})
	p.stopAllTasks(now, j)
}

// stopAllTasks stops every task of a job.
func (p *Pool) stopAllTasks(now time.Duration, j *job) {
	for _, o := range j.open {
		for _, s := range o.steps {
			for t := range s.tasks.withObject {
				p.stopTask(now, t)
			}
			s.tasks.close()
		}
	}
}

// stopTask stops a task of an ended job; a waiting task is never started.
func (p *Pool) stopTask(now time.Duration, t *task) {
	switch t.state {
	case taskWaiting:
		t.setState(taskDone)
		t.dropped = true
		t.step.tasks.settle(t)
	case taskOrdered, taskInDoubt, taskRunning:
		p.stopRun(now, t)
	}
}

// stopRun orders the stop of a task's run.
func (p *Pool) stopRun(now time.Duration, t *task) {
	t.setState(taskStopping)
	t.stateSince, t.stopSentAt, t.stopAckedAt = now, now, 0
	p.sendStop(t)
}

// sendStop queues the stop order for the current run of a task.
func (p *Pool) sendStop(t *task) {
	if t.worker.entry.Address == "" {
		// The address is unknown: checkWorkers sends the order once the platform lists the worker.
		t.stopSentAt = 0
		return
	}
	p.stops = append(p.stops, Stop{Worker: t.worker.target(), Order: citron.StopOrder{Task: t.ref, Run: t.run, Epoch: p.Epoch}})
}
