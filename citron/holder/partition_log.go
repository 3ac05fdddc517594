package holder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/hedge"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/waits"
)

// appendTimeout is the time limit of one append, several times what a store that is 80 times slower than usual takes.
const appendTimeout = 1600 * time.Millisecond

// probeBounds limit the timeout of the reads that look for a partition that answers.
var probeBounds = waits.Bounds{Min: 400 * time.Millisecond, Max: appendTimeout}

// appendRetry is the delay before the next try after every partition has failed.
const appendRetry = 30 * time.Millisecond

// partitionLog is the append state of one partition of the pool's records. While one partition does not answer, another
// one is used.
type partitionLog struct {
	tail *tail.Tail
	// sequence is the number of the next append.
	sequence int64
	// sequenceKnown is set once records have been stored in this epoch. Until then the store may correct the sequence.
	sequenceKnown bool
	// unanswered is set while the outcome of the last append, of pending, is unknown. The append must be repeated before
	// the next sequence number is used, even without records, since an empty append uses up a number too.
	unanswered bool
	pending    []citron.KeyedRecord
	// failedAt is the boot time of the last failed append; zero once the store has answered for the partition since.
	failedAt time.Duration
}

// fence makes the store reject appends of every former holder and waits until all their records have been applied here.
func (h *Holder) fence(ctx context.Context) (err error) {
	fenced := make(chan error, len(h.ClaimedPartitions))
	for _, n := range h.ClaimedPartitions {
		l := &partitionLog{tail: h.ProgressTails[n]}
		h.openLogs = append(h.openLogs, l)
		h.exchanges.Go(func(context.Context) { fenced <- h.fencePartition(ctx, l) })
	}
	for range h.ClaimedPartitions {
		if failed := <-fenced; failed != nil {
			err = failed
		}
	}
	return err
}

// fencePartition fences one partition with an empty append and waits until its records have been applied here. It
// retries until that succeeds or this holder is itself fenced.
func (h *Holder) fencePartition(ctx context.Context, l *partitionLog) error {
	for {
		end, err := h.appendOnce(ctx, l, nil)
		if err == nil {
			err = l.tail.WaitFor(ctx, end)
		}
		if err == nil || errors.Is(err, citron.ErrFenced) || ctx.Err() != nil {
			return err
		}
		h.reportFailure("fence", err)
		h.storeTimeout.TimedOut(probeBounds)
		timer.Pause(ctx, h.Timer, appendRetry)
	}
}

// maxAppendBytes is the maximum size of the records of one append. Larger appends are split, so that what has to be sent
// again after a failure stays small.
const maxAppendBytes = 64 << 10

// store stores the records of a plan, in several appends if they are many. The records of a plan are independent of each
// other. It returns those that the store refuses for good.
func (h *Holder) store(ctx context.Context, records []citron.KeyedRecord) (refused []citron.KeyedRecord, err error) {
	for len(records) > 0 {
		n := prefixWithin(records, maxAppendBytes)
		found, err := h.storeBatch(ctx, records[:n:n])
		if err != nil {
			return refused, err
		}
		refused, records = append(refused, found...), records[n:]
	}
	return refused, nil
}

// storeBatch stores records in one append unless some are refused for good, which it returns. A record is at fault only if it is refused
// again after the store has accepted another append; otherwise the store is.
func (h *Holder) storeBatch(ctx context.Context, records []citron.KeyedRecord) (refused []citron.KeyedRecord, err error) {
	for accepts := false; ; {
		err := h.append(ctx, records)
		switch {
		case !errors.Is(err, citron.ErrUnstorable):
			return nil, err
		case len(records) > 1:
			return h.storeHalves(ctx, records)
		case accepts:
			h.reportFailure("append", fmt.Errorf("record %s of %d bytes: %w", records[0].Key, records[0].Size(), err))
			return records, nil
		}
		switch err := h.append(ctx, nil); {
		case err == nil:
			accepts = true
		case errors.Is(err, citron.ErrUnstorable):
			h.reportFailure("append", err)
			timer.Pause(ctx, h.Timer, appendRetry)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		default:
			return nil, err
		}
	}
}

// storeHalves stores each half of the records with storeBatch.
func (h *Holder) storeHalves(ctx context.Context, records []citron.KeyedRecord) (refused []citron.KeyedRecord, err error) {
	half := len(records) / 2
	for _, some := range [][]citron.KeyedRecord{records[:half:half], records[half:]} {
		found, err := h.storeBatch(ctx, some)
		if refused = append(refused, found...); err != nil {
			return refused, err
		}
	}
	return refused, nil
}

// prefixWithin returns the number of records, from the first one on, that together have at most a number of bytes; at least
// one.
func prefixWithin(records []citron.KeyedRecord, most int) (n int) {
	bytes := 0
	for n < len(records) && (n == 0 || bytes+records[n].Size() <= most) {
		bytes += records[n].Size()
		n++
	}
	return n
}

