package holder

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/work"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// memoryShapes are the jobs of TestJobsTakeWhatIsCounted and how many of each are accepted.
var memoryShapes = []struct {
	name   string
	jobs   int
	steps  int
	step   *work.Step
	change func(*work.Job)
}{
	{name: "quick", jobs: 5000, steps: 1, step: &work.Step{Tasks: 2, MilliCores: 2800}},
	{name: "long payload", jobs: 2000, steps: 1, step: &work.Step{Tasks: 2}, change: func(j *work.Job) { j.Payload = strings.Repeat("p", 4000) }},
	{name: "20,000 tasks", jobs: 20, steps: 1, step: &work.Step{Tasks: 20_000, MilliCores: 2000}},
	{name: "300 tasks", jobs: 1000, steps: 1, step: &work.Step{Tasks: 300, MilliCores: 2000}},
	{name: "gang", jobs: 1000, steps: 1, step: &work.Step{Tasks: 300, MilliCores: 2000, Gang: true}},
	{name: "many steps", jobs: 60, steps: 256, step: &work.Step{Tasks: 1, MilliCores: 200}},
	{name: "long names", jobs: 60, steps: 230, step: &work.Step{Tasks: 1, Image: strings.Repeat("i", 1000)}},
	{name: "many dependencies", jobs: 30, steps: 256, step: &work.Step{Tasks: 1}, change: func(j *work.Job) {
		for n, s := range j.GetSteps() {
			for before := range n {
				s.After = append(s.After, int32(before))
			}
		}
	}},
	{name: "filling", jobs: 100, steps: 1, step: &work.Step{Tasks: 2000, Fills: true, Image: "fill"}},
	{name: "occurrences", jobs: 20, steps: 2, step: &work.Step{Tasks: 5}, change: func(j *work.Job) {
		j.Schedule = &work.Schedule{FirstMs: 1, IntervalMs: 1, Repeats: 1 << 30}
	}},
}

// memoryOf measures what a daemon takes for jobs whose records it reads before it holds the pool. The result for each stage is the
// measured size and the counted one.
type memoryOf struct {
	t *testing.T
	v *view.View
	h *Holder
}

func newMemoryOf(t *testing.T) *memoryOf {
	clock := &timer.Immediate{}
	clock.Advance(time.Hour)
	m := &memoryOf{t: t, v: &view.View{Ledger: &admit.Ledger{}}}
	m.h = &Holder{Timer: clock, View: m.v}
	return m
}

// apply passes a record to the view.
func (m *memoryOf) apply(key string, r proto.Message) {
	m.t.Helper()
	value, err := proto.Marshal(r)
	if err != nil {
		m.t.Fatal(err)
	}
	m.v.Apply(citron.KeyedRecord{Key: key, Value: value})
}

// endedTasks returns the records of all tasks of a job but the last one of each step, which has not started.
func endedTasks(j *work.Job) (list []*work.Task) {
	for n, s := range j.GetSteps() {
		for i := range s.GetTasks() - 1 {
			list = append(list, &work.Task{Step: int32(n), Index: i, Run: 1, State: work.TaskState_TASK_STATE_DONE})
		}
	}
	return list
}

// applyProgress passes the progress of a job of which almost all tasks have ended, in parts as the pool divides them.
func (m *memoryOf) applyProgress(j *work.Job) {
	const perPart = 256
	tasks := endedTasks(j)
	open := &work.Occurrence{}
	if len(tasks) > perPart {
		open.Parts = int32((len(tasks) + perPart - 1) / perPart)
		for n := range open.GetParts() {
			part := tasks[n*perPart : min(int(n+1)*perPart, len(tasks))]
			m.apply(pool.NameOfPart(citron.JobID(j.GetID()), n), &work.Part{JobID: j.GetID(), Index: n, Tasks: part, Epoch: 1, Number: uint64(n) + 2})
		}
	} else {
		open.Tasks = tasks
	}
	m.apply(pool.ProgressKey+j.GetID(), &work.Progress{
		JobID: j.GetID(), State: work.State_STATE_RUNNING, NextOccurrence: 1, Parts: open.GetParts(), Open: []*work.Occurrence{open}, Epoch: 1, Number: 1,
	})
}

// TestJobsTakeWhatIsCounted guards against jobs that take more memory than they are counted with when they are accepted: while they
// wait, when most of their tasks have ended and after their end.
func TestJobsTakeWhatIsCounted(t *testing.T) {
	for _, shape := range memoryShapes {
		for _, stage := range []string{"waiting", "running", "ended"} {
			m := newMemoryOf(t)
			before, jobs := heapBytes(), shape.jobs
			if stage == "ended" {
				jobs = 5000 // So many that what an empty daemon takes is little beside them.
			}
			for n := range jobs {
				j := &work.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", AcceptedBy: "front-a", AcceptedMs: 1, Terms: &work.Terms{Service: "svc", Attempts: 3, Advice: &work.Advice{DecideUs: 1}}}
				for range shape.steps {
					j.Steps = append(j.Steps, proto.CloneOf(shape.step))
				}
				if shape.change != nil {
					shape.change(j)
				}
				m.apply(pool.JobKey+j.GetID(), j)
				switch {
				case stage == "running" && j.GetSchedule() == nil:
					m.applyProgress(j)
				case stage == "ended":
					m.apply(pool.ProgressKey+j.GetID(), &work.Progress{JobID: j.GetID(), State: work.State_STATE_COMPLETED, NextOccurrence: 1, EndedMs: 1, Epoch: 1, Number: 9})
				}
			}
			hold(m.h, 1)
			if _, err := m.h.Pool.Plan(m.h.Timer.Now()); err != nil {
				t.Fatal(err)
			}
			took, counted := heapBytes()-before, m.v.Ledger.Total()
			if most := int64(counted.Open + counted.Ended); took > most {
				t.Errorf("%s, %s: %d jobs take %d KB, %d bytes each, counted as %d KB", shape.name, stage, jobs, took>>10, took/int64(jobs), most>>10)
			} else {
				t.Logf("%s, %s: %d bytes each, counted as %d", shape.name, stage, took/int64(jobs), most/int64(jobs))
			}
			if stage == "ended" && counted.Open != 0 {
				t.Errorf("%s: %d bytes are counted as open after the end of all jobs", shape.name, counted.Open)
			}
			runtime.KeepAlive(m)
		}
	}
}
