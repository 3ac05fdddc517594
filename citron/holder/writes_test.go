package holder

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/timer"
)

// heldStore answers each append to a partition once it is told to.
type heldStore struct {
	citron.Store
	mu      sync.Mutex
	appends []heldAppend
	// arrived delivers once for each append.
	arrived chan struct{}
}

// heldAppend is an append that waits for its answer.
type heldAppend struct {
	partition int
	sequence  int64
	keys      []string
	answer    chan error
}

func newHeldStore() *heldStore { return &heldStore{arrived: make(chan struct{}, 100)} }

func (s *heldStore) Append(ctx context.Context, p citron.Partition, records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
	a := heldAppend{partition: p.Number, sequence: c.Sequence, answer: make(chan error, 1)}
	for _, r := range records {
		a.keys = append(a.keys, r.Key)
	}
	s.mu.Lock()
	s.appends = append(s.appends, a)
	s.mu.Unlock()
	s.arrived <- struct{}{}
	select {
	case err := <-a.answer:
		return 0, err
	case <-ctx.Done():
		return 0, citron.ErrUnavailable
	}
}

// Read answers no probe.
func (s *heldStore) Read(context.Context, citron.Partition, citron.Offset, time.Duration) (citron.KeyedBatch, error) {
	return citron.KeyedBatch{}, citron.ErrUnavailable
}

// next returns the n-th append once it has arrived.
func (s *heldStore) next(n int) heldAppend {
	for {
		s.mu.Lock()
		if len(s.appends) > n {
			defer s.mu.Unlock()
			return s.appends[n]
		}
		s.mu.Unlock()
		<-s.arrived
	}
}

// newSlowHolder returns a holder with open partitions whose store has been slow.
func newSlowHolder(s citron.Store, open int) *Holder {
	h := newHolder(nil, open)
	h.Store, h.Timer = s, &timer.Manual{}
	h.writes, h.replan, h.polls = newWrites(open), make(chan struct{}, 1), map[citron.Worker]*poll{}
	h.Published = func(citron.KeyedRecord) {}
	h.ExtendClaim = func(context.Context, int) error { return citron.ErrUnavailable }
	h.openLogs = nil
	for _, t := range h.ProgressTails {
		h.openLogs = append(h.openLogs, &partitionLog{tail: t, sequenceKnown: true})
	}
	h.appendLatency.Store(int64(slowWrite))
	return h
}

// effects returns the effects of a plan that records some keys.
func effects(keys ...string) (e pool.Effects) {
	for _, key := range keys {
		e.Records = append(e.Records, record(key)...)
		e.Visible = append(e.Visible, false)
	}
	return e
}

// Guards against starts that wait for the append of the plan before while the store is slow.
func TestPlansDoNotWaitForEachOtherWhileTheStoreIsSlow(t *testing.T) {
	s := newHeldStore()
	h := newSlowHolder(s, maxWrites)
	for n := range maxWrites {
		if err := h.write(t.Context(), effects(fmt.Sprint(n))); err != nil {
			t.Fatal(err)
		}
	}
	// Further plans share the next append.
	for n := range 2 {
		if err := h.write(t.Context(), effects(fmt.Sprint(maxWrites+n))); err != nil {
			t.Fatal(err)
		}
	}
	used := map[int]bool{}
	for n := range maxWrites {
		used[s.next(n).partition] = true
	}
	if len(used) != maxWrites {
		t.Errorf("appends use partitions %v at once, want %d different ones", used, maxWrites)
	}
	s.next(1).answer <- nil
	ended := <-h.writes.ended
	h.appendLatency.Store(int64(slowWrite))
	if err := h.writeEnded(t.Context(), ended); err != nil {
		t.Fatal(err)
	}
	if got := s.next(maxWrites).keys; !slices.Equal(got, []string{"3", "4"}) {
		t.Errorf("the next append has the keys %v, want those of both plans that waited", got)
	}
}

// Guards against an end that is acknowledged while the record of an earlier plan, which may contain it, is not stored.
func TestEndsAreAcknowledgedInTheOrderOfThePlans(t *testing.T) {
	s := newHeldStore()
	h := newSlowHolder(s, 2)
	for n := range 2 {
		e := effects(fmt.Sprint(n))
		e.Acks = map[citron.Worker]pool.Ack{"w": {Number: int64(n + 1)}}
		if err := h.write(t.Context(), e); err != nil {
			t.Fatal(err)
		}
		s.next(n)
	}
	s.next(1).answer <- nil
	if err := h.writeEnded(t.Context(), <-h.writes.ended); err != nil {
		t.Fatal(err)
	}
	if len(h.writes.list) != 2 {
		t.Errorf("%d writes are unfinished after the second one has ended, want both", len(h.writes.list))
	}
	s.next(0).answer <- nil
	if err := h.writeEnded(t.Context(), <-h.writes.ended); err != nil {
		t.Fatal(err)
	}
	if len(h.writes.list) != 0 {
		t.Errorf("%d writes are unfinished after both have ended, want none", len(h.writes.list))
	}
}

