// Package queue orders waiting calls by their teams' shares, urgency and slack, and finds those that can no longer be
// served in time.
package queue

import (
	"container/heap"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

const (
	// creditDivisor sets the slot time reserved for the least urgent waiting calls while more urgent ones wait: one part
	// in creditDivisor of all slot time.
	creditDivisor = 16
	// maxCredit is the maximum slot time that less urgent calls can accumulate.
	maxCredit = time.Minute
)

// Item is a waiting call. Times are on the boot clock.
type Item struct {
	Team    citron.Team
	Urgency tmpl.Urgency
	// LatestStart is the deadline minus the expected run time.
	LatestStart time.Duration
	// Expected is the expected run time.
	Expected time.Duration
	Bytes    int64
	// Payload is data of the caller of this package.
	Payload any

	// index is the item's position in its subqueue.
	index int
	// subqueue is nil while the item is not waiting.
	subqueue *subqueue
	// seq is the number of items pushed up to this one.
	seq uint64
}

// subqueue is the heap of the waiting items of one team and urgency, least slack first.
type subqueue struct {
	team    citron.Team
	urgency tmpl.Urgency
	items   []*Item
}

// team holds the waiting items of one team and its use of slots.
type team struct {
	subqueues [tmpl.NumUrgencies]subqueue
	// inUse is the number of running calls.
	inUse int
	// share is the part of all slots that the team may use, from 0 to 1; 0 means no limit.
	share float64
}

// Queue holds the calls that wait for one service in one daemon. The zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	// Fifo makes the queue first in, first out, as a baseline for comparisons.
	Fifo bool

	teams map[citron.Team]*team
	// work is the expected run time of all waiting items by urgency.
	work  [tmpl.NumUrgencies]time.Duration
	count int
	bytes int64
	seq   uint64
	// credit is the slot time available to the least urgent waiting calls ahead of more urgent ones.
	credit time.Duration
}

// SetShare sets the part of all slots that a team may use before calls of other teams go first, from 0 to 1; 0 means no
// limit.
func (q *Queue) SetShare(name citron.Team, share float64) {
	q.team(name).share = share
}

// Push adds an item.
func (q *Queue) Push(item *Item) {
	q.seq++
	item.seq = q.seq
	if q.Fifo {
		item.Urgency = tmpl.Urgent
	}
	s := &q.team(item.Team).subqueues[item.Urgency]
	item.subqueue = s
	heap.Push(&subqueueHeap{s, q.Fifo}, item)
	q.updateTotals(item, 1)
}

// Remove removes an item and reports whether it was waiting.
func (q *Queue) Remove(item *Item) bool {
	if item.subqueue == nil {
		return false
	}
	heap.Remove(&subqueueHeap{item.subqueue, q.Fifo}, item.index)
	item.subqueue = nil
	q.updateTotals(item, -1)
	return true
}

// Peek returns the item that Pop would return, or nil; slots is the number of all slots.
func (q *Queue) Peek(slots int) *Item {
	best := q.first(slots, false)
	if best == nil || q.Fifo {
		return best
	}
	lowest := q.first(slots, true)
	if lowest.Urgency > best.Urgency && lowest.Expected <= q.credit {
		return lowest
	}
	return best
}

// first returns the item that is served before all others; lowest reverses the order of urgencies.
func (q *Queue) first(slots int, lowest bool) (best *Item) {
	for _, t := range q.teams {
		for u := range t.subqueues {
			s := &t.subqueues[u]
			if len(s.items) > 0 && (best == nil || q.before(s.items[0], best, slots, lowest)) {
				best = s.items[0]
			}
		}
	}
	return best
}

// updateCredit adds the credit earned by serving item, and subtracts its run time if it is served ahead of the more
// urgent item best.
func (q *Queue) updateCredit(item *Item, best *Item) {
	q.credit = min(q.credit+item.Expected/creditDivisor, maxCredit)
	if item.Urgency > best.Urgency {
		q.credit = max(q.credit-item.Expected, 0)
	}
}

