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
	// inDoubtWait is the same while it is not known whether a task runs there.
	inDoubtWait = 100 * time.Millisecond
	// pollSlack is added to the wait before a hold counts as unanswered.
	pollSlack = 300 * time.Millisecond
	// idleInterval is how often a worker without tasks is asked, to keep its clock's offset.
	idleInterval = 5 * time.Second
	// ackTimeout bounds the wait for ends to be recorded before the worker is asked again.
	ackTimeout = 100 * time.Millisecond
	// minRetryDelay and retryMost are the pauses after unanswered holds.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// poll asks one worker again and again what runs there.
type poll struct {
	wakeup chan struct{}
}

// pollWorkers starts the polls of new workers and hurries those whose ends have been recorded.
func (h *Holder) pollWorkers(acked map[citron.Worker]int64) {
	for _, id := range h.Pool.Workers() {
		h.mu.Lock()
		_, running := h.polls[id]
		if !running {
			p := &poll{wakeup: make(chan struct{}, 1)}
			h.polls[id] = p
			h.calls.Go(func(ctx context.Context) { h.poll(ctx, id, p) })
		}
		h.mu.Unlock()
	}
	for id := range acked {
		h.wakePoll(id)
	}
}

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

func (h *Holder) poll(ctx context.Context, id citron.Worker, p *poll) {
	defer func() {
		h.mu.Lock()
		delete(h.polls, id)
		h.mu.Unlock()
	}()
	retry := minRetryDelay
	for ctx.Err() == nil {
		now := h.Timer.Now()
		h.Pool.Proved(h.LastConfirmed())
		entry, order, load, ok := h.Pool.NextHold(now, id)
		if !ok {
			return
		}
		switch {
		case retry > minRetryDelay:
			// It was silent: that it answers again should be known at once.
		case load.Unsettled:
			order.Wait = inDoubtWait
		case load.Tasks > 0:
			order.Wait = pollWait
		}
		bounded, cancel := context.WithTimeout(ctx, order.Wait+pollSlack)
		report, clock, err := h.Workers.Renew(bounded, &entry, order)
		cancel()
		if errors.Is(err, citron.ErrWorkerGone) {
			h.Pool.Gone(h.Timer.Now(), id)
			h.requestPlan()
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				h.reportFailure("hold", err)
				h.Pool.Unanswered(id)
			}
			h.pausePoll(ctx, p, retry, false)
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		retry = minRetryDelay
		h.Pool.Held(h.Timer.Now(), id, now.Boot, report, clock)
		switch {
		case len(report.Ended) > 0:
			h.requestPlan()
			h.pausePoll(ctx, p, ackTimeout, true)
		case load.Unsettled || load.First:
			h.requestPlan()
		case load.Tasks == 0:
			h.pausePoll(ctx, p, idleInterval, true)
		}
	}
}

// pausePoll waits for a time, or less where something happens at the worker.
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
