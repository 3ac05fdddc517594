package pool

import (
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/schema/work"
)

// TestOneJobCostsAboutAsMuchAsManySmallOnes guards against a job that makes plans take seconds, since they look at each of its tasks for
// each worker.
func TestOneJobCostsAboutAsMuchAsManySmallOnes(t *testing.T) {
	const workers = 48
	usual := jobShapes[0].measure(t, workers).looks
	for _, s := range jobShapes[1:] {
		if got := s.measure(t, workers).looks; got > 2*usual {
			t.Errorf("%s: a plan looks at %d workers and tasks, and at %d with as many tasks in small jobs", s.name, got, usual)
		}
	}
}

// TestGangsWithoutWorkersCostAsMuchAsSmallJobs guards against gangs that each look at all workers in every plan, although they fit nowhere.
func TestGangsWithoutWorkersCostAsMuchAsSmallJobs(t *testing.T) {
	const workers = 48
	usual := jobShapes[0].measure(t, workers).looks
	if got := gangsApart.measure(t, workers).looks; got > 2*usual {
		t.Errorf("a plan looks at %d workers and tasks, and at %d with as many tasks in small jobs", got, usual)
	}
}

// TestOverdueOccurrencesAreOpenedInTurn guards against a schedule that begins in the past, all occurrences of which are opened at once.
func TestOverdueOccurrencesAreOpenedInTurn(t *testing.T) {
	const repeats = 300
	r := newRig(t)
	r.workers(4)
	j := newJob("often", newStep(100, 1))
	j.Schedule = &work.Schedule{FirstMs: r.now.Wall.UnixMilli() - 86_400_000, IntervalMs: 1000, Repeats: repeats}
	r.accept(j)
	ends := 0
	for most := 0; ends < repeats*100; {
		starts := r.plan().Starts
		if len(starts) == 0 {
			t.Fatalf("nothing starts after %d ends", ends)
		}
		open := 0
		for _, o := range r.p.jobs["often"].open {
			for _, s := range o.steps {
				open += s.tasks.size
			}
		}
		if most = max(most, open); most > admit.MaxOpenTasks {
			t.Fatalf("%d tasks are open, want at most %d", open, admit.MaxOpenTasks)
		}
		for _, s := range starts {
			r.end(s, citron.EndDone)
			ends++
		}
	}
	if r.plan(); r.state("often") != work.State_STATE_COMPLETED {
		t.Errorf("state %v after the end of all tasks", r.state("often"))
	}
}
