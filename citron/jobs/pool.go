package jobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/fleet"
	"github.com/citroncross/citroncross/citron/ledger"
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/tmpl"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// tickEvery is how often a pool looks at its workers, gangs and power.
	tickEvery = 200 * time.Millisecond
	// resendAfter is when a record whose end is not known is sent again.
	resendAfter = time.Second
)

// waiting is a task that has no worker.
type waiting struct {
	want  place.Request
	since time.Duration
	gang  bool
}

// binding is a placement that has been sent to the log and does not show there yet.
type binding struct {
	worker      citron.Worker
	incarnation citron.Incarnation
	attempt     int32
	sent        time.Duration
}

// pool runs the jobs of one owned pool of workers under one lock.
type pool struct {
	s         *Service
	id        citron.ShardID
	jobs      *state.Jobs
	ledger    *ledger.Ledger
	cancelRun context.CancelFunc
	ended     chan error
	wake      chan struct{}

	mu       sync.Mutex
	place    place.Pool
	dirty    map[citron.JobID]bool
	waiting  map[place.Task]*waiting
	bindings map[place.Task]binding
	links    map[citron.Worker]*link
	sizes    sizes
	// preempting holds the tasks that have been asked to stop for urgent ones.
	preempting map[place.Task]bool
	// gangSince is when the oldest waiting gang started to hold back smaller work.
	gangSince time.Duration
	// former is when every lease that a former owner has given has lapsed.
	former citron.Instant
	// results are ends of attempts on their way to the log.
	results     map[place.Task]*record.TaskResult
	resultsSent time.Duration
	loaded      bool
	// mine holds the attempts that this owner has placed, until they show in the log.
	mine map[place.Task]int32
}

func newPool(s *Service, id citron.ShardID) *pool {
	p := &pool{
		s:          s,
		id:         id,
		jobs:       &state.Jobs{},
		ended:      make(chan error, 1),
		wake:       make(chan struct{}, 1),
		dirty:      map[citron.JobID]bool{},
		waiting:    map[place.Task]*waiting{},
		bindings:   map[place.Task]binding{},
		links:      map[citron.Worker]*link{},
		preempting: map[place.Task]bool{},
		results:    map[place.Task]*record.TaskResult{},
		mine:       map[place.Task]int32{},
		former:     s.Timer.Now().Add(s.Options.TaskLease),
	}
	p.place.Rules = s.Options.Rules
	p.jobs.Changed = p.changed
	return p
}

func (p *pool) start(ctx context.Context) {
	inner, cancel := context.WithCancel(ctx)
	p.cancelRun = cancel
	go func() {
		p.ended <- p.run(inner)
	}()
}

func (p *pool) close() {
	p.cancelRun()
	p.ledger.Close()
}

// changed notes a job that a record has changed. It is called while the stream is being applied.
func (p *pool) changed(id citron.JobID) {
	p.mu.Lock()
	p.dirty[id] = true
	p.mu.Unlock()
	p.signal()
}

