package fault

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/calls"
	"github.com/citroncross/citroncross/schema/record"
)

// answer records the answer that a caller receives.
type answer struct {
	status int
	body   strings.Builder
}

func (a *answer) WriteHead(status int, _ string) error {
	a.status = status
	return nil
}

func (a *answer) WriteChunk(p []byte) error {
	a.body.Write(p)
	return nil
}

// call submits a request to node n as a caller would and returns its outcome. The body holds the name of the
// submission, so that the endpoints record which submissions of a request they ran.
func (r *rig) call(n int, class citron.Class, id citron.RequestID, repeatable bool, submission string) (record.Outcome, string, *citron.Refusal) {
	x := r.nodes[n]
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	var a answer
	refusal := x.calls.Serve(ctx, calls.Request{Team: "t", Class: class, ID: id, Repeatable: repeatable, Body: []byte(submission)}, &a)
	if x.hasCrashed() {
		// The crash closed the connection, so the caller received no answer.
		return record.Outcome_OUTCOME_UNKNOWN, "", nil
	}
	if refusal != nil {
		return refusal.Outcome, "", refusal
	}
	return record.Outcome_OUTCOME_DONE, a.body.String(), nil
}

// scenario is a call path on which every fault is injected at every step.
type scenario struct {
	name  string
	class citron.Class
	// endpointOwner is the node that owns the endpoint's shard; keyOwner owns the shard of the request id.
	endpointOwner, keyOwner int
}

var scenarios = []scenario{
	{"call, local endpoint", "again", 0, 0},
	{"call, endpoint of another daemon", "again", 1, 0},
	{"non-repeatable call, local key", "once", 0, 0},
	{"non-repeatable call, key of another daemon", "once", 1, 1},
	{"non-repeatable call, key and endpoint of two other daemons", "once", 2, 1},
}

// scenarioShards returns the shard of request "q" and another call shard for the endpoint.
func (r *rig) scenarioShards() (key, endpoint citron.ShardID) {
	key = r.layout.RequestShard("t", "q")
	for _, id := range r.layout.Shards() {
		if id != key && !id.IsPool() {
			return key, id
		}
	}
	return key, key
}

// run submits a request to node 0 and, until it is done, to the other nodes in turn. It returns the violations found.
func (s scenario) run(r *rig) (violations []string) {
	key, shard := r.scenarioShards()
	r.assignShard(key, s.keyOwner)
	r.assignShard(shard, s.endpointOwner)
	r.addEndpoint("e0", shard)
	for n := range r.nodes {
		for from := range r.nodes {
			if n != from && from == s.endpointOwner {
				r.sendHeartbeat(n, from, r.slots)
			}
		}
	}
	r.waitForIntents()
	const id = "q"
	var notRun []string
	for try := range 4 {
		n := try % len(r.nodes)
		if r.nodes[n].hasCrashed() {
			continue
		}
		// No intent is written for a repeatable call, so NotRun covers only the submission that it answers. An earlier
		// submission that a daemon forwarded before it crashed may still run at any time.
		submission := id
		if s.class == "again" {
			submission = fmt.Sprintf("%s, submission %d", id, try)
		}
		outcome, got, refusal := r.call(n, s.class, id, s.class == "again", submission)
		runs := r.submissionRuns(submission)
		if outcome == record.Outcome_OUTCOME_NOT_RUN && s.class == "again" {
			notRun = append(notRun, submission)
		}
		switch {
		case outcome == record.Outcome_OUTCOME_DONE && refusal == nil && got != expectedAnswer(id):
			violations = append(violations, fmt.Sprintf("wrong or partial answer %q", got))
		case outcome == record.Outcome_OUTCOME_NOT_RUN && runs > 0:
			violations = append(violations, "outcome NotRun although it ran")
		}
		if outcome == record.Outcome_OUTCOME_DONE {
			break
		}
	}
	for _, submission := range notRun {
		if r.submissionRuns(submission) > 0 {
			violations = append(violations, "ran later although its outcome was NotRun")
		}
	}
	if runs := r.submissionRuns(id); s.class == "once" && runs > 1 {
		violations = append(violations, fmt.Sprintf("non-repeatable request ran %d times", runs))
	}
	return append(violations, r.capacityViolations()...)
}

