package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// A gang that needs a team's whole maximum must start although the team's small tasks take all that is free. The
// load is 12 cores of tasks of one second for a maximum of 12. Without a hold the gang does not start in the 20 s of the
// play; the small tasks take each core that becomes free.
func TestGangStartsInATeamThatIsAlwaysFull(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.limit(12)
	var running []Start
	begun := r.now.Boot
	for n := 0; r.now.Boot < begun+20*time.Second; n++ {
		if n%25 == 0 {
			r.accept(teamJob("a", fmt.Sprintf("small%03d", n), newStep(1, 3)))
		}
		if n == 400 {
			r.accept(teamJob("a", "gang", newGang(3, 4)))
		}
		for len(running) > 0 && r.now.Boot >= r.p.findTask(running[0].Order.Task).startedAt+time.Second {
			s := running[0]
			running = running[1:]
			r.end(s, citron.EndDone)
		}
		running = append(running, r.plan().Starts...)
		if g := r.p.findTask("gang.0.0.0"); g != nil && g.state == taskRunning {
			if waited := g.startedAt - r.p.jobs["gang"].accepted; waited > 1500*time.Millisecond {
				t.Errorf("the gang waited %v, want no more than one and a half run times", waited)
			}
			return
		}
		r.advance(5 * time.Millisecond)
	}
	t.Error("the gang has not started after 20 s")
}

// While quota is held for a gang, it must not lie idle: tasks that are expected to end before the gang can start use it.
func TestShortTasksUseHeldQuota(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.limit(12)
	r.accept(teamJob("a", "first", newStep(1, 4)))
	first := r.wantStarts(1, "first job")[0]
	r.accept(teamJob("a", "gang", newGang(3, 4)))
	long, short := teamJob("a", "long", newStep(1, 2)), teamJob("a", "short", newStep(1, 2))
	long.Terms.Priority, short.Terms.Priority = 1, 1
	long.Steps[0].EstimateMs, short.Steps[0].EstimateMs = 5000, 300
	short.Steps[0].Image = "short"
	long.Steps[0].Image = "long"
	r.accept(long)
	r.accept(short)
	s := r.wantStarts(1, "one task ends before the gang can start")
	if s[0].Order.Task != "short.0.0.0" {
		t.Errorf("%s uses the held quota, want the short task", s[0].Order.Task)
	}
	r.end(s[0], citron.EndDone)
	r.end(first, citron.EndDone)
	r.wantStarts(3, "the gang")
}

// A gang that is larger than the maximum can never start, so it must not hold back the other steps of its team.
func TestGangLargerThanTheMaximumHoldsNothing(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.limit(12)
	r.accept(teamJob("a", "first", newStep(1, 4)))
	r.wantStarts(1, "first job")
	r.accept(teamJob("a", "gang", newGang(4, 4)))
	next := teamJob("a", "next", newStep(2, 4))
	next.Terms.Priority = 1
	r.accept(next)
	r.wantStarts(2, "another job of the team")
}

// A gang asks the policy service only once there is enough quota, so it must still hold that until the answer. If the answer
// does not come, other tasks use the quota.
func TestGangHoldsQuotaWhileItAwaitsItsTickets(t *testing.T) {
	for _, answered := range []bool{true, false} {
		r := newRig(t)
		ids := r.workers(4)
		r.limit(12)
		r.accept(teamJob("a", "first", newStep(1, 4)))
		first := r.wantStarts(1, "first job")[0]
		gang := teamJob("a", "gang", newGang(3, 4))
		gang.Terms.Advice = &work.Advice{DecideUs: 100, PerWorkerUs: 10, ValidMs: 1000}
		r.accept(gang)
		next := teamJob("a", "next", newStep(3, 4))
		next.Terms.Priority = 1
		r.accept(next)
		r.wantStarts(0, "quota is held for the gang")
		r.end(first, citron.EndDone)
		e := r.plan()
		if len(e.AdviceRequests) != 1 || len(e.Starts) != 0 {
			t.Fatalf("%d requests and %d starts once the gang has enough quota, want 1 and 0", len(e.AdviceRequests), len(e.Starts))
		}
		if !answered {
			r.p.Advised(r.now, e.AdviceRequests[0], nil, 0, true)
			r.advance(quotaHoldGrace)
			for _, id := range ids {
				r.report(id, citron.WorkerReport{})
			}
			r.wantStarts(3, "the policy service does not answer")
			continue
		}
		permits := []citron.Permit{}
		for _, id := range ids {
			permits = append(permits, citron.Permit{Worker: id, Ticket: "t"})
		}
		r.p.Advised(r.now, e.AdviceRequests[0], permits, time.Second, false)
		if starts := r.wantStarts(3, "the tickets are there"); starts[0].Order.Task != "gang.0.0.0" {
			t.Errorf("%s starts, want the gang", starts[0].Order.Task)
		}
	}
}

// The quota that a gang held must be free for other steps in the plan that starts it.
func TestHoldEndsWithTheStartOfTheGang(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.limit(12)
	r.accept(teamJob("a", "first", newStep(1, 8)))
	first := r.wantStarts(1, "first job")[0]
	r.accept(teamJob("a", "gang", newGang(2, 4)))
	next := teamJob("a", "next", newStep(1, 4))
	next.Terms.Priority = 1
	r.accept(next)
	r.wantStarts(0, "quota is held for the gang")
	r.end(first, citron.EndDone)
	r.wantStarts(3, "gang of 8 and a task of 4 below 12 cores")
}
