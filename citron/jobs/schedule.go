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
	// maxBindings bounds the placements that are on their way to the log.
	maxBindings = 4096
	// placementGroup bounds the tasks of one placement record, gangs aside.
	placementGroup = 256
	// maxWakes bounds the waiting work that is looked at when workers are woken.
	maxWakes = 256
	// spareWorkers is the number of workers that stay awake without work, for urgent starts.
	spareWorkers = 1
)

// candidate is a task, or a whole gang, that looks for room.
type candidate struct {
	wants []place.Request
	since time.Duration
	gang  bool
}

// schedule gives waiting tasks to workers and sends the placements to the log.
func (p *pool) schedule() {
	if !p.s.Owner.MayAct(p.id) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded || len(p.waiting) == 0 {
		return
	}
	now := p.s.Timer.Now().Boot
	var placed []*record.TaskPlace
	var missed []place.Resources
	for _, c := range p.candidates() {
		if len(p.bindings) >= maxBindings {
			break
		}
		if p.heldBack(c, now) || p.overQuota(c.wants[0]) != "" || hopeless(missed, c) {
			continue
		}
		began := p.s.Timer.Now().Boot
		chosen, ok := p.place.AssignAll(c.wants, now)
		p.s.Stats.Decision(p.s.Timer.Now().Boot - began)
		if !ok {
			missed = append(missed, c.wants[0].Resources)
			p.missed(c, now)
			continue
		}
		if c.gang {
			p.gangSince = 0
		}
		placed = append(placed, p.bind(c, chosen, now)...)
		if len(placed) >= placementGroup {
			p.record(placed)
			placed = nil
		}
	}
	p.record(placed)
}

// hopeless reports whether something no larger has found no room in this round.
func hopeless(missed []place.Resources, c candidate) bool {
	for _, m := range missed {
		if m.FitsIn(c.wants[0].Resources) {
			return true
		}
	}
	return false
}

// candidates lists the waiting work in order: urgency, then the team's use in proportion to its quota, then age.
func (p *pool) candidates() []candidate {
	gangs := map[citron.JobID]*candidate{}
	var all []*candidate
	for _, w := range p.waiting {
		if !w.gang {
			all = append(all, &candidate{wants: []place.Request{w.want}, since: w.since})
			continue
		}
		g, known := gangs[w.want.Job]
		if !known {
			g = &candidate{since: w.since, gang: true}
			gangs[w.want.Job] = g
			all = append(all, g)
		}
		g.wants = append(g.wants, w.want)
		g.since = min(g.since, w.since)
	}
	sort.Slice(all, func(i, j int) bool { return p.before(all[i], all[j]) })
	out := make([]candidate, 0, len(all))
	for _, c := range all {
		sort.Slice(c.wants, func(i, j int) bool { return c.wants[i].Task.Task < c.wants[j].Task.Task })
		out = append(out, *c)
	}
	return out
}

