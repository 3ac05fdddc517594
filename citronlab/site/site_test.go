package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/platform"
	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

// The tests of this package run real daemons against the stand-in on loopback. They poll until a condition holds and
// assert safety only; a condition that does not hold within maxWait fails the test.

// cell is a site with daemons.
type cell struct {
	t         *testing.T
	site      *Site
	folder    string
	daemons   []*platform.Daemon
	fronts    []string
	peers     []string
	ready     []string
	metrics   []string
	client    Client
	submitted int
	log       logBuffer
	// directWorkers is the setting direct_workers of daemons that are launched later.
	directWorkers int
	// strict is the setting revoke_strict of daemons that are launched later.
	strict bool
}

// logBuffer collects the daemons' logs, which are printed if the test fails.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startCell starts a site and daemons, and waits until a daemon holds the pool.
func startCell(t *testing.T, ip string, daemons int) *cell {
	t.Helper()
	return startCellWith(t, ip, daemons, 0)
}

// startCellWith is startCell with the setting direct_workers.
func startCellWith(t *testing.T, ip string, daemons, directWorkers int) *cell {
	t.Helper()
	c := &cell{t: t, directWorkers: directWorkers, folder: t.TempDir(), site: &Site{Timer: timer.System{}, IP: ip, Workers: 4, RunTime: 30 * time.Millisecond}}
	if err := c.site.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, d := range c.daemons {
			if d != nil {
				d.Kill()
			}
		}
		if err := c.site.Close(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			t.Log(c.log.String())
		}
	})
	c.site.PublishConfig(1, "quick", "bulk")
	for n := range daemons {
		c.fronts, c.peers = append(c.fronts, ""), append(c.peers, "")
		c.ready, c.metrics = append(c.ready, ""), append(c.metrics, "")
		c.daemons = append(c.daemons, nil)
		c.launch(n)
	}
	c.waitUntil(func() bool { return c.holder() >= 0 })
	return c
}

// strictRevokeMs is short, so that the keys are outdated soon.
const strictRevokeMs = 1000

// holderExtraTimeout keeps a holder from being replaced because the test machine is busy. A holder that a test ends is
// still replaced at once, because its ports refuse connections.
const holderExtraTimeout = time.Minute

