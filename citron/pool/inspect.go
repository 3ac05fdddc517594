package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// QueueLoad is the backlog of one queue.
type QueueLoad struct {
	Queue                 citron.QueueName
	OpenJobs              int
	WaitingTasks, Running int
}

// WorkerStatus describes a worker to operators.
type WorkerStatus struct {
	Entry citron.WorkerEntry
	// State is "usable" or the reason why the worker accepts no tasks.
	State string
	Tasks int
	Used  citron.Capacity
	// SinceAnswer is the time since its last answer.
	SinceAnswer time.Duration
	// Speed is its estimated speed, SpeedClass how placement treats it: slow, usual or fast.
	Speed      citron.WorkerSpeed
	SpeedClass string
}

// TaskStatus describes a task to operators.
type TaskStatus struct {
	Task   citron.TaskRef
	State  string
	Run    int32
	Worker citron.Worker
	// Since is how long the task has been in its state.
	Since    time.Duration
	Failures int
	// Reason is what a waiting task waits for.
	Reason string
}

// taskStateNames are the task states as shown to operators.
var taskStateNames = map[taskState]string{
	taskWaiting:  "waiting",
	taskOrdered:  "ordered",
	taskInDoubt:  "unsure",
	taskRunning:  "running",
	taskStopping: "stopping",
	taskLeaving:  "leaving",
	taskDone:     "done",
}

// Queues returns the backlog of each queue, sorted by name.
func (p *Pool) Queues() (list []QueueLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := map[citron.QueueName]*QueueLoad{}
	for _, j := range p.jobs {
		name := citron.QueueName(j.spec.GetQueue())
		q := loads[name]
		if q == nil {
			q = &QueueLoad{Queue: name}
			loads[name] = q
		}
		if !j.terminal {
			q.OpenJobs++
		}
		for _, o := range j.open {
			for _, s := range o.steps {
				q.Running += s.counts.assigned
				if s.ready {
					q.WaitingTasks += s.waitingTasks()
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		list = append(list, *loads[name])
	}
	return list
}

// WorkerStatuses returns every known worker, sorted by id.
func (p *Pool) WorkerStatuses(now citron.Instant) (list []WorkerStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.byID {
		list = append(list, WorkerStatus{
			Entry: w.entry, State: w.state(now.Boot), Tasks: len(w.tasks), Used: w.used, SinceAnswer: now.Boot - w.lastAnswer,
			Speed: p.runTimes.Speed(w.entry.ID, w.speed.group), SpeedClass: speedClassNames[w.speed.class],
		})
	}
	return list
}

// stateUsable is the state of a worker that accepts tasks.
const stateUsable = "usable"

// state returns stateUsable or the reason why the worker accepts no tasks.
func (w *worker) state(now time.Duration) string {
	switch {
	case w.gone:
		return "restarted"
	case !w.listed:
		return "unlisted"
	case w.entry.Draining:
		return "draining"
	case !w.reported:
		return "unreported"
	case w.entry.Incarnation != 0 && w.entry.Incarnation != w.incarnation:
		return "restarted, not listed since"
	case w.unresponsive:
		return "silent"
	case w.cordoned:
		return "cordoned"
	case w.unrecordedRuns:
		return "runs what is not recorded"
	case now < w.blockedUntil:
		return "blocked"
	}
	return stateUsable
}

// Explain returns the tasks of a job. Ok is false if the job is unknown or has ended.
func (p *Pool) Explain(now citron.Instant, id citron.JobID) (list []TaskStatus, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.jobs[id]
	if !ok {
		return nil, false
	}
	wp := waitingPass{pool: p, now: now.Boot}
	for _, o := range j.open {
		for _, s := range o.steps {
			reason := wp.waitReason(s)
			for i := range s.tasks.size {
				l := s.tasks.status(i, now.Boot)
				if l.State == taskStateNames[taskWaiting] {
					l.Reason = reason
				}
				list = append(list, l)
			}
		}
	}
	return list, true
}

// waitReason returns what the waiting tasks of a step wait for.
func (wp *waitingPass) waitReason(s *step) string {
	if !s.ready {
		return fmt.Sprintf("the steps %v, which are not done", s.spec.GetAfter())
	}
	usable, allowed, slots := 0, 0, 0
	for _, w := range wp.candidates(s) {
		usable++
		if wp.allowed(s, w) {
			allowed++
			slots += wp.capacityFor(s, w).MaxCopies(s.need)
		}
	}
	return fmt.Sprintf("%d of %d tasks wait; workers usable %d, allowed now %d with room for %d; policy answers %d, tickets %d, asking %t%s",
		s.waitingTasks(), s.tasks.size, usable, allowed, slots, len(s.eligible), len(s.permits), s.advicePending, wp.quotaReason(s))
}
