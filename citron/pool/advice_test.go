package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// TestStepsThatFitNowhereDoNotKeepOthersFromTickets guards against small jobs that wait for ever behind gangs that wait for room.
func TestStepsThatFitNowhereDoNotKeepOthersFromTickets(t *testing.T) {
	r := newRig(t)
	r.workers(4)
	advised := func(j *work.Job) *work.Job {
		j.Terms.Advice = &work.Advice{DecideUs: 1000, PerWorkerUs: 10, ValidMs: 2500}
		return j
	}
	for n := range 2 * minAdvisedSteps {
		r.accept(advised(newJob(fmt.Sprintf("gang%02d", n), newGang(5, 30))))
	}
	answer := func(e Effects) {
		for _, a := range e.AdviceRequests {
			var permits []citron.Permit
			for _, w := range a.Workers {
				permits = append(permits, citron.Permit{Worker: w, Ticket: "ticket"})
			}
			r.p.Advised(r.now, a, permits, 2500*time.Millisecond, false)
		}
	}
	answer(r.plan())
	small := newJob("small", newStep(1, 2))
	small.Terms.TargetMs = 600_000
	r.accept(advised(small))
	for range 100 {
		e := r.plan()
		answer(e)
		if len(e.Starts) > 0 {
			return
		}
	}
	t.Error("the small job has not started within half a second, though 128 cores are free")
}
