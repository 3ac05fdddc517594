// Package intake handles jobs, cancellations and status requests of callers. Every daemon does so, since a job is
// accepted once it is in the store, whichever daemon holds the pool.
package intake

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// confirmTimeout is the time limit for looking up in the store a job that is not known here.
	confirmTimeout = 500 * time.Millisecond
	// retryAfter is the delay after which a caller should try again while the store does not answer.
	retryAfter = time.Second
	// MaxCountAge is the maximum age of a count of waiting jobs, as callers are told in docs/CALLERS.md.
	MaxCountAge = 2 * time.Second
)

// Service handles the requests of callers.
type Service struct {
	View   *view.View
	Writer *Writer
	// Tails follow the partitions that Writer appends to. The first one receives all records while the store answers for
	// it.
	Tails []*tail.Tail
	// ProgressTails returns the tails of the partitions that hold the progress of the jobs.
	ProgressTails func() []*tail.Tail
	Timer         citron.Timer
	// Lookup, if set, has another daemon look up a job and adds its records to View. It reports whether the other daemon
	// was certain of them.
	Lookup func(ctx context.Context, id citron.JobID) bool
	// CountElsewhere, if set, asks other daemons for the number of waiting jobs of a queue. Ok is false if none knows it.
	CountElsewhere func(ctx context.Context, q citron.QueueName) (n int, ok bool)
	// Stored, if set, is called with each record that the store has acknowledged.
	Stored func(citron.KeyedRecord)
	// MaxRecordBytes is the size of the largest record that the store accepts; 0 means that it is not known.
	MaxRecordBytes int
	// Admission, if set, decides on new jobs.
	Admission *Admission
	// Caller sends the requests; the zero value may use every job.
	Caller Caller
}

// recordOverhead is the number of bytes that the store counts for a record beside its key and value.
const recordOverhead = 1

// Submit stores a job. It is idempotent. The id of a job that the caller may not use is refused.
func (s *Service) Submit(ctx context.Context, job *work.Job) *citron.Refusal {
	if e, known := s.View.Get(citron.JobID(job.GetID())); known {
		return s.Caller.refuseID(e.Spec)
	}
	value, err := proto.Marshal(job)
	if err != nil {
		return citron.NewNotRunRefusal(citron.RefusalBadBody, 0, "the job cannot be stored: %v", err)
	}
	r := citron.KeyedRecord{Key: pool.JobKey + job.GetID(), Value: value}
	// A record that the store refuses would fail all others in its append.
	if size := r.Size() + recordOverhead; s.MaxRecordBytes > 0 && size > s.MaxRecordBytes {
		return citron.NewNotRunRefusal(citron.RefusalBodyTooLarge, 0, "the job takes %d bytes in the store, which accepts %d", size, s.MaxRecordBytes)
	}
	if refused := s.store(ctx, job, r); refused != nil {
		return refused
	}
	// The job of another team may have been read meanwhile. The first record counts.
	if e, known := s.View.Get(citron.JobID(job.GetID())); known {
		return s.Caller.refuseID(e.Spec)
	}
	return nil
}

// Cancel stores the cancellation of a job. Cancelling an ended job changes nothing.
func (s *Service) Cancel(ctx context.Context, id citron.JobID) *citron.Refusal {
	e, known := s.View.Get(id)
	if !known {
		var refused *citron.Refusal
		if e, refused = s.Status(ctx, id); refused != nil {
			// The job may have been found without its progress, which a cancellation does not need.
			if e, known = s.View.Get(id); !known {
				return refused
			}
		}
	}
	if !s.Caller.MayUse(e.Spec) {
		return refuseUnknown(id)
	}
	if pool.IsTerminal(e.State()) {
		return nil
	}
	return s.write(ctx, citron.KeyedRecord{Key: pool.CancelKey + string(id), Value: []byte{1}})
}

