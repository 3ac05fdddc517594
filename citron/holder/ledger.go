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

// ledger is one partition of the pool's records. While one does not answer, another takes its place.
type ledger struct {
	tail     *tail.Tail
	sequence int64
	// numbered is set once an append of this epoch has been answered, so the next number is known.
	numbered bool
	// unanswered is set where the last append, of pending, was not answered. It has to be repeated before the next number
	// can be used; so has one without records, which takes a number as well.
	unanswered bool
	pending    []citron.KeyedRecord
	// failed is when the partition last took no record; zero once the store has answered for it since.
	failed time.Duration
}

// fence makes the store refuse every former holder, and waits until all that they have stored is known here.
func (h *Holder) fence(ctx context.Context) (err error) {
	fenced := make(chan error, len(h.ClaimedPartitions))
	for _, n := range h.ClaimedPartitions {
		l := &ledger{tail: h.ProgressTails[n]}
		h.ledger = append(h.ledger, l)
		h.calls.Go(func(context.Context) { fenced <- h.fenceOne(ctx, l) })
	}
	for range h.ClaimedPartitions {
		if one := <-fenced; one != nil {
			err = one
		}
	}
	return err
}

// fenceOne does the same for one partition, until the store has answered.
func (h *Holder) fenceOne(ctx context.Context, l *ledger) error {
	for {
		end, err := h.send(ctx, l, nil)
		if err == nil {
			err = l.tail.WaitFor(ctx, end)
		}
		if err == nil || errors.Is(err, citron.ErrFenced) || ctx.Err() != nil {
			return err
		}
		h.failed("fence", err)
		h.limit.Late(appendBounds)
		timer.Pause(ctx, h.Timer, appendRetry)
	}
}

// append stores records in the first partition that takes them, and opens another one if none does.
func (h *Holder) append(ctx context.Context, records []citron.KeyedRecord) error {
	began := h.Timer.Now().Boot
	l := h.preferred()
	for {
		err := h.settle(ctx, l)
		if err == nil {
			_, err = h.send(ctx, l, records)
		}
		if err == nil {
			h.lostSince.Store(0)
			h.merge.stored(h.Timer.Now().Boot, l)
			return nil
		}
		var sequence *citron.SequenceError
		if errors.Is(err, citron.ErrFenced) || ctx.Err() != nil || errors.As(err, &sequence) && l.numbered {
			return err
		}
		h.failed("append", err)
		h.lostSince.CompareAndSwap(0, int64(began))
		l.failed = h.Timer.Now().Boot
		if l, err = h.next(ctx); err != nil {
			h.failed("extend", err)
			h.limit.Late(appendBounds)
			timer.Pause(ctx, h.Timer, appendRetry)
			l = h.preferred()
		}
	}
}

// preferred returns the open partition that has not failed, or failed first.
func (h *Holder) preferred() *ledger {
	for _, l := range h.ledger {
		if l.failed > 0 && l.tail.AnsweredSince(l.failed) {
			l.failed = 0
		}
	}
	slices.SortStableFunc(h.ledger, func(a, b *ledger) int { return cmp.Compare(a.failed, b.failed) })
	return h.ledger[0]
}

// next returns a partition that the store answers for: an open one if there is any, else a new one. The claim names a
// new one before it is used, so that a new holder knows it.
func (h *Holder) next(ctx context.Context) (*ledger, error) {
	n, err := h.alive(ctx)
	if err != nil {
		return nil, err
	}
	if at := h.find(h.ledger, n); at >= 0 {
		return h.ledger[at], nil
	}
	h.named, h.merge = h.named+1, merge{}
	if err := h.ExtendClaim(ctx, n); err != nil {
		return nil, err
	}
	if at := h.find(h.closed, n); at >= 0 {
		// It goes on with its numbers and with what was not answered.
		l := h.closed[at]
		h.closed = slices.Delete(h.closed, at, at+1)
		h.ledger = append(h.ledger, l)
		return l, nil
	}
	l := &ledger{tail: h.ProgressTails[n]}
	h.ledger = append(h.ledger, l)
	_, err = h.send(ctx, l, nil)
	return l, err
}

// find returns the place of a partition's ledger in a list; -1 if it has none there.
func (h *Holder) find(list []*ledger, n int) int {
	return slices.IndexFunc(list, func(l *ledger) bool { return l.tail == h.ProgressTails[n] })
}

// alive asks for the end of every partition and returns the first open one that answers, or else another one.
func (h *Holder) alive(ctx context.Context) (partition int, err error) {
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
		a := answer{n: n, open: h.find(h.ledger, n) >= 0}
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
	return 0, errNoneAlive
}

var errNoneAlive = errors.New("the store answers for no partition")

// settle repeats an append that was not answered. The store drops it if it had landed. Its records may be older than
// what other partitions hold by now; readers go by the number of each record.
func (h *Holder) settle(ctx context.Context, l *ledger) error {
	if !l.unanswered {
		return nil
	}
	_, err := h.send(ctx, l, l.pending)
	return err
}

// send appends to one partition, once.
func (h *Holder) send(ctx context.Context, l *ledger, records []citron.KeyedRecord) (end citron.Offset, err error) {
	c := citron.Condition{Producer: h.Producer, Epoch: h.Pool.Epoch, Sequence: l.sequence}
	bounded, cancel := context.WithTimeout(ctx, h.limit.Now(appendBounds))
	defer cancel()
	began := h.Timer.Now().Boot
	end, err = h.Store.Append(bounded, l.tail.Partition, records, c)
	if err == nil {
		h.limit.Answered(appendBounds, h.Timer.Now().Boot-began)
		if !l.unanswered {
			// The store answers a repeat as it answered the first time, whoever holds the pool by then.
			h.Pool.ConfirmHeld(began)
		}
	}
	var sequence *citron.SequenceError
	switch {
	case err == nil:
		l.sequence++
		l.numbered = l.numbered || len(records) > 0
		l.unanswered, l.pending = false, nil
	case errors.As(err, &sequence) && !l.numbered:
		l.sequence = sequence.Expected
	case errors.Is(err, citron.ErrUnavailable):
		l.unanswered, l.pending = true, records
	}
	return end, err
}
