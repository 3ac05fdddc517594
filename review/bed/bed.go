// Command bed runs one scenario of the review: the project's daemons as processes beside a stand-in of the users' platform.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
)

const (
	service     = "svc"
	host        = "jobs.example"
	workerCPU   = 32000
	workerMemMB = 65536
	heartbeat   = 1500 * time.Millisecond
	// entryExpiry is how long a silent worker stays listed: three heartbeats.
	entryExpiry = 3 * heartbeat
)

// bed is the stand-in platform with the daemons and what was seen.
type bed struct {
	began  time.Time
	folder string
	root   string
	// trouble is false for the run without the disruption.
	trouble bool
	rng     *rand.Rand

	mu     sync.Mutex
	record *bufio.Writer
	lives  []*life
	specs  map[string][]taskSpec
	// versions counts the configurations.
	versions int
	// queues holds the queue of each job.
	queues map[string]string
	tasks  map[string]*seen
	gangs  map[string]*gangRun
	// failures holds the numbers of the failed runs of each task.
	failures map[string]map[int]bool
	broken   []string
	store    *site.Store
	storeAt  string
	cloudAt  string
	daemons  []*daemon
	cloud    *cloud
	// lateUntil is the end of the time in which hold calls are carried out late.
	lateUntil time.Time
	closed    chan struct{}
}

// seen is what was seen of one task.
type seen struct {
	running map[*life]*run
	// doneAt are the times of ends as done that count, ackedDone is set once one was taken note of.
	doneAt    map[*life]time.Time
	lastStart time.Time
	ackedDone bool
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[int]*run
	lives   map[int]*life
}

// daemon is one daemon process.
type daemon struct {
	name, settings, front, ready string
	milliCores                   int

	mu    sync.Mutex
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
}

// log writes a line to the record. The lock is held.
func (b *bed) log(format string, args ...any) {
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// note is log without the lock held.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log(format, args...)
}

// violate records a broken rule. The lock is held.
func (b *bed) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.broken = append(b.broken, text)
	b.log("BROKEN %s", text)
}

// specOf returns what is known of a task.
func (b *bed) specOf(task string) (taskSpec, bool) {
	job, _, step, index, err := parseTask(task)
	steps := b.specs[job]
	if err != nil || step >= len(steps) || index >= steps[step].count {
		return taskSpec{}, false
	}
	return steps[step], true
}

func (b *bed) seenOf(task string) *seen {
	s := b.tasks[task]
	if s == nil {
		s = &seen{running: map[*life]*run{}, doneAt: map[*life]time.Time{}}
		b.tasks[task] = s
	}
	return s
}

// started checks and records a start. The lock is held.
func (b *bed) started(l *life, r *run, known bool, o order) {
	b.log("start %s run %d on %s born %d token %d deadline_ms %d clock_ms %d", r.task, r.number, l.id, l.born, o.Token, *o.DeadlineMs, l.clock().Milliseconds())
	if !known {
		b.violate("UNASKED: %s run %d was started, but no client sent it", r.task, r.number)
	}
	s := b.seenOf(r.task)
	for other, running := range s.running {
		b.violate("TWICE: %s run %d starts on %s while run %d is at work on %s", r.task, r.number, l.id, running.number, other.id)
	}
	if s.ackedDone {
		b.violate("TWICE: %s run %d starts on %s after a run had ended done and that end had been taken note of", r.task, r.number, l.id)
	}
	s.running[l], s.lastStart = r, time.Now()
	switch {
	case l.grey:
		r.failsAt = time.Now().Add(greyDelay)
	case r.spec.lasts:
	case r.spec.gang:
		b.joinGang(l, r)
	default:
		r.endsAt = time.Now().Add(r.spec.runTime)
	}
}

// greyDelay is how soon a worker that fails all that it starts does so; brokenDelay is how soon the other members of a gang end then.
const (
	greyDelay   = 10 * time.Millisecond
	brokenDelay = 40 * time.Millisecond
)

