// Package slots counts what each endpoint has been given, so that none gets more than it can hold.
package slots

import (
	"sort"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// DefaultSettle is how long bytes of a call that was given up can still be on their way.
	DefaultSettle = time.Second
	// ejectAfter is the number of failures in a row that takes an endpoint out of the choice.
	ejectAfter = 3
	// ejectFor is how long it is left out; a single probe follows.
	ejectFor = 2 * time.Second
)

// Spec describes an endpoint as the platform lists it.
type Spec struct {
	Name          citron.Endpoint
	Address       string
	Service       citron.Service
	FailureDomain citron.FailureDomain
	Shard         citron.ShardID
	// Slots is the number of calls that the endpoint can run at once.
	Slots int
	// Connections is the number of connections that the endpoint takes.
	Connections int
	// Leaving endpoints get no new call.
	Leaving bool
}

// Slot is one slot of one endpoint.
type Slot struct {
	Endpoint citron.Endpoint
	Address  string
	Shard    citron.ShardID
}

// hold is a slot whose call was given up or belonged to a former owner.
type hold struct {
	since time.Duration
	until time.Duration
}

type endpoint struct {
	Spec
	gone     bool
	active   int
	holds    []hold
	failures int
	ejected  time.Duration
}

// group is the endpoints of one shard under one lock.
type group struct {
	id citron.ShardID

	mu        sync.Mutex
	owned     bool
	endpoints map[citron.Endpoint]*endpoint
}

// Table holds the endpoints of every shard. The zero value is empty.
type Table struct {
	// Settle is how long bytes of a call that was given up can still be on their way; 0 stands for DefaultSettle.
	Settle time.Duration

	mu     sync.RWMutex
	groups map[citron.ShardID]*group
	// list holds the same groups; it is replaced, never changed.
	list []*group
}

// SetEndpoints takes in the platform's list. Endpoints that are no longer listed get nothing new.
func (t *Table) SetEndpoints(specs []Spec) {
	listed := map[citron.Endpoint]bool{}
	for _, s := range specs {
		listed[s.Name] = true
		t.group(s.Shard).set(s)
	}
	for _, g := range t.all() {
		g.unlist(listed)
	}
}

// Adopt starts the ownership of a shard. Every slot counts as taken until evidence or until bound has passed.
func (t *Table) Adopt(shard citron.ShardID, now, bound time.Duration) {
	g := t.group(shard)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owned = true
	for _, e := range g.endpoints {
		e.holds = e.holds[:0]
		for range e.limit() - e.active {
			e.holds = append(e.holds, hold{since: now, until: now + bound})
		}
	}
}

// Drop ends the ownership of a shard.
func (t *Table) Drop(shard citron.ShardID) {
	g := t.group(shard)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owned = false
}

// Acquire takes a slot of the least loaded endpoint of a service. Endpoints in avoid are left out, and shards
// for which mayAct is false.
func (t *Table) Acquire(service citron.Service, now time.Duration, avoid []citron.Endpoint, mayAct func(citron.ShardID) bool) (Slot, bool) {
	for range 2 {
		var best *group
		free := 0
		for _, g := range t.all() {
			if n := g.best(service, now, avoid); n > free && mayAct(g.id) {
				best, free = g, n
			}
		}
		if best == nil {
			return Slot{}, false
		}
		if grant, ok := best.take(service, now, avoid); ok {
			return grant, true
		}
	}
	return Slot{}, false
}

// Free gives a slot back on evidence that its call has ended. Failed says that the call did not succeed.
func (t *Table) Free(grant Slot, now time.Duration, failed bool) {
	t.with(grant, func(e *endpoint) {
		e.active--
		e.judge(now, failed)
	})
}

// MarkInDoubt gives up a call without evidence; its slot stays taken until evidence or until its run must have ended.
func (t *Table) MarkInDoubt(grant Slot, now, runEnds time.Duration) {
	settle := t.settle()
	t.with(grant, func(e *endpoint) {
		e.active--
		e.holds = append(e.holds, hold{since: now, until: runEnds + settle})
		e.judge(now, true)
	})
}

// ApplyReport takes in an endpoint's own count of running calls, asked for at asked. Calls given up since shortly
// before are not judged by it.
func (t *Table) ApplyReport(shard citron.ShardID, name citron.Endpoint, asked time.Duration, inFlight int) {
	settle := t.settle()
	t.with(Slot{Endpoint: name, Shard: shard}, func(e *endpoint) {
		sort.Slice(e.holds, func(i, j int) bool { return e.holds[i].until > e.holds[j].until })
		kept := e.holds[:0]
		for _, h := range e.holds {
			if asked-h.since < settle || inFlight > 0 {
				kept = append(kept, h)
				inFlight--
			}
		}
		e.holds = kept
	})
}

// Remaining returns how many calls are or may be running at each endpoint of a shard that is owned no more. It
// reports false while the shard is owned.
func (t *Table) Remaining(shard citron.ShardID, now time.Duration) (map[citron.Endpoint]int, bool) {
	g := t.group(shard)
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining := make(map[citron.Endpoint]int, len(g.endpoints))
	for name, e := range g.endpoints {
		e.expire(now)
		remaining[name] = e.active + len(e.holds)
	}
	return remaining, !g.owned
}

