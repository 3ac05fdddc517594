package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

func TestStepsRunInOrderAndJobCompletes(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	second := newStep(1, 1)
	second.After = []int32{0}
	r.accept(newJob("j", newStep(2, 1), second))
	first := r.plan()
	if len(first.Starts) != 2 {
		t.Fatalf("%d starts, want the two tasks of the first step", len(first.Starts))
	}
	r.end(first.Starts[0], citron.EndDone)
	if e := r.plan(); len(e.Starts) != 0 {
		t.Fatal("the second step started before the first was done")
	}
	r.end(first.Starts[1], citron.EndDone)
	last := r.plan()
	if len(last.Starts) != 1 || last.Starts[0].Order.Task != "j.0.1.0" {
		t.Fatalf("starts %v, want the second step", last.Starts)
	}
	r.end(last.Starts[0], citron.EndDone)
	r.plan()
	if got := r.state("j"); got != work.State_STATE_COMPLETED {
		t.Errorf("state %v", got)
	}
}

func TestStartIsRecordedInTheSamePlan(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.accept(newJob("j", newStep(1, 1)))
	e := r.plan()
	tasks := r.progress("j").GetOpen()[0].GetTasks()
	if len(e.Starts) != 1 || len(tasks) != 1 || tasks[0].GetRun() != e.Starts[0].Order.Run || tasks[0].GetWorker() != string(e.Starts[0].Worker.ID) {
		t.Errorf("starts %v, recorded %v", e.Starts, tasks)
	}
}

func TestAttemptsAreUsedUp(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.accept(newJob("j", newStep(1, 1)))
	for n := range 3 {
		e := r.plan()
		if len(e.Starts) != 1 {
			t.Fatalf("attempt %d: %d starts", n, len(e.Starts))
		}
		r.end(e.Starts[0], citron.EndFailed)
	}
	if e := r.plan(); len(e.Starts) != 0 {
		t.Error("a fourth attempt")
	}
	if got := r.state("j"); got != work.State_STATE_FAILED {
		t.Errorf("state %v", got)
	}
}

func TestFailuresOfStoppedRunsAreNotAttempts(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.accept(newJob("j", newStep(1, 1)))
	for range 6 {
		e := r.plan()
		if len(e.Starts) != 1 {
			t.Fatalf("%d starts", len(e.Starts))
		}
		r.end(e.Starts[0], citron.EndLeaseExpired)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	blocker := newJob("b", newStep(1, 30))
	r.accept(blocker)
	started := r.plan()
	r.accept(newJob("g", newGang(5, 10)))
	if e := r.plan(); len(e.Starts) != 0 {
		t.Fatalf("%d members started although five do not fit", len(e.Starts))
	}
	r.end(started.Starts[0], citron.EndDone)
	e := r.plan()
	if len(e.Starts) != 5 {
		t.Fatalf("%d members started", len(e.Starts))
	}
	for _, s := range e.Starts {
		if s.Order.Run != e.Starts[0].Order.Run {
			t.Error("members differ in their run")
		}
	}
	r.end(e.Starts[2], citron.EndDone)
	r.plan()
	if got := r.state("g"); got != work.State_STATE_COMPLETED {
		t.Errorf("state %v after one end of the gang", got)
	}
}

func TestBrokenGangRestartsWholeWithOneRun(t *testing.T) {
	r := newRig(t)
	r.workers(3)
	r.accept(newJob("g", newGang(3, 20)))
	first := r.plan()
	r.end(first.Starts[0], citron.EndFailed)
	e := r.plan()
	if len(e.Stops) != 2 || len(e.Starts) != 0 {
		t.Fatalf("%d stops and %d starts, want the two others stopped first", len(e.Stops), len(e.Starts))
	}
	r.end(first.Starts[1], citron.EndGangBroken)
	r.end(first.Starts[2], citron.EndGangBroken)
	again := r.plan()
	if len(again.Starts) != 3 {
		t.Fatalf("%d starts", len(again.Starts))
	}
	for _, s := range again.Starts {
		if s.Order.Run != 2 {
			t.Errorf("run %d, want 2", s.Order.Run)
		}
	}
}

func TestLabelsLimitsAndRacks(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	limited := newStep(4, 1)
	limited.PerWorker = 1
	r.accept(newJob("a", limited))
	used := map[citron.Worker]int{}
	for _, s := range r.plan().Starts {
		used[s.Worker.ID]++
	}
	if len(used) != 4 {
		t.Errorf("tasks on %v, want one on each worker", used)
	}
	unlabelled := newStep(1, 1)
	unlabelled.Requires = "b"
	r.accept(newJob("b", unlabelled))
	if e := r.plan(); len(e.Starts) != 0 {
		t.Error("started without the label")
	}
	near := newStep(2, 10)
	near.DataRack = "r1"
	r.accept(newJob("c", near))
	for _, s := range r.plan().Starts {
		if s.Worker.Rack != "r1" {
			t.Errorf("started in rack %s, the data is in r1", s.Worker.Rack)
		}
	}
	together := newGang(4, 10)
	together.SameRack = true
	r.accept(newJob("d", together))
	racks := map[citron.Rack]bool{}
	for _, s := range r.plan().Starts {
		racks[s.Worker.Rack] = true
	}
	if len(racks) != 1 {
		t.Errorf("gang in racks %v, want one", racks)
	}
}

func TestDrainingWorkerTakesNothingAndIsEmptiedInTime(t *testing.T) {
	r := newRig(t)
	ids := r.workers(1)
	r.accept(newJob("j", newStep(1, 1)))
	started := r.plan()
	entry := started.Starts[0].Worker
	entry.Draining, entry.Remaining = true, 3*time.Second
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{entry})
	r.accept(newJob("k", newStep(1, 1)))
	if e := r.plan(); len(e.Starts) != 0 || len(e.Stops) != 0 {
		t.Fatalf("%d starts and %d stops on a worker that has time left", len(e.Starts), len(e.Stops))
	}
	r.advance(2 * time.Second)
	r.report(ids[0], citron.WorkerReport{Running: []citron.RunningTask{{Task: "j.0.0.0", Run: 1}}})
	if e := r.plan(); len(e.Stops) != 1 {
		t.Error("the task was not stopped before the worker leaves")
	}
}

