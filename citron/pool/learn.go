package pool

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// durationWeight is the weight of one more sample against what was learnt before.
const durationWeight = 0.1

// kind names tasks that behave alike: the same queue, image and gang form.
type kind struct {
	queue string
	image string
	gang  bool
}

func kindOf(j *job, n int) kind {
	s := j.spec.GetSteps()[n]
	return kind{queue: j.spec.GetQueue(), image: s.GetImage(), gang: s.GetGang()}
}

// durations are the run times of tasks that ended done, by kind. Declared estimates are off by a factor of two and
// more, so they count only until the first task of a kind has ended.
type durations map[kind]time.Duration

func (d durations) expect(k kind, declared time.Duration) time.Duration {
	if learnt, ok := d[k]; ok {
		return learnt
	}
	return declared
}

func (d durations) learn(k kind, ran time.Duration) {
	old, ok := d[k]
	if !ok {
		d[k] = ran
		return
	}
	d[k] = old + time.Duration(durationWeight*float64(ran-old))
}

const (
	// streakFailures is the number of failures in a row, of different jobs, that puts a worker in quarantine.
	streakFailures = 2
	// quarantine is how long a worker takes no task after a streak; it doubles with each streak.
	quarantine    = 2 * time.Second
	quarantineMax = 16 * time.Second
)

// streak counts failures in a row on one worker. Failures of one job count once, so that a job which can never
// succeed does not discredit a worker.
type streak struct {
	jobs   map[citron.JobID]bool
	length time.Duration
}

// failed notes a failure and returns how long the worker should take no task; zero for not at all.
func (s *streak) failed(id citron.JobID) time.Duration {
	if s.jobs == nil {
		s.jobs = map[citron.JobID]bool{}
	}
	s.jobs[id] = true
	if len(s.jobs) < streakFailures {
		return 0
	}
	s.jobs = nil
	s.length = min(max(2*s.length, quarantine), quarantineMax)
	return s.length
}

// suspect reports whether the last task on the worker failed.
func (s *streak) suspect() bool {
	return len(s.jobs) > 0
}

// succeeded ends the streak.
func (s *streak) succeeded() {
	s.jobs, s.length = nil, 0
}