// Status returns the entry of a job. A job that cannot be found here for certain is looked up through Lookup.
func (s *Service) Status(ctx context.Context, id citron.JobID) (view.Entry, *citron.Refusal) {
	e, known, certain := s.Find(ctx, id)
	if !certain {
		if s.Lookup == nil || !s.Lookup(ctx, id) {
			return view.Entry{}, citron.NewNotRunRefusal(citron.RefusalLogUnavailable, retryAfter, "the records of job %q have not been read yet or the store does not answer", id)
		}
		e, known = s.View.Get(id)
	}
	if !known || !s.Caller.MayUse(e.Spec) {
		return view.Entry{}, refuseUnknown(id)
	}
	return e, nil
}

// Find returns the entry of a job that this daemon or the store knows. Certain is false if the job is not known here and
// the store does not answer, or if the job may have made progress that is not known here.
func (s *Service) Find(ctx context.Context, id citron.JobID) (e view.Entry, known, certain bool) {
	// An entry read before the progress was loaded may lack it.
	progressKnown := tail.AllLoaded(s.ProgressTails()...)
	if e, known = s.View.Get(id); !known {
		bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if s.catchUp(bounded) != nil {
			return e, false, false
		}
		if e, known = s.View.Get(id); !known {
			return e, false, true
		}
	}
	return e, true, pool.IsTerminal(e.State()) || progressKnown
}

// catchUp waits until every accepted job and cancellation in the store has been applied to View.
func (s *Service) catchUp(ctx context.Context) error {
	for _, t := range s.Tails {
		if err := t.CatchUp(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Count is the number of jobs of a queue that have not started, as one view has it.
type Count struct {
	Jobs int
	Freshness
}

// CountPending returns the number of queued jobs of a queue that have not started. If View may lack accepted jobs, the
// store is read, or another daemon is asked.
func (s *Service) CountPending(ctx context.Context, q citron.QueueName) (c Count, refused *citron.Refusal) {
	c, ok := s.CountPendingHere(q)
	if !ok && c.NotLoaded == 0 {
		bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		ok = s.Tails[0].CatchUp(bounded) == nil
		c.Jobs = s.View.Pending(q)
	}
	if ok {
		return c, nil
	}
	if s.CountElsewhere != nil {
		if c.Jobs, ok = s.CountElsewhere(ctx, q); ok {
			return c, nil
		}
	}
	return c, citron.NewNotRunRefusal(citron.RefusalLogUnavailable, retryAfter, "the accepted jobs have not been read yet or the store does not answer")
}

// CountPendingHere returns the number according to View. Ok is false if View may lack jobs that were accepted more than
// MaxCountAge ago.
func (s *Service) CountPendingHere(q citron.QueueName) (c Count, ok bool) {
	c.Freshness = s.Freshness()
	c.Jobs = s.View.Pending(q)
	return c, c.NotLoaded == 0 && c.Age <= MaxCountAge
}

// Freshness tells how much of what the store holds is known to the view.
type Freshness struct {
	// NotLoaded counts the partitions of jobs and progress whose newest records have not been read.
	NotLoaded int
	// Age is the time for which accepted jobs may be missing in the view; 0 unless NotLoaded is 0.
	Age time.Duration
}

// Freshness returns how much of what the store holds is known to View.
func (s *Service) Freshness() (f Freshness) {
	f.NotLoaded = tail.CountNotLoaded(s.Tails...) + tail.CountNotLoaded(s.ProgressTails()...)
	if f.NotLoaded == 0 && len(s.Tails) > 0 {
		f.Age = s.Timer.Now().Boot - s.Tails[0].CurrentAsOf()
	}
	return f
}

// write stores a record and calls Stored.
func (s *Service) write(ctx context.Context, r citron.KeyedRecord) *citron.Refusal {
	return s.stored(r, s.Writer.Write(ctx, r))
}

// stored calls Stored for a record that has been stored without an error.
func (s *Service) stored(r citron.KeyedRecord, err error) *citron.Refusal {
	if err == nil && s.Stored != nil {
		s.Stored(r)
	}
	return refusalFor(err)
}

// refusalFor returns the refusal for an error of Writer.Write.
func refusalFor(err error) *citron.Refusal {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, citron.ErrRejected):
		return citron.NewNotRunRefusal(citron.RefusalLogUnavailable, retryAfter, "the store takes nothing at the moment")
	}
	return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the store has not answered; send the same request again")
}
