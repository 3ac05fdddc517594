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
	"github.com/citroncross/citroncross/citron/waits"
)

// scriptedStore records appends as partition:sequence:key and answers the n-th append by calling answer.
type scriptedStore struct {
	citron.Store
	appends []string
	answer  func(n int, p citron.Partition) error
}

func (s *scriptedStore) Append(_ context.Context, p citron.Partition, records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
	key := "-"
	if len(records) > 0 {
		key = records[0].Key
	}
	s.appends = append(s.appends, fmt.Sprintf("%d:%d:%s", p.Number, c.Sequence, key))
	return 0, s.answer(len(s.appends), p)
}

// Read answers like an append, with n = 0.
func (s *scriptedStore) Read(_ context.Context, p citron.Partition, _ citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	return citron.KeyedBatch{}, s.answer(0, p)
}

func newHolder(s *scriptedStore, partitions int) *Holder {
	clock := &timer.Immediate{}
	clock.Advance(time.Second)
	h := &Holder{Store: s, Timer: simTimer{clock}, Producer: "p", Pool: pool.New(pool.Options{}, 1, &advice.Balancer{})}
	for n := range partitions {
		h.ProgressTails = append(h.ProgressTails, &tail.Tail{Partition: citron.Partition{Number: n}})
	}
	h.openLogs = []*partitionLog{{tail: h.ProgressTails[0]}}
	return h
}

func record(key string) []citron.KeyedRecord {
	return []citron.KeyedRecord{{Key: key, Value: []byte("v")}}
}

func TestUnansweredAppendIsRepeatedWithItsSequence(t *testing.T) {
	s := &scriptedStore{answer: func(n int, _ citron.Partition) error {
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
	// The unanswered append of b is repeated under its own sequence number, which stores it.
	if want := []string{"0:0:a", "0:1:b", "0:1:b", "0:2:c"}; !slices.Equal(s.appends, want) {
		t.Errorf("appends %v, want %v", s.appends, want)
	}
}

func TestClaimIsExtendedBeforeNewPartitionIsUsed(t *testing.T) {
	s := &scriptedStore{answer: func(_ int, p citron.Partition) error {
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
		t.Error("the store counts as unavailable although a partition stores records")
	}
}

func TestFencedHolderStops(t *testing.T) {
	s := &scriptedStore{answer: func(int, citron.Partition) error { return citron.ErrFenced }}
	h := newHolder(s, 2)
	h.ExtendClaim = func(context.Context, int) error { t.Error("extended the claim after being fenced"); return nil }
	if err := h.append(context.Background(), record("a")); !errors.Is(err, citron.ErrFenced) {
		t.Errorf("append returned error %v, want the fencing error", err)
	}
}

func TestFirstAppendUsesSequenceExpectedByStore(t *testing.T) {
	s := &scriptedStore{answer: func(n int, _ citron.Partition) error {
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

// The store gives its first answer to a repeated append again, even if another daemon has claimed the pool since. No
// lease may be renewed on that answer.
func TestRepeatedAppendDoesNotConfirmHolder(t *testing.T) {
	losesAnswers := true
	s := &scriptedStore{answer: func(int, citron.Partition) error {
		if losesAnswers {
			return citron.ErrUnavailable
		}
		return nil
	}}
	h := newHolder(s, 1)
	h.Pool.Options = pool.Options{Lease: time.Second, MaxLease: time.Second, AnswerTimeout: time.Second}
	clock := h.Timer.(simTimer)
	h.Pool.UpdateWorkers(clock.Now(), []citron.WorkerEntry{{ID: "w", Address: "a"}})
	h.Pool.Renewed(clock.Now(), "w", clock.Now().Boot, citron.WorkerReport{}, clock.Now().Boot)
	if _, err := h.appendOnce(context.Background(), h.openLogs[0], record("a")); err == nil {
		t.Fatal("an unanswered append returned no error")
	}
	clock.Advance(900 * time.Millisecond)
	losesAnswers = false
	if _, err := h.repeatPending(context.Background(), h.openLogs[0], nil); err != nil {
		t.Fatal(err)
	}
	if _, o, _, _ := h.Pool.NextRenewal(clock.Now(), "w"); o.Deadline != 0 {
		t.Error("a lease was renewed after the answer to a repeated append")
	}
	if _, err := h.appendOnce(context.Background(), h.openLogs[0], record("b")); err != nil {
		t.Fatal(err)
	}
	if _, o, _, _ := h.Pool.NextRenewal(clock.Now(), "w"); o.Deadline == 0 {
		t.Error("no lease was renewed after a new record was stored")
	}
}

// An append without records uses up a sequence number too. Were it not repeated, the store would take the next append
// under its number for a repeat and acknowledge it without storing its records.
func TestUnansweredFenceIsRepeated(t *testing.T) {
	s := &scriptedStore{answer: func(n int, p citron.Partition) error {
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

// A plan of any size must reach the store over a thin link: what has to be repeated after a failure stays small, and the
// timeout grows with the size.
func TestRecordsOfAPlanAreStoredInSeveralAppends(t *testing.T) {
	s := &scriptedStore{answer: func(int, citron.Partition) error { return nil }}
	h := newHolder(s, 1)
	var records []citron.KeyedRecord
	for n := range 5 {
		records = append(records, citron.KeyedRecord{Key: fmt.Sprintf("k%d", n), Value: make([]byte, maxAppendBytes/2)})
	}
	if refused, err := h.store(context.Background(), records); err != nil || len(refused) > 0 {
		t.Fatal(err)
	}
	// Two values of half the size exceed the limit by their keys.
	if want := []string{"0:0:k0", "0:1:k1", "0:2:k2", "0:3:k3", "0:4:k4"}; !slices.Equal(s.appends, want) {
		t.Errorf("appends %v, want %v", s.appends, want)
	}
	s.appends = nil
	if refused, err := h.store(context.Background(), append(record("a"), record("b")...)); err != nil || len(refused) > 0 {
		t.Fatal(err)
	}
	if want := []string{"0:5:a"}; !slices.Equal(s.appends, want) {
		t.Errorf("appends of two small records %v, want %v", s.appends, want)
	}
	if got := waits.Transfer(maxAppendBytes); got < 256*time.Millisecond {
		t.Errorf("an append of %d bytes gets %s more, want at least its time on half of a link of 4 Mbit/s", maxAppendBytes, got)
	}
}
