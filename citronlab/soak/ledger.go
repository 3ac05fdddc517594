package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citronlab/site"
)

// ledger follows all runs on all workers and notes each promise that is not kept.
type ledger struct {
	mu       sync.Mutex
	tasks    map[string]*task
	problems []string
	started  int
	lapsed   int
	// holders lists each fencing token with the first run that it started.
	holders []site.Event
}

// task is what is known of one task.
type task struct {
	// live are the runs on workers.
	live map[*site.Executor]int
	// done is when each run that ended done did so, forgotten whether one of these ends has been taken note of.
	done      map[site.RunID]time.Duration
	forgotten bool
	last      time.Duration
}

func newLedger() *ledger {
	return &ledger{tasks: map[string]*task{}}
}

// take takes in one event.
func (l *ledger) take(v site.Event) {
	if v.Kind == site.RunStarted {
		l.settleOthers(v)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Kind == site.WorkerGone {
		for _, t := range l.tasks {
			delete(t.live, v.Worker)
		}
		return
	}
	t := l.tasks[v.Task]
	if t == nil {
		t = &task{live: map[*site.Executor]int{}, done: map[site.RunID]time.Duration{}}
		l.tasks[v.Task] = t
	}
	switch v.Kind {
	case site.RunStarted:
		l.runStarted(v, t)
	case site.RunEnded:
		delete(t.live, v.Worker)
		if v.EndKind == citron.EndDone {
			t.done[v.RunID()] = v.At
		}
		if v.EndKind == citron.EndLeaseExpired {
			l.lapsed++
		}
	case site.EndAcknowledged:
		if v.EndKind == citron.EndDone && !v.LeaseExpired {
			t.forgotten = true
			done := t.done[v.RunID()]
			l.check(t.last > done, "%s ended on %s at %v, was started again at %v, and the end was taken note of at %v", v.Task, v.Worker.ID, done, t.last, v.At)
		}
	default:
	}
}

// settleOthers ends what is over on the workers that a task may still run on. A worker is not asked while the ledger is
// locked, since it tells of the ends.
func (l *ledger) settleOthers(v site.Event) {
	l.mu.Lock()
	var others []*site.Executor
	if t := l.tasks[v.Task]; t != nil {
		for other := range t.live {
			if other != v.Worker {
				others = append(others, other)
			}
		}
	}
	l.mu.Unlock()
	for _, other := range others {
		other.EndDueRuns()
	}
}

func (l *ledger) runStarted(v site.Event, t *task) {
	l.started++
	if n := len(l.holders); n == 0 || v.Token > l.holders[n-1].Token {
		l.holders = append(l.holders, v)
	}
	for other := range t.live {
		l.check(other != v.Worker, "%s runs on %s and is started on %s", v.Task, other.ID, v.Worker.ID)
	}
	l.check(t.forgotten, "%s is started although its end was taken note of", v.Task)
	t.live[v.Worker] = v.Run
	t.last = v.At
}

func (l *ledger) check(broken bool, format string, about ...any) {
	if broken {
		l.problems = append(l.problems, fmt.Sprintf(format, about...))
	}
}

// broken lists what was noted.
func (l *ledger) broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.problems...)
}

func (l *ledger) starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started
}

func (l *ledger) lapses() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lapsed
}

// runsOf counts the tasks of a job that were started.
func (l *ledger) runsOf(job string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.tasks {
		if strings.HasPrefix(name, job+".") {
			n++
		}
	}
	return n
}

// startedBy returns when a token higher than another one first started a run; false if none has.
func (l *ledger) startedBy(after uint64) (at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.holders {
		if v.Token > after {
			return v.At, true
		}
	}
	return 0, false
}