func (p *pool) before(a, b *candidate) bool {
	wa, wb := a.wants[0], b.wants[0]
	if wa.Urgency != wb.Urgency {
		return wa.Urgency < wb.Urgency
	}
	if ua, ub := p.use(wa.Team), p.use(wb.Team); wa.Team != wb.Team && ua != ub {
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

// use is a team's use of cores in proportion to its quota.
func (p *pool) use(team citron.Team) float64 {
	used := float64(p.place.Usage(team).MilliCores)
	t, ok := p.s.Templates.Get(team)
	if !ok || t.Compiled.Quota.MilliCores == 0 {
		return used
	}
	return used / float64(t.Compiled.Quota.MilliCores)
}

// overQuota says why a task must wait for its own team, or is empty.
func (p *pool) overQuota(w place.Request) string {
	t, ok := p.s.Templates.Get(w.Team)
	if !ok {
		return "the team has no template"
	}
	q, next := t.Compiled.Quota, p.place.Usage(w.Team).Plus(w.Resources)
	switch {
	case past(q.MilliCores, int64(next.MilliCores)):
		return fmt.Sprintf("team %s uses its quota of %d MilliCores", w.Team, q.MilliCores)
	case past(q.MemoryMb, int64(next.MemoryMb)):
		return fmt.Sprintf("team %s uses its quota of %d MemoryMb", w.Team, q.MemoryMb)
	case past(q.Accelerators, int64(next.Accelerators)):
		return fmt.Sprintf("team %s uses its quota of %d accelerators", w.Team, q.Accelerators)
	}
	return ""
}

// heldBack reports whether work waits so that the oldest gang finds room. It never waits for longer than the hold
// time, and urgent work not at all.
func (p *pool) heldBack(c candidate, now time.Duration) bool {
	if p.gangSince == 0 || c.gang || c.wants[0].Urgency == tmpl.Urgent {
		return false
	}
	waited := now - p.gangSince
	hold := p.s.Options.GangReservation
	// Smaller work and the gang take turns of one hold time each.
	return waited >= hold && (waited/hold)%2 == 1
}

// missed handles work that fits nowhere: gangs start to hold back others, urgent tasks preempt.
func (p *pool) missed(c candidate, now time.Duration) {
	if c.gang {
		if p.gangSince == 0 {
			p.gangSince = now
		}
		return
	}
	if c.wants[0].Urgency != tmpl.Urgent || len(p.preempting) > 0 {
		return
	}
	worker, victims := p.place.FindVictims(c.wants[0], now)
	for _, v := range victims {
		p.preempting[v] = true
		p.links[worker].stop(v)
		p.s.Log.Emit(event.TaskPreempted, event.Fields{"Job": v.Job, "Task": v.Task, "Worker": worker})
	}
}

// bind books chosen workers until the log shows the placement.
func (p *pool) bind(c candidate, chosen []citron.Worker, now time.Duration) (places []*record.TaskPlace) {
	for n, want := range c.wants {
		attempt := p.nextAttempt(want.Task)
		b := binding{worker: chosen[n], incarnation: p.links[chosen[n]].current(), attempt: attempt, sent: now}
		p.bindings[want.Task] = b
		p.mine[want.Task] = attempt
		w := p.waiting[want.Task]
		delete(p.waiting, want.Task)
		p.s.Stats.Place(want.Team, p.className(want.Job), now-w.since)
		places = append(places, placeRecord(want.Task, b))
	}
	return places
}

func (p *pool) record(places []*record.TaskPlace) {
	if len(places) == 0 {
		return
	}
	entry := p.ledger.NewEntry()
	entry.Body = &record.Entry_Placement{Placement: &record.Placement{Tasks: places}}
	p.ledger.StartAppend(entry)
}

// tick does what is due by time.
func (p *pool) tick(ctx context.Context) {
	if !p.s.Owner.MayAct(p.id) {
		return
	}
	p.refresh(ctx)
	p.resend()
	p.endGone()
	p.power(ctx)
	p.schedule()
	p.jobs.Prune(p.s.Timer.Now().Wall.Add(-p.s.Options.JobRetention))
}

// resend repeats placements and results that do not show in the log. The first copy that lands holds.
func (p *pool) resend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.Timer.Now().Boot
	var places []*record.TaskPlace
	for key, b := range p.bindings {
		if now-b.sent < resendAfter {
			continue
		}
		b.sent = now
		p.bindings[key] = b
		places = append(places, placeRecord(key, b))
	}
	p.record(places)
	if len(p.results) > 0 && now-p.resultsSent >= resendAfter {
		p.sendResults(now)
	}
}

// endGone ends the tasks of workers whose VM is gone, once their leases have lapsed too.
func (p *pool) endGone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.Timer.Now()
	ended := false
	for name, l := range p.links {
		if !p.s.Gone(citron.VMName(name)) || !p.former.ReachedBoth(now) || !l.lapsed(now) {
			continue
		}
		for _, t := range l.all() {
			p.note(t, record.TaskPhase_TASK_PHASE_LOST, "the worker's VM is gone")
			ended = true
		}
	}
	if ended {
		p.sendResults(now.Boot)
	}
}

// power wakes workers for work that fits nowhere and switches idle ones off.
func (p *pool) power(ctx context.Context) {
	p.mu.Lock()
	now := p.s.Timer.Now().Boot
	var wants []place.Request
	for _, c := range p.candidates() {
		if len(wants) >= maxWakes {
			break
		}
		if p.overQuota(c.wants[0]) == "" && p.fitsNowhere(c, now) {
			wants = append(wants, c.wants...)
		}
	}
	wake := p.place.Wake(wants)
	var sleep []citron.Worker
	if len(p.waiting) == 0 {
		sleep = p.place.Sleep(now, p.s.Options.IdleTimeout, spareWorkers)
	}
	p.mu.Unlock()
	for _, name := range wake {
		p.switchPower(ctx, name, true)
	}
	for _, name := range sleep {
		p.switchPower(ctx, name, false)
	}
}

func (p *pool) fitsNowhere(c candidate, now time.Duration) bool {
	if c.gang {
		_, ok := p.place.AssignAll(c.wants, now)
		for _, want := range c.wants {
			if ok {
				p.place.Unassign(want.Task, now)
			}
		}
		return !ok
	}
	_, ok := p.place.Choose(c.wants[0], now)
	return !ok
}

func (p *pool) switchPower(ctx context.Context, name citron.Worker, on bool) {
	p.s.Log.Emit(event.WorkerPowered, event.Fields{"Worker": name, "On": on})
	if err := p.s.VMs.SetPower(ctx, citron.VMName(name), on); err != nil {
		p.s.Log.Emit(event.PowerFailed, event.Fields{"Worker": name, "Error": err})
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
