package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// Keys of a pool's records.
const (
	// JobKey precedes the id of an accepted job.
	JobKey = "job/"
	// CancelKey precedes the id of a job that its caller cancelled.
	CancelKey = "cancel/"
	// ProgressKey precedes the id of a job in the holder's records.
	ProgressKey = "progress/"
)

// records returns the progress of all jobs that changed and forgets those that ended.
func (p *Pool) records(now citron.Instant, e *Effects) (err error) {
	changed := slices.SortedFunc(maps.Keys(p.dirty), func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	for _, j := range changed {
		r := j.progress()
		if j.terminal && len(r.GetOpen()) == 0 {
			r.EndedMs = now.Wall.UnixMilli()
		}
		k, err := p.encode(r)
		if err != nil {
			return err
		}
		e.Records = append(e.Records, k)
		e.Visible = append(e.Visible, j.state != j.recorded)
		j.recorded = j.state
		delete(p.dirty, j)
		if j.terminal && len(r.GetOpen()) == 0 {
			p.forget(now, j)
		}
	}
	return p.recordAgain(e)
}

// progress is the record of a job. An ended job keeps an occurrence only while runs of it are being stopped.
func (j *job) progress() *work.Progress {
	r := &work.Progress{JobID: string(j.id), State: j.state, NextOccurrence: j.next}
	for _, o := range j.open {
		if j.terminal && !o.busy() {
			continue
		}
		r.Open = append(r.Open, o.record())
	}
	return r
}

// busy reports whether a run of the occurrence may be on a worker.
func (o *occurrence) busy() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.worker != nil {
				return true
			}
		}
	}
	return false
}

func (o *occurrence) record() *work.Occurrence {
	r := &work.Occurrence{Number: o.number}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.run == 0 {
				continue
			}
			r.Tasks = append(r.Tasks, t.record())
		}
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
	}
	if t.worker != nil {
		r.Worker = string(t.worker.entry.ID)
	}
	switch {
	case t.state == taskLeaving || t.settled && t.worker != nil:
		r.State = work.TaskState_TASK_STATE_LEAVING
	case t.worker != nil:
		r.State = work.TaskState_TASK_STATE_STARTED
	case t.state == taskDone:
		r.State = work.TaskState_TASK_STATE_DONE
	}
	return r
}

// forget drops a job that has ended and of which nothing runs.
func (p *Pool) forget(now citron.Instant, j *job) {
	delete(p.jobs, j.id)
	p.ended[j.id] = ending{now.Boot, j.state, j.next, now.Wall.UnixMilli()}
	for _, o := range j.open {
		p.dropSteps(o)
	}
}

func (p *Pool) dropSteps(o *occurrence) {
	for _, s := range o.steps {
		delete(p.steps, s.ref)
	}
}

const (
	// expireEvery separates two removals of jobs that ended long ago.
	expireEvery = 10 * time.Second
	// expireMost bounds the jobs of one removal.
	expireMost = 500
	// expireSlack is added to the time for which callers may ask for an ended job, against a repeat that comes late.
	expireSlack = time.Minute
)

// expire names the jobs that ended so long ago that nobody may ask for them any more.
func (p *Pool) expire(now time.Duration, e *Effects) {
	if p.Options.Retention == 0 || now-p.expired < expireEvery {
		return
	}
	p.expired = now
	for id, over := range p.ended {
		if now-over.at > p.Options.Retention+expireSlack && len(e.Expired) < expireMost {
			e.Expired = append(e.Expired, id)
			delete(p.ended, id)
		}
	}
	slices.Sort(e.Expired)
}
