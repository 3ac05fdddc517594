package fault

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"
)

// jobScenario is one kind of job whose every step is struck by every fault.
type jobScenario struct {
	name   string
	class  string
	tasks  int32
	gang   bool
	cancel bool
}

var jobScenarios = []jobScenario{
	{name: "job, repeatable", class: "again", tasks: 2},
	{name: "job, not repeatable", class: "once", tasks: 2},
	{name: "gang", class: "once", tasks: 3, gang: true},
	{name: "job, cancelled", class: "again", tasks: 2, cancel: true},
}

// patience bounds how long a trial looks for the end of its job. No check depends on it: a job that has not ended
// is judged by what ran so far.
const patience = 3 * time.Second

func (s jobScenario) play(r *rig) (broken []string) {
	pool := citron.WorkerPool(0)
	r.addWorker("w0")
	r.addWorker("w1")
	r.own(pool, 1)
	spec := &record.JobSpec{
		Team: "t", Class: s.class, Tasks: s.tasks, Gang: s.gang, MilliCores: 2000, MemoryMb: 1000, RunBoundMs: 1000,
		Repeatable: s.class == "again", Payload: "ms=20",
	}
	job := r.drive(s, spec)
	broken = append(broken, r.doubleRuns(s.class == "once")...)
	return append(broken, s.falseEnds(r, job)...)
}

// drive submits the job, asking again wherever it must, until it has ended or the trial's patience has.
func (r *rig) drive(s jobScenario, spec *record.JobSpec) (job *record.JobState) {
	ctx, cancel := context.WithTimeout(r.ctx, patience)
	defer cancel()
	tick, stop := timer.System{}.Every(5 * time.Millisecond)
	defer stop()
	submitted, cancelled := false, false
	for n := 0; ; n++ {
		verb := peer.RelayVerb_RELAY_VERB_SUBMIT
		switch {
		case submitted && s.cancel && !cancelled:
			verb = peer.RelayVerb_RELAY_VERB_CANCEL
		case submitted:
			verb = peer.RelayVerb_RELAY_VERB_GET
		}
		x := r.nodes[n%len(r.nodes)]
		if !x.isDead() {
			reply, refusal := x.jobs.Handle(ctx, &peer.RelayRequest{Verb: verb, JobID: "t.j", Spec: spec})
			if refusal == nil && !x.isDead() {
				submitted = true
				cancelled = cancelled || verb == peer.RelayVerb_RELAY_VERB_CANCEL
				job = reply.GetJob()
			}
		}
		if ended(job) {
			return job
		}
		select {
		case <-tick:
		case <-ctx.Done():
			return job
		}
	}
}

func ended(job *record.JobState) bool {
	for _, t := range job.GetTasks() {
		if t.GetPhase() == record.TaskPhase_TASK_PHASE_WAITING || t.GetPhase() == record.TaskPhase_TASK_PHASE_PLACED {
			return false
		}
	}
	return len(job.GetTasks()) > 0
}

// doubleRuns lists tasks that ran in two places at once, attempts that started twice and, for work that may run once
// only, tasks that ran more than once.
func (r *rig) doubleRuns(once bool) (broken []string) {
	type span struct{ began, ended time.Duration }
	spans := map[string][]span{}
	now := timer.System{}.Now().Boot
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, w := range r.workers {
		record := w.Record()
		if record.MostMilliCores > record.MilliCores {
			broken = append(broken, fmt.Sprintf("%s had %d of %d MilliCores in use", name, record.MostMilliCores, record.MilliCores))
		}
		for id, n := range record.Runs {
			if n > 1 {
				broken = append(broken, fmt.Sprintf("attempt %s started %d times on %s", id, n, name))
			}
		}
		for _, s := range record.Spans {
			end := s.Ended
			if end == 0 {
				end = now
			}
			spans[s.Task] = append(spans[s.Task], span{s.Began, end})
		}
	}
	for task, all := range spans {
		if once && len(all) > 1 {
			broken = append(broken, fmt.Sprintf("task %s ran %d times", task, len(all)))
		}
		for i, a := range all {
			for _, b := range all[i+1:] {
				if a.began < b.ended && b.began < a.ended {
					broken = append(broken, fmt.Sprintf("task %s ran in two places at once", task))
				}
			}
		}
	}
	return broken
}

// falseEnds lists tasks that are said to be done and never ran, and cancelled ones that are said to be done.
func (s jobScenario) falseEnds(r *rig, job *record.JobState) (broken []string) {
	runs := r.taskRuns()
	for n, t := range job.GetTasks() {
		ran := 0
		for attempt := int32(1); attempt <= t.GetAttempt(); attempt++ {
			ran += runs[fmt.Sprintf("t.j/%d/%d", n, attempt)]
		}
		if t.GetPhase() == record.TaskPhase_TASK_PHASE_DONE && ran == 0 {
			broken = append(broken, fmt.Sprintf("task %d is said to be done and never ran", n))
		}
	}
	return broken
}

// jobSteps bounds the steps that are struck: a job's path is about this long before it only polls.
const jobSteps = 14

func TestFaultMatrixOfJobs(t *testing.T) {
	var all []trial
	for _, s := range jobScenarios {
		r := newRig(t, nil)
		if broken := s.play(r); len(broken) > 0 {
			t.Fatalf("without faults: %v\n%s", broken, r.story())
		}
		r.end()
		for step := 1; step <= jobSteps; step++ {
			for k := failBefore; k < jobKinds; k++ {
				if k != kinds {
					all = append(all, trial{s.play, s.name, map[int]kind{step: k}})
				}
			}
		}
	}
	playAll(t, all)
}

func TestFaultPairsOfJobs(t *testing.T) {
	random := newRandom(2)
	var all []trial
	for range pairCases {
		s := jobScenarios[random.IntN(len(jobScenarios))]
		strikes := map[int]kind{}
		for range 2 {
			k := kind(1 + random.IntN(int(jobKinds)-1))
			if k != kinds {
				strikes[1+random.IntN(jobSteps)] = k
			}
		}
		all = append(all, trial{s.play, s.name, strikes})
	}
	playAll(t, all)
}
