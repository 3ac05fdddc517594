// Package soak runs the real daemons as processes of their own against the stand-in site, brings faults to them from
// outside, drawn from a seed, and checks what callers and workers see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
)

// Options are those of one run.
type Options struct {
	// Binary is the program of the daemons.
	Binary string
	// Folder takes settings and log lines.
	Folder string
	// Net is a loopback address that nothing else uses.
	Net string
	// Seed draws the faults and the jobs.
	Seed uint64
	// Daemons and Workers are how many there are.
	Daemons, Workers int
	// Duration is how long faults come.
	Duration time.Duration
	// CompletionTimeout is the time without faults within which all work has to end afterwards.
	CompletionTimeout time.Duration
}

// Report is what a run found.
type Report struct {
	// Violations lists the promises that were not kept.
	Violations []string
	// Faults lists what was done, in order.
	Faults []string
	// Recoveries are the losses of the pool's holder and how soon the next one started tasks.
	Recoveries []Recovery
	// Accepted and Completed count jobs, Starts the runs of their tasks, Lapsed those that ended with their lease.
	Accepted, Completed, Starts, LeaseExpired int
}

// Recovery is one loss of the pool's holder.
type Recovery struct {
	Cause string
	// Duration is the time from the loss to the first start by a later holder.
	Duration time.Duration
}

const (
	// runTime is how long a task runs: short, so that many changes of holder fall between an end and its record.
	runTime = 120 * time.Millisecond
	// firstHolderTimeout is how long the daemons have to begin.
	firstHolderTimeout = 20 * time.Second
	// pollInterval is how often conditions are looked at.
	pollInterval = 10 * time.Millisecond
	// numCallers is the number of callers that hand in jobs.
	numCallers = 3
)

// clock is what everything here goes by.
var clock timer.Service

// soak is one run under way.
type soak struct {
	Options
	site          *site.Site
	checker       *runChecker
	storeProxies  []*Proxy
	mu            sync.Mutex
	workerProxies map[string]*Proxy
	daemons       []*daemon
	callers       []*caller
	losses        []holderLoss
	report        Report
}

// Run plays one seed.
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

// start brings up the site, the daemons and the callers.
func (s *soak) start(ctx context.Context) (err error) {
	s.site = &site.Site{
		Timer: clock, Net: s.Net, Executors: s.Workers, RunTime: runTime, Watch: s.checker.record,
		Via: func(worker, address string) (string, error) {
			p, err := NewProxy(s.Net, address)
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
	s.site.Publish(1, "quick", "bulk")
	for n := range s.Daemons {
		if err := s.addDaemon(n); err != nil {
			return err
		}
	}
	if !s.await(ctx, firstHolderTimeout, func() bool { _, epoch := s.holder(); return epoch > 0 }) {
		return eris.New("no daemon holds the pool")
	}
	for n := range numCallers {
		c := &caller{soak: s, n: n, rng: rand.New(rand.NewPCG(s.Seed, uint64(100+n)))}
		s.callers = append(s.callers, c)
		c.start(ctx)
	}
	return nil
}

func (s *soak) addDaemon(n int) error {
	store, err := NewProxy(s.Net, s.site.StoreAddress())
	if err != nil {
		return err
	}
	s.storeProxies = append(s.storeProxies, store)
	var ports [4]string
	for i := range ports {
		if ports[i], err = site.FreeAddress(s.Net); err != nil {
			return err
		}
	}
	_, port, err := net.SplitHostPort(ports[3])
	if err != nil {
		return err
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", n)
	settings, err := s.site.WriteSettings(s.Folder, site.Node{
		Name: name, Front: ports[0], Ready: ports[1], Metrics: ports[2], PeerPort: peerPort, Store: store.Address(),
	})
	if err != nil {
		return err
	}
	d := &daemon{name: name, binary: s.Binary, settings: settings, folder: s.Folder, front: ports[0]}
	s.daemons = append(s.daemons, d)
	return d.start()
}

// await polls until a condition holds; false if it does not within a time.
func (s *soak) await(ctx context.Context, within time.Duration, holds func() bool) bool {
	until := clock.Now().Boot + within
	for !holds() {
		if ctx.Err() != nil || clock.Now().Boot > until {
			return false
		}
		timer.Pause(ctx, clock, pollInterval)
	}
	return true
}

// finish ends the callers, heals everything and waits until all work has ended.
func (s *soak) finish(ctx context.Context) {
	for _, c := range s.callers {
		c.stop()
	}
	s.endFaults()
	begun := clock.Now().Boot
	jobs := map[string]*job{}
	for _, c := range s.callers {
		for id, j := range c.jobs {
			jobs[id] = j
		}
	}
	for id, j := range jobs {
		left := max(s.CompletionTimeout-(clock.Now().Boot-begun), pollInterval)
		state := ""
		s.await(ctx, left, func() bool {
			state = s.callers[0].state(id)
			return isFinal(state, j)
		})
		if ctx.Err() != nil {
			return
		}
		s.checkJob(id, j, state)
	}
	s.report.Violations = append(s.report.Violations, s.checker.listViolations()...)
	for _, e := range s.site.Lives() {
		s.report.Violations = append(s.report.Violations, e.Breaches()...)
	}
	s.report.Starts, s.report.LeaseExpired = s.checker.starts(), s.checker.leaseExpiries()
	s.measureRecoveries()
}

// isFinal reports whether a job is in a state that it may stay in.
func isFinal(state string, j *job) bool {
	return state == "completed" || j.cancelled && state == "canceled" || !j.accepted && state == "none"
}

// checkJob compares the last state of a job with what its caller was told.
func (s *soak) checkJob(id string, j *job, state string) {
	runs := s.checker.startedTasks(id)
	problem := func(text string) {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("job %s: %s", id, text))
	}
	if j.accepted {
		s.report.Accepted++
	}
	switch {
	case j.accepted && !j.cancelled && state == "completed":
		s.report.Completed++
		if runs < j.tasks {
			problem(fmt.Sprintf("shown as completed, %d of %d tasks have run", runs, j.tasks))
		}
	case j.accepted && !isFinal(state, j):
		problem(fmt.Sprintf("accepted, and after %v without faults its state is %q", s.CompletionTimeout, state))
	case j.refused && runs > 0:
		problem("every try was refused, and it runs")
	}
}

// endFaults ends every fault that is under way.
func (s *soak) endFaults() {
	for _, p := range s.storeProxies {
		p.SetMode(Pass, 0)
	}
	s.mu.Lock()
	for _, p := range s.workerProxies {
		p.SetMode(Pass, 0)
	}
	s.mu.Unlock()
	s.site.Store.Fail(nil)
	if err := s.ensureAllRunning(); err != nil {
		s.report.Violations = append(s.report.Violations, err.Error())
	}
}

// ensureAllRunning lets every daemon go on or starts it again.
func (s *soak) ensureAllRunning() error {
	errs := make([]error, 0, len(s.daemons))
	for _, d := range s.daemons {
		errs = append(errs, d.ensureRunning())
	}
	return errors.Join(errs...)
}

// close ends everything that was started.
func (s *soak) close() error {
	for _, c := range s.callers {
		c.stop()
	}
	for _, d := range s.daemons {
		if err := d.kill(); err != nil {
			return err
		}
	}
	for _, p := range s.storeProxies {
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
