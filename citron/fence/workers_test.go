package fence

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// worker is a worker with fencing. It can leave orders unanswered, and carry them out later.
type worker struct {
	incarnation citron.Incarnation
	highest     citron.Epoch
	// runs are the started runs, acked is the highest acknowledged end of the present life.
	runs  []citron.TaskRef
	acked int64
	// silent makes the next orders late, which are carried out by calling late.
	silent bool
	late   []func()
	renews []citron.RenewOrder
}

var _ citron.Workers = (*worker)(nil)

// fenced reports whether a token is refused, and records it otherwise.
func (w *worker) fenced(token citron.Epoch) bool {
	w.highest = max(w.highest, token)
	return token < w.highest
}

func (w *worker) Start(_ context.Context, _ *citron.WorkerEntry, o citron.StartOrder) (citron.StartOutcome, time.Duration, error) {
	if w.silent {
		w.late = append(w.late, func() { w.start(o) })
		return citron.StartUnknown, 0, citron.ErrUnavailable
	}
	return w.start(o), time.Second, nil
}

func (w *worker) start(o citron.StartOrder) citron.StartOutcome {
	if w.fenced(o.Epoch) {
		return citron.StartFenced
	}
	w.runs = append(w.runs, o.Task)
	return citron.Started
}

func (w *worker) Stop(_ context.Context, _ *citron.WorkerEntry, o citron.StopOrder) (time.Duration, error) {
	if w.fenced(o.Epoch) {
		return 0, citron.ErrFenced
	}
	return time.Second, nil
}

func (w *worker) Renew(_ context.Context, _ *citron.WorkerEntry, o citron.RenewOrder) (citron.WorkerReport, time.Duration, error) {
	if w.silent {
		w.late = append(w.late, func() { w.renew(o) })
		return citron.WorkerReport{}, 0, citron.ErrUnavailable
	}
	return w.renew(o)
}

func (w *worker) renew(o citron.RenewOrder) (citron.WorkerReport, time.Duration, error) {
	if w.fenced(o.Epoch) {
		return citron.WorkerReport{}, 0, citron.ErrFenced
	}
	w.renews = append(w.renews, o)
	w.acked = max(w.acked, o.Acked)
	return citron.WorkerReport{Incarnation: w.incarnation}, time.Second, nil
}

// restart begins the next life.
func (w *worker) restart() {
	*w = worker{incarnation: w.incarnation + 1, late: w.late}
}

// carryOutLate carries out the orders that were left unanswered.
func (w *worker) carryOutLate() {
	for _, carryOut := range w.late {
		carryOut()
	}
	w.late = nil
}

func newWorkers() (*worker, *Workers) {
	w := &worker{incarnation: 1}
	return w, &Workers{To: w, Tokens: Tokens{Epoch: Stride}}
}

var entry = &citron.WorkerEntry{ID: "w", Incarnation: 1}

// Guards against an acknowledgement that was meant for the former life of a worker and removes ends that the present one has
// not listed, and against a start that runs a task there that is done.
func TestUnansweredOrdersDoNotReachTheNextLife(t *testing.T) {
	w, orders := newWorkers()
	if _, _, err := orders.Renew(t.Context(), entry, citron.RenewOrder{}); err != nil {
		t.Fatal(err)
	}
	w.silent = true
	if _, _, err := orders.Renew(t.Context(), entry, citron.RenewOrder{Acked: 68, Deadline: time.Minute}); !errors.Is(err, citron.ErrUnavailable) {
		t.Fatalf("error %v, want citron.ErrUnavailable", err)
	}
	if outcome, _, _ := orders.Start(t.Context(), entry, citron.StartOrder{Task: "j.0.0.0"}); outcome != citron.StartUnknown {
		t.Fatalf("outcome %d, want StartUnknown", outcome)
	}
	w.restart()
	if r, _, err := orders.Renew(t.Context(), entry, citron.RenewOrder{}); err != nil || r.Incarnation != 2 {
		t.Fatalf("report %v, error %v; want that of the second life", r, err)
	}
	w.carryOutLate()
	if w.acked != 0 || len(w.runs) > 0 {
		t.Errorf("late orders have acknowledged ends up to %d and started %v in the next life, want neither", w.acked, w.runs)
	}
}

// Guards against late orders that reach the same life after a later order.
func TestUnansweredStartIsNotCarriedOutAfterALaterOrder(t *testing.T) {
	w, orders := newWorkers()
	w.silent = true
	_, _, _ = orders.Start(t.Context(), entry, citron.StartOrder{Task: "j.0.0.0"})
	w.silent = false
	if _, err := orders.Stop(t.Context(), entry, citron.StopOrder{Task: "j.0.0.0"}); err != nil {
		t.Fatal(err)
	}
	w.carryOutLate()
	if len(w.runs) > 0 {
		t.Errorf("late start of %v, want none", w.runs)
	}
}

