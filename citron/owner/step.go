package owner

import (
	"context"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/member"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/schema/peer"
)

// reconcile runs one round: it renews leases, then appends the changes that are due.
func (m *Manager) reconcile(ctx context.Context) {
	m.requestLeases()
	m.reportExpiredLeases()
	due := m.due()
	if len(due) == 0 {
		return
	}
	if !m.LogAvailable(ctx) {
		return
	}
	m.appendChanges(m.changes(due))
}

// requestLeases requests the leases of all shards, with one message to each standby.
func (m *Manager) requestLeases() {
	requests := map[citron.Member]*peer.RenewRequest{}
	for _, id := range m.order {
		s := m.shards[id]
		s.mu.Lock()
		l, ok := s.replica.LeaseRequest()
		s.mu.Unlock()
		if !ok {
			continue
		}
		request, known := requests[l.Standby]
		if !known {
			request = &peer.RenewRequest{Owner: shard.MemberRecord(m.Self), Standby: shard.MemberRecord(l.Standby)}
			requests[l.Standby] = request
		}
		request.Shards = append(request.Shards, leaseRecord(l))
	}
	for standby, request := range requests {
		m.exchanges.Go(func(ctx context.Context) { m.renew(ctx, standby, request) })
	}
}

// renew sends a request to one standby and applies the leases that it grants.
func (m *Manager) renew(ctx context.Context, standby citron.Member, request *peer.RenewRequest) {
	client, ok := m.Peers.Peer(standby.VM)
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
		s, ok := m.shards[citron.ShardID(l.GetShard())]
		if !ok {
			continue
		}
		s.mu.Lock()
		s.replica.ApplyGrant(sent, leaseOf(request.GetOwner(), request.GetStandby(), l))
		s.lastGrant = max(s.lastGrant, sent.Boot)
		s.mu.Unlock()
	}
}

// reportExpiredLeases counts and logs the owned shards that this daemon may no longer act for.
func (m *Manager) reportExpiredLeases() {
	now := m.Timer.Now()
	for _, id := range m.order {
		s := m.shards[id]
		s.mu.Lock()
		active := s.replica.MayAct(now)
		expired := s.active && !active && s.owned
		s.active = active
		s.mu.Unlock()
		if expired {
			m.Stats.CountLeaseLoss()
			m.Log.Emit(event.LeaseExpired, event.Fields{"Shard": id})
		}
	}
}

// kind is the kind of change that a shard needs.
type kind int

const (
	kindNone kind = iota
	kindResend
	kindClaim
	kindAppoint
	kindBalance
)

// neededChange is a change that a shard needs.
type neededChange struct {
	id   citron.ShardID
	kind kind
	// to is the new owner for kindBalance.
	to citron.Member
}

// due returns the changes that are needed now; a move for balance only if there is no other.
func (m *Manager) due() (needed []neededChange) {
	now := m.Timer.Now()
	usable := m.Members.Usable(now)
	for n, id := range m.order {
		if k := m.neededChange(now, n, id, usable); k != kindNone {
			needed = append(needed, neededChange{id: id, kind: k})
		}
	}
	if len(needed) > 0 || m.isStopping() {
		return needed
	}
	if move, ok := m.bestMove(now, usable); ok {
		needed = append(needed, neededChange{id: move.id, kind: kindBalance, to: move.to})
	}
	return needed
}

// neededChange returns the change that the shard at position n in the layout needs now.
func (m *Manager) neededChange(now citron.Instant, n int, id citron.ShardID, usable []member.Peer) kind {
	s := m.shards[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.replica.State()
	if s.replica.ChangePending() {
		if now.Boot-s.changeSent >= resendAfter {
			return kindResend
		}
		return kindNone
	}
	if m.isStopping() {
		return kindNone
	}
	if s.replica.CanClaimOrphan(m.Members.Dead) && m.shouldClaimOrphan(now, n, state, usable) {
		return kindClaim
	}
	if s.replica.CanClaim(now) {
		return kindClaim
	}
	if state.Owner == m.Self && m.needsStandby(now, s, state, usable) {
		return kindAppoint
	}
	return kindNone
}

// needsStandby reports whether an owned shard needs another standby: the current one is dead, stopping or unresponsive,
// or there is none and a daemon is usable.
func (m *Manager) needsStandby(now citron.Instant, s *managedShard, state shard.State, usable []member.Peer) bool {
	if state.Standby.IsZero() {
		return len(usable) > 0
	}
	unresponsive := now.Boot-s.lastGrant > m.Terms.Lease/2
	return unresponsive || m.Members.Dead(state.Standby) || m.isMemberStopping(now, state.Standby)
}

// isMemberStopping reports whether a standby has announced that it is stopping.
func (m *Manager) isMemberStopping(now citron.Instant, standby citron.Member) bool {
	p, ok := m.Members.Get(now, standby.VM)
	return ok && p.Member == standby && p.Stopping
}

// shouldClaimOrphan reports whether this daemon should claim an orphaned shard: at once if it is the standby, otherwise
// after orphanClaimDelay, with the shards spread over the live daemons.
func (m *Manager) shouldClaimOrphan(now citron.Instant, n int, state shard.State, usable []member.Peer) bool {
	if state.Standby == m.Self {
		return true
	}
	if now.Boot-m.started < orphanClaimDelay {
		return false
	}
	position, count := m.position(usable)
	return n%count == position
}

// position returns this daemon's position by name among the usable ones, and their number.
func (m *Manager) position(usable []member.Peer) (position, count int) {
	count = 1
	for _, p := range usable {
		if p.Member.VM == m.Self.VM {
			continue
		}
		count++
		if p.Member.VM < m.Self.VM {
			position++
		}
	}
	return position, count
}

// changes creates the needed changes and marks them as sent. Until their outcome is read from the log, the replicas
// follow the rules for a pending change.
func (m *Manager) changes(needed []neededChange) (changes []shard.Change) {
	now := m.Timer.Now()
	usable := m.Members.Usable(now)
	for _, n := range needed {
		s := m.shards[n.id]
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

// change creates one needed change, and returns false if it no longer applies.
func (m *Manager) change(now citron.Instant, s *managedShard, n neededChange, usable []member.Peer) (shard.Change, bool) {
	switch n.kind {
	case kindResend:
		return s.change, s.replica.ChangePending()
	case kindClaim:
		m.Log.Emit(event.ClaimSent, event.Fields{"Shard": n.id})
		return s.replica.Claim(m.chooseStandby(n.id, usable, s.replica.State().Owner.VM)), true
	case kindAppoint:
		next := m.chooseStandby(n.id, usable, s.replica.State().Standby.VM)
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

// chooseStandby returns the usable member with the highest rank for a shard, which spreads the standbys of one owner.
// It returns the member on VM avoid only if there is no other.
func (m *Manager) chooseStandby(id citron.ShardID, usable []member.Peer, avoid citron.VMName) (best citron.Member) {
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

// leaseRecord converts a lease to a record.
func leaseRecord(l shard.Lease) *peer.ShardLease {
	return &peer.ShardLease{Shard: string(l.Shard), Epoch: uint64(l.Epoch), StandbyNumber: uint64(l.StandbyNumber)}
}
