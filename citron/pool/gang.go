package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// workerSlots is how many members of a gang a worker can take.
type workerSlots struct {
	worker *worker
	count  int
	// suspect is set where a member, or the last task of another job, has failed.
	suspect bool
}

// placeGang starts all members at once, or none. A gang that does not fit yet keeps the room that will be free first.
func (b *waitingPass) placeGang(s *step) {
	for _, t := range s.tasks {
		if t.state != taskWaiting {
			return
		}
	}
	free := b.gangSlots(s, func(w *worker) citron.Capacity { return b.capacityFor(s, w) })
	chosen := chooseWorkers(s, free)
	if chosen == nil {
		b.reserve(s)
		return
	}
	s.gangRun++
	checkpoint := gangCheckpoint(s)
	next := 0
	for _, c := range chosen {
		for range c.count {
			t := s.tasks[next]
			t.checkpoint = checkpoint
			b.startTask(t, c.worker, s.gangRun)
			next++
		}
	}
}

// gangCheckpoint returns one checkpoint for all members; the longest progress is the last in order.
func gangCheckpoint(s *step) (latest string) {
	for _, t := range s.tasks {
		latest = max(latest, t.checkpoint)
	}
	return latest
}

// gangSlots lists how many members each allowed worker can take, sound ones first, then most first.
func (b *waitingPass) gangSlots(s *step, room func(*worker) citron.Capacity) (list []workerSlots) {
	for _, w := range b.pool.byID {
		n := room(w).MaxCopies(s.need)
		if n == 0 || !b.allowed(s, w) {
			continue
		}
		if limit := int(s.spec.GetPerWorker()); limit > 0 {
			n = min(n, limit)
		}
		list = append(list, workerSlots{w, n, w.failures.suspect() || failedOn(s, w)})
	}
	slices.SortFunc(list, func(x, y workerSlots) int {
		return cmp.Or(compareBool(x.suspect, y.suspect), cmp.Compare(y.count, x.count), cmp.Compare(x.worker.free().MilliCores, y.worker.free().MilliCores), cmp.Compare(x.worker.entry.ID, y.worker.entry.ID))
	})
	return list
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// failedOn reports whether a member of the gang has failed on a worker.
func failedOn(s *step, w *worker) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.failedOn[w.entry.ID] })
}

// chooseWorkers picks workers for all members, in one rack where that matters and is possible. It returns nil if they do not fit.
func chooseWorkers(s *step, free []workerSlots) []workerSlots {
	if s.spec.GetSameRack() || s.spec.GetDataRack() != "" {
		if chosen := chooseRack(s, free); chosen != nil {
			return chosen
		}
	}
	return fillSlots(free, len(s.tasks))
}

func chooseRack(s *step, free []workerSlots) []workerSlots {
	racks := map[citron.Rack][]workerSlots{}
	for _, f := range free {
		racks[f.worker.entry.Rack] = append(racks[f.worker.entry.Rack], f)
	}
	if near := citron.Rack(s.spec.GetDataRack()); near != "" {
		return fillSlots(racks[near], len(s.tasks))
	}
	var best []workerSlots
	for _, list := range racks {
		chosen := fillSlots(list, len(s.tasks))
		if chosen != nil && (best == nil || len(chosen) < len(best) || len(chosen) == len(best) && chosen[0].worker.entry.ID < best[0].worker.entry.ID) {
			best = chosen
		}
	}
	return best
}

// fillSlots fills seats from the front until all members have one.
func fillSlots(free []workerSlots, members int) (chosen []workerSlots) {
	for _, f := range free {
		n := min(f.count, members)
		chosen = append(chosen, workerSlots{worker: f.worker, count: n})
		if members -= n; members == 0 {
			return chosen
		}
	}
	return nil
}

// reservationHorizons are how far ahead room is looked for.
var reservationHorizons = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// reserve holds room for a gang on the workers where it will be free first. Shorter work may still use it until then.
func (b *waitingPass) reserve(s *step) {
	if b.reservingGangs >= maxReservingGangs {
		return
	}
	b.reservingGangs++
	for _, h := range reservationHorizons {
		soon := b.gangSlots(s, func(w *worker) citron.Capacity { return b.capacityAt(s, w, b.now+h) })
		chosen := chooseWorkers(s, soon)
		if chosen == nil {
			continue
		}
		if b.reservations == nil {
			b.reservations = map[*worker]reservation{}
		}
		for _, c := range chosen {
			kept := b.reservations[c.worker]
			for range c.count {
				kept.capacity = kept.capacity.Add(s.need)
			}
			kept.until = max(kept.until, b.now+h)
			b.reservations[c.worker] = kept
		}
		return
	}
}

// capacityAt is the room that a worker is expected to have at a time.
func (b *waitingPass) capacityAt(s *step, w *worker, at time.Duration) citron.Capacity {
	room := b.capacityFor(s, w)
	for _, t := range w.tasks {
		if t.state == taskLeaving || t.state == taskStopping || t.startedAt+b.pool.expectedRunTime(t.step.job, t.step.index) <= at {
			room = room.Add(t.step.need)
		}
	}
	return room
}
