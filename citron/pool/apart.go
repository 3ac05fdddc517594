package pool

import (
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/apart"
)

const (
	// lossUnit is the unit in which expected losses of time are compared. Smaller differences are less than the delay of a
	// start, and filling up workers is worth more.
	lossUnit = 20 * time.Millisecond
	// maxLossUnits limits the loss in lossUnits, so that lossPenalty*maxLossUnits is less than suspectPenalty.
	maxLossUnits = 1 << 11
	// lossPenalty outweighs any difference in free capacity, in thousandths of a core, for one lossUnit.
	lossPenalty = 1 << 18
	// minRemainingDivisor is the divisor of the expected run time that gives what tasks are assumed to have left at least: one
	// that is over its expectation may still run for long.
	minRemainingDivisor = 4
	// pairRefreshInterval is the number of ended runs after which the factors of accepted pairs are read again.
	pairRefreshInterval = 256
	// maxIdleKinds is the number of kinds from which those without an open step are removed. The queues of a platform and
	// their images are far fewer, but the images are chosen by the callers.
	maxIdleKinds = 1024
)

// interference is what the pool knows of kinds that slow each other down. The zero value knows nothing.
type interference struct {
	model apart.Model
	kinds map[citron.TaskKind]*kindInfo
	// maxKinds is the number of kinds at which those without an open step are removed next.
	maxKinds int
	accepted []AcceptedPair
	observed int
}

// kindInfo is a kind of task. A pool has one for each kind, so that pointers can be compared.
type kindInfo struct {
	kind citron.TaskKind
	// involved is set if the kind is part of an accepted pair.
	involved bool
	// reference is the expected run time of the kind when it was first known. Run times are compared with it, since the
	// current expectation follows the load, and would hide a difference between a time with and a time without another
	// kind.
	reference time.Duration
	slowedBy  []slowdown
}

// slowdown is the factor by which another kind slows one down.
type slowdown struct {
	by     *kindInfo
	factor float64
}

// kindCount sums up the tasks of a kind on a worker, so that a placement need not look at each of them.
type kindCount struct {
	kind  *kindInfo
	tasks int
	// ends is the sum of the times at which the tasks are expected to end, expected the run time of the newest one.
	ends     time.Duration
	expected time.Duration
}

// meeting is how long tasks of a kind ran beside a task.
type meeting struct {
	kind *kindInfo
	time time.Duration
}

// AcceptedPair is an interfering pair and the time of its acceptance on the boot clock.
type AcceptedPair struct {
	citron.InterferingPair
	Since time.Duration
}

// InterferingPairs returns the accepted pairs, the strongest first.
func (p *Pool) InterferingPairs() []AcceptedPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.interference.accepted)
}

// expectedOnWorker returns the expected run time of a task of step n on a worker. Ok is false before the first task of
// its kind has completed.
func (p *Pool) expectedOnWorker(j *job, n int, w *worker) (expected time.Duration, ok bool) {
	ok = p.runTimes.Estimate(kindOf(j, n), 0) > 0
	return w.scaleRunTime(p.expectedRunTime(j, n)), ok
}

// referenceOnWorker returns the reference of the kind of a step, scaled to the speed of a worker.
func (p *Pool) referenceOnWorker(s *step, w *worker) time.Duration {
	k, usual := p.kindInfo(s), p.expectedRunTime(s.job, s.index)
	if k.reference == 0 {
		k.reference = usual
	}
	expected, _ := p.expectedOnWorker(s.job, s.index, w)
	if usual <= 0 {
		return 0
	}
	return time.Duration(float64(k.reference) * float64(expected) / float64(usual))
}

// kindInfo returns the kind of a step.
func (p *Pool) kindInfo(s *step) *kindInfo {
	if s.kind == nil {
		s.kind = p.internKind(kindOf(s.job, s.index))
	}
	return s.kind
}

// internKind returns the only kindInfo of a kind.
func (p *Pool) internKind(k citron.TaskKind) *kindInfo {
	i := &p.interference
	if info, ok := i.kinds[k]; ok {
		return info
	}
	if len(i.kinds) >= max(i.maxKinds, maxIdleKinds) || i.kinds == nil {
		p.removeIdleKinds()
	}
	info := &kindInfo{kind: k}
	i.kinds[k] = info
	return info
}

// removeIdleKinds removes the kinds without an open step that are in no accepted pair.
func (p *Pool) removeIdleKinds() {
	i := &p.interference
	kinds := map[citron.TaskKind]*kindInfo{}
	for k, info := range i.kinds {
		if info.involved {
			kinds[k] = info
		}
	}
	for _, s := range p.steps {
		if s.kind != nil {
			kinds[s.kind.kind] = s.kind
		}
	}
	i.kinds, i.maxKinds = kinds, 2*len(kinds)
}

// joinWorker records that a run is on a worker from now on. The run is observed if it starts now, from the beginning.
func (p *Pool) joinWorker(now time.Duration, t *task, w *worker, starts bool) {
	if !p.Options.KeepApart {
		return
	}
	p.recordMeetings(now, w)
	expected, known := p.expectedOnWorker(t.step.job, t.step.index, w)
	t.joinedAt, t.window, t.meetings, t.expectedEnd = now, 0, nil, now+expected
	if known && starts && t.checkpoint == "" && !t.step.spec.GetService() {
		t.window = expected
	}
	k := p.kindInfo(t.step)
	n := w.findKind(k)
	if n < 0 {
		n = len(w.kinds)
		w.kinds = append(w.kinds, kindCount{kind: k})
	}
	c := &w.kinds[n]
	c.tasks++
	c.ends += t.expectedEnd
	c.expected = expected
}

