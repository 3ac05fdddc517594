package fault

import (
	"strings"
	"sync"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/calls"
	"github.com/citroncross/citroncross/schema/lab"
)

// breakage is an implementation that breaks one promise. Every check must catch the one that is meant for it.
type breakage int

const (
	nothingBroken breakage = iota
	runsTwice
	mixesAnswers
	cutsAnswers
	deniesRuns
	ignoresSlots
	ignoresLeaving
)

// invoke spoils the end of a call.
func (b breakage) invoke(e *endpoint, call citron.Call, body string) (sent bool, out string, err error) {
	switch b {
	case runsTwice:
		e.run(call)
	case mixesAnswers:
		return true, strings.Replace(body, string(call.RequestID), "another", 1), nil
	case cutsAnswers:
		return true, body[:len(body)/2], nil
	case deniesRuns:
		return false, "", citron.ErrUnavailable
	}
	return true, body, nil
}

func TestChecksOfCallsCatchBrokenOnes(t *testing.T) {
	for b, want := range map[breakage]string{
		runsTwice:    "ran 2 times",
		mixesAnswers: "wrong or partial answer",
		cutsAnswers:  "wrong or partial answer",
		deniesRuns:   "said not run although it ran",
	} {
		r := newRig(t, nil)
		r.broken = b
		expect(t, scenarios[2].play(r), want)
		r.end()
	}
}

func TestCheckOfRepeatableCallsCatchesADeniedRun(t *testing.T) {
	r := newRig(t, nil)
	defer r.end()
	r.broken = deniesRuns
	expect(t, scenarios[0].play(r), "said not run although it ran")
}

// expect fails unless a check has found what was broken.
func expect(t *testing.T, broken []string, want string) {
	t.Helper()
	if !strings.Contains(strings.Join(broken, "; "), want) {
		t.Errorf("checks found %v, not %q", broken, want)
	}
}

func TestCheckOfSlotsCatchesABrokenOne(t *testing.T) {
	expect(t, crowd(t, ignoresSlots), "slots in use")
	if broken := crowd(t, nothingBroken); len(broken) > 0 {
		t.Errorf("unbroken: %v", broken)
	}
}

// crowd sends more calls at once than an endpoint has slots.
func crowd(t *testing.T, b breakage) []string {
	r := newRig(t, nil)
	defer r.end()
	_, at := r.shards()
	r.own(at, 0)
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
	r.await(func() bool { return e.now() > 0 && (b == nothingBroken || e.now() > 1) })
	close(e.gate)
	group.Wait()
	return r.overCapacity()
}

func TestCheckOfLeavingCatchesABrokenOne(t *testing.T) {
	for _, b := range []breakage{ignoresLeaving, nothingBroken} {
		r := newRig(t, nil)
		_, at := r.shards()
		r.own(at, 0)
		r.addEndpoint("e0", at)
		r.endpoint("e0").leaving = true
		if b == nothingBroken {
			r.list(at)
		}
		_, _, _ = r.call(0, "again", "q", true, "q")
		broken := r.overCapacity()
		if b == ignoresLeaving {
			expect(t, broken, "after it was leaving")
		} else if len(broken) > 0 {
			t.Errorf("unbroken: %v", broken)
		}
		r.end()
	}
}

func TestChecksOfTasksCatchBrokenOnes(t *testing.T) {
	r := newRig(t, nil)
	defer r.end()
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
	broken := r.doubleRuns(true)
	expect(t, broken, "ran in two places at once")
	expect(t, broken, "ran 6 times")
	expect(t, broken, "MilliCores in use")
}

// await polls a condition of the fakes until it holds or the rig's time is over.
func (r *rig) await(holds func() bool) {
	tick, stop := r.clock().Every(pollEvery)
	defer stop()
	for !holds() {
		select {
		case <-tick:
		case <-r.ctx.Done():
			return
		}
	}
}
