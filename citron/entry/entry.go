// Package entry puts the parts of one entry VM's daemon together whose state lies in the platform's store.
package entry

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/claim"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/holder"
	"github.com/citroncross/citroncross/citron/intake"
	"github.com/citroncross/citroncross/citron/peers"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/work"
)

// The product's partitions in the store.
var cellPartition = citron.Partition{Topic: "citron.cell"}

const (
	jobsTopic     citron.Topic = "citron.jobs"
	progressTopic citron.Topic = "citron.progress"
	// spread is the number of partitions of these topics. One takes all records; the others replace it while the store
	// does not answer for it.
	spread = 6
)

const (
	// producer names the pool towards the store.
	producer = "pool-0"
	// claimKey and peerKey begin the keys of the cell's records.
	claimKey = "claim/0"
	peerKey  = "peer/"
	// readPause separates two reads of a partition whose records also come from the other daemons.
	readPause = 400 * time.Millisecond
	// spareWait is how long a read of a partition may wait that takes records only while another one fails.
	spareWait = 8 * time.Second
	// readyAge is how long the store may be silent before this daemon asks for no more callers.
	readyAge = 2500 * time.Millisecond
)

// Settings are what one daemon needs to know of its place.
type Settings struct {
	VM            citron.VMName
	FailureDomain citron.FailureDomain
	PeerAddress   string
	// MilliCores is the processor time that this VM has, in thousandths of a core.
	MilliCores int64
	Pool       pool.Options
	// HolderGrace is how much longer than usual a holder may be silent or without the store before another daemon claims
	// its pool.
	HolderGrace time.Duration
	// MachineLease separates the orders of two holders for machines; UpkeepTakes is how long one upkeep lasts.
	MachineLease, UpkeepDuration time.Duration
}

// Daemon is one process of the scheduler.
type Daemon struct {
	Settings Settings
	Store    citron.Store
	Workers  citron.Workers
	Adviser  citron.Adviser
	Machines citron.Machines
	Timer    citron.Timer
	Log      *event.Logger
	Stats    *stats.Set

	// Intake answers callers.
	Intake *intake.Service

	self     citron.Member
	peers    peers.Peers
	view     view.View
	cell     *tail.Tail
	jobs     []*tail.Tail
	progress []*tail.Tail
	desk     advice.Balancer
	outbox   outbox
	calls    spawn.Group
	parts    []<-chan error
	hurry    chan struct{}

	run    context.Context
	cancel context.CancelFunc

	config   atomic.Pointer[citron.Config]
	stopping atomic.Bool

	mu       sync.Mutex
	watch    claim.Watch
	holding  *holding
	takeOver bool
	// partitions are those of the pool's records that the newest claim names.
	partitions []int32
	entries    []citron.WorkerEntry
	// waves are the operator's, waveProgress what holders have recorded of them.
	waves        map[int64]citron.Wave
	waveProgress map[int64]*work.WaveProgress
	// resigned is the epoch that this daemon gave up by itself, and when.
	resigned   citron.Epoch
	resignedAt time.Duration
}

// holding is the pool while this daemon holds it.
type holding struct {
	epoch  citron.Epoch
	holder *holder.Holder
	cancel context.CancelFunc
	ended  <-chan error
	ready  atomic.Bool
}

