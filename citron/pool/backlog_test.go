package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// TestBacklogsBeyondUseAreRefused guards against accepting jobs that are worthless once they start, and against refusing
// jobs of teams within their rate or while there is capacity for all.
func TestBacklogsBeyondUseAreRefused(t *testing.T) {
	r := newRig(t)
	r.p.SetTerms([]citron.TeamTerms{{Name: "flood", Weight: 4}, {Name: "other", Weight: 4}})
	r.workers(2)
	submit := func(team string, count int) {
		for n := range count {
			j := newJob(fmt.Sprintf("%s%d-%d", team, r.now.Boot, n), newStep(1, 16))
			j.Team = team
			r.accept(j)
		}
	}
	r.plan()
	if got := r.p.Refusals(); got.Listed != 0 || got.Number != 1 {
		t.Errorf("an idle pool: %+v", got)
	}
	submit("flood", 4)
	r.advance(refusalInterval)
	r.plan()
	if got := r.p.Refusals(); got.Listed != 0 {
		t.Errorf("with capacity for all: %+v", got)
	}
	submit("flood", 40)
	submit("other", 4)
	r.advance(refusalInterval)
	r.plan()
	got := r.p.Refusals()
	// 40 tasks of 16 cores for a second wait, and half of 64 cores is the team's. Of its 44 jobs in half a second 42 are within
	// its rate: 20 at 4 a second for 5 s, 20 more and 2 since.
	if len(got.Teams) != 1 || got.Teams[0].Team != "flood" || got.Teams[0].Jobs != 40 || got.Teams[0].OverRate != 2 || got.Teams[0].Wait < 15*time.Second || got.Teams[0].Wait > 25*time.Second {
		t.Fatalf("a backlog of 20 s: %+v", got)
	}
	r.advance(refusalInterval / 2)
	r.plan()
	if again := r.p.Refusals(); again.Number != got.Number {
		t.Errorf("the backlogs were checked again after %v", refusalInterval/2)
	}
	r.p.SetTerms(nil)
	r.advance(refusalInterval)
	r.plan()
	if got := r.p.Refusals(); len(got.Teams) != 0 {
		t.Errorf("teams no longer in force: %+v", got)
	}
}
