package pool

import (
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// newGangJob returns a job of one gang with two attempts, of which two members fit on a worker.
func newGangJob() *work.Job {
	j := newJob("g", newGang(4, 16))
	j.Terms.Attempts = 2
	return j
}

// failures returns a report of a worker on which all runs have failed.
func (r *rig) failures(id citron.Worker) (report citron.WorkerReport) {
	for _, t := range r.p.workers[id].sortedTasks() {
		r.lastEnd[id]++
		report.Ended = append(report.Ended, citron.EndedTask{Number: r.lastEnd[id], Task: t.ref, Run: t.run, Kind: citron.EndFailed})
	}
	return report
}

// replaceGangHolder begins a new epoch, whose holder has no reports of the workers yet.
func (r *rig) replaceGangHolder() {
	var entries []citron.WorkerEntry
	for _, w := range r.p.byID {
		entries = append(entries, w.entry)
	}
	r.takeOver()
	r.accept(newGangJob())
	r.p.MarkAllJobsKnown()
	r.p.UpdateWorkers(r.now, entries)
}

// stopMembers plans and lets a worker answer all stops, after which it reports no runs.
func (r *rig) stopMembers(id citron.Worker) {
	for _, s := range r.plan().Stops {
		r.p.Stopped(r.now, s, r.now.Boot)
	}
	r.report(id, citron.WorkerReport{})
}

// awaitRun plans until all members of the gang are on workers in the given run.
func (r *rig) awaitRun(run int32) {
	r.t.Helper()
	for range 10 {
		members := 0
		for _, running := range r.running("g") {
			if running == run {
				members++
			}
		}
		if members == 4 {
			return
		}
		r.advance(stepBackoff)
		r.plan()
	}
	r.t.Fatalf("runs %v, want run %d of 4 members; the job is %v", r.running("g"), run, r.state("g"))
}

// Guards against counting a run of a gang once for each member that fails in it.
func TestRunOfAGangIsOneAttempt(t *testing.T) {
	for name, fail := range map[string]func(r *rig, a, b citron.Worker){
		"members in one answer": func(r *rig, a, b citron.Worker) {
			r.report(a, r.failures(a))
			r.stopMembers(b)
		},
		"members in separate answers": func(r *rig, a, b citron.Worker) {
			r.report(a, r.failures(a))
			r.plan()
			r.report(b, r.failures(b))
		},
		"before and after a change of holder": func(r *rig, a, b citron.Worker) {
			later := r.failures(b)
			r.report(a, r.failures(a))
			r.plan()
			r.replaceGangHolder()
			r.report(a, citron.WorkerReport{})
			r.report(b, later)
		},
		"to two holders": func(r *rig, a, b citron.Worker) {
			first, second := r.failures(a), r.failures(b)
			r.report(a, first)
			r.report(b, second)
			r.plan()
			first.Running, second.Running = r.runsOn(a), r.runsOn(b)
			r.replaceGangHolder()
			r.report(a, first)
			r.report(b, second)
		},
		"a member after the run was given up": func(r *rig, a, b citron.Worker) {
			late := r.failures(b)
			r.report(a, r.failures(a))
			r.stopMembers(b)
			r.awaitRun(2)
			late.Running = r.runsOn(b)
			r.report(b, late)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			workers := r.workers(2)
			r.accept(newGangJob())
			if n := len(r.plan().Starts); n != 4 {
				t.Fatalf("%d starts, want those of 4 members", n)
			}
			fail(r, workers[0], workers[1])
			r.awaitRun(2)
			r.report(workers[0], r.failures(workers[0]))
			r.plan()
			if got := r.state("g"); got != work.State_STATE_FAILED {
				t.Errorf("state %v after two failed runs, want failed", got)
			}
		})
	}
}

// Guards against a record in several parts that restores a run of a gang as several attempts.
func TestRestoredRunOfAGangIsOneAttempt(t *testing.T) {
	r := newSplitRig(t)
	r.accept(newGangJob())
	r.plan()
	for _, w := range r.p.byID {
		r.report(w.entry.ID, r.failures(w.entry.ID))
	}
	r.plan()
	r.replaceHolder(newGangJob())
	member := r.p.findTask("g.0.0.0")
	if member == nil {
		t.Fatalf("the job is %v after one of two attempts", r.state("g"))
	}
	if n := len(member.step.gangFailures); n != 1 {
		t.Errorf("%d attempts restored, want 1", n)
	}
	if got := r.running("g"); len(got) != 4 {
		t.Errorf("runs %v after the first attempt, want 4", got)
	}
}

// Guards against adding up the crashes of several workers under one run of a gang.
func TestCrashesUnderOneRunOfAGangCountOnce(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.accept(newGangJob())
	crashed := map[citron.Worker]bool{}
	for _, s := range r.plan().Starts {
		crashed[s.Worker.ID] = true
	}
	if len(crashed) < 2 {
		t.Fatalf("the gang runs on %d workers, want several", len(crashed))
	}
	for id := range crashed {
		r.crashWorker(id)
	}
	r.plan()
	if got := r.state("g"); got == work.State_STATE_FAILED {
		t.Error("the job has failed after one run")
	}
	for member := range r.p.findTask("g.0.0.0").step.tasks.unsettled {
		if n := len(member.crashes.Runs); n > 1 {
			t.Errorf("%d crashes are counted under %s, want one at most", n, member.ref)
		}
	}
}