// waitForIntents waits until the owner of each call shard has read the intents in its stream.
func (r *rig) waitForIntents() {
	for _, x := range r.nodes {
		for _, id := range r.layout.Shards() {
			if x.MayAct(id) && !id.IsPool() {
				x.calls.Intents.AwaitReady(r.ctx, id)
			}
		}
	}
}

// capacityViolations lists endpoints that ran more calls at once than they have slots, or any call while leaving.
func (r *rig) capacityViolations() (violations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.mu.Lock()
		if e.maxInFlight > e.slots {
			violations = append(violations, fmt.Sprintf("%s had %d of %d slots in use", e.name, e.maxInFlight, e.slots))
		}
		if e.callsWhileLeaving > 0 {
			violations = append(violations, fmt.Sprintf("%s got %d calls after it was leaving", e.name, e.callsWhileLeaving))
		}
		e.mu.Unlock()
	}
	return violations
}

// countSteps runs a scenario without faults and returns the number of its steps.
func (s scenario) countSteps(t *testing.T) int {
	r := newRig(t, nil)
	if violations := s.run(r); len(violations) > 0 {
		t.Fatalf("scenario %q violates checks without faults: %v", s.name, violations)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.steps
}

func TestFaultMatrixOfCalls(t *testing.T) {
	var cases []testCase
	for _, s := range scenarios {
		steps := s.countSteps(t)
		for step := 1; step <= steps+1; step++ {
			for k := failBefore; k < endOfCallFaults; k++ {
				cases = append(cases, testCase{s.run, s.name, map[int]faultKind{step: k}})
			}
		}
	}
	runAll(t, cases)
}

// testCase is a scenario and the faults to inject.
type testCase struct {
	run  func(*rig) []string
	name string
	// faults holds the faults by step number.
	faults map[int]faultKind
}

// maxParallel is the maximum number of test cases that run in parallel.
const maxParallel = 16

// runAll runs test cases in parallel and fails the test for each violation.
func runAll(t *testing.T, cases []testCase) {
	t.Helper()
	var group sync.WaitGroup
	tokens := make(chan struct{}, maxParallel)
	for _, tc := range cases {
		tokens <- struct{}{}
		group.Go(func() {
			defer func() { <-tokens }()
			r := newRig(t, tc.faults)
			defer r.stop()
			if violations := tc.run(r); len(violations) > 0 {
				t.Errorf("%s, faults by step %v: %v\n%s", tc.name, tc.faults, violations, r.traceText())
			}
		})
	}
	group.Wait()
	t.Logf("%d cases", len(cases))
}

// traceText returns the steps made so far, one per line.
func (r *rig) traceText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.trace, "\n")
}

// stop stops every node of a rig.
func (r *rig) stop() {
	for _, x := range r.nodes {
		x.cancel()
	}
}

// pairCases is the number of random test cases with two faults each.
const pairCases = 150

func TestFaultPairsOfCalls(t *testing.T) {
	random := newRandom(1)
	var cases []testCase
	for range pairCases {
		s := scenarios[random.IntN(len(scenarios))]
		a, b := 1+random.IntN(8), 1+random.IntN(12)
		faults := map[int]faultKind{a: faultKind(1 + random.IntN(int(endOfCallFaults)-1)), b: faultKind(1 + random.IntN(int(endOfCallFaults)-1))}
		cases = append(cases, testCase{s.run, s.name, faults})
	}
	runAll(t, cases)
}

// TestForwardedSubmissionRunsAfterRefusal guards against taking an allowed run for a violation: a daemon forwards a
// repeatable call and crashes, and that submission may run although the caller's next one is refused as NotRun.
func TestForwardedSubmissionRunsAfterRefusal(t *testing.T) {
	var cases []testCase
	for range 100 {
		cases = append(cases, testCase{scenarios[1].run, scenarios[1].name, map[int]faultKind{3: crashAfter, 5: failBefore}})
	}
	runAll(t, cases)
}
