package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Operators must see from a waiting task that its team's quota is the cause, and of which kind.
func TestExplainNamesTheQuota(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.limit(10)
	r.accept(teamJob("a", "j1", newStep(1, 8)))
	r.accept(teamJob("a", "small", newStep(1, 4)))
	r.accept(teamJob("a", "large", newGang(3, 4)))
	r.accept(newJob("none", newStep(1, 40)))
	r.wantStarts(1, "first job")
	for id, want := range map[citron.JobID]string{
		"small": "team a has no quota left, it uses 8000 of 10000 thousandths of a core",
		"large": "3 tasks at once need more than the quota of team a",
	} {
		if list, _ := r.p.Explain(r.now, id); !strings.Contains(list[0].Reason, want) {
			t.Errorf("job %s waits because %q, want %q in it", id, list[0].Reason, want)
		}
	}
	if list, _ := r.p.Explain(r.now, "none"); strings.Contains(list[0].Reason, "quota") {
		t.Errorf("a job without a team waits because %q", list[0].Reason)
	}
}

func TestTeamsAreListedWithTheirLoad(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	r.limit(10)
	r.accept(teamJob("a", "j1", newStep(4, 4)))
	r.accept(teamJob("removed", "j2", newStep(1, 4)))
	r.accept(newJob("none", newStep(1, 4)))
	r.wantStarts(4, "two of team a, one of a removed team, one of none")
	want := []TeamLoad{
		{Terms: citron.TeamTerms{Name: "a", Max: citron.Capacity{MilliCores: 10_000}}, Used: citron.Capacity{MilliCores: 8000, MemoryMb: 2000}, Waiting: 2, Running: 2},
		{Terms: citron.TeamTerms{Name: "b"}},
		{Terms: citron.TeamTerms{Name: "removed"}, Used: citron.Capacity{MilliCores: 4000, MemoryMb: 1000}, Running: 1},
	}
	if got := r.p.Teams(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("teams %v, want %v", got, want)
	}
}

// A team that always waits must be reported, but not with every plan.
func TestQuotaIsReportedSeldom(t *testing.T) {
	r := newRig(t)
	ids := r.workers(2)
	r.limit(4)
	counts := map[DecisionKind]int{}
	r.p.Observe = func(d Decision) { counts[d.Kind]++ }
	r.accept(teamJob("a", "j1", newStep(3, 2)))
	for range 20 {
		r.plan()
		r.advance(time.Second)
		r.report(ids[0], citron.WorkerReport{Running: []citron.RunningTask{{Task: "j1.0.0.0", Run: 1}, {Task: "j1.0.0.1", Run: 1}, {Task: "strange.0.0.0", Run: 1}}})
		r.report(ids[1], citron.WorkerReport{})
	}
	r.limit(2)
	r.limit(4)
	if counts[DecidedQuotaWait] != 2 || counts[DecidedUnknownRuns] != 1 || counts[DecidedAboveQuota] != 1 {
		t.Errorf("%d waits, %d unknown runs and %d teams above their maximum were reported in 20 s, want 2, 1 and 1",
			counts[DecidedQuotaWait], counts[DecidedUnknownRuns], counts[DecidedAboveQuota])
	}
}
