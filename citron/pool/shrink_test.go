package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// resize changes the capacity in a worker's entry.
func (r *rig) resize(id citron.Worker, cores int64) {
	entries := []citron.WorkerEntry{}
	for _, w := range r.p.byID {
		e := w.entry
		if e.ID == id {
			e.Capacity.MilliCores = cores * 1000
		}
		entries = append(entries, e)
	}
	r.p.UpdateWorkers(r.now, entries)
}

// Guards against starts that count on capacity that a worker no longer has.
func TestNothingStartsBeyondCapacityThatHasShrunk(t *testing.T) {
	for name, step := range map[string]func(int32, int64) *work.Step{"tasks": newStep, "gang": newGang} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			id := r.workers(1)[0]
			r.accept(newJob("first", newStep(3, 8)))
			running := r.plan().Starts
			r.resize(id, 20)
			r.accept(newJob("second", step(2, 4)))
			if e := r.plan(); len(e.Starts) > 0 {
				t.Fatalf("%d starts while 24 of 20 cores are in use", len(e.Starts))
			}
			r.p.Cancel(r.now, "first")
			if e := r.plan(); len(e.Starts) > 0 {
				t.Fatalf("%d starts while the stopped runs have not ended", len(e.Starts))
			}
			r.end(running[0], citron.EndStopped)
			if e := r.plan(); len(e.Starts) > 1 || name == "gang" && len(e.Starts) > 0 {
				t.Fatalf("%d starts in 4 free cores", len(e.Starts))
			}
			r.resize(id, 32)
			if e := r.plan(); len(e.Starts) == 0 {
				t.Error("nothing starts after the capacity has grown again")
			}
		})
	}
}

// maxCapacityAge is the time after which a smaller capacity counts: the stable window of the platform and one beat.
const maxCapacityAge = 4500 * time.Millisecond

// capacityChange is a capacity that a simulated worker had until a time.
type capacityChange struct {
	until    time.Duration
	capacity citron.Capacity
}

// resize changes the capacity of a random worker; its entry follows after up to two beats.
func (w *world) resize() {
	if !w.resizes || !w.chance(0.01) {
		return
	}
	s := w.workers[w.rng.IntN(len(w.workers))]
	cores := 2 + int64(w.rng.IntN(7))
	if w.recovering() {
		cores = 8
	}
	s.former = append(s.former, capacityChange{w.now.Boot, s.capacity})
	s.capacity = citron.Capacity{MilliCores: cores * 1000, MemoryMb: 8000}
	w.schedule(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { s.entry.Capacity = s.capacity; s.list() })
}

// countedCapacity returns the capacity that starts may count on: the largest one within maxCapacityAge.
func (s *simWorker) countedCapacity() citron.Capacity {
	counted := s.capacity
	for _, c := range s.former {
		if s.world.now.Boot-c.until < maxCapacityAge && c.capacity.MilliCores > counted.MilliCores {
			counted = c.capacity
		}
	}
	return counted
}

// Guards against starts beyond a capacity that shrinks and grows while the pool changes hands.
func TestCapacityIsKeptWhileItShrinksAndGrows(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		w := newWorld(seed, noMutant, nil)
		w.resizes = true
		if violation := w.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

func TestIgnoredResizesViolateTheCapacity(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		w := newWorld(seed, ignoresResizes, nil)
		w.resizes = true
		if w.run() != "" {
			return
		}
	}
	t.Error("no simulation without new capacities started a task beyond the capacity, want at least one")
}
