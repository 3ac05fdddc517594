package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// Accept takes a job in. Progress, which may be nil, is what former holders have recorded of it.
func (p *Pool) Accept(now citron.Instant, spec *work.Job, progress *work.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := citron.JobID(spec.GetID())
	if _, known := p.jobs[id]; known {
		return
	}
	if _, over := p.ended[id]; over {
		return
	}
	over := IsTerminal(progress.GetState())
	if over && len(progress.GetOpen()) == 0 {
		p.ended[id] = ending{now.Boot, progress.GetState(), progress.GetNextOccurrence(), progress.GetEndedMs()}
		return
	}
	waited := max(now.Wall.Sub(time.UnixMilli(spec.GetAcceptedMs())), 0)
	j := &job{id: id, spec: spec, accepted: now.Boot - waited, state: progress.GetState(), recorded: progress.GetState(), next: progress.GetNextOccurrence()}
	p.jobs[id] = j
	if spec.GetSchedule().GetRepeats() > 0 {
		p.scheduled = append(p.scheduled, j)
	}
	for _, o := range progress.GetOpen() {
		p.restore(now.Boot, j, o)
	}
	if over {
		// Its runs take room until their workers list their ends.
		j.terminal = true
		p.haltAll(now.Boot, j)
		p.dirty[j] = true
		return
	}
	if spec.GetSchedule().GetRepeats() == 0 && j.next == 0 {
		p.openOccurrence(now.Boot, j, 0, j.accepted)
		j.next = 1
	}
}

// IsTerminal reports whether a state is final.
func IsTerminal(s work.State) bool {
	return s == work.State_STATE_COMPLETED || s == work.State_STATE_FAILED || s == work.State_STATE_CANCELLED
}

// Cancel ends a job; its tasks are stopped.
func (p *Pool) Cancel(now citron.Instant, id citron.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j, ok := p.jobs[id]; ok && !j.terminal {
		p.finish(now.Boot, j, work.State_STATE_CANCELLED, "cancelled by its caller")
	}
}

// openDue begins the occurrences whose time has come.
func (p *Pool) openDue(now citron.Instant) {
	p.scheduled = slices.DeleteFunc(p.scheduled, func(j *job) bool { return j.terminal })
	for _, j := range p.scheduled {
		s := j.spec.GetSchedule()
		for !j.terminal && j.next < s.GetRepeats() {
			due := time.UnixMilli(s.GetFirstMs() + int64(j.next)*s.GetIntervalMs())
			wait := due.Sub(now.Wall)
			if wait > 0 {
				break
			}
			p.openOccurrence(now.Boot, j, j.next, now.Boot+wait)
			j.next++
			p.dirty[j] = true
		}
	}
}

