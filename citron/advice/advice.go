// Package advice balances requests to the policy service across the daemons. The service answers each daemon's requests
// one at a time, so a long request delays the short ones behind it by its full cost.
package advice

import (
	"math"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// longRequest is the minimum cost of a long request.
	longRequest = 150 * time.Millisecond
	// minReservedShare is the share of the daemons that receive no long requests, so that short ones find a free daemon. Short
	// requests that are not urgent count as long while there are urgent ones: beside bursts they come by the hundred.
	// maxReservedShare is the largest such share, while urgent requests come faster than those daemons can send them.
	minReservedShare = 0.33
	maxReservedShare = 0.75
	// The share grows by shareStep after an urgent request that must wait for longer than maxUrgentWait, a tenth of the shortest
	// target latency of the loads of today, and shrinks by it after one that need not; at most once in shareGrowth and shareDecay.
	shareStep     = 0.03
	maxUrgentWait = 25 * time.Millisecond
	shareGrowth   = 10 * time.Millisecond
	shareDecay    = 50 * time.Millisecond
	// urgentMemory is how long daemons are kept free for urgent requests after the last one, longer than the pauses between them in
	// the loads of today.
	urgentMemory = 5 * time.Second
	// maxBacklog is the maximum waiting time at a daemon at which it is still assigned a long request.
	maxBacklog = 1200 * time.Millisecond
	// maxShortBacklog is the same limit for short requests, of which there are many.
	maxShortBacklog = 400 * time.Millisecond
)

// IsLong reports whether a request of a given cost is a long one.
func IsLong(cost time.Duration) bool { return cost >= longRequest }

// Balancer tracks the requests assigned to each daemon. The zero value has no daemons.
type Balancer struct {
	mu      sync.Mutex
	daemons []citron.VMName
	// busyUntil is when each daemon's assigned requests are expected to be answered.
	busyUntil map[citron.VMName]time.Duration
	// urgentAt is when a short urgent request was last assigned, 0 if none was.
	urgentAt time.Duration
	// reserved is the share of the daemons kept for short requests, 0 for minReservedShare; adaptedAt is when it last changed.
	reserved  float64
	adaptedAt time.Duration
}

// SetDaemons sets the live daemons in order of preference; only the first ones receive long requests.
func (b *Balancer) SetDaemons(vms []citron.VMName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = append(b.daemons[:0], vms...)
	if b.busyUntil == nil {
		b.busyUntil = map[citron.VMName]time.Duration{}
	}
}

// Assign picks the daemon that can answer a request of a given cost soonest. It returns false if the waiting time at
// every daemon is too long; the request should then be deferred until it is known whether it is still needed. Urgent requests are
// those of jobs with little time to wait: others leave daemons free for them.
func (b *Balancer) Assign(now, cost time.Duration, urgent bool) (vm citron.VMName, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if urgent && !IsLong(cost) {
		b.urgentAt = now
	}
	vm, ok = b.choose(now, cost, urgent)
	if ok {
		if urgent && !IsLong(cost) {
			b.adaptShare(now, b.busyUntil[vm]-now)
		}
		b.busyUntil[vm] = max(b.busyUntil[vm], now) + cost
	}
	return vm, ok
}

// reservedShare returns the share of the daemons that is kept for short requests.
func (b *Balancer) reservedShare() float64 { return max(b.reserved, minReservedShare) }

// adaptShare changes the share of the daemons kept for short requests after an urgent one has been assigned that must wait. It
// requires mu.
func (b *Balancer) adaptShare(now, wait time.Duration) {
	switch {
	case wait > maxUrgentWait && now-b.adaptedAt >= shareGrowth:
		b.reserved = min(b.reservedShare()+shareStep, maxReservedShare)
	case wait <= maxUrgentWait && now-b.adaptedAt >= shareDecay:
		b.reserved = max(b.reservedShare()-shareStep, minReservedShare)
	default:
		return
	}
	b.adaptedAt = now
}

// choose returns the daemon that can answer a request soonest. It requires mu.
func (b *Balancer) choose(now, cost time.Duration, urgent bool) (vm citron.VMName, ok bool) {
	best := maxShortBacklog
	if IsLong(cost) {
		best = maxBacklog
	}
	free := int(math.Ceil((1 - b.reservedShare()) * float64(len(b.daemons))))
	delaysUrgent := IsLong(cost) || !urgent && b.urgentAt > 0 && now-b.urgentAt < urgentMemory
	for n, candidate := range b.daemons {
		if delaysUrgent && n >= free && len(b.daemons) > 1 {
			break
		}
		if wait := max(b.busyUntil[candidate]-now, 0); wait < best {
			best, vm, ok = wait, candidate, true
		}
	}
	return vm, ok
}

// Backlog returns the number of daemons and the sum of their waiting times.
func (b *Balancer) Backlog(now time.Duration) (daemons int, waiting time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, vm := range b.daemons {
		waiting += max(b.busyUntil[vm]-now, 0)
	}
	return len(b.daemons), waiting
}

// Available reports whether Assign would assign a request of a given cost.
func (b *Balancer) Available(now, cost time.Duration, urgent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.choose(now, cost, urgent)
	return ok
}

// RecordResult records that a request has been answered or has failed. Only a failure affects later assignments.
func (b *Balancer) RecordResult(vm citron.VMName, now, cost time.Duration, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed && b.busyUntil != nil {
		// A daemon that has failed counts as busy for the cost of the request, so others are preferred meanwhile.
		b.busyUntil[vm] = max(b.busyUntil[vm], now+cost)
	}
}