// leaveWorker records that a run is no longer on its worker.
func (p *Pool) leaveWorker(now time.Duration, t *task) {
	if !p.Options.KeepApart || t.worker == nil {
		return
	}
	w := t.worker
	p.recordMeetings(now, w)
	n := w.findKind(t.step.kind)
	if n < 0 {
		return
	}
	c := &w.kinds[n]
	c.tasks--
	c.ends -= t.expectedEnd
	if c.tasks == 0 {
		w.kinds = slices.Delete(w.kinds, n, n+1)
	}
}

// findKind returns the index of a kind in w.kinds, or -1.
func (w *worker) findKind(k *kindInfo) int {
	return slices.IndexFunc(w.kinds, func(c kindCount) bool { return c.kind == k })
}

// remaining returns the mean expected remaining run time of the tasks.
func (c *kindCount) remaining(now time.Duration) time.Duration {
	return max(c.ends/time.Duration(c.tasks)-now, c.expected/minRemainingDivisor)
}

// recordMeetings adds the time since the tasks on a worker last changed to what each of them ran beside. Only the
// expected run time of a task counts: over its whole run, one that takes long for another reason would meet more kinds.
func (p *Pool) recordMeetings(now time.Duration, w *worker) {
	since := w.metAt
	if since == now {
		return // Nothing has run beside anything since.
	}
	w.metAt = now
	for _, t := range w.tasks {
		d := min(now, t.joinedAt+t.window) - max(since, t.joinedAt)
		if d <= 0 {
			continue
		}
		for _, c := range w.kinds {
			if c.kind != t.step.kind || c.tasks > 1 {
				t.meet(c.kind, d)
			}
		}
	}
}

// meet adds to the time that a task ran beside a kind.
func (t *task) meet(k *kindInfo, d time.Duration) {
	for n := range t.meetings {
		if t.meetings[n].kind == k {
			t.meetings[n].time += d
			return
		}
	}
	t.meetings = append(t.meetings, meeting{k, d})
}

// observeRun passes a completed run to the estimate of interference. It must precede the update of the expectation.
func (p *Pool) observeRun(now time.Duration, t *task, ran time.Duration) {
	if !p.Options.KeepApart || t.window == 0 {
		return
	}
	k := p.kindInfo(t.step)
	reference := p.referenceOnWorker(t.step, t.worker)
	watched := min(t.window, now-t.joinedAt)
	if reference <= 0 || watched <= 0 {
		return
	}
	p.recordMeetings(now, t.worker)
	beside := make([]citron.Exposure, 0, len(t.meetings))
	for _, m := range t.meetings {
		beside = append(beside, citron.Exposure{Kind: m.kind.kind, Share: float64(m.time) / float64(watched)})
	}
	i := &p.interference
	i.observed++
	changed := i.model.Observe(k.kind, beside, float64(ran)/float64(reference))
	if changed || i.observed%pairRefreshInterval == 0 && len(i.accepted) > 0 {
		p.refreshPairs(now)
	}
}

// refreshPairs reads the accepted pairs and reports those that were accepted or withdrawn.
func (p *Pool) refreshPairs(now time.Duration) {
	i := &p.interference
	former := i.accepted
	i.accepted = nil
	for _, info := range i.kinds {
		info.involved, info.slowedBy = false, nil
	}
	for _, pair := range i.model.Pairs() {
		a := AcceptedPair{InterferingPair: pair, Since: now}
		slowed, by := p.internKind(pair.Slowed), p.internKind(pair.By)
		slowed.involved, by.involved = true, true
		slowed.slowedBy = append(slowed.slowedBy, slowdown{by, pair.Factor})
		if n := findPair(former, pair); n >= 0 {
			a.Since = former[n].Since
		} else {
			p.observe(Decision{Kind: DecidedPairAccepted, Pair: &a.InterferingPair})
		}
		i.accepted = append(i.accepted, a)
	}
	for _, f := range former {
		if findPair(i.accepted, f.InterferingPair) < 0 {
			p.observe(Decision{Kind: DecidedPairWithdrawn, Pair: &f.InterferingPair, Age: now - f.Since})
		}
	}
}

// findPair returns the index of the pair of the same kinds, or -1.
func findPair(list []AcceptedPair, pair citron.InterferingPair) int {
	return slices.IndexFunc(list, func(a AcceptedPair) bool { return a.Slowed == pair.Slowed && a.By == pair.By })
}

// slowdownBy returns how much of each second beside another kind is lost.
func (k *kindInfo) slowdownBy(other *kindInfo) float64 {
	for _, s := range k.slowedBy {
		if s.by == other {
			return s.factor - 1
		}
	}
	return 0
}

// expectedLoss returns the time in lossUnits that a task of a step and the tasks on a worker are expected to lose if it
// starts there. Workers that are equal otherwise are used in the order of this loss; it never excludes one.
func (wp *waitingPass) expectedLoss(s *step, w *worker) int64 {
	p := wp.pool
	if len(p.interference.accepted) == 0 {
		return 0
	}
	k := p.kindInfo(s)
	if !k.involved {
		return 0
	}
	loss := 0.0
	for n := range w.kinds {
		c := &w.kinds[n]
		own, others := k.slowdownBy(c.kind), c.kind.slowdownBy(k)
		if own == 0 && others == 0 {
			continue
		}
		expected, _ := p.expectedOnWorker(s.job, s.index, w)
		beside := min(expected, c.remaining(wp.now))
		loss += own * float64(beside)
		// The tasks on the worker lose nothing while they are beside another task of the same kind.
		if i := w.findKind(k); i >= 0 && k != c.kind {
			beside = max(0, beside-w.kinds[i].remaining(wp.now))
		}
		loss += others * float64(beside) * float64(c.tasks)
	}
	return int64(min(loss/float64(lossUnit), maxLossUnits))
}
