package calls

import (
	"context"
	"errors"
	"net/http"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/mesh"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/schema/record"
)

// result is the end of one attempt.
type result struct {
	// whole means that the endpoint's whole answer has come.
	whole bool
	// sent means that bytes may have reached an endpoint.
	sent bool
	// refused means that the other daemon had no slot; it counts as no attempt.
	refused  bool
	endpoint citron.Endpoint
	err      error
}

// errLeaseLapsed means that the shard was lost between the choice of an endpoint and the sending.
var errLeaseLapsed = errors.New("lease lapsed before sending")

// run queues a request and attempts it until it has an answer. Before, if given, is called once with a slot in
// hand and before the first byte goes out; its refusal ends the request.
func (s *Service) run(ctx context.Context, r *Request, w citron.AnswerWriter, before func() *citron.Refusal) *citron.Refusal {
	room := s.room(r.service)
	t := &ticket{request: r, assigned: make(chan assignment, 1)}
	began := s.Timer.Now().Boot
	if refusal := room.enter(t); refusal != nil {
		return refusal
	}
	sentBefore := false
	for {
		a, refusal := s.await(ctx, room, t)
		if refusal != nil {
			return truthful(refusal, sentBefore)
		}
		s.Stats.Wait(r.Team, r.Class, s.Timer.Now().Boot-began)
		if before != nil {
			if refusal := before(); refusal != nil {
				s.giveBack(a)
				room.ended(r.Team)
				return refusal
			}
			before = nil
		}
		answer := newBuffered(w, s.Options.BufferedAnswer)
		end := s.attempt(ctx, room, t, a, answer)
		room.ended(r.Team)
		sentBefore = sentBefore || end.sent
		refusal, again := s.judge(ctx, r, t, end, answer)
		if !again {
			return truthful(refusal, sentBefore)
		}
		room.again(t)
	}
}

// truthful turns "not run" into "unknown" where an earlier attempt may have run.
func truthful(refusal *citron.Refusal, sentBefore bool) *citron.Refusal {
	if refusal != nil && sentBefore && refusal.Outcome == record.Outcome_OUTCOME_NOT_RUN {
		refusal.Outcome = record.Outcome_OUTCOME_UNKNOWN
	}
	return refusal
}

// await waits until a slot is assigned, the deadline is too near or the caller has gone.
func (s *Service) await(ctx context.Context, room *room, t *ticket) (assignment, *citron.Refusal) {
	room.kick()
	select {
	case a := <-t.assigned:
		if a.late {
			return a, citron.NewNotRunRefusal(citron.RefusalDeadlinePassed, leastRetryAfter, "no slot came free before the deadline")
		}
		return a, nil
	case <-ctx.Done():
		if !room.leave(t) {
			if a := <-t.assigned; !a.late {
				s.giveBack(a)
				room.ended(t.request.Team)
			}
		}
		return assignment{}, citron.NewNotRunRefusal(citron.RefusalDeadlinePassed, leastRetryAfter, "the caller has gone")
	}
}

// giveBack frees an assigned slot that was not used.
func (s *Service) giveBack(a assignment) {
	if a.remote.IsZero() {
		s.Slots.Free(a.grant, s.Timer.Now().Boot, false)
	}
	// A slot that another daemon holds for this one comes free there by itself.
}

func (s *Service) attempt(ctx context.Context, room *room, t *ticket, a assignment, w *buffered) result {
	if a.remote.IsZero() {
		return s.local(ctx, room, t.request, a.grant, newAttempt(), w)
	}
	return s.remote(ctx, room, t, a, w)
}

// judge decides whether a request is over or is tried again.
func (s *Service) judge(ctx context.Context, r *Request, t *ticket, end result, w *buffered) (refusal *citron.Refusal, again bool) {
	if end.whole && !(w.status == http.StatusServiceUnavailable && s.mayRetry(ctx, r, t, end, w)) {
		if err := w.finish(); err != nil {
			return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the caller has gone"), false
		}
		return nil, false
	}
	if end.refused {
		return s.requeue(r)
	}
	if end.whole || s.mayRetry(ctx, r, t, end, w) {
		s.Stats.Retry(r.Team, r.Class)
		s.Log.Emit(event.CallRetried, event.Fields{"Team": r.Team, "Class": r.Class, "Endpoint": end.endpoint})
		t.avoid = append(t.avoid, end.endpoint)
		return nil, true
	}
	if !end.sent {
		return citron.NewNotRunRefusal(citron.RefusalNoEndpoint, leastRetryAfter, "no endpoint could be reached: %v", end.err), false
	}
	s.Log.Emit(event.CallUnknown, event.Fields{"Team": r.Team, "Class": r.Class, "Endpoint": end.endpoint, "Error": end.err})
	return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the endpoint was lost during the run"), false
}

