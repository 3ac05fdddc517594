package holder

import (
	"context"
	"errors"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// pollWait is how long a worker may hold its answer back while its tasks run.
	pollWait = time.Second
	// unsettledWait is the same while it is not known whether a task runs there.
	unsettledWait = 100 * time.Millisecond
	// pollSlack is added to the wait before a hold counts as unanswered.
	pollSlack = 300 * time.Millisecond
	// idleEvery is how often a worker without tasks is asked, to keep its clock's offset.
	idleEvery = 5 * time.Second
	// ackTimeout bounds the wait for ends to be recorded before the worker is asked again.
	ackTimeout = 100 * time.Millisecond
	// retryFirst and retryMost are the pauses after unanswered holds.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// poll asks one worker again and again what runs there.
type poll struct {
	nudged chan struct{}
}

// pollWorkers starts the polls of new workers and hurries those whose ends have been recorded.
func (h *Holder) pollWorkers(acked map[citron.Worker]int64) {
	for _, id := range h.Pool.Workers() {
		h.mu.Lock()
		_, running := h.polls[id]
		if !running {
			p := &poll{nudged: make(chan struct{}, 1)}
			h.polls[id] = p
			h.calls.Go(func(ctx context.Context) { h.poll(ctx, id, p) })
		}
		h.mu.Unlock()
	}
	for id := range acked {
		h.nudge(id)
	}
}

func (h *Holder) nudge(id citron.Worker) {
	h.mu.Lock()
	p := h.polls[id]
	h.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.nudged <- struct{}{}:
	default:
	}
}

func (h *Holder) poll(ctx context.Context, id citron.Worker, p *poll) {
	defer func() {
		h.mu.Lock()
		delete(h.polls, id)
		h.mu.Unlock()
	}()
	retry := retryFirst
	for ctx.Err() == nil {
		now := h.Timer.Now()
		h.Pool.ConfirmHeld(h.LastConfirmed())
		entry, order, load, ok := h.Pool.NextRenewal(now, id)
		if !ok {
			return
		}
		switch {
		case retry > retryFirst:
			// It was silent: that it answers again should be known at once.
		case load.Unsettled:
			order.Wait = unsettledWait
		case load.Tasks > 0:
			order.Wait = pollWait
		}
		bounded, cancel := context.WithTimeout(ctx, order.Wait+pollSlack)
		report, clock, err := h.Workers.Renew(bounded, &entry, order)
		cancel()
		if errors.Is(err, citron.ErrWorkerGone) {
			h.Pool.Gone(h.Timer.Now(), id)
			h.wake()
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				h.failed("hold", err)
				h.Pool.MarkUnresponsive(id)
			}
			h.rest(ctx, p, retry, false)
			retry = min(2*retry, retryMost)
			continue
		}
		retry = retryFirst
		h.Pool.Renewed(h.Timer.Now(), id, now.Boot, report, clock)
		switch {
		case len(report.Ended) > 0:
			h.wake()
			h.rest(ctx, p, ackTimeout, true)
		case load.Unsettled || load.Unreported:
			h.wake()
		case load.Tasks == 0:
			h.rest(ctx, p, idleEvery, true)
		}
	}
}

// rest waits for a time, or less where something happens at the worker.
func (h *Holder) rest(ctx context.Context, p *poll, d time.Duration, nudgeable bool) {
	due, stop := h.Timer.After(d)
	defer stop()
	nudged := p.nudged
	if !nudgeable {
		nudged = nil
	}
	select {
	case <-due:
	case <-nudged:
	case <-ctx.Done():
	}
}
