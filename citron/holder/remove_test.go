package holder

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/work"
)

// removalStore keeps the records appended to each partition and answers no read of the jobs.
type removalStore struct {
	citron.Store
	mu       sync.Mutex
	appended map[citron.Partition][]citron.KeyedRecord
	// grown is closed and replaced at each append.
	grown chan struct{}
}

func (s *removalStore) Append(_ context.Context, p citron.Partition, records []citron.KeyedRecord, _ citron.Condition) (citron.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appended[p] = append(s.appended[p], records...)
	close(s.grown)
	s.grown = make(chan struct{})
	return citron.Offset(len(s.appended[p])), nil
}

func (s *removalStore) NewestPage(_ context.Context, p citron.Partition, _ string) (citron.NewestPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Topic == testJobs {
		return citron.NewestPage{Records: s.appended[p][:1], End: 1}, nil
	}
	return citron.NewestPage{}, nil
}

func (s *removalStore) Read(ctx context.Context, p citron.Partition, from citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	for {
		s.mu.Lock()
		records, grown := s.appended[p], s.grown
		s.mu.Unlock()
		if int(from) < len(records) && p.Topic != testJobs {
			return citron.KeyedBatch{Start: from, Records: records[from:], End: citron.Offset(len(records))}, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return citron.KeyedBatch{}, ctx.Err()
		}
	}
}

const (
	testJobs     citron.Topic = "jobs"
	testProgress citron.Topic = "progress"
)

// newViewHolder returns a holder of a pool with one worker, which follows a view that knows one job without progress.
func newViewHolder(t *testing.T) (*Holder, *removalStore) {
	t.Helper()
	s := &removalStore{appended: map[citron.Partition][]citron.KeyedRecord{}, grown: make(chan struct{})}
	clock := &timer.Immediate{}
	clock.Advance(time.Hour)
	h := &Holder{Store: s, Timer: clock, View: &view.View{}}
	for topic, tails := range map[citron.Topic]*[]*tail.Tail{testJobs: &h.JobTails, testProgress: &h.ProgressTails} {
		*tails = []*tail.Tail{{Store: s, Partition: citron.Partition{Topic: topic}, Timer: timer.System{}, Apply: h.View.NewSource().Apply}}
	}
	spec, err := proto.Marshal(&work.Job{
		ID: "j", Queue: "q", Terms: &work.Terms{Service: "svc", Attempts: 3},
		Steps: []*work.Step{{Tasks: 1, MilliCores: 1000, MemoryMb: 100, EstimateMs: 100}},
	})
	if err != nil {
		t.Fatal(err)
	}
	accepted := citron.KeyedRecord{Key: pool.JobKey + "j", Value: spec}
	s.appended[h.JobTails[0].Partition] = []citron.KeyedRecord{accepted}
	h.JobTails[0].Apply(citron.KeyedBatch{Records: []citron.KeyedRecord{accepted}}, true)
	hold(h, 1)
	return h, s
}

// hold begins an epoch with an empty pool, to which the view passes all jobs that it knows.
func hold(h *Holder, epoch citron.Epoch) {
	options := pool.Options{Lease: 4 * time.Second, MaxLease: 6 * time.Second, StartTimeout: time.Second, AnswerTimeout: 2 * time.Second, Retention: time.Minute}
	h.Pool = pool.New(options, epoch, &advice.Balancer{})
	h.Pool.ConfirmHeld(h.Timer.Now().Boot)
	h.Pool.MarkAllJobsKnown()
	h.View.SetListener(h.jobChanged)
}

func applyTo(h *Holder, records ...citron.KeyedRecord) {
	h.View.Apply(records...)
}

// renew passes a report of the only worker to the pool.
func renew(h *Holder, r citron.WorkerReport) {
	now := h.Timer.Now()
	h.Pool.UpdateWorkers(now, []citron.WorkerEntry{{ID: "w", Address: "w", Service: "svc", Capacity: citron.Capacity{MilliCores: 8000, MemoryMb: 8000}}})
	h.Pool.Renewed(now, "w", now.Boot, r, now.Boot)
	h.Pool.ConfirmHeld(now.Boot)
}

