package jobs

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/citron/tmpl"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// maxBindings is the number of placements being recorded at which scheduling pauses.
	maxBindings = 4096
	// placementBatch is the number of tasks at which a placement record is sent; a gang is never split.
	placementBatch = 256
	// maxWakeTasks limits the waiting tasks considered when workers are woken.
	maxWakeTasks = 256
	// spareWorkers is the minimum number of workers that stay awake for urgent tasks; workers with tasks count.
	spareWorkers = 1
)

// candidate is a task or a whole gang to be placed.
type candidate struct {
	requests []place.Request
	since    time.Duration
	gang     bool
}

// schedule places waiting tasks on workers and sends the placements to the log.
func (p *pool) schedule() {
	if !p.service.Owner.MayAct(p.id) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded || len(p.waiting) == 0 {
		return
	}
	now := p.service.Timer.Now().Boot
	var placed []*record.TaskPlace
	var unplaced []place.Resources
	for _, c := range p.candidates() {
		if len(p.bindings) >= maxBindings {
			break
		}
		if p.isDeferred(c, now) || p.overQuota(c.requests[0]) != "" || cannotFit(unplaced, c) {
			continue
		}
		began := p.service.Timer.Now().Boot
		chosen, ok := p.place.AssignAll(c.requests, now)
		p.service.Stats.ObserveDecision(p.service.Timer.Now().Boot - began)
		if !ok {
			unplaced = append(unplaced, c.requests[0].Resources)
			p.handleUnplaced(c, now)
			continue
		}
		if c.gang {
			p.gangBlockedSince = 0
		}
		placed = append(placed, p.bind(c, chosen, now)...)
		if len(placed) >= placementBatch {
			p.recordPlacements(placed)
			placed = nil
		}
	}
	p.recordPlacements(placed)
}

// cannotFit reports whether work of the same size or smaller could not be placed in this round.
func cannotFit(unplaced []place.Resources, c candidate) bool {
	for _, m := range unplaced {
		if m.FitsIn(c.requests[0].Resources) {
			return true
		}
	}
	return false
}

// candidates returns the waiting work ordered by urgency, then the team's use in proportion to its quota, then age.
func (p *pool) candidates() []candidate {
	gangs := map[citron.JobID]*candidate{}
	var all []*candidate
	for _, w := range p.waiting {
		if !w.gang {
			all = append(all, &candidate{requests: []place.Request{w.request}, since: w.since})
			continue
		}
		g, known := gangs[w.request.Job]
		if !known {
			g = &candidate{since: w.since, gang: true}
			gangs[w.request.Job] = g
			all = append(all, g)
		}
		g.requests = append(g.requests, w.request)
		g.since = min(g.since, w.since)
	}
	sort.Slice(all, func(i, j int) bool { return p.less(all[i], all[j]) })
	out := make([]candidate, 0, len(all))
	for _, c := range all {
		sort.Slice(c.requests, func(i, j int) bool { return c.requests[i].Task.Task < c.requests[j].Task.Task })
		out = append(out, *c)
	}
	return out
}

// less reports whether a is to be placed before b.
func (p *pool) less(a, b *candidate) bool {
	wa, wb := a.requests[0], b.requests[0]
	if wa.Urgency != wb.Urgency {
		return wa.Urgency < wb.Urgency
	}
	if ua, ub := p.quotaUse(wa.Team), p.quotaUse(wb.Team); wa.Team != wb.Team && ua != ub {
		return ua < ub
	}
	if a.since != b.since {
		return a.since < b.since
	}
	if wa.Job != wb.Job {
		return wa.Job < wb.Job
	}
	return wa.Task.Task < wb.Task.Task
}

// quotaUse returns a team's use of cores in proportion to its quota.
func (p *pool) quotaUse(team citron.Team) float64 {
	used := float64(p.place.Usage(team).MilliCores)
	t, ok := p.service.Templates.Get(team)
	if !ok || t.Compiled.Quota.MilliCores == 0 {
		return used
	}
	return used / float64(t.Compiled.Quota.MilliCores)
}

// overQuota returns which quota of its team a task would exceed, or "" if none.
func (p *pool) overQuota(w place.Request) string {
	t, ok := p.service.Templates.Get(w.Team)
	if !ok {
		return "the team has no template"
	}
	q, next := t.Compiled.Quota, p.place.Usage(w.Team).Plus(w.Resources)
	switch {
	case exceeds(q.MilliCores, int64(next.MilliCores)):
		return fmt.Sprintf("team %s uses its quota of %d MilliCores", w.Team, q.MilliCores)
	case exceeds(q.MemoryMb, int64(next.MemoryMb)):
		return fmt.Sprintf("team %s uses its quota of %d MemoryMb", w.Team, q.MemoryMb)
	case exceeds(q.Accelerators, int64(next.Accelerators)):
		return fmt.Sprintf("team %s uses its quota of %d accelerators", w.Team, q.Accelerators)
	}
	return ""
}

// isDeferred reports whether work is deferred to keep capacity free for a blocked gang. Urgent work is never deferred,
// other work for at most GangReservation at a time.
func (p *pool) isDeferred(c candidate, now time.Duration) bool {
	if p.gangBlockedSince == 0 || c.gang || c.requests[0].Urgency == tmpl.Urgent {
		return false
	}
	waited := now - p.gangBlockedSince
	period := p.service.Options.GangReservation
	// Smaller work and the gang take turns of one period each.
	return waited >= period && (waited/period)%2 == 1
}

