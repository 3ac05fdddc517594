// Package apart estimates which kinds of task slow each other down on one worker. It has no network, goroutines or
// clocks.
//
// For each kind, a ridge regression of the logarithm of the run time relative to its expectation on the shares of the
// run that other kinds spent beside it separates kinds that often occur together; values are clipped around the
// running median, so that a run that takes seven times as long counts no more than one that takes e times as long. Old
// runs decay by the number of runs. A pair is accepted if enough runs with and without the other kind support a factor
// that is both clearly above 1 and many standard errors from it, and is withdrawn at lower limits of both.
package apart

import (
	"cmp"
	"math"
	"slices"

	"github.com/citroncross/citroncross/citron"
)

const (
	// maxKinds is the number of kinds that are kept, as docs/design/OVERVIEW.md requires.
	maxKinds = 32
	// warmUpRuns is the number of first runs of a kind that only set its median: a moving average of run times with weight
	// 0.1 retains 4 % of its first value after 30 runs.
	warmUpRuns = 30
	// memoryRuns is the number of runs of a kind after which a run has decayed to 1/e. The pairs of a kind that is still
	// met are withdrawn within 3,000 runs of the kind (TestInterferenceThatEndsIsForgotten).
	memoryRuns = 1000
	// checkInterval is the number of runs of a kind between two estimates. It bounds the processor time.
	checkInterval = 8
	// maxResidual is the limit of a residual in log units. A factor of 1.5 is 0.4, two workers of speeds 0.7 and 1.7 are 0.9
	// apart, and a run of seven times the usual length is 1.95.
	maxResidual = 1.0
	// minMedianStep is the step of the running median in log units, small compared with a factor that is looked for.
	minMedianStep = 0.01
	// rescaleInterval is the number of runs of all kinds after which the counts of kinds are halved, so that kinds that are
	// no longer submitted become the rarest ones.
	rescaleInterval = 1 << 13
)

// Model implements citron.Interference. The zero value is an empty model.
type Model struct {
	index map[citron.TaskKind]int
	kinds [maxKinds]kindState
	// observed counts the runs since the counts of kinds were last halved.
	observed int
}

// kindState is what is known of one kind. Indexes of arrays are those of Model.kinds.
type kindState struct {
	kind citron.TaskKind
	// seen is the decayed count of runs of the kind and of runs beside it.
	seen float64
	runs int
	// median is the running median of the logarithm of the run time relative to its expectation.
	median   float64
	evidence *evidence
}

// Observe implements citron.Interference.
func (m *Model) Observe(k citron.TaskKind, beside []citron.Exposure, ratio float64) (changed bool) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return false
	}
	m.rescale()
	var busy uint32
	a, removed := m.slot(k, &busy)
	changed = removed
	var shares [maxKinds]float64
	for _, e := range beside {
		b, removed := m.slot(e.Kind, &busy)
		changed = changed || removed
		if b >= 0 {
			shares[b] = max(shares[b], min(e.Share, 1))
		}
	}
	s := &m.kinds[a]
	y := math.Log(ratio)
	s.runs++
	if s.runs == 1 {
		s.median = y
	}
	step := max(1/float64(s.runs), minMedianStep)
	s.median += clamp(y-s.median, step)
	if s.runs <= warmUpRuns {
		return changed
	}
	if s.evidence == nil {
		s.evidence = &evidence{}
	}
	// The value is not relative to the median: the median follows the load, and would hide a difference between a time
	// with and a time without the other kind.
	s.evidence.add(&shares, s.median+clamp(y-s.median, maxResidual))
	if s.runs%checkInterval != 0 {
		return changed
	}
	return s.evidence.judge() || changed
}

// clamp limits x to the range from -limit to limit.
func clamp(x, limit float64) float64 {
	return max(-limit, min(x, limit))
}

// rescale halves the counts of all kinds at times.
func (m *Model) rescale() {
	if m.observed++; m.observed < rescaleInterval {
		return
	}
	m.observed = 0
	for n := range m.kinds {
		m.kinds[n].seen /= 2
	}
}

// slot returns the index of a kind and counts it. A new kind replaces the rarest one that is not busy; removed is set
// if that one was part of an accepted pair. It returns -1 if all are busy.
func (m *Model) slot(k citron.TaskKind, busy *uint32) (n int, removed bool) {
	if m.index == nil {
		m.index = make(map[citron.TaskKind]int, maxKinds)
	}
	n, ok := m.index[k]
	if !ok {
		if n = m.rarest(*busy); n < 0 {
			return n, false
		}
		removed = m.replace(n, k)
	}
	if *busy&(1<<n) == 0 {
		m.kinds[n].seen++
	}
	*busy |= 1 << n
	return n, removed
}

// rarest returns the index of the rarest kind that is not busy, or -1.
func (m *Model) rarest(busy uint32) (rarest int) {
	rarest = -1
	for n := range m.kinds {
		if busy&(1<<n) == 0 && (rarest < 0 || m.kinds[n].seen < m.kinds[rarest].seen) {
			rarest = n
		}
	}
	return rarest
}

// replace forgets the kind at an index and keeps another one there.
func (m *Model) replace(n int, k citron.TaskKind) (removed bool) {
	old := &m.kinds[n]
	removed = old.evidence != nil && slices.ContainsFunc(old.evidence.pairs[:], func(p pairState) bool { return p.accepted })
	for i := range m.kinds {
		if e := m.kinds[i].evidence; e != nil {
			removed = e.pairs[n].accepted || removed
			e.forget(n)
		}
	}
	if i, ok := m.index[old.kind]; ok && i == n {
		delete(m.index, old.kind)
	}
	*old = kindState{kind: k}
	m.index[k] = n
	return removed
}

// Factor implements citron.Interference.
func (m *Model) Factor(k citron.TaskKind, beside []citron.TaskKind) float64 {
	factor := 1.0
	a, ok := m.index[k]
	if !ok || m.kinds[a].evidence == nil {
		return factor
	}
	for i, other := range beside {
		b, ok := m.index[other]
		if p := &m.kinds[a].evidence.pairs[b]; ok && p.accepted && !slices.Contains(beside[:i], other) {
			factor *= p.factor
		}
	}
	return factor
}

// Pairs implements citron.Interference.
func (m *Model) Pairs() (pairs []citron.InterferingPair) {
	for a := range m.kinds {
		e := m.kinds[a].evidence
		if e == nil {
			continue
		}
		for b, p := range e.pairs {
			if p.accepted {
				pairs = append(pairs, citron.InterferingPair{
					Slowed: m.kinds[a].kind, By: m.kinds[b].kind, Factor: p.factor,
					With: int(math.Round(p.with)), Without: int(math.Round(p.without)),
				})
			}
		}
	}
	slices.SortStableFunc(pairs, func(x, y citron.InterferingPair) int { return cmp.Compare(y.Factor, x.Factor) })
	return pairs
}
