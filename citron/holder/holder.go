// Package holder runs a pool in one epoch: it records what the pool decides, sends its orders and feeds it with answers.
package holder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/citron/waits"
)

const (
	// orderTimeout bounds one start or stop.
	orderTimeout = 300 * time.Millisecond
	// orderRetry separates the tries of one start.
	orderRetry = 10 * time.Millisecond
	// silentTries is the number of unanswered tries after which a worker is given no more tasks until it answers. One may
	// be lost by itself.
	silentTries = 2
	// planEvery is the longest time between two plannings: leases and due times are looked at this often.
	planEvery = 50 * time.Millisecond
	// planPause is the least time between two plannings; events that come meanwhile are planned together.
	planPause = 4 * time.Millisecond
)

// Holder runs one pool in one epoch.
type Holder struct {
	Store citron.Store
	// Producer names the pool towards the store.
	Producer string
	Workers  citron.Workers
	Timer    citron.Timer
	View     *view.View
	// ProgressTails follow the partitions with the progress of the pool's jobs, Jobs those with the accepted jobs.
	ProgressTails []*tail.Tail
	JobTails      []*tail.Tail
	Pool          *pool.Pool
	// Advise puts a question to the policy service from a given daemon.
	Advise func(ctx context.Context, a pool.AdviceRequest) ([]citron.Permit, time.Duration, error)
	// LastConfirmed returns the last instant at which no other daemon had claimed the pool.
	LastConfirmed func() time.Duration
	// Published is called with each stored record that changes what callers see.
	Published func(citron.KeyedRecord)
	// ExchangeFailed, if set, is called for each exchange with a worker or the store that failed.
	ExchangeFailed func(what string, err error)

	// ClaimedPartitions are those of Progress that the claim names: what former holders recorded lies in them.
	ClaimedPartitions []int
	// ExtendClaim names one more partition in the pool's claim; after a nil error it may be used.
	ExtendClaim func(ctx context.Context, partition int) error
	// NarrowClaim leaves one partition in the pool's claim. After an error the claim may name any.
	NarrowClaim func(ctx context.Context, partition int) error

	kick chan struct{}
	// ledger lists the partitions that the claim names for certain, closed those that were used before.
	ledger, closed []*ledger
	// named is the greatest number of partitions that the claim may name.
	named int
	merge merge
	limit waits.Limit
	// lostSince is when the store began to take no records; zero while it takes them.
	lostSince atomic.Int64
	calls     spawn.Group
	mu        sync.Mutex
	polls     map[citron.Worker]*poll
}

// Run claims the pool's records and runs the pool until the context ends or another daemon has taken over; then it
// returns ErrFenced. Ready is called once the former holder can no longer record anything.
func (h *Holder) Run(ctx context.Context, ready func()) (err error) {
	defer func() { err = eris.Wrapf(err, "hold pool in epoch %d", h.Pool.Epoch) }()
	run, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		<-h.calls.Ended()
	}()
	h.kick = make(chan struct{}, 1)
	h.named = len(h.ClaimedPartitions)
	h.polls = map[citron.Worker]*poll{}
	h.calls.Bind(run)
	if err := h.fence(run); err != nil {
		return err
	}
	h.View.SetListener(h.jobChanged)
	defer h.View.SetListener(nil)
	h.calls.Go(h.complete)
	ready()
	return h.loop(run)
}

// complete waits until every job is known that a former holder can have started: all of them were accepted before its
// last record.
func (h *Holder) complete(ctx context.Context) {
	for _, t := range h.JobTails {
		for t.CatchUp(ctx) != nil {
			if ctx.Err() != nil {
				return
			}
			timer.Pause(ctx, h.Timer, catchUpRetry)
		}
	}
	h.Pool.MarkAllJobsKnown()
	h.wake()
}

// catchUpRetry separates the tries to read the accepted jobs.
const catchUpRetry = 100 * time.Millisecond

// StoreUnavailableFor is how long the store has taken no records of this holder.
func (h *Holder) StoreUnavailableFor() time.Duration {
	since := time.Duration(h.lostSince.Load())
	if since == 0 {
		return 0
	}
	return h.Timer.Now().Boot - since
}

// UpdateWorkers takes in the platform's list of workers.
func (h *Holder) UpdateWorkers(entries []citron.WorkerEntry) {
	h.Pool.UpdateWorkers(h.Timer.Now(), entries)
	h.wake()
}

func (h *Holder) jobChanged(id citron.JobID, e view.Entry) {
	now := h.Timer.Now()
	h.Pool.Accept(now, e.Spec, e.Progress)
	if e.Cancelled {
		h.Pool.Cancel(now, id)
	}
	h.wake()
}

func (h *Holder) wake() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

