package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// Incarnations of the worker in these tests.
const (
	firstLife citron.Incarnation = 1_000 + iota
	secondLife
)

// listLife lists the only worker with an incarnation.
func (r *rig) listLife(id citron.Worker, life citron.Incarnation) {
	entry := r.p.workers[id].entry
	entry.Incarnation = life
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{entry})
}

// reportLife passes an answer of one incarnation to a renew order that was sent just now.
func (r *rig) reportLife(id citron.Worker, life citron.Incarnation, report citron.WorkerReport) {
	report.Incarnation = life
	r.report(id, report)
}

// newLifeRig returns a rig with one worker in its first life, which has acknowledged ends up to 3.
func newLifeRig(t *testing.T) (r *rig, id citron.Worker) {
	r = newRig(t)
	id = r.workers(1)[0]
	r.listLife(id, firstLife)
	r.reportLife(id, firstLife, citron.WorkerReport{})
	r.accept(newJob("before", newStep(3, 1)))
	var ends []citron.EndedTask
	for n, s := range r.plan().Starts {
		ends = append(ends, citron.EndedTask{Number: int64(n + 1), Task: s.Order.Task, Run: s.Order.Run, Kind: citron.EndDone})
	}
	r.reportLife(id, firstLife, citron.WorkerReport{Ended: ends})
	r.plan()
	if got := r.state("before"); got != work.State_STATE_COMPLETED {
		t.Fatalf("state %v before the restart, want completed", got)
	}
	return r, id
}

// Guards against taking the ends of a worker that restarted under its id for ends that were applied in its former life.
func TestEndsAfterARestartUnderTheSameIDAreApplied(t *testing.T) {
	r, id := newLifeRig(t)
	r.reportLife(id, secondLife, citron.WorkerReport{})
	r.listLife(id, secondLife)
	r.accept(newJob("after", newStep(1, 1)))
	starts := r.plan().Starts
	if len(starts) != 1 {
		t.Fatalf("%d starts after the restart, want 1", len(starts))
	}
	r.reportLife(id, secondLife, citron.WorkerReport{Ended: []citron.EndedTask{{Number: 1, Task: "after.0.0.0", Run: 1, Kind: citron.EndDone}}})
	if e := r.plan(); len(e.Starts) > 0 {
		t.Errorf("starts %v, want none: the task is done", e.Starts)
	}
	if got := r.state("after"); got != work.State_STATE_COMPLETED {
		t.Errorf("state %v, want completed", got)
	}
}

