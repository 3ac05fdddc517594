package pool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/speed"
	"github.com/citroncross/citroncross/schema/work"
)

// alikeWorkers is the baseline: estimates by one moving average per kind, and no speeds of workers.
type alikeWorkers map[citron.TaskKind]time.Duration

func (a alikeWorkers) Observe(k citron.TaskKind, _ citron.Worker, _ string, ran time.Duration) {
	if old, ok := a[k]; ok {
		ran = old + time.Duration(0.1*float64(ran-old))
	}
	a[k] = ran
}

func (a alikeWorkers) ObserveKind(k citron.TaskKind, _ float64, ran time.Duration) {
	a.Observe(k, "", "", ran)
}

func (a alikeWorkers) Estimate(k citron.TaskKind, declared time.Duration) time.Duration {
	if known, ok := a[k]; ok {
		return known
	}
	return declared
}

func (a alikeWorkers) Speed(citron.Worker, string) citron.WorkerSpeed {
	return citron.WorkerSpeed{Factor: 1, Low: 1, High: 1}
}

func (a alikeWorkers) Tail(citron.TaskKind) (share, factor float64) { return 0, 1 }

func (a alikeWorkers) Forget(citron.Worker) {}

// speedQueue is one kind of job in a speedLoad.
type speedQueue struct {
	name              string
	priority          int32
	tasks             int32
	gang              bool
	run               time.Duration
	milliCores        int64
	stretch, targetMs int32
	jobsPerSecond     float64
}

// speedQueues are the queues of a cluster of 350 workers without teams, scaled to 40 workers of 32 cores. With the tail they use 80 % of it.
var speedQueues = []speedQueue{
	{name: "quick", tasks: 3, run: 540 * time.Millisecond, milliCores: 2500, stretch: 150, targetMs: 250, jobsPerSecond: 36},
	{name: "rebuild", priority: 1, tasks: 16, gang: true, run: 5300 * time.Millisecond, milliCores: 4500, stretch: 220, targetMs: 1000, jobsPerSecond: 1.25},
	{name: "sweep", priority: 2, tasks: 37, run: 2300 * time.Millisecond, milliCores: 1700, stretch: 400, targetMs: 3000, jobsPerSecond: 2.5},
}

// speedLoad plays a load on workers of which a third are fast.
type speedLoad struct {
	*rig
	random *rand.Rand
	speeds map[citron.Worker]float64
	// pending holds the started runs by the time of their end.
	pending []pendingEnd
	open    map[citron.JobID]*openJob
	value   map[string]float64
	jobs    map[string]float64
	// quickOnFast counts the tasks of the quick queue on fast workers, quickTasks all of them.
	quickOnFast, quickTasks int
	// copies lets the tasks of sweeps run duplicates; stopped counts the stopped runs.
	copies  bool
	stopped int
	// tailOfTask draws the tail once for each task instead of each run.
	tailOfTask bool
}

type pendingEnd struct {
	at    time.Duration
	start Start
}

type openJob struct {
	queue    *speedQueue
	accepted time.Duration
	left     int
	// gangEnd is when the members of a gang end.
	gangEnd time.Duration
}

func newSpeedLoad(t *testing.T, seed uint64, model citron.RunTimes, fast, slow float64) *speedLoad {
	l := &speedLoad{
		rig: newRig(t), random: rand.New(rand.NewPCG(seed, 7)), speeds: map[citron.Worker]float64{},
		open: map[citron.JobID]*openJob{}, value: map[string]float64{}, jobs: map[string]float64{},
	}
	l.p.runTimes = model
	for n, id := range l.workers(40) {
		l.speeds[id] = slow
		if n%3 == 0 {
			l.speeds[id] = fast
		}
	}
	return l
}