// requeue sends a call back to the queue after another daemon had no slot for it.
func (s *Service) requeue(r *Request) (*citron.Refusal, bool) {
	if r.Deadline.ReachedEither(s.Timer.Now()) {
		return citron.NewNotRunRefusal(citron.RefusalDeadlinePassed, leastRetryAfter, "no slot came free before the deadline"), false
	}
	return nil, true
}

// mayRetry reports whether a failed attempt may be followed by another one, and pays for it.
func (s *Service) mayRetry(ctx context.Context, r *Request, t *ticket, end result, w *buffered) bool {
	if w.committed || ctx.Err() != nil || r.Deadline.ReachedEither(s.Timer.Now()) {
		return false
	}
	if end.sent && !r.Repeatable {
		return false
	}
	return len(t.avoid) < maxRetries && s.retries.spend()
}

// local runs one attempt on a slot of this daemon.
func (s *Service) local(ctx context.Context, room *room, r *Request, grant slots.Slot, id citron.AttemptID, w citron.AnswerWriter) result {
	if !s.Owner.MayAct(grant.Shard) {
		s.Slots.Free(grant, s.Timer.Now().Boot, false)
		return result{refused: true, err: errLeaseLapsed}
	}
	began := s.Timer.Now().Boot
	bounded, cancel := context.WithTimeout(ctx, min(r.class.RunBound, r.Deadline.Boot-began))
	defer cancel()
	call := citron.Call{
		Team:        r.Team,
		Class:       r.Class,
		RequestID:   r.ID,
		AttemptID:   id,
		ContentType: r.ContentType,
		Body:        r.Body,
		RunBound:    r.class.RunBound,
	}
	sent, err := s.Invoker.Invoke(bounded, grant.Address, call, w)
	now := s.Timer.Now().Boot
	switch {
	case err == nil:
		s.Slots.Free(grant, now, false)
		room.learn(r, now-began)
		s.Stats.Run(r.Team, r.Class, now-began)
	case !sent:
		s.Slots.Free(grant, now, true)
	default:
		s.Slots.MarkInDoubt(grant, now, began+r.class.RunBound)
		s.Log.Emit(event.AnswerDropped, event.Fields{"Endpoint": grant.Endpoint, "Error": err})
	}
	return result{whole: err == nil, sent: sent, endpoint: grant.Endpoint, err: err}
}

// remote runs one attempt in another daemon.
func (s *Service) remote(ctx context.Context, room *room, t *ticket, a assignment, w *buffered) result {
	to := a.remote
	client, ok := s.Peers.Peer(to.VM)
	if !ok {
		return result{refused: true}
	}
	r := t.request
	bounded, cancel := context.WithTimeout(ctx, r.Deadline.Boot-s.Timer.Now().Boot)
	defer cancel()
	noted, sent := mesh.WithSent(bounded)
	began := s.Timer.Now().Boot
	request := s.forwardRequest(t, to, false)
	request.OfferID = a.offer
	stream, err := client.Forward(noted, request)
	if err != nil {
		s.Members.SetFree(to.VM, r.service, 0)
		return result{sent: sent.Maybe(), refused: !sent.Maybe(), err: err}
	}
	end, err := readParts(stream, w)
	if err != nil {
		s.Stats.Forward("lost")
		s.Members.SetFree(to.VM, r.service, 0)
		return result{sent: sent.Maybe(), refused: !sent.Maybe(), err: err}
	}
	s.Members.SetFree(to.VM, r.service, int(end.GetFreeSlots()))
	out := resultOf(end)
	s.Stats.Forward(forwardLabel(out))
	if out.whole {
		room.learn(r, s.Timer.Now().Boot-began)
	}
	return out
}

func forwardLabel(r result) string {
	switch {
	case r.whole:
		return "done"
	case r.refused:
		return "refused"
	}
	return "failed"
}