// joinGang lets a gang work once all its members are there. The lock is held.
func (b *bed) joinGang(l *life, r *run) {
	job, occurrence, step, index, _ := parseTask(r.task)
	key := fmt.Sprintf("%s.%d.%d/%d", job, occurrence, step, r.number)
	g := b.gangs[key]
	if g == nil {
		g = &gangRun{members: map[int]*run{}, lives: map[int]*life{}}
		b.gangs[key] = g
	}
	g.members[index], g.lives[index] = r, l
	if len(g.members) < r.spec.count {
		return
	}
	for _, member := range g.members {
		member.endsAt = time.Now().Add(r.spec.runTime)
	}
}

// ended records the end of a run. The lock is held.
func (b *bed) ended(l *life, r *run, how string) {
	b.log("end   %s run %d on %s: %s", r.task, r.number, l.id, how)
	s := b.seenOf(r.task)
	delete(s.running, l)
	switch how {
	case "done":
		s.doneAt[l] = time.Now()
	case "failed":
		if b.failures[r.task] == nil {
			b.failures[r.task] = map[int]bool{}
		}
		b.failures[r.task][r.number] = true
	}
	if !r.spec.gang || how == "done" {
		return
	}
	job, occurrence, step, _, _ := parseTask(r.task)
	prefix := fmt.Sprintf("%s.%d.%d.", job, occurrence, step)
	for _, other := range b.lives {
		for _, member := range other.runs {
			if strings.HasPrefix(member.task, prefix) && member.number == r.number && member.brokenAt.IsZero() {
				member.brokenAt, member.endsAt = time.Now().Add(brokenDelay), time.Time{}
			}
		}
	}
}

// acknowledged records that the scheduler has taken note of an end. The lock is held.
func (b *bed) acknowledged(l *life, e *end) {
	if e.how != "done" || e.lapsed {
		return
	}
	s := b.seenOf(e.task)
	if !e.listed {
		b.log("end %d of %s, %s run %d done, is taken note of; no answer has listed it", e.number, l.id, e.task, e.run)
	}
	if done := s.doneAt[l]; s.lastStart.After(done) && !s.ackedDone {
		b.violate("TWICE: %s was started after run %d had ended done on %s, which is taken note of now", e.task, e.run, l.id)
	}
	s.ackedDone = true
}

// newBed starts the stand-in platform.
func newBed(folder, root, recordFile string, trouble bool, seed uint64) (*bed, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	b := &bed{
		began: time.Now(), folder: folder, root: root, trouble: trouble, rng: rand.New(rand.NewPCG(seed, 1)), record: bufio.NewWriter(f),
		specs: map[string][]taskSpec{}, tasks: map[string]*seen{}, gangs: map[string]*gangRun{}, failures: map[string]map[int]bool{}, queues: map[string]string{}, closed: make(chan struct{}),
	}
	b.store = &site.Store{Timer: timer.System{}}
	if b.storeAt, err = b.serve(b.store); err != nil {
		return nil, err
	}
	b.cloud = &cloud{bed: b, done: map[string]bool{}, downUntil: map[string]time.Time{}, tokens: map[string]uint64{}}
	if b.cloudAt, err = b.serve(b.cloud); err != nil {
		return nil, err
	}
	go b.run()
	return b, nil
}

// serve starts an HTTP server on a free port.
func (b *bed) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// run lets time pass on all workers and writes their heartbeats.
func (b *bed) run() {
	beats, seq := map[*life]time.Time{}, 0
	for {
		select {
		case <-b.closed:
			return
		case <-time.After(tick):
		}
		now := time.Now()
		b.mu.Lock()
		for _, l := range b.lives {
			l.step(now)
			if !l.gone && now.Sub(beats[l]) >= heartbeat {
				seq++
				beats[l] = now
				b.store.Put("keyed.servers", l.id, l.entry(seq))
			}
		}
		b.mu.Unlock()
	}
}

