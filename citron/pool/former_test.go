package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// lose has a worker fall silent until its tasks are given up and placed on other workers. Those answer.
func (r *rig) lose(id citron.Worker, others ...citron.Worker) (restarted []Start) {
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
	r.t.Fatalf("the tasks of %s were not given up", id)
	return nil
}

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
			restarted := r.lose(lost, other)
			r.ends[lost] = 1
			r.report(lost, citron.WorkerReport{Ended: []citron.EndedTask{{Number: 1, Task: first.Order.Task, Run: first.Order.Run, Kind: citron.EndDone}}})
			e := r.plan()
			if len(e.Stops) != len(restarted) {
				t.Errorf("%d stops, the %d later runs are needless", len(e.Stops), len(restarted))
			}
			if len(e.Starts) != 1 || e.Starts[0].Order.Task != "j.0.1.0" {
				t.Fatalf("starts %v, the next step is due", e.Starts)
			}
			if used := r.p.workers[other].used.MilliCores; used < 16_000 {
				t.Errorf("%d millicores of the later runs are booked before they have ended", used)
			}
			for _, s := range restarted {
				r.end(s, citron.EndStopped)
			}
			r.end(e.Starts[0], citron.EndDone)
			r.plan()
			if r.state("j") != work.State_STATE_COMPLETED {
				t.Errorf("job is %v", r.state("j"))
			}
		})
	}
}

func TestFailureOfARunThatWasGivenUpCountsOnce(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	spec := func() *work.Job { return newJob("j", newStep(1, 20)) } // of 3 attempts
	r.accept(spec())
	first := r.plan().Starts[0]
	lost, other := first.Worker.ID, ids[0]
	if other == lost {
		other = ids[1]
	}
	restarted := r.lose(lost, other)
	r.ends[lost] = 1
	failure := citron.WorkerReport{Ended: []citron.EndedTask{{Number: 1, Task: first.Order.Task, Run: 1, Kind: citron.EndFailed}}}
	r.report(lost, failure)
	r.plan()
	if got := len(r.progress("j").GetOpen()[0].GetTasks()[0].GetFailedRuns()); got != 1 {
		t.Fatalf("%d failures recorded", got)
	}

	// The next holder hears of it again.
	r.takeOver()
	r.p.MarkAllJobsKnown()
	r.accept(spec())
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{first.Worker, restarted[0].Worker})
	r.report(lost, failure)
	r.report(other, citron.WorkerReport{Running: []citron.RunningTask{{Task: restarted[0].Order.Task, Run: 2}}})
	r.plan()
	if got := len(r.progress("j").GetOpen()[0].GetTasks()[0].GetFailedRuns()); got != 1 {
		t.Fatalf("%d failures recorded after the change of holder", got)
	}
	r.end(restarted[0], citron.EndFailed)
	third := r.plan().Starts
	if len(third) != 1 {
		t.Fatalf("%d starts after the second of three attempts", len(third))
	}
	r.end(third[0], citron.EndFailed)
	r.plan()
	if r.state("j") != work.State_STATE_FAILED {
		t.Errorf("job is %v after three failures", r.state("j"))
	}
}
