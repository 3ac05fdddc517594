// Package advice spreads questions to the policy service over the daemons. The service answers each daemon's
// questions one after the other, so a long question before a short one delays the short one by its whole length.
package advice

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// longQuestion is the cost from which a question counts as long.
	longQuestion = 150 * time.Millisecond
	// longShare of the daemons may have long questions waiting, so that short ones find a free daemon.
	longShare = 0.67
	// maxBacklog is the waiting time of a daemon up to which it takes more questions.
	maxBacklog = 1200 * time.Millisecond
	// maxShortBacklog is the same for short questions, which come in numbers.
	maxShortBacklog = 400 * time.Millisecond
)

// Balancer knows what each daemon has been asked to ask. The zero value knows no daemon.
type Balancer struct {
	mu    sync.Mutex
	order []citron.VMName
	// busy is when the questions of each daemon will have been answered.
	busy map[citron.VMName]time.Duration
}

// SetDaemons sets the live daemons.
func (d *Balancer) SetDaemons(vms []citron.VMName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.order = append(d.order[:0], vms...)
	if d.busy == nil {
		d.busy = map[citron.VMName]time.Duration{}
	}
}

// Assign picks the daemon that answers a question of a given cost soonest. It returns false where every daemon has
// enough to do; the question is then better put later, when it is known whether it still matters.
func (d *Balancer) Assign(now, cost time.Duration) (vm citron.VMName, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := maxShortBacklog
	if cost >= longQuestion {
		limit = maxBacklog
	}
	best := limit
	for n, candidate := range d.order {
		if cost >= longQuestion && float64(n) >= longShare*float64(len(d.order)) && len(d.order) > 1 {
			break
		}
		if wait := max(d.busy[candidate]-now, 0); wait < best {
			best, vm, ok = wait, candidate, true
		}
	}
	if !ok {
		return "", false
	}
	d.busy[vm] = max(d.busy[vm], now) + cost
	return vm, true
}

// RecordResult notes that a question has been answered, sooner or later than it was expected to be.
func (d *Balancer) RecordResult(vm citron.VMName, now, cost time.Duration, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if failed && d.busy != nil {
		// A daemon that does not answer is left alone for the time of a few short questions.
		d.busy[vm] = max(d.busy[vm], now+cost)
	}
}
