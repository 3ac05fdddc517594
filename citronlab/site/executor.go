package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Instance is one instance of a worker, from its start until it crashes. It records violations of the scheduler's
// guarantees.
type Instance struct {
	Timer    citron.Timer
	ID       string
	Machine  string
	Address  string
	Rack     string
	RunTime  time.Duration
	Capacity citron.Capacity
	// Watch, if set, is called with every event, before the call that caused the event is answered.
	Watch func(Event)

	mu           sync.Mutex
	queuedEvents []Event
	// need returns what a task needs; nil disables the capacity check.
	need       func(task string) citron.Capacity
	loseAnswer func(call string) bool
	// highestToken is the highest fencing token seen.
	highestToken uint64
	leaseEnd     time.Duration
	// leaseExpired is when the lease last expired.
	leaseExpired time.Duration
	// runs holds the running run of each task.
	runs map[string]*run
	// highestRun holds the highest run number of each task in a start or stop order.
	highestRun map[string]int
	// ends lists the ended runs that have not been acknowledged.
	ends []end
	// endCount is the number of ended runs so far.
	endCount   int64
	draining   bool
	gone       bool
	starts     []string
	violations []string
	// runEnded, if set, is closed when a run ends.
	runEnded chan struct{}
}

// run is a run in progress.
type run struct {
	number int
	// endsAt is when the task is done, on the worker's clock.
	endsAt time.Duration
}

// end is an ended run; number counts the ends on this worker.
type end struct {
	number int64
	task   string
	run    int
	kind   citron.EndKind
	at     time.Duration
}

// Starts returns the task of each started run in order.
func (e *Instance) Starts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.starts)
}

// Violations describes each violation of the scheduler's guarantees.
func (e *Instance) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

// SetNeed sets what each task needs. Start orders do not carry it; it is used to check the capacity.
func (e *Instance) SetNeed(need func(task string) citron.Capacity) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.need = need
}

