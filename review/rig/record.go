package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes down what was sent, answered and run, and counts the runs of each task.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
	// ends holds the ends of each task by kind, doneAt when a task has first ended as done.
	ends   map[string]map[string]int
	doneAt map[string]time.Duration
	starts int
	// acked holds the tasks of which an end as done has been acknowledged; broken lists their later starts.
	acked map[string]bool
	// running holds the runs in progress.
	running map[string]bool
	broken  []string
}

// NewRecord writes to a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f, out: bufio.NewWriter(f), ends: map[string]map[string]int{}, doneAt: map[string]time.Duration{}, acked: map[string]bool{}, running: map[string]bool{}}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

func (r *Record) add(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Started records the start of a run.
func (r *Record) Started(task string, run int, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.running[fmt.Sprint(task, run, worker)] = true
	if r.acked[task] {
		r.broken = append(r.broken, fmt.Sprintf("TWICE: %s run %d starts on %s after an acknowledged end as done", task, run, worker))
	}
	r.add("start %s run %d on %s", task, run, worker)
}

// Acked records that the end of a run was acknowledged.
func (r *Record) Acked(task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if how == "done" {
		r.acked[task] = true
	}
}

// Ended records the end of a run.
func (r *Record) Ended(task string, run int, how, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, fmt.Sprint(task, run, worker))
	if r.ends[task] == nil {
		r.ends[task] = map[string]int{}
	}
	r.ends[task][how]++
	r.add("end %s run %d on %s: %s", task, run, worker, how)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Progress returns the number of starts so far and of the runs in progress.
func (r *Record) Progress() (starts, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts, len(r.running)
}