// Guards against acknowledging ends of a new life that it has not listed yet.
func TestAcknowledgementsDoNotReachTheNextLifeOfAWorker(t *testing.T) {
	for name, report := range map[string]func(r *rig, id citron.Worker){
		"after an unanswered order": func(r *rig, id citron.Worker) { r.p.MarkUnresponsive(id) },
		"after a pause":             func(r *rig, _ citron.Worker) { r.advance(5 * time.Second) },
		"after an answered start":   func(r *rig, id citron.Worker) { r.startAfterFailure(id) },
		"once its entry is read":    func(r *rig, id citron.Worker) { r.listLife(id, secondLife) },
		"once it has answered":      func(r *rig, id citron.Worker) { r.reportLife(id, secondLife, citron.WorkerReport{}) },
		"after a plan from before":  func(r *rig, id citron.Worker) { r.committedAfterRestart(id) },
		"once entry and answer are known": func(r *rig, id citron.Worker) {
			r.listLife(id, secondLife)
			r.reportLife(id, secondLife, citron.WorkerReport{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, id := newLifeRig(t)
			r.reportLife(id, firstLife, citron.WorkerReport{Ended: []citron.EndedTask{{Number: 3, Task: "before.0.0.2", Run: 1, Kind: citron.EndDone}}})
			if _, o, _, _ := r.p.NextRenewal(r.now, id); o.Acked != 3 {
				t.Fatalf("ends up to %d are acknowledged before the restart, want 3", o.Acked)
			}
			report(r, id)
			if _, o, _, _ := r.p.NextRenewal(r.now, id); o.Acked != 0 {
				t.Errorf("ends up to %d are acknowledged, want none", o.Acked)
			}
		})
	}
}

// startAfterFailure lets an order fail and then a start be answered, which does not tell the life of the worker.
func (r *rig) startAfterFailure(id citron.Worker) {
	r.t.Helper()
	r.accept(newJob("late", newStep(1, 1)))
	e, err := r.p.Plan(r.now)
	if err != nil || len(e.Starts) != 1 {
		r.t.Fatalf("%d starts, error %v, want 1", len(e.Starts), err)
	}
	r.store(e)
	r.p.MarkUnresponsive(id)
	r.p.Started(r.now, e.Starts[0], citron.Started, r.now.Boot)
}

// committedAfterRestart stores a plan that acknowledges an end of the first life after the worker has restarted. Then the
// worker lists an end that is not recorded yet.
func (r *rig) committedAfterRestart(id citron.Worker) {
	r.t.Helper()
	r.accept(newJob("late", newStep(1, 1)))
	r.plan()
	r.reportLife(id, firstLife, citron.WorkerReport{Ended: []citron.EndedTask{{Number: 4, Task: "late.0.0.0", Run: 1, Kind: citron.EndDone}}})
	e, err := r.p.Plan(r.now)
	if err != nil {
		r.t.Fatal(err)
	}
	r.reportLife(id, secondLife, citron.WorkerReport{})
	r.store(e)
	r.reportLife(id, secondLife, citron.WorkerReport{Ended: []citron.EndedTask{{Number: 1, Task: "late.0.0.0", Run: 1, Kind: citron.EndStopped}}})
}

// Guards against starting a task elsewhere while an order under way may still start it on the restarted worker.
func TestRunsOfAFormerLifeAreStoppedBeforeTheyRunElsewhere(t *testing.T) {
	r, id := newLifeRig(t)
	r.accept(newJob("j", newStep(1, 1)))
	if n := len(r.plan().Starts); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
	r.reportLife(id, secondLife, citron.WorkerReport{})
	r.listLife(id, secondLife)
	e := r.plan()
	if len(e.Starts) != 0 || len(e.Stops) != 1 {
		t.Fatalf("%d starts, %d stops after the restart, want only a stop", len(e.Starts), len(e.Stops))
	}
	r.p.Stopped(r.now, e.Stops[0], r.now.Boot)
	r.reportLife(id, secondLife, citron.WorkerReport{})
	if e := r.plan(); len(e.Starts) != 1 || e.Starts[0].Order.Run != 2 {
		t.Errorf("starts %v, want run 2 once the stop is answered", e.Starts)
	}
}

// Guards against answers and entries of a former life that arrive after those of the next one.
func TestNewsOfAFormerLifeIsIgnored(t *testing.T) {
	r, id := newLifeRig(t)
	r.accept(newJob("j", newStep(2, 1)))
	first := r.plan().Starts
	sent := r.now.Boot
	r.reportLife(id, secondLife, citron.WorkerReport{})
	r.listLife(id, secondLife)
	r.listLife(id, firstLife)
	r.p.Renewed(r.now, id, sent, citron.WorkerReport{Incarnation: firstLife, Running: []citron.RunningTask{{Task: "j.0.0.0", Run: 1}}}, time.Minute)
	r.p.Started(r.now, first[1], citron.Started, time.Minute)
	for _, ref := range []citron.TaskRef{"j.0.0.0", "j.0.0.1"} {
		if got := r.p.findTask(ref).state; got == taskRunning {
			t.Errorf("%s counts as running, want not", ref)
		}
	}
	if w := r.p.workers[id]; w.entry.Incarnation != secondLife || w.clockOffset != 0 {
		t.Errorf("entry of life %d, clock offset %v, want those of the second life", w.entry.Incarnation, w.clockOffset)
	}
}

// Guards against a worker that is ignored for good, since an entry of a former life was taken for its next one.
func TestOutdatedEntryDoesNotHideTheNewestLife(t *testing.T) {
	r, id := newLifeRig(t)
	r.reportLife(id, secondLife+1, citron.WorkerReport{})
	r.listLife(id, secondLife)
	r.reportLife(id, secondLife+1, citron.WorkerReport{})
	r.listLife(id, secondLife+1)
	r.accept(newJob("j", newStep(1, 1)))
	if n := len(r.plan().Starts); n != 1 {
		t.Errorf("%d starts on the newest life, want 1", n)
	}
}

// Guards against a worker that is ignored since its clock was set back before it restarted.
func TestLifeWithAnEarlierStartIsNewIfItAnswersLater(t *testing.T) {
	r, id := newLifeRig(t)
	r.advance(time.Second)
	r.reportLife(id, firstLife-100, citron.WorkerReport{})
	if got := r.p.workers[id].incarnation; got != firstLife-100 {
		t.Errorf("life %d counts as the newest, want %d", got, firstLife-100)
	}
}

// Guards against losing the tasks of a worker that restarted at another address, since its former one belongs to another.
func TestWorkerThatMovedIsNotGone(t *testing.T) {
	r, id := newLifeRig(t)
	former, _, _, _ := r.p.NextRenewal(r.now, id)
	r.listLife(id, secondLife)
	r.reportLife(id, secondLife, citron.WorkerReport{})
	r.accept(newJob("j", newStep(1, 1)))
	r.plan()
	r.p.Gone(r.now, &former)
	if got := r.p.findTask("j.0.0.0").state; got != taskRunning {
		t.Errorf("the task is %s, want running", taskStateNames[got])
	}
}

// Guards against a worker that is unusable for good after another one was at its address.
func TestWorkerThatComesBackIsUsedAgain(t *testing.T) {
	r, id := newLifeRig(t)
	former, _, _, _ := r.p.NextRenewal(r.now, id)
	r.p.Gone(r.now, &former)
	r.listLife(id, secondLife)
	r.reportLife(id, secondLife, citron.WorkerReport{})
	r.accept(newJob("j", newStep(1, 1)))
	if n := len(r.plan().Starts); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// Guards against placing tasks by the entry of a former life, whose capacity and labels may differ.
func TestWorkerIsUsedOnlyWithTheEntryOfItsLife(t *testing.T) {
	r, id := newLifeRig(t)
	r.reportLife(id, secondLife, citron.WorkerReport{})
	r.accept(newJob("j", newStep(1, 1)))
	if n := len(r.plan().Starts); n != 0 {
		t.Fatalf("%d starts by the entry of the former life, want 0", n)
	}
	r.listLife(id, secondLife)
	if n := len(r.plan().Starts); n != 1 {
		t.Errorf("%d starts after the new entry, want 1", n)
	}
}

// Guards against a crash that is not counted since the next holder knows only the next life of the worker.
func TestCrashIsCountedThoughTheNextHolderSeesOnlyTheNextLife(t *testing.T) {
	r, id := newLifeRig(t)
	j := newJob("j", newStep(1, 1))
	r.accept(j)
	r.plan()
	entry := r.p.workers[id].entry
	r.takeOver()
	r.p.MarkAllJobsKnown()
	r.accept(j)
	entry.Incarnation = secondLife
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{entry})
	r.reportLife(id, secondLife, citron.WorkerReport{})
	if got := len(r.p.findTask("j.0.0.0").crashes.Runs); got != 1 {
		t.Errorf("%d crashes under the task, want 1", got)
	}
}

// Guards against a worker that tells its incarnation only after a restart, as after an upgrade.
func TestFirstIncarnationAfterReportsWithoutOneIsANewLife(t *testing.T) {
	r := newRig(t)
	id := r.workers(1)[0]
	r.accept(newJob("j", newStep(1, 1)))
	s := r.plan().Starts[0]
	r.end(s, citron.EndDone)
	r.plan()
	r.reportLife(id, secondLife, citron.WorkerReport{})
	if got := r.p.workers[id].processedEnd; got != 0 {
		t.Errorf("ends up to %d count as applied, want none", got)
	}
}

// Guards against a crash that is not counted since the runs had been given up before the worker was back.
func TestCrashIsCountedAfterItsLeaseHasLapsed(t *testing.T) {
	r, id := newLifeRig(t)
	r.accept(newJob("j", newStep(1, 1)))
	r.plan()
	r.p.MarkRefused(r.now, id)
	r.advance(10 * time.Second)
	r.plan()
	r.reportLife(id, secondLife, citron.WorkerReport{})
	if got := r.p.findTask("j.0.0.0").crashes; len(got.Runs) != 1 || !got.Exclusive() {
		t.Errorf("crashes %v, suspected: %t, want one crash with suspicion", got.Runs, got.Exclusive())
	}
}

// Guards against forgetting a suspicion while the run that it is about is being stopped on the next life of its worker.
func TestStoppedRunOfAFormerLifeDoesNotSettle(t *testing.T) {
	r, id := newLifeRig(t)
	r.accept(newJob("j", newStep(1, 1)))
	r.plan()
	r.p.MarkRefused(r.now, id)
	r.reportLife(id, secondLife, citron.WorkerReport{})
	for range 3 {
		r.advance(200 * time.Millisecond)
		r.p.Renewed(r.now, id, 0, citron.WorkerReport{Incarnation: secondLife}, r.now.Boot)
		r.plan()
	}
	if got := r.p.findTask("j.0.0.0"); got.state != taskStopping || !got.crashes.Exclusive() {
		t.Errorf("the task is %s, suspected: %t, want stopping and suspected", taskStateNames[got.state], got.crashes.Exclusive())
	}
}

// Guards against taking a run for settled by an answer that the next life of its worker gave to another order.
func TestAnswersOfTheNextLifeDoNotSettleARun(t *testing.T) {
	r, id := newLifeRig(t)
	r.accept(newJob("j", newStep(1, 1)))
	r.plan()
	r.advance(400 * time.Millisecond)
	r.accept(newJob("k", newStep(1, 1)))
	if n := len(r.plan().Starts); n != 1 {
		t.Fatalf("%d starts, want that of k", n)
	}
	if r.p.findTask("j.0.0.0").settled() {
		t.Error("the run has settled without a report since its start")
	}
	r.reportLife(id, firstLife, citron.WorkerReport{Running: []citron.RunningTask{{Task: "j.0.0.0", Run: 1}, {Task: "k.0.0.0", Run: 1}}})
	if !r.p.findTask("j.0.0.0").settled() {
		t.Error("the run has not settled with a report 400 ms after its start")
	}
}

// keepIDs makes the workers of a simulation restart under their ids.
func (w *world) keepIDs() {
	w.keepsIDs = true
	for _, s := range w.workers {
		s.tellIncarnation()
		s.listed = s.entry
	}
}

func TestInvariantsHoldWhileWorkersRestartUnderTheirID(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		w := newWorld(seed, noMutant, nil)
		w.keepIDs()
		if violation := w.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// violates reports whether a simulation of a mutant whose workers restart under their ids violates an invariant.
func violates(m mutant) bool {
	for seed := range uint64(simulationSeeds) {
		w := newWorld(seed, m, nil)
		w.keepIDs()
		w.losesAnswers = true
		if w.run() != "" {
			return true
		}
	}
	return false
}

// Guards against orders to one life of a worker that take effect in the next: each worker carries half of its orders out
// seconds later for a while, and crashes in that time.
func TestInvariantsHoldWhileOrdersReachTheNextLife(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		w := newWorld(seed, noMutant, nil)
		w.keepIDs()
		w.losesAnswers = true
		if violation := w.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

func TestHiddenRestartsViolateInvariants(t *testing.T) {
	if !violates(hidesRestarts) {
		t.Error("no simulation without incarnations violated an invariant, want at least one")
	}
}

// Guards against simulations whose late orders do not reach the next life of a worker.
func TestTokensThatAreNotRaisedViolateInvariants(t *testing.T) {
	if !violates(keepsTokens) {
		t.Error("no simulation with one token for each holder violated an invariant, want at least one")
	}
}
