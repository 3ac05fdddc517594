// Package owner manages this daemon's ownership of shards: it renews leases, claims shards, appoints standbys and hands
// shards over.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/batch"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/member"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// resendAfter is the delay before a change whose outcome is unknown is sent again.
	resendAfter = time.Second
	// orphanClaimDelay is how long after its start a daemon claims no orphaned shards unless it is their
	// standby, so that it has first learned of the other daemons.
	orphanClaimDelay = 2 * time.Second
)

// Peers connects to other daemons.
type Peers interface {
	// Peer returns the client of a daemon, and false if there is none.
	Peer(vm citron.VMName) (peer.PeerClient, bool)
}

// Hooks are called when this daemon gains or loses a shard.
type Hooks struct {
	// Gained is called when this daemon becomes the owner of a shard. Former is the previous owner, if any.
	Gained func(id citron.ShardID, epoch citron.Epoch, former citron.Member)
	// Lost is called when this daemon is no longer the owner of a shard.
	Lost func(id citron.ShardID)
}

// managedShard is the state of one shard; mu guards its fields.
type managedShard struct {
	mu      sync.Mutex
	replica shard.Replica
	// change is the pending change; changeSent is when it was last sent.
	change     shard.Change
	changeSent time.Duration
	// lastGrant is when the owner sent the last request that its standby granted, or when the state last changed.
	lastGrant time.Duration
	owned     bool
	// active is whether this daemon could act as the owner in the last round.
	active bool
}

// Manager runs this daemon's part as owner or standby of every shard.
type Manager struct {
	Self       citron.Member
	Layout     citron.Layout
	Terms      shard.Terms
	RenewEvery time.Duration
	Timer      citron.Timer
	Owners     *state.Owners
	Members    *member.List
	Peers      Peers
	Appender   *batch.Appender
	// LogAvailable reports whether the log answers a request now.
	LogAvailable func(ctx context.Context) bool
	// ShardSlots returns the number of slots of a shard by service.
	ShardSlots func(id citron.ShardID) map[citron.Service]int
	Hooks      Hooks
	Stats      *stats.Set
	Log        *event.Logger

	shards map[citron.ShardID]*managedShard
	// order holds the ids of all shards in the order of the layout.
	order       []citron.ShardID
	started     time.Duration
	lastBalance time.Duration

	// exchanges are the lease requests under way.
	exchanges spawn.Group

	mu       sync.Mutex
	stopping bool
}

// Init prepares the manager. It must be called before the ownership stream is followed.
func (m *Manager) Init() {
	m.shards = map[citron.ShardID]*managedShard{}
	m.order = m.Layout.Shards()
	m.started = m.Timer.Now().Boot
	for _, id := range m.order {
		s := &managedShard{replica: shard.Replica{Self: m.Self, Shard: id, Terms: m.Terms}}
		m.shards[id] = s
	}
	m.Owners.Changed = m.updateState
}