// play plays the load for a time. Value is counted after the first 10 s, in which the speeds are learned.
func (l *speedLoad) play(length time.Duration) {
	const warmUp = 10 * time.Second
	begin, renewed := l.now.Boot, l.now.Boot
	next := make([]time.Duration, len(speedQueues))
	jobs := 0
	for l.now.Boot < begin+length {
		for n := range speedQueues {
			q := &speedQueues[n]
			for ; next[n] <= l.now.Boot-begin; next[n] += time.Duration(l.random.ExpFloat64() / q.jobsPerSecond * float64(time.Second)) {
				jobs++
				l.submit(q, fmt.Sprintf("j%06d", jobs))
			}
		}
		for len(l.pending) > 0 && l.pending[0].at <= l.now.Boot {
			due := l.pending[0]
			l.pending = l.pending[1:]
			l.finish(due.start, l.now.Boot-begin > warmUp)
		}
		if l.now.Boot-renewed > time.Second {
			renewed = l.now.Boot
			l.renew()
		}
		e := l.plan()
		for _, s := range e.Starts {
			l.begin(s)
		}
		l.stop(e.Stops)
	}
}

func (l *speedLoad) submit(q *speedQueue, id string) {
	// Declared estimates are off by up to 0.9 of their size.
	declared := float64(q.run.Milliseconds()) * (0.1 + 1.8*l.random.Float64())
	s := &work.Step{Tasks: q.tasks, MilliCores: q.milliCores, MemoryMb: 100, EstimateMs: int64(declared), Gang: q.gang, Copies: l.copies && q.name == "sweep"}
	j := newJob(id, s)
	j.Queue, j.Terms.Priority = q.name, q.priority
	j.Terms.StretchPercent, j.Terms.TargetMs = q.stretch, int64(q.targetMs)
	l.open[citron.JobID(id)] = &openJob{queue: q, accepted: l.now.Boot, left: int(q.tasks)}
	l.accept(j)
}

// begin draws the run time of a started run. A gang is as slow as its slowest member.
func (l *speedLoad) begin(s Start) {
	id := s.Order.Task.Job()
	j := l.open[id]
	ran := float64(j.queue.run) * math.Exp(0.15*l.random.NormFloat64()) / l.speeds[s.Worker.ID]
	drawn := l.random.Float64()
	if l.tailOfTask {
		drawn = float64(xxhash.Sum64String(string(s.Order.Task))%1000) / 1000
	}
	if drawn < 0.03 && !j.queue.gang {
		ran *= 7
	}
	at := l.now.Boot + time.Duration(ran)
	if j.queue.gang {
		j.gangEnd = max(j.gangEnd, at)
		at = j.gangEnd
	}
	if j.queue.name == "quick" {
		l.quickTasks++
		if l.speeds[s.Worker.ID] > 1 {
			l.quickOnFast++
		}
	}
	l.pending = append(l.pending, pendingEnd{at, s})
	for n := range l.pending {
		if j.queue.gang && l.pending[n].start.Order.Task.Job() == id {
			l.pending[n].at = j.gangEnd
		}
	}
	slices.SortStableFunc(l.pending, func(a, b pendingEnd) int { return cmp.Compare(a.at, b.at) })
}

// renew renews the leases on all workers, which report their runs.
func (l *speedLoad) renew() {
	running := map[citron.Worker][]citron.RunningTask{}
	for _, e := range l.pending {
		id := e.start.Worker.ID
		running[id] = append(running[id], citron.RunningTask{Task: e.start.Order.Task, Run: e.start.Order.Run})
	}
	for _, id := range l.p.Workers() {
		l.p.NextRenewal(l.now, id)
		l.p.Renewed(l.now, id, l.now.Boot, citron.WorkerReport{Running: running[id]}, l.now.Boot)
	}
}

// stop ends the runs that the pool stops.
func (l *speedLoad) stop(stops []Stop) {
	for _, o := range stops {
		n := slices.IndexFunc(l.pending, func(e pendingEnd) bool { return e.start.Order.Task == o.Order.Task && e.start.Order.Run == o.Order.Run })
		if n < 0 {
			continue
		}
		s := l.pending[n].start
		l.pending = slices.Delete(l.pending, n, n+1)
		l.stopped++
		l.end(s, citron.EndStopped)
	}
}

// finish reports the end of a run and counts the value of its job.
func (l *speedLoad) finish(s Start, counts bool) {
	id := s.Order.Task.Job()
	j := l.open[id]
	l.end(s, citron.EndDone)
	if j.left--; j.left > 0 || !counts {
		return
	}
	q := j.queue
	l.jobs[q.name]++
	objective := time.Duration(float64(q.stretch)/100*float64(q.run)) + time.Duration(q.targetMs)*time.Millisecond
	switch took := l.now.Boot - j.accepted; {
	case took <= objective:
		l.value[q.name]++
	case took <= 3*objective:
		l.value[q.name] += 0.2
	}
}

