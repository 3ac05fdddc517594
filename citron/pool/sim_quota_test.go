package pool

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/quota"
	"github.com/citroncross/citroncross/schema/work"
)

// This file adds teams with quotas to the simulation: the maxima change while tasks run, and each start of a run is checked
// against the maximum of its team, counting everything that is on workers, also what is being stopped.

const (
	// simMaximum is the maximum of team a in thousandths of a core while nothing lowers it, as much as the largest gang uses.
	simMaximum = 12_000
	// simTermsAge is how long a start may follow older terms: the deadline of its order on the slowest clock and network.
	simTermsAge = 2 * time.Second
	// simQuotaDrain is added to simDuration: team a submits most jobs and may use 12 of 40 cores, so its backlog takes longer
	// to end than that of a simulation without quotas.
	simQuotaDrain = 10 * time.Second
)

// simTeams are the teams of a simulation.
type simTeams struct {
	rng *rand.Rand
	// maxima are the maxima of team a so far.
	maxima []simMaxima
	// fullStarts counts the starts that brought the team to its maximum.
	fullStarts int
}

type simMaxima struct {
	since      time.Duration
	milliCores int64
}

func newSimTeams(seed uint64) *simTeams {
	return &simTeams{rng: rand.New(rand.NewPCG(seed, 11)), maxima: []simMaxima{{0, simMaximum}}}
}

// nextTeam returns the team of the next job, empty without teams. Team a submits most jobs and b has no maximum.
func (w *world) nextTeam() string {
	if w.teams == nil {
		return ""
	}
	return []string{"a", "a", "a", "b", ""}[w.teams.rng.IntN(5)]
}

// changeTerms lowers or raises the maximum of team a at random times, and restores it once faults have ended.
func (w *world) changeTerms() {
	if w.teams == nil {
		return
	}
	now := w.teams.maxima[len(w.teams.maxima)-1].milliCores
	next := now
	switch {
	case w.recovering():
		next = simMaximum
	case w.teams.rng.IntN(150) == 0:
		next = 4000 + int64(w.teams.rng.IntN(9))*1000
	}
	if next != now {
		w.teams.maxima = append(w.teams.maxima, simMaxima{w.now.Boot, next})
	}
}

// terms returns the terms in force.
func (t *simTeams) terms() []citron.TeamTerms {
	return []citron.TeamTerms{{Name: "a", Max: citron.Capacity{MilliCores: t.maxima[len(t.maxima)-1].milliCores}}, {Name: "b"}}
}

// allowed returns the greatest maximum that a start which begins now may follow.
func (t *simTeams) allowed(now time.Duration) (milliCores int64) {
	for n, m := range t.maxima {
		if n+1 == len(t.maxima) || t.maxima[n+1].since > now-simTermsAge {
			milliCores = max(milliCores, m.milliCores)
		}
	}
	return milliCores
}

// checkQuota checks that the start of a task does not bring team a above its maximum.
func (w *world) checkQuota(ref citron.TaskRef, need citron.Capacity) {
	if w.teams == nil || w.teamOf(ref) != "a" {
		return
	}
	total := need.MilliCores
	for _, s := range w.workers {
		for other, run := range s.runs {
			if w.teamOf(other) == "a" {
				total += run.need.MilliCores
			}
		}
	}
	allowed := w.teams.allowed(w.now.Boot)
	if total > allowed {
		w.fail("QUOTA: start of %s brings team a to %d thousandths of a core, its maximum is %d", ref, total, allowed)
	}
	if total > allowed-1000 {
		w.teams.fullStarts++
	}
}

// teamOf returns the team of a task's job.
func (w *world) teamOf(ref citron.TaskRef) string {
	n := slices.IndexFunc(w.accepted, func(j *work.Job) bool { return j.GetID() == string(ref.Job()) })
	if n < 0 {
		return ""
	}
	return w.accepted[n].GetTeam()
}

// plan calls Plan with the newest terms. A mutant hides some runs from the quota meanwhile.
func (h *simHolder) plan() (Effects, error) {
	if h.world.teams == nil {
		return h.pool.Plan(h.world.now)
	}
	h.pool.SetTerms(h.world.teams.terms())
	hidden := h.hiddenRuns()
	for _, t := range hidden {
		h.pool.quota.Return(t.step.team(), quota.StepNeed(t.step.spec))
	}
	e, err := h.pool.Plan(h.world.now)
	for _, t := range hidden {
		h.pool.quota.Take(t.step.team(), quota.StepNeed(t.step.spec))
	}
	for _, s := range e.Starts {
		h.ordered[s.Order.Task] = s.Order.Run
	}
	return e, err
}

// hiddenRuns returns the runs that the mutant does not count.
func (h *simHolder) hiddenRuns() (hidden []*task) {
	for _, w := range h.pool.byID {
		for _, t := range w.sortedTasks() {
			switch {
			case t.step.team() == "":
			case h.world.mutant == countsAnsweredStarts && t.state == taskOrdered,
				h.world.mutant == stopsAsEnds && t.state == taskStopping,
				h.world.mutant == adoptsUncounted && h.ordered[t.ref] != t.run:
				hidden = append(hidden, t)
			}
		}
	}
	return hidden
}

func TestQuotasHoldAcrossChangesOfHolder(t *testing.T) {
	full := 0
	for seed := range uint64(simulationSeeds) {
		teams := newSimTeams(seed)
		if violation := simulateTeams(seed, noMutant, teams); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		full += teams.fullStarts
	}
	// A simulation in which the team stays below its maximum would show nothing.
	if full < 10*simulationSeeds {
		t.Errorf("%d starts brought the team to its maximum, want at least %d", full, 10*simulationSeeds)
	}
}

func TestQuotaMutantsViolateInvariants(t *testing.T) {
	for name, m := range map[string]mutant{
		"starts counted when answered": countsAnsweredStarts,
		"stops counted as ends":        stopsAsEnds,
		"adopted runs not counted":     adoptsUncounted,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(simulationSeeds) {
				if simulateTeams(seed, m, newSimTeams(seed)) != "" {
					return
				}
			}
			t.Error("no simulation of the mutant violated an invariant, want at least one")
		})
	}
}
