package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of the stand-in's workers, as the platform's pages set them.
const (
	holdMax       = 6 * time.Second
	maxEndsListed = 500
	maxWait       = 2 * time.Second
	tick          = 5 * time.Millisecond
)

// taskSpec is what a worker needs to know of a task of a step.
type taskSpec struct {
	runTime time.Duration
	count   int
	cpu     int
	gang    bool
	// lasts is set for tasks that run until they are stopped; startup is the time until such a task is at work.
	lasts   bool
	startup time.Duration
	mayMiss int
}

// run is a run in progress.
type run struct {
	task    string
	number  int
	spec    taskSpec
	started time.Time
	// endsAt is when the run is done; zero if that is not known.
	endsAt time.Time
	// failsAt and brokenAt are when the run fails or ends with another member of its gang; zero if it does not.
	failsAt, brokenAt time.Time
}

// percent is the progress that the worker reports.
func (r *run) percent(now time.Time) int {
	if !r.spec.lasts {
		return 50
	}
	if now.Sub(r.started) >= r.spec.startup {
		return 100
	}
	return 10
}

// end is an ended run that has not been acknowledged.
type end struct {
	number int64
	task   string
	run    int
	how    string
	lapsed bool
	// listed is set once an answer has listed the end.
	listed bool
}

// life is one life of a worker: one executor process.
type life struct {
	bed     *bed
	id      string
	machine string
	rack    string
	born    int64
	// began is the start of the life; its clock shows clockBase then.
	began     time.Time
	clockBase time.Duration
	address   string
	server    *http.Server
	grey      bool
	cut       chan struct{}

	// All below is guarded by bed.mu.
	token    uint64
	lease    time.Duration
	runs     map[string]*run
	highest  map[string]int
	ends     []*end
	endCount int64
	gone     bool
	news     chan struct{}
}

// clock returns the worker's own clock.
func (l *life) clock() time.Duration { return l.clockBase + time.Since(l.began) }

// serve starts the worker's port.
func (l *life) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	return nil
}

// order is the body of every call.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"spec"`
	DeadlineMs *int64 `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Acked      int64  `json:"acked_upto"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP handles run-start, run-stop and hold.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Citroncross-Expect-Instance"); want != "" && want != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := strings.TrimPrefix(r.URL.Path, "/citroncross/")
	b := l.bed
	b.mu.Lock()
	if l.gone {
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	reason := ""
	switch {
	case o.Token < l.token:
		reason = "fence"
	case call == "run-start":
		l.token = o.Token
		if reason = l.start(o); reason != "" {
			b.log("start %s run %d refused by %s born %d: %s", o.Task, o.Run, l.id, l.born, reason)
		}
	case call == "run-stop":
		l.token = o.Token
		l.stop(o)
	case call == "hold" && b.holdLate():
		b.log("hold at %s born %d, acked_upto %d, gets no answer", l.id, l.born, o.Acked)
		b.mu.Unlock()
		go b.carryOutLate(l.id, o)
		<-r.Context().Done()
		return
	case call == "hold":
		l.token = o.Token
		l.extend(o)
		l.acknowledge(o.Acked)
	}
	if call == "hold" && reason == "" {
		l.wait(r, time.Duration(o.WaitMs)*time.Millisecond)
		body := l.report()
		gone := l.gone
		b.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, body)
		return
	}
	clock := l.clock().Milliseconds()
	b.mu.Unlock()
	if reason != "" {
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": clock})
}

// extend extends the lease; it never shortens it. A lease longer than holdMax is shortened to that.
func (l *life) extend(o order) {
	if o.DeadlineMs == nil {
		return
	}
	until := min(time.Duration(*o.DeadlineMs)*time.Millisecond, l.clock()+holdMax)
	l.lease = max(l.lease, until)
}

// start starts a run and returns the reason of a refusal, or "".
func (l *life) start(o order) string {
	if o.DeadlineMs == nil || time.Duration(*o.DeadlineMs)*time.Millisecond <= l.clock() {
		return "late"
	}
	l.extend(o)
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= l.highest[o.Task] || l.runs[o.Task] != nil {
		return "old"
	}
	spec, known := l.bed.specOf(o.Task)
	r := &run{task: o.Task, number: o.Run, spec: spec, started: time.Now()}
	l.highest[o.Task] = o.Run
	l.runs[o.Task] = r
	l.bed.started(l, r, known, o)
	return ""
}