// Run renews leases and sends changes until ctx ends, then sends nil on the returned channel.
func (m *Manager) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := m.Timer.Every(m.RenewEvery)
		defer stop()
		m.exchanges.SetContext(ctx)
		for {
			select {
			case <-tick:
				m.reconcile(ctx)
			case <-ctx.Done():
				<-m.exchanges.Idle()
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// MayAct reports whether this daemon may act as the owner of a shard now.
func (m *Manager) MayAct(id citron.ShardID) bool {
	s, ok := m.shards[id]
	if !ok {
		return false
	}
	now := m.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.MayAct(now)
}

// OwnerOf returns the owner of a shard according to the newest record read from the log.
func (m *Manager) OwnerOf(id citron.ShardID) citron.Member {
	return m.Owners.Get(id).Owner
}

// Owned returns the number of shards that this daemon owns.
func (m *Manager) Owned() (n int) {
	for _, s := range m.shards {
		s.mu.Lock()
		if s.owned {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// View is the status of one shard, as shown to operators.
type View struct {
	State     shard.State
	Active    bool
	LeaseLeft time.Duration
	// Bounded is set if LeaseLeft bounds how long this daemon may act.
	Bounded bool
}

// Views returns the shards of which this daemon is the owner or the standby.
func (m *Manager) Views() (views []View) {
	now := m.Timer.Now()
	for _, id := range m.order {
		s := m.shards[id]
		s.mu.Lock()
		v := View{State: s.replica.State(), Active: s.replica.MayAct(now)}
		until, bounded := s.replica.ActiveUntil()
		v.Bounded = bounded
		v.LeaseLeft = until.Boot - now.Boot
		s.mu.Unlock()
		if v.State.Owner == m.Self || v.State.Standby == m.Self {
			views = append(views, v)
		}
	}
	return views
}

// GrantLeases grants an owner the requested leases, as far as this daemon is the standby of the shards.
func (m *Manager) GrantLeases(request *peer.RenewRequest) *peer.RenewReply {
	now := m.Timer.Now()
	reply := &peer.RenewReply{}
	for _, l := range request.GetShards() {
		s, ok := m.shards[citron.ShardID(l.GetShard())]
		if !ok {
			continue
		}
		s.mu.Lock()
		if s.replica.Grant(now, leaseOf(request.GetOwner(), request.GetStandby(), l)) {
			reply.Granted = append(reply.Granted, l)
		}
		s.mu.Unlock()
	}
	return reply
}

// AcceptRelease accepts shards that their owner releases to this daemon, their standby, without the log.
func (m *Manager) AcceptRelease(request *peer.ReleaseRequest) *peer.ReleaseReply {
	reply := &peer.ReleaseReply{}
	for _, l := range request.GetShards() {
		s, ok := m.shards[citron.ShardID(l.GetShard())]
		if !ok {
			continue
		}
		s.mu.Lock()
		accepted := s.replica.AcceptRelease(leaseOf(request.GetOwner(), request.GetStandby(), l))
		gained := accepted && !s.owned
		s.owned = s.owned || accepted
		s.mu.Unlock()
		if accepted {
			reply.Taken = append(reply.Taken, l)
		}
		if gained {
			m.gained(citron.ShardID(l.GetShard()), citron.Epoch(l.GetEpoch()), shard.MemberOf(request.GetOwner()))
		}
	}
	return reply
}

// updateState applies a shard's state read from the log.
func (m *Manager) updateState(state shard.State) {
	s, ok := m.shards[state.Shard]
	if !ok {
		return
	}
	now := m.Timer.Now()
	s.mu.Lock()
	before := s.replica.State()
	s.replica.UpdateState(now, state)
	owns := state.Owner == m.Self
	s.lastGrant = now.Boot
	gained := owns && (!s.owned || before.Epoch != state.Epoch)
	lost := !owns && s.owned
	s.owned = owns
	s.mu.Unlock()
	if gained {
		m.gained(state.Shard, state.Epoch, before.Owner)
	}
	if lost {
		m.lost(state.Shard)
	}
}

func (m *Manager) gained(id citron.ShardID, epoch citron.Epoch, former citron.Member) {
	m.Log.Emit(event.ShardGained, event.Fields{"Shard": id, "Epoch": epoch})
	if m.Hooks.Gained != nil {
		m.Hooks.Gained(id, epoch, former)
	}
}

func (m *Manager) lost(id citron.ShardID) {
	m.Log.Emit(event.ShardLost, event.Fields{"Shard": id})
	if m.Hooks.Lost != nil {
		m.Hooks.Lost(id)
	}
}

// appendChanges appends changes as one record. Their outcome is read from the ownership stream.
func (m *Manager) appendChanges(changes []shard.Change) {
	if len(changes) == 0 {
		return
	}
	body := &record.Ownership{}
	for _, c := range changes {
		body.Changes = append(body.Changes, c.Record())
	}
	m.Appender.Enqueue(citron.StreamOwners, &record.Entry{
		ID:        uuid.NewString(),
		Writer:    string(m.Self.VM),
		WrittenMs: m.Timer.Now().Wall.UnixMilli(),
		Body:      &record.Entry_Ownership{Ownership: body},
	})
}

// leaseOf converts a record to a lease.
func leaseOf(owner, standby *record.Member, l *peer.ShardLease) shard.Lease {
	return shard.Lease{
		Shard:         citron.ShardID(l.GetShard()),
		Epoch:         citron.Epoch(l.GetEpoch()),
		StandbyNumber: citron.StandbyNumber(l.GetStandbyNumber()),
		Owner:         shard.MemberOf(owner),
		Standby:       shard.MemberOf(standby),
	}
}
