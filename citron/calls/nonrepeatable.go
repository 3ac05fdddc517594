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
	// intentTimeout limits one attempt to record an intent or an outcome.
	intentTimeout = 2 * time.Second
	// outcomeRetryDelay is the delay before a failed record of an outcome is retried.
	outcomeRetryDelay = 500 * time.Millisecond
	// maxRetainedAnswer is the maximum size in bytes of an answer that the log retains to answer a repeated request.
	maxRetainedAnswer = 2 << 10
	// logRetryAfter is the retry delay sent to callers while the log is unavailable.
	logRetryAfter = 2 * time.Second
)

// intentShard holds the non-repeatable requests of one owned shard.
type intentShard struct {
	ledger *ledger.Ledger
	calls  *state.Calls
	// inProgress holds the requests that are running or whose outcome is not recorded yet.
	inProgress map[state.CallKey]bool
}

// IntentStore records intents, the write-ahead records of non-repeatable requests, and their outcomes. The zero value
// owns no shard.
type IntentStore struct {
	// Retention is how long intents are retained.
	Retention time.Duration
	// LogAvailable reports whether the log has answered recently.
	LogAvailable func() bool

	mu     sync.Mutex
	shards map[citron.ShardID]*intentShard
}

// Gained opens the records of a newly owned shard.
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

// Lost closes the records of a shard that this daemon no longer owns.
func (i *IntentStore) Lost(id citron.ShardID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if sh, ok := i.shards[id]; ok {
		sh.ledger.Close()
		delete(i.shards, id)
	}
}

// Prune deletes the intents that are older than Retention.
func (i *IntentStore) Prune(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, sh := range i.shards {
		sh.calls.Prune(now.Add(-i.Retention))
	}
}

// Count returns the number of retained intents.
func (i *IntentStore) Count() (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, sh := range i.shards {
		n += sh.calls.Len()
	}
	return n
}

// readyShard returns an owned shard once every record of former epochs has been replayed.
func (i *IntentStore) readyShard(id citron.ShardID) (*intentShard, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	sh, ok := i.shards[id]
	return sh, ok && sh.ledger.IsReady()
}

// begin marks a request as in progress; it reports false if it already is.
func (i *IntentStore) begin(sh *intentShard, key state.CallKey) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if sh.inProgress[key] {
		return false
	}
	sh.inProgress[key] = true
	return true
}

// end marks a request as no longer in progress.
func (i *IntentStore) end(sh *intentShard, key state.CallKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(sh.inProgress, key)
}

// serveNonRepeatable runs a non-repeatable request on the daemon that owns the shard of its id.
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
	tracked, sent := mesh.TrackSend(bounded)
	answer := newBufferedAnswer(w, s.Options.BufferedAnswer)
	stream, err := client.Forward(tracked, s.forwardRequest(&waitingCall{request: r}, to, true))
	if err == nil {
		var end *peer.AnswerEnd
		if end, err = readParts(stream, answer); err == nil {
			return s.finishNonRepeatable(end, answer)
		}
	}
	if !sent.MayBeSent() {
		return noOwnerRefusal(r)
	}
	return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the daemon that ran this request was lost")
}

// noOwnerRefusal refuses a request whose records cannot be read at the moment. Only a request with a generated id
// cannot be a repeat; any other one may have run already, so its outcome is unknown.
func noOwnerRefusal(r *Request) *citron.Refusal {
	refusal := citron.NewNotRunRefusal(citron.RefusalNoOwner, time.Second,
		"the owner of this request id changes at the moment; send the request again with the same id")
	if !r.GeneratedID {
		refusal.Outcome = record.Outcome_OUTCOME_UNKNOWN
	}
	return refusal
}

// finishNonRepeatable passes the answer of the owner to the caller.
func (s *Service) finishNonRepeatable(end *peer.AnswerEnd, answer *bufferedAnswer) *citron.Refusal {
	if end.GetNumber() != 0 {
		return refusalOf(end)
	}
	if err := answer.flush(); err != nil {
		return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the caller has gone")
	}
	return nil
}

// serveForwardedNonRepeatable runs a non-repeatable request forwarded by another daemon.
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
	// The run continues after the caller disconnects, so that a repeated request gets the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Deadline.Boot-s.Timer.Now().Boot)
	defer cancel()
	n := &nonRepeatableRun{service: s, shardID: id, shard: sh, key: key, request: r, intent: sh.ledger.NewEntry()}
	return n.run(ctx, w)
}

// answerRepeat answers a request that already has an intent from its record. The request is never sent again.
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

// nonRepeatableRun is a non-repeatable request in progress.
type nonRepeatableRun struct {
	service *Service
	shardID citron.ShardID
	shard   *intentShard
	key     state.CallKey
	request *Request
	intent  *record.Entry
	// intentSent is set once an append of the intent has been attempted.
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

// recordIntent commits the intent to the log before the first byte is sent to an endpoint.
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

// finish records the outcome in the background. The request stays in progress until then, so that a repeat cannot run
// while the append is in doubt.
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
	// A graceful shutdown waits for the record as for a request.
	end := n.service.inFlight.begin()
	n.service.background.Go(func(ctx context.Context) {
		defer end()
		n.recordOutcome(ctx, body)
	})
}

// recordOutcome retries the record until it has been applied or the shard is lost.
func (n *nonRepeatableRun) recordOutcome(ctx context.Context, body *record.CallOutcome) {
	defer n.service.Intents.end(n.shard, n.key)
	for {
		entry := n.shard.ledger.NewEntry()
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

// copyingWriter passes an answer to the caller and keeps a copy of up to maxRetainedAnswer bytes. It hides write
// errors, so that the run continues after the caller disconnects.
type copyingWriter struct {
	out       citron.AnswerWriter
	status    int
	body      []byte
	tooLarge  bool
	callerErr error

	contentType string
}

var _ citron.AnswerWriter = (*copyingWriter)(nil)

// WriteHead copies and passes on the status and content type.
func (c *copyingWriter) WriteHead(status int, contentType string) error {
	c.status, c.contentType = status, contentType
	c.callerErr = c.out.WriteHead(status, contentType)
	return nil
}

// WriteChunk copies and passes on a part of the body.
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

// complete reports whether the copy holds the answer in full.
func (c *copyingWriter) complete() bool {
	return c.status != 0 && !c.tooLarge
}

// AwaitReady returns once every record of former epochs of an owned shard has been replayed, or the context ends.
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
