package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/quota"
)

// quotaHold is the part of a team's maximum that a waiting gang needs. Steps that come later in the order may use it only if
// their tasks are expected to end before until, when the gang is expected to start. Without a hold, small tasks of a team
// that always has work waiting take what each ended task leaves, and a gang that needs much of the maximum never starts.
type quotaHold struct {
	gang  *step
	need  citron.Capacity
	until time.Duration
}

// quotaHoldGrace is how long a gang still holds its quota once there is enough of it. The policy service is asked only then. An
// answer on maxAdviceWorkers takes 17 ms at 7 ms and 0.1 ms per worker; the rest is for a few requests that fail or wait.
const quotaHoldGrace = 500 * time.Millisecond

// teamRun is a run of a team and when it is expected to end.
type teamRun struct {
	need citron.Capacity
	end  time.Duration
}

// holdSpare is the number of run times before its deadline at which a gang must be able to start; with fewer it holds quota.
// Holding earlier takes quota from the team's small tasks that the gang does not need yet; docs/design/quotas.md has the figures.
const holdSpare = 2

// heldBack reports whether the quota held for a gang of the team is closed to a step.
func (wp *waitingPass) heldBack(s *step) bool {
	hold, ok := wp.quotaHolds[s.team()]
	return ok && hold.gang.waiting() && wp.now+wp.pool.expectedOf(s) > hold.until
}

// waiting reports whether all members of a gang wait.
func (s *step) waiting() bool {
	return s.waitingTasks() == s.tasks.size
}

// keepHold keeps the quota of a gang that has enough of it since a short time, but may lack tickets.
func (wp *waitingPass) keepHold(s *step) {
	if s.quotaHeldAt > 0 && wp.now-s.quotaHeldAt < quotaHoldGrace {
		wp.addHold(s, wp.now)
	}
}

// holdQuota holds quota for a gang that does not fit below its team's maximum, unless it can wait longer, will
// never fit, or a gang before it holds some.
func (wp *waitingPass) holdQuota(s *step) {
	if _, held := wp.quotaHolds[s.team()]; held || !s.waiting() || wp.pool.withoutHolds {
		return
	}
	spare := holdSpare * wp.pool.expectedOf(s)
	if until, ok := wp.quotaFreeAt(s); ok && until+spare > s.deadline {
		s.quotaHeldAt = wp.now
		wp.addHold(s, until)
	}
}

// addHold holds what all members of a gang need, unless another gang of the team holds some.
func (wp *waitingPass) addHold(s *step, until time.Duration) {
	team := s.team()
	if _, held := wp.quotaHolds[team]; held {
		return
	}
	if wp.quotaHolds == nil {
		wp.quotaHolds = map[citron.Team]quotaHold{}
	}
	wp.quotaHolds[team] = quotaHold{gang: s, need: quota.Total(quota.StepNeed(s.spec), s.tasks.size), until: until}
}

// quotaFreeAt returns when enough runs of the team are expected to have ended for the gang to start. Ok is false if that is
// not known.
func (wp *waitingPass) quotaFreeAt(s *step) (at time.Duration, ok bool) {
	team, q := s.team(), &wp.pool.quota
	for _, r := range wp.runsOf(team) {
		q.Return(team, r.need)
		defer q.Take(team, r.need)
		if q.Fits(team, quota.StepNeed(s.spec), s.tasks.size) == s.tasks.size {
			return max(r.end, wp.now), true
		}
	}
	return 0, false
}

// runsOf returns the runs of a team, the first to end first. It is called for few teams, but often for none.
func (wp *waitingPass) runsOf(team citron.Team) []teamRun {
	if wp.teamRuns == nil {
		wp.teamRuns = map[citron.Team][]teamRun{}
		for _, w := range wp.pool.byID {
			for _, t := range w.tasks {
				r := teamRun{quota.StepNeed(t.step.spec), t.startedAt + wp.pool.expectedOf(t.step)}
				wp.teamRuns[t.step.team()] = append(wp.teamRuns[t.step.team()], r)
			}
		}
	}
	runs := wp.teamRuns[team]
	slices.SortFunc(runs, func(a, b teamRun) int { return cmp.Compare(a.end, b.end) })
	return runs
}
