// Package daemon assembles the daemon that keeps its state in the platform's log. It runs the calls and jobs of the
// shards that it owns.
package daemon

import (
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admin"
	"github.com/citroncross/citroncross/citron/batch"
	"github.com/citroncross/citroncross/citron/budget"
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
	// readyGrace is how long a stopping daemon still accepts requests from callers that have not noticed that it is no
	// longer ready.
	readyGrace = 500 * time.Millisecond
	// probeTimeout limits the check whether the log answers.
	probeTimeout = 300 * time.Millisecond
	// appendTimeout limits one append.
	appendTimeout = 2 * time.Second
	// missedHeartbeats is the number of heartbeat periods without a heartbeat after which a daemon counts as not alive.
	missedHeartbeats = 3
	// bodyTimeout bounds the time to receive the body of a call or a job, which may be large.
	bodyTimeout = 30 * time.Second
	// connectionsPerEndpoint is the maximum number of connections to one endpoint; its slots limit them further.
	connectionsPerEndpoint = 64
)

// Daemon is the scheduler process of one entry VM.
type Daemon struct {
	settings  *prefs.Daemon
	self      citron.Member
	timer     citron.Timer
	log       *event.Logger
	stats     *stats.Set
	templates state.Templates
	owners    state.Owners
	followers map[citron.Stream]*feed.Follower
	tracker   fleet.Tracker
	members   member.List
	mesh      mesh.Mesh
	appender  *batch.Appender
	platform  citron.Log
	vms       citron.VMList
	manager   *owner.Manager
	slots     slots.Table
	calls     *calls.Service
	intents   *calls.IntentStore
	jobs      *jobs.Service
	options   ledger.Options
	health    logHealth
	// heartbeatDue holds a value while a heartbeat is due before the next tick.
	heartbeatDue chan struct{}
	// exchanges runs the heartbeats in flight.
	exchanges spawn.Group

	// ctx is cancelled when the daemon stops.
	ctx          context.Context
	cancel       context.CancelFunc
	callerServer *serve.Server
	// requests is the memory that the requests to all HTTP ports share.
	requests        budget.Budget
	peerConnections budget.Connections
	observer        *serve.Recorder
	adminServer     *serve.Server
	// components holds, by name, the channel on which each background component reports its end.
	components map[string]<-chan error

	mu            sync.Mutex
	ready         bool
	stopping      bool
	stopRequested chan struct{}
	// hadFreeSlot holds, for each service, whether this daemon had a free slot when last checked.
	hadFreeSlot map[citron.Service]bool
}

// New builds a daemon from validated settings. Log lines go to out.
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
		log:           event.New(out, settings.GetLog().GetLevel(), settings.GetLog().GetFormat(), settings.GetVM()),
		stats:         stats.New(),
		heartbeatDue:  make(chan struct{}, 1),
		stopRequested: make(chan struct{}, 1),
		components:    map[string]<-chan error{},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.observer = &serve.Recorder{Timer: d.timer, Log: d.log, Stats: d.stats}
	d.requests.Total = plan(settings).Requests
	d.connectPlatform()
	if err := d.connectPeers(); err != nil {
		return nil, err
	}
	d.buildOwnership()
	d.buildCalls()
	d.buildJobs()
	d.setCallbacks()
	return d, nil
}

// Start opens the ports and starts all components. It returns before the daemon is ready.
func (d *Daemon) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start daemon") }()
	peerListener, err := net.Listen("tcp", d.settings.GetPeerAddress())
	if err != nil {
		return err
	}
	adminListener, err := serve.Listen(d.settings.GetAdminAddress(), int(budget.ReceiveBytes))
	if err != nil {
		return err
	}
	callerListener, err := serve.Listen(d.settings.GetCallerAddress(), int(budget.ReceiveBytes))
	if err != nil {
		return err
	}
	plan := plan(d.settings)
	d.peerConnections.Max = plan.Peers
	peerListener = serve.LimitConnections(peerListener, &d.peerConnections, func() { d.observer.Shed("peers", budget.ShedConnections) })
	d.components["peers"] = d.mesh.Serve(d.ctx, peerListener, &peerServer{d: d})
	if d.adminServer, err = d.guard("admin", plan.Side).Start(adminListener, admin.Routes(d, d.stats)); err != nil {
		return err
	}
	d.components["admin"] = d.adminServer.Ended()
	d.startComponents()
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
	if d.callerServer, err = d.guard("callers", plan.Callers).Start(callerListener, f.Routes()); err != nil {
		return err
	}
	d.components["callers"] = d.callerServer.Ended()
	return nil
}

