// Package speed estimates how long tasks run, separately by kind of task and by worker.
//
// The logarithm of a run time is taken as the sum of a term of the kind, a term of the worker and noise. It answers
// clusters whose workers differ in speed, whose declared estimates are off by up to 0.9 of their size, and in which three
// tasks in a hundred run seven times as long.
package speed

import (
	"math"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// kindSamples is the number of runs of a kind that are kept. At a standard deviation of 0.2 its term is known within
	// 3 %; a queue with 20 tasks a second replaces them in about 3 s.
	kindSamples = 64
	// workerSamples is the number of runs of a worker that are kept; its term is then known within 4 %.
	workerSamples = 32
	// minRuns is the number of runs from which a worker's own runs count: a median of five is within the others with two runs of
	// the tail.
	minRuns = 5
	// minGroupWorkers is the number of workers with minRuns from which the mean of a group applies to its other workers.
	minGroupWorkers = 3
	// minSpread and maxSpread bound the standard deviation of the terms of the workers in a group, firstSpread is its value
	// before any evidence. With the lower bound ten runs of a single odd worker outweigh the group.
	minSpread   = 0.15
	firstSpread = 0.3
	maxSpread   = 0.6
	// firstNoise is the standard deviation of the logarithm of run times before any evidence.
	firstNoise = 0.2
	// varianceWeight is the weight of a new run in the moving averages of the variances.
	varianceWeight = 0.005
	// minPriorRuns is the smallest number of runs that the prior of a worker counts like.
	minPriorRuns = 0.5
	// confidence is the number of standard errors between a factor and its bounds. FewRuns extends it while there are few
	// runs, whose errors have a wider tail. In TestEqualWorkersStayUsual 3 of 3,500 equal workers are once found to be slow
	// or fast, without fewRuns 15.
	confidence = 2.5
	fewRuns    = 3
	// tailFrom is the logarithm of the multiple of the expected run time from which a run belongs to the tail: three times.
	tailFrom = 1.1
	// minTailRuns is the number of runs of a kind before its tail is learned; fewer leave its term too uncertain.
	minTailRuns = 20
	// tailWeight is the weight of a run in the share of the tail, which is 3 %: 300 runs hold about nine of the tail.
	// tailLogWeight is that of a run of the tail in its length.
	tailWeight    = 0.003
	tailLogWeight = 0.1
	// maxKinds bounds the number of kinds; callers choose image names freely.
	maxKinds = 1024
)

// Model implements citron.RunTimes. The zero value is ready to use. It is not safe for concurrent use.
type Model struct {
	kinds   map[citron.TaskKind]*kind
	workers map[citron.Worker]*worker
	groups  map[string]*group
	// observed counts all observations.
	observed int
	// noise is the variance of the logarithm of run times, spread that of the workers' terms within a group; 0 before any
	// evidence.
	noise, spread float64
	// totalSpeed is the sum of the speeds of the workers with minRuns, counted by known.
	totalSpeed float64
	known      int
}

var _ citron.RunTimes = (*Model)(nil)

// kind holds the logarithmic run times of a kind, reduced by the terms of the workers.
type kind struct {
	runs samples
	term float64
	// tailShare is the moving average of the share of runs in the tail, tailLog that of their logarithm relative to the term.
	tailShare, tailLog float64
	// last is the number of the last observation.
	last int
}

// worker holds the logarithmic run times on a worker, reduced by the terms of the kinds.
type worker struct {
	runs  samples
	group *group
	// own is the term from the worker's runs alone, term the one shrunk towards the group, once it has minRuns.
	own, term float64
}

// group sums the terms of its workers that have minRuns.
type group struct {
	total float64
	count int
	// members counts all workers of the group.
	members int
}

// term returns the mean term of the group, shrunk towards 0 as if there were another worker of usual speed.
func (g *group) term() float64 {
	if g == nil || g.count < minGroupWorkers {
		return 0
	}
	return g.total / float64(g.count+1)
}

// Observe records the run time of a completed task.
func (m *Model) Observe(k citron.TaskKind, w citron.Worker, group string, ran time.Duration) {
	log := logOf(ran)
	known := m.kinds[k] != nil
	on := m.worker(w, group)
	m.addToKind(k, log-m.termOf(on))
	if known {
		m.addToWorker(on, log-m.kinds[k].term)
	}
}

// ObserveKind records the run time of a completed task that was determined by a worker of the given speed.
func (m *Model) ObserveKind(k citron.TaskKind, speed float64, ran time.Duration) {
	m.addToKind(k, logOf(ran)+math.Log(speed*m.meanSpeed()))
}

// logOf returns the logarithm of a run time in seconds.
func logOf(ran time.Duration) float64 {
	return math.Log(max(ran, time.Millisecond).Seconds())
}

// Estimate returns the expected run time of a kind on a worker of usual speed.
func (m *Model) Estimate(k citron.TaskKind, declared time.Duration) time.Duration {
	known := m.kinds[k]
	if known == nil {
		return declared
	}
	return time.Duration(math.Exp(known.term) / m.meanSpeed() * float64(time.Second))
}

// Speed returns how fast a worker is.
func (m *Model) Speed(id citron.Worker, name string) citron.WorkerSpeed {
	w := m.workers[id]
	if w == nil {
		w = &worker{group: m.groups[name]}
	}
	term, deviation := m.termOf(w), m.deviation(w)
	factor := math.Exp(-term) / m.meanSpeed()
	if w.runs.count < minRuns && term == 0 {
		return citron.WorkerSpeed{Factor: 1, Low: math.Exp(-deviation), High: math.Exp(deviation), Runs: w.runs.count}
	}
	return citron.WorkerSpeed{Factor: factor, Low: factor * math.Exp(-deviation), High: factor * math.Exp(deviation), Runs: w.runs.count}
}

