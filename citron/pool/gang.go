package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// seats is how many members of a gang a worker can take.
type seats struct {
	w *worker
	n int
	// doubtful is set where a member, or the last task of another job, has failed.
	doubtful bool
}

// gang starts all members at once, or none. A gang that does not fit yet keeps the room that will be free first.
func (b *board) gang(s *step) {
	for _, t := range s.tasks {
		if t.state != taskWaiting {
			return
		}
	}
	free := b.seats(s, func(w *worker) citron.Capacity { return b.room(s, w) })
	chosen := choose(s, free)
	if chosen == nil {
		b.keepRoom(s)
		return
	}
	s.gangRun++
	checkpoint := gangCheckpoint(s)
	next := 0
	for _, c := range chosen {
		for range c.n {
			t := s.tasks[next]
			t.checkpoint = checkpoint
			b.start(t, c.w, s.gangRun)
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

// seats lists how many members each allowed worker can take, sound ones first, then most first.
func (b *board) seats(s *step, room func(*worker) citron.Capacity) (list []seats) {
	for _, w := range b.p.order {
		n := room(w).MaxCopies(s.need)
		if n == 0 || !b.allowed(s, w) {
			continue
		}
		if limit := int(s.spec.GetPerWorker()); limit > 0 {
			n = min(n, limit)
		}
		list = append(list, seats{w, n, w.fails.suspect() || failedOn(s, w)})
	}
	slices.SortFunc(list, func(x, y seats) int {
		return cmp.Or(compareBool(x.doubtful, y.doubtful), cmp.Compare(y.n, x.n), cmp.Compare(x.w.free().MilliCores, y.w.free().MilliCores), cmp.Compare(x.w.entry.ID, y.w.entry.ID))
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

// choose picks workers for all members, in one rack where that matters and is possible. It returns nil if they do not fit.
func choose(s *step, free []seats) []seats {
	if s.spec.GetSameRack() || s.spec.GetDataRack() != "" {
		if chosen := chooseRack(s, free); chosen != nil {
			return chosen
		}
	}
	return take(free, len(s.tasks))
}

func chooseRack(s *step, free []seats) []seats {
	racks := map[citron.Rack][]seats{}
	for _, f := range free {
		racks[f.w.entry.Rack] = append(racks[f.w.entry.Rack], f)
	}
	if near := citron.Rack(s.spec.GetDataRack()); near != "" {
		return take(racks[near], len(s.tasks))
	}
	var best []seats
	for _, list := range racks {
		chosen := take(list, len(s.tasks))
		if chosen != nil && (best == nil || len(chosen) < len(best) || len(chosen) == len(best) && chosen[0].w.entry.ID < best[0].w.entry.ID) {
			best = chosen
		}
	}
	return best
}

// take fills seats from the front until all members have one.
func take(free []seats, members int) (chosen []seats) {
	for _, f := range free {
		n := min(f.n, members)
		chosen = append(chosen, seats{w: f.w, n: n})
		if members -= n; members == 0 {
			return chosen
		}
	}
	return nil
}

// horizons are how far ahead room is looked for.
var horizons = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// keepRoom holds room for a gang on the workers where it will be free first. Shorter work may still use it until then.
func (b *board) keepRoom(s *step) {
	if b.gangs >= heldBack {
		return
	}
	b.gangs++
	for _, h := range horizons {
		soon := b.seats(s, func(w *worker) citron.Capacity { return b.roomAt(s, w, b.now+h) })
		chosen := choose(s, soon)
		if chosen == nil {
			continue
		}
		if b.held == nil {
			b.held = map[*worker]hold{}
		}
		for _, c := range chosen {
			kept := b.held[c.w]
			for range c.n {
				kept.room = kept.room.Add(s.need)
			}
			kept.until = max(kept.until, b.now+h)
			b.held[c.w] = kept
		}
		return
	}
}

// roomAt is the room that a worker is expected to have at a time.
func (b *board) roomAt(s *step, w *worker, at time.Duration) citron.Capacity {
	room := b.room(s, w)
	for _, t := range w.tasks {
		if t.state == taskLeaving || t.state == taskStopping || t.startedAt+b.p.expected(t.step.job, t.step.index) <= at {
			room = room.Add(t.step.need)
		}
	}
	return room
}
