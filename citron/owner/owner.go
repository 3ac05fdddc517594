// Package owner keeps this daemon's shards: it renews leases, claims, appoints standbys and hands shards over.
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
	// repeatAfter is when a change whose end is not known is sent again.
	repeatAfter = time.Second
	// settleFor is how long a new daemon listens before it claims shards that have no owner.
	settleFor = 2 * time.Second
)

// Mesh reaches other daemons.
type Mesh interface {
	Peer(vm citron.VMName) (peer.PeerClient, bool)
}

// Hooks tell the parts that use shards what this daemon holds.
type Hooks struct {
	// Gained is called when this daemon becomes the owner of a shard. Former is the owner before, if any.
	Gained func(id citron.ShardID, epoch citron.Epoch, former citron.Member)
	// Lost is called when it no longer is.
	Lost func(id citron.ShardID)
}

// slot is one shard under its own lock.
type slot struct {
	mu      sync.Mutex
	replica shard.Replica
	// change is the open change and when it was sent.
	change     shard.Change
	changeSent time.Duration
	// granted is when the standby last granted a lease.
	granted time.Duration
	held    bool
	active  bool
}

// Manager holds this daemon's part in every shard.
type Manager struct {
	Self       citron.Member
	Layout     citron.Layout
	Terms      shard.Terms
	RenewEvery time.Duration
	Timer      citron.Timer
	Owners     *state.Owners
	Members    *member.List
	Mesh       Mesh
	Appender   *batch.Appender
	// LogAvailable asks the log whether it answers now.
	LogAvailable func(ctx context.Context) bool
	// ShardSlots returns the slots of a shard by service.
	ShardSlots func(id citron.ShardID) map[citron.Service]int
	Hooks      Hooks
	Stats      *stats.Set
	Log        *event.Logger

	slots    map[citron.ShardID]*slot
	order    []citron.ShardID
	started  time.Duration
	balanced time.Duration

	exchanges spawn.Group

	mu       sync.Mutex
	stopping bool
}

// Init prepares the manager. It is called before the ownership stream is followed.
func (m *Manager) Init() {
	m.slots = map[citron.ShardID]*slot{}
	m.order = m.Layout.Shards()
	m.started = m.Timer.Now().Boot
	for _, id := range m.order {
		s := &slot{replica: shard.Replica{Self: m.Self, Shard: id, Terms: m.Terms}}
		m.slots[id] = s
	}
	m.Owners.Changed = m.learn
}

// Run renews and claims until the context ends and reports its end on the returned channel.
func (m *Manager) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := m.Timer.Every(m.RenewEvery)
		defer stop()
		m.exchanges.Bind(ctx)
		for {
			select {
			case <-tick:
				m.step(ctx)
			case <-ctx.Done():
				<-m.exchanges.Ended()
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// MayAct reports whether this daemon may use a shard at this instant.
func (m *Manager) MayAct(id citron.ShardID) bool {
	s, ok := m.slots[id]
	if !ok {
		return false
	}
	now := m.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.MayAct(now)
}

// OwnerOf returns the owner that the log names last.
func (m *Manager) OwnerOf(id citron.ShardID) citron.Member {
	return m.Owners.Get(id).Owner
}

// Owned returns the number of shards that this daemon owns.
func (m *Manager) Owned() (n int) {
	for _, s := range m.slots {
		s.mu.Lock()
		if s.held {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// View is one shard as an operator sees it.
type View struct {
	State     shard.State
	Active    bool
	LeaseLeft time.Duration
	Bounded   bool
}

// Views lists the shards in which this daemon has a part.
func (m *Manager) Views() (views []View) {
	now := m.Timer.Now()
	for _, id := range m.order {
		s := m.slots[id]
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

// GrantLeases answers an owner's request for leases.
func (m *Manager) GrantLeases(request *peer.RenewRequest) *peer.RenewReply {
	now := m.Timer.Now()
	reply := &peer.RenewReply{}
	for _, l := range request.GetShards() {
		s, ok := m.slots[citron.ShardID(l.GetShard())]
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

// AcceptRelease answers an owner that gives up shards without the log.
func (m *Manager) AcceptRelease(request *peer.ReleaseRequest) *peer.ReleaseReply {
	reply := &peer.ReleaseReply{}
	for _, l := range request.GetShards() {
		s, ok := m.slots[citron.ShardID(l.GetShard())]
		if !ok {
			continue
		}
		s.mu.Lock()
		taken := s.replica.AcceptRelease(leaseOf(request.GetOwner(), request.GetStandby(), l))
		gained := taken && !s.held
		s.held = s.held || taken
		s.mu.Unlock()
		if taken {
			reply.Taken = append(reply.Taken, l)
		}
		if gained {
			m.gained(citron.ShardID(l.GetShard()), citron.Epoch(l.GetEpoch()), shard.MemberOf(request.GetOwner()))
		}
	}
	return reply
}

// learn takes in a state that the log shows.
func (m *Manager) learn(state shard.State) {
	s, ok := m.slots[state.Shard]
	if !ok {
		return
	}
	now := m.Timer.Now()
	s.mu.Lock()
	before := s.replica.State()
	s.replica.UpdateState(now, state)
	owns := state.Owner == m.Self
	s.granted = now.Boot
	gained := owns && (!s.held || before.Epoch != state.Epoch)
	lost := !owns && s.held
	s.held = owns
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

// send appends changes in one record. Their end shows in the ownership stream.
func (m *Manager) send(changes []shard.Change) {
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

func leaseOf(owner, standby *record.Member, l *peer.ShardLease) shard.Lease {
	return shard.Lease{
		Shard:         citron.ShardID(l.GetShard()),
		Epoch:         citron.Epoch(l.GetEpoch()),
		StandbyNumber: citron.StandbyNumber(l.GetStandbyNumber()),
		Owner:         shard.MemberOf(owner),
		Standby:       shard.MemberOf(standby),
	}
}
