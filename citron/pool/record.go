package pool

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// Prefixes of the keys of a pool's records, each followed by a job id.
const (
	// JobKey is the prefix for accepted jobs.
	JobKey = "job/"
	// BriefKey is the prefix for accepted jobs without their payload, which daemons send to the holder.
	BriefKey = "brief/"
	// CancelKey is the prefix for jobs cancelled by their caller.
	CancelKey = "cancel/"
	// ProgressKey is the prefix for the progress recorded by the lease holder.
	ProgressKey = "progress/"
)

// appendRecords adds the progress of all changed jobs to e and removes those that have ended.
func (p *Pool) appendRecords(now citron.Instant, e *Effects) (err error) {
	changed := slices.SortedFunc(maps.Keys(p.dirty), func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	for _, j := range changed {
		delete(p.dirty, j)
		ended := j.terminal && !j.busy()
		if j.changed {
			if err := p.appendProgress(now, j, ended, e); err != nil {
				return err
			}
		}
		if ended {
			p.removeJob(now, j)
			e.Ended = append(e.Ended, j.id)
			continue
		}
		if err := p.appendParts(j, e); err != nil {
			return err
		}
	}
	return p.appendRewritten(e)
}

// appendProgress adds the progress record of a job to e. Ended is set if no run of the job is left.
func (p *Pool) appendProgress(now citron.Instant, j *job, ended bool, e *Effects) error {
	r := j.progress(&p.Options)
	if ended {
		r.EndedMs = now.Wall.UnixMilli()
	}
	k, err := p.encode(r)
	if err != nil {
		return err
	}
	e.Records = append(e.Records, k)
	e.Visible = append(e.Visible, j.state != j.recorded)
	j.recorded, j.changed = j.state, false
	e.list(j)
	return nil
}

// progress returns the record of a job. For an ended job it has only the occurrences whose runs are being stopped.
func (j *job) progress(options *Options) *work.Progress {
	r := &work.Progress{JobID: string(j.id), State: j.state, NextOccurrence: j.nextOccurrence, Parts: int32(j.parts)}
	var tasks []*work.Task
	for _, o := range j.open {
		if j.terminal && !o.busy() {
			continue
		}
		r.Open = append(r.Open, o.record())
		tasks = append(tasks, r.GetOpen()[len(r.GetOpen())-1].GetTasks()...)
	}
	options.shorten(tasks)
	return r
}

// busy reports whether a run of the job may be on a worker.
func (j *job) busy() bool {
	return slices.ContainsFunc(j.open, func(o *occurrence) bool { return o.busy() })
}

// busy reports whether a run of the occurrence may be on a worker.
func (o *occurrence) busy() bool {
	for _, s := range o.steps {
		if s.counts.assigned > 0 {
			return true
		}
	}
	return false
}

// record returns the record of an occurrence with the tasks that have been started, unless they are in parts.
func (o *occurrence) record() *work.Occurrence {
	l := &o.layout
	r := &work.Occurrence{Number: o.number, FirstPart: int32(l.firstPart), Parts: int32(l.parts)}
	if l.parts == 0 {
		r.Tasks = o.recordTasks(0, math.MaxInt)
	}
	return r
}

func (t *task) record() *work.Task {
	r := &work.Task{
		Step:       int32(t.step.index),
		Index:      int32(t.index),
		Run:        t.run,
		FailedRuns: t.failedRuns,
		Checkpoint: t.checkpoint,

		CrashedRuns: t.crashes.Runs, SuspectedRuns: t.crashes.Suspicions,
	}
	if t.worker != nil {
		r.Worker, r.WorkerIncarnation = string(t.worker.entry.ID), uint64(t.incarnation)
	}
	switch {
	case t.state == taskLeaving || t.completedEarlier && t.worker != nil:
		r.State = work.TaskState_TASK_STATE_LEAVING
	case t.worker != nil:
		r.State = work.TaskState_TASK_STATE_STARTED
	case t.done():
		r.State = work.TaskState_TASK_STATE_DONE
	}
	return r
}

// removeJob removes an ended job without runs and retains its final state.
func (p *Pool) removeJob(now citron.Instant, j *job) {
	delete(p.jobs, j.id)
	p.ended[j.id] = endedJob{now.Boot, j.state, j.nextOccurrence, now.Wall.UnixMilli(), j.parts}
	for _, o := range j.open {
		p.removeSteps(o)
	}
}

// removeSteps removes the steps of an occurrence from the index.
func (p *Pool) removeSteps(o *occurrence) {
	for _, s := range o.steps {
		delete(p.steps, s.ref)
	}
}

const (
	// expireInterval is the interval between removals of expired jobs.
	expireInterval = 10 * time.Second
	// maxExpiredJobs is the maximum number of jobs in one removal.
	maxExpiredJobs = 500
	// retentionMargin is added to Retention, since a caller may repeat a request late.
	retentionMargin = time.Minute
)

// expireJobs removes the jobs that ended longer ago than callers may ask for them and adds them to e.
func (p *Pool) expireJobs(now time.Duration, e *Effects) {
	if p.Options.Retention == 0 || now-p.lastExpiry < expireInterval {
		return
	}
	p.lastExpiry = now
	for id, j := range p.ended {
		if now-j.at > p.Options.Retention+retentionMargin && len(e.Expired) < maxExpiredJobs {
			e.Expired = append(e.Expired, ExpiredJob{id, j.parts})
			delete(p.ended, id)
		}
	}
	slices.SortFunc(e.Expired, func(a, b ExpiredJob) int { return cmp.Compare(a.ID, b.ID) })
}
