// Package entry assembles the daemon that keeps its state in the platform's store. Every daemon accepts jobs; the lease
// holder of the pool schedules them.
package entry

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/citron/claim"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/holder"
	"github.com/citroncross/citroncross/citron/intake"
	"github.com/citroncross/citroncross/citron/peers"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/relay"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

// cellPartition holds the claims, the presence records of the daemons and the progress of upkeep waves.
var cellPartition = citron.Partition{Topic: "citron.cell"}

const (
	jobsTopic     citron.Topic = "citron.jobs"
	progressTopic citron.Topic = "citron.progress"
	// partitionCount is the number of partitions of jobsTopic and progressTopic. One receives all records; the others
	// replace it while the store does not answer for it.
	partitionCount = 6
)

const (
	// producer is the pool's producer name in the store.
	producer = "pool-0"
	// claimKey is the key of the pool's claim.
	claimKey = "claim/0"
	// peerKeyPrefix begins the keys of the daemons' presence records.
	peerKeyPrefix = "peer/"
	// readInterval is the pause between two reads of a partition whose records other daemons also send directly.
	readInterval = 400 * time.Millisecond
	// apartReadInterval replaces it while such records do not arrive: much less than a quick job may wait, and a small part of the
	// reads that the store allows.
	apartReadInterval = 50 * time.Millisecond
	// apartFor is how long a daemon may be out of contact for it to count as cut off rather than gone.
	apartFor = 20 * time.Second
	// jobsReadWait is the long-poll time for the partition that receives the accepted jobs. Two reads and the pause between
	// them take less than intake.MaxCountAge, so that counts stay current while no jobs arrive.
	jobsReadWait = 600 * time.Millisecond
	// spareReadWait is the long-poll time for the partitions that receive records only while another one fails.
	spareReadWait = 8 * time.Second
	// maxReadyStoreAge is the time without an answer from the store after which this daemon is no longer ready.
	maxReadyStoreAge = 2500 * time.Millisecond
)

// Settings describe a daemon and the VM that it runs on.
type Settings struct {
	VM            citron.VMName
	FailureDomain citron.FailureDomain
	PeerAddress   string
	// MilliCores is the processor time available to this daemon, in thousandths of a core.
	MilliCores int64
	Pool       pool.Options
	// HolderExtraTimeout is added to the time that a holder may be unresponsive or without the store before another daemon
	// claims its pool.
	HolderExtraTimeout time.Duration
	// DirectWorkers is the number of workers up to which the holder sends all orders itself; 0 means defaultDirectWorkers. Of
	// more workers, other daemons relay most orders.
	DirectWorkers int
	// RecordBytes is the size of the largest record that the store accepts; 0 means that it is not known.
	RecordBytes int
	// PeerConnections and PeerBytes limit what other daemons take of this one; 0 means the defaults of package peers.
	PeerConnections int
	PeerBytes       budget.Bytes
	// JobBytes is the memory for accepted jobs; 0 means no limit.
	JobBytes budget.Bytes
	// MaxOrders is the number of orders to workers that are under way at once; 0 means any number.
	MaxOrders int
	// MachineLease is the minimum time between the upkeep orders of two holders; UpkeepDuration is how long one upkeep
	// lasts.
	MachineLease, UpkeepDuration time.Duration
}

// Daemon is one daemon of the scheduler.
type Daemon struct {
	Settings Settings
	Store    citron.Store
	Workers  citron.Workers
	Adviser  citron.Adviser
	Machines citron.Machines
	Timer    citron.Timer
	Log      *event.Logger
	Stats    *stats.Set
	// PeerShed, if set, is called when a connection from another daemon is closed so that others are served.
	PeerShed func(budget.ShedReason)

	// Intake answers callers.
	Intake *intake.Service

	self     citron.Member
	peers    peers.Peers
	view     view.View
	cell     *tail.Tail
	jobs     []*tail.Tail
	progress []*tail.Tail
	// jobSources are the sources of the view that jobs feed.
	jobSources []*view.Source
	balancer   advice.Balancer
	outbox     outbox
	hops       hopCache
	refusals   refusals
	uses       uses
	// orders sends the orders of the pool while this daemon is its holder.
	orders *relay.Workers
	// exchanges runs the messages to other daemons, the announcement of this one and the upkeep waves.
	exchanges spawn.Group
	// components deliver once each, when a background loop has ended.
	components []<-chan error
	// wake makes the claim loop check at once.
	wake chan struct{}

	// run ends when the daemon is stopped.
	run    context.Context
	cancel context.CancelFunc

	// announcedAt is the boot time at which this daemon last began to announce itself, announced is set while its record is in the store.
	announcedAt atomic.Int64
	announced   atomic.Bool

	config   atomic.Pointer[citron.Config]
	stopping atomic.Bool

	mu      sync.Mutex
	watch   claim.Watch
	holding *holding
	// takeOver is set if the holder has asked this daemon to claim the pool.
	takeOver bool
	// partitions are the partitions of the pool's records that the newest claim lists.
	partitions []int32
	// workerEntries is nil until the list of workers has been read.
	workerEntries []citron.WorkerEntry
	// gaugedTeams holds the teams whose gauges are registered.
	gaugedTeams map[citron.Team]bool
	// waves are the operator's upkeep waves; waveProgress is the progress that holders have recorded.
	waves        map[int64]citron.Wave
	waveProgress map[int64]*work.WaveProgress
	// releasedEpoch is the last epoch in which this daemon stopped running the pool, releasedAt the boot time at
	// which it did.
	releasedEpoch citron.Epoch
	releasedAt    time.Duration
}

