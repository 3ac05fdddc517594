package share

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// cluster is the capacity of the tests: 1,000 cores.
var cluster = citron.Capacity{MilliCores: 1_000_000, MemoryMb: 4_000_000}

func cores(n int64) citron.Capacity { return citron.Capacity{MilliCores: n * 1000} }

func newShare(weights map[citron.Team]float64) *Share {
	s := &Share{}
	var terms []citron.TeamTerms
	for name, weight := range weights {
		terms = append(terms, citron.TeamTerms{Name: name, Weight: weight})
	}
	s.SetTerms(terms)
	return s
}

// TestRateIsWeightJobsPerSecond guards against refusing or admitting more than the weight, over any length of time.
func TestRateIsWeightJobsPerSecond(t *testing.T) {
	s := newShare(map[citron.Team]float64{"small": 0.5, "large": 10})
	for name, want := range map[citron.Team]int{"small": 20 + 2 + 10, "large": 20 + 50 + 200} {
		within := 0
		for n := range 2000 {
			if s.Arrived(name, time.Duration(n)*10*time.Millisecond) {
				within++
			}
		}
		if within < want-1 || within > want {
			t.Errorf("%s: %d jobs within the rate in 20 s, want %d", name, within, want)
		}
	}
}

// TestEarlierArrivalsAddNoTokens guards against a new holder, which is passed old jobs in any order, filling buckets.
func TestEarlierArrivalsAddNoTokens(t *testing.T) {
	s := newShare(map[citron.Team]float64{"a": 4})
	within := 0
	for n := range 100 {
		if s.Arrived("a", time.Hour-time.Duration(n%2)*time.Minute) {
			within++
		}
	}
	if want := 20 + 5*4; within != want {
		t.Errorf("%d jobs within the rate, want %d", within, want)
	}
}

// TestNewTermsKeepBuckets guards against a change of configuration that fills all buckets.
func TestNewTermsKeepBuckets(t *testing.T) {
	s := newShare(map[citron.Team]float64{"a": 4})
	for range 20 + 5*4 {
		s.Arrived("a", time.Second)
	}
	s.SetTerms([]citron.TeamTerms{{Name: "a", Weight: 4}, {Name: "b", Weight: 1}})
	if s.Arrived("a", time.Second) {
		t.Error("the bucket is full after a change of the terms")
	}
}

// TestRanks checks who is over the share. It guards against ranking teams while there is capacity for all.
func TestRanks(t *testing.T) {
	weights := map[citron.Team]float64{"a": 1, "b": 1, "c": 2}
	for name, test := range map[string]struct {
		uses []citron.TeamUse
		want map[citron.Team]citron.ShareRank
	}{
		"capacity for all": {
			[]citron.TeamUse{{Team: "a", Used: cores(700), Waiting: cores(100)}, {Team: "b", Waiting: cores(200)}},
			map[citron.Team]citron.ShareRank{"a": citron.WithinShare, "b": citron.WithinShare},
		},
		"one team uses all": {
			[]citron.TeamUse{{Team: "a", Used: cores(1000)}, {Team: "b", Waiting: cores(200)}},
			map[citron.Team]citron.ShareRank{"a": citron.OverShare, "b": citron.WithinShare},
		},
		"what others leave belongs to the rest": {
			[]citron.TeamUse{{Team: "a", Used: cores(550), Waiting: cores(500)}, {Team: "b", Used: cores(100)}, {Team: "c", Used: cores(300)}},
			map[citron.Team]citron.ShareRank{"a": citron.WithinShare, "b": citron.WithinShare, "c": citron.WithinShare},
		},
		"in proportion to the weights": {
			[]citron.TeamUse{{Team: "a", Used: cores(260), Waiting: cores(900)}, {Team: "b", Used: cores(240), Waiting: cores(900)}, {Team: "c", Used: cores(490), Waiting: cores(900)}},
			map[citron.Team]citron.ShareRank{"a": citron.OverShare, "b": citron.WithinShare, "c": citron.WithinShare},
		},
		"the resource used most counts": {
			[]citron.TeamUse{{Team: "a", Used: citron.Capacity{MilliCores: 1000, MemoryMb: 3_000_000}, Waiting: cores(900)}, {Team: "b", Used: cores(200), Waiting: cores(900)}},
			map[citron.Team]citron.ShareRank{"a": citron.OverShare, "b": citron.WithinShare},
		},
	} {
		s := newShare(weights)
		s.Update(test.uses, cluster)
		for team, want := range test.want {
			if got := s.Rank(team, true); got != want {
				t.Errorf("%s: rank of %s is %d, want %d", name, team, got, want)
			}
		}
	}
}

// TestRankWithoutTerms guards against jobs that wait for ever or take precedence because their team has no terms.
func TestRankWithoutTerms(t *testing.T) {
	s := newShare(map[citron.Team]float64{"a": 1})
	if got := s.Rank("", s.Arrived("", 0)); got != citron.WithinShare {
		t.Errorf("a job without a team has rank %d", got)
	}
	if got := s.Rank("removed", s.Arrived("removed", 0)); got != citron.OverBoth {
		t.Errorf("a job of a removed team has rank %d", got)
	}
	if got := s.Rank("a", false); got != citron.OverRate {
		t.Errorf("a job beyond the rate has rank %d", got)
	}
}

// TestRefusals guards against refusing jobs that would still be of use, and jobs of teams within their rate.
func TestRefusals(t *testing.T) {
	s := newShare(map[citron.Team]float64{"a": 1, "b": 1})
	work := func(seconds int64) time.Duration { return time.Duration(seconds*500_000) * time.Second }
	backlogs := []citron.Backlog{
		{Team: "a", Jobs: 100, OverRate: 90, Work: work(10), Objective: 2 * time.Second},
		{Team: "b", Jobs: 100, OverRate: 0, Work: work(10), Objective: 2 * time.Second},
	}
	s.Update([]citron.TeamUse{{Team: "a", Used: cores(500), Waiting: cores(900)}, {Team: "b", Used: cores(500), Waiting: cores(900)}}, cluster)
	if got := s.Refusals(backlogs); len(got) != 1 || got[0].Team != "a" || got[0].Wait != 10*time.Second {
		t.Errorf("refusals %v, want a for 10 s", got)
	}
	backlogs[0].Work = work(5)
	if got := s.Refusals(backlogs); len(got) != 0 {
		t.Errorf("refusals %v though the backlog is cleared within three times the objective", got)
	}
	backlogs[0].Work = work(10)
	s.Update([]citron.TeamUse{{Team: "a", Used: cores(500)}}, cluster)
	if got := s.Refusals(backlogs); len(got) != 0 {
		t.Errorf("refusals %v though there is capacity for all", got)
	}
}
