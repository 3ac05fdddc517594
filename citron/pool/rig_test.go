package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/schema/work"
)

// testOptions are the options of all pools in the tests.
var testOptions = Options{
	Lease:         4 * time.Second,
	MaxLease:      6 * time.Second,
	StartTimeout:  1500 * time.Millisecond,
	ClockDrift:    0.04,
	StopGrace:     900 * time.Millisecond,
	AnswerTimeout: 2200 * time.Millisecond,
}

// rig is a pool with a manual clock, whose workers answer at once.
type rig struct {
	t       *testing.T
	p       *Pool
	now     citron.Instant
	records map[string][]byte
	epoch   citron.Epoch
	// lastEnd is the number of the last ended run of each worker.
	lastEnd map[citron.Worker]int64
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, records: map[string][]byte{}, lastEnd: map[citron.Worker]int64{}, now: citron.Instant{Boot: time.Hour, Wall: time.UnixMilli(1_700_000_000_000)}}
	r.takeOver()
	r.p.MarkAllJobsKnown()
	return r
}

// takeOver begins a new epoch with an empty pool.
func (r *rig) takeOver() {
	r.epoch++
	advisers := &advice.Balancer{}
	advisers.SetDaemons([]citron.VMName{"a", "b", "c"})
	r.p = New(testOptions, r.epoch, advisers)
	r.p.ConfirmHeld(r.now.Boot)
}

func (r *rig) advance(d time.Duration) { r.now = r.now.Add(d) }

// workers adds n workers of 32 cores in racks of two, each of which sends a first report.
func (r *rig) workers(n int) (ids []citron.Worker) {
	entries := make([]citron.WorkerEntry, 0, n)
	for i := range n {
		id := citron.Worker(fmt.Sprintf("w%02d", i))
		ids = append(ids, id)
		entries = append(entries, citron.WorkerEntry{
			ID: id, Address: string(id), Service: "svc", Rack: citron.Rack(fmt.Sprintf("r%d", i/2)), Labels: []string{"a"},
			Capacity: citron.Capacity{MilliCores: 32_000, MemoryMb: 64_000},
		})
	}
	r.p.UpdateWorkers(r.now, entries)
	for _, id := range ids {
		r.report(id, citron.WorkerReport{})
	}
	return ids
}

// report passes a worker's answer to a renew order that was sent just now.
func (r *rig) report(id citron.Worker, report citron.WorkerReport) {
	r.advance(time.Millisecond)
	r.p.Renewed(r.now, id, r.now.Boot, report, r.now.Boot)
}

// end passes a report with the end of a run.
func (r *rig) end(s Start, how citron.EndKind) {
	id := s.Worker.ID
	r.lastEnd[id]++
	r.report(id, citron.WorkerReport{Ended: []citron.EndedTask{{Number: r.lastEnd[id], Task: s.Order.Task, Run: s.Order.Run, Kind: how}}, Running: r.otherRuns(s)})
}

// otherRuns returns the runs that the pool has on the worker of a start, without that one.
func (r *rig) otherRuns(s Start) (running []citron.RunningTask) {
	for ref, t := range r.p.workers[s.Worker.ID].tasks {
		if ref != s.Order.Task {
			running = append(running, citron.RunningTask{Task: ref, Run: t.run})
		}
	}
	return running
}

// plan calls Plan, stores the records and lets every start succeed.
func (r *rig) plan() Effects {
	r.t.Helper()
	r.advance(5 * time.Millisecond)
	e, err := r.p.Plan(r.now)
	if err != nil {
		r.t.Fatal(err)
	}
	r.store(e)
	for _, s := range e.Starts {
		r.p.Started(r.now, s, citron.Started, r.now.Boot)
	}
	return e
}

// store stores the records of a plan.
func (r *rig) store(e Effects) {
	for _, record := range e.Records {
		r.records[record.Key] = record.Value
	}
	r.p.ConfirmHeld(r.now.Boot)
	r.p.Committed(e)
}

// progress returns the stored progress of a job, nil if there is none.
func (r *rig) progress(id string) *work.Progress {
	r.t.Helper()
	raw, ok := r.records[ProgressKey+id]
	if !ok {
		return nil
	}
	var p work.Progress
	if err := proto.Unmarshal(raw, &p); err != nil {
		r.t.Fatal(err)
	}
	return &p
}

// parts returns the stored parts of the progress of a job.
func (r *rig) parts(id string) (list []*work.Part) {
	r.t.Helper()
	for key, raw := range r.records {
		if !strings.HasPrefix(key, PartKey+id+"/") {
			continue
		}
		part := &work.Part{}
		if err := proto.Unmarshal(raw, part); err != nil {
			r.t.Fatal(err)
		}
		list = append(list, part)
	}
	return list
}

// accept passes a job with its stored progress to the pool.
func (r *rig) accept(j *work.Job) {
	if j.GetAcceptedMs() == 0 {
		j.AcceptedMs = r.now.Wall.UnixMilli()
	}
	r.p.Accept(r.now, j, r.progress(j.GetID()), r.parts(j.GetID())...)
}

func (r *rig) state(id string) work.State { return r.progress(id).GetState() }

func newJob(id string, steps ...*work.Step) *work.Job {
	return &work.Job{ID: id, Queue: "q", Steps: steps, Terms: &work.Terms{Service: "svc", Attempts: 3, StretchPercent: 150, TargetMs: 1000}}
}

func newStep(tasks int32, cores int64) *work.Step {
	return &work.Step{Tasks: tasks, MilliCores: cores * 1000, MemoryMb: 1000, EstimateMs: 1000}
}

func newGang(tasks int32, cores int64) *work.Step {
	s := newStep(tasks, cores)
	s.Gang = true
	return s
}
