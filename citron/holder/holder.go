// Package holder runs a pool as its lease holder in one epoch: it records the pool's decisions, sends its orders and
// passes the answers back to it.
package holder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/citron/waits"
)

const (
	// orderTimeout is the time limit of one start or stop order, relayedOrderTimeout that of one that other daemons may
	// relay. Their links may be full of other starts, and a start that is repeated too early adds to that.
	orderTimeout        = 300 * time.Millisecond
	relayedOrderTimeout = 500 * time.Millisecond
	// orderRetry is the delay between the tries of one start order.
	orderRetry = 10 * time.Millisecond
	// unresponsiveTries is the number of unanswered tries after which a worker gets no more tasks until it answers. A
	// single lost answer is no sign of an unresponsive worker.
	unresponsiveTries = 2
	// maxPlanInterval is the longest wait for a request before the next plan, since a plan also checks leases and due
	// times.
	maxPlanInterval = 50 * time.Millisecond
	// minPlanInterval is the delay of a plan after its request; events that arrive meanwhile are planned together.
	minPlanInterval = 4 * time.Millisecond
)

// Holder runs one pool in one epoch.
type Holder struct {
	Store citron.Store
	// Producer is the name under which the pool appends to the store.
	Producer string
	// Workers sends the orders with tokens of this epoch.
	Workers citron.Workers
	Timer   citron.Timer
	View    *view.View
	// ProgressTails follow the partitions with the progress of the pool's jobs, JobTails those with the accepted jobs.
	ProgressTails []*tail.Tail
	JobTails      []*tail.Tail
	// JobSources are the sources of the view that JobTails feed.
	JobSources []*view.Source
	Pool       *pool.Pool
	// MaxOrders is the number of start orders, and of stop orders, that are under way at once; 0 means any number.
	MaxOrders int
	// Advise sends a request to the policy service through the daemon named in it.
	Advise func(ctx context.Context, a pool.AdviceRequest) ([]citron.Permit, time.Duration, error)
	// Relayed, if set, reports whether Workers sends orders through other daemons.
	Relayed func() bool
	// LastConfirmed returns the last boot time at which this daemon's claim was known to be the newest; zero if it no longer
	// is.
	LastConfirmed func() time.Duration
	// Published is called with each stored record that changes what callers see.
	Published func(citron.KeyedRecord)
	// Planned, if set, is called after each plan with the time that it took and the time until its records were stored, or until
	// the next plan could be made.
	Planned func(took, stored time.Duration)
	// ExchangeFailed, if set, is called for each failed exchange with a worker, the store or the policy service.
	ExchangeFailed func(exchange string, err error)

	// ClaimedPartitions are the numbers of the progress partitions that the claim names. They contain all records of
	// former holders.
	ClaimedPartitions []int
	// ExtendClaim adds a partition to the pool's claim. The partition may be used only after a nil error.
	ExtendClaim func(ctx context.Context, partition int) error
	// NarrowClaim removes all partitions but one from the pool's claim. After an error the claim may name either set.
	NarrowClaim func(ctx context.Context, partition int) error

	// replan requests a plan before maxPlanInterval has passed.
	replan chan struct{}
	// giveUp ends Run.
	giveUp context.CancelCauseFunc
	// openLogs are the partitions that the claim is known to name, closedLogs those that were used earlier in this epoch.
	openLogs, closedLogs []*partitionLog
	// maxClaimed is an upper bound on the number of partitions that the claim names.
	maxClaimed int
	merge      merge
	writes     writes
	// unstorable holds the jobs with a record that the store has refused for good.
	unstorable map[citron.JobID]bool
	// storeTimeout adapts the timeout of a probe to how quickly the store answers.
	storeTimeout waits.Timeout
	// appendLatency is that of the last answered append.
	appendLatency atomic.Int64
	// unavailableSince is the boot time since which the store has stored no records; zero while it stores them or has not been
	// waited for longer than usual.
	unavailableSince atomic.Int64
	exchanges        spawn.Group
	// starts and stops send the orders.
	starts, stops spawn.Queue
	trims         trims
	// mu guards polls.
	mu    sync.Mutex
	polls map[citron.Worker]*poll
}

