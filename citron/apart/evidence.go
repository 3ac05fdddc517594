package apart

import "math"

const (
	// minRuns is the number of runs with and without the other kind that a pair needs (docs/design/OVERVIEW.md). Decayed
	// runs count less than 1.
	minRuns = 20
	// withShare and withoutShare limit the share of a run beside the other kind from which, and up to which, the run counts
	// as one with or without it. Runs between the two count in the regression only.
	withShare    = 0.5
	withoutShare = 0.1
	// acceptFactor and acceptErrors are the factor and its distance from 1 in standard errors from which a pair is accepted.
	// The distance allows for runs that are not independent, such as tasks of one step, and for repeated tests.
	acceptFactor = 1.15
	acceptErrors = 5.0
	// keepFactor, keepErrors and keepRuns are the limits below which an accepted pair is withdrawn. Without new runs beside
	// the other kind the evidence falls below keepRuns, and is collected again.
	keepFactor = 1.08
	keepErrors = 2.0
	keepRuns   = 4.0
	// ridge is added to the diagonal of the normal equations. It draws factors with few runs towards 1 by the weight of one
	// run.
	ridge = 1.0
)

// evidence holds the decayed sums of a regression of one kind's values on its exposures.
type evidence struct {
	// xx and xy are the normal equations. Index 0 is the constant, index b+1 the exposure to kind b.
	xx    [maxKinds + 1][maxKinds + 1]float64
	xy    [maxKinds + 1]float64
	yy    float64
	pairs [maxKinds]pairState
}

// pairState is the evidence on one pair.
type pairState struct {
	with, without float64
	factor        float64
	accepted      bool
}

// add adds one run.
func (e *evidence) add(shares *[maxKinds]float64, y float64) {
	const decay = 1 - 1.0/memoryRuns
	var x [maxKinds + 1]float64
	x[0] = 1
	copy(x[1:], shares[:])
	for i := range x {
		for j := range i + 1 {
			e.xx[i][j] = e.xx[i][j]*decay + x[i]*x[j]
		}
		e.xy[i] = e.xy[i]*decay + x[i]*y
	}
	e.yy = e.yy*decay + y*y
	for b, share := range shares {
		p := &e.pairs[b]
		p.with *= decay
		p.without *= decay
		switch {
		case share >= withShare:
			p.with++
		case share <= withoutShare:
			p.without++
		}
	}
}

// forget removes what is known of the kind at an index. Earlier runs then count neither as runs with nor without the
// kind that replaces it.
func (e *evidence) forget(b int) {
	for i := range e.xx {
		e.xx[i][b+1], e.xx[b+1][i] = 0, 0
	}
	e.xy[b+1] = 0
	e.pairs[b] = pairState{}
}

// judge estimates all factors and accepts or withdraws pairs.
func (e *evidence) judge() (changed bool) {
	index := make([]int, 1, maxKinds+1)
	for b, p := range e.pairs {
		if p.accepted && p.with >= keepRuns || p.with >= minRuns && p.without >= minRuns {
			index = append(index, b+1)
		} else if p.accepted {
			e.pairs[b].accepted, changed = false, true
		}
	}
	if len(index) == 1 {
		return changed
	}
	fit, ok := e.solve(index)
	if !ok {
		return changed
	}
	for i, n := range index[1:] {
		p := &e.pairs[n-1]
		p.factor = math.Exp(fit.beta[i+1])
		accepted := p.factor >= keepFactor && (p.accepted || p.factor >= acceptFactor)
		if accepted {
			limit := acceptErrors
			if p.accepted {
				limit = keepErrors
			}
			accepted = fit.beta[i+1] >= limit*fit.standardError(i+1)
		}
		changed = changed || accepted != p.accepted
		p.accepted = accepted
	}
	return changed
}

// fit is the solution of a regression.
type fit struct {
	beta     []float64
	lower    [][]float64
	variance float64
}

// solve fits the given rows of the normal equations.
func (e *evidence) solve(index []int) (f fit, ok bool) {
	n := len(index)
	f.lower = make([][]float64, n)
	right := make([]float64, n)
	for i := range n {
		f.lower[i] = make([]float64, i+1)
		for j := range i + 1 {
			f.lower[i][j] = e.xx[index[i]][index[j]]
		}
		if i > 0 {
			f.lower[i][i] += ridge
		}
		right[i] = e.xy[index[i]]
	}
	if !factorize(f.lower) {
		return f, false
	}
	f.beta = solveLower(f.lower, right)
	unexplained := e.yy
	for i := range n {
		unexplained -= f.beta[i] * right[i]
	}
	f.variance = max(unexplained, 0) / max(e.xx[0][0]-float64(n), 1)
	return f, true
}

// standardError returns the standard error of a coefficient.
func (f *fit) standardError(i int) float64 {
	unit := make([]float64, len(f.lower))
	unit[i] = 1
	return math.Sqrt(f.variance * solveLower(f.lower, unit)[i])
}

// factorize replaces a symmetric matrix by its Cholesky factor. It returns false if the matrix is not positive definite.
func factorize(lower [][]float64) (ok bool) {
	for i := range lower {
		for j := range i + 1 {
			sum := lower[i][j]
			for k := range j {
				sum -= lower[i][k] * lower[j][k]
			}
			if i > j {
				lower[i][j] = sum / lower[j][j]
				continue
			}
			if sum <= 1e-9 {
				return false
			}
			lower[i][i] = math.Sqrt(sum)
		}
	}
	return true
}

// solveLower solves the equations of a Cholesky factor for one right side.
func solveLower(lower [][]float64, right []float64) []float64 {
	n := len(lower)
	x := make([]float64, n)
	for i := range n {
		x[i] = right[i]
		for k := range i {
			x[i] -= lower[i][k] * x[k]
		}
		x[i] /= lower[i][i]
	}
	for i := n - 1; i >= 0; i-- {
		for k := i + 1; k < n; k++ {
			x[i] -= lower[k][i] * x[k]
		}
		x[i] /= lower[i][i]
	}
	return x
}
