package holder

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/waits"
)

// appendBounds bound one append: the store answers in some 10 ms, on slow days in half a second.
var appendBounds = waits.Bounds{Least: 400 * time.Millisecond, Most: 1600 * time.Millisecond}

// appendRetry separates the rounds of tries.
const appendRetry = 30 * time.Millisecond

// partitionLog is one partition of the pool's records. While one does not answer, another takes its place.
type partitionLog struct {
	tail     *tail.Tail
	sequence int64
	// sequenceKnown is set once an append of this epoch has been answered, so the next number is known.
	sequenceKnown bool
	// unanswered is set where the last append, of pending, was not answered. It has to be repeated before the next number
	// can be used; so has one without records, which takes a number as well.
	unanswered bool
	pending    []citron.KeyedRecord
	// failedAt is when the partition last took no record; zero once the store has answered for it since.
	failedAt time.Duration
}

// fence makes the store refuse every former holder, and waits until all that they have stored is known here.
func (h *Holder) fence(ctx context.Context) (err error) {
	fenced := make(chan error, len(h.ClaimedPartitions))
	for _, n := range h.ClaimedPartitions {
		l := &partitionLog{tail: h.ProgressTails[n]}
		h.openLogs = append(h.openLogs, l)
		h.calls.Go(func(context.Context) { fenced <- h.fencePartition(ctx, l) })
	}
	for range h.ClaimedPartitions {
		if one := <-fenced; one != nil {
			err = one
		}
	}
	return err
}

// fencePartition does the same for one partition, until the store has answered.
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
		h.limit.Late(appendBounds)
		timer.Pause(ctx, h.Timer, appendRetry)
	}
}

// append stores records in the first partition that takes them, and opens another one if none does.
func (h *Holder) append(ctx context.Context, records []citron.KeyedRecord) error {
	began := h.Timer.Now().Boot
	l := h.preferred()
	for {
		err := h.repeatPending(ctx, l)
		if err == nil {
			_, err = h.appendOnce(ctx, l, records)
		}
		if err == nil {
			h.unavailableSince.Store(0)
			h.merge.recordAppend(h.Timer.Now().Boot, l)
			return nil
		}
		var sequence *citron.SequenceError
		if errors.Is(err, citron.ErrFenced) || ctx.Err() != nil || errors.As(err, &sequence) && l.sequenceKnown {
			return err
		}
		h.reportFailure("append", err)
		h.unavailableSince.CompareAndSwap(0, int64(began))
		l.failedAt = h.Timer.Now().Boot
		if l, err = h.nextPartition(ctx); err != nil {
			h.reportFailure("extend", err)
			h.limit.Late(appendBounds)
			timer.Pause(ctx, h.Timer, appendRetry)
			l = h.preferred()
		}
	}
}

// preferred returns the open partition that has not failed, or failed first.
func (h *Holder) preferred() *partitionLog {
	for _, l := range h.openLogs {
		if l.failedAt > 0 && l.tail.AnsweredSince(l.failedAt) {
			l.failedAt = 0
		}
	}
	slices.SortStableFunc(h.openLogs, func(a, b *partitionLog) int { return cmp.Compare(a.failedAt, b.failedAt) })
	return h.openLogs[0]
}

// nextPartition returns a partition that the store answers for: an open one if there is any, else a new one. The claim names a
// new one before it is used, so that a new holder knows it.
func (h *Holder) nextPartition(ctx context.Context) (*partitionLog, error) {
	n, err := h.findAnswering(ctx)
	if err != nil {
		return nil, err
	}
	if at := h.indexOf(h.openLogs, n); at >= 0 {
		return h.openLogs[at], nil
	}
	h.maxClaimed, h.merge = h.maxClaimed+1, merge{}
	if err := h.ExtendClaim(ctx, n); err != nil {
		return nil, err
	}
	if at := h.indexOf(h.closedLogs, n); at >= 0 {
		// It goes on with its numbers and with what was not answered.
		l := h.closedLogs[at]
		h.closedLogs = slices.Delete(h.closedLogs, at, at+1)
		h.openLogs = append(h.openLogs, l)
		return l, nil
	}
	l := &partitionLog{tail: h.ProgressTails[n]}
	h.openLogs = append(h.openLogs, l)
	_, err = h.appendOnce(ctx, l, nil)
	return l, err
}

// indexOf returns the place of a partition's ledger in a list; -1 if it has none there.
func (h *Holder) indexOf(list []*partitionLog, n int) int {
	return slices.IndexFunc(list, func(l *partitionLog) bool { return l.tail == h.ProgressTails[n] })
}

// findAnswering asks for the end of every partition and returns the first open one that answers, or else another one.
func (h *Holder) findAnswering(ctx context.Context) (partition int, err error) {
	bounded, cancel := context.WithTimeout(ctx, h.limit.Now(appendBounds))
	defer cancel()
	type answer struct {
		n    int
		open bool
		err  error
	}
	answers := make(chan answer, len(h.ProgressTails))
	opens := 0
	for n, t := range h.ProgressTails {
		a := answer{n: n, open: h.indexOf(h.openLogs, n) >= 0}
		if a.open {
			opens++
		}
		h.calls.Go(func(context.Context) {
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
			opens--
		case a.err == nil && other < 0:
			other = a.n
		}
		if opens == 0 && other >= 0 {
			return other, nil
		}
	}
	return 0, errNoPartitionAnswers
}

var errNoPartitionAnswers = errors.New("the store answers for no partition")

// repeatPending repeats an append that was not answered. The store drops it if it had landed. Its records may be older than
// what other partitions hold by now; readers go by the number of each record.
func (h *Holder) repeatPending(ctx context.Context, l *partitionLog) error {
	if !l.unanswered {
		return nil
	}
	_, err := h.appendOnce(ctx, l, l.pending)
	return err
}

// appendOnce appends to one partition, once.
func (h *Holder) appendOnce(ctx context.Context, l *partitionLog, records []citron.KeyedRecord) (end citron.Offset, err error) {
	c := citron.Condition{Producer: h.Producer, Epoch: h.Pool.Epoch, Sequence: l.sequence}
	bounded, cancel := context.WithTimeout(ctx, h.limit.Now(appendBounds))
	defer cancel()
	began := h.Timer.Now().Boot
	end, err = h.Store.Append(bounded, l.tail.Partition, records, c)
	if err == nil {
		h.limit.Answered(appendBounds, h.Timer.Now().Boot-began)
		if !l.unanswered {
			// The store answers a repeat as it answered the first time, whoever holds the pool by then.
			h.Pool.Proved(began)
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
	case errors.Is(err, citron.ErrUnavailable):
		l.unanswered, l.pending = true, records
	}
	return end, err
}
