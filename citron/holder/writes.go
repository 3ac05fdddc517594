package holder

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
)

// While the store is slow, a plan that waited for the append of the one before would be late. Then plans go on, and up to maxWrites
// appends are under way, each with the records of all plans since the one before and in a partition of its own. No order between
// them is needed, since readers compare the epoch and number of each record. The claim names these partitions before they are
// used.

const (
	// maxWrites is the number of partitions that are opened for appends beside each other.
	maxWrites = 3
	// maxQueued is the longest time for which the records of a plan may wait for an append before planning stops: a third of the
	// time for which a start order is valid.
	maxQueued = 500 * time.Millisecond
	// slowWrite is the latency of an append from which on plans do not wait for each other, some ten times the usual one.
	slowWrite = 100 * time.Millisecond
	// openRetry is the delay before another partition is opened after that has failed.
	openRetry = 500 * time.Millisecond
)

// writes are the plans whose records are not stored yet.
type writes struct {
	// queue holds the effects of plans whose records wait for an append, since queuedAt.
	queue    []pool.Effects
	queuedAt time.Duration
	// list holds the appends under way or waiting for an earlier one, in the order of the plans. Each partition has at most one under
	// way.
	list []*write
	// ended delivers each write of list once its append has ended.
	ended chan *write
	// opened delivers the result of opening a further partition, nil after a failure.
	opened  chan *partitionLog
	opening bool
	// cancelOpening ends the opening early.
	cancelOpening context.CancelFunc
	// retryAt is the boot time before which no further partition is opened.
	retryAt time.Duration
}

// newWrites returns the writes of a holder that can use a number of partitions.
func newWrites(partitions int) writes {
	return writes{ended: make(chan *write, partitions+1), opened: make(chan *partitionLog, 1)}
}

// write is one append with the records of some plans.
type write struct {
	effects []pool.Effects
	records []citron.KeyedRecord
	// log is the partition that the records are appended to; nil if the write uses all of them and fails over between them. No
	// other write is under way beside such a one.
	log *partitionLog
	// done is set once the records are stored, failed once that has failed.
	done, failed bool
	err          error
	// refused are the records that the store has refused for good.
	refused []citron.KeyedRecord
}

// slow reports whether the store is so slow that plans should not wait for each other.
func (h *Holder) slow() bool { return time.Duration(h.appendLatency.Load()) >= slowWrite }

// freeLog returns an open partition for a write beside others, nil if there is none.
func (h *Holder) freeLog() *partitionLog {
	for _, l := range h.openLogs {
		busy := slices.ContainsFunc(h.writes.list, func(w *write) bool { return w.log == l && !w.done && !w.failed })
		if !busy && !l.unanswered && l.failedAt == 0 {
			return l
		}
	}
	return nil
}

// room reports whether the records of a further plan can be sent now, and returns the partition for them; nil if the write is to use
// all of them.
func (h *Holder) room() (l *partitionLog, ok bool) {
	switch list := h.writes.list; {
	case len(list) == 0 && !h.slow():
		return nil, true
	case len(list) == 0:
		return h.freeLog(), true
	case list[0].log == nil || !h.slow():
		return nil, false
	}
	l = h.freeLog()
	return l, l != nil
}

// mayPlan reports whether a plan may be made before the records of earlier ones are stored.
func (h *Holder) mayPlan() bool {
	if len(h.writes.queue) == 0 && len(h.writes.list) == 0 {
		return true
	}
	return h.slow() && (len(h.writes.queue) == 0 || h.Timer.Now().Boot-h.writes.queuedAt < maxQueued)
}

