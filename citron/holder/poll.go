package holder

import (
	"context"
	"errors"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
)

const (
	// pollWait is the long-poll time for a worker with running tasks.
	pollWait = time.Second
	// unsettledWait is the long-poll time while it is not known whether a task runs on the worker.
	unsettledWait = 100 * time.Millisecond
	// pollSlack is added to the long-poll time to get the timeout of a renew order.
	pollSlack = 300 * time.Millisecond
	// idleInterval is the pause between renew orders to a worker without tasks, which keep its clock offset up to date.
	idleInterval = 5 * time.Second
	// ackTimeout is the longest wait for ended runs to be recorded before the next renew order.
	ackTimeout = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after unanswered renew orders.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// poll sends renew orders to one worker until the worker is gone.
type poll struct {
	// wakeup ends the pause before the next renew order.
	wakeup chan struct{}
}

// pollWorkers starts the polls of new workers and wakes those of workers whose ended runs have been recorded.
func (h *Holder) pollWorkers(acked map[citron.Worker]pool.Ack) {
	for _, id := range h.Pool.Workers() {
		h.mu.Lock()
		_, running := h.polls[id]
		if !running {
			p := &poll{wakeup: make(chan struct{}, 1)}
			h.polls[id] = p
			h.exchanges.Go(func(ctx context.Context) { h.poll(ctx, id, p) })
		}
		h.mu.Unlock()
	}
	for id := range acked {
		h.wakePoll(id)
	}
}

// wakePoll ends the pause of the poll of a worker.
func (h *Holder) wakePoll(id citron.Worker) {
	h.mu.Lock()
	p := h.polls[id]
	h.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// poll renews the leases on one worker and passes its reports to the pool until the worker is gone.
func (h *Holder) poll(ctx context.Context, id citron.Worker, p *poll) {
	defer func() {
		h.mu.Lock()
		delete(h.polls, id)
		h.mu.Unlock()
	}()
	retry := minRetryDelay
	for ctx.Err() == nil {
		now := h.Timer.Now()
		h.Pool.ConfirmHeld(h.LastConfirmed())
		entry, order, runs, ok := h.Pool.NextRenewal(now, id)
		if !ok {
			return
		}
		switch {
		case retry > minRetryDelay:
			// The worker was unresponsive; without a long poll the pool learns at once that it answers again.
		case runs.Unsettled:
			order.Wait = unsettledWait
		case runs.Tasks > 0:
			order.Wait = pollWait
		}
		bounded, cancel := context.WithTimeout(ctx, order.Wait+pollSlack)
		report, clock, err := h.Workers.Renew(bounded, &entry, order)
		cancel()
		if errors.Is(err, citron.ErrWorkerGone) {
			h.Pool.Gone(h.Timer.Now(), &entry)
			h.requestPlan()
			return
		}
		if errors.Is(err, citron.ErrFenced) {
			// A holder that does not reach the store learns from workers first that another daemon has taken over.
			h.reportFailure("hold", err)
			h.giveUp(citron.ErrFenced)
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				h.workerFailed("hold", id, err)
				h.Pool.MarkUnresponsive(id)
			}
			h.pausePoll(ctx, p, retry, false)
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		retry = minRetryDelay
		h.Pool.Renewed(h.Timer.Now(), id, now.Boot, report, clock)
		switch {
		case len(report.Ended) > 0:
			h.requestPlan()
			h.pausePoll(ctx, p, ackTimeout, true)
		case runs.Unsettled || runs.Unreported:
			h.requestPlan()
		case runs.Tasks == 0:
			h.pausePoll(ctx, p, idleInterval, true)
		}
	}
}

// pausePoll waits for d, or until the poll is woken if it is wakeable.
func (h *Holder) pausePoll(ctx context.Context, p *poll, d time.Duration, wakeable bool) {
	due, stop := h.Timer.After(d)
	defer stop()
	wakeup := p.wakeup
	if !wakeable {
		wakeup = nil
	}
	select {
	case <-due:
	case <-wakeup:
	case <-ctx.Done():
	}
}
