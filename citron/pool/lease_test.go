package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

func TestLeaseIsBoundedByLastConfirmation(t *testing.T) {
	r := newRig(t)
	w := r.workers(1)[0]
	confirmed := r.now.Boot
	r.p.ConfirmHeld(confirmed)
	for r.now.Boot < confirmed+2*testOptions.MaxLease {
		r.advance(500 * time.Millisecond)
		r.report(w, citron.WorkerReport{})
		_, o, _, _ := r.p.NextRenewal(r.now, w)
		if o.Deadline > confirmed+testOptions.MaxLease {
			t.Fatalf("lease ends %v after the last confirmation, a new holder waits only %v", o.Deadline-confirmed, testOptions.MaxLease)
		}
	}
	r.p.ConfirmHeld(r.now.Boot)
	if _, o, _, _ := r.p.NextRenewal(r.now, w); o.Deadline != r.now.Boot+testOptions.Lease {
		t.Errorf("lease ends %v from now, want %v after a new confirmation", o.Deadline-r.now.Boot, testOptions.Lease)
	}
}

// The former holder may have renewed leases until it was replaced, so a new holder must wait for the longest lease
// before it starts tasks of an unreachable worker elsewhere.
func TestNewHolderWaitsForTheLongestLease(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.accept(newJob("j", newStep(1, 1)))
	r.plan()
	r.takeOver()
	r.accept(newJob("j", newStep(1, 1)))
	adopted := r.now.Boot
	other := citron.WorkerEntry{ID: "x", Address: "x", Service: "svc", Capacity: citron.Capacity{MilliCores: 32_000, MemoryMb: 64_000}}
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{other})
	for r.now.Boot <= adopted+testOptions.MaxLease {
		r.report("x", citron.WorkerReport{})
		if e := r.plan(); len(e.Starts) > 0 {
			t.Fatalf("task started elsewhere %v after the change of holder, before the longest lease has expired", r.now.Boot-adopted)
		}
		r.advance(100 * time.Millisecond)
	}
}

// An answer to a stop order does not show which other runs the worker has.
func TestWorkerIsUsedOnlyAfterItsReport(t *testing.T) {
	r := newRig(t)
	w := r.workers(1)[0]
	r.accept(newJob("cancelled", newStep(1, 1)))
	r.accept(newJob("unread", newStep(1, 31)))
	running := r.plan().Starts

	r.takeOver()
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{running[0].Worker})
	r.accept(newJob("cancelled", newStep(1, 1)))
	r.p.Cancel(r.now, "cancelled")
	for _, s := range r.plan().Stops {
		r.p.Stopped(r.now, s, r.now.Boot)
	}
	r.accept(newJob("next", newStep(1, 16)))
	if e := r.plan(); len(e.Starts) > 0 {
		t.Fatal("task started on a worker that has not reported its runs")
	}
	report := citron.WorkerReport{}
	for _, s := range running {
		report.Running = append(report.Running, citron.RunningTask{Task: s.Order.Task, Run: s.Order.Run})
	}
	r.report(w, report)
	if e := r.plan(); len(e.Starts) > 0 {
		t.Fatal("task started on a worker with a run of a job that has not been accepted yet")
	}
}

func TestNewHolderEndsABrokenGang(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	spec := func() *work.Job { return newJob("j", newGang(2, 20)) }
	r.accept(spec())
	starts := r.plan().Starts
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	r.end(starts[0], citron.EndStopped)
	r.plan() // The holder is replaced before it sends the stop of the other member.

	r.takeOver()
	r.p.MarkAllJobsKnown()
	r.accept(spec())
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{starts[0].Worker, starts[1].Worker})
	running := []citron.RunningTask{{Task: starts[1].Order.Task, Run: 1}}
	for _, id := range ids {
		report := citron.WorkerReport{}
		if id == starts[1].Worker.ID {
			report.Running = running
		}
		r.report(id, report)
	}
	r.advance(time.Second)
	e := r.plan()
	if len(e.Stops) != 1 || e.Stops[0].Order.Task != starts[1].Order.Task {
		t.Errorf("stops %v, want one for the remaining member of the broken gang", e.Stops)
	}
}

func TestUnresponsiveWorkerGetsNoTasks(t *testing.T) {
	r := newRig(t)
	w := r.workers(1)[0]
	r.p.MarkUnresponsive(w)
	r.accept(newJob("j", newStep(1, 1)))
	if e := r.plan(); len(e.Starts) > 0 {
		t.Fatal("task started on an unresponsive worker")
	}
	r.report(w, citron.WorkerReport{})
	if e := r.plan(); len(e.Starts) != 1 {
		t.Fatalf("%d starts after the worker answered again, want 1", len(e.Starts))
	}
}

// A run that is missing in a partial report may have ended; its end is reported once earlier ends are acknowledged.
func TestPartialReportEndsNoRun(t *testing.T) {
	r := newRig(t)
	w := r.workers(1)[0]
	r.accept(newJob("j", newStep(1, 1)))
	r.plan()
	r.advance(time.Second)
	r.report(w, citron.WorkerReport{Partial: true})
	if e := r.plan(); len(e.Starts) > 0 {
		t.Fatal("task started again after a partial report")
	}
}
