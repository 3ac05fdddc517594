package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/waits"
)

// appendBounds bound the timeout of one append. The store usually answers in about 10 ms, but may take half a second
// when it is slow.
var appendBounds = waits.Bounds{Min: 400 * time.Millisecond, Max: 1200 * time.Millisecond}

const (
	// writeTimeout is the time limit for all tries of one batch.
	writeTimeout = 2500 * time.Millisecond
	// retryPause is the delay between the tries of one batch.
	retryPause = 50 * time.Millisecond
	// relayFirstFor is how long relaying is tried first after it has succeeded where a direct append failed.
	relayFirstFor = time.Second
	// slowAppend is the time above which an append is slow. The store carries out the appends to one partition in turn, so
	// that those of many daemons delay one another.
	slowAppend = 150 * time.Millisecond
	// homeTimeout is the timeout of an append to the home partition.
	homeTimeout = 1400 * time.Millisecond
	// maxBatchRecords and maxBatchBytes limit the records of one append.
	maxBatchRecords = 200
	maxBatchBytes   = 64 << 10
	// maxRaceBytes is the maximum size of records that are sent to all partitions at once after a failure. Larger ones are
	// sent only to one that answers, since copies of them could fill the link and so cause further failures.
	maxRaceBytes = 16 << 10
)

// Writer appends records and batches those that wait at the same time. Records are keyed, so repeated appends change
// nothing, and an append whose answer was lost is sent again.
type Writer struct {
	Store citron.Store
	// Partitions are those that a record may be appended to; it may end up in several of them.
	Partitions []citron.Partition
	Timer      citron.Timer
	// AnsweredSince, if set, reports whether the store has answered for a partition after a boot time.
	AnsweredSince func(partition int, since time.Duration) bool
	// Home, if set, returns the partition that this daemon uses while the first one does not answer or is slow; 0 for none.
	// Each of many daemons has its own, since a slow store is slow for each partition and would be slower still if all
	// daemons used the same ones.
	Home func() int
	// Relay, if set, lets another daemon append the records when this one cannot.
	Relay func(ctx context.Context, records []citron.KeyedRecord) error

	// exchanges runs the appends.
	exchanges spawn.Group
	// appendTimeout adapts the timeout of one append to the store's answers.
	appendTimeout waits.Timeout
	// preferredPartition is the partition to try first. It becomes 0 again once the store answers for partition 0 after
	// failedOverAt, the boot time of the last failure of the preferred partition; zero if there was none.
	preferredPartition atomic.Int64
	failedOverAt       atomic.Int64
	// slow is set while appends take longer than slowAppend.
	slow atomic.Bool
	// relayFirstUntil is the boot time until which relaying is tried before a direct append.
	relayFirstUntil atomic.Int64

	mu      sync.Mutex
	waiting []pendingWrite
	// busy is set while appendWaiting runs.
	busy bool
}

// pendingWrite is a record that waits to be appended.
type pendingWrite struct {
	record citron.KeyedRecord
	done   chan error
}

// Write stores a record. It returns ErrRejected if the record has not been and will not be stored, and ErrUnavailable if
// that is unknown.
func (w *Writer) Write(ctx context.Context, r citron.KeyedRecord) error {
	done := make(chan error, 1)
	w.mu.Lock()
	w.waiting = append(w.waiting, pendingWrite{r, done})
	start := !w.busy
	w.busy = true
	w.mu.Unlock()
	if start {
		w.exchanges.Go(func(context.Context) { w.appendWaiting() })
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return citron.ErrUnavailable
	}
}

