// Package soak runs the real daemons as separate processes against the stand-in site, injects faults into processes,
// connections, workers and the store at random from a seed, and checks what callers and workers observe.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
)

// Options configure one run.
type Options struct {
	// Binary is the path of the citrond executable.
	Binary string
	// Folder receives the settings and log files of the daemons.
	Folder string
	// IP is a loopback address that nothing else uses.
	IP string
	// Seed seeds the random choice of faults and jobs.
	Seed uint64
	// Daemons and Workers are the numbers of daemons and workers.
	Daemons, Workers int
	// Shapes makes callers submit jobs of random shape instead of a few kinds.
	Shapes bool
	// LateOrders makes workers carry out orders up to 12 s late, in the life that they have by then.
	LateOrders bool
	// Crowds makes clients press on daemons with requests that stop short of their end.
	Crowds bool
	// LargeJobs makes callers submit jobs that cost much, and checks the memory of the daemons.
	LargeJobs bool
	// Replaced makes daemons leave for good, with SIGTERM or without, and others come at new addresses.
	Replaced bool
	// Duration is how long faults are injected.
	Duration time.Duration
	// CompletionTimeout is how long all work may take to end after the last fault has ended.
	CompletionTimeout time.Duration
}

// Report is the result of a run.
type Report struct {
	// Violations lists the guarantees that the scheduler violated, and errors of the soak itself.
	Violations []string
	// Faults lists the injected faults in order.
	Faults []string
	// Recoveries lists the losses of the pool's holder after which a later holder has started a task.
	Recoveries []Recovery
	// Accepted and Completed count jobs, Starts counts the runs of tasks, LeaseExpired the runs that ended because their
	// worker's lease expired.
	Accepted, Completed, Starts, LeaseExpired int
	// LargeJobs counts the accepted jobs that cost much.
	LargeJobs int
}

// Recovery is one loss of the pool's holder.
type Recovery struct {
	// Cause names the fault, such as "freeze" or "store reset".
	Cause string
	// Duration is the time from the loss to the first start of a task by a later holder.
	Duration time.Duration
}

const (
	// runTime is the run time of a task. It is short so that the holder often changes between the end of a run and the
	// record of that end.
	runTime = 120 * time.Millisecond
	// firstHolderTimeout is how long the daemons may take until one holds the pool.
	firstHolderTimeout = 20 * time.Second
	// pollInterval is the interval at which conditions are checked.
	pollInterval = 10 * time.Millisecond
	// numCallers is the number of callers that submit jobs.
	numCallers = 3
)

// clock is the time source of this package.
var clock timer.System

// soak is a run in progress.
type soak struct {
	Options
	site    *site.Site
	checker *runChecker
	// storeProxies are the proxies between each daemon and the store.
	storeProxies []*Proxy
	mu           sync.Mutex
	// workerProxies are the proxies to the workers by worker id, daemons the daemons in their places. They are guarded by mu.
	workerProxies map[string]*Proxy
	daemons       []*daemon
	// removed are the daemons that were replaced, added counts all that were started, formerProxies are those of the removed.
	removed       []*daemon
	added         int
	formerProxies []*Proxy
	// bursts are the jobs of each burst.
	bursts  []*largeJobs
	callers []*caller
	losses  []holderLoss
	// stalledJobs are the ids of jobs that were never sent as a whole.
	stalledJobs []string
	report      Report
}

// Run runs the daemons under the faults and jobs of one seed.
func Run(ctx context.Context, o Options) (r Report, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", o.Seed) }()
	s := &soak{Options: o, checker: newRunChecker(), workerProxies: map[string]*Proxy{}}
	defer func() {
		if closeErr := s.close(); err == nil {
			err = closeErr
		}
		r = s.report
	}()
	if err := s.start(ctx); err != nil {
		return r, err
	}
	s.injectFaults(ctx)
	s.finish(ctx)
	return r, ctx.Err()
}