// shares returns the share of value earned by each queue, and by all.
func (l *speedLoad) shares() (all float64, text string) {
	value, jobs := 0.0, 0.0
	for _, q := range speedQueues {
		value, jobs = value+l.value[q.name], jobs+l.jobs[q.name]
		text += fmt.Sprintf(" %s %.3f", q.name, l.value[q.name]/l.jobs[q.name])
	}
	return value / jobs, text
}

// Guards against placement that ignores the speed of workers: quick jobs miss their objective on slow workers while
// delay-tolerant ones use the fast ones.
func TestPlacementBySpeedEarnsMore(t *testing.T) {
	var sum, baselineSum float64
	for seed := range uint64(3) {
		l := newSpeedLoad(t, seed, &speed.Model{}, 1.7, 0.7)
		l.play(30 * time.Second)
		b := newSpeedLoad(t, seed, alikeWorkers{}, 1.7, 0.7)
		b.play(30 * time.Second)
		got, text := l.shares()
		baseline, baselineText := b.shares()
		t.Logf("seed %d: value %.3f (%s; quick tasks on fast workers %.2f), without speeds %.3f (%s; %.2f)", seed, got, text,
			float64(l.quickOnFast)/float64(l.quickTasks), baseline, baselineText, float64(b.quickOnFast)/float64(b.quickTasks))
		sum, baselineSum = sum+got/3, baselineSum+baseline/3
	}
	if sum < baselineSum+0.05 {
		t.Errorf("value with speeds %.3f, without %.3f, want 0.05 more", sum, baselineSum)
	}
}

// Guards against decisions that change where all workers are alike.
func TestEqualSpeedsEarnAsMuch(t *testing.T) {
	l := newSpeedLoad(t, 1, &speed.Model{}, 1, 1)
	l.play(30 * time.Second)
	b := newSpeedLoad(t, 1, alikeWorkers{}, 1, 1)
	b.play(30 * time.Second)
	got, text := l.shares()
	baseline, baselineText := b.shares()
	t.Logf("value %.3f (%s), without speeds %.3f (%s)", got, text, baseline, baselineText)
	if got < baseline-0.02 {
		t.Errorf("value with speeds %.3f, without %.3f", got, baseline)
	}
	if l.p.speeds.differ() {
		t.Errorf("%d equal workers are taken for slow and %d for fast", l.p.speeds.slow, l.p.speeds.fast)
	}
}

// setSpeeds gives workers known speeds without ended runs.
type setSpeeds struct {
	alikeWorkers
	factors map[citron.Worker]float64
	// tail is the share of runs that take seven times as long.
	tail float64
}

func (f setSpeeds) Tail(citron.TaskKind) (share, factor float64) { return f.tail, 7 }

func (f setSpeeds) Speed(w citron.Worker, _ string) citron.WorkerSpeed {
	s, ok := f.factors[w]
	if !ok {
		s = 1
	}
	return citron.WorkerSpeed{Factor: s, Low: s, High: s, Runs: 10}
}

// newSetSpeeds returns a rig with workers w00 and so on of the given speeds.
func newSetSpeeds(t *testing.T, factors ...float64) *rig {
	r := newRig(t)
	known := setSpeeds{alikeWorkers: alikeWorkers{}, factors: map[citron.Worker]float64{}}
	for n, id := range r.workers(len(factors)) {
		known.factors[id] = factors[n]
	}
	r.p.runTimes = known
	return r
}

// workersOf returns the workers of the starts in order.
func workersOf(e Effects) (ids []citron.Worker) {
	for _, s := range e.Starts {
		ids = append(ids, s.Worker.ID)
	}
	return ids
}

