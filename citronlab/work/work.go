// Package work is a stand-in for a worker. It starts what it is given, whether it fits or not, and keeps its own
// record.
package work

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/jobs"
	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/lab"
)

// maxSync bounds one message in bytes.
const maxSync = 16 << 20

// Options set the stand-in.
type Options struct {
	Name       string
	MilliCores int32
	MemoryMb   int32
	// FailAll makes every task fail at its start.
	FailAll bool
	// RunTime is how long a task takes whose payload names no time.
	RunTime time.Duration
}

type ref struct {
	job     string
	task    int32
	attempt int32
}

type task struct {
	start *lab.TaskStart
	state string
	// result is the worker's short result or reason.
	result string
	lease  time.Duration
	ends   time.Duration
	span   *Span
}

// Worker runs tasks.
type Worker struct {
	Options Options
	Timer   citron.Timer
	// Incarnation names this run; 0 is replaced by the time of the first message.
	Incarnation uint64

	mu       sync.Mutex
	epoch    uint64
	sequence int64
	tasks    map[ref]*task
	changed  chan struct{}
	runs     map[string]int
	used     int32
	most     int32
	memory   int32
	mostMb   int32
	spans    []*Span
}

// Record is what the worker says of its own past.
type Record struct {
	Name           string
	MostMilliCores int32
	MilliCores     int32
	MostMemoryMb   int32
	MemoryMb       int32
	// Runs counts the starts of each attempt.
	Runs map[string]int
	// Spans lists when each run began and ended.
	Spans []Span
}

// Span is one run of one task. Times are on the boot clock; Ended is 0 while it runs.
type Span struct {
	Task  string
	Began time.Duration
	Ended time.Duration
}

// Routes returns the routes of a worker.
func (w *Worker) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/sync", Handler: w.handle},
		{Method: http.MethodGet, Path: "/v1/record", Handler: w.record},
	}
}

// Run ends tasks that are over and those whose lease has lapsed, until the context ends. Its end is reported on the
// returned channel.
func (w *Worker) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := w.Timer.Every(endStep)
		defer stop()
		for {
			select {
			case <-tick:
				w.step()
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// endStep is how often a worker looks for tasks that are over.
const endStep = 10 * time.Millisecond

// Record returns the worker's own record.
func (w *Worker) Record() Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Record{
		Name:           w.Options.Name,
		MostMilliCores: w.most,
		MilliCores:     w.Options.MilliCores,
		MostMemoryMb:   w.mostMb,
		MemoryMb:       w.Options.MemoryMb,
		Runs:           map[string]int{},
	}
	for id, n := range w.runs {
		r.Runs[id] = n
	}
	for _, s := range w.spans {
		r.Spans = append(r.Spans, *s)
	}
	return r
}

// Restart ends every task and forgets all, as a new process on the same VM does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	for _, t := range w.tasks {
		if t.state == jobs.StateRunning {
			w.endTask(t, jobs.StateLeaseExpired, "worker restarted")
		}
	}
	w.tasks = map[ref]*task{}
	w.epoch, w.sequence = 0, 0
	w.Incarnation++
}

func (w *Worker) handle(out http.ResponseWriter, r *http.Request) {
	var request lab.SyncRequest
	if err := wire.Read(r, maxSync, &request); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	wire.Write(out, w.Sync(r.Context(), &request))
}

