// Package place decides which worker of one pool runs which task, without I/O or clocks.
package place

import (
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

// Resources is an amount of resources that a task needs or a worker has.
type Resources struct {
	MilliCores   int32
	MemoryMb     int32
	Accelerators int32
}

// FitsIn reports whether r fits into free.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMb <= free.MemoryMb && r.Accelerators <= free.Accelerators
}

// Plus returns r plus o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMb + o.MemoryMb, r.Accelerators + o.Accelerators}
}

// Minus returns r minus o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMb - o.MemoryMb, r.Accelerators - o.Accelerators}
}

// Task identifies a task of a job.
type Task struct {
	Job citron.JobID
	// Task is the number of the task in its job, starting at 0.
	Task int32
}

// Request is a request to place a task on a worker.
type Request struct {
	Task
	Team      citron.Team
	Urgency   tmpl.Urgency
	Resources Resources
	// Spread prefers failure domains and racks with few of the job's other tasks.
	Spread bool
	// Preemptible is set if the task may be stopped for an urgent one.
	Preemptible bool
	// Avoid is the worker of the last failed attempt; the task is not placed there.
	Avoid citron.Worker
}

// Worker is a worker in the platform's list.
type Worker struct {
	Name          citron.Worker
	Address       string
	Rack          string
	FailureDomain citron.FailureDomain
	Resources     Resources
	// Asleep is set if the worker is switched off.
	Asleep bool
	// Leaving is set if the worker accepts no new tasks.
	Leaving bool
}

// Rules configure the quarantine of workers and the placement.
type Rules struct {
	// QuarantineFailures is the number of consecutive failed starts that quarantines a worker; 0 disables quarantine.
	QuarantineFailures int
	// QuarantineFor is how long a quarantined worker gets no tasks. It then gets a single task as a probe.
	QuarantineFor time.Duration
	// FirstFit places each task on the first worker that fits, as a baseline for comparisons with best fit.
	FirstFit bool
}

// worker is a worker and the tasks assigned to it.
type worker struct {
	Worker
	used  Resources
	tasks map[Task]Request
	// gone is set if the platform no longer lists the worker.
	gone bool
	// failures is the number of consecutive failed starts.
	failures         int
	quarantinedUntil time.Duration
	// idleSince is when the worker was first listed, last woke up or last became free of tasks.
	idleSince time.Duration
	// waking is set from the choice of an asleep worker in Wake until the platform lists it as awake.
	waking bool
	// reachable is set if the worker answers; an unreachable worker gets no new tasks.
	reachable bool
}

// Pool holds the workers of one shard and the tasks assigned to them. The zero value is empty. It is not safe for
// concurrent use.
type Pool struct {
	Rules Rules

	workers []*worker
	// index holds each worker's position in workers.
	index map[citron.Worker]int
	// tasks holds the position in workers of each assigned task's worker.
	tasks map[Task]int
	usage map[citron.Team]Resources
}

// SetWorkers updates the workers from the platform's list. A worker that is no longer listed keeps its tasks and gets
// no new ones.
func (p *Pool) SetWorkers(list []Worker, now time.Duration) {
	if p.index == nil {
		p.index = map[citron.Worker]int{}
		p.tasks = map[Task]int{}
		p.usage = map[citron.Team]Resources{}
	}
	listed := map[citron.Worker]bool{}
	for _, w := range list {
		listed[w.Name] = true
		n, known := p.index[w.Name]
		if !known {
			p.index[w.Name] = len(p.workers)
			p.workers = append(p.workers, &worker{Worker: w, tasks: map[Task]Request{}, idleSince: now})
			continue
		}
		p.workers[n].update(w, now)
	}
	for _, w := range p.workers {
		w.gone = !listed[w.Name]
	}
}

// SetReachable records whether a worker answers.
func (p *Pool) SetReachable(name citron.Worker, reachable bool) {
	if n, ok := p.index[name]; ok {
		p.workers[n].reachable = reachable
	}
}