func (p *Pool) openOccurrence(now time.Duration, j *job, number int32, from time.Duration) *occurrence {
	o := &occurrence{job: j, number: number}
	objective := p.objective(j)
	for n, spec := range j.spec.GetSteps() {
		s := &step{
			ref:      citron.StepRef(fmt.Sprintf("%s.%d.%d", j.id, number, n)),
			job:      j,
			occ:      o,
			index:    n,
			spec:     spec,
			left:     int(spec.GetTasks()),
			deadline: from + objective - p.after(j, n),
			need:     citron.Capacity{MilliCores: spec.GetMilliCores(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators()},
		}
		if spec.GetFills() {
			s.need.MilliCores = 0
		}
		s.tasks = make([]*task, spec.GetTasks())
		for i := range s.tasks {
			s.tasks[i] = &task{ref: TaskName(j.id, number, int32(n), int32(i)), step: s, index: i, waitedFrom: now}
		}
		o.steps = append(o.steps, s)
		p.steps[s.ref] = s
	}
	j.open = append(j.open, o)
	p.release(now, o)
	return o
}

// TaskName returns the name of a task of one occurrence of a job.
func TaskName(id citron.JobID, occurrence, step, index int32) citron.TaskRef {
	return citron.TaskRef(fmt.Sprintf("%s.%d.%d.%d", id, occurrence, step, index))
}

// release makes the steps ready whose earlier steps are done.
func (p *Pool) release(now time.Duration, o *occurrence) {
	for _, s := range o.steps {
		if s.ready || s.left == 0 || slices.ContainsFunc(s.spec.GetAfter(), func(n int32) bool { return o.steps[n].left > 0 }) {
			continue
		}
		s.ready, s.readyAt = true, now
		p.waiting = append(p.waiting, s)
	}
}

// restore rebuilds an open occurrence from what was recorded. Runs that were started are unsure until their worker
// reports, or its lease has lapsed.
func (p *Pool) restore(now time.Duration, j *job, recorded *work.Occurrence) {
	from := j.accepted
	if s := j.spec.GetSchedule(); s.GetRepeats() > 0 {
		from = now
	}
	o := p.openOccurrence(now, j, recorded.GetNumber(), from)
	for _, r := range recorded.GetTasks() {
		if int(r.GetStep()) >= len(o.steps) || int(r.GetIndex()) >= len(o.steps[r.GetStep()].tasks) {
			continue
		}
		s := o.steps[r.GetStep()]
		t := s.tasks[r.GetIndex()]
		t.run, t.failedRuns, t.checkpoint = r.GetRun(), r.GetFailedRuns(), r.GetCheckpoint()
		s.gangRun = max(s.gangRun, t.run)
		switch r.GetState() {
		case work.TaskState_TASK_STATE_DONE:
			t.state = taskDone
			s.left--
		case work.TaskState_TASK_STATE_STARTED:
			p.adopt(now, t, citron.Worker(r.GetWorker()), taskUnsure)
		case work.TaskState_TASK_STATE_LEAVING:
			p.adopt(now, t, citron.Worker(r.GetWorker()), taskLeaving)
			s.left--
		}
	}
	for _, s := range o.steps {
		if s.spec.GetGang() && s.waitingTasks() > 0 {
			// Its members are started together, so the former holder was about to stop those that run.
			p.breakGang(now, s)
		}
	}
	p.release(now, o)
}

// adopt books the room of a run that a former holder has started.
func (p *Pool) adopt(now time.Duration, t *task, id citron.Worker, state taskState) {
	w := p.worker(now, id)
	// The former holder may have renewed the lease until this epoch began.
	w.leaseUntil = max(w.leaseUntil, now+p.lapse(p.Options.MaxLease))
	t.state, t.worker, t.since, t.startedAt = state, w, now, now
	w.tasks[t.ref] = t
	w.used = w.used.Add(t.step.need)
}

// worker returns a worker, known to the platform or not.
func (p *Pool) worker(now time.Duration, id citron.Worker) *worker {
	w, ok := p.workers[id]
	if !ok {
		w = &worker{entry: citron.WorkerEntry{ID: id}, tasks: map[citron.TaskRef]*task{}, lastAnswer: now}
		p.workers[id] = w
		n, _ := p.position(id)
		p.order = slices.Insert(p.order, n, w)
	}
	return w
}

// position returns where a worker is, or would be, in the order.
func (p *Pool) position(id citron.Worker) (n int, found bool) {
	return slices.BinarySearchFunc(p.order, id, func(w *worker, id citron.Worker) int { return cmp.Compare(w.entry.ID, id) })
}

// drop forgets a worker.
func (p *Pool) drop(w *worker) {
	delete(p.workers, w.entry.ID)
	if n, found := p.position(w.entry.ID); found {
		p.order = slices.Delete(p.order, n, n+1)
	}
}

// lapse is the longest time on this daemon's clock until a lease of that length, renewed now, has ended on the worker's
// clock and the worker has stopped its tasks.
func (p *Pool) lapse(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+p.Options.ClockDrift)) + p.Options.StopGrace
}

// objective is the time within which callers want the job done.
func (p *Pool) objective(j *job) time.Duration {
	terms := j.spec.GetTerms()
	chain := time.Duration(0)
	for n := range j.spec.GetSteps() {
		chain = max(chain, p.expected(j, n)+p.after(j, n))
	}
	stretch := float64(terms.GetStretchPercent()) / 100
	return time.Duration(math.Max(stretch, 1)*float64(chain)) + time.Duration(terms.GetTargetMs())*time.Millisecond
}

// after is the longest chain of work behind a step.
func (p *Pool) after(j *job, n int) time.Duration {
	longest := time.Duration(0)
	for m := n + 1; m < len(j.spec.GetSteps()); m++ {
		if slices.Contains(j.spec.GetSteps()[m].GetAfter(), int32(n)) {
			longest = max(longest, p.expected(j, m)+p.after(j, m))
		}
	}
	return longest
}

// expected is the expected run time of one task of a step.
func (p *Pool) expected(j *job, n int) time.Duration {
	s := j.spec.GetSteps()[n]
	return p.learnt.expect(kindOf(j, n), time.Duration(s.GetEstimateMs())*time.Millisecond)
}

// finish decides the end of a job and stops what still runs of it.
func (p *Pool) finish(now time.Duration, j *job, state work.State, reason string) {
	j.state, j.terminal = state, true
	p.dirty[j] = true
	p.observe(Decision{Kind: DecidedJobEnd, Job: j.id, Outcome: state.String(), Reason: reason, Age: now - j.accepted})
	p.haltAll(now, j)
}

// haltAll stops every task of a job.
func (p *Pool) haltAll(now time.Duration, j *job) {
	for _, o := range j.open {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				p.halt(now, t)
			}
		}
	}
}

// halt stops a task whose job is over.
func (p *Pool) halt(now time.Duration, t *task) {
	switch t.state {
	case taskWaiting:
		t.state = taskDone
	case taskOrdered, taskUnsure, taskRunning:
		p.stop(now, t)
	}
}

// stop orders the end of a run.
func (p *Pool) stop(now time.Duration, t *task) {
	t.state, t.since, t.stopAsked, t.stopAcked = taskStopping, now, now, 0
	p.sendStop(t)
}

func (p *Pool) sendStop(t *task) {
	if t.worker.entry.Address == "" {
		// It is sent once the platform lists the worker.
		t.stopAsked = 0
		return
	}
	p.stops = append(p.stops, Stop{Worker: t.worker.entry, Order: citron.StopOrder{Task: t.ref, Run: t.run, Epoch: p.Epoch}})
}
