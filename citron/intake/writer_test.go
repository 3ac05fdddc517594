package intake

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
)

// scriptedStore answers appends with the errors of a list in turn, then with success.
type scriptedStore struct {
	citron.Store
	mu      sync.Mutex
	errs    []error
	appends []int
	keys    []string
	// exhausted, if set, is called with the last of errs; block, if set, delays all answers until it is closed.
	exhausted func()
	block     chan struct{}
}

// Read answers no probe.
func (s *scriptedStore) Read(context.Context, citron.Partition, citron.Offset, time.Duration) (citron.KeyedBatch, error) {
	return citron.KeyedBatch{}, citron.ErrUnavailable
}

// appended reports whether an append has contained a key.
func (s *scriptedStore) appended(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.keys, key)
}

// count returns the number of appends so far.
func (s *scriptedStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.appends)
}

func (s *scriptedStore) Append(_ context.Context, p citron.Partition, records []citron.KeyedRecord, _ citron.Condition) (citron.Offset, error) {
	s.mu.Lock()
	s.appends = append(s.appends, p.Number)
	for _, r := range records {
		s.keys = append(s.keys, r.Key)
	}
	block := s.block
	s.mu.Unlock()
	if block != nil {
		<-block
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) == 0 {
		return 1, nil
	}
	err := s.errs[0]
	if s.errs = s.errs[1:]; len(s.errs) == 0 && s.exhausted != nil {
		s.exhausted()
	}
	return 0, err
}

func newWriter(errs ...error) (*Writer, *scriptedStore) {
	s := &scriptedStore{errs: errs}
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	return &Writer{Store: s, Timer: clock, Partitions: []citron.Partition{{Number: 0}, {Number: 1}, {Number: 2}}}, s
}

// advanceUntil advances the writer's timer until a condition holds.
func advanceUntil(w *Writer, done func() bool) {
	for !done() {
		w.Timer.(*timer.Manual).Advance(10 * time.Millisecond)
		runtime.Gosched()
	}
}

// awaitIdle advances the writer's timer until no append or pause is under way.
func awaitIdle(w *Writer) {
	idle := w.exchanges.Idle()
	advanceUntil(w, func() bool {
		select {
		case <-idle:
			return true
		default:
			return false
		}
	})
}

// write writes a record and waits for all appends, including those whose outcome is no longer needed.
func write(w *Writer) error {
	err := w.Write(context.Background(), citron.KeyedRecord{Key: "k", Value: []byte("v")})
	<-w.exchanges.Idle()
	return err
}

func TestWriterDistinguishesRejectedFromUnknown(t *testing.T) {
	w, _ := newWriter(citron.ErrRejected, citron.ErrRejected, citron.ErrRejected)
	if err := write(w); !errors.Is(err, citron.ErrRejected) {
		t.Errorf("every append rejected: error %v, want citron.ErrRejected", err)
	}
	w, s := newWriter(citron.ErrUnavailable, citron.ErrRejected, citron.ErrRejected)
	ended := make(chan error, 1)
	go func() { ended <- w.Write(context.Background(), citron.KeyedRecord{Key: "k"}) }()
	advanceUntil(w, func() bool { return s.count() >= 4 })
	err := <-ended
	awaitIdle(w)
	if err != nil || s.count() < 4 {
		t.Errorf("one append unanswered, two rejected, then success: error %v after %d appends, want none after 4 or more", err, s.count())
	}
	// The rejected copies are sent again while the first one may have been stored; that outlasts the caller.
	w, s = newWriter(citron.ErrUnavailable, citron.ErrRejected, citron.ErrRejected)
	ctx, cancel := context.WithCancel(context.Background())
	s.exhausted = cancel
	if err := w.Write(ctx, citron.KeyedRecord{Key: "k"}); !errors.Is(err, citron.ErrUnavailable) {
		t.Errorf("append that may have been stored: error %v, want citron.ErrUnavailable", err)
	}
}

// Guards against a record that is called unknown although it was never sent, since it waited behind others for too long.
func TestRecordThatWasNeverSentIsRejected(t *testing.T) {
	w, s := newWriter()
	w.batches = map[int]time.Duration{}
	for n := range maxBatches {
		w.batches[n] = w.Timer.Now().Boot
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := w.Write(ctx, citron.KeyedRecord{Key: "late"}); !errors.Is(err, citron.ErrRejected) {
		t.Errorf("error %v of a record that was not sent, want citron.ErrRejected", err)
	}
	if len(w.waiting) != 0 || s.count() != 0 {
		t.Errorf("%d records wait, %d appends; want none of a record that was given up", len(w.waiting), s.count())
	}
}

// Guards against a record that waits behind an append that is not answered.
func TestRecordDoesNotWaitBehindAnUnansweredAppend(t *testing.T) {
	w, s := newWriter()
	s.block = make(chan struct{})
	write := func(key string) {
		w.exchanges.Go(func(ctx context.Context) { _ = w.Write(ctx, citron.KeyedRecord{Key: key}) })
	}
	waiting := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.waiting)
	}
	write("first")
	for !s.appended("first") {
		runtime.Gosched()
	}
	write("second")
	for waiting() == 0 {
		runtime.Gosched()
	}
	w.Timer.(*timer.Manual).Advance(minBatchAge)
	w.mu.Lock()
	w.startBatchesLocked()
	w.mu.Unlock()
	if waiting() != 0 {
		t.Error("the second record waits while the first append is unanswered")
	}
	close(s.block)
	awaitIdle(w)
}