// Guards against urgent tasks on slow workers, delay-tolerant ones on fast workers, and a speed that outranks failures,
// the rack of the data or a deadline.
func TestWorkerBySpeed(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(r *rig, j *work.Job)
		want    citron.Worker
	}{
		{"priority 0 goes to the fast worker", func(*rig, *work.Job) {}, "w02"},
		{"delay-tolerant goes to the slow worker", func(_ *rig, j *work.Job) { j.Terms.Priority = 1 }, "w00"},
		{"a deadline missed on the slow worker makes it urgent", func(_ *rig, j *work.Job) { j.Terms.Priority, j.Terms.TargetMs = 1, 0 }, "w02"},
		{"a deadline missed on every worker does not", func(r *rig, j *work.Job) {
			j.Terms.Priority, j.AcceptedMs = 1, r.now.Wall.UnixMilli()-5000
		}, "w00"},
		{"the rack of the data outranks the speed", func(_ *rig, j *work.Job) { j.Steps[0].DataRack = "r0" }, "w01"},
		{"a failed task outranks the speed", func(r *rig, _ *work.Job) { r.p.workers["w02"].failures.add("other") }, "w01"},
		{"fill tasks ignore the speed", func(_ *rig, j *work.Job) { j.Steps[0].Fills = true }, "w00"},
	} {
		r := newSetSpeeds(t, 0.5, 1, 1.7)
		j := newJob("j", newStep(1, 4))
		c.prepare(r, j)
		r.accept(j)
		if got := workersOf(r.plan()); !slices.Equal(got, []citron.Worker{c.want}) {
			t.Errorf("%s: started on %v, want %s", c.name, got, c.want)
		}
	}
}

// Guards against a slow worker that a delay-tolerant task prefers although its deadline is missed on this one.
func TestTooSlowWorkerIsAvoided(t *testing.T) {
	r := newSetSpeeds(t, 0.1, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8)
	j := newJob("j", newStep(1, 4))
	j.Terms.Priority = 1
	r.accept(j)
	if got := workersOf(r.plan()); !slices.Equal(got, []citron.Worker{"w01"}) {
		t.Errorf("started on %v, want w01", got)
	}
}

// Guards against steps of many tasks on slow workers, where one task of the tail makes them miss a deadline that they meet
// on fast ones. A step of few tasks is unlikely to have such a task, and a gang is one draw.
func TestStepsLeaveTimeForTheTail(t *testing.T) {
	for _, c := range []struct {
		tasks int32
		gang  bool
		want  speedClass
	}{{25, false, fastWorker}, {3, false, slowWorker}, {25, true, slowWorker}} {
		r := newSetSpeeds(t, 0.7, 1.7, 0.7, 1.7, 0.7, 1.7)
		known := r.p.runTimes.(setSpeeds)
		known.tail = 0.03
		r.p.runTimes = known
		j := newJob("j", newStep(c.tasks, 1))
		j.Steps[0].Gang = c.gang
		j.Terms.Priority, j.Terms.TargetMs = 2, 5000
		r.accept(j)
		starts := r.plan().Starts
		if len(starts) == 0 || r.p.workers[starts[0].Worker.ID].speed.class != c.want {
			t.Errorf("step of %d tasks, gang %t: %d started, want them on %s workers", c.tasks, c.gang, len(starts), speedClassNames[c.want])
		}
	}
}

// Guards against gangs with members on slow and fast workers, which are as slow as the slowest member.
func TestGangOfLikeSpeed(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority int32
		members  int32
		slow     int
	}{
		{"urgent", 0, 4, 0},
		{"delay-tolerant", 1, 4, 4},
		{"larger than a class", 1, 6, 4},
	} {
		r := newSetSpeeds(t, 1.7, 0.7, 1.7, 0.7, 0.7, 0.7)
		j := newJob("j", newGang(c.members, 20))
		j.Terms.Priority, j.Terms.TargetMs = c.priority, 5000
		if c.priority == 0 {
			r = newSetSpeeds(t, 0.7, 1.7, 0.7, 1.7, 1.7, 1.7)
		}
		r.accept(j)
		slow, starts := 0, r.plan().Starts
		for _, s := range starts {
			if r.p.workers[s.Worker.ID].speed.class == slowWorker {
				slow++
			}
		}
		if len(starts) != int(c.members) || slow != c.slow {
			t.Errorf("%s: %d started, %d of them on slow workers, want %d and %d", c.name, len(starts), slow, c.members, c.slow)
		}
	}
}

