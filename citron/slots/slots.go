// Package slots counts the calls on each endpoint, so that no endpoint gets more calls than it has slots.
package slots

import (
	"sort"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// DefaultSettle is the default of Table.Settle.
	DefaultSettle = time.Second
	// ejectAfter is the number of consecutive failures after which an endpoint is ejected: it gets no calls.
	ejectAfter = 3
	// ejectFor is how long an endpoint is ejected. It then gets a single call as a probe.
	ejectFor = 2 * time.Second
)

// Spec is an endpoint in the platform's list.
type Spec struct {
	Name          citron.Endpoint
	Address       string
	Service       citron.Service
	FailureDomain citron.FailureDomain
	Shard         citron.ShardID
	// Slots is the number of calls that the endpoint can run at once.
	Slots int
	// Connections is the number of connections that the endpoint accepts.
	Connections int
	// Leaving is set if the endpoint accepts no new calls.
	Leaving bool
}

// Slot identifies an endpoint that has a slot acquired or in doubt.
type Slot struct {
	Endpoint citron.Endpoint
	Address  string
	Shard    citron.ShardID
}

// inDoubtSlot is a slot whose call may still be running: the call was abandoned or belongs to a former owner.
type inDoubtSlot struct {
	since time.Duration
	// until is when the call must have ended.
	until time.Duration
}

// endpoint is an endpoint and its use of slots.
type endpoint struct {
	Spec
	// gone is set if the platform no longer lists the endpoint.
	gone bool
	// active is the number of acquired slots.
	active  int
	inDoubt []inDoubtSlot
	// failures is the number of consecutive failures.
	failures     int
	ejectedUntil time.Duration
}

// shardTable holds the endpoints of one shard; mu guards the fields after it.
type shardTable struct {
	id citron.ShardID

	mu        sync.Mutex
	owned     bool
	endpoints map[citron.Endpoint]*endpoint
}

// Table holds the endpoints of every shard. The zero value is empty.
type Table struct {
	// Settle is how long the bytes of an abandoned call may still be in transit; 0 means DefaultSettle.
	Settle time.Duration

	mu      sync.RWMutex
	byShard map[citron.ShardID]*shardTable
	// list holds the values of byShard; it is replaced, never modified.
	list []*shardTable
}

// SetEndpoints updates the endpoints from the platform's list. Endpoints that are no longer listed get no new calls.
func (t *Table) SetEndpoints(specs []Spec) {
	listed := map[citron.Endpoint]bool{}
	for _, s := range specs {
		listed[s.Name] = true
		t.shardTable(s.Shard).setEndpoint(s)
	}
	for _, st := range t.all() {
		st.markUnlisted(listed)
	}
}

// Adopt starts the ownership of a shard. Every free slot is in doubt until a report shows that it is free or until
// bound, the longest run of a call, has passed.
func (t *Table) Adopt(shard citron.ShardID, now, bound time.Duration) {
	st := t.shardTable(shard)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.owned = true
	for _, e := range st.endpoints {
		e.inDoubt = e.inDoubt[:0]
		for range e.limit() - e.active {
			e.inDoubt = append(e.inDoubt, inDoubtSlot{since: now, until: now + bound})
		}
	}
}

// Drop ends the ownership of a shard.
func (t *Table) Drop(shard citron.ShardID) {
	st := t.shardTable(shard)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.owned = false
}

// Acquire acquires a slot of the endpoint of a service that has the most free slots, except endpoints in avoid and
// shards for which mayAct is false.
func (t *Table) Acquire(service citron.Service, now time.Duration, avoid []citron.Endpoint, mayAct func(citron.ShardID) bool) (Slot, bool) {
	// Another call may acquire the chosen slot first; one retry chooses again.
	for range 2 {
		var best *shardTable
		free := 0
		for _, st := range t.all() {
			if n := st.mostFree(service, now, avoid); n > free && mayAct(st.id) {
				best, free = st, n
			}
		}
		if best == nil {
			return Slot{}, false
		}
		if slot, ok := best.acquire(service, now, avoid); ok {
			return slot, true
		}
	}
	return Slot{}, false
}

