package quota

import (
	"math/rand/v2"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

var teams = []citron.Team{"a", "b", "c"}

func randomNeed(r *rand.Rand) citron.Capacity {
	return citron.Capacity{MilliCores: int64(r.IntN(8)) * 500, MemoryMb: int64(r.IntN(4)) * 300, Accelerators: int64(r.IntN(2))}
}

func randomTerms(r *rand.Rand) (terms []citron.TeamTerms) {
	for _, name := range teams {
		if r.IntN(4) == 0 {
			continue
		}
		m := citron.Capacity{MilliCores: int64(r.IntN(40)) * 500, MemoryMb: int64(r.IntN(20)) * 300, Accelerators: int64(r.IntN(5))}
		terms = append(terms, citron.TeamTerms{Name: name, Max: m})
	}
	return terms
}

// below reports whether used is within a maximum of which dimensions of 0 have no limit.
func below(used, maximum citron.Capacity) bool {
	return (maximum.MilliCores == 0 || used.MilliCores <= maximum.MilliCores) &&
		(maximum.MemoryMb == 0 || used.MemoryMb <= maximum.MemoryMb) &&
		(maximum.Accelerators == 0 || used.Accelerators <= maximum.Accelerators)
}

// A team that starts as many tasks as Fits allows must end exactly at the last one that its maximum permits, in every
// dimension and whatever was taken, returned and configured before.
func TestFitsIsTheGreatestCountWithinTheMaximum(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var c Counter
		maxima := map[citron.Team]citron.Capacity{}
		running := map[citron.Team][]citron.Capacity{}
		for range 40 {
			team, need := teams[r.IntN(len(teams))], randomNeed(r)
			switch r.IntN(4) {
			case 0:
				terms := append(randomTerms(r), citron.TeamTerms{Name: "unused"})
				for _, x := range terms {
					maxima[x.Name] = x.Max
				}
				c.SetTerms(terms)
			case 1:
				if n := len(running[team]); n > 0 {
					c.Return(team, running[team][n-1])
					running[team] = running[team][:n-1]
				}
			default:
				c.Take(team, need)
				running[team] = append(running[team], need)
			}
			checkFits(t, &c, team, randomNeed(r), sum(running[team]), maxima[team])
		}
	}
}

func sum(list []citron.Capacity) (total citron.Capacity) {
	for _, c := range list {
		total = total.Add(c)
	}
	return total
}

func checkFits(t *testing.T, c *Counter, team citron.Team, need, used, maximum citron.Capacity) {
	t.Helper()
	const limit = 12
	if c.Used(team) != used {
		t.Fatalf("team %s uses %v, want %v", team, c.Used(team), used)
	}
	want := 0
	for want < limit && below(used, maximum) && below(used.Add(need), maximum) {
		used = used.Add(need)
		want++
	}
	if got := c.Fits(team, need, limit); got != want {
		t.Fatalf("team %s with %v below %v starts %d tasks of %v, want %d", team, c.Used(team), maximum, got, need, want)
	}
}

// Whatever part of the unknown capacity a team's runs use, known and unknown runs together must stay within the maximum and a
// tenth.
func TestUnknownRunsCountAgainstEachMaximum(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		var c Counter
		m := citron.Capacity{MilliCores: 1000 + int64(r.IntN(100_000))}
		c.SetTerms([]citron.TeamTerms{{Name: "a", Max: m}, {Name: "free"}})
		used, unknown := int64(r.IntN(60_000)), int64(r.IntN(60_000))
		c.Take("a", citron.Capacity{MilliCores: used})
		c.SetUnknown(citron.Capacity{MilliCores: unknown})
		need := 1 + int64(r.IntN(5000))
		n := c.Fits("a", citron.Capacity{MilliCores: need}, 1000)
		if total := used + unknown + int64(n)*need; n > 0 && total > m.MilliCores+m.MilliCores/10 {
			t.Fatalf("%d starts of %d: %d used and %d unknown bring %d above the maximum of %d", n, need, used, unknown, total, m.MilliCores)
		}
		if n > 0 && used+int64(n)*need > m.MilliCores {
			t.Fatalf("%d starts of %d above the maximum of %d, %d used", n, need, m.MilliCores, used)
		}
		if c.Fits("free", citron.Capacity{MilliCores: need}, 7) != 7 {
			t.Fatal("a team without a maximum is limited by unknown runs")
		}
	}
}

// A small overlap with unknown runs must not stop a team that is well below its maximum.
func TestFewUnknownRunsDoNotStopATeam(t *testing.T) {
	var c Counter
	c.SetTerms([]citron.TeamTerms{{Name: "a", Max: citron.Capacity{MilliCores: 100_000}}})
	c.SetUnknown(citron.Capacity{MilliCores: 8_000})
	if n := c.Fits("a", citron.Capacity{MilliCores: 10_000}, 20); n != 10 {
		t.Errorf("%d tasks start while 8 cores are unknown, want 10 within the overage", n)
	}
}

// The jobs of a team that the configuration no longer names must neither wait for ever nor lose their limit.
func TestRemovedTeamKeepsItsLastMaximum(t *testing.T) {
	var c Counter
	need := citron.Capacity{MilliCores: 1000}
	c.SetTerms([]citron.TeamTerms{{Name: "a", Max: citron.Capacity{MilliCores: 3000}}})
	c.SetTerms([]citron.TeamTerms{{Name: "b"}})
	if n := c.Fits("a", need, 10); n != 3 {
		t.Errorf("a removed team starts %d tasks, want 3 as before", n)
	}
	c.SetTerms(nil)
	if n := c.Fits("a", need, 10); n != 10 {
		t.Errorf("%d tasks start without teams in force, want 10", n)
	}
}

func TestCheckRefusesOnlyWhatCanNeverStart(t *testing.T) {
	terms := citron.TeamTerms{Name: "a", Max: citron.Capacity{MilliCores: 10_000, MemoryMb: 5_000}}
	for _, c := range []struct {
		name    string
		step    *work.Step
		refused bool
	}{
		{"a gang that just fits", &work.Step{Tasks: 5, MilliCores: 2000, MemoryMb: 1000, Gang: true}, false},
		{"a gang with too many cores", &work.Step{Tasks: 6, MilliCores: 2000, Gang: true}, true},
		{"a gang with too much memory", &work.Step{Tasks: 6, MilliCores: 1000, MemoryMb: 1000, Gang: true}, true},
		{"a gang in a dimension without limit", &work.Step{Tasks: 8, Accelerators: 1, Gang: true}, false},
		{"many tasks that may run in turn", &work.Step{Tasks: 60, MilliCores: 2000}, false},
		{"a task that never fits", &work.Step{Tasks: 1, MilliCores: 10_001}, true},
		{"a fill task that never fits", &work.Step{Tasks: 1, MilliCores: 10_001, Fills: true}, true},
	} {
		job := &work.Job{Steps: []*work.Step{{Tasks: 1}, c.step}}
		if err := Check(job, terms); (err != nil) != c.refused {
			t.Errorf("%s: error %v, want refused %t", c.name, err, c.refused)
		}
		if err := Check(job, citron.TeamTerms{Name: "a"}); err != nil {
			t.Errorf("%s: refused without a maximum: %v", c.name, err)
		}
	}
}
