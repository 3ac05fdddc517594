package place

import (
	"sort"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

// score ranks a worker for a task; lower values are better.
type score struct {
	// colocated is the weighted number of the job's tasks in the same failure domain and rack, for tasks with Spread.
	colocated int
	// free is the part of the worker that stays free, in thousandths.
	free int32
}

// better reports whether s is preferred to o.
func (s score) better(o score) bool {
	if s.colocated != o.colocated {
		return s.colocated < o.colocated
	}
	return s.free < o.free
}

// spreadCount is the number of a job's tasks in each rack and failure domain.
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

// domainWeight makes a task in the same failure domain count for more than one in the same rack.
const domainWeight = 1000

func (w *worker) score(request Request, spread spreadCount) score {
	s := score{free: w.freeAfter(request.Resources)}
	if request.Spread {
		s.colocated = spread.domains[w.FailureDomain]*domainWeight + spread.racks[w.Rack]
	}
	return s
}

// freeAfter returns the free part of the scarcest resource after a task is assigned, in thousandths.
func (w *worker) freeAfter(size Resources) int32 {
	free := w.Resources.Minus(w.used).Minus(size)
	scarcest := thousandths(free.MilliCores, w.Resources.MilliCores)
	scarcest = min(scarcest, thousandths(free.MemoryMb, w.Resources.MemoryMb))
	if size.Accelerators == 0 {
		// Tasks that need no accelerators prefer workers without free accelerators.
		return scarcest + thousandths(free.Accelerators, w.Resources.Accelerators)
	}
	return scarcest
}

// thousandths returns free as a part of total in thousandths.
func thousandths(free, total int32) int32 {
	if total == 0 {
		return 0
	}
	return int32(int64(free) * 1000 / int64(total))
}

// update replaces the worker's entry by a newer one from the platform's list.
func (w *worker) update(next Worker, now time.Duration) {
	if w.Asleep && !next.Asleep {
		w.idleSince = now
	}
	if !next.Asleep {
		w.waking = false
	}
	w.Worker = next
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now time.Duration, rules Rules) bool {
	if w.Asleep || w.gone || w.Leaving || !w.reachable {
		return false
	}
	return !w.quarantined(now, rules)
}

// quarantined reports whether the worker is in quarantine: until its end, and after it while a probe is running.
func (w *worker) quarantined(now time.Duration, rules Rules) bool {
	if rules.QuarantineFailures == 0 || w.failures < rules.QuarantineFailures {
		return false
	}
	return now < w.quarantinedUntil || len(w.tasks) > 0
}

// canRun reports whether the worker is usable for a task and has enough free resources.
func (w *worker) canRun(request Request, now time.Duration, rules Rules) bool {
	if !request.Resources.FitsIn(w.Resources.Minus(w.used)) {
		return false
	}
	return request.Avoid != w.Name && w.usable(now, rules)
}

// victims returns the preemptible tasks to stop, largest first, until the request fits, and whether it then fits.
func (w *worker) victims(request Request) (victims []Task, ok bool) {
	free := w.Resources.Minus(w.used)
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
		if request.Resources.FitsIn(free) {
			break
		}
		free = free.Plus(c.Resources)
		victims = append(victims, c.Task)
	}
	return victims, request.Resources.FitsIn(free)
}