func TestUnansweredStartIsSettledBeforeTheNext(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	r.accept(newJob("j", newStep(1, 1)))
	e, err := r.p.Plan(r.now)
	if err != nil {
		t.Fatal(err)
	}
	r.p.Started(r.now, e.Starts[0], citron.StartUnknown, 0)
	if again := r.plan(); len(again.Starts) != 0 {
		t.Fatal("started again although the first order may be carried out")
	}
	w := e.Starts[0].Worker.ID
	r.report(w, citron.WorkerReport{})
	stops := r.plan().Stops
	if len(stops) != 1 {
		t.Fatalf("%d stops, want one that makes the worker refuse the order", len(stops))
	}
	r.report(w, citron.WorkerReport{})
	if again := r.plan(); len(again.Starts) != 0 {
		t.Fatal("started again before the stop was answered")
	}
	r.p.Stopped(r.now, stops[0], r.now.Boot)
	r.report(w, citron.WorkerReport{})
	if again := r.plan(); len(again.Starts) != 1 || again.Starts[0].Order.Run != 2 {
		t.Errorf("starts %v, want run 2", again.Starts)
	}
	_ = ids
}

// TestJobWaitsUntilATaskIsKnownToHaveStarted: callers are told how many jobs wait, and an order may never arrive.
func TestJobWaitsUntilATaskIsKnownToHaveStarted(t *testing.T) {
	for name, one := range map[string]struct {
		happens func(r *rig, s Start)
		want    work.State
	}{
		"the order is on its way":    {func(*rig, Start) {}, work.State_STATE_QUEUED},
		"the order was not answered": {func(r *rig, s Start) { r.p.Started(r.now, s, citron.StartUnknown, 0) }, work.State_STATE_QUEUED},
		"the order was refused":      {func(r *rig, s Start) { r.p.Started(r.now, s, citron.StartNoCapacity, 0) }, work.State_STATE_QUEUED},
		"the order was answered":     {func(r *rig, s Start) { r.p.Started(r.now, s, citron.Started, r.now.Boot) }, work.State_STATE_RUNNING},
		"the worker shows the run": {func(r *rig, s Start) {
			r.report(s.Worker.ID, citron.WorkerReport{Running: []citron.RunningTask{{Task: s.Order.Task, Run: 1}}})
		}, work.State_STATE_RUNNING},
		"the worker lists its failure": {func(r *rig, s Start) { r.end(s, citron.EndFailed) }, work.State_STATE_RUNNING},
	} {
		r := newRig(t)
		r.workers(1)
		r.accept(newJob("j", newStep(1, 1)))
		e, err := r.p.Plan(r.now)
		if err != nil {
			t.Fatal(err)
		}
		r.store(e)
		one.happens(r, e.Starts[0])
		r.advance(50 * time.Millisecond)
		if e, err = r.p.Plan(r.now); err != nil {
			t.Fatal(err)
		}
		r.store(e)
		if got := r.progress("j").GetState(); got != one.want {
			t.Errorf("%s: shown as %v, want %v", name, got, one.want)
		}
	}
}

