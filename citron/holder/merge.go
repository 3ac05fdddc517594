package holder

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/citron/pool"
)

// A new holder has to wait for every partition that the claim names, so the claim should name a single one. After a
// failover to another partition the holder therefore records everything again in the partition that it uses and then
// removes the others from the claim.

const (
	// mergeAfter is how long one partition must have stored all records before everything is recorded again in it.
	mergeAfter = 300 * time.Millisecond
	// narrowRetry is the least time between two tries to narrow the claim.
	narrowRetry = 500 * time.Millisecond
	// narrowTimeout is the time limit of one try, which delays the next plan.
	narrowTimeout = 250 * time.Millisecond
)

// merge is the progress of the merge of all records into one partition.
type merge struct {
	// target is the partition that has stored all records since the boot time since.
	target *partitionLog
	since  time.Duration
	// rewriting is set once everything is being recorded again in target, rewritten once all of it is stored.
	rewriting, rewritten bool
	// lastTry is the boot time of the last try to narrow the claim to target.
	lastTry time.Duration
}

// recordAppend starts the merge anew if the last records were stored in another partition than before.
func (m *merge) recordAppend(now time.Duration, l *partitionLog) {
	if m.target != l {
		*m = merge{target: l, since: now}
	}
}

// consolidate continues the merge after the records of a plan have been stored.
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

// narrow narrows the claim to the target. After a failed try the claim may no longer name the other partitions, so they
// are closed before the first try and stay closed until the claim has been extended by them again.
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
