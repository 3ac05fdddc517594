package tries

import "testing"

func TestRunCountsOnce(t *testing.T) {
	var f Failures
	for n, run := range []int32{1, 1, 3, 1, 3} {
		if isNew := f.Record(run); isNew != (n == 0 || n == 2) {
			t.Errorf("record %d of run %d: new %v", n, run, isNew)
		}
	}
	if f.Exhausted(3) || !f.Exhausted(2) {
		t.Errorf("%v: exhausted with 3 attempts %v, with 2 attempts %v; want false, true", f, f.Exhausted(3), f.Exhausted(2))
	}
}

func TestOneAttemptIsAlwaysAllowed(t *testing.T) {
	var f Failures
	if f.Exhausted(0) {
		t.Error("no attempt is left before the first failure")
	}
	f.Record(1)
	if !f.Exhausted(0) {
		t.Error("a second attempt is allowed")
	}
}
