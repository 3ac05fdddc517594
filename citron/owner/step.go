package owner

import (
	"context"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/member"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/schema/peer"
)

// step runs one round: renew leases, then send the changes that are due.
func (m *Manager) step(ctx context.Context) {
	m.renewAll()
	m.watchLeases()
	due := m.due()
	if len(due) == 0 {
		return
	}
	if !m.LogAvailable(ctx) {
		return
	}
	m.send(m.changes(due))
}

// renewAll asks every standby for the leases of its shards, one message to each.
func (m *Manager) renewAll() {
	wanted := map[citron.Member]*peer.RenewRequest{}
	for _, id := range m.order {
		s := m.slots[id]
		s.mu.Lock()
		l, ok := s.replica.LeaseRequest()
		s.mu.Unlock()
		if !ok {
			continue
		}
		request, known := wanted[l.Standby]
		if !known {
			request = &peer.RenewRequest{Owner: shard.MemberRecord(m.Self), Standby: shard.MemberRecord(l.Standby)}
			wanted[l.Standby] = request
		}
		request.Shards = append(request.Shards, leaseRecord(l))
	}
	for standby, request := range wanted {
		m.exchanges.Go(func(ctx context.Context) { m.renew(ctx, standby, request) })
	}
}

// renew is one exchange with one standby.
func (m *Manager) renew(ctx context.Context, standby citron.Member, request *peer.RenewRequest) {
	client, ok := m.Mesh.Peer(standby.VM)
	if !ok {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, m.Terms.Lease/2)
	defer cancel()
	sent := m.Timer.Now()
	reply, err := client.Renew(bounded, request)
	if err != nil {
		return
	}
	for _, l := range reply.GetGranted() {
		s, ok := m.slots[citron.ShardID(l.GetShard())]
		if !ok {
			continue
		}
		s.mu.Lock()
		s.replica.ApplyGrant(sent, leaseOf(request.GetOwner(), request.GetStandby(), l))
		s.granted = max(s.granted, sent.Boot)
		s.mu.Unlock()
	}
}

// watchLeases logs the shards whose right to act came or went.
func (m *Manager) watchLeases() {
	now := m.Timer.Now()
	for _, id := range m.order {
		s := m.slots[id]
		s.mu.Lock()
		active := s.replica.MayAct(now)
		lapsed := s.active && !active && s.held
		s.active = active
		s.mu.Unlock()
		if lapsed {
			m.Stats.LeaseLoss()
			m.Log.Emit(event.LeaseLapsed, event.Fields{"Shard": id})
		}
	}
}

// kind says which change a shard needs.
type kind int

const (
	kindNone kind = iota
	kindRepeat
	kindClaim
	kindAppoint
	kindBalance
)

// need is one shard that needs a change.
type need struct {
	id   citron.ShardID
	kind kind
	// to is the new owner of a shard that is moved for balance.
	to citron.Member
}

// due lists the shards that need a change now.
func (m *Manager) due() (needs []need) {
	now := m.Timer.Now()
	usable := m.Members.Usable(now)
	for n, id := range m.order {
		if k := m.need(now, n, id, usable); k != kindNone {
			needs = append(needs, need{id: id, kind: k})
		}
	}
	if len(needs) > 0 || m.isStopping() {
		return needs
	}
	if move, ok := m.surplus(now, usable); ok {
		needs = append(needs, need{id: move.id, kind: kindBalance, to: move.to})
	}
	return needs
}

