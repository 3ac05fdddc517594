// Package member tracks which daemons of the cell are alive, which incarnations are dead and how many free slots each
// daemon has.
package member

import (
	"sort"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/schema/peer"
)

// Peer is the state of one daemon according to its newest heartbeat.
type Peer struct {
	Member       citron.Member
	AdminAddress string
	Stopping     bool
	OwnedShards  int
	// Slots is the number of slots in the daemon's shards by service.
	Slots map[citron.Service]int
	Alive bool
}

// Load is the number of slots and of queued calls of one daemon for one service.
type Load struct {
	VM     citron.VMName
	Free   int
	Slots  int
	Queued int
}

// entry is a daemon's newest heartbeat and its loads.
type entry struct {
	heartbeat  *peer.BeatRequest
	receivedAt time.Duration
	// loads are those of the heartbeat, corrected by ReserveSlot and SetFree.
	loads map[citron.Service]*Load
}

// List holds the daemons of a cell. The zero value is empty.
type List struct {
	// HeartbeatTimeout is how long a daemon counts as alive after a heartbeat.
	HeartbeatTimeout time.Duration
	// IsVMGone reports whether a VM is gone according to the platform; it may be nil.
	IsVMGone func(citron.VMName) bool

	mu    sync.RWMutex
	peers map[citron.VMName]*entry
}

// RecordHeartbeat records a daemon's heartbeat. Heartbeats of earlier incarnations are ignored.
func (l *List) RecordHeartbeat(now citron.Instant, heartbeat *peer.BeatRequest) {
	m := shard.MemberOf(heartbeat.GetSender())
	if m.VM == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[citron.VMName]*entry{}
	}
	old, known := l.peers[m.VM]
	if known && shard.MemberOf(old.heartbeat.GetSender()).Incarnation > m.Incarnation {
		return
	}
	e := &entry{heartbeat: heartbeat, receivedAt: now.Boot, loads: map[citron.Service]*Load{}}
	for _, s := range heartbeat.GetLoads() {
		e.loads[citron.Service(s.GetService())] = &Load{
			VM:     m.VM,
			Free:   int(s.GetFreeSlots()),
			Slots:  int(s.GetSlots()),
			Queued: int(s.GetQueued()),
		}
	}
	l.peers[m.VM] = e
}

// Get returns the state of a daemon, and false if it has sent no heartbeat.
func (l *List) Get(now citron.Instant, vm citron.VMName) (Peer, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.peers[vm]
	if !ok {
		return Peer{}, false
	}
	return l.view(now, e), true
}

// All returns every known daemon, sorted by name.
func (l *List) All(now citron.Instant) []Peer {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]Peer, 0, len(l.peers))
	for _, e := range l.peers {
		all = append(all, l.view(now, e))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Member.VM < all[j].Member.VM })
	return all
}

// Usable returns the daemons that are alive and not stopping, sorted by name.
func (l *List) Usable(now citron.Instant) (usable []Peer) {
	for _, p := range l.All(now) {
		if p.Alive && !p.Stopping {
			usable = append(usable, p)
		}
	}
	return usable
}

// Dead reports whether an incarnation is known to have ended: a newer one has sent a heartbeat, or its VM is gone.
func (l *List) Dead(m citron.Member) bool {
	if l.IsVMGone != nil && l.IsVMGone(m.VM) {
		return true
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.peers[m.VM]
	return ok && shard.MemberOf(e.heartbeat.GetSender()).Incarnation > m.Incarnation
}

// HighestOffset returns the highest offset up to which any daemon has applied a stream, and the VM of that daemon.
func (l *List) HighestOffset(stream citron.Stream) (best citron.Offset, vm citron.VMName) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for name, e := range l.peers {
		for _, m := range e.heartbeat.GetMarks() {
			if m.GetStream() == string(stream) && citron.Offset(m.GetNext()) > best {
				best, vm = citron.Offset(m.GetNext()), name
			}
		}
	}
	return best, vm
}

// ReserveSlot returns the live daemon other than self with the most free slots for a service, and reserves one of them.
func (l *List) ReserveSlot(now citron.Instant, service citron.Service, self citron.VMName) (citron.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *Load
	for vm, e := range l.peers {
		load, ok := e.loads[service]
		if vm == self || !ok || load.Free <= 0 || e.heartbeat.GetStopping() || now.Boot-e.receivedAt > l.HeartbeatTimeout {
			continue
		}
		if best == nil || load.Free > best.Free {
			best = load
		}
	}
	if best == nil {
		return citron.Member{}, false
	}
	best.Free--
	return shard.MemberOf(l.peers[best.VM].heartbeat.GetSender()), true
}

// SetFree sets the free slots of a daemon for a service until its next heartbeat.
func (l *List) SetFree(vm citron.VMName, service citron.Service, free int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.peers[vm]
	if !ok {
		return
	}
	if load, ok := e.loads[service]; ok {
		load.Free = free
	}
}

// Totals returns the number of slots for a service in all live daemons except self, and the number of these daemons.
func (l *List) Totals(now citron.Instant, service citron.Service, self citron.VMName) (slots, daemons int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for vm, e := range l.peers {
		if vm == self || now.Boot-e.receivedAt > l.HeartbeatTimeout {
			continue
		}
		daemons++
		if load, ok := e.loads[service]; ok {
			slots += load.Slots
		}
	}
	return slots, daemons
}

// view converts an entry to a Peer.
func (l *List) view(now citron.Instant, e *entry) Peer {
	slots := make(map[citron.Service]int, len(e.loads))
	for service, load := range e.loads {
		slots[service] = load.Slots
	}
	return Peer{
		Slots:        slots,
		Member:       shard.MemberOf(e.heartbeat.GetSender()),
		AdminAddress: e.heartbeat.GetAdminAddress(),
		Stopping:     e.heartbeat.GetStopping(),
		OwnedShards:  int(e.heartbeat.GetOwnedShards()),
		Alive:        now.Boot-e.receivedAt <= l.HeartbeatTimeout,
	}
}
