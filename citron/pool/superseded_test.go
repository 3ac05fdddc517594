package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// loseWorker advances time without answers of a worker, while the others report, until the worker's tasks have been
// given up and started elsewhere. It returns those starts.
func (r *rig) loseWorker(id citron.Worker, others ...citron.Worker) (restarted []Start) {
	for range 100 {
		r.advance(100 * time.Millisecond)
		for _, other := range others {
			r.report(other, citron.WorkerReport{Running: r.runsOn(other)})
		}
		restarted = append(restarted, r.plan().Starts...)
		if len(r.p.workers[id].tasks) == 0 && len(restarted) > 0 {
			return restarted
		}
	}
	r.t.Fatalf("the tasks of unresponsive worker %s were not given up after 100 steps of 100ms", id)
	return nil
}

// runsOn returns the runs that the pool has on a worker.
func (r *rig) runsOn(id citron.Worker) (running []citron.RunningTask) {
	for ref, t := range r.p.workers[id].tasks {
		running = append(running, citron.RunningTask{Task: ref, Run: t.run})
	}
	return running
}

func TestEndOfARunThatWasGivenUpCounts(t *testing.T) {
	for name, spec := range map[string]func() *work.Step{
		"task": func() *work.Step { return newStep(1, 20) },
		"gang": func() *work.Step { return newGang(2, 16) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			ids := r.workers(2)
			second := newStep(1, 1)
			second.After = []int32{0}
			r.accept(newJob("j", spec(), second))
			first := r.plan().Starts[0]
			lost, other := first.Worker.ID, ids[0]
			if other == lost {
				other = ids[1]
			}
			restarted := r.loseWorker(lost, other)
			r.lastEnd[lost] = 1
			r.report(lost, citron.WorkerReport{Ended: []citron.EndedTask{{Number: 1, Task: first.Order.Task, Run: first.Order.Run, Kind: citron.EndDone}}})
			e := r.plan()
			if len(e.Stops) != len(restarted) {
				t.Errorf("%d stops, want one for each of the %d later runs", len(e.Stops), len(restarted))
			}
			if len(e.Starts) != 1 || e.Starts[0].Order.Task != "j.0.1.0" {
				t.Fatalf("starts %v, want only the task of the next step", e.Starts)
			}
			if used := r.p.workers[other].used.MilliCores; used < 16_000 {
				t.Errorf("%d millicores are used by the later runs before they have ended, want at least 16000", used)
			}
			for _, s := range restarted {
				r.end(s, citron.EndStopped)
			}
			r.end(e.Starts[0], citron.EndDone)
			r.plan()
			if r.state("j") != work.State_STATE_COMPLETED {
				t.Errorf("job state %v, want completed", r.state("j"))
			}
		})
	}
}

func TestFailureOfARunThatWasGivenUpCountsOnce(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	spec := func() *work.Job { return newJob("j", newStep(1, 20)) } // newJob allows 3 attempts.
	r.accept(spec())
	first := r.plan().Starts[0]
	lost, other := first.Worker.ID, ids[0]
	if other == lost {
		other = ids[1]
	}
	restarted := r.loseWorker(lost, other)
	r.lastEnd[lost] = 1
	failure := citron.WorkerReport{Ended: []citron.EndedTask{{Number: 1, Task: first.Order.Task, Run: 1, Kind: citron.EndFailed}}}
	r.report(lost, failure)
	r.plan()
	if got := len(r.progress("j").GetOpen()[0].GetTasks()[0].GetFailedRuns()); got != 1 {
		t.Fatalf("%d failures recorded, want 1", got)
	}

	// The worker reports the failure again to the next holder.
	r.takeOver()
	r.p.MarkAllJobsKnown()
	r.accept(spec())
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{first.Worker, restarted[0].Worker})
	r.report(lost, failure)
	r.report(other, citron.WorkerReport{Running: []citron.RunningTask{{Task: restarted[0].Order.Task, Run: 2}}})
	r.plan()
	if got := len(r.progress("j").GetOpen()[0].GetTasks()[0].GetFailedRuns()); got != 1 {
		t.Fatalf("%d failures recorded after the change of holder, want 1", got)
	}
	r.end(restarted[0], citron.EndFailed)
	third := r.plan().Starts
	if len(third) != 1 {
		t.Fatalf("%d starts after the second of three attempts, want 1", len(third))
	}
	r.end(third[0], citron.EndFailed)
	r.plan()
	if r.state("j") != work.State_STATE_FAILED {
		t.Errorf("job state %v after three failures, want failed", r.state("j"))
	}
}
