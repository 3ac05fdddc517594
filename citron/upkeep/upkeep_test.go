package upkeep

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const upkeepDuration = 2 * time.Second

func newSpec(count, maxDown int) citron.Wave {
	spec := citron.Wave{Number: 1, TimeLimit: 30 * time.Second, MaxDown: maxDown}
	for n := range count {
		spec.Machines = append(spec.Machines, citron.Machine(fmt.Sprintf("m%02d", n)))
	}
	return spec
}

func allUp(spec citron.Wave, tasks int) map[citron.Machine]MachineStatus {
	machines := map[citron.Machine]MachineStatus{}
	for _, m := range spec.Machines {
		machines[m] = MachineStatus{State: citron.MachineUp, Worker: citron.Worker("w" + string(m)), Tasks: tasks}
	}
	return machines
}

func TestIdleMachinesRespectMaxDown(t *testing.T) {
	spec := newSpec(3, 1)
	machines := allUp(spec, 0)
	w := New(spec, Progress{}, time.Hour)
	now := time.Hour
	for n := range spec.Machines {
		actions, complete := w.Plan(now, upkeepDuration, machines)
		if complete || len(actions) != 1 || !actions[0].Order {
			t.Fatalf("round %d: actions %v, complete %t, want one order and not complete", n, actions, complete)
		}
		m := actions[0].Machine
		w.MarkOrdered(m)
		w.MarkBegun(now, m)
		if again, _ := w.Plan(now+upkeepDuration/2, upkeepDuration, machines); len(again) != 0 {
			t.Fatalf("round %d: actions %v while %s is down and MaxDown is 1", n, again, m)
		}
		now += upkeepDuration
	}
	if _, complete := w.Plan(now, upkeepDuration, machines); !complete {
		t.Error("the wave is not complete after the upkeep of all machines")
	}
}

func TestBusyMachineIsEvictedAfterDrainTime(t *testing.T) {
	spec := newSpec(2, 1)
	machines := allUp(spec, 3)
	w := New(spec, Progress{}, time.Hour)
	now := time.Hour
	for waited := time.Duration(0); waited < 30*time.Second; waited += 100 * time.Millisecond {
		actions, _ := w.Plan(now+waited, upkeepDuration, machines)
		if len(actions) > 0 {
			if !actions[0].Evict || waited < 5*time.Second {
				t.Fatalf("action %+v after %v, want eviction after at least 5s", actions[0], waited)
			}
			return
		}
	}
	t.Error("a busy machine is never evicted")
}

func TestNextHolderRepeatsRecordedOrder(t *testing.T) {
	spec := newSpec(3, 1)
	w := New(spec, Progress{Ordered: map[citron.Machine]bool{"m01": true}}, time.Hour)
	actions, _ := w.Plan(time.Hour, upkeepDuration, allUp(spec, 0))
	if len(actions) != 1 || actions[0].Machine != "m01" || !actions[0].Order {
		t.Errorf("actions %v, want the order for m01 again: the recorded one may still be in flight", actions)
	}
}

func TestGoneMachinesDoNotBlockWave(t *testing.T) {
	spec := newSpec(2, 2)
	w := New(spec, Progress{}, time.Hour)
	if _, complete := w.Plan(time.Hour, upkeepDuration, nil); complete {
		t.Error("a machine counts as gone after one list without it")
	}
	if _, complete := w.Plan(time.Hour+goneAfter, upkeepDuration, nil); !complete {
		t.Error("a wave whose machines are all gone is not complete")
	}
}

// Random waves with orders lost before or after they take effect, refused orders and changes of holder: never more than
// MaxDown machines may be down, and every wave must complete.
func TestRandomWavesRespectMaxDown(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		spec := newSpec(6, 1+rng.IntN(3))
		machines := allUp(spec, 0)
		downUntil, begun := map[citron.Machine]time.Duration{}, map[citron.Machine]bool{}
		recorded := Progress{}
		w := New(spec, recorded, time.Hour)
		complete := false
		for now := time.Hour; now < time.Hour+3*time.Minute && !complete; now += 250 * time.Millisecond {
			down := 0
			for m, until := range downUntil {
				status := machines[m]
				status.State = citron.MachineUp
				if now < until {
					status.State = citron.MachineUpkeep
					down++
				}
				machines[m] = status
			}
			if rng.IntN(20) == 0 {
				w = New(spec, recorded, now)
			}
			var actions []Action
			actions, complete = w.Plan(now, upkeepDuration, machines)
			for _, action := range actions {
				m := action.Machine
				w.MarkOrdered(m)
				recorded = clone(w.Progress)
				// 0: the order is lost; 1: it takes effect; 2: it takes effect but the answer is lost; 3: it is refused.
				outcome := rng.IntN(4)
				if outcome == 3 {
					w.MarkRefused(m)
					continue
				}
				if outcome > 0 && !begun[m] {
					if down >= spec.MaxDown {
						t.Fatalf("seed %d: %s goes down as machine number %d, at most %d allowed", seed, m, down+1, spec.MaxDown)
					}
					begun[m], downUntil[m] = true, now+upkeepDuration
					down++
				}
				if outcome == 1 {
					w.MarkBegun(now, m)
				}
			}
			recorded = clone(w.Progress)
		}
		if !complete || len(begun) != len(spec.Machines) {
			t.Fatalf("seed %d: complete %t after the upkeep of %d of %d machines, want true after all", seed, complete, len(begun), len(spec.Machines))
		}
	}
}

func clone(p Progress) Progress {
	c := Progress{Ordered: map[citron.Machine]bool{}, Begun: map[citron.Machine]bool{}, Completed: p.Completed}
	for m := range p.Ordered {
		c.Ordered[m] = true
	}
	for m := range p.Begun {
		c.Begun[m] = true
	}
	return c
}
