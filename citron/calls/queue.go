package calls

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/queue"
	"github.com/citroncross/citroncross/citron/slots"
)

const (
	// expireInterval is how often calls that can no longer start in time are answered.
	expireInterval = 20 * time.Millisecond
	// countSlotsRounds is the number of those rounds after which the slots of the cell are counted again.
	countSlotsRounds = 10
	// minRetryAfter is the shortest time after which a refused caller is asked to come back.
	minRetryAfter = 100 * time.Millisecond
	// runTimeWeight is the weight of a new run time in the expected one.
	runTimeWeight = 0.1
	// initialRunTimeShare is the part of the run bound that is expected before any run is known.
	initialRunTimeShare = 0.25
)

// assignment says where a waiting call may run now.
type assignment struct {
	grant  slots.Grant
	remote citron.Member
	// offer names the slot that the other daemon holds for the call.
	offer   string
	expired bool
}

// waitingCall is one waiting call.
type waitingCall struct {
	request *Request
	avoid   []citron.Endpoint
	// localOnly tickets take no slot of another daemon.
	localOnly bool
	assigned  chan assignment
	item      *queue.Item
}

// serviceQueue is the waiting room of one service under its own lock.
type serviceQueue struct {
	calls   *Service
	service citron.Service

	mu       sync.Mutex
	queue    queue.Queue
	runTimes map[classKey]time.Duration
	// cellSlots is the slots of the service in the cell, mine the part that serves this daemon's queue.
	cellSlots, queueSlots int
	// demands are the calls that wait in other daemons.
	demands map[citron.VMName]*demand
	// demandSent is when this daemon last told the others what it waits for.
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

// enqueue queues a call or refuses it at once.
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
	wait := q.queue.Wait(c.request.class.Urgency, q.queueSlots)
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

// requeue queues a call that could not start where it was sent, in its former place.
func (q *serviceQueue) requeue(c *waitingCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Push(c.item)
}

// remove takes a call out of the queue. It reports false where the call has been assigned already.
func (q *serviceQueue) remove(c *waitingCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Remove(c.item)
}

// dispatch assigns free slots to waiting calls and answers those that are too late.
func (q *serviceQueue) dispatch() {
	now := q.calls.Timer.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, item := range q.queue.Expired(now.Boot) {
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

// findSlot looks for a free slot, first in this daemon's shards, then in another daemon's.
func (q *serviceQueue) findSlot(now citron.Instant, c *waitingCall) (assignment, bool) {
	grant, ok := q.calls.Slots.Acquire(q.service, now.Boot, c.avoid, q.calls.Owner.MayAct)
	if ok {
		return assignment{grant: grant}, true
	}
	if c.localOnly || q.calls.Options.NoForward {
		return assignment{}, false
	}
	to, ok := q.calls.Members.Roomiest(now, q.service, q.calls.Self.VM)
	return assignment{remote: to}, ok
}

// endCall counts a call of a team as no longer running.
func (q *serviceQueue) endCall(team citron.Team) {
	q.mu.Lock()
	q.queue.Ended(team)
	q.mu.Unlock()
	q.dispatch()
}

// recordRunTime takes in how long a run took.
func (q *serviceQueue) recordRunTime(request *Request, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.expectedRunTime(request)
	q.runTimes[classKey{request.Team, request.Class}] = old + time.Duration(runTimeWeight*float64(took-old))
}

func (q *serviceQueue) expectedRunTime(request *Request) time.Duration {
	d, ok := q.runTimes[classKey{request.Team, request.Class}]
	if !ok {
		d = min(time.Duration(initialRunTimeShare*float64(request.class.RunBound)), request.class.Deadline/4)
	}
	return d
}

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

// countSlots counts the slots of the service in the cell.
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

// retryAfter returns when a refused caller should try again.
func (q *serviceQueue) retryAfter(d time.Duration) time.Duration {
	return max(d, minRetryAfter)
}
