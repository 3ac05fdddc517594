// Package upkeep decides which machines of a wave go down next. It has no I/O and no clock.
package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// orderMargin is kept of the time of a machine for its call and the platform's answer.
	orderMargin = 500 * time.Millisecond
	// minDrainTime is how long a machine is left to empty itself at least, where the time of the wave allows no more.
	minDrainTime = 300 * time.Millisecond
	// goneAfter is how long a machine must be missing from the list to count as gone: the platform may list it again.
	goneAfter = 3 * time.Second
)

// Progress is what is recorded of a wave, so that the next holder goes on with it.
type Progress struct {
	// Ordered are the machines whose call may have been sent, Done those whose upkeep has begun for certain.
	Ordered, Begun map[citron.Machine]bool
	Completed      bool
}

// MachineStatus is what a machine carries at the moment.
type MachineStatus struct {
	State citron.MachineState
	// Worker is the machine's worker; empty while it has none.
	Worker citron.Worker
	Tasks  int
}

// Action is one thing to do.
type Action struct {
	Machine citron.Machine
	Worker  citron.Worker
	// Evict has the tasks of the worker stopped; Call takes the machine down.
	Evict, Order bool
}

// Wave follows one wave of upkeep within one epoch of the holder.
type Wave struct {
	Spec     citron.Wave
	Progress Progress

	// deadline is when the wave should be over.
	deadline time.Duration
	// draining are the machines that are being emptied, and since when.
	draining map[citron.Machine]time.Duration
	// begunAt is when a machine's upkeep began for certain in this epoch.
	begunAt map[citron.Machine]time.Duration
	// missingSince is since when a machine has not been listed.
	missingSince map[citron.Machine]time.Duration
	// firstOrder are the machines of which no call was sent before the one under way.
	firstOrder map[citron.Machine]bool
}

// New returns a wave as it was recorded. Its time counts from now where it is not known when it was asked for.
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

// Plan returns what to do now, and whether all machines have had their upkeep or are gone. Takes is how long one upkeep
// lasts. A machine that the platform has not listed for a while is gone.
func (w *Wave) Plan(now, takes time.Duration, hosts map[citron.Machine]MachineStatus) (steps []Action, complete bool) {
	down, missing, open := 0, 0, []citron.Machine{}
	for _, m := range w.Spec.Machines {
		h, listed := hosts[m]
		gone := w.gone(now, m, listed)
		switch {
		case w.Progress.Begun[m]:
			if now < w.begunAt[m]+takes || listed && h.State != citron.MachineUp {
				down++
			}
		case gone:
		case !listed:
			missing++
			if w.Progress.Ordered[m] {
				down++
			}
		case w.Progress.Ordered[m]:
			// An unanswered call may have been carried out, or be still on its way.
			down++
			steps = append(steps, Action{Machine: m, Worker: h.Worker, Order: true})
		default:
			open = append(open, m)
		}
	}
	if len(open) == 0 && len(steps) == 0 && missing == 0 {
		return nil, true
	}
	w.selectMachines(now, down, open, hosts)
	patience := w.drainTime(now, takes, len(open))
	for _, m := range slices.Sorted(maps.Keys(w.draining)) {
		h := hosts[m]
		switch waited := now - w.draining[m]; {
		case h.Tasks == 0:
			steps = append(steps, Action{Machine: m, Worker: h.Worker, Order: true})
		case waited >= patience:
			steps = append(steps, Action{Machine: m, Worker: h.Worker, Evict: true})
		}
	}
	return steps, false
}

// gone reports whether a machine has not been listed for long.
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

// selectMachines picks the machines to empty next, those with the fewest tasks first, up to the most that may be down at once.
func (w *Wave) selectMachines(now time.Duration, down int, open []citron.Machine, hosts map[citron.Machine]MachineStatus) {
	for m := range w.draining {
		if !slices.Contains(open, m) || hosts[m].State != citron.MachineUp {
			delete(w.draining, m)
		}
	}
	slices.SortFunc(open, func(a, b citron.Machine) int {
		return cmp.Or(cmp.Compare(hosts[a].Tasks, hosts[b].Tasks), cmp.Compare(a, b))
	})
	for _, m := range open {
		if _, already := w.draining[m]; already || hosts[m].State != citron.MachineUp {
			continue
		}
		if down+len(w.draining) >= max(w.Spec.MaxDown, 1) {
			return
		}
		w.draining[m] = now
	}
}

// drainTime is how long a chosen machine may take to empty itself, so that the others still have their turn in time.
func (w *Wave) drainTime(now, takes time.Duration, open int) time.Duration {
	most := max(w.Spec.MaxDown, 1)
	rounds := (open + most - 1) / most
	share := (w.deadline - now) / time.Duration(max(rounds, 1))
	return max(share-takes-orderMargin, minDrainTime)
}

// Cordoned lists the machines that should be given no more tasks.
func (w *Wave) Cordoned() (list []citron.Machine) {
	for _, m := range w.Spec.Machines {
		_, chosen := w.draining[m]
		if chosen || w.Progress.Ordered[m] && !w.Progress.Begun[m] {
			list = append(list, m)
		}
	}
	return list
}

// MarkOrdered notes that a machine's call is about to be sent. It returns false if that is recorded already.
func (w *Wave) MarkOrdered(m citron.Machine) (changed bool) {
	changed = !w.Progress.Ordered[m]
	w.firstOrder[m] = changed
	w.Progress.Ordered[m] = true
	return changed
}

// MarkBegun notes the platform's word that a machine's upkeep has begun, or that there is none to do.
func (w *Wave) MarkBegun(now time.Duration, m citron.Machine) {
	w.Progress.Begun[m] = true
	w.begunAt[m] = now
	delete(w.draining, m)
}

// MarkRefused notes that a call did nothing. Unless an earlier one may still be carried out, the machine waits for another
// turn.
func (w *Wave) MarkRefused(m citron.Machine) {
	if w.firstOrder[m] {
		delete(w.Progress.Ordered, m)
		delete(w.draining, m)
	}
}
