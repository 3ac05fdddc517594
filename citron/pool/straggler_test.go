package pool

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/speed"
)

// startStragglers starts 60 tasks of a kind with an estimate of 1 s and lets them run for 2 s on workers of speed 1.7.
func startStragglers(t *testing.T, copies bool, factors ...float64) (r *rig, starts []Start) {
	r = newSetSpeeds(t, factors...)
	r.p.Options.RestartStragglers = true
	r.p.runTimes.Observe(citron.TaskKind{Queue: "q"}, "", "", time.Second)
	s := newStep(60, 1)
	s.Copies = copies
	r.accept(newJob("j", s))
	starts = r.plan().Starts
	if len(starts) != 60 {
		t.Fatalf("%d tasks started, want 60", len(starts))
	}
	r.advance(2 * time.Second)
	return r, starts
}

// Guards against stragglers that are left alone, restarted on the same worker, restarted twice, or restarted in numbers.
func TestStragglerIsRestartedElsewhere(t *testing.T) {
	r, starts := startStragglers(t, true, 1.7, 1.7, 1.7, 0.7)
	stops := r.plan().Stops
	if len(stops) != 1 {
		t.Fatalf("%d of 60 stragglers are stopped, want 1", len(stops))
	}
	r.advance(stragglerInterval)
	if again := r.plan().Stops; len(again) != 0 {
		t.Errorf("%d more stopped while one is being restarted", len(again))
	}
	for _, s := range starts {
		if s.Order.Task == stops[0].Order.Task {
			r.end(s, citron.EndStopped)
		}
	}
	next := r.plan().Starts
	if len(next) != 1 || next[0].Order.Task != stops[0].Order.Task || next[0].Order.Run != 2 || next[0].Worker.ID == stops[0].Worker.ID {
		t.Fatalf("restarted as %+v after a stop on %s", next, stops[0].Worker.ID)
	}
	for range 20 {
		r.advance(time.Second)
		for _, s := range r.plan().Stops {
			if s.Order.Run > 1 {
				t.Fatalf("%s is restarted again", s.Order.Task)
			}
		}
	}
}

// Guards against restarts of tasks that may not run twice, where no other worker has room, and in clusters without teams
// whose workers are alike.
func TestStragglersThatAreNotRestarted(t *testing.T) {
	for _, c := range []struct {
		name    string
		copies  bool
		factors []float64
		prepare func(r *rig)
	}{
		{"no duplicates allowed", false, []float64{1.7, 1.7, 1.7, 0.7}, func(*rig) {}},
		{"no room elsewhere", true, []float64{1.7, 1.7, 0.7}, func(r *rig) { r.p.workers["w01"].cordoned = true }},
		{"workers alike, no teams", true, []float64{1, 1, 1}, func(r *rig) { r.advance(time.Second) }},
		{"restarts have not helped", true, []float64{1.7, 1.7, 1.7, 0.7}, func(r *rig) { r.p.stragglers.late = minRestartResults }},
	} {
		r, _ := startStragglers(t, c.copies, c.factors...)
		c.prepare(r)
		if stops := r.plan().Stops; len(stops) != 0 {
			t.Errorf("%s: %d stopped, want none", c.name, len(stops))
		}
	}
	r, _ := startStragglers(t, true, 1, 1, 1)
	r.p.SetTerms([]citron.TeamTerms{{Name: "a"}})
	r.advance(time.Second)
	if stops := r.plan().Stops; len(stops) != 1 {
		t.Errorf("with teams in force %d stopped, want 1", len(stops))
	}
}

// Guards against restarts that cost more than they earn: with a tail drawn for each run sweeps earn more, and with one that
// belongs to the task, so that a restart cannot help, restarts end soon.
func TestRestartsEarnMore(t *testing.T) {
	play := func(copies, tailOfTask bool) *speedLoad {
		l := newSpeedLoad(t, 101, &speed.Model{}, 1.7, 0.7)
		l.copies, l.tailOfTask = copies, tailOfTask
		l.p.Options.RestartStragglers = true
		l.play(30 * time.Second)
		return l
	}
	share := func(l *speedLoad) float64 { return l.value["sweep"] / l.jobs["sweep"] }
	with, without, ofTask := play(true, false), play(false, false), play(true, true)
	t.Logf("value of sweeps %.3f with %d restarts, %.3f without; %d restarts where the tail belongs to the task", share(with), with.stopped, share(without), ofTask.stopped)
	if share(with) < share(without) {
		t.Errorf("value of sweeps %.3f with restarts, %.3f without", share(with), share(without))
	}
	if ofTask.stopped > 15 || ofTask.stopped > with.stopped/2 {
		t.Errorf("%d restarts although none helps", ofTask.stopped)
	}
}
