package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// refusalInterval is the time between two checks of the teams' backlogs. A daemon uses a summary for 1.5 s, so two checks
// may go by before it admits jobs again.
const refusalInterval = 500 * time.Millisecond

// Refusals lists the teams and priorities whose new jobs would be worthless.
type Refusals struct {
	// Number counts the checks of this epoch.
	Number uint64
	// Listed counts the checks that found any team.
	Listed uint64
	Teams  []citron.BacklogWait
}

// Refusals returns the result of the last check of the backlogs. It does not wait for a plan in progress, since the answers
// to pings contain it.
func (p *Pool) Refusals() Refusals {
	if r := p.refusals.Load(); r != nil {
		return *r
	}
	return Refusals{}
}

// checkBacklogs finds the teams whose new jobs are to be refused.
func (p *Pool) checkBacklogs(now time.Duration) {
	r := p.Refusals()
	if p.share == nil && len(r.Teams) == 0 || now < p.backlogsDue {
		return
	}
	p.backlogsDue = now + refusalInterval
	r.Number++
	r.Teams = nil
	if p.share != nil {
		r.Teams = p.share.Refusals(p.backlogs())
	}
	if len(r.Teams) > 0 {
		r.Listed++
	}
	p.refusals.Store(&r)
}

// backlogKey names the backlog of a team for a priority.
type backlogKey struct {
	team     citron.Team
	priority int32
}

// backlogs returns the waiting work of each team that comes before a new job of each priority, sorted by team and priority.
func (p *Pool) backlogs() (list []citron.Backlog) {
	byKey := map[backlogKey]*citron.Backlog{}
	seen := map[*job]bool{}
	for _, s := range p.waiting {
		k := backlogKey{citron.Team(s.job.spec.GetTeam()), s.priority()}
		b := byKey[k]
		if b == nil {
			b = &citron.Backlog{Team: k.team, Priority: k.priority}
			byKey[k] = b
		}
		b.Work += time.Duration(s.need.MilliCores*int64(s.waitingTasks())) * p.expectedOf(s)
		if s.job.state != work.State_STATE_QUEUED || seen[s.job] {
			continue
		}
		seen[s.job] = true
		p.countWaiting(b, s.job)
	}
	for _, b := range byKey {
		list = append(list, *b)
	}
	slices.SortFunc(list, func(a, b citron.Backlog) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Priority, b.Priority))
	})
	for n := 1; n < len(list); n++ {
		if list[n].Team == list[n-1].Team {
			list[n].Work += list[n-1].Work
		}
	}
	return list
}

// countWaiting adds a job that has not started to a backlog.
func (p *Pool) countWaiting(b *citron.Backlog, j *job) {
	b.Jobs++
	if j.overRate {
		b.OverRate++
	}
	if objective := p.objective(j); b.Objective == 0 || objective < b.Objective {
		b.Objective = objective
	}
}
