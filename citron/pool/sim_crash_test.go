package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// simCrashes is what a simulation records of workers that crash under their tasks.
type simCrashes struct {
	// under counts the crashes under each task, later its starts after the third of them.
	under, later map[citron.TaskRef]int
	// failedRuns holds the failed runs of each task, and of each gang under the name of its step.
	failedRuns map[citron.TaskRef]map[int32]bool
}

// crashingJobs is the interval of the jobs of which one task crashes every worker that starts it.
const crashingJobs = 7

// simCrashDrain is added to simulations with crashing tasks, which take workers down after the other faults have ended.
const simCrashDrain = 15 * time.Second

// crashesWorkers reports whether a task crashes every worker that starts it.
func (w *world) crashesWorkers(ref citron.TaskRef) bool {
	if w.crashes == nil {
		return false
	}
	for n, j := range w.accepted {
		if j.GetID() == string(ref.Job()) {
			return n%crashingJobs == 0 && ref == TaskName(citron.JobID(j.GetID()), 0, 0, 0)
		}
	}
	return false
}

// crashAfterStart crashes the worker shortly after the start of a task that does so.
func (w *world) crashAfterStart(s *simWorker, ref citron.TaskRef) {
	if !w.crashesWorkers(ref) {
		return
	}
	id := s.entry.ID
	w.schedule(simStep, func() {
		if s.entry.ID == id && s.runs[ref] != nil {
			s.crash(time.Duration(500+w.rng.IntN(3000)) * time.Millisecond)
		}
	})
}

// recordCrash counts the crash of a worker under each task on it.
func (s *simWorker) recordCrash() {
	if s.world.crashes == nil {
		return
	}
	for ref := range s.runs {
		s.world.crashes.under[ref]++
	}
}

// crash ends all runs of a worker, which is back after a while as another one.
func (s *simWorker) crash(down time.Duration) {
	s.recordCrash()
	s.runs, s.ended = map[citron.TaskRef]*simRun{}, nil
	s.down = true
	life := s.startedAt
	s.world.schedule(down, func() {
		if s.startedAt == life {
			s.restart()
		}
	})
}

// checkCrashes checks that a task is no longer started once it has crashed three workers, but for orders under way.
func (w *world) checkCrashes(ref citron.TaskRef) {
	if !w.crashesWorkers(ref) || w.crashes.under[ref] < 3 {
		return
	}
	if w.crashes.later[ref]++; w.crashes.later[ref] >= 3 {
		w.fail("%s started three more times after three workers had crashed under it", ref)
	}
}

// recordFailure records a failed run. Members of a gang share the number of their run.
func (w *world) recordFailure(ref citron.TaskRef, run *simRun, how citron.EndKind) {
	if w.crashes == nil || how != citron.EndFailed {
		return
	}
	if run.gang > 0 {
		ref = citron.TaskRef(stepOf(ref))
	}
	if w.crashes.failedRuns[ref] == nil {
		w.crashes.failedRuns[ref] = map[int32]bool{}
	}
	w.crashes.failedRuns[ref][run.run] = true
}

// checkFailed checks that a job that is recorded as failed has used up its attempts or has a task under which two workers
// have crashed.
func (w *world) checkFailed(id citron.JobID) {
	if w.crashes == nil {
		return
	}
	for ref, runs := range w.crashes.failedRuns {
		if ref.Job() == id && len(runs) >= 4 {
			return
		}
	}
	for ref, n := range w.crashes.under {
		if ref.Job() == id && n >= 2 {
			return
		}
	}
	w.fail("job %s is recorded as failed without cause", id)
}

// recordCrashes adds tasks that crash their workers to a simulation.
func (w *world) recordCrashes() {
	w.crashes = &simCrashes{under: map[citron.TaskRef]int{}, later: map[citron.TaskRef]int{}, failedRuns: map[citron.TaskRef]map[int32]bool{}}
}

// Guards against jobs that fail with attempts left, as when several members of a gang fail in one run: for some seconds two
// workers fail all that they start, while the pool changes hands.
func TestJobsFailOnlyWithoutAttemptsLeft(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		w := newWorld(seed, noMutant, nil)
		w.failsTogether = true
		w.recordCrashes()
		if violation := w.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// Guards against tasks that crash worker after worker while the pool changes hands, and against jobs that fail because a
// worker crashed under them once.
func TestCrashingTasksAreGivenUpAcrossChangesOfHolder(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		w := newWorld(seed, noMutant, nil)
		if seed%2 == 1 {
			w.keepIDs()
		}
		w.recordCrashes()
		if violation := w.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}
