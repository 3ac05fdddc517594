package holder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/work"
)

// refusingStore refuses appends with some records, or all appends for some time. Appends are all or nothing.
type refusingStore struct {
	citron.Store
	mu      sync.Mutex
	refuses func(r citron.KeyedRecord) bool
	// broken is the number of appends that are refused whatever they contain.
	broken  int
	stored  map[string][]byte
	appends int
}

func (s *refusingStore) Append(_ context.Context, _ citron.Partition, records []citron.KeyedRecord, _ citron.Condition) (citron.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	if s.broken > 0 {
		s.broken--
		return 0, citron.ErrUnstorable
	}
	if slices.ContainsFunc(records, s.refuses) {
		return 0, citron.ErrUnstorable
	}
	for _, r := range records {
		s.stored[r.Key] = r.Value
	}
	return 0, nil
}

func (s *refusingStore) Read(context.Context, citron.Partition, citron.Offset, time.Duration) (citron.KeyedBatch, error) {
	return citron.KeyedBatch{}, nil
}

// startedTasks are workers that start each task that they are told to.
type startedTasks struct {
	citron.Workers
	mu    sync.Mutex
	tasks []citron.TaskRef
	// unstored counts the records that callers were shown although they are not stored.
	unstored int
}

func (w *startedTasks) Start(_ context.Context, _ *citron.WorkerEntry, o citron.StartOrder) (citron.StartOutcome, time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks = append(w.tasks, o.Task)
	return citron.Started, time.Second, nil
}

func (w *startedTasks) Stop(context.Context, *citron.WorkerEntry, citron.StopOrder) (time.Duration, error) {
	return time.Second, nil
}

// newRefusedHolder returns a holder with three jobs that wait and a worker.
func newRefusedHolder(s *refusingStore, w *startedTasks) *Holder {
	clock := &timer.Immediate{}
	clock.Advance(time.Hour)
	h := &Holder{Store: s, Workers: w, Timer: simTimer{clock}, Producer: "p", Pool: pool.New(pool.Options{Lease: time.Minute, MaxLease: time.Minute, AnswerTimeout: time.Minute, StartTimeout: time.Second}, 1, &advice.Balancer{}), Published: func(r citron.KeyedRecord) {
		if string(s.stored[r.Key]) != string(r.Value) {
			w.unstored++
		}
	}}
	h.ProgressTails = []*tail.Tail{{}}
	h.openLogs = []*partitionLog{{tail: h.ProgressTails[0]}}
	renew(h, citron.WorkerReport{})
	h.Pool.MarkAllJobsKnown()
	for _, id := range []string{"a", "bad", "c"} {
		h.Pool.Accept(h.Timer.Now(), &work.Job{ID: id, Queue: "q", Terms: &work.Terms{Service: "svc"}, Steps: []*work.Step{{Tasks: 1, MilliCores: 1000}}}, nil)
	}
	return h
}

// storePlan plans once, stores the records and sends the starts.
func storePlan(t *testing.T, h *Holder) {
	t.Helper()
	e, err := h.Pool.Plan(h.Timer.Now())
	if err != nil {
		t.Fatal(err)
	}
	refused, err := h.store(context.Background(), e.Records)
	if err != nil {
		t.Fatal(err)
	}
	h.setAside(refused)
	h.stored(e, refused)
	<-h.exchanges.Idle()
	h.Pool.Committed(e)
}

// TestRefusedRecordEndsItsJobOnly guards against one record that the store refuses for good, after which nothing is stored any more.
func TestRefusedRecordEndsItsJobOnly(t *testing.T) {
	refusals := 0
	s := &refusingStore{stored: map[string][]byte{}, refuses: func(r citron.KeyedRecord) bool {
		// The first record of the job is too large, that of its end is not.
		if r.Key != pool.ProgressKey+"bad" {
			return false
		}
		var p work.Progress
		if err := proto.Unmarshal(r.Value, &p); err != nil || !pool.IsTerminal(p.GetState()) {
			refusals++
			return true
		}
		return false
	}}
	w := &startedTasks{}
	h := newRefusedHolder(s, w)
	for range 3 {
		storePlan(t, h)
	}
	if slices.Sort(w.tasks); !slices.Equal(w.tasks, []citron.TaskRef{"a.0.0.0", "c.0.0.0"}) {
		t.Errorf("started %v, want the tasks of a and c", w.tasks)
	}
	var p work.Progress
	if err := proto.Unmarshal(s.stored[pool.ProgressKey+"bad"], &p); err != nil || p.GetState() != work.State_STATE_FAILED {
		t.Errorf("state %v of the job of the refused record, error %v, want failed", p.GetState(), err)
	}
	if refusals == 0 || s.stored[pool.ProgressKey+"a"] == nil || s.stored[pool.ProgressKey+"c"] == nil {
		t.Errorf("%d refusals, %d records stored, want the progress of a and c", refusals, len(s.stored))
	}
}

// TestRefusedStateIsNotPublished guards against callers who are shown a state that the next holder does not know.
func TestRefusedStateIsNotPublished(t *testing.T) {
	refusals := 0
	s := &refusingStore{stored: map[string][]byte{}, refuses: func(r citron.KeyedRecord) bool {
		var p work.Progress
		running := r.Key == pool.ProgressKey+"bad" && proto.Unmarshal(r.Value, &p) == nil && p.GetState() == work.State_STATE_RUNNING
		if running {
			refusals++
		}
		return running
	}}
	w := &startedTasks{}
	h := newRefusedHolder(s, w)
	for range 3 {
		storePlan(t, h)
	}
	if refusals == 0 || w.unstored > 0 {
		t.Errorf("%d refusals, %d records were published that are not stored, want none", refusals, w.unstored)
	}
}

// TestStoreThatRefusesEverythingIsAtFault guards against a failing store that makes the holder end all jobs.
func TestStoreThatRefusesEverythingIsAtFault(t *testing.T) {
	s := &refusingStore{stored: map[string][]byte{}, broken: 50, refuses: func(citron.KeyedRecord) bool { return false }}
	w := &startedTasks{}
	h := newRefusedHolder(s, w)
	storePlan(t, h)
	if len(w.tasks) != 3 || len(h.unstorable) != 0 {
		t.Errorf("%d tasks started, %d jobs ended, want 3 and 0", len(w.tasks), len(h.unstorable))
	}
}

// TestUnansweredAppendThatIsRefusedIsNotPending guards against a holder that repeats a refused append before each other one.
func TestUnansweredAppendThatIsRefusedIsNotPending(t *testing.T) {
	s := &scriptedStore{answer: func(n int, _ citron.Partition) error {
		switch n {
		case 1:
			return citron.ErrUnavailable
		case 2:
			return citron.ErrUnstorable
		}
		return nil
	}}
	h := newHolder(s, 1)
	if _, err := h.appendOnce(context.Background(), h.openLogs[0], record("a")); !errors.Is(err, citron.ErrUnavailable) {
		t.Fatalf("error %v, want no answer", err)
	}
	if err := h.append(context.Background(), record("b")); err != nil {
		t.Fatal(err)
	}
	if want := []string{"0:0:a", "0:0:a", "0:0:b"}; !slices.Equal(s.appends, want) {
		t.Errorf("appends %v, want %v", s.appends, want)
	}
}
