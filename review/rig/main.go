// Command rig starts the system's daemons as processes beside a stand-in of the platform, plays one case of the review and checks one
// rule. It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
)

// Rig is a small deployment.
type Rig struct {
	record  *Record
	folder  string
	trouble bool
	rng     *rand.Rand
	store   *site.Store
	workers []*Worker
	// daemons are those in use, all those that were ever started.
	daemons, all []*Daemon
	storeAddress string
	cpuShare     float64
	client       *http.Client

	mu    sync.Mutex
	jobs  map[string]*Job
	order []string
}

// Job is what a client knows of a job.
type Job struct {
	path, body string
	steps      int
	accepted   bool
	state      string
}

const host = "jobs.example"

var cases = map[string]func(*Rig) (broken []string, err error){"bodies": playBodies, "large": playLarge, "replace": playReplace}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, out string) (code int) {
	record, err := NewRecord(filepath.Join(out, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	r := &Rig{
		record: record, folder: folder, trouble: os.Getenv("TROUBLE") != "0", rng: rand.New(rand.NewPCG(1, 1)), jobs: map[string]*Job{}, cpuShare: 0.4,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		r.close()
		os.Exit(2)
	}()
	defer r.close()
	broken, err := cases[name](r)
	if err != nil {
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range broken {
		record.Add("BROKEN %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return 1
	}
	record.Add("the rule held")
	fmt.Println("the rule held")
	return 0
}

// start starts the store, the workers and the daemons, writes the configuration and waits until the daemons are ready.
func (r *Rig) start(workers, cpu, memMb, daemons int, routes []map[string]any) error {
	r.store = &site.Store{Timer: timer.System{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.storeAddress = listener.Addr().String()
	go func() {
		_ = (&http.Server{Handler: pageLimit{r.store}, ReadHeaderTimeout: 5 * time.Second}).Serve(listener)
	}()
	for n := range workers {
		w := &Worker{number: n, store: r.store, record: r.record, cpu: cpu, memMb: memMb}
		if err := w.Start(0); err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	for n := range daemons {
		d, err := r.addDaemon(n, r.cpuShare)
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	r.config(1, routes)
	return r.awaitReady(r.daemons)
}

// addDaemon starts a daemon on a machine of its own.
func (r *Rig) addDaemon(n int, cpuShare float64) (*Daemon, error) {
	d, err := newDaemon(r.folder, fmt.Sprintf("front-z-%d", n+1), fmt.Sprintf("127.0.%d.%d", n/200, n%200+1), r.storeAddress, cpuShare)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.all = append(r.all, d)
	r.mu.Unlock()
	return d, d.Start()
}

// holds reports whether a daemon says in its metrics that it holds the pool.
func (r *Rig) holds(d *Daemon) bool {
	response, err := r.client.Get("http://" + d.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] == "citron_held_epoch" {
			return fields[1] != "0"
		}
	}
	return false
}

// awaitReady waits until daemons are ready.
func (r *Rig) awaitReady(daemons []*Daemon) error {
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range daemons {
			if response, err := r.client.Get("http://" + d.ready + "/citroncross/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(daemons) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d daemons are ready", ready)
		}
	}
}

// config writes a configuration as the operator does.
func (r *Rig) config(version int, routes []map[string]any) {
	raw, err := json.Marshal(map[string]any{"version": version, "routes": routes, "limits": map[string]any{}})
	if err != nil {
		panic(err)
	}
	r.store.Put("keyed.op", "config", raw)
}

// call sends a request to a daemon; the status is 0 if there was no complete answer.
func (r *Rig) call(d *Daemon, method, path, body string) (status int, answer []byte) {
	request, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Citroncross-Deadline-Ms", "3000")
	response, err := r.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// anyDaemon returns a random daemon.
func (r *Rig) anyDaemon() *Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.daemons[r.rng.IntN(len(r.daemons))]
}

// submit hands in a job, with four retries at any daemon.
func (r *Rig) submit(path, body string, steps int) (id string) {
	r.mu.Lock()
	id = fmt.Sprintf("%016x", r.rng.Uint64())
	j := &Job{path: path + id, body: body, steps: steps}
	r.jobs[id] = j
	r.order = append(r.order, id)
	r.mu.Unlock()
	for range 5 {
		d := r.anyDaemon()
		status, _ := r.call(d, http.MethodPost, j.path, body)
		r.record.Add("POST %s at %s: %d", j.path, d.name, status)
		if status >= 200 && status < 300 {
			r.mu.Lock()
			j.accepted = true
			r.mu.Unlock()
			return id
		}
		time.Sleep(200 * time.Millisecond)
	}
	return id
}

// state asks a daemon for the state of a job.
func (r *Rig) state(d *Daemon, j *Job) (status int, state string) {
	status, answer := r.call(d, http.MethodGet, j.path, "")
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &body)
	return status, body.State
}

// close ends all processes.
func (r *Rig) close() {
	for _, d := range r.all {
		d.Kill()
		_ = d.logs.Close()
	}
}