func (h *Holder) loop(ctx context.Context) error {
	for {
		if err := h.round(ctx); err != nil {
			return err
		}
		due, stop := h.Timer.After(planEvery)
		select {
		case <-h.kick:
		case <-due:
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
		stop()
		timer.Pause(ctx, h.Timer, planPause)
	}
}

// round plans once and carries the plan out. Stops and questions need no record; starts wait for theirs.
func (h *Holder) round(ctx context.Context) error {
	e, err := h.Pool.Plan(h.Timer.Now())
	if err != nil {
		return err
	}
	if h.Pool.Fenced() {
		return citron.ErrFenced
	}
	for _, s := range e.Stops {
		h.calls.Go(func(ctx context.Context) { h.stop(ctx, s) })
	}
	for _, a := range e.AdviceRequests {
		h.calls.Go(func(ctx context.Context) { h.ask(ctx, a) })
	}
	if len(e.Records) > 0 {
		if err := h.append(ctx, e.Records); err != nil {
			return err
		}
		h.publish(e)
	}
	h.Pool.Committed(e)
	h.consolidate(ctx, e)
	for _, s := range e.Starts {
		h.calls.Go(func(ctx context.Context) { h.start(ctx, s) })
	}
	h.pollWorkers(e.Acks)
	if len(e.Expired) > 0 {
		h.calls.Go(func(ctx context.Context) { h.remove(ctx, e.Expired) })
	}
	return nil
}

// remove drops the records of jobs that ended long ago from every partition that may hold them. A job goes before its
// progress: without it, the job would look as if it had never begun.
func (h *Holder) remove(ctx context.Context, ids []citron.JobID) {
	var jobs, progress []citron.KeyedRecord
	for _, id := range ids {
		jobs = append(jobs, citron.KeyedRecord{Key: pool.JobKey + string(id)}, citron.KeyedRecord{Key: pool.CancelKey + string(id)})
		progress = append(progress, citron.KeyedRecord{Key: pool.ProgressKey + string(id)})
	}
	for _, t := range h.JobTails {
		if err := h.drop(ctx, t.Partition, jobs); err != nil {
			h.failed("remove", err)
			return
		}
	}
	for _, t := range h.ProgressTails {
		if err := h.drop(ctx, t.Partition, progress); err != nil {
			h.failed("remove", err)
		}
	}
}

func (h *Holder) drop(ctx context.Context, p citron.Partition, records []citron.KeyedRecord) error {
	bounded, cancel := context.WithTimeout(ctx, appendBounds.Most)
	defer cancel()
	_, err := h.Store.Append(bounded, p, records, citron.Condition{})
	return err
}

// publish passes on the records that change what callers see.
func (h *Holder) publish(e pool.Effects) {
	for n, r := range e.Records {
		if e.Visible[n] {
			h.Published(r)
		}
	}
}

// start sends an order until it is answered or too late. A worker takes one run of a task once, however often it is told.
func (h *Holder) start(ctx context.Context, s pool.Start) {
	began := h.Timer.Now().Boot
	outcome, clock := citron.StartUnknown, time.Duration(0)
	unanswered := 0
	for outcome == citron.StartUnknown && ctx.Err() == nil && h.Timer.Now().Boot-began < h.Pool.Options.StartTimeout-orderTimeout {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		var err error
		outcome, clock, err = h.Workers.Start(bounded, &s.Worker, s.Order)
		cancel()
		if err != nil {
			h.failed("start", err)
			timer.Pause(ctx, h.Timer, orderRetry)
		}
		if outcome == citron.StartUnknown {
			unanswered++
		}
		if unanswered == silentTries {
			h.Pool.MarkUnresponsive(s.Worker.ID)
		}
	}
	if unanswered > 0 && outcome != citron.Started && outcome != citron.StartFenced && outcome != citron.StartGone {
		// The refusal speaks for the last try only; an earlier one may have started the run.
		outcome = citron.StartUnknown
	}
	h.Pool.Started(h.Timer.Now(), s, outcome, clock)
	if outcome != citron.Started {
		h.wake()
	}
	h.nudge(s.Worker.ID)
}

func (h *Holder) stop(ctx context.Context, s pool.Stop) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	clock, err := h.Workers.Stop(bounded, &s.Worker, s.Order)
	switch {
	case errors.Is(err, citron.ErrWorkerGone):
		h.Pool.Gone(h.Timer.Now(), s.Worker.ID)
	case err != nil:
		h.failed("stop", err)
		return
	default:
		h.Pool.Stopped(h.Timer.Now(), s, clock)
	}
	h.nudge(s.Worker.ID)
	h.wake()
}

func (h *Holder) ask(ctx context.Context, a pool.AdviceRequest) {
	permits, valid, err := h.Advise(ctx, a)
	if err != nil {
		h.failed("advise", err)
	}
	h.Pool.Advised(h.Timer.Now(), a, permits, valid, err != nil)
	h.wake()
}

func (h *Holder) failed(what string, err error) {
	if h.ExchangeFailed != nil {
		h.ExchangeFailed(what, err)
	}
}
