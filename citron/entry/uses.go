package entry

import (
	"math"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/pool"
)

// useInterval is the period at which the holder logs what the pool uses. The waits of the shortest jobs are of that order.
const useInterval = time.Second

// uses sums up the plans since the last log lines. The zero value works.
type uses struct {
	mu       sync.Mutex
	loggedAt time.Duration
	plans    int
	// took is the time spent on plans, stored the time until their records were stored; longest and longestStored are the most
	// for one plan.
	took, stored           time.Duration
	longest, longestStored time.Duration
	processor              processor
}

// planned counts a plan.
func (u *uses) planned(took, stored time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.plans++
	u.took, u.stored = u.took+took, u.stored+stored
	u.longest, u.longestStored = max(u.longest, took), max(u.longestStored, stored)
}

// next returns the sums and begins anew, if the interval has passed.
func (u *uses) next(now time.Duration) (sums event.Fields, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now-u.loggedAt < useInterval {
		return nil, false
	}
	sums = event.Fields{
		"Plans": u.plans, "PlansMs": u.took.Milliseconds(), "LongestPlanMs": u.longest.Milliseconds(),
		"StoresMs": u.stored.Milliseconds(), "LongestStoreMs": u.longestStored.Milliseconds(),
	}
	use := u.processor.next()
	sums["ProcessorMs"], sums["SchedulingDelayMs"], sums["LockWaitMs"] = use.Used.Milliseconds(), use.Delay.Milliseconds(), use.LockWait.Milliseconds()
	u.loggedAt, u.plans, u.took, u.stored, u.longest, u.longestStored = now, 0, 0, 0, 0, 0
	return sums, true
}

// logUse logs, as the holder, what each queue waits for and uses, and how long plans and the policy service take.
func (d *Daemon) logUse() {
	p := d.heldPool()
	if p == nil {
		return
	}
	now := d.Timer.Now().Boot
	fields, due := d.uses.next(now)
	if !due {
		return
	}
	u := p.UseByQueue(now)
	for _, q := range u.Queues {
		d.Log.Emit(event.QueueUse, queueUseFields(&q))
	}
	daemons, waiting := d.balancer.Backlog(now)
	fields["Daemons"], fields["AdviceWaitMs"] = daemons, (waiting / time.Duration(max(daemons, 1))).Milliseconds()
	fields["Cores"], fields["FreeCores"] = u.Capacity.MilliCores/1000, u.Free.MilliCores/1000
	d.Log.Emit(event.PoolUse, fields)
}

// queueUseFields returns the fields of a log line, without those that are 0.
func queueUseFields(q *pool.QueueUse) event.Fields {
	fields := event.Fields{"Queue": string(q.Queue)}
	for l, name := range pool.LatenessNames {
		for key, value := range map[string]int{
			"Waiting": q.Waiting[l], "Advised": q.Advised[l], "Cores": int(math.Round(q.Cores[l])),
			"Starts": q.Starts[l], "AdviceMs": int(q.Advice[l].Milliseconds()),
		} {
			if value != 0 {
				fields[key+name] = value
			}
		}
	}
	return fields
}