// handleUnplaced handles work that fits nowhere: a gang starts to defer smaller work, an urgent task preempts others.
func (p *pool) handleUnplaced(c candidate, now time.Duration) {
	if c.gang {
		if p.gangBlockedSince == 0 {
			p.gangBlockedSince = now
		}
		return
	}
	if c.requests[0].Urgency != tmpl.Urgent || len(p.preempting) > 0 {
		return
	}
	worker, victims := p.place.FindVictims(c.requests[0], now)
	for _, v := range victims {
		p.preempting[v] = true
		p.sessions[worker].stop(v)
		p.service.Log.Emit(event.TaskPreempted, event.Fields{"Job": v.Job, "Task": v.Task, "Worker": worker})
	}
}

// bind reserves the chosen workers until the placement is replayed from the log.
func (p *pool) bind(c candidate, chosen []citron.Worker, now time.Duration) (places []*record.TaskPlace) {
	for n, request := range c.requests {
		attempt := p.nextAttempt(request.Task)
		b := binding{worker: chosen[n], incarnation: p.sessions[chosen[n]].currentIncarnation(), attempt: attempt, sent: now}
		p.bindings[request.Task] = b
		p.ownPlacements[request.Task] = attempt
		w := p.waiting[request.Task]
		delete(p.waiting, request.Task)
		p.service.Stats.ObservePlacement(request.Team, p.className(request.Job), now-w.since)
		places = append(places, placeRecord(request.Task, b))
	}
	return places
}

// recordPlacements sends placements to the log.
func (p *pool) recordPlacements(places []*record.TaskPlace) {
	if len(places) == 0 {
		return
	}
	entry := p.ledger.NewEntry()
	entry.Body = &record.Entry_Placement{Placement: &record.Placement{Tasks: places}}
	p.ledger.StartAppend(entry)
}

// tick performs time-driven work.
func (p *pool) tick(ctx context.Context) {
	if !p.service.Owner.MayAct(p.id) {
		return
	}
	p.refresh(ctx)
	p.resend()
	p.endTasksOfGoneWorkers()
	p.adjustPower(ctx)
	p.schedule()
	p.jobs.Prune(p.service.Timer.Now().Wall.Add(-p.service.Options.JobRetention))
}

// resend repeats placements and results whose records are in doubt. The first copy in the log takes effect.
func (p *pool) resend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.service.Timer.Now().Boot
	var places []*record.TaskPlace
	for key, b := range p.bindings {
		if now-b.sent < resendAfter {
			continue
		}
		b.sent = now
		p.bindings[key] = b
		places = append(places, placeRecord(key, b))
	}
	p.recordPlacements(places)
	if len(p.results) > 0 && now-p.resultsSent >= resendAfter {
		p.sendResults(now)
	}
}

// endTasksOfGoneWorkers ends the tasks of workers whose VM is gone once all their leases have expired.
func (p *pool) endTasksOfGoneWorkers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.service.Timer.Now()
	ended := false
	for name, s := range p.sessions {
		if !p.service.IsVMGone(citron.VMName(name)) || !p.formerLeaseEnd.ReachedBoth(now) || !s.leaseExpired(now) {
			continue
		}
		for _, t := range s.tasks() {
			p.recordEnd(t, record.TaskPhase_TASK_PHASE_LOST, "the worker's VM is gone")
			ended = true
		}
	}
	if ended {
		p.sendResults(now.Boot)
	}
}

// adjustPower wakes workers for work that fits nowhere and switches off idle ones.
func (p *pool) adjustPower(ctx context.Context) {
	p.mu.Lock()
	now := p.service.Timer.Now().Boot
	var requests []place.Request
	for _, c := range p.candidates() {
		if len(requests) >= maxWakeTasks {
			break
		}
		if p.overQuota(c.requests[0]) == "" && p.fitsNowhere(c, now) {
			requests = append(requests, c.requests...)
		}
	}
	wake := p.place.Wake(requests)
	var sleep []citron.Worker
	if len(p.waiting) == 0 {
		sleep = p.place.Sleep(now, p.service.Options.IdleTimeout, spareWorkers)
	}
	p.mu.Unlock()
	for _, name := range wake {
		p.switchPower(ctx, name, true)
	}
	for _, name := range sleep {
		p.switchPower(ctx, name, false)
	}
}

// fitsNowhere reports whether no worker that is awake has capacity for a candidate.
func (p *pool) fitsNowhere(c candidate, now time.Duration) bool {
	if c.gang {
		_, ok := p.place.AssignAll(c.requests, now)
		for _, request := range c.requests {
			if ok {
				p.place.Unassign(request.Task, now)
			}
		}
		return !ok
	}
	_, ok := p.place.Choose(c.requests[0], now)
	return !ok
}

func (p *pool) switchPower(ctx context.Context, name citron.Worker, on bool) {
	p.service.Log.Emit(event.WorkerPowered, event.Fields{"Worker": name, "On": on})
	if err := p.service.VMs.SetPower(ctx, citron.VMName(name), on); err != nil {
		p.service.Log.Emit(event.PowerFailed, event.Fields{"Worker": name, "Error": err})
	}
}

func placeRecord(t place.Task, b binding) *record.TaskPlace {
	return &record.TaskPlace{
		JobID:             string(t.Job),
		Task:              t.Task,
		Attempt:           b.attempt,
		Worker:            string(b.worker),
		WorkerIncarnation: uint64(b.incarnation),
	}
}
