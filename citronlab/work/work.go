// Package work is a stand-in for a worker. It starts every task that it is ordered to start, even beyond its capacity,
// and keeps a record of its runs.
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

// maxSyncBytes is the maximum size of a sync request.
const maxSyncBytes = 16 << 20

// Options configures the worker.
type Options struct {
	Name       string
	MilliCores int32
	MemoryMb   int32
	// FailAll makes every task fail at once.
	FailAll bool
	// RunTime is the run time of a task whose payload names none.
	RunTime time.Duration
}

// ref identifies an attempt of a task.
type ref struct {
	job     string
	task    int32
	attempt int32
}

// attempt is the state of an attempt of a task.
type attempt struct {
	start *lab.TaskStart
	state string
	// result is the short result or the reason of the end.
	result string
	// leaseEnd and endsAt, when the run is over, are on the boot clock.
	leaseEnd time.Duration
	endsAt   time.Duration
	span     *Span
}

// Worker runs tasks by waiting for their run time.
type Worker struct {
	Options Options
	Timer   citron.Timer
	// Incarnation identifies the simulated process; 0 is replaced by the time of the first request.
	Incarnation uint64

	mu sync.Mutex
	// epoch and sequence are those of the last request that was not stale.
	epoch    uint64
	sequence int64
	attempts map[ref]*attempt
	// changed is closed and replaced when an attempt ends.
	changed           chan struct{}
	runs              map[string]int
	usedMilliCores    int32
	maxUsedMilliCores int32
	usedMemoryMb      int32
	maxUsedMemoryMb   int32
	spans             []*Span
}

// Record is the worker's record of its runs. MostMilliCores and MostMemoryMb are the largest amounts used at once.
type Record struct {
	Name           string
	MostMilliCores int32
	MilliCores     int32
	MostMemoryMb   int32
	MemoryMb       int32
	// Runs holds the number of starts by "JOB/TASK/ATTEMPT".
	Runs map[string]int
	// Spans lists all runs in the order of their start.
	Spans []Span
}

// Span is the time of a run. Task is "JOB/TASK". Times are on the boot clock; Ended is 0 while it runs.
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

