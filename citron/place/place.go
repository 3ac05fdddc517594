// Package place decides which worker of one pool runs which task, without I/O or clocks.
package place

import (
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

// Resources is what a task takes or a worker has.
type Resources struct {
	MilliCores   int32
	MemoryMb     int32
	Accelerators int32
}

// FitsIn reports whether s fits into room.
func (s Resources) FitsIn(room Resources) bool {
	return s.MilliCores <= room.MilliCores && s.MemoryMb <= room.MemoryMb && s.Accelerators <= room.Accelerators
}

// Plus returns the sum.
func (s Resources) Plus(o Resources) Resources {
	return Resources{s.MilliCores + o.MilliCores, s.MemoryMb + o.MemoryMb, s.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (s Resources) Minus(o Resources) Resources {
	return Resources{s.MilliCores - o.MilliCores, s.MemoryMb - o.MemoryMb, s.Accelerators - o.Accelerators}
}

// Task names one task in a pool.
type Task struct {
	Job  citron.JobID
	Task int32
}

// Request is a task that looks for a worker.
type Request struct {
	Task
	Team      citron.Team
	Urgency   tmpl.Urgency
	Resources Resources
	// Spread asks for another failure domain and rack than the job's other tasks.
	Spread bool
	// Preemptible tasks may be stopped for urgent ones.
	Preemptible bool
	// Avoid is the worker of the last failed attempt.
	Avoid citron.Worker
}

// Worker describes a worker as the platform lists it.
type Worker struct {
	Name          citron.Worker
	Address       string
	Rack          string
	FailureDomain citron.FailureDomain
	Resources     Resources
	Asleep        bool
	Leaving       bool
}

// Rules bound the judging of workers.
type Rules struct {
	// QuarantineFailures is the number of failed starts in a row that quarantines a worker.
	QuarantineFailures int
	// QuarantineFor is how long a worker gets nothing; a single task follows as a probe.
	QuarantineFor time.Duration
	// FirstFit makes the placement take the first worker with room; it is the baseline of the measurements.
	FirstFit bool
}

type worker struct {
	Worker
	used     Resources
	tasks    map[Task]Request
	gone     bool
	failures int
	jailed   time.Duration
	idle     time.Duration
	waking   bool
	// reached workers have answered lately; others get nothing new.
	reached bool
}

// Pool is the workers of one shard and what has been given to them. The zero value is empty. It is not safe
// for concurrent use.
type Pool struct {
	Rules Rules

	workers []*worker
	index   map[citron.Worker]int
	tasks   map[Task]int
	usage   map[citron.Team]Resources
}

// SetWorkers takes in the platform's list of workers.
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
			p.workers = append(p.workers, &worker{Worker: w, tasks: map[Task]Request{}, idle: now})
			continue
		}
		p.workers[n].update(w, now)
	}
	for _, w := range p.workers {
		w.gone = !listed[w.Name]
	}
}

// SetReachable notes whether a worker answers.
func (p *Pool) SetReachable(name citron.Worker, reached bool) {
	if n, ok := p.index[name]; ok {
		p.workers[n].reached = reached
	}
}

// Assign books a task on a worker. It is used for placements that the log already holds.
func (p *Pool) Assign(want Request, name citron.Worker) bool {
	n, ok := p.index[name]
	if !ok {
		return false
	}
	if _, placed := p.tasks[want.Task]; placed {
		return true
	}
	w := p.workers[n]
	w.tasks[want.Task] = want
	w.used = w.used.Plus(want.Resources)
	p.tasks[want.Task] = n
	p.usage[want.Team] = p.usage[want.Team].Plus(want.Resources)
	return true
}

// Unassign frees the room of a task.
func (p *Pool) Unassign(t Task, now time.Duration) {
	n, ok := p.tasks[t]
	if !ok {
		return
	}
	w := p.workers[n]
	want := w.tasks[t]
	delete(w.tasks, t)
	delete(p.tasks, t)
	w.used = w.used.Minus(want.Resources)
	p.usage[want.Team] = p.usage[want.Team].Minus(want.Resources)
	if len(w.tasks) == 0 {
		w.idle = now
	}
}

// Resize corrects the room that a task takes.
func (p *Pool) Resize(t Task, size Resources) {
	n, ok := p.tasks[t]
	if !ok {
		return
	}
	w := p.workers[n]
	want := w.tasks[t]
	p.usage[want.Team] = p.usage[want.Team].Minus(want.Resources).Plus(size)
	w.used = w.used.Minus(want.Resources).Plus(size)
	want.Resources = size
	w.tasks[t] = want
}

// Usage returns what a team's tasks take.
func (p *Pool) Usage(team citron.Team) Resources {
	return p.usage[team]
}

// CanEverFit reports whether count tasks of a size would fit into the empty pool.
func (p *Pool) CanEverFit(size Resources, count int) bool {
	for _, w := range p.workers {
		if w.gone || w.Leaving {
			continue
		}
		count -= times(size, w.Resources)
		if count <= 0 {
			return true
		}
	}
	return false
}

