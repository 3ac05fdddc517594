package tail

import (
	"context"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
)

// log is a store with one partition whose reads the test answers.
type log struct {
	citron.Store
	newest chan citron.KeyedBatch
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

func (l *log) Newest(context.Context, citron.Partition) (citron.KeyedBatch, error) {
	return <-l.newest, nil
}

func (l *log) Read(ctx context.Context, _ citron.Partition, from citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	r := read{from, make(chan answer, 1)}
	select {
	case l.reads <- r:
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

func follow(t *testing.T) (*Tail, *log, chan []citron.KeyedRecord) {
	t.Helper()
	l := &log{newest: make(chan citron.KeyedBatch, 1), reads: make(chan read)}
	applied := make(chan []citron.KeyedRecord, 10)
	tail := &Tail{Store: l, Timer: timer.Service{}, Apply: func(b citron.KeyedBatch, _ bool) { applied <- b.Records }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := tail.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	l.newest <- citron.KeyedBatch{Records: []citron.KeyedRecord{{Key: "a"}}, End: 5}
	<-applied
	return tail, l, applied
}

func TestTailReadsOnFromTheNewestRecords(t *testing.T) {
	tail, l, applied := follow(t)
	r := <-l.reads
	if r.from != 5 {
		t.Fatalf("reads from %d", r.from)
	}
	r.answer <- answer{batch: citron.KeyedBatch{Start: 5, Records: []citron.KeyedRecord{{Key: "b"}, {Key: "c"}}, End: 7}}
	if records := <-applied; len(records) != 2 {
		t.Errorf("applied %v", records)
	}
	if err := tail.WaitFor(context.Background(), 7); err != nil {
		t.Error(err)
	}
	if r := <-l.reads; r.from != 7 {
		t.Errorf("reads on from %d", r.from)
	}
}

func TestDeletedRecordsAreReplacedByTheNewest(t *testing.T) {
	_, l, applied := follow(t)
	(<-l.reads).answer <- answer{err: citron.ErrRecordsDeleted}
	l.newest <- citron.KeyedBatch{Records: []citron.KeyedRecord{{Key: "z"}}, End: 90}
	if records := <-applied; records[0].Key != "z" {
		t.Errorf("applied %v", records)
	}
	if r := <-l.reads; r.from != 90 {
		t.Errorf("reads on from %d", r.from)
	}
}

// Played on the bench as trouble-1 of Ballyhoura: MIXED, since a read hung for seconds after the store was back.
func TestRefreshEndsAReadThatHangs(t *testing.T) {
	tail, l, _ := follow(t)
	<-l.reads
	tail.RestartRead()
	if r := <-l.reads; r.from != 5 {
		t.Errorf("reads again from %d", r.from)
	}
	if tail.Failing() {
		t.Error("an aborted read counts as failed")
	}
}

// Seen in incident inc-07de of Ben Salah: the pool changed hands at the moment at which the store was back for all.
func TestTailTellsHowLongTheStoreHasBeenBack(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	tail := &Tail{Timer: clock}
	if tail.HealthyFor() != 0 {
		t.Error("well before the first answer")
	}
	tail.note(nil)
	clock.Advance(time.Second)
	tail.note(nil)
	if got := tail.HealthyFor(); got != time.Second {
		t.Errorf("well for %v, want 1s", got)
	}
	tail.note(citron.ErrUnavailable)
	clock.Advance(time.Second)
	if tail.HealthyFor() != 0 {
		t.Error("well while reading fails")
	}
	tail.note(nil)
	clock.Advance(time.Millisecond)
	if got := tail.HealthyFor(); got != time.Millisecond {
		t.Errorf("well for %v after the store is back for 1ms", got)
	}
}

// TestReadsOnAtOnceWhileBehind: an answer is bounded in size, and a pause after each would let a reader fall behind
// for good.
func TestReadsOnAtOnceWhileBehind(t *testing.T) {
	l := &log{newest: make(chan citron.KeyedBatch, 1), reads: make(chan read)}
	paused := make(chan struct{})
	tail := &Tail{Store: l, Timer: neverDue{}, Pause: time.Hour, Apply: func(_ citron.KeyedBatch, fresh bool) {
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
	l.newest <- citron.KeyedBatch{End: 5}
	<-paused
	// The first read comes after a pause, which waiting for an offset cuts short.
	go func() { _ = tail.WaitFor(ctx, 7) }()
	one := citron.KeyedRecord{Key: "a"}
	for from := citron.Offset(5); from < 8; from++ {
		r := <-l.reads
		if r.from != from {
			t.Fatalf("read from %d, want %d", r.from, from)
		}
		r.answer <- answer{batch: citron.KeyedBatch{Start: from, Records: []citron.KeyedRecord{one}, End: 9}}
	}
}

// neverDue is a timer on which no pause ends.
type neverDue struct{ citron.Timer }

func (neverDue) Now() citron.Instant { return timer.Service{}.Now() }

func (neverDue) After(time.Duration) (c <-chan citron.Instant, stop func()) {
	return nil, func() {}
}
