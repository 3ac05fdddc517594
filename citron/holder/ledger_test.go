package holder

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
)

// scripted notes appends and answers them as the test says.
type scripted struct {
	citron.Store
	appends []string
	answer  func(n int, p citron.Partition) error
}

func (s *scripted) Append(_ context.Context, p citron.Partition, records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
	key := "-"
	if len(records) > 0 {
		key = records[0].Key
	}
	s.appends = append(s.appends, fmt.Sprintf("%d:%d:%s", p.Number, c.Sequence, key))
	return 0, s.answer(len(s.appends), p)
}

// Read answers for every partition that takes appends.
func (s *scripted) Read(_ context.Context, p citron.Partition, _ citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	return citron.KeyedBatch{}, s.answer(0, p)
}

func newHolder(s *scripted, partitions int) *Holder {
	clock := &timer.Instant{}
	clock.Advance(time.Second)
	h := &Holder{Store: s, Timer: clock, Producer: "p", Pool: pool.New(pool.Options{}, 1, &advice.Balancer{})}
	for n := range partitions {
		h.ProgressTails = append(h.ProgressTails, &tail.Tail{Partition: citron.Partition{Number: n}})
	}
	h.ledger = []*ledger{{tail: h.ProgressTails[0]}}
	return h
}

func record(key string) []citron.KeyedRecord {
	return []citron.KeyedRecord{{Key: key, Value: []byte("v")}}
}

func TestUnansweredAppendIsRepeatedWithItsNumber(t *testing.T) {
	s := &scripted{answer: func(n int, _ citron.Partition) error {
		if n == 2 {
			return citron.ErrUnavailable
		}
		return nil
	}}
	h := newHolder(s, 1)
	for _, key := range []string{"a", "b", "c"} {
		if err := h.append(context.Background(), record(key)); err != nil {
			t.Fatal(err)
		}
	}
	// The unanswered b is settled under its own number, then b goes out again under the next.
	if want := []string{"0:0:a", "0:1:b", "0:1:b", "0:2:b", "0:3:c"}; !slices.Equal(s.appends, want) {
		t.Errorf("appends %v, want %v", s.appends, want)
	}
}

func TestAnotherPartitionIsNamedBeforeItIsUsed(t *testing.T) {
	s := &scripted{answer: func(_ int, p citron.Partition) error {
		if p.Number < 2 {
			return citron.ErrUnavailable
		}
		return nil
	}}
	h := newHolder(s, 3)
	h.ExtendClaim = func(_ context.Context, n int) error {
		s.appends = append(s.appends, fmt.Sprintf("claim names %d", n))
		return nil
	}
	if err := h.append(context.Background(), record("a")); err != nil {
		t.Fatal(err)
	}
	if want := []string{"0:0:a", "claim names 2", "2:0:-", "2:1:a"}; !slices.Equal(s.appends, want) {
		t.Errorf("appends %v, want %v", s.appends, want)
	}
	if h.StoreUnavailableFor() != 0 {
		t.Error("the store counts as lost although a partition takes records")
	}
}

func TestFencedHolderStops(t *testing.T) {
	s := &scripted{answer: func(int, citron.Partition) error { return citron.ErrFenced }}
	h := newHolder(s, 2)
	h.ExtendClaim = func(context.Context, int) error { t.Error("opened a partition"); return nil }
	if err := h.append(context.Background(), record("a")); !errors.Is(err, citron.ErrFenced) {
		t.Errorf("error %v", err)
	}
}

func TestNumberOfTheFirstAppendIsTheStores(t *testing.T) {
	s := &scripted{answer: func(n int, _ citron.Partition) error {
		if n == 1 {
			return &citron.SequenceError{Expected: 41}
		}
		return nil
	}}
	h := newHolder(s, 1)
	if err := h.append(context.Background(), record("a")); err != nil {
		t.Fatal(err)
	}
	if want := []string{"0:0:a", "0:41:a"}; !slices.Equal(s.appends, want) {
		t.Errorf("appends %v, want %v", s.appends, want)
	}
}

func TestRepeatedAppendProvesNothing(t *testing.T) {
	lost := true
	s := &scripted{answer: func(int, citron.Partition) error {
		if lost {
			return citron.ErrUnavailable
		}
		return nil
	}}
	h := newHolder(s, 1)
	h.Pool.Options = pool.Options{Lease: time.Second, MaxLease: time.Second, AnswerTimeout: time.Second}
	clock := h.Timer.(*timer.Instant)
	h.Pool.UpdateWorkers(clock.Now(), []citron.WorkerEntry{{ID: "w", Address: "a"}})
	h.Pool.Renewed(clock.Now(), "w", clock.Now().Boot, citron.WorkerReport{}, clock.Now().Boot)
	if _, err := h.send(context.Background(), h.ledger[0], record("a")); err == nil {
		t.Fatal("an unanswered append has no error")
	}
	clock.Advance(900 * time.Millisecond)
	lost = false
	if err := h.settle(context.Background(), h.ledger[0]); err != nil {
		t.Fatal(err)
	}
	if _, o, _, _ := h.Pool.NextRenewal(clock.Now(), "w"); o.Deadline != 0 {
		t.Error("a lease was renewed on the answer to a repeat")
	}
	if _, err := h.send(context.Background(), h.ledger[0], record("b")); err != nil {
		t.Fatal(err)
	}
	if _, o, _, _ := h.Pool.NextRenewal(clock.Now(), "w"); o.Deadline == 0 {
		t.Error("no lease is renewed after a new record was stored")
	}
}

// TestUnansweredFenceIsRepeated: the store counts an append without records too, and would answer the next one under
// its number without taking the records.
func TestUnansweredFenceIsRepeated(t *testing.T) {
	s := &scripted{answer: func(n int, p citron.Partition) error {
		if p.Number == 0 || n == 2 {
			return citron.ErrUnavailable
		}
		return nil
	}}
	h := newHolder(s, 2)
	h.ExtendClaim = func(context.Context, int) error { return nil }
	if err := h.append(context.Background(), record("a")); err != nil {
		t.Fatal(err)
	}
	if want := []string{"0:0:a", "1:0:-", "1:0:-", "1:1:a"}; !slices.Equal(s.appends, want) {
		t.Errorf("appends %v, want %v", s.appends, want)
	}
}