// holding is the state of the pool while this daemon is its holder.
type holding struct {
	epoch  citron.Epoch
	holder *holder.Holder
	cancel context.CancelFunc
	ended  <-chan error
	// ready is set once the pool's state has been loaded.
	ready atomic.Bool
}

// Start starts the daemon. It returns before any record of the cell has been read.
func (d *Daemon) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start daemon") }()
	listener, err := net.Listen("tcp", d.Settings.PeerAddress)
	if err != nil {
		return err
	}
	d.run, d.cancel = context.WithCancel(context.Background())
	d.self = citron.Member{VM: d.Settings.VM, Incarnation: citron.Incarnation(d.Timer.Now().Wall.UnixMilli())}
	d.peers.Self, d.peers.Timer, d.peers.MilliCores = d.self, d.Timer, d.Settings.MilliCores
	d.peers.MaxConnections, d.peers.MaxBytes, d.peers.Shed = d.Settings.PeerConnections, d.Settings.PeerBytes, d.PeerShed
	d.peers.CountTraffic = func(call string, sent, received int) { d.Stats.CountTraffic("daemon", call, sent, received) }
	d.peers.SharesReceived = func(s *link.ShareSummary) { d.applyShares(s) }
	d.watch.ExtraTimeout = d.Settings.HolderExtraTimeout
	d.wake = make(chan struct{}, 1)
	d.exchanges.SetContext(d.run)
	d.orders = d.orderRelay()
	d.view.Ledger = &admit.Ledger{Limit: d.Settings.JobBytes}
	d.registerGauges()
	d.view.Unreadable = func(key string, err error) {
		d.Log.Emit(event.RecordUnreadable, event.Fields{"Key": key, "Error": err})
	}
	d.view.Contested = d.restoreJob
	d.cell = d.newTail(cellPartition, d.applyCell, 0)
	writer := &intake.Writer{Store: d.Store, Timer: d.Timer, Relay: d.relay, Home: d.homePartition, AnsweredSince: func(n int, since time.Duration) bool {
		return d.jobs[n].AnsweredSince(since)
	}, NextOffset: func(n int) citron.Offset {
		next, _ := d.jobs[n].Next()
		return next
	}}
	for n := range partitionCount {
		writer.Partitions = append(writer.Partitions, citron.Partition{Topic: jobsTopic, Number: n})
		d.jobSources = append(d.jobSources, d.view.NewSource())
		d.jobs = append(d.jobs, d.newTail(writer.Partitions[n], d.jobSources[n].Apply, readInterval))
		d.progress = append(d.progress, d.newTail(citron.Partition{Topic: progressTopic, Number: n}, d.applyProgress(d.view.NewSource()), readInterval))
		if n > 0 {
			d.jobs[n].Wait, d.progress[n].Wait = spareReadWait, spareReadWait
		}
	}
	d.jobs[0].Wait = jobsReadWait
	for _, t := range slices.Concat(d.jobs, d.progress) {
		t.PauseNow = d.readPause
	}
	d.Intake = &intake.Service{
		View: &d.view, Writer: writer, Tails: d.jobs, ProgressTails: d.progressInUse, Timer: d.Timer,
		MaxRecordBytes: d.Settings.RecordBytes,
		Admission: &intake.Admission{
			Ledger:  d.view.Ledger,
			Daemons: d.countDeciders,
			Forward: d.storeAtHolder,
			Refused: func(reason admit.Reason) { d.Stats.CountMemoryRefusal(string(reason)) },
		},
		Stored: d.forwardToHolder, Lookup: d.lookup, CountElsewhere: d.countElsewhere,
	}
	d.Log.Emit(event.DaemonStarted, event.Fields{"Incarnation": d.self.Incarnation, "Peer": d.Settings.PeerAddress})
	d.components = append(d.components, d.peers.Serve(d.run, listener, &server{d: d}))
	for _, t := range d.tails() {
		d.components = append(d.components, t.Run(d.run))
	}
	d.components = append(d.components, d.runClaims(), d.runPings())
	d.exchanges.Go(d.announce)
	return nil
}

