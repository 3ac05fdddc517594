package holder

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// appendLeast and appendMost bound one append: the store answers in some 10 ms, on slow days in half a second.
	appendLeast = 400 * time.Millisecond
	appendMost  = 1600 * time.Millisecond
	// appendRetry separates the rounds of tries.
	appendRetry = 30 * time.Millisecond
	// avoidFor is how long a partition that failed is tried after the others.
	avoidFor = 2 * time.Second
)

// ledger is one partition of the pool's records. While one does not answer, another takes its place.
type ledger struct {
	partition citron.Partition
	sequence  int64
	// numbered is set once an append of this epoch has been answered, so the next number is known.
	numbered bool
	// pending is an append that was not answered. It has to be repeated before the next number can be used.
	pending []citron.Keyed
	avoid   time.Duration
	// late is set where the last append was not answered in time.
	late bool
}

// fence makes the store refuse every former holder, and waits until all that they have stored is known here.
func (h *Holder) fence(ctx context.Context) error {
	for _, n := range h.Partitions {
		l := &ledger{partition: h.Progress[n].Partition}
		h.ledger = append(h.ledger, l)
		for {
			end, err := h.send(ctx, l, nil)
			if err == nil {
				err = h.Progress[n].Reach(ctx, end)
			}
			if err == nil {
				break
			}
			if errors.Is(err, citron.ErrFenced) || ctx.Err() != nil {
				return err
			}
			h.failed("fence", err)
			h.limit.Late()
			h.pause(ctx, appendRetry)
		}
	}
	return nil
}

// append stores records in the first partition that takes them, and opens another one if none does.
func (h *Holder) append(ctx context.Context, records []citron.Keyed) error {
	began := h.Timer.Now().Boot
	for {
		now := h.Timer.Now().Boot
		slices.SortStableFunc(h.ledger, func(a, b *ledger) int { return cmp.Compare(max(a.avoid, now), max(b.avoid, now)) })
		for _, l := range h.ledger {
			err := h.settle(ctx, l)
			if err == nil {
				_, err = h.send(ctx, l, records)
			}
			if err == nil {
				h.lostSince.Store(0)
				return nil
			}
			var sequence *citron.SequenceError
			if errors.Is(err, citron.ErrFenced) || ctx.Err() != nil || errors.As(err, &sequence) && l.numbered {
				return err
			}
			h.failed("append", err)
			h.lostSince.CompareAndSwap(0, int64(began))
			l.avoid = h.Timer.Now().Boot + avoidFor
		}
		if h.ledger[0].late {
			h.limit.Late()
		}
		if err := h.extend(ctx); err != nil {
			h.failed("extend", err)
			h.pause(ctx, appendRetry)
		}
	}
}

// extend opens one more partition for the pool's records. The claim names it first, so that a new holder knows it.
func (h *Holder) extend(ctx context.Context) error {
	for n, t := range h.Progress {
		if slices.ContainsFunc(h.ledger, func(l *ledger) bool { return l.partition == t.Partition }) {
			continue
		}
		if err := h.Extend(ctx, n); err != nil {
			return err
		}
		l := &ledger{partition: t.Partition}
		h.ledger = append(h.ledger, l)
		_, err := h.send(ctx, l, nil)
		return err
	}
	return errAllOpen
}

var errAllOpen = errors.New("every partition is open and none takes records")

// settle repeats an append that was not answered. The store drops it if it had landed. Its records may be older than
// what other partitions hold by now; readers go by the number of each record.
func (h *Holder) settle(ctx context.Context, l *ledger) error {
	if l.pending == nil {
		return nil
	}
	_, err := h.send(ctx, l, l.pending)
	return err
}

// send appends to one partition, once.
func (h *Holder) send(ctx context.Context, l *ledger, records []citron.Keyed) (end citron.Offset, err error) {
	c := citron.Condition{Producer: h.Producer, Epoch: h.Pool.Epoch, Sequence: l.sequence}
	bounded, cancel := context.WithTimeout(ctx, h.limit.Now())
	defer cancel()
	began := h.Timer.Now().Boot
	end, err = h.Store.Append(bounded, l.partition, records, c)
	if err == nil {
		h.limit.Answered(h.Timer.Now().Boot - began)
	} else if bounded.Err() != nil {
		l.late = true
	}
	var sequence *citron.SequenceError
	switch {
	case err == nil:
		l.late = false
		l.sequence++
		l.numbered = l.numbered || len(records) > 0
		l.pending = nil
	case errors.As(err, &sequence) && !l.numbered:
		l.sequence = sequence.Expected
	case errors.Is(err, citron.ErrUnavailable) && len(records) > 0:
		l.pending = records
	}
	return end, err
}
