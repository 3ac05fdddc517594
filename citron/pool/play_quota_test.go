package pool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// playedQueue is a queue of the load in docs/design/OVERVIEW.md, as one team at its maximum of 1,000 cores sends it.
type playedQueue struct {
	tasks, stretch int32
	cores          int64
	run, target    time.Duration
	gang           bool
	// share is the queue's share of the jobs.
	share float64
}

var playedQueues = []playedQueue{
	{tasks: 3, cores: 10, run: 640 * time.Millisecond, stretch: 150, target: 250 * time.Millisecond, share: 0.9},
	{tasks: 20, cores: 18, run: 4 * time.Second, stretch: 220, target: time.Second, gang: true, share: 0.02},
	{tasks: 25, cores: 7, run: 2700 * time.Millisecond, stretch: 400, target: 3 * time.Second, share: 0.08},
}

// teamPlay is a load played on a rig.
type teamPlay struct {
	*rig
	rng *rand.Rand
	// queues holds the queue of each job, ends when each run ends.
	queues        map[citron.JobID]int
	ends          map[citron.TaskRef]time.Duration
	worth, played []float64
}

// playTeam plays 40 s of jobs, as many a second as use a part of the maximum, and returns the share of their value that each
// queue earned.
func playTeam(t *testing.T, seed uint64, load float64, withoutHolds bool) (shares []float64) {
	p := &teamPlay{rig: newRig(t), rng: rand.New(rand.NewPCG(seed, 1)), queues: map[citron.JobID]int{}, ends: map[citron.TaskRef]time.Duration{}, worth: make([]float64, 3), played: make([]float64, 3)}
	p.workers(64)
	p.limit(1000)
	p.p.withoutHolds = withoutHolds
	p.p.Observe = p.observe
	use := 0.0 // Core seconds per job.
	for _, q := range playedQueues {
		use += q.share * float64(q.tasks) * float64(q.cores) * q.run.Seconds()
	}
	begun := p.now.Boot
	for next := begun; p.now.Boot < begun+50*time.Second; p.advance(5 * time.Millisecond) {
		for ; next <= p.now.Boot && next < begun+40*time.Second; next += time.Duration(p.rng.ExpFloat64() * use / load / 1000 * float64(time.Second)) {
			p.submit()
		}
		p.plan()
		p.endDue()
	}
	for n := range p.worth {
		shares = append(shares, p.worth[n]/p.played[n])
	}
	return shares
}

func (p *teamPlay) submit() {
	x, n := p.rng.Float64(), 0
	for n < len(playedQueues)-1 && x >= playedQueues[n].share {
		x -= playedQueues[n].share
		n++
	}
	q := playedQueues[n]
	s := newStep(q.tasks, q.cores)
	s.Gang, s.MemoryMb, s.EstimateMs, s.Image = q.gang, 100, q.run.Milliseconds(), fmt.Sprint(n)
	j := teamJob("a", fmt.Sprintf("j%05d", len(p.queues)), s)
	j.Terms.Priority, j.Terms.StretchPercent, j.Terms.TargetMs = int32(n), q.stretch, q.target.Milliseconds()
	p.queues[citron.JobID(j.GetID())] = n
	p.played[n]++
	p.accept(j)
}

// observe adds the value of a job: all of it within its objective, a fifth up to three times that.
func (p *teamPlay) observe(d Decision) {
	if d.Kind != DecidedJobEnd {
		return
	}
	n := p.queues[d.Job]
	q := playedQueues[n]
	switch objective := q.run*time.Duration(q.stretch)/100 + q.target; {
	case d.Age <= objective:
		p.worth[n]++
	case d.Age <= 3*objective:
		p.worth[n] += 0.2
	}
}

// endDue reports the runs of all workers and ends those whose time is over. The members of a gang run equally long.
func (p *teamPlay) endDue() {
	for _, w := range p.p.byID {
		r := citron.WorkerReport{}
		for _, t := range w.sortedTasks() {
			key := t.ref
			if t.step.spec.GetGang() {
				key = citron.TaskRef(t.step.ref)
			}
			if _, known := p.ends[key]; !known {
				p.ends[key] = t.startedAt + time.Duration((0.7+0.6*p.rng.Float64())*float64(playedQueues[p.queues[t.step.job.id]].run))
			}
			if p.now.Boot < p.ends[key] {
				r.Running = append(r.Running, citron.RunningTask{Task: t.ref, Run: t.run})
				continue
			}
			p.lastEnd[w.entry.ID]++
			r.Ended = append(r.Ended, citron.EndedTask{Number: p.lastEnd[w.entry.ID], Task: t.ref, Run: t.run, Kind: citron.EndDone})
		}
		p.p.Renewed(p.now, w.entry.ID, p.now.Boot, r, p.now.Boot)
	}
}

// playedSeeds is the number of plays for each load in CI. A play has about ten gangs, so fewer plays differ by chance.
const playedSeeds = 4

// At 95 and 110 % of a team's maximum the gangs must earn more with holds than without, and the queue that earns the least
// must not earn less: a hold moves the loss of a full team to the delay-tolerant queue with the lowest priority.
func TestHoldsServeGangsOfAFullTeam(t *testing.T) {
	for _, load := range []float64{0.95, 1.1} {
		with, without := make([]float64, 3), make([]float64, 3)
		for seed := range uint64(playedSeeds) {
			for n, s := range playTeam(t, seed, load, false) {
				with[n] += s / playedSeeds
			}
			for n, s := range playTeam(t, seed, load, true) {
				without[n] += s / playedSeeds
			}
		}
		t.Logf("load %.2f: shares of quick tests, rebuilds and sweeps %.3f with holds, %.3f without", load, with, without)
		if with[1] < without[1]+0.1 || slices.MinFunc(with, cmp.Compare) < slices.MinFunc(without, cmp.Compare) {
			t.Errorf("load %.2f: shares %.3f with holds, %.3f without", load, with, without)
		}
	}
}
