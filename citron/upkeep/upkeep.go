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
	// emptyMargin is kept of the time of a machine for its call and the platform's answer.
	emptyMargin = 500 * time.Millisecond
	// leastPatience is how long a machine is left to empty itself at least, where the time of the wave allows no more.
	leastPatience = 300 * time.Millisecond
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

	// due is when the wave should be over.
	due time.Duration
	// chosen are the machines that are being emptied, and since when.
	chosen map[citron.Machine]time.Duration
	// began is when a machine's upkeep began for certain in this epoch.
	began map[citron.Machine]time.Duration
	// missing is since when a machine has not been listed.
	missing map[citron.Machine]time.Duration
	// first are the machines of which no call was sent before the one under way.
	first map[citron.Machine]bool
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
		Spec: spec, Progress: p, due: now + spec.TimeLimit,
		chosen: map[citron.Machine]time.Duration{}, began: map[citron.Machine]time.Duration{}, first: map[citron.Machine]bool{}, missing: map[citron.Machine]time.Duration{},
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
			if now < w.began[m]+takes || listed && h.State != citron.MachineUp {
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
	w.choose(now, down, open, hosts)
	patience := w.patience(now, takes, len(open))
	for _, m := range slices.Sorted(maps.Keys(w.chosen)) {
		h := hosts[m]
		switch waited := now - w.chosen[m]; {
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
	since, missing := w.missing[m]
	switch {
	case listed:
		delete(w.missing, m)
	case !missing:
		w.missing[m] = now
	}
	return missing && !listed && now-since >= goneAfter
}

// choose picks the machines to empty next, those with the fewest tasks first, up to the most that may be down at once.
func (w *Wave) choose(now time.Duration, down int, open []citron.Machine, hosts map[citron.Machine]MachineStatus) {
	for m := range w.chosen {
		if !slices.Contains(open, m) || hosts[m].State != citron.MachineUp {
			delete(w.chosen, m)
		}
	}
	slices.SortFunc(open, func(a, b citron.Machine) int {
		return cmp.Or(cmp.Compare(hosts[a].Tasks, hosts[b].Tasks), cmp.Compare(a, b))
	})
	for _, m := range open {
		if _, already := w.chosen[m]; already || hosts[m].State != citron.MachineUp {
			continue
		}
		if down+len(w.chosen) >= max(w.Spec.MaxDown, 1) {
			return
		}
		w.chosen[m] = now
	}
}

// patience is how long a chosen machine may take to empty itself, so that the others still have their turn in time.
func (w *Wave) patience(now, takes time.Duration, open int) time.Duration {
	most := max(w.Spec.MaxDown, 1)
	rounds := (open + most - 1) / most
	share := (w.due - now) / time.Duration(max(rounds, 1))
	return max(share-takes-emptyMargin, leastPatience)
}

// Cordoned lists the machines that should be given no more tasks.
func (w *Wave) Cordoned() (list []citron.Machine) {
	for _, m := range w.Spec.Machines {
		_, chosen := w.chosen[m]
		if chosen || w.Progress.Ordered[m] && !w.Progress.Begun[m] {
			list = append(list, m)
		}
	}
	return list
}

// MarkOrdered notes that a machine's call is about to be sent. It returns false if that is recorded already.
func (w *Wave) MarkOrdered(m citron.Machine) (changed bool) {
	changed = !w.Progress.Ordered[m]
	w.first[m] = changed
	w.Progress.Ordered[m] = true
	return changed
}

// MarkBegun notes the platform's word that a machine's upkeep has begun, or that there is none to do.
func (w *Wave) MarkBegun(now time.Duration, m citron.Machine) {
	w.Progress.Begun[m] = true
	w.began[m] = now
	delete(w.chosen, m)
}

// MarkRefused notes that a call did nothing. Unless an earlier one may still be carried out, the machine waits for another
// turn.
func (w *Wave) MarkRefused(m citron.Machine) {
	if w.first[m] {
		delete(w.Progress.Ordered, m)
		delete(w.chosen, m)
	}
}
