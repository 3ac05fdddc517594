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
	// firstHolder is how long the daemons have to begin.
	firstHolder = 20 * time.Second
	// poll is how often conditions are looked at.
	poll = 10 * time.Millisecond
	// clients is the number of callers that hand in jobs.
	clients = 3
)

// clock is what everything here goes by.
var clock timer.System

// soak is one run under way.
type soak struct {
	Options
	site    *site.Site
	ledger  *ledger
	store   []*Proxy
	mu      sync.Mutex
	workers map[string]*Proxy
	daemons []*process
	callers []*caller
	losses  []loss
	report  Report
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (r Report, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", o.Seed) }()
	s := &soak{Options: o, ledger: newLedger(), workers: map[string]*Proxy{}}
	defer func() {
		if closeErr := s.close(); err == nil {
			err = closeErr
		}
		r = s.report
	}()
	if err := s.start(ctx); err != nil {
		return r, err
	}
	s.play(ctx)
	s.finish(ctx)
	return r, ctx.Err()
}

// start brings up the site, the daemons and the callers.
func (s *soak) start(ctx context.Context) (err error) {
	s.site = &site.Site{
		Timer: clock, IP: s.Net, Executors: s.Workers, RunTime: runTime, Watch: s.ledger.take,
		ProxyWorker: func(worker, address string) (string, error) {
			p, err := NewProxy(s.Net, address)
			if err != nil {
				return "", err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.workers[worker] = p
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
	if !s.await(ctx, firstHolder, func() bool { _, epoch := s.holder(); return epoch > 0 }) {
		return eris.New("no daemon holds the pool")
	}
	for n := range clients {
		c := &caller{soak: s, n: n, rng: rand.New(rand.NewPCG(s.Seed, uint64(100+n)))}
		s.callers = append(s.callers, c)
		c.begin(ctx)
	}
	return nil
}

func (s *soak) addDaemon(n int) error {
	store, err := NewProxy(s.Net, s.site.StoreAddress())
	if err != nil {
		return err
	}
	s.store = append(s.store, store)
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
	d := &process{name: name, binary: s.Binary, settings: settings, folder: s.Folder, front: ports[0]}
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
		timer.Pause(ctx, clock, poll)
	}
	return true
}

// finish ends the callers, heals everything and waits until all work has ended.
func (s *soak) finish(ctx context.Context) {
	for _, c := range s.callers {
		c.end()
	}
	s.heal()
	begun := clock.Now().Boot
	jobs := map[string]*job{}
	for _, c := range s.callers {
		for id, j := range c.jobs {
			jobs[id] = j
		}
	}
	for id, j := range jobs {
		left := max(s.CompletionTimeout-(clock.Now().Boot-begun), poll)
		state := ""
		s.await(ctx, left, func() bool {
			state = s.callers[0].state(id)
			return over(state, j)
		})
		if ctx.Err() != nil {
			return
		}
		s.judge(id, j, state)
	}
	s.report.Violations = append(s.report.Violations, s.ledger.broken()...)
	for _, e := range s.site.Instances() {
		s.report.Violations = append(s.report.Violations, e.Violations()...)
	}
	s.report.Starts, s.report.LeaseExpired = s.ledger.starts(), s.ledger.lapses()
	s.recovered()
}

// over reports whether a job is in a state that it may stay in.
func over(state string, j *job) bool {
	return state == "completed" || j.cancelled && state == "canceled" || !j.accepted && state == "none"
}

// judge compares the last state of a job with what its caller was told.
func (s *soak) judge(id string, j *job, state string) {
	runs := s.ledger.runsOf(id)
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
	case j.accepted && !over(state, j):
		problem(fmt.Sprintf("accepted, and after %v without faults its state is %q", s.CompletionTimeout, state))
	case j.refused && runs > 0:
		problem("every try was refused, and it runs")
	}
}

// heal ends every fault that is under way.
func (s *soak) heal() {
	for _, p := range s.store {
		p.SetMode(Pass, 0)
	}
	s.mu.Lock()
	for _, p := range s.workers {
		p.SetMode(Pass, 0)
	}
	s.mu.Unlock()
	s.site.Store.SetFailures(nil)
	if err := s.reviveAll(); err != nil {
		s.report.Violations = append(s.report.Violations, err.Error())
	}
}

// reviveAll lets every daemon go on or starts it again.
func (s *soak) reviveAll() error {
	errs := make([]error, 0, len(s.daemons))
	for _, d := range s.daemons {
		errs = append(errs, d.revive())
	}
	return errors.Join(errs...)
}

// close ends everything that was started.
func (s *soak) close() error {
	for _, c := range s.callers {
		c.end()
	}
	for _, d := range s.daemons {
		if err := d.kill(); err != nil {
			return err
		}
	}
	for _, p := range s.store {
		p.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.workers {
		p.Close()
	}
	if s.site == nil {
		return nil
	}
	return s.site.Close()
}
