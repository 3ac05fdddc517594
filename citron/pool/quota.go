package pool

import (
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/quota"
)

// team returns the team of a step's job, empty if it has none.
func (s *step) team() citron.Team {
	return citron.Team(s.job.spec.GetTeam())
}

// assign puts a run on a worker and counts it against the worker's capacity and the team's maximum until unassign.
func (p *Pool) assign(t *task, w *worker) {
	p.unassign(t)
	t.worker = w
	w.tasks[t.ref] = t
	t.step.countOn(w, 1)
	w.used = w.used.Add(t.step.need)
	if s := t.step; s.priority() == 0 {
		p.urgentUse[s.service()] = p.urgentUse[s.service()].Add(s.need)
	}
	if team := t.step.team(); team != "" {
		p.quota.Take(team, quota.StepNeed(t.step.spec))
	}
}

// unassign releases what a run that is no longer on its worker has used.
func (p *Pool) unassign(t *task) {
	if t.worker == nil {
		return
	}
	delete(t.worker.tasks, t.ref)
	t.step.countOn(t.worker, -1)
	t.worker.used = t.worker.used.Sub(t.step.need)
	if s := t.step; s.priority() == 0 {
		p.urgentUse[s.service()] = p.urgentUse[s.service()].Sub(s.need)
	}
	t.worker = nil
	p.changeTask(t)
	if team := t.step.team(); team != "" {
		p.quota.Return(team, quota.StepNeed(t.step.spec))
	}
}

// quotaRoom returns how many waiting tasks of a step its team's maximum lets start now. It is 0 for a gang of which not all
// tasks may start; the first such gang of a team holds the team's quota.
func (wp *waitingPass) quotaRoom(s *step) int {
	tasks, team, p := s.tasks.size, s.team(), wp.pool
	switch {
	case team == "":
		return tasks
	case !p.termsKnown:
		return 0
	}
	need := quota.StepNeed(s.spec)
	room := p.quota.Fits(team, need, tasks)
	if room > 0 && wp.heldBack(s) {
		held := wp.quotaHolds[team].need
		p.quota.Take(team, held)
		room = p.quota.Fits(team, need, tasks)
		p.quota.Return(team, held)
	}
	switch {
	case !s.spec.GetGang():
	case room < tasks:
		wp.holdQuota(s)
		room = 0
	default:
		wp.keepHold(s)
	}
	if room == 0 {
		wp.reportQuotaWait(s)
	}
	return room
}

// countUnknown passes to the quota what runs that this holder does not know may use. Their teams are unknown as well.
func (p *Pool) countUnknown(now time.Duration) {
	if p.terms == nil {
		return
	}
	if p.unknownUntil == 0 {
		p.unknownUntil = now + p.maxLeaseTime(p.Options.MaxLease)
	}
	unknown := citron.Capacity{}
	for _, w := range p.byID {
		if p.hidesRuns(now, w) {
			unknown = unknown.Add(atLeastZero(w.free()))
		}
	}
	p.quota.SetUnknown(unknown)
	p.reportUnknownRuns(now, unknown)
}

// hidesRuns reports whether a worker may have runs that are not assigned to it: it has reported some, or it has not reported
// yet and a former holder may have started runs of jobs that are not known here. They end with their leases.
func (p *Pool) hidesRuns(now time.Duration, w *worker) bool {
	leased := p.unknownUntil == 0 || now <= p.unknownUntil
	switch {
	case w.gone:
		return false
	case w.unrecordedRuns:
		return leased || now <= w.leaseUntil
	}
	return !w.reported && !p.allJobsKnown && leased
}

// atLeastZero replaces negative dimensions by 0.
func atLeastZero(c citron.Capacity) citron.Capacity {
	return citron.Capacity{MilliCores: max(c.MilliCores, 0), MemoryMb: max(c.MemoryMb, 0), Accelerators: max(c.Accelerators, 0)}
}
