package crash

import "testing"

func TestTaskIsGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		crashes []Crash
		// givenUp is the crash, counted from 1, after which the task is given up; 0 if it is not.
		givenUp int
	}{
		"only suspect in the second crash": {
			[]Crash{{Run: 1, Suspected: true, Begun: true}, {Run: 2, Suspected: true, Begun: true, Alone: true}}, 2,
		},
		"first suspected alone": {
			[]Crash{{Run: 1, Suspected: true, Begun: true, Alone: true}, {Run: 2, Suspected: true, Begun: true}}, 0,
		},
		"suspected with others": {
			[]Crash{{Run: 1, Suspected: true, Begun: true}, {Run: 2, Suspected: true, Begun: true}, {Run: 3, Suspected: true, Begun: true}}, 3,
		},
		"never suspected":           {[]Crash{{Run: 1, Begun: true}, {Run: 2, Begun: true}, {Run: 3, Begun: true}, {Run: 4, Begun: true}}, 0},
		"starts were not answered":  {[]Crash{{Run: 1, Suspected: true, Alone: true}, {Run: 2, Suspected: true, Alone: true}, {Run: 3, Suspected: true, Alone: true}}, 0},
		"fourth start not answered": {[]Crash{{Run: 1}, {Run: 2}, {Run: 3}, {Run: 4, Suspected: true, Alone: true}}, 4},
		"fifth crash with others":   {[]Crash{{Run: 1}, {Run: 2}, {Run: 3}, {Run: 4, Suspected: true, Begun: true}, {Run: 5, Suspected: true}}, 5},
		"one run reported twice":    {[]Crash{{Run: 1, Suspected: true, Begun: true, Alone: true}, {Run: 1, Suspected: true, Begun: true, Alone: true}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var h History
			got := 0
			for n, c := range tc.crashes {
				if h.Record(c) && got == 0 {
					got = n + 1
				}
			}
			if got != tc.givenUp {
				t.Errorf("given up after crash %d, want %d", got, tc.givenUp)
			}
		})
	}
}

func TestSettledTaskIsNoLongerSuspected(t *testing.T) {
	var h History
	h.Record(Crash{Run: 1, Suspected: true, Begun: true, Alone: true})
	if !h.Exclusive() {
		t.Fatal("a suspected task may share its worker with starts, want not")
	}
	if !h.Settled() || h.Exclusive() {
		t.Fatal("a settled task is still suspected")
	}
	if h.Record(Crash{Run: 2, Suspected: true, Begun: true, Alone: true}) {
		t.Error("a task that has settled in between is given up after its second crash")
	}
}

func TestTaskStartsAloneAfterToleratedCrashes(t *testing.T) {
	var h History
	for run := range int32(tolerated) {
		if h.Exclusive() {
			t.Fatalf("a task that was never suspected may not share its worker after %d crashes", run)
		}
		h.Record(Crash{Run: run + 1, Begun: true})
	}
	if !h.Exclusive() {
		t.Errorf("the task may share its worker with other starts after %d crashes, want not", tolerated)
	}
	if h.Settled(); h.Exclusive() || h.Tolerated() {
		t.Error("the crashes count although a run has settled since")
	}
}
