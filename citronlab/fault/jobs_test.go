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

// jobScenario is a job path on which every fault is injected at every step.
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

// jobTimeout is the maximum time that a test case waits for the end of its job. The checks do not depend on it:
// they also hold for the runs of a job that has not ended.
const jobTimeout = 3 * time.Second

// run runs a job on two workers and returns the violations found.
func (s jobScenario) run(r *rig) (violations []string) {
	pool := citron.WorkerPool(0)
	r.addWorker("w0")
	r.addWorker("w1")
	r.assignShard(pool, 1)
	spec := &record.JobSpec{
		Team: "t", Class: s.class, Tasks: s.tasks, Gang: s.gang, MilliCores: 2000, MemoryMb: 1000, RunBoundMs: 1000,
		Repeatable: s.class == "again", Payload: "ms=20",
	}
	job := r.runJob(s, spec)
	violations = append(violations, r.taskViolations(s.class == "once")...)
	return append(violations, s.falselyDone(r, job)...)
}

// runJob submits a job, cancels it if the scenario says so, and polls the nodes in turn until it ends or jobTimeout.
func (r *rig) runJob(s jobScenario, spec *record.JobSpec) (job *record.JobState) {
	ctx, cancel := context.WithTimeout(r.ctx, jobTimeout)
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
		if !x.hasCrashed() {
			reply, refusal := x.jobs.Handle(ctx, &peer.RelayRequest{Verb: verb, JobID: "t.j", Spec: spec})
			if refusal == nil && !x.hasCrashed() {
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

// ended reports whether the job has tasks and none of them is waiting or placed.
func ended(job *record.JobState) bool {
	for _, t := range job.GetTasks() {
		if t.GetPhase() == record.TaskPhase_TASK_PHASE_WAITING || t.GetPhase() == record.TaskPhase_TASK_PHASE_PLACED {
			return false
		}
	}
	return len(job.GetTasks()) > 0
}

// taskViolations lists tasks that ran in two places at once, attempts that started more than once on a worker, workers
// that ran more than they have capacity for and, if once is set, tasks that ran more than once.
func (r *rig) taskViolations(once bool) (violations []string) {
	type span struct{ began, ended time.Duration }
	spans := map[string][]span{}
	now := timer.System{}.Now().Boot
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, w := range r.workers {
		record := w.Record()
		if record.MostMilliCores > record.MilliCores {
			violations = append(violations, fmt.Sprintf("%s had %d of %d MilliCores in use", name, record.MostMilliCores, record.MilliCores))
		}
		for id, n := range record.Runs {
			if n > 1 {
				violations = append(violations, fmt.Sprintf("attempt %s started %d times on %s", id, n, name))
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
	for task, runs := range spans {
		if once && len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("task %s ran %d times", task, len(runs)))
		}
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.began < b.ended && b.began < a.ended {
					violations = append(violations, fmt.Sprintf("task %s ran in two places at once", task))
				}
			}
		}
	}
	return violations
}

// falselyDone lists tasks, also of a cancelled job, that are reported as done although they never ran.
func (s jobScenario) falselyDone(r *rig, job *record.JobState) (violations []string) {
	starts := r.attemptStarts()
	for n, t := range job.GetTasks() {
		ran := 0
		for attempt := int32(1); attempt <= t.GetAttempt(); attempt++ {
			ran += starts[fmt.Sprintf("t.j/%d/%d", n, attempt)]
		}
		if t.GetPhase() == record.TaskPhase_TASK_PHASE_DONE && ran == 0 {
			violations = append(violations, fmt.Sprintf("task %d is reported as done but never ran", n))
		}
	}
	return violations
}

// maxJobFaultStep is the last step at which a fault is injected. A job takes about this many steps; after that only
// polling is left.
const maxJobFaultStep = 14

func TestFaultMatrixOfJobs(t *testing.T) {
	var cases []testCase
	for _, s := range jobScenarios {
		r := newRig(t, nil)
		if violations := s.run(r); len(violations) > 0 {
			t.Fatalf("scenario %q violates checks without faults: %v\n%s", s.name, violations, r.traceText())
		}
		r.stop()
		for step := 1; step <= maxJobFaultStep; step++ {
			for k := failBefore; k < endOfJobFaults; k++ {
				if k != endOfCallFaults {
					cases = append(cases, testCase{s.run, s.name, map[int]faultKind{step: k}})
				}
			}
		}
	}
	runAll(t, cases)
}

func TestFaultPairsOfJobs(t *testing.T) {
	random := newRandom(2)
	var cases []testCase
	for range pairCases {
		s := jobScenarios[random.IntN(len(jobScenarios))]
		faults := map[int]faultKind{}
		for range 2 {
			k := faultKind(1 + random.IntN(int(endOfJobFaults)-1))
			if k != endOfCallFaults {
				faults[1+random.IntN(maxJobFaultStep)] = k
			}
		}
		cases = append(cases, testCase{s.run, s.name, faults})
	}
	runAll(t, cases)
}