// Assign assigns a task to a worker without a check of the free resources, as for placements read from the log. It
// returns false if the worker is unknown.
func (p *Pool) Assign(request Request, name citron.Worker) bool {
	n, ok := p.index[name]
	if !ok {
		return false
	}
	if _, placed := p.tasks[request.Task]; placed {
		return true
	}
	w := p.workers[n]
	w.tasks[request.Task] = request
	w.used = w.used.Plus(request.Resources)
	p.tasks[request.Task] = n
	p.usage[request.Team] = p.usage[request.Team].Plus(request.Resources)
	return true
}

// Unassign removes a task from its worker and frees its resources.
func (p *Pool) Unassign(t Task, now time.Duration) {
	n, ok := p.tasks[t]
	if !ok {
		return
	}
	w := p.workers[n]
	request := w.tasks[t]
	delete(w.tasks, t)
	delete(p.tasks, t)
	w.used = w.used.Minus(request.Resources)
	p.usage[request.Team] = p.usage[request.Team].Minus(request.Resources)
	if len(w.tasks) == 0 {
		w.idleSince = now
	}
}

// Resize changes the resources that an assigned task uses.
func (p *Pool) Resize(t Task, size Resources) {
	n, ok := p.tasks[t]
	if !ok {
		return
	}
	w := p.workers[n]
	request := w.tasks[t]
	p.usage[request.Team] = p.usage[request.Team].Minus(request.Resources).Plus(size)
	w.used = w.used.Minus(request.Resources).Plus(size)
	request.Resources = size
	w.tasks[t] = request
}

// Usage returns the resources that a team's assigned tasks use.
func (p *Pool) Usage(team citron.Team) Resources {
	return p.usage[team]
}

// CanEverFit reports whether count tasks of one size would fit into the pool if no tasks were assigned.
func (p *Pool) CanEverFit(size Resources, count int) bool {
	for _, w := range p.workers {
		if w.gone || w.Leaving {
			continue
		}
		count -= maxCopies(size, w.Resources)
		if count <= 0 {
			return true
		}
	}
	return false
}

// Choose returns the usable worker for a task that would have the smallest part left free. With Spread, workers in
// failure domains and racks with the fewest of the job's tasks come first.
func (p *Pool) Choose(request Request, now time.Duration) (citron.Worker, bool) {
	best := -1
	var bestScore score
	var spread spreadCount
	if request.Spread {
		spread = p.spreadOf(request.Job)
	}
	for n, w := range p.workers {
		if !w.canRun(request, now, p.Rules) {
			continue
		}
		if p.Rules.FirstFit {
			return w.Name, true
		}
		s := w.score(request, spread)
		if best < 0 || s.better(bestScore) {
			best, bestScore = n, s
		}
	}
	if best < 0 {
		return "", false
	}
	return p.workers[best].Name, true
}

// AssignAll chooses a worker for every request and assigns the tasks, all or none.
func (p *Pool) AssignAll(requests []Request, now time.Duration) ([]citron.Worker, bool) {
	chosen := make([]citron.Worker, 0, len(requests))
	for _, request := range requests {
		name, ok := p.Choose(request, now)
		if !ok {
			for _, assigned := range requests[:len(chosen)] {
				p.Unassign(assigned.Task, now)
			}
			return nil, false
		}
		p.Assign(request, name)
		chosen = append(chosen, name)
	}
	return chosen, true
}

// FindVictims returns the worker that fits an urgent task after the fewest preemptions, and the tasks to preempt there.
// The name is empty if no worker fits.
func (p *Pool) FindVictims(request Request, now time.Duration) (name citron.Worker, victims []Task) {
	for _, w := range p.workers {
		if !w.usable(now, p.Rules) || request.Avoid == w.Name {
			continue
		}
		v, ok := w.victims(request)
		if ok && (name == "" || len(v) < len(victims)) {
			name, victims = w.Name, v
		}
	}
	return name, victims
}

