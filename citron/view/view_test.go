package view

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/work"
)

func newRecord(t *testing.T, key string, m proto.Message) citron.KeyedRecord {
	t.Helper()
	value, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return citron.KeyedRecord{Key: key, Value: value}
}

func apply(v *View, records ...citron.KeyedRecord) {
	v.Apply(records...)
}

// Guards against a job whose payload has been removed and that another team takes over by submitting its id again.
func TestSpecOfAnotherTeamAddsNoPayload(t *testing.T) {
	v := &View{}
	apply(v, newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "q", Team: "a", PayloadOmitted: true}))
	apply(v, newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "q", Team: "b", Payload: "other"}))
	if e, _ := v.Get("j"); e.Spec.GetTeam() != "a" || e.Spec.GetPayload() != "" {
		t.Errorf("job %v after another team's record, want the first one", e.Spec)
	}
	apply(v, newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "q", Team: "a", Payload: "own"}))
	if e, _ := v.Get("j"); e.Spec.GetPayload() != "own" {
		t.Errorf("job %v, want the payload of its team's record", e.Spec)
	}
}

// Guards against daemons that disagree for good about the team of a job whose id two teams have used at the same time.
func TestPartitionDecidesWhichTeamsRecordIsFirst(t *testing.T) {
	first := newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "qa", Team: "a", Payload: "first"})
	second := newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "qb", Team: "b", Payload: "second"})
	for name, sent := range map[string][]citron.KeyedRecord{"none": nil, "the first": {first}, "the second": {second}, "both": {second, first}} {
		v := &View{}
		apply(v, sent...)
		s := v.NewSource()
		for range 2 {
			s.Apply(citron.KeyedBatch{Records: []citron.KeyedRecord{first, second}}, false)
		}
		apply(v, sent...)
		if e, _ := v.Get("j"); e.Spec.GetTeam() != "a" || e.Spec.GetPayload() != "first" || v.Pending("qa") != 1 || v.Pending("qb") != 0 {
			t.Errorf("%s sent before: job %v, %d and %d pending, want the partition's first record", name, e.Spec, v.Pending("qa"), v.Pending("qb"))
		}
	}
}

func TestProgressOnlyGoesForward(t *testing.T) {
	v := &View{}
	apply(v, newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "q"}))
	if v.Pending("q") != 1 {
		t.Error("an accepted job is not counted as pending")
	}
	done := newRecord(t, pool.ProgressKey+"j", &work.Progress{State: work.State_STATE_COMPLETED, Epoch: 2, Number: 1})
	older := newRecord(t, pool.ProgressKey+"j", &work.Progress{State: work.State_STATE_RUNNING, Epoch: 1, Number: 9})
	apply(v, done, older)
	if e, _ := v.Get("j"); e.State() != work.State_STATE_COMPLETED {
		t.Errorf("state %v after an older progress record, want that of the newer one", e.State())
	}
	if v.Pending("q") != 0 {
		t.Error("a completed job is counted as pending")
	}
	apply(v, citron.KeyedRecord{Key: pool.CancelKey + "j", Value: []byte{1}})
	if e, _ := v.Get("j"); e.State() != work.State_STATE_COMPLETED {
		t.Errorf("state %v after the cancellation of a completed job, want it unchanged", e.State())
	}
}

func TestFirstSpecWinsAndUnreadableRecordsAreSkipped(t *testing.T) {
	unreadable := 0
	v := &View{Unreadable: func(string, error) { unreadable++ }}
	apply(v, citron.KeyedRecord{Key: pool.JobKey + "j", Value: []byte{0xff}}, citron.KeyedRecord{Key: "other", Value: []byte{1}}, citron.KeyedRecord{})
	if _, ok := v.Get("j"); ok || unreadable != 1 {
		t.Errorf("job known %t after %d unreadable records, want false after 1", ok, unreadable)
	}
	apply(v, newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "q", Payload: "first"}), newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "q", Payload: "second"}))
	if e, _ := v.Get("j"); e.Spec.GetPayload() != "first" {
		t.Errorf("payload %q, want that of the first spec", e.Spec.GetPayload())
	}
	apply(v, citron.KeyedRecord{Key: pool.JobKey + "j"})
	if _, ok := v.Get("j"); ok || v.Pending("q") != 0 {
		t.Error("a removed job is still known or pending")
	}
}

