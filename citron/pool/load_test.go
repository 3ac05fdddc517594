package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// TestUseByQueueCountsByLateness guards against lines of use that hide work for jobs which are of no more use.
func TestUseByQueueCountsByLateness(t *testing.T) {
	r := newRig(t)
	r.workers(1)
	first := newJob("first", newStep(2, 16))
	first.Queue, first.Terms.TargetMs = "quick", 500
	r.accept(first)
	e := r.plan()
	second := newJob("second", newStep(1, 16))
	second.Queue, second.Terms.TargetMs = "quick", 500
	r.accept(second)
	r.plan()
	u := r.p.UseByQueue(r.now.Boot)
	if len(u.Queues) != 1 || u.Queues[0].Queue != "quick" {
		t.Fatalf("queues %v", u.Queues)
	}
	q := u.Queues[0]
	if q.Waiting[InTime] != 1 || q.Cores[InTime] != 32 || q.Starts[InTime] != 2 || u.Capacity.MilliCores != 32_000 || u.Free.MilliCores != 0 {
		t.Errorf("use %+v of %v, free %v", q, u.Capacity, u.Free)
	}
	r.advance(time.Minute)
	r.end(e.Starts[0], citron.EndDone)
	r.end(e.Starts[1], citron.EndDone)
	r.plan()
	if q = r.p.UseByQueue(r.now.Boot).Queues[0]; q.Waiting != [latenessKinds]int{} || q.Starts[TooLate] != 1 || q.Cores[TooLate] != 16 {
		t.Errorf("use after a minute %+v", q)
	}
}