// Guards against an older record that replaces a newer one of the same job when a failed append is made up for.
func TestReplacedRecordsOfAFailedWriteAreLeftOut(t *testing.T) {
	h := newSlowHolder(nil, 1)
	older, newer := effects("both", "first"), effects("both")
	h.writes.list = []*write{
		{records: older.Records, failed: true},
		{records: newer.Records, done: true},
		{records: effects("last").Records, failed: true},
	}
	var keys []string
	for _, r := range h.failedRecords() {
		keys = append(keys, r.Key)
	}
	if want := []string{"first", "last"}; !slices.Equal(keys, want) {
		t.Errorf("records of failed writes %v, want %v", keys, want)
	}
}

// Guards against an append that counts as rejected although another copy of it may be stored: the next append would get the answer
// to that copy, and its records would be lost.
func TestRejectedCopyLeavesAnUnansweredAppendInDoubt(t *testing.T) {
	for name, order := range map[string][2]int{"unanswered copy ends first": {0, 1}, "rejected copy ends first": {1, 0}} {
		s := newHeldStore()
		h := newSlowHolder(s, 1)
		h.appendLatency.Store(0)
		ended := make(chan error, 1)
		go func() {
			_, err := h.appendOnce(context.Background(), h.openLogs[0], record("a"))
			ended <- err
		}()
		first := s.next(0)
		clock := h.Timer.(*timer.Manual)
		for clock.OpenSubscriptions() == 0 {
			runtime.Gosched()
		}
		clock.Advance(time.Second)
		second := s.next(1)
		if first.sequence != second.sequence {
			t.Errorf("%s: copies with sequence numbers %d and %d, want the same", name, first.sequence, second.sequence)
		}
		errs := []error{citron.ErrUnavailable, citron.ErrRejected}
		for _, n := range order {
			[]heldAppend{first, second}[n].answer <- errs[n]
		}
		if err := <-ended; !errors.Is(err, citron.ErrUnavailable) || !h.openLogs[0].unanswered {
			t.Errorf("%s: error %v, in doubt %t, want citron.ErrUnavailable and true", name, err, h.openLogs[0].unanswered)
		}
	}
}

// Guards against a failover, and with it further appends, while the store is slow for all partitions.
func TestSlowStoreIsNoSilentPartition(t *testing.T) {
	for name, c := range map[string]struct {
		answers []int
		want    probeResult
	}{
		"all partitions slow":        {nil, probeResult{}},
		"this partition answers":     {[]int{0, 1, 2}, probeResult{own: true, others: true}},
		"only others answer quickly": {[]int{1, 2}, probeResult{others: true}},
	} {
		h := newHolder(nil, 3)
		h.Store = probedStore{answers: c.answers}
		if got := h.probe(t.Context(), h.openLogs[0]); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// probedStore answers reads of some partitions and none of the others.
type probedStore struct {
	citron.Store
	answers []int
}

func (s probedStore) Read(_ context.Context, p citron.Partition, _ citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	if slices.Contains(s.answers, p.Number) {
		return citron.KeyedBatch{}, nil
	}
	return citron.KeyedBatch{}, citron.ErrUnavailable
}

// Guards against a holder cut off from the store that others learn of only once its append has been given up.
func TestUnansweredAppendCountsAsUnavailableStoreBeforeItIsGivenUp(t *testing.T) {
	s := newHeldStore()
	h := newSlowHolder(s, 1)
	h.appendLatency.Store(0)
	clock := h.Timer.(*timer.Manual)
	clock.Advance(time.Second)
	ended := make(chan error, 1)
	go func() {
		_, err := h.appendOnce(context.Background(), h.openLogs[0], record("a"))
		ended <- err
	}()
	s.next(0)
	for clock.OpenSubscriptions() == 0 {
		runtime.Gosched()
	}
	clock.Advance(300 * time.Millisecond)
	s.next(1)
	for h.StoreUnavailableFor() == 0 {
		runtime.Gosched()
	}
	if got := h.StoreUnavailableFor(); got != 300*time.Millisecond {
		t.Errorf("store unavailable for %v while an append is unanswered for 300 ms, want that", got)
	}
	s.next(0).answer <- nil
	if err := <-ended; err != nil || h.StoreUnavailableFor() != 0 {
		t.Errorf("error %v, unavailable for %v after the answer, want none", err, h.StoreUnavailableFor())
	}
}
