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

// Refusals lists the teams whose new jobs would be worthless.
type Refusals struct {
	// Number counts the checks of this epoch.
	Number uint64
	// Listed counts the checks that found any team.
	Listed uint64
	Teams  []RefusedTeam
}

// RefusedTeam is the backlog of a team whose new jobs are to be refused.
type RefusedTeam struct {
	Team citron.Team
	// Wait is the expected wait of a new job beyond the rate.
	Wait time.Duration
	// Waiting counts the jobs that have not started, OverRate those of them beyond the rate.
	Waiting, OverRate int
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
		r.Teams = p.refusedTeams()
	}
	if len(r.Teams) > 0 {
		r.Listed++
	}
	p.refusals.Store(&r)
}

// refusedTeams returns the teams whose new jobs are to be refused, sorted by team.
func (p *Pool) refusedTeams() (list []RefusedTeam) {
	backlogs := p.backlogs()
	waits := p.share.Refusals(backlogs)
	for _, b := range backlogs {
		if wait, ok := waits[b.Team]; ok {
			list = append(list, RefusedTeam{Team: b.Team, Wait: wait, Waiting: b.Jobs, OverRate: b.OverRate})
		}
	}
	return list
}

// backlogs returns the waiting work of each team, sorted by team.
func (p *Pool) backlogs() (list []citron.Backlog) {
	byTeam := map[citron.Team]*citron.Backlog{}
	seen := map[*job]bool{}
	for _, s := range p.waiting {
		name := citron.Team(s.job.spec.GetTeam())
		b := byTeam[name]
		if b == nil {
			b = &citron.Backlog{Team: name}
			byTeam[name] = b
		}
		b.Work += time.Duration(s.need.MilliCores*int64(s.waitingTasks())) * p.expectedRunTime(s.job, s.index)
		if s.job.state != work.State_STATE_QUEUED || seen[s.job] {
			continue
		}
		seen[s.job] = true
		b.Jobs++
		if s.job.overRate {
			b.OverRate++
		}
		if objective := p.objective(s.job); b.Objective == 0 || objective < b.Objective {
			b.Objective = objective
		}
	}
	for _, b := range byTeam {
		list = append(list, *b)
	}
	slices.SortFunc(list, func(a, b citron.Backlog) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
