package pool

import (
	"fmt"
	"testing"

	"github.com/citroncross/citroncross/citron"
)

// BenchmarkPlanWithTeams plans the waiting steps of 20 teams, of which a quarter are gangs, in a full pool of 350 workers with
// 2,100 tasks. With quotas, each team is at its maximum and holds what has room for a gang; without, nothing fits.
func BenchmarkPlanWithTeams(b *testing.B) {
	for _, waiting := range []int{100, 1000} {
		for _, limited := range []bool{false, true} {
			b.Run(fmt.Sprintf("Waiting%dLimited%t", waiting, limited), func(b *testing.B) { benchmarkTeams(b, waiting, limited) })
		}
	}
}

func benchmarkTeams(b *testing.B, waiting int, limited bool) {
	const teams = 20
	r := newRig(&testing.T{})
	r.workers(350)
	r.p.SetTerms(nil)
	for n := range 350 {
		r.accept(teamJob(fmt.Sprint("t", n%teams), fmt.Sprintf("full%05d", n), newStep(6, 5)))
	}
	r.plan()
	var terms []citron.TeamTerms
	for n := range teams {
		t := citron.TeamTerms{Name: citron.Team(fmt.Sprint("t", n)), Weight: 1}
		if limited {
			t.Max = r.p.quota.Used(t.Name)
		}
		terms = append(terms, t)
	}
	r.p.SetTerms(terms)
	for n := range waiting {
		j := teamJob(fmt.Sprint("t", n%teams), fmt.Sprintf("wait%05d", n), newStep(4, 4))
		j.Steps[0].Gang = n%4 == 0
		r.accept(j)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.p.Plan(r.now); err != nil {
			b.Fatal(err)
		}
	}
}
