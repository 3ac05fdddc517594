package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

func teamJob(team, id string, steps ...*work.Step) *work.Job {
	j := newJob(id, steps...)
	j.Team = team
	return j
}

// limit sets the maximum of team a, in cores, beside a team b without one.
func (r *rig) limit(cores int64) {
	r.p.SetTerms([]citron.TeamTerms{{Name: "a", Max: citron.Capacity{MilliCores: cores * 1000}}, {Name: "b"}})
}

func (r *rig) wantStarts(n int, why string) []Start {
	r.t.Helper()
	starts := r.plan().Starts
	if len(starts) != n {
		r.t.Fatalf("%s: %d starts, want %d", why, len(starts), n)
	}
	return starts
}

// checkUse compares the quota's count of team a with the tasks on workers.
func (r *rig) checkUse(why string) {
	r.t.Helper()
	want := citron.Capacity{}
	for _, w := range r.p.byID {
		for _, t := range w.tasks {
			if t.step.team() == "a" {
				want = want.Add(t.step.need)
			}
		}
	}
	if got := r.p.quota.Used("a"); got != want {
		r.t.Fatalf("%s: the quota counts %v, the workers have %v", why, got, want)
	}
}

func TestTeamStartsNoMoreThanItsMaximum(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.limit(10)
	r.accept(teamJob("a", "j1", newStep(4, 2)))
	r.accept(teamJob("a", "j2", newStep(4, 2)))
	r.accept(teamJob("b", "j3", newStep(8, 2)))
	r.accept(newJob("j4", newStep(8, 2)))
	starts := r.wantStarts(5+8+8, "maximum of 10 cores for team a")
	r.checkUse("after the starts")
	r.wantStarts(0, "nothing has ended")
	for _, s := range starts {
		if r.p.findTask(s.Order.Task).step.team() == "a" {
			r.end(s, citron.EndDone)
			break
		}
	}
	r.wantStarts(1, "one task of team a has ended")
	r.checkUse("after an end")
}

// A run that is being stopped still uses its worker, so it counts until the worker reports its end.
func TestStoppedRunCountsUntilItsEnd(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	r.limit(4)
	r.accept(teamJob("a", "j1", newStep(1, 4)))
	s := r.wantStarts(1, "first job")[0]
	r.accept(teamJob("a", "j2", newStep(1, 4)))
	r.p.Cancel(r.now, "j1")
	r.wantStarts(0, "the cancelled job still runs")
	r.end(s, citron.EndStopped)
	r.wantStarts(1, "the stopped run has ended")
}

// An order that was not answered may have taken effect.
func TestUnansweredStartCounts(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	r.limit(4)
	r.accept(teamJob("a", "j1", newStep(1, 4)))
	r.accept(teamJob("a", "j2", newStep(1, 4)))
	r.advance(time.Millisecond)
	e, err := r.p.Plan(r.now)
	if err != nil || len(e.Starts) != 1 {
		t.Fatalf("%d starts, error %v, want 1", len(e.Starts), err)
	}
	r.p.Started(r.now, e.Starts[0], citron.StartUnknown, 0)
	r.wantStarts(0, "the first start may have taken effect")
}

func TestGangStartsWholeWithinTheMaximum(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.limit(10)
	r.accept(teamJob("a", "j1", newStep(1, 4)))
	s := r.wantStarts(1, "first job")[0]
	r.accept(teamJob("a", "gang", newGang(4, 2)))
	r.accept(teamJob("a", "large", newGang(6, 2)))
	r.wantStarts(0, "6 of 10 cores are left for a gang of 8")
	r.end(s, citron.EndDone)
	r.wantStarts(4, "the gang fits")
}

