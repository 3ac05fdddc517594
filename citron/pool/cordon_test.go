package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

func TestCordonedWorkerGetsNoTasks(t *testing.T) {
	r := newRig(t)
	ids := r.workers(1)
	r.p.Cordon(ids)
	r.accept(newJob("j", newStep(1, 1)))
	if e := r.plan(); len(e.Starts) > 0 {
		t.Fatal("task started on a cordoned worker")
	}
	r.p.Cordon(nil)
	if e := r.plan(); len(e.Starts) != 1 {
		t.Fatalf("%d starts after the cordon was lifted, want 1", len(e.Starts))
	}
}

func TestEvictTasksStopsNoMoreThanAStepMayMiss(t *testing.T) {
	r := newRig(t)
	w := r.workers(1)[0]
	service := newStep(4, 1)
	service.Service, service.MayMiss = true, 2
	r.accept(newJob("s", service))
	r.accept(newJob("b", newStep(1, 1)))
	starts := r.plan().Starts
	report := citron.WorkerReport{}
	for _, s := range starts {
		report.Running = append(report.Running, citron.RunningTask{Task: s.Order.Task, Run: s.Order.Run, Percent: 100})
	}
	r.report(w, report)
	r.p.Cordon([]citron.Worker{w})
	r.p.EvictTasks(r.now, w)
	if e := r.plan(); len(e.Stops) != 3 {
		t.Errorf("%d stops, want 3: the batch task and 2 of 4 service tasks of which 2 may be missing", len(e.Stops))
	}
	r.advance(10 * time.Millisecond)
	r.p.EvictTasks(r.now, w)
	if e := r.plan(); len(e.Stops) != 0 {
		t.Errorf("%d more stops while 2 service tasks are missing, want none", len(e.Stops))
	}
	if n := r.p.RunCount(w); n != 5 {
		t.Errorf("%d runs on the worker before any has ended, want 5", n)
	}
}