// addWorker starts a worker.
func (b *bed) addWorker(id, machine, rack string, address string, clockBase time.Duration) (*life, error) {
	l := &life{
		bed: b, id: id, machine: machine, rack: rack, born: time.Now().UnixMilli(), began: time.Now(), clockBase: clockBase,
		runs: map[string]*run{}, highest: map[string]int{}, news: make(chan struct{}), cut: make(chan struct{}),
	}
	if address == "" {
		free, err := freeAddresses(1)
		if err != nil {
			return nil, err
		}
		address = free[0]
	}
	if err := l.serve(address); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lives = append(b.lives, l)
	return l, nil
}

// crash ends a life of a worker; what runs on it ends too. Its entry expires later unless the worker starts again.
func (b *bed) crash(l *life, why string) {
	b.mu.Lock()
	l.gone = true
	for _, r := range l.sorted() {
		delete(b.seenOf(r.task).running, l)
	}
	b.log("crash %s born %d (%s), %d runs on it", l.id, l.born, why, len(l.runs))
	l.runs = map[string]*run{}
	close(l.cut)
	b.mu.Unlock()
	_ = l.server.Close()
	go func() {
		time.Sleep(entryExpiry)
		b.mu.Lock()
		defer b.mu.Unlock()
		if !slices.ContainsFunc(b.lives, func(o *life) bool { return o.id == l.id && !o.gone }) {
			b.store.Put("keyed.servers", l.id, nil)
		}
	}()
}

// restart starts a worker again under its id and address.
func (b *bed) restart(l *life) error {
	next, err := b.addWorker(l.id, l.machine, l.rack, l.address, time.Second)
	if err == nil {
		b.note("again %s born %d, clock anew", next.id, next.born)
	}
	return err
}

// queue is a queue of the configuration; its prefix is its name between slashes.
type queue struct {
	name               string
	priority, attempts int
	stretch            float64
	targetMs           int
}

// publish writes a configuration with a queue named q1.
func (b *bed) publish(attempts int) {
	b.publishQueues(queue{"q1", 0, attempts, 2, 500})
}

// publishQueues writes the configuration.
func (b *bed) publishQueues(queues ...queue) {
	var routes []any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "path_prefix": "/" + q.name + "/", "service": service, "priority": q.priority,
			"attempts": q.attempts, "stretch": q.stretch, "target_latency_ms": q.targetMs,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"version": b.version(), "routes": routes, "services": []any{map[string]any{"name": service, "admission_check": false}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		panic(err)
	}
	b.store.Put("keyed.op", "config", raw)
}

// Ports are taken below the range from which the system picks those of outgoing connections, which could take a port between a look
// and its use.
const (
	lowestPort  = 10_000
	highestPort = 30_000
)

// taken holds the ports that were handed out; a process that starts listens on its own only after a while.
var (
	takenMu sync.Mutex
	taken   = map[int]bool{}
)

// freeAddresses returns addresses with different ports that are free at the moment and were not handed out before.
func freeAddresses(n int) (addresses []string, err error) {
	takenMu.Lock()
	defer takenMu.Unlock()
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for tries := 0; len(addresses) < n; tries++ {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		switch {
		case err != nil && tries > 100*n:
			return nil, err
		case err != nil:
		case taken[port]:
			_ = l.Close()
		default:
			taken[port] = true
			listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
		}
	}
	return addresses, nil
}

// addDaemon starts a daemon with settings like those of a small deployment.
func (b *bed) addDaemon(name string, share float64) error {
	ports, err := freeAddresses(4)
	if err != nil {
		return err
	}
	_, port, _ := net.SplitHostPort(ports[3])
	d := &daemon{name: name, front: ports[0], ready: ports[1], settings: filepath.Join(b.folder, name+".toml"), milliCores: int(share * 1000)}
	text := fmt.Sprintf(`node = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [%s, %s]
bootstrap = true
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
orders = "rpc"
advice = ""
[listen]
front = %q
ready = %q
metrics = %q
[limits]
cpu_share = %g
cores = 1
memory_mb = 284
max_fds = 4200
[bounds]
stable_window_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 6000
stop_grace_ms = 900
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
fencing_required = true
lease_ms = 3000
[platform]
address = %q
form = "log"
record_bytes = 262144
call_bytes = 2097152
[cloud]
address = %q
`, name, port, port, ports[0], ports[1], ports[2], share, b.storeAt, b.cloudAt)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	b.daemons = append(b.daemons, d)
	return d.start(b)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(b *bed) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log = filepath.Join(b.folder, fmt.Sprintf("%s-%d.log", d.name, time.Now().UnixNano()))
	out, err := os.Create(d.log)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/citrond", "platform")
	cmd.Dir = b.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONCROSS_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.ended = cmd, make(chan struct{})
	ended := d.ended
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s)
}

