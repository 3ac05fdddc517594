package pool

import (
	"math"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// headroomWindow is the time constant over which arrivals are averaged. Bursts last 4 to 6.5 s, so it has to be shorter.
	headroomWindow = 2 * time.Second
	// headroomDeviations is the margin for bursts, in standard deviations of the capacity in use. With Poisson arrivals 3 of
	// them suffice for all but a thousandth of the time.
	headroomDeviations = 3
	// headroomWait is how long a step is expected to wait for capacity after it has left the headroom free. Steps with less
	// slack use the headroom. It is about the run time of a quick task.
	headroomWait = time.Second
)

// headroom estimates the capacity that the arrivals of priority 0 need. It answers quick jobs that arrive 100 times a second
// beside gangs that run for 4 s on a cluster that is 83 % used. The zero value expects nothing.
type headroom struct {
	at time.Duration
	// mean and variance are those of the capacity in use, by resource: work that arrives at a constant rate uses rate times
	// run time on average.
	mean, variance [resources]float64
}

// resources is the number of kinds of resource in citron.Capacity.
const resources = 3

// values returns the amounts of a capacity by resource.
func values(c citron.Capacity) [resources]float64 {
	return [resources]float64{float64(c.MilliCores), float64(c.MemoryMb), float64(c.Accelerators)}
}

// add records the arrival of tasks that need a capacity together for a time.
func (h *headroom) add(now time.Duration, need citron.Capacity, runTime time.Duration) {
	h.decay(now)
	for n, v := range values(need) {
		share := runTime.Seconds() / headroomWindow.Seconds()
		h.mean[n] += v * share
		h.variance[n] += v * v * share
	}
}

// decay ages the arrivals.
func (h *headroom) decay(now time.Duration) {
	factor := math.Exp(-max(now-h.at, 0).Seconds() / headroomWindow.Seconds())
	h.at = max(now, h.at)
	for n := range h.mean {
		h.mean[n] *= factor
		h.variance[n] *= factor
	}
}

// free returns the capacity to be left free: what the arrivals are expected to need beyond what they use, at most percent
// of the total.
func (h *headroom) free(now time.Duration, used, total citron.Capacity, percent int) citron.Capacity {
	h.decay(now)
	var left [resources]int64
	inUse, limit := values(used), values(total)
	for n := range left {
		expected := h.mean[n] + headroomDeviations*math.Sqrt(h.variance[n])
		left[n] = int64(max(min(expected-inUse[n], limit[n]*float64(percent)/100), 0))
	}
	return citron.Capacity{MilliCores: left[0], MemoryMb: left[1], Accelerators: left[2]}
}

// serviceHeadroom is the headroom on the workers of one service during one plan.
type serviceHeadroom struct {
	// free is the unused capacity of the usable workers, reserved the part of it that is left to priority 0.
	free, reserved citron.Capacity
}

// leaves reports whether enough of each resource that is needed remains free.
func (h *serviceHeadroom) leaves(need citron.Capacity) bool {
	return leavesEnough(h.free.MilliCores, need.MilliCores, h.reserved.MilliCores) &&
		leavesEnough(h.free.MemoryMb, need.MemoryMb, h.reserved.MemoryMb) &&
		leavesEnough(h.free.Accelerators, need.Accelerators, h.reserved.Accelerators)
}

func leavesEnough(free, need, reserved int64) bool {
	return need == 0 || free-need >= reserved
}

// recordHeadroom records the arrival of a ready step of priority 0.
func (p *Pool) recordHeadroom(now time.Duration, s *step) {
	if p.Options.HeadroomPercent == 0 || s.priority() > 0 {
		return
	}
	h := p.headrooms[s.service()]
	if h == nil {
		h = &headroom{}
		p.headrooms[s.service()] = h
	}
	h.add(now, s.need.Times(s.tasks.size), p.expectedOf(s))
}

// findHeadroom returns the headroom of each service, nil if there is none.
func (p *Pool) findHeadroom(now time.Duration) map[citron.Service]*serviceHeadroom {
	if p.Options.HeadroomPercent == 0 || len(p.headrooms) == 0 {
		return nil
	}
	found := make(map[citron.Service]*serviceHeadroom, len(p.headrooms))
	for service, h := range p.headrooms {
		found[service] = &serviceHeadroom{}
		var total citron.Capacity
		for _, w := range p.byID {
			if w.entry.Service != service {
				continue
			}
			if w.usable(now) {
				total = total.Add(w.entry.Capacity)
				found[service].free = found[service].free.Add(w.free())
			}
		}
		found[service].reserved = h.free(now, p.urgentUse[service], total, p.Options.HeadroomPercent)
	}
	return found
}

// mustLeaveHeadroom reports whether a number of tasks of a step must wait, since they would use capacity that the arrivals
// of priority 0 are expected to need, and the step can still meet its objective after waiting.
func (wp *waitingPass) mustLeaveHeadroom(s *step, tasks int) bool {
	h := wp.headrooms[s.service()]
	if h == nil || s.priority() == 0 || h.leaves(s.need.Times(tasks)) {
		return false
	}
	return wp.now+wp.pool.expectedOf(s)+headroomWait <= s.deadline
}

// useHeadroom records that a task of a step takes capacity. Tasks of priority 0 take theirs from the headroom.
func (wp *waitingPass) useHeadroom(s *step) {
	h := wp.headrooms[s.service()]
	if h == nil {
		return
	}
	h.free = h.free.Sub(s.need)
	if s.priority() == 0 {
		h.reserved = h.reserved.Sub(s.need).AtLeastZero()
	}
}

func (s *step) priority() int32 { return s.job.spec.GetTerms().GetPriority() }

func (s *step) service() citron.Service { return citron.Service(s.job.spec.GetTerms().GetService()) }