func (p *pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// list takes in the platform's list of VMs.
func (p *pool) list(vms []*lab.VM) {
	var workers []place.Worker
	for _, vm := range vms {
		if vm.GetKind() != fleet.KindWorker || p.s.Layout.RackPool(vm.GetRack()) != p.id {
			continue
		}
		workers = append(workers, place.Worker{
			Name:          citron.Worker(vm.GetName()),
			Address:       vm.GetAddress(),
			Rack:          vm.GetRack(),
			FailureDomain: citron.FailureDomain(vm.GetFailureDomain()),
			Resources:     place.Resources{MilliCores: vm.GetMilliCores(), MemoryMb: vm.GetMemoryMb(), Accelerators: vm.GetAccelerators()},
			Asleep:        vm.GetAsleep(),
			Leaving:       vm.GetLeaving(),
		})
	}
	p.mu.Lock()
	p.place.SetWorkers(workers, p.s.Timer.Now().Boot)
	p.mu.Unlock()
	p.signal()
}

// run is the pool's one loop. Everything that decides happens here, one step at a time.
func (p *pool) run(ctx context.Context) error {
	defer p.closeLinks()
	select {
	case <-p.ledger.Ready():
	case <-ctx.Done():
		return nil
	}
	p.load()
	tick, stop := p.s.Timer.Every(tickEvery)
	defer stop()
	for {
		select {
		case <-p.wake:
			p.greet(ctx)
			p.refresh(ctx)
			p.schedule()
		case <-tick:
			p.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// load marks every job as changed, so that the first refresh takes in what the stream holds.
func (p *pool) load() {
	var ids []citron.JobID
	p.jobs.Each(func(j *state.Job) { ids = append(ids, j.ID) })
	p.mu.Lock()
	for _, id := range ids {
		p.dirty[id] = true
	}
	p.loaded = true
	p.mu.Unlock()
	p.s.Log.Emit(event.ShardReady, event.Fields{"Shard": p.id, "Jobs": len(ids)})
	p.signal()
}

// greet opens the conversation with every worker that is on.
func (p *pool) greet(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, info := range p.place.Workers(p.s.Timer.Now().Boot) {
		if !info.Asleep && !info.Gone {
			p.link(ctx, info.Name)
		}
	}
}

// refresh brings the pool's view of changed jobs up to the stream.
func (p *pool) refresh(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dirty := p.dirty
	p.dirty = map[citron.JobID]bool{}
	for id := range dirty {
		p.jobs.View(id, func(j *state.Job) {
			for n := range j.Tasks {
				p.refreshTask(ctx, j, int32(n))
			}
		})
	}
}

func (p *pool) refreshTask(ctx context.Context, j *state.Job, n int32) {
	task := j.Tasks[n]
	key := place.Task{Job: j.ID, Task: n}
	now := p.s.Timer.Now().Boot
	switch task.Phase {
	case record.TaskPhase_TASK_PHASE_WAITING:
		p.refreshWaiting(j, key, task, now)
	case record.TaskPhase_TASK_PHASE_PLACED:
		p.refreshPlaced(ctx, j, key, task, now)
	default:
		p.forget(key, now)
		delete(p.waiting, key)
		delete(p.bindings, key)
	}
}

func (p *pool) refreshWaiting(j *state.Job, key place.Task, task state.Task, now time.Duration) {
	if _, known := p.waiting[key]; known {
		return
	}
	if b, bound := p.bindings[key]; bound && b.attempt == task.Attempt+1 {
		return
	}
	p.forget(key, now)
	p.waiting[key] = &waiting{want: p.want(j, key, task), since: now, gang: j.Spec.GetGang()}
}

func (p *pool) refreshPlaced(ctx context.Context, j *state.Job, key place.Task, task state.Task, now time.Duration) {
	l := p.link(ctx, task.Worker)
	if l.has(key, task.Attempt) {
		if j.Cancelled {
			l.stop(key)
		}
		return
	}
	if w, known := p.waiting[key]; known {
		p.s.Stats.Place(w.want.Team, citron.Class(j.Spec.GetClass()), now-w.since)
	}
	delete(p.waiting, key)
	delete(p.bindings, key)
	want := p.want(j, key, task)
	want.Avoid = ""
	p.place.Assign(want, task.Worker)
	mine := p.mine[key] == task.Attempt
	delete(p.mine, key)
	l.start(key, &attempt{
		number:      task.Attempt,
		spec:        j.Spec,
		size:        want.Resources,
		incarnation: task.WorkerIncarnation,
		adopted:     !mine,
		stopping:    j.Cancelled,
	})
	p.s.Log.Emit(event.TaskPlaced, event.Fields{"Job": key.Job, "Task": key.Task, "Worker": task.Worker})
}

// forget drops a task that no longer runs.
func (p *pool) forget(key place.Task, now time.Duration) {
	p.place.Unassign(key, now)
	delete(p.preempting, key)
	delete(p.results, key)
	for _, l := range p.links {
		l.forget(key)
	}
}

// want describes a task to the placement.
func (p *pool) want(j *state.Job, key place.Task, task state.Task) place.Request {
	class := p.class(j.Spec)
	want := place.Request{
		Task:        key,
		Team:        citron.Team(j.Spec.GetTeam()),
		Urgency:     class.Urgency,
		Resources:   p.sizes.size(j.Spec),
		Spread:      j.Spec.GetService(),
		Preemptible: j.Spec.GetRepeatable() && !j.Spec.GetGang() && !j.Spec.GetService(),
	}
	if task.Attempt > 0 {
		want.Avoid = task.Worker
	}
	return want
}

func (p *pool) class(spec *record.JobSpec) tmpl.Class {
	t, ok := p.s.Templates.Get(citron.Team(spec.GetTeam()))
	if !ok {
		return tmpl.Class{Urgency: tmpl.Batch}
	}
	return t.Compiled.Classes[citron.Class(spec.GetClass())]
}

// submit takes on a job once it is recorded. A job that is known already is answered as accepted.
func (p *pool) submit(ctx context.Context, id citron.JobID, spec *record.JobSpec) *citron.Refusal {
	if p.jobs.View(id, func(*state.Job) {}) {
		return nil
	}
	if refusal := p.fits(spec); refusal != nil {
		return refusal
	}
	entry := p.ledger.NewEntry()
	entry.Body = &record.Entry_JobAccepted{JobAccepted: &record.JobAccepted{JobID: string(id), Spec: spec}}
	if refusal := p.commit(ctx, entry); refusal != nil {
		return refusal
	}
	p.s.Log.Emit(event.JobTaken, event.Fields{"Job": id, "Tasks": spec.GetTasks()})
	return nil
}

// fits refuses a job for which even the empty pool has no room.
func (p *pool) fits(spec *record.JobSpec) *citron.Refusal {
	size := place.Resources{MilliCores: spec.GetMilliCores(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators()}
	count := 1
	if spec.GetGang() || spec.GetService() {
		count = int(spec.GetTasks())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.place.CanEverFit(size, count) {
		return nil
	}
	return citron.NewNotRunRefusal(citron.RefusalUnschedulable, 0,
		"%d tasks of %d MilliCores, %d MemoryMb and %d Accelerators do not fit into the pool even when it is empty; ask for less",
		count, size.MilliCores, size.MemoryMb, size.Accelerators)
}

// cancel asks that a job ends.
func (p *pool) cancel(ctx context.Context, id citron.JobID) *citron.Refusal {
	cancelled := false
	if !p.jobs.View(id, func(j *state.Job) { cancelled = j.Cancelled }) {
		return citron.NewNotRunRefusal(citron.RefusalUnknownJob, 0, "job %q is not known; ended jobs are forgotten after a time", id)
	}
	if cancelled {
		return nil
	}
	entry := p.ledger.NewEntry()
	entry.Body = &record.Entry_JobCancelled{JobCancelled: &record.JobCancelled{JobIDs: []string{string(id)}}}
	return p.commit(ctx, entry)
}

func (p *pool) commit(ctx context.Context, entry *record.Entry) *citron.Refusal {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := p.ledger.Commit(bounded, entry)
	if err == nil && p.s.Owner.MayAct(p.id) {
		return nil
	}
	refusal := citron.NewNotRunRefusal(citron.RefusalLogUnavailable, retryAfter, "the platform's log did not take the request in time; send the same request again")
	refusal.Outcome = record.Outcome_OUTCOME_UNKNOWN
	return refusal
}

func (p *pool) infos() []place.Info {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Workers(p.s.Timer.Now().Boot)
}

// explain says why a job waits or where it ran.
func (p *pool) explain(id citron.JobID) (lines []string, refusal *citron.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.jobs.View(id, func(j *state.Job) {
		lines = append(lines, fmt.Sprintf("job %s of team %s, class %s, accepted %s, cancelled %t",
			j.ID, j.Spec.GetTeam(), j.Spec.GetClass(), j.Accepted.UTC().Format(time.RFC3339), j.Cancelled))
		for n, t := range j.Tasks {
			lines = append(lines, p.explainTask(place.Task{Job: id, Task: int32(n)}, t))
		}
	})
	if !found {
		return nil, citron.NewNotRunRefusal(citron.RefusalUnknownJob, 0, "job %q is not known; ended jobs are forgotten after a time", id)
	}
	return lines, nil
}

func (p *pool) explainTask(key place.Task, t state.Task) string {
	head := fmt.Sprintf("task %d: %s", key.Task, PhaseText(t.Phase))
	if b, ok := p.bindings[key]; ok {
		return fmt.Sprintf("%s, chosen for %s, the record is on its way to the log", head, b.worker)
	}
	if w, ok := p.waiting[key]; ok {
		waited := (p.s.Timer.Now().Boot - w.since).Round(time.Millisecond)
		return fmt.Sprintf("%s for %v: %s", head, waited, p.whyWaiting(w))
	}
	if t.Worker != "" {
		head = fmt.Sprintf("%s, attempt %d on %s", head, t.Attempt, t.Worker)
	}
	if t.Result != "" {
		head += ": " + t.Result
	}
	return head
}

func (p *pool) whyWaiting(w *waiting) string {
	if reason := p.overQuota(w.want); reason != "" {
		return reason
	}
	now := p.s.Timer.Now().Boot
	fits, usable := 0, 0
	for _, info := range p.place.Workers(now) {
		if info.Asleep || info.Gone || info.Leaving || info.Quarantined || !info.Reachable {
			continue
		}
		usable++
		if w.want.Resources.FitsIn(info.Resources.Minus(info.Used)) {
			fits++
		}
	}
	if fits == 0 {
		return fmt.Sprintf("none of %d usable workers has %d MilliCores and %d MemoryMb free", usable, w.want.Resources.MilliCores, w.want.Resources.MemoryMb)
	}
	if w.gang {
		return fmt.Sprintf("%d of %d usable workers have room, not for all tasks of the gang at once", fits, usable)
	}
	return fmt.Sprintf("%d of %d usable workers have room; more urgent or longer waiting work goes first", fits, usable)
}

// PhaseText returns the state of a task as callers see it.
func PhaseText(phase record.TaskPhase) string {
	switch phase {
	case record.TaskPhase_TASK_PHASE_WAITING:
		return "Waiting"
	case record.TaskPhase_TASK_PHASE_PLACED:
		return "Running"
	case record.TaskPhase_TASK_PHASE_DONE:
		return "Done"
	case record.TaskPhase_TASK_PHASE_FAILED:
		return "Failed"
	case record.TaskPhase_TASK_PHASE_CANCELLED:
		return "Cancelled"
	}
	return "Unknown"
}
