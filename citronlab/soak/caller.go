package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// submitInterval separates the jobs of one caller.
	submitInterval = 60 * time.Millisecond
	// submitAttempts is how often a caller hands a job in.
	submitAttempts = 5
)

// job is what its caller was told.
type job struct {
	tasks int
	// accepted is set after an answer that says so, refused where every answer was a refusal.
	accepted, refused bool
	cancelled         bool
}

// caller hands in jobs at one daemon after the other until it is ended.
type caller struct {
	soak    *soak
	n       int
	rng     *rand.Rand
	jobs    map[string]*job
	client  site.Client
	cancel  context.CancelFunc
	stopped chan error
}

func (c *caller) start(ctx context.Context) {
	run, cancel := context.WithCancel(ctx)
	c.jobs, c.cancel, c.stopped = map[string]*job{}, cancel, make(chan error, 1)
	c.client.HTTP.Timeout = callTimeout
	go func() {
		for n := 0; run.Err() == nil; n++ {
			c.submit(run, fmt.Sprintf("%04x%012x", c.n, n))
			timer.Pause(run, clock, submitInterval)
		}
		c.stopped <- nil
	}()
}

// stop ends the caller; it may be called again.
func (c *caller) stop() {
	if c.cancel == nil {
		return
	}
	c.cancel()
	<-c.stopped
	c.cancel = nil
}

// jobKinds of jobs by their number of tasks. There are no gangs among them: the stand-in's workers let each member run by
// itself, so one may end done that never began to work on the platform.
var jobKinds = []struct {
	tasks int
	body  string
}{
	{1, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":120}]}`},
	{3, `{"spec":"x","steps":[{"count":3,"cpu":2000,"mem_mb":100,"estimate_ms":120}]}`},
	{4, `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":120},{"count":2,"cpu":1000,"mem_mb":100,"after":[0]}]}`},
}

// submit sends one job until it is accepted, and cancels some.
func (c *caller) submit(ctx context.Context, id string) {
	kind := jobKinds[c.rng.IntN(len(jobKinds))]
	j := &job{tasks: kind.tasks, refused: true}
	c.jobs[id] = j
	for range submitAttempts {
		status := c.request(http.MethodPost, id, kind.body)
		if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			j.refused = false
		}
		if status == http.StatusOK {
			j.accepted = true
			break
		}
		timer.Pause(ctx, clock, submitInterval)
	}
	if j.accepted && c.rng.IntN(12) == 0 {
		j.cancelled = true
		c.request(http.MethodDelete, id, "")
	}
}

// request sends a request about a job to some daemon; status 0 means that no answer came.
func (c *caller) request(method, id, body string) (status int) {
	status, _ = c.client.Call(c.randomFront(), method, "/quick/"+id, body)
	return status
}

// randomFront is the address of some daemon.
func (c *caller) randomFront() string {
	return c.soak.daemons[c.rng.IntN(len(c.soak.daemons))].front
}

// state asks for a job's state; "none" if it is not known, empty without an answer.
func (c *caller) state(id string) string {
	status, state := c.client.State(c.randomFront(), "/quick/"+id)
	if status == http.StatusGone {
		return "none"
	}
	return state
}
