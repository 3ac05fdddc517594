package site

import (
	"cmp"
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
	Timer citron.Timer
	ID    string
	// Born is the time of the start in Unix milliseconds, which tells apart the instances that had the same ID.
	Born int64
	// ClockAhead is the worker's monotonic clock minus that of the daemons, 0 for an hour.
	ClockAhead time.Duration
	Machine    string
	Address    string
	Rack       string
	RunTime    time.Duration
	Capacity   citron.Capacity
	// Watch, if set, is called with every event, before the call that caused the event is answered.
	Watch func(Event)

	mu           sync.Mutex
	queuedEvents []Event
	// need returns what a task needs; nil disables the capacity check.
	need       func(task string) citron.Capacity
	loseAnswer func(call string) bool
	// postpone, if set, reports whether a call is not answered and is carried out later.
	postpone func(call string, o order) bool
	// highestToken is the highest fencing token seen.
	highestToken uint64
	leaseEnd     time.Duration
	// leaseExpiredAt is the end of the lease that expired last.
	leaseExpiredAt time.Duration
	// runs holds the running run of each task.
	runs map[string]*run
	// highestRun holds the highest run number of each task in a start or stop order.
	highestRun map[string]int
	// ends lists the ended runs that have not been acknowledged.
	ends []end
	// endCount is the number of ended runs so far.
	endCount int64
	draining bool
	gone     bool
	// succeeded is set once the next instance with the same ID has registered.
	succeeded  bool
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

// end is an ended run; number counts the ends on this worker instance, and at is on the worker's clock.
type end struct {
	number int64
	task   string
	run    int
	kind   citron.EndKind
	at     time.Duration
}

// Starts returns the task of each started run in order.
func (i *Instance) Starts() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.starts)
}

// Violations describes each violation of the scheduler's guarantees.
func (i *Instance) Violations() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.violations)
}

// SetNeed sets what each task needs. Start orders do not carry it; it is used to check the capacity.
func (i *Instance) SetNeed(need func(task string) citron.Capacity) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.need = need
}

// LoseAnswers sets which calls are carried out but not answered.
func (i *Instance) LoseAnswers(loseAnswer func(call string) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.loseAnswer = loseAnswer
}

// Drain makes the worker register as draining.
func (i *Instance) Drain() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.draining = true
}

// Crash ends the instance; its runs are lost.
func (i *Instance) Crash() {
	defer i.deliverEvents()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.gone, i.runs = true, nil
	i.queueEvent(Event{Kind: WorkerGone})
}

// succeed leaves the registration to the next instance with the same ID.
func (i *Instance) succeed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.succeeded = true
}

// registers reports whether the instance owns the registration under its ID.
func (i *Instance) registers() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.succeeded
}

// Gone reports whether the instance has ended.
func (i *Instance) Gone() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.gone
}

// clock returns the worker's own monotonic clock.
func (i *Instance) clock() time.Duration {
	return i.Timer.Now().Boot + cmp.Or(i.ClockAhead, time.Hour)
}

