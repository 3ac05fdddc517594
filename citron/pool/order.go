package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// rank orders waiting steps: those that can no longer be of use last, then jobs beyond the rate of a team over its share after
// all others, then by band of lateness, priority (0 first), the share of their team and deadline.
//
// The share comes after the priority because a small team is over its share with a single gang: placed before the priority,
// it made the quick jobs of small teams wait for the long ones of others (docs/design/share.md).
type rank struct {
	step *step
	// aged is set for the step that has waited for too long.
	aged     bool
	share    citron.ShareRank
	band     int
	priority int32
	deadline time.Duration
}

// Bands of lateness, the last three in the order of Lateness. Steps that can no longer meet their objective come after those
// that can.
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
	var aged *step
	if p.share != nil {
		aged = p.aging.next(now, p.waiting)
	}
	ranks := make([]rank, 0, len(p.waiting))
	for _, s := range p.waiting {
		r := p.rank(now, s)
		r.aged = s == aged
		ranks = append(ranks, r)
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
	r.band = bandInTime + int(p.latenessOf(now, s))
	if p.share != nil {
		r.share = p.share.Rank(citron.Team(s.job.spec.GetTeam()), !s.job.overRate)
	}
	return r
}

// restartsService reports whether a service task of the step waits after a run.
func (s *step) restartsService() bool {
	return s.spec.GetService() && s.counts.waitingAgain > 0
}

// compare returns a negative number if r comes before o. No two steps are equal.
func (r *rank) compare(o *rank) int {
	if c := cmp.Or(compareBool(o.aged, r.aged), compareBool(r.band == bandTooLate, o.band == bandTooLate), r.beyondRate()-o.beyondRate(), r.band-o.band); c != 0 {
		return c
	}
	if c := cmp.Or(cmp.Compare(r.priority, o.priority), int(r.share-o.share), cmp.Compare(r.deadline, o.deadline)); c != 0 {
		return c
	}
	return cmp.Compare(r.step.ref, o.step.ref)
}

// beyondRate returns 1 for steps of jobs beyond the rate of a team that also uses more than its share, otherwise 0. Those
// of other teams beyond their rate come after others of their band and priority only: on played loads with a burst of one
// queue of all teams that earned callers more (docs/design/share.md).
func (r *rank) beyondRate() int {
	if r.share == citron.OverBoth {
		return 1
	}
	return 0
}

const (
	// agedAfter is the time after which a step may come before all others: much longer than any objective of the load that
	// the order is made for.
	agedAfter = 30 * time.Second
	// agedInterval is the time between two such steps. The largest gangs of that load take 1.5 % of the capacity at this rate.
	agedInterval = 5 * time.Second
)

// aging lets steps that have waited for long come first, one at a time, until a task of theirs has started. Without it a gang
// that is too late waits for as long as smaller tasks pass. It applies only while teams are in force.
type aging struct {
	step    *step
	waiting int
	due     time.Duration
}

// next returns the step that comes first now, nil if there is none.
func (a *aging) next(now time.Duration, waiting []*step) *step {
	if a.step != nil && a.step.waitingTasks() < a.waiting {
		a.step = nil
	}
	if now < a.due {
		return a.step
	}
	a.step, a.due = nil, now+agedInterval
	for _, s := range waiting {
		if now-s.waitsSince() > agedAfter && (a.step == nil || s.waitsSince() < a.step.waitsSince()) {
			a.step = s
		}
	}
	if a.step != nil {
		a.step.agedAt, a.waiting = now, a.step.waitingTasks()
	}
	return a.step
}

// waitsSince returns when the step became ready or last came first.
func (s *step) waitsSince() time.Duration {
	return max(s.readyAt, s.agedAt)
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