// An answered order is not under way any more, but others with its token may be.
func TestReportOfANewLifeComesFromAnOrderWithAHigherToken(t *testing.T) {
	w, orders := newWorkers()
	for range 2 {
		if _, _, err := orders.Renew(t.Context(), entry, citron.RenewOrder{Acked: 3, Deadline: time.Minute}); err != nil {
			t.Fatal(err)
		}
	}
	w.restart()
	if _, _, err := orders.Renew(t.Context(), entry, citron.RenewOrder{Wait: time.Second}); err != nil {
		t.Fatal(err)
	}
	if len(w.renews) != 2 || w.renews[1] != (citron.RenewOrder{Epoch: Stride + 1}) {
		t.Errorf("the new life has received %v, want a second order with the next token, without a lease or an acknowledgement", w.renews)
	}
	if outcome, _, err := orders.Start(t.Context(), entry, citron.StartOrder{}); outcome != citron.StartUnknown || !errors.Is(err, citron.ErrFormerLife) || !errors.Is(err, citron.ErrRejected) {
		t.Errorf("start for the former life: outcome %d, error %v; want ErrFormerLife and ErrRejected", outcome, err)
	}
}

// A refusal for a higher token of this holder must not look as if another daemon had taken over.
func TestOvertakenOrdersAreSentAgain(t *testing.T) {
	for name, send := range map[string]func(ctx context.Context, orders *Workers) error{
		"start": func(ctx context.Context, orders *Workers) error {
			if outcome, _, err := orders.Start(ctx, entry, citron.StartOrder{}); outcome != citron.Started {
				return errors.Join(errors.New("not started"), err)
			}
			return nil
		},
		"stop": func(ctx context.Context, orders *Workers) error {
			_, err := orders.Stop(ctx, entry, citron.StopOrder{})
			return err
		},
		"renew": func(ctx context.Context, orders *Workers) error {
			_, _, err := orders.Renew(ctx, entry, citron.RenewOrder{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, orders := newWorkers()
			orders.To = &overtaken{worker: w, tokens: &orders.Tokens}
			if err := send(t.Context(), orders); err != nil {
				t.Error(err)
			}
		})
	}
}

// overtaken lets a later order reach the worker before the first one.
type overtaken struct {
	*worker
	tokens *Tokens
	done   bool
}

func (o *overtaken) overtake() {
	if !o.done {
		o.done = true
		o.tokens.RecordUnanswered("w", Stride)
		o.highest = Stride + 1
	}
}

func (o *overtaken) Start(ctx context.Context, to *citron.WorkerEntry, order citron.StartOrder) (citron.StartOutcome, time.Duration, error) {
	o.overtake()
	return o.worker.Start(ctx, to, order)
}

func (o *overtaken) Stop(ctx context.Context, to *citron.WorkerEntry, order citron.StopOrder) (time.Duration, error) {
	o.overtake()
	return o.worker.Stop(ctx, to, order)
}

func (o *overtaken) Renew(ctx context.Context, to *citron.WorkerEntry, order citron.RenewOrder) (citron.WorkerReport, time.Duration, error) {
	o.overtake()
	return o.worker.Renew(ctx, to, order)
}

// The holder must give up once another daemon has taken over, and before it uses the tokens of the next epoch.
func TestOtherHoldersAndTheLastTokenEndTheOrders(t *testing.T) {
	for name, prepare := range map[string]func(w *worker, orders *Workers){
		"another holder": func(w *worker, _ *Workers) { w.highest = 2 * Stride },
		"no token left":  func(_ *worker, orders *Workers) { orders.Tokens.RecordUnanswered("w", 2*Stride-1) },
	} {
		t.Run(name, func(t *testing.T) {
			w, orders := newWorkers()
			prepare(w, orders)
			if outcome, _, _ := orders.Start(t.Context(), entry, citron.StartOrder{}); outcome != citron.StartFenced {
				t.Errorf("start: outcome %d, want StartFenced", outcome)
			}
			if _, err := orders.Stop(t.Context(), entry, citron.StopOrder{}); !errors.Is(err, citron.ErrFenced) {
				t.Errorf("stop: error %v, want citron.ErrFenced", err)
			}
			if _, _, err := orders.Renew(t.Context(), entry, citron.RenewOrder{}); !errors.Is(err, citron.ErrFenced) {
				t.Errorf("renew: error %v, want citron.ErrFenced", err)
			}
		})
	}
}

// An order that nobody received cannot arrive late.
func TestOrdersThatWereNotReceivedDoNotRaiseTheToken(t *testing.T) {
	for _, err := range []error{citron.ErrRefused, citron.ErrRejected, citron.ErrWorkerGone} {
		orders := &Workers{To: failing{err}, Tokens: Tokens{Epoch: Stride}}
		_, _, _ = orders.Renew(t.Context(), entry, citron.RenewOrder{})
		_, _, _ = orders.Start(t.Context(), entry, citron.StartOrder{})
		if token, _ := orders.Tokens.Next("w"); token != Stride {
			t.Errorf("%v: token %d, want %d", err, token, Stride)
		}
	}
}

// failing fails every order.
type failing struct{ err error }

func (f failing) Start(context.Context, *citron.WorkerEntry, citron.StartOrder) (citron.StartOutcome, time.Duration, error) {
	return citron.StartUnknown, 0, f.err
}

func (f failing) Stop(context.Context, *citron.WorkerEntry, citron.StopOrder) (time.Duration, error) {
	return 0, f.err
}

func (f failing) Renew(context.Context, *citron.WorkerEntry, citron.RenewOrder) (citron.WorkerReport, time.Duration, error) {
	return citron.WorkerReport{}, 0, f.err
}
