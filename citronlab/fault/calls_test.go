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

// answer collects what a caller got.
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

// call sends one request to one node as a caller would and returns its outcome. The sending is named in the body, so
// that the endpoints record which sending of a request they ran.
func (r *rig) call(n int, class citron.Class, id citron.RequestID, repeatable bool, sending string) (record.Outcome, string, *citron.Refusal) {
	x := r.nodes[n]
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	var a answer
	refusal := x.calls.Serve(ctx, calls.Request{Team: "t", Class: class, ID: id, Repeatable: repeatable, Body: []byte(sending)}, &a)
	if x.hasCrashed() {
		// The caller's connection broke; whatever the dead daemon meant to say never came.
		return record.Outcome_OUTCOME_UNKNOWN, "", nil
	}
	if refusal != nil {
		return refusal.Outcome, "", refusal
	}
	return record.Outcome_OUTCOME_DONE, a.body.String(), nil
}

// scenario is one path whose every step is struck by every fault.
type scenario struct {
	name  string
	class citron.Class
	// endpointOwner holds the endpoint; the request's key is held by keyOwner.
	endpointOwner, keyOwner int
}

var scenarios = []scenario{
	{"call, own endpoint", "again", 0, 0},
	{"call, endpoint of another daemon", "again", 1, 0},
	{"non-repeatable call, owner of its key", "once", 0, 0},
	{"non-repeatable call, key held elsewhere", "once", 1, 1},
	{"non-repeatable call, key and endpoint held elsewhere", "once", 2, 1},
}

// keyShard is the shard of request "q" in the rig's layout; the endpoint sits in another one.
func (r *rig) scenarioShards() (key, endpoint citron.ShardID) {
	key = r.layout.RequestShard("t", "q")
	for _, id := range r.layout.Shards() {
		if id != key && !id.IsPool() {
			return key, id
		}
	}
	return key, key
}

// run runs a scenario: the caller sends its request to node 0 and, while it has no final outcome, again to the
// others. It returns every check that failed.
func (s scenario) run(r *rig) (broken []string) {
	key, at := r.scenarioShards()
	r.assignShard(key, s.keyOwner)
	r.assignShard(at, s.endpointOwner)
	r.addEndpoint("e0", at)
	for n := range r.nodes {
		for about := range r.nodes {
			if n != about && about == s.endpointOwner {
				r.sendHeartbeat(n, about, r.slots)
			}
		}
	}
	r.waitForIntents()
	const id = "q"
	var denied []string
	for try := range 4 {
		n := try % len(r.nodes)
		if r.nodes[n].hasCrashed() {
			continue
		}
		// Of a repeatable call no record is kept: "not run" speaks of this sending of it. An earlier sending that a
		// daemon passed on before it crashed may run at any time.
		sending := id
		if s.class == "again" {
			sending = fmt.Sprintf("%s, sending %d", id, try)
		}
		outcome, got, refusal := r.call(n, s.class, id, s.class == "again", sending)
		runs := r.submissionRuns(sending)
		if outcome == record.Outcome_OUTCOME_NOT_RUN && s.class == "again" {
			denied = append(denied, sending)
		}
		switch {
		case outcome == record.Outcome_OUTCOME_DONE && refusal == nil && got != expectedAnswer(id):
			broken = append(broken, fmt.Sprintf("wrong or partial answer %q", got))
		case outcome == record.Outcome_OUTCOME_NOT_RUN && runs > 0:
			broken = append(broken, "said not run although it ran")
		}
		if outcome == record.Outcome_OUTCOME_DONE {
			break
		}
	}
	for _, sending := range denied {
		if r.submissionRuns(sending) > 0 {
			broken = append(broken, "said not run and ran later")
		}
	}
	if runs := r.submissionRuns(id); s.class == "once" && runs > 1 {
		broken = append(broken, fmt.Sprintf("non-repeatable request ran %d times", runs))
	}
	return append(broken, r.capacityViolations()...)
}

// waitForIntents waits, by events, until every ledger of an owned shard has read its stream.
func (r *rig) waitForIntents() {
	for _, x := range r.nodes {
		for _, id := range r.layout.Shards() {
			if x.MayAct(id) && !id.IsPool() {
				x.calls.Intents.AwaitReady(r.ctx, id)
			}
		}
	}
}

func (r *rig) capacityViolations() (broken []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.mu.Lock()
		if e.maxInFlight > e.slots {
			broken = append(broken, fmt.Sprintf("%s had %d of %d slots in use", e.name, e.maxInFlight, e.slots))
		}
		if e.callsWhileLeaving > 0 {
			broken = append(broken, fmt.Sprintf("%s got %d calls after it was leaving", e.name, e.callsWhileLeaving))
		}
		e.mu.Unlock()
	}
	return broken
}

// countSteps plays a scenario without faults.
func (s scenario) countSteps(t *testing.T) int {
	r := newRig(t, nil)
	if broken := s.run(r); len(broken) > 0 {
		t.Fatalf("without faults: %v", broken)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.steps
}

func TestFaultMatrixOfCalls(t *testing.T) {
	var all []testCase
	for _, s := range scenarios {
		steps := s.countSteps(t)
		for step := 1; step <= steps+1; step++ {
			for k := failBefore; k < endOfCallFaults; k++ {
				all = append(all, testCase{s.run, s.name, map[int]faultKind{step: k}})
			}
		}
	}
	runAll(t, all)
}

// testCase is one scenario under one plan of strikes.
type testCase struct {
	run    func(*rig) []string
	name   string
	faults map[int]faultKind
}

// maxParallel is the number of trials that run beside each other.
const maxParallel = 16

// runAll plays trials beside each other and reports every check that failed.
func runAll(t *testing.T, all []testCase) {
	t.Helper()
	var group sync.WaitGroup
	tokens := make(chan struct{}, maxParallel)
	for _, one := range all {
		tokens <- struct{}{}
		group.Go(func() {
			defer func() { <-tokens }()
			r := newRig(t, one.faults)
			defer r.stop()
			if broken := one.run(r); len(broken) > 0 {
				t.Errorf("%s, strikes %v: %v\n%s", one.name, one.faults, broken, r.traceText())
			}
		})
	}
	group.Wait()
	t.Logf("%d cases", len(all))
}

// traceText is what happened, step by step.
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

// pairs lists pairs of strikes from a fixed seed.
const pairCases = 150

func TestFaultPairsOfCalls(t *testing.T) {
	random := newRandom(1)
	var all []testCase
	for range pairCases {
		s := scenarios[random.IntN(len(scenarios))]
		a, b := 1+random.IntN(8), 1+random.IntN(12)
		strikes := map[int]faultKind{a: faultKind(1 + random.IntN(int(endOfCallFaults)-1)), b: faultKind(1 + random.IntN(int(endOfCallFaults)-1))}
		all = append(all, testCase{s.run, s.name, strikes})
	}
	runAll(t, all)
}

// TestEarlierSendingRunsBesideTheNext plays a daemon that passes a call on and crashes: the passed-on sending may run
// while the caller's next one is refused.
func TestEarlierSendingRunsBesideTheNext(t *testing.T) {
	var all []testCase
	for range 100 {
		all = append(all, testCase{scenarios[1].run, scenarios[1].name, map[int]faultKind{3: crashAfter, 5: failBefore}})
	}
	runAll(t, all)
}
