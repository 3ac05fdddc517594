package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// workerSlots is the number of gang members that a worker can run.
type workerSlots struct {
	worker *worker
	count  int
	// suspect is set if a member of the gang, or the worker's last task, has failed on the worker.
	suspect bool
	// loss is the expected loss by interference of the first member and of the tasks on the worker.
	loss int64
}

// placeGang starts all members of a gang or none. A gang that does not fit reserves capacity.
func (wp *waitingPass) placeGang(s *step) {
	if !s.waiting() || wp.mustLeaveHeadroom(s, s.tasks.size) {
		return
	}
	if s.needsTicket() && !s.hasTicket(wp.now) {
		wp.takeReservation()
		return
	}
	if !wp.freeRoom(s.service()).Fits(s.need.Times(s.tasks.size)) {
		wp.reserve(s)
		return
	}
	exclusive := wp.pool.exclusive(s)
	free := wp.gangSlots(s, wp.startable(s), func(w *worker) citron.Capacity {
		if exclusive && w.unsettled() {
			return citron.Capacity{}
		}
		return wp.capacityFor(s, w)
	})
	chosen := wp.chooseLike(s, free)
	if chosen == nil {
		wp.reserve(s)
		return
	}
	s.gangRun++
	checkpoint := gangCheckpoint(s)
	next := 0
	for _, c := range chosen {
		for range c.count {
			t := s.tasks.at(next)
			t.checkpoint = checkpoint
			wp.startTask(t, c.worker, s.gangRun)
			next++
		}
	}
}

// gangCheckpoint returns the checkpoint from which all members start: the greatest, since checkpoints sort by progress.
func gangCheckpoint(s *step) (latest string) {
	for t := range s.tasks.withObject {
		latest = max(latest, t.checkpoint)
	}
	return latest
}

// gangSlots returns how many members each allowed worker of a list can run: workers without failures first, then those with the
// least expected loss by interference, then most slots first.
func (wp *waitingPass) gangSlots(s *step, workers []candidate, capacity func(*worker) citron.Capacity) (list []workerSlots) {
	for _, c := range workers {
		w := c.worker
		n := capacity(w).MaxCopies(s.need)
		if n == 0 || !wp.allowed(s, w) {
			continue
		}
		if limit := int(s.spec.GetPerWorker()); limit > 0 {
			n = min(n, limit)
		}
		list = append(list, workerSlots{w, n, w.failures.suspect() || s.counts.failedOn[w.entry.ID], wp.expectedLoss(s, w)})
	}
	slices.SortFunc(list, func(x, y workerSlots) int {
		return cmp.Or(compareBool(x.suspect, y.suspect), cmp.Compare(x.loss, y.loss), cmp.Compare(y.count, x.count), cmp.Compare(x.worker.free().MilliCores, y.worker.free().MilliCores), cmp.Compare(x.worker.entry.ID, y.worker.entry.ID))
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

// chooseWorkers returns workers for all members. If the step asks for one rack, workers in other racks are used only if
// the members do not fit into it. It returns nil if the members do not fit at all.
func chooseWorkers(s *step, free []workerSlots) []workerSlots {
	if s.spec.GetSameRack() || s.spec.GetDataRack() != "" {
		if chosen := chooseRack(s, free); chosen != nil {
			return chosen
		}
	}
	return fillSlots(free, s.tasks.size)
}

// chooseRack returns workers for all members in the rack of the data if one is set, or else in the rack where the
// fewest workers suffice. It returns nil if the members do not fit into the rack.
func chooseRack(s *step, free []workerSlots) []workerSlots {
	racks := map[citron.Rack][]workerSlots{}
	for _, f := range free {
		racks[f.worker.entry.Rack] = append(racks[f.worker.entry.Rack], f)
	}
	if dataRack := citron.Rack(s.spec.GetDataRack()); dataRack != "" {
		return fillSlots(racks[dataRack], s.tasks.size)
	}
	var best []workerSlots
	for _, list := range racks {
		chosen := fillSlots(list, s.tasks.size)
		if chosen != nil && (best == nil || len(chosen) < len(best) || len(chosen) == len(best) && chosen[0].worker.entry.ID < best[0].worker.entry.ID) {
			best = chosen
		}
	}
	return best
}

// fillSlots assigns members to slots in order. It returns nil if there are too few slots.
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

// reservationHorizons are the times ahead at which capacity for a waiting gang is looked for.
var reservationHorizons = [...]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// takeReservation counts a gang that comes before others that could reserve capacity, and reports whether it may reserve some.
func (wp *waitingPass) takeReservation() bool {
	if wp.reservingGangs >= maxReservingGangs {
		return false
	}
	wp.reservingGangs++
	return true
}

// reserve keeps capacity free for a gang on the workers that are expected to have it first. Tasks that are expected to
// end before the gang can start may still use it.
func (wp *waitingPass) reserve(s *step) {
	if !wp.takeReservation() {
		return
	}
	list := wp.candidateList(s)
	if s.needsTicket() {
		list = wp.ticketHolders(s)
	}
	if !fitsEmpty(s, list) {
		return
	}
	exclusive := wp.pool.exclusive(s)
	for n, h := range reservationHorizons {
		wp.pool.lastPlan.Looks += len(list)
		expected := wp.gangSlots(s, list, func(w *worker) citron.Capacity { return wp.capacityFor(s, w).Add(wp.releasedBy(w)[n]) })
		chosen := chooseWorkers(s, expected)
		if chosen == nil {
			continue
		}
		if wp.reservations == nil {
			wp.reservations = map[*worker]reservation{}
		}
		for _, c := range chosen {
			r := wp.reservations[c.worker]
			r.capacity = r.capacity.Add(s.need.Times(c.count))
			r.until = max(r.until, wp.now+h)
			wp.reservations[c.worker] = r
			if exclusive && h == reservationHorizons[0] {
				// The other tasks must settle before the gang may start there.
				wp.closeWorker(c.worker)
			}
		}
		return
	}
}

// fitsEmpty reports whether all members of a gang fit on the workers of a list once nothing else is on them.
func fitsEmpty(s *step, list []candidate) bool {
	members := s.tasks.size
	for _, c := range list {
		if members -= s.copiesOnEmpty(c.worker); members <= 0 {
			return true
		}
	}
	return false
}

// released is the capacity that tasks are expected to release until each of reservationHorizons.
type released [len(reservationHorizons)]citron.Capacity

// releasedBy returns what the tasks on a worker are expected to release. Tasks of services run until they are stopped.
func (wp *waitingPass) releasedBy(w *worker) *released {
	if r := wp.released[w]; r != nil {
		return r
	}
	r := &released{}
	wp.pool.lastPlan.Looks += len(w.tasks)
	for _, t := range w.tasks {
		stops := t.state == taskLeaving || t.state == taskStopping
		end := t.startedAt + wp.pool.runTimeOn(w, t.step)
		for n, h := range reservationHorizons {
			if stops || !t.step.spec.GetService() && end <= wp.now+h {
				r[n] = r[n].Add(t.step.need)
			}
		}
	}
	if wp.released == nil {
		wp.released = map[*worker]*released{}
	}
	wp.released[w] = r
	return r
}
