package cell

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron/edits"
	"github.com/citroncross/citroncross/citron/front"
	"github.com/citroncross/citroncross/citron/stream"
	"github.com/citroncross/citroncross/schema/prefs"
)

// The tests of this package run cells of real daemons on loopback addresses. They poll for conditions and assert only
// safety properties; a condition that never holds ends in the timeout of go test.

// startCell starts a small cell with short leases and waits until every shard has an active owner.
func startCell(t *testing.T, net string, adjust func(*Options)) *Cell {
	t.Helper()
	o := Defaults()
	o.Net = net
	o.Log = io.Discard
	o.Daemons = 3
	o.Endpoints = 3
	o.Workers = 2
	o.AdjustSettings = func(d *prefs.Daemon) {
		d.Ownership.LeaseMs, d.Ownership.RenewMs, d.Ownership.BeatMs = 900, 150, 200
		d.Ownership.CallShards = 6
	}
	if adjust != nil {
		adjust(&o)
	}
	c, err := Start(o)
	t.Cleanup(func() { c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	if err := c.PublishExamples(context.Background(), "../../examples"); err != nil {
		t.Fatal(err)
	}
	waitUntil(c, func() bool { return c.Ready(2) })
	return c
}

// waitUntil polls until a condition holds.
func waitUntil(c *Cell, holds func() bool) {
	tick, stop := c.Timer.Every(10 * time.Millisecond)
	defer stop()
	for !holds() {
		<-tick
	}
}

// post sends a call to a daemon. The error is set if the connection broke before the answer was complete.
func post(c *Cell, daemon int, class, id string) (status int, outcome, body string, err error) {
	return postTraced(context.Background(), c, daemon, class, id)
}

// postTraced is post with a context, which may hold an HTTP client trace.
func postTraced(ctx context.Context, c *Cell, daemon int, class, id string) (status int, outcome, body string, err error) {
	url := c.CallerURL(daemon) + "/v1/teams/ballyhoura/calls/" + class
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"Site":"kanturk"}`))
	if err != nil {
		return 0, "", "", err
	}
	if id != "" {
		request.Header.Set(front.HeaderRequestID, id)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(front.HeaderOutcome), string(text), err
}

// waitUntilServing sends calls of a class to a daemon until one is done.
func waitUntilServing(c *Cell, daemon int, class string) {
	waitUntil(c, func() bool {
		status, outcome, _, err := post(c, daemon, class, "")
		return err == nil && status == http.StatusOK && outcome == "Done"
	})
}

// checkRecords checks in the records of the endpoints that no endpoint ran more calls at once than it has slots and that
// no sweep, which is a non-repeatable call, ran more than once.
func checkRecords(t *testing.T, c *Cell) {
	t.Helper()
	for _, e := range c.Endpoints {
		r := e.Record()
		if r.Most > r.Slots {
			t.Errorf("endpoint %s ran %d calls at once, want at most its %d slots", r.Name, r.Most, r.Slots)
		}
		for key, n := range r.Repeated {
			if strings.Contains(key, "/sweep/") {
				t.Errorf("non-repeatable call %s ran %d times on %s", key, n, r.Name)
			}
		}
	}
	sweeps := map[string]int{}
	for _, e := range c.Endpoints {
		for key, n := range e.Runs() {
			if strings.Contains(key, "/sweep/") {
				sweeps[key] += n
			}
		}
	}
	for key, n := range sweeps {
		if n > 1 {
			t.Errorf("non-repeatable call %s ran %d times over all endpoints", key, n)
		}
	}
}

func TestEveryDaemonServesAndRefuses(t *testing.T) {
	c := startCell(t, "127.3.1", nil)
	for n := range c.Daemons {
		waitUntilServing(c, n, "lookup")
		status, outcome, body, err := post(c, n, "nothing", "")
		if err != nil || status != http.StatusNotFound || outcome != "NotRun" || !strings.Contains(body, "102") {
			t.Errorf("call of an unknown class: got %d %s %q %v, want 404 NotRun with refusal 102", status, outcome, body, err)
		}
		status, outcome, _, err = post(c, n, "lookup", "no spaces allowed")
		if err != nil || status != http.StatusBadRequest || outcome != "NotRun" {
			t.Errorf("call with an invalid request id: got %d %s %v, want 400 NotRun", status, outcome, err)
		}
	}
}

func TestRepeatedRequestGetsFirstAnswer(t *testing.T) {
	c := startCell(t, "127.3.2", nil)
	var first string
	for n := range c.Daemons {
		waitUntil(c, func() bool {
			status, outcome, body, err := post(c, n, "sweep", "sweep-1")
			if err != nil || status != http.StatusOK || outcome != "Done" {
				return false
			}
			if first == "" {
				first = body
			}
			if body != first {
				t.Errorf("daemon %d answered the repeated request with %q, want the first answer %q", n, body, first)
			}
			return true
		})
	}
	checkRecords(t, c)
}

// TestCrashesAndLogOutage guards against a second run of a non-repeatable call, and against calls beyond an endpoint's
// slots, when daemons crash during a log outage and while answers of the log are lost, and callers repeat their requests.
func TestCrashesAndLogOutage(t *testing.T) {
	c := startCell(t, "127.3.3", nil)
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for n := range c.Daemons {
		load.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				id := "s-" + string(rune('a'+n)) + "-" + time.Duration(k).String()
				_, outcome, _, err := post(c, n, "sweep", id)
				if err != nil || outcome != "Done" {
					// The caller repeats the request at the next daemon with the same id.
					_, _, _, _ = post(c, (n+1)%len(c.Daemons), "sweep", id)
				}
				_, _, _, _ = post(c, n, "lookup", "")
			}
		})
	}
	c.Platform.SetLogDown(true)
	c.KillDaemon(1)
	waitUntilServing(c, 0, "lookup")
	c.Platform.SetLogDown(false)
	waitUntil(c, func() bool { return c.Ready(2) })
	if err := c.StartDaemon(1); err != nil {
		t.Fatal(err)
	}
	waitUntil(c, func() bool { return c.Ready(2) })
	c.Platform.LoseAnswers(5)
	c.KillDaemon(2)
	waitUntil(c, func() bool { return c.Ready(2) })
	waitUntilServing(c, 0, "sweep")
	cancel()
	load.Wait()
	checkRecords(t, c)
}

// TestPlannedStopTruncatesNoAnswer guards against answers that are cut off when a daemon stops with calls in flight,
// with the log available and during a log outage.
func TestPlannedStopTruncatesNoAnswer(t *testing.T) {
	c := startCell(t, "127.3.4", func(o *Options) { o.RunTime = 100 * time.Millisecond })
	for n := range c.Daemons {
		waitUntilServing(c, n, "lookup")
	}
	for _, logDown := range []bool{false, true} {
		c.Platform.SetLogDown(logDown)
		checkPlannedStop(t, c)
		c.Platform.SetLogDown(false)
		if err := c.StartDaemon(0); err != nil {
			t.Fatal(err)
		}
		waitUntil(c, func() bool { return c.Ready(2) })
		waitUntilServing(c, 0, "lookup")
	}
	checkRecords(t, c)
}

// checkPlannedStop stops daemon 0 after six calls have been sent to it and checks that no connection
// breaks and no answer is truncated.
func checkPlannedStop(t *testing.T, c *Cell) {
	t.Helper()
	const sent = 6
	var calls sync.WaitGroup
	var written, ended atomic.Int64
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { written.Add(1) }}
	for range sent {
		calls.Go(func() {
			defer ended.Add(1)
			status, _, body, err := postTraced(httptrace.WithClientTrace(context.Background(), trace), c, 0, "lookup", "")
			if err != nil || status == http.StatusOK && !strings.HasSuffix(body, "}\n") {
				t.Errorf("planned stop broke a call: error %v, body %q", err, body)
			}
		})
	}
	waitUntil(c, func() bool { return written.Load() >= sent })
	waitUntil(c, func() bool { return c.Daemons[0].InFlight() > 0 || ended.Load() == sent })
	if err := c.Daemons[0].Stop(); err != nil {
		t.Error(err)
	}
	c.Daemons[0] = nil
	calls.Wait()
	waitUntilServing(c, 1, "lookup")
	waitUntil(c, func() bool { return c.Ready(2) })
}

// TestRestartDuringOutageKeepsTemplates guards against a daemon that becomes ready with an older template than the
// others have in force, when it restarts while the log is unavailable.
func TestRestartDuringOutageKeepsTemplates(t *testing.T) {
	c := startCell(t, "127.3.5", nil)
	ctx := context.Background()
	if err := c.PublishExamples(ctx, "../../examples"); err != nil {
		t.Fatal(err)
	}
	waitUntil(c, func() bool {
		return c.templateVersion(0) == 2 && c.templateVersion(1) == 2 && c.templateVersion(2) == 2
	})
	c.Platform.SetLogDown(true)
	c.KillDaemon(2)
	if err := c.StartDaemon(2); err != nil {
		t.Fatal(err)
	}
	// The daemon must get the templates from its peers before it is ready, because the log is unavailable.
	waitUntil(c, func() bool {
		if c.Daemons[2].Ready() && c.templateVersion(2) < 2 {
			t.Error("daemon 2 is ready with an older template version than the others have in force")
		}
		return c.Daemons[2].Ready()
	})
	c.Platform.SetLogDown(false)
}

// templateVersion returns the version of ballyhoura's template that a daemon has in force, or 0.
func (c *Cell) templateVersion(daemon int) uint64 {
	for _, v := range c.Daemons[daemon].Status().GetTemplates() {
		if v.GetTeam() == "ballyhoura" {
			return v.GetVersion()
		}
	}
	return 0
}

// TestConcurrentPublishHasOneWinner guards against lost updates: of two operators that publish a change of the same
// version at once, one must succeed and the other must get a conflict.
func TestConcurrentPublishHasOneWinner(t *testing.T) {
	c := startCell(t, "127.3.6", nil)
	log := stream.New(c.PlatformURL(), nil)
	source, err := os.ReadFile("../../examples/bensalah.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("{{.SlotPercent}}", "50", "{{.Cores}}", "8", "{{.MemoryMb}}", "16").Replace(string(source))
	change := edits.Change{Team: "bensalah", Base: 1, Source: text}
	published, conflicts := 0, 0
	var mu sync.Mutex
	var operators sync.WaitGroup
	for _, name := range []string{"one", "two"} {
		operators.Go(func() {
			own := change
			own.Operator = name
			current, err := edits.Publish(context.Background(), log, c.Timer, own)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				published++
			case errors.Is(err, edits.ErrConflict) && current.Version == 2:
				conflicts++
			}
		})
	}
	operators.Wait()
	if published != 1 || conflicts != 1 {
		t.Errorf("%d publishes succeeded and %d got a conflict, want 1 and 1", published, conflicts)
	}
}
