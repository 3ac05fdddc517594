package fault

import (
	"strings"
	"sync"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/calls"
	"github.com/citroncross/citroncross/schema/lab"
)

// bug is an implementation that breaks one promise. Every check must catch the one that is meant for it.
type bug int

const (
	noBug bug = iota
	runsTwice
	mixesAnswers
	truncatesAnswers
	reportsNotRun
	ignoresSlots
	ignoresLeaving
)

// afterInvoke spoils the end of a call.
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

func TestChecksOfCallsCatchBrokenOnes(t *testing.T) {
	for b, want := range map[bug]string{
		runsTwice:        "ran 2 times",
		mixesAnswers:     "wrong or partial answer",
		truncatesAnswers: "wrong or partial answer",
		reportsNotRun:    "said not run although it ran",
	} {
		r := newRig(t, nil)
		r.bug = b
		expectViolation(t, scenarios[2].run(r), want)
		r.stop()
	}
}

func TestCheckOfRepeatableCallsCatchesADeniedRun(t *testing.T) {
	r := newRig(t, nil)
	defer r.stop()
	r.bug = reportsNotRun
	expectViolation(t, scenarios[0].run(r), "said not run although it ran")
}

// expectViolation fails unless a check has found what was broken.
func expectViolation(t *testing.T, broken []string, want string) {
	t.Helper()
	if !strings.Contains(strings.Join(broken, "; "), want) {
		t.Errorf("checks found %v, not %q", broken, want)
	}
}

func TestCheckOfSlotsCatchesABrokenOne(t *testing.T) {
	expectViolation(t, overloadEndpoint(t, ignoresSlots), "slots in use")
	if broken := overloadEndpoint(t, noBug); len(broken) > 0 {
		t.Errorf("unbroken: %v", broken)
	}
}

// overloadEndpoint sends more calls at once than an endpoint has slots.
func overloadEndpoint(t *testing.T, b bug) []string {
	r := newRig(t, nil)
	defer r.stop()
	_, at := r.scenarioShards()
	r.assignShard(at, 0)
	if b == ignoresSlots {
		r.slots = 4
	}
	r.addEndpoint("e0", at)
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

func TestCheckOfLeavingCatchesABrokenOne(t *testing.T) {
	for _, b := range []bug{ignoresLeaving, noBug} {
		r := newRig(t, nil)
		_, at := r.scenarioShards()
		r.assignShard(at, 0)
		r.addEndpoint("e0", at)
		r.endpoint("e0").leaving = true
		if b == noBug {
			r.listEndpoints(at)
		}
		_, _, _ = r.call(0, "again", "q", true, "q")
		broken := r.capacityViolations()
		if b == ignoresLeaving {
			expectViolation(t, broken, "after it was leaving")
		} else if len(broken) > 0 {
			t.Errorf("unbroken: %v", broken)
		}
		r.stop()
	}
}

func TestChecksOfTasksCatchBrokenOnes(t *testing.T) {
	r := newRig(t, nil)
	defer r.stop()
	r.addWorker("w0")
	r.addWorker("w1")
	for _, w := range r.workers {
		hello := w.Sync(r.ctx, &lab.SyncRequest{Epoch: 1, Sequence: 1})
		for attempt := range int32(3) {
			w.Sync(r.ctx, &lab.SyncRequest{
				Epoch: 1, Sequence: int64(attempt) + 2, WorkerIncarnation: hello.GetIncarnation(), LeaseMs: 60_000,
				Start: []*lab.TaskStart{{Ref: &lab.TaskRef{JobID: "t.j", Attempt: attempt}, MilliCores: 2000, Service: true}},
			})
		}
	}
	broken := r.duplicateRuns(true)
	expectViolation(t, broken, "ran in two places at once")
	expectViolation(t, broken, "ran 6 times")
	expectViolation(t, broken, "MilliCores in use")
}

// waitUntil polls a condition of the fakes until it holds or the rig's time is over.
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