// Guards against callers that wait for an answer of a store that is silent, and are then told that the outcome is unknown.
func TestSilentStoreIsARejectionForWhatWasNotSent(t *testing.T) {
	w, s := newWriter()
	s.block = make(chan struct{})
	var answers atomic.Bool
	w.AnsweredSince = func(int, time.Duration) bool { return answers.Load() }
	w.exchanges.Go(func(ctx context.Context) { _ = w.Write(ctx, citron.KeyedRecord{Key: "sent"}) })
	advanceUntil(w, w.silent)
	if err := w.Write(t.Context(), citron.KeyedRecord{Key: "not sent"}); !errors.Is(err, citron.ErrRejected) || s.appended("not sent") {
		t.Errorf("error %v while the store is silent, appended %t; want citron.ErrRejected and false", err, s.appended("not sent"))
	}
	if err := w.AppendDirect(t.Context(), []citron.KeyedRecord{{Key: "relayed"}}); !errors.Is(err, citron.ErrRejected) || s.appended("relayed") {
		t.Errorf("error %v of a relayed record, want citron.ErrRejected", err)
	}
	close(s.block)
	answers.Store(true)
	awaitIdle(w)
	if err := write(w); err != nil {
		t.Errorf("error %v once the store answers, want none", err)
	}
}

// Guards against requests that each ask every partition and another daemon while the store rejects everything.
func TestStoreThatRejectsEverythingIsAskedOnceForEachRecord(t *testing.T) {
	w, s := newWriter(slices.Repeat([]error{citron.ErrRejected}, 6)...)
	relayed := 0
	w.Relay = func(context.Context, []citron.KeyedRecord) error { relayed++; return citron.ErrRejected }
	for range 4 {
		if err := write(w); !errors.Is(err, citron.ErrRejected) {
			t.Fatalf("error %v, want citron.ErrRejected", err)
		}
	}
	if len(s.appends) != 6 || relayed != 1 {
		t.Errorf("%d appends and %d relayed for four records, want 6 and 1", len(s.appends), relayed)
	}
	if err := write(w); err != nil {
		t.Errorf("error %v once the store accepts records, want none", err)
	}
}

func TestWriterFailsOverToAnotherPartition(t *testing.T) {
	w, s := newWriter(citron.ErrUnavailable)
	for range 2 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
	}
	if s.appends[0] != 0 || slices.Contains(s.appends[1:], 0) {
		t.Errorf("appended to partitions %v, want 0 once, then only others while they answer", s.appends)
	}
}

func TestWriterRelaysFirstAfterSuccessfulRelay(t *testing.T) {
	w, s := newWriter(citron.ErrRejected, citron.ErrRejected, citron.ErrRejected)
	relayed := 0
	w.Relay = func(context.Context, []citron.KeyedRecord) error { relayed++; return nil }
	for range 3 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
	}
	if relayed != 3 || len(s.appends) != len(w.Partitions) {
		t.Errorf("relayed %d times with %d direct appends, want 3 and one per partition", relayed, len(s.appends))
	}
}

func TestWriterFailsBackOnceFirstPartitionAnswers(t *testing.T) {
	w, s := newWriter(citron.ErrUnavailable)
	answers := false
	w.AnsweredSince = func(int, time.Duration) bool { return answers }
	for range 2 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
		if last := s.appends[len(s.appends)-1]; last == 0 {
			t.Error("appended to partition 0 although it has not answered since its failure")
		}
	}
	answers = true
	if err := write(w); err != nil {
		t.Fatal(err)
	}
	if last := s.appends[len(s.appends)-1]; last != 0 {
		t.Errorf("appended to partition %d after partition 0 answered again, want 0", last)
	}
}

// readableStore also answers reads, except of the partitions in silent.
type readableStore struct {
	*scriptedStore
	silent []int
	sizes  []int
}

func (s *readableStore) Read(_ context.Context, p citron.Partition, _ citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	if slices.Contains(s.silent, p.Number) {
		return citron.KeyedBatch{}, citron.ErrUnavailable
	}
	return citron.KeyedBatch{}, nil
}

