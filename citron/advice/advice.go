// Package advice balances requests to the policy service across the daemons. The service answers each daemon's requests
// one at a time, so a long request delays the short ones behind it by its full cost.
package advice

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// longRequest is the minimum cost of a long request.
	longRequest = 150 * time.Millisecond
	// longRequestShare is the share of the daemons that receive long requests, so that short ones find a free daemon.
	longRequestShare = 0.67
	// maxBacklog is the maximum waiting time at a daemon at which it is still assigned a long request.
	maxBacklog = 1200 * time.Millisecond
	// maxShortBacklog is the same limit for short requests, of which there are many.
	maxShortBacklog = 400 * time.Millisecond
)

// Balancer tracks the requests assigned to each daemon. The zero value has no daemons.
type Balancer struct {
	mu      sync.Mutex
	daemons []citron.VMName
	// busyUntil is when each daemon's assigned requests are expected to be answered.
	busyUntil map[citron.VMName]time.Duration
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
// every daemon is too long; the request should then be deferred until it is known whether it is still needed.
func (b *Balancer) Assign(now, cost time.Duration) (vm citron.VMName, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	vm, ok = b.choose(now, cost)
	if ok {
		b.busyUntil[vm] = max(b.busyUntil[vm], now) + cost
	}
	return vm, ok
}

// choose returns the daemon that can answer a request soonest. It requires mu.
func (b *Balancer) choose(now, cost time.Duration) (vm citron.VMName, ok bool) {
	best := maxShortBacklog
	if cost >= longRequest {
		best = maxBacklog
	}
	for n, candidate := range b.daemons {
		if cost >= longRequest && float64(n) >= longRequestShare*float64(len(b.daemons)) && len(b.daemons) > 1 {
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
func (b *Balancer) Available(now, cost time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.choose(now, cost)
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
