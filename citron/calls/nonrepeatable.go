package calls

import (
	"context"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/ledger"
	"github.com/citroncross/citroncross/citron/mesh"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// intentTimeout bounds the recording of one intent.
	intentTimeout = 2 * time.Second
	// outcomeRetryDelay is the pause before another try to record an outcome.
	outcomeRetryDelay = 500 * time.Millisecond
	// maxRetainedAnswer is the largest answer that is kept in the log for a repeat of its request.
	maxRetainedAnswer = 2 << 10
	// logRetryAfter is when callers should come back while the log does not answer.
	logRetryAfter = 2 * time.Second
)

// intentShard is the non-repeatable requests of one owned shard.
type intentShard struct {
	ledger *ledger.Ledger
	calls  *state.Calls
	// inProgress holds the requests that are under way or whose outcome is not yet recorded.
	inProgress map[state.CallKey]bool
}

// IntentStore records the intents and outcomes of non-repeatable requests. The zero value owns no shard.
type IntentStore struct {
	// Retention is how long intents are remembered.
	Retention time.Duration
	// LogAvailable reports whether the log answered lately.
	LogAvailable func() bool

	mu     sync.Mutex
	shards map[citron.ShardID]*intentShard
}

// Gained opens the book of a shard.
func (i *IntentStore) Gained(ctx context.Context, o ledger.Options, id citron.ShardID, epoch citron.Epoch) {
	calls := &state.Calls{}
	sh := &intentShard{calls: calls, inProgress: map[state.CallKey]bool{}}
	sh.ledger = ledger.Open(ctx, o, id, epoch, calls)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.shards == nil {
		i.shards = map[citron.ShardID]*intentShard{}
	}
	if old, ok := i.shards[id]; ok {
		old.ledger.Close()
	}
	i.shards[id] = sh
}

// Lost closes the book of a shard.
func (i *IntentStore) Lost(id citron.ShardID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if sh, ok := i.shards[id]; ok {
		sh.ledger.Close()
		delete(i.shards, id)
	}
}

// Prune forgets old intents.
func (i *IntentStore) Prune(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, sh := range i.shards {
		sh.calls.Prune(now.Add(-i.Retention))
	}
}

// Count returns the number of intents that are remembered.
func (i *IntentStore) Count() (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, sh := range i.shards {
		n += sh.calls.Len()
	}
	return n
}

func (i *IntentStore) readyShard(id citron.ShardID) (*intentShard, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	sh, ok := i.shards[id]
	return sh, ok && sh.ledger.IsReady()
}

// begin marks a request as under way and reports whether it was not.
func (i *IntentStore) begin(sh *intentShard, key state.CallKey) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if sh.inProgress[key] {
		return false
	}
	sh.inProgress[key] = true
	return true
}

func (i *IntentStore) end(sh *intentShard, key state.CallKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(sh.inProgress, key)
}

// serveNonRepeatable runs a non-repeatable request in the daemon that owns its id.
func (s *Service) serveNonRepeatable(ctx context.Context, r *Request, w citron.AnswerWriter) *citron.Refusal {
	id := s.Layout.RequestShard(r.Team, r.ID)
	if s.Owner.MayAct(id) {
		return s.runNonRepeatable(ctx, id, r, w)
	}
	to := s.Owner.OwnerOf(id)
	client, ok := s.Peers.Peer(to.VM)
	if !ok || to == s.Self {
		return noOwnerRefusal(r)
	}
	bounded, cancel := context.WithTimeout(ctx, r.Deadline.Boot-s.Timer.Now().Boot)
	defer cancel()
	tracked, sent := mesh.WithSent(bounded)
	answer := newBufferedAnswer(w, s.Options.BufferedAnswer)
	stream, err := client.Forward(tracked, s.forwardRequest(&waitingCall{request: r}, to, true))
	if err == nil {
		var end *peer.AnswerEnd
		if end, err = readParts(stream, answer); err == nil {
			return s.finishNonRepeatable(end, answer)
		}
	}
	if !sent.Maybe() {
		return noOwnerRefusal(r)
	}
	return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the daemon that ran this request was lost")
}

