package pool

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// speedMargin is the factor by which a worker must be faster or slower than usual to be treated as such. Differences
	// below it are not worth a worse fit, and noise of the estimates must not change decisions where all are alike.
	speedMargin = 1.15
	// speedsInterval is the time between two readings of the workers' speeds. A worker's estimate settles within about ten
	// ended runs, which take seconds.
	speedsInterval = 200 * time.Millisecond
	// slowSlack is the factor by which the expected run time on a slow worker is extended before it is compared with a
	// deadline; storing, ordering and the noise of run times are below a tenth of most objectives.
	slowSlack = 1.1
	// tailRisk is the probability that a waiting task of a step belongs to the tail from which the step leaves time for such a
	// task. Quick jobs of three tasks stay below it at 3 %, sweeps of 25 tasks have 0.53.
	tailRisk = 0.2
	// speedPenalty outweighs any difference in free capacity, but not suspectPenalty. It is charged once for each rank.
	speedPenalty = 1 << 27
)

// speedClass groups workers of like speed. Within a class the best fit decides.
type speedClass int

const (
	slowWorker  speedClass = -1
	usualWorker speedClass = 0
	fastWorker  speedClass = 1
)

var speedClassNames = map[speedClass]string{slowWorker: "slow", usualWorker: "usual", fastWorker: "fast"}

// workerSpeed is what placement knows of a worker's speed.
type workerSpeed struct {
	// group names the workers that are expected to be alike.
	group string
	class speedClass
	// factor is the estimated speed of a worker that is not of usual speed; 0 stands for 1.
	factor float64
}

// value returns the factor for computations.
func (s *workerSpeed) value() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// speeds is what placement knows of the speeds of all workers.
type speeds struct {
	readAt time.Duration
	// slow and fast count the workers known to be such; slowFactor and fastFactor are their mean speeds.
	slow, fast             int
	slowFactor, fastFactor float64
}

// differ reports whether workers are known to differ in speed.
func (s *speeds) differ() bool {
	return s.slow+s.fast > 0
}

// speedGroup returns the name of the workers that are expected to be as fast as an entry: same service, rack, labels and
// number of cores.
func speedGroup(e *citron.WorkerEntry) string {
	labels := slices.Sorted(slices.Values(e.Labels))
	return strings.Join(append([]string{string(e.Service), string(e.Rack), strconv.FormatInt(e.Capacity.MilliCores, 10)}, labels...), "/")
}

// readSpeeds reads the estimated speed of each worker.
func (p *Pool) readSpeeds(now time.Duration) {
	if p.speeds.readAt > 0 && now-p.speeds.readAt < speedsInterval {
		return
	}
	known := speeds{readAt: now}
	for _, w := range p.byID {
		estimate := p.runTimes.Speed(w.entry.ID, w.speed.group)
		class := classify(estimate)
		if class != w.speed.class {
			p.observe(Decision{Kind: DecidedSpeed, Worker: w.entry.ID, Outcome: speedClassNames[class], Speed: estimate.Factor, Runs: estimate.Runs})
		}
		w.speed.class, w.speed.factor = class, estimate.Factor
		switch class {
		case slowWorker:
			known.slow++
			known.slowFactor += (estimate.Factor - known.slowFactor) / float64(known.slow)
		case fastWorker:
			known.fast++
			known.fastFactor += (estimate.Factor - known.fastFactor) / float64(known.fast)
		default:
			w.speed.factor = 0
		}
	}
	p.speeds = known
}

// classify returns the class of a worker. It is usual unless both bounds of its factor are beyond the margin.
func classify(s citron.WorkerSpeed) speedClass {
	switch {
	case s.High < 1/speedMargin:
		return slowWorker
	case s.Low > speedMargin:
		return fastWorker
	}
	return usualWorker
}

// runTimeOn returns the expected run time of a task of a step on a worker.
func (p *Pool) runTimeOn(w *worker, s *step) time.Duration {
	return w.scaleRunTime(p.expectedOf(s))
}

// scaleRunTime returns the expected run time on the worker of a task with an expected run time on a worker of usual speed.
func (w *worker) scaleRunTime(expected time.Duration) time.Duration {
	if w.speed.class == usualWorker {
		return expected
	}
	return time.Duration(float64(expected) / w.speed.value())
}

// speedNeed is what a step needs of the speed of its workers.
type speedNeed struct {
	step *step
	// preferred is the class that the tasks prefer, least the speed below which they miss their deadline.
	preferred speedClass
	least     float64
}

