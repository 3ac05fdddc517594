package citron

import (
	"crypto/sha256"
	"time"
)

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// TeamTerms are what the configuration grants to a team.
type TeamTerms struct {
	Name Team
	// Weight is the team's share of a full cluster, and the number of jobs per second that it is entitled to.
	Weight float64
	// Max is the capacity that the team's tasks may use on all workers together. A dimension of 0 has no limit.
	Max Capacity
}

// FindTeam returns the team that a key belongs to. Ok is false for an unknown key.
func (c *Config) FindTeam(key string) (team Team, ok bool) {
	team, ok = c.Keys[DigestKey(key)]
	return team, ok
}

// Terms returns the terms of a team. Ok is false if the configuration does not name the team.
func (c *Config) Terms(team Team) (terms TeamTerms, ok bool) {
	for _, t := range c.Teams {
		if t.Name == team {
			return t, true
		}
	}
	return terms, false
}

// Quota counts what the tasks of each team use on all workers together.
type Quota interface {
	// SetTerms replaces the terms of all teams; nil means that teams are not in force. What is in use stays counted.
	SetTerms(terms []TeamTerms)
	// Take counts one more task on a worker, also beyond the maximum.
	Take(team Team, need Capacity)
	// Return counts one task less.
	Return(team Team, need Capacity)
	// SetUnknown sets the capacity that runs of unknown teams may use.
	SetUnknown(c Capacity)
	// Fits returns how many more tasks of a size the team may start, at most limit.
	Fits(team Team, need Capacity, limit int) int
	// Used returns what the team's tasks use.
	Used(team Team) Capacity
}

// ShareRank orders the waiting steps of different teams while the cluster is full; lower ranks come first.
type ShareRank int

// Ranks of teams and jobs.
const (
	// WithinShare means that the team uses less than its share and the job arrived within the team's rate.
	WithinShare ShareRank = iota
	// OverShare means that the team uses more than its share.
	OverShare
	// OverRate means that the job arrived beyond the rate that the team is entitled to, OverBoth that the team uses more than
	// its share, too.
	OverRate
	OverBoth
)

// Share decides which team gets scarce capacity.
type Share interface {
	// SetTerms replaces the terms of all teams.
	SetTerms(terms []TeamTerms)
	// Arrived records an accepted job and reports whether it is within the team's rate.
	Arrived(team Team, at time.Duration) (within bool)
	// Update applies what the teams use and need at the moment. It is called once before Rank and Refusals.
	Update(uses []TeamUse, capacity Capacity)
	// Rank returns the rank of a team's job.
	Rank(team Team, within bool) ShareRank
	// Refusals returns the backlogs for which new jobs are to be refused, with their expected wait.
	Refusals(backlogs []Backlog) []BacklogWait
}

// TeamUse is what a team's tasks use on workers and what its waiting tasks need. The team is empty for jobs without one.
type TeamUse struct {
	Team          Team
	Used, Waiting Capacity
}

// Backlog is the waiting work of one team that comes before a new job of a priority.
type Backlog struct {
	Team     Team
	Priority int32
	// Jobs counts the jobs of that priority that have not started, OverRate those of them beyond the team's rate.
	Jobs, OverRate int
	// Work is the processor time that the waiting tasks need, in thousandths of a core times the run time.
	Work time.Duration
	// Objective is the shortest latency objective of the waiting jobs of that priority.
	Objective time.Duration
}

// BacklogWait is a backlog with the time that a new job beyond the rate is expected to wait.
type BacklogWait struct {
	Backlog
	Wait time.Duration
}

// TaskKind groups tasks that are expected to behave alike.
type TaskKind struct {
	Queue QueueName
	Image string
	Gang  bool
}

// String returns the queue, the image and whether the tasks are gangs.
func (k TaskKind) String() string {
	s := string(k.Queue)
	if k.Image != "" {
		s += " " + k.Image
	}
	if k.Gang {
		s += " gang"
	}
	return s
}

// RunTimes estimates how long tasks run, by kind and by worker.
type RunTimes interface {
	// Observe records the run time of a completed task. Group names workers that are expected to be alike.
	Observe(k TaskKind, w Worker, group string, ran time.Duration)
	// ObserveKind records a run time that says nothing about a single worker, such as that of a gang on several workers.
	// Speed is that of the worker that determined it.
	ObserveKind(k TaskKind, speed float64, ran time.Duration)
	// Estimate returns the expected run time of a kind on a worker of usual speed, or the declared one if none is known.
	Estimate(k TaskKind, declared time.Duration) time.Duration
	// Tail returns the share of a kind's runs that take far longer than expected, and how many times as long these take.
	Tail(k TaskKind) (share, factor float64)
	// Speed returns how fast a worker is, from its own runs or those of its group.
	Speed(w Worker, group string) WorkerSpeed
	// Forget removes what is known of a worker.
	Forget(w Worker)
}

// WorkerSpeed is the estimated speed of a worker.
type WorkerSpeed struct {
	// Factor is how much faster than usual the worker is; 1 if nothing is known.
	Factor float64
	// Low and High bound the factor with the confidence that a decision needs.
	Low, High float64
	// Runs counts the ended runs of the worker on which the factor rests.
	Runs int
}

// Exposure is the share of a run during which tasks of a kind ran on the same worker, from 0 to 1.
type Exposure struct {
	Kind  TaskKind
	Share float64
}

// Interference estimates which kinds of task slow each other down on one worker.
type Interference interface {
	// Observe records a completed task, its run time relative to the expected one, and the kinds that ran beside it. It
	// reports whether the accepted pairs have changed.
	Observe(k TaskKind, beside []Exposure, ratio float64) (changed bool)
	// Factor returns the expected run time of a kind beside other kinds, relative to its run time without them.
	Factor(k TaskKind, beside []TaskKind) float64
	// Pairs returns the accepted pairs, the strongest first.
	Pairs() []InterferingPair
}

// InterferingPair is a kind that is slowed down by another one.
type InterferingPair struct {
	Slowed, By TaskKind
	Factor     float64
	// With and Without count the ended runs on which the factor rests.
	With, Without int
}
