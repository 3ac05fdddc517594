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

// The tests of this package run whole cells of real daemons on loopback. They wait for events by polling and assert
// only what must never happen; a wait that never ends is ended by go test's own time limit.

// start runs a small cell with short leases and waits until every shard is in use.
func start(t *testing.T, net string, change func(*Options)) *Cell {
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
	if change != nil {
		change(&o)
	}
	c, err := Start(o)
	t.Cleanup(func() { c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	if err := c.PublishExamples(context.Background(), "../../examples"); err != nil {
		t.Fatal(err)
	}
	await(c, func() bool { return c.Ready(2) })
	return c
}

// await polls until a condition holds.
func await(c *Cell, holds func() bool) {
	tick, stop := c.Timer.Every(10 * time.Millisecond)
	defer stop()
	for !holds() {
		<-tick
	}
}

// post sends one call and returns its status, outcome and whether the connection broke.
func post(c *Cell, daemon int, class, id string) (status int, outcome, body string, err error) {
	return postTraced(context.Background(), c, daemon, class, id)
}

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

// serves waits until a daemon answers a call of a class.
func serves(c *Cell, daemon int, class string) {
	await(c, func() bool {
		status, outcome, _, err := post(c, daemon, class, "")
		return err == nil && status == http.StatusOK && outcome == "Done"
	})
}

// checkRecords looks only at what the stand-ins recorded.
func checkRecords(t *testing.T, c *Cell) {
	t.Helper()
	for _, e := range c.Endpoints {
		r := e.Record()
		if r.Most > r.Slots {
			t.Errorf("%s had %d calls in %d slots", r.Name, r.Most, r.Slots)
		}
		for key, n := range r.Repeated {
			if strings.Contains(key, "/sweep/") {
				t.Errorf("%s ran %d times on %s", key, n, r.Name)
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
			t.Errorf("%s ran %d times over all endpoints", key, n)
		}
	}
}

func TestEveryDaemonServesAndRefuses(t *testing.T) {
	c := start(t, "127.3.1", nil)
	for n := range c.Daemons {
		serves(c, n, "lookup")
		status, outcome, body, err := post(c, n, "nothing", "")
		if err != nil || status != http.StatusNotFound || outcome != "NotRun" || !strings.Contains(body, "102") {
			t.Errorf("unknown class: %d %s %s %v", status, outcome, body, err)
		}
		status, outcome, _, err = post(c, n, "lookup", "no spaces allowed")
		if err != nil || status != http.StatusBadRequest || outcome != "NotRun" {
			t.Errorf("bad request id: %d %s %v", status, outcome, err)
		}
	}
}

func TestRepeatOfASweepGetsTheFirstAnswer(t *testing.T) {
	c := start(t, "127.3.2", nil)
	var first string
	for n := range c.Daemons {
		await(c, func() bool {
			status, outcome, body, err := post(c, n, "sweep", "sweep-1")
			if err != nil || status != http.StatusOK || outcome != "Done" {
				return false
			}
			if first == "" {
				first = body
			}
			if body != first {
				t.Errorf("daemon %d answered %q, the first answer was %q", n, body, first)
			}
			return true
		})
	}
	checkRecords(t, c)
}

func TestCrashAndOutageKeepThePromises(t *testing.T) {
	c := start(t, "127.3.3", nil)
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for n := range c.Daemons {
		load.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				id := "s-" + string(rune('a'+n)) + "-" + time.Duration(k).String()
				_, outcome, _, err := post(c, n, "sweep", id)
				if err != nil || outcome != "Done" {
					// The caller sends it again to the next daemon, with the same id.
					_, _, _, _ = post(c, (n+1)%len(c.Daemons), "sweep", id)
				}
				_, _, _, _ = post(c, n, "lookup", "")
			}
		})
	}
	c.Platform.SetLogDown(true)
	c.KillDaemon(1)
	serves(c, 0, "lookup")
	c.Platform.SetLogDown(false)
	await(c, func() bool { return c.Ready(2) })
	if err := c.StartDaemon(1); err != nil {
		t.Fatal(err)
	}
	await(c, func() bool { return c.Ready(2) })
	c.Platform.LoseAnswers(5)
	c.KillDaemon(2)
	await(c, func() bool { return c.Ready(2) })
	serves(c, 0, "sweep")
	cancel()
	load.Wait()
	checkRecords(t, c)
}

