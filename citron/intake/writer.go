package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/hedge"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/waits"
)

const (
	// writeTimeout is the time limit for all copies of one batch.
	writeTimeout = 2500 * time.Millisecond
	// retryPause is the delay after a batch was rejected everywhere before another one is tried at more than one partition.
	retryPause = 250 * time.Millisecond
	// relayFirstFor is how long relaying is tried first after it has succeeded where a direct append failed.
	relayFirstFor = time.Second
	// slowAppend is the time above which an append is slow. The store carries out the appends to one partition in turn, so
	// that those of many daemons delay one another.
	slowAppend = 150 * time.Millisecond
	// maxBatches is the maximum number of batches under way at once, batchOverlap the part of the latest latency after which
	// the next one need not wait for the one before.
	maxBatches   = 3
	batchOverlap = 2
	// crowdedAppend is the latency above which batches do not overlap: at a slow store it shows that appends to the partition wait
	// for those of other daemons, and more of them would make all wait longer.
	crowdedAppend = 600 * time.Millisecond
	// silentProbeInterval is the pause between the probes of a store that is silent: callers that are told to come back do so
	// after a second.
	silentProbeInterval = 250 * time.Millisecond
	// minBatchAge is the shortest time after which a batch need not be waited for, a few times the usual latency.
	minBatchAge = 40 * time.Millisecond
	// maxBatchRecords and maxBatchBytes limit the records of one append.
	maxBatchRecords = 200
	maxBatchBytes   = 64 << 10
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
	// NextOffset, if set, returns the offset from which a partition is to be probed, so that the answer is short.
	NextOffset func(partition int) citron.Offset
	// Home, if set, returns the partition that this daemon uses while the first one does not answer or is slow; 0 for none.
	// Each daemon has its own, since the store carries out the appends to one partition in turn.
	Home func() int
	// Relay, if set, lets another daemon append the records when this one cannot.
	Relay func(ctx context.Context, records []citron.KeyedRecord) error

	// exchanges runs the appends.
	exchanges spawn.Group
	// latency is that of the last answered append.
	latency atomic.Int64
	// preferredPartition is the partition to try first. It becomes 0 again once the store answers for partition 0 after
	// failedOverAt, the boot time of the last failure of the preferred partition; zero if there was none.
	preferredPartition atomic.Int64
	failedOverAt       atomic.Int64
	// relayFirstUntil is the boot time until which relaying is tried before a direct append.
	relayFirstUntil atomic.Int64
	// rejectedAt is the boot time at which every target last rejected a batch; zero if the store has stored one since.
	rejectedAt atomic.Int64
	// silentSince is the boot time since which the store is known to answer nothing; zero if it answers.
	silentSince atomic.Int64

	mu      sync.Mutex
	waiting []pendingWrite
	// batches are the start times of the batches under way; scheduled is set while a wait for the next one runs.
	batches   map[int]time.Duration
	lastBatch int
	scheduled bool
}

// pendingWrite is a record that waits to be appended.
type pendingWrite struct {
	record citron.KeyedRecord
	done   chan error
}

// Write stores a record. It returns ErrRejected if the record has not been and will not be stored, and ErrUnavailable if
// that is unknown.
func (w *Writer) Write(ctx context.Context, r citron.KeyedRecord) error {
	if w.silent() {
		return citron.ErrRejected // It has not been sent.
	}
	done := make(chan error, 1)
	w.mu.Lock()
	w.waiting = append(w.waiting, pendingWrite{r, done})
	w.startBatchesLocked()
	w.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return w.abandon(done)
	}
}

// abandon removes a record that is no longer waited for. One that has not been sent yet has no effect.
func (w *Writer) abandon(done chan error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := slices.IndexFunc(w.waiting, func(p pendingWrite) bool { return p.done == done }); n >= 0 {
		w.waiting = slices.Delete(w.waiting, n, n+1)
		return citron.ErrRejected
	}
	return citron.ErrUnavailable
}

// startBatchesLocked appends the waiting records unless the batches under way are to be waited for. Records that arrive together
// share an append, but do not wait behind one that takes long. It requires mu.
func (w *Writer) startBatchesLocked() {
	for len(w.waiting) > 0 {
		if wait := w.batchWaitLocked(); wait > 0 {
			w.scheduleLocked(wait)
			return
		}
		n := batchSize(w.waiting)
		batch := w.waiting[:n:n]
		w.waiting = w.waiting[n:]
		if w.batches == nil {
			w.batches = map[int]time.Duration{}
		}
		w.lastBatch++
		number := w.lastBatch
		w.batches[number] = w.Timer.Now().Boot
		w.exchanges.Go(func(context.Context) { w.appendBatch(number, batch) })
	}
}

