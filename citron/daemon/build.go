package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/batch"
	"github.com/citroncross/citroncross/citron/calls"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/feed"
	"github.com/citroncross/citroncross/citron/fleet"
	"github.com/citroncross/citroncross/citron/invoke"
	"github.com/citroncross/citroncross/citron/jobs"
	"github.com/citroncross/citroncross/citron/ledger"
	"github.com/citroncross/citroncross/citron/mesh"
	"github.com/citroncross/citroncross/citron/owner"
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/citron/runner"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stream"
	"github.com/citroncross/citroncross/schema/lab"
)

// logHealth records whether the last read of the log succeeded.
type logHealth struct {
	mu     sync.Mutex
	failed bool
}

func (h *logHealth) record(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = err != nil
}

func (h *logHealth) available() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failed
}

// ms converts milliseconds to a duration.
func ms(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// connectPlatform builds the clients of the platform's log and VM list, and what reads and writes the log.
func (d *Daemon) connectPlatform() {
	limits := d.settings.GetLimits()
	url := d.settings.GetPlatformURL()
	d.platform = &monitoredLog{
		Log:    stream.New(url, func(n int) { d.stats.CountControlBytes("log", n) }),
		health: &d.health,
	}
	d.vms = fleet.NewClient(url, func(n int) { d.stats.CountControlBytes("vms", n) })
	d.appender = &batch.Appender{
		Log:       d.platform,
		Timer:     d.timer,
		PerSecond: int(limits.GetAppendsPerSecond()),
		Timeout:   appendTimeout,
		OnAppend: func(s citron.Stream, records int, took time.Duration, err error) {
			d.stats.CountAppend(records, err != nil)
			if err != nil {
				d.log.Emit(event.LogAppendFailed, event.Fields{"Stream": s, "Records": records, "Took": took, "Error": err})
			}
		},
	}
	d.followers = map[citron.Stream]*feed.Follower{}
	d.addFollower(citron.StreamTemplates, &d.templates)
	d.addFollower(citron.StreamOwners, &d.owners)
	d.options = ledger.Options{
		VM:          d.self.VM,
		Log:         d.platform,
		Timer:       d.timer,
		Appender:    d.appender,
		SnapshotAge: time.Duration(limits.GetSnapshotMinutes()) * time.Minute,
		ReadFailed:  d.readFailed,
		Snapshotted: func(s citron.Stream) { d.log.Emit(event.SnapshotWritten, event.Fields{"Stream": s}) },
	}
}

// addFollower adds a follower that applies the records of s to fold.
func (d *Daemon) addFollower(s citron.Stream, fold citron.Fold) {
	d.followers[s] = &feed.Follower{Log: d.platform, Timer: d.timer, Stream: s, Fold: fold, ReadFailed: d.readFailed}
}

func (d *Daemon) readFailed(err error) {
	d.log.Emit(event.LogReadFailed, event.Fields{"Error": err})
}

// monitoredLog is a log that records the result of each read in health.
type monitoredLog struct {
	citron.Log
	health *logHealth
}

// Read reads from the log. A read that failed because its context ended does not count.
func (m *monitoredLog) Read(ctx context.Context, s citron.Stream, from citron.Offset, wait time.Duration) (citron.Batch, error) {
	b, err := m.Log.Read(ctx, s, from, wait)
	if ctx.Err() == nil || err == nil {
		m.health.record(err)
	}
	return b, err
}

// connectPeers loads the TLS keys and sets up the connections to the other daemons.
func (d *Daemon) connectPeers() error {
	if t := d.settings.GetTLS(); !t.GetOff() {
		d.mesh.Keys = &mesh.Keys{
			CertFile: t.GetCertFile(),
			KeyFile:  t.GetKeyFile(),
			CAFile:   t.GetCAFile(),
			Loaded:   func() { d.log.Emit(event.KeysLoaded, event.Fields{"File": t.GetCertFile()}) },
		}
		if err := d.mesh.Keys.Load(); err != nil {
			return err
		}
	}
	d.mesh.CountBytes = d.stats.CountControlBytes
	for _, p := range d.settings.GetPeers() {
		if p.GetVM() == d.settings.GetVM() {
			continue
		}
		if err := d.mesh.Connect(citron.VMName(p.GetVM()), p.GetAddress()); err != nil {
			return err
		}
	}
	d.members.HeartbeatTimeout = missedHeartbeats * ms(d.settings.GetOwnership().GetBeatMs())
	d.members.IsVMGone = d.tracker.IsGone
	return nil
}

func (d *Daemon) layout() citron.Layout {
	o := d.settings.GetOwnership()
	return citron.Layout{CallShards: int(o.GetCallShards()), WorkerPools: int(o.GetWorkerPools())}
}

func (d *Daemon) buildOwnership() {
	o := d.settings.GetOwnership()
	lease := ms(o.GetLeaseMs())
	d.manager = &owner.Manager{
		Self:         d.self,
		Layout:       d.layout(),
		Terms:        shard.Terms{Lease: lease, Drift: lease * time.Duration(o.GetDriftPercent()) / 100},
		RenewEvery:   ms(o.GetRenewMs()),
		Timer:        d.timer,
		Owners:       &d.owners,
		Members:      &d.members,
		Peers:        &d.mesh,
		Appender:     d.appender,
		LogAvailable: d.probeLog,
		ShardSlots:   d.slots.SlotsByService,
		Hooks:        owner.Hooks{Gained: d.shardGained, Lost: d.shardLost},
		Stats:        d.stats,
		Log:          d.log,
	}
	d.manager.Init()
}

// probeLog reports whether the log answers and the ownership stream has been read to its end. A daemon that has not
// read the ownership stream must not change it.
func (d *Daemon) probeLog(ctx context.Context) bool {
	f := d.followers[citron.StreamOwners]
	if !f.Loaded() {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	batch, err := d.platform.Read(bounded, citron.StreamOwners, f.Next(), 0)
	return err == nil && batch.End <= f.Next()
}

func (d *Daemon) buildCalls() {
	limits := d.settings.GetLimits()
	d.intents = &calls.IntentStore{
		Retention:    time.Duration(limits.GetIntentKeepMinutes()) * time.Minute,
		LogAvailable: d.health.available,
	}
	d.calls = &calls.Service{
		Self:   d.self,
		Layout: d.layout(),
		Options: calls.Options{
			QueuedCalls:    int(limits.GetQueuedCalls()),
			QueuedBytes:    limits.GetQueuedBytes(),
			BufferedAnswer: limits.GetBufferedAnswerBytes(),
			RetryPercent:   int(limits.GetRetryPercent()),
			NoForward:      d.settings.GetBaseline().GetNoForward(),
			Fifo:           d.settings.GetBaseline().GetFifo(),
		},
		Timer:          d.timer,
		Templates:      &d.templates,
		Slots:          &d.slots,
		Owner:          d.manager,
		Members:        &d.members,
		Peers:          &d.mesh,
		Invoker:        invoke.New(connectionsPerEndpoint),
		Intents:        d.intents,
		Stats:          d.stats,
		Log:            d.log,
		OnSlotsChanged: d.slotsChanged,
	}
}

func (d *Daemon) buildJobs() {
	j := d.settings.GetJobs()
	d.jobs = &jobs.Service{
		Self:   d.self,
		Layout: d.layout(),
		Options: jobs.Options{
			TaskLease:       ms(j.GetTaskLeaseMs()),
			SyncEvery:       ms(j.GetSyncMs()),
			GangReservation: ms(j.GetGangHoldMs()),
			IdleTimeout:     ms(j.GetIdleSleepMs()),
			JobRetention:    time.Duration(j.GetJobKeepMinutes()) * time.Minute,
			Rules: place.Rules{
				QuarantineFailures: int(j.GetQuarantineFailures()),
				QuarantineFor:      ms(j.GetQuarantineMs()),
				FirstFit:           d.settings.GetBaseline().GetFirstFit(),
			},
		},
		Timer:     d.timer,
		Templates: &d.templates,
		Owner:     d.manager,
		Peers:     &d.mesh,
		Runner:    runner.New(func(n int) { d.stats.CountControlBytes("workers", n) }),
		VMs:       d.vms,
		IsVMGone:  d.tracker.IsGone,
		Stats:     d.stats,
		Log:       d.log,
	}
}

// setCallbacks sets the callbacks between the components and registers the gauges.
func (d *Daemon) setCallbacks() {
	d.templates.Changed = func(t state.Template) {
		d.log.Emit(event.TemplateInForce, event.Fields{"Team": t.Team, "Version": t.Version, "Offset": t.Offset})
	}
	d.tracker.ListFailed = func(err error) { d.log.Emit(event.ListFailed, event.Fields{"Error": err}) }
	d.tracker.VMGone = func(name citron.VMName) { d.log.Emit(event.VMGone, event.Fields{"Name": name}) }
	d.tracker.Changed = d.updateVMs
	d.stats.RegisterGauge("citron_request_bytes", func() float64 { return float64(d.requests.Held()) })
	d.stats.RegisterGauge("citron_owned_shards", func() float64 { return float64(d.manager.Owned()) })
	d.stats.RegisterGauge("citron_open_jobs", func() float64 { return float64(d.jobs.OpenJobs()) })
	d.stats.RegisterGauge("citron_kept_intents", func() float64 { return float64(d.intents.Count()) })
	d.stats.RegisterGauge("citron_awake_workers", d.awakeWorkers)
}

func (d *Daemon) awakeWorkers() (n float64) {
	for _, w := range d.jobs.Workers() {
		if !w.Asleep && !w.Gone {
			n++
		}
	}
	return n
}

// shardGained hands a shard that this daemon now owns to the components that work on it.
func (d *Daemon) shardGained(id citron.ShardID, epoch citron.Epoch, former citron.Member) {
	if id.IsPool() {
		d.jobs.Gained(d.ctx, d.options, id, epoch)
		return
	}
	d.calls.Gained(id, former)
	d.intents.Gained(d.ctx, d.options, id, epoch)
}

// shardLost withdraws a shard that this daemon no longer owns from the components that work on it.
func (d *Daemon) shardLost(id citron.ShardID) {
	if id.IsPool() {
		d.jobs.Lost(id)
		return
	}
	d.calls.Lost(id)
	d.intents.Lost(id)
}

// updateVMs applies a new list of VMs.
func (d *Daemon) updateVMs(_ citron.Instant, vms []*lab.VM) {
	var specs []slots.Spec
	for _, vm := range vms {
		if vm.GetKind() != fleet.KindEndpoint {
			continue
		}
		specs = append(specs, slots.Spec{
			Name:          citron.Endpoint(vm.GetName()),
			Address:       vm.GetAddress(),
			Service:       citron.Service(vm.GetService()),
			FailureDomain: citron.FailureDomain(vm.GetFailureDomain()),
			Shard:         d.layout().EndpointShard(citron.Endpoint(vm.GetName())),
			Slots:         int(vm.GetSlots()),
			Connections:   int(vm.GetConnections()),
			Leaving:       vm.GetLeaving(),
		})
	}
	d.slots.SetEndpoints(specs)
	d.jobs.SetVMs(vms)
	d.calls.SlotsChanged()
}
