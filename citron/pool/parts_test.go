package pool

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// storeRecordBytes is the size of the largest record that the store accepts.
const storeRecordBytes = 256 << 10

// TestRecordsOfTheLargestJobsFitIntoTheStore guards against a job whose progress the store refuses, after which no progress of any job
// is stored.
func TestRecordsOfTheLargestJobsFitIntoTheStore(t *testing.T) {
	for _, s := range jobShapes {
		if got := s.measure(t, 48).record; got > storeRecordBytes {
			t.Errorf("%s: a record has %d bytes, the store accepts %d", s.name, got, storeRecordBytes)
		}
	}
}

// newSplitRig returns a rig whose records hold two tasks each.
func newSplitRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	r.p.Options.TasksPerRecord = 2
	r.workers(2)
	return r
}

// replaceHolder begins a new epoch with the stored records.
func (r *rig) replaceHolder(jobs ...*work.Job) {
	r.t.Helper()
	r.takeOver()
	r.p.Options.TasksPerRecord = 2
	for _, j := range jobs {
		r.accept(j)
	}
	r.p.MarkAllJobsKnown()
	r.workers(2)
}

// running returns the runs of all tasks of a job that are on a worker.
func (r *rig) running(id string) map[citron.TaskRef]int32 {
	found := map[citron.TaskRef]int32{}
	for _, w := range r.p.byID {
		for ref, t := range w.tasks {
			if t.step.job.id == citron.JobID(id) {
				found[ref] = t.run
			}
		}
	}
	return found
}

func TestNewHolderReadsThePartsOfAJob(t *testing.T) {
	r := newSplitRig(t)
	j := newJob("j", newStep(5, 1), newStep(4, 1))
	r.accept(j)
	e := r.plan()
	r.end(e.Starts[0], citron.EndDone)
	r.plan()
	want := r.running("j")
	r.replaceHolder(j)
	if got := r.running("j"); len(got) != 8 || len(want) != 8 {
		t.Errorf("a new holder knows %d runs, the former one %d, want 8", len(got), len(want))
	}
	if got := r.p.steps["j.0.0"].remaining; got != 4 {
		t.Errorf("%d tasks of the first step remain, want 4", got)
	}
}

func TestOnlyChangedPartsAreRecorded(t *testing.T) {
	r := newSplitRig(t)
	r.accept(newJob("j", newStep(10, 1)))
	first := r.plan()
	if len(first.Records) != 6 {
		t.Errorf("%d records of 10 started tasks, want the progress and 5 parts", len(first.Records))
	}
	r.plan() // The state has changed to running.
	r.end(first.Starts[0], citron.EndDone)
	if e := r.plan(); len(e.Records) != 1 || !strings.HasPrefix(e.Records[0].Key, PartKey) {
		t.Errorf("%d records after the end of one task, want one part", len(e.Records))
	}
}

// TestPartsOfAClosedOccurrenceAreIgnored guards against a new holder that takes the tasks of one occurrence for those of a later one,
// whose parts have the same keys.
func TestPartsOfAClosedOccurrenceAreIgnored(t *testing.T) {
	r := newSplitRig(t)
	j := newJob("j", newStep(5, 1))
	j.Schedule = &work.Schedule{FirstMs: r.now.Wall.UnixMilli(), IntervalMs: 1000, Repeats: 2}
	r.accept(j)
	for _, s := range r.plan().Starts {
		r.end(s, citron.EndDone)
	}
	r.plan()
	former := r.records[NameOfPart("j", 0)]
	r.advance(1000 * 1e6)
	starts := r.plan().Starts
	if len(starts) != 5 || string(former) == string(r.records[NameOfPart("j", 0)]) {
		t.Fatalf("%d starts of the second occurrence, want 5, recorded in the parts of the first", len(starts))
	}
	r.records[NameOfPart("j", 0)] = former
	r.replaceHolder(j)
	if got := len(r.running("j")); got != 3 {
		t.Errorf("%d runs are known, want those in the two newest parts", got)
	}
}

// TestGangOfWhichSomePartsShowTheEndIsDone guards against a gang that never ends, since the holder was lost before it had recorded the
// end for all members.
func TestGangOfWhichSomePartsShowTheEndIsDone(t *testing.T) {
	r := newSplitRig(t)
	j := newJob("j", newGang(5, 1))
	r.accept(j)
	starts := r.plan().Starts
	r.plan()
	started := r.records[NameOfPart("j", 2)]
	progress := r.records[ProgressKey+"j"]
	r.end(starts[0], citron.EndDone)
	r.plan()
	r.records[NameOfPart("j", 2)], r.records[ProgressKey+"j"] = started, progress
	r.replaceHolder(j)
	if r.plan(); r.state("j") != work.State_STATE_COMPLETED {
		t.Errorf("state %v, want completed, since one member has ended as done", r.state("j"))
	}
}