func TestSilentWorkerIsGivenUpOnlyAfterItsLease(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	r.accept(newJob("j", newStep(1, 1)))
	w := r.plan().Starts[0].Worker.ID
	other := ids[0]
	if other == w {
		other = ids[1]
	}
	renewed := r.now.Boot
	if _, o, _, _ := r.p.NextRenewal(r.now, w); o.Deadline == 0 {
		t.Fatal("the lease of a worker that answers was not renewed")
	}
	for r.now.Boot < renewed+testOptions.Lease {
		r.advance(100 * time.Millisecond)
		r.report(other, citron.WorkerReport{})
		if _, o, _, _ := r.p.NextRenewal(r.now, w); r.now.Boot-renewed > testOptions.AnswerTimeout+100*time.Millisecond && o.Deadline != 0 {
			t.Fatal("the lease of a silent worker is still renewed")
		}
		if e := r.plan(); len(e.Starts) != 0 {
			t.Fatalf("started elsewhere %v after the last renewal", r.now.Boot-renewed)
		}
	}
	for range 100 {
		r.advance(100 * time.Millisecond)
		r.report(other, citron.WorkerReport{})
		if e := r.plan(); len(e.Starts) == 1 {
			return
		}
	}
	t.Error("never started elsewhere")
}

func TestRestartedWorkerFreesItsTasksAtOnce(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	r.accept(newJob("j", newStep(1, 1)))
	w := r.plan().Starts[0].Worker.ID
	r.p.Gone(r.now, w)
	if e := r.plan(); len(e.Starts) != 1 || e.Starts[0].Worker.ID == w {
		t.Errorf("starts %v", e.Starts)
	}
}

func TestCancelStopsAndForgets(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.accept(newJob("j", newStep(2, 1)))
	e := r.plan()
	r.p.Cancel(r.now, "j")
	if stops := r.plan().Stops; len(stops) != 2 {
		t.Fatalf("%d stops", len(stops))
	}
	for _, s := range e.Starts {
		r.end(s, citron.EndStopped)
	}
	if e := r.plan(); len(e.Starts) != 0 || r.state("j") != work.State_STATE_CANCELLED || len(r.progress("j").GetOpen()) != 0 {
		t.Errorf("starts %v, progress %v", e.Starts, r.progress("j"))
	}
}

func TestServiceTasksRestartHoweverTheyEnd(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	lasting := newStep(1, 1)
	lasting.Service = true
	r.accept(newJob("j", lasting))
	for _, how := range []citron.EndKind{citron.EndDone, citron.EndFailed, citron.EndLeaseExpired, citron.EndFailed, citron.EndFailed, citron.EndFailed} {
		e := r.plan()
		if len(e.Starts) != 1 {
			t.Fatalf("%d starts before an end as %s", len(e.Starts), how)
		}
		r.end(e.Starts[0], how)
	}
}

