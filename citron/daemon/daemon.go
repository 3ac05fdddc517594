// Package daemon puts the parts of one entry VM's process together.
package daemon

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admin"
	"github.com/citroncross/citroncross/citron/batch"
	"github.com/citroncross/citroncross/citron/calls"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/feed"
	"github.com/citroncross/citroncross/citron/fleet"
	"github.com/citroncross/citroncross/citron/front"
	"github.com/citroncross/citroncross/citron/jobs"
	"github.com/citroncross/citroncross/citron/ledger"
	"github.com/citroncross/citroncross/citron/member"
	"github.com/citroncross/citroncross/citron/mesh"
	"github.com/citroncross/citroncross/citron/owner"
	"github.com/citroncross/citroncross/citron/serve"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/prefs"
)

const (
	// readyGrace is how long a stopping daemon still takes callers that have not seen it leave.
	readyGrace = 500 * time.Millisecond
	// probeTimeout bounds the question whether the log answers.
	probeTimeout = 300 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// silentBeats is the number of missed beats after which a daemon counts as not alive.
	silentBeats = 3
	// connectionsPerEndpoint bounds the connections to one endpoint; its slots bound them further.
	connectionsPerEndpoint = 64
)

// Daemon is one process of the scheduler.
type Daemon struct {
	settings  *prefs.Daemon
	self      citron.Member
	timer     citron.Timer
	log       *event.Logger
	stats     *stats.Set
	templates state.Templates
	owners    state.Owners
	feeds     map[citron.Stream]*feed.Follower
	tracker   fleet.Tracker
	members   member.List
	mesh      mesh.Mesh
	appender  *batch.Appender
	platform  citron.Log
	vms       citron.VMList
	manager   *owner.Manager
	slots     slots.Table
	calls     *calls.Service
	keyed     *calls.IntentStore
	jobs      *jobs.Service
	options   ledger.Options
	health    logHealth
	beatNow   chan struct{}
	exchanges spawn.Group

	// run lasts until the daemon has stopped.
	run    context.Context
	cancel context.CancelFunc
	caller *serve.Server
	admin  *serve.Server
	parts  map[string]<-chan error

	mu       sync.Mutex
	ready    bool
	stopping bool
	stopAsk  chan struct{}
	// hadRoom says for which services this daemon last had a free slot.
	hadRoom map[citron.Service]bool
}

// New builds a daemon from checked settings. Log lines go to out.
func New(settings *prefs.Daemon, out io.Writer) (d *Daemon, err error) {
	defer func() { err = eris.Wrap(err, "build daemon") }()
	clock := timer.System{}
	d = &Daemon{
		settings: settings,
		timer:    clock,
		self: citron.Member{
			VM:          citron.VMName(settings.GetVM()),
			Incarnation: citron.Incarnation(clock.Now().Wall.UnixMilli()),
		},
		log:     event.New(out, settings.GetLog().GetLevel(), settings.GetLog().GetFormat(), settings.GetVM()),
		stats:   stats.New(),
		beatNow: make(chan struct{}, 1),
		stopAsk: make(chan struct{}, 1),
		parts:   map[string]<-chan error{},
	}
	d.run, d.cancel = context.WithCancel(context.Background())
	d.connectPlatform()
	if err := d.connectPeers(); err != nil {
		return nil, err
	}
	d.buildOwnership()
	d.buildCalls()
	d.buildJobs()
	d.hook()
	return d, nil
}

// Start opens the ports and begins to work. It returns before the daemon is ready.
func (d *Daemon) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start daemon") }()
	peers, err := net.Listen("tcp", d.settings.GetPeerAddress())
	if err != nil {
		return err
	}
	adminPort, err := net.Listen("tcp", d.settings.GetAdminAddress())
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", d.settings.GetCallerAddress())
	if err != nil {
		return err
	}
	d.parts["peers"] = d.mesh.Serve(d.run, peers, &peerServer{d: d})
	if d.admin, err = serve.Start(adminPort, admin.Routes(d, d.stats)); err != nil {
		return err
	}
	d.parts["admin"] = d.admin.Ended()
	d.startParts()
	d.log.Emit(event.DaemonStarted, event.Fields{"Incarnation": d.self.Incarnation, "Caller": d.settings.GetCallerAddress()})
	f := &front.Front{
		BodyBytes: d.settings.GetLimits().GetBodyBytes(),
		Timer:     d.timer,
		Templates: &d.templates,
		Calls:     d.calls,
		Jobs:      d.jobs,
		Stats:     d.stats,
		Log:       d.log,
	}
	if d.caller, err = serve.Start(callers, f.Routes()); err != nil {
		return err
	}
	d.parts["callers"] = d.caller.Ended()
	return nil
}

func (d *Daemon) startParts() {
	d.parts["appender"] = d.appender.Run(d.run)
	for stream, f := range d.feeds {
		d.parts[string(stream)] = f.Run(d.run)
	}
	d.parts["vms"] = d.tracker.Run(d.run, d.timer, d.vms)
	d.parts["owner"] = d.manager.Run(d.run)
	d.parts["calls"] = d.calls.Run(d.run)
	d.parts["beat"] = d.runBeat()
	d.parts["upkeep"] = d.runUpkeep()
}

// Done is closed or receives when a graceful stop was asked for on the admin port.
func (d *Daemon) Done() <-chan struct{} {
	return d.stopAsk
}

// InFlight returns the number of calls that are under way here.
func (d *Daemon) InFlight() int {
	return d.calls.InFlight()
}

// Self returns the member that this process is.
func (d *Daemon) Self() citron.Member {
	return d.self
}

// Stop ends the daemon gracefully: not ready, shards handed over, requests under way ended whole.
func (d *Daemon) Stop() (err error) {
	defer func() { err = eris.Wrap(err, "stop daemon") }()
	d.mu.Lock()
	d.ready, d.stopping = false, true
	d.mu.Unlock()
	d.log.Emit(event.DaemonDraining, nil)
	d.hurryBeat()
	bounded, cancel := context.WithTimeout(d.run, time.Duration(d.settings.GetLimits().GetDrainMs())*time.Millisecond)
	defer cancel()
	d.caller.Drain()
	timer.Pause(bounded, d.timer, readyGrace)
	d.manager.Drain(bounded)
	err = d.caller.Stop(bounded)
	d.awaitFlights(bounded)
	d.Kill()
	d.log.Emit(event.DaemonStopped, nil)
	return err
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
	if d.caller != nil {
		d.caller.Close()
	}
	if d.admin != nil {
		d.admin.Close()
	}
	d.mesh.Close()
	for name, ended := range d.parts {
		if err := <-ended; err != nil {
			d.log.Emit(event.ComponentEnded, event.Fields{"Part": name, "Error": err})
		}
	}
}

// awaitFlights waits until no request of a caller or another daemon is under way.
func (d *Daemon) awaitFlights(ctx context.Context) {
	for d.calls.InFlight() > 0 {
		if ctx.Err() != nil {
			d.log.Emit(event.DrainTimedOut, event.Fields{"InFlight": d.calls.InFlight()})
			return
		}
		timer.Pause(ctx, d.timer, flightPoll)
	}
}

// flightPoll is how often a stopping daemon looks whether requests are under way.
const flightPoll = 10 * time.Millisecond