// Sync takes in one message and reports every attempt.
func (w *Worker) Sync(ctx context.Context, request *lab.SyncRequest) *lab.SyncReply {
	reply, changed := w.take(request)
	if reply != nil {
		return reply
	}
	if wait := time.Duration(request.GetWaitMs()) * time.Millisecond; wait > 0 {
		due, stop := w.Timer.After(wait)
		defer stop()
		select {
		case <-changed:
		case <-due:
		case <-ctx.Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report()
}

// take does what a request asks for, or returns a reply where it must do nothing.
func (w *Worker) take(request *lab.SyncRequest) (*lab.SyncReply, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	if request.GetEpoch() < w.epoch || request.GetEpoch() == w.epoch && request.GetSequence() <= w.sequence {
		return &lab.SyncReply{Stale: true, Incarnation: w.Incarnation}, nil
	}
	w.epoch, w.sequence = request.GetEpoch(), request.GetSequence()
	if request.GetWorkerIncarnation() == 0 {
		return w.report(), nil
	}
	if request.GetWorkerIncarnation() != w.Incarnation {
		return &lab.SyncReply{Restarted: true, Incarnation: w.Incarnation}, nil
	}
	w.apply(request)
	return nil, w.changed
}

func (w *Worker) init() {
	if w.tasks != nil {
		return
	}
	w.tasks = map[ref]*task{}
	w.runs = map[string]int{}
	w.changed = make(chan struct{})
	if w.Incarnation == 0 {
		w.Incarnation = uint64(w.Timer.Now().Wall.UnixNano())
	}
}

func (w *Worker) apply(request *lab.SyncRequest) {
	now := w.Timer.Now().Boot
	lease := now + time.Duration(request.GetLeaseMs())*time.Millisecond
	for _, s := range request.GetStart() {
		w.startTask(s, now, lease)
	}
	for _, r := range request.GetRenew() {
		if t, ok := w.tasks[refOf(r)]; ok {
			t.lease = lease
		}
	}
	for _, r := range request.GetStop() {
		w.stopTask(refOf(r))
	}
	for _, r := range request.GetForget() {
		delete(w.tasks, refOf(r))
	}
}

func (w *Worker) startTask(s *lab.TaskStart, now, lease time.Duration) {
	key := refOf(s.GetRef())
	if t, known := w.tasks[key]; known {
		t.lease = lease
		return
	}
	span := &Span{Task: fmt.Sprintf("%s/%d", key.job, key.task), Began: now}
	w.spans = append(w.spans, span)
	t := &task{start: s, state: jobs.StateRunning, lease: lease, ends: now + w.runTime(s), span: span}
	w.tasks[key] = t
	w.runs[fmt.Sprintf("%s/%d/%d", key.job, key.task, key.attempt)]++
	w.used += s.GetMilliCores()
	w.memory += s.GetMemoryMb()
	w.most = max(w.most, w.used)
	w.mostMb = max(w.mostMb, w.memory)
	if w.Options.FailAll {
		w.endTask(t, jobs.StateFailed, "worker is broken")
	}
}

func (w *Worker) stopTask(key ref) {
	t, known := w.tasks[key]
	if !known {
		// A tombstone keeps a late start of this attempt from running.
		w.tasks[key] = &task{start: &lab.TaskStart{}, state: jobs.StateStopped, result: "stopped before the start"}
		w.notify()
		return
	}
	if t.state == jobs.StateRunning {
		w.endTask(t, jobs.StateStopped, "stopped on request")
	}
}

// runTime reads "ms=N" or "fail" from the payload.
func (w *Worker) runTime(s *lab.TaskStart) time.Duration {
	if s.GetService() {
		return 1<<62 - 1
	}
	for _, word := range strings.Fields(s.GetPayload()) {
		if text, ok := strings.CutPrefix(word, "ms="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return time.Duration(n) * time.Millisecond
			}
		}
	}
	return w.Options.RunTime
}

func (w *Worker) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Timer.Now().Boot
	for _, t := range w.tasks {
		switch {
		case t.state != jobs.StateRunning:
		case now >= t.lease:
			w.endTask(t, jobs.StateLeaseExpired, "lease lapsed")
		case now >= t.ends && strings.Contains(t.start.GetPayload(), "fail"):
			w.endTask(t, jobs.StateFailed, "task failed")
		case now >= t.ends:
			w.endTask(t, jobs.StateDone, "ok")
		}
	}
}

func (w *Worker) endTask(t *task, state, result string) {
	t.state, t.result = state, result
	t.span.Ended = w.Timer.Now().Boot
	w.used -= t.start.GetMilliCores()
	w.memory -= t.start.GetMemoryMb()
	w.notify()
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) report() *lab.SyncReply {
	reply := &lab.SyncReply{Incarnation: w.Incarnation}
	for key, t := range w.tasks {
		reply.Tasks = append(reply.Tasks, &lab.TaskReport{
			Ref:            &lab.TaskRef{JobID: key.job, Task: key.task, Attempt: key.attempt},
			State:          t.state,
			Result:         t.result,
			UsedMilliCores: t.start.GetMilliCores(),
			UsedMemoryMb:   t.start.GetMemoryMb(),
		})
	}
	return reply
}

func (w *Worker) record(out http.ResponseWriter, _ *http.Request) {
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(w.Record())
}

func refOf(r *lab.TaskRef) ref {
	return ref{job: r.GetJobID(), task: r.GetTask(), attempt: r.GetAttempt()}
}