// TestTasksOfACancelledJobAreNotRecordedAsDone guards against a part that is stored before the end of its job is.
func TestTasksOfACancelledJobAreNotRecordedAsDone(t *testing.T) {
	r := newSplitRig(t)
	r.accept(newJob("j", newStep(5, 1)))
	starts := r.plan().Starts
	r.p.Cancel(r.now, "j")
	r.end(starts[0], citron.EndStopped)
	r.plan()
	for _, part := range r.parts("j") {
		for _, task := range part.GetTasks() {
			if task.GetState() == work.TaskState_TASK_STATE_DONE {
				t.Errorf("task %d is recorded as done, want stopped", task.GetIndex())
			}
		}
	}
}

func TestRewritingRecordsEveryPart(t *testing.T) {
	r := newSplitRig(t)
	j := newJob("j", newStep(9, 1))
	r.accept(j)
	r.plan()
	before := len(r.parts("j"))
	r.records = map[string][]byte{}
	if !r.p.Rewrite() {
		t.Fatal("no rewrite although all jobs are known")
	}
	for rewritten := false; !rewritten; {
		rewritten = r.plan().Rewritten
	}
	if got := len(r.parts("j")); got != before || r.progress("j") == nil {
		t.Errorf("%d parts, want %d and the progress", got, before)
	}
}

// TestLongCheckpointsAreDropped guards against a worker whose checkpoints make a record too large for the store.
func TestLongCheckpointsAreDropped(t *testing.T) {
	long := strings.Repeat("x", storeRecordBytes/100)
	for _, tasks := range []int32{60, 100, 300} {
		r := newRig(t)
		r.workers(20)
		j := newJob("j", newStep(tasks, 1))
		j.Schedule = &work.Schedule{FirstMs: r.now.Wall.UnixMilli() - 4000, IntervalMs: 1000, Repeats: 3}
		r.accept(j)
		for _, s := range r.plan().Starts {
			r.p.findTask(s.Order.Task).checkpoint = long
			r.p.changeTask(r.p.findTask(s.Order.Task))
		}
		for _, record := range r.plan().Records {
			if record.Size() > storeRecordBytes {
				t.Errorf("%d tasks: record %s has %d bytes, the store accepts %d", tasks, record.Key, record.Size(), storeRecordBytes)
			}
		}
	}
}

// TestExpiredJobTellsItsParts guards against parts that stay in the store after their job has been removed.
func TestExpiredJobTellsItsParts(t *testing.T) {
	r := newSplitRig(t)
	r.p.Options.Retention = 1
	j := newJob("j", newStep(5, 1))
	r.accept(j)
	for _, s := range r.plan().Starts {
		r.end(s, citron.EndDone)
	}
	r.plan()
	r.replaceHolder(j)
	r.p.Options.Retention = 1
	r.advance(retentionMargin + expireInterval)
	if e := r.plan(); len(e.Expired) != 1 || e.Expired[0] != (ExpiredJob{"j", 3}) {
		t.Errorf("removed jobs %v, want j with 3 parts", e.Expired)
	}
}

// TestProgressOfSmallJobsIsOneRecord guards against more appends for the jobs that are most of the load.
func TestProgressOfSmallJobsIsOneRecord(t *testing.T) {
	r := newRig(t)
	r.workers(20)
	r.accept(newJob("j", newStep(tasksPerRecord, 1)))
	if e := r.plan(); len(e.Records) != 1 || proto.Size(r.progress("j")) == 0 {
		t.Errorf("%d records, want 1", len(e.Records))
	}
}

// TestRecordOfAJobWithoutStepsIsHarmless guards against a record that ends one holder after the other.
func TestRecordOfAJobWithoutStepsIsHarmless(t *testing.T) {
	r := newRig(t)
	r.p.Accept(r.now, &work.Job{ID: "j"}, &work.Progress{JobID: "j", State: work.State_STATE_RUNNING, NextOccurrence: 1, Open: []*work.Occurrence{{Tasks: []*work.Task{{Run: 1}}}}})
	r.plan()
}
