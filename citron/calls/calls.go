// Package calls takes callers' requests, queues them, runs each on a free slot of the cell and answers it whole.
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

// Request is one call as a caller sent it.
type Request struct {
	Team       citron.Team
	Class      citron.Class
	ID         citron.RequestID
	Repeatable bool
	// GeneratedID says that the daemon has made the id, so that the request is no repeat of another one.
	GeneratedID bool
	Deadline    citron.Instant
	ContentType string
	Body        []byte

	class   tmpl.Class
	service citron.Service
}

// Ownership says which shards this daemon may use.
type Ownership interface {
	// MayAct reports whether this daemon may use a shard now.
	MayAct(id citron.ShardID) bool
	// OwnerOf returns the owner that the log names last.
	OwnerOf(id citron.ShardID) citron.Member
}

// Peers reaches other daemons.
type Peers interface {
	// Peer returns the client of a daemon.
	Peer(vm citron.VMName) (peer.PeerClient, bool)
}

// Options bound what is taken on.
type Options struct {
	QueuedCalls    int
	QueuedBytes    int64
	BufferedAnswer int64
	// RetryPercent is the number of further attempts for each hundred requests.
	RetryPercent int
	// NoForward keeps every call in the daemon that took it; it is a baseline of the measurements.
	NoForward bool
	// Fifo serves calls in the order of their arrival; it is a baseline of the measurements.
	Fifo bool
}

// Service runs calls.
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
	// OnSlotsChanged is called from time to time while slots come and go.
	OnSlotsChanged func()

	mu    sync.Mutex
	rooms map[citron.Service]*room
	// former is the owner before this one of each shard that is owned.
	former map[citron.ShardID]citron.Member

	retries  budget
	attempts seen
	flights  flights
	offers   offers
	// exchanges are messages and records that nobody's answer waits for.
	exchanges spawn.Group
}

// Serve runs a request and writes its answer. A nil refusal means that the whole answer was written.
func (s *Service) Serve(ctx context.Context, r Request, w citron.AnswerWriter) *citron.Refusal {
	end := s.flights.begin()
	defer end()
	if refusal := s.admit(&r); refusal != nil {
		return refusal
	}
	s.retries.earn(s.Options.RetryPercent)
	if r.Repeatable {
		return s.run(ctx, &r, w, nil)
	}
	return s.serveKeyed(ctx, &r, w)
}

// InFlight returns the number of requests that are under way here, those of other daemons included.
func (s *Service) InFlight() int {
	return s.flights.count()
}

// SlotsChanged tells the queues that slots may have come or gone here or elsewhere.
func (s *Service) SlotsChanged() {
	for _, r := range s.allRooms() {
		r.measure()
		r.kick()
	}
}

// Run expires waiting calls until the context ends and reports its end on the returned channel.
func (s *Service) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		s.exchanges.Bind(ctx)
		round := 0
		tick, stop := s.Timer.Every(expireEvery)
		defer stop()
		for {
			select {
			case now := <-tick:
				s.freeOffers(now.Boot)
				s.expire()
				if round++; round%measureRounds == 0 {
					s.SlotsChanged()
					s.attempts.expire(now.Boot)
					s.roomChanged()
				}
			case <-ctx.Done():
				<-s.exchanges.Ended()
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// expire answers waiting calls that can no longer start in time.
func (s *Service) expire() {
	for _, r := range s.allRooms() {
		if r.len() > 0 {
			r.kick()
		}
	}
}

func (s *Service) roomChanged() {
	if s.OnSlotsChanged != nil {
		s.OnSlotsChanged()
	}
}

// Queued returns the number of waiting calls by service.
func (s *Service) Queued() map[citron.Service]int {
	queued := map[citron.Service]int{}
	for _, r := range s.allRooms() {
		queued[r.service] = r.len()
	}
	return queued
}

// admit looks up the template and completes the request.
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

func (s *Service) room(service citron.Service) *room {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rooms[service]
	if ok {
		return r
	}
	if s.rooms == nil {
		s.rooms = map[citron.Service]*room{}
	}
	r = newRoom(s, service)
	s.rooms[service] = r
	return r
}

func (s *Service) allRooms() (rooms []*room) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rooms {
		rooms = append(rooms, r)
	}
	return rooms
}

func newAttempt() citron.AttemptID {
	return citron.AttemptID(uuid.NewString())
}

// longestRun is the longest run bound of any template in force.
func (s *Service) longestRun() (bound time.Duration) {
	for _, t := range s.Templates.All() {
		bound = max(bound, t.Compiled.Longest())
	}
	return bound
}

// Gained counts every slot of a shard as taken until evidence or until the longest run bound. Former is who is asked
// for evidence first.
func (s *Service) Gained(id citron.ShardID, former citron.Member) {
	s.mu.Lock()
	if s.former == nil {
		s.former = map[citron.ShardID]citron.Member{}
	}
	s.former[id] = former
	s.mu.Unlock()
	s.Slots.Adopt(id, s.Timer.Now().Boot, s.longestRun())
	s.SlotsChanged()
}

// Remaining answers the new owner of a shard.
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

// askFormer asks the former owners of shards with held slots for the calls that they still have.
func (s *Service) askFormer(ctx context.Context, held []slots.Slot) {
	asked := map[citron.ShardID]bool{}
	for _, g := range held {
		if asked[g.Shard] {
			continue
		}
		asked[g.Shard] = true
		s.mu.Lock()
		former := s.former[g.Shard]
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

// QueryHeldSlots asks endpoints for their own count where slots are taken without evidence.
func (s *Service) QueryHeldSlots(ctx context.Context) {
	held := s.Slots.InDoubt(s.Timer.Now().Boot)
	s.askFormer(ctx, held)
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

// Lost stops the use of a shard's endpoints.
func (s *Service) Lost(id citron.ShardID) {
	s.Slots.Drop(id)
}