// Pop removes the next item and counts it as a running call of its team; slots is the number of all slots.
func (q *Queue) Pop(slots int) *Item {
	item := q.Peek(slots)
	if item == nil {
		return nil
	}
	if !q.Fifo {
		q.updateCredit(item, q.first(slots, false))
	}
	q.Remove(item)
	q.Started(item.Team)
	return item
}

// Started counts one more running call of a team.
func (q *Queue) Started(name citron.Team) {
	q.team(name).inUse++
}

// Ended counts one running call of a team as ended.
func (q *Queue) Ended(name citron.Team) {
	q.team(name).inUse--
}

// RemoveExpired removes and returns every item that can no longer start in time.
func (q *Queue) RemoveExpired(now time.Duration) (late []*Item) {
	for _, t := range q.teams {
		for u := range t.subqueues {
			s := &t.subqueues[u]
			late = append(late, q.removeExpiredIn(s, now)...)
		}
	}
	return late
}

// removeExpiredIn removes and returns the items of one subqueue that can no longer start in time.
func (q *Queue) removeExpiredIn(s *subqueue, now time.Duration) (late []*Item) {
	if !q.Fifo && (len(s.items) == 0 || s.items[0].LatestStart >= now) {
		return nil
	}
	for _, item := range s.items {
		if item.LatestStart < now {
			late = append(late, item)
		}
	}
	for _, item := range late {
		q.Remove(item)
	}
	return late
}

// EstimateWait returns the estimated wait of a new item of an urgency; slots is the number of all slots.
func (q *Queue) EstimateWait(urgency tmpl.Urgency, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	var ahead time.Duration
	for u := tmpl.Urgent; u <= urgency; u++ {
		ahead += q.work[u]
	}
	if q.Fifo {
		ahead = q.work[tmpl.Urgent]
	}
	return ahead / time.Duration(slots)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.count
}

// Bytes returns the total size of all waiting items.
func (q *Queue) Bytes() int64 {
	return q.bytes
}

// before reports whether a is served before b.
func (q *Queue) before(a, b *Item, slots int, lowest bool) bool {
	if q.Fifo {
		return a.seq < b.seq
	}
	if lowest && a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	ta, tb := q.teams[a.Team], q.teams[b.Team]
	if oa, ob := ta.overShare(slots), tb.overShare(slots); oa != ob {
		return !oa
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if ra, rb := ta.relativeUse(), tb.relativeUse(); a.Team != b.Team && ra != rb {
		return ra < rb
	}
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.seq < b.seq
}

// team returns the state of a team and creates it if necessary.
func (q *Queue) team(name citron.Team) *team {
	if q.teams == nil {
		q.teams = map[citron.Team]*team{}
	}
	t, ok := q.teams[name]
	if !ok {
		t = &team{}
		for u := range t.subqueues {
			t.subqueues[u] = subqueue{team: name, urgency: tmpl.Urgency(u)}
		}
		q.teams[name] = t
	}
	return t
}

// updateTotals adds item to the totals (sign 1) or subtracts it (sign -1).
func (q *Queue) updateTotals(item *Item, sign int) {
	q.work[item.Urgency] += time.Duration(sign) * item.Expected
	q.count += sign
	q.bytes += int64(sign) * item.Bytes
}

// overShare reports whether the team uses its share of the slots or more.
func (t *team) overShare(slots int) bool {
	return t.share > 0 && float64(t.inUse) >= t.share*float64(slots)
}

// relativeUse returns the team's running calls in proportion to its share.
func (t *team) relativeUse() float64 {
	if t.share <= 0 {
		return float64(t.inUse)
	}
	return float64(t.inUse) / t.share
}

// subqueueHeap implements heap.Interface for a subqueue.
type subqueueHeap struct {
	*subqueue
	fifo bool
}

func (h *subqueueHeap) Len() int { return len(h.items) }

func (h *subqueueHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.fifo || a.LatestStart == b.LatestStart {
		return a.seq < b.seq
	}
	return a.LatestStart < b.LatestStart
}

func (h *subqueueHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index = i
	h.items[j].index = j
}

func (h *subqueueHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(h.items)
	h.items = append(h.items, item)
}

func (h *subqueueHeap) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return item
}
