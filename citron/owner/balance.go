package owner

import (
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/member"
)

const (
	// balanceTurn is how long each daemon in turn may hand a shard over, so that two do not move at once.
	balanceTurn = 2 * time.Second
	// leastGain is the gain below which a move is not worth its cost.
	leastGain = 100
	// shardCount is the weight of a shard beside those of its slots.
	shardCount citron.Service = "(shards)"
)

// move is one shard that goes to another daemon.
type move struct {
	id citron.ShardID
	to citron.Member
}

// weights are the slots of a daemon or a shard by service, with the number of shards.
type weights map[citron.Service]int

// surplus returns the move that evens out the slots of each service most, in this daemon's turn only.
func (m *Manager) surplus(now citron.Instant, usable []member.Peer) (best move, ok bool) {
	if now.Boot-m.balanced < balanceTurn || !m.myTurn(now, usable) {
		return best, false
	}
	m.balanced = now.Boot
	mine := m.ownWeights()
	gain := leastGain
	for _, p := range usable {
		if p.Member.VM == m.Self.VM {
			continue
		}
		theirs := m.peerWeights(p)
		for _, id := range m.movable(now) {
			if g := gainOf(mine, theirs, m.shardWeights(id)); g > gain {
				gain, best, ok = g, move{id: id, to: p.Member}, true
			}
		}
	}
	return best, ok
}

// myTurn gives each live daemon a turn by the wall clock. Clocks that differ cost a needless move, no more.
func (m *Manager) myTurn(now citron.Instant, usable []member.Peer) bool {
	place, count := m.place(usable)
	turn := now.Wall.UnixNano() / int64(balanceTurn)
	return int(turn%int64(count)) == place
}

// movable lists the shards that this daemon may hand over now.
func (m *Manager) movable(now citron.Instant) (ids []citron.ShardID) {
	for _, id := range m.order {
		s := m.slots[id]
		s.mu.Lock()
		if s.held && s.replica.MayAct(now) && !s.replica.ChangePending() {
			ids = append(ids, id)
		}
		s.mu.Unlock()
	}
	return ids
}

func (m *Manager) ownWeights() weights {
	sum := weights{}
	for _, id := range m.order {
		s := m.slots[id]
		s.mu.Lock()
		held := s.held
		s.mu.Unlock()
		if !held {
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
	w[shardCount] = 1
	return w
}

func (m *Manager) peerWeights(p member.Peer) weights {
	w := weights{shardCount: p.OwnedShards}
	for service, slots := range p.Slots {
		w[service] = slots
	}
	return w
}

// gainOf is how much the sum of squares of two daemons shrinks when a shard goes from one to the other.
func gainOf(from, to, shard weights) (gain int) {
	for service, w := range shard {
		scale := 1
		if service == shardCount {
			// A shard more or less costs about as much as a few slots.
			scale = 4
		}
		gain += 2 * w * (from[service] - to[service] - w) * scale
	}
	return gain
}
