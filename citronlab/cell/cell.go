// Package cell runs a small cell in one process: the daemons and stand-ins for platform, endpoints and workers.
package cell

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/conf"
	"github.com/citroncross/citroncross/citron/daemon"
	"github.com/citroncross/citroncross/citron/edits"
	"github.com/citroncross/citroncross/citron/fleet"
	"github.com/citroncross/citroncross/citron/serve"
	"github.com/citroncross/citroncross/citron/stream"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/tmpl"
	"github.com/citroncross/citroncross/citronlab/endp"
	"github.com/citroncross/citroncross/citronlab/plat"
	"github.com/citroncross/citroncross/citronlab/work"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/prefs"
)

// Ports of a cell.
const (
	CallerPort   = 8080
	AdminPort    = 8081
	PeerPort     = 8082
	PlatformPort = 9000
	// Endpoint n and worker n listen on these ports plus n.
	endpointPort = 9100
	workerPort   = 9500
)

// Options configures a cell. The zero value is not usable; see Defaults.
type Options struct {
	// Net is the first three octets of every IP address of the cell.
	Net     string
	Daemons int
	// Endpoints is the number of endpoints of each service, with Slots slots each.
	Endpoints int
	Workers   int
	Slots     int
	// FailPercent is the percentage of calls that the first Failing endpoints of each service fail.
	FailPercent int
	Failing     int
	// RunTime is the median of the log-normal run times of calls; Spread is their sigma.
	RunTime time.Duration
	Spread  float64
	Log     io.Writer
	// AdjustSettings adjusts each daemon's settings.
	AdjustSettings func(*prefs.Daemon)
	// Platform configures the platform's stand-in.
	Platform plat.Options
}

// Defaults returns the options of the cell that `citronlab dev` runs.
func Defaults() Options {
	return Options{
		Net:       "127.0.0",
		Daemons:   6,
		Endpoints: 4,
		Workers:   6,
		Slots:     8,
		RunTime:   10 * time.Millisecond,
		Spread:    0.5,
		Log:       os.Stderr,
		Platform:  plat.Options{WakeTime: time.Second},
	}
}

// services lists the example teams and the services that run their calls.
var services = []struct{ team, service string }{
	{"ballyhoura", "passcast"},
	{"bensalah", "reservations"},
}

// failureDomains lists the failure domains over which the VMs are distributed.
var failureDomains = []string{"sw-buttevant", "sw-doneraile", "sw-kanturk", "sw-newmarket"}

// workersPerRack is the number of workers in each rack; all workers of a rack are in one failure domain.
const workersPerRack = 6

// Cell is a running cell.
type Cell struct {
	Options   Options
	Timer     timer.System
	Platform  *plat.Platform
	Endpoints []*endp.Endpoint
	Workers   []*work.Worker
	Daemons   []*daemon.Daemon

	servers []*serve.Server
	cancel  context.CancelFunc
	// ended holds a channel for each background loop, on which its end is reported.
	ended []<-chan error
}

