package owner

import (
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/member"
)

const (
	// balanceTurn is how long each daemon in turn may move a shard, so that two daemons do not move shards at once.
	balanceTurn = 2 * time.Second
	// minGain is the gain up to which a move is not worth its cost, see balanceGain.
	minGain = 100
	// shardCountKey is the key of the number of shards in weights.
	shardCountKey citron.Service = "(shards)"
)

// move is the handover of one shard to another daemon.
type move struct {
	id citron.ShardID
	to citron.Member
}

// weights holds the number of slots of a daemon or a shard by service, and the number of shards under shardCountKey.
type weights map[citron.Service]int

// bestMove returns the move that best balances the slots of each service. It returns false if no move gains enough or
// it is not this daemon's turn.
func (m *Manager) bestMove(now citron.Instant, usable []member.Peer) (best move, ok bool) {
	if now.Boot-m.lastBalance < balanceTurn || !m.myTurn(now, usable) {
		return best, false
	}
	m.lastBalance = now.Boot
	mine := m.ownWeights()
	gain := minGain
	for _, p := range usable {
		if p.Member.VM == m.Self.VM {
			continue
		}
		theirs := m.peerWeights(p)
		for _, id := range m.movable(now) {
			if g := balanceGain(mine, theirs, m.shardWeights(id)); g > gain {
				gain, best, ok = g, move{id: id, to: p.Member}, true
			}
		}
	}
	return best, ok
}

// myTurn reports whether it is this daemon's turn by the wall clock. Clocks that differ cause at most a needless move.
func (m *Manager) myTurn(now citron.Instant, usable []member.Peer) bool {
	position, count := m.position(usable)
	turn := now.Wall.UnixNano() / int64(balanceTurn)
	return int(turn%int64(count)) == position
}

// movable returns the shards that this daemon may hand over now.
func (m *Manager) movable(now citron.Instant) (ids []citron.ShardID) {
	for _, id := range m.order {
		s := m.shards[id]
		s.mu.Lock()
		if s.owned && s.replica.MayAct(now) && !s.replica.ChangePending() {
			ids = append(ids, id)
		}
		s.mu.Unlock()
	}
	return ids
}

func (m *Manager) ownWeights() weights {
	sum := weights{}
	for _, id := range m.order {
		s := m.shards[id]
		s.mu.Lock()
		owned := s.owned
		s.mu.Unlock()
		if !owned {
			continue
		}
		for service, n := range m.shardWeights(id) {
			sum[service] += n
		}
	}
	return sum
}

func (m *Manager) shardWeights(id citron.ShardID) weights {
	w := weights(m.ShardSlots(id))
	w[shardCountKey] = 1
	return w
}

func (m *Manager) peerWeights(p member.Peer) weights {
	w := weights{shardCountKey: p.OwnedShards}
	for service, slots := range p.Slots {
		w[service] = slots
	}
	return w
}

// balanceGain returns how much the sum of the squared weights of two daemons decreases if a shard moves between them.
func balanceGain(from, to, shard weights) (gain int) {
	for service, w := range shard {
		scale := 1
		if service == shardCountKey {
			// One shard costs a daemon about as much as a few slots.
			scale = 4
		}
		gain += 2 * w * (from[service] - to[service] - w) * scale
	}
	return gain
}