// entry returns the record with which the worker registers.
func (i *Instance) entry(seq int) []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	type capacity struct {
		CPU   int64 `json:"cpu"`
		MemMb int64 `json:"mem_mb"`
		GPU   int64 `json:"gpu"`
	}
	state := "ready"
	if i.draining {
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
		Born        int64    `json:"born"`
	}{"svc", i.Address, "z", state, 0, capacity{i.Capacity.MilliCores, i.Capacity.MemoryMb, 0}, []string{"a", i.Rack}, seq, i.Born})
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
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i.Gone() {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Citroncross-Expect-Instance"); want != "" && want != i.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	call := strings.TrimPrefix(r.URL.Path, "/citroncross/")
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if i.postpone != nil && i.postpone(call, o) {
		<-r.Context().Done()
		return
	}
	i.mu.Lock()
	i.endDueRuns()
	reason := i.checkToken(o)
	var body any
	switch {
	case reason != "":
	case call == "run-start":
		reason = i.start(o)
	case call == "run-stop":
		i.stop(o)
	case call == "hold":
		i.renew(r, o)
		body = i.report()
	}
	clock := i.clock().Milliseconds()
	lost := i.loseAnswer != nil && i.loseAnswer(call)
	i.mu.Unlock()
	i.deliverEvents()
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
func (i *Instance) checkToken(o order) (reason string) {
	if o.Token < i.highestToken {
		return "fence"
	}
	i.highestToken = o.Token
	return ""
}

// EndDueRuns ends the runs that are done or whose lease has expired.
func (i *Instance) EndDueRuns() {
	i.mu.Lock()
	i.endDueRuns()
	i.mu.Unlock()
	i.deliverEvents()
}

// endDueRuns is EndDueRuns with the lock held. A run that was done before the lease expired counts as done.
func (i *Instance) endDueRuns() {
	now := i.clock()
	if now > i.leaseEnd {
		i.leaseExpiredAt = i.leaseEnd
	}
	for task, r := range i.runs {
		switch {
		case now >= r.endsAt && r.endsAt <= i.leaseEnd:
			i.endRun(task, citron.EndDone)
		case now > i.leaseEnd:
			i.endRun(task, citron.EndLeaseExpired)
		}
	}
}

// endRun records the end of a task's run. The lock is held.
func (i *Instance) endRun(task string, kind citron.EndKind) {
	i.endCount++
	i.ends = append(i.ends, end{i.endCount, task, i.runs[task].number, kind, min(i.clock(), i.runs[task].endsAt)})
	i.queueEvent(Event{Kind: RunEnded, Task: task, Run: i.runs[task].number, EndKind: kind})
	delete(i.runs, task)
	if i.runEnded != nil {
		close(i.runEnded)
		i.runEnded = nil
	}
}

// start starts a run and returns the reason of a refusal, or "". A repeated order has no effect. The lock is held.
func (i *Instance) start(o order) (reason string) {
	if r := i.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case o.DeadlineMs <= i.clock().Milliseconds():
		return "late"
	case o.Run <= i.highestRun[o.Task]:
		return "old"
	case o.Ticket == "":
		return "ticket"
	}
	if i.runs == nil {
		i.runs, i.highestRun = map[string]*run{}, map[string]int{}
	}
	if i.highestRun == nil {
		i.highestRun = map[string]int{}
	}
	i.leaseEnd = max(i.leaseEnd, time.Duration(o.DeadlineMs)*time.Millisecond)
	i.highestRun[o.Task] = o.Run
	i.runs[o.Task] = &run{number: o.Run, endsAt: i.clock() + i.RunTime}
	i.starts = append(i.starts, o.Task)
	i.queueEvent(Event{Kind: RunStarted, Task: o.Task, Run: o.Run, Token: o.Token})
	i.checkCapacity(o.Task)
	return ""
}

// checkCapacity records a violation if the running tasks need more than the capacity.
func (i *Instance) checkCapacity(task string) {
	if i.need == nil {
		return
	}
	free := i.Capacity
	for other := range i.runs {
		free = free.Sub(i.need(other))
	}
	if !free.Fits(citron.Capacity{}) {
		i.violations = append(i.violations, fmt.Sprintf("%s started beyond the capacity of %s", task, i.ID))
	}
}

// stop ends the run of an order, or keeps it from being started later. The lock is held.
func (i *Instance) stop(o order) {
	if i.highestRun == nil {
		i.highestRun = map[string]int{}
	}
	i.highestRun[o.Task] = max(i.highestRun[o.Task], o.Run)
	if r := i.runs[o.Task]; r != nil && r.number <= o.Run {
		i.endRun(o.Task, citron.EndStopped)
	}
}

// renew renews the lease, removes acknowledged ends and, if none is left, waits for the next. The lock is held, except
// during the wait.
func (i *Instance) renew(r *http.Request, o order) {
	i.leaseEnd = max(i.leaseEnd, time.Duration(o.DeadlineMs)*time.Millisecond)
	i.ends = slices.DeleteFunc(i.ends, func(x end) bool {
		if x.number <= o.AckedUpto {
			i.queueEvent(Event{Kind: EndAcknowledged, Task: x.task, Run: x.run, EndKind: x.kind, LeaseExpired: i.leaseExpiredAt >= x.at})
		}
		return x.number <= o.AckedUpto
	})
	if len(i.ends) > 0 || o.WaitMs == 0 {
		return
	}
	wait := time.Duration(o.WaitMs) * time.Millisecond
	for _, x := range i.runs {
		wait = min(wait, x.endsAt-i.clock())
	}
	if i.runEnded == nil {
		i.runEnded = make(chan struct{})
	}
	runEnded := i.runEnded
	i.mu.Unlock()
	due, stop := i.Timer.After(max(wait, time.Millisecond))
	select {
	case <-due:
	case <-runEnded:
	case <-r.Context().Done():
	}
	stop()
	i.mu.Lock()
	i.endDueRuns()
}

// report returns the body of the answer to a hold call.
func (i *Instance) report() any {
	body := struct {
		ClockMs int64 `json:"clock_ms"`
		Born    int64 `json:"born"`
		Running []any `json:"running"`
		Ended   []any `json:"ended"`
	}{ClockMs: i.clock().Milliseconds(), Born: i.Born, Running: []any{}, Ended: []any{}}
	for task, r := range i.runs {
		body.Running = append(body.Running, []any{task, r.number, "", 10, 900})
	}
	for _, x := range i.ends {
		body.Ended = append(body.Ended, []any{x.number, x.task, x.run, x.kind, ""})
	}
	return body
}
