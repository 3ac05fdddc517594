package fault

import (
	"strings"
	"sync"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/calls"
	"github.com/citroncross/citroncross/schema/lab"
)

// bug is a defect that the fakes inject, to test that the checks detect it.
type bug int

const (
	noBug bug = iota
	// runsTwice runs a call two times.
	runsTwice
	// mixesAnswers returns the answer to another request.
	mixesAnswers
	// truncatesAnswers returns the first half of an answer.
	truncatesAnswers
	// reportsNotRun reports a call that has run as not sent.
	reportsNotRun
	// ignoresSlots sends an endpoint more calls than it has slots.
	ignoresSlots
	// ignoresLeaving sends calls to an endpoint that is leaving.
	ignoresLeaving
)

// afterInvoke applies b to the result of a call that has run on e.
func (b bug) afterInvoke(e *endpoint, call citron.Call, body string) (sent bool, out string, err error) {
	switch b {
	case runsTwice:
		e.run(call)
	case mixesAnswers:
		return true, strings.Replace(body, string(call.RequestID), "another", 1), nil
	case truncatesAnswers:
		return true, body[:len(body)/2], nil
	case reportsNotRun:
		return false, "", citron.ErrUnavailable
	}
	return true, body, nil
}

func TestCallChecksDetectBugs(t *testing.T) {
	for b, want := range map[bug]string{
		runsTwice:        "ran 2 times",
		mixesAnswers:     "wrong or partial answer",
		truncatesAnswers: "wrong or partial answer",
		reportsNotRun:    "outcome NotRun although it ran",
	} {
		r := newRig(t, nil)
		r.bug = b
		// Scenario 2 is a non-repeatable call.
		expectViolation(t, scenarios[2].run(r), want)
		r.stop()
	}
}

func TestRepeatableCallChecksDetectFalseNotRun(t *testing.T) {
	r := newRig(t, nil)
	defer r.stop()
	r.bug = reportsNotRun
	// Scenario 0 is a repeatable call.
	expectViolation(t, scenarios[0].run(r), "outcome NotRun although it ran")
}

// expectViolation fails the test unless one of the violations contains want.
func expectViolation(t *testing.T, violations []string, want string) {
	t.Helper()
	if !strings.Contains(strings.Join(violations, "; "), want) {
		t.Errorf("the checks reported %v, want a violation with %q", violations, want)
	}
}

func TestSlotCheckDetectsOverload(t *testing.T) {
	expectViolation(t, overloadEndpoint(t, ignoresSlots), "slots in use")
	if violations := overloadEndpoint(t, noBug); len(violations) > 0 {
		t.Errorf("violations without a bug: %v", violations)
	}
}

// overloadEndpoint sends more calls at once than an endpoint has slots and returns the violations found.
func overloadEndpoint(t *testing.T, b bug) []string {
	r := newRig(t, nil)
	defer r.stop()
	_, shard := r.scenarioShards()
	r.assignShard(shard, 0)
	if b == ignoresSlots {
		// The endpoint is listed with 4 slots but has only 1.
		r.slots = 4
	}
	r.addEndpoint("e0", shard)
	e := r.endpoint("e0")
	e.slots = 1
	e.gate = make(chan struct{})
	var group sync.WaitGroup
	for n := range 4 {
		group.Go(func() {
			x := r.nodes[0]
			var a answer
			id := citron.RequestID(string(rune('a' + n)))
			_ = x.calls.Serve(r.ctx, calls.Request{Team: "t", Class: "again", ID: id, Repeatable: true}, &a)
		})
	}
	r.waitUntil(func() bool { return e.currentCalls() > 0 && (b == noBug || e.currentCalls() > 1) })
	close(e.gate)
	group.Wait()
	return r.capacityViolations()
}

func TestLeavingCheckDetectsLateCalls(t *testing.T) {
	for _, b := range []bug{ignoresLeaving, noBug} {
		r := newRig(t, nil)
		_, shard := r.scenarioShards()
		r.assignShard(shard, 0)
		r.addEndpoint("e0", shard)
		r.endpoint("e0").leaving = true
		if b == noBug {
			// Lists the endpoint again, now as leaving; without this the nodes do not know it.
			r.listEndpoints(shard)
		}
		_, _, _ = r.call(0, "again", "q", true, "q")
		violations := r.capacityViolations()
		if b == ignoresLeaving {
			expectViolation(t, violations, "after it was leaving")
		} else if len(violations) > 0 {
			t.Errorf("violations without a bug: %v", violations)
		}
		r.stop()
	}
}

func TestTaskChecksDetectDuplicateRuns(t *testing.T) {
	r := newRig(t, nil)
	defer r.stop()
	r.addWorker("w0")
	r.addWorker("w1")
	for _, w := range r.workers {
		reply := w.Sync(r.ctx, &lab.SyncRequest{Epoch: 1, Sequence: 1})
		for attempt := range int32(3) {
			w.Sync(r.ctx, &lab.SyncRequest{
				Epoch: 1, Sequence: int64(attempt) + 2, WorkerIncarnation: reply.GetIncarnation(), LeaseMs: 60_000,
				Start: []*lab.TaskStart{{Ref: &lab.TaskRef{JobID: "t.j", Attempt: attempt}, MilliCores: 2000, Service: true}},
			})
		}
	}
	violations := r.taskViolations(true)
	expectViolation(t, violations, "ran in two places at once")
	expectViolation(t, violations, "ran 6 times")
	expectViolation(t, violations, "MilliCores in use")
}

// waitUntil polls a condition of the fakes until it holds or the test has ended.
func (r *rig) waitUntil(holds func() bool) {
	tick, stop := r.clock().Every(pollInterval)
	defer stop()
	for !holds() {
		select {
		case <-tick:
		case <-r.ctx.Done():
			return
		}
	}
}
