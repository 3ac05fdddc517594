package state

import (
	"slices"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/record"
)

// Task is the replicated state of one task.
type Task struct {
	Phase   record.TaskPhase
	Attempt int32
	Worker  citron.Worker
	// WorkerIncarnation is the incarnation of the worker that may start the attempt.
	WorkerIncarnation citron.Incarnation
	Result            string
}

// Job is the replicated state of one job.
type Job struct {
	ID        citron.JobID
	Spec      *record.JobSpec
	Cancelled bool
	Accepted  time.Time
	Ended     time.Time
	Tasks     []Task
}

// Open reports whether any task may still run.
func (j *Job) Open() bool {
	return slices.ContainsFunc(j.Tasks, func(t Task) bool { return isOpen(t.Phase) })
}

// Record converts the job to its stored form.
func (j *Job) Record() *record.JobState {
	out := &record.JobState{
		JobID:      string(j.ID),
		Spec:       j.Spec,
		Cancelled:  j.Cancelled,
		AcceptedMs: j.Accepted.UnixMilli(),
	}
	for _, t := range j.Tasks {
		out.Tasks = append(out.Tasks, &record.TaskState{
			Phase:   t.Phase,
			Attempt: t.Attempt,
			Worker:  string(t.Worker),
			Result:  t.Result,

			WorkerIncarnation: uint64(t.WorkerIncarnation),
		})
	}
	return out
}

// Jobs is the replicated state of the jobs of one pool. The zero value is empty.
type Jobs struct {
	// Changed is called for each job that a record has changed; the lock is not held.
	Changed func(citron.JobID)

	mu    sync.RWMutex
	epoch citron.Epoch
	jobs  map[citron.JobID]*Job
}

var _ citron.Fold = (*Jobs)(nil)

// Apply applies one record. Records with an epoch below the last fence are ignored.
func (j *Jobs) Apply(_ citron.Offset, entry *record.Entry) {
	changed := j.apply(entry)
	if j.Changed == nil {
		return
	}
	for _, id := range changed {
		j.Changed(id)
	}
}

// Restore replaces the state with a snapshot.
func (j *Jobs) Restore(snapshot *record.Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.epoch = citron.Epoch(snapshot.GetEpoch())
	j.jobs = make(map[citron.JobID]*Job, len(snapshot.GetJobs()))
	for _, s := range snapshot.GetJobs() {
		job := &Job{
			ID:        citron.JobID(s.GetJobID()),
			Spec:      s.GetSpec(),
			Cancelled: s.GetCancelled(),
			Accepted:  time.UnixMilli(s.GetAcceptedMs()),
		}
		for _, t := range s.GetTasks() {
			job.Tasks = append(job.Tasks, Task{
				Phase:   t.GetPhase(),
				Attempt: t.GetAttempt(),
				Worker:  citron.Worker(t.GetWorker()),
				Result:  t.GetResult(),

				WorkerIncarnation: citron.Incarnation(t.GetWorkerIncarnation()),
			})
		}
		if !job.Open() {
			// Snapshots do not hold the end time.
			job.Ended = job.Accepted
		}
		j.jobs[job.ID] = job
	}
}

// Snapshot returns every job.
func (j *Jobs) Snapshot() *record.Snapshot {
	j.mu.RLock()
	defer j.mu.RUnlock()
	snapshot := &record.Snapshot{Epoch: uint64(j.epoch)}
	for _, job := range j.jobs {
		snapshot.Jobs = append(snapshot.Jobs, job.Record())
	}
	return snapshot
}

// View calls f with a job under the read lock and reports whether the job exists.
func (j *Jobs) View(id citron.JobID, f func(*Job)) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	job, ok := j.jobs[id]
	if ok {
		f(job)
	}
	return ok
}

// Each calls f with every job under the read lock.
func (j *Jobs) Each(f func(*Job)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	for _, job := range j.jobs {
		f(job)
	}
}

// Epoch returns the epoch of the last fence.
func (j *Jobs) Epoch() citron.Epoch {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.epoch
}

// Prune deletes jobs that ended before a time.
func (j *Jobs) Prune(before time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, job := range j.jobs {
		if !job.Ended.IsZero() && job.Ended.Before(before) {
			delete(j.jobs, id)
		}
	}
}

