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
	// giveUpAfter bounds all tries of one batch.
	giveUpAfter = 2500 * time.Millisecond
	// retryPause separates the tries.
	retryPause = 50 * time.Millisecond
	// relayFor is how long another daemon is asked first once it could do what this one could not.
	relayFor = time.Second
	// most is the number of records in one append; a record has at most a few kilobytes.
	most = 200
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

	exchanges spawn.Group
	limit     waits.Limit
	// prefer is the partition to try first. It is the first one again once that answers after leftAt.
	prefer atomic.Int64
	leftAt atomic.Int64
	// relayUntil is until when other daemons are asked first.
	relayUntil atomic.Int64

	mu      sync.Mutex
	waiting []entry
	busy    bool
}

type entry struct {
	record citron.KeyedRecord
	done   chan error
}

// Write returns nil once the record is stored, ErrNotDone if it is not and never will be, and ErrUnavailable if that is
// not known.
func (w *Writer) Write(ctx context.Context, r citron.KeyedRecord) error {
	done := make(chan error, 1)
	w.mu.Lock()
	w.waiting = append(w.waiting, entry{r, done})
	start := !w.busy
	w.busy = true
	w.mu.Unlock()
	if start {
		w.exchanges.Go(func(context.Context) { w.drain() })
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return citron.ErrUnavailable
	}
}

// drain appends until nothing waits. Each Write learns the outcome through its channel.
func (w *Writer) drain() {
	for {
		w.mu.Lock()
		n := min(len(w.waiting), most)
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
		err := w.store(records)
		for _, e := range batch {
			e.done <- err
		}
	}
}

// store tries until the outcome is known or the time is up.
func (w *Writer) store(records []citron.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), giveUpAfter)
	defer cancel()
	unknown := false
	for ctx.Err() == nil {
		err := w.try(ctx, records)
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

// try uses the way that worked last, then the other one. ErrNotDone means that both refused.
func (w *Writer) try(ctx context.Context, records []citron.KeyedRecord) error {
	ways := []func(context.Context, []citron.KeyedRecord) error{w.AppendDirect}
	if w.Relay != nil {
		ways = append(ways, w.Relay)
		if w.Timer.Now().Boot < time.Duration(w.relayUntil.Load()) {
			ways[0], ways[1] = ways[1], ways[0]
		}
	}
	result := citron.ErrRejected
	for n, way := range ways {
		err := way(ctx, records)
		if err == nil {
			if w.Relay != nil && n == 1 {
				w.turn()
			}
			return nil
		}
		if !errors.Is(err, citron.ErrRejected) {
			result = citron.ErrUnavailable
		}
	}
	return result
}

// turn makes the other way the first one for a time.
func (w *Writer) turn() {
	now := w.Timer.Now().Boot
	if now < time.Duration(w.relayUntil.Load()) {
		w.relayUntil.Store(0)
		return
	}
	w.relayUntil.Store(int64(now + relayFor))
}

// AppendDirect appends from this daemon: to the preferred partition, then to all others at once. Where the same records land
// in several partitions nothing changes.
func (w *Writer) AppendDirect(ctx context.Context, records []citron.KeyedRecord) error {
	if since := time.Duration(w.leftAt.Load()); since > 0 && w.AnsweredSince != nil && w.AnsweredSince(0, since) {
		w.prefer.Store(0)
		w.leftAt.Store(0)
	}
	preferred := int(w.prefer.Load())
	first := w.one(ctx, preferred, records)
	if first == nil {
		return nil
	}
	w.leftAt.Store(int64(w.Timer.Now().Boot))
	outcomes := make(chan error, len(w.Partitions))
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	others := 0
	for n := range w.Partitions {
		if n == preferred {
			continue
		}
		others++
		w.exchanges.Go(func(context.Context) {
			err := w.one(bounded, n, records)
			if err == nil {
				w.prefer.Store(int64(n))
			}
			outcomes <- err
		})
	}
	return w.collect(first, others, outcomes)
}

// collect returns nil for the first success, ErrNotDone where every try was refused.
func (w *Writer) collect(first error, others int, outcomes <-chan error) error {
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

// one appends to one partition.
func (w *Writer) one(ctx context.Context, n int, records []citron.KeyedRecord) error {
	bounded, cancel := context.WithTimeout(ctx, w.limit.Now(appendBounds))
	defer cancel()
	began := w.Timer.Now().Boot
	_, err := w.Store.Append(bounded, w.Partitions[n], records, citron.Condition{})
	if err == nil {
		w.limit.Answered(appendBounds, w.Timer.Now().Boot-began)
	}
	return err
}
