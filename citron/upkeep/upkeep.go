// Package upkeep decides which machines of an upkeep wave go down next. It performs no I/O and reads no clock.
package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// orderMargin is the part of a machine's time that is reserved for its upkeep order and the platform's answer.
	orderMargin = 500 * time.Millisecond
	// minDrainTime is the minimum drain time of a machine, even if the wave then exceeds its time limit.
	minDrainTime = 300 * time.Millisecond
	// goneAfter is how long a machine must be missing from the list to count as gone, since the platform may list it
	// again.
	goneAfter = 3 * time.Second
)

// Progress is the recorded progress of a wave, with which the next holder continues it.
type Progress struct {
	// Ordered holds the machines whose upkeep order may have been sent, Begun those whose upkeep is known to have begun.
	Ordered, Begun map[citron.Machine]bool
	Completed      bool
}

// MachineStatus is the current state of a machine.
type MachineStatus struct {
	State citron.MachineState
	// Worker is the machine's worker, empty if it has none; Tasks is the number of runs on it.
	Worker citron.Worker
	Tasks  int
}

// Action is a step of a wave to carry out on one machine.
type Action struct {
	Machine citron.Machine
	Worker  citron.Worker
	// Evict stops the tasks of the worker; Order sends an upkeep order, which takes the machine down.
	Evict, Order bool
}

// Wave is the state of an upkeep wave in one epoch of the holder.
type Wave struct {
	Spec     citron.Wave
	Progress Progress

	// deadline is when the wave should be completed.
	deadline time.Duration
	// draining holds the machines that are being drained, with the start time.
	draining map[citron.Machine]time.Duration
	// begunAt is when the platform confirmed in this epoch that a machine's upkeep had begun.
	begunAt map[citron.Machine]time.Duration
	// missingSince is the time since which a machine has not been listed.
	missingSince map[citron.Machine]time.Duration
	// firstOrder holds the machines for which no order can have been sent before the current one.
	firstOrder map[citron.Machine]bool
}

// New returns a wave with its recorded progress. The time limit counts from now, since the start of the wave is not
// recorded.
func New(spec citron.Wave, p Progress, now time.Duration) *Wave {
	if p.Ordered == nil {
		p.Ordered = map[citron.Machine]bool{}
	}
	if p.Begun == nil {
		p.Begun = map[citron.Machine]bool{}
	}
	return &Wave{
		Spec: spec, Progress: p, deadline: now + spec.TimeLimit,
		draining: map[citron.Machine]time.Duration{}, begunAt: map[citron.Machine]time.Duration{}, firstOrder: map[citron.Machine]bool{}, missingSince: map[citron.Machine]time.Duration{},
	}
}

// Plan returns the actions to carry out now, and whether all machines have had their upkeep or are gone. One upkeep
// lasts for duration. A machine that the platform has not listed for goneAfter is gone.
func (w *Wave) Plan(now, duration time.Duration, machines map[citron.Machine]MachineStatus) (actions []Action, complete bool) {
	down, missing, pending := 0, 0, []citron.Machine{}
	for _, m := range w.Spec.Machines {
		status, listed := machines[m]
		gone := w.gone(now, m, listed)
		switch {
		case w.Progress.Begun[m]:
			if now < w.begunAt[m]+duration || listed && status.State != citron.MachineUp {
				down++
			}
		case gone:
		case !listed:
			missing++
			if w.Progress.Ordered[m] {
				down++
			}
		case w.Progress.Ordered[m]:
			// An unanswered order may have been carried out or may still be in flight.
			down++
			actions = append(actions, Action{Machine: m, Worker: status.Worker, Order: true})
		default:
			pending = append(pending, m)
		}
	}
	if len(pending) == 0 && len(actions) == 0 && missing == 0 {
		return nil, true
	}
	w.selectMachines(now, down, pending, machines)
	drainTime := w.drainTime(now, duration, len(pending))
	for _, m := range slices.Sorted(maps.Keys(w.draining)) {
		status := machines[m]
		switch waited := now - w.draining[m]; {
		case status.Tasks == 0:
			actions = append(actions, Action{Machine: m, Worker: status.Worker, Order: true})
		case waited >= drainTime:
			actions = append(actions, Action{Machine: m, Worker: status.Worker, Evict: true})
		}
	}
	return actions, false
}

// gone reports whether a machine has been missing from the list for goneAfter.
func (w *Wave) gone(now time.Duration, m citron.Machine, listed bool) bool {
	since, missing := w.missingSince[m]
	switch {
	case listed:
		delete(w.missingSince, m)
	case !missing:
		w.missingSince[m] = now
	}
	return missing && !listed && now-since >= goneAfter
}

// selectMachines picks the machines to drain next, those with the fewest tasks first, so that at most MaxDown machines
// are draining or down.
func (w *Wave) selectMachines(now time.Duration, down int, pending []citron.Machine, machines map[citron.Machine]MachineStatus) {
	for m := range w.draining {
		if !slices.Contains(pending, m) || machines[m].State != citron.MachineUp {
			delete(w.draining, m)
		}
	}
	slices.SortFunc(pending, func(a, b citron.Machine) int {
		return cmp.Or(cmp.Compare(machines[a].Tasks, machines[b].Tasks), cmp.Compare(a, b))
	})
	for _, m := range pending {
		if _, already := w.draining[m]; already || machines[m].State != citron.MachineUp {
			continue
		}
		if down+len(w.draining) >= max(w.Spec.MaxDown, 1) {
			return
		}
		w.draining[m] = now
	}
}

// drainTime returns how long a machine may drain before its tasks are evicted, so that all pending machines can still
// have their upkeep before the deadline.
func (w *Wave) drainTime(now, duration time.Duration, pending int) time.Duration {
	maxDown := max(w.Spec.MaxDown, 1)
	rounds := (pending + maxDown - 1) / maxDown
	share := (w.deadline - now) / time.Duration(max(rounds, 1))
	return max(share-duration-orderMargin, minDrainTime)
}

// Cordoned returns the machines that should receive no new tasks.
func (w *Wave) Cordoned() (list []citron.Machine) {
	for _, m := range w.Spec.Machines {
		_, chosen := w.draining[m]
		if chosen || w.Progress.Ordered[m] && !w.Progress.Begun[m] {
			list = append(list, m)
		}
	}
	return list
}

// MarkOrdered records that a machine's upkeep order is about to be sent. It returns false if that is already recorded.
func (w *Wave) MarkOrdered(m citron.Machine) (changed bool) {
	changed = !w.Progress.Ordered[m]
	w.firstOrder[m] = changed
	w.Progress.Ordered[m] = true
	return changed
}

// MarkBegun records the platform's answer that a machine's upkeep has begun, or that there is none to do.
func (w *Wave) MarkBegun(now time.Duration, m citron.Machine) {
	w.Progress.Begun[m] = true
	w.begunAt[m] = now
	delete(w.draining, m)
}

// MarkRefused records that an order had no effect. Unless an earlier order may still be carried out, the machine goes
// back to those that wait for upkeep.
func (w *Wave) MarkRefused(m citron.Machine) {
	if w.firstOrder[m] {
		delete(w.Progress.Ordered, m)
		delete(w.draining, m)
	}
}