// append stores records in an open partition, and fails over to another partition while the store does not answer.
func (h *Holder) append(ctx context.Context, records []citron.KeyedRecord) error {
	began := h.Timer.Now().Boot
	l := h.preferred()
	for {
		stored, err := h.repeatPending(ctx, l, records)
		if err == nil && !stored {
			_, err = h.appendOnce(ctx, l, records)
		}
		if err == nil {
			h.unavailableSince.Store(0)
			h.merge.recordAppend(h.Timer.Now().Boot, l)
			return nil
		}
		var sequence *citron.SequenceError
		if errors.Is(err, citron.ErrFenced) || errors.Is(err, citron.ErrUnstorable) || ctx.Err() != nil || errors.As(err, &sequence) && l.sequenceKnown {
			return err
		}
		h.reportFailure("append", err)
		h.unavailableSince.CompareAndSwap(0, int64(began))
		l.failedAt = h.Timer.Now().Boot
		if l, err = h.nextPartition(ctx); err != nil {
			h.reportFailure("extend", err)
			h.storeTimeout.TimedOut(probeBounds)
			timer.Pause(ctx, h.Timer, appendRetry)
			l = h.preferred()
		}
	}
}

// preferred returns an open partition without a failure, or else the one whose failure is the oldest.
func (h *Holder) preferred() *partitionLog {
	for _, l := range h.openLogs {
		if l.failedAt > 0 && l.tail.AnsweredSince(l.failedAt) {
			l.failedAt = 0
		}
	}
	slices.SortStableFunc(h.openLogs, func(a, b *partitionLog) int { return cmp.Compare(a.failedAt, b.failedAt) })
	return h.openLogs[0]
}

// nextPartition returns a partition for which the store answers: an open one if possible, else another one. The claim is
// extended by that one before it is used, so that a later holder reads it.
func (h *Holder) nextPartition(ctx context.Context) (*partitionLog, error) {
	n, err := h.findAnswering(ctx)
	if err != nil {
		return nil, err
	}
	if i := h.indexOf(h.openLogs, n); i >= 0 {
		return h.openLogs[i], nil
	}
	h.maxClaimed, h.merge = h.maxClaimed+1, merge{}
	if err := h.ExtendClaim(ctx, n); err != nil {
		return nil, err
	}
	if i := h.indexOf(h.closedLogs, n); i >= 0 {
		// The closed partition keeps its sequence number and its unanswered append.
		l := h.closedLogs[i]
		h.closedLogs = slices.Delete(h.closedLogs, i, i+1)
		h.openLogs = append(h.openLogs, l)
		return l, nil
	}
	l := &partitionLog{tail: h.ProgressTails[n]}
	h.openLogs = append(h.openLogs, l)
	_, err = h.appendOnce(ctx, l, nil)
	return l, err
}

// indexOf returns the index of partition n in list, or -1.
func (h *Holder) indexOf(list []*partitionLog, n int) int {
	return slices.IndexFunc(list, func(l *partitionLog) bool { return l.tail == h.ProgressTails[n] })
}

// findAnswering reads the end of every partition and returns the first open one that answers. It returns another one
// only once every open one has failed.
func (h *Holder) findAnswering(ctx context.Context) (partition int, err error) {
	bounded, cancel := context.WithTimeout(ctx, h.storeTimeout.Current(probeBounds))
	defer cancel()
	type answer struct {
		n    int
		open bool
		err  error
	}
	answers := make(chan answer, len(h.ProgressTails))
	openLeft := 0
	for n, t := range h.ProgressTails {
		a := answer{n: n, open: h.indexOf(h.openLogs, n) >= 0}
		if a.open {
			openLeft++
		}
		h.exchanges.Go(func(context.Context) {
			next, _ := t.Next()
			_, a.err = h.Store.Read(bounded, t.Partition, next, 0)
			answers <- a
		})
	}
	other := -1
	for range h.ProgressTails {
		a := <-answers
		switch {
		case a.open && a.err == nil:
			return a.n, nil
		case a.open:
			openLeft--
		case a.err == nil && other < 0:
			other = a.n
		}
		if openLeft == 0 && other >= 0 {
			return other, nil
		}
	}
	return 0, errNoPartitionAnswers
}

var errNoPartitionAnswers = errors.New("the store answers for none of the progress partitions")

// repeatPending repeats an unanswered append, which the store ignores if it has already stored it, and reports whether that has
// stored the given records. The pending records may be older than those in other partitions by now; readers compare the epoch
// and number of each record.
func (h *Holder) repeatPending(ctx context.Context, l *partitionLog, records []citron.KeyedRecord) (stored bool, err error) {
	if !l.unanswered {
		return false, nil
	}
	pending := l.pending
	_, err = h.appendOnce(ctx, l, pending)
	same := slices.EqualFunc(pending, records, func(a, b citron.KeyedRecord) bool {
		return a.Key == b.Key && bytes.Equal(a.Value, b.Value)
	})
	if errors.Is(err, citron.ErrUnstorable) && !same {
		return false, nil // It is not pending any more. Its records have been stored, or refused, elsewhere.
	}
	return err == nil && same, err
}

