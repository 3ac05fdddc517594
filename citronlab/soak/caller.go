package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
)

const (
	// callTimeout is how long a caller waits for the answer to a request.
	callTimeout = 3 * time.Second
	// submitInterval is the pause of a caller after each job and after each failed attempt to submit it.
	submitInterval = 60 * time.Millisecond
	// submitAttempts is how many times a caller tries to submit a job.
	submitAttempts = 5
)

// job is a submitted job and what its caller has learned about it.
type job struct {
	tasks int
	// accepted is set if an attempt was answered with 200, refused if every attempt was answered with 429 or 503.
	accepted, refused bool
	// cancelled is set once the caller has sent a cancellation, answered or not.
	cancelled bool
}

// caller submits jobs, each request to a random daemon, until it is stopped.
type caller struct {
	soak *soak
	// n is part of the job ids and makes them unique among the callers.
	n       int
	rng     *rand.Rand
	jobs    map[string]*job
	client  site.Client
	cancel  context.CancelFunc
	stopped chan error
	// requests counts the requests, refused those that were refused because of accepted jobs.
	requests, refused int
}

// start submits jobs in the background until stop is called.
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

// stop stops the caller and waits for its last request. It may be called more than once.
func (c *caller) stop() {
	if c.cancel == nil {
		return
	}
	c.cancel()
	<-c.stopped
	c.cancel = nil
}

// jobKinds are the bodies of submitted jobs with their numbers of tasks. There are no gangs among them: the stand-in's
// workers run each member independently, so a member could end as done that would never have started to work on the
// platform.
var jobKinds = []struct {
	tasks int
	body  string
}{
	{1, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":120}]}`},
	{3, `{"spec":"x","steps":[{"count":3,"cpu":2000,"mem_mb":100,"estimate_ms":120}]}`},
	{4, `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":120},{"count":2,"cpu":1000,"mem_mb":100,"after":[0]}]}`},
}

// submit tries to submit a job until it is accepted, and cancels 1 of 12 accepted jobs.
func (c *caller) submit(ctx context.Context, id string) {
	j, body := c.newJob()
	c.jobs[id] = j
	for range submitAttempts {
		status := c.request(http.MethodPost, id, body)
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

// request sends a request about a job to a random daemon. The status is 0 if there was no complete answer.
func (c *caller) request(method, id, body string) (status int) {
	status, answer := c.client.Call(c.soak.randomFront(c.rng), method, "/quick/"+id, body)
	c.requests++
	if status == http.StatusServiceUnavailable && strings.Contains(answer, noRoom) {
		c.refused++
	}
	return status
}

// noRoom is part of a refusal because of accepted jobs. Requests that are refused beside stalled ones have another reason.
var noRoom = (&admit.Refused{}).Error()

// state requests the state of a job: "none" if the daemon answers that it does not exist, "" if no state was returned.
func (c *caller) state(id string) string {
	status, state := c.client.State(c.soak.randomFront(c.rng), "/quick/"+id)
	if status == http.StatusGone {
		return "none"
	}
	return state
}
