package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/quota"
)

// quotaReportEvery is the minimum time between two reports that a team waits for its quota, or that unknown runs count. The
// logs of 200 teams that always wait are then 20 lines a second.
const quotaReportEvery = 10 * time.Second

// TeamLoad is what one team uses and waits for.
type TeamLoad struct {
	// Terms are zero but for the name if the configuration does not name the team.
	Terms            citron.TeamTerms
	Used             citron.Capacity
	Waiting, Running int
}

// Teams returns the load of every team that has terms or tasks, sorted by name.
func (p *Pool) Teams() (list []TeamLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := map[citron.Team]int{}
	add := func(terms citron.TeamTerms) int {
		n, known := index[terms.Name]
		if !known {
			n = len(list)
			index[terms.Name] = n
			list = append(list, TeamLoad{Terms: terms, Used: p.quota.Used(terms.Name)})
		}
		return n
	}
	for _, t := range p.terms {
		add(t)
	}
	for _, j := range p.jobs {
		if j.spec.GetTeam() == "" {
			continue
		}
		n := add(citron.TeamTerms{Name: citron.Team(j.spec.GetTeam())})
		waiting, running := j.taskCounts()
		list[n].Waiting += waiting
		list[n].Running += running
	}
	slices.SortFunc(list, func(a, b TeamLoad) int { return cmp.Compare(a.Terms.Name, b.Terms.Name) })
	return list
}

// taskCounts counts the waiting tasks of a job's ready steps and its tasks on workers.
func (j *job) taskCounts() (waiting, running int) {
	for _, o := range j.open {
		for _, s := range o.steps {
			running += s.counts.assigned
			if s.ready {
				waiting += s.waitingTasks()
			}
		}
	}
	return waiting, running
}

// TeamUse returns what a team uses and the maximum that applies to it.
func (p *Pool) TeamUse(team citron.Team) (used, maximum citron.Capacity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maximum, _ = p.quota.Maximum(team)
	return p.quota.Used(team), maximum
}

// describeUse returns what a team uses of its maximum, as text.
func (p *Pool) describeUse(team citron.Team) string {
	maximum, _ := p.quota.Maximum(team)
	return quota.Describe(p.quota.Used(team), maximum)
}

// quotaReason returns why the quota of a step's team keeps its tasks waiting, empty if it does not.
func (wp *waitingPass) quotaReason(s *step) string {
	p, team, together := wp.pool, s.team(), 1
	if s.spec.GetGang() {
		together = s.tasks.size
	}
	need := quota.StepNeed(s.spec)
	switch {
	case team == "":
		return ""
	case !p.termsKnown:
		return "; the terms of team " + string(team) + " are not known yet"
	case !p.quota.Suits(team, need, together):
		return fmt.Sprintf("; %d tasks at once need more than the quota of team %s, of which it uses %s", together, team, p.describeUse(team))
	case p.quota.Fits(team, need, together) < together:
		return fmt.Sprintf("; team %s has no quota left, it uses %s", team, p.describeUse(team))
	case wp.heldBack(s):
		return fmt.Sprintf("; the quota of team %s is held for a gang, it uses %s", team, p.describeUse(team))
	}
	return ""
}

// reportAboveQuota reports the teams that use more than their new maximum.
func (p *Pool) reportAboveQuota() {
	for _, t := range p.terms {
		if p.quota.Above(t.Name) {
			p.observe(Decision{Kind: DecidedAboveQuota, Team: t.Name, Reason: p.describeUse(t.Name)})
		}
	}
}

// reportQuotaWait reports that a step waits for its team's quota.
func (wp *waitingPass) reportQuotaWait(s *step) {
	p, team := wp.pool, s.team()
	if last, reported := p.quotaWaitAt[team]; reported && wp.now-last < quotaReportEvery {
		return
	}
	if p.quotaWaitAt == nil {
		p.quotaWaitAt = map[citron.Team]time.Duration{}
	}
	p.quotaWaitAt[team] = wp.now
	p.observe(Decision{Kind: DecidedQuotaWait, Team: team, Job: s.job.id, Task: citron.TaskRef(s.ref), Age: wp.now - s.readyAt, Reason: p.describeUse(team)})
}

// reportUnknownRuns reports that unknown runs count, once they have not for quotaReportEvery.
func (p *Pool) reportUnknownRuns(now time.Duration, unknown citron.Capacity) {
	if unknown == (citron.Capacity{}) {
		return
	}
	if p.unknownRunsAt == 0 || now-p.unknownRunsAt > quotaReportEvery {
		p.observe(Decision{Kind: DecidedUnknownRuns, Reason: fmt.Sprintf("they may use %d thousandths of a core and %d MB", unknown.MilliCores, unknown.MemoryMb)})
	}
	p.unknownRunsAt = now
}
