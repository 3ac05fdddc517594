package tail

import (
	"context"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
)

// scriptedStore is a store with one partition whose reads are answered by the test.
type scriptedStore struct {
	citron.Store
	newest chan citron.NewestPage
	reads  chan read
}

type read struct {
	from   citron.Offset
	answer chan answer
}

type answer struct {
	batch citron.KeyedBatch
	err   error
}

func (s *scriptedStore) NewestPage(context.Context, citron.Partition, string) (citron.NewestPage, error) {
	return <-s.newest, nil
}

func (s *scriptedStore) Read(ctx context.Context, _ citron.Partition, from citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	r := read{from, make(chan answer, 1)}
	select {
	case s.reads <- r:
	case <-ctx.Done():
		return citron.KeyedBatch{}, ctx.Err()
	}
	select {
	case a := <-r.answer:
		return a.batch, a.err
	case <-ctx.Done():
		return citron.KeyedBatch{}, ctx.Err()
	}
}

// startTail returns a running tail that has applied its first newest records and reads on from offset 5.
func startTail(t *testing.T) (*Tail, *scriptedStore, chan []citron.KeyedRecord) {
	t.Helper()
	s := &scriptedStore{newest: make(chan citron.NewestPage, 1), reads: make(chan read)}
	applied := make(chan []citron.KeyedRecord, 10)
	tail := &Tail{Store: s, Timer: timer.System{}, Apply: func(b citron.KeyedBatch, _ bool) { applied <- b.Records }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := tail.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	s.newest <- citron.NewestPage{Records: []citron.KeyedRecord{{Key: "a"}}, End: 5}
	<-applied
	return tail, s, applied
}

func TestReadsContinueAfterNewestRecords(t *testing.T) {
	tail, s, applied := startTail(t)
	r := <-s.reads
	if r.from != 5 {
		t.Fatalf("first read from offset %d, want 5", r.from)
	}
	r.answer <- answer{batch: citron.KeyedBatch{Start: 5, Records: []citron.KeyedRecord{{Key: "b"}, {Key: "c"}}, End: 7}}
	if records := <-applied; len(records) != 2 {
		t.Errorf("applied %v, want 2 records", records)
	}
	if err := tail.WaitFor(context.Background(), 7); err != nil {
		t.Error(err)
	}
	if r := <-s.reads; r.from != 7 {
		t.Errorf("next read from offset %d, want 7", r.from)
	}
}

func TestDeletedRecordsAreReplacedByTheNewest(t *testing.T) {
	_, s, applied := startTail(t)
	(<-s.reads).answer <- answer{err: citron.ErrRecordsDeleted}
	s.newest <- citron.NewestPage{Records: []citron.KeyedRecord{{Key: "z"}}, End: 90}
	if records := <-applied; records[0].Key != "z" {
		t.Errorf("applied %v, want the newest records", records)
	}
	if r := <-s.reads; r.from != 90 {
		t.Errorf("next read from offset %d, want 90", r.from)
	}
}

// A read hung for seconds on a dead connection after the store was available again. This broke rule MIXED of
// docs/PROOFS.md in bench scenario trouble-1 of Ballyhoura.
func TestRestartReadAbortsHangingRead(t *testing.T) {
	tail, s, _ := startTail(t)
	<-s.reads
	tail.RestartRead()
	if r := <-s.reads; r.from != 5 {
		t.Errorf("restarted read from offset %d, want 5", r.from)
	}
	if tail.Failing() {
		t.Error("Failing returned true after an aborted read, want false")
	}
}

// Guards against a store that counts as answering because a read was aborted here.
func TestAbortedReadIsNoAnswer(t *testing.T) {
	tail, s, _ := startTail(t)
	(<-s.reads).answer <- answer{err: citron.ErrUnavailable}
	<-s.reads
	before := tail.AnswerAge()
	tail.RestartRead()
	<-s.reads
	if !tail.Failing() || tail.AnswerAge() < before {
		t.Errorf("failing %t, last answer %v ago after an aborted read, want a failing tail and at least %v", tail.Failing(), tail.AnswerAge(), before)
	}
}

// After an outage of the store a holder may reach it a moment later than other daemons. It must not be replaced for that;
// seen in incident inc-07de of Ben Salah, where the pool changed hands when the store was available again.
func TestHealthyForStartsAnewAfterFailure(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	tail := &Tail{Timer: clock}
	if tail.HealthyFor() != 0 {
		t.Error("healthy before the first answer")
	}
	tail.recordResult(nil)
	clock.Advance(time.Second)
	tail.recordResult(nil)
	if got := tail.HealthyFor(); got != time.Second {
		t.Errorf("healthy for %v, want 1s", got)
	}
	tail.recordResult(citron.ErrUnavailable)
	clock.Advance(time.Second)
	if tail.HealthyFor() != 0 {
		t.Error("healthy while reads fail")
	}
	tail.recordResult(nil)
	clock.Advance(time.Millisecond)
	if got := tail.HealthyFor(); got != time.Millisecond {
		t.Errorf("healthy for %v after the store has answered for 1ms, want 1ms", got)
	}
}

// The size of an answer is limited, so a tail that paused after each answer might never catch up.
func TestNoPauseWhileBehind(t *testing.T) {
	s := &scriptedStore{newest: make(chan citron.NewestPage, 1), reads: make(chan read)}
	paused := make(chan struct{})
	tail := &Tail{Store: s, Timer: neverFires{}, Pause: time.Hour, Apply: func(_ citron.KeyedBatch, fresh bool) {
		if fresh {
			close(paused)
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := tail.Run(ctx)
	defer func() {
		cancel()
		<-ended
	}()
	s.newest <- citron.NewestPage{End: 5}
	<-paused
	// The first read follows a pause, which WaitFor ends.
	go func() { _ = tail.WaitFor(ctx, 7) }()
	record := citron.KeyedRecord{Key: "a"}
	for from := citron.Offset(5); from < 8; from++ {
		r := <-s.reads
		if r.from != from {
			t.Fatalf("read from offset %d, want %d", r.from, from)
		}
		r.answer <- answer{batch: citron.KeyedBatch{Start: from, Records: []citron.KeyedRecord{record}, End: 9}}
	}
}

// Guards against a claim that counts as confirmed although newer records, perhaps another claim, have not been read.
func TestPartialReadConfirmsNothing(t *testing.T) {
	clock := &timer.Manual{}
	s := &scriptedStore{newest: make(chan citron.NewestPage, 1), reads: make(chan read)}
	tail := &Tail{Store: s, Timer: clock, Apply: func(citron.KeyedBatch, bool) {}}
	s.newest <- citron.NewestPage{End: 5}
	readNext := func(b citron.KeyedBatch) {
		t.Helper()
		clock.Advance(time.Second)
		go func() { (<-s.reads).answer <- answer{batch: b} }()
		if _, err := tail.readOnce(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	clock.Advance(time.Second)
	if _, err := tail.readOnce(context.Background()); err != nil {
		t.Fatal(err)
	}
	record := []citron.KeyedRecord{{Key: "a"}}
	readNext(citron.KeyedBatch{Start: 5, Records: record, End: 7})
	if got := tail.CurrentAsOf(); got != time.Second {
		t.Errorf("current as of %v after one of two records, want 1s", got)
	}
	readNext(citron.KeyedBatch{Start: 6, Records: record, End: 7})
	if got := tail.CurrentAsOf(); got != 3*time.Second {
		t.Errorf("current as of %v after all records, want 3s", got)
	}
}

// neverFires is a timer whose subscriptions never fire.
type neverFires struct{ citron.Timer }

func (neverFires) Now() citron.Instant { return timer.System{}.Now() }

func (neverFires) After(time.Duration) (c <-chan citron.Instant, stop func()) {
	return nil, func() {}
}

// Guards against a pause that is read once: a daemon that takes the pool over must read more often from then on.
func TestPauseFollowsTheMoment(t *testing.T) {
	tail := &Tail{Pause: time.Second}
	if tail.pause() != time.Second {
		t.Errorf("pause %s, want the fixed one", tail.pause())
	}
	now := time.Minute
	tail.PauseNow = func() time.Duration { return now }
	for _, now = range []time.Duration{time.Minute, time.Millisecond} {
		if tail.pause() != now {
			t.Errorf("pause %s, want %s", tail.pause(), now)
		}
	}
}