func TestOccurrencesWaitForTheirTime(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	j := newJob("j", newStep(1, 1))
	first := r.now.Wall.Add(time.Second).UnixMilli()
	j.Schedule = &work.Schedule{FirstMs: first, IntervalMs: 500, Repeats: 2}
	r.accept(j)
	if e := r.plan(); len(e.Starts) != 0 {
		t.Fatal("started before its time")
	}
	var starts []Start
	for range 30 {
		r.advance(100 * time.Millisecond)
		starts = append(starts, r.plan().Starts...)
	}
	if len(starts) != 2 || starts[0].Order.Task != "j.0.0.0" || starts[1].Order.Task != "j.1.0.0" {
		t.Fatalf("starts %v", starts)
	}
	for _, s := range starts {
		r.end(s, citron.EndDone)
	}
	r.plan()
	if got := r.state("j"); got != work.State_STATE_COMPLETED {
		t.Errorf("state %v", got)
	}
}

// Played on the bench as trouble-1 of both sites: TWICE and BUDGET after a restart of all daemons.
func TestEndsOfUnknownJobsAreNotAcknowledged(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.accept(newJob("j", newStep(1, 1)))
	start := r.plan().Starts[0]
	r.takeOver()
	entry := start.Worker
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{entry})
	done := citron.WorkerReport{Ended: []citron.EndedTask{{Number: 1, Task: start.Order.Task, Run: 1, Kind: citron.EndDone}}}
	r.report(entry.ID, done)
	r.plan()
	if _, o, _, _ := r.p.NextRenewal(r.now, entry.ID); o.Acked != 0 {
		t.Fatal("acknowledged an end whose job is not known yet")
	}
	r.accept(newJob("j", newStep(1, 1)))
	r.p.MarkAllJobsKnown()
	r.report(entry.ID, done)
	if e := r.plan(); len(e.Starts) != 0 || r.state("j") != work.State_STATE_COMPLETED {
		t.Errorf("starts %v, state %v", e.Starts, r.state("j"))
	}
}

// Played on the bench as trouble-2 of Ballyhoura: LIMIT after a change of holder.
func TestRunsOfEndedJobsKeepTheirRoomOverAChangeOfHolder(t *testing.T) {
	r := newRig(t)
	ids := r.workers(1)
	r.accept(newJob("j", newStep(1, 30)))
	start := r.plan().Starts[0]
	r.p.Cancel(r.now, "j")
	r.plan()
	r.takeOver()
	r.accept(newJob("j", newStep(1, 30)))
	r.p.MarkAllJobsKnown()
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{start.Worker})
	r.report(ids[0], citron.WorkerReport{Running: []citron.RunningTask{{Task: start.Order.Task, Run: 1}}})
	r.accept(newJob("k", newStep(1, 10)))
	e := r.plan()
	if len(e.Starts) != 0 || len(e.Stops) != 1 {
		t.Fatalf("%d starts and %d stops while the cancelled run takes 30 of 32 cores", len(e.Starts), len(e.Stops))
	}
	r.end(start, citron.EndStopped)
	if e := r.plan(); len(e.Starts) != 1 {
		t.Error("not started once the room was free")
	}
}

func TestLeavingGangMembersKeepTheirRoomOverAChangeOfHolder(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	r.accept(newJob("g", newGang(2, 30)))
	starts := r.plan().Starts
	r.end(starts[0], citron.EndDone)
	r.plan()
	r.takeOver()
	r.accept(newJob("g", newGang(2, 30)))
	r.p.MarkAllJobsKnown()
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{starts[1].Worker})
	r.report(starts[1].Worker.ID, citron.WorkerReport{Running: []citron.RunningTask{{Task: starts[1].Order.Task, Run: 1}}})
	r.accept(newJob("k", newStep(1, 10)))
	if e := r.plan(); len(e.Starts) != 0 {
		t.Error("started in room that the member still takes")
	}
}

// Played on the bench as trouble-2 of Ben Salah: LIMIT while the accepted jobs could not be read.
func TestWorkerWithAnUnrecordedRunTakesNothing(t *testing.T) {
	r := newRig(t)
	ids := r.workers(1)
	r.takeOver()
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{{ID: ids[0], Address: "x", Service: "svc", Capacity: citron.Capacity{MilliCores: 32_000, MemoryMb: 64_000}}})
	r.report(ids[0], citron.WorkerReport{Running: []citron.RunningTask{{Task: "unknown.0.0.0", Run: 1}}})
	r.accept(newJob("k", newStep(1, 10)))
	if e := r.plan(); len(e.Starts) != 0 || len(e.Stops) != 0 {
		t.Fatalf("starts %v, stops %v before all jobs are known", e.Starts, e.Stops)
	}
	r.advance(5 * time.Second)
	if e := r.plan(); len(e.Starts) != 0 {
		t.Fatal("started although the last report shows an unrecorded run")
	}
	r.p.MarkAllJobsKnown()
	r.report(ids[0], citron.WorkerReport{Running: []citron.RunningTask{{Task: "unknown.0.0.0", Run: 1}}})
	if e := r.plan(); len(e.Stops) != 1 {
		t.Error("a run that nobody knows was not stopped")
	}
}