// A step that waits for its team's quota must cost the policy service nothing, and the workers no capacity that other teams
// could use.
func TestStepWithoutQuotaAsksAndReservesNothing(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	r.limit(8)
	r.accept(teamJob("a", "j1", newStep(1, 4)))
	r.wantStarts(1, "first job")
	j := teamJob("a", "j2", newStep(2, 8))
	j.Terms.Advice = &work.Advice{DecideUs: 100, PerWorkerUs: 10, ValidMs: 1000}
	r.accept(j)
	r.accept(teamJob("a", "gang", newGang(4, 8)))
	r.accept(teamJob("b", "j3", newStep(7, 4)))
	e := r.plan()
	if len(e.AdviceRequests) > 0 {
		t.Errorf("%d requests to the policy service for a step without quota, want none", len(e.AdviceRequests))
	}
	if len(e.Starts) != 7 {
		t.Errorf("%d starts of another team beside a gang without quota, want 7", len(e.Starts))
	}
}

func TestLoweredMaximumStopsOnlyStarts(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	r.limit(8)
	r.accept(teamJob("a", "j1", newStep(6, 2)))
	starts := r.wantStarts(4, "8 cores")
	r.limit(4)
	e := r.plan()
	if len(e.Starts)+len(e.Stops) > 0 {
		t.Fatalf("%d starts and %d stops after the maximum was lowered, want none", len(e.Starts), len(e.Stops))
	}
	r.end(starts[0], citron.EndDone)
	r.end(starts[1], citron.EndDone)
	r.wantStarts(0, "4 of 4 cores are in use")
	r.limit(6)
	r.wantStarts(1, "the maximum was raised")
}

// A new holder must count what the former one has started before it starts anything, also if it is told the terms last.
func TestNewHolderCountsAdoptedRuns(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	r.limit(8)
	spec := func() *work.Job { return teamJob("a", "j1", newStep(6, 2)) }
	r.accept(spec())
	starts := r.wantStarts(4, "8 cores")
	entries := []citron.WorkerEntry{}
	for _, id := range ids {
		entries = append(entries, r.p.workers[id].entry)
	}
	r.takeOver()
	r.p.MarkAllJobsKnown()
	r.accept(spec())
	r.p.UpdateWorkers(r.now, entries)
	for _, id := range ids {
		report := citron.WorkerReport{}
		for _, s := range starts {
			if s.Worker.ID == id {
				report.Running = append(report.Running, citron.RunningTask{Task: s.Order.Task, Run: s.Order.Run})
			}
		}
		r.report(id, report)
	}
	r.wantStarts(0, "the terms are not known yet")
	r.limit(8)
	r.checkUse("after the change of holder")
	r.wantStarts(0, "the adopted runs use the maximum")
	r.end(starts[0], citron.EndDone)
	r.wantStarts(1, "an adopted run has ended")
	r.checkUse("after an adopted run has ended")
}

// A run of a job that a new holder does not know may belong to any team. Its worker's free capacity counts against each
// maximum, but teams without one and jobs without a team go on.
func TestUnknownRunCountsAgainstEveryMaximum(t *testing.T) {
	r := newRig(t)
	r.takeOver()
	ids := r.workers(3)
	r.limit(8)
	r.report(ids[0], citron.WorkerReport{Running: []citron.RunningTask{{Task: "unread.0.0.0", Run: 1}}})
	r.accept(teamJob("a", "j1", newStep(1, 2)))
	r.accept(teamJob("b", "j2", newStep(1, 2)))
	r.accept(newJob("j3", newStep(1, 2)))
	for _, s := range r.wantStarts(2, "team b and no team") {
		if r.p.findTask(s.Order.Task).step.team() == "a" {
			t.Error("team a started a task while an unknown run may use its maximum")
		}
	}
	r.report(ids[0], citron.WorkerReport{})
	r.wantStarts(1, "the unknown run has ended")
}

