// Package calls queues callers' requests, runs each on a free slot of the cell and returns the complete answer.
package calls

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/member"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/citron/tmpl"
	"github.com/citroncross/citroncross/schema/peer"
)

// Request is a call as received from a caller or forwarded by another daemon.
type Request struct {
	Team       citron.Team
	Class      citron.Class
	ID         citron.RequestID
	Repeatable bool
	// GeneratedID is set if a daemon generated the id; such a request cannot repeat an earlier one.
	GeneratedID bool
	Deadline    citron.Instant
	ContentType string
	Body        []byte

	class   tmpl.Class
	service citron.Service
}

// Ownership reports which shards this daemon may use.
type Ownership interface {
	// MayAct reports whether this daemon may use a shard now.
	MayAct(id citron.ShardID) bool
	// OwnerOf returns the last owner recorded in the log.
	OwnerOf(id citron.ShardID) citron.Member
}

// Peers provides clients of other daemons.
type Peers interface {
	// Peer returns the client of the daemon on a VM.
	Peer(vm citron.VMName) (peer.PeerClient, bool)
}

// Options limit the calls that a daemon accepts and how it runs them.
type Options struct {
	// QueuedCalls and QueuedBytes limit the queue of each service.
	QueuedCalls int
	QueuedBytes int64
	// BufferedAnswer is the number of bytes of an answer that are buffered so that the attempt can be retried.
	BufferedAnswer int64
	// RetryPercent is the number of retries allowed for each hundred requests.
	RetryPercent int
	// NoForward runs every call on the daemon that received it; benchmarks use it as a baseline.
	NoForward bool
	// Fifo serves calls in order of arrival; benchmarks use it as a baseline.
	Fifo bool
}

// Service runs the calls of all teams on this daemon.
type Service struct {
	Self      citron.Member
	Layout    citron.Layout
	Options   Options
	Timer     citron.Timer
	Templates *state.Templates
	Slots     *slots.Table
	Owner     Ownership
	Members   *member.List
	Peers     Peers
	Invoker   citron.Invoker
	Intents   *IntentStore
	Stats     *stats.Set
	Log       *event.Logger
	// OnSlotsChanged, if set, is called every countSlotsRounds expiry rounds.
	OnSlotsChanged func()

	mu     sync.Mutex
	queues map[citron.Service]*serviceQueue
	// formerOwners holds the previous owner of each owned shard.
	formerOwners map[citron.ShardID]citron.Member

	retries      retryBudget
	seenAttempts attemptSet
	inFlight     requestCounter
	offers       offers
	// background runs exchanges that no request waits for: announcements, offers and the recording of outcomes.
	background spawn.Group
}

// Serve runs a request and writes its answer. A nil refusal means that the complete answer was written.
func (s *Service) Serve(ctx context.Context, r Request, w citron.AnswerWriter) *citron.Refusal {
	end := s.inFlight.begin()
	defer end()
	if refusal := s.admit(&r); refusal != nil {
		return refusal
	}
	s.retries.deposit(s.Options.RetryPercent)
	if r.Repeatable {
		return s.run(ctx, &r, w, nil)
	}
	return s.serveNonRepeatable(ctx, &r, w)
}

// InFlight returns the number of requests in progress on this daemon, including forwarded ones.
func (s *Service) InFlight() int {
	return s.inFlight.count()
}

// SlotsChanged recounts the slots of every service and dispatches waiting calls.
func (s *Service) SlotsChanged() {
	for _, q := range s.allQueues() {
		q.countSlots()
		q.dispatch()
	}
}

