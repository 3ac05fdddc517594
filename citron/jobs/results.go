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

// maxAttempts is the maximum number of attempts of a repeatable task that fails.
const maxAttempts = 3

// States of an attempt as reported by workers.
const (
	// StateRunning means that the attempt is running.
	StateRunning = "Running"
	// StateDone means that it succeeded.
	StateDone = "Done"
	// StateFailed means that it failed.
	StateFailed = "Failed"
	// StateStopped means that it was stopped on request.
	StateStopped = "Stopped"
	// StateLeaseExpired means that it was stopped because its lease expired.
	StateLeaseExpired = "Lapsed"
)

// handleReply updates the pool's attempts from a worker's report.
func (p *pool) handleReply(s *session, reply *lab.SyncReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.service.Timer.Now().Boot
	ended := false
	listed := map[place.Task]bool{}
	for _, report := range reply.GetTasks() {
		key := place.Task{Job: citron.JobID(report.GetRef().GetJobID()), Task: report.GetRef().GetTask()}
		a, ok := s.attempt(key, report.GetRef().GetAttempt())
		if !ok {
			continue
		}
		listed[key] = true
		if report.GetState() == StateRunning {
			p.handleRunning(s, key, a, report)
			continue
		}
		p.updateQuarantine(s, report, now)
		p.recordEnd(key, phaseOf(report.GetState()), report.GetResult())
		ended = true
	}
	for _, key := range s.missing(listed) {
		p.recordEnd(key, record.TaskPhase_TASK_PHASE_LOST, "the worker no longer has the task")
		ended = true
	}
	if ended {
		p.sendResults(now)
	}
}

// handleRunning updates a running attempt and its reserved size.
func (p *pool) handleRunning(s *session, key place.Task, a *attempt, report *lab.TaskReport) {
	a.adopted = false
	if !a.running {
		a.running = true
		p.place.RecordStart(s.name, false, 0)
	}
	p.sizes.observe(a.spec, report)
	if larger, grew := a.grow(report); grew {
		p.place.Resize(key, larger)
	}
}

// updateQuarantine counts an ended attempt for the quarantine of its worker and logs the quarantine.
func (p *pool) updateQuarantine(s *session, report *lab.TaskReport, now time.Duration) {
	failed := report.GetState() == StateFailed
	if p.place.RecordStart(s.name, failed, now) {
		p.service.Log.Emit(event.WorkerQuarantined, event.Fields{"Worker": s.name})
	}
}

// phaseOf converts a reported state of an ended attempt to a phase.
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

// recordEnd stores the end of an attempt and the next phase of its task until their record is replayed.
func (p *pool) recordEnd(key place.Task, phase record.TaskPhase, text string) {
	if _, known := p.results[key]; known {
		return
	}
	p.jobs.View(key.Job, func(j *state.Job) {
		task := j.Tasks[key.Task]
		p.results[key] = &record.TaskResult{
			JobID:   string(key.Job),
			Task:    key.Task,
			Attempt: task.Attempt,
			Phase:   p.nextPhase(j, key, task, phase),
			Result:  text,
		}
	})
}

// nextPhase returns the phase of a task after an attempt. A task that may have run is retried only if it is repeatable.
func (p *pool) nextPhase(j *state.Job, key place.Task, task state.Task, ended record.TaskPhase) record.TaskPhase {
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

// sendResults sends all pending results to the log.
func (p *pool) sendResults(now time.Duration) {
	if len(p.results) == 0 {
		return
	}
	p.resultsSent = now
	body := &record.TaskEnded{}
	for _, r := range p.results {
		body.Results = append(body.Results, r)
		p.service.Log.Emit(event.TaskEnded, event.Fields{"Job": r.GetJobID(), "Task": r.GetTask(), "Phase": PhaseText(r.GetPhase())})
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
