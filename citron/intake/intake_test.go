package intake

import (
	"context"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/record"
	"github.com/citroncross/citroncross/schema/work"
)

func newRecord(t *testing.T, key string, m proto.Message) citron.KeyedRecord {
	t.Helper()
	value, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return citron.KeyedRecord{Key: key, Value: value}
}

// Guards against an entry that lacks progress which is loaded while the entry is looked up.
func TestProgressLoadedMeanwhileIsNotMissed(t *testing.T) {
	v := &view.View{}
	v.Apply(newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}))
	done := newRecord(t, pool.ProgressKey+"a", &work.Progress{JobID: "a", State: work.State_STATE_COMPLETED, Epoch: 1, Number: 1})
	s := &Service{View: v, ProgressTails: func() []*tail.Tail { v.Apply(done); return nil }}
	if e, _, certain := s.Find(context.Background(), "a"); certain && e.State() != work.State_STATE_COMPLETED {
		t.Errorf("state %v is certain, want completed or uncertain", e.State())
	}
}

// catchUpStore holds no job at first; the read of a catch-up (without a wait) finds one, which the tail then reads too.
type catchUpStore struct {
	citron.Store
	record citron.KeyedRecord
	found  chan struct{}
}

func (s *catchUpStore) NewestPage(context.Context, citron.Partition, string) (citron.NewestPage, error) {
	return citron.NewestPage{}, nil
}

func (s *catchUpStore) Read(ctx context.Context, _ citron.Partition, from citron.Offset, wait time.Duration) (citron.KeyedBatch, error) {
	if wait == 0 {
		close(s.found)
		return citron.KeyedBatch{Start: from, Records: []citron.KeyedRecord{s.record}, End: 1}, nil
	}
	select {
	case <-s.found:
	case <-ctx.Done():
		return citron.KeyedBatch{}, ctx.Err()
	}
	if from > 0 {
		<-ctx.Done()
		return citron.KeyedBatch{}, ctx.Err()
	}
	return citron.KeyedBatch{Start: from, Records: []citron.KeyedRecord{s.record}, End: 1}, nil
}

func (s *catchUpStore) Append(context.Context, citron.Partition, []citron.KeyedRecord, citron.Condition) (citron.Offset, error) {
	return 2, nil
}

func TestCancellationOfAJobThatIsOnlyFoundInTheStore(t *testing.T) {
	v := &view.View{}
	store := &catchUpStore{record: newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}), found: make(chan struct{})}
	p := citron.Partition{Topic: "jobs"}
	loaded := make(chan struct{})
	jobs := &tail.Tail{Store: store, Partition: p, Timer: timer.System{}, Apply: v.NewSource().Apply, Loaded: func(int, time.Duration) { close(loaded) }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := jobs.Run(ctx)
	defer func() { cancel(); <-ended }()
	<-loaded
	s := &Service{
		View: v, Tails: []*tail.Tail{jobs}, ProgressTails: func() []*tail.Tail { return []*tail.Tail{{}} },
		Writer: &Writer{Store: store, Partitions: []citron.Partition{p}, Timer: timer.System{}},
	}
	if refused := s.Cancel(ctx, "a"); refused != nil {
		_, known := v.Get("a")
		t.Errorf("refused (%v) although the job is known: %t", refused, known)
	}
}

// quietStore holds no records. Reads that wait hang, as on a slow store.
type quietStore struct{ citron.Store }

func (quietStore) NewestPage(context.Context, citron.Partition, string) (citron.NewestPage, error) {
	return citron.NewestPage{}, nil
}

func (quietStore) Read(ctx context.Context, _ citron.Partition, _ citron.Offset, wait time.Duration) (b citron.KeyedBatch, err error) {
	if wait > 0 {
		<-ctx.Done()
	}
	return b, ctx.Err()
}

// Guards against refused counts while the store is slow but answers.
func TestStaleCountIsBroughtUpToDateByTheStore(t *testing.T) {
	clock := &timer.Manual{}
	loaded := make(chan struct{})
	jobs := &tail.Tail{Store: quietStore{}, Timer: clock, Apply: func(citron.KeyedBatch, bool) {}, Loaded: func(int, time.Duration) { close(loaded) }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := jobs.Run(ctx)
	defer func() { cancel(); <-ended }()
	<-loaded
	s := &Service{View: &view.View{}, Tails: []*tail.Tail{jobs}, ProgressTails: func() []*tail.Tail { return nil }, Timer: clock}
	clock.Advance(MaxCountAge + time.Second)
	if _, ok := s.CountPendingHere("q"); ok {
		t.Error("a stale count is taken for current")
	}
	if _, refused := s.CountPending(ctx, "q"); refused != nil {
		t.Errorf("count refused (%v) although the store answers", refused)
	}
}

// TestJobThatTheStoreCannotHoldIsRefusedAtOnce guards against a record that the store refuses together with all others in its append, while
// their callers wait for an answer.
func TestJobThatTheStoreCannotHoldIsRefusedAtOnce(t *testing.T) {
	const most = 1000
	for _, size := range []int{most, most / 2} {
		store := &countingStore{}
		s := &Service{View: &view.View{}, Writer: &Writer{Store: store, Timer: timer.System{}, Partitions: []citron.Partition{{Topic: "jobs"}}}, MaxRecordBytes: most}
		refused := s.Submit(context.Background(), &work.Job{ID: "j", Payload: strings.Repeat("x", size)})
		switch tooLarge := size == most; {
		case tooLarge && (refused == nil || refused.Number != citron.RefusalBodyTooLarge || refused.Outcome != record.Outcome_OUTCOME_NOT_RUN || store.appends > 0):
			t.Errorf("job of %d bytes: refusal %v, %d appends, want a refusal at once", size, refused, store.appends)
		case !tooLarge && (refused != nil || store.appends != 1):
			t.Errorf("job of %d bytes: refusal %v, %d appends, want it to be stored", size, refused, store.appends)
		}
	}
}

// countingStore accepts and counts appends.
type countingStore struct {
	citron.Store
	appends int
}

func (s *countingStore) Append(context.Context, citron.Partition, []citron.KeyedRecord, citron.Condition) (citron.Offset, error) {
	s.appends++
	return 0, nil
}
