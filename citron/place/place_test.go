package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

var whole = Resources{MilliCores: 32_000, MemoryMb: 64_000}

// estate returns a pool of n awake workers, six to a rack.
func estate(n int, rules Rules) *Pool {
	p := &Pool{Rules: rules}
	var list []Worker
	for k := range n {
		list = append(list, Worker{
			Name: citron.Worker(fmt.Sprintf("w%05d", k)), Rack: fmt.Sprintf("r%d", k/6),
			FailureDomain: citron.FailureDomain(fmt.Sprintf("f%d", k/6%4)), Resources: whole,
		})
	}
	p.SetWorkers(list, 0)
	for _, w := range list {
		p.SetReachable(w.Name, true)
	}
	return p
}

func wantOf(n int, size Resources) Request {
	return Request{Task: Task{Job: citron.JobID(fmt.Sprint("j", n))}, Team: "t", Resources: size}
}

func TestNoWorkerGetsMoreThanItHolds(t *testing.T) {
	p := estate(10, Rules{})
	for n := range 200 {
		w := wantOf(n, Resources{MilliCores: int32(1000 + n%7*3000), MemoryMb: int32(500 + n%5*6000)})
		if name, ok := p.Choose(w, 0); ok {
			p.Assign(w, name)
		}
	}
	for _, i := range p.Workers(0) {
		if !i.Used.FitsIn(i.Resources) {
			t.Errorf("%s has %+v of %+v in use", i.Name, i.Used, i.Resources)
		}
	}
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	p := estate(4, Rules{})
	var wants []Request
	for n := range 9 {
		wants = append(wants, Request{Task: Task{Job: "g", Task: int32(n)}, Team: "t", Resources: Resources{MilliCores: 16_000, MemoryMb: 1000}})
	}
	if _, ok := p.AssignAll(wants, 0); ok {
		t.Error("nine halves fitted into four workers")
	}
	if p.Usage("t") != (Resources{}) {
		t.Errorf("a gang without room left %+v booked", p.Usage("t"))
	}
	if _, ok := p.AssignAll(wants[:8], 0); !ok {
		t.Error("eight halves did not fit into four workers")
	}
}

func TestABrokenWorkerIsQuarantinedAndProbed(t *testing.T) {
	p := estate(1, Rules{QuarantineFailures: 2, QuarantineFor: time.Minute})
	small := wantOf(0, Resources{MilliCores: 1000, MemoryMb: 10})
	p.RecordStart("w00000", true, 0)
	p.RecordStart("w00000", true, 0)
	if _, ok := p.Choose(small, time.Second); ok {
		t.Error("a quarantined worker got work")
	}
	if _, ok := p.Choose(small, 2*time.Minute); !ok {
		t.Error("after its time it got no probe")
	}
	p.Assign(small, "w00000")
	if _, ok := p.Choose(wantOf(1, small.Resources), 2*time.Minute); ok {
		t.Error("it got more than one probe")
	}
}

func TestUrgentWorkPreemptsBatch(t *testing.T) {
	p := estate(2, Rules{})
	for n := range 4 {
		w := wantOf(n, Resources{MilliCores: 16_000, MemoryMb: 10})
		w.Urgency, w.Preemptible = tmpl.Batch, true
		name, _ := p.Choose(w, 0)
		p.Assign(w, name)
	}
	name, victims := p.FindVictims(wantOf(9, Resources{MilliCores: 16_000, MemoryMb: 10}), 0)
	if name == "" || len(victims) != 1 {
		t.Errorf("worker %q, victims %v", name, victims)
	}
}

// lowerBound is the fewest workers that the sizes need.
func lowerBound(wants []Request) int {
	var sum Resources
	for _, w := range wants {
		sum = sum.Plus(w.Resources)
	}
	return int(max((sum.MilliCores+whole.MilliCores-1)/whole.MilliCores, (sum.MemoryMb+whole.MemoryMb-1)/whole.MemoryMb))
}

// usedWorkers places wants and counts the workers that got any.
func usedWorkers(rules Rules, wants []Request) (n int) {
	p := estate(50, rules)
	for _, w := range wants {
		if name, ok := p.Choose(w, 0); ok {
			p.Assign(w, name)
		}
	}
	for _, i := range p.Workers(0) {
		if i.Tasks > 0 {
			n++
		}
	}
	return n
}

func TestPackingStaysNearTheLowerBound(t *testing.T) {
	var wants []Request
	for n := range 150 {
		wants = append(wants, wantOf(n, Resources{MilliCores: int32(1000 * (1 + n*7%12)), MemoryMb: int32(1000 * (1 + n*5%20))}))
	}
	bound := lowerBound(wants)
	best, first := usedWorkers(Rules{}, wants), usedWorkers(Rules{FirstFit: true}, wants)
	t.Logf("lower bound %d workers, best fit %d, first fit %d", bound, best, first)
	if float64(best) > 1.1*float64(bound) {
		t.Errorf("%d workers are awake, more than 1.1 x the lower bound of %d", best, bound)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 250, 1000, 19_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := estate(n, Rules{})
			for k := range n * 5 {
				w := wantOf(k, Resources{MilliCores: int32(1000 + k%9*500), MemoryMb: 4000})
				if name, ok := p.Choose(w, 0); ok && k < 2000 {
					p.Assign(w, name)
				}
				if k > 2000 {
					break
				}
			}
			want := wantOf(-1, Resources{MilliCores: 2000, MemoryMb: 2000})
			b.ReportAllocs()
			for b.Loop() {
				name, _ := p.Choose(want, 0)
				p.Assign(want, name)
				p.Unassign(want.Task, 0)
			}
		})
	}
}