// Run fences the pool's partitions and runs the pool until the context ends. It returns ErrFenced once another daemon
// has taken over. Ready is called once former holders can no longer record anything.
func (h *Holder) Run(ctx context.Context, ready func()) (err error) {
	defer func() { err = eris.Wrapf(err, "run pool in epoch %d", h.Pool.Epoch) }()
	inner, cancel := context.WithCancelCause(ctx)
	defer func() {
		cancel(nil)
		<-h.exchanges.Idle()
		if errors.Is(context.Cause(inner), citron.ErrFenced) {
			err = citron.ErrFenced
		}
	}()
	h.giveUp = cancel
	h.replan = make(chan struct{}, 1)
	h.writes = newWrites(len(h.ProgressTails))
	h.maxClaimed = len(h.ClaimedPartitions)
	h.polls = map[citron.Worker]*poll{}
	h.exchanges.SetContext(inner)
	if err := h.fence(inner); err != nil {
		return err
	}
	h.View.SetListener(h.jobChanged)
	defer h.View.SetListener(nil)
	h.exchanges.Go(h.awaitFormerJobs)
	ready()
	return h.loop(inner)
}

// awaitFormerJobs waits until every job is known that a former holder may have started. These were accepted before the
// last record of the former holder.
func (h *Holder) awaitFormerJobs(ctx context.Context) {
	for _, t := range h.JobTails {
		for t.CatchUp(ctx) != nil {
			if ctx.Err() != nil {
				return
			}
			timer.Pause(ctx, h.Timer, catchUpRetry)
		}
	}
	h.Pool.MarkAllJobsKnown()
	h.requestPlan()
}

// catchUpRetry is the delay between the tries to read the accepted jobs.
const catchUpRetry = 100 * time.Millisecond

// StoreUnavailableFor returns how long the store has stored no records of this holder; zero while it stores them.
func (h *Holder) StoreUnavailableFor() time.Duration {
	since := time.Duration(h.unavailableSince.Load())
	if since == 0 {
		return 0
	}
	return h.Timer.Now().Boot - since
}

// UpdateWorkers passes the platform's list of workers to the pool.
func (h *Holder) UpdateWorkers(entries []citron.WorkerEntry) {
	for _, id := range h.Pool.UpdateWorkers(h.Timer.Now(), entries) {
		h.wakePoll(id)
	}
	h.requestPlan()
}

// jobChanged passes an accepted, changed or cancelled job to the pool.
func (h *Holder) jobChanged(id citron.JobID, e view.Entry) {
	now := h.Timer.Now()
	if !h.Pool.Knows(id) {
		progress, err := e.FullProgress()
		parts, partsErr := e.Parts()
		if err := errors.Join(err, partsErr); err != nil {
			h.reportFailure("restore", err)
			return
		}
		h.Pool.Accept(now, e.Spec, progress, parts...)
	}
	if e.Cancelled {
		h.Pool.Cancel(now, id)
	}
	h.requestPlan()
}

// setAside fails the jobs of records that the store has refused for good. No start of theirs is sent any more.
func (h *Holder) setAside(refused []citron.KeyedRecord) {
	for _, r := range refused {
		id := pool.JobOfRecord(r.Key)
		if h.unstorable == nil {
			h.unstorable = map[citron.JobID]bool{}
		}
		h.unstorable[id] = true
		h.Pool.Fail(h.Timer.Now(), id, "the store refuses the record of its progress")
	}
}

// requestPlan requests a plan without waiting for maxPlanInterval.
func (h *Holder) requestPlan() {
	select {
	case h.replan <- struct{}{}:
	default:
	}
}

func (h *Holder) loop(ctx context.Context) error {
	for {
		if err := h.runPlan(ctx); err != nil {
			return err
		}
		due, stop := h.Timer.After(maxPlanInterval)
		var err error
		select {
		case <-h.replan:
		case <-due:
		case f := <-h.writes.ended:
			err = h.writeEnded(ctx, f)
		case l := <-h.writes.opened:
			h.addLog(l)
		case <-ctx.Done():
			err = ctx.Err()
		}
		stop()
		if err != nil {
			return err
		}
		timer.Pause(ctx, h.Timer, minPlanInterval)
	}
}

