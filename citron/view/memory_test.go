package view

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/work"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// doneTasks returns the records of tasks that have ended.
func doneTasks(n int) (list []*work.Task) {
	for i := range n {
		list = append(list, &work.Task{Index: int32(i), Run: 1, State: work.TaskState_TASK_STATE_DONE})
	}
	return list
}

// Guards against daemons that keep many times the bytes of the progress of each job.
func TestProgressTakesAboutItsRecord(t *testing.T) {
	const jobs, perRecord = 200, 250
	v := &View{}
	before, recorded := heapBytes(), int64(0)
	add := func(key string, m proto.Message) {
		r := newRecord(t, key, m)
		recorded += int64(r.Size())
		v.Apply(r)
	}
	for n := range jobs {
		id := fmt.Sprintf("%016x", n)
		add(pool.JobKey+id, &work.Job{ID: id, Queue: "q", Steps: []*work.Step{{Tasks: 2 * perRecord}}})
		add(pool.ProgressKey+id, &work.Progress{JobID: id, Epoch: 1, Number: 1, Open: []*work.Occurrence{{Tasks: doneTasks(perRecord)}}})
		add(pool.PartKey+id+"/0", &work.Part{JobID: id, Epoch: 1, Number: 2, Tasks: doneTasks(perRecord)})
	}
	// A kilobyte is for the entry with the decoded job.
	if took, most := heapBytes()-before, 2*recorded+jobs<<10; took > most {
		t.Errorf("records of %d KB take %d KB, want at most %d KB", recorded>>10, took>>10, most>>10)
	}
	e, _ := v.Get("0000000000000007")
	progress, err := e.FullProgress()
	if err != nil || len(progress.GetOpen()[0].GetTasks()) != perRecord {
		t.Errorf("progress %v, error %v, want %d tasks", progress, err, perRecord)
	}
	parts, err := e.Parts()
	if err != nil || len(parts) != 1 || len(parts[0].GetTasks()) != perRecord {
		t.Errorf("parts %v, error %v, want one of %d tasks", parts, err, perRecord)
	}
	runtime.KeepAlive(v)
}

// Guards against ended jobs that take as much memory as they did before their end, whichever record is read first.
func TestEndedJobKeepsWhatCallersAskFor(t *testing.T) {
	spec := &work.Job{ID: "j", Queue: "q", Team: "team", Payload: strings.Repeat("p", 40), AcceptedBy: "front", AcceptedMs: 7, Steps: []*work.Step{{Tasks: 9}}}
	job := newRecord(t, pool.JobKey+"j", spec)
	done := newRecord(t, pool.ProgressKey+"j", &work.Progress{JobID: "j", State: work.State_STATE_CANCELLED, Epoch: 1, Number: 2})
	stopping := newRecord(t, pool.ProgressKey+"j", &work.Progress{JobID: "j", State: work.State_STATE_CANCELLED, Epoch: 1, Number: 1, Open: []*work.Occurrence{{Tasks: doneTasks(1)}}})
	v := &View{}
	v.Apply(job, stopping)
	if e, _ := v.Get("j"); !proto.Equal(e.Spec, spec) {
		t.Errorf("spec %v while runs are being stopped, want the accepted one", e.Spec)
	}
	for _, records := range [][]int{{0, 1}, {1, 0}, {0, 1, 0}} {
		v := &View{}
		for _, n := range records {
			if n == 0 {
				v.Apply(job)
			} else {
				v.Apply(done)
			}
		}
		e, _ := v.Get("j")
		want := &work.Job{ID: "j", Queue: "q", Team: "team", AcceptedBy: "front", AcceptedMs: 7, PayloadOmitted: true}
		if !proto.Equal(e.Spec, want) || e.State() != work.State_STATE_CANCELLED {
			t.Errorf("order %v: spec %v, state %v, want %v and cancelled", records, e.Spec, e.State(), want)
		}
	}
}
