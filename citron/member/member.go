// Package member knows which daemons of the cell are alive, which incarnations are dead, and what room each has.
package member

import (
	"sort"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/schema/peer"
)

// Peer is what is known of one daemon.
type Peer struct {
	Member       citron.Member
	AdminAddress string
	Stopping     bool
	OwnedShards  int
	// Slots are those of the daemon's shards by service.
	Slots map[citron.Service]int
	Alive bool
}

// Load is the room of one daemon for one service.
type Load struct {
	VM     citron.VMName
	Free   int
	Slots  int
	Queued int
}

type entry struct {
	state *peer.BeatRequest
	heard time.Duration
	loads map[citron.Service]*Load
}

// List holds the daemons of a cell. The zero value knows none.
type List struct {
	// HeartbeatTimeout is how long a daemon may be silent before it counts as not alive.
	HeartbeatTimeout time.Duration
	// VMGone reports whether the platform says that a VM is gone.
	VMGone func(citron.VMName) bool

	mu    sync.RWMutex
	peers map[citron.VMName]*entry
}

// RecordHeartbeat takes in what a daemon said of itself. Words of a former incarnation are ignored.
func (l *List) RecordHeartbeat(now citron.Instant, state *peer.BeatRequest) {
	m := shard.MemberOf(state.GetSender())
	if m.VM == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[citron.VMName]*entry{}
	}
	old, known := l.peers[m.VM]
	if known && shard.MemberOf(old.state.GetSender()).Incarnation > m.Incarnation {
		return
	}
	e := &entry{state: state, heard: now.Boot, loads: map[citron.Service]*Load{}}
	for _, s := range state.GetLoads() {
		e.loads[citron.Service(s.GetService())] = &Load{
			VM:     m.VM,
			Free:   int(s.GetFreeSlots()),
			Slots:  int(s.GetSlots()),
			Queued: int(s.GetQueued()),
		}
	}
	l.peers[m.VM] = e
}

// Get returns what is known of one daemon.
func (l *List) Get(now citron.Instant, vm citron.VMName) (Peer, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.peers[vm]
	if !ok {
		return Peer{}, false
	}
	return l.view(now, e), true
}

// All lists every known daemon by name.
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

// Usable lists the daemons that are alive and not stopping, by name.
func (l *List) Usable(now citron.Instant) (usable []Peer) {
	for _, p := range l.All(now) {
		if p.Alive && !p.Stopping {
			usable = append(usable, p)
		}
	}
	return usable
}

// Dead reports whether an incarnation is known to have ended: a newer one has spoken, or its VM is gone.
func (l *List) Dead(m citron.Member) bool {
	if l.VMGone != nil && l.VMGone(m.VM) {
		return true
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.peers[m.VM]
	return ok && shard.MemberOf(e.state.GetSender()).Incarnation > m.Incarnation
}

// HighestOffset returns the highest offset that any daemon has applied of a stream, and who that is.
func (l *List) HighestOffset(stream citron.Stream) (best citron.Offset, vm citron.VMName) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for name, e := range l.peers {
		for _, m := range e.state.GetMarks() {
			if m.GetStream() == string(stream) && citron.Offset(m.GetNext()) > best {
				best, vm = citron.Offset(m.GetNext()), name
			}
		}
	}
	return best, vm
}

// ReserveSlot returns the daemon with the most free slots for a service and books one of them.
func (l *List) ReserveSlot(now citron.Instant, service citron.Service, self citron.VMName) (citron.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *Load
	for vm, e := range l.peers {
		load, ok := e.loads[service]
		if vm == self || !ok || load.Free <= 0 || e.state.GetStopping() || now.Boot-e.heard > l.HeartbeatTimeout {
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
	return shard.MemberOf(l.peers[best.VM].state.GetSender()), true
}

// SetFree corrects the free slots of one daemon for a service.
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

// Totals returns the slots of a service in other live daemons and the number of those daemons.
func (l *List) Totals(now citron.Instant, service citron.Service, self citron.VMName) (slots, daemons int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for vm, e := range l.peers {
		if vm == self || now.Boot-e.heard > l.HeartbeatTimeout {
			continue
		}
		daemons++
		if load, ok := e.loads[service]; ok {
			slots += load.Slots
		}
	}
	return slots, daemons
}

func (l *List) view(now citron.Instant, e *entry) Peer {
	slots := make(map[citron.Service]int, len(e.loads))
	for service, load := range e.loads {
		slots[service] = load.Slots
	}
	return Peer{
		Slots:        slots,
		Member:       shard.MemberOf(e.state.GetSender()),
		AdminAddress: e.state.GetAdminAddress(),
		Stopping:     e.state.GetStopping(),
		OwnedShards:  int(e.state.GetOwnedShards()),
		Alive:        now.Boot-e.heard <= l.HeartbeatTimeout,
	}
}