// Start starts the stand-ins and then the daemons. After an error the cell is returned too, so that it can be closed.
func Start(o Options) (c *Cell, err error) {
	defer func() { err = eris.Wrap(err, "start cell") }()
	ctx, cancel := context.WithCancel(context.Background())
	c = &Cell{Options: o, cancel: cancel, Daemons: make([]*daemon.Daemon, o.Daemons)}
	if err := c.startPlatform(); err != nil {
		return c, err
	}
	for n := range o.Daemons {
		c.Platform.Add(&lab.VM{Name: daemonName(n), Kind: fleet.KindEntry, Address: o.address(n+1, PeerPort), FailureDomain: domain(n)})
	}
	for n := range o.Endpoints * len(services) {
		if err := c.startEndpoint(n); err != nil {
			return c, err
		}
	}
	for n := range o.Workers {
		if err := c.startWorker(ctx, n); err != nil {
			return c, err
		}
	}
	c.ended = append(c.ended, c.Platform.Run(ctx))
	for n := range o.Daemons {
		if err := c.StartDaemon(n); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Stop stops the daemons gracefully and then the stand-ins. It returns the first error.
func (c *Cell) Stop() (err error) {
	for n, d := range c.Daemons {
		if d == nil {
			continue
		}
		if stopErr := d.Stop(); stopErr != nil && err == nil {
			err = stopErr
		}
		c.Daemons[n] = nil
	}
	c.Close()
	return err
}

// Close kills the daemons and stops the stand-ins.
func (c *Cell) Close() {
	for _, d := range c.Daemons {
		if d != nil {
			d.Kill()
		}
	}
	c.cancel()
	for _, s := range c.servers {
		s.Close()
		<-s.Ended()
	}
	for _, e := range c.ended {
		<-e
	}
}

// StartDaemon starts daemon n.
func (c *Cell) StartDaemon(n int) (err error) {
	settings := c.Options.Settings(n)
	d, err := daemon.New(settings, c.Options.Log)
	if err != nil {
		return err
	}
	c.Daemons[n] = d
	return d.Start()
}

// KillDaemon kills daemon n.
func (c *Cell) KillDaemon(n int) {
	c.Daemons[n].Kill()
	c.Daemons[n] = nil
}

// CallerURL returns the URL at which daemon n serves callers.
func (c *Cell) CallerURL(n int) string {
	return "http://" + c.Options.address(n+1, CallerPort)
}

// PlatformURL returns the URL of the platform.
func (c *Cell) PlatformURL() string {
	return "http://" + c.Options.address(1, PlatformPort)
}

// Publish renders a template text with its parameters and publishes it as the next version.
func (c *Cell) Publish(ctx context.Context, text, parameters string) (err error) {
	defer func() { err = eris.Wrap(err, "publish template") }()
	source, problems := tmpl.Render("template", text, parameters)
	if len(problems) > 0 {
		return problems
	}
	compiled, problems := tmpl.Parse("template", source)
	if len(problems) > 0 {
		return problems
	}
	log := stream.New(c.PlatformURL(), nil)
	templates, err := edits.Load(ctx, log, c.Timer)
	if err != nil {
		return err
	}
	current, _ := templates.Get(compiled.Team)
	change := edits.Change{Team: compiled.Team, Base: current.Version, Source: source, Operator: "citronlab"}
	_, err = edits.Publish(ctx, log, c.Timer, change)
	return err
}

// PublishExamples publishes the templates of the example teams in a folder.
func (c *Cell) PublishExamples(ctx context.Context, folder string) (err error) {
	for _, s := range services {
		text, err := os.ReadFile(filepath.Join(folder, s.team+".toml"))
		if err != nil {
			return eris.Wrap(err, "read example template")
		}
		parameters, err := os.ReadFile(filepath.Join(folder, s.team+".parameters.toml"))
		if err != nil {
			return eris.Wrap(err, "read example parameters")
		}
		if err := c.Publish(ctx, string(text), string(parameters)); err != nil {
			return err
		}
	}
	return nil
}

// Ready reports whether every running daemon is ready and has the templates of the given number of teams, and whether
// every shard has an active owner.
func (c *Cell) Ready(teams int) bool {
	active, want := 0, 0
	for _, d := range c.Daemons {
		if d == nil {
			continue
		}
		status := d.Status()
		if !status.GetReady() || len(status.GetTemplates()) < teams {
			return false
		}
		for _, s := range status.GetShards() {
			if s.GetActive() {
				active++
			}
		}
	}
	o := c.Options.Settings(0).GetOwnership()
	want = int(o.GetCallShards() + o.GetWorkerPools())
	return active >= want
}

// Settings returns the settings of daemon n.
func (o Options) Settings(n int) *prefs.Daemon {
	s := conf.DaemonDefaults()
	s.VM = daemonName(n)
	s.FailureDomain = domain(n)
	s.CallerAddress = o.address(n+1, CallerPort)
	s.AdminAddress = o.address(n+1, AdminPort)
	s.PeerAddress = o.address(n+1, PeerPort)
	s.PlatformURL = "http://" + o.address(1, PlatformPort)
	s.TLS.Off = true
	for p := range o.Daemons {
		s.Peers = append(s.Peers, &prefs.PeerAddress{VM: daemonName(p), Address: o.address(p+1, PeerPort)})
	}
	if o.AdjustSettings != nil {
		o.AdjustSettings(s)
	}
	return s
}

// address returns the address of a port at the IP address that ends with last.
func (o Options) address(last, port int) string {
	return fmt.Sprintf("%s.%d:%d", o.Net, last, port)
}

func (c *Cell) startPlatform() error {
	c.Platform = &plat.Platform{Options: c.Options.Platform, Timer: c.Timer}
	listener, err := net.Listen("tcp", c.Options.address(1, PlatformPort))
	if err != nil {
		return err
	}
	s, err := serve.Start(listener, c.Platform.Routes())
	c.servers = append(c.servers, s)
	return err
}

func (c *Cell) startEndpoint(n int) error {
	service := services[n%len(services)].service
	name := fmt.Sprintf("%s-%02d", service, n/len(services))
	failing := 0
	if n/len(services) < c.Options.Failing {
		failing = c.Options.FailPercent
	}
	e := &endp.Endpoint{
		Options: endp.Options{Name: name, Slots: c.Options.Slots, RunTime: c.Options.RunTime, Spread: c.Options.Spread, Seed: uint64(n), FailPercent: failing},
		Timer:   c.Timer,
	}
	address := c.Options.address(100, endpointPort+n)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s, err := serve.Start(listener, e.Routes())
	if err != nil {
		return err
	}
	c.servers = append(c.servers, s)
	c.Endpoints = append(c.Endpoints, e)
	c.Platform.Add(&lab.VM{
		Name:          name,
		Kind:          fleet.KindEndpoint,
		Address:       address,
		FailureDomain: domain(n),
		Service:       service,
		Slots:         int32(c.Options.Slots),
		Connections:   64,
	})
	return nil
}

func (c *Cell) startWorker(ctx context.Context, n int) error {
	w := &work.Worker{
		Options: work.Options{Name: workerName(n), MilliCores: 32_000, MemoryMb: 64_000, RunTime: time.Second},
		Timer:   c.Timer,
	}
	address := c.Options.address(101, workerPort+n)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s, err := serve.Start(listener, w.Routes())
	if err != nil {
		return err
	}
	c.servers = append(c.servers, s)
	c.Workers = append(c.Workers, w)
	c.ended = append(c.ended, w.Run(ctx))
	c.Platform.Add(WorkerVM(n, address))
	return nil
}

// WorkerVM returns the platform's VM of worker n of the example cell.
func WorkerVM(n int, address string) *lab.VM {
	return &lab.VM{
		Name:          workerName(n),
		Kind:          fleet.KindWorker,
		Address:       address,
		FailureDomain: domain(n / workersPerRack),
		Rack:          fmt.Sprintf("rack-%02d", n/workersPerRack),
		MilliCores:    32_000,
		MemoryMb:      64_000,
	}
}

func daemonName(n int) string {
	return fmt.Sprintf("entry-%d", n+1)
}

func workerName(n int) string {
	return fmt.Sprintf("worker-%02d", n)
}

// domain returns the failure domain of daemon, endpoint or rack n.
func domain(n int) string {
	return failureDomains[n%len(failureDomains)]
}

var _ citron.Timer = timer.System{}
