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
	// complete means that the endpoint's answer has been received in full.
	complete bool
	// sent means that bytes may have reached an endpoint.
	sent bool
	// refused means that the slot was gone or the other daemon unreachable; it does not count as an attempt.
	refused  bool
	endpoint citron.Endpoint
	err      error
}

// errLeaseExpired means that the shard was lost after the endpoint was chosen and before the call was sent.
var errLeaseExpired = errors.New("lease lapsed before sending")

// run queues a request and attempts it until it has an answer. BeforeSend, if not nil, is called once, after the first
// slot has been assigned and before any byte is sent; its refusal ends the request.
func (s *Service) run(ctx context.Context, r *Request, w citron.AnswerWriter, beforeSend func() *citron.Refusal) *citron.Refusal {
	q := s.queueOf(r.service)
	c := &waitingCall{request: r, assigned: make(chan assignment, 1)}
	began := s.Timer.Now().Boot
	if refusal := q.enqueue(c); refusal != nil {
		return refusal
	}
	sentBefore := false
	for {
		a, refusal := s.awaitSlot(ctx, q, c)
		if refusal != nil {
			return withUnknownOutcome(refusal, sentBefore)
		}
		s.Stats.ObserveWait(r.Team, r.Class, s.Timer.Now().Boot-began)
		if beforeSend != nil {
			if refusal := beforeSend(); refusal != nil {
				s.releaseAssignment(a)
				q.endCall(r.Team)
				return refusal
			}
			beforeSend = nil
		}
		answer := newBufferedAnswer(w, s.Options.BufferedAnswer)
		res := s.attempt(ctx, q, c, a, answer)
		q.endCall(r.Team)
		sentBefore = sentBefore || res.sent
		refusal, retry := s.decideRetry(ctx, r, c, res, answer)
		if !retry {
			return withUnknownOutcome(refusal, sentBefore)
		}
		q.requeue(c)
	}
}

// withUnknownOutcome changes the outcome from "not run" to "unknown" if an earlier attempt may have run.
func withUnknownOutcome(refusal *citron.Refusal, sentBefore bool) *citron.Refusal {
	if refusal != nil && sentBefore && refusal.Outcome == record.Outcome_OUTCOME_NOT_RUN {
		refusal.Outcome = record.Outcome_OUTCOME_UNKNOWN
	}
	return refusal
}

// awaitSlot waits until a slot is assigned, the call expires or the caller disconnects.
func (s *Service) awaitSlot(ctx context.Context, q *serviceQueue, c *waitingCall) (assignment, *citron.Refusal) {
	q.dispatch()
	select {
	case a := <-c.assigned:
		if a.expired {
			return a, citron.NewNotRunRefusal(citron.RefusalDeadlinePassed, minRetryAfter, "no slot came free before the deadline")
		}
		return a, nil
	case <-ctx.Done():
		if !q.remove(c) {
			if a := <-c.assigned; !a.expired {
				s.releaseAssignment(a)
				q.endCall(c.request.Team)
			}
		}
		return assignment{}, citron.NewNotRunRefusal(citron.RefusalDeadlinePassed, minRetryAfter, "the caller has gone")
	}
}

// releaseAssignment frees an assigned local slot that was not used.
func (s *Service) releaseAssignment(a assignment) {
	if a.remote.IsZero() {
		s.Slots.Free(a.slot, s.Timer.Now().Boot, false)
	}
	// A slot reserved by another daemon is freed there when the offer expires.
}

// attempt runs one attempt on the assigned slot.
func (s *Service) attempt(ctx context.Context, q *serviceQueue, c *waitingCall, a assignment, w *bufferedAnswer) result {
	if a.remote.IsZero() {
		return s.runLocal(ctx, q, c.request, a.slot, newAttemptID(), w)
	}
	return s.runRemote(ctx, q, c, a, w)
}

