package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/crash"
	"github.com/citroncross/citroncross/schema/work"
)

// crashWorker ends a worker with all its runs, which refuses connections until a new one is at its address.
func (r *rig) crashWorker(id citron.Worker) {
	r.advance(10 * time.Millisecond)
	r.p.MarkRefused(r.now, id)
	r.advance(3 * time.Second)
	entry := r.p.workers[id].entry
	r.p.Gone(r.now, &entry)
	entry.ID += "'"
	entries := []citron.WorkerEntry{entry}
	for _, w := range r.p.byID {
		if w.entry.ID != id {
			entries = append(entries, w.entry)
		}
	}
	r.p.UpdateWorkers(r.now, entries)
	r.keepAlive()
}

// keepAlive lets every worker report the runs that the pool has on it.
func (r *rig) keepAlive() {
	for _, w := range append([]*worker(nil), r.p.byID...) {
		if w.gone {
			continue
		}
		var running []citron.RunningTask
		for _, t := range w.sortedTasks() {
			running = append(running, citron.RunningTask{Task: t.ref, Run: t.run})
		}
		r.report(w.entry.ID, citron.WorkerReport{Running: running})
	}
}

// playCrashes lets every run of the crashing tasks end its worker, and returns how often each task was started.
func (r *rig) playCrashes(plans int, crashes map[citron.TaskRef]bool) (starts map[citron.TaskRef]int) {
	starts = map[citron.TaskRef]int{}
	for range plans {
		crashed := map[citron.Worker]bool{}
		for _, s := range r.plan().Starts {
			starts[s.Order.Task]++
			if crashes[s.Order.Task] {
				crashed[s.Worker.ID] = true
			}
		}
		for id := range crashed {
			r.crashWorker(id)
		}
		r.advance(300 * time.Millisecond)
		r.keepAlive()
	}
	return starts
}

// Guards against a task that ends worker after worker without limit.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.accept(newJob("j", newStep(1, 1)))
	starts := r.playCrashes(12, map[citron.TaskRef]bool{"j.0.0.0": true})
	if n := starts["j.0.0.0"]; n > 5 {
		t.Errorf("%d starts, want no more than two after three workers have crashed", n)
	}
	if got := r.state("j"); got != work.State_STATE_FAILED {
		t.Errorf("state %v, want failed", got)
	}
}

// Guards against a count of crashes that is lost with its holder.
func TestCrashesOfWorkersAreCountedAcrossChangesOfHolder(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	j := newJob("j", newStep(1, 1))
	r.accept(j)
	starts := 0
	for range 6 {
		// The second plan records the crash of the first; its own is known only to the next holder.
		starts += r.playCrashes(2, map[citron.TaskRef]bool{"j.0.0.0": true})["j.0.0.0"]
		entries := []citron.WorkerEntry{}
		for _, w := range r.p.byID {
			if !w.gone {
				entries = append(entries, w.entry)
			}
		}
		r.takeOver()
		r.p.MarkAllJobsKnown()
		r.p.UpdateWorkers(r.now, entries)
		r.accept(j)
		for _, w := range append([]*worker(nil), r.p.byID...) {
			if !w.listed {
				r.p.Gone(r.now, &w.entry)
			}
		}
		r.keepAlive()
	}
	if starts > 5 {
		t.Errorf("%d starts, want no more than two after three workers have crashed", starts)
	}
}

// Guards against jobs that fail because their tasks ran beside one that crashed their workers.
func TestTasksBesideACrashingTaskAreNotGivenUp(t *testing.T) {
	r := newRig(t)
	r.workers(3)
	crashes := map[citron.TaskRef]bool{}
	for n := range 6 {
		crashes[TaskName(citron.JobID(fmt.Sprintf("bad%d", n)), 0, 0, 0)] = true
		r.accept(newJob(fmt.Sprintf("bad%d", n), newStep(1, 2)))
		r.accept(newJob(fmt.Sprintf("good%d", n), newStep(1, 2)))
	}
	r.playCrashes(80, crashes)
	for n := range 6 {
		if got := r.state(fmt.Sprintf("good%d", n)); got == work.State_STATE_FAILED {
			t.Errorf("good%d has failed, want it to run on", n)
		}
		if got := r.state(fmt.Sprintf("bad%d", n)); got != work.State_STATE_FAILED {
			t.Errorf("state of bad%d is %v, want failed", n, got)
		}
	}
}

// Guards against blaming a run that had outlived other starts for the crash that one of those caused.
func TestOnlyRunsThatHaveNotSettledAreSuspected(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.accept(newJob("old", newStep(1, 1)))
	r.plan()
	r.advance(time.Second)
	r.keepAlive()
	r.accept(newJob("new", newStep(1, 1)))
	r.crashWorker(r.plan().Starts[0].Worker.ID)
	for ref, want := range map[citron.TaskRef]bool{"old.0.0.0": false, "new.0.0.0": true} {
		if got := r.p.findTask(ref).crashes.Exclusive(); got != want {
			t.Errorf("%s suspected: %t, want %t", ref, got, want)
		}
	}
}

// Guards against workers that take no tasks as long as one runs there under which workers have crashed before.
func TestSettledTaskDoesNotCloseItsWorkerAfterManyCrashes(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.accept(newJob("old", newStep(1, 1)))
	old := r.p.steps["old.0.0"].tasks.at(0)
	for run := range int32(3) {
		old.crashes.Record(crash.Crash{Run: 100 + run, Begun: true})
	}
	r.p.watchSuspect(old)
	r.plan()
	r.advance(time.Second)
	r.keepAlive()
	r.accept(newJob("new", newStep(1, 1)))
	if n := len(r.plan().Starts); n != 1 {
		t.Errorf("%d starts beside a task that has run for a second, want 1", n)
	}
}

// Guards against blaming the runs on a worker that crashes some time after it was cut off.
func TestRunsOnASilentWorkerAreNotSuspected(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.accept(newJob("j", newStep(1, 1)))
	id := r.plan().Starts[0].Worker.ID
	r.p.MarkUnresponsive(id)
	r.advance(4 * time.Second)
	r.p.MarkRefused(r.now, id)
	r.p.Gone(r.now, &r.p.workers[id].entry)
	if h := r.p.findTask("j.0.0.0").crashes; h.Exclusive() || len(h.Runs) != 1 {
		t.Errorf("suspected: %t, crashes %v, want one crash without suspicion", h.Exclusive(), h.Runs)
	}
}

// Guards against taking the planned end of a worker for a crash.
func TestWorkerThatDrainsHasNotCrashed(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.accept(newJob("j", newStep(1, 1)))
	for range 8 {
		for _, s := range r.plan().Starts {
			entry := s.Worker
			entry.Draining, entry.Remaining = true, time.Minute
			entries := []citron.WorkerEntry{entry}
			for _, w := range r.p.byID {
				if w.entry.ID != entry.ID {
					entries = append(entries, w.entry)
				}
			}
			r.p.UpdateWorkers(r.now, entries)
			r.crashWorker(entry.ID)
		}
		r.keepAlive()
	}
	if got := r.state("j"); got == work.State_STATE_FAILED {
		t.Error("the job has failed, want it to run on")
	}
}
