package intake

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/waits"
)

// appendBounds bound one append: the store answers in some 10 ms, on slow days in half a second.
var appendBounds = waits.Bounds{Least: 400 * time.Millisecond, Most: 1200 * time.Millisecond}

const (
	// writeTimeout bounds all tries of one batch.
	writeTimeout = 2500 * time.Millisecond
	// retryPause separates the tries.
	retryPause = 50 * time.Millisecond
	// relayFirstFor is how long another daemon is asked first once it could do what this one could not.
	relayFirstFor = time.Second
	// maxBatchRecords is the number of records in one append; a record has at most a few kilobytes.
	maxBatchRecords = 200
)

// Writer appends records and puts those that wait at the same time into one append. Records are keyed, so a repeated
// append changes nothing, and an append whose answer was lost is simply sent again.
type Writer struct {
	Store citron.Store
	// Partitions are tried in turn; a record may lie in any of them, or in several.
	Partitions []citron.Partition
	Timer      citron.Timer
	// AnsweredSince, if set, tells whether the store has answered for a partition since an instant.
	AnsweredSince func(partition int, since time.Duration) bool
	// Relay, if set, has another daemon append for this one when it cannot reach the store.
	Relay func(ctx context.Context, records []citron.KeyedRecord) error

	calls spawn.Group
	limit waits.Limit
	// preferredPartition is the partition to try first. It is the first one again once that answers after leftAt.
	preferredPartition atomic.Int64
	failedOverAt       atomic.Int64
	// relayFirstUntil is until when other daemons are asked first.
	relayFirstUntil atomic.Int64

	mu      sync.Mutex
	waiting []pendingWrite
	busy    bool
}

type pendingWrite struct {
	record citron.KeyedRecord
	done   chan error
}

// Write returns nil once the record is stored, ErrNotDone if it is not and never will be, and ErrUnavailable if that is
// not known.
func (w *Writer) Write(ctx context.Context, r citron.KeyedRecord) error {
	done := make(chan error, 1)
	w.mu.Lock()
	w.waiting = append(w.waiting, pendingWrite{r, done})
	start := !w.busy
	w.busy = true
	w.mu.Unlock()
	if start {
		w.calls.Go(func(context.Context) { w.appendWaiting() })
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return citron.ErrUnavailable
	}
}

// appendWaiting appends until nothing waits. Each Write learns the outcome through its channel.
func (w *Writer) appendWaiting() {
	for {
		w.mu.Lock()
		n := min(len(w.waiting), maxBatchRecords)
		batch := w.waiting[:n:n]
		w.waiting = w.waiting[n:]
		if n == 0 {
			w.busy = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		records := make([]citron.KeyedRecord, 0, n)
		for _, e := range batch {
			records = append(records, e.record)
		}
		err := w.appendWithRetry(records)
		for _, e := range batch {
			e.done <- err
		}
	}
}

// appendWithRetry tries until the outcome is known or the time is up.
func (w *Writer) appendWithRetry(records []citron.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	unknown := false
	for ctx.Err() == nil {
		err := w.tryRoutes(ctx, records)
		if err == nil {
			return nil
		}
		unknown = unknown || !errors.Is(err, citron.ErrRejected)
		if !unknown {
			return citron.ErrRejected
		}
		timer.Pause(ctx, w.Timer, retryPause)
	}
	return citron.ErrUnavailable
}

// tryRoutes uses the way that worked last, then the other one. ErrNotDone means that both refused.
func (w *Writer) tryRoutes(ctx context.Context, records []citron.KeyedRecord) error {
	ways := []func(context.Context, []citron.KeyedRecord) error{w.AppendDirect}
	if w.Relay != nil {
		ways = append(ways, w.Relay)
		if w.Timer.Now().Boot < time.Duration(w.relayFirstUntil.Load()) {
			ways[0], ways[1] = ways[1], ways[0]
		}
	}
	result := citron.ErrRejected
	for n, way := range ways {
		err := way(ctx, records)
		if err == nil {
			if w.Relay != nil && n == 1 {
				w.switchRoute()
			}
			return nil
		}
		if !errors.Is(err, citron.ErrRejected) {
			result = citron.ErrUnavailable
		}
	}
	return result
}

// switchRoute makes the other way the first one for a time.
func (w *Writer) switchRoute() {
	now := w.Timer.Now().Boot
	if now < time.Duration(w.relayFirstUntil.Load()) {
		w.relayFirstUntil.Store(0)
		return
	}
	w.relayFirstUntil.Store(int64(now + relayFirstFor))
}

// AppendDirect appends from this daemon: to the preferred partition, then to all others at once. Where the same records land
// in several partitions nothing changes.
func (w *Writer) AppendDirect(ctx context.Context, records []citron.KeyedRecord) error {
	if since := time.Duration(w.failedOverAt.Load()); since > 0 && w.AnsweredSince != nil && w.AnsweredSince(0, since) {
		w.preferredPartition.Store(0)
		w.failedOverAt.Store(0)
	}
	preferred := int(w.preferredPartition.Load())
	first := w.appendTo(ctx, preferred, records)
	if first == nil {
		return nil
	}
	w.failedOverAt.Store(int64(w.Timer.Now().Boot))
	outcomes := make(chan error, len(w.Partitions))
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	others := 0
	for n := range w.Partitions {
		if n == preferred {
			continue
		}
		others++
		w.calls.Go(func(context.Context) {
			err := w.appendTo(bounded, n, records)
			if err == nil {
				w.preferredPartition.Store(int64(n))
			}
			outcomes <- err
		})
	}
	return w.awaitAny(first, others, outcomes)
}

// awaitAny returns nil for the first success, ErrNotDone where every try was refused.
func (w *Writer) awaitAny(first error, others int, outcomes <-chan error) error {
	result := citron.ErrRejected
	if !errors.Is(first, citron.ErrRejected) {
		result = citron.ErrUnavailable
	}
	for range others {
		err := <-outcomes
		if err == nil {
			return nil
		}
		if !errors.Is(err, citron.ErrRejected) {
			result = citron.ErrUnavailable
		}
	}
	if !errors.Is(result, citron.ErrRejected) {
		// No partition answered in time: the store is slow, or away.
		w.limit.Late(appendBounds)
	}
	return result
}

// appendTo appends to one partition.
func (w *Writer) appendTo(ctx context.Context, n int, records []citron.KeyedRecord) error {
	bounded, cancel := context.WithTimeout(ctx, w.limit.Now(appendBounds))
	defer cancel()
	began := w.Timer.Now().Boot
	_, err := w.Store.Append(bounded, w.Partitions[n], records, citron.Condition{})
	if err == nil {
		w.limit.Answered(appendBounds, w.Timer.Now().Boot-began)
	}
	return err
}
