package apart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/citroncross/citroncross/citron"
)

func kind(n int) citron.TaskKind { return citron.TaskKind{Queue: citron.QueueName(fmt.Sprint("q", n))} }

// load draws ended runs of several kinds on uneven workers.
type load struct {
	rng *rand.Rand
	// factors holds the true factors: of kind a beside kind b.
	factors map[[2]int]float64
	kinds   int
	// estimates are the factors by which the expectation of each kind is wrong.
	estimates []float64
	speeds    []float64
	// beside holds the kinds on each worker, which change slowly, so that successive runs on a worker are not independent.
	beside [][]bool
	// common is the chance that a kind is on a worker; it changes in bursts.
	common []float64
	// swing is an error of the expectation that all runs of a kind share for some time, as one of a moving average after a
	// long run.
	swing []float64
}

func newLoad(seed uint64, kinds int) *load {
	l := &load{rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, factors: map[[2]int]float64{}}
	for range 60 {
		l.speeds = append(l.speeds, []float64{0.7, 0.7, 1.7}[l.rng.IntN(3)])
		l.beside = append(l.beside, make([]bool, kinds))
	}
	for range kinds {
		l.estimates = append(l.estimates, 1+0.9*(2*l.rng.Float64()-1))
		l.common = append(l.common, 0.1+0.6*l.rng.Float64())
		l.swing = append(l.swing, 0)
	}
	return l
}

// step lets a few tasks of one kind run on one worker and passes them to the model.
func (l *load) step(m *Model) (runs int) {
	a, w := l.rng.IntN(l.kinds), l.rng.IntN(len(l.speeds))
	for b := range l.kinds {
		if l.rng.Float64() < 0.3 {
			l.beside[w][b] = l.rng.Float64() < l.common[b]
		}
	}
	if l.rng.Float64() < 0.002 {
		l.common[l.rng.IntN(l.kinds)] = 0.1 + 0.6*l.rng.Float64()
	}
	job := math.Exp(0.15 * l.rng.NormFloat64())
	runs = 1 + l.rng.IntN(3)
	for range runs {
		ratio := job * math.Exp(0.2*l.rng.NormFloat64()+l.swing[a]) / l.speeds[w] / l.estimates[a]
		l.swing[a] *= 0.9
		if l.rng.Float64() < 0.03 {
			ratio *= 7
			l.swing[a] -= 0.47
		}
		var exposures []citron.Exposure
		for b, on := range l.beside[w] {
			if !on {
				continue
			}
			share := min(1, 0.2+l.rng.Float64())
			exposures = append(exposures, citron.Exposure{Kind: kind(b), Share: share})
			if f := l.factors[[2]int{a, b}]; f > 0 {
				ratio *= math.Pow(f, share)
			}
		}
		m.Observe(kind(a), exposures, ratio)
	}
	return runs
}

// accepted returns the factor of an accepted pair, 0 if it is not accepted.
func accepted(m *Model, a, b int) float64 {
	for _, p := range m.Pairs() {
		if p.Slowed == kind(a) && p.By == kind(b) {
			return p.Factor
		}
	}
	return 0
}

// Guards against pairs that are accepted by chance, uneven workers, wrong estimates or bursts: fewer than 1 in 100 of
// all pairs may be accepted at any time of a long load.
func TestFewPairsAreAcceptedWithoutInterference(t *testing.T) {
	const loads, kinds, steps = 40, 6, 10_000
	wrong := 0
	for seed := range uint64(loads) {
		l, m := newLoad(seed, kinds), &Model{}
		ever := map[[2]citron.TaskKind]bool{}
		for range steps {
			l.step(m)
			for _, p := range m.Pairs() {
				ever[[2]citron.TaskKind{p.Slowed, p.By}] = true
			}
		}
		wrong += len(ever)
	}
	const all = loads * kinds * kinds
	t.Logf("%d of %d pairs were accepted at some time", wrong, all)
	if wrong*100 >= all {
		t.Errorf("%d of %d pairs were accepted without interference, want fewer than 1 in 100", wrong, all)
	}
}

