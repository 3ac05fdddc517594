package share

import (
	"math"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/link"
)

// summaryValidity is how long a summary applies after its receipt, as the overview page sets it. Daemons ping the holder
// every 0.4 s or more often, so it outlasts two lost pings.
const summaryValidity = 1500 * time.Millisecond

// Admission decides on one daemon which new jobs are refused, from the newest summary of the holder. Without one that is
// recent, everything is admitted. The zero value admits everything.
type Admission struct {
	newest     *link.ShareSummary
	receivedAt time.Duration
	buckets    map[citron.Team]*Bucket
}

// Apply keeps a summary if it is newer than the last one, and reports whether it is.
func (a *Admission) Apply(now time.Duration, s *link.ShareSummary) (newer bool) {
	if s == nil || s.GetEpoch() < a.newest.GetEpoch() || s.GetEpoch() == a.newest.GetEpoch() && s.GetNumber() <= a.newest.GetNumber() {
		return false
	}
	a.newest, a.receivedAt = s, now
	return true
}

// Current returns the summary that applies, nil if there is none.
func (a *Admission) Current(now time.Duration) *link.ShareSummary {
	if now-a.receivedAt > summaryValidity {
		return nil
	}
	return a.newest
}

// Admit decides on a new job of a team. A job is refused if the summary lists its team and priority and it comes beyond the part of the
// team's rate that falls to this daemon; then wait is how long the job would wait. The rate is counted while no team is
// listed, too.
func (a *Admission) Admit(now time.Duration, team citron.TeamTerms, priority int32) (wait time.Duration, ok bool) {
	s := a.Current(now)
	if a.buckets == nil {
		a.buckets = map[citron.Team]*Bucket{}
	}
	b := a.buckets[team.Name]
	if b == nil {
		b = &Bucket{}
		a.buckets[team.Name] = b
	}
	rate := max(team.Weight, 0) / float64(max(s.GetDaemons(), 1))
	if b.Take(rate, max(rate, 1), now) {
		return 0, true
	}
	for _, t := range s.GetTeams() {
		if t.GetTeam() == string(team.Name) && t.GetPriority() == priority {
			return time.Duration(t.GetWaitMs()) * time.Millisecond, false
		}
	}
	return 0, true
}

// retryJitter is the part of the wait by which the time of a retry is spread, so that refused callers do not return at the
// same time.
const retryJitter = 0.25

// RetryAfter returns when a refused caller should return: after the wait, and up to a quarter of it more. Random is from 0
// to 1.
func RetryAfter(wait time.Duration, random float64) time.Duration {
	return time.Duration(math.Round(float64(wait) * (1 + retryJitter*random)))
}