// Start begins to work; it returns before anything is known of the cell.
func (d *Daemon) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start daemon") }()
	listener, err := net.Listen("tcp", d.Settings.PeerAddress)
	if err != nil {
		return err
	}
	d.run, d.cancel = context.WithCancel(context.Background())
	d.self = citron.Member{VM: d.Settings.VM, Incarnation: citron.Incarnation(d.Timer.Now().Wall.UnixMilli())}
	d.peers.Self, d.peers.Timer, d.peers.MilliCores = d.self, d.Timer, d.Settings.MilliCores
	d.watch.ExtraTimeout = d.Settings.HolderGrace
	d.hurry = make(chan struct{}, 1)
	d.calls.SetContext(d.run)
	d.gauges()
	d.view.Unreadable = func(key string, err error) {
		d.Log.Emit(event.RecordUnreadable, event.Fields{"Key": key, "Error": err})
	}
	d.cell = d.tail(cellPartition, d.applyCell, 0)
	writer := &intake.Writer{Store: d.Store, Timer: d.Timer, Relay: d.relay, AnsweredSince: func(n int, since time.Duration) bool {
		return d.jobs[n].AnsweredSince(since)
	}}
	for n := range spread {
		writer.Partitions = append(writer.Partitions, citron.Partition{Topic: jobsTopic, Number: n})
		d.jobs = append(d.jobs, d.tail(writer.Partitions[n], d.view.Apply, readPause))
		d.progress = append(d.progress, d.tail(citron.Partition{Topic: progressTopic, Number: n}, d.view.Apply, readPause))
		if n > 0 {
			d.jobs[n].Wait, d.progress[n].Wait = spareWait, spareWait
		}
	}
	d.Intake = &intake.Service{View: &d.view, Writer: writer, Tails: d.jobs, Timer: d.Timer, Stored: d.accepted, Lookup: d.lookup}
	d.Log.Emit(event.DaemonStarted, event.Fields{"Incarnation": d.self.Incarnation, "Peer": d.Settings.PeerAddress})
	d.parts = append(d.parts, peers.Serve(d.run, listener, &server{d: d}))
	for _, t := range d.tails() {
		d.parts = append(d.parts, t.Run(d.run))
	}
	d.parts = append(d.parts, d.runClaims(), d.runPings())
	d.calls.Go(d.announce)
	return nil
}

func (d *Daemon) tail(p citron.Partition, apply func(citron.KeyedBatch, bool), pause time.Duration) *tail.Tail {
	return &tail.Tail{Store: d.Store, Partition: p, Timer: d.Timer, Apply: apply, Pause: pause, HealthChanged: func(err error) {
		if err != nil {
			d.Log.Emit(event.LogReadFailed, event.Fields{"Topic": p.Topic, "Partition": p.Number, "Error": err})
			return
		}
		d.Log.Emit(event.StoreReachable, event.Fields{"Topic": p.Topic, "Partition": p.Number})
		d.refresh(p)
	}}
}

// tails lists every partition that this daemon follows.
func (d *Daemon) tails() []*tail.Tail {
	return slices.Concat([]*tail.Tail{d.cell}, d.jobs, d.progress)
}

// refresh has every other partition read anew once the store answers again for one.
func (d *Daemon) refresh(answered citron.Partition) {
	for _, t := range d.tails() {
		if t.Partition != answered {
			t.RestartRead()
		}
	}
}

// announce tells the other daemons where this one is.
func (d *Daemon) announce(ctx context.Context) {
	value, err := proto.Marshal(&work.Presence{
		VM:            string(d.self.VM),
		Incarnation:   uint64(d.self.Incarnation),
		PeerAddress:   d.Settings.PeerAddress,
		FailureDomain: string(d.Settings.FailureDomain),
		MilliCores:    d.Settings.MilliCores,
	})
	if err != nil {
		d.Log.Emit(event.LogAppendFailed, event.Fields{"Error": err})
		return
	}
	record := citron.KeyedRecord{Key: peerKey + string(d.self.VM), Value: value}
	for ctx.Err() == nil {
		err := d.appendCell(ctx, record, citron.Condition{})
		if err == nil {
			return
		}
		d.Log.Emit(event.LogAppendFailed, event.Fields{"Topic": cellPartition.Topic, "Error": err})
		timer.Pause(ctx, d.Timer, announceRetry)
	}
}

const (
	// announceRetry separates the tries to announce this daemon.
	announceRetry = 200 * time.Millisecond
	// cellTimeout bounds one append to the cell's records.
	cellTimeout = 900 * time.Millisecond
)

func (d *Daemon) appendCell(ctx context.Context, record citron.KeyedRecord, c citron.Condition) error {
	bounded, cancel := context.WithTimeout(ctx, cellTimeout)
	defer cancel()
	_, err := d.Store.Append(bounded, cellPartition, []citron.KeyedRecord{record}, c)
	return err
}

// SetConfig puts a configuration in force; an older one than before is passed over.
func (d *Daemon) SetConfig(c *citron.Config) {
	if old := d.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	d.config.Store(c)
	d.Log.Emit(event.ConfigInForce, event.Fields{"Version": c.Version, "Queues": len(c.Queues)})
}

// Config returns the configuration in force; nil if there is none yet.
func (d *Daemon) Config() *citron.Config {
	return d.config.Load()
}

