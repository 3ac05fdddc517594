// Package site is a stand-in for the users' platform: its store, workers, policy service and machine service. It speaks
// the platform's protocol over HTTP on loopback and injects failures on request.
package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/serve"
)

const (
	// heartbeatInterval is how often a worker writes its entry to the store.
	heartbeatInterval = 500 * time.Millisecond
	// workerMilliCores and workerMemoryMb are the capacity of a worker.
	workerMilliCores = 16_000
	workerMemoryMb   = 32_768
)

// Site runs all parts of the platform. Set the fields up to ProxyWorker and call Start, which sets Store, Policy and
// Cloud.
type Site struct {
	Timer citron.Timer
	// IP is the address that all parts listen on.
	IP string
	// Workers is the number of workers.
	Workers int
	// RunTime is how long a task runs.
	RunTime time.Duration
	// Watch, if set, is called with every event on the workers.
	Watch func(Event)
	// ProxyWorker, if set, returns the address under which a worker registers instead of its own address.
	ProxyWorker func(worker, address string) (string, error)

	Store  *Store
	Policy *Policy
	Cloud  *Cloud

	mu        sync.Mutex
	instances []*Instance
	// lateShare is the share of the orders that are carried out late, which lateChoices selects.
	lateShare   float64
	lateChoices *rand.Rand
	servers     []*http.Server
	// ended holds a channel for each server and goroutine, on which its end is reported.
	ended         []<-chan error
	ctx           context.Context
	cancel        context.CancelFunc
	storeAddress  string
	policyAddress string
	cloudAddress  string
}

// Start starts all servers and registers the workers.
func (s *Site) Start() (err error) {
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.Store = &Store{Timer: s.Timer}
	s.Policy = &Policy{}
	s.Cloud = &Cloud{Site: s}
	if s.storeAddress, err = s.serve(s.Store); err != nil {
		return err
	}
	if s.policyAddress, err = s.serve(s.Policy); err != nil {
		return err
	}
	if s.cloudAddress, err = s.serve(s.Cloud); err != nil {
		return err
	}
	for n := range s.Workers {
		if err := s.AddInstance(n); err != nil {
			return err
		}
	}
	return nil
}

// AddInstance starts a new instance of worker n.
func (s *Site) AddInstance(n int) error {
	s.mu.Lock()
	instance := len(s.instances)
	s.mu.Unlock()
	return s.start(&Instance{
		ID:       fmt.Sprintf("i-%02d-%02d", n, instance),
		Machine:  fmt.Sprintf("m-%02d", n),
		Capacity: citron.Capacity{MilliCores: workerMilliCores, MemoryMb: workerMemoryMb},
		Rack:     fmt.Sprintf("r%d", n/2),
	})
}

// restartedClock is Instance.ClockAhead of restarted instances.
const restartedClock = 10 * time.Minute

// RestartInstance starts an instance that has crashed again under its ID, at another address.
func (s *Site) RestartInstance(former *Instance) error {
	former.succeed()
	return s.start(&Instance{
		ID: former.ID, Machine: former.Machine, Capacity: former.Capacity, Rack: former.Rack, ClockAhead: restartedClock,
	})
}

// start serves and registers an instance.
func (s *Site) start(i *Instance) error {
	i.Timer, i.RunTime, i.Watch, i.Born = s.Timer, s.RunTime, s.Watch, s.Timer.Now().Wall.UnixMilli()
	i.postpone = func(call string, o order) bool { return s.postpone(i, call, o) }
	address, err := s.serve(i)
	if err == nil && s.ProxyWorker != nil {
		address, err = s.ProxyWorker(i.ID, address)
	}
	if err != nil {
		return err
	}
	i.Address = address
	heartbeat := s.heartbeat(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, i)
	s.ended = append(s.ended, heartbeat)
	return nil
}

// runAfter calls f after d, unless the site is closed first.
func (s *Site) runAfter(d time.Duration, f func()) {
	ended := make(chan error, 1)
	s.mu.Lock()
	s.ended = append(s.ended, ended)
	s.mu.Unlock()
	go func() {
		due, stop := s.Timer.After(d)
		defer stop()
		select {
		case <-due:
			f()
		case <-s.ctx.Done():
		}
		ended <- nil
	}()
}

// RequestUpkeep writes an upkeep wave to the store, as the operator does.
func (s *Site) RequestUpkeep(wave int64, timeLimit time.Duration, maxDown int, machines ...string) {
	raw, err := json.Marshal(struct {
		Wave      int64    `json:"wave"`
		Machines  []string `json:"machines"`
		DurationS float64  `json:"duration_s"`
		MaxCount  int      `json:"max_count"`
	}{wave, machines, timeLimit.Seconds(), maxDown})
	if err != nil {
		panic(err)
	}
	s.Store.Put("keyed.op", fmt.Sprintf("wave/%d", wave), raw)
}