// Guards against urgent steps without tickets for fast workers.
func TestAdviceAsksFastWorkersFirst(t *testing.T) {
	factors := make([]float64, 90)
	for n := range factors {
		factors[n] = 0.7
		if n%3 == 0 {
			factors[n] = 1.7
		}
	}
	for priority, want := range map[int32]speedClass{0: fastWorker, 1: slowWorker} {
		r := newSetSpeeds(t, factors...)
		j := newJob("j", newStep(2, 4))
		j.Terms.Priority = priority
		j.Terms.Advice = &work.Advice{DecideUs: 7000, PerWorkerUs: 100, ValidMs: 1e6}
		r.accept(j)
		e := r.plan()
		if len(e.AdviceRequests) != 1 {
			t.Fatalf("%d requests, want 1", len(e.AdviceRequests))
		}
		for _, id := range e.AdviceRequests[0].Workers {
			if got := r.p.workers[id].speed.class; got != want {
				t.Errorf("priority %d asks about a %s worker first, want %s", priority, speedClassNames[got], speedClassNames[want])
				break
			}
		}
	}
}

// Guards against a gang's run time that is taken for the speed of one of its workers, and against the run time of an
// adopted run, which began before the new holder saw it.
func TestRunTimesThatSayNothingOfAWorker(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	for n := range 3 {
		r.accept(newJob(fmt.Sprintf("gang%d", n), newGang(2, 20)))
		starts := r.plan().Starts
		r.advance(time.Second)
		r.end(starts[0], citron.EndDone)
		r.end(starts[1], citron.EndDone)
		if s := r.p.runTimes.Speed(starts[0].Worker.ID, ""); s.Runs != 0 {
			t.Errorf("the run of a gang counts for its worker: %+v", s)
		}
	}
	if got := r.p.runTimes.Estimate(citron.TaskKind{Queue: "q", Gang: true}, 0); got < time.Second || got > 1100*time.Millisecond {
		t.Errorf("estimate of the gang is %v, want 1 s", got)
	}
	j := newJob("adopted", newStep(1, 20))
	r.accept(j)
	start := r.plan().Starts[0]
	r.takeOver()
	r.p.MarkAllJobsKnown()
	r.accept(j)
	r.workers(2)
	r.report(start.Worker.ID, citron.WorkerReport{Running: []citron.RunningTask{{Task: start.Order.Task, Run: start.Order.Run}}})
	r.end(start, citron.EndDone)
	if got := r.p.runTimes.Estimate(citron.TaskKind{Queue: "q"}, time.Minute); got != time.Minute {
		t.Errorf("estimate after an adopted run is %v, want the declared one", got)
	}
}

// Guards against a change of class that is not logged, or logged with every plan, and against starts and statuses without
// the speed.
func TestSpeedsAreReported(t *testing.T) {
	r := newSetSpeeds(t, 0.5, 1, 1.7)
	var changes, starts []Decision
	r.p.Observe = func(d Decision) {
		switch d.Kind {
		case DecidedSpeed:
			changes = append(changes, d)
		case DecidedStart:
			starts = append(starts, d)
		}
	}
	for n := range 3 {
		r.accept(newJob(fmt.Sprint(n), newStep(1, 4)))
		r.plan()
		r.advance(speedsInterval)
	}
	if len(changes) != 2 || changes[0].Outcome != "slow" || changes[1].Outcome != "fast" || changes[1].Speed != 1.7 || changes[1].Runs != 10 {
		t.Errorf("changes observed: %+v", changes)
	}
	if len(starts) != 3 || starts[0].Speed != 1.7 || starts[0].Expected.Milliseconds() != 588 {
		t.Errorf("starts observed: %+v", starts)
	}
	if s := r.p.LastPlan(); s.SlowWorkers != 1 || s.FastWorkers != 1 {
		t.Errorf("%d slow and %d fast workers, want 1 and 1", s.SlowWorkers, s.FastWorkers)
	}
	if s := r.p.WorkerStatuses(r.now); s[0].SpeedClass != "slow" || s[0].Speed.Factor != 0.5 || s[1].SpeedClass != "usual" {
		t.Errorf("statuses: %+v", s)
	}
}