// appendOnce appends to one partition without a retry. A store that is slow is waited for; a partition that is silent while others
// answer is not.
func (h *Holder) appendOnce(ctx context.Context, l *partitionLog, records []citron.KeyedRecord) (end citron.Offset, err error) {
	c := citron.Condition{Producer: h.Producer, Epoch: h.Pool.Epoch, Sequence: l.sequence}
	began := h.Timer.Now().Boot
	end, err = h.appendCopies(ctx, l, records, c)
	if err == nil {
		h.unavailableSince.Store(0)
		h.appendLatency.Store(int64(max(h.Timer.Now().Boot-began-waits.Transfer(citron.SizeOf(records)), 0)))
		if !l.unanswered {
			// An answer to a repeat shows nothing about the present: the store gives its first answer again, even if another
			// daemon has claimed the pool since.
			h.Pool.ConfirmHeld(began)
		}
	}
	var sequence *citron.SequenceError
	switch {
	case err == nil:
		l.sequence++
		l.sequenceKnown = l.sequenceKnown || len(records) > 0
		l.unanswered, l.pending = false, nil
	case errors.As(err, &sequence) && !l.sequenceKnown:
		l.sequence = sequence.Expected
	case errors.Is(err, citron.ErrUnstorable):
		l.unanswered, l.pending = false, nil // All copies are the same.
	case errors.Is(err, citron.ErrUnavailable):
		l.unanswered, l.pending = true, records
	}
	return end, err
}

// appendResult is the answer to one copy of an append.
type appendResult struct {
	end citron.Offset
	err error
}

// maxAppendCopies is an upper bound on the copies of one append, of which each waits twice as long as the one before.
const maxAppendCopies = 8

// appendCopies sends an append and, if it is not answered for long, again on other connections. The store gives all of them the same
// answer. It returns citron.ErrUnavailable if the partition is silent.
func (h *Holder) appendCopies(ctx context.Context, l *partitionLog, records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
	transfer := waits.Transfer(citron.SizeOf(records))
	bounded, cancel := context.WithTimeout(ctx, appendTimeout+transfer)
	defer cancel()
	began := h.Timer.Now().Boot
	results := make(chan appendResult, maxAppendCopies)
	send := func() {
		h.exchanges.Go(func(context.Context) {
			end, err := h.Store.Append(bounded, l.tail.Partition, records, c)
			results <- appendResult{end, err}
		})
	}
	send()
	patience := hedge.Patience(time.Duration(h.appendLatency.Load())) + transfer
	due, stop := h.Timer.After(patience)
	defer func() { stop() }()
	probed := make(chan probeResult, maxAppendCopies)
	var unanswered error
	for pending := 1; ; {
		select {
		case r := <-results:
			pending--
			rejected := errors.Is(r.err, citron.ErrRejected)
			if errors.Is(r.err, citron.ErrUnavailable) {
				unanswered = r.err
			}
			switch {
			case !rejected && !errors.Is(r.err, citron.ErrUnavailable):
				return r.end, r.err
			case pending == 0 && unanswered != nil:
				return 0, unanswered // The copy without an answer may be stored, whatever became of the other one.
			case pending == 0:
				return 0, r.err
			}
		case <-due:
			stop()
			patience *= 2
			due, stop = h.Timer.After(patience)
			pending++
			send()
			h.exchanges.Go(func(context.Context) { probed <- h.probe(bounded, l) })
		case p := <-probed:
			switch {
			case p.others && !p.own:
				return 0, errPartitionSilent
			case !p.own:
				// Other daemons may reach the store. If it answers probes, it is answers that are lost.
				h.unavailableSince.CompareAndSwap(0, int64(began))
			}
		}
	}
}

// errPartitionSilent is the error of an append to a partition for which the store does not answer although it answers for others.
var errPartitionSilent = fmt.Errorf("%w: the store answers for other partitions only", citron.ErrUnavailable)

// probeResult tells whether a partition, and whether others, have answered a probe quickly.
type probeResult struct{ own, others bool }

// probe probes all partitions with reads.
func (h *Holder) probe(ctx context.Context, l *partitionLog) (r probeResult) {
	bounded, cancel := context.WithTimeout(ctx, hedge.QuickProbe)
	defer cancel()
	type answer struct {
		own bool
		err error
	}
	answers := make(chan answer, len(h.ProgressTails))
	for _, t := range h.ProgressTails {
		h.exchanges.Go(func(context.Context) {
			next, _ := t.Next()
			_, err := h.Store.Read(bounded, t.Partition, next, 0)
			answers <- answer{t == l.tail, err}
		})
	}
	for range h.ProgressTails {
		a := <-answers
		r.own = r.own || a.own && a.err == nil
		r.others = r.others || !a.own && a.err == nil
	}
	return r
}
