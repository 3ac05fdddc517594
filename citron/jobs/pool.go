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
	// tickInterval is the interval of time-driven work: resending, gangs, gone workers and power.
	tickInterval = 200 * time.Millisecond
	// resendAfter is the time after which a record that is still in doubt is sent again.
	resendAfter = time.Second
)

// waitingTask is a task that has not been placed.
type waitingTask struct {
	request place.Request
	since   time.Duration
	gang    bool
}

// binding is a placement that has been sent to the log and not yet replayed from it.
type binding struct {
	worker      citron.Worker
	incarnation citron.Incarnation
	attempt     int32
	sent        time.Duration
}

// pool runs the jobs of one owned worker pool.
type pool struct {
	service   *Service
	id        citron.ShardID
	jobs      *state.Jobs
	ledger    *ledger.Ledger
	cancelRun context.CancelFunc
	ended     chan error
	// wake interrupts the run loop.
	wake chan struct{}

	mu    sync.Mutex
	place place.Pool
	// changed holds the jobs changed by records since the last refresh.
	changed  map[citron.JobID]bool
	waiting  map[place.Task]*waitingTask
	bindings map[place.Task]binding
	sessions map[citron.Worker]*session
	sizes    sizes
	// preempting holds the tasks that are being stopped in favor of urgent ones.
	preempting map[place.Task]bool
	// gangBlockedSince is when a gang first failed to fit; zero if no gang is blocked.
	gangBlockedSince time.Duration
	// formerLeaseEnd is when every lease granted by a former owner has expired.
	formerLeaseEnd citron.Instant
	// results holds the ends of attempts that are being recorded; resultsSent is when they were last sent to the log.
	results     map[place.Task]*record.TaskResult
	resultsSent time.Duration
	// loaded is set once every record of former epochs has been replayed.
	loaded bool
	// ownPlacements holds the attempts placed by this owner until their records are replayed.
	ownPlacements map[place.Task]int32
}