// readPause returns the pause between two reads of a partition. Daemons that are cut off from the holder learn of its records, and it
// of the jobs that they accept, from the store only.
func (d *Daemon) readPause() time.Duration {
	if d.apartFromHolder() {
		return apartReadInterval
	}
	return readInterval
}

// apartFromHolder reports whether this daemon has been out of contact with the holder or, as the holder, with another daemon.
func (d *Daemon) apartFromHolder() bool {
	silent, gone := d.peers.Unheard(unheardAfter), d.peers.Unheard(apartFor)
	if newest := d.newestClaim().Holder; newest != d.self {
		return slices.Contains(silent, newest.VM) && !slices.Contains(gone, newest.VM)
	}
	return len(silent) > len(gone)
}

// restoreJob stores a job again if this daemon holds the pool.
func (d *Daemon) restoreJob(id citron.JobID) {
	d.mu.Lock()
	h := d.holding
	d.mu.Unlock()
	if h != nil && h.ready.Load() {
		h.holder.RestoreJob(id)
	}
}

// newTail returns a reader of a partition. When its reads succeed again, all other readers read again at once.
func (d *Daemon) newTail(p citron.Partition, apply func(citron.KeyedBatch, bool), pause time.Duration) *tail.Tail {
	return &tail.Tail{
		Store: d.Store, Partition: p, Timer: d.Timer, Apply: apply, Pause: pause,
		HealthChanged: func(err error) {
			if err != nil {
				d.Log.Emit(event.LogReadFailed, event.Fields{"Topic": p.Topic, "Partition": p.Number, "Error": err})
				return
			}
			d.Log.Emit(event.StoreReachable, event.Fields{"Topic": p.Topic, "Partition": p.Number})
			d.refreshOthers(p)
		},
		Loaded: func(records int, took time.Duration) {
			d.Log.Emit(event.PartitionLoaded, event.Fields{"Topic": p.Topic, "Partition": p.Number, "Records": records, "TookMs": took.Milliseconds()})
		},
		Outdated: func() {
			d.Log.Emit(event.RecordsDeleted, event.Fields{"Topic": p.Topic, "Partition": p.Number})
		},
	}
}

// tails returns the readers of all partitions that this daemon follows.
func (d *Daemon) tails() []*tail.Tail {
	return slices.Concat([]*tail.Tail{d.cell}, d.jobs, d.progress)
}

// refreshOthers makes all readers except that of one partition read again at once.
func (d *Daemon) refreshOthers(answered citron.Partition) {
	for _, t := range d.tails() {
		if t.Partition != answered {
			t.RestartRead()
		}
	}
}

// announce stores the presence record from which the other daemons learn this daemon's address.
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
	record := citron.KeyedRecord{Key: peerKeyPrefix + string(d.self.VM), Value: value}
	for ctx.Err() == nil {
		d.announcedAt.Store(int64(d.Timer.Now().Boot))
		err := d.appendCell(ctx, citron.Condition{}, record)
		if err == nil {
			return
		}
		d.Log.Emit(event.LogAppendFailed, event.Fields{"Topic": cellPartition.Topic, "Error": err})
		timer.Pause(ctx, d.Timer, announceRetryInterval)
	}
}

// announceAgain announces this daemon once more if its record is gone or the holder does not count it: the record was removed after a long
// silence, or by the late end of a former process.
func (d *Daemon) announceAgain() {
	last := time.Duration(d.announcedAt.Load())
	if d.stopping.Load() || !tail.AllLoaded(d.cell) || d.announced.Load() && !d.peers.Missing() || d.Timer.Now().Boot-last < announceAgainAfter {
		return
	}
	d.announcedAt.Store(int64(d.Timer.Now().Boot))
	d.Log.Emit(event.PresenceRestored, nil)
	d.exchanges.Go(d.announce)
}

