package holder

import (
	"context"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
)

// Guards against a claim that names several partitions for as long as no job arrives, each of which the next holder must reach.
func TestHolderWithoutJobsNarrowsItsClaim(t *testing.T) {
	held := newHeldStore()
	h := newSlowHolder(held, 2)
	clock := &timer.Manual{}
	h.Timer, h.maxClaimed = clock, 2
	claimed := 2
	h.NarrowClaim = func(context.Context, int) error {
		claimed = 1
		return nil
	}
	h.Pool.MarkAllJobsKnown()
	// The last records are stored while the store is slow, so in one of several partitions.
	if err := h.write(t.Context(), effects("a")); err != nil {
		t.Fatal(err)
	}
	held.next(0).answer <- nil
	if err := h.writeEnded(t.Context(), <-h.writes.ended); err != nil {
		t.Fatal(err)
	}
	h.Store = &scriptedStore{answer: func(int, citron.Partition) error { return nil }}
	h.appendLatency.Store(0)
	for end := clock.Now().Boot + 10*mergeAfter; clock.Now().Boot < end && claimed > 1; clock.Advance(50 * time.Millisecond) {
		e, err := h.Pool.Plan(clock.Now())
		if err != nil {
			t.Fatal(err)
		}
		if err := h.write(t.Context(), e); err != nil {
			t.Fatal(err)
		}
	}
	if claimed > 1 {
		t.Errorf("the claim names %d partitions %v after the last record, want 1", claimed, 10*mergeAfter)
	}
}