func (s *readableStore) Append(ctx context.Context, p citron.Partition, records []citron.KeyedRecord, c citron.Condition) (citron.Offset, error) {
	s.mu.Lock()
	s.sizes = append(s.sizes, citron.SizeOf(records))
	s.mu.Unlock()
	return s.scriptedStore.Append(ctx, p, records, c)
}

func TestAppendsHaveALimitedSize(t *testing.T) {
	w, scripted := newWriter()
	s := &readableStore{scriptedStore: scripted}
	w.Store = s
	const count = 60
	done := make(chan error, count)
	w.mu.Lock()
	for n := range count {
		w.waiting = append(w.waiting, pendingWrite{citron.KeyedRecord{Key: fmt.Sprint(n), Value: make([]byte, maxBatchBytes/20)}, done})
	}
	w.startBatchesLocked()
	w.mu.Unlock()
	awaitIdle(w)
	for _, size := range s.sizes {
		if size > maxBatchBytes {
			t.Errorf("an append of %d bytes, want at most %d", size, maxBatchBytes)
		}
	}
	if len(done) != count {
		t.Errorf("%d records stored, want %d", len(done), count)
	}
	if one := batchSize([]pendingWrite{{record: citron.KeyedRecord{Value: make([]byte, 2*maxBatchBytes)}}}); one != 1 {
		t.Errorf("batch of %d with a record above the limit, want 1", one)
	}
}

// While the store is slow, each partition carries out a few appends a second. Many daemons that all use the first partition,
// or copy their records to all of them, would make it useless; so each moves to a partition of its own.
func TestSlowStoreMovesDaemonsToTheirHomePartitions(t *testing.T) {
	w, s := newWriter(citron.ErrUnavailable)
	w.Home = func() int { return 2 }
	answering := true
	w.AnsweredSince = func(int, time.Duration) bool { return answering }
	relayed := 0
	w.Relay = func(context.Context, []citron.KeyedRecord) error { relayed++; return nil }
	for range 2 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
		w.latency.Store(int64(2 * slowAppend))
	}
	if want := []int{0, 2, 2}; !slices.Equal(s.appends, want) || relayed != 0 {
		t.Errorf("appended to partitions %v, %d relayed; want %v, none relayed", s.appends, relayed, want)
	}
	// The store is quick again.
	w.latency.Store(int64(slowAppend / 2))
	if err := write(w); err != nil {
		t.Fatal(err)
	}
	if last := s.appends[len(s.appends)-1]; last != 0 {
		t.Errorf("appended to partition %d after the store became quick, want 0", last)
	}
	// A daemon that the store does not answer at all still relays.
	answering = false
	w.Store = &scriptedStore{errs: []error{citron.ErrRejected, citron.ErrRejected, citron.ErrRejected}}
	w.Store = &readableStore{scriptedStore: w.Store.(*scriptedStore), silent: []int{0, 1, 2}}
	if err := write(w); err != nil || relayed != 1 {
		t.Errorf("error %v, %d relayed; want none, 1", err, relayed)
	}
}

// If the store is slow for all, another daemon can append no sooner, and the copies that it sends make the store slower.
func TestSlowAppendsAreNotRelayed(t *testing.T) {
	w, scripted := newWriter(citron.ErrUnavailable, citron.ErrUnavailable)
	w.Store = &readableStore{scriptedStore: scripted, silent: []int{0, 1, 2}}
	w.Home = func() int { return 2 }
	w.AnsweredSince = func(int, time.Duration) bool { return true }
	w.Relay = func(context.Context, []citron.KeyedRecord) error {
		t.Error("relayed although the store answers this daemon")
		return nil
	}
	if err := write(w); err != nil {
		t.Fatal(err)
	}
}

// A caller may be told that its job was not taken only if no append can have stored it.
func TestUnansweredHomePartitionIsNotARefusal(t *testing.T) {
	for name, c := range map[string]struct {
		errs []error
		want error
	}{
		"first rejected, home unanswered": {[]error{citron.ErrRejected, citron.ErrUnavailable, citron.ErrRejected}, citron.ErrUnavailable},
		"first unanswered, home rejected": {[]error{citron.ErrUnavailable, citron.ErrRejected, citron.ErrRejected}, citron.ErrUnavailable},
		"all rejected":                    {[]error{citron.ErrRejected, citron.ErrRejected, citron.ErrRejected}, citron.ErrRejected},
		"last unanswered":                 {[]error{citron.ErrRejected, citron.ErrRejected, citron.ErrUnavailable}, citron.ErrUnavailable},
	} {
		w, s := newWriter(c.errs...)
		w.Home = func() int { return 2 }
		ctx, cancel := context.WithCancel(t.Context())
		if errors.Is(c.want, citron.ErrUnavailable) {
			s.exhausted = cancel
		}
		err := w.AppendDirect(ctx, []citron.KeyedRecord{{Key: "k"}})
		if !errors.Is(err, c.want) || c.want != citron.ErrRejected && errors.Is(err, citron.ErrRejected) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		cancel()
	}
}