// Played on the bench as LOST on five days of Ballyhoura: a gang waited for ever beside an empty estate.
func TestMoreWorkersAreAskedAboutWhereThoseAllowedAreTooFew(t *testing.T) {
	r := newRig(t)
	ids := r.workers(4)
	j := newJob("g", newGang(4, 10))
	j.Terms.Advice = &work.Advice{DecideUs: 1000, PerWorkerUs: 10, ValidMs: 2500}
	r.accept(j)
	asks := r.plan().AdviceRequests
	if len(asks) != 1 || len(asks[0].Workers) != 4 {
		t.Fatalf("asked %v, want all four workers", asks)
	}
	// The answer covers only one worker, as if the others had not been there.
	asks[0].Workers = ids[:1]
	r.p.Advised(r.now, asks[0], []citron.Permit{{Worker: ids[0], Ticket: "t"}}, 2500*time.Millisecond, false)
	again := r.plan().AdviceRequests
	if len(again) != 1 || len(again[0].Workers) != 4 {
		t.Fatalf("asked again %v, want all four", again)
	}
	permits := []citron.Permit{{Worker: ids[0], Ticket: "t"}, {Worker: ids[1], Ticket: "u"}}
	r.p.Advised(r.now, again[0], permits, 2500*time.Millisecond, false)
	if e := r.plan(); len(e.Starts) != 4 || e.Starts[0].Order.Ticket == "" {
		t.Errorf("starts %v", e.Starts)
	}
}

func TestWorkerThatFailsSeveralJobsIsPassedOver(t *testing.T) {
	r := newRig(t)
	ids := r.workers(1)
	for n, id := range []string{"a", "b", "c"} {
		j := newJob(id, newStep(1, 1))
		j.Terms.Attempts = 1
		r.accept(j)
		e := r.plan()
		if n == streakFailures {
			if len(e.Starts) != 0 {
				t.Error("started on a worker on which two jobs failed in a row")
			}
			continue
		}
		r.end(e.Starts[0], citron.EndFailed)
	}
	r.advance(quarantine)
	r.report(ids[0], citron.WorkerReport{})
	if e := r.plan(); len(e.Starts) != 1 {
		t.Error("not tried again after the quarantine")
	}
}

func TestWorkThatCanMeetItsObjectiveComesFirst(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	late := newJob("late", newStep(1, 32))
	late.Terms.Priority = 0
	late.AcceptedMs = r.now.Wall.Add(-10 * time.Second).UnixMilli()
	timely := newJob("timely", newStep(1, 32))
	timely.Terms.Priority = 2
	urgent := newJob("urgent", newStep(1, 32))
	urgent.Terms.Priority = 1
	for _, j := range []*work.Job{late, timely, urgent} {
		r.accept(j)
	}
	for _, want := range []citron.TaskRef{"urgent.0.0.0", "timely.0.0.0", "late.0.0.0"} {
		e := r.plan()
		if len(e.Starts) != 1 || e.Starts[0].Order.Task != want {
			t.Fatalf("starts %v, want %s", e.Starts, want)
		}
		r.end(e.Starts[0], citron.EndDone)
	}
}

func TestRoomIsKeptForAGangButLentToShorterWork(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	blocker := newJob("b", newStep(1, 20))
	blocker.Steps[0].EstimateMs = 4000
	r.accept(blocker)
	r.plan()
	g := newJob("g", newGang(2, 15))
	g.Steps[0].EstimateMs = 2000
	r.accept(g)
	long := newJob("long", newStep(1, 5))
	long.Steps[0].EstimateMs = 20_000
	long.Terms.Priority, long.Queue = 2, "long"
	short := newJob("short", newStep(1, 5))
	short.Steps[0].EstimateMs = 500
	short.Terms.Priority, short.Queue = 2, "short"
	r.accept(long)
	r.accept(short)
	e := r.plan()
	if len(e.Starts) != 1 || e.Starts[0].Order.Task != "short.0.0.0" {
		t.Errorf("starts %v, want only the short task", e.Starts)
	}
}