// plan plans once and passes the records to the view.
func plan(t *testing.T, h *Holder) pool.Effects {
	t.Helper()
	e, err := h.Pool.Plan(h.Timer.Now())
	if err != nil {
		t.Fatal(err)
	}
	applyTo(h, e.Records...)
	h.Pool.Committed(e)
	return e
}

// runToRemoval runs the only job to its end, waits until its retention is over and removes its records.
func runToRemoval(t *testing.T, h *Holder) {
	t.Helper()
	renew(h, citron.WorkerReport{})
	starts := plan(t, h).Starts
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	renew(h, citron.WorkerReport{Ended: []citron.EndedTask{{Number: 1, Task: starts[0].Order.Task, Run: 1, Kind: citron.EndDone}}})
	plan(t, h)
	if e, _ := h.View.Get("j"); e.State() != work.State_STATE_COMPLETED {
		t.Fatalf("state %v after the only task, want completed", e.State())
	}
	timer.Pause(context.Background(), h.Timer, 3*time.Minute)
	e := plan(t, h)
	if len(e.Expired) != 1 {
		t.Fatalf("%d expired jobs, want 1", len(e.Expired))
	}
	h.removeJobs(context.Background(), e.Expired)
}

// expectNoStart plans and fails on any start.
func expectNoStart(t *testing.T, h *Holder) {
	t.Helper()
	renew(h, citron.WorkerReport{})
	if starts := plan(t, h).Starts; len(starts) > 0 {
		t.Errorf("run %d of %s is started after its job has been completed and removed", starts[0].Order.Run, starts[0].Order.Task)
	}
}

func TestRemovedJobIsNotStartedAgain(t *testing.T) {
	for name, order := range map[string][]citron.Topic{
		"removal of the job is read first":      {testJobs, testProgress},
		"removal of the progress is read first": {testProgress, testJobs},
	} {
		t.Run(name, func(t *testing.T) {
			h, s := newViewHolder(t)
			runToRemoval(t, h)
			for _, topic := range order {
				applyTo(h, s.appended[citron.Partition{Topic: topic}]...)
				expectNoStart(t, h)
			}
			if _, known := h.View.Get("j"); known || h.View.Pending("q") != 0 {
				t.Errorf("removed job known %t, %d pending, want false and 0", known, h.View.Pending("q"))
			}
		})
	}
}

func TestRemovedJobIsNotStartedAgainIfTheJobsAreReadLate(t *testing.T) {
	h, s := newViewHolder(t)
	ctx, cancel := context.WithCancel(context.Background())
	jobs, progress := h.JobTails[0].Run(ctx), h.ProgressTails[0].Run(ctx)
	defer func() { cancel(); <-jobs; <-progress }()
	if err := h.JobTails[0].WaitFor(ctx, 1); err != nil {
		t.Fatal(err)
	}
	runToRemoval(t, h)
	if err := h.ProgressTails[0].WaitFor(ctx, citron.Offset(len(s.appended[citron.Partition{Topic: testProgress}]))); err != nil {
		t.Fatal(err)
	}
	expectNoStart(t, h)
}

func TestNewHolderDoesNotStartARemovedJob(t *testing.T) {
	h, s := newViewHolder(t)
	runToRemoval(t, h)
	applyTo(h, s.appended[citron.Partition{Topic: testProgress}]...)
	hold(h, 2)
	expectNoStart(t, h)
}

func TestNewHolderDoesNotStartAJobThatTheStoreHasDeleted(t *testing.T) {
	h, _ := newViewHolder(t)
	jobs := h.JobTails[0]
	// The job ends and is removed while this daemon does not read; its tails then load anew.
	jobs.Apply(citron.KeyedBatch{}, true)
	hold(h, 2)
	expectNoStart(t, h)
}
