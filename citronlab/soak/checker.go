package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citronlab/site"
)

// runChecker follows all runs on all workers and notes each promise that is not kept.
type runChecker struct {
	mu           sync.Mutex
	tasks        map[string]*task
	violations   []string
	startCount   int
	expiredCount int
	// firstStarts lists each fencing token with the first run that it started.
	firstStarts []site.Event
}

// task is what is known of one task.
type task struct {
	// running are the runs on workers.
	running map[*site.Executor]int
	// doneAt is when each run that ended done did so, forgotten whether one of these ends has been taken note of.
	doneAt       map[site.RunID]time.Duration
	acknowledged bool
	lastStart    time.Duration
}

func newRunChecker() *runChecker {
	return &runChecker{tasks: map[string]*task{}}
}

// record takes in one event.
func (l *runChecker) record(v site.Event) {
	if v.Kind == site.RunStarted {
		l.settleOtherWorkers(v)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Kind == site.WorkerGone {
		for _, t := range l.tasks {
			delete(t.running, v.Worker)
		}
		return
	}
	t := l.tasks[v.Task]
	if t == nil {
		t = &task{running: map[*site.Executor]int{}, doneAt: map[site.RunID]time.Duration{}}
		l.tasks[v.Task] = t
	}
	switch v.Kind {
	case site.RunStarted:
		l.recordStart(v, t)
	case site.RunEnded:
		delete(t.running, v.Worker)
		if v.How == citron.EndDone {
			t.doneAt[v.RunID()] = v.At
		}
		if v.How == citron.EndLeaseExpired {
			l.expiredCount++
		}
	case site.EndForgotten:
		if v.How == citron.EndDone && !v.Lapsed {
			t.acknowledged = true
			done := t.doneAt[v.RunID()]
			l.reportIf(t.lastStart > done, "%s ended on %s at %v, was started again at %v, and the end was taken note of at %v", v.Task, v.Worker.ID, done, t.lastStart, v.At)
		}
	default:
	}
}

// settleOtherWorkers ends what is over on the workers that a task may still run on. A worker is not asked while the ledger is
// locked, since it tells of the ends.
func (l *runChecker) settleOtherWorkers(v site.Event) {
	l.mu.Lock()
	var others []*site.Executor
	if t := l.tasks[v.Task]; t != nil {
		for other := range t.running {
			if other != v.Worker {
				others = append(others, other)
			}
		}
	}
	l.mu.Unlock()
	for _, other := range others {
		other.Settle()
	}
}

func (l *runChecker) recordStart(v site.Event, t *task) {
	l.startCount++
	if n := len(l.firstStarts); n == 0 || v.Token > l.firstStarts[n-1].Token {
		l.firstStarts = append(l.firstStarts, v)
	}
	for other := range t.running {
		l.reportIf(other != v.Worker, "%s runs on %s and is started on %s", v.Task, other.ID, v.Worker.ID)
	}
	l.reportIf(t.acknowledged, "%s is started although its end was taken note of", v.Task)
	t.running[v.Worker] = v.Run
	t.lastStart = v.At
}

func (l *runChecker) reportIf(broken bool, format string, about ...any) {
	if broken {
		l.violations = append(l.violations, fmt.Sprintf(format, about...))
	}
}

// listViolations lists what was noted.
func (l *runChecker) listViolations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

func (l *runChecker) starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startCount
}

func (l *runChecker) leaseExpiries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expiredCount
}

// startedTasks counts the tasks of a job that were started.
func (l *runChecker) startedTasks(job string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.tasks {
		if strings.HasPrefix(name, job+".") {
			n++
		}
	}
	return n
}

// firstStartAfter returns when a token higher than another one first started a run; false if none has.
func (l *runChecker) firstStartAfter(after uint64) (at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.firstStarts {
		if v.Token > after {
			return v.At, true
		}
	}
	return 0, false
}