// Found by the play of changes of holder, seed 10: the worker was listed before the job was read.
func TestLeaseOfAnAdoptedRunCountsFromTheChangeOfHolder(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	r.accept(newJob("j", newStep(1, 1)))
	start := r.plan().Starts[0]
	other := ids[0]
	if other == start.Worker.ID {
		other = ids[1]
	}
	r.takeOver()
	adopted := r.now.Boot
	entry := start.Worker
	otherEntry := entry
	otherEntry.ID, otherEntry.Address = other, string(other)
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{entry, otherEntry})
	r.accept(newJob("j", newStep(1, 1)))
	r.p.MarkAllJobsKnown()
	for r.now.Boot < adopted+testOptions.Lease {
		r.advance(100 * time.Millisecond)
		r.report(other, citron.WorkerReport{})
		if e := r.plan(); len(e.Starts) != 0 {
			t.Fatalf("started elsewhere %v after the change of holder; the lease lasts %v", r.now.Boot-adopted, testOptions.Lease)
		}
	}
}

func TestEndedJobsAreRemovedAfterTheirTime(t *testing.T) {
	r := newRig(t)
	r.p.Options.Retention = 2 * time.Minute
	r.workers(1)
	r.accept(newJob("j", newStep(1, 1)))
	r.end(r.plan().Starts[0], citron.EndDone)
	r.plan()
	r.advance(2 * time.Minute)
	if e := r.plan(); len(e.Expired) != 0 {
		t.Fatal("removed while callers may ask for it")
	}
	r.advance(expireSlack + expireEvery)
	if e := r.plan(); len(e.Expired) != 1 || e.Expired[0] != "j" {
		t.Errorf("removed %v", e.Expired)
	}
	r.advance(expireEvery)
	if e := r.plan(); len(e.Expired) != 0 {
		t.Error("removed twice")
	}
}

func TestFillingTasksKeepAwayFromThoseWithABoundOnTheirTail(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	serving := newStep(1, 30)
	serving.TailTargetMs, serving.Service = 50, true
	r.accept(newJob("s", serving))
	at := r.plan().Starts[0].Worker.ID
	fill := newStep(3, 16)
	fill.Fills = true
	r.accept(newJob("f", fill))
	e := r.plan()
	if len(e.Starts) != 3 {
		t.Fatalf("%d tasks that fill were started, want all three beside each other", len(e.Starts))
	}
	for _, s := range e.Starts {
		if s.Worker.ID == at {
			t.Error("started beside the task with a bound on its tail")
		}
	}
}

// Played on the bench as trouble-1 of Ben Salah: a gang used up its attempts on the one worker that failed everything.
func TestGangGoesElsewhereAfterAFailure(t *testing.T) {
	r := newRig(t)
	r.workers(3)
	r.accept(newJob("g", newGang(2, 5)))
	first := r.plan()
	bad := first.Starts[0].Worker.ID
	r.end(first.Starts[0], citron.EndFailed)
	r.plan()
	r.end(first.Starts[1], citron.EndStopped)
	for _, s := range r.plan().Starts {
		if s.Worker.ID == bad {
			t.Error("placed again where a member has failed, beside workers with room")
		}
	}
}

func TestWorkerWhoseLastTaskFailedIsUsedLast(t *testing.T) {
	r := newRig(t)
	r.workers(3)
	r.accept(newJob("a", newStep(1, 5)))
	start := r.plan().Starts[0]
	r.end(start, citron.EndFailed)
	r.p.Cancel(r.now, "a")
	for _, id := range []string{"b", "c", "d"} {
		r.accept(newJob(id, newStep(1, 5)))
		for _, s := range r.plan().Starts {
			if s.Worker.ID == start.Worker.ID {
				t.Errorf("%s was placed on the worker whose last task failed", id)
			}
		}
	}
}
