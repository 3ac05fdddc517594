package calls

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/queue"
	"github.com/citroncross/citroncross/citron/slots"
)

const (
	// expireEvery is how often calls that can no longer start in time are answered.
	expireEvery = 20 * time.Millisecond
	// measureRounds is the number of those rounds after which the slots of the cell are counted again.
	measureRounds = 10
	// leastRetryAfter is the shortest time after which a refused caller is asked to come back.
	leastRetryAfter = 100 * time.Millisecond
	// learnWeight is the weight of a new run time in the expected one.
	learnWeight = 0.1
	// firstGuess is the part of the run bound that is expected before any run is known.
	firstGuess = 0.25
)

// assignment says where a waiting call may run now.
type assignment struct {
	grant  slots.Slot
	remote citron.Member
	// offer names the slot that the other daemon holds for the call.
	offer string
	late  bool
}

// ticket is one waiting call.
type ticket struct {
	request *Request
	avoid   []citron.Endpoint
	// localOnly tickets take no slot of another daemon.
	localOnly bool
	assigned  chan assignment
	item      *queue.Item
}

// room is the waiting room of one service under its own lock.
type room struct {
	s       *Service
	service citron.Service

	mu       sync.Mutex
	queue    queue.Queue
	expected map[classKey]time.Duration
	// cell is the slots of the service in the cell, mine the part that serves this daemon's queue.
	cell, mine int
	// wants are the calls that wait in other daemons.
	wants map[citron.VMName]*want
	// wanted is when this daemon last told the others what it waits for.
	wanted time.Duration
}

type classKey struct {
	team  citron.Team
	class citron.Class
}

func newRoom(s *Service, service citron.Service) *room {
	r := &room{
		s:        s,
		service:  service,
		queue:    queue.Queue{Fifo: s.Options.Fifo},
		expected: map[classKey]time.Duration{},
		wants:    map[citron.VMName]*want{},
	}
	r.measure()
	return r
}

// enter queues a call or refuses it at once.
func (r *room) enter(t *ticket) *citron.Refusal {
	now := r.s.Timer.Now().Boot
	r.mu.Lock()
	defer r.mu.Unlock()
	expected := r.expect(t.request)
	t.item = &queue.Item{
		Team:        t.request.Team,
		Urgency:     t.request.class.Urgency,
		LatestStart: t.request.Deadline.Boot - expected,
		Expected:    expected,
		Bytes:       int64(len(t.request.Body)),
		Payload:     t,
	}
	r.queue.SetShare(t.request.Team, r.share(t.request.Team))
	wait := r.queue.EstimateWait(t.request.class.Urgency, r.mine)
	if t.item.LatestStart < now {
		return citron.NewNotRunRefusal(citron.RefusalDeadlineTooNear, 0,
			"the deadline leaves %v, a run takes about %v; allow more time", t.request.Deadline.Boot-now, expected)
	}
	if r.cell == 0 {
		return citron.NewNotRunRefusal(citron.RefusalNoEndpoint, time.Second, "service %q has no endpoint in use at the moment", r.service)
	}
	if now+wait > t.item.LatestStart {
		return citron.NewNotRunRefusal(citron.RefusalDeadlineTooNear, r.comeBack(now+wait-t.item.LatestStart),
			"the queue is about %v long, longer than the deadline allows", wait)
	}
	if r.queue.Len() >= r.s.Options.QueuedCalls || r.queue.Bytes()+t.item.Bytes > r.s.Options.QueuedBytes {
		return citron.NewNotRunRefusal(citron.RefusalQueueFull, r.comeBack(wait), "the queue is full")
	}
	r.queue.Push(t.item)
	return nil
}

// again queues a call that could not start where it was sent, in its former place.
func (r *room) again(t *ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Push(t.item)
}

// leave takes a call out of the queue. It reports false where the call has been assigned already.
func (r *room) leave(t *ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Remove(t.item)
}

// kick assigns free slots to waiting calls and answers those that are too late.
func (r *room) kick() {
	now := r.s.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range r.queue.RemoveExpired(now.Boot) {
		item.Payload.(*ticket).assigned <- assignment{late: true}
	}
	for {
		item := r.queue.Peek(r.cell)
		if r.offerFirst(now, item) {
			continue
		}
		if item == nil {
			return
		}
		a, ok := r.find(now, item.Payload.(*ticket))
		if !ok {
			r.tellWants(now, item)
			return
		}
		r.queue.Pop(r.cell)
		item.Payload.(*ticket).assigned <- a
	}
}

// find looks for a free slot, first in this daemon's shards, then in another daemon's.
func (r *room) find(now citron.Instant, t *ticket) (assignment, bool) {
	grant, ok := r.s.Slots.Acquire(r.service, now.Boot, t.avoid, r.s.Owner.MayAct)
	if ok {
		return assignment{grant: grant}, true
	}
	if t.localOnly || r.s.Options.NoForward {
		return assignment{}, false
	}
	to, ok := r.s.Members.ReserveSlot(now, r.service, r.s.Self.VM)
	return assignment{remote: to}, ok
}

// ended counts a call of a team as no longer running.
func (r *room) ended(team citron.Team) {
	r.mu.Lock()
	r.queue.Ended(team)
	r.mu.Unlock()
	r.kick()
}

// learn takes in how long a run took.
func (r *room) learn(request *Request, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.expect(request)
	r.expected[classKey{request.Team, request.Class}] = old + time.Duration(learnWeight*float64(took-old))
}

func (r *room) expect(request *Request) time.Duration {
	d, ok := r.expected[classKey{request.Team, request.Class}]
	if !ok {
		d = min(time.Duration(firstGuess*float64(request.class.RunBound)), request.class.Deadline/4)
	}
	return d
}

func (r *room) share(team citron.Team) float64 {
	t, ok := r.s.Templates.Get(team)
	if !ok {
		return 0
	}
	return t.Compiled.Quota.SlotShare
}

func (r *room) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Len()
}

// measure counts the slots of the service in the cell.
func (r *room) measure() {
	now := r.s.Timer.Now()
	own := r.s.Slots.Loads(now.Boot, r.s.Owner.MayAct)[r.service].Slots
	others, daemons := r.s.Members.Totals(now, r.service, r.s.Self.VM)
	if r.s.Options.NoForward {
		others, daemons = 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cell = own + others
	r.mine = (r.cell + daemons) / (daemons + 1)
}

// comeBack returns when a refused caller should try again.
func (r *room) comeBack(d time.Duration) time.Duration {
	return max(d, leastRetryAfter)
}