func TestListenerReceivesKnownAndLaterJobs(t *testing.T) {
	v := &View{}
	apply(v, newRecord(t, pool.JobKey+"a", &work.Job{ID: "a"}))
	received := map[citron.JobID]bool{}
	v.SetListener(func(id citron.JobID, _ Entry) { received[id] = true })
	apply(v, newRecord(t, pool.JobKey+"b", &work.Job{ID: "b"}))
	v.SetListener(nil)
	apply(v, newRecord(t, pool.JobKey+"c", &work.Job{ID: "c"}))
	if !received["a"] || !received["b"] || received["c"] {
		t.Errorf("the listener received %v, want a and b", received)
	}
}

// A state that the holder announces is shown before its record is read. The record itself must still be taken, since a daemon
// that takes over needs all of it.
func TestAnnouncedStateIsShownUntilItsRecordIsRead(t *testing.T) {
	v := &View{}
	v.Announce("j", work.State_STATE_RUNNING, 3, 1)
	if _, known := v.Get("j"); known {
		t.Fatal("an announcement makes a job known")
	}
	apply(v, newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "q"}))
	v.Announce("j", work.State_STATE_RUNNING, 3, 1)
	v.Announce("j", work.State_STATE_QUEUED, 2, 9)
	if e, _ := v.Get("j"); e.State() != work.State_STATE_RUNNING || e.Progress != nil || v.Pending("q") != 0 {
		t.Errorf("state %v, progress %v, %d pending; want running, none, 0", e.State(), e.Progress, v.Pending("q"))
	}
	apply(v, newRecord(t, pool.ProgressKey+"j", &work.Progress{State: work.State_STATE_RUNNING, Epoch: 3, Number: 1, NextOccurrence: 1}))
	if e, _ := v.Get("j"); e.Progress.GetNextOccurrence() != 1 || e.announced != nil {
		t.Errorf("progress %v after its record was read, want that of the record", e.Progress)
	}
	apply(v, newRecord(t, pool.ProgressKey+"j", &work.Progress{State: work.State_STATE_COMPLETED, Epoch: 4, Number: 1}))
	v.Announce("j", work.State_STATE_RUNNING, 3, 2)
	if e, _ := v.Get("j"); e.State() != work.State_STATE_COMPLETED {
		t.Errorf("state %v after an announcement of a former holder, want completed", e.State())
	}
}

// The holder learns of a job without its payload first. The stored record adds the payload and changes nothing else.
func TestStoredRecordAddsThePayloadToABrief(t *testing.T) {
	v := &View{}
	apply(v, newRecord(t, pool.BriefKey+"j", &work.Job{ID: "j", Queue: "q", PayloadOmitted: true}))
	if e, known := v.Get("j"); !known || !e.Spec.GetPayloadOmitted() {
		t.Fatalf("known %t, spec %v; want the brief", known, e.Spec)
	}
	apply(v, newRecord(t, pool.JobKey+"j", &work.Job{ID: "j", Queue: "q", Payload: "p"}), newRecord(t, pool.BriefKey+"j", &work.Job{ID: "j", Queue: "q", PayloadOmitted: true}))
	if e, _ := v.Get("j"); e.Spec.GetPayload() != "p" || e.Spec.GetPayloadOmitted() || v.Pending("q") != 1 {
		t.Errorf("spec %v, %d pending; want the payload and 1", e.Spec, v.Pending("q"))
	}
}

// TestListenerIsToldOfNoJobWithoutItsSpec guards against a new holder that ends at the progress of a job which it has not read yet.
func TestListenerIsToldOfNoJobWithoutItsSpec(t *testing.T) {
	v := &View{}
	apply(v, newRecord(t, pool.ProgressKey+"a", &work.Progress{JobID: "a", State: work.State_STATE_RUNNING, NextOccurrence: 1, Open: []*work.Occurrence{{}}}))
	apply(v, newRecord(t, pool.JobKey+"b", &work.Job{ID: "b", Queue: "q"}))
	told := map[citron.JobID]int{}
	v.SetListener(func(id citron.JobID, e Entry) {
		if told[id]++; e.Spec == nil {
			t.Errorf("told of job %s without its spec", id)
		}
	})
	apply(v, newRecord(t, pool.JobKey+"a", &work.Job{ID: "a", Queue: "q"}))
	if told["a"] != 1 || told["b"] != 1 {
		t.Errorf("told of a %d times and of b %d times, want once each", told["a"], told["b"])
	}
}
