// Package intake takes jobs, cancellations and questions from callers. Any daemon can do so: a job is accepted once the
// store has it, whoever holds the pool.
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
	// confirmTimeout bounds the question whether a job that is not known here is known to the store.
	confirmTimeout = 500 * time.Millisecond
	// comeBack is when a caller should try again while the store does not answer.
	comeBack = time.Second
)

// Service answers callers.
type Service struct {
	View   *view.View
	Writer *Writer
	// Tails follow the partitions that Writer appends to.
	Tails []*tail.Tail
	Timer citron.Timer
	// Lookup, if set, has another daemon say what it knows of a job, and reports whether it could tell.
	Lookup func(ctx context.Context, id citron.JobID) bool
	// Stored, if set, is called with each record that the store has acknowledged.
	Stored func(citron.KeyedRecord)
}

// Submit stores a job. Submitting the same job again is harmless.
func (s *Service) Submit(ctx context.Context, job *work.Job) *citron.Refusal {
	if _, known := s.View.Get(citron.JobID(job.GetID())); known {
		return nil
	}
	value, err := proto.Marshal(job)
	if err != nil {
		return citron.NewNotRunRefusal(citron.RefusalBadBody, 0, "the job cannot be stored: %v", err)
	}
	return s.write(ctx, citron.KeyedRecord{Key: pool.JobKey + job.GetID(), Value: value})
}

// Cancel ends a job. Cancelling an ended job changes nothing.
func (s *Service) Cancel(ctx context.Context, id citron.JobID) *citron.Refusal {
	e, refused := s.Status(ctx, id)
	if refused != nil {
		return refused
	}
	if pool.IsTerminal(e.State()) {
		return nil
	}
	return s.write(ctx, citron.KeyedRecord{Key: pool.CancelKey + string(id), Value: []byte{1}})
}

// Status returns what is known of a job. A job that is not known here is looked up in the store before it is denied.
func (s *Service) Status(ctx context.Context, id citron.JobID) (view.Entry, *citron.Refusal) {
	if e, ok := s.View.Get(id); ok {
		return e, nil
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if s.catchUp(bounded) != nil && (s.Lookup == nil || !s.Lookup(ctx, id)) {
		return view.Entry{}, citron.NewNotRunRefusal(citron.RefusalLogUnavailable, comeBack, "the store does not answer, so it is not known whether job %q exists", id)
	}
	if e, ok := s.View.Get(id); ok {
		return e, nil
	}
	return view.Entry{}, citron.NewNotRunRefusal(citron.RefusalUnknownJob, 0, "job %q is not known; ended jobs are forgotten after a time", id)
}

// Find returns what is known of a job to this daemon or the store. It returns false where the store does not answer.
func (s *Service) Find(ctx context.Context, id citron.JobID) (e view.Entry, known, ok bool) {
	if e, known = s.View.Get(id); known {
		return e, true, true
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if s.catchUp(bounded) != nil {
		return e, false, false
	}
	e, known = s.View.Get(id)
	return e, known, true
}

func (s *Service) catchUp(ctx context.Context) error {
	for _, t := range s.Tails {
		if err := t.CatchUp(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Pending returns the number of jobs of a queue of which nothing has started.
func (s *Service) Pending(q citron.QueueName) int {
	return s.View.Pending(q)
}

// write stores a record and passes it on.
func (s *Service) write(ctx context.Context, r citron.KeyedRecord) *citron.Refusal {
	err := s.Writer.Write(ctx, r)
	if err == nil && s.Stored != nil {
		s.Stored(r)
	}
	return refusal(err)
}

func refusal(err error) *citron.Refusal {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, citron.ErrRejected):
		return citron.NewNotRunRefusal(citron.RefusalLogUnavailable, comeBack, "the store takes nothing at the moment")
	}
	return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the store has not answered; send the same request again")
}
