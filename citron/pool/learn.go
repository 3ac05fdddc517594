package pool

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// kindOf returns the kind of the tasks of step n.
func kindOf(j *job, n int) citron.TaskKind {
	s := j.spec.GetSteps()[n]
	return citron.TaskKind{Queue: citron.QueueName(j.spec.GetQueue()), Image: s.GetImage(), Gang: s.GetGang()}
}

const (
	// quarantineFailures is the number of different jobs with consecutive failures on a worker that puts it in quarantine.
	quarantineFailures = 2
	// minQuarantine is how long a worker accepts no tasks after its first failure streak; the time doubles with each
	// further streak up to maxQuarantine.
	minQuarantine = 2 * time.Second
	maxQuarantine = 16 * time.Second
)

// failureStreak counts consecutive failures on one worker. Failures of one job count once, so that a job that always
// fails does not put workers in quarantine.
type failureStreak struct {
	jobs map[citron.JobID]bool
	// quarantine is the length of the last quarantine, 0 after a success.
	quarantine time.Duration
}

// add counts a failure and returns the quarantine of the worker, 0 if there is none.
func (s *failureStreak) add(id citron.JobID) time.Duration {
	if s.jobs == nil {
		s.jobs = map[citron.JobID]bool{}
	}
	s.jobs[id] = true
	if len(s.jobs) < quarantineFailures {
		return 0
	}
	s.jobs = nil
	s.quarantine = min(max(2*s.quarantine, minQuarantine), maxQuarantine)
	return s.quarantine
}

// suspect reports whether the last task on the worker failed.
func (s *failureStreak) suspect() bool {
	return len(s.jobs) > 0
}

// reset ends the streak after a success.
func (s *failureStreak) reset() {
	s.jobs, s.quarantine = nil, 0
}