// Wake returns the workers to switch on for tasks that fit on no awake worker, the smallest that fits for each, and
// marks them as waking. Workers that are already waking are filled first.
func (p *Pool) Wake(requests []Request) (names []citron.Worker) {
	free := map[int]Resources{}
	for n, w := range p.workers {
		if w.waking && !w.gone {
			free[n] = w.Resources
		}
	}
	for _, request := range requests {
		if reserve(free, request.Resources) {
			continue
		}
		n := p.smallestAsleep(request)
		if n < 0 {
			continue
		}
		p.workers[n].waking = true
		free[n] = p.workers[n].Resources.Minus(request.Resources)
		names = append(names, p.workers[n].Name)
	}
	return names
}

// Sleep returns awake workers to switch off that have been idle for the time idle, and marks them as asleep. At least
// keep workers stay awake.
func (p *Pool) Sleep(now, idle time.Duration, keep int) (names []citron.Worker) {
	awake := p.Awake()
	for _, w := range p.workers {
		if awake <= keep {
			break
		}
		if w.Asleep || w.gone || len(w.tasks) > 0 || now-w.idleSince < idle {
			continue
		}
		w.Asleep = true
		awake--
		names = append(names, w.Name)
	}
	return names
}

// Awake returns the number of listed workers that are switched on.
func (p *Pool) Awake() (n int) {
	for _, w := range p.workers {
		if !w.Asleep && !w.gone {
			n++
		}
	}
	return n
}

// RecordStart records whether a start on a worker failed and reports whether the worker is now quarantined.
func (p *Pool) RecordStart(name citron.Worker, failed bool, now time.Duration) bool {
	n, ok := p.index[name]
	if !ok {
		return false
	}
	w := p.workers[n]
	if !failed {
		w.failures = 0
		return false
	}
	w.failures++
	if w.failures < p.Rules.QuarantineFailures {
		return false
	}
	w.quarantinedUntil = now + p.Rules.QuarantineFor
	return true
}

// Info is the status of one worker, as shown to operators.
type Info struct {
	Worker
	Used  Resources
	Tasks int
	// Gone is set if the platform no longer lists the worker.
	Gone        bool
	Quarantined bool
	Reachable   bool
}

// Workers returns the status of every worker.
func (p *Pool) Workers(now time.Duration) []Info {
	all := make([]Info, 0, len(p.workers))
	for _, w := range p.workers {
		all = append(all, Info{
			Worker:      w.Worker,
			Used:        w.used,
			Tasks:       len(w.tasks),
			Gone:        w.gone,
			Reachable:   w.reachable,
			Quarantined: w.quarantined(now, p.Rules),
		})
	}
	return all
}

// TasksOn returns the tasks assigned to a worker.
func (p *Pool) TasksOn(name citron.Worker) (tasks []Task) {
	n, ok := p.index[name]
	if !ok {
		return nil
	}
	for t := range p.workers[n].tasks {
		tasks = append(tasks, t)
	}
	return tasks
}

// Gone reports whether the platform no longer lists a worker.
func (p *Pool) Gone(name citron.Worker) bool {
	n, ok := p.index[name]
	return !ok || p.workers[n].gone
}

// Address returns the address of a worker.
func (p *Pool) Address(name citron.Worker) (string, bool) {
	n, ok := p.index[name]
	if !ok {
		return "", false
	}
	return p.workers[n].Address, true
}

// smallestAsleep returns the position of the smallest asleep worker that fits a task, or -1.
func (p *Pool) smallestAsleep(request Request) int {
	best := -1
	for n, w := range p.workers {
		if !w.Asleep || w.waking || w.gone || w.Leaving || !request.Resources.FitsIn(w.Resources) {
			continue
		}
		if best < 0 || w.Resources.MilliCores < p.workers[best].Resources.MilliCores {
			best = n
		}
	}
	return best
}

// reserve subtracts size from the first entry of free that fits it, and returns false if none does.
func reserve(free map[int]Resources, size Resources) bool {
	for n, available := range free {
		if size.FitsIn(available) {
			free[n] = available.Minus(size)
			return true
		}
	}
	return false
}

// maxCopies returns how many times size fits into free.
func maxCopies(size, free Resources) int {
	n := int32(1 << 30)
	for _, d := range [][2]int32{
		{size.MilliCores, free.MilliCores},
		{size.MemoryMb, free.MemoryMb},
		{size.Accelerators, free.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return int(n)
}