const (
	// announceAgainAfter is how long the record may take to be read, and the holder to count the daemon.
	announceAgainAfter = 3 * time.Second
	// announceRetryInterval is the pause between attempts to announce this daemon.
	announceRetryInterval = 200 * time.Millisecond
	// cellAppendTimeout bounds one append to cellPartition.
	cellAppendTimeout = 900 * time.Millisecond
)

// appendCell appends records to cellPartition.
func (d *Daemon) appendCell(ctx context.Context, c citron.Condition, records ...citron.KeyedRecord) error {
	bounded, cancel := context.WithTimeout(ctx, cellAppendTimeout)
	defer cancel()
	_, err := d.Store.Append(bounded, cellPartition, records, c)
	return err
}

// SetConfig applies a configuration unless the current one is as new or newer.
func (d *Daemon) SetConfig(c *citron.Config) {
	if old := d.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	d.config.Store(c)
	d.mu.Lock()
	d.applyTermsLocked()
	d.mu.Unlock()
	d.Log.Emit(event.ConfigInForce, event.Fields{"Version": c.Version, "Queues": len(c.Queues)})
}

// applyTermsLocked adds gauges for new teams and passes the newest terms of the teams to the pool if this daemon holds it. It
// requires d.mu, so that older terms cannot replace newer ones.
func (d *Daemon) applyTermsLocked() {
	c := d.config.Load()
	if c == nil {
		return
	}
	d.registerTeamGauges(c.Teams)
	if d.holding != nil {
		d.holding.holder.Pool.SetTerms(c.Teams)
	}
}

// Config returns the current configuration; nil if none has been read yet.
func (d *Daemon) Config() *citron.Config {
	return d.config.Load()
}

// SetWorkers replaces the list of workers.
func (d *Daemon) SetWorkers(workerEntries []citron.WorkerEntry) {
	d.mu.Lock()
	d.workerEntries = workerEntries
	h := d.holding
	d.mu.Unlock()
	if h != nil && h.ready.Load() {
		h.holder.UpdateWorkers(workerEntries)
	}
}

// MayHoldSoon reports whether this daemon holds the pool or is one of those that claim it first.
func (d *Daemon) MayHoldSoon() bool {
	return d.newestClaim().Holder == d.self || d.claimRank() < claim.PreferredClaimants
}

// Ready reports whether this daemon should receive new callers.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.config.Load() != nil && d.storeAge() < maxReadyStoreAge
}

// storeAge returns the time since the store last answered a read of any partition.
func (d *Daemon) storeAge() time.Duration {
	age := tail.NeverAnswered
	for _, t := range d.tails() {
		age = min(age, t.AnswerAge())
	}
	return age
}

// applyCell applies claims, upkeep progress and presence records.
func (d *Daemon) applyCell(batch citron.KeyedBatch, loaded bool) {
	if loaded {
		d.announced.Store(false)
	}
	for _, r := range batch.Records {
		switch {
		case r.Key == claimKey:
			d.applyClaim(r)
		case strings.HasPrefix(r.Key, waveKeyPrefix):
			d.applyWave(r)
		case len(r.Key) > len(peerKeyPrefix) && r.Key[:len(peerKeyPrefix)] == peerKeyPrefix:
			d.applyPresence(citron.VMName(r.Key[len(peerKeyPrefix):]), r, loaded)
		}
	}
}

// applyProgress returns a function that applies records of a partition with the progress of jobs. Only the holder stores
// such records, so they show that it is alive.
func (d *Daemon) applyProgress(source *view.Source) func(citron.KeyedBatch, bool) {
	return func(batch citron.KeyedBatch, fresh bool) {
		source.Apply(batch, fresh)
		if !fresh {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.watch.RecordStored(d.Timer.Now().Boot)
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
	d.wakeClaims()
}

func (d *Daemon) applyPresence(vm citron.VMName, r citron.KeyedRecord, loaded bool) {
	if len(r.Value) == 0 {
		if vm == d.self.VM {
			d.announced.Store(false)
		}
		d.peers.SetPresence(vm, nil, loaded)
		return
	}
	var presence work.Presence
	if err := proto.Unmarshal(r.Value, &presence); err != nil {
		d.view.Unreadable(r.Key, err)
		return
	}
	if vm == d.self.VM {
		d.announced.Store(presence.GetIncarnation() == uint64(d.self.Incarnation))
	}
	d.peers.SetPresence(vm, &presence, loaded)
}

// newestClaim returns the newest claim of the pool.
func (d *Daemon) newestClaim() claim.Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watch.Newest()
}
