package pool

import "time"

// Spent tells where the time of an ended job went. What is left of its age went to records, orders and reports, and to what a
// former holder did.
type Spent struct {
	// UntilAsked is the time until the policy service was first asked about its steps, UntilPlaced from then until all their tasks
	// had been placed, Running from then until they were done, with runs that failed.
	UntilAsked, UntilPlaced, Running time.Duration
	// Lateness is that of the end.
	Lateness Lateness
}

// placed records that the last waiting task of a step has been placed for the first time.
func (s *step) placed(now time.Duration) {
	if s.placedAt == 0 && s.waitingTasks() == 0 {
		s.placedAt = now
	}
}

// countSpent adds the time of a step that is done to that of its job, once.
func (s *step) countSpent(now time.Duration) {
	if s.placedAt == 0 {
		return
	}
	asked := min(max(s.askedAt, s.readyAt), s.placedAt)
	spent := &s.job.spent
	spent.UntilAsked += asked - s.readyAt
	spent.UntilPlaced += s.placedAt - asked
	spent.Running += now - s.placedAt
	s.placedAt = 0
}

// spentOn returns where the time of a job went that ends now.
func (p *Pool) spentOn(now time.Duration, j *job) Spent {
	spent, objective := j.spent, p.objective(j)
	switch age := now - j.accepted; {
	case age <= objective:
		spent.Lateness = InTime
	case age <= tooLateFactor*objective:
		spent.Lateness = Late
	default:
		spent.Lateness = TooLate
	}
	return spent
}