// plan divides the memory and the descriptors of the process.
func plan(settings *prefs.Daemon) budget.Plan {
	return budget.NewPlan(budget.Bytes(settings.GetLimits().GetMemoryMb())<<20, int(settings.GetLimits().GetOpenFiles()))
}

// LimitHeap makes the runtime collect garbage and return memory before the process reaches the limit in the settings.
func LimitHeap(settings *prefs.Daemon) {
	debug.SetMemoryLimit(int64(plan(settings).Heap))
}

// guard returns the guard of a port. The requests to all ports share the memory of d.requests.
func (d *Daemon) guard(port string, connections int) *serve.Guard {
	g := &serve.Guard{Port: port, Timer: d.timer, Budget: &d.requests, BodyTimeout: bodyTimeout, Observer: d.observer}
	g.Connections.Max = connections
	return g
}

// startComponents starts the background components; each reports its end on a channel in d.components.
func (d *Daemon) startComponents() {
	d.components["appender"] = d.appender.Run(d.ctx)
	for stream, f := range d.followers {
		d.components[string(stream)] = f.Run(d.ctx)
	}
	d.components["vms"] = d.tracker.Run(d.ctx, d.timer, d.vms)
	d.components["owner"] = d.manager.Run(d.ctx)
	d.components["calls"] = d.calls.Run(d.ctx)
	d.components["beat"] = d.runHeartbeats()
	d.components["upkeep"] = d.runMaintenance()
}

// Done receives a value when a graceful stop has been requested on the admin port.
func (d *Daemon) Done() <-chan struct{} {
	return d.stopRequested
}

// InFlight returns the number of calls in flight on this daemon.
func (d *Daemon) InFlight() int {
	return d.calls.InFlight()
}

// Self returns the identity of this process.
func (d *Daemon) Self() citron.Member {
	return d.self
}

// Stop shuts the daemon down gracefully: it reports not ready, hands over its shards and completes requests in flight.
func (d *Daemon) Stop() (err error) {
	defer func() { err = eris.Wrap(err, "stop daemon") }()
	d.mu.Lock()
	d.ready, d.stopping = false, true
	d.mu.Unlock()
	d.log.Emit(event.DaemonDraining, nil)
	d.triggerHeartbeat()
	bounded, cancel := context.WithTimeout(d.ctx, time.Duration(d.settings.GetLimits().GetDrainMs())*time.Millisecond)
	defer cancel()
	d.callerServer.Drain()
	timer.Pause(bounded, d.timer, readyGrace)
	d.manager.Drain(bounded)
	err = d.callerServer.Stop(bounded)
	d.awaitInFlight(bounded)
	d.Kill()
	d.log.Emit(event.DaemonStopped, nil)
	return err
}

// Kill stops the daemon immediately, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
	if d.callerServer != nil {
		d.callerServer.Close()
	}
	if d.adminServer != nil {
		d.adminServer.Close()
	}
	d.mesh.Close()
	for name, ended := range d.components {
		if err := <-ended; err != nil {
			d.log.Emit(event.ComponentEnded, event.Fields{"Part": name, "Error": err})
		}
	}
}

// awaitInFlight waits until no call from a caller or another daemon is in flight.
func (d *Daemon) awaitInFlight(ctx context.Context) {
	for d.calls.InFlight() > 0 {
		if ctx.Err() != nil {
			d.log.Emit(event.DrainTimedOut, event.Fields{"InFlight": d.calls.InFlight()})
			return
		}
		timer.Pause(ctx, d.timer, inFlightPollInterval)
	}
}

// inFlightPollInterval is how often a stopping daemon checks for calls in flight.
const inFlightPollInterval = 10 * time.Millisecond
