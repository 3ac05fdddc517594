package holder

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 500 * time.Millisecond
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
}

// fence makes the store refuse every former holder, and waits until all that they have stored is known here.
func (h *Holder) fence(ctx context.Context) error {
	for _, t := range h.Progress {
		l := &ledger{partition: t.Partition}
		h.ledger = append(h.ledger, l)
		for {
			end, err := h.send(ctx, l, nil)
			if err == nil {
				err = t.Reach(ctx, end)
			}
			if err == nil {
				break
			}
			if errors.Is(err, citron.ErrFenced) || ctx.Err() != nil {
				return err
			}
			h.failed("fence", err)
			h.pause(ctx, appendRetry)
		}
	}
	// Every job that a former holder has started was accepted before its last record. A worker's ends must not be
	// taken in before the jobs that they belong to.
	for _, t := range h.Jobs {
		for t.CatchUp(ctx) != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			h.pause(ctx, appendRetry)
		}
	}
	return nil
}

// append stores records in the first partition that takes them.
func (h *Holder) append(ctx context.Context, records []citron.Keyed) error {
	for {
		now := h.Timer.Now().Boot
		slices.SortStableFunc(h.ledger, func(a, b *ledger) int { return int(max(a.avoid-now, 0) - max(b.avoid-now, 0)) })
		for _, l := range h.ledger {
			err := h.settle(ctx, l)
			if err == nil {
				_, err = h.send(ctx, l, records)
			}
			if err == nil {
				return nil
			}
			var sequence *citron.SequenceError
			if errors.Is(err, citron.ErrFenced) || ctx.Err() != nil || errors.As(err, &sequence) && l.numbered {
				return err
			}
			h.failed("append", err)
			l.avoid = h.Timer.Now().Boot + avoidFor
		}
		h.pause(ctx, appendRetry)
	}
}

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
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	end, err = h.Store.Append(bounded, l.partition, records, c)
	var sequence *citron.SequenceError
	switch {
	case err == nil:
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
