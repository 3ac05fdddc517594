package state

import (
	"flag"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/record"
)

// TestMain fixes the seed, so that every run tests the same sequences.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const templateSource = "Team = \"t\"\nService = \"s\"\n[[Classes]]\nName = \"c\"\nUrgency = \"Batch\"\nDeadlineMs = 1\nRunBoundMs = 1\n"

func templateEntry(base uint64) *record.Entry {
	return &record.Entry{Body: &record.Entry_TemplateChange{TemplateChange: &record.TemplateChange{Team: "t", BaseVersion: base, Source: templateSource}}}
}

// Guards against a stale change or an older snapshot that lowers the version of a template.
func TestTemplateVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var templates Templates
		last := citron.Version(0)
		old := templates.Snapshot()
		for n := range 20 {
			switch rapid.IntRange(0, 2).Draw(r, "event") {
			case 0:
				templates.Apply(citron.Offset(n), templateEntry(uint64(rapid.IntRange(0, 5).Draw(r, "base"))))
			case 1:
				templates.Restore(old)
			case 2:
				old = templates.Snapshot()
			}
			current, _ := templates.Get("t")
			if current.Version < last {
				r.Fatalf("version went from %d to %d", last, current.Version)
			}
			last = current.Version
		}
	})
}

// intentEntry returns an intent of the request t/q.
func intentEntry(id string, epoch uint64) *record.Entry {
	return &record.Entry{ID: id, Epoch: epoch, Body: &record.Entry_Intent{Intent: &record.Intent{Team: "t", RequestID: "q"}}}
}

// outcomeEntry returns an outcome of the request t/q.
func outcomeEntry(id string, epoch uint64, outcome record.Outcome) *record.Entry {
	body := &record.CallOutcome{IntentID: id, Team: "t", RequestID: "q", Outcome: outcome}
	return &record.Entry{Epoch: epoch, Body: &record.Entry_CallOutcome{CallOutcome: body}}
}

// Guards against late or repeated records, and records of a former owner, that change an intent that they do not belong to.
func TestLateRecordsChangeNoIntent(t *testing.T) {
	key := CallKey{Team: "t", RequestID: "q"}
	var calls Calls
	calls.Apply(0, outcomeEntry("1", 1, record.Outcome_OUTCOME_NOT_RUN))
	calls.Apply(1, intentEntry("2", 1))
	calls.Apply(2, intentEntry("1", 1))
	calls.Apply(3, outcomeEntry("1", 1, record.Outcome_OUTCOME_NOT_RUN))
	if i, ok := calls.Get(key); !ok || i.ID != "2" {
		t.Errorf("late records of intent 1, which did not run, changed the request's intent: got %+v, known %t; want intent 2", i, ok)
	}
	calls.Apply(4, &record.Entry{Epoch: 2, Body: &record.Entry_Fence{Fence: &record.Fence{}}})
	calls.Apply(5, outcomeEntry("2", 1, record.Outcome_OUTCOME_NOT_RUN))
	if _, ok := calls.Get(key); !ok {
		t.Error("an outcome of a fenced epoch removed an intent that may have run")
	}
	var copied Calls
	copied.Restore(calls.Snapshot())
	copied.Apply(6, intentEntry("1", 2))
	if i, _ := copied.Get(key); i.ID != "2" {
		t.Errorf("after restoring a snapshot a late copy of intent 1 was applied: got %+v, want intent 2", i)
	}
}

// Guards against snapshots that lose fields of a job, and against a second placement of one attempt.
func TestJobsSnapshotRestoresState(t *testing.T) {
	var jobs Jobs
	spec := &record.JobSpec{Team: "t", Class: "c", Tasks: 2}
	jobs.Apply(0, &record.Entry{Body: &record.Entry_JobAccepted{JobAccepted: &record.JobAccepted{JobID: "j", Spec: spec}}})
	place := &record.TaskPlace{JobID: "j", Task: 1, Attempt: 1, Worker: "w", WorkerIncarnation: 7}
	jobs.Apply(1, &record.Entry{Body: &record.Entry_Placement{Placement: &record.Placement{Tasks: []*record.TaskPlace{place}}}})
	other := &record.TaskPlace{JobID: "j", Task: 1, Attempt: 1, Worker: "x"}
	jobs.Apply(2, &record.Entry{Body: &record.Entry_Placement{Placement: &record.Placement{Tasks: []*record.TaskPlace{other}}}})
	var copied Jobs
	copied.Restore(jobs.Snapshot())
	if !proto.Equal(copied.Snapshot().GetJobs()[0], jobs.Snapshot().GetJobs()[0]) {
		t.Error("the snapshot of a restored state differs from the one that it was restored from")
	}
	copied.View("j", func(j *Job) {
		if j.Tasks[1].Worker != "w" || j.Tasks[1].WorkerIncarnation != 7 {
			t.Errorf("the second placement of an attempt was applied: got %+v, want worker w, incarnation 7", j.Tasks[1])
		}
	})
}

func FuzzFolds(f *testing.F) {
	raw, err := proto.Marshal(intentEntry("1", 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var e record.Entry
		if proto.Unmarshal(raw, &e) != nil {
			return
		}
		for _, fold := range []citron.Fold{&Owners{}, &Templates{}, &Calls{}, &Jobs{}} {
			fold.Apply(0, &e)
			fold.Restore(e.GetSnapshot())
			_ = fold.Snapshot()
		}
	})
}
