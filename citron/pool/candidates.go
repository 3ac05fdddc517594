package pool

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/citroncross/citroncross/citron"
)

// This file answers bursts in which thousands of steps wait for a few hundred workers. If a plan sorted the workers anew for each
// step, it would take longer than the shortest jobs may wait.

// candidateKey tells which workers steps may run on.
type candidateKey struct {
	service citron.Service
	label   string
}

// candidate is a worker and the cores that it had free when the pass began. Starts only take cores during a pass.
type candidate struct {
	worker    *worker
	freeCores int64
}

// candidateLists are the workers by service and label, sorted once per pass. The zero value is empty.
type candidateLists map[candidateKey][]candidate

// candidates returns the listed workers whose service, label and capacity suit the step. Those with the most free cores at the
// start of the pass come first. It includes workers without a report in this epoch, since they will have reported by the time
// that they are needed. The list is valid until the next call.
func (wp *waitingPass) candidates(s *step) []*worker {
	list := wp.candidateList(s)
	wp.pool.lastPlan.Looks += len(list)
	wp.fitting = wp.fitting[:0]
	for _, c := range list {
		if c.worker.entry.Capacity.Fits(s.need) {
			wp.fitting = append(wp.fitting, c.worker)
		}
	}
	return wp.fitting
}

// roomy returns the listed workers whose service and label suit the step and that had enough free cores for a task of it when
// the pass began. No other worker can start one in this pass.
func (wp *waitingPass) roomy(s *step) []candidate {
	list := wp.candidateList(s)
	n, _ := slices.BinarySearchFunc(list, s.need.MilliCores, func(c candidate, cores int64) int {
		if c.freeCores >= cores {
			return -1
		}
		return 1
	})
	wp.pool.lastPlan.Looks += n
	return list[:n]
}

// startable returns the workers on which a task of the step might start in this pass: those with tickets or those that are roomy,
// whichever are fewer. The list is valid until the next call.
func (wp *waitingPass) startable(s *step) []candidate {
	roomy := wp.roomy(s)
	if !s.needsTicket() || len(s.permits) >= len(roomy) {
		return roomy
	}
	return wp.ticketHolders(s)
}

// ticketHolders returns the workers that the step has valid tickets for. The list is valid until the next call.
func (wp *waitingPass) ticketHolders(s *step) []candidate {
	wp.pool.lastPlan.Looks += len(s.permits)
	wp.holders = wp.holders[:0]
	for id, r := range s.permits {
		if w := wp.pool.workers[id]; w != nil && r.expires > wp.now+minTicketValidity {
			wp.holders = append(wp.holders, candidate{w, w.free().MilliCores})
		}
	}
	return wp.holders
}

// candidateList returns the workers for steps like s, most free cores first.
func (wp *waitingPass) candidateList(s *step) []candidate {
	key := candidateKey{citron.Service(s.job.spec.GetTerms().GetService()), s.spec.GetRequires()}
	list, known := wp.lists[key]
	if !known {
		list = wp.listCandidates(key)
		if wp.lists == nil {
			wp.lists = candidateLists{}
		}
		wp.lists[key] = list
	}
	return list
}

// listCandidates returns the listed workers of a service with a label, most free cores first.
func (wp *waitingPass) listCandidates(key candidateKey) (list []candidate) {
	for _, w := range wp.pool.byID {
		if w.listed && !w.gone && !w.entry.Draining && w.entry.Service == key.service && w.entry.HasLabel(key.label) {
			list = append(list, candidate{w, w.free().MilliCores})
		}
	}
	wp.countSort(len(list))
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.freeCores, x.freeCores), cmp.Compare(x.worker.entry.ID, y.worker.entry.ID))
	})
	return list
}

// freeRoom returns the free capacity of the usable workers of a service.
func (wp *waitingPass) freeRoom(service citron.Service) *citron.Capacity {
	free, known := wp.free[service]
	if known {
		return free
	}
	free = &citron.Capacity{}
	for _, w := range wp.pool.byID {
		if w.entry.Service == service && w.usable(wp.now) {
			*free = free.Add(w.free().AtLeastZero())
		}
	}
	if wp.free == nil {
		wp.free = map[citron.Service]*citron.Capacity{}
	}
	wp.free[service] = free
	return free
}

// countSort counts the comparisons that it takes to sort a number of workers.
func (wp *waitingPass) countSort(workers int) {
	wp.pool.lastPlan.Looks += workers * bits.Len(uint(workers))
}

// spread sorts workers by how well their speed suits a step, and those alike in an order that differs from step to step.
func (wp *waitingPass) spread(s *step, workers []*worker) {
	type place struct {
		worker *worker
		rank   int
		order  uint64
	}
	seed := xxhash.Sum64String(string(s.ref))
	places := make([]place, len(workers))
	for n, w := range workers {
		places[n] = place{w, wp.speedRank(s, w), mix(seed ^ w.hash)}
	}
	wp.countSort(len(places))
	slices.SortFunc(places, func(x, y place) int { return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.order, y.order)) })
	for n := range places {
		workers[n] = places[n].worker
	}
}

// mix spreads the bits of a hash, with the constants of SplitMix64.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
