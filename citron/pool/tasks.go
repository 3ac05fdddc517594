package pool

import (
	"strconv"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// This file answers jobs with many more tasks than the workers can run at once. A task has an object from its first start until its end;
// the others are told by the counts of their step.

// taskList holds the tasks of a step. The zero value is a step without tasks.
type taskList struct {
	step *step
	size int
	// since is when the step was opened, from which its tasks wait.
	since time.Duration
	// objects holds the tasks that have been started and need a further look, by index. It is nil before the first one.
	objects []*task
	// settled holds the result of each task that needs no further run and is on no worker, by index. It is nil before the first one.
	settled []result
	// closed is set once the tasks that were never started are not needed any more.
	closed bool
}

// result is the number of the last run of a task that needs no further one: that number plus 1 if the task is done, the negative of that
// if it is not needed, and 0 for all other tasks.
type result int32

// resultOf returns the result of a task without a worker that needs no further run.
func resultOf(t *task) result {
	if t.done() {
		return result(t.run) + 1
	}
	return -result(t.run) - 1
}

// run returns the number of the last run.
func (r result) run() int32 {
	return max(int32(r), -int32(r)) - 1
}

// done reports whether a run of the task has ended as done.
func (r result) done() bool { return r > 0 }

// newTaskList returns the waiting tasks of a step that is opened now.
func newTaskList(s *step, size int, now time.Duration) taskList {
	s.counts.waiting = size
	return taskList{step: s, size: size, since: now}
}

// at returns the task with an index, and nil if it needs no further run and is on no worker.
func (l *taskList) at(index int) *task {
	if l.settled != nil && l.settled[index] != 0 || l.closed && l.find(index) == nil {
		return nil
	}
	if l.objects == nil {
		l.objects = make([]*task, l.size)
	}
	if l.objects[index] == nil {
		l.objects[index] = &task{ref: l.ref(index), step: l.step, index: index, waitingSince: l.since}
	}
	return l.objects[index]
}

// find returns the task with an index if it has an object, or nil.
func (l *taskList) find(index int) *task {
	if l.objects == nil || index < 0 || index >= l.size {
		return nil
	}
	return l.objects[index]
}

// ref returns the name of the task with an index.
func (l *taskList) ref(index int) citron.TaskRef {
	name := make([]byte, 0, len(l.step.ref)+8)
	name = append(append(name, l.step.ref...), '.')
	return citron.TaskRef(strconv.AppendInt(name, int64(index), 10))
}

// withObject returns the tasks that have an object.
func (l *taskList) withObject(yield func(*task) bool) {
	for _, t := range l.objects {
		if t != nil && !yield(t) {
			return
		}
	}
}

// unsettled returns all tasks that need a further run or are on a worker, and makes objects for them.
func (l *taskList) unsettled(yield func(*task) bool) {
	for i := range l.size {
		if t := l.at(i); t != nil && !yield(t) {
			return
		}
	}
}

// settle replaces the object of a task that needs no further run and is on no worker by its result.
func (l *taskList) settle(t *task) {
	if t.state != taskDone || t.worker != nil || l.find(t.index) != t {
		return
	}
	if l.settled == nil {
		l.settled = make([]result, l.size)
	}
	l.settled[t.index], l.objects[t.index] = resultOf(t), nil
}

// close drops the tasks that were never started.
func (l *taskList) close() {
	if l.closed {
		return
	}
	l.closed = true
	for i := range l.size {
		if l.find(i) == nil && (l.settled == nil || l.settled[i] == 0) {
			l.step.counts.waiting--
		}
	}
}

// record returns the record of a task. Of a task that needs no further run, only the result matters to the next holder.
func (l *taskList) record(index int) *work.Task {
	if t := l.find(index); t != nil {
		return t.record()
	}
	if l.settled == nil || l.settled[index] == 0 {
		return nil
	}
	r := &work.Task{Step: int32(l.step.index), Index: int32(index), Run: l.settled[index].run()}
	if l.settled[index].done() {
		r.State = work.TaskState_TASK_STATE_DONE
	}
	return r
}

// status returns the status of a task for operators.
func (l *taskList) status(index int, now time.Duration) TaskStatus {
	t := l.find(index)
	if t == nil {
		status := TaskStatus{Task: l.ref(index), State: taskStateNames[taskWaiting], Since: now - l.since}
		if l.settled != nil && l.settled[index] != 0 {
			status.State, status.Run, status.Since = taskStateNames[taskDone], l.settled[index].run(), 0
		}
		return status
	}
	status := TaskStatus{Task: t.ref, State: taskStateNames[t.state], Run: t.run, Since: now - max(t.stateSince, t.waitingSince), Failures: len(t.failedRuns)}
	if t.worker != nil {
		status.Worker = t.worker.entry.ID
	}
	return status
}