// speedNeed returns what a step needs. Urgent steps prefer the fast workers, others the slow ones, so that these keep the
// fast ones free. A step is urgent if its priority is 0, or if it meets its deadline on a fast worker and not, or hardly,
// on a slow one, where a step of many tasks leaves time for one of the tail. All workers are alike to fill tasks, which run on what other tasks leave.
func (wp *waitingPass) speedNeed(s *step) speedNeed {
	known := &wp.pool.speeds
	if !known.differ() || s.spec.GetFills() {
		return speedNeed{}
	}
	if wp.lastNeed.step == s {
		return wp.lastNeed
	}
	n := speedNeed{step: s, preferred: slowWorker}
	expected := float64(wp.pool.expectedOf(s))
	left := float64(s.deadline - wp.now)
	for _, ran := range []float64{expected, expected * wp.pool.tailFactor(s)} {
		if ran <= left*known.fastest() {
			n.least = ran * slowSlack / left
		}
	}
	if s.job.spec.GetTerms().GetPriority() == 0 || n.least > known.slowest() {
		n.preferred = fastWorker
	}
	wp.lastNeed = n
	return n
}

// tailFactor returns how many times as long as expected the slowest task of a step takes: that of the tail if the step is
// likely to have such a task, else 1. A gang is one draw, since it ends as a whole.
func (p *Pool) tailFactor(s *step) float64 {
	draws := float64(s.waitingTasks())
	if s.spec.GetGang() {
		draws = 1
	}
	share, factor := p.runTimes.Tail(kindOf(s.job, s.index))
	if 1-math.Pow(1-share, draws) < tailRisk {
		return 1
	}
	return factor
}

// slowest returns the speed of the slowest class of workers, fastest that of the fastest one.
func (s *speeds) slowest() float64 {
	if s.slow == 0 {
		return 1
	}
	return s.slowFactor
}

func (s *speeds) fastest() float64 {
	if s.fast == 0 {
		return 1
	}
	return s.fastFactor
}

// speedRanks is the number of ranks by speed.
const speedRanks = 4

// speedRank returns 0 for workers of the preferred class of a step, 1 for the next class, 2 for the other one and 3 for
// workers that are too slow for its deadline; 0 for all if no class is preferred.
func (wp *waitingPass) speedRank(s *step, w *worker) int {
	n := wp.speedNeed(s)
	switch {
	case n.preferred == usualWorker:
		return 0
	case w.speed.value() < n.least && w.speed.class == slowWorker:
		return speedRanks - 1
	}
	return int(max(n.preferred-w.speed.class, w.speed.class-n.preferred))
}

// compareSpeed orders workers by how well their speed suits a step.
func (wp *waitingPass) compareSpeed(s *step, x, y *worker) int {
	return cmp.Compare(wp.speedRank(s, x), wp.speedRank(s, y))
}

// chooseLike returns workers for all members of a gang, of one class of speed if possible, since a gang is as slow as its
// slowest member. Failures and racks outrank the speed.
func (wp *waitingPass) chooseLike(s *step, free []workerSlots) []workerSlots {
	chosen := chooseWorkers(s, free)
	if chosen == nil || wp.speedNeed(s).preferred == usualWorker {
		return chosen
	}
	var byRank [speedRanks][]workerSlots
	for _, f := range free {
		if rank := wp.speedRank(s, f.worker); !f.suspect {
			byRank[rank] = append(byRank[rank], f)
		}
	}
	for _, list := range byRank {
		if like := chooseWorkers(s, list); like != nil && racksKept(s, chosen, like) {
			return like
		}
	}
	return chosen
}

// racksKept reports whether the workers in other suit the racks that a step asks for as well as those in chosen.
func racksKept(s *step, chosen, other []workerSlots) bool {
	return otherRacks(s, other) <= otherRacks(s, chosen)
}

// otherRacks counts the workers that are not in the rack that a step asks for.
func otherRacks(s *step, list []workerSlots) (n int) {
	rack := citron.Rack(s.spec.GetDataRack())
	if rack == "" && s.spec.GetSameRack() {
		rack = list[0].worker.entry.Rack
	}
	for _, c := range list {
		if rack != "" && c.worker.entry.Rack != rack {
			n++
		}
	}
	return n
}

// observeRunTime records the run time of a completed task whose start was answered; that of an adopted run began before its
// recorded start. That of a gang on several workers says nothing about the speed
// of one of them, since the slowest member determines it.
func (p *Pool) observeRunTime(w *worker, t *task, ran time.Duration) {
	if !t.startSeen {
		return
	}
	k := kindOf(t.step.job, t.step.index)
	if !t.step.spec.GetGang() {
		p.runTimes.Observe(k, w.entry.ID, w.speed.group, ran)
		return
	}
	slowest, several := w.speed.value(), false
	for member := range t.step.tasks.withObject {
		if member.worker != nil {
			several = several || member.worker != w
			slowest = min(slowest, member.worker.speed.value())
		}
	}
	if several {
		p.runTimes.ObserveKind(k, slowest, ran)
		return
	}
	p.runTimes.Observe(k, w.entry.ID, w.speed.group, ran)
}
