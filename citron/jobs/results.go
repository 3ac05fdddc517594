package jobs

import (
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

// maxAttempts bounds the runs of one task.
const maxAttempts = 3

// States that workers report.
const (
	// StateRunning means that the attempt runs.
	StateRunning = "Running"
	// StateDone means that it ended well.
	StateDone = "Done"
	// StateFailed means that it ended with an error.
	StateFailed = "Failed"
	// StateStopped means that it was stopped on request.
	StateStopped = "Stopped"
	// StateLeaseExpired means that it was stopped because its lease had lapsed.
	StateLeaseExpired = "Lapsed"
)

// replied takes in what a worker says of its attempts.
func (p *pool) replied(l *link, reply *lab.SyncReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.Timer.Now().Boot
	ended := false
	listed := map[place.Task]bool{}
	for _, report := range reply.GetTasks() {
		key := place.Task{Job: citron.JobID(report.GetRef().GetJobID()), Task: report.GetRef().GetTask()}
		a, ok := l.attempt(key, report.GetRef().GetAttempt())
		if !ok {
			continue
		}
		listed[key] = true
		if report.GetState() == StateRunning {
			p.running(l, key, a, report)
			continue
		}
		p.judge(l, report, now)
		p.note(key, phaseOf(report.GetState()), report.GetResult())
		ended = true
	}
	for _, key := range l.missing(listed) {
		p.note(key, record.TaskPhase_TASK_PHASE_LOST, "the worker no longer has the task")
		ended = true
	}
	if ended {
		p.sendResults(now)
	}
}

func (p *pool) running(l *link, key place.Task, a *attempt, report *lab.TaskReport) {
	a.adopted = false
	if !a.running {
		a.running = true
		p.place.RecordStart(l.name, false, 0)
	}
	p.sizes.learn(a.spec, report)
	if larger, grew := a.grown(report); grew {
		p.place.Resize(key, larger)
	}
}

// judge counts failures against the worker.
func (p *pool) judge(l *link, report *lab.TaskReport, now time.Duration) {
	failed := report.GetState() == StateFailed
	if p.place.RecordStart(l.name, failed, now) {
		p.s.Log.Emit(event.WorkerQuarantined, event.Fields{"Worker": l.name})
	}
}

func phaseOf(reported string) record.TaskPhase {
	switch reported {
	case StateDone:
		return record.TaskPhase_TASK_PHASE_DONE
	case StateFailed:
		return record.TaskPhase_TASK_PHASE_FAILED
	case StateStopped:
		return record.TaskPhase_TASK_PHASE_CANCELLED
	}
	return record.TaskPhase_TASK_PHASE_LOST
}

// note decides what an ended attempt means for its task and keeps the result until the log shows it.
func (p *pool) note(key place.Task, phase record.TaskPhase, text string) {
	if _, known := p.results[key]; known {
		return
	}
	p.jobs.View(key.Job, func(j *state.Job) {
		task := j.Tasks[key.Task]
		p.results[key] = &record.TaskResult{
			JobID:   string(key.Job),
			Task:    key.Task,
			Attempt: task.Attempt,
			Phase:   p.next(j, key, task, phase),
			Result:  text,
		}
	})
}

// next returns the phase after an attempt: a task may run again only where its class is repeatable.
func (p *pool) next(j *state.Job, key place.Task, task state.Task, ended record.TaskPhase) record.TaskPhase {
	if ended == record.TaskPhase_TASK_PHASE_DONE {
		return ended
	}
	if j.Cancelled {
		return record.TaskPhase_TASK_PHASE_CANCELLED
	}
	if ended == record.TaskPhase_TASK_PHASE_WAITING {
		return ended
	}
	if !j.Spec.GetRepeatable() {
		if ended == record.TaskPhase_TASK_PHASE_CANCELLED {
			return record.TaskPhase_TASK_PHASE_LOST
		}
		return ended
	}
	if p.preempting[key] || ended != record.TaskPhase_TASK_PHASE_FAILED || task.Attempt < maxAttempts {
		return record.TaskPhase_TASK_PHASE_WAITING
	}
	return ended
}

// sendResults gives every result to the log.
func (p *pool) sendResults(now time.Duration) {
	if len(p.results) == 0 {
		return
	}
	p.resultsSent = now
	body := &record.TaskEnded{}
	for _, r := range p.results {
		body.Results = append(body.Results, r)
		p.s.Log.Emit(event.TaskEnded, event.Fields{"Job": r.GetJobID(), "Task": r.GetTask(), "Phase": PhaseText(r.GetPhase())})
	}
	entry := p.ledger.NewEntry()
	entry.Body = &record.Entry_TaskEnded{TaskEnded: body}
	p.ledger.StartAppend(entry)
}

func (p *pool) nextAttempt(t place.Task) (attempt int32) {
	p.jobs.View(t.Job, func(j *state.Job) { attempt = j.Tasks[t.Task].Attempt + 1 })
	return attempt
}

func (p *pool) className(id citron.JobID) (class citron.Class) {
	p.jobs.View(id, func(j *state.Job) { class = citron.Class(j.Spec.GetClass()) })
	return class
}
