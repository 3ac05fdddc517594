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
	// SetTerms replaces the terms of all teams. What is in use stays counted.
	SetTerms(terms []TeamTerms)
	// Take counts one more task on a worker, also beyond the maximum.
	Take(team Team, need Capacity)
	// Return counts one task less.
	Return(team Team, need Capacity)
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
	// OverRate means that the job arrived beyond the rate that the team is entitled to.
	OverRate
)

// Share decides which team gets scarce capacity.
type Share interface {
	// SetTerms replaces the terms of all teams.
	SetTerms(terms []TeamTerms)
	// Arrived records an accepted job and reports whether it is within the team's rate.
	Arrived(team Team, at time.Duration) (within bool)
	// Rank returns the rank of a team's jobs. Used is what each team uses now and capacity what the cluster has.
	Rank(team Team, within bool, used map[Team]Capacity, capacity Capacity) ShareRank
	// Refusals returns the teams whose new jobs are to be refused and how long these would wait.
	Refusals(backlogs []Backlog) map[Team]time.Duration
}

// Backlog is the waiting work of one team.
type Backlog struct {
	Team Team
	// Jobs counts the jobs that have not started, OverRate those of them beyond the team's rate.
	Jobs, OverRate int
	// Work is the processor time that the waiting tasks need, in thousandths of a core times the run time.
	Work time.Duration
	// MilliCores is what the team is expected to get while all teams have waiting work.
	MilliCores int64
	// Objective is the shortest latency objective of the waiting jobs.
	Objective time.Duration
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
	// Estimate returns the expected run time of a kind on a worker of usual speed, or the declared one if none is known.
	Estimate(k TaskKind, declared time.Duration) time.Duration
	// Speed returns how much faster than usual a worker is; 1 if nothing is known.
	Speed(w Worker, group string) float64
	// Forget removes what is known of a worker.
	Forget(w Worker)
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
