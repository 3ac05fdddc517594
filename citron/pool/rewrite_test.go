package pool

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// rewriteAll plans until a rewrite is complete and returns the newest record of each job in it.
func (r *rig) rewriteAll() map[citron.JobID]*work.Progress {
	r.t.Helper()
	if !r.p.Rewrite() {
		r.t.Fatal("Rewrite returned false although all jobs are known")
	}
	found := map[citron.JobID]*work.Progress{}
	for range 1000 {
		e, err := r.p.Plan(r.now)
		if err != nil {
			r.t.Fatal(err)
		}
		for _, k := range e.Records {
			var progress work.Progress
			if err := proto.Unmarshal(k.Value, &progress); err != nil {
				r.t.Fatal(err)
			}
			found[citron.JobID(progress.GetJobID())] = &progress
		}
		if e.Rewritten {
			return found
		}
	}
	r.t.Fatal("rewrite not complete after 1000 plans")
	return nil
}

func TestRewritingRecordsEveryJob(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	// Long ids make the records of the ended jobs exceed maxRewriteBytes.
	const ended = 2000
	for n := range ended {
		id := fmt.Sprintf("ended-%060d", n)
		r.p.Accept(r.now, newJob(id, newStep(1, 1)), &work.Progress{JobID: id, State: work.State_STATE_FAILED, NextOccurrence: 1, EndedMs: int64(n)})
	}
	r.p.Accept(r.now, newJob("open", newStep(1, 1)), nil)
	before, err := r.p.Plan(r.now)
	if err != nil {
		t.Fatal(err)
	}
	found := r.rewriteAll()
	if len(found) != ended+1 {
		t.Errorf("%d jobs in the rewrite, want %d", len(found), ended+1)
	}
	if p := found[citron.JobID(fmt.Sprintf("ended-%060d", 7))]; p.GetState() != work.State_STATE_FAILED || p.GetEndedMs() != 7 || p.GetNextOccurrence() != 1 {
		t.Errorf("record of ended job 7 is %v", p)
	}
	if len(before.Starts) != 0 && len(found["open"].GetOpen()) == 0 {
		t.Errorf("record of the open job %v has no open occurrence, although a run was started", found["open"])
	}
}

func TestNoRewriteBeforeAllJobsAreKnown(t *testing.T) {
	r := newRig(t)
	r.takeOver()
	if r.p.Rewrite() {
		t.Error("Rewrite returned true although jobs may be unknown")
	}
}