func TestPlannedStopCutsNothing(t *testing.T) {
	c := start(t, "127.3.4", func(o *Options) { o.RunTime = 100 * time.Millisecond })
	for n := range c.Daemons {
		serves(c, n, "lookup")
	}
	for _, logDown := range []bool{false, true} {
		c.Platform.SetLogDown(logDown)
		stopCutsNothing(t, c)
		c.Platform.SetLogDown(false)
		if err := c.StartDaemon(0); err != nil {
			t.Fatal(err)
		}
		await(c, func() bool { return c.Ready(2) })
		serves(c, 0, "lookup")
	}
	checkRecords(t, c)
}

// stopCutsNothing stops daemon 0 once six calls have been sent to it. Each of them must be answered whole.
func stopCutsNothing(t *testing.T, c *Cell) {
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
				t.Errorf("a call was cut by a planned stop: %v %q", err, body)
			}
		})
	}
	await(c, func() bool { return written.Load() >= sent })
	await(c, func() bool { return c.Daemons[0].InFlight() > 0 || ended.Load() == sent })
	if err := c.Daemons[0].Stop(); err != nil {
		t.Error(err)
	}
	c.Daemons[0] = nil
	calls.Wait()
	serves(c, 1, "lookup")
	await(c, func() bool { return c.Ready(2) })
}

func TestTemplatesNeverGoBack(t *testing.T) {
	c := start(t, "127.3.5", nil)
	ctx := context.Background()
	if err := c.PublishExamples(ctx, "../../examples"); err != nil {
		t.Fatal(err)
	}
	await(c, func() bool { return c.version(0) == 2 && c.version(1) == 2 && c.version(2) == 2 })
	c.Platform.SetLogDown(true)
	c.KillDaemon(2)
	if err := c.StartDaemon(2); err != nil {
		t.Fatal(err)
	}
	// The log is down: the state comes from the others, and the daemon is not ready before it has it.
	await(c, func() bool {
		if c.Daemons[2].Ready() && c.version(2) < 2 {
			t.Error("ready with an older template than the others have in force")
		}
		return c.Daemons[2].Ready()
	})
	c.Platform.SetLogDown(false)
}

// version returns the version of ballyhoura's template that is in force in a daemon.
func (c *Cell) version(daemon int) uint64 {
	for _, v := range c.Daemons[daemon].Status().GetTemplates() {
		if v.GetTeam() == "ballyhoura" {
			return v.GetVersion()
		}
	}
	return 0
}

func TestOfTwoOperatorsOneWins(t *testing.T) {
	c := start(t, "127.3.6", nil)
	log := stream.New(c.PlatformURL(), nil)
	source, err := os.ReadFile("../../examples/bensalah.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("{{.SlotPercent}}", "50", "{{.Cores}}", "8", "{{.MemoryMb}}", "16").Replace(string(source))
	change := edits.Change{Team: "bensalah", Base: 1, Source: text}
	won, lost := 0, 0
	var mu sync.Mutex
	var operators sync.WaitGroup
	for _, name := range []string{"one", "two"} {
		operators.Go(func() {
			c2 := change
			c2.Operator = name
			now, err := edits.Publish(context.Background(), log, c.Timer, c2)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				won++
			case errors.Is(err, edits.ErrConflict) && now.Version == 2:
				lost++
			}
		})
	}
	operators.Wait()
	if won != 1 || lost != 1 {
		t.Errorf("%d won and %d lost", won, lost)
	}
}