// ApplyRemaining takes in what a former owner says of the calls that it still has. It is the only one that can have any.
func (t *Table) ApplyRemaining(shard citron.ShardID, remaining map[citron.Endpoint]int) {
	for name, n := range remaining {
		t.with(Slot{Endpoint: name, Shard: shard}, func(e *endpoint) {
			e.holds = e.holds[:min(n, len(e.holds))]
		})
	}
}

// SlotsByService returns the slots of one shard by service.
func (t *Table) SlotsByService(shard citron.ShardID) map[citron.Service]int {
	g := t.group(shard)
	g.mu.Lock()
	defer g.mu.Unlock()
	total := map[citron.Service]int{}
	for _, e := range g.endpoints {
		if !e.gone && !e.Leaving {
			total[e.Service] += e.limit()
		}
	}
	return total
}

// InDoubt lists the endpoints of owned shards that have slots without evidence.
func (t *Table) InDoubt(now time.Duration) (held []Slot) {
	for _, g := range t.all() {
		g.mu.Lock()
		for _, e := range g.endpoints {
			if e.expire(now); g.owned && len(e.holds) > 0 && !e.gone {
				held = append(held, Slot{Endpoint: e.Name, Address: e.Address, Shard: g.id})
			}
		}
		g.mu.Unlock()
	}
	return held
}

// Load is the room of one service in the shards that this daemon owns.
type Load struct {
	Slots int
	Free  int
}

// Loads returns the room by service.
func (t *Table) Loads(now time.Duration, mayAct func(citron.ShardID) bool) map[citron.Service]Load {
	loads := map[citron.Service]Load{}
	for _, g := range t.all() {
		if !mayAct(g.id) {
			continue
		}
		g.mu.Lock()
		for _, e := range g.endpoints {
			l := loads[e.Service]
			if g.owned && !e.Leaving && !e.gone {
				l.Slots += e.limit()
				l.Free += e.free(now)
			}
			loads[e.Service] = l
		}
		g.mu.Unlock()
	}
	return loads
}

func (t *Table) settle() time.Duration {
	if t.Settle == 0 {
		return DefaultSettle
	}
	return t.Settle
}

func (t *Table) with(grant Slot, f func(*endpoint)) {
	g := t.group(grant.Shard)
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.endpoints[grant.Endpoint]; ok {
		f(e)
	}
}

func (t *Table) group(id citron.ShardID) *group {
	t.mu.RLock()
	g, ok := t.groups[id]
	t.mu.RUnlock()
	if ok {
		return g
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.groups == nil {
		t.groups = map[citron.ShardID]*group{}
	}
	if g, ok = t.groups[id]; !ok {
		g = &group{id: id, endpoints: map[citron.Endpoint]*endpoint{}}
		t.groups[id] = g
		t.list = append(t.list[:len(t.list):len(t.list)], g)
	}
	return g
}

func (t *Table) all() []*group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list
}

func (g *group) set(s Spec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.endpoints[s.Name]
	if !ok {
		e = &endpoint{}
		g.endpoints[s.Name] = e
	}
	e.Spec = s
	e.gone = false
}

func (g *group) unlist(listed map[citron.Endpoint]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, e := range g.endpoints {
		e.gone = !listed[name]
		if e.gone && e.active == 0 {
			delete(g.endpoints, name)
		}
	}
}

// best returns the free slots of the endpoint that take would choose.
func (g *group) best(service citron.Service, now time.Duration, avoid []citron.Endpoint) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, free := g.choose(service, now, avoid)
	return free
}

func (g *group) take(service citron.Service, now time.Duration, avoid []citron.Endpoint) (Slot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, free := g.choose(service, now, avoid)
	if free == 0 {
		return Slot{}, false
	}
	e.active++
	return Slot{Endpoint: e.Name, Address: e.Address, Shard: e.Shard}, true
}

func (g *group) choose(service citron.Service, now time.Duration, avoid []citron.Endpoint) (best *endpoint, free int) {
	if !g.owned {
		return nil, 0
	}
	for _, e := range g.endpoints {
		if e.Service != service || contains(avoid, e.Name) {
			continue
		}
		if n := e.free(now); n > free {
			best, free = e, n
		}
	}
	return best, free
}

func (e *endpoint) limit() int {
	return min(e.Slots, e.Connections)
}

func (e *endpoint) free(now time.Duration) int {
	if e.Leaving || e.gone {
		return 0
	}
	e.expire(now)
	free := e.limit() - e.active - len(e.holds)
	if e.failures >= ejectAfter {
		if now < e.ejected || e.active > 0 {
			return 0
		}
		return min(free, 1)
	}
	return max(free, 0)
}

func (e *endpoint) expire(now time.Duration) {
	kept := e.holds[:0]
	for _, h := range e.holds {
		if now < h.until {
			kept = append(kept, h)
		}
	}
	e.holds = kept
}

func (e *endpoint) judge(now time.Duration, failed bool) {
	if !failed {
		e.failures = 0
		return
	}
	e.failures++
	e.ejected = now + ejectFor
}

func contains(list []citron.Endpoint, name citron.Endpoint) bool {
	for _, l := range list {
		if l == name {
			return true
		}
	}
	return false
}