// heartbeat writes a worker's entry to the store periodically and deletes it once the worker is gone.
func (s *Site) heartbeat(i *Instance) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := s.Timer.Every(heartbeatInterval)
		defer stop()
		for seq := 1; ; seq++ {
			if i.Gone() {
				if i.registers() {
					s.Store.Put("keyed.servers", i.ID, nil)
				}
				ended <- nil
				return
			}
			s.Store.Put("keyed.servers", i.ID, i.entry(seq))
			select {
			case <-tick:
			case <-s.ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// Instances returns all worker instances so far, including those that are gone.
func (s *Site) Instances() []*Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Instance(nil), s.instances...)
}

// serve starts an HTTP server at a free port.
func (s *Site) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(s.IP, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	ended := serve.Run(server, listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
	s.ended = append(s.ended, ended)
	return listener.Addr().String(), nil
}

// Close ends all servers and goroutines and waits for them.
func (s *Site) Close() error {
	s.cancel()
	s.mu.Lock()
	servers, endings := s.servers, s.ended
	s.mu.Unlock()
	errs := make([]error, 0, len(endings))
	for _, server := range servers {
		errs = append(errs, server.Close())
	}
	for _, ended := range endings {
		errs = append(errs, <-ended)
	}
	return errors.Join(errs...)
}

// TeamEntry is a team in the configuration.
type TeamEntry struct {
	Name   string   `json:"name"`
	Keys   []string `json:"api_keys"`
	Weight float64  `json:"weight"`
	// Max is the maximum of processor time, memory and accelerators; 0 means no limit.
	Max struct {
		MilliCores   int64 `json:"cpu"`
		MemoryMb     int64 `json:"mem_mb"`
		Accelerators int64 `json:"gpu"`
	} `json:"max_count"`
}

// PublishConfig writes a configuration with one queue for each prefix to the store, as the operator does.
func (s *Site) PublishConfig(version int, prefixes ...string) {
	s.PublishTeams(version, nil, prefixes...)
}

// PublishTeams is PublishConfig with teams.
func (s *Site) PublishTeams(version int, teams []TeamEntry, prefixes ...string) {
	type advice struct {
		DecideMs    float64 `json:"decide_ms"`
		PerWorkerMs float64 `json:"per_worker_ms"`
		ValidMs     int     `json:"valid_ms"`
	}
	type route struct {
		Name            string  `json:"name"`
		Host            string  `json:"host"`
		PathPrefix      string  `json:"path_prefix"`
		Service         string  `json:"service"`
		Attempts        int     `json:"attempts"`
		Stretch         float64 `json:"stretch"`
		TargetLatencyMs int     `json:"target_latency_ms"`
		Advice          *advice `json:"advice,omitempty"`
	}
	config := struct {
		Version int         `json:"version"`
		Routes  []route     `json:"routes"`
		Teams   []TeamEntry `json:"tenants,omitempty"`
	}{Version: version, Teams: teams}
	for _, p := range prefixes {
		config.Routes = append(config.Routes, route{p, clientHost, "/" + p + "/", "svc", 3, 2, 1000, &advice{2, 0.1, 2500}})
	}
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	s.Store.Put("keyed.op", "config", raw)
}

// StoreAddress returns the address of the store.
func (s *Site) StoreAddress() string {
	return s.storeAddress
}

// Node holds the settings of a daemon.
type Node struct {
	Name                  string
	Front, Ready, Metrics string
	PeerPort              int
	// Store is the address at which the daemon reaches the store; empty means StoreAddress.
	Store string
	// DirectWorkers is the setting direct_workers; 0 leaves it to its default.
	DirectWorkers int
	// MemoryMb and MaxFiles are the limits of the process; 0 sets none.
	MemoryMb, MaxFiles int
}

// WriteSettings writes the settings file of a daemon and returns its path.
func (s *Site) WriteSettings(folder string, n Node) (file string, err error) {
	if n.Store == "" {
		n.Store = s.storeAddress
	}
	text := fmt.Sprintf(`node = %q
ip = %q
zone = "z"
port_range = [%d, %d]
advice = %q
orders = "rpc"
direct_workers = %d
[listen]
front = %q
ready = %q
metrics = %q
[limits]
memory_mb = %d
max_fds = %d
[bounds]
hold_max_ms = 6000
lease_ms = 300
upkeep_s = 0.2
stop_grace_ms = 200
grace_s = 4
early_ms = 250
status_s = 120
[platform]
address = %q
[cloud]
address = %q
`, n.Name, s.IP, n.PeerPort, n.PeerPort, s.policyAddress, n.DirectWorkers, n.Front, n.Ready, n.Metrics, n.MemoryMb, n.MaxFiles, n.Store, s.cloudAddress)
	file = filepath.Join(folder, n.Name+".toml")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
