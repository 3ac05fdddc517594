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
	// target took the last records, and all of them since an instant.
	target *partitionLog
	since  time.Duration
	// rewriting is set while everything is recorded again in it, whole once that is stored.
	rewriting, rewritten bool
	// lastTry is when the claim was last to name it alone.
	lastTry time.Duration
}

// recordAppend notes which partition took the last records.
func (m *merge) recordAppend(now time.Duration, l *partitionLog) {
	if m.target != l {
		*m = merge{target: l, since: now}
	}
}

// consolidate goes on with the merge after the records of a plan have been stored.
func (h *Holder) consolidate(ctx context.Context, e pool.Effects) {
	now := h.Timer.Now().Boot
	m := &h.merge
	if m.target == nil || h.maxClaimed == 1 {
		return
	}
	m.rewritten = m.rewritten || m.rewriting && e.Rewritten
	switch {
	case m.rewritten && now-m.lastTry >= narrowRetry:
		m.lastTry = now
		h.narrow(ctx)
	case !m.rewriting && now-m.since >= mergeAfter:
		m.rewriting = h.Pool.Rewrite()
	}
}

// narrow names one partition only. From the first try on the claim may name no other, so the others are not used until
// it has been extended by them again.
func (h *Holder) narrow(ctx context.Context) {
	for _, l := range h.openLogs {
		if l != h.merge.target {
			h.closedLogs = append(h.closedLogs, l)
		}
	}
	h.openLogs = []*partitionLog{h.merge.target}
	bounded, cancel := context.WithTimeout(ctx, narrowTimeout)
	defer cancel()
	if err := h.NarrowClaim(bounded, h.merge.target.tail.Partition.Number); err != nil {
		h.reportFailure("narrow", err)
		return
	}
	h.maxClaimed = 1
}
