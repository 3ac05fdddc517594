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

// sendChunk bounds one part of an answer between daemons.
const sendChunk = 64 << 10

func (s *Service) forwardRequest(t *ticket, to citron.Member, keyed bool) *peer.ForwardRequest {
	r := t.request
	out := &peer.ForwardRequest{
		Sender:      shard.MemberRecord(s.Self),
		Receiver:    shard.MemberRecord(to),
		Team:        string(r.Team),
		Class:       string(r.Class),
		RequestID:   string(r.ID),
		AttemptID:   string(newAttempt()),
		RemainingMs: (r.Deadline.Boot - s.Timer.Now().Boot).Milliseconds(),
		Repeatable:  r.Repeatable,
		Fresh:       r.GeneratedID,
		Keyed:       keyed,
		ContentType: r.ContentType,
		Body:        r.Body,
	}
	for _, e := range t.avoid {
		out.Avoid = append(out.Avoid, string(e))
	}
	return out
}

// readParts reads an answer from another daemon. An answer whose end is missing or whose size is wrong is an error.
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

func resultOf(end *peer.AnswerEnd) result {
	r := result{endpoint: citron.Endpoint(end.GetEndpoint())}
	if end.GetReason() != "" {
		r.err = errors.New(end.GetReason())
	}
	switch end.GetOutcome() {
	case record.Outcome_OUTCOME_DONE:
		r.whole, r.sent = true, true
	case record.Outcome_OUTCOME_NOT_RUN:
		r.refused = citron.RefusalNumber(end.GetNumber()) == citron.RefusalNoSlot
	default:
		r.sent = true
	}
	return r
}

// sender writes an answer to another daemon.
type sender struct {
	stream grpc.ServerStreamingServer[peer.ForwardPart]
	size   int64
}

var _ citron.AnswerWriter = (*sender)(nil)

// WriteHead sends what comes before the body.
func (w *sender) WriteHead(status int, contentType string) error {
	head := &peer.AnswerHead{Status: int32(status), ContentType: contentType}
	return w.stream.Send(&peer.ForwardPart{Part: &peer.ForwardPart_Head{Head: head}})
}

// WriteChunk sends a part of the body.
func (w *sender) WriteChunk(p []byte) error {
	w.size += int64(len(p))
	for len(p) > 0 {
		n := min(len(p), sendChunk)
		if err := w.stream.Send(&peer.ForwardPart{Part: &peer.ForwardPart_Chunk{Chunk: p[:n]}}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

func (w *sender) end(e *peer.AnswerEnd) error {
	e.Size = w.size
	return w.stream.Send(&peer.ForwardPart{Part: &peer.ForwardPart_End{End: e}})
}

// ServeForwarded answers another daemon's call.
func (s *Service) ServeForwarded(f *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.ForwardPart]) error {
	end := s.flights.begin()
	defer end()
	w := &sender{stream: stream}
	if shard.MemberOf(f.GetReceiver()) != s.Self {
		return w.end(refusalEnd(citron.NewNotRunRefusal(citron.RefusalNoOwner, 0, "meant for a former incarnation of this daemon")))
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
	if !s.attempts.first(citron.AttemptID(f.GetAttemptID()), r.Deadline.Boot) {
		return w.end(refusalEnd(citron.NewUnknownRefusal(citron.RefusalInProgress, "this attempt has come before")))
	}
	if refusal := s.admit(&r); refusal != nil {
		return w.end(refusalEnd(refusal))
	}
	if f.GetKeyed() {
		return s.forwardKeyed(stream.Context(), &r, w)
	}
	return s.forwardNow(stream.Context(), &r, f, w)
}

// forwardNow runs another daemon's call at once or says that there is no slot.
func (s *Service) forwardNow(ctx context.Context, r *Request, f *peer.ForwardRequest, w *sender) error {
	room := s.room(r.service)
	var avoid []citron.Endpoint
	for _, e := range f.GetAvoid() {
		avoid = append(avoid, citron.Endpoint(e))
	}
	grant, ok := s.slotFor(r.service, f.GetOfferID(), avoid)
	if !ok {
		return w.end(s.withRoom(r, refusalEnd(citron.NewNotRunRefusal(citron.RefusalNoSlot, 0, "no free slot"))))
	}
	answer := newBuffered(w, s.Options.BufferedAnswer)
	out := s.local(ctx, room, r, grant, citron.AttemptID(f.GetAttemptID()), answer)
	defer room.kick()
	if out.whole {
		if err := answer.finish(); err != nil {
			return err
		}
		return w.end(s.withRoom(r, &peer.AnswerEnd{Outcome: record.Outcome_OUTCOME_DONE, Endpoint: string(out.endpoint)}))
	}
	refusal := citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "%v", out.err)
	if !out.sent {
		refusal = citron.NewNotRunRefusal(citron.RefusalNoEndpoint, 0, "%v", out.err)
	}
	if out.refused {
		refusal = citron.NewNotRunRefusal(citron.RefusalNoSlot, 0, "%v", out.err)
	}
	e := refusalEnd(refusal)
	e.Endpoint = string(out.endpoint)
	return w.end(s.withRoom(r, e))
}

// slotFor returns the slot that was held for a call, unless its endpoint has failed the call already, or any other one.
func (s *Service) slotFor(service citron.Service, offer string, avoid []citron.Endpoint) (slots.Slot, bool) {
	now := s.Timer.Now().Boot
	grant, ok := s.offers.take(offer)
	if ok && !slices.Contains(avoid, grant.Endpoint) {
		return grant, true
	}
	if ok {
		s.Slots.Free(grant, now, false)
	}
	return s.Slots.Acquire(service, now, avoid, s.Owner.MayAct)
}

// withRoom adds the room that is left, so that the other daemon knows it without a beat.
func (s *Service) withRoom(r *Request, e *peer.AnswerEnd) *peer.AnswerEnd {
	e.FreeSlots = int32(s.Slots.Loads(s.Timer.Now().Boot, s.Owner.MayAct)[r.service].Free)
	return e
}

func refusalEnd(r *citron.Refusal) *peer.AnswerEnd {
	return &peer.AnswerEnd{
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Number:       int32(r.Number),
	}
}

func endRefusal(e *peer.AnswerEnd) *citron.Refusal {
	return &citron.Refusal{
		Number:     citron.RefusalNumber(e.GetNumber()),
		Outcome:    e.GetOutcome(),
		Reason:     e.GetReason(),
		RetryAfter: time.Duration(e.GetRetryAfterMs()) * time.Millisecond,
	}
}
