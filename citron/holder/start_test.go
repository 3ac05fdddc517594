package holder

import (
	"context"
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/work"
)

// unhealthyAfterUnanswered starts the run at the first try without answering and refuses later tries.
type unhealthyAfterUnanswered struct {
	citron.Workers
	tries int
}

func (u *unhealthyAfterUnanswered) Start(context.Context, *citron.WorkerEntry, citron.StartOrder) (citron.StartOutcome, time.Duration, error) {
	u.tries++
	if u.tries == 1 {
		return citron.StartUnknown, 0, citron.ErrUnavailable
	}
	return citron.StartUnhealthy, 0, nil
}

// A worker may have started the run on an unanswered try, so its refusal of a later try must not place the task again.
func TestRefusalAfterUnansweredStartLeavesRunInDoubt(t *testing.T) {
	clock := &timer.Immediate{}
	clock.Advance(time.Hour)
	p := pool.New(pool.Options{Lease: 4 * time.Second, StartTimeout: 1500 * time.Millisecond, AnswerTimeout: 2 * time.Second}, 1, &advice.Balancer{})
	p.MarkAllJobsKnown()
	p.UpdateWorkers(clock.Now(), []citron.WorkerEntry{{ID: "w", Address: "a", Service: "s", Capacity: citron.Capacity{MilliCores: 1000}}})
	p.Renewed(clock.Now(), "w", clock.Now().Boot, citron.WorkerReport{}, time.Second)
	p.Accept(clock.Now(), &work.Job{ID: "j", Steps: []*work.Step{{Tasks: 1, MilliCores: 1000}}, Terms: &work.Terms{Service: "s"}}, nil)
	e, err := p.Plan(clock.Now())
	if err != nil || len(e.Starts) != 1 {
		t.Fatalf("first plan has %d starts, error %v; want 1 start", len(e.Starts), err)
	}
	h := &Holder{Workers: &unhealthyAfterUnanswered{}, Timer: clock, Pool: p, replan: make(chan struct{}, 1)}
	h.start(context.Background(), e.Starts[0], h.Timer.Now().Boot)
	clock.Advance(2 * time.Second)
	p.Renewed(clock.Now(), "w", clock.Now().Boot, citron.WorkerReport{Running: []citron.RunningTask{{Task: "j.0.0.0", Run: 1}}}, time.Second)
	if again, err := p.Plan(clock.Now()); err != nil || len(again.Starts) != 0 || len(again.Stops) != 0 {
		t.Errorf("starts %v, stops %v, error %v; want none, as the run of the first try is on the worker", again.Starts, again.Stops, err)
	}
}

// unresponsiveOnce leaves the first renew order unanswered.
type unresponsiveOnce struct {
	citron.Workers
	waits []time.Duration
	end   context.CancelFunc
}

func (u *unresponsiveOnce) Renew(_ context.Context, _ *citron.WorkerEntry, o citron.RenewOrder) (citron.WorkerReport, time.Duration, error) {
	u.waits = append(u.waits, o.Wait)
	if len(u.waits) == 1 {
		return citron.WorkerReport{}, 0, citron.ErrUnavailable
	}
	u.end()
	return citron.WorkerReport{Running: []citron.RunningTask{{Task: "j.0.0.0", Run: 1}}}, time.Second, nil
}

