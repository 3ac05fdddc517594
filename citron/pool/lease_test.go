package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

func TestLeaseEndsWithTheProof(t *testing.T) {
	r := newRig(t)
	w := r.workers(1)[0]
	proved := r.now.Boot
	r.p.ConfirmHeld(proved)
	for r.now.Boot < proved+2*testOptions.MaxLease {
		r.advance(500 * time.Millisecond)
		r.report(w, citron.WorkerReport{})
		_, o, _, _ := r.p.NextRenewal(r.now, w)
		if o.Deadline > proved+testOptions.MaxLease {
			t.Fatalf("lease until %v after the last proof, a new holder waits %v", o.Deadline-proved, testOptions.MaxLease)
		}
	}
	r.p.ConfirmHeld(r.now.Boot)
	if _, o, _, _ := r.p.NextRenewal(r.now, w); o.Deadline != r.now.Boot+testOptions.Lease {
		t.Errorf("lease until %v after now, must be %v once the pool is known to be held", o.Deadline-r.now.Boot, testOptions.Lease)
	}
}

// A new holder waits for leases that the former one could give until it was replaced.
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
			t.Fatalf("started elsewhere %v after the change of holder", r.now.Boot-adopted)
		}
		r.advance(100 * time.Millisecond)
	}
}

// An answer to a stop tells nothing of what else runs on the worker.
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
		t.Fatal("started on a worker whose runs are not known")
	}
	report := citron.WorkerReport{}
	for _, s := range running {
		report.Running = append(report.Running, citron.RunningTask{Task: s.Order.Task, Run: s.Order.Run})
	}
	r.report(w, report)
	if e := r.plan(); len(e.Starts) > 0 {
		t.Fatal("started beside a run of a job that is not read yet")
	}
}

func TestNewHolderEndsABrokenGang(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	spec := func() *work.Job { return newJob("j", newGang(2, 20)) }
	r.accept(spec())
	starts := r.plan().Starts
	if len(starts) != 2 {
		t.Fatalf("%d starts", len(starts))
	}
	r.end(starts[0], citron.EndStopped)
	r.plan() // The stop of the other member is lost with the holder.

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
		t.Errorf("stops %v, the member that still runs can never work", e.Stops)
	}
}

func TestSilentWorkerTakesNoTask(t *testing.T) {
	r := newRig(t)
	w := r.workers(1)[0]
	r.p.MarkUnresponsive(w)
	r.accept(newJob("j", newStep(1, 1)))
	if e := r.plan(); len(e.Starts) > 0 {
		t.Fatal("started on a worker that does not answer")
	}
	r.report(w, citron.WorkerReport{})
	if e := r.plan(); len(e.Starts) != 1 {
		t.Fatalf("%d starts after the worker has answered again", len(e.Starts))
	}
}

// A run that a report does not show may have ended, and be listed once earlier ends are acknowledged.
func TestPartialReportEndsNoRun(t *testing.T) {
	r := newRig(t)
	w := r.workers(1)[0]
	r.accept(newJob("j", newStep(1, 1)))
	r.plan()
	r.advance(time.Second)
	r.report(w, citron.WorkerReport{Partial: true})
	if e := r.plan(); len(e.Starts) > 0 {
		t.Fatal("started again on a report that does not list every end")
	}
}