// LoseAnswers sets which calls are carried out but not answered.
func (e *Instance) LoseAnswers(loseAnswer func(call string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseAnswer = loseAnswer
}

// Drain makes the worker register as draining.
func (e *Instance) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Crash ends the instance; its runs are lost.
func (e *Instance) Crash() {
	defer e.deliverEvents()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone, e.runs = true, nil
	e.queueEvent(Event{Kind: WorkerGone})
}

// Gone reports whether the instance has ended.
func (e *Instance) Gone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

// clock returns the worker's own monotonic clock, an hour ahead of the daemons'.
func (e *Instance) clock() time.Duration { return e.Timer.Now().Boot + time.Hour }

// entry returns the record with which the worker registers.
func (e *Instance) entry(seq int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	type capacity struct {
		CPU   int64 `json:"cpu"`
		MemMb int64 `json:"mem_mb"`
		GPU   int64 `json:"gpu"`
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	raw, err := json.Marshal(struct {
		Service     string   `json:"service"`
		Address     string   `json:"address"`
		Zone        string   `json:"zone"`
		State       string   `json:"state"`
		RemainingMs int      `json:"remaining_ms,omitempty"`
		Capacity    capacity `json:"capacity"`
		Labels      []string `json:"labels"`
		Seq         int      `json:"seq"`
	}{"svc", e.Address, "z", state, 0, capacity{e.Capacity.MilliCores, e.Capacity.MemoryMb, 0}, []string{"a", e.Rack}, seq})
	if err != nil {
		panic(err)
	}
	return raw
}

// order is the body of every call.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Ticket     string `json:"ticket"`
	AckedUpto  int64  `json:"acked_upto"`
	WaitMs     int    `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// ServeHTTP handles the calls run-start, run-stop and hold.
func (e *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.Gone() {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Citroncross-Expect-Instance"); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	call := strings.TrimPrefix(r.URL.Path, "/citroncross/")
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.endDueRuns()
	reason := e.checkToken(o)
	var body any
	switch {
	case reason != "":
	case call == "run-start":
		reason = e.start(o)
	case call == "run-stop":
		e.stop(o)
	case call == "hold":
		e.renew(r, o)
		body = e.report()
	}
	clock := e.clock().Milliseconds()
	lost := e.loseAnswer != nil && e.loseAnswer(call)
	e.mu.Unlock()
	e.deliverEvents()
	if lost {
		<-r.Context().Done()
		return
	}
	if reason != "" {
		writeJSON(w, http.StatusConflict, struct {
			ClockMs int64  `json:"clock_ms"`
			Reason  string `json:"reason"`
		}{clock, reason})
		return
	}
	if body == nil {
		body = struct {
			ClockMs int64 `json:"clock_ms"`
		}{clock}
	}
	writeJSON(w, http.StatusOK, body)
}

// checkToken rejects fencing tokens lower than one seen before.
func (e *Instance) checkToken(o order) (reason string) {
	if o.Token < e.highestToken {
		return "fence"
	}
	e.highestToken = o.Token
	return ""
}

// EndDueRuns ends the runs that are done or whose lease has expired.
func (e *Instance) EndDueRuns() {
	e.mu.Lock()
	e.endDueRuns()
	e.mu.Unlock()
	e.deliverEvents()
}

// endDueRuns is EndDueRuns with the lock held. A run that was done before the lease expired counts as done.
func (e *Instance) endDueRuns() {
	now := e.clock()
	if now > e.leaseEnd {
		e.leaseExpired = e.leaseEnd
	}
	for task, r := range e.runs {
		switch {
		case now >= r.endsAt && r.endsAt <= e.leaseEnd:
			e.endRun(task, citron.EndDone)
		case now > e.leaseEnd:
			e.endRun(task, citron.EndLeaseExpired)
		}
	}
}

// endRun records the end of a task's run. The lock is held.
func (e *Instance) endRun(task string, kind citron.EndKind) {
	e.endCount++
	e.ends = append(e.ends, end{e.endCount, task, e.runs[task].number, kind, min(e.clock(), e.runs[task].endsAt)})
	e.queueEvent(Event{Kind: RunEnded, Task: task, Run: e.runs[task].number, EndKind: kind})
	delete(e.runs, task)
	if e.runEnded != nil {
		close(e.runEnded)
		e.runEnded = nil
	}
}

// start starts a run and returns the reason of a refusal, or "". A repeated order has no effect. The lock is held.
func (e *Instance) start(o order) (reason string) {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case o.DeadlineMs <= e.clock().Milliseconds():
		return "late"
	case o.Run <= e.highestRun[o.Task]:
		return "old"
	case o.Ticket == "":
		return "ticket"
	}
	if e.runs == nil {
		e.runs, e.highestRun = map[string]*run{}, map[string]int{}
	}
	if e.highestRun == nil {
		e.highestRun = map[string]int{}
	}
	e.leaseEnd = max(e.leaseEnd, time.Duration(o.DeadlineMs)*time.Millisecond)
	e.highestRun[o.Task] = o.Run
	e.runs[o.Task] = &run{number: o.Run, endsAt: e.clock() + e.RunTime}
	e.starts = append(e.starts, o.Task)
	e.queueEvent(Event{Kind: RunStarted, Task: o.Task, Run: o.Run, Token: o.Token})
	e.checkCapacity(o.Task)
	return ""
}

// checkCapacity records a violation if the running tasks need more than the capacity.
func (e *Instance) checkCapacity(task string) {
	if e.need == nil {
		return
	}
	free := e.Capacity
	for other := range e.runs {
		free = free.Sub(e.need(other))
	}
	if !free.Fits(citron.Capacity{}) {
		e.violations = append(e.violations, fmt.Sprintf("%s started beyond the capacity of %s", task, e.ID))
	}
}

// stop ends the run of an order, or keeps it from being started later. The lock is held.
func (e *Instance) stop(o order) {
	if e.highestRun == nil {
		e.highestRun = map[string]int{}
	}
	e.highestRun[o.Task] = max(e.highestRun[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number <= o.Run {
		e.endRun(o.Task, citron.EndStopped)
	}
}

// renew renews the lease, removes acknowledged ends and, if none is left, waits for the next. The lock is held, except
// during the wait.
func (e *Instance) renew(r *http.Request, o order) {
	e.leaseEnd = max(e.leaseEnd, time.Duration(o.DeadlineMs)*time.Millisecond)
	e.ends = slices.DeleteFunc(e.ends, func(x end) bool {
		if x.number <= o.AckedUpto {
			e.queueEvent(Event{Kind: EndAcknowledged, Task: x.task, Run: x.run, EndKind: x.kind, LeaseExpired: e.leaseExpired >= x.at})
		}
		return x.number <= o.AckedUpto
	})
	if len(e.ends) > 0 || o.WaitMs == 0 {
		return
	}
	wait := time.Duration(o.WaitMs) * time.Millisecond
	for _, x := range e.runs {
		wait = min(wait, x.endsAt-e.clock())
	}
	if e.runEnded == nil {
		e.runEnded = make(chan struct{})
	}
	runEnded := e.runEnded
	e.mu.Unlock()
	due, stop := e.Timer.After(max(wait, time.Millisecond))
	select {
	case <-due:
	case <-runEnded:
	case <-r.Context().Done():
	}
	stop()
	e.mu.Lock()
	e.endDueRuns()
}

// report returns the body of the answer to a hold call.
func (e *Instance) report() any {
	body := struct {
		ClockMs int64 `json:"clock_ms"`
		Running []any `json:"running"`
		Ended   []any `json:"ended"`
	}{ClockMs: e.clock().Milliseconds(), Running: []any{}, Ended: []any{}}
	for task, r := range e.runs {
		body.Running = append(body.Running, []any{task, r.number, "", 10, 900})
	}
	for _, x := range e.ends {
		body.Ended = append(body.Ended, []any{x.number, x.task, x.run, x.kind, ""})
	}
	return body
}