// start starts the site, the daemons and, once a daemon holds the pool, the callers.
func (s *soak) start(ctx context.Context) (err error) {
	s.site = &site.Site{
		Timer: clock, IP: s.IP, Workers: s.Workers, RunTime: runTime, Watch: s.checker.record,
		ProxyWorker: func(worker, address string) (string, error) {
			p, err := NewProxy(s.IP, address)
			if err != nil {
				return "", err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.workerProxies[worker] = p
			return p.Address(), nil
		},
	}
	if err := s.site.Start(); err != nil {
		return err
	}
	s.site.PublishConfig(1, "quick", "bulk")
	for n := range s.Daemons {
		if err := s.addDaemon(n); err != nil {
			return err
		}
	}
	if !s.waitUntil(ctx, firstHolderTimeout, func() bool { _, epoch := s.holder(); return epoch > 0 }) {
		return eris.New("no daemon holds the pool")
	}
	for n := range numCallers {
		c := &caller{soak: s, n: n, rng: rand.New(rand.NewPCG(s.Seed, uint64(100+n)))}
		s.callers = append(s.callers, c)
		c.start(ctx)
	}
	return nil
}

// addDaemon starts a daemon in place n behind a proxy to the store of its own.
func (s *soak) addDaemon(n int) error {
	store, err := NewProxy(s.IP, s.site.StoreAddress())
	if err != nil {
		return err
	}
	if n < len(s.storeProxies) {
		s.formerProxies = append(s.formerProxies, s.storeProxies[n])
		s.storeProxies[n] = store
	} else {
		s.storeProxies = append(s.storeProxies, store)
	}
	ports, err := site.FreeAddresses(s.IP, 4)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(ports[3])
	if err != nil {
		return err
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	memoryMb, maxFiles := 0, 0
	if s.Crowds || s.LargeJobs {
		memoryMb, maxFiles = crowdMemoryMb, crowdFiles
	}
	name := fmt.Sprintf("entry-%d", s.added)
	s.added++
	settings, err := s.site.WriteSettings(s.Folder, site.Node{
		Name: name, Front: ports[0], Ready: ports[1], Metrics: ports[2], PeerPort: peerPort, Store: store.Address(),
		DirectWorkers: s.directWorkers(), MemoryMb: memoryMb, MaxFiles: maxFiles,
	})
	if err != nil {
		return err
	}
	d := &daemon{name: name, binary: s.Binary, settings: settings, folder: s.Folder, front: ports[0]}
	s.mu.Lock()
	if n < len(s.daemons) {
		s.daemons[n] = d
	} else {
		s.daemons = append(s.daemons, d)
	}
	s.mu.Unlock()
	return d.start()
}

// directWorkers returns the number of workers to which the holder sends orders itself. For even seeds it is so low that the
// other daemons relay all orders.
func (s *soak) directWorkers() int {
	if s.Seed%2 == 0 {
		return 1
	}
	return 0
}

// waitUntil polls until a condition holds and reports whether it did within the timeout.
func (s *soak) waitUntil(ctx context.Context, timeout time.Duration, holds func() bool) bool {
	deadline := clock.Now().Boot + timeout
	for !holds() {
		if ctx.Err() != nil || clock.Now().Boot > deadline {
			return false
		}
		timer.Pause(ctx, clock, pollInterval)
	}
	return true
}

// finish stops the callers, ends all faults, waits until all work has ended and checks the outcome.
func (s *soak) finish(ctx context.Context) {
	for _, c := range s.callers {
		c.stop()
	}
	s.endFaults()
	s.cancelBursts(ctx)
	s.checkRefusals()
	started := clock.Now().Boot
	jobs := map[string]*job{}
	for _, c := range s.callers {
		for id, j := range c.jobs {
			jobs[id] = j
		}
	}
	for id, j := range jobs {
		left := max(s.CompletionTimeout-(clock.Now().Boot-started), pollInterval)
		state := ""
		s.waitUntil(ctx, left, func() bool {
			state = s.callers[0].state(id)
			return isFinal(state, j)
		})
		if ctx.Err() != nil {
			return
		}
		s.checkJob(id, j, state)
	}
	s.checkStalledJobs()
	s.report.Violations = append(s.report.Violations, s.checker.listViolations()...)
	for _, i := range s.site.Instances() {
		s.report.Violations = append(s.report.Violations, i.Violations()...)
	}
	s.report.Starts, s.report.LeaseExpired = s.checker.starts(), s.checker.leaseExpiries()
	s.measureRecoveries()
}

// isFinal reports whether a state is a valid final one for a job.
func isFinal(state string, j *job) bool {
	return state == "completed" || j.cancelled && state == "canceled" || !j.accepted && state == "none"
}

// checkJob compares the last state of a job and the runs of its tasks with the answers that its caller received.
func (s *soak) checkJob(id string, j *job, state string) {
	started := s.checker.startedTasks(id)
	violation := func(text string) {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("job %s: %s", id, text))
	}
	if j.accepted {
		s.report.Accepted++
	}
	switch {
	case j.accepted && !j.cancelled && state == "completed":
		s.report.Completed++
		if started < j.tasks {
			violation(fmt.Sprintf("reported as completed, but only %d of %d tasks have run", started, j.tasks))
		}
	case j.accepted && !isFinal(state, j):
		violation(fmt.Sprintf("accepted, but after %v without faults its state is %q", s.CompletionTimeout, state))
	case j.refused && started > 0:
		violation("every attempt to submit it was refused, but it runs")
	}
}

// endFaults ends every fault in progress.
func (s *soak) endFaults() {
	for _, p := range slices.Concat(s.storeProxies, s.formerProxies) {
		p.SetMode(Pass, 0)
	}
	s.mu.Lock()
	for _, p := range s.workerProxies {
		p.SetMode(Pass, 0)
	}
	s.mu.Unlock()
	s.site.Store.SetFailures(nil)
	if err := s.ensureAllRunning(); err != nil {
		s.report.Violations = append(s.report.Violations, err.Error())
	}
}

// ensureAllRunning resumes or restarts every daemon.
func (s *soak) ensureAllRunning() error {
	errs := make([]error, 0, len(s.daemons))
	for _, d := range s.daemons {
		errs = append(errs, d.ensureRunning())
	}
	return errors.Join(errs...)
}

// close stops everything that start has started.
func (s *soak) close() error {
	for _, c := range s.callers {
		c.stop()
	}
	for _, d := range slices.Concat(s.daemons, s.removed) {
		if err := d.kill(); err != nil {
			return err
		}
	}
	for _, p := range slices.Concat(s.storeProxies, s.formerProxies) {
		p.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.workerProxies {
		p.Close()
	}
	if s.site == nil {
		return nil
	}
	return s.site.Close()
}
