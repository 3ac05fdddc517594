package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citronlab/site"
)

// runChecker follows all runs on all workers and collects violations of the scheduler's guarantees: a task runs on one
// worker at a time and is not started again after a successful run whose end the scheduler acknowledges.
type runChecker struct {
	mu         sync.Mutex
	tasks      map[string]*task
	violations []string
	startCount int
	// expiredCount counts the runs that ended because their worker's lease expired.
	expiredCount int
	// firstStarts holds the first start under each fencing token, by increasing token.
	firstStarts []site.Event
}

// task is the state of one task as seen on the workers.
type task struct {
	// running holds the number of the current run on each worker.
	running map[*site.Instance]int
	// doneAt is when each successful run ended.
	doneAt map[site.RunID]time.Duration
	// acknowledged is set once the scheduler has acknowledged the end of a successful run.
	acknowledged bool
	lastStart    time.Duration
}

func newRunChecker() *runChecker {
	return &runChecker{tasks: map[string]*task{}}
}

// record applies a worker event and checks it.
func (c *runChecker) record(v site.Event) {
	if v.Kind == site.RunStarted {
		c.endDueRunsElsewhere(v)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Kind == site.WorkerGone {
		for _, t := range c.tasks {
			delete(t.running, v.Worker)
		}
		return
	}
	t := c.tasks[v.Task]
	if t == nil {
		t = &task{running: map[*site.Instance]int{}, doneAt: map[site.RunID]time.Duration{}}
		c.tasks[v.Task] = t
	}
	switch v.Kind {
	case site.RunStarted:
		c.recordStart(v, t)
	case site.RunEnded:
		delete(t.running, v.Worker)
		if v.EndKind == citron.EndDone {
			t.doneAt[v.RunID()] = v.At
		}
		if v.EndKind == citron.EndLeaseExpired {
			c.expiredCount++
		}
	case site.EndAcknowledged:
		if v.EndKind == citron.EndDone && !v.LeaseExpired {
			t.acknowledged = true
			done := t.doneAt[v.RunID()]
			c.reportIf(t.lastStart > done, "%s ended on %s at %v, was started again at %v, and the end was acknowledged at %v", v.Task, v.Worker.ID, done, t.lastStart, v.At)
		}
	default:
	}
}

// endDueRunsElsewhere ends due runs on the other workers on which a started task was running, so that they do not count
// as concurrent runs. The checker is unlocked during EndDueRuns, because that calls record.
func (c *runChecker) endDueRunsElsewhere(v site.Event) {
	c.mu.Lock()
	var others []*site.Instance
	if t := c.tasks[v.Task]; t != nil {
		for other := range t.running {
			if other != v.Worker {
				others = append(others, other)
			}
		}
	}
	c.mu.Unlock()
	for _, other := range others {
		other.EndDueRuns()
	}
}

// recordStart checks that a started task runs on no other worker and has no acknowledged end. The checker is locked.
func (c *runChecker) recordStart(v site.Event, t *task) {
	c.startCount++
	if n := len(c.firstStarts); n == 0 || v.Token > c.firstStarts[n-1].Token {
		c.firstStarts = append(c.firstStarts, v)
	}
	for other := range t.running {
		c.reportIf(other != v.Worker, "%s runs on %s and is started on %s", v.Task, other.ID, v.Worker.ID)
	}
	c.reportIf(t.acknowledged, "%s is started although its end was acknowledged", v.Task)
	t.running[v.Worker] = v.Run
	t.lastStart = v.At
}

// reportIf adds a violation if violated is set. The checker is locked.
func (c *runChecker) reportIf(violated bool, format string, args ...any) {
	if violated {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// listViolations returns the violations found so far.
func (c *runChecker) listViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// starts returns the number of started runs.
func (c *runChecker) starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount
}

// leaseExpiries returns the number of runs that ended because a lease expired.
func (c *runChecker) leaseExpiries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expiredCount
}

// startedTasks returns the number of tasks of a job that were started at least once.
func (c *runChecker) startedTasks(job string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.tasks {
		if strings.HasPrefix(name, job+".") {
			n++
		}
	}
	return n
}

// firstStartAfter returns the time of the first start under a fencing token higher than the given one; false if there
// was none.
func (c *runChecker) firstStartAfter(token uint64) (at time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.firstStarts {
		if v.Token > token {
			return v.At, true
		}
	}
	return 0, false
}
