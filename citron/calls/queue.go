package calls

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/queue"
	"github.com/citroncross/citroncross/citron/slots"
)

const (
	// expireInterval is how often calls that can no longer start in time are refused.
	expireInterval = 20 * time.Millisecond
	// countSlotsRounds is the number of expiry rounds between two counts of the slots in the cell.
	countSlotsRounds = 10
	// minRetryAfter is the minimum retry delay sent to refused callers.
	minRetryAfter = 100 * time.Millisecond
	// runTimeWeight is the weight of a new run time in the moving average.
	runTimeWeight = 0.1
	// initialRunTimeShare is the fraction of the run bound that is expected before the first run ends.
	initialRunTimeShare = 0.25
)

// assignment is the slot assigned to a waiting call, or its expiry.
type assignment struct {
	slot slots.Slot
	// remote is the daemon that has the slot; zero for a local one.
	remote citron.Member
	// offer is the id of the offer if remote has reserved a slot for the call.
	offer string
	// expired is set if the call can no longer start in time.
	expired bool
}

// waitingCall is a call in a service queue.
type waitingCall struct {
	request *Request
	// avoid lists the endpoints that have failed the call.
	avoid []citron.Endpoint
	// localOnly calls use no slots of other daemons.
	localOnly bool
	assigned  chan assignment
	item      *queue.Item
}

// serviceQueue holds the waiting calls of one service under its own lock.
type serviceQueue struct {
	calls   *Service
	service citron.Service

	mu    sync.Mutex
	queue queue.Queue
	// runTimes is the moving average of run times by class.
	runTimes map[classKey]time.Duration
	// cellSlots is the number of slots of the service in the cell, queueSlots the share that serves this queue.
	cellSlots, queueSlots int
	// demands holds the calls that wait on other daemons.
	demands map[citron.VMName]*demand
	// demandSent is the time of the last announcement of demand to other daemons.
	demandSent time.Duration
}

type classKey struct {
	team  citron.Team
	class citron.Class
}

func newServiceQueue(s *Service, service citron.Service) *serviceQueue {
	q := &serviceQueue{
		calls:    s,
		service:  service,
		queue:    queue.Queue{Fifo: s.Options.Fifo},
		runTimes: map[classKey]time.Duration{},
		demands:  map[citron.VMName]*demand{},
	}
	q.countSlots()
	return q
}

// enqueue queues a call or refuses it immediately.
func (q *serviceQueue) enqueue(c *waitingCall) *citron.Refusal {
	now := q.calls.Timer.Now().Boot
	q.mu.Lock()
	defer q.mu.Unlock()
	expected := q.expectedRunTime(c.request)
	c.item = &queue.Item{
		Team:        c.request.Team,
		Urgency:     c.request.class.Urgency,
		LatestStart: c.request.Deadline.Boot - expected,
		Expected:    expected,
		Bytes:       int64(len(c.request.Body)),
		Payload:     c,
	}
	q.queue.SetShare(c.request.Team, q.slotShare(c.request.Team))
	wait := q.queue.EstimateWait(c.request.class.Urgency, q.queueSlots)
	if c.item.LatestStart < now {
		return citron.NewNotRunRefusal(citron.RefusalDeadlineTooNear, 0,
			"the deadline leaves %v, a run takes about %v; allow more time", c.request.Deadline.Boot-now, expected)
	}
	if q.cellSlots == 0 {
		return citron.NewNotRunRefusal(citron.RefusalNoEndpoint, time.Second, "service %q has no endpoint in use at the moment", q.service)
	}
	if now+wait > c.item.LatestStart {
		return citron.NewNotRunRefusal(citron.RefusalDeadlineTooNear, q.retryAfter(now+wait-c.item.LatestStart),
			"the queue is about %v long, longer than the deadline allows", wait)
	}
	if q.queue.Len() >= q.calls.Options.QueuedCalls || q.queue.Bytes()+c.item.Bytes > q.calls.Options.QueuedBytes {
		return citron.NewNotRunRefusal(citron.RefusalQueueFull, q.retryAfter(wait), "the queue is full")
	}
	q.queue.Push(c.item)
	return nil
}

// requeue returns a call whose attempt did not succeed to its former place in the queue.
func (q *serviceQueue) requeue(c *waitingCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Push(c.item)
}

// remove removes a call from the queue. It reports false if the call has already been assigned.
func (q *serviceQueue) remove(c *waitingCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Remove(c.item)
}

// dispatch assigns free slots to waiting calls and expires those that can no longer start in time.
func (q *serviceQueue) dispatch() {
	now := q.calls.Timer.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, item := range q.queue.RemoveExpired(now.Boot) {
		item.Payload.(*waitingCall).assigned <- assignment{expired: true}
	}
	for {
		item := q.queue.Peek(q.cellSlots)
		if q.offerSlot(now, item) {
			continue
		}
		if item == nil {
			return
		}
		a, ok := q.findSlot(now, item.Payload.(*waitingCall))
		if !ok {
			q.announceDemand(now, item)
			return
		}
		q.queue.Pop(q.cellSlots)
		item.Payload.(*waitingCall).assigned <- a
	}
}

// findSlot acquires a free slot in this daemon's shards or, if there is none, reserves one on the daemon with the most
// free slots.
func (q *serviceQueue) findSlot(now citron.Instant, c *waitingCall) (assignment, bool) {
	slot, ok := q.calls.Slots.Acquire(q.service, now.Boot, c.avoid, q.calls.Owner.MayAct)
	if ok {
		return assignment{slot: slot}, true
	}
	if c.localOnly || q.calls.Options.NoForward {
		return assignment{}, false
	}
	to, ok := q.calls.Members.ReserveSlot(now, q.service, q.calls.Self.VM)
	return assignment{remote: to}, ok
}

// endCall counts a call of a team as ended and dispatches waiting calls.
func (q *serviceQueue) endCall(team citron.Team) {
	q.mu.Lock()
	q.queue.Ended(team)
	q.mu.Unlock()
	q.dispatch()
}

// recordRunTime adds a run time to the moving average of its class.
func (q *serviceQueue) recordRunTime(request *Request, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.expectedRunTime(request)
	q.runTimes[classKey{request.Team, request.Class}] = old + time.Duration(runTimeWeight*float64(took-old))
}

// expectedRunTime returns the moving average of a class, or an estimate before its first run. The lock is held.
func (q *serviceQueue) expectedRunTime(request *Request) time.Duration {
	d, ok := q.runTimes[classKey{request.Team, request.Class}]
	if !ok {
		d = min(time.Duration(initialRunTimeShare*float64(request.class.RunBound)), request.class.Deadline/4)
	}
	return d
}

// slotShare returns the share of slots in a team's quota.
func (q *serviceQueue) slotShare(team citron.Team) float64 {
	t, ok := q.calls.Templates.Get(team)
	if !ok {
		return 0
	}
	return t.Compiled.Quota.SlotShare
}

func (q *serviceQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}

// countSlots updates cellSlots and queueSlots.
func (q *serviceQueue) countSlots() {
	now := q.calls.Timer.Now()
	own := q.calls.Slots.Loads(now.Boot, q.calls.Owner.MayAct)[q.service].Slots
	others, daemons := q.calls.Members.Totals(now, q.service, q.calls.Self.VM)
	if q.calls.Options.NoForward {
		others, daemons = 0, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cellSlots = own + others
	q.queueSlots = (q.cellSlots + daemons) / (daemons + 1)
}

// retryAfter returns the retry delay for a refused caller.
func (q *serviceQueue) retryAfter(d time.Duration) time.Duration {
	return max(d, minRetryAfter)
}