// Run ends attempts that are due or whose lease has expired, until the context ends. Its end is reported on the
// returned channel.
func (w *Worker) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := w.Timer.Every(checkInterval)
		defer stop()
		for {
			select {
			case <-tick:
				w.endDueAttempts()
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// checkInterval is the interval at which a worker ends due attempts.
const checkInterval = 10 * time.Millisecond

// Record returns the record of runs.
func (w *Worker) Record() Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Record{
		Name:           w.Options.Name,
		MostMilliCores: w.maxUsedMilliCores,
		MilliCores:     w.Options.MilliCores,
		MostMemoryMb:   w.maxUsedMemoryMb,
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

// Restart ends every attempt and clears all state except the record, like a new process on the same VM.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	for _, a := range w.attempts {
		if a.state == jobs.StateRunning {
			w.endAttempt(a, jobs.StateLeaseExpired, "worker restarted")
		}
	}
	w.attempts = map[ref]*attempt{}
	w.epoch, w.sequence = 0, 0
	w.Incarnation++
}

func (w *Worker) handle(out http.ResponseWriter, r *http.Request) {
	var request lab.SyncRequest
	if err := wire.Read(r, maxSyncBytes, &request); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	wire.Write(out, w.Sync(r.Context(), &request))
}

// Sync applies a request, waits up to its WaitMs for a change and reports every attempt.
func (w *Worker) Sync(ctx context.Context, request *lab.SyncRequest) *lab.SyncReply {
	reply, changed := w.accept(request)
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

// accept applies a request and returns a channel that is closed at the next change. It returns a reply instead if the
// request is not applied because it is stale or names another incarnation or none.
func (w *Worker) accept(request *lab.SyncRequest) (*lab.SyncReply, <-chan struct{}) {
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
	if w.attempts != nil {
		return
	}
	w.attempts = map[ref]*attempt{}
	w.runs = map[string]int{}
	w.changed = make(chan struct{})
	if w.Incarnation == 0 {
		w.Incarnation = uint64(w.Timer.Now().Wall.UnixNano())
	}
}

func (w *Worker) apply(request *lab.SyncRequest) {
	now := w.Timer.Now().Boot
	leaseEnd := now + time.Duration(request.GetLeaseMs())*time.Millisecond
	for _, s := range request.GetStart() {
		w.startAttempt(s, now, leaseEnd)
	}
	for _, r := range request.GetRenew() {
		if a, ok := w.attempts[refOf(r)]; ok {
			a.leaseEnd = leaseEnd
		}
	}
	for _, r := range request.GetStop() {
		w.stopAttempt(refOf(r))
	}
	for _, r := range request.GetForget() {
		delete(w.attempts, refOf(r))
	}
}

// startAttempt starts an attempt; if it is known already, only its lease is renewed.
func (w *Worker) startAttempt(s *lab.TaskStart, now, leaseEnd time.Duration) {
	key := refOf(s.GetRef())
	if a, known := w.attempts[key]; known {
		a.leaseEnd = leaseEnd
		return
	}
	span := &Span{Task: fmt.Sprintf("%s/%d", key.job, key.task), Began: now}
	w.spans = append(w.spans, span)
	a := &attempt{start: s, state: jobs.StateRunning, leaseEnd: leaseEnd, endsAt: now + w.runTime(s), span: span}
	w.attempts[key] = a
	w.runs[fmt.Sprintf("%s/%d/%d", key.job, key.task, key.attempt)]++
	w.usedMilliCores += s.GetMilliCores()
	w.usedMemoryMb += s.GetMemoryMb()
	w.maxUsedMilliCores = max(w.maxUsedMilliCores, w.usedMilliCores)
	w.maxUsedMemoryMb = max(w.maxUsedMemoryMb, w.usedMemoryMb)
	if w.Options.FailAll {
		w.endAttempt(a, jobs.StateFailed, "worker is broken")
	}
}

func (w *Worker) stopAttempt(key ref) {
	a, known := w.attempts[key]
	if !known {
		// The tombstone keeps a delayed start of this attempt from running.
		w.attempts[key] = &attempt{start: &lab.TaskStart{}, state: jobs.StateStopped, result: "stopped before the start"}
		w.notify()
		return
	}
	if a.state == jobs.StateRunning {
		w.endAttempt(a, jobs.StateStopped, "stopped on request")
	}
}

// runTime returns N milliseconds if the payload contains "ms=N", and Options.RunTime otherwise. A service never ends by
// itself.
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

// endDueAttempts ends running attempts that are due or whose lease has expired. One whose payload contains "fail" fails at
// its end.
func (w *Worker) endDueAttempts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Timer.Now().Boot
	for _, a := range w.attempts {
		switch {
		case a.state != jobs.StateRunning:
		case now >= a.leaseEnd:
			w.endAttempt(a, jobs.StateLeaseExpired, "lease lapsed")
		case now >= a.endsAt && strings.Contains(a.start.GetPayload(), "fail"):
			w.endAttempt(a, jobs.StateFailed, "task failed")
		case now >= a.endsAt:
			w.endAttempt(a, jobs.StateDone, "ok")
		}
	}
}

func (w *Worker) endAttempt(a *attempt, state, result string) {
	a.state, a.result = state, result
	a.span.Ended = w.Timer.Now().Boot
	w.usedMilliCores -= a.start.GetMilliCores()
	w.usedMemoryMb -= a.start.GetMemoryMb()
	w.notify()
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) report() *lab.SyncReply {
	reply := &lab.SyncReply{Incarnation: w.Incarnation}
	for key, a := range w.attempts {
		reply.Tasks = append(reply.Tasks, &lab.TaskReport{
			Ref:            &lab.TaskRef{JobID: key.job, Task: key.task, Attempt: key.attempt},
			State:          a.state,
			Result:         a.result,
			UsedMilliCores: a.start.GetMilliCores(),
			UsedMemoryMb:   a.start.GetMemoryMb(),
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
