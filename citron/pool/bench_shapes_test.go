package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// largestTasks and largestSteps are the most tasks and steps that one accepted job may have.
const (
	largestTasks = 20_000
	largestSteps = 256
)

// jobShape is a way to submit largestTasks tasks.
type jobShape struct {
	name string
	jobs func() []*work.Job
}

// smallStep returns a step whose tasks all fit into a pool of 48 workers together.
func smallStep(tasks int32) *work.Step {
	return &work.Step{Tasks: tasks, MilliCores: 40, MemoryMb: 10, EstimateMs: 1000}
}

// wideJob returns a shape of one job with one step that change has been applied to.
func wideJob(name string, change func(s *work.Step)) jobShape {
	return jobShape{name, func() []*work.Job {
		s := smallStep(largestTasks)
		change(s)
		return []*work.Job{newJob("wide", s)}
	}}
}

// jobShapes are the largest jobs of each kind. The first shape is what the others are compared with.
var jobShapes = []jobShape{
	{"Plain", func() (jobs []*work.Job) {
		for n := range 200 {
			jobs = append(jobs, newJob(fmt.Sprintf("p%03d", n), smallStep(100)))
		}
		return jobs
	}},
	wideJob("OneStep", func(*work.Step) {}),
	wideJob("PerWorker", func(s *work.Step) { s.PerWorker = 1 }),
	wideJob("SameRack", func(s *work.Step) { s.SameRack = true }),
	wideJob("Fills", func(s *work.Step) { s.Fills = true }),
	wideJob("TailTarget", func(s *work.Step) { s.Service, s.TailTargetMs = true, 50 }),
	wideJob("Service", func(s *work.Step) { s.Service = true }),
	wideJob("Copies", func(s *work.Step) { s.Copies = true }),
	wideJob("Gang", func(s *work.Step) { s.Gang = true }),
	wideJob("GangPerWorker", func(s *work.Step) { s.Gang, s.PerWorker = true, 1 }),
	wideJob("GangTooLarge", func(s *work.Step) { s.Gang, s.MilliCores = true, 1000 }),
	wideJob("NoNeed", func(s *work.Step) { s.MilliCores, s.MemoryMb = 0, 0 }),
	{"Gangs", func() []*work.Job {
		var steps []*work.Step
		for range largestSteps {
			s := smallStep(largestTasks / largestSteps)
			s.Gang, s.MilliCores = true, 32_000
			steps = append(steps, s)
		}
		return []*work.Job{newJob("gangs", steps...)}
	}},
	{"Dependent", func() []*work.Job {
		var steps []*work.Step
		for n := range largestSteps {
			s := smallStep(largestTasks / largestSteps)
			for m := range n {
				s.After = append(s.After, int32(m))
			}
			steps = append(steps, s)
		}
		return []*work.Job{newJob("deep", steps...)}
	}},
	{"Occurrences", func() []*work.Job {
		j := newJob("often", smallStep(largestTasks/largestSteps))
		j.Schedule = &work.Schedule{FirstMs: 1_700_000_000_000 - 86_400_000, IntervalMs: 1000, Repeats: 100_000}
		return []*work.Job{j}
	}},
}

// gangsApart is a job of gangs for which there is enough free capacity, but on too few workers.
var gangsApart = jobShape{"GangsApart", func() []*work.Job {
	var steps []*work.Step
	for range largestSteps {
		s := smallStep(largestTasks / largestSteps)
		s.Gang, s.PerWorker = true, 1
		steps = append(steps, s)
	}
	return []*work.Job{newJob("apart", steps...)}
}}

// shapeCost is what the jobs of a shape cost, by the longest call of each kind: its time, what Plan looked at and what it recorded.
type shapeCost struct {
	accept, plan, report, cancel, recover time.Duration
	looks                                 int
	// record is the size of the largest record.
	record int
}

// shapePlans is the number of plans before and after the first tasks end, planInterval the time between two.
const (
	shapePlans   = 40
	planInterval = 25 * time.Millisecond
)

// measure runs jobs of a shape from acceptance to cancellation and passes them to a new holder in between.
func (s jobShape) measure(t *testing.T, workers int) (cost shapeCost) {
	r := newRig(t)
	r.p.Options.StartsPerPlan, r.p.Options.KeepApart = 48, true
	ids := r.workers(workers)
	jobs := s.jobs()
	timed := func(longest *time.Duration, do func()) {
		began := time.Now()
		do()
		*longest = max(*longest, time.Since(began))
	}
	plan := func() {
		for range shapePlans {
			r.advance(planInterval)
			var e Effects
			timed(&cost.plan, func() {
				var err error
				if e, err = r.p.Plan(r.now); err != nil {
					t.Fatal(err)
				}
			})
			cost.looks = max(cost.looks, r.p.LastPlan().Looks)
			r.store(e)
			for _, record := range e.Records {
				cost.record = max(cost.record, record.Size())
			}
			for _, s := range e.Starts {
				r.p.Started(r.now, s, citron.Started, r.now.Boot)
			}
		}
	}
	var accepted time.Duration
	timed(&accepted, func() {
		for _, j := range jobs {
			timed(&cost.accept, func() { r.accept(j) })
		}
	})
	cost.accept = accepted
	plan()
	// A third of the runs end as done, and another as failed.
	for _, id := range ids {
		w := r.p.workers[id]
		report := citron.WorkerReport{}
		for n, task := range w.sortedTasks() {
			if kind := []citron.EndKind{citron.EndDone, citron.EndFailed, ""}[n%3]; kind != "" && n < 500 {
				r.lastEnd[id]++
				report.Ended = append(report.Ended, citron.EndedTask{Number: r.lastEnd[id], Task: task.ref, Run: task.run, Kind: kind})
				continue
			}
			report.Running = append(report.Running, citron.RunningTask{Task: task.ref, Run: task.run})
		}
		timed(&cost.report, func() { r.report(id, report) })
	}
	plan()
	former := r.p
	r.takeOver()
	timed(&cost.recover, func() {
		for _, j := range jobs {
			r.accept(j)
		}
	})
	r.p = former
	timed(&cost.cancel, func() {
		for _, j := range jobs {
			r.p.Cancel(r.now, citron.JobID(j.GetID()))
		}
	})
	plan()
	return cost
}

// BenchmarkLargestJobs reports the longest call of each kind, which holds the pool's lock.
func BenchmarkLargestJobs(b *testing.B) {
	for _, workers := range []int{48, 350} {
		for _, s := range append(slices.Clone(jobShapes), gangsApart) {
			b.Run(fmt.Sprintf("%s/Workers%d", s.name, workers), func(b *testing.B) {
				var worst shapeCost
				for b.Loop() {
					c := s.measure(&testing.T{}, workers)
					worst.accept, worst.plan, worst.report = max(worst.accept, c.accept), max(worst.plan, c.plan), max(worst.report, c.report)
					worst.cancel, worst.recover, worst.looks = max(worst.cancel, c.cancel), max(worst.recover, c.recover), max(worst.looks, c.looks)
				}
				b.ReportMetric(0, "ns/op")
				for unit, d := range map[string]time.Duration{"accept-ms": worst.accept, "plan-ms": worst.plan, "report-ms": worst.report, "cancel-ms": worst.cancel, "recover-ms": worst.recover} {
					b.ReportMetric(float64(d.Microseconds())/1000, unit)
				}
				b.ReportMetric(float64(worst.looks), "looks")
			})
		}
	}
}
