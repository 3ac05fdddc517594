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
	// demandInterval is the minimum time between two announcements of the calls that wait for one service.
	demandInterval = 5 * time.Millisecond
	// demandValidity is how long an announcement is valid.
	demandValidity = 200 * time.Millisecond
	// offerValidity is how long a slot stays reserved for a call of another daemon.
	offerValidity = 200 * time.Millisecond
	// offerTimeout limits one offer, announcement or query between daemons.
	offerTimeout = 150 * time.Millisecond
	// slackMargin is how much earlier the latest start of another daemon's call must be to precede a local call of the
	// same urgency.
	slackMargin = 20 * time.Millisecond
)

// demand describes the calls that wait on another daemon.
type demand struct {
	sender citron.Member
	count  int
	// urgency and latestStart describe the first waiting call; latestStart is on this daemon's clock.
	urgency     tmpl.Urgency
	latestStart time.Duration
	until       time.Duration
}

// offers holds the slots that this daemon has reserved for calls of others, by offer id.
type offers struct {
	mu       sync.Mutex
	reserved map[string]offeredSlot
}

type offeredSlot struct {
	slot  slots.Slot
	until time.Duration
}

func (o *offers) add(id string, slot slots.Slot, until time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reserved == nil {
		o.reserved = map[string]offeredSlot{}
	}
	o.reserved[id] = offeredSlot{slot: slot, until: until}
}

// remove ends the reservation of an offered slot and returns the slot.
func (o *offers) remove(id string) (slots.Slot, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.reserved[id]
	delete(o.reserved, id)
	return h.slot, ok
}

// removeExpired ends and returns the reservations that were not used in time.
func (o *offers) removeExpired(now time.Duration) (expired []slots.Slot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, h := range o.reserved {
		if h.until <= now {
			expired = append(expired, h.slot)
			delete(o.reserved, id)
		}
	}
	return expired
}

func (s *Service) freeExpiredOffers(now time.Duration) {
	for _, slot := range s.offers.removeExpired(now) {
		s.Slots.Free(slot, now, false)
	}
}

// RecordDemand records the calls that wait on another daemon.
func (s *Service) RecordDemand(request *peer.WantRequest) {
	q := s.queueOf(citron.Service(request.GetService()))
	now := s.Timer.Now().Boot
	sender := shard.MemberOf(request.GetSender())
	q.mu.Lock()
	q.demands[sender.VM] = &demand{
		sender:      sender,
		count:       int(request.GetCount()),
		urgency:     tmpl.Urgency(request.GetUrgency()),
		latestStart: now + time.Duration(request.GetSlackMs())*time.Millisecond,
		until:       now + demandValidity,
	}
	q.mu.Unlock()
	q.dispatch()
}

// AcceptOffer assigns slots offered by another daemon to calls that wait here and lists the accepted offers.
func (s *Service) AcceptOffer(request *peer.OfferRequest) *peer.OfferReply {
	q := s.queueOf(citron.Service(request.GetService()))
	sender := shard.MemberOf(request.GetSender())
	reply := &peer.OfferReply{}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range request.GetOfferIDs() {
		item := q.queue.Pop(q.cellSlots)
		if item == nil {
			break
		}
		reply.Taken = append(reply.Taken, id)
		item.Payload.(*waitingCall).assigned <- assignment{remote: sender, offer: id}
	}
	return reply
}

// offerSlot offers a free slot to the daemon whose first waiting call precedes own, the first local one. It reports
// whether a slot was offered. The queue's lock is held.
func (q *serviceQueue) offerSlot(now citron.Instant, own *queue.Item) bool {
	d := q.mostUrgentDemand(now.Boot)
	if d == nil || !d.precedes(own) {
		return false
	}
	slot, ok := q.calls.Slots.Acquire(q.service, now.Boot, nil, q.calls.Owner.MayAct)
	if !ok {
		return false
	}
	d.count--
	id := uuid.NewString()
	q.calls.offers.add(id, slot, now.Boot+offerValidity)
	to := d.sender
	q.calls.background.Go(func(ctx context.Context) { q.sendOffer(ctx, to, id) })
	return true
}

// mostUrgentDemand returns the demand whose first call precedes those of the others.
func (q *serviceQueue) mostUrgentDemand(now time.Duration) (best *demand) {
	for vm, d := range q.demands {
		if d.count <= 0 || d.until < now {
			delete(q.demands, vm)
			continue
		}
		if best == nil || d.urgency < best.urgency || d.urgency == best.urgency && d.latestStart < best.latestStart {
			best = d
		}
	}
	return best
}

// precedes reports whether the first call of d is to run before own, the first local one.
func (d *demand) precedes(own *queue.Item) bool {
	if own == nil {
		return true
	}
	if d.urgency != own.Urgency {
		return d.urgency < own.Urgency
	}
	return d.latestStart+slackMargin < own.LatestStart
}

// sendOffer offers a reserved slot to another daemon and frees it if the offer is declined.
func (q *serviceQueue) sendOffer(ctx context.Context, to citron.Member, id string) {
	taken := false
	client, ok := q.calls.Peers.Peer(to.VM)
	if ok {
		bounded, cancel := context.WithTimeout(ctx, offerTimeout)
		defer cancel()
		reply, err := client.Offer(bounded, &peer.OfferRequest{
			Sender:   shard.MemberRecord(q.calls.Self),
			Service:  string(q.service),
			OfferIDs: []string{id},
		})
		// Without an answer the call may still arrive: the slot is freed when the offer expires.
		taken = err != nil || len(reply.GetTaken()) > 0
	}
	if taken {
		return
	}
	q.mu.Lock()
	delete(q.demands, to.VM)
	q.mu.Unlock()
	if slot, reserved := q.calls.offers.remove(id); reserved {
		q.calls.Slots.Free(slot, q.calls.Timer.Now().Boot, false)
		q.dispatch()
	}
}

// announceDemand tells the other daemons which calls wait here. The queue's lock is held.
func (q *serviceQueue) announceDemand(now citron.Instant, first *queue.Item) {
	if q.calls.Options.NoForward || now.Boot-q.demandSent < demandInterval {
		return
	}
	q.demandSent = now.Boot
	request := &peer.WantRequest{
		Sender:  shard.MemberRecord(q.calls.Self),
		Service: string(q.service),
		Count:   int32(q.queue.Len()),
		Urgency: int32(first.Urgency),
		SlackMs: (first.LatestStart - now.Boot).Milliseconds(),
	}
	for _, p := range q.calls.Members.Usable(now) {
		if client, ok := q.calls.Peers.Peer(p.Member.VM); ok && p.Member.VM != q.calls.Self.VM {
			q.calls.background.Go(func(ctx context.Context) { sendDemand(ctx, client, request) })
		}
	}
}

// sendDemand sends one announcement; a lost one is replaced by the next.
func sendDemand(ctx context.Context, client peer.PeerClient, request *peer.WantRequest) {
	bounded, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	_, _ = client.Want(bounded, request)
}
