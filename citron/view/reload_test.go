package view

import (
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/work"
)

// load passes the newest records of a partition to a view, as a tail does at first and after ErrRecordsDeleted.
func load(s *Source, records ...citron.KeyedRecord) {
	s.Apply(citron.KeyedBatch{Records: records}, true)
}

func TestReloadKeepsJobsAndOtherPartitions(t *testing.T) {
	v := &View{}
	a, b := newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}), newRecord(t, pool.JobKey+"b", &work.Job{ID: "b", Queue: "q"})
	done := newRecord(t, pool.ProgressKey+"a", &work.Progress{JobID: "a", State: work.State_STATE_COMPLETED, Epoch: 2, Number: 5})
	stale := newRecord(t, pool.ProgressKey+"a", &work.Progress{JobID: "a", State: work.State_STATE_RUNNING, Epoch: 1, Number: 9})
	sources := []*Source{v.NewSource(), v.NewSource(), v.NewSource(), v.NewSource()}
	for range 2 {
		load(sources[0], a)
		load(sources[1], b)
		load(sources[2], done)
		load(sources[3], stale)
	}
	if e, ok := v.Get("a"); !ok || e.State() != work.State_STATE_COMPLETED || v.Pending("q") != 1 {
		t.Errorf("known %t, state %v, %d pending after a reload, want true, completed, 1", ok, e.State(), v.Pending("q"))
	}
}

func TestReloadForgetsJobsThatTheStoreHasDeleted(t *testing.T) {
	v := &View{}
	kept := newRecord(t, pool.JobKey+"kept", &work.Job{ID: "kept", Queue: "q"})
	s := v.NewSource()
	load(s, kept, newRecord(t, pool.JobKey+"gone", &work.Job{ID: "gone", Queue: "q"}))
	// The job has ended and has been removed, and the store has deleted the records of both.
	load(s, kept)
	if e, ok := v.Get("gone"); ok || v.Pending("q") != 1 {
		t.Errorf("a job that is not in the store is known %t as %v, %d jobs pending, want false and 1", ok, e.State(), v.Pending("q"))
	}
}

// Guards against a load that removes what only the holder has sent, or what another partition still holds.
func TestReloadKeepsRecordsFromElsewhere(t *testing.T) {
	v := &View{}
	a, b := v.NewSource(), v.NewSource()
	both := newRecord(t, pool.JobKey+"both", &work.Job{ID: "both", Queue: "q"})
	load(a, both)
	load(b, both)
	apply(v, newRecord(t, pool.JobKey+"sent", &work.Job{ID: "sent", Queue: "q"}))
	load(a)
	if v.Pending("q") != 2 {
		t.Errorf("%d jobs pending after a load without them, want 2", v.Pending("q"))
	}
	load(b)
	if _, known := v.Get("both"); known || v.Pending("q") != 1 {
		t.Errorf("job that no partition holds known %t, %d pending, want false and 1", known, v.Pending("q"))
	}
}