// Free frees a slot whose call is known to have ended; failed is set if the call failed.
func (t *Table) Free(slot Slot, now time.Duration, failed bool) {
	t.withEndpoint(slot, func(e *endpoint) {
		e.active--
		e.recordResult(now, failed)
	})
}

// MarkInDoubt marks the slot of an abandoned call as in doubt until a report shows that the call has ended, or until
// runEnds, the latest end of its run, and the settle time have passed.
func (t *Table) MarkInDoubt(slot Slot, now, runEnds time.Duration) {
	settle := t.settle()
	t.withEndpoint(slot, func(e *endpoint) {
		e.active--
		e.inDoubt = append(e.inDoubt, inDoubtSlot{since: now, until: runEnds + settle})
		e.recordResult(now, true)
	})
}

// ApplyReport frees the in-doubt slots that exceed inFlight, the endpoint's own count of running calls, requested at
// queriedAt. It keeps those marked less than the settle time before, as their calls may not have arrived yet.
func (t *Table) ApplyReport(shard citron.ShardID, name citron.Endpoint, queriedAt time.Duration, inFlight int) {
	settle := t.settle()
	t.withEndpoint(Slot{Endpoint: name, Shard: shard}, func(e *endpoint) {
		sort.Slice(e.inDoubt, func(i, j int) bool { return e.inDoubt[i].until > e.inDoubt[j].until })
		retained := e.inDoubt[:0]
		for _, s := range e.inDoubt {
			if queriedAt-s.since < settle || inFlight > 0 {
				retained = append(retained, s)
				inFlight--
			}
		}
		e.inDoubt = retained
	})
}

// Remaining returns how many calls are or may be running on each endpoint of a shard, and false while this daemon owns
// the shard.
func (t *Table) Remaining(shard citron.ShardID, now time.Duration) (map[citron.Endpoint]int, bool) {
	st := t.shardTable(shard)
	st.mu.Lock()
	defer st.mu.Unlock()
	remaining := make(map[citron.Endpoint]int, len(st.endpoints))
	for name, e := range st.endpoints {
		e.expire(now)
		remaining[name] = e.active + len(e.inDoubt)
	}
	return remaining, !st.owned
}

// ApplyRemaining limits the in-doubt slots of a shard to the calls that its former owner still has. No other daemon can
// have calls on these endpoints.
func (t *Table) ApplyRemaining(shard citron.ShardID, remaining map[citron.Endpoint]int) {
	for name, n := range remaining {
		t.withEndpoint(Slot{Endpoint: name, Shard: shard}, func(e *endpoint) {
			e.inDoubt = e.inDoubt[:min(n, len(e.inDoubt))]
		})
	}
}

// SlotsByService returns the number of slots of a shard by service.
func (t *Table) SlotsByService(shard citron.ShardID) map[citron.Service]int {
	st := t.shardTable(shard)
	st.mu.Lock()
	defer st.mu.Unlock()
	total := map[citron.Service]int{}
	for _, e := range st.endpoints {
		if !e.gone && !e.Leaving {
			total[e.Service] += e.limit()
		}
	}
	return total
}

// InDoubt returns the endpoints of owned shards that have in-doubt slots.
func (t *Table) InDoubt(now time.Duration) (list []Slot) {
	for _, st := range t.all() {
		st.mu.Lock()
		for _, e := range st.endpoints {
			if e.expire(now); st.owned && len(e.inDoubt) > 0 && !e.gone {
				list = append(list, Slot{Endpoint: e.Name, Address: e.Address, Shard: st.id})
			}
		}
		st.mu.Unlock()
	}
	return list
}

// Load is the number of slots of one service in the shards that this daemon owns.
type Load struct {
	Slots int
	Free  int
}

// Loads returns the load of every service in the shards for which mayAct is true.
func (t *Table) Loads(now time.Duration, mayAct func(citron.ShardID) bool) map[citron.Service]Load {
	loads := map[citron.Service]Load{}
	for _, st := range t.all() {
		if !mayAct(st.id) {
			continue
		}
		st.mu.Lock()
		for _, e := range st.endpoints {
			l := loads[e.Service]
			if st.owned && !e.Leaving && !e.gone {
				l.Slots += e.limit()
				l.Free += e.free(now)
			}
			loads[e.Service] = l
		}
		st.mu.Unlock()
	}
	return loads
}