// apply applies one record and returns the jobs that it changed.
func (j *Jobs) apply(entry *record.Entry) (changed []citron.JobID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.jobs == nil {
		j.jobs = map[citron.JobID]*Job{}
	}
	epoch := citron.Epoch(entry.GetEpoch())
	if epoch < j.epoch {
		return nil
	}
	written := time.UnixMilli(entry.GetWrittenMs())
	switch body := entry.GetBody().(type) {
	case *record.Entry_Fence:
		j.epoch = epoch
	case *record.Entry_JobAccepted:
		return j.accept(body.JobAccepted, written)
	case *record.Entry_Placement:
		return j.place(body.Placement)
	case *record.Entry_TaskEnded:
		return j.end(body.TaskEnded, written)
	case *record.Entry_JobCancelled:
		return j.cancel(body.JobCancelled, written)
	}
	return nil
}

func (j *Jobs) accept(a *record.JobAccepted, written time.Time) []citron.JobID {
	id := citron.JobID(a.GetJobID())
	if _, known := j.jobs[id]; known {
		return nil
	}
	job := &Job{ID: id, Spec: a.GetSpec(), Accepted: written, Tasks: make([]Task, a.GetSpec().GetTasks())}
	for n := range job.Tasks {
		job.Tasks[n].Phase = record.TaskPhase_TASK_PHASE_WAITING
	}
	j.jobs[id] = job
	return []citron.JobID{id}
}

// place binds tasks to workers. A placement is ignored unless the task is waiting and the attempt is its next one.
func (j *Jobs) place(p *record.Placement) (changed []citron.JobID) {
	for _, place := range p.GetTasks() {
		job, task := j.task(place.GetJobID(), place.GetTask())
		if task == nil || task.Phase != record.TaskPhase_TASK_PHASE_WAITING || place.GetAttempt() != task.Attempt+1 {
			continue
		}
		task.Phase = record.TaskPhase_TASK_PHASE_PLACED
		task.Attempt = place.GetAttempt()
		task.Worker = citron.Worker(place.GetWorker())
		task.WorkerIncarnation = citron.Incarnation(place.GetWorkerIncarnation())
		changed = append(changed, job.ID)
	}
	return slices.Compact(changed)
}

// end records how attempts ended. A result is ignored unless its attempt is the one that is placed.
func (j *Jobs) end(e *record.TaskEnded, written time.Time) (changed []citron.JobID) {
	for _, r := range e.GetResults() {
		job, task := j.task(r.GetJobID(), r.GetTask())
		if task == nil || task.Phase != record.TaskPhase_TASK_PHASE_PLACED || r.GetAttempt() != task.Attempt {
			continue
		}
		task.Phase = r.GetPhase()
		task.Result = r.GetResult()
		if job.Cancelled && task.Phase == record.TaskPhase_TASK_PHASE_WAITING {
			task.Phase = record.TaskPhase_TASK_PHASE_CANCELLED
		}
		job.setEnded(written)
		changed = append(changed, job.ID)
	}
	return slices.Compact(changed)
}

// cancel marks jobs as cancelled and ends their waiting tasks; placed tasks end with their attempt.
func (j *Jobs) cancel(c *record.JobCancelled, written time.Time) (changed []citron.JobID) {
	for _, id := range c.GetJobIDs() {
		job, ok := j.jobs[citron.JobID(id)]
		if !ok || job.Cancelled {
			continue
		}
		job.Cancelled = true
		for n := range job.Tasks {
			if job.Tasks[n].Phase == record.TaskPhase_TASK_PHASE_WAITING {
				job.Tasks[n].Phase = record.TaskPhase_TASK_PHASE_CANCELLED
			}
		}
		job.setEnded(written)
		changed = append(changed, job.ID)
	}
	return changed
}

// task returns a job and its nth task, or nil if there is none.
func (j *Jobs) task(id string, n int32) (*Job, *Task) {
	job, ok := j.jobs[citron.JobID(id)]
	if !ok || n < 0 || int(n) >= len(job.Tasks) {
		return nil, nil
	}
	return job, &job.Tasks[n]
}

// setEnded sets the end time of a job once none of its tasks may still run.
func (j *Job) setEnded(written time.Time) {
	if j.Ended.IsZero() && !j.Open() {
		j.Ended = written
	}
}

// isOpen reports whether a task in phase p may still run.
func isOpen(p record.TaskPhase) bool {
	return p == record.TaskPhase_TASK_PHASE_WAITING || p == record.TaskPhase_TASK_PHASE_PLACED
}