// awaitStore waits until a further plan may be made.
func (h *Holder) awaitStore(ctx context.Context) error {
	for !h.mayPlan() {
		select {
		case w := <-h.writes.ended:
			if err := h.writeEnded(ctx, w); err != nil {
				return err
			}
		case l := <-h.writes.opened:
			h.addLog(l)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// write stores the records of a plan and continues with its effects. It waits for that unless the store is slow.
func (h *Holder) write(ctx context.Context, e pool.Effects) error {
	if len(h.writes.queue) == 0 {
		h.writes.queuedAt = h.Timer.Now().Boot
	}
	h.writes.queue = append(h.writes.queue, e)
	if err := h.sendQueue(ctx); err != nil {
		return err
	}
	return h.awaitStore(ctx)
}

// sendQueue starts an append with the queued records if there is room for it.
func (h *Holder) sendQueue(ctx context.Context) error {
	l, ok := h.room()
	if len(h.writes.queue) == 0 || !ok {
		return nil
	}
	w := &write{effects: h.writes.queue, records: newestRecords(h.writes.queue), log: l}
	h.writes.queue = nil
	h.writes.list = append(h.writes.list, w)
	switch {
	case len(w.records) == 0:
		h.finish(ctx, w)
		return nil
	case l != nil:
		h.openLog(ctx)
	default:
		if err := h.settleOpening(ctx); err != nil {
			return err
		}
	}
	h.exchanges.Go(func(context.Context) {
		if w.log != nil {
			w.err = h.storeIn(ctx, w.log, w.records)
		} else {
			w.refused, w.err = h.store(ctx, w.records)
		}
		h.writes.ended <- w
	})
	return nil
}

// newestRecords returns the last record of each key, in the order of the plans.
func newestRecords(effects []pool.Effects) (records []citron.KeyedRecord) {
	index := map[string]int{}
	for _, e := range effects {
		for _, r := range e.Records {
			if n, ok := index[r.Key]; ok {
				records[n] = r
				continue
			}
			index[r.Key] = len(records)
			records = append(records, r)
		}
	}
	return records
}

// storeIn stores records in one partition, without failing over.
func (h *Holder) storeIn(ctx context.Context, l *partitionLog, records []citron.KeyedRecord) error {
	for len(records) > 0 {
		n := prefixWithin(records, maxAppendBytes)
		_, err := h.appendOnce(ctx, l, records[:n:n])
		var sequence *citron.SequenceError
		if errors.As(err, &sequence) && !l.sequenceKnown {
			continue // The number has been corrected.
		}
		if err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// writeEnded continues after the append of a write. If it has failed, its records are stored with failover once no other write
// uses a partition.
func (h *Holder) writeEnded(ctx context.Context, w *write) error {
	if w.err == nil {
		if w.log != nil {
			h.merge = merge{}
		}
		h.finish(ctx, w)
		return h.sendQueue(ctx)
	}
	var sequence *citron.SequenceError
	if w.log == nil || ctx.Err() != nil || errors.Is(w.err, citron.ErrFenced) || errors.As(w.err, &sequence) {
		return w.err
	}
	h.reportFailure("append", w.err)
	w.failed, w.log.failedAt = true, h.Timer.Now().Boot
	for slices.ContainsFunc(h.writes.list, func(w *write) bool { return !w.done && !w.failed }) {
		select {
		case other := <-h.writes.ended:
			if err := h.writeEnded(ctx, other); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if w.done {
		return nil // Another write that failed has stored the records of this one.
	}
	if err := h.settleOpening(ctx); err != nil {
		return err
	}
	refused, err := h.store(ctx, h.failedRecords())
	if err != nil {
		return err
	}
	for _, w := range slices.Clone(h.writes.list) {
		if w.failed && !w.done {
			w.refused = refused
			h.finish(ctx, w)
		}
	}
	return h.sendQueue(ctx)
}

// failedRecords returns the records of the failed writes without those that later writes have replaced. A partition keeps the last
// record of a key, so an older one must not follow a newer one there.
func (h *Holder) failedRecords() (records []citron.KeyedRecord) {
	index := map[string]int{}
	for _, w := range h.writes.list {
		for _, r := range w.records {
			n, known := index[r.Key]
			switch {
			case known && w.done:
				records[n] = citron.KeyedRecord{}
				delete(index, r.Key)
			case known:
				records[n] = r
			case !w.done:
				index[r.Key] = len(records)
				records = append(records, r)
			}
		}
	}
	return slices.DeleteFunc(records, func(r citron.KeyedRecord) bool { return r.Key == "" })
}

// finish continues with the effects of a write whose records are stored. Ended runs are acknowledged only once all earlier records
// are stored too, since an end may be recorded by an earlier plan.
func (h *Holder) finish(ctx context.Context, w *write) {
	w.done = true
	h.setAside(w.refused)
	for _, e := range w.effects {
		h.stored(e, w.refused)
	}
	for len(h.writes.list) > 0 && h.writes.list[0].done {
		first := h.writes.list[0]
		h.writes.list = h.writes.list[1:]
		for _, e := range first.effects {
			h.committed(ctx, e, (first.log == nil || len(first.records) == 0) && len(h.writes.list) == 0 && !h.writes.opening)
		}
	}
}

// openLog opens a further partition in the background, unless there are enough.
func (h *Holder) openLog(ctx context.Context) {
	if h.writes.opening || len(h.openLogs) >= maxWrites || h.Timer.Now().Boot < h.writes.retryAt {
		return
	}
	n := slices.IndexFunc(h.ProgressTails, func(t *tail.Tail) bool {
		return !slices.ContainsFunc(slices.Concat(h.openLogs, h.closedLogs), func(l *partitionLog) bool { return l.tail == t })
	})
	if n < 0 {
		return
	}
	h.writes.opening = true
	h.maxClaimed, h.merge = h.maxClaimed+1, merge{}
	bounded, cancel := context.WithCancel(ctx)
	h.writes.cancelOpening = cancel
	h.exchanges.Go(func(context.Context) {
		l := &partitionLog{tail: h.ProgressTails[n]}
		err := h.ExtendClaim(bounded, n)
		var sequence *citron.SequenceError
		for again := err == nil; again; again = errors.As(err, &sequence) {
			_, err = h.appendOnce(bounded, l, nil)
		}
		if err != nil {
			h.reportFailure("extend", err)
			l = nil
		}
		h.writes.opened <- l
	})
}

// settleOpening ends the opening of a further partition and waits for that, since a failover may choose the same partition.
func (h *Holder) settleOpening(ctx context.Context) error {
	if !h.writes.opening {
		return nil
	}
	h.writes.cancelOpening()
	select {
	case l := <-h.writes.opened:
		h.addLog(l)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// addLog adds a partition that has been opened; nil if that has failed.
func (h *Holder) addLog(l *partitionLog) {
	h.writes.cancelOpening()
	h.writes.opening = false
	if l == nil {
		h.writes.retryAt = h.Timer.Now().Boot + openRetry
		return
	}
	h.openLogs = append(h.openLogs, l)
}
