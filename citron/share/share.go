package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// rateWindow is the time over which the platform counts the jobs of a team (quota_window_s), rateSlack the number of jobs
	// beyond that which it allows (quota_slack). With a window of one second the jobs of small teams, which come several at a
	// time, and all teams' jobs in a burst of one queue came last although their callers were entitled to them.
	rateWindow = 5 * time.Second
	rateSlack  = 20
	// worthlessFactor is the multiple of its objective after which a job is worth nothing to its caller.
	worthlessFactor = 3
)

// Share implements citron.Share. The zero value has no teams.
type Share struct {
	teams map[citron.Team]*team
	// level is the use per weight up to which teams are within their share, as a fraction of the capacity. It is infinite
	// while there is capacity for all.
	level    float64
	capacity citron.Capacity
}

// team is what is known of one team.
type team struct {
	weight float64
	bucket Bucket
	// over is set if the team uses more than its share.
	over bool
}

var _ citron.Share = (*Share)(nil)

// SetTerms replaces the terms of all teams. Teams that had terms before keep their buckets.
func (s *Share) SetTerms(terms []citron.TeamTerms) {
	old := s.teams
	s.teams = make(map[citron.Team]*team, len(terms))
	for _, t := range terms {
		next := old[t.Name]
		if next == nil {
			next = &team{}
		}
		next.weight = max(t.Weight, 0)
		s.teams[t.Name] = next
	}
}

// Arrived records an accepted job and reports whether it is within the team's rate. Jobs without a team have no rate. A
// team without terms is entitled to nothing.
func (s *Share) Arrived(name citron.Team, at time.Duration) bool {
	if name == "" {
		return true
	}
	t := s.teams[name]
	return t != nil && t.bucket.Take(t.weight, burst(t.weight), at)
}

// burst returns the number of jobs that a team may send at once.
func burst(weight float64) float64 {
	return weight*rateWindow.Seconds() + rateSlack
}

// Update applies what the teams use and need at the moment.
func (s *Share) Update(uses []citron.TeamUse, capacity citron.Capacity) {
	s.capacity = capacity
	s.level = s.findLevel(uses)
	for _, t := range s.teams {
		t.over = false
	}
	for _, u := range uses {
		if t := s.teams[u.Team]; t != nil {
			t.over = dominantShare(u.Used, capacity) > s.level*t.weight
		}
	}
}

// Rank returns the rank of a team's job.
func (s *Share) Rank(name citron.Team, within bool) citron.ShareRank {
	t := s.teams[name]
	switch {
	case name == "":
		return citron.WithinShare
	case t == nil || !within && t.over:
		return citron.OverBoth
	case !within:
		return citron.OverRate
	case t.over:
		return citron.OverShare
	}
	return citron.WithinShare
}

// Refusals returns the backlogs after which a new job would start too late to be worth anything. The work
// of a team is done at the rate of its share, so the wait is exact only while all of its share goes to it.
func (s *Share) Refusals(backlogs []citron.Backlog) (refused []citron.BacklogWait) {
	if math.IsInf(s.level, 1) {
		return nil
	}
	for _, b := range backlogs {
		t := s.teams[b.Team]
		if t == nil || b.OverRate == 0 || b.Objective <= 0 {
			continue
		}
		wait := maxWait
		if cores := s.level * t.weight * float64(s.capacity.MilliCores); cores > 0 {
			wait = min(time.Duration(float64(b.Work)/cores), maxWait)
		}
		if wait <= worthlessFactor*b.Objective {
			continue
		}
		refused = append(refused, citron.BacklogWait{Backlog: b, Wait: wait})
	}
	return refused
}

// maxWait bounds the wait that callers are told, since the load of a minute ahead is not known.
const maxWait = time.Minute

// claim is the weight of a team and the fraction of the capacity that it could use.
type claim struct {
	weight, demand float64
}

// findLevel returns the weighted max-min level: each team gets what it can use up to level times its weight, and together
// they get the whole capacity. What is used without a team is not divided.
func (s *Share) findLevel(uses []citron.TeamUse) float64 {
	var total citron.Capacity
	claims := make([]claim, 0, len(uses))
	left, weights := 1.0, 0.0
	for _, u := range uses {
		demand := u.Used.Add(u.Waiting)
		total = total.Add(demand)
		t := s.teams[u.Team]
		if t == nil || t.weight == 0 {
			left -= dominantShare(u.Used, s.capacity)
			continue
		}
		weights += t.weight
		claims = append(claims, claim{t.weight, dominantShare(demand, s.capacity)})
	}
	if s.capacity.Fits(total) {
		return math.Inf(1)
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	for _, c := range claims {
		if c.demand*weights > left*c.weight {
			return max(left, 0) / weights
		}
		left -= c.demand
		weights -= c.weight
	}
	return math.Inf(1)
}

// dominantShare returns the largest fraction of any resource of the capacity.
func dominantShare(use, capacity citron.Capacity) (most float64) {
	for _, d := range [3][2]int64{
		{use.MilliCores, capacity.MilliCores},
		{use.MemoryMb, capacity.MemoryMb},
		{use.Accelerators, capacity.Accelerators},
	} {
		if d[0] > 0 {
			most = max(most, float64(d[0])/float64(max(d[1], 1)))
		}
	}
	return most
}
