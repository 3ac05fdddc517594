package pool

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/schema/work"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// largeJobs accepts jobs of 20,000 tasks and returns what they may take.
func largeJobs(r *rig, jobs int) (most int64) {
	for n := range jobs {
		j := newJob(fmt.Sprintf("large%d", n), newStep(20_000, 2))
		most += int64(admit.CostOf(j))
		r.accept(j)
	}
	return most
}

// Guards against holders that are killed one after the other, since accepted jobs take memory for each task that waits.
func TestWaitingTasksTakeLittleMemory(t *testing.T) {
	r := newRig(t)
	before := heapBytes()
	most := largeJobs(r, 48)
	r.plan()
	if took := heapBytes() - before; took > most {
		t.Errorf("48 jobs of 20,000 waiting tasks take %d MB, want at most %d MB", took>>20, most>>20)
	}
	runtime.KeepAlive(r)
}

// endAll reports the success of all runs that a plan has started, in one report of each worker.
func (r *rig) endAll(starts []Start) {
	ended := map[citron.Worker][]citron.EndedTask{}
	for _, s := range starts {
		id := s.Worker.ID
		r.lastEnd[id]++
		ended[id] = append(ended[id], citron.EndedTask{Number: r.lastEnd[id], Task: s.Order.Task, Run: s.Order.Run, Kind: citron.EndDone})
	}
	for id, list := range ended {
		r.report(id, citron.WorkerReport{Ended: list})
	}
}

// Guards against jobs that take memory for each task that has ended until the last one has.
func TestEndedTasksTakeLittleMemory(t *testing.T) {
	r := newRig(t)
	r.workers(50)
	before := heapBytes()
	most, done := largeJobs(r, 3), 0
	for done < 3*20_000-800 {
		starts := r.plan().Starts
		if len(starts) == 0 {
			t.Fatalf("nothing starts after %d ends", done)
		}
		r.endAll(starts)
		done += len(starts)
	}
	r.records, r.p.Observe = nil, nil
	if took := heapBytes() - before; took > most {
		t.Errorf("3 jobs of 20,000 tasks, of which %d have ended, take %d MB, want at most %d MB", done, took>>20, most>>20)
	}
	runtime.KeepAlive(r)
}

// Guards against tasks that run twice, since a new holder does not know that they have ended.
func TestEndedTasksAreKnownToTheNextHolder(t *testing.T) {
	for _, tasks := range []int32{10, 600} {
		r := newRig(t)
		r.workers(1)
		job := func() *work.Job { return newJob("j", newStep(tasks, 4), newGang(2, 4)) }
		r.accept(job())
		ran := map[citron.TaskRef]int{}
		for plans := 0; r.state("j") != work.State_STATE_COMPLETED; plans++ {
			if plans > int(tasks)+10 {
				t.Fatalf("%d tasks: the job has not ended after %d plans", tasks, plans)
			}
			starts := r.plan().Starts
			for _, s := range starts {
				ran[s.Order.Task]++
			}
			r.endAll(starts)
			r.plan() // Records the ends, and starts more tasks, whose runs the next holder adopts.
			running := r.p.workers["w00"].sortedTasks()
			r.takeOver()
			r.workers(1)
			r.accept(job())
			r.p.MarkAllJobsKnown()
			var ended []citron.EndedTask
			for _, task := range running {
				r.lastEnd["w00"]++
				ended = append(ended, citron.EndedTask{Number: r.lastEnd["w00"], Task: task.ref, Run: task.run, Kind: citron.EndDone})
				ran[task.ref]++
			}
			r.report("w00", citron.WorkerReport{Ended: ended})
		}
		for ref, n := range ran {
			if n != 1 {
				t.Errorf("%d tasks: %s has run %d times, want once", tasks, ref, n)
			}
		}
		if len(ran) != int(tasks)+2 {
			t.Errorf("%d tasks and a gang of 2: %d have run", tasks, len(ran))
		}
	}
}

// Guards against a cancelled job that is kept since its tasks count as waiting.
func TestCancelledJobOfWaitingTasksIsRemoved(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.accept(newJob("j", newStep(20_000, 4)))
	first := r.plan().Starts
	r.p.Cancel(r.now, "j")
	stops := r.plan().Stops
	if len(stops) != len(first) || len(first) == 0 {
		t.Fatalf("%d stops after %d starts", len(stops), len(first))
	}
	if waiting := r.p.LastPlan().WaitingTasks; waiting != 0 {
		t.Errorf("%d tasks of a cancelled job wait", waiting)
	}
	r.endAll(first)
	r.plan()
	if _, open := r.p.Explain(r.now, "j"); open || r.state("j") != work.State_STATE_CANCELLED {
		t.Errorf("open %t, state %v after the end of all runs; want a removed job", open, r.state("j"))
	}
}

// Guards against a holder whose memory is used up by runs that ask for nothing, any number of which fit on a worker.
func TestRunsUnderWayAreLimited(t *testing.T) {
	r := newRig(t)
	r.p.Options.MaxRuns = 10
	r.workers(2)
	idle := newStep(100, 0)
	idle.MemoryMb = 0
	r.accept(newJob("a", idle))
	first := r.plan().Starts
	if more := r.plan().Starts; len(first) != 10 || len(more) != 0 {
		t.Fatalf("%d and then %d starts, want 10 and none", len(first), len(more))
	}
	gang := newGang(15, 0)
	gang.MemoryMb = 0
	r.endAll(first)
	r.p.Cancel(r.now, "a")
	r.accept(newJob("g", gang))
	r.accept(newJob("h", gang))
	r.advance(time.Second)
	for _, id := range []citron.Worker{"w00", "w01"} {
		r.report(id, citron.WorkerReport{})
	}
	if starts := r.plan().Starts; len(starts) != 15 {
		t.Errorf("%d members of two gangs of 15 start, want all of one", len(starts))
	}
}
