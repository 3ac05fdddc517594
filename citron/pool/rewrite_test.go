package pool

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// rewriteAll plans until everything is recorded again and returns the newest record of each job since then.
func (r *rig) rewriteAll() map[citron.JobID]*work.Progress {
	r.t.Helper()
	if !r.p.Rewrite() {
		r.t.Fatal("the pool knows all jobs and does not record them again")
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
	r.t.Fatal("the rewriting does not end")
	return nil
}

func TestRewritingRecordsEveryJob(t *testing.T) {
	r := newRig(t)
	r.workers(2)
	// Long ids make the records of the ended jobs larger than one plan takes.
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
		t.Errorf("%d jobs recorded again, want %d", len(found), ended+1)
	}
	if one := found[citron.JobID(fmt.Sprintf("ended-%060d", 7))]; one.GetState() != work.State_STATE_FAILED || one.GetEndedMs() != 7 || one.GetNextOccurrence() != 1 {
		t.Errorf("an ended job is recorded as %v", one)
	}
	if len(before.Starts) != 0 && len(found["open"].GetOpen()) == 0 {
		t.Errorf("an open job with a start is recorded as %v", found["open"])
	}
}

func TestJobsAreNotRecordedAgainBeforeAllAreKnown(t *testing.T) {
	r := newRig(t)
	r.takeOver()
	if r.p.Rewrite() {
		t.Error("records everything again although jobs may be unknown")
	}
}
