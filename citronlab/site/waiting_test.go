package site

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// waitingJob is a job that no worker has room for, so that it waits until the end of a test.
const waitingJob = `{"spec":"x","steps":[{"count":1,"cpu":900000,"mem_mb":100}]}`

// startWithWaitingJobs starts a cell of two daemons with waiting jobs, and ends the daemon that does not hold the pool.
func startWithWaitingJobs(t *testing.T, ip string, jobs int) (c *cell, ended int) {
	t.Helper()
	c = startCell(t, ip, 2)
	for range jobs {
		c.submit(waitingJob)
	}
	ended = 1 - c.holder()
	want := fmt.Sprintf(`{"pending":%d}`, jobs)
	c.waitUntil(func() bool { return c.countWaiting(c.holder()) == want })
	c.daemons[ended].Kill()
	c.daemons[ended] = nil
	return c, ended
}

// countWaiting asks a daemon for the waiting jobs of a queue until it answers with 200.
func (c *cell) countWaiting(front int) (answer string) {
	c.waitUntil(func() bool {
		status, body := c.call(front, http.MethodGet, "/quick/", "")
		answer = strings.TrimSpace(body)
		return status == http.StatusOK
	})
	return answer
}

// Topics of the daemons' records in the store.
const (
	jobsTopic     = "keyed.citron.jobs"
	progressTopic = "keyed.citron.progress"
)

// failNewest makes the store fail reads of the newest records of a topic's first partition; fails gets the number of the
// call, starting at 1.
func (c *cell) failNewest(failing string, fails func(call int64) bool) (calls *atomic.Int64) {
	calls = &atomic.Int64{}
	c.site.Store.SetFailures(func(call, topic, part string) Failure {
		if call == "log-newest" && topic == failing && part == "0" && fails(calls.Add(1)) {
			return Busy
		}
		return NoFailure
	})
	return calls
}

// always makes every call fail.
func always(int64) bool { return true }

// loaded reports whether a daemon has read all partitions of jobs and progress.
func (c *cell) loaded(n int) bool {
	_, metrics := c.client.Call(c.metrics[n], http.MethodGet, "/metrics", "")
	return strings.Contains(metrics, "citron_partitions_not_loaded 0\n")
}

// Guards against a restarted daemon that counts only the jobs that it has accepted itself.
func TestWaitingJobsAreNotCountedBeforeTheyAreRead(t *testing.T) {
	const jobs = 30
	c, restarted := startWithWaitingJobs(t, "127.0.0.45", jobs)
	c.failNewest(jobsTopic, always)
	c.launch(restarted)
	if got, want := c.countWaiting(restarted), fmt.Sprintf(`{"pending":%d}`, jobs); got != want {
		t.Errorf("restarted daemon answers %s, want %s", got, want)
	}
}

// Guards against a made-up count if no daemon has read the accepted jobs.
func TestWaitingJobsAreRefusedWhileNoDaemonKnowsThem(t *testing.T) {
	c, restarted := startWithWaitingJobs(t, "127.0.0.46", 3)
	calls := c.failNewest(jobsTopic, always)
	holder := 1 - restarted
	c.daemons[holder].Kill()
	c.daemons[holder] = nil
	c.launch(restarted)
	for calls.Load() < 5 {
		if status, body := c.call(restarted, http.MethodGet, "/quick/", ""); status != http.StatusServiceUnavailable {
			t.Fatalf("answer %d %s, want %d", status, body, http.StatusServiceUnavailable)
		}
	}
	c.site.Store.SetFailures(nil)
	if got, want := c.countWaiting(restarted), `{"pending":3}`; got != want {
		t.Errorf("the daemon answers %s after it has read the jobs, want %s", got, want)
	}
}

// Guards against a count that is older than callers are told.
func TestWaitingJobsAreRefusedOnceReadsHang(t *testing.T) {
	c := startCell(t, "127.0.0.48", 1)
	c.submit(waitingJob)
	if got, want := c.countWaiting(0), `{"pending":1}`; got != want {
		t.Errorf("the daemon answers %s, want %s", got, want)
	}
	c.site.Store.SetFailures(func(call, topic, part string) Failure {
		if call == "log-read" && topic == jobsTopic && part == "0" {
			return Unresponsive
		}
		return NoFailure
	})
	c.waitUntil(func() bool {
		status, _ := c.call(0, http.MethodGet, "/quick/", "")
		return status == http.StatusServiceUnavailable
	})
}

// Guards against a load that starts again at the first page after each failure and so never ends.
func TestPartitionIsLoadedAlthoughSomePagesFail(t *testing.T) {
	c, restarted := startWithWaitingJobs(t, "127.0.0.47", 4*pageSize)
	calls := c.failNewest(jobsTopic, func(call int64) bool { return call%3 == 0 })
	c.launch(restarted)
	c.waitUntil(func() bool {
		if calls.Load() > 30 {
			t.Fatalf("partition of 4 pages not loaded after %d calls", calls.Load())
		}
		return c.loaded(restarted)
	})
}

// Guards against a restarted daemon that reports a completed job as queued, since it has read the job but no progress.
func TestStateIsNotReportedWithoutProgress(t *testing.T) {
	c := startCell(t, "127.0.0.51", 2)
	ids := []string{c.submit(twoSteps)}
	c.waitUntilCompleted(ids)
	holder := c.holder()
	restarted := 1 - holder
	c.daemons[restarted].Kill()
	c.failNewest(progressTopic, always)
	c.launch(restarted)
	awaitState := func() (state string) {
		c.waitUntil(func() bool {
			var status int
			status, state = c.client.State(c.fronts[restarted], "/quick/"+ids[0])
			return status == http.StatusOK
		})
		return state
	}
	if state := awaitState(); state != "completed" {
		t.Errorf("restarted daemon reports %q, want completed as the holder does", state)
	}
	c.daemons[holder].Kill()
	c.daemons[holder] = nil
	waiting := c.submitTo(restarted, waitingJob)
	for range 5 {
		if status, state := c.client.State(c.fronts[restarted], "/quick/"+waiting); status != http.StatusServiceUnavailable {
			t.Errorf("a daemon without progress answers %d %q, want %d", status, state, http.StatusServiceUnavailable)
		}
	}
	if status, _ := c.call(restarted, http.MethodDelete, "/quick/"+waiting, ""); status != http.StatusOK {
		t.Errorf("cancellation answered with %d, want %d", status, http.StatusOK)
	}
	c.site.Store.SetFailures(nil)
	if state := awaitState(); state != "completed" {
		t.Errorf("the daemon reports %q after it has read the progress, want completed", state)
	}
}