// Guards against an estimator that is too cautious, that blames a kind that only occurs with the interfering one, or
// that estimates a wrong factor. A factor of 1.5 is to be found within the given number of ended runs of the slowed kind
// in 9 of 10 loads, whether the expectation knows the speed of the worker or not.
func TestInterferenceIsFound(t *testing.T) {
	const loads, kinds = 40, 6
	for _, c := range []struct {
		name        string
		even        bool
		foundWithin int
	}{{"SpeedsKnown", true, 600}, {"SpeedsUnknown", false, 1000}} {
		t.Run(c.name, func(t *testing.T) {
			late, blamed, off := 0, 0, 0
			for seed := range uint64(loads) {
				l, m := newLoad(seed, kinds), &Model{}
				for w := range l.speeds {
					if c.even {
						l.speeds[w] = 1
					}
				}
				l.factors[[2]int{0, 1}] = 1.5
				for m.runs(0) < c.foundWithin {
					l.step(m)
				}
				if accepted(m, 0, 1) == 0 {
					late++
				}
				for m.runs(0) < 5000 {
					l.step(m)
				}
				if f := accepted(m, 0, 1); f < 1.3 || f > 1.7 {
					off++
				}
				for _, p := range m.Pairs() {
					if p.Slowed != kind(0) || p.By != kind(1) {
						blamed++
					}
				}
			}
			t.Logf("%d of %d found late, %d other pairs accepted, %d factors off", late, loads, blamed, off)
			if late*10 > loads || blamed*100 >= loads*kinds*kinds || off*10 > loads {
				t.Errorf("%d of %d found late, %d other pairs accepted, %d factors off", late, loads, blamed, off)
			}
		})
	}
}

// runs returns the number of runs of a kind.
func (m *Model) runs(n int) int {
	i, ok := m.index[kind(n)]
	if !ok {
		return 0
	}
	return m.kinds[i].runs
}

// Guards against a kind that is blamed because it occurs with the one that slows others down.
func TestKindThatOccursWithTheInterferingOneIsNotBlamed(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	m := &Model{}
	for range 4000 {
		var beside []citron.Exposure
		ratio := math.Exp(0.2 * rng.NormFloat64())
		guilty := rng.Float64() < 0.4
		if guilty {
			beside = append(beside, citron.Exposure{Kind: kind(1), Share: 1})
			ratio *= 1.5
		}
		if guilty == (rng.Float64() < 0.85) {
			beside = append(beside, citron.Exposure{Kind: kind(2), Share: 1})
		}
		m.Observe(kind(0), beside, ratio)
	}
	if accepted(m, 0, 1) == 0 || accepted(m, 0, 2) > 0 {
		t.Errorf("accepted pairs are %+v, want kind 1 only", m.Pairs())
	}
}

// Guards against pairs that stay accepted for ever, both where the kinds still meet and where placement keeps them apart.
func TestInterferenceThatEndsIsForgotten(t *testing.T) {
	const loads, kinds = 20, 6
	for _, meet := range []bool{true, false} {
		late := 0
		for seed := range uint64(loads) {
			l, m := newLoad(seed, kinds), &Model{}
			l.factors[[2]int{0, 1}] = 1.5
			for accepted(m, 0, 1) == 0 || m.runs(0) < 2000 {
				l.step(m)
			}
			delete(l.factors, [2]int{0, 1})
			limit := 3000
			if !meet {
				l.apart(1)
				limit = 6000
			}
			for start := m.runs(0); m.runs(0) < start+limit; {
				l.step(m)
			}
			if accepted(m, 0, 1) > 0 {
				late++
			}
		}
		t.Logf("meet %t: %d of %d still accepted", meet, late, loads)
		if late*10 > loads {
			t.Errorf("meet %t: %d of %d pairs are still accepted", meet, late, loads)
		}
	}
}

// apart removes a kind from all workers.
func (l *load) apart(b int) {
	l.common[b] = 0
	for w := range l.beside {
		l.beside[w][b] = false
	}
}

