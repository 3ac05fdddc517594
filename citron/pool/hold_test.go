package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
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
