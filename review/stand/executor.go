package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in of an executor. It starts what it is told to start, keeps leases on its own clock and lists ended runs
// until they are acknowledged.
type executor struct {
	lab     *lab
	id      string
	machine string
	address string
	rack    string
	kind    string
	server  *http.Server
	began   time.Time
	// upFor is how long it was up when the stand-in started it.
	upFor time.Duration
	// born is the Unix millisecond of its start, 0 if executors get a new id with each start.
	born int64

	mu           sync.Mutex
	gone         bool
	highestToken uint64
	leaseEnd     time.Duration
	runs         map[string]*run
	highestRun   map[string]int
	ends         []end
	endCount     int64
	changed      chan struct{}
}

// run is a run in progress. The times are on the executor's clock; a run that lasts has no endsAt.
type run struct {
	number   int
	startsAt time.Duration
	endsAt   time.Duration
}

type end struct {
	number int64
	task   string
	run    int
	kind   string
}

// readyAfter is the startup time of a task that lasts.
const readyAfter = 300 * time.Millisecond

// clock is the executor's steady clock, which is not that of the daemons.
func (x *executor) clock() time.Duration { return time.Since(x.began) + x.upFor }

// duration returns how long a task runs, which its spec tells in milliseconds; 0 means that it lasts.
func duration(spec string) time.Duration {
	_, ms, _ := strings.Cut(spec, "ms=")
	n, _ := strconv.Atoi(ms)
	return time.Duration(n) * time.Millisecond
}

func (x *executor) entry(seq int) []byte {
	entry := map[string]any{
		"service": "svc", "address": x.address, "zone": "z", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": seq,
		"capacity": map[string]int{"cpu": executorCPU, "mem_mb": executorMB, "gpu": 0}, "labels": []string{x.kind, x.rack},
	}
	if x.born > 0 {
		entry["born"] = x.born
	}
	raw, _ := json.Marshal(entry)
	return raw
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	AckedUpto  int64  `json:"acked_upto"`
	WaitMs     int    `json:"wait_ms"`
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Citroncross-Expect-Instance"); want != "" && want != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if x.lab.holdBack(r, o, x.address) {
		<-r.Context().Done()
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gone {
		panic(http.ErrAbortHandler)
	}
	x.endDue()
	if o.Token < x.highestToken {
		x.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	x.highestToken = o.Token
	switch strings.TrimPrefix(r.URL.Path, "/citroncross/") {
	case "run-start":
		if reason := x.start(o); reason != "" {
			x.answer(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		x.answer(w, http.StatusOK, map[string]any{})
	case "run-stop":
		x.highestRun[o.Task] = max(x.highestRun[o.Task], o.Run)
		if r := x.runs[o.Task]; r != nil && r.number <= o.Run {
			x.end(o.Task, "stopped")
		}
		x.answer(w, http.StatusOK, map[string]any{})
	case "hold":
		x.hold(r, o)
		x.answer(w, http.StatusOK, x.report())
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (x *executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = x.clock().Milliseconds()
	if x.born > 0 {
		body["born"] = x.born
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (x *executor) start(o order) (reason string) {
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	deadline := time.Duration(o.DeadlineMs) * time.Millisecond
	if deadline <= x.clock() {
		return "late"
	}
	x.leaseEnd = max(x.leaseEnd, min(deadline, x.clock()+holdMax))
	if o.Run <= x.highestRun[o.Task] || x.runs[o.Task] != nil {
		return "old"
	}
	x.highestRun[o.Task] = o.Run
	r := &run{number: o.Run, startsAt: x.clock()}
	if d := duration(o.Spec); d > 0 {
		r.endsAt = x.clock() + d
	}
	x.runs[o.Task] = r
	x.lab.note("run", "%s run %d starts on %s, token %d", o.Task, o.Run, x.id, o.Token)
	x.lab.checkOnce(o.Task, o.Run, x)
	x.lab.started(o.Task)
	return ""
}

func (x *executor) end(task, kind string) {
	r := x.runs[task]
	delete(x.runs, task)
	x.endCount++
	x.ends = append(x.ends, end{x.endCount, task, r.number, kind})
	x.lab.note("run", "%s run %d ends on %s: %s", task, r.number, x.id, kind)
	x.lab.ended(task, kind)
	if x.changed != nil {
		close(x.changed)
		x.changed = nil
	}
}

// endDue ends the runs that are done, and all of them once the lease has expired.
func (x *executor) endDue() {
	now := x.clock()
	for task, r := range x.runs {
		switch {
		case r.endsAt > 0 && now >= r.endsAt && r.endsAt <= x.leaseEnd:
			x.end(task, "done")
		case now > x.leaseEnd:
			x.end(task, "lapsed")
		}
	}
}

func (x *executor) hold(r *http.Request, o order) {
	x.leaseEnd = max(x.leaseEnd, min(time.Duration(o.DeadlineMs)*time.Millisecond, x.clock()+holdMax))
	kept := x.ends[:0]
	for _, e := range x.ends {
		if e.number > o.AckedUpto {
			kept = append(kept, e)
			continue
		}
		if e.kind == "done" {
			x.lab.noted(e.task, e.run, x.id)
		}
	}
	x.ends = kept
	if len(x.ends) > 0 || o.WaitMs == 0 {
		return
	}
	wait := time.Duration(o.WaitMs) * time.Millisecond
	for _, r := range x.runs {
		if r.endsAt > 0 {
			wait = min(wait, r.endsAt-x.clock())
		}
	}
	if x.changed == nil {
		x.changed = make(chan struct{})
	}
	changed := x.changed
	x.mu.Unlock()
	select {
	case <-time.After(max(wait, time.Millisecond)):
	case <-changed:
	case <-r.Context().Done():
	}
	x.mu.Lock()
	x.endDue()
}

// maxEnds is the number of ended runs in one answer.
const maxEnds = 500

func (x *executor) report() map[string]any {
	running, ended := []any{}, []any{}
	for task, r := range x.runs {
		running = append(running, []any{task, r.number, "", x.percent(r), 100})
	}
	for _, e := range x.ends[:min(len(x.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.kind, ""})
	}
	return map[string]any{"running": running, "ended": ended}
}

func (x *executor) percent(r *run) int {
	done := x.clock() - r.startsAt
	switch {
	case r.endsAt > 0:
		return int(100 * done / (r.endsAt - r.startsAt))
	case done >= readyAfter:
		return 100
	}
	return 0
}

// tick ends what is due, as the executor would without a call.
func (x *executor) tick() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.gone {
		x.endDue()
	}
}

// isGone reports whether the executor has crashed.
func (x *executor) isGone() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gone
}

// crash ends the executor with all that it runs, without a word.
func (x *executor) crash() {
	x.mu.Lock()
	x.gone = true
	for task, r := range x.runs {
		x.lab.note("run", "%s run %d is gone with %s", task, r.number, x.id)
		x.lab.ended(task, "gone")
	}
	x.runs = map[string]*run{}
	x.mu.Unlock()
	_ = x.server.Close()
}

// load returns the number of runs.
func (x *executor) load() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.runs)
}

func newID(prefix string, n int) string {
	return fmt.Sprintf("%s-%010x", prefix, 0x1a61d158c1+int64(n)*7919)
}
