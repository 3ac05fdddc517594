package soak

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citronlab/site"
)

// Runs six seeds of faults against real processes, with orders sent by the holder, with relayed ones, with orders that workers
// carry out late, with crowds of clients whose requests stop, with jobs that cost much, and with daemons that are replaced. The test asserts only that no guarantee is violated and that all work ends within a timeout far longer than any fault.
func TestNoViolationsUnderFaults(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "citrond")
	build := exec.Command("go", "build", "-o", binary, "github.com/citroncross/citroncross/citrond")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, seed := range []uint64{7, 8, 9, 10, 11, 12} {
		r, err := Run(context.Background(), Options{
			Binary: binary, Folder: t.TempDir(), IP: "127.0.0.91", Seed: seed, Daemons: 3, Workers: 4, Duration: 5 * time.Second, CompletionTimeout: 2 * time.Minute,
			LateOrders: seed == 9, Crowds: seed == 10, LargeJobs: seed == 11, Replaced: seed == 12,
		})
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %s\nfaults:\n%s", seed, strings.Join(r.Violations, "\n"), strings.Join(r.Faults, "\n"))
		}
		if r.Accepted == 0 || r.Starts == 0 || len(r.Faults) == 0 {
			t.Errorf("seed %d: %d jobs, %d starts, %d faults; want at least one of each", seed, r.Accepted, r.Starts, len(r.Faults))
		}
	}
}

// Guards against shapes that are refused, so that the soak would test nothing.
func TestRandomShapesAreWithinTheLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	wide, repeated := 0, 0
	for range 1000 {
		tasks, body := randomShape(rng)
		var job struct {
			Steps   []step `json:"steps"`
			Repeats int    `json:"repeat_count"`
		}
		if err := json.Unmarshal([]byte(body), &job); err != nil {
			t.Fatal(err)
		}
		sum := 0
		for n, s := range job.Steps {
			sum += s.Count
			if slices.ContainsFunc(s.After, func(earlier int) bool { return earlier < 0 || earlier >= n }) {
				t.Errorf("step %d runs after %v", n, s.After)
			}
		}
		if sum *= max(job.Repeats, 1); sum != tasks {
			t.Errorf("%s has %d tasks, reported as %d", body, sum, tasks)
		}
		if tasks > 256 {
			wide++
		}
		if job.Repeats > 0 {
			repeated++
		}
	}
	if wide == 0 || repeated == 0 {
		t.Errorf("%d jobs take several records and %d repeat, want some", wide, repeated)
	}
}

func TestCheckerReportsViolations(t *testing.T) {
	a, b := &site.Instance{ID: "a", Timer: clock}, &site.Instance{ID: "b", Timer: clock}
	started := func(i *site.Instance, run int, at time.Duration) site.Event {
		return site.Event{Kind: site.RunStarted, Worker: i, At: at, Task: "t", Run: run, Token: 1}
	}
	ended := func(kind site.EventKind, i *site.Instance, run int, at time.Duration, how citron.EndKind) site.Event {
		return site.Event{Kind: kind, Worker: i, At: at, Task: "t", Run: run, EndKind: how}
	}
	for name, tc := range map[string]struct {
		events []site.Event
		want   string
	}{
		"two runs at once":             {[]site.Event{started(a, 1, 1), started(b, 2, 2)}, "runs on a and is started on b"},
		"one after the other":          {[]site.Event{started(a, 1, 1), ended(site.RunEnded, a, 1, 2, citron.EndFailed), started(b, 2, 3)}, ""},
		"worker gone":                  {[]site.Event{started(a, 1, 1), {Kind: site.WorkerGone, Worker: a}, started(b, 2, 3)}, ""},
		"started after its end":        {[]site.Event{started(a, 1, 1), ended(site.RunEnded, a, 1, 2, citron.EndDone), ended(site.EndAcknowledged, a, 1, 3, citron.EndDone), started(b, 2, 4)}, "although its end was acknowledged"},
		"end acknowledged later":       {[]site.Event{started(a, 1, 1), ended(site.RunEnded, a, 1, 2, citron.EndDone), started(b, 2, 3), ended(site.EndAcknowledged, a, 1, 4, citron.EndDone)}, "was started again"},
		"lease expired meanwhile":      {[]site.Event{started(a, 1, 1), ended(site.RunEnded, a, 1, 2, citron.EndDone), started(b, 2, 3), {Kind: site.EndAcknowledged, Worker: a, Task: "t", Run: 1, EndKind: citron.EndDone, LeaseExpired: true}}, ""},
		"only second end acknowledged": {[]site.Event{started(a, 1, 1), ended(site.RunEnded, a, 1, 2, citron.EndDone), {Kind: site.WorkerGone, Worker: a}, started(b, 2, 3), ended(site.RunEnded, b, 2, 4, citron.EndDone), ended(site.EndAcknowledged, b, 2, 5, citron.EndDone)}, ""},
		"end never acknowledged":       {[]site.Event{started(a, 1, 1), ended(site.RunEnded, a, 1, 2, citron.EndDone), started(b, 2, 3)}, ""},
	} {
		c := newRunChecker()
		for _, v := range tc.events {
			c.record(v)
		}
		got := strings.Join(c.listViolations(), "; ")
		if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: violations %q, want %q", name, got, tc.want)
		}
	}
}

func TestCheckJobReportsWrongAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		job   job
		state string
		runs  int
		want  string
	}{
		"completed":             {job{tasks: 1, accepted: true}, "completed", 1, ""},
		"completed without run": {job{tasks: 2, accepted: true}, "completed", 1, "1 of 2 tasks have run"},
		"lost":                  {job{tasks: 1, accepted: true}, "none", 0, `its state is "none"`},
		"stuck":                 {job{tasks: 1, accepted: true}, "queued", 0, `its state is "queued"`},
		"cancelled":             {job{tasks: 1, accepted: true, cancelled: true}, "canceled", 0, ""},
		"refused":               {job{tasks: 1, refused: true}, "none", 0, ""},
		"refused and runs":      {job{tasks: 1, refused: true}, "running", 1, "every attempt to submit it was refused, but it runs"},
	} {
		s := &soak{checker: newRunChecker()}
		for n := range tc.runs {
			s.checker.tasks["j.0.0."+string(rune('0'+n))] = &task{}
		}
		s.checkJob("j", &tc.job, tc.state)
		got := strings.Join(s.report.Violations, "; ")
		if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: violations %q, want %q", name, got, tc.want)
		}
	}
}

// echo starts a server that sends back what it receives.
func echo(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return l.Addr().String()
}

func TestProxyModes(t *testing.T) {
	p, err := NewProxy("127.0.0.1", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	exchange := func(conn net.Conn) error {
		if _, err := conn.Write([]byte("hello")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 5))
		return err
	}
	conn := dial()
	defer func() { _ = conn.Close() }()
	if err := exchange(conn); err != nil {
		t.Fatal(err)
	}
	p.SetMode(Delay, time.Millisecond)
	if err := exchange(conn); err != nil {
		t.Fatal(err)
	}
	p.SetMode(Reset, 0)
	if exchange(conn) == nil {
		t.Error("open connection still works after a reset")
	}
	p.SetMode(Blackhole, 0)
	dropped := dial()
	defer func() { _ = dropped.Close() }()
	if _, err := dropped.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	p.SetMode(Pass, 0)
	again := dial()
	defer func() { _ = again.Close() }()
	if err := exchange(again); err != nil {
		t.Fatal(err)
	}
}
