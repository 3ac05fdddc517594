package view

import (
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/work"
)

// newPart returns a record of a part of job a.
func newPart(t *testing.T, index int32, epoch, number uint64) citron.KeyedRecord {
	t.Helper()
	return newRecord(t, pool.NameOfPart("a", index), &work.Part{JobID: "a", Index: index, Epoch: epoch, Number: number, Tasks: []*work.Task{{Run: int32(number)}}})
}

// runs returns the run numbers in the parts of job a.
func runs(t *testing.T, v *View) (list []int32) {
	t.Helper()
	e, known := v.Get("a")
	if !known {
		t.Fatal("job a is not known")
	}
	parts, err := e.Parts()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range parts {
		list = append(list, p.GetTasks()[0].GetRun())
	}
	return list
}

func TestNewestRecordOfEachPartCounts(t *testing.T) {
	v := &View{}
	apply(v, newPart(t, 0, 2, 1), newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}), newPart(t, 1, 1, 9), newPart(t, 0, 1, 7), newPart(t, 1, 1, 8))
	if got := runs(t, v); len(got) != 2 || got[0] != 1 || got[1] != 9 {
		t.Errorf("runs %v, want 1 and 9", got)
	}
}

func TestPartsAreDroppedAtTheEndOfTheirJob(t *testing.T) {
	v := &View{}
	apply(v, newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}), newPart(t, 0, 1, 1))
	apply(v, newRecord(t, pool.ProgressKey+"a", &work.Progress{JobID: "a", State: work.State_STATE_COMPLETED, Epoch: 1, Number: 2}), newPart(t, 1, 1, 1))
	if got := runs(t, v); len(got) != 0 {
		t.Errorf("runs %v of an ended job, want none", got)
	}
}

// TestReloadForgetsPartsThatTheStoreHasDeleted guards against parts of a removed job that stay in memory.
func TestReloadForgetsPartsThatTheStoreHasDeleted(t *testing.T) {
	v := &View{}
	a, b := v.NewSource(), v.NewSource()
	load(a, newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}), newPart(t, 0, 1, 1), newPart(t, 1, 1, 1))
	load(b, newPart(t, 1, 1, 1))
	load(a, newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}))
	if got := runs(t, v); len(got) != 1 {
		t.Errorf("%d parts, want the one that another partition holds", len(got))
	}
	load(b)
	if got := runs(t, v); len(got) != 0 {
		t.Errorf("%d parts, want none", len(got))
	}
	load(a)
	if got := v.Len(); got != 0 {
		t.Errorf("%d jobs, want none", got)
	}
}

func TestRemovedPartIsForgotten(t *testing.T) {
	v := &View{}
	s := v.NewSource()
	load(s, newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}), newPart(t, 0, 1, 1))
	s.Apply(citron.KeyedBatch{Records: []citron.KeyedRecord{{Key: pool.NameOfPart("a", 0)}}}, false)
	if got := runs(t, v); len(got) != 0 {
		t.Errorf("%d parts, want none", len(got))
	}
}
