package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citronlab/site"
)

// holdMax is the longest lease that a worker gives, as hold_max_ms in the settings.
const holdMax = 6 * time.Second

// heartbeat is the interval at which a worker writes its entry.
const heartbeat = 1500 * time.Millisecond

// Worker is an executor that can crash and start again at its address under a new id.
type Worker struct {
	number  int
	store   *site.Store
	record  *Record
	cpu     int
	memMb   int
	address string

	mu   sync.Mutex
	life *life
}

// life is one life of a worker.
type life struct {
	worker *Worker
	id     string
	born   time.Time
	server *http.Server

	mu      sync.Mutex
	dead    bool
	quit    chan struct{}
	token   uint64
	lease   time.Duration
	running map[string]*runningTask
	highest map[string]int
	ended   []endedTask
	ends    int64
	changed chan struct{}
}

type runningTask struct {
	run   int
	timer *time.Timer
}

type endedTask struct {
	number int64
	task   string
	run    int
	how    string
}

// Start begins a life of the worker at its address; the first one chooses the address.
func (w *Worker) Start(lives int) error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	l := &life{
		worker: w, id: fmt.Sprintf("i-%02d%06d", w.number, lives), born: time.Now(), quit: make(chan struct{}),
		running: map[string]*runningTask{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(listener) }()
	go l.beat()
	w.mu.Lock()
	w.life = l
	w.mu.Unlock()
	w.record.Add("worker %02d starts as %s", w.number, l.id)
	return nil
}

// Crash ends the life of the worker. Its port refuses connections from then on.
func (w *Worker) Crash() {
	w.mu.Lock()
	l := w.life
	w.mu.Unlock()
	l.mu.Lock()
	l.dead = true
	close(l.quit)
	var lost []string
	for task, r := range l.running {
		r.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s/%d", task, r.run))
	}
	l.mu.Unlock()
	_ = l.server.Close()
	w.record.Add("worker %02d (%s) crashes with %d runs: %s", w.number, l.id, len(lost), strings.Join(lost, " "))
	go func() {
		// The entry of a silent worker goes after three intervals.
		time.Sleep(3 * heartbeat)
		w.store.Put("keyed.servers", l.id, nil)
	}()
}

func (l *life) clock() time.Duration { return time.Since(l.born) + time.Hour }

// beat writes the entry and ends what has outlived its lease.
func (l *life) beat() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for seq := 0; ; seq++ {
		if seq%int(heartbeat/(50*time.Millisecond)) == 0 {
			entry, err := json.Marshal(map[string]any{
				"service": "svc", "address": l.worker.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
				"capacity": map[string]int{"cpu": l.worker.cpu, "mem_mb": l.worker.memMb, "gpu": 0},
				"labels":   []string{"a", fmt.Sprintf("r%d", l.worker.number/6)}, "seq": seq,
			})
			if err != nil {
				panic(err)
			}
			l.worker.store.Put("keyed.servers", l.id, entry)
		}
		l.mu.Lock()
		if !l.dead && len(l.running) > 0 && l.clock() > l.lease {
			for task := range l.running {
				l.end(task, "lapsed")
			}
		}
		l.mu.Unlock()
		select {
		case <-tick.C:
		case <-l.quit:
			return
		}
	}
}

// end ends a run. It requires mu.
func (l *life) end(task, how string) {
	r := l.running[task]
	if r == nil || l.dead {
		return
	}
	r.timer.Stop()
	delete(l.running, task)
	l.ends++
	l.ended = append(l.ended, endedTask{l.ends, task, r.run, how})
	l.worker.record.Ended(task, r.run, how, l.id)
	close(l.changed)
	l.changed = make(chan struct{})
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

// ServeHTTP answers run-start, run-stop and hold.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Citroncross-Expect-Instance"); want != "" && want != l.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < l.token {
		l.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock_ms": l.clock().Milliseconds(), "reason": "fence"})
		return
	}
	l.token = o.Token
	switch strings.TrimPrefix(r.URL.Path, "/citroncross/") {
	case "run-start":
		status, reason := l.start(o)
		l.mu.Unlock()
		body := map[string]any{"clock_ms": l.clock().Milliseconds()}
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	case "run-stop":
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if r := l.running[o.Task]; r != nil && r.run <= o.Run {
			l.end(o.Task, "stopped")
		}
		l.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds()})
	case "hold":
		l.hold(w, r, o)
	default:
		l.mu.Unlock()
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

// extend moves the end of the lease. It requires mu.
func (l *life) extend(deadlineMs int64) {
	if deadlineMs > 0 {
		l.lease = max(l.lease, min(time.Duration(deadlineMs)*time.Millisecond, l.clock()+holdMax))
	}
}

// start begins a run. It requires mu.
func (l *life) start(o order) (status int, reason string) {
	if r := l.running[o.Task]; r != nil && r.run == o.Run {
		l.extend(o.DeadlineMs)
		return http.StatusOK, ""
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond < l.clock() {
		return http.StatusConflict, "late"
	}
	l.extend(o.DeadlineMs)
	if o.Run <= l.highest[o.Task] || l.running[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	l.highest[o.Task] = o.Run
	task := o.Task
	l.running[task] = &runningTask{run: o.Run, timer: time.AfterFunc(runTime(task, o.Spec), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if r := l.running[task]; r != nil && r.run == o.Run {
			l.end(task, "done")
		}
	})}
	l.worker.record.Started(task, o.Run, l.id)
	return http.StatusOK, ""
}

// hold extends the lease and answers with both lists, at the latest after the wait. It requires mu and unlocks it.
func (l *life) hold(w http.ResponseWriter, r *http.Request, o order) {
	l.extend(o.DeadlineMs)
	for len(l.ended) > 0 && l.ended[0].number <= o.AckedUpto {
		l.worker.record.Acked(l.ended[0].task, l.ended[0].how)
		l.ended = l.ended[1:]
	}
	if len(l.ended) == 0 && o.WaitMs > 0 {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-l.quit:
			panic(http.ErrAbortHandler)
		}
		l.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range l.running {
		running = append(running, []any{task, r.run, "", 100, 0})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	l.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds(), "running": running, "ended": ended})
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// runTime returns how long a task works: the spec holds the milliseconds of a task of each step.
func runTime(task, spec string) time.Duration {
	var ms []int
	var step int
	if fields := strings.Split(task, "."); len(fields) == 4 {
		_, _ = fmt.Sscan(fields[2], &step)
	}
	if json.Unmarshal([]byte(spec), &ms) != nil || step >= len(ms) {
		return time.Second
	}
	return time.Duration(ms[step]) * time.Millisecond
}
