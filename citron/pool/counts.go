package pool

import "github.com/citroncross/citroncross/citron"

// This file answers jobs of thousands of tasks in one step. Callers choose how many tasks a step has, and plans hold the lock that all
// other jobs need. So what a plan asks of a step is counted as its tasks change, and no plan looks at each task for each worker.

// taskCounts sums up the tasks of one step.
type taskCounts struct {
	// waiting counts the waiting tasks, waitingAgain those of them that have run before, active the runs that have not been told to stop,
	// and assigned the tasks that may be on a worker.
	waiting, waitingAgain, active, assigned int
	// firstWaiting is an index before which no task waits.
	firstWaiting int
	// failedOn holds the workers that a task of the step avoids.
	failedOn map[citron.Worker]bool
	// onWorker counts the assigned tasks by worker for steps that limit them, inRack by rack for steps that prefer one rack. Both are
	// nil for other steps.
	onWorker map[*worker]int
	inRack   map[citron.Rack]int
}

// active reports whether a run in this state goes on unless it is told to stop.
func (s taskState) active() bool {
	return s == taskOrdered || s == taskInDoubt || s == taskRunning
}

// setState changes the state of a task. The number of a new run is set afterwards.
func (t *task) setState(state taskState) {
	t.count(-1)
	t.state = state
	t.count(1)
	if state == taskWaiting {
		c := &t.step.counts
		c.firstWaiting = min(c.firstWaiting, t.index)
	}
}

// count adds n to the counts of the state of the task.
func (t *task) count(n int) {
	c := &t.step.counts
	switch {
	case t.state == taskWaiting:
		c.waiting += n
		if t.run > 0 {
			c.waitingAgain += n
		}
	case t.state.active():
		c.active += n
	}
}

// restoreRun sets the number of the newest run of a task that has not run in this epoch.
func (t *task) restoreRun(run int32) {
	t.count(-1)
	t.run = run
	t.count(1)
}

// countOn adds n to the counts of tasks of the step on a worker.
func (s *step) countOn(w *worker, n int) {
	c := &s.counts
	c.assigned += n
	if s.spec.GetPerWorker() > 0 {
		if c.onWorker == nil {
			c.onWorker = map[*worker]int{}
		}
		addOrDelete(c.onWorker, w, n)
	}
	if s.spec.GetSameRack() {
		if c.inRack == nil {
			c.inRack = map[citron.Rack]int{}
		}
		addOrDelete(c.inRack, w.entry.Rack, n)
	}
	if s.spec.GetFills() {
		w.filling += n
	}
	if s.spec.GetTailTargetMs() > 0 {
		w.serving += n
	}
}

// addOrDelete adds n to a count and deletes a count of 0.
func addOrDelete[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// setEntry replaces the entry of a worker, which is not known yet if only a record has named the worker.
func (w *worker) setEntry(e citron.WorkerEntry) {
	former := w.entry.Rack
	w.entry = e
	if former == e.Rack {
		return
	}
	for _, t := range w.tasks {
		if c := &t.step.counts; c.inRack != nil {
			addOrDelete(c.inRack, former, -1)
			addOrDelete(c.inRack, e.Rack, 1)
		}
	}
}
