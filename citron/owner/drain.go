package owner

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/schema/peer"
)

// drainPoll is how often a drain checks whether every shard has been handed over.
const drainPoll = 50 * time.Millisecond

// Drain hands every shard over to its standby: through the log if it answers in time, otherwise directly.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	if m.LogAvailable(ctx) {
		m.handOver()
		if m.awaitHandover(ctx) {
			return
		}
	}
	m.release(ctx)
}

func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// handOver appends one record that makes the standbys of the owned shards their owners, except standbys known to be
// dead.
func (m *Manager) handOver() {
	now := m.Timer.Now()
	usable := m.Members.Usable(now)
	var changes []shard.Change
	for _, id := range m.order {
		s := m.shards[id]
		s.mu.Lock()
		next := s.replica.State().Standby
		if s.owned && !next.IsZero() && !m.Members.Dead(next) {
			if c, ok := s.replica.HandOver(next, m.chooseStandby(id, usable, next.VM)); ok {
				s.change, s.changeSent = c, now.Boot
				changes = append(changes, c)
				m.Log.Emit(event.ShardHandedOff, event.Fields{"Shard": id, "To": next.VM})
			}
		}
		s.mu.Unlock()
	}
	m.appendChanges(changes)
}

// awaitHandover waits for up to a lease until this daemon owns no shard, and reports whether that is so.
func (m *Manager) awaitHandover(ctx context.Context) bool {
	tick, stop := m.Timer.Every(drainPoll)
	defer stop()
	limit, stopLimit := m.Timer.After(m.Terms.Lease)
	defer stopLimit()
	for m.Owned() > 0 {
		select {
		case <-tick:
		case <-limit:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// release releases the remaining shards to their standbys without the log.
func (m *Manager) release(ctx context.Context) {
	requests := map[citron.Member]*peer.ReleaseRequest{}
	for _, id := range m.order {
		s := m.shards[id]
		s.mu.Lock()
		l, ok := s.replica.Release()
		s.mu.Unlock()
		if !ok {
			continue
		}
		request, known := requests[l.Standby]
		if !known {
			request = &peer.ReleaseRequest{Owner: shard.MemberRecord(m.Self), Standby: shard.MemberRecord(l.Standby)}
			requests[l.Standby] = request
		}
		request.Shards = append(request.Shards, leaseRecord(l))
		m.Log.Emit(event.ShardReleased, event.Fields{"Shard": id, "To": l.Standby.VM})
	}
	for standby, request := range requests {
		if client, ok := m.Peers.Peer(standby.VM); ok {
			bounded, cancel := context.WithTimeout(ctx, m.Terms.Lease)
			_, _ = client.Release(bounded, request)
			cancel()
		}
	}
}
