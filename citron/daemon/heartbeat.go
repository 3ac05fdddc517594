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
	// minHeartbeatInterval is the minimum time between two heartbeats, however often the state changes.
	minHeartbeatInterval = 250 * time.Millisecond
	// maintenanceInterval is how often expired state is removed and control streams are fetched from peers that are ahead.
	maintenanceInterval = 500 * time.Millisecond
	// fetchTimeout limits one fetch from a peer.
	fetchTimeout = 2 * time.Second
	// snapshotShard is the number of the call shard whose owner writes the snapshots of the control streams, so that
	// their state outlives the records that the log deletes.
	snapshotShard = 0
)

// heartbeat returns the state of this daemon that it sends to the others.
func (d *Daemon) heartbeat() *peer.BeatRequest {
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

// runHeartbeats sends a heartbeat to all other daemons once per period, and earlier when one has been triggered.
func (d *Daemon) runHeartbeats() <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := d.timer.Every(ms(d.settings.GetOwnership().GetBeatMs()))
		defer stop()
		d.exchanges.SetContext(d.ctx)
		for {
			d.sendHeartbeats()
			timer.Pause(d.ctx, d.timer, minHeartbeatInterval)
			select {
			case <-tick:
			case <-d.heartbeatDue:
			case <-d.ctx.Done():
				<-d.exchanges.Idle()
				ended <- nil
				return
			}
		}
	}()
	return ended
}

func (d *Daemon) sendHeartbeats() {
	request := d.heartbeat()
	for _, vm := range d.mesh.Names() {
		d.exchanges.Go(func(ctx context.Context) { d.sendHeartbeat(ctx, vm, request) })
	}
}

// sendHeartbeat sends a heartbeat to one daemon, which answers with its own.
func (d *Daemon) sendHeartbeat(ctx context.Context, vm citron.VMName, request *peer.BeatRequest) {
	client, ok := d.mesh.Peer(vm)
	if !ok {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, ms(d.settings.GetOwnership().GetBeatMs()))
	defer cancel()
	reply, err := client.Beat(bounded, request)
	if err == nil {
		d.recordHeartbeat(reply.GetState())
	}
}

func (d *Daemon) recordHeartbeat(state *peer.BeatRequest) {
	d.members.RecordHeartbeat(d.timer.Now(), state)
	d.calls.SlotsChanged()
}

// triggerHeartbeat makes runHeartbeats send a heartbeat before the next tick.
func (d *Daemon) triggerHeartbeat() {
	select {
	case d.heartbeatDue <- struct{}{}:
	default:
	}
}

// slotsChanged triggers a heartbeat when a service has lost its last free slot or gained its first one.
func (d *Daemon) slotsChanged() {
	changed := false
	d.mu.Lock()
	if d.hadFreeSlot == nil {
		d.hadFreeSlot = map[citron.Service]bool{}
	}
	for service, l := range d.slots.Loads(d.timer.Now().Boot, d.manager.MayAct) {
		if d.hadFreeSlot[service] != (l.Free > 0) {
			d.hadFreeSlot[service] = l.Free > 0
			changed = true
		}
	}
	d.mu.Unlock()
	if changed {
		d.triggerHeartbeat()
	}
}

// runMaintenance runs the periodic maintenance and the snapshot writers.
func (d *Daemon) runMaintenance() <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := d.timer.Every(maintenanceInterval)
		defer stop()
		writers := d.runSnapshotWriters()
		for {
			select {
			case <-tick:
				d.maintain()
			case <-d.ctx.Done():
				for _, w := range writers {
					<-w
				}
				ended <- nil
				return
			}
		}
	}()
	return ended
}

func (d *Daemon) maintain() {
	d.catchUp()
	d.updateReady()
	d.intents.Prune(d.timer.Now().Wall)
	d.calls.QueryInDoubtSlots(d.ctx)
}

// catchUp fetches each control stream on which this daemon lags from the daemon that is furthest ahead.
func (d *Daemon) catchUp() {
	for s, f := range d.feeds {
		highest, vm := d.members.HighestOffset(s)
		if f.Loaded() && highest <= f.Next() {
			continue
		}
		client, ok := d.mesh.Peer(vm)
		if !ok {
			continue
		}
		bounded, cancel := context.WithTimeout(d.ctx, fetchTimeout)
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

// updateReady makes the daemon ready once it has the newest configuration that any daemon has reported.
func (d *Daemon) updateReady() {
	d.mu.Lock()
	starting := !d.ready && !d.stopping
	d.mu.Unlock()
	if !starting {
		return
	}
	for s, f := range d.feeds {
		highest, _ := d.members.HighestOffset(s)
		if !f.Loaded() || f.Next() < highest {
			return
		}
	}
	if !d.health.available() && !d.allPeersAccountedFor() {
		return
	}
	d.mu.Lock()
	d.ready = true
	d.mu.Unlock()
	d.log.Emit(event.DaemonReady, event.Fields{"Templates": len(d.templates.All())})
}

// allPeersAccountedFor reports whether every other daemon has sent a heartbeat or is gone. While the log does not answer,
// this is the only evidence that no daemon has a newer configuration in force.
func (d *Daemon) allPeersAccountedFor() bool {
	now := d.timer.Now()
	for _, vm := range d.mesh.Names() {
		if _, ok := d.members.Get(now, vm); !ok && !d.tracker.IsGone(vm) {
			return false
		}
	}
	return true
}

// runSnapshotWriters writes snapshots of the control streams while this daemon owns snapshotShard. Each channel is closed
// when the writer of one stream has ended.
func (d *Daemon) runSnapshotWriters() (ended []<-chan struct{}) {
	for _, f := range d.feeds {
		o := d.options
		o.SnapshotAge = max(o.SnapshotAge, time.Minute)
		done := make(chan struct{})
		ended = append(ended, done)
		go func() {
			defer close(done)
			ledger.KeepSnapshots(d.ctx, o, f, d.writesSnapshots, d.newEntry)
		}()
	}
	return ended
}

func (d *Daemon) writesSnapshots() bool {
	return d.manager.MayAct(citron.CallShard(snapshotShard))
}

func (d *Daemon) newEntry() *record.Entry {
	return &record.Entry{
		ID:        uuid.NewString(),
		Writer:    string(d.self.VM),
		WrittenMs: d.timer.Now().Wall.UnixMilli(),
	}
}
