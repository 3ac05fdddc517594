package daemon

import (
	"context"
	"sort"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/ledger"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"

	"github.com/google/uuid"
)

const (
	// leastBeat is the shortest time between two beats, however much changes.
	leastBeat = 250 * time.Millisecond
	// upkeepEvery is how often old state is dropped and a lagging stream is fetched from peers.
	upkeepEvery = 500 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second
	// keeperShard is the shard whose owner keeps the control streams from being forgotten.
	keeperShard = 0
)

// state says what other daemons need to know of this one.
func (d *Daemon) state() *peer.BeatRequest {
	out := &peer.BeatRequest{
		Sender:       shard.MemberRecord(d.self),
		Stopping:     d.isStopping(),
		OwnedShards:  int32(d.manager.Owned()),
		AdminAddress: d.settings.GetAdminAddress(),
	}
	for s, f := range d.feeds {
		out.Marks = append(out.Marks, &peer.StreamMark{Stream: string(s), Next: int64(f.Next())})
	}
	queued := d.calls.Queued()
	for service, l := range d.slots.Loads(d.timer.Now().Boot, d.manager.MayAct) {
		out.Loads = append(out.Loads, &peer.ServiceLoad{
			Service:   string(service),
			FreeSlots: int32(l.Free),
			Slots:     int32(l.Slots),
			Queued:    int32(queued[service]),
		})
	}
	sort.Slice(out.Loads, func(i, j int) bool { return out.Loads[i].Service < out.Loads[j].Service })
	return out
}

// runBeat tells the other daemons of this one each period, and sooner when room came or went.
func (d *Daemon) runBeat() <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := d.timer.Every(ms(d.settings.GetOwnership().GetBeatMs()))
		defer stop()
		d.exchanges.SetContext(d.run)
		for {
			d.beatAll()
			timer.Pause(d.run, d.timer, leastBeat)
			select {
			case <-tick:
			case <-d.beatNow:
			case <-d.run.Done():
				<-d.exchanges.Idle()
				ended <- nil
				return
			}
		}
	}()
	return ended
}

func (d *Daemon) beatAll() {
	said := d.state()
	for _, vm := range d.mesh.Names() {
		d.exchanges.Go(func(ctx context.Context) { d.beat(ctx, vm, said) })
	}
}

// beat is one exchange with one daemon.
func (d *Daemon) beat(ctx context.Context, vm citron.VMName, said *peer.BeatRequest) {
	client, ok := d.mesh.Peer(vm)
	if !ok {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, ms(d.settings.GetOwnership().GetBeatMs()))
	defer cancel()
	reply, err := client.Beat(bounded, said)
	if err == nil {
		d.heard(reply.GetState())
	}
}

func (d *Daemon) heard(state *peer.BeatRequest) {
	d.members.RecordHeartbeat(d.timer.Now(), state)
	d.calls.SlotsChanged()
}

func (d *Daemon) hurryBeat() {
	select {
	case d.beatNow <- struct{}{}:
	default:
	}
}

// roomChanged tells the others early when the last free slot of a service went or the first one came.
func (d *Daemon) roomChanged() {
	changed := false
	d.mu.Lock()
	if d.hadRoom == nil {
		d.hadRoom = map[citron.Service]bool{}
	}
	for service, l := range d.slots.Loads(d.timer.Now().Boot, d.manager.MayAct) {
		if d.hadRoom[service] != (l.Free > 0) {
			d.hadRoom[service] = l.Free > 0
			changed = true
		}
	}
	d.mu.Unlock()
	if changed {
		d.hurryBeat()
	}
}

// runUpkeep does what is due from time to time.
func (d *Daemon) runUpkeep() <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := d.timer.Every(upkeepEvery)
		defer stop()
		keepers := d.keepSnapshots()
		for {
			select {
			case <-tick:
				d.upkeep()
			case <-d.run.Done():
				for _, k := range keepers {
					<-k
				}
				ended <- nil
				return
			}
		}
	}()
	return ended
}

func (d *Daemon) upkeep() {
	d.catchUp()
	d.becomeReady()
	d.keyed.Prune(d.timer.Now().Wall)
	d.calls.QueryHeldSlots(d.run)
}

// catchUp fetches a control stream from the daemon that is furthest ahead, where this one lags.
func (d *Daemon) catchUp() {
	for s, f := range d.feeds {
		best, vm := d.members.HighestOffset(s)
		if f.Loaded() && best <= f.Next() {
			continue
		}
		client, ok := d.mesh.Peer(vm)
		if !ok {
			continue
		}
		bounded, cancel := context.WithTimeout(d.run, fetchTimeout)
		reply, err := client.Fetch(bounded, &peer.FetchRequest{Stream: string(s)})
		cancel()
		if err != nil || reply.GetSnapshot() == nil {
			continue
		}
		if !f.Loaded() {
			d.log.Emit(event.StartedFromPeer, event.Fields{"Stream": s, "Peer": vm, "Next": reply.GetNext()})
		}
		f.RestoreIfNewer(reply.GetSnapshot(), citron.Offset(reply.GetNext()))
	}
}

// becomeReady opens the daemon to callers once it holds the newest configuration that any daemon told it of.
func (d *Daemon) becomeReady() {
	d.mu.Lock()
	waiting := !d.ready && !d.stopping
	d.mu.Unlock()
	if !waiting {
		return
	}
	for s, f := range d.feeds {
		best, _ := d.members.HighestOffset(s)
		if !f.Loaded() || f.Next() < best {
			return
		}
	}
	if !d.health.up() && !d.heardAll() {
		return
	}
	d.mu.Lock()
	d.ready = true
	d.mu.Unlock()
	d.log.Emit(event.DaemonReady, event.Fields{"Templates": len(d.templates.All())})
}

// heardAll reports whether every other daemon has spoken or is gone. Without the log only this shows that no
// daemon has newer configuration in force.
func (d *Daemon) heardAll() bool {
	now := d.timer.Now()
	for _, vm := range d.mesh.Names() {
		if _, ok := d.members.Get(now, vm); !ok && !d.tracker.IsGone(vm) {
			return false
		}
	}
	return true
}

// keepSnapshots writes snapshots of the control streams while this daemon owns the keeper's shard.
func (d *Daemon) keepSnapshots() (ended []<-chan struct{}) {
	for _, f := range d.feeds {
		o := d.options
		o.SnapshotAge = max(o.SnapshotAge, time.Minute)
		done := make(chan struct{})
		ended = append(ended, done)
		go func() {
			defer close(done)
			ledger.KeepSnapshots(d.run, o, f, d.keepsControl, d.controlEntry)
		}()
	}
	return ended
}

func (d *Daemon) keepsControl() bool {
	return d.manager.MayAct(citron.CallShard(keeperShard))
}

func (d *Daemon) controlEntry() *record.Entry {
	return &record.Entry{
		ID:        uuid.NewString(),
		Writer:    string(d.self.VM),
		WrittenMs: d.timer.Now().Wall.UnixMilli(),
	}
}