// running reports whether the process runs.
func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// holder returns the daemon that last said that it runs the pool.
func (b *bed) holder() (holder *daemon, epoch int) {
	for _, d := range b.daemons {
		raw, err := os.ReadFile(d.log)
		if err != nil || !d.running() {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			var e struct{ Event, Epoch int }
			if json.Unmarshal([]byte(line), &e) == nil && e.Event == 310 && e.Epoch > epoch {
				holder, epoch = d, e.Epoch
			}
		}
	}
	return holder, epoch
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, holds func() bool) bool {
	for began := time.Now(); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > limit {
			return false
		}
	}
	return true
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends a request of a client. Status 0 means that there was no complete answer.
func call(front, method, path string, body []byte) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+front+path, strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Citroncross-Deadline-Ms", "3000")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, strings.TrimSpace(string(raw))
}

// stepBody is a step of a job as clients send it.
type stepBody struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem_mb"`
	EstimateMs   int    `json:"estimate_ms,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int    `json:"target_ms,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
}

// submit sends a job to queue q1.
func (b *bed) submit(id string, step stepBody, spec taskSpec, fronts []string) bool {
	return b.submitTo("q1", id, step, spec, fronts)
}

// submitTo sends a job to daemons in turn until it is accepted, and reports whether it was.
func (b *bed) submitTo(queue, id string, step stepBody, spec taskSpec, fronts []string) bool {
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "steps": []stepBody{step}})
	if err != nil {
		panic(err)
	}
	spec.count, spec.gang, spec.lasts, spec.mayMiss = step.Count, step.Gang, step.LongRunning, step.MayMiss
	if !step.Fills {
		spec.cpu = step.CPU
	}
	b.mu.Lock()
	b.specs[id], b.queues[id] = []taskSpec{spec}, queue
	b.mu.Unlock()
	for n := range 5 {
		status, answer := call(fronts[n%len(fronts)], http.MethodPost, "/"+queue+"/"+id, body)
		b.note("POST %s -> %d %s", id, status, answer)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as a client sees it.
func (b *bed) state(id, front string) string {
	b.mu.Lock()
	queue := b.queues[id]
	b.mu.Unlock()
	status, answer := call(front, http.MethodGet, "/"+queue+"/"+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// fronts returns the addresses of the daemons in random order.
func (b *bed) fronts() (list []string) {
	for _, d := range b.daemons {
		list = append(list, d.front)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// ready waits until a daemon runs the pool and all daemons are ready.
func (b *bed) ready() error {
	if !waitFor(20*time.Second, func() bool { _, epoch := b.holder(); return epoch > 0 }) {
		return fmt.Errorf("no daemon runs the pool")
	}
	for _, d := range b.daemons {
		if !waitFor(10*time.Second, func() bool {
			status, _ := call(d.ready, http.MethodGet, "/citroncross/ready", nil)
			return status == http.StatusOK
		}) {
			return fmt.Errorf("daemon %s is not ready", d.name)
		}
	}
	return nil
}

// endDaemons ends all processes that were started.
func (b *bed) endDaemons() {
	for _, d := range b.daemons {
		if d.cmd == nil {
			continue
		}
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.ended
	}
}

// close ends all processes that were started and closes the record.
func (b *bed) close() {
	b.endDaemons()
	close(b.closed)
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
}

// version returns the version of the next configuration; versions rise in uneven steps.
func (b *bed) version() int {
	b.versions++
	return 3 * b.versions
}