// stop ends a run, and keeps it and earlier ones from being started later.
func (l *life) stop(o order) {
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	if r := l.runs[o.Task]; r != nil && r.number <= o.Run {
		l.endRun(r, "stopped")
	}
}

// endRun lists the end of a run.
func (l *life) endRun(r *run, how string) {
	delete(l.runs, r.task)
	l.endCount++
	e := &end{number: l.endCount, task: r.task, run: r.number, how: how}
	l.ends = append(l.ends, e)
	l.bed.ended(l, r, how)
	close(l.news)
	l.news = make(chan struct{})
}

// acknowledge forgets the ends up to a number.
func (l *life) acknowledge(upto int64) {
	l.ends = slices.DeleteFunc(l.ends, func(e *end) bool {
		if e.number <= upto {
			l.bed.acknowledged(l, e)
		}
		return e.number <= upto
	})
}

// carryOutLate carries out a hold call seconds later, whatever life the worker is in by then.
func (b *bed) carryOutLate(id string, o order) {
	b.mu.Lock()
	delay := lateFrom + time.Duration(b.rng.Int64N(int64(lateTo-lateFrom)))
	b.mu.Unlock()
	time.Sleep(delay)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.lives {
		if l.id != id || l.gone || o.Token < l.token {
			continue
		}
		l.token = o.Token
		l.extend(o)
		if o.Acked > 0 {
			b.log("late hold at %s born %d: acked_upto %d, of %d ends so far", l.id, l.born, o.Acked, l.endCount)
		}
		l.acknowledge(o.Acked)
	}
}

// holdLate reports whether a hold call gets no answer. The lock is held.
func (b *bed) holdLate() bool {
	return time.Now().Before(b.lateUntil) && b.rng.Float64() < lateShare
}

// wait waits for an end while there is none to list. The lock is held, but not during the wait.
func (l *life) wait(r *http.Request, d time.Duration) {
	if len(l.ends) > 0 || d <= 0 {
		return
	}
	news := l.news
	l.bed.mu.Unlock()
	select {
	case <-time.After(min(d, maxWait)):
	case <-news:
	case <-r.Context().Done():
	case <-l.cut:
	}
	l.bed.mu.Lock()
}

// report returns the body of the answer to a hold call.
func (l *life) report() any {
	now := time.Now()
	running, ended := []any{}, []any{}
	for _, r := range l.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(now), 1000})
	}
	for _, e := range l.ends[:min(len(l.ends), maxEndsListed)] {
		e.listed = true
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born, "running": running, "ended": ended}
}

// step lets time pass: leases lapse and runs end.
func (l *life) step(now time.Time) {
	if l.gone {
		return
	}
	if len(l.runs) > 0 && l.clock() > l.lease {
		for _, r := range l.sorted() {
			l.endRun(r, "lapsed")
		}
		for _, e := range l.ends {
			e.lapsed = true
		}
	}
	for _, r := range l.sorted() {
		switch {
		case !r.failsAt.IsZero() && !now.Before(r.failsAt):
			l.endRun(r, "failed")
		case !r.brokenAt.IsZero() && !now.Before(r.brokenAt):
			l.endRun(r, "broken")
		case !r.endsAt.IsZero() && !now.Before(r.endsAt):
			l.endRun(r, "done")
		}
	}
}

func (l *life) sorted() (list []*run) {
	for _, r := range l.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return list
}

// entry returns the record with which the worker registers.
func (l *life) entry(seq int) []byte {
	raw, err := json.Marshal(map[string]any{
		"service": service, "address": l.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": seq,
		"born": l.born, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "labels": []string{"a", l.rack},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// parseTask splits the name of a task: ID.K.STEP.INDEX.
func parseTask(task string) (job string, occurrence, step, index int, err error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, fmt.Errorf("task name %q", task)
	}
	numbers := [3]int{}
	for n := range numbers {
		if numbers[n], err = strconv.Atoi(parts[n+1]); err != nil {
			return "", 0, 0, 0, err
		}
	}
	return parts[0], numbers[0], numbers[1], numbers[2], nil
}
