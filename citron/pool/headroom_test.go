package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// TestHeadroomFollowsArrivals checks the estimate against rate times run time, during and after a burst. It guards against
// leaving capacity idle that nothing is expected to use.
func TestHeadroomFollowsArrivals(t *testing.T) {
	var h headroom
	now := time.Hour
	total := citron.Capacity{MilliCores: 10_000_000}
	arrive := func(perSecond int, length time.Duration) {
		for end := now + length; now < end; {
			now += time.Second / time.Duration(perSecond)
			h.add(now, citron.Capacity{MilliCores: 30_000}, 500*time.Millisecond)
		}
	}
	expect := func(when string, used, from, to int64) {
		t.Helper()
		if got := h.free(now, citron.Capacity{MilliCores: used}, total, 50).MilliCores; got < from || got > to {
			t.Errorf("%s: headroom of %d thousandths of a core, want %d to %d", when, got, from, to)
		}
	}
	expect("nothing has arrived", 0, 0, 0)
	arrive(100, 20*time.Second)
	// 100 a second for 0.5 s on 30 cores use 1,500 cores, with a standard deviation of 212.
	expect("usual load, nothing in use", 0, 1_980_000, 2_300_000)
	expect("usual load, usual use", 1_500_000, 480_000, 800_000)
	expect("usual load, more in use", 3_000_000, 0, 0)
	arrive(250, 4*time.Second)
	expect("burst", 0, 3_700_000, 4_900_000)
	now += 20 * time.Second
	expect("no arrivals for 20 s", 0, 0, 15_000)
	if got := h.free(now, citron.Capacity{}, total, 0); got != (citron.Capacity{}) {
		t.Errorf("headroom %v though it is off", got)
	}
}

// TestHeadroomIsLimited guards against leaving more than the percentage of the cluster free.
func TestHeadroomIsLimited(t *testing.T) {
	var h headroom
	h.add(time.Hour, citron.Capacity{MilliCores: 1 << 40, MemoryMb: 10}, time.Second)
	got := h.free(time.Hour, citron.Capacity{}, citron.Capacity{MilliCores: 1000, MemoryMb: 100_000}, 15)
	if got.MilliCores != 150 || got.MemoryMb > 30 {
		t.Errorf("headroom %v", got)
	}
}

// headroomRig returns a pool of 10 workers of 32 cores that expects priority 0 to need 15 % of it, and starts the given job.
func headroomRig(t *testing.T, percent int) *rig {
	r := newRig(t)
	r.p.Options.HeadroomPercent = percent
	r.workers(10)
	for n := range 10 {
		quick := newJob(fmt.Sprintf("quick%d", n), newStep(4, 8))
		r.accept(quick)
	}
	for _, s := range r.plan().Starts {
		r.end(s, citron.EndDone)
	}
	return r
}

// TestLongTasksLeaveHeadroom guards against quick jobs that wait for long ones to end, and against headroom where the
// setting is off.
func TestLongTasksLeaveHeadroom(t *testing.T) {
	for percent, want := range map[int]int{0: 40, 15: 34} {
		r := headroomRig(t, percent)
		long := newJob("long", newStep(60, 8))
		long.Terms.Priority, long.Terms.TargetMs = 2, 60_000
		r.accept(long)
		if e := r.plan(); len(e.Starts) != want {
			t.Errorf("headroom of %d %%: %d long tasks started, want %d", percent, len(e.Starts), want)
		}
		quick := newJob("quick", newStep(6, 8))
		r.accept(quick)
		started := 0
		for _, s := range r.plan().Starts {
			if s.Order.Task == TaskName("quick", 0, 0, 0) || s.Order.Task[:5] == "quick" {
				started++
			}
		}
		if wantQuick := 40 - want; started != wantQuick {
			t.Errorf("headroom of %d %%: %d quick tasks started, want %d", percent, started, wantQuick)
		}
	}
}

// TestUrgentStepsUseHeadroom guards against a step that misses its objective because it left capacity free.
func TestUrgentStepsUseHeadroom(t *testing.T) {
	for _, gang := range []bool{false, true} {
		r := headroomRig(t, 15)
		long := newJob("long", newStep(40, 8))
		long.Steps[0].Gang = gang
		long.Terms.Priority, long.Terms.TargetMs = 2, 3000
		r.accept(long)
		early := len(r.plan().Starts)
		for range 20 {
			r.accept(newJob(fmt.Sprint("quick", r.now.Boot), newStep(4, 8)))
			for _, s := range r.plan().Starts {
				if s.Order.Task[:4] == "quic" {
					r.end(s, citron.EndDone)
				} else {
					early++
				}
			}
			r.advance(20 * time.Millisecond)
		}
		if early == 40 {
			t.Errorf("gang %t: all tasks started while there was time to wait", gang)
		}
		r.advance(2 * time.Second)
		if late := len(r.plan().Starts); early+late != 40 {
			t.Errorf("gang %t: %d tasks have started when there is no more time to wait, want 40", gang, early+late)
		}
	}
}