func (m *Manager) need(now citron.Instant, n int, id citron.ShardID, usable []member.Peer) kind {
	s := m.slots[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.replica.State()
	if s.replica.ChangePending() {
		if now.Boot-s.changeSent >= repeatAfter {
			return kindRepeat
		}
		return kindNone
	}
	if m.isStopping() {
		return kindNone
	}
	if s.replica.CanClaimOrphan(m.Members.Dead) && m.prefers(now, n, state, usable) {
		return kindClaim
	}
	if s.replica.CanClaim(now) {
		return kindClaim
	}
	if state.Owner == m.Self && m.standbyDue(now, s, state, usable) {
		return kindAppoint
	}
	return kindNone
}

// standbyDue reports whether the standby is missing, dead or silent and another one can be had.
func (m *Manager) standbyDue(now citron.Instant, s *slot, state shard.State, usable []member.Peer) bool {
	if state.Standby.IsZero() {
		return len(usable) > 0
	}
	silent := now.Boot-s.granted > m.Terms.Lease/2
	return silent || m.Members.Dead(state.Standby) || m.leaving(now, state.Standby)
}

func (m *Manager) leaving(now citron.Instant, standby citron.Member) bool {
	p, ok := m.Members.Get(now, standby.VM)
	return ok && p.Member == standby && p.Stopping
}

// prefers spreads shards without an owner over the live daemons. Past the settling time a standby goes first.
func (m *Manager) prefers(now citron.Instant, n int, state shard.State, usable []member.Peer) bool {
	if state.Standby == m.Self {
		return true
	}
	if now.Boot-m.started < settleFor {
		return false
	}
	place, count := m.place(usable)
	return n%count == place
}

// place returns this daemon's place by name among the live ones, and their number.
func (m *Manager) place(usable []member.Peer) (place, count int) {
	count = 1
	for _, p := range usable {
		if p.Member.VM == m.Self.VM {
			continue
		}
		count++
		if p.Member.VM < m.Self.VM {
			place++
		}
	}
	return place, count
}

// changes turns needs into changes. From here on the shards' own rules hold until the log shows the end.
func (m *Manager) changes(needs []need) (changes []shard.Change) {
	now := m.Timer.Now()
	usable := m.Members.Usable(now)
	for _, n := range needs {
		s := m.slots[n.id]
		s.mu.Lock()
		c, ok := m.change(now, s, n, usable)
		if ok {
			s.change, s.changeSent = c, now.Boot
			changes = append(changes, c)
		}
		s.mu.Unlock()
	}
	return changes
}

func (m *Manager) change(now citron.Instant, s *slot, n need, usable []member.Peer) (shard.Change, bool) {
	switch n.kind {
	case kindRepeat:
		return s.change, s.replica.ChangePending()
	case kindClaim:
		m.Log.Emit(event.ClaimSent, event.Fields{"Shard": n.id})
		return s.replica.Claim(m.pick(n.id, usable, s.replica.State().Owner.VM)), true
	case kindAppoint:
		next := m.pick(n.id, usable, s.replica.State().Standby.VM)
		if next == s.replica.State().Standby {
			return shard.Change{}, false
		}
		m.Log.Emit(event.StandbyChanged, event.Fields{"Shard": n.id, "Standby": next.VM})
		return s.replica.Appoint(now, next)
	case kindBalance:
		m.Log.Emit(event.ShardHandedOff, event.Fields{"Shard": n.id, "To": n.to.VM})
		return s.replica.HandOver(n.to, m.Self)
	}
	return shard.Change{}, false
}

// pick chooses a standby by rank, so that the standbys of one owner are spread. The member on VM avoid is taken
// only where there is no other.
func (m *Manager) pick(id citron.ShardID, usable []member.Peer, avoid citron.VMName) (best citron.Member) {
	var fallback citron.Member
	for _, p := range usable {
		if p.Member.VM == m.Self.VM {
			continue
		}
		if p.Member.VM == avoid {
			fallback = p.Member
			continue
		}
		if best.IsZero() || citron.Rank(string(id), p.Member.VM) > citron.Rank(string(id), best.VM) {
			best = p.Member
		}
	}
	if best.IsZero() {
		return fallback
	}
	return best
}

func leaseRecord(l shard.Lease) *peer.ShardLease {
	return &peer.ShardLease{Shard: string(l.Shard), Epoch: uint64(l.Epoch), StandbyNumber: uint64(l.StandbyNumber)}
}
