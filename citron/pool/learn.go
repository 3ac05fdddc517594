package pool

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// runTimeWeight is the weight of one more sample against what was learnt before.
const runTimeWeight = 0.1

// taskKind names tasks that behave alike: the same queue, image and gang form.
type taskKind struct {
	queue string
	image string
	gang  bool
}

func kindOf(j *job, n int) taskKind {
	s := j.spec.GetSteps()[n]
	return taskKind{queue: j.spec.GetQueue(), image: s.GetImage(), gang: s.GetGang()}
}

// runTimes are the run times of tasks that ended done, by kind. Declared estimates are off by a factor of two and
// more, so they count only until the first task of a kind has ended.
type runTimes map[taskKind]time.Duration

func (d runTimes) estimate(k taskKind, declared time.Duration) time.Duration {
	if learnt, ok := d[k]; ok {
		return learnt
	}
	return declared
}

func (d runTimes) add(k taskKind, ran time.Duration) {
	old, ok := d[k]
	if !ok {
		d[k] = ran
		return
	}
	d[k] = old + time.Duration(runTimeWeight*float64(ran-old))
}

const (
	// quarantineFailures is the number of failures in a row, of different jobs, that puts a worker in quarantine.
	quarantineFailures = 2
	// minQuarantine is how long a worker takes no task after a streak; it doubles with each streak.
	minQuarantine = 2 * time.Second
	maxQuarantine = 16 * time.Second
)

// failureStreak counts failures in a row on one worker. Failures of one job count once, so that a job which can never
// succeed does not discredit a worker.
type failureStreak struct {
	jobs       map[citron.JobID]bool
	quarantine time.Duration
}

// add notes a failure and returns how long the worker should take no task; zero for not at all.
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

// reset ends the streak.
func (s *failureStreak) reset() {
	s.jobs, s.quarantine = nil, 0
}