// After an unanswered renew order the next one must be answered without a long poll, so that the pool learns at once
// that the worker answers again.
func TestRenewAfterUnansweredOneHasNoLongPoll(t *testing.T) {
	clock := &timer.Immediate{}
	clock.Advance(time.Hour)
	p := pool.New(pool.Options{Lease: 4 * time.Second, StartTimeout: 1500 * time.Millisecond, AnswerTimeout: 2 * time.Second}, 1, &advice.Balancer{})
	p.UpdateWorkers(clock.Now(), []citron.WorkerEntry{{ID: "w", Address: "a", Service: "s", Capacity: citron.Capacity{MilliCores: 1000}}})
	p.Renewed(clock.Now(), "w", clock.Now().Boot, citron.WorkerReport{}, time.Second)
	p.Accept(clock.Now(), &work.Job{ID: "j", Steps: []*work.Step{{Tasks: 1, MilliCores: 1000}}, Terms: &work.Terms{Service: "s"}}, nil)
	e, err := p.Plan(clock.Now())
	if err != nil || len(e.Starts) != 1 {
		t.Fatalf("first plan has %d starts, error %v; want 1 start", len(e.Starts), err)
	}
	p.Started(clock.Now(), e.Starts[0], citron.Started, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	w := &unresponsiveOnce{end: cancel}
	h := &Holder{Workers: w, Timer: clock, Pool: p, replan: make(chan struct{}, 1), LastConfirmed: func() time.Duration { return clock.Now().Boot }}
	h.poll(ctx, "w", &poll{wakeup: make(chan struct{}, 1)})
	if len(w.waits) != 2 || w.waits[0] != pollWait || w.waits[1] != 0 {
		t.Errorf("long-poll times %v, want that of a busy worker, then 0", w.waits)
	}
}

// payloadWorkers rejects starts whose payload is not known yet and records the others.
type payloadWorkers struct {
	citron.Workers
	rejected func()
	payloads []string
}

func (w *payloadWorkers) Start(_ context.Context, _ *citron.WorkerEntry, o citron.StartOrder) (citron.StartOutcome, time.Duration, error) {
	if o.PayloadOmitted {
		w.rejected()
		return citron.StartUnknown, 0, citron.ErrRejected
	}
	w.payloads = append(w.payloads, o.Payload)
	return citron.Started, time.Second, nil
}

// A start of a job that is known only without its payload must never reach a worker without it; nor may it count as unanswered,
// since nothing was sent.
func TestStartWaitsForThePayload(t *testing.T) {
	for name, known := range map[string]bool{"read meanwhile": true, "never read": false} {
		clock := &timer.Immediate{}
		clock.Advance(time.Hour)
		p := pool.New(pool.Options{Lease: 4 * time.Second, StartTimeout: 1500 * time.Millisecond, AnswerTimeout: 2 * time.Second}, 1, &advice.Balancer{})
		p.MarkAllJobsKnown()
		p.UpdateWorkers(clock.Now(), []citron.WorkerEntry{{ID: "w", Address: "a", Service: "s", Capacity: citron.Capacity{MilliCores: 1000}}})
		p.Renewed(clock.Now(), "w", clock.Now().Boot, citron.WorkerReport{}, time.Second)
		job := &work.Job{ID: "j", Steps: []*work.Step{{Tasks: 1, MilliCores: 1000}}, Terms: &work.Terms{Service: "s"}, PayloadOmitted: true}
		p.Accept(clock.Now(), job, nil)
		e, err := p.Plan(clock.Now())
		if err != nil || len(e.Starts) != 1 {
			t.Fatalf("%s: plan has %d starts, error %v; want 1 start", name, len(e.Starts), err)
		}
		v := &view.View{}
		apply := func(key string, j *work.Job) {
			value, err := proto.Marshal(j)
			if err != nil {
				t.Fatal(err)
			}
			v.Apply(citron.KeyedRecord{Key: key, Value: value})
		}
		apply(pool.BriefKey+"j", job)
		w := &payloadWorkers{rejected: func() {
			if known {
				apply(pool.JobKey+"j", &work.Job{ID: "j", Payload: "p"})
			}
		}}
		h := &Holder{Workers: w, Timer: clock, Pool: p, View: v, replan: make(chan struct{}, 1)}
		h.start(context.Background(), e.Starts[0], h.Timer.Now().Boot)
		again, err := p.Plan(clock.Now())
		if err != nil {
			t.Fatal(err)
		}
		if known && (len(w.payloads) != 1 || w.payloads[0] != "p" || len(again.Starts) != 0) {
			t.Errorf("%s: started with payloads %q, then planned %d starts; want one with p and none", name, w.payloads, len(again.Starts))
		}
		clock.Advance(time.Second)
		if again, err = p.Plan(clock.Now()); err != nil {
			t.Fatal(err)
		}
		if !known && (len(w.payloads) != 0 || len(again.Starts) != 1 || len(again.Stops) != 0) {
			t.Errorf("%s: %d sent, then %d starts and %d stops planned; want none, then the start again", name, len(w.payloads), len(again.Starts), len(again.Stops))
		}
	}
}

// fencingWorkers have seen a higher epoch.
type fencingWorkers struct{ citron.Workers }

func (fencingWorkers) Renew(context.Context, *citron.WorkerEntry, citron.RenewOrder) (citron.WorkerReport, time.Duration, error) {
	return citron.WorkerReport{}, 0, citron.ErrFenced
}

// TestFencedRenewalEndsAHolderThatDoesNotReachTheStore guards against a former holder that renews leases until the store tells it that
// another daemon has taken over.
func TestFencedRenewalEndsAHolderThatDoesNotReachTheStore(t *testing.T) {
	clock := &timer.Immediate{}
	clock.Advance(time.Hour)
	p := pool.New(pool.Options{Lease: 4 * time.Second, AnswerTimeout: 2 * time.Second}, 1, &advice.Balancer{})
	p.UpdateWorkers(clock.Now(), []citron.WorkerEntry{{ID: "w", Address: "a", Service: "s", Capacity: citron.Capacity{MilliCores: 1000}}})
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	h := &Holder{Workers: fencingWorkers{}, Timer: clock, Pool: p, replan: make(chan struct{}, 1), giveUp: cancel, LastConfirmed: func() time.Duration { return clock.Now().Boot }}
	h.poll(ctx, "w", &poll{wakeup: make(chan struct{}, 1)})
	if !errors.Is(context.Cause(ctx), citron.ErrFenced) {
		t.Errorf("the holder ended with %v, want that it is fenced", context.Cause(ctx))
	}
}

// restarted refuses each start because a later life of the worker has answered.
type restarted struct {
	citron.Workers
	tries int
}

func (r *restarted) Start(context.Context, *citron.WorkerEntry, citron.StartOrder) (citron.StartOutcome, time.Duration, error) {
	r.tries++
	return citron.StartUnknown, 0, errors.Join(citron.ErrRejected, citron.ErrFormerLife)
}

// A start that was meant for a life of the worker that has ended must not be repeated until it times out, and its task may start
// elsewhere, since no try was sent.
func TestStartForAFormerLifeIsNotRepeated(t *testing.T) {
	clock := &timer.Immediate{}
	clock.Advance(time.Hour)
	p := pool.New(pool.Options{Lease: 4 * time.Second, StartTimeout: 1500 * time.Millisecond, AnswerTimeout: 2 * time.Second}, 1, &advice.Balancer{})
	p.MarkAllJobsKnown()
	p.UpdateWorkers(clock.Now(), []citron.WorkerEntry{{ID: "w", Address: "a", Service: "s", Capacity: citron.Capacity{MilliCores: 1000}}})
	p.Renewed(clock.Now(), "w", clock.Now().Boot, citron.WorkerReport{}, time.Second)
	p.Accept(clock.Now(), &work.Job{ID: "j", Steps: []*work.Step{{Tasks: 1, MilliCores: 1000}}, Terms: &work.Terms{Service: "s"}}, nil)
	e, err := p.Plan(clock.Now())
	if err != nil || len(e.Starts) != 1 {
		t.Fatalf("first plan has %d starts, error %v; want 1 start", len(e.Starts), err)
	}
	orders := &restarted{}
	h := &Holder{Workers: orders, Timer: clock, Pool: p, replan: make(chan struct{}, 1)}
	h.start(context.Background(), e.Starts[0], h.Timer.Now().Boot)
	if orders.tries != 1 {
		t.Errorf("%d tries, want 1", orders.tries)
	}
	clock.Advance(100 * time.Millisecond)
	p.Renewed(clock.Now(), "w", clock.Now().Boot, citron.WorkerReport{}, time.Second)
	if again, err := p.Plan(clock.Now()); err != nil || len(again.Starts) != 1 {
		t.Errorf("starts %v, error %v; want the task to start again", again.Starts, err)
	}
}

// Guards against late orders that reach the next life of an idle worker: it is polled every few seconds only, and until then it has not
// received an order that fences them.
func TestPollOfARestartedWorkerIsWoken(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	p := pool.New(pool.Options{}, 1, &advice.Balancer{})
	idle := &poll{wakeup: make(chan struct{}, 1)}
	h := &Holder{Timer: clock, Pool: p, replan: make(chan struct{}, 1), polls: map[citron.Worker]*poll{"w": idle}}
	for _, step := range []struct {
		incarnation citron.Incarnation
		woken       int
	}{{1, 0}, {1, 0}, {2, 1}} {
		h.UpdateWorkers([]citron.WorkerEntry{{ID: "w", Address: "a", Incarnation: step.incarnation}})
		if got := len(idle.wakeup); got != step.woken {
			t.Errorf("incarnation %d: woken %d times, want %d", step.incarnation, got, step.woken)
		}
	}
}