// appendWaiting appends waiting records in batches until none is left, and sends each Write its outcome.
func (w *Writer) appendWaiting() {
	for {
		w.mu.Lock()
		n := batchSize(w.waiting)
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

// batchSize returns the number of records, from the first one on, that one append may contain.
func batchSize(waiting []pendingWrite) (n int) {
	bytes := 0
	for n < min(len(waiting), maxBatchRecords) {
		if bytes += waiting[n].record.Size(); bytes > maxBatchBytes && n > 0 {
			break
		}
		n++
	}
	return n
}

// appendWithRetry tries to append until the outcome is known or writeTimeout has passed.
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

// tryRoutes appends directly and through another daemon, beginning with the route that worked last. ErrRejected means
// that both routes rejected the records.
func (w *Writer) tryRoutes(ctx context.Context, records []citron.KeyedRecord) error {
	routes := []func(context.Context, []citron.KeyedRecord) error{w.AppendDirect}
	if w.Relay != nil && !w.storeAnswers() {
		routes = append(routes, w.Relay)
		if w.Timer.Now().Boot < time.Duration(w.relayFirstUntil.Load()) {
			routes[0], routes[1] = routes[1], routes[0]
		}
	}
	result := citron.ErrRejected
	for n, route := range routes {
		err := route(ctx, records)
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

// unreachableAfter is the time without an answer of the store after which this daemon relays records.
const unreachableAfter = time.Second

// storeAnswers reports whether the store answers the reads of this daemon. It may still be too slow for an append, but then
// another daemon can do no better.
func (w *Writer) storeAnswers() bool {
	if w.AnsweredSince == nil || w.home() == 0 {
		return false
	}
	since := w.Timer.Now().Boot - unreachableAfter
	for n := range w.Partitions {
		if w.AnsweredSince(n, since) {
			return true
		}
	}
	return false
}

// switchRoute puts the route that has just worked as the second one first: relaying for relayFirstFor, or the direct
// append if relaying is first at present.
func (w *Writer) switchRoute() {
	now := w.Timer.Now().Boot
	if now < time.Duration(w.relayFirstUntil.Load()) {
		w.relayFirstUntil.Store(0)
		return
	}
	w.relayFirstUntil.Store(int64(now + relayFirstFor))
}

// AppendDirect appends from this daemon: to the preferred partition, then to all others at once. Storing the same
// records in several partitions is harmless.
func (w *Writer) AppendDirect(ctx context.Context, records []citron.KeyedRecord) error {
	if since := time.Duration(w.failedOverAt.Load()); since > 0 && w.AnsweredSince != nil && w.AnsweredSince(0, since) && !w.slow.Load() {
		w.preferredPartition.Store(0)
		w.failedOverAt.Store(0)
	}
	preferred := int(w.preferredPartition.Load())
	first := w.appendTo(ctx, preferred, records)
	if first == nil {
		return nil
	}
	w.failedOverAt.Store(int64(w.Timer.Now().Boot))
	if home := w.home(); home > 0 {
		return w.appendToHome(ctx, home, preferred, first, records)
	}
	if citron.SizeOf(records) > maxRaceBytes {
		return w.appendToAnswering(ctx, []int{preferred}, first, records)
	}
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
			err := w.appendTo(bounded, n, records)
			if err == nil {
				w.preferredPartition.Store(int64(n))
			}
			outcomes <- err
		})
	}
	return w.awaitAny(first, others, outcomes)
}

// appendToHome appends to the home partition after the preferred one has failed with the error first. If the store is slow,
// a copy in yet another partition would only delay the appends of other daemons, so the home partition gets more time.
func (w *Writer) appendToHome(ctx context.Context, home, preferred int, first error, records []citron.KeyedRecord) error {
	failed := []int{preferred}
	if home != preferred {
		failed = append(failed, home)
		w.preferredPartition.Store(int64(home))
		err := w.appendTo(ctx, home, records)
		if err == nil {
			return nil
		}
		if !errors.Is(err, citron.ErrRejected) {
			first = citron.ErrUnavailable
		}
	}
	return w.appendToAnswering(ctx, failed, first, records)
}

// home returns the partition to use while the first one fails, or 0.
func (w *Writer) home() int {
	if w.Home == nil {
		return 0
	}
	return w.Home()
}

// appendToAnswering appends to the first partition but the failed ones that answers a read. First is the error of those.
func (w *Writer) appendToAnswering(ctx context.Context, failed []int, first error, records []citron.KeyedRecord) error {
	bounded, cancel := context.WithTimeout(ctx, w.appendTimeout.Current(appendBounds))
	defer cancel()
	answering := make(chan int, len(w.Partitions))
	asked := 0
	for n, p := range w.Partitions {
		if slices.Contains(failed, n) {
			continue
		}
		asked++
		w.exchanges.Go(func(context.Context) {
			if _, err := w.Store.Read(bounded, p, 0, 0); err != nil && !errors.Is(err, citron.ErrRecordsDeleted) {
				n = -1
			}
			answering <- n
		})
	}
	for range asked {
		n := <-answering
		if n < 0 {
			continue
		}
		err := w.appendTo(ctx, n, records)
		if err == nil {
			w.preferredPartition.Store(int64(n))
			return nil
		}
		if !errors.Is(err, citron.ErrRejected) {
			first = citron.ErrUnavailable
		}
	}
	if !errors.Is(first, citron.ErrRejected) {
		w.appendTimeout.TimedOut(appendBounds)
	}
	return first
}

// awaitAny returns nil at the first success and ErrRejected if every append, including the first one, was rejected.
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
		// No partition stored the records in time, so the store is slow or unavailable.
		w.appendTimeout.TimedOut(appendBounds)
	}
	return result
}

// appendTo appends to partition n without a retry.
func (w *Writer) appendTo(ctx context.Context, n int, records []citron.KeyedRecord) error {
	transfer := waits.Transfer(citron.SizeOf(records))
	timeout := w.appendTimeout.Current(appendBounds)
	if n > 0 && n == w.home() {
		timeout = homeTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout+transfer)
	defer cancel()
	began := w.Timer.Now().Boot
	_, err := w.Store.Append(bounded, w.Partitions[n], records, citron.Condition{})
	if err == nil {
		took := w.Timer.Now().Boot - began - transfer
		w.appendTimeout.Answered(appendBounds, took)
		w.recordPace(n, took)
	}
	return err
}

// recordPace moves this daemon to its home partition while the store is slow, and back once it no longer is.
func (w *Writer) recordPace(partition int, took time.Duration) {
	w.slow.Store(took > slowAppend)
	if home := w.home(); partition == 0 && home > 0 && took > slowAppend {
		w.failedOverAt.Store(int64(w.Timer.Now().Boot))
		w.preferredPartition.Store(int64(home))
	}
}