// SetWorkers takes in the platform's list of workers.
func (d *Daemon) SetWorkers(entries []citron.WorkerEntry) {
	d.mu.Lock()
	d.entries = entries
	h := d.holding
	d.mu.Unlock()
	if h != nil && h.ready.Load() {
		h.holder.UpdateWorkers(entries)
	}
}

// Ready reports whether new callers should come here.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.config.Load() != nil && d.storeAge() < readyAge
}

// storeAge is how long ago the store last answered anything.
func (d *Daemon) storeAge() time.Duration {
	age := tail.NeverAnswered
	for _, t := range d.tails() {
		age = min(age, t.AnswerAge())
	}
	return age
}

// applyCell takes in claims and presences.
func (d *Daemon) applyCell(batch citron.KeyedBatch, _ bool) {
	for _, r := range batch.Records {
		switch {
		case r.Key == claimKey:
			d.applyClaim(r)
		case strings.HasPrefix(r.Key, waveKey):
			d.applyWave(r)
		case len(r.Key) > len(peerKey) && r.Key[:len(peerKey)] == peerKey:
			d.applyPresence(citron.VMName(r.Key[len(peerKey):]), r)
		}
	}
}

func (d *Daemon) applyClaim(r citron.KeyedRecord) {
	var c work.Claim
	if err := proto.Unmarshal(r.Value, &c); err != nil {
		d.view.Unreadable(r.Key, err)
		return
	}
	newest := claim.Claim{
		Holder: citron.Member{VM: citron.VMName(c.GetVM()), Incarnation: citron.Incarnation(c.GetIncarnation())},
		Epoch:  citron.Epoch(c.GetEpoch()),
	}
	d.mu.Lock()
	if newest.Epoch > d.watch.Newest().Epoch {
		d.watch.RecordClaim(d.Timer.Now().Boot, newest)
		d.takeOver = false
	}
	if newest == d.watch.Newest() {
		d.partitions = c.GetPartitions()
	}
	d.mu.Unlock()
	d.Log.Emit(event.ClaimSeen, event.Fields{"Holder": c.GetVM(), "Epoch": c.GetEpoch()})
	d.hurryClaims()
}

func (d *Daemon) applyPresence(vm citron.VMName, r citron.KeyedRecord) {
	if len(r.Value) == 0 {
		d.peers.SetPresence(vm, nil)
		return
	}
	var presence work.Presence
	if err := proto.Unmarshal(r.Value, &presence); err != nil {
		d.view.Unreadable(r.Key, err)
		return
	}
	d.peers.SetPresence(vm, &presence)
}

// relay has another daemon append for this one.
func (d *Daemon) relay(ctx context.Context, records []citron.KeyedRecord) error {
	result := citron.ErrRejected
	for _, vm := range d.helpers() {
		bounded, cancel := context.WithTimeout(ctx, relayTimeout)
		err := d.peers.Append(bounded, vm, records)
		cancel()
		if err == nil {
			return nil
		}
		if !errors.Is(err, citron.ErrRejected) {
			result = citron.ErrUnavailable
		}
	}
	return result
}

// lookup has another daemon say what it knows of a job.
func (d *Daemon) lookup(ctx context.Context, id citron.JobID) bool {
	for _, vm := range d.helpers() {
		bounded, cancel := context.WithTimeout(ctx, relayTimeout)
		records, err := d.peers.Lookup(bounded, vm, id)
		cancel()
		if err == nil {
			d.view.Apply(citron.KeyedBatch{Records: records}, false)
			return true
		}
	}
	return false
}

// helpers lists the daemons to ask for help, the holder first.
func (d *Daemon) helpers() (vms []citron.VMName) {
	holder := d.newest().Holder.VM
	if holder != "" && holder != d.self.VM {
		vms = append(vms, holder)
	}
	for _, vm := range d.peers.All() {
		if vm != d.self.VM && vm != holder && len(vms) < relayTries {
			vms = append(vms, vm)
		}
	}
	return vms
}

const (
	// relayTries is the number of daemons that are asked to append for this one.
	relayTries = 2
	// relayTimeout bounds one of them.
	relayTimeout = 600 * time.Millisecond
)

func (d *Daemon) newest() claim.Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watch.Newest()
}
