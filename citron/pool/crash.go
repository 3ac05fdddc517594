package pool

import (
	"time"

	"github.com/citroncross/citroncross/citron/crash"
	"github.com/citroncross/citroncross/schema/work"
)

// verdictTime is how long a worker that is no longer listed is still asked for an answer, if that decides whether it
// crashed under the runs that were given up.
const verdictTime = 15 * time.Second

// promptRefusal is how soon after its last answer a crashed worker refuses a connection. Unless it has no tasks, it is asked
// again after a long poll of a second at the latest.
const promptRefusal = 2 * time.Second

// lostRun is a run that was given up together with its worker. It counts as a crash once the worker is known to have
// crashed.
type lostRun struct {
	task  *task
	crash crash.Crash
}

// settled reports whether the worker of a task has outlived the start of its run for so long that the run is not
// suspected if the worker crashes. Only reports tell whose life it was that outlived the start.
func (t *task) settled() bool {
	switch t.state {
	case taskRunning, taskStopping, taskLeaving:
		return t.worker.lastReport >= t.startedAt+crash.SettleTime
	}
	return false
}

// suspected reports whether the run of a task may be the cause if its worker has crashed. It was under way when the worker
// refused connections soon after its last answer. A worker that becomes silent may have crashed long after that or only be
// cut off; after such crashes the task is suspected only once more workers have crashed under it than others may explain.
func (t *task) suspected() bool {
	w := t.worker
	abrupt := t.startedAt <= w.refusedAt && w.refusedAt <= max(w.lastAnswer, t.startedAt)+promptRefusal
	return !t.settled() && (abrupt || t.crashes.Tolerated())
}

// unit returns what starts together with a task: its gang, or only the task.
func (t *task) unit() string {
	if t.step.spec.GetGang() {
		return string(t.step.ref)
	}
	return string(t.ref)
}

// recordLost remembers runs on a worker that are about to be given up.
func (p *Pool) recordLost(now time.Duration, w *worker, tasks []*task) {
	units := map[string]bool{}
	for _, t := range tasks {
		if t.suspected() {
			units[t.unit()] = true
		}
	}
	w.lostAt = now
	for _, t := range tasks {
		w.lost = append(w.lost, lostRun{t, crash.Crash{
			Run:       t.run,
			Suspected: t.suspected(),
			Begun:     t.state == taskRunning || t.startSeen,
			Alone:     len(units) == 1,
		}})
	}
}

// awaitsVerdict reports whether an answer of the worker would tell whether it crashed under runs that were given up.
func (w *worker) awaitsVerdict(now time.Duration) bool {
	return !w.gone && len(w.lost) > 0 && now-w.lostAt < verdictTime
}

// countCrash counts the crash of a worker under its lost runs and fails the jobs whose tasks are given up. A worker that was
// about to leave or to go down for upkeep has not crashed.
func (p *Pool) countCrash(now time.Duration, w *worker) {
	lost := w.lost
	w.lost = nil
	if w.entry.Draining || w.cordoned {
		return
	}
	for _, l := range lost {
		t := l.task
		if t.finished() {
			continue
		}
		p.changeTask(t)
		givenUp := t.crashes.Record(l.crash)
		p.watchSuspect(t)
		if givenUp && !t.settled() {
			p.endJob(now, t.step.job, work.State_STATE_FAILED, "a task has crashed its workers")
		}
	}
}

// watchSuspect adds a task to the suspects if it may not share its worker with other starts.
func (p *Pool) watchSuspect(t *task) {
	if t.crashes.Exclusive() {
		p.suspects[t] = true
	}
}

// closeWorkers closes the workers with suspects that have not settled to other starts, and forgets the suspects that have.
func (wp *waitingPass) closeWorkers() {
	p := wp.pool
	for t := range p.suspects {
		switch {
		case t.finished():
			delete(p.suspects, t)
		case t.worker == nil:
		case !t.settled():
			wp.closeWorker(t.worker)
		case t.state == taskRunning && t.crashes.Settled():
			p.changeTask(t)
			delete(p.suspects, t)
		}
	}
}

// closeWorker keeps other steps from starting tasks on a worker during this pass.
func (wp *waitingPass) closeWorker(w *worker) {
	if wp.closed == nil {
		wp.closed = map[*worker]bool{}
	}
	wp.closed[w] = true
}

// unsettled reports whether a task on the worker has not settled.
func (w *worker) unsettled() bool {
	for _, t := range w.tasks {
		if !t.settled() {
			return true
		}
	}
	return false
}

// exclusive reports whether a member of a gang may not share its worker with other starts.
func (p *Pool) exclusive(s *step) bool {
	for t := range p.suspects {
		if t.step == s && t.crashes.Exclusive() {
			return true
		}
	}
	return false
}

// workerFor returns the best worker for a task. A suspect starts only on a worker without other tasks that have not settled;
// if there is none, the best of the others is closed, so that its tasks settle.
func (wp *waitingPass) workerFor(s *step, t *task) *worker {
	if !t.crashes.Exclusive() {
		return wp.bestWorker(s, t, nil)
	}
	if w := wp.bestWorker(s, t, func(w *worker) bool { return !w.unsettled() }); w != nil {
		return w
	}
	if w := wp.bestWorker(s, t, nil); w != nil {
		wp.closeWorker(w)
	}
	return nil
}