// decideRetry writes the answer or decides whether the request is refused or retried after an attempt.
func (s *Service) decideRetry(ctx context.Context, r *Request, c *waitingCall, res result, w *bufferedAnswer) (refusal *citron.Refusal, retry bool) {
	if res.complete && !(w.status == http.StatusServiceUnavailable && s.mayRetry(ctx, r, c, res, w)) {
		if err := w.flush(); err != nil {
			return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the caller has gone"), false
		}
		return nil, false
	}
	if res.refused {
		return s.requeueOrRefuse(r)
	}
	if res.complete || s.mayRetry(ctx, r, c, res, w) {
		s.Stats.CountRetry(r.Team, r.Class)
		s.Log.Emit(event.CallRetried, event.Fields{"Team": r.Team, "Class": r.Class, "Endpoint": res.endpoint})
		c.avoid = append(c.avoid, res.endpoint)
		return nil, true
	}
	if !res.sent {
		return citron.NewNotRunRefusal(citron.RefusalNoEndpoint, minRetryAfter, "no endpoint could be reached: %v", res.err), false
	}
	s.Log.Emit(event.CallUnknown, event.Fields{"Team": r.Team, "Class": r.Class, "Endpoint": res.endpoint, "Error": res.err})
	return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the endpoint was lost during the run"), false
}

// requeueOrRefuse decides whether a call whose slot was gone returns to the queue.
func (s *Service) requeueOrRefuse(r *Request) (*citron.Refusal, bool) {
	if r.Deadline.ReachedEither(s.Timer.Now()) {
		return citron.NewNotRunRefusal(citron.RefusalDeadlinePassed, minRetryAfter, "no slot came free before the deadline"), false
	}
	return nil, true
}

// mayRetry reports whether a failed attempt may be retried and withdraws the retry from the budget.
func (s *Service) mayRetry(ctx context.Context, r *Request, c *waitingCall, res result, w *bufferedAnswer) bool {
	if w.committed || ctx.Err() != nil || r.Deadline.ReachedEither(s.Timer.Now()) {
		return false
	}
	if res.sent && !r.Repeatable {
		return false
	}
	return len(c.avoid) < maxRetries && s.retries.withdraw()
}

// runLocal runs one attempt on a slot in a shard of this daemon.
func (s *Service) runLocal(ctx context.Context, q *serviceQueue, r *Request, slot slots.Slot, id citron.AttemptID, w citron.AnswerWriter) result {
	if !s.Owner.MayAct(slot.Shard) {
		s.Slots.Free(slot, s.Timer.Now().Boot, false)
		return result{refused: true, err: errLeaseExpired}
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
	sent, err := s.Invoker.Invoke(bounded, slot.Address, call, w)
	now := s.Timer.Now().Boot
	switch {
	case err == nil:
		s.Slots.Free(slot, now, false)
		q.recordRunTime(r, now-began)
		s.Stats.ObserveRun(r.Team, r.Class, now-began)
	case !sent:
		s.Slots.Free(slot, now, true)
	default:
		s.Slots.MarkInDoubt(slot, now, began+r.class.RunBound)
		s.Log.Emit(event.AnswerDropped, event.Fields{"Endpoint": slot.Endpoint, "Error": err})
	}
	return result{complete: err == nil, sent: sent, endpoint: slot.Endpoint, err: err}
}

// runRemote forwards one attempt to another daemon.
func (s *Service) runRemote(ctx context.Context, q *serviceQueue, c *waitingCall, a assignment, w *bufferedAnswer) result {
	to := a.remote
	client, ok := s.Peers.Peer(to.VM)
	if !ok {
		return result{refused: true}
	}
	r := c.request
	bounded, cancel := context.WithTimeout(ctx, r.Deadline.Boot-s.Timer.Now().Boot)
	defer cancel()
	tracked, sent := mesh.TrackSend(bounded)
	began := s.Timer.Now().Boot
	request := s.forwardRequest(c, to, false)
	request.OfferID = a.offer
	stream, err := client.Forward(tracked, request)
	if err != nil {
		s.Members.SetFree(to.VM, r.service, 0)
		return result{sent: sent.MayBeSent(), refused: !sent.MayBeSent(), err: err}
	}
	end, err := readParts(stream, w)
	if err != nil {
		s.Stats.CountForward("lost")
		s.Members.SetFree(to.VM, r.service, 0)
		return result{sent: sent.MayBeSent(), refused: !sent.MayBeSent(), err: err}
	}
	s.Members.SetFree(to.VM, r.service, int(end.GetFreeSlots()))
	res := resultOf(end)
	s.Stats.CountForward(forwardLabel(res))
	if res.complete {
		q.recordRunTime(r, s.Timer.Now().Boot-began)
	}
	return res
}

// forwardLabel returns the metric label for the result of a forwarded attempt.
func forwardLabel(r result) string {
	switch {
	case r.complete:
		return "done"
	case r.refused:
		return "refused"
	}
	return "failed"
}
