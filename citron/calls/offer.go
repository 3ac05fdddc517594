package calls

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/queue"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/citron/tmpl"
	"github.com/citroncross/citroncross/schema/peer"
)

const (
	// wantEvery is how often a daemon whose calls wait tells the others.
	wantEvery = 5 * time.Millisecond
	// wantLasts is how long the others believe it.
	wantLasts = 200 * time.Millisecond
	// offerLasts is how long a slot is held for a call of another daemon.
	offerLasts = 200 * time.Millisecond
	// offerTimeout bounds one offer.
	offerTimeout = 150 * time.Millisecond
	// slackMargin is how much less slack another daemon's call must have to go before an own one of its urgency.
	slackMargin = 20 * time.Millisecond
)

// want is what another daemon waits for.
type want struct {
	sender  citron.Member
	count   int
	urgency tmpl.Urgency
	// latestStart is the slack's end on this daemon's clock.
	latestStart time.Duration
	until       time.Duration
}

// offers are the slots that this daemon holds for calls of others.
type offers struct {
	mu   sync.Mutex
	held map[string]heldOffer
}

type heldOffer struct {
	grant slots.Slot
	until time.Duration
}

func (o *offers) add(id string, grant slots.Slot, until time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held == nil {
		o.held = map[string]heldOffer{}
	}
	o.held[id] = heldOffer{grant: grant, until: until}
}

// take ends the holding of a slot and returns it.
func (o *offers) take(id string) (slots.Slot, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.held[id]
	delete(o.held, id)
	return h.grant, ok
}

// expired takes out the slots whose calls did not come.
func (o *offers) expired(now time.Duration) (grants []slots.Slot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, h := range o.held {
		if h.until <= now {
			grants = append(grants, h.grant)
			delete(o.held, id)
		}
	}
	return grants
}

func (s *Service) freeOffers(now time.Duration) {
	for _, grant := range s.offers.expired(now) {
		s.Slots.Free(grant, now, false)
	}
}

// RecordDemand takes in what waits in another daemon.
func (s *Service) RecordDemand(request *peer.WantRequest) {
	r := s.room(citron.Service(request.GetService()))
	now := s.Timer.Now().Boot
	sender := shard.MemberOf(request.GetSender())
	r.mu.Lock()
	r.wants[sender.VM] = &want{
		sender:      sender,
		count:       int(request.GetCount()),
		urgency:     tmpl.Urgency(request.GetUrgency()),
		latestStart: now + time.Duration(request.GetSlackMs())*time.Millisecond,
		until:       now + wantLasts,
	}
	r.mu.Unlock()
	r.kick()
}

// AcceptOffer gives slots that another daemon holds to calls that wait here.
func (s *Service) AcceptOffer(request *peer.OfferRequest) *peer.OfferReply {
	r := s.room(citron.Service(request.GetService()))
	sender := shard.MemberOf(request.GetSender())
	reply := &peer.OfferReply{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range request.GetOfferIDs() {
		item := r.queue.Pop(r.cell)
		if item == nil {
			break
		}
		reply.Taken = append(reply.Taken, id)
		item.Payload.(*ticket).assigned <- assignment{remote: sender, offer: id}
	}
	return reply
}

// offerFirst offers a free slot to the daemon whose first waiting call goes before the own one. It reports whether
// a slot was offered. The room's lock is held.
func (r *room) offerFirst(now citron.Instant, own *queue.Item) bool {
	w := r.neediest(now.Boot)
	if w == nil || !w.before(own) {
		return false
	}
	grant, ok := r.s.Slots.Acquire(r.service, now.Boot, nil, r.s.Owner.MayAct)
	if !ok {
		return false
	}
	w.count--
	id := uuid.NewString()
	r.s.offers.add(id, grant, now.Boot+offerLasts)
	to := w.sender
	r.s.exchanges.Go(func(ctx context.Context) { r.offer(ctx, to, id) })
	return true
}

// neediest returns the want whose first call goes before those of the others.
func (r *room) neediest(now time.Duration) (best *want) {
	for vm, w := range r.wants {
		if w.count <= 0 || w.until < now {
			delete(r.wants, vm)
			continue
		}
		if best == nil || w.urgency < best.urgency || w.urgency == best.urgency && w.latestStart < best.latestStart {
			best = w
		}
	}
	return best
}

// before reports whether another daemon's call goes before an own one.
func (w *want) before(own *queue.Item) bool {
	if own == nil {
		return true
	}
	if w.urgency != own.Urgency {
		return w.urgency < own.Urgency
	}
	return w.latestStart+slackMargin < own.LatestStart
}

// offer tells another daemon of a slot.
func (r *room) offer(ctx context.Context, to citron.Member, id string) {
	taken := false
	client, ok := r.s.Peers.Peer(to.VM)
	if ok {
		bounded, cancel := context.WithTimeout(ctx, offerTimeout)
		defer cancel()
		reply, err := client.Offer(bounded, &peer.OfferRequest{
			Sender:   shard.MemberRecord(r.s.Self),
			Service:  string(r.service),
			OfferIDs: []string{id},
		})
		// Without an answer the call may be on its way: the slot comes free when its time is over.
		taken = err != nil || len(reply.GetTaken()) > 0
	}
	if taken {
		return
	}
	r.mu.Lock()
	delete(r.wants, to.VM)
	r.mu.Unlock()
	if grant, held := r.s.offers.take(id); held {
		r.s.Slots.Free(grant, r.s.Timer.Now().Boot, false)
		r.kick()
	}
}

// tellWants tells the other daemons what waits here. The room's lock is held.
func (r *room) tellWants(now citron.Instant, first *queue.Item) {
	if r.s.Options.NoForward || now.Boot-r.wanted < wantEvery {
		return
	}
	r.wanted = now.Boot
	request := &peer.WantRequest{
		Sender:  shard.MemberRecord(r.s.Self),
		Service: string(r.service),
		Count:   int32(r.queue.Len()),
		Urgency: int32(first.Urgency),
		SlackMs: (first.LatestStart - now.Boot).Milliseconds(),
	}
	for _, p := range r.s.Members.Usable(now) {
		if client, ok := r.s.Peers.Peer(p.Member.VM); ok && p.Member.VM != r.s.Self.VM {
			r.s.exchanges.Go(func(ctx context.Context) { tellWant(ctx, client, request) })
		}
	}
}

// tellWant is one message.
func tellWant(ctx context.Context, client peer.PeerClient, request *peer.WantRequest) {
	bounded, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	_, _ = client.Want(bounded, request)
}
