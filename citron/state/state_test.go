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

// TestMain fixes the seed of the drawn schedules, so that every run is the same.
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

func TestTemplatesOnlyGoForward(t *testing.T) {
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
			now, _ := templates.Get("t")
			if now.Version < last {
				r.Fatalf("version went from %d to %d", last, now.Version)
			}
			last = now.Version
		}
	})
}

// intentEntry and closing are records about one request, in an epoch.
func intentEntry(id string, epoch uint64) *record.Entry {
	return &record.Entry{ID: id, Epoch: epoch, Body: &record.Entry_Intent{Intent: &record.Intent{Team: "t", RequestID: "q"}}}
}

func outcomeEntry(id string, epoch uint64, outcome record.Outcome) *record.Entry {
	body := &record.CallOutcome{IntentID: id, Team: "t", RequestID: "q", Outcome: outcome}
	return &record.Entry{Epoch: epoch, Body: &record.Entry_CallOutcome{CallOutcome: body}}
}

func TestLateRecordsNeverReopenARequest(t *testing.T) {
	key := CallKey{Team: "t", RequestID: "q"}
	var calls Calls
	calls.Apply(0, outcomeEntry("1", 1, record.Outcome_OUTCOME_NOT_RUN))
	calls.Apply(1, intentEntry("2", 1))
	calls.Apply(2, intentEntry("1", 1))
	calls.Apply(3, outcomeEntry("1", 1, record.Outcome_OUTCOME_NOT_RUN))
	if i, ok := calls.Get(key); !ok || i.ID != "2" {
		t.Errorf("late records of a closed intent changed the open one: %+v %t", i, ok)
	}
	calls.Apply(4, &record.Entry{Epoch: 2, Body: &record.Entry_Fence{Fence: &record.Fence{}}})
	calls.Apply(5, outcomeEntry("2", 1, record.Outcome_OUTCOME_NOT_RUN))
	if _, ok := calls.Get(key); !ok {
		t.Error("a former owner closed an intent behind the fence")
	}
	var copied Calls
	copied.Restore(calls.Snapshot())
	copied.Apply(6, intentEntry("1", 2))
	if i, _ := copied.Get(key); i.ID != "2" {
		t.Errorf("after a snapshot: %+v", i)
	}
}

func TestJobsSnapshotIsTheState(t *testing.T) {
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
		t.Error("a restored snapshot differs")
	}
	copied.View("j", func(j *Job) {
		if j.Tasks[1].Worker != "w" || j.Tasks[1].WorkerIncarnation != 7 {
			t.Errorf("the second placement of one attempt won: %+v", j.Tasks[1])
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
