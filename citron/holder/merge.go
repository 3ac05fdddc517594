package holder

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/citron/pool"
)

// A new holder has to wait for every partition that the claim names, so a claim names more than one no longer than
// needed: the holder records everything again in the partition that it uses, and then names that one alone.

const (
	// mergeAfter is how long a partition has to take all records before everything is recorded again in it.
	mergeAfter = 300 * time.Millisecond
	// narrowRetry separates the tries to name one partition only.
	narrowRetry = 500 * time.Millisecond
	// narrowTimeout bounds one of them; the plans wait for it.
	narrowTimeout = 250 * time.Millisecond
)

// merge is how far the holder is with bringing its records into one partition.
type merge struct {
	// into took the last records, and all of them since an instant.
	into  *ledger
	since time.Duration
	// begun is set while everything is recorded again in it, whole once that is stored.
	begun, whole bool
	// tried is when the claim was last to name it alone.
	tried time.Duration
}

// stored notes which partition took the last records.
func (m *merge) stored(now time.Duration, l *ledger) {
	if m.into != l {
		*m = merge{into: l, since: now}
	}
}

// consolidate goes on with the merge after the records of a plan have been stored.
func (h *Holder) consolidate(ctx context.Context, e pool.Effects) {
	now := h.Timer.Now().Boot
	m := &h.merge
	if m.into == nil || h.named == 1 {
		return
	}
	m.whole = m.whole || m.begun && e.Rewritten
	switch {
	case m.whole && now-m.tried >= narrowRetry:
		m.tried = now
		h.narrow(ctx)
	case !m.begun && now-m.since >= mergeAfter:
		m.begun = h.Pool.Rewrite()
	}
}

// narrow names one partition only. From the first try on the claim may name no other, so the others are not used until
// it has been extended by them again.
func (h *Holder) narrow(ctx context.Context) {
	for _, l := range h.ledger {
		if l != h.merge.into {
			h.closed = append(h.closed, l)
		}
	}
	h.ledger = []*ledger{h.merge.into}
	bounded, cancel := context.WithTimeout(ctx, narrowTimeout)
	defer cancel()
	if err := h.NarrowClaim(bounded, h.merge.into.tail.Partition.Number); err != nil {
		h.failed("narrow", err)
		return
	}
	h.named = 1
}
