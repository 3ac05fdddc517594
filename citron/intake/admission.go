package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/share"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/work"
)

// confirmInterval is the least time between two reads of the store that confirm refusals, so that a crowd that is refused does not take
// the calls that the store allows.
const confirmInterval = 100 * time.Millisecond

// Admission refuses jobs for which there is no memory.
type Admission struct {
	Ledger *admit.Ledger
	// Daemons returns the number of daemons that decide on large jobs, 1 if this one decides for all.
	Daemons func() int
	// Forward has the daemon that decides for all store a large job. It reports false if that is this daemon or does not answer.
	Forward func(context.Context, citron.KeyedRecord) (forwarded bool, err error)
	// Refused, if set, is called with the reason of each refusal.
	Refused func(admit.Reason)

	confirmations rounds
}

// store stores the record of a new job if there is memory for it.
func (s *Service) store(ctx context.Context, job *work.Job, r citron.KeyedRecord) *citron.Refusal {
	a := s.Admission
	if a == nil {
		return s.write(ctx, r)
	}
	request := s.request(job)
	release, refused := a.Ledger.Reserve(request)
	if refused != nil && refused.Reason == admit.ReasonDaemon && !admit.IsSmall(request.Cost) {
		forwarded, err := a.Forward(ctx, r)
		if forwarded && errors.Is(err, citron.ErrRejected) {
			return s.refuse(ctx, job, refused)
		}
		if forwarded {
			return s.stored(r, err)
		}
		request.First = true
		release, refused = a.Ledger.Reserve(request)
	}
	if refused != nil {
		return s.refuse(ctx, job, refused)
	}
	defer release()
	return s.write(ctx, r)
}

// request asks for the room for a job.
func (s *Service) request(job *work.Job) admit.Request {
	return admit.Request{
		Account: admit.AccountOf(job), Cost: admit.CostOf(job), Now: s.Timer.Now().Boot, KnownAsOf: s.knownAsOf(), Daemons: s.Admission.Daemons(),
	}
}

// StoreForwarded stores jobs that another daemon leaves to this one to decide on, or that it has accepted and cannot store itself.
func (s *Service) StoreForwarded(ctx context.Context, records []citron.KeyedRecord) error {
	for _, r := range records {
		var job work.Job
		if !strings.HasPrefix(r.Key, pool.JobKey) || s.Admission == nil || proto.Unmarshal(r.Value, &job) != nil {
			continue
		}
		request := s.request(&job)
		if _, known := s.View.Get(citron.JobID(job.GetID())); known || admit.IsSmall(request.Cost) {
			continue
		}
		request.First = true
		release, refused := s.Admission.Ledger.Reserve(request)
		if refused != nil {
			return citron.ErrRejected
		}
		defer release()
	}
	return s.Writer.AppendDirect(ctx, records)
}

// refuse refuses a job for which there is no room. The refusal is certain: the job may have been accepted by another daemon whose answer
// the caller has not received.
func (s *Service) refuse(ctx context.Context, job *work.Job, refused *admit.Refused) (refusal *citron.Refusal) {
	a := s.Admission
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := a.confirmations.join(bounded, s.Timer, s.catchUp)
	if _, known := s.View.Get(citron.JobID(job.GetID())); known {
		return nil
	}
	if a.Refused != nil {
		a.Refused(refused.Reason)
	}
	retry := share.RetryAfter(refused.RetryAfter, rand.Float64())
	if err != nil {
		refusal = citron.NewUnknownRefusal(citron.RefusalNoMemory, "%v; the store does not tell whether the job has been accepted before", refused)
		refusal.RetryAfter = retry
		return refusal
	}
	number := citron.RefusalNoMemory
	if refused.Reason == admit.ReasonTooCostly {
		number = citron.RefusalBodyTooLarge
	}
	return citron.NewNotRunRefusal(number, retry, "%v", refused)
}

// knownAsOf returns the boot time up to which all accepted jobs are known, 0 if they have not been read.
func (s *Service) knownAsOf() time.Duration {
	if tail.CountNotLoaded(s.Tails...) > 0 || len(s.Tails) == 0 {
		return 0
	}
	return s.Tails[0].CurrentAsOf()
}

// rounds lets calls share an operation that begins after each of them. The zero value works.
type rounds struct {
	mu sync.Mutex
	// running is the round under way, next the one that begins after it.
	running, next *round
	endedAt       time.Duration
}

// round is one operation.
type round struct {
	ended chan struct{}
	err   error
}

// join runs an operation, or waits for one that another call runs and that has not begun yet.
func (r *rounds) join(ctx context.Context, t citron.Timer, run func(context.Context) error) error {
	r.mu.Lock()
	mine, leads := r.next, r.next == nil
	if leads {
		mine = &round{ended: make(chan struct{})}
		r.next = mine
	}
	before := r.running
	r.mu.Unlock()
	if leads {
		r.lead(ctx, t, before, mine, run)
	}
	select {
	case <-mine.ended:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lead waits for the end of the round before and runs the next one.
func (r *rounds) lead(ctx context.Context, t citron.Timer, before, mine *round, run func(context.Context) error) {
	if before != nil {
		<-before.ended
	}
	r.mu.Lock()
	wait := confirmInterval - (t.Now().Boot - r.endedAt)
	r.mu.Unlock()
	if wait > 0 {
		timer.Pause(ctx, t, wait)
	}
	r.mu.Lock()
	r.running, r.next = mine, nil
	r.mu.Unlock()
	mine.err = run(ctx)
	r.mu.Lock()
	r.running, r.endedAt = nil, t.Now().Boot
	r.mu.Unlock()
	close(mine.ended)
}
