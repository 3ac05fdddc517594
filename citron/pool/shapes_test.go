package pool

import "testing"

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