// runPlan plans once and carries out the plan. Stops and advice requests are sent before the records are stored, starts
// only afterwards.
func (h *Holder) runPlan(ctx context.Context) error {
	if err := h.awaitStore(ctx); err != nil {
		return err
	}
	began := h.Timer.Now()
	e, err := h.Pool.Plan(began)
	if err != nil {
		return err
	}
	planned := h.Timer.Now()
	defer func() {
		if h.Planned != nil {
			h.Planned(planned.Boot-began.Boot, h.Timer.Now().Boot-planned.Boot)
		}
	}()
	if h.Pool.Fenced() {
		return citron.ErrFenced
	}
	for _, s := range e.Stops {
		h.limited(&h.stops).Go(func(ctx context.Context) { h.stop(ctx, s) })
	}
	for _, a := range e.AdviceRequests {
		h.exchanges.Go(func(ctx context.Context) { h.requestAdvice(ctx, a) })
	}
	return h.write(ctx, e)
}

// stored continues with what required the records of a plan to be stored. The refused ones are not.
func (h *Holder) stored(e pool.Effects, refused []citron.KeyedRecord) {
	h.publish(e, refused)
	now := h.Timer.Now().Boot
	for _, s := range e.Starts {
		if h.unstorable[s.Order.Task.Job()] {
			continue
		}
		h.limited(&h.starts).Go(func(ctx context.Context) { h.start(ctx, s, now) })
	}
}

// committed continues with what required the records of a plan and of all earlier ones to be stored. Alone is set if no other
// append was or is under way.
func (h *Holder) committed(ctx context.Context, e pool.Effects, alone bool) {
	if h.Pool.Committed(e) {
		h.requestPlan()
	}
	if alone {
		h.consolidate(ctx, e)
	}
	h.pollWorkers(e.Acks)
	h.trimJobs(e.Ended)
	if len(e.Expired) > 0 {
		h.exchanges.Go(func(ctx context.Context) { h.removeJobs(ctx, e.Expired) })
	}
}

// removeJobs deletes the records of expired jobs from every partition that may contain them. The job is deleted before
// its progress, since a job without progress looks as if it had never started, and the parts before what tells their number.
func (h *Holder) removeJobs(ctx context.Context, expired []pool.ExpiredJob) {
	var jobs, progress []citron.KeyedRecord
	for _, j := range expired {
		jobs = append(jobs, citron.KeyedRecord{Key: pool.JobKey + string(j.ID)}, citron.KeyedRecord{Key: pool.CancelKey + string(j.ID)})
		for n := range j.Parts {
			progress = append(progress, citron.KeyedRecord{Key: pool.NameOfPart(j.ID, int32(n))})
		}
		progress = append(progress, citron.KeyedRecord{Key: pool.ProgressKey + string(j.ID)})
	}
	for _, t := range h.JobTails {
		if err := h.replaceRecords(ctx, t.Partition, jobs); err != nil {
			h.reportFailure("remove", err)
			return
		}
	}
	for _, t := range h.ProgressTails {
		for left := progress; len(left) > 0; {
			n := prefixWithin(left, maxAppendBytes)
			if err := h.replaceRecords(ctx, t.Partition, left[:n]); err != nil {
				h.reportFailure("remove", err)
				break
			}
			left = left[n:]
		}
	}
}

// replaceRecords appends records, or tombstones for their keys, to one partition without a condition.
func (h *Holder) replaceRecords(ctx context.Context, p citron.Partition, records []citron.KeyedRecord) error {
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := h.Store.Append(bounded, p, records, citron.Condition{})
	return err
}

// publish calls Published for the stored records that change what callers see.
func (h *Holder) publish(e pool.Effects, refused []citron.KeyedRecord) {
	for n, r := range e.Records {
		if e.Visible[n] && !slices.ContainsFunc(refused, func(other citron.KeyedRecord) bool { return other.Key == r.Key }) {
			h.Published(r)
		}
	}
}

