package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// rank orders waiting steps: those that can no longer be of use last, then by the rank of their team's share, band of
// lateness, priority (0 first) and deadline.
type rank struct {
	step     *step
	share    citron.ShareRank
	band     int
	priority int32
	deadline time.Duration
}

// Bands of lateness. Steps that can no longer meet their objective come after those that can.
const (
	// bandRestart holds the service steps with a task that has run before. Its callers are without it since that run ended,
	// whatever became of the objective of the job's first start, and such tasks are few.
	bandRestart = iota
	bandInTime
	bandLate
	bandTooLate
)

// tooLateFactor is the multiple of a job's objective after which its result is worth nothing to the caller.
const tooLateFactor = 3

// sortWaiting sorts the waiting steps by rank.
func (p *Pool) sortWaiting(now time.Duration) {
	ranks := make([]rank, 0, len(p.waiting))
	for _, s := range p.waiting {
		ranks = append(ranks, p.rank(now, s))
	}
	slices.SortFunc(ranks, func(a, b rank) int { return a.compare(&b) })
	for n := range ranks {
		p.waiting[n] = ranks[n].step
	}
}

// rank returns the rank of a waiting step.
func (p *Pool) rank(now time.Duration, s *step) rank {
	r := rank{step: s, priority: s.job.spec.GetTerms().GetPriority(), deadline: s.deadline}
	if s.restartsService() {
		r.band = bandRestart
		return r
	}
	end := now + p.expectedRunTime(s.job, s.index)
	switch objective := s.deadline - s.job.accepted; {
	case end <= s.deadline:
		r.band = bandInTime
	case end <= s.job.accepted+tooLateFactor*objective:
		r.band = bandLate
	default:
		r.band = bandTooLate
	}
	if p.share != nil {
		r.share = p.share.Rank(citron.Team(s.job.spec.GetTeam()), !s.job.overRate)
	}
	return r
}

// restartsService reports whether a service task of the step waits after a run.
func (s *step) restartsService() bool {
	return s.spec.GetService() && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.state == taskWaiting && t.run > 0 })
}

// compare returns a negative number if r comes before o. No two steps are equal.
func (r *rank) compare(o *rank) int {
	if c := cmp.Or(compareBool(r.band == bandTooLate, o.band == bandTooLate), int(r.share-o.share), r.band-o.band); c != 0 {
		return c
	}
	if c := cmp.Or(cmp.Compare(r.priority, o.priority), cmp.Compare(r.deadline, o.deadline)); c != 0 {
		return c
	}
	return cmp.Compare(r.step.ref, o.step.ref)
}

// teamUse is what the tasks of one team use and need.
type teamUse struct {
	used, waiting citron.Capacity
}

// classifyArrivals checks the rates of the teams of new jobs in order of acceptance, since a new holder is passed all jobs
// at once. While teams are not in force every job is within its rate.
func (p *Pool) classifyArrivals() {
	if len(p.arrivals) == 0 {
		return
	}
	slices.SortFunc(p.arrivals, func(a, b *job) int { return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.id, b.id)) })
	for _, j := range p.arrivals {
		name := citron.Team(j.spec.GetTeam())
		if j.team = p.teams[name]; j.team == nil {
			j.team = &teamUse{}
			p.teams[name] = j.team
		}
		j.overRate = p.share != nil && !j.terminal && !p.share.Arrived(name, j.accepted)
	}
	p.arrivals = nil
}

// updateShares passes what the teams use and need to the share. It requires that the rates of all jobs are checked.
func (p *Pool) updateShares(now time.Duration) {
	if p.share == nil {
		return
	}
	for _, u := range p.teams {
		*u = teamUse{}
	}
	var capacity citron.Capacity
	for _, w := range p.byID {
		if w.usable(now) {
			capacity = capacity.Add(w.entry.Capacity)
		}
		for _, t := range w.tasks {
			u := t.step.job.team
			u.used = u.used.Add(t.step.need)
		}
	}
	for _, s := range p.waiting {
		u := s.job.team
		u.waiting = u.waiting.Add(s.need.Times(s.waitingTasks()))
	}
	uses := make([]citron.TeamUse, 0, len(p.teams))
	for _, name := range slices.Sorted(maps.Keys(p.teams)) {
		u := p.teams[name]
		uses = append(uses, citron.TeamUse{Team: name, Used: u.used, Waiting: u.waiting})
	}
	p.share.Update(uses, capacity)
}
