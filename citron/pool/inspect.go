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

// WorkerStatus is what is known of one worker.
type WorkerStatus struct {
	Entry citron.WorkerEntry
	// State is "usable" or says why the worker takes no tasks.
	State string
	Tasks int
	Used  citron.Capacity
	// SinceAnswer is how long ago it last answered.
	SinceAnswer time.Duration
}

// TaskStatus is where one task stands.
type TaskStatus struct {
	Task     citron.TaskRef
	State    string
	Run      int32
	Worker   citron.Worker
	Since    time.Duration
	Failures int
	// Reason says what a waiting task waits for.
	Reason string
}

var taskStateNames = map[taskState]string{
	taskWaiting:  "waiting",
	taskOrdered:  "ordered",
	taskUnsure:   "unsure",
	taskRunning:  "running",
	taskStopping: "stopping",
	taskLeaving:  "leaving",
	taskDone:     "done",
}

// Queues sums up the open jobs by queue.
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
				for _, t := range s.tasks {
					switch {
					case t.worker != nil:
						q.Running++
					case s.ready && t.state == taskWaiting:
						q.WaitingTasks++
					}
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		list = append(list, *loads[name])
	}
	return list
}

// WorkerStatuses lists every known worker by id.
func (p *Pool) WorkerStatuses(now citron.Instant) (list []WorkerStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.order {
		list = append(list, WorkerStatus{
			Entry: w.entry, State: w.state(now.Boot), Tasks: len(w.tasks), Used: w.used, SinceAnswer: now.Boot - w.lastAnswer,
		})
	}
	return list
}

// stateUsable is the state of a worker that may be given tasks.
const stateUsable = "usable"

// state is stateUsable or says why a worker takes no tasks.
func (w *worker) state(now time.Duration) string {
	switch {
	case w.dead:
		return "restarted"
	case !w.listed:
		return "unlisted"
	case w.entry.Draining:
		return "draining"
	case !w.reported:
		return "unreported"
	case w.silent:
		return "silent"
	case w.cordoned:
		return "cordoned"
	case w.strangers:
		return "runs what is not recorded"
	case now < w.blockedUntil:
		return "blocked"
	}
	return stateUsable
}

// Explain lists the tasks of a job that has not ended; false if there is none.
func (p *Pool) Explain(now citron.Instant, id citron.JobID) (list []TaskStatus, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.jobs[id]
	if !ok {
		return nil, false
	}
	b := board{p: p, now: now.Boot}
	for _, o := range j.open {
		for _, s := range o.steps {
			why := b.waitsFor(s)
			for _, t := range s.tasks {
				l := TaskStatus{Task: t.ref, State: taskStateNames[t.state], Run: t.run, Since: now.Boot - max(t.since, t.waitedFrom), Failures: len(t.failedRuns)}
				if t.worker != nil {
					l.Worker = t.worker.entry.ID
				}
				if t.state == taskWaiting {
					l.Reason = why
				}
				list = append(list, l)
			}
		}
	}
	return list, true
}

// waitsFor says what the waiting tasks of a step wait for.
func (b *board) waitsFor(s *step) string {
	if !s.ready {
		return fmt.Sprintf("the steps %v, which are not done", s.spec.GetAfter())
	}
	usable, allowed, seats := 0, 0, 0
	for _, w := range b.candidates(s) {
		usable++
		if b.allowed(s, w) {
			allowed++
			seats += b.room(s, w).MaxCopies(s.need)
		}
	}
	return fmt.Sprintf("%d of %d tasks wait; workers usable %d, allowed now %d with room for %d; policy answers %d, tickets %d, asking %t",
		s.waitingTasks(), len(s.tasks), usable, allowed, seats, len(s.eligible), len(s.permits), s.asking)
}
