package pool

import (
	"testing"
	"time"
)

// This file plays the usual load and, beside it, the most tasks that one job may have, sent by one of the small teams: in jobs of 100
// tasks, or in one job. A plan takes as long as it takes to look at its workers and tasks.

// largeJobAt is when the tasks are sent, largeJobTeam the team that sends them.
const (
	largeJobAt   = 6 * time.Second
	largeJobTeam = playTeams - 1
)

// playShape plays the usual load beside the jobs of a shape. It returns the longest plan and what callers of quick jobs of the other
// teams get in the ten seconds after.
func playShape(t *testing.T, seed uint64, s jobShape) (longest time.Duration, quick outcome) {
	t.Helper()
	jobs := makeLoad(seed, nil, 1)
	for _, spec := range s.jobs() {
		j := &playJob{at: largeJobAt, team: largeJobTeam, queue: &playQueues[2], spec: spec, started: -1, ended: -1}
		spec.Queue, spec.Team = j.queue.name, playTeamName(j.team)
		spec.Terms.Priority = j.queue.priority
		for _, step := range spec.GetSteps() {
			times := make([]time.Duration, step.GetTasks())
			for n := range times {
				times[n] = time.Second
			}
			j.runTimes = append(j.runTimes, times)
		}
		jobs = append(jobs, j)
	}
	p := playLoad(t, sortJobs(jobs), playOptions{teams: true, headroom: 15, lookCost: lookCost, startsPerPlan: 48})
	within := quickIn(span{largeJobAt, largeJobAt + 10*time.Second})
	quick = summarize(jobs, func(j *playJob) bool { return j.team != largeJobTeam && within(j) })
	t.Logf("%-13s longest plan %v, quick jobs of other teams %v", s.name, p.longest, quick)
	return p.longest, quick
}

// TestPlayedLargeJobs guards against one job that delays the jobs of other teams by its shape, by comparison with as many tasks in small
// jobs under the same load.
func TestPlayedLargeJobs(t *testing.T) {
	const seed = 5
	bound := time.Duration(playQueues[0].target) * time.Millisecond / 10
	_, usual := playShape(t, seed, jobShapes[0])
	for _, s := range jobShapes {
		switch s.name {
		case "PerWorker", "Gang", "GangTooLarge", "Dependent":
		default:
			continue
		}
		longest, quick := playShape(t, seed, s)
		if longest > bound {
			t.Errorf("%s: a plan took %v, more than a tenth of the target latency of quick jobs", s.name, longest)
		}
		if quick.wait95 > usual.wait95+bound || quick.w99 > usual.w99+bound {
			t.Errorf("%s: quick jobs wait %v at 95 %% and %v at 99 %%, with as many tasks in small jobs %v and %v", s.name, quick.wait95, quick.w99, usual.wait95, usual.w99)
		}
	}
}