func (t *Table) settle() time.Duration {
	if t.Settle == 0 {
		return DefaultSettle
	}
	return t.Settle
}

// withEndpoint calls f under lock with the endpoint of a slot, if it is known.
func (t *Table) withEndpoint(slot Slot, f func(*endpoint)) {
	st := t.shardTable(slot.Shard)
	st.mu.Lock()
	defer st.mu.Unlock()
	if e, ok := st.endpoints[slot.Endpoint]; ok {
		f(e)
	}
}

// shardTable returns the table of a shard and creates it if necessary.
func (t *Table) shardTable(id citron.ShardID) *shardTable {
	t.mu.RLock()
	st, ok := t.byShard[id]
	t.mu.RUnlock()
	if ok {
		return st
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byShard == nil {
		t.byShard = map[citron.ShardID]*shardTable{}
	}
	if st, ok = t.byShard[id]; !ok {
		st = &shardTable{id: id, endpoints: map[citron.Endpoint]*endpoint{}}
		t.byShard[id] = st
		t.list = append(t.list[:len(t.list):len(t.list)], st)
	}
	return st
}

func (t *Table) all() []*shardTable {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list
}

func (st *shardTable) setEndpoint(s Spec) {
	st.mu.Lock()
	defer st.mu.Unlock()
	e, ok := st.endpoints[s.Name]
	if !ok {
		e = &endpoint{}
		st.endpoints[s.Name] = e
	}
	e.Spec = s
	e.gone = false
}

// markUnlisted marks the endpoints that are not in listed as gone and deletes those of them without active calls.
func (st *shardTable) markUnlisted(listed map[citron.Endpoint]bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for name, e := range st.endpoints {
		e.gone = !listed[name]
		if e.gone && e.active == 0 {
			delete(st.endpoints, name)
		}
	}
}

// mostFree returns the number of free slots of the endpoint that acquire would choose.
func (st *shardTable) mostFree(service citron.Service, now time.Duration, avoid []citron.Endpoint) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, free := st.choose(service, now, avoid)
	return free
}

func (st *shardTable) acquire(service citron.Service, now time.Duration, avoid []citron.Endpoint) (Slot, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	e, free := st.choose(service, now, avoid)
	if free == 0 {
		return Slot{}, false
	}
	e.active++
	return Slot{Endpoint: e.Name, Address: e.Address, Shard: e.Shard}, true
}

// choose returns the endpoint of a service with the most free slots, or nil and 0 if none has any.
func (st *shardTable) choose(service citron.Service, now time.Duration, avoid []citron.Endpoint) (best *endpoint, free int) {
	if !st.owned {
		return nil, 0
	}
	for _, e := range st.endpoints {
		if e.Service != service || contains(avoid, e.Name) {
			continue
		}
		if n := e.free(now); n > free {
			best, free = e, n
		}
	}
	return best, free
}

// limit returns the number of calls that the endpoint may run at once.
func (e *endpoint) limit() int {
	return min(e.Slots, e.Connections)
}

// free returns the number of slots that may be acquired; an ejected endpoint has at most one, for a probe.
func (e *endpoint) free(now time.Duration) int {
	if e.Leaving || e.gone {
		return 0
	}
	e.expire(now)
	free := e.limit() - e.active - len(e.inDoubt)
	if e.failures >= ejectAfter {
		if now < e.ejectedUntil || e.active > 0 {
			return 0
		}
		return min(free, 1)
	}
	return max(free, 0)
}

// expire frees the in-doubt slots whose calls must have ended.
func (e *endpoint) expire(now time.Duration) {
	retained := e.inDoubt[:0]
	for _, s := range e.inDoubt {
		if now < s.until {
			retained = append(retained, s)
		}
	}
	e.inDoubt = retained
}

// recordResult counts consecutive failures for the ejection of the endpoint.
func (e *endpoint) recordResult(now time.Duration, failed bool) {
	if !failed {
		e.failures = 0
		return
	}
	e.failures++
	e.ejectedUntil = now + ejectFor
}

func contains(list []citron.Endpoint, name citron.Endpoint) bool {
	for _, l := range list {
		if l == name {
			return true
		}
	}
	return false
}
