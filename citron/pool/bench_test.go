package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// BenchmarkPlan plans waiting steps in a full pool, as at twice the load. This is the worst case: nothing fits, so
// every step is checked against every worker.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{48, 350} {
		for _, waiting := range []int{10, 100} {
			b.Run(fmt.Sprintf("Workers%dWaiting%d", workers, waiting), func(b *testing.B) { benchmarkPlan(b, workers, waiting) })
		}
	}
}

func benchmarkPlan(b *testing.B, workers, waiting int) {
	r := newRig(&testing.T{})
	ids := r.workers(workers)
	for n := range workers {
		r.accept(newJob(fmt.Sprintf("full%05d", n), newStep(1, 31)))
	}
	r.plan()
	for n := range waiting {
		j := newJob(fmt.Sprintf("wait%05d", n), newStep(4, 4))
		if n%4 == 0 {
			j.Steps[0].Gang = true
		}
		j.Terms.Advice = &work.Advice{DecideUs: 7000, PerWorkerUs: 100, ValidMs: 1e6}
		r.accept(j)
	}
	for _, s := range r.p.waiting {
		s.permits, s.eligible = map[citron.Worker]permit{}, map[citron.Worker]bool{}
		for n, id := range ids {
			if s.eligible[id] = n%3 == 0; s.eligible[id] {
				s.permits[id] = permit{ticket: "t", expires: r.now.Boot + time.Hour}
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.p.Plan(r.now); err != nil {
			b.Fatal(err)
		}
	}
}