// OrderBytes is what an order under way takes of the memory of the holder, with its connection.
const OrderBytes budget.Bytes = 16 << 10

// limited returns a queue of orders with its limit set.
func (h *Holder) limited(q *spawn.Queue) *spawn.Queue {
	q.Group, q.Max = &h.exchanges, h.MaxOrders
	return q
}

// start sends a start order, which began to wait at a boot time, until it is answered or too late. Repeats are safe: a worker starts
// each run at most once.
func (h *Holder) start(ctx context.Context, s pool.Start, began time.Duration) {
	outcome, clock := citron.StartUnknown, time.Duration(0)
	unanswered := 0
	timeout := orderTimeout
	if h.Relayed != nil && h.Relayed() {
		timeout = relayedOrderTimeout
	}
	for outcome == citron.StartUnknown && ctx.Err() == nil && h.Timer.Now().Boot-began < h.Pool.Options.StartTimeout-timeout {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		var err error
		h.fillPayload(&s.Order)
		outcome, clock, err = h.Workers.Start(bounded, &s.Worker, s.Order)
		cancel()
		if err != nil {
			h.workerFailed("start", s.Worker.ID, err)
			timer.Pause(ctx, h.Timer, orderRetry)
		}
		if outcome == citron.StartUnknown && !errors.Is(err, citron.ErrRejected) {
			unanswered++
		}
		if unanswered == unresponsiveTries {
			h.Pool.MarkUnresponsive(s.Worker.ID)
		}
		if errors.Is(err, citron.ErrFormerLife) {
			break
		}
	}
	if unanswered > 0 && outcome != citron.Started && outcome != citron.StartFenced && outcome != citron.StartGone {
		// The refusal applies to the last try only; an earlier unanswered one may have started the run.
		outcome = citron.StartUnknown
	}
	if unanswered == 0 && outcome == citron.StartUnknown {
		// No try was sent.
		outcome = citron.StartLate
	}
	h.Pool.Started(h.Timer.Now(), s, outcome, clock)
	if outcome == citron.StartFenced {
		h.giveUp(citron.ErrFenced)
	}
	if outcome != citron.Started {
		h.requestPlan()
	}
	h.wakePoll(s.Worker.ID)
}

// fillPayload adds the payload to an order for a job that was accepted here without it, if it has been read since.
func (h *Holder) fillPayload(o *citron.StartOrder) {
	if !o.PayloadOmitted {
		return
	}
	if e, known := h.View.Get(o.Task.Job()); known && !e.Spec.GetPayloadOmitted() {
		o.Payload, o.PayloadOmitted = e.Spec.GetPayload(), false
	}
}

func (h *Holder) stop(ctx context.Context, s pool.Stop) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	clock, err := h.Workers.Stop(bounded, &s.Worker, s.Order)
	switch {
	case errors.Is(err, citron.ErrWorkerGone):
		h.Pool.Gone(h.Timer.Now(), &s.Worker)
	case err != nil:
		h.workerFailed("stop", s.Worker.ID, err)
		return
	default:
		h.Pool.Stopped(h.Timer.Now(), s, clock)
	}
	h.wakePoll(s.Worker.ID)
	h.requestPlan()
}

func (h *Holder) requestAdvice(ctx context.Context, a pool.AdviceRequest) {
	permits, valid, err := h.Advise(ctx, a)
	if err != nil {
		h.reportFailure("advise", err)
	}
	h.Pool.Advised(h.Timer.Now(), a, permits, valid, err != nil)
	h.requestPlan()
}

// workerFailed reports a failed exchange with a worker, and tells the pool if the worker refused the connection.
func (h *Holder) workerFailed(exchange string, id citron.Worker, err error) {
	h.reportFailure(exchange, err)
	if errors.Is(err, citron.ErrRefused) {
		h.Pool.MarkRefused(h.Timer.Now(), id)
	}
}

func (h *Holder) reportFailure(exchange string, err error) {
	if h.ExchangeFailed != nil {
		h.ExchangeFailed(exchange, err)
	}
}
