package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

var workerResources = Resources{MilliCores: 32_000, MemoryMb: 64_000}

// newPool returns a pool of n awake and reachable workers, six in each rack.
func newPool(n int, rules Rules) *Pool {
	p := &Pool{Rules: rules}
	var list []Worker
	for k := range n {
		list = append(list, Worker{
			Name: citron.Worker(fmt.Sprintf("w%05d", k)), Rack: fmt.Sprintf("r%d", k/6),
			FailureDomain: citron.FailureDomain(fmt.Sprintf("f%d", k/6%4)), Resources: workerResources,
		})
	}
	p.SetWorkers(list, 0)
	for _, w := range list {
		p.SetReachable(w.Name, true)
	}
	return p
}

func newRequest(n int, size Resources) Request {
	return Request{Task: Task{Job: citron.JobID(fmt.Sprint("j", n))}, Team: "t", Resources: size}
}

// The tasks assigned to a worker must never need more than it has.
func TestNoWorkerGetsMoreThanItHolds(t *testing.T) {
	p := newPool(10, Rules{})
	for n := range 200 {
		r := newRequest(n, Resources{MilliCores: int32(1000 + n%7*3000), MemoryMb: int32(500 + n%5*6000)})
		if name, ok := p.Choose(r, 0); ok {
			p.Assign(r, name)
		}
	}
	for _, i := range p.Workers(0) {
		if !i.Used.FitsIn(i.Resources) {
			t.Errorf("worker %s has %+v in use, more than its %+v", i.Name, i.Used, i.Resources)
		}
	}
}

// A gang that does not fit completely must leave no task of it assigned.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	p := newPool(4, Rules{})
	var requests []Request
	for n := range 9 {
		requests = append(requests, Request{Task: Task{Job: "g", Task: int32(n)}, Team: "t", Resources: Resources{MilliCores: 16_000, MemoryMb: 1000}})
	}
	if _, ok := p.AssignAll(requests, 0); ok {
		t.Error("nine tasks of half a worker each were assigned to four workers")
	}
	if p.Usage("t") != (Resources{}) {
		t.Errorf("a gang that did not fit left %+v in use", p.Usage("t"))
	}
	if _, ok := p.AssignAll(requests[:8], 0); !ok {
		t.Error("eight tasks of half a worker each were not assigned to four workers")
	}
}

// A worker whose starts keep failing gets no tasks during its quarantine and a single one after it.
func TestABrokenWorkerIsQuarantinedAndProbed(t *testing.T) {
	p := newPool(1, Rules{QuarantineFailures: 2, QuarantineFor: time.Minute})
	small := newRequest(0, Resources{MilliCores: 1000, MemoryMb: 10})
	p.RecordStart("w00000", true, 0)
	p.RecordStart("w00000", true, 0)
	if _, ok := p.Choose(small, time.Second); ok {
		t.Error("a quarantined worker was chosen")
	}
	if _, ok := p.Choose(small, 2*time.Minute); !ok {
		t.Error("the worker was not chosen for a probe after its quarantine")
	}
	p.Assign(small, "w00000")
	if _, ok := p.Choose(newRequest(1, small.Resources), 2*time.Minute); ok {
		t.Error("the worker was chosen for a second task while its probe is running")
	}
}

func TestUrgentWorkPreemptsBatch(t *testing.T) {
	p := newPool(2, Rules{})
	for n := range 4 {
		r := newRequest(n, Resources{MilliCores: 16_000, MemoryMb: 10})
		r.Urgency, r.Preemptible = tmpl.Batch, true
		name, _ := p.Choose(r, 0)
		p.Assign(r, name)
	}
	name, victims := p.FindVictims(newRequest(9, Resources{MilliCores: 16_000, MemoryMb: 10}), 0)
	if name == "" || len(victims) != 1 {
		t.Errorf("found worker %q with victims %v, want one victim", name, victims)
	}
}

// lowerBound returns a lower bound of the number of workers that the requests need.
func lowerBound(requests []Request) int {
	var sum Resources
	for _, r := range requests {
		sum = sum.Plus(r.Resources)
	}
	return int(max((sum.MilliCores+workerResources.MilliCores-1)/workerResources.MilliCores, (sum.MemoryMb+workerResources.MemoryMb-1)/workerResources.MemoryMb))
}

// usedWorkers places the requests and returns the number of workers that got a task.
func usedWorkers(rules Rules, requests []Request) (n int) {
	p := newPool(50, rules)
	for _, r := range requests {
		if name, ok := p.Choose(r, 0); ok {
			p.Assign(r, name)
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
	var requests []Request
	for n := range 150 {
		requests = append(requests, newRequest(n, Resources{MilliCores: int32(1000 * (1 + n*7%12)), MemoryMb: int32(1000 * (1 + n*5%20))}))
	}
	bound := lowerBound(requests)
	best, first := usedWorkers(Rules{}, requests), usedWorkers(Rules{FirstFit: true}, requests)
	t.Logf("lower bound %d workers, best fit %d, first fit %d", bound, best, first)
	if float64(best) > 1.1*float64(bound) {
		t.Errorf("best fit used %d workers, more than 1.1 times the lower bound of %d", best, bound)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 250, 1000, 19_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPool(n, Rules{})
			for k := range n * 5 {
				r := newRequest(k, Resources{MilliCores: int32(1000 + k%9*500), MemoryMb: 4000})
				if name, ok := p.Choose(r, 0); ok && k < 2000 {
					p.Assign(r, name)
				}
				if k > 2000 {
					break
				}
			}
			request := newRequest(-1, Resources{MilliCores: 2000, MemoryMb: 2000})
			b.ReportAllocs()
			for b.Loop() {
				name, _ := p.Choose(request, 0)
				p.Assign(request, name)
				p.Unassign(request.Task, 0)
			}
		})
	}
}