// noOwnerRefusal refuses a request whose records cannot be read at the moment. Only a request whose id was made here is
// known to be no repeat, so only that one is known not to have run.
func noOwnerRefusal(r *Request) *citron.Refusal {
	refusal := citron.NewNotRunRefusal(citron.RefusalNoOwner, time.Second,
		"the owner of this request id changes at the moment; send the request again with the same id")
	if !r.GeneratedID {
		refusal.Outcome = record.Outcome_OUTCOME_UNKNOWN
	}
	return refusal
}

func (s *Service) finishNonRepeatable(end *peer.AnswerEnd, answer *bufferedAnswer) *citron.Refusal {
	if end.GetNumber() != 0 {
		return refusalOf(end)
	}
	if err := answer.flush(); err != nil {
		return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the caller has gone")
	}
	return nil
}

// serveForwardedNonRepeatable answers another daemon's non-repeatable request.
func (s *Service) serveForwardedNonRepeatable(ctx context.Context, r *Request, w *forwardWriter) error {
	id := s.Layout.RequestShard(r.Team, r.ID)
	if !s.Owner.MayAct(id) {
		return w.writeEnd(refusalEnd(noOwnerRefusal(r)))
	}
	if refusal := s.runNonRepeatable(ctx, id, r, w); refusal != nil {
		return w.writeEnd(refusalEnd(refusal))
	}
	return w.writeEnd(&peer.AnswerEnd{Outcome: record.Outcome_OUTCOME_DONE})
}

// runNonRepeatable runs a non-repeatable request at most once.
func (s *Service) runNonRepeatable(ctx context.Context, id citron.ShardID, r *Request, w citron.AnswerWriter) *citron.Refusal {
	sh, ok := s.Intents.readyShard(id)
	if !ok {
		return noOwnerRefusal(r)
	}
	key := state.CallKey{Team: r.Team, RequestID: r.ID}
	if !s.Intents.begin(sh, key) {
		return citron.NewUnknownRefusal(citron.RefusalInProgress, "this request is under way; ask again for its outcome")
	}
	if known, ok := sh.calls.Get(key); ok {
		s.Intents.end(sh, key)
		return answerRepeat(known, w)
	}
	if !s.Owner.MayAct(id) {
		s.Intents.end(sh, key)
		return noOwnerRefusal(r)
	}
	if !s.Intents.LogAvailable() {
		s.Intents.end(sh, key)
		return citron.NewNotRunRefusal(citron.RefusalLogUnavailable, logRetryAfter, "the platform's log does not answer, and this request may run once only")
	}
	// A caller that goes away does not cut the run: its repeat gets the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Deadline.Boot-s.Timer.Now().Boot)
	defer cancel()
	n := &nonRepeatableRun{service: s, shardID: id, shard: sh, key: key, request: r, intent: sh.ledger.Entry()}
	return n.run(ctx, w)
}

// answerRepeat answers a request that has an intent already. It is never sent again.
func answerRepeat(known state.Intent, w citron.AnswerWriter) *citron.Refusal {
	switch known.Outcome {
	case record.Outcome_OUTCOME_DONE:
		if known.Status == 0 {
			r := citron.NewUnknownRefusal(citron.RefusalAlreadyRan, "this request has run; its answer was too large to keep")
			r.Outcome = record.Outcome_OUTCOME_DONE
			return r
		}
		if err := w.WriteHead(int(known.Status), known.ContentType); err != nil {
			return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the caller has gone")
		}
		if err := w.WriteChunk(known.Body); err != nil {
			return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the caller has gone")
		}
		return nil
	default:
		return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "this request was sent to an endpoint and its outcome was lost; it will not be sent again")
	}
}

// nonRepeatableRun is one non-repeatable request under way.
type nonRepeatableRun struct {
	service *Service
	shardID citron.ShardID
	shard   *intentShard
	key     state.CallKey
	request *Request
	intent  *record.Entry
	// intentSent is set once the intent was given to the log.
	intentSent bool
	answer     *copyingWriter
}

func (n *nonRepeatableRun) run(ctx context.Context, w citron.AnswerWriter) *citron.Refusal {
	n.answer = &copyingWriter{out: w}
	refusal := n.service.run(ctx, n.request, n.answer, func() *citron.Refusal { return n.recordIntent(ctx) })
	if !n.intentSent {
		n.service.Intents.end(n.shard, n.key)
		return refusal
	}
	outcome := record.Outcome_OUTCOME_DONE
	if refusal != nil {
		outcome = refusal.Outcome
	}
	n.finish(outcome)
	return refusal
}