// Run expires waiting calls and offers until the context ends, then signals the returned channel.
func (s *Service) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		s.background.SetContext(ctx)
		round := 0
		tick, stop := s.Timer.Every(expireInterval)
		defer stop()
		for {
			select {
			case now := <-tick:
				s.freeExpiredOffers(now.Boot)
				s.expire()
				if round++; round%countSlotsRounds == 0 {
					s.SlotsChanged()
					s.seenAttempts.expire(now.Boot)
					s.notifySlotsChanged()
				}
			case <-ctx.Done():
				<-s.background.Idle()
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// expire refuses waiting calls that can no longer start in time.
func (s *Service) expire() {
	for _, q := range s.allQueues() {
		if q.len() > 0 {
			q.dispatch()
		}
	}
}

func (s *Service) notifySlotsChanged() {
	if s.OnSlotsChanged != nil {
		s.OnSlotsChanged()
	}
}

// Queued returns the number of waiting calls of each service.
func (s *Service) Queued() map[citron.Service]int {
	queued := map[citron.Service]int{}
	for _, q := range s.allQueues() {
		queued[q.service] = q.len()
	}
	return queued
}

// admit refuses requests of unknown teams and classes and fills in the class, service and deadline.
func (s *Service) admit(r *Request) *citron.Refusal {
	t, ok := s.Templates.Get(r.Team)
	if !ok {
		return citron.NewNotRunRefusal(citron.RefusalUnknownTeam, 0, "team %q has no template; publish one with citronctl", r.Team)
	}
	class, ok := t.Compiled.Classes[r.Class]
	if !ok {
		return citron.NewNotRunRefusal(citron.RefusalUnknownClass, 0, "team %q has no class %q; see citronctl template show", r.Team, r.Class)
	}
	r.class = class
	r.service = t.Compiled.Service
	r.Repeatable = r.Repeatable && class.Repeatable
	if longest := s.Timer.Now().Add(class.Deadline); r.Deadline.Boot == 0 || longest.Boot < r.Deadline.Boot {
		r.Deadline = longest
	}
	return nil
}

// queueOf returns the queue of a service and creates it if needed.
func (s *Service) queueOf(service citron.Service) *serviceQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[service]
	if ok {
		return q
	}
	if s.queues == nil {
		s.queues = map[citron.Service]*serviceQueue{}
	}
	q = newServiceQueue(s, service)
	s.queues[service] = q
	return q
}

func (s *Service) allQueues() (queues []*serviceQueue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		queues = append(queues, q)
	}
	return queues
}

func newAttemptID() citron.AttemptID {
	return citron.AttemptID(uuid.NewString())
}

// longestRunBound returns the longest run bound of all current templates.
func (s *Service) longestRunBound() (bound time.Duration) {
	for _, t := range s.Templates.All() {
		bound = max(bound, t.Compiled.MaxRunBound())
	}
	return bound
}

// Gained starts the use of a newly owned shard. Calls of the former owner may still run, so every slot counts as busy
// until the former owner or the endpoint reports otherwise, or until the longest run bound has passed.
func (s *Service) Gained(id citron.ShardID, former citron.Member) {
	s.mu.Lock()
	if s.formerOwners == nil {
		s.formerOwners = map[citron.ShardID]citron.Member{}
	}
	s.formerOwners[id] = former
	s.mu.Unlock()
	s.Slots.Adopt(id, s.Timer.Now().Boot, s.longestRunBound())
	s.SlotsChanged()
}

// Remaining tells the new owner of a released shard how many calls this daemon still runs on each endpoint.
func (s *Service) Remaining(request *peer.RemainingRequest) *peer.RemainingReply {
	reply := &peer.RemainingReply{}
	remaining, released := s.Slots.Remaining(citron.ShardID(request.GetShard()), s.Timer.Now().Boot)
	if !released || shard.MemberOf(request.GetReceiver()) != s.Self {
		return reply
	}
	for name, n := range remaining {
		reply.Endpoints = append(reply.Endpoints, &peer.EndpointCalls{Endpoint: string(name), Calls: int32(n)})
	}
	return reply
}

// queryFormerOwners asks the former owners of shards with held slots which calls they still run.
func (s *Service) queryFormerOwners(ctx context.Context, held []slots.Slot) {
	asked := map[citron.ShardID]bool{}
	for _, g := range held {
		if asked[g.Shard] {
			continue
		}
		asked[g.Shard] = true
		s.mu.Lock()
		former := s.formerOwners[g.Shard]
		s.mu.Unlock()
		client, ok := s.Peers.Peer(former.VM)
		if !ok {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, offerTimeout)
		reply, err := client.Remaining(bounded, &peer.RemainingRequest{
			Sender:   shard.MemberRecord(s.Self),
			Receiver: shard.MemberRecord(former),
			Shard:    string(g.Shard),
		})
		cancel()
		if err != nil {
			continue
		}
		remaining := map[citron.Endpoint]int{}
		for _, e := range reply.GetEndpoints() {
			remaining[citron.Endpoint(e.GetEndpoint())] = int(e.GetCalls())
		}
		s.Slots.ApplyRemaining(g.Shard, remaining)
	}
}

// QueryInDoubtSlots asks the former owners and the endpoints of held slots how many calls are still running.
func (s *Service) QueryInDoubtSlots(ctx context.Context) {
	held := s.Slots.InDoubt(s.Timer.Now().Boot)
	s.queryFormerOwners(ctx, held)
	var asks sync.WaitGroup
	for _, g := range held {
		asks.Go(func() {
			asked := s.Timer.Now().Boot
			if n, err := s.Invoker.InFlight(ctx, g.Address); err == nil {
				s.Slots.ApplyReport(g.Shard, g.Endpoint, asked, n)
			}
		})
	}
	asks.Wait()
	if len(held) > 0 {
		s.SlotsChanged()
	}
}

// Lost stops the use of the endpoints of a shard that this daemon no longer owns.
func (s *Service) Lost(id citron.ShardID) {
	s.Slots.Drop(id)
}
