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

// Executor is one life of a worker. It notes every breach of what the scheduler promises.
type Executor struct {
	Timer    citron.Timer
	ID       string
	Machine  string
	Address  string
	Rack     string
	RunTime  time.Duration
	Capacity citron.Capacity
	// Watch, if set, is called with everything that happens here, before the call that led to it is answered.
	Watch func(Event)

	mu       sync.Mutex
	seen     []Event
	need     func(task string) citron.Capacity
	lose     func(call string) bool
	token    uint64
	deadline time.Duration
	// lapsed is when the lease last ran out.
	lapsed   time.Duration
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	ended    int64
	draining bool
	gone     bool
	starts   []string
	breaches []string
	changed  chan struct{}
}

type run struct {
	number int
	until  time.Duration
}

type end struct {
	number int64
	task   string
	run    int
	how    citron.EndKind
	at     time.Duration
}

// Starts lists the tasks that were started here, in order.
func (e *Executor) Starts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.starts)
}

// Violations lists what the scheduler did wrong here.
func (e *Executor) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.breaches)
}

// SetNeed sets what each task takes; the worker is not told.
func (e *Executor) SetNeed(need func(task string) citron.Capacity) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.need = need
}

// LoseAnswers sets which calls are carried out without an answer.
func (e *Executor) LoseAnswers(lose func(call string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lose = lose
}

// Drain has the worker say that it will leave.
func (e *Executor) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Crash ends the life; everything on it is lost.
func (e *Executor) Crash() {
	defer e.tell()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone, e.runs = true, nil
	e.note(Event{Kind: WorkerGone})
}

// Gone reports whether the life has ended.
func (e *Executor) Gone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

// clock is the worker's own steady clock.
func (e *Executor) clock() time.Duration { return e.Timer.Now().Boot + time.Hour }

func (e *Executor) entry(seq int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	type room struct {
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
		Capacity    room     `json:"capacity"`
		Labels      []string `json:"labels"`
		Seq         int      `json:"seq"`
	}{"svc", e.Address, "z", state, 0, room{e.Capacity.MilliCores, e.Capacity.MemoryMb, 0}, []string{"a", e.Rack}, seq})
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

// ServeHTTP answers the calls to an executor.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	e.settle()
	reason := e.admit(o)
	var body any
	switch {
	case reason != "":
	case call == "run-start":
		reason = e.start(o)
	case call == "run-stop":
		e.stop(o)
	case call == "hold":
		e.hold(r, o)
		body = e.report()
	}
	clock := e.clock().Milliseconds()
	lost := e.lose != nil && e.lose(call)
	e.mu.Unlock()
	e.tell()
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

func (e *Executor) admit(o order) (reason string) {
	if o.Token < e.token {
		return "fence"
	}
	e.token = o.Token
	return ""
}

// EndDueRuns ends the runs whose time or lease is over.
func (e *Executor) EndDueRuns() {
	e.mu.Lock()
	e.settle()
	e.mu.Unlock()
	e.tell()
}

// settle lists the runs that have ended by now. The lock is held.
func (e *Executor) settle() {
	now := e.clock()
	if now > e.deadline {
		e.lapsed = e.deadline
	}
	for task, r := range e.runs {
		switch {
		case now >= r.until && r.until <= e.deadline:
			e.list(task, citron.EndDone)
		case now > e.deadline:
			e.list(task, citron.EndLeaseExpired)
		}
	}
}

func (e *Executor) list(task string, how citron.EndKind) {
	e.ended++
	e.ends = append(e.ends, end{e.ended, task, e.runs[task].number, how, min(e.clock(), e.runs[task].until)})
	e.note(Event{Kind: RunEnded, Task: task, Run: e.runs[task].number, EndKind: how})
	delete(e.runs, task)
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

func (e *Executor) start(o order) (reason string) {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case o.DeadlineMs <= e.clock().Milliseconds():
		return "late"
	case o.Run <= e.highest[o.Task]:
		return "old"
	case o.Ticket == "":
		return "ticket"
	}
	if e.runs == nil {
		e.runs, e.highest = map[string]*run{}, map[string]int{}
	}
	if e.highest == nil {
		e.highest = map[string]int{}
	}
	e.deadline = max(e.deadline, time.Duration(o.DeadlineMs)*time.Millisecond)
	e.highest[o.Task] = o.Run
	e.runs[o.Task] = &run{number: o.Run, until: e.clock() + e.RunTime}
	e.starts = append(e.starts, o.Task)
	e.note(Event{Kind: RunStarted, Task: o.Task, Run: o.Run, Token: o.Token})
	e.checkRoom(o.Task)
	return ""
}

func (e *Executor) checkRoom(task string) {
	if e.need == nil {
		return
	}
	free := e.Capacity
	for other := range e.runs {
		free = free.Sub(e.need(other))
	}
	if !free.Fits(citron.Capacity{}) {
		e.breaches = append(e.breaches, fmt.Sprintf("%s started beyond the capacity of %s", task, e.ID))
	}
}

func (e *Executor) stop(o order) {
	if e.highest == nil {
		e.highest = map[string]int{}
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number <= o.Run {
		e.list(o.Task, citron.EndStopped)
	}
}

// hold renews the lease, forgets acknowledged ends and waits for one. The lock is held, but for the wait.
func (e *Executor) hold(r *http.Request, o order) {
	e.deadline = max(e.deadline, time.Duration(o.DeadlineMs)*time.Millisecond)
	e.ends = slices.DeleteFunc(e.ends, func(one end) bool {
		if one.number <= o.AckedUpto {
			e.note(Event{Kind: EndAcknowledged, Task: one.task, Run: one.run, EndKind: one.how, LeaseExpired: e.lapsed >= one.at})
		}
		return one.number <= o.AckedUpto
	})
	if len(e.ends) > 0 || o.WaitMs == 0 {
		return
	}
	wait := time.Duration(o.WaitMs) * time.Millisecond
	for _, one := range e.runs {
		wait = min(wait, one.until-e.clock())
	}
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	changed := e.changed
	e.mu.Unlock()
	due, stop := e.Timer.After(max(wait, time.Millisecond))
	select {
	case <-due:
	case <-changed:
	case <-r.Context().Done():
	}
	stop()
	e.mu.Lock()
	e.settle()
}

func (e *Executor) report() any {
	body := struct {
		ClockMs int64 `json:"clock_ms"`
		Running []any `json:"running"`
		Ended   []any `json:"ended"`
	}{ClockMs: e.clock().Milliseconds(), Running: []any{}, Ended: []any{}}
	for task, r := range e.runs {
		body.Running = append(body.Running, []any{task, r.number, "", 10, 900})
	}
	for _, one := range e.ends {
		body.Ended = append(body.Ended, []any{one.number, one.task, one.run, one.how, ""})
	}
	return body
}