// recordIntent puts the intent into the log before the first byte goes out.
func (n *nonRepeatableRun) recordIntent(ctx context.Context) *citron.Refusal {
	n.intentSent = true
	n.intent.Body = &record.Entry_Intent{Intent: &record.Intent{
		RequestID: string(n.key.RequestID),
		Team:      string(n.key.Team),
		Class:     string(n.request.Class),
	}}
	bounded, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	err := n.shard.ledger.Commit(bounded, n.intent)
	known, ok := n.shard.calls.Get(n.key)
	if err != nil || !ok || known.ID != n.intent.GetID() {
		return citron.NewNotRunRefusal(citron.RefusalLogUnavailable, logRetryAfter, "the platform's log did not take the request, which may run once only")
	}
	if !n.service.Owner.MayAct(n.shardID) {
		return citron.NewNotRunRefusal(citron.RefusalNoOwner, time.Second, "the owner of this request id changes at the moment")
	}
	return nil
}

// finish records the outcome in the background. Until it is recorded the request stays busy, so that a repeat
// cannot run beside a record that is still on its way.
func (n *nonRepeatableRun) finish(outcome record.Outcome) {
	body := &record.CallOutcome{
		IntentID:  n.intent.GetID(),
		Team:      string(n.key.Team),
		RequestID: string(n.key.RequestID),
		Outcome:   outcome,
	}
	if outcome == record.Outcome_OUTCOME_DONE && n.answer.complete() {
		body.Status = int32(n.answer.status)
		body.Body = n.answer.body
		body.ContentType = n.answer.contentType
	}
	// A graceful stop waits for the record as for a request.
	end := n.service.inFlight.begin()
	n.service.background.Go(func(ctx context.Context) {
		defer end()
		n.recordOutcome(ctx, body)
	})
}

// recordOutcome repeats the record until it has been applied or the shard is lost.
func (n *nonRepeatableRun) recordOutcome(ctx context.Context, body *record.CallOutcome) {
	defer n.service.Intents.end(n.shard, n.key)
	for {
		entry := n.shard.ledger.Entry()
		entry.Body = &record.Entry_CallOutcome{CallOutcome: body}
		bounded, cancel := context.WithTimeout(ctx, intentTimeout)
		err := n.shard.ledger.Commit(bounded, entry)
		cancel()
		if err == nil {
			return
		}
		timer.Pause(ctx, n.service.Timer, outcomeRetryDelay)
		if ctx.Err() != nil || !n.service.Owner.MayAct(n.shardID) {
			n.service.Log.Emit(event.CallUnknown, event.Fields{"Team": n.key.Team, "Class": n.request.Class, "Error": "outcome not recorded"})
			return
		}
	}
}

// copyingWriter hands an answer on and keeps a copy while it is small. A caller that has gone does not end the run.
type copyingWriter struct {
	out       citron.AnswerWriter
	status    int
	body      []byte
	tooLarge  bool
	callerErr error

	contentType string
}

var _ citron.AnswerWriter = (*copyingWriter)(nil)

// WriteHead hands on what comes before the body.
func (c *copyingWriter) WriteHead(status int, contentType string) error {
	c.status, c.contentType = status, contentType
	c.callerErr = c.out.WriteHead(status, contentType)
	return nil
}

// WriteChunk hands on a part of the body.
func (c *copyingWriter) WriteChunk(p []byte) error {
	if len(c.body)+len(p) > maxRetainedAnswer {
		c.tooLarge = true
		c.body = nil
	}
	if !c.tooLarge {
		c.body = append(c.body, p...)
	}
	if c.callerErr == nil {
		c.callerErr = c.out.WriteChunk(p)
	}
	return nil
}

func (c *copyingWriter) complete() bool {
	return c.status != 0 && !c.tooLarge
}

// AwaitReady returns once the book of an owned shard has read every record of former epochs, or the context ends.
func (i *IntentStore) AwaitReady(ctx context.Context, id citron.ShardID) {
	i.mu.Lock()
	sh, ok := i.shards[id]
	i.mu.Unlock()
	if !ok {
		return
	}
	select {
	case <-sh.ledger.Ready():
	case <-sh.ledger.Ended():
	case <-ctx.Done():
	}
}
