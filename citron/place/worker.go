package place

import (
	"sort"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

// score orders the workers that could take a task.
type score struct {
	// peers is the number of the job's tasks in the same failure domain and rack, for spread services.
	peers int
	// left is the part of the worker that stays free, in thousandths.
	left int32
}

func (s score) better(o score) bool {
	if s.peers != o.peers {
		return s.peers < o.peers
	}
	return s.left < o.left
}

// spreadCount is how many tasks of a job each rack and failure domain holds.
type spreadCount struct {
	racks   map[string]int
	domains map[citron.FailureDomain]int
}

func (p *Pool) spreadOf(job citron.JobID) spreadCount {
	s := spreadCount{racks: map[string]int{}, domains: map[citron.FailureDomain]int{}}
	for t, n := range p.tasks {
		if t.Job == job {
			s.racks[p.workers[n].Rack]++
			s.domains[p.workers[n].FailureDomain]++
		}
	}
	return s
}

// domainWeight makes another failure domain count for more than another rack.
const domainWeight = 1000

func (w *worker) score(want Request, spread spreadCount) score {
	s := score{left: w.leftAfter(want.Resources)}
	if want.Spread {
		s.peers = spread.domains[w.FailureDomain]*domainWeight + spread.racks[w.Rack]
	}
	return s
}

// leftAfter returns the free part of the scarcest resource after a task is added, in thousandths.
func (w *worker) leftAfter(size Resources) int32 {
	room := w.Resources.Minus(w.used).Minus(size)
	left := part(room.MilliCores, w.Resources.MilliCores)
	left = min(left, part(room.MemoryMb, w.Resources.MemoryMb))
	if size.Accelerators == 0 {
		// Work without accelerators keeps away from workers that have some left.
		return left + part(room.Accelerators, w.Resources.Accelerators)
	}
	return left
}

func part(room, whole int32) int32 {
	if whole == 0 {
		return 0
	}
	return int32(int64(room) * 1000 / int64(whole))
}

func (w *worker) update(next Worker, now time.Duration) {
	if w.Asleep && !next.Asleep {
		w.idle = now
	}
	if !next.Asleep {
		w.waking = false
	}
	w.Worker = next
}

func (w *worker) usable(now time.Duration, rules Rules) bool {
	if w.Asleep || w.gone || w.Leaving || !w.reached {
		return false
	}
	return !w.quarantined(now, rules)
}

// quarantined reports whether the worker gets nothing: during its time, and after it while a probe runs.
func (w *worker) quarantined(now time.Duration, rules Rules) bool {
	if rules.QuarantineFailures == 0 || w.failures < rules.QuarantineFailures {
		return false
	}
	return now < w.jailed || len(w.tasks) > 0
}

func (w *worker) takes(want Request, now time.Duration, rules Rules) bool {
	if !want.Resources.FitsIn(w.Resources.Minus(w.used)) {
		return false
	}
	return want.Avoid != w.Name && w.usable(now, rules)
}

// victims returns the fewest preemptible tasks, largest first, whose room lets want in.
func (w *worker) victims(want Request) (victims []Task, ok bool) {
	room := w.Resources.Minus(w.used)
	candidates := make([]Request, 0, len(w.tasks))
	for _, t := range w.tasks {
		if t.Preemptible && t.Urgency == tmpl.Batch {
			candidates = append(candidates, t)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.Resources.MilliCores != b.Resources.MilliCores {
			return a.Resources.MilliCores > b.Resources.MilliCores
		}
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		return a.Task.Task < b.Task.Task
	})
	for _, c := range candidates {
		if want.Resources.FitsIn(room) {
			break
		}
		room = room.Plus(c.Resources)
		victims = append(victims, c.Task)
	}
	return victims, want.Resources.FitsIn(room)
}