// A worker with an unknown run must count also once the platform no longer lists it, since the run may go on.
func TestUnlistedWorkerWithUnknownRunCounts(t *testing.T) {
	r := newRig(t)
	r.takeOver()
	ids := r.workers(2)
	r.limit(8)
	r.report(ids[0], citron.WorkerReport{Running: []citron.RunningTask{{Task: "unread.0.0.0", Run: 1}}})
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{r.p.workers[ids[1]].entry})
	r.accept(teamJob("a", "j1", newStep(1, 2)))
	r.wantStarts(0, "an unlisted worker has an unknown run")
	r.p.Gone(r.now, &citron.WorkerEntry{ID: ids[0]})
	r.wantStarts(1, "the worker has restarted")
	r.p.UpdateWorkers(r.now, []citron.WorkerEntry{r.p.workers[ids[1]].entry})
	if r.p.workers[ids[0]] != nil {
		t.Error("the worker is still known, want it removed")
	}
}

// A worker that does not report may have runs of unknown jobs only until the leases of the former holder have expired.
func TestUnreportedWorkerCountsUntilFormerLeasesExpire(t *testing.T) {
	r := newRig(t)
	r.takeOver()
	ids := r.workers(2)
	r.p.workers[ids[0]].reported = false
	r.limit(8)
	r.accept(teamJob("a", "j1", newStep(1, 2)))
	r.wantStarts(0, "a worker has not reported")
	r.advance(r.p.maxLeaseTime(testOptions.MaxLease))
	r.report(ids[1], citron.WorkerReport{})
	r.wantStarts(1, "the leases of the former holder have expired")
}

// Without terms the count of a team must not change a decision.
func TestNoTermsMeanNoLimit(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	r.p.SetTerms(nil)
	r.accept(teamJob("a", "j1", newStep(20, 2)))
	r.wantStarts(20, "no terms")
	r.checkUse("without terms")
}

// A record that lists a task twice must not count it twice, since only one of the two would ever be returned.
func TestRepeatedRecordCountsOnce(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	r.limit(8)
	spec := teamJob("a", "j1", newStep(1, 4))
	spec.AcceptedMs = r.now.Wall.UnixMilli()
	twice := &work.Task{Run: 1, State: work.TaskState_TASK_STATE_STARTED, Worker: "w00"}
	r.p.Accept(r.now, spec, &work.Progress{JobID: "j1", State: work.State_STATE_RUNNING, NextOccurrence: 1, Open: []*work.Occurrence{{Tasks: []*work.Task{twice, twice}}}})
	r.checkUse("after a record that lists a run twice")
	if used := r.p.quota.Used("a").MilliCores; used != 4000 {
		t.Errorf("%d thousandths of a core are counted, want 4000", used)
	}
}

// Quotas of teams without maxima must not change a decision: a cluster that is served today must see the same starts, stops and requests.
func TestTeamsWithoutMaximaChangeNoDecision(t *testing.T) {
	play := func(teams bool) (decisions []string) {
		rng := rand.New(rand.NewPCG(5, 6))
		r := newRig(t)
		r.workers(6)
		if teams {
			r.p.SetTerms([]citron.TeamTerms{{Name: "a", Weight: 2}, {Name: "b"}})
			// The shares change the order on purpose; TestOrderOfTeams and TestOrderWithoutTeams check that.
			r.p.share = nil
		}
		r.p.Observe = func(d Decision) { decisions = append(decisions, fmt.Sprint(d)) }
		var running []Start
		for n := range 300 {
			j := newJob(fmt.Sprintf("j%03d", n), newStep(1+int32(rng.IntN(6)), 1+int64(rng.IntN(20))))
			j.Steps[0].Gang = rng.IntN(3) == 0
			j.Terms.Priority = int32(rng.IntN(3))
			if team := []string{"a", "b", "removed", ""}[rng.IntN(4)]; teams {
				j.Team = team
			}
			r.accept(j)
			running = append(running, r.plan().Starts...)
			for range min(len(running), rng.IntN(8)) {
				s := running[0]
				running = running[1:]
				r.end(s, []citron.EndKind{citron.EndDone, citron.EndDone, citron.EndFailed}[rng.IntN(3)])
			}
			r.advance(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		return decisions
	}
	with, without := play(true), play(false)
	if len(with) < 500 || !slices.Equal(with, without) {
		t.Errorf("%d decisions with teams and %d without, want the same ones, at least 500", len(with), len(without))
	}
}