// Forget removes what is known of a worker. What its group has learned from its other workers stays.
func (m *Model) Forget(id citron.Worker) {
	w := m.workers[id]
	if w == nil {
		return
	}
	if w.runs.count >= minRuns {
		m.subtract(w)
	}
	w.group.members--
	delete(m.workers, id)
	for name, g := range m.groups {
		if g.members == 0 {
			delete(m.groups, name)
		}
	}
}

// worker returns the worker with an id and adds it if it is unknown.
func (m *Model) worker(id citron.Worker, name string) *worker {
	if w := m.workers[id]; w != nil {
		return w
	}
	if m.workers == nil {
		m.workers, m.groups = map[citron.Worker]*worker{}, map[string]*group{}
	}
	g := m.groups[name]
	if g == nil {
		g = &group{}
		m.groups[name] = g
	}
	g.members++
	w := &worker{group: g}
	m.workers[id] = w
	return w
}

// addToKind adds a logarithmic run time on a worker whose term is 0.
func (m *Model) addToKind(k citron.TaskKind, log float64) {
	m.observed++
	known := m.kinds[k]
	if known == nil {
		if m.kinds == nil {
			m.kinds = map[citron.TaskKind]*kind{}
		}
		if len(m.kinds) >= maxKinds {
			m.evictKind()
		}
		known = &kind{}
		m.kinds[k] = known
	}
	known.last = m.observed
	known.addTail(log)
	known.runs.add(log, kindSamples)
	known.term = center(known.runs.values)
}

// addTail updates what is known of the tail with a run that is not yet part of the term.
func (k *kind) addTail(log float64) {
	if k.runs.count < minTailRuns {
		return
	}
	beyond := log - k.term
	if beyond < tailFrom {
		k.tailShare -= tailWeight * k.tailShare
		return
	}
	k.tailShare += tailWeight * (1 - k.tailShare)
	if k.tailLog == 0 {
		k.tailLog = beyond
	}
	k.tailLog += tailLogWeight * (beyond - k.tailLog)
}

// Tail returns the share of a kind's runs that take far longer than expected, and how many times as long these take.
func (m *Model) Tail(k citron.TaskKind) (share, factor float64) {
	known := m.kinds[k]
	if known == nil || known.tailLog == 0 {
		return 0, 1
	}
	return known.tailShare, math.Exp(known.tailLog)
}

// evictKind removes the kind whose last run ended first.
func (m *Model) evictKind() {
	var oldest citron.TaskKind
	last := math.MaxInt
	for k, known := range m.kinds {
		if known.last < last {
			oldest, last = k, known.last
		}
	}
	delete(m.kinds, oldest)
}

// addToWorker adds a logarithmic run time relative to that of the kind.
func (m *Model) addToWorker(w *worker, log float64) {
	if w.runs.count >= minRuns {
		m.subtract(w)
	}
	w.runs.add(log, workerSamples)
	if w.runs.count < minRuns {
		return
	}
	w.own = center(w.runs.values)
	m.learnVariances(w, log)
	prior := m.priorRuns()
	n := float64(w.runs.count)
	w.term = (n*w.own + prior*w.group.term()) / (n + prior)
	w.group.total += w.own
	w.group.count++
	m.totalSpeed += math.Exp(-w.term)
	m.known++
}

// subtract removes a worker with minRuns from the sums.
func (m *Model) subtract(w *worker) {
	w.group.total -= w.own
	w.group.count--
	m.totalSpeed -= math.Exp(-w.term)
	m.known--
}

// learnVariances updates the variance of run times and that of the workers of a group.
func (m *Model) learnVariances(w *worker, log float64) {
	deviation := clip(log - w.own)
	m.noise = m.noiseVariance()
	m.noise += varianceWeight * (deviation*deviation - m.noise)
	m.spread = m.spreadVariance()
	if w.group.count < minGroupWorkers {
		return
	}
	fromGroup := min(max(w.own-w.group.term(), -maxSpread), maxSpread)
	spread := fromGroup*fromGroup - m.noise/float64(len(w.runs.values))
	m.spread += varianceWeight * (spread - m.spread)
	m.spread = min(max(m.spread, minSpread*minSpread), maxSpread*maxSpread)
}

func (m *Model) noiseVariance() float64 {
	if m.noise == 0 {
		return firstNoise * firstNoise
	}
	return m.noise
}

func (m *Model) spreadVariance() float64 {
	if m.spread == 0 {
		return firstSpread * firstSpread
	}
	return m.spread
}

// priorRuns returns the number of runs that the prior of a worker counts like.
func (m *Model) priorRuns() float64 {
	return max(m.noiseVariance()/m.spreadVariance(), minPriorRuns)
}

// termOf returns the term of a worker, or that of its group if the worker has too few runs.
func (m *Model) termOf(w *worker) float64 {
	if w.runs.count < minRuns {
		return w.group.term()
	}
	return w.term
}

// deviation returns the deviation of the logarithm of a worker's speed that its bounds allow for.
func (m *Model) deviation(w *worker) float64 {
	if w.runs.count < minRuns {
		return confidence * math.Sqrt(m.spreadVariance())
	}
	n := float64(len(w.runs.values))
	return confidence * (1 + fewRuns/n) * math.Sqrt(m.noiseVariance()/(n+m.priorRuns()))
}

// meanSpeed returns the mean speed of the workers relative to the reference of the terms. It defines the usual speed,
// since neither kinds nor workers have an absolute one.
func (m *Model) meanSpeed() float64 {
	if m.known == 0 {
		return 1
	}
	return m.totalSpeed / float64(m.known)
}
