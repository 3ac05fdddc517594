package pool

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// maxRewriteBytes bounds the records that a rewrite adds to one Plan, so that they do not delay its starts much.
const maxRewriteBytes = 64 << 10

// endedJob is the retained state of a job that has ended.
type endedJob struct {
	at    time.Duration
	state work.State
	// next is the number of the first occurrence that has not begun.
	next    int32
	endedMs int64
	// parts is an upper bound on the indexes of the parts of its progress.
	parts int
}

// Rewrite makes the following calls of Plan record the progress of every job again, so that no earlier record is
// needed. It returns false, and does nothing, while jobs may be unknown.
func (p *Pool) Rewrite() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.allJobsKnown {
		return false
	}
	p.rewriteQueue = slices.AppendSeq(slices.Collect(maps.Keys(p.jobs)), maps.Keys(p.ended))
	slices.Sort(p.rewriteQueue)
	p.rewriteParts, p.rewriting = nil, true
	return true
}

// appendRewritten adds the progress of the next jobs of a rewrite to e.
func (p *Pool) appendRewritten(e *Effects) error {
	if !p.rewriting {
		return nil
	}
	size := 0
	for size < maxRewriteBytes {
		if len(p.rewriteParts) > 0 {
			before := len(e.Records)
			if err := p.rewritePart(e); err != nil {
				return err
			}
			size += citron.SizeOf(e.Records[before:])
			continue
		}
		if len(p.rewriteQueue) == 0 {
			p.rewriting, e.Rewritten = false, true
			break
		}
		id := p.rewriteQueue[0]
		p.rewriteQueue = p.rewriteQueue[1:]
		r := p.currentProgress(id)
		if r == nil {
			continue
		}
		k, err := p.encode(r)
		if err != nil {
			return err
		}
		size += len(k.Value)
		e.Records, e.Visible = append(e.Records, k), append(e.Visible, false)
		if j := p.jobs[id]; j != nil {
			e.list(j)
			p.rewriteParts = allParts(j)
		}
	}
	return nil
}

// occurrencePart is the n-th part of the progress of an occurrence.
type occurrencePart struct {
	occurrence *occurrence
	n          int
}

// allParts returns the parts of all open occurrences of a job.
func allParts(j *job) (list []occurrencePart) {
	for _, o := range j.open {
		for n := range o.layout.parts {
			list = append(list, occurrencePart{o, n})
		}
	}
	return list
}

// rewritePart adds the next of rewriteParts to e. Its index may belong to another occurrence once its own is closed.
func (p *Pool) rewritePart(e *Effects) error {
	next := p.rewriteParts[0]
	p.rewriteParts = p.rewriteParts[1:]
	if o := next.occurrence; p.jobs[o.job.id] == o.job && slices.Contains(o.job.open, o) {
		return p.appendPart(o, next.n, e)
	}
	return nil
}

// currentProgress returns the progress of a job, or nil if the job has been removed.
func (p *Pool) currentProgress(id citron.JobID) *work.Progress {
	if ended, ok := p.ended[id]; ok {
		return &work.Progress{JobID: string(id), State: ended.state, NextOccurrence: ended.next, EndedMs: ended.endedMs, Parts: int32(ended.parts)}
	}
	if j, ok := p.jobs[id]; ok {
		return j.progress(&p.Options)
	}
	return nil
}

// encode numbers the progress of a job and returns it as a record.
func (p *Pool) encode(r *work.Progress) (k citron.KeyedRecord, err error) {
	p.recordNumber++
	r.Epoch, r.Number = uint64(p.Epoch), p.recordNumber
	k.Key = ProgressKey + r.GetJobID()
	k.Value, err = proto.Marshal(r)
	return k, err
}