// batchWaitLocked returns how long the next batch must wait if none under way ends before; 0 if it need not. It requires mu.
func (w *Writer) batchWaitLocked() time.Duration {
	switch {
	case len(w.batches) == 0:
		return 0
	case len(w.batches) >= maxBatches || time.Duration(w.latency.Load()) > crowdedAppend:
		return writeTimeout
	}
	newest := time.Duration(0)
	for _, began := range w.batches {
		newest = max(newest, began)
	}
	overlap := max(time.Duration(w.latency.Load())/batchOverlap, minBatchAge)
	return max(newest+overlap-w.Timer.Now().Boot, 0)
}

// scheduleLocked starts the waiting records after a time. It requires mu.
func (w *Writer) scheduleLocked(wait time.Duration) {
	if w.scheduled || wait >= writeTimeout {
		return // The end of a batch starts them.
	}
	w.scheduled = true
	w.exchanges.Go(func(ctx context.Context) {
		timer.Pause(ctx, w.Timer, wait)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.scheduled = false
		w.startBatchesLocked()
	})
}

// appendBatch appends one batch, sends each Write its outcome and starts what waits.
func (w *Writer) appendBatch(number int, batch []pendingWrite) {
	records := make([]citron.KeyedRecord, 0, len(batch))
	for _, e := range batch {
		records = append(records, e.record)
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := w.race(ctx, records, w.targets(true))
	for _, e := range batch {
		e.done <- err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.batches, number)
	w.startBatchesLocked()
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

// AppendDirect appends from this daemon without a relay. It returns as Write does.
func (w *Writer) AppendDirect(ctx context.Context, records []citron.KeyedRecord) error {
	if w.silent() {
		return citron.ErrRejected
	}
	return w.race(ctx, records, w.targets(false))
}

// targets returns where the next append may go, in order of preference. A store that has just rejected a batch everywhere is
// tried at one partition only.
func (w *Writer) targets(mayRelay bool) (list []hedge.Target) {
	now := w.Timer.Now().Boot
	if since := time.Duration(w.failedOverAt.Load()); since > 0 && w.AnsweredSince != nil && w.AnsweredSince(0, since) && !w.slow() {
		w.preferredPartition.Store(0)
		w.failedOverAt.Store(0)
	}
	preferred := int(w.preferredPartition.Load())
	list = append(list, hedge.Target(preferred))
	if at := time.Duration(w.rejectedAt.Load()); at > 0 && now-at < retryPause {
		return list
	}
	for n := range w.Partitions {
		if other := (w.home() + n) % len(w.Partitions); other != preferred {
			list = append(list, hedge.Target(other))
		}
	}
	switch {
	case !mayRelay || w.Relay == nil:
	case now < time.Duration(w.relayFirstUntil.Load()):
		list = slices.Insert(list, 0, hedge.Relay)
	default:
		list = append(list, hedge.Relay)
	}
	return list
}

// slow reports whether the last answered append was slow.
func (w *Writer) slow() bool { return time.Duration(w.latency.Load()) > slowAppend }

// home returns the partition to use while the first one fails or is slow, or 0.
func (w *Writer) home() int {
	if w.Home == nil {
		return 0
	}
	return w.Home()
}

// news is the answer to one copy or probe.
type news struct {
	target hedge.Target
	probe  bool
	took   time.Duration
	err    error
}

// race sends copies of the records as hedge.Race decides until one is stored or all are rejected. Copies that are not needed any
// more are left to end: storing the same records several times is harmless.
func (w *Writer) race(ctx context.Context, records []citron.KeyedRecord, targets []hedge.Target) error {
	r := hedge.Race{Targets: targets, Patience: hedge.Patience(time.Duration(w.latency.Load())) + waits.Transfer(citron.SizeOf(records))}
	answers := make(chan news)
	ended := make(chan struct{})
	defer close(ended)
	report := func(n news) {
		select {
		case answers <- n:
		case <-ended:
		}
	}
	for {
		m := r.Next(w.Timer.Now().Boot)
		if m.Rejected {
			w.rejectedAt.Store(int64(w.Timer.Now().Boot))
			return citron.ErrRejected
		}
		if r.Unreachable(w.Timer.Now().Boot) {
			w.markSilent()
		}
		for _, t := range m.Send {
			w.exchanges.Go(func(context.Context) { report(w.sendCopy(ctx, t, records)) })
		}
		for _, t := range m.Probe {
			w.exchanges.Go(func(context.Context) { report(w.probe(ctx, t)) })
		}
		due, stop := w.Timer.After(m.Wait)
		select {
		case n := <-answers:
			if w.applyNews(&r, n) {
				stop()
				return nil
			}
		case <-due:
		case <-ctx.Done():
			stop()
			return citron.ErrUnavailable
		}
		stop()
	}
}

// silent reports whether the store is known to answer nothing. What is not sent to it then can be refused for certain, so that
// callers come back in time; what is sent would stay in doubt.
func (w *Writer) silent() bool {
	since := time.Duration(w.silentSince.Load())
	if since == 0 {
		return false
	}
	for n := range w.Partitions {
		if w.AnsweredSince != nil && w.AnsweredSince(n, since) {
			w.silentSince.Store(0)
			return false
		}
	}
	return true
}

// markSilent rejects the records that have not been sent and probes the store until it answers.
func (w *Writer) markSilent() {
	if !w.silentSince.CompareAndSwap(0, int64(w.Timer.Now().Boot)) {
		return
	}
	w.mu.Lock()
	for _, e := range w.waiting {
		e.done <- citron.ErrRejected
	}
	w.waiting = nil
	w.mu.Unlock()
	w.exchanges.Go(func(ctx context.Context) {
		for n := 0; w.silent() && ctx.Err() == nil; n++ {
			w.exchanges.Go(func(ctx context.Context) {
				bounded, cancel := context.WithTimeout(ctx, writeTimeout)
				defer cancel()
				if w.probe(bounded, hedge.Target(n%len(w.Partitions))).err == nil {
					w.silentSince.Store(0)
				}
			})
			timer.Pause(ctx, w.Timer, silentProbeInterval)
		}
	})
}

// applyNews applies an answer and reports whether the records are stored.
func (w *Writer) applyNews(r *hedge.Race, n news) (stored bool) {
	now := w.Timer.Now().Boot
	switch {
	case n.probe:
		if n.err == nil {
			w.silentSince.Store(0)
			r.Probed(n.target, n.took)
		}
		return false
	case n.err != nil:
		r.Failed(now, n.target, errors.Is(n.err, citron.ErrRejected))
		return false
	}
	w.rejectedAt.Store(0)
	w.silentSince.Store(0)
	switch {
	case n.target == hedge.Relay && r.Targets[0] == hedge.Relay:
	case n.target == hedge.Relay:
		w.relayFirstUntil.Store(int64(now + relayFirstFor))
	case int(n.target) != int(w.preferredPartition.Load()):
		w.failOver(int(n.target))
	}
	if n.target != hedge.Relay {
		w.relayFirstUntil.Store(0)
	}
	return true
}

// failOver makes another partition the preferred one.
func (w *Writer) failOver(partition int) {
	w.failedOverAt.Store(int64(w.Timer.Now().Boot))
	w.preferredPartition.Store(int64(partition))
}

// sendCopy appends the records at one target.
func (w *Writer) sendCopy(ctx context.Context, t hedge.Target, records []citron.KeyedRecord) news {
	// The append outlives the race that it is a copy in, but not the time for which the caller waits.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	began := w.Timer.Now().Boot
	var err error
	if t == hedge.Relay {
		err = w.Relay(bounded, records)
		return news{target: t, err: err}
	}
	_, err = w.Store.Append(bounded, w.Partitions[t], records, citron.Condition{})
	if err == nil {
		took := w.Timer.Now().Boot - began - waits.Transfer(citron.SizeOf(records))
		w.latency.Store(int64(max(took, 0)))
		if home := w.home(); t == 0 && home > 0 && took > slowAppend {
			w.failOver(home)
		}
	}
	return news{target: t, err: err}
}

// probe reads from a partition to learn whether the store answers for it.
func (w *Writer) probe(ctx context.Context, t hedge.Target) news {
	began := w.Timer.Now().Boot
	from := citron.Offset(0)
	if w.NextOffset != nil {
		from = w.NextOffset(int(t))
	}
	_, err := w.Store.Read(ctx, w.Partitions[t], from, 0)
	if errors.Is(err, citron.ErrRecordsDeleted) {
		err = nil
	}
	return news{target: t, probe: true, took: w.Timer.Now().Boot - began, err: err}
}
