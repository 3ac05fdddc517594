// Package queue orders waiting calls by claim, urgency and slack, and says who cannot be served in time.
package queue

import (
	"container/heap"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

const (
	// lowerShare is the part of the slot time, as a divisor, that goes to the least urgent waiting work even while
	// more urgent work waits.
	lowerShare = 16
	// maxCredit bounds the slot time that less urgent work can save up.
	maxCredit = time.Minute
)

// Item is one waiting call. Times are on the boot clock.
type Item struct {
	Team    citron.Team
	Urgency tmpl.Urgency
	// LatestStart is the deadline less the expected run time.
	LatestStart time.Duration
	// Expected is the expected run time.
	Expected time.Duration
	Bytes    int64
	// Payload is the owner's own data.
	Payload any

	index int
	lane  *lane
	seq   uint64
}

// lane holds the waiting items of one team and urgency, least slack first.
type lane struct {
	team    citron.Team
	urgency tmpl.Urgency
	items   []*Item
}

// team is what the queue knows of one team.
type team struct {
	lanes [tmpl.Urgencies]lane
	inUse int
	share float64
}

// Queue is the waiting room of one service in one daemon. The zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	// Fifo makes the queue first in, first out; it is the baseline of the measurements.
	Fifo bool

	teams map[citron.Team]*team
	// work is the expected run time of all waiting items by urgency.
	work  [tmpl.Urgencies]time.Duration
	count int
	bytes int64
	seq   uint64
	// credit is the slot time that the least urgent waiting work has a right to.
	credit time.Duration
}

// SetShare sets the part of the slots that a team may claim, from 0 to 1; 0 stands for no bound.
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
	l := &q.team(item.Team).lanes[item.Urgency]
	item.lane = l
	heap.Push(&ordered{l, q.Fifo}, item)
	q.note(item, 1)
}

// Remove takes an item out before its turn. It reports whether the item was waiting.
func (q *Queue) Remove(item *Item) bool {
	if item.lane == nil {
		return false
	}
	heap.Remove(&ordered{item.lane, q.Fifo}, item.index)
	item.lane = nil
	q.note(item, -1)
	return true
}

// Peek returns the item that the next Pop returns for slots slots in all, or nil.
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

// first returns the item that goes before all others. Lowest turns the order of urgencies round.
func (q *Queue) first(slots int, lowest bool) (best *Item) {
	for _, t := range q.teams {
		for u := range t.lanes {
			l := &t.lanes[u]
			if len(l.items) > 0 && (best == nil || q.before(l.items[0], best, slots, lowest)) {
				best = l.items[0]
			}
		}
	}
	return best
}

// charge keeps the account of slot time between urgent and less urgent work.
func (q *Queue) charge(item *Item, best *Item) {
	q.credit = min(q.credit+item.Expected/lowerShare, maxCredit)
	if item.Urgency > best.Urgency {
		q.credit = max(q.credit-item.Expected, 0)
	}
}

// Pop takes out the next item for slots slots in all and counts it as in use by its team.
func (q *Queue) Pop(slots int) *Item {
	item := q.Peek(slots)
	if item == nil {
		return nil
	}
	if !q.Fifo {
		q.charge(item, q.first(slots, false))
	}
	q.Remove(item)
	q.Started(item.Team)
	return item
}

// Started counts one more running call of a team.
func (q *Queue) Started(name citron.Team) {
	q.team(name).inUse++
}

// Ended counts one running call of a team less.
func (q *Queue) Ended(name citron.Team) {
	q.team(name).inUse--
}

// RemoveExpired takes out every item that can no longer start in time.
func (q *Queue) RemoveExpired(now time.Duration) (late []*Item) {
	for _, t := range q.teams {
		for u := range t.lanes {
			l := &t.lanes[u]
			late = append(late, q.expiredIn(l, now)...)
		}
	}
	return late
}

func (q *Queue) expiredIn(l *lane, now time.Duration) (late []*Item) {
	if !q.Fifo && (len(l.items) == 0 || l.items[0].LatestStart >= now) {
		return nil
	}
	for _, item := range l.items {
		if item.LatestStart < now {
			late = append(late, item)
		}
	}
	for _, item := range late {
		q.Remove(item)
	}
	return late
}

// EstimateWait estimates how long a new item of an urgency waits with slots slots in all.
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

// Bytes returns the size of all waiting items.
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
	if oa, ob := ta.over(slots), tb.over(slots); oa != ob {
		return !oa
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if ra, rb := ta.ratio(), tb.ratio(); a.Team != b.Team && ra != rb {
		return ra < rb
	}
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.seq < b.seq
}

func (q *Queue) team(name citron.Team) *team {
	if q.teams == nil {
		q.teams = map[citron.Team]*team{}
	}
	t, ok := q.teams[name]
	if !ok {
		t = &team{}
		for u := range t.lanes {
			t.lanes[u] = lane{team: name, urgency: tmpl.Urgency(u)}
		}
		q.teams[name] = t
	}
	return t
}

func (q *Queue) note(item *Item, sign int) {
	q.work[item.Urgency] += time.Duration(sign) * item.Expected
	q.count += sign
	q.bytes += int64(sign) * item.Bytes
}

// over reports whether the team runs at or past its claim.
func (t *team) over(slots int) bool {
	return t.share > 0 && float64(t.inUse) >= t.share*float64(slots)
}

// ratio is the team's use in proportion to its claim.
func (t *team) ratio() float64 {
	if t.share <= 0 {
		return float64(t.inUse)
	}
	return float64(t.inUse) / t.share
}

// ordered is the heap view of a lane.
type ordered struct {
	*lane
	fifo bool
}

func (o *ordered) Len() int { return len(o.items) }

func (o *ordered) Less(i, j int) bool {
	a, b := o.items[i], o.items[j]
	if o.fifo || a.LatestStart == b.LatestStart {
		return a.seq < b.seq
	}
	return a.LatestStart < b.LatestStart
}

func (o *ordered) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.items[i].index = i
	o.items[j].index = j
}

func (o *ordered) Push(x any) {
	item := x.(*Item)
	item.index = len(o.items)
	o.items = append(o.items, item)
}

func (o *ordered) Pop() any {
	last := len(o.items) - 1
	item := o.items[last]
	o.items[last] = nil
	o.items = o.items[:last]
	return item
}