func newPool(s *Service, id citron.ShardID) *pool {
	p := &pool{
		service:        s,
		id:             id,
		jobs:           &state.Jobs{},
		ended:          make(chan error, 1),
		wake:           make(chan struct{}, 1),
		changed:        map[citron.JobID]bool{},
		waiting:        map[place.Task]*waitingTask{},
		bindings:       map[place.Task]binding{},
		sessions:       map[citron.Worker]*session{},
		preempting:     map[place.Task]bool{},
		results:        map[place.Task]*record.TaskResult{},
		ownPlacements:  map[place.Task]int32{},
		formerLeaseEnd: s.Timer.Now().Add(s.Options.TaskLease),
	}
	p.place.Rules = s.Options.Rules
	p.jobs.Changed = p.markChanged
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

// markChanged marks a job for the next refresh. It is called while records are being applied.
func (p *pool) markChanged(id citron.JobID) {
	p.mu.Lock()
	p.changed[id] = true
	p.mu.Unlock()
	p.signal()
}

// signal wakes the run loop.
func (p *pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// setVMs updates the pool's workers from the platform's list of VMs.
func (p *pool) setVMs(vms []*lab.VM) {
	var workers []place.Worker
	for _, vm := range vms {
		if vm.GetKind() != fleet.KindWorker || p.service.Layout.RackPool(vm.GetRack()) != p.id {
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
	p.place.SetWorkers(workers, p.service.Timer.Now().Boot)
	p.mu.Unlock()
	p.signal()
}

// run is the pool's only loop; all scheduling decisions are made here, one at a time.
func (p *pool) run(ctx context.Context) error {
	defer p.closeSessions()
	select {
	case <-p.ledger.Ready():
	case <-ctx.Done():
		return nil
	}
	p.load()
	tick, stop := p.service.Timer.Every(tickInterval)
	defer stop()
	for {
		select {
		case <-p.wake:
			p.openSessions(ctx)
			p.refresh(ctx)
			p.schedule()
		case <-tick:
			p.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// load marks every job as changed, so that the first refresh covers the whole replayed state.
func (p *pool) load() {
	var ids []citron.JobID
	p.jobs.Each(func(j *state.Job) { ids = append(ids, j.ID) })
	p.mu.Lock()
	for _, id := range ids {
		p.changed[id] = true
	}
	p.loaded = true
	p.mu.Unlock()
	p.service.Log.Emit(event.ShardReady, event.Fields{"Shard": p.id, "Jobs": len(ids)})
	p.signal()
}

// openSessions starts a session with every worker that is switched on.
func (p *pool) openSessions(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, info := range p.place.Workers(p.service.Timer.Now().Boot) {
		if !info.Asleep && !info.Gone {
			p.session(ctx, info.Name)
		}
	}
}

// refresh reconciles the pool with the replayed state of changed jobs.
func (p *pool) refresh(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.changed
	p.changed = map[citron.JobID]bool{}
	for id := range changed {
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
	now := p.service.Timer.Now().Boot
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

// refreshWaiting queues a task for placement unless a placement is being recorded.
func (p *pool) refreshWaiting(j *state.Job, key place.Task, task state.Task, now time.Duration) {
	if _, known := p.waiting[key]; known {
		return
	}
	if b, bound := p.bindings[key]; bound && b.attempt == task.Attempt+1 {
		return
	}
	p.forget(key, now)
	p.waiting[key] = &waitingTask{request: p.placementRequest(j, key, task), since: now, gang: j.Spec.GetGang()}
}

// refreshPlaced starts a placed attempt on its worker, or stops it if its job has been cancelled.
func (p *pool) refreshPlaced(ctx context.Context, j *state.Job, key place.Task, task state.Task, now time.Duration) {
	s := p.session(ctx, task.Worker)
	if s.has(key, task.Attempt) {
		if j.Cancelled {
			s.stop(key)
		}
		return
	}
	if w, known := p.waiting[key]; known {
		p.service.Stats.ObservePlacement(w.request.Team, citron.Class(j.Spec.GetClass()), now-w.since)
	}
	delete(p.waiting, key)
	delete(p.bindings, key)
	request := p.placementRequest(j, key, task)
	request.Avoid = ""
	p.place.Assign(request, task.Worker)
	own := p.ownPlacements[key] == task.Attempt
	delete(p.ownPlacements, key)
	s.start(key, &attempt{
		number:      task.Attempt,
		spec:        j.Spec,
		size:        request.Resources,
		incarnation: task.WorkerIncarnation,
		adopted:     !own,
		stopping:    j.Cancelled,
	})
	p.service.Log.Emit(event.TaskPlaced, event.Fields{"Job": key.Job, "Task": key.Task, "Worker": task.Worker})
}

// forget frees the resources of a task that no longer runs and removes it from all sessions.
func (p *pool) forget(key place.Task, now time.Duration) {
	p.place.Unassign(key, now)
	delete(p.preempting, key)
	delete(p.results, key)
	for _, s := range p.sessions {
		s.forget(key)
	}
}

// placementRequest returns the placement request for a task. A retry avoids the worker of the last attempt.
func (p *pool) placementRequest(j *state.Job, key place.Task, task state.Task) place.Request {
	class := p.class(j.Spec)
	request := place.Request{
		Task:        key,
		Team:        citron.Team(j.Spec.GetTeam()),
		Urgency:     class.Urgency,
		Resources:   p.sizes.size(j.Spec),
		Spread:      j.Spec.GetService(),
		Preemptible: j.Spec.GetRepeatable() && !j.Spec.GetGang() && !j.Spec.GetService(),
	}
	if task.Attempt > 0 {
		request.Avoid = task.Worker
	}
	return request
}

// class returns the class of a job; jobs of teams without a template count as batch work.
func (p *pool) class(spec *record.JobSpec) tmpl.Class {
	t, ok := p.service.Templates.Get(citron.Team(spec.GetTeam()))
	if !ok {
		return tmpl.Class{Urgency: tmpl.Batch}
	}
	return t.Compiled.Classes[citron.Class(spec.GetClass())]
}

// submit records a job and then accepts it. A known job is accepted again without effect.
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
	p.service.Log.Emit(event.JobAccepted, event.Fields{"Job": id, "Tasks": spec.GetTasks()})
	return nil
}

// fits refuses a job that does not fit even into the empty pool.
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

// cancel records the cancellation of a job.
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

// commit appends a record to the log. A refusal has an unknown outcome, as the record may still be appended.
func (p *pool) commit(ctx context.Context, entry *record.Entry) *citron.Refusal {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := p.ledger.Commit(bounded, entry)
	if err == nil && p.service.Owner.MayAct(p.id) {
		return nil
	}
	refusal := citron.NewNotRunRefusal(citron.RefusalLogUnavailable, retryAfter, "the platform's log did not take the request in time; send the same request again")
	refusal.Outcome = record.Outcome_OUTCOME_UNKNOWN
	return refusal
}

func (p *pool) workerInfos() []place.Info {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Workers(p.service.Timer.Now().Boot)
}

// explain describes the state of a job and, for each task, why it waits or where it ran.
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
		waited := (p.service.Timer.Now().Boot - w.since).Round(time.Millisecond)
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

// whyWaiting returns the reason why a task has not been placed.
func (p *pool) whyWaiting(w *waitingTask) string {
	if reason := p.overQuota(w.request); reason != "" {
		return reason
	}
	now := p.service.Timer.Now().Boot
	fits, usable := 0, 0
	for _, info := range p.place.Workers(now) {
		if info.Asleep || info.Gone || info.Leaving || info.Quarantined || !info.Reachable {
			continue
		}
		usable++
		if w.request.Resources.FitsIn(info.Resources.Minus(info.Used)) {
			fits++
		}
	}
	if fits == 0 {
		return fmt.Sprintf("none of %d usable workers has %d MilliCores and %d MemoryMb free", usable, w.request.Resources.MilliCores, w.request.Resources.MemoryMb)
	}
	if w.gang {
		return fmt.Sprintf("%d of %d usable workers have room, not for all tasks of the gang at once", fits, usable)
	}
	return fmt.Sprintf("%d of %d usable workers have room; more urgent or longer waiting work goes first", fits, usable)
}

// PhaseText returns the name of a phase as shown to callers.
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
