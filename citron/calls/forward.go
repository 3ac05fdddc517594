package calls

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"google.golang.org/grpc"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"
)

// maxChunkBytes is the maximum size of one part of an answer sent between daemons.
const maxChunkBytes = 64 << 10

// forwardRequest returns the message that forwards a call to another daemon.
func (s *Service) forwardRequest(c *waitingCall, to citron.Member, keyed bool) *peer.ForwardRequest {
	r := c.request
	out := &peer.ForwardRequest{
		Sender:      shard.MemberRecord(s.Self),
		Receiver:    shard.MemberRecord(to),
		Team:        string(r.Team),
		Class:       string(r.Class),
		RequestID:   string(r.ID),
		AttemptID:   string(newAttemptID()),
		RemainingMs: (r.Deadline.Boot - s.Timer.Now().Boot).Milliseconds(),
		Repeatable:  r.Repeatable,
		Fresh:       r.GeneratedID,
		Keyed:       keyed,
		ContentType: r.ContentType,
		Body:        r.Body,
	}
	for _, e := range c.avoid {
		out.Avoid = append(out.Avoid, string(e))
	}
	return out
}

// readParts copies an answer from another daemon to w. A missing end or a wrong size is an ErrTruncated.
func readParts(stream grpc.ServerStreamingClient[peer.ForwardPart], w citron.AnswerWriter) (*peer.AnswerEnd, error) {
	var size int64
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, citron.ErrTruncated
		}
		if err != nil {
			return nil, err
		}
		switch p := part.GetPart().(type) {
		case *peer.ForwardPart_Head:
			err = w.WriteHead(int(p.Head.GetStatus()), p.Head.GetContentType())
		case *peer.ForwardPart_Chunk:
			size += int64(len(p.Chunk))
			err = w.WriteChunk(p.Chunk)
		case *peer.ForwardPart_End:
			if p.End.GetOutcome() == record.Outcome_OUTCOME_DONE && p.End.GetSize() != size {
				return nil, citron.ErrTruncated
			}
			return p.End, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// resultOf converts the end of a forwarded call's answer to the result of the attempt.
func resultOf(end *peer.AnswerEnd) result {
	r := result{endpoint: citron.Endpoint(end.GetEndpoint())}
	if end.GetReason() != "" {
		r.err = errors.New(end.GetReason())
	}
	switch end.GetOutcome() {
	case record.Outcome_OUTCOME_DONE:
		r.complete, r.sent = true, true
	case record.Outcome_OUTCOME_NOT_RUN:
		r.refused = citron.RefusalNumber(end.GetNumber()) == citron.RefusalNoSlot
	default:
		r.sent = true
	}
	return r
}

// forwardWriter streams an answer to the daemon that forwarded the call.
type forwardWriter struct {
	stream grpc.ServerStreamingServer[peer.ForwardPart]
	size   int64
}

var _ citron.AnswerWriter = (*forwardWriter)(nil)

// WriteHead sends the status and content type.
func (w *forwardWriter) WriteHead(status int, contentType string) error {
	head := &peer.AnswerHead{Status: int32(status), ContentType: contentType}
	return w.stream.Send(&peer.ForwardPart{Part: &peer.ForwardPart_Head{Head: head}})
}

// WriteChunk sends a part of the body in messages of at most maxChunkBytes.
func (w *forwardWriter) WriteChunk(p []byte) error {
	w.size += int64(len(p))
	for len(p) > 0 {
		n := min(len(p), maxChunkBytes)
		if err := w.stream.Send(&peer.ForwardPart{Part: &peer.ForwardPart_Chunk{Chunk: p[:n]}}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// writeEnd sends the end of the answer with the total body size.
func (w *forwardWriter) writeEnd(e *peer.AnswerEnd) error {
	e.Size = w.size
	return w.stream.Send(&peer.ForwardPart{Part: &peer.ForwardPart_End{End: e}})
}

// ServeForwarded runs a call forwarded by another daemon and streams its answer.
func (s *Service) ServeForwarded(f *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.ForwardPart]) error {
	end := s.inFlight.begin()
	defer end()
	w := &forwardWriter{stream: stream}
	if shard.MemberOf(f.GetReceiver()) != s.Self {
		return w.writeEnd(refusalEnd(citron.NewNotRunRefusal(citron.RefusalNoOwner, 0, "meant for a former incarnation of this daemon")))
	}
	now := s.Timer.Now()
	r := Request{
		Team:        citron.Team(f.GetTeam()),
		Class:       citron.Class(f.GetClass()),
		ID:          citron.RequestID(f.GetRequestID()),
		Repeatable:  f.GetRepeatable(),
		GeneratedID: f.GetFresh(),
		Deadline:    now.Add(time.Duration(f.GetRemainingMs()) * time.Millisecond),
		ContentType: f.GetContentType(),
		Body:        f.GetBody(),
	}
	if !s.seenAttempts.add(citron.AttemptID(f.GetAttemptID()), r.Deadline.Boot) {
		return w.writeEnd(refusalEnd(citron.NewUnknownRefusal(citron.RefusalInProgress, "this attempt has come before")))
	}
	if refusal := s.admit(&r); refusal != nil {
		return w.writeEnd(refusalEnd(refusal))
	}
	if f.GetKeyed() {
		return s.serveForwardedNonRepeatable(stream.Context(), &r, w)
	}
	return s.serveForwardedNow(stream.Context(), &r, f, w)
}

// serveForwardedNow runs a forwarded call at once, without queueing, or refuses it if no slot is free.
func (s *Service) serveForwardedNow(ctx context.Context, r *Request, f *peer.ForwardRequest, w *forwardWriter) error {
	q := s.queueOf(r.service)
	var avoid []citron.Endpoint
	for _, e := range f.GetAvoid() {
		avoid = append(avoid, citron.Endpoint(e))
	}
	slot, ok := s.slotFor(r.service, f.GetOfferID(), avoid)
	if !ok {
		return w.writeEnd(s.withFreeSlots(r, refusalEnd(citron.NewNotRunRefusal(citron.RefusalNoSlot, 0, "no free slot"))))
	}
	answer := newBufferedAnswer(w, s.Options.BufferedAnswer)
	res := s.runLocal(ctx, q, r, slot, citron.AttemptID(f.GetAttemptID()), answer)
	defer q.dispatch()
	if res.complete {
		if err := answer.flush(); err != nil {
			return err
		}
		return w.writeEnd(s.withFreeSlots(r, &peer.AnswerEnd{Outcome: record.Outcome_OUTCOME_DONE, Endpoint: string(res.endpoint)}))
	}
	refusal := citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "%v", res.err)
	if !res.sent {
		refusal = citron.NewNotRunRefusal(citron.RefusalNoEndpoint, 0, "%v", res.err)
	}
	if res.refused {
		refusal = citron.NewNotRunRefusal(citron.RefusalNoSlot, 0, "%v", res.err)
	}
	e := refusalEnd(refusal)
	e.Endpoint = string(res.endpoint)
	return w.writeEnd(s.withFreeSlots(r, e))
}

// slotFor returns the slot offered for a call or, if there is none or its endpoint is to be avoided, any free slot.
func (s *Service) slotFor(service citron.Service, offer string, avoid []citron.Endpoint) (slots.Slot, bool) {
	now := s.Timer.Now().Boot
	slot, ok := s.offers.remove(offer)
	if ok && !slices.Contains(avoid, slot.Endpoint) {
		return slot, true
	}
	if ok {
		s.Slots.Free(slot, now, false)
	}
	return s.Slots.Acquire(service, now, avoid, s.Owner.MayAct)
}

// withFreeSlots adds the number of free slots, so that the other daemon learns it before the next heartbeat.
func (s *Service) withFreeSlots(r *Request, e *peer.AnswerEnd) *peer.AnswerEnd {
	e.FreeSlots = int32(s.Slots.Loads(s.Timer.Now().Boot, s.Owner.MayAct)[r.service].Free)
	return e
}

// refusalEnd converts a refusal to the end of an answer.
func refusalEnd(r *citron.Refusal) *peer.AnswerEnd {
	return &peer.AnswerEnd{
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Number:       int32(r.Number),
	}
}

// refusalOf converts the end of an answer to a refusal.
func refusalOf(e *peer.AnswerEnd) *citron.Refusal {
	return &citron.Refusal{
		Number:     citron.RefusalNumber(e.GetNumber()),
		Outcome:    e.GetOutcome(),
		Reason:     e.GetReason(),
		RetryAfter: time.Duration(e.GetRetryAfterMs()) * time.Millisecond,
	}
}