// Guards against pairs that are accepted from fewer runs than the page requires, or for a factor too small to matter, and against a pair that is kept without new evidence.
func TestPairNeedsEvidence(t *testing.T) {
	// Each case lets runs pass without the other kind before, beside it, and without it after.
	for _, c := range []struct {
		name                string
		before, with, after int
		factor              float64
		want                bool
	}{
		{"Enough", 200, 30, 200, 2, true},
		{"TooFewWith", 200, 19, 200, 2, false},
		{"TooFewWithout", 30 + 19, 3000, 0, 2, false},
		{"SmallFactor", 200, 1000, 200, 1.1, false},
		{"NotMetForLong", 200, 100, 4000, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &Model{}
			for n := range c.before + c.with + c.after {
				ratio, beside := 1+0.01*float64(n%3), []citron.Exposure(nil)
				if n >= c.before && n < c.before+c.with {
					ratio, beside = c.factor*ratio, []citron.Exposure{{Kind: kind(1), Share: 1}}
				}
				m.Observe(kind(0), beside, ratio)
			}
			if got := len(m.Pairs()) > 0; got != c.want {
				t.Errorf("accepted %t, want %t: %+v", got, c.want, m.Pairs())
			}
		})
	}
}

// Guards against evidence from the first 30 runs of a kind, while its expectation still forms.
func TestRunsOfTheWarmUpAreNoEvidence(t *testing.T) {
	m := &Model{}
	for n := range 30 + 38 {
		ratio, beside := 1+0.01*float64(n%3), []citron.Exposure(nil)
		if n%2 == 0 {
			ratio, beside = 2*ratio, []citron.Exposure{{Kind: kind(1), Share: 1}}
		}
		m.Observe(kind(0), beside, ratio)
		if len(m.Pairs()) > 0 {
			t.Fatalf("pair accepted after %d runs", n+1)
		}
	}
}

// Guards against unbounded state, and against kinds that recur but are replaced by a series of kinds that do not, also
// where they first occur late (kind 10, one run in a hundred).
func TestRareKindsAreForgotten(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	m := &Model{}
	for n := range 120_000 {
		if rng.Float64() < 0.6 {
			m.Observe(kind(100+n), nil, 1)
		}
		beside, ratio := []citron.Exposure(nil), math.Exp(0.2*rng.NormFloat64())
		if rng.Float64() < 0.4 {
			beside, ratio = []citron.Exposure{{Kind: kind(1), Share: 1}}, 1.5*ratio
		}
		k := n % 10
		if n > 40_000 && n%100 == 50 {
			k = 10
		}
		m.Observe(kind(k), beside, ratio)
	}
	if len(m.index) > maxKinds {
		t.Errorf("%d kinds are kept, want at most %d", len(m.index), maxKinds)
	}
	for a := range 11 {
		if accepted(m, a, 1) == 0 {
			t.Errorf("pair of frequent kinds %d and 1 is not accepted", a)
		}
	}
	if f := m.Factor(kind(0), []citron.TaskKind{kind(1), kind(1), kind(2)}); f < 1.4 || f > 1.6 {
		t.Errorf("factor is %.2f, want about 1.5", f)
	}
}

// Guards against state that is not a number after a wrong clock.
func TestRatiosThatAreNoNumbersAreIgnored(t *testing.T) {
	m := &Model{}
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		m.Observe(kind(0), nil, ratio)
	}
	if len(m.index) != 0 {
		t.Error("a ratio that is no number was counted")
	}
}

func BenchmarkObserve(b *testing.B) {
	l, m := newLoad(1, maxKinds), &Model{}
	for range 10_000 {
		l.step(m)
	}
	beside := []citron.Exposure{{Kind: kind(1), Share: 1}, {Kind: kind(2), Share: 0.5}, {Kind: kind(5), Share: 0.7}, {Kind: kind(7), Share: 1}}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		m.Observe(kind(n%maxKinds), beside, 1.1)
		n++
	}
}
