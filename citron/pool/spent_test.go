package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// TestSpentTimeAddsUp guards against ages of jobs that no part explains, and against steps that count twice.
func TestSpentTimeAddsUp(t *testing.T) {
	r := newRig(t)
	ids := r.workers(1)
	var ended []Decision
	r.p.Observe = func(d Decision) {
		if d.Kind == DecidedJobEnd {
			ended = append(ended, d)
		}
	}
	first, second := newStep(1, 2), newStep(1, 2)
	second.After = []int32{0}
	j := newJob("job", first, second)
	j.Terms.Advice = &work.Advice{DecideUs: 1000, ValidMs: 2500}
	r.accept(j)
	for range 2 {
		asked := r.plan()
		r.advance(200 * time.Millisecond)
		r.p.Advised(r.now, asked.AdviceRequests[0], []citron.Permit{{Worker: ids[0], Ticket: "ticket"}}, 2500*time.Millisecond, false)
		started := r.plan()
		r.advance(700 * time.Millisecond)
		r.end(started.Starts[0], citron.EndDone)
	}
	if len(ended) != 1 {
		t.Fatalf("ends %v", ended)
	}
	s := ended[0].Spent
	if s.UntilPlaced != 410*time.Millisecond || s.Running < 1400*time.Millisecond || s.Lateness != InTime {
		t.Errorf("spent %+v", s)
	}
	if rest := ended[0].Age - s.UntilAsked - s.UntilPlaced - s.Running; rest < 0 || rest > 10*time.Millisecond {
		t.Errorf("%v of an age of %v are in no part of %+v", rest, ended[0].Age, s)
	}
}