// launch starts daemon n. It keeps its front address when it is started again; the other addresses are new.
func (c *cell) launch(n int) {
	c.t.Helper()
	free, err := FreeAddresses(c.site.IP, 4)
	if err != nil {
		c.t.Fatal(err)
	}
	if c.fronts[n] == "" {
		c.fronts[n] = free[0]
	}
	free = slices.DeleteFunc(free, func(address string) bool { return address == c.fronts[n] })
	c.peers[n], c.ready[n], c.metrics[n] = free[0], free[1], free[2]
	_, port, err := net.SplitHostPort(c.peers[n])
	if err != nil {
		c.t.Fatal(err)
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		c.t.Fatal(err)
	}
	file, err := c.site.WriteSettings(c.folder, Node{
		Name: fmt.Sprintf("entry-%d", n), Front: c.fronts[n], Ready: c.ready[n], Metrics: c.metrics[n], PeerPort: peerPort, DirectWorkers: c.directWorkers,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	settings, err := platform.ReadSettings(file)
	if err != nil {
		c.t.Fatal(err)
	}
	settings.HolderExtraTimeoutMs = holderExtraTimeout.Milliseconds()
	settings.Bounds.RevokeStrict, settings.Bounds.RevokeMs = c.strict, strictRevokeMs
	d := platform.New(settings, &c.log)
	if err := d.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.daemons[n] = d
}

// holder returns the daemon that holds the pool, or -1.
func (c *cell) holder() int {
	for n, d := range c.daemons {
		if d != nil && d.IsHolder() {
			return n
		}
	}
	return -1
}

// maxWait bounds how long a test waits for one condition, so that the logs of a daemon that is stuck are printed before go test
// ends all tests of the package.
const maxWait = 3 * time.Minute

// waitUntil polls until a condition holds.
func (c *cell) waitUntil(holds func() bool) {
	c.t.Helper()
	began := c.site.Timer.Now().Boot
	tick, stop := c.site.Timer.Every(10 * time.Millisecond)
	defer stop()
	for !holds() {
		if c.site.Timer.Now().Boot-began > maxWait {
			c.t.Fatalf("a condition does not hold after %v", maxWait)
		}
		<-tick
	}
}

// call sends a request to the front address of a daemon and returns status and body; status 0 means no answer.
func (c *cell) call(front int, method, path, body string) (status int, answer string) {
	return c.client.Call(c.fronts[front], method, path, body)
}

// twoSteps is a job of a step of 3 tasks and a gang of 2 that runs after it.
const twoSteps = `{"spec":"x","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":30},{"count":2,"cpu":2000,"mem_mb":100,"after":[0],"gang":true}]}`

// submit sends a job to one daemon after another until one accepts it, and returns its id.
func (c *cell) submit(body string) string {
	front := c.submitted + 1
	return c.submitUntil(body, func() int { front++; return front % len(c.fronts) })
}

// submitTo sends a job to one daemon until it accepts it, and returns its id.
func (c *cell) submitTo(front int, body string) string {
	return c.submitUntil(body, func() int { return front })
}

func (c *cell) submitUntil(body string, nextFront func() int) string {
	c.submitted++
	id := fmt.Sprintf("%016x", c.submitted)
	c.waitUntil(func() bool {
		status, _ := c.call(nextFront(), http.MethodPost, "/quick/"+id, body)
		return status == http.StatusOK
	})
	return id
}

func (c *cell) state(front int, id string) string {
	_, state := c.client.State(c.fronts[front], "/quick/"+id)
	return state
}

// waitUntilCompleted waits until every live daemon reports every job as completed.
func (c *cell) waitUntilCompleted(ids []string) {
	for _, id := range ids {
		for n, d := range c.daemons {
			if d != nil {
				c.waitUntil(func() bool { return c.state(n, id) == "completed" })
			}
		}
	}
}

// checkStarts returns the number of starts of each task and reports the violations that workers recorded.
func (c *cell) checkStarts() map[string]int {
	starts := map[string]int{}
	for _, i := range c.site.Instances() {
		for _, task := range i.Starts() {
			starts[task]++
		}
		for _, violation := range i.Violations() {
			c.t.Error(violation)
		}
	}
	return starts
}

func TestEachTaskStartsOnce(t *testing.T) {
	c := startCell(t, "127.0.0.31", 3)
	for _, i := range c.site.Instances() {
		i.SetNeed(func(task string) citron.Capacity {
			if strings.Split(task, ".")[2] == "1" {
				return citron.Capacity{MilliCores: 2000, MemoryMb: 100}
			}
			return citron.Capacity{MilliCores: 1000, MemoryMb: 100}
		})
	}
	var ids []string
	for range 20 {
		ids = append(ids, c.submit(twoSteps))
	}
	c.waitUntilCompleted(ids)
	starts := c.checkStarts()
	if len(starts) != 5*len(ids) {
		t.Errorf("%d tasks started, want %d", len(starts), 5*len(ids))
	}
	for task, n := range starts {
		if n != 1 {
			t.Errorf("task %s started %d times, want 1", task, n)
		}
	}
	if c.site.Policy.Requests() == 0 {
		t.Error("the policy service got no request")
	}
}

// Jobs complete while the holder is killed and stopped in turn, with jobs submitted before and after.
func TestHolderIsKilledAndStopped(t *testing.T) {
	c := startCell(t, "127.0.0.32", 3)
	var ids []string
	for round := range 4 {
		for range 5 {
			ids = append(ids, c.submit(twoSteps))
		}
		ended := c.holder()
		if ended < 0 {
			continue
		}
		if round%2 == 0 {
			c.daemons[ended].Kill()
		} else {
			c.daemons[ended].Stop()
		}
		c.daemons[ended] = nil
		for range 5 {
			ids = append(ids, c.submit(twoSteps))
		}
		c.waitUntil(func() bool { return c.holder() >= 0 })
		c.launch(ended)
	}
	c.waitUntilCompleted(ids)
	c.checkStarts()
}

// The holder is killed during a wave, and every second upkeep call loses its request or its answer. The next holder
// must continue the wave without taking a machine down twice or too many at once.
func TestUpkeepWaveCompletesDespiteChangeOfHolder(t *testing.T) {
	c := startCell(t, "127.0.0.40", 2)
	c.site.Cloud.LoseCalls(func(call int) (requestLost, answerLost bool) { return call%4 == 1, call%4 == 2 })
	var ids []string
	for range 5 {
		ids = append(ids, c.submit(twoSteps))
	}
	c.site.RequestUpkeep(1, 8*time.Second, 1, "m-00", "m-01", "m-02", "m-77")
	c.waitUntil(func() bool {
		upkeeps, _ := c.site.Cloud.Upkeeps()
		return len(upkeeps) > 0
	})
	killed := c.holder()
	c.daemons[killed].Kill()
	c.daemons[killed] = nil
	c.waitUntil(func() bool { return c.site.Store.Value("keyed.status", "wave/1") == `{"state":"completed"}` })
	upkeeps, maxAtOnce := c.site.Cloud.Upkeeps()
	if maxAtOnce != 1 || len(upkeeps) != 3 {
		t.Errorf("upkeeps %v, up to %d at once, want 3 machines (of 4 in the wave), 1 at once", upkeeps, maxAtOnce)
	}
	for key, n := range upkeeps {
		if n != 1 {
			t.Errorf("machine/wave %s was taken down %d times, want 1", key, n)
		}
	}
	ids = append(ids, c.submit(twoSteps))
	c.waitUntilCompleted(ids)
	c.checkStarts()
}

func TestOperatorQueries(t *testing.T) {
	c := startCell(t, "127.0.0.39", 2)
	id := c.submit(`{"spec":"x","steps":[{"count":1,"cpu":900000,"mem_mb":100}]}`)
	holder := c.holder()
	conn, err := grpc.NewClient(c.peers[holder], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	client := link.NewLinkClient(conn)
	var reply *link.ExplainReply
	c.waitUntil(func() bool {
		reply, err = client.Explain(context.Background(), &link.ExplainRequest{JobID: id})
		return err == nil && reply.GetHolds()
	})
	if len(reply.GetTasks()) != 1 || reply.GetTasks()[0].GetState() != "waiting" || !strings.Contains(reply.GetTasks()[0].GetReason(), "workers usable 0") {
		t.Errorf("explain reply %v, want 1 waiting task with the reason that no worker is large enough", reply)
	}
	// Each worker registers on its own.
	c.waitUntil(func() bool {
		status, err := client.Status(context.Background(), &link.StatusRequest{})
		return err == nil && status.GetHolds() && len(status.GetWorkers()) == 4 && len(status.GetPeers()) == 1
	})
	if unknown, err := client.Explain(context.Background(), &link.ExplainRequest{JobID: "ffffffffffffffff"}); err != nil || unknown.GetKnown() {
		t.Errorf("explain reply for an unknown job %v, error %v, want Known unset", unknown, err)
	}
}

// Every third call of a daemon to the store fails, in a different way for each round of jobs, and the history is
// compacted at the end. No task may run twice, since no worker fails.
func TestStoreFailures(t *testing.T) {
	c := startCell(t, "127.0.0.33", 3)
	var mode, calls atomic.Int64
	c.site.Store.SetFailures(func(call, topic, _ string) Failure {
		if !strings.HasPrefix(topic, "keyed.citron") || calls.Add(1)%3 != 0 {
			return NoFailure
		}
		if failure := Failure(mode.Load()); failure != AnswersLost || call == "log-append" {
			return failure
		}
		return NoFailure
	})
	var ids []string
	for _, failure := range []Failure{AnswersLost, Busy, Unresponsive, NoFailure} {
		mode.Store(int64(failure))
		for range 6 {
			ids = append(ids, c.submit(twoSteps))
		}
	}
	c.site.Store.Compact()
	ids = append(ids, c.submit(twoSteps))
	c.waitUntilCompleted(ids)
	for task, n := range c.checkStarts() {
		if n != 1 {
			t.Errorf("task %s started %d times, want 1: no worker was lost", task, n)
		}
	}
}

// failFirstPartition makes partition 0 of the topics of jobs and of progress unresponsive.
func (c *cell) failFirstPartition() {
	c.site.Store.SetFailures(func(_, topic, part string) Failure {
		if part == "0" && (topic == "keyed.citron.jobs" || topic == "keyed.citron.progress") {
			return Unresponsive
		}
		return NoFailure
	})
}

func TestOnePartitionIsUnresponsive(t *testing.T) {
	c := startCell(t, "127.0.0.34", 2)
	ids := []string{c.submit(twoSteps)}
	c.waitUntilCompleted(ids)
	c.failFirstPartition()
	for range 3 {
		ids = append(ids, c.submit(twoSteps))
	}
	c.waitUntilCompleted(ids)
	c.checkStarts()
}

// The holder is killed while partition 0 is unresponsive and no longer part of its claim. The next holder must complete
// all jobs without starting a task twice.
func TestHolderIsKilledWhileAPartitionIsUnresponsive(t *testing.T) {
	c := startCell(t, "127.0.0.41", 2)
	ids := []string{c.submit(twoSteps)}
	c.waitUntilCompleted(ids)
	c.failFirstPartition()
	ids = append(ids, c.submit(twoSteps))
	c.waitUntilCompleted(ids)
	c.waitUntil(func() bool {
		var claim work.Claim
		if err := proto.Unmarshal([]byte(c.site.Store.Value("keyed.citron.cell", "claim/0")), &claim); err != nil {
			t.Fatal(err)
		}
		return !slices.Contains(claim.GetPartitions(), 0)
	})
	killed := c.holder()
	c.daemons[killed].Kill()
	c.daemons[killed] = nil
	for range 3 {
		ids = append(ids, c.submit(twoSteps))
	}
	c.waitUntilCompleted(ids)
	for task, n := range c.checkStarts() {
		if n != 1 {
			t.Errorf("task %s started %d times, want 1: no worker was lost", task, n)
		}
	}
}

func TestAllDaemonsAreKilledAtOnce(t *testing.T) {
	c := startCell(t, "127.0.0.35", 3)
	var ids []string
	for range 10 {
		ids = append(ids, c.submit(twoSteps))
	}
	for n, d := range c.daemons {
		d.Kill()
		c.daemons[n] = nil
	}
	for n := range c.daemons {
		c.launch(n)
	}
	c.waitUntilCompleted(ids)
	c.checkStarts()
}

func TestWorkersCrashDrainAndLoseAnswers(t *testing.T) {
	c := startCell(t, "127.0.0.36", 2)
	workers := c.site.Instances()
	var calls atomic.Int64
	workers[0].LoseAnswers(func(string) bool { return calls.Add(1)%5 == 0 })
	var ids []string
	for range 10 {
		ids = append(ids, c.submit(twoSteps))
	}
	workers[1].Crash()
	workers[2].Drain()
	if err := c.site.AddInstance(1); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		ids = append(ids, c.submit(twoSteps))
	}
	c.waitUntilCompleted(ids)
	c.checkStarts()
}

// Guards against tasks that run again since a worker that restarted under its id counts its ends anew.
func TestWorkersRestartUnderTheirID(t *testing.T) {
	c := startCell(t, "127.0.0.36", 2)
	var ids []string
	for range 3 {
		for range 6 {
			ids = append(ids, c.submit(twoSteps))
		}
		c.waitUntilCompleted(ids)
		for _, i := range c.site.Instances() {
			if i.Gone() {
				continue
			}
			i.Crash()
			if err := c.site.RestartInstance(i); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 6 {
		ids = append(ids, c.submit(twoSteps))
	}
	c.waitUntilCompleted(ids)
	for task, n := range c.checkStarts() {
		if n > 1 {
			t.Errorf("%s was started %d times, want once: no worker crashed under it", task, n)
		}
	}
}

// Checks the status of each kind of bad request, and that a waiting job can be cancelled at any daemon.
func TestJobRequests(t *testing.T) {
	c := startCell(t, "127.0.0.37", 2)
	id := "00000000000000ff"
	for name, tt := range map[string]struct {
		method, path, body string
		status             int
	}{
		"no such queue":     {http.MethodPost, "/none/" + id, twoSteps, 404},
		"bad id":            {http.MethodPost, "/quick/xyz", twoSteps, 400},
		"no job":            {http.MethodPost, "/quick/" + id, `{"spec":"x"}`, 400},
		"no JSON":           {http.MethodPost, "/quick/" + id, `{`, 400},
		"unknown step":      {http.MethodPost, "/quick/" + id, `{"steps":[{"count":1,"after":[1]}]}`, 400},
		"step after itself": {http.MethodPost, "/quick/" + id, `{"steps":[{"count":1,"after":[0]}]}`, 400},
		"count of 0":        {http.MethodPost, "/quick/" + id, `{"steps":[{"count":0}]}`, 400},
		"count too large":   {http.MethodPost, "/quick/" + id, `{"steps":[{"count":1000000000}]}`, 400},
		"oversize spec":     {http.MethodPost, "/quick/" + id, `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`, 400},
		"oversize body":     {http.MethodPost, "/quick/" + id, strings.Repeat(" ", 300<<10), 413},
		"unknown job":       {http.MethodGet, "/quick/" + id, "", 410},
		"cancel of unknown": {http.MethodDelete, "/quick/" + id, "", 410},
		"no such method":    {http.MethodPut, "/quick/" + id, "", 405},
	} {
		if status, _ := c.call(0, tt.method, tt.path, tt.body); status != tt.status {
			t.Errorf("%s: status %d, want %d", name, status, tt.status)
		}
	}
	c.site.Policy.Allow(func(string, string) bool { return false })
	waiting := c.submit(twoSteps)
	c.waitUntil(func() bool {
		_, body := c.call(1, http.MethodGet, "/quick/", "")
		return strings.Contains(body, `"pending":1`)
	})
	if status, _ := c.call(1, http.MethodDelete, "/quick/"+waiting, ""); status != http.StatusOK {
		t.Errorf("cancel: status %d, want 200", status)
	}
	c.waitUntil(func() bool { return c.state(0, waiting) == "canceled" && c.state(1, waiting) == "canceled" })
}

// The size of a store answer is limited, and a single record may be larger than the limit.
func TestLargeConfigurationIsRead(t *testing.T) {
	c := startCell(t, "127.0.0.43", 1)
	prefixes := []string{"quick", "added"}
	for n := range 1500 {
		prefixes = append(prefixes, fmt.Sprintf("route%06d", n))
	}
	c.site.PublishConfig(2, prefixes...)
	c.waitUntil(func() bool {
		status, _ := c.call(0, http.MethodGet, "/added/", "")
		return status == http.StatusOK
	})
	c.waitUntilCompleted([]string{c.submit(twoSteps)})
}

// Malformed worker entries and configurations must not affect well-formed ones.
func TestMalformedEntriesAreIgnored(t *testing.T) {
	c := startCell(t, "127.0.0.38", 2)
	for key, value := range map[string]string{
		"i-1": `{`, "i-2": `{"service":7}`, "i-3": `{"service":"svc"}`, "i-4": "\xff\xfe", "": "x",
		"i-5": `{"service":"svc","address":"127.0.0.1:1","state":"asleep","capacity":{"cpu":64000,"mem_mb":64000}}`,
		"i-6": `{"service":"svc","address":"127.0.0.1:1","state":"ready"}`,
	} {
		c.site.Store.Put("keyed.servers", key, []byte(value))
	}
	c.site.Store.Put("keyed.op", "config", []byte(`{"version":"seven"}`))
	c.site.Store.Put("keyed.op", "other", []byte(`[]`))
	c.site.PublishConfig(3, "quick", "added")
	c.waitUntil(func() bool {
		status, _ := c.call(0, http.MethodGet, "/added/", "")
		return status == http.StatusOK
	})
	c.waitUntilCompleted([]string{c.submit(twoSteps)})
}

// ports returns the addresses of daemon n that are open to the network.
func (c *cell) ports(n int) map[string]string {
	return map[string]string{"front": c.fronts[n], "ready": c.ready[n], "metrics": c.metrics[n], "peer": c.peers[n]}
}

// Every port gets malformed input and many connections without a complete request, and the front port a body that never
// comes. Other requests must still be served.
func TestBadInputDoesNotAffectOtherRequests(t *testing.T) {
	c := startCell(t, "127.0.0.42", 2)
	const incomplete = 300 // connections per port
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	post := "POST /quick/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 1000\r\n\r\n"
	for port, address := range c.ports(0) {
		for name, input := range map[string]string{
			"garbage":           strings.Repeat("\x00\xff\x16\x03", 400),
			"truncated request": "GET /quick/ HT",
			"huge header":       "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 1<<20) + "\r\n\r\n",
			"negative length":   "POST /quick/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: -5\r\n\r\n",
			"HTTP/2 preface":    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\xff\xff\xff\xff\xff\xff\xff",
		} {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatalf("%s: %v", port, err)
			}
			// The server may close the connection before it has read everything.
			_, _ = io.WriteString(conn, input)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
			t.Logf("%s: %s: the connection was closed", port, name)
		}
		for range incomplete {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatalf("%s: %v", port, err)
			}
			open = append(open, conn)
			_, _ = io.WriteString(conn, "GET /quick/ HTTP/1.1\r\nHos")
		}
	}
	slow, err := net.Dial("tcp", c.fronts[0])
	if err != nil {
		t.Fatal(err)
	}
	open = append(open, slow)
	if _, err := io.WriteString(slow, post+"{"); err != nil {
		t.Fatal(err)
	}
	c.waitUntilCompleted([]string{c.submit(twoSteps), c.submit(twoSteps)})
	answer, err := io.ReadAll(slow)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 400") {
		t.Errorf("a request with an incomplete body got answer %q, error %v, want status 400", answer, err)
	}
	for _, conn := range open {
		_, _ = io.Copy(io.Discard, conn)
	}
	response, err := c.client.HTTP.Get("http://" + c.metrics[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(raw), `citron_silent_connections_total{Port="front"}`) {
		t.Errorf("connections without a request are not counted in citron_silent_connections_total, error %v", err)
	}
	c.checkStarts()
}