// Choose returns the awake worker for a task: the fullest one with room, in the fullest rack of equals.
func (p *Pool) Choose(want Request, now time.Duration) (citron.Worker, bool) {
	best := -1
	var bestScore score
	var spread spreadCount
	if want.Spread {
		spread = p.spreadOf(want.Job)
	}
	for n, w := range p.workers {
		if !w.takes(want, now, p.Rules) {
			continue
		}
		if p.Rules.FirstFit {
			return w.Name, true
		}
		s := w.score(want, spread)
		if best < 0 || s.better(bestScore) {
			best, bestScore = n, s
		}
	}
	if best < 0 {
		return "", false
	}
	return p.workers[best].Name, true
}

// AssignAll places every want or none. The chosen workers are booked.
func (p *Pool) AssignAll(wants []Request, now time.Duration) ([]citron.Worker, bool) {
	chosen := make([]citron.Worker, 0, len(wants))
	for _, want := range wants {
		name, ok := p.Choose(want, now)
		if !ok {
			for _, done := range wants[:len(chosen)] {
				p.Unassign(done.Task, now)
			}
			return nil, false
		}
		p.Assign(want, name)
		chosen = append(chosen, name)
	}
	return chosen, true
}

// FindVictims returns the worker on which an urgent task fits once the returned preemptible tasks have stopped.
func (p *Pool) FindVictims(want Request, now time.Duration) (name citron.Worker, victims []Task) {
	for _, w := range p.workers {
		if !w.usable(now, p.Rules) || want.Avoid == w.Name {
			continue
		}
		v, ok := w.victims(want)
		if ok && (name == "" || len(v) < len(victims)) {
			name, victims = w.Name, v
		}
	}
	return name, victims
}

// Wake returns the asleep workers to switch on for a list of tasks that fit nowhere, fullest racks first.
func (p *Pool) Wake(wants []Request) (names []citron.Worker) {
	rooms := map[int]Resources{}
	for n, w := range p.workers {
		if w.waking && !w.gone {
			rooms[n] = w.Resources
		}
	}
	for _, want := range wants {
		if reserve(rooms, want.Resources) {
			continue
		}
		n := p.sleeper(want)
		if n < 0 {
			continue
		}
		p.workers[n].waking = true
		rooms[n] = p.workers[n].Resources.Minus(want.Resources)
		names = append(names, p.workers[n].Name)
	}
	return names
}

// Sleep returns the awake workers that have been idle for a time. At least keep awake workers stay on.
func (p *Pool) Sleep(now, idle time.Duration, keep int) (names []citron.Worker) {
	awake := p.Awake()
	for _, w := range p.workers {
		if awake <= keep {
			break
		}
		if w.Asleep || w.gone || len(w.tasks) > 0 || now-w.idle < idle {
			continue
		}
		w.Asleep = true
		awake--
		names = append(names, w.Name)
	}
	return names
}

// Awake returns the number of workers that are on.
func (p *Pool) Awake() (n int) {
	for _, w := range p.workers {
		if !w.Asleep && !w.gone {
			n++
		}
	}
	return n
}

// RecordStart takes in how a start on a worker went. It reports whether the worker is now quarantined.
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
	w.jailed = now + p.Rules.QuarantineFor
	return true
}

// Info is what operators see of one worker.
type Info struct {
	Worker
	Used        Resources
	Tasks       int
	Gone        bool
	Quarantined bool
	Reachable   bool
}

// Workers lists every worker.
func (p *Pool) Workers(now time.Duration) []Info {
	all := make([]Info, 0, len(p.workers))
	for _, w := range p.workers {
		all = append(all, Info{
			Worker:      w.Worker,
			Used:        w.used,
			Tasks:       len(w.tasks),
			Gone:        w.gone,
			Reachable:   w.reached,
			Quarantined: w.quarantined(now, p.Rules),
		})
	}
	return all
}

// TasksOn lists the tasks that are booked on a worker.
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

// Gone reports whether a worker is no longer listed.
func (p *Pool) Gone(name citron.Worker) bool {
	n, ok := p.index[name]
	return !ok || p.workers[n].gone
}

// Address returns where a worker listens.
func (p *Pool) Address(name citron.Worker) (string, bool) {
	n, ok := p.index[name]
	if !ok {
		return "", false
	}
	return p.workers[n].Address, true
}

func (p *Pool) sleeper(want Request) int {
	best := -1
	for n, w := range p.workers {
		if !w.Asleep || w.waking || w.gone || w.Leaving || !want.Resources.FitsIn(w.Resources) {
			continue
		}
		if best < 0 || w.Resources.MilliCores < p.workers[best].Resources.MilliCores {
			best = n
		}
	}
	return best
}

func reserve(rooms map[int]Resources, size Resources) bool {
	for n, room := range rooms {
		if size.FitsIn(room) {
			rooms[n] = room.Minus(size)
			return true
		}
	}
	return false
}

// times returns how often size fits into room.
func times(size, room Resources) int {
	n := int32(1 << 30)
	for _, part := range [][2]int32{
		{size.MilliCores, room.MilliCores},
		{size.MemoryMb, room.MemoryMb},
		{size.Accelerators, room.Accelerators},
	} {
		if part[0] > 0 {
			n = min(n, part[1]/part[0])
		}
	}
	return int(n)
}
