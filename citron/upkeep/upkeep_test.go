package upkeep

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const takes = 2 * time.Second

func spec(machines, most int) citron.Wave {
	s := citron.Wave{Number: 1, TimeLimit: 30 * time.Second, MaxDown: most}
	for n := range machines {
		s.Machines = append(s.Machines, citron.Machine(fmt.Sprintf("m%02d", n)))
	}
	return s
}

func up(s citron.Wave, tasks int) map[citron.Machine]MachineStatus {
	hosts := map[citron.Machine]MachineStatus{}
	for _, m := range s.Machines {
		hosts[m] = MachineStatus{State: citron.MachineUp, Worker: citron.Worker("w" + string(m)), Tasks: tasks}
	}
	return hosts
}

func TestIdleMachinesGoDownOnlyAsManyAtOnceAsAllowed(t *testing.T) {
	s := spec(3, 1)
	hosts := up(s, 0)
	w := New(s, Progress{}, time.Hour)
	now := time.Hour
	for n := range s.Machines {
		steps, complete := w.Plan(now, takes, hosts)
		if complete || len(steps) != 1 || !steps[0].Order {
			t.Fatalf("round %d: steps %v, complete %t", n, steps, complete)
		}
		m := steps[0].Machine
		w.MarkOrdered(m)
		w.MarkBegun(now, m)
		if again, _ := w.Plan(now+takes/2, takes, hosts); len(again) != 0 {
			t.Fatalf("round %d: %v while %s is down", n, again, m)
		}
		now += takes
	}
	if _, complete := w.Plan(now, takes, hosts); !complete {
		t.Error("the wave does not end")
	}
}

func TestBusyMachineEmptiesItselfWhileTimeAllows(t *testing.T) {
	s := spec(2, 1)
	hosts := up(s, 3)
	w := New(s, Progress{}, time.Hour)
	now := time.Hour
	for waited := time.Duration(0); waited < 30*time.Second; waited += 100 * time.Millisecond {
		steps, _ := w.Plan(now+waited, takes, hosts)
		if len(steps) > 0 {
			if !steps[0].Evict || waited < 5*time.Second {
				t.Fatalf("%+v after %v", steps[0], waited)
			}
			return
		}
	}
	t.Error("a busy machine is never emptied")
}

func TestNextHolderFinishesWhatWasAsked(t *testing.T) {
	s := spec(3, 1)
	w := New(s, Progress{Ordered: map[citron.Machine]bool{"m01": true}}, time.Hour)
	steps, _ := w.Plan(time.Hour, takes, up(s, 0))
	if len(steps) != 1 || steps[0].Machine != "m01" || !steps[0].Order {
		t.Errorf("steps %v; the call for m01 may still be on its way", steps)
	}
}

func TestGoneMachinesDoNotHoldTheWaveUp(t *testing.T) {
	s := spec(2, 2)
	w := New(s, Progress{}, time.Hour)
	if _, complete := w.Plan(time.Hour, takes, nil); complete {
		t.Error("a machine counts as gone that one list does not name")
	}
	if _, complete := w.Plan(time.Hour+goneAfter, takes, nil); !complete {
		t.Error("a wave of machines that have left does not end")
	}
}

// Plays waves with calls that are lost before or after they took effect, refusals and changes of holder.
func TestPlayedWavesKeepTheirLimit(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := spec(6, 1+rng.IntN(3))
		hosts := up(s, 0)
		downUntil, had := map[citron.Machine]time.Duration{}, map[citron.Machine]bool{}
		recorded := Progress{}
		w := New(s, recorded, time.Hour)
		complete := false
		for now := time.Hour; now < time.Hour+3*time.Minute && !complete; now += 250 * time.Millisecond {
			down := 0
			for m, until := range downUntil {
				h := hosts[m]
				h.State = citron.MachineUp
				if now < until {
					h.State = citron.MachineUpkeep
					down++
				}
				hosts[m] = h
			}
			if rng.IntN(20) == 0 {
				w = New(s, recorded, now)
			}
			var steps []Action
			steps, complete = w.Plan(now, takes, hosts)
			for _, step := range steps {
				m := step.Machine
				w.MarkOrdered(m)
				recorded = copied(w.Progress)
				answer := rng.IntN(4)
				if answer == 3 {
					w.MarkRefused(m)
					continue
				}
				if answer > 0 && !had[m] {
					if down >= s.MaxDown {
						t.Fatalf("seed %d: %s goes down as number %d of %d", seed, m, down+1, s.MaxDown)
					}
					had[m], downUntil[m] = true, now+takes
					down++
				}
				if answer == 1 {
					w.MarkBegun(now, m)
				}
			}
			recorded = copied(w.Progress)
		}
		if !complete || len(had) != len(s.Machines) {
			t.Fatalf("seed %d: complete %t after %d of %d machines", seed, complete, len(had), len(s.Machines))
		}
	}
}

func copied(p Progress) Progress {
	c := Progress{Ordered: map[citron.Machine]bool{}, Begun: map[citron.Machine]bool{}, Completed: p.Completed}
	for m := range p.Ordered {
		c.Ordered[m] = true
	}
	for m := range p.Begun {
		c.Begun[m] = true
	}
	return c
}
