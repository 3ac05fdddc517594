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
	// closeRetry is the pause before another try to record an outcome.
	closeRetry = 500 * time.Millisecond
	// keptAnswerBytes is the largest answer that is kept in the log for a repeat of its request.
	keptAnswerBytes = 2 << 10
	// logRetryAfter is when callers should come back while the log does not answer.
	logRetryAfter = 2 * time.Second
)

// book is the non-repeatable requests of one owned shard.
type book struct {
	ledger *ledger.Ledger
	calls  *state.Calls
	// busy holds the requests that are under way or whose outcome is not yet recorded.
	busy map[state.CallKey]bool
}

// IntentStore records the intents and outcomes of non-repeatable requests. The zero value owns no shard.
type IntentStore struct {
	// Retention is how long intents are remembered.
	Retention time.Duration
	// LogAvailable reports whether the log answered lately.
	LogAvailable func() bool

	mu    sync.Mutex
	books map[citron.ShardID]*book
}

// Gained opens the book of a shard.
func (k *IntentStore) Gained(ctx context.Context, o ledger.Options, id citron.ShardID, epoch citron.Epoch) {
	calls := &state.Calls{}
	b := &book{calls: calls, busy: map[state.CallKey]bool{}}
	b.ledger = ledger.Open(ctx, o, id, epoch, calls)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.books == nil {
		k.books = map[citron.ShardID]*book{}
	}
	if old, ok := k.books[id]; ok {
		old.ledger.Close()
	}
	k.books[id] = b
}

// Lost closes the book of a shard.
func (k *IntentStore) Lost(id citron.ShardID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b, ok := k.books[id]; ok {
		b.ledger.Close()
		delete(k.books, id)
	}
}

// Prune forgets old intents.
func (k *IntentStore) Prune(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range k.books {
		b.calls.Prune(now.Add(-k.Retention))
	}
}

// Count returns the number of intents that are remembered.
func (k *IntentStore) Count() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range k.books {
		n += b.calls.Len()
	}
	return n
}

func (k *IntentStore) book(id citron.ShardID) (*book, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.books[id]
	return b, ok && b.ledger.IsReady()
}

// enter marks a request as under way and reports whether it was not.
func (k *IntentStore) enter(b *book, key state.CallKey) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.busy[key] {
		return false
	}
	b.busy[key] = true
	return true
}

func (k *IntentStore) exit(b *book, key state.CallKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(b.busy, key)
}

// serveKeyed runs a non-repeatable request in the daemon that owns its id.
func (s *Service) serveKeyed(ctx context.Context, r *Request, w citron.AnswerWriter) *citron.Refusal {
	id := s.Layout.RequestShard(r.Team, r.ID)
	if s.Owner.MayAct(id) {
		return s.runKeyed(ctx, id, r, w)
	}
	to := s.Owner.OwnerOf(id)
	client, ok := s.Peers.Peer(to.VM)
	if !ok || to == s.Self {
		return unowned(r)
	}
	bounded, cancel := context.WithTimeout(ctx, r.Deadline.Boot-s.Timer.Now().Boot)
	defer cancel()
	noted, sent := mesh.WithSent(bounded)
	answer := newBuffered(w, s.Options.BufferedAnswer)
	stream, err := client.Forward(noted, s.forwardRequest(&ticket{request: r}, to, true))
	if err == nil {
		var end *peer.AnswerEnd
		if end, err = readParts(stream, answer); err == nil {
			return s.keyedEnd(end, answer)
		}
	}
	if !sent.Maybe() {
		return unowned(r)
	}
	return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the daemon that ran this request was lost")
}

// unowned refuses a request whose records cannot be read at the moment. Only a request whose id was made here is
// known to be no repeat, so only that one is known not to have run.
func unowned(r *Request) *citron.Refusal {
	refusal := citron.NewNotRunRefusal(citron.RefusalNoOwner, time.Second,
		"the owner of this request id changes at the moment; send the request again with the same id")
	if !r.GeneratedID {
		refusal.Outcome = record.Outcome_OUTCOME_UNKNOWN
	}
	return refusal
}

func (s *Service) keyedEnd(end *peer.AnswerEnd, answer *buffered) *citron.Refusal {
	if end.GetNumber() != 0 {
		return endRefusal(end)
	}
	if err := answer.finish(); err != nil {
		return citron.NewUnknownRefusal(citron.RefusalOutcomeUnknown, "the caller has gone")
	}
	return nil
}

// forwardKeyed answers another daemon's non-repeatable request.
func (s *Service) forwardKeyed(ctx context.Context, r *Request, w *sender) error {
	id := s.Layout.RequestShard(r.Team, r.ID)
	if !s.Owner.MayAct(id) {
		return w.end(refusalEnd(unowned(r)))
	}
	if refusal := s.runKeyed(ctx, id, r, w); refusal != nil {
		return w.end(refusalEnd(refusal))
	}
	return w.end(&peer.AnswerEnd{Outcome: record.Outcome_OUTCOME_DONE})
}

// runKeyed runs a non-repeatable request at most once.
func (s *Service) runKeyed(ctx context.Context, id citron.ShardID, r *Request, w citron.AnswerWriter) *citron.Refusal {
	b, ok := s.Intents.book(id)
	if !ok {
		return unowned(r)
	}
	key := state.CallKey{Team: r.Team, RequestID: r.ID}
	if !s.Intents.enter(b, key) {
		return citron.NewUnknownRefusal(citron.RefusalInProgress, "this request is under way; ask again for its outcome")
	}
	if known, ok := b.calls.Get(key); ok {
		s.Intents.exit(b, key)
		return replay(known, w)
	}
	if !s.Owner.MayAct(id) {
		s.Intents.exit(b, key)
		return unowned(r)
	}
	if !s.Intents.LogAvailable() {
		s.Intents.exit(b, key)
		return citron.NewNotRunRefusal(citron.RefusalLogUnavailable, logRetryAfter, "the platform's log does not answer, and this request may run once only")
	}
	// A caller that goes away does not cut the run: its repeat gets the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Deadline.Boot-s.Timer.Now().Boot)
	defer cancel()
	k := &keyedRun{s: s, id: id, book: b, key: key, request: r, intent: b.ledger.NewEntry()}
	return k.run(ctx, w)
}

// replay answers a request that has an intent already. It is never sent again.
func replay(known state.Intent, w citron.AnswerWriter) *citron.Refusal {
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

// keyedRun is one non-repeatable request under way.
type keyedRun struct {
	s       *Service
	id      citron.ShardID
	book    *book
	key     state.CallKey
	request *Request
	intent  *record.Entry
	// recorded is set once the intent was given to the log.
	recorded bool
	answer   *copied
}

func (k *keyedRun) run(ctx context.Context, w citron.AnswerWriter) *citron.Refusal {
	k.answer = &copied{out: w}
	refusal := k.s.run(ctx, k.request, k.answer, func() *citron.Refusal { return k.record(ctx) })
	if !k.recorded {
		k.s.Intents.exit(k.book, k.key)
		return refusal
	}
	outcome := record.Outcome_OUTCOME_DONE
	if refusal != nil {
		outcome = refusal.Outcome
	}
	k.close(outcome)
	return refusal
}

// record puts the intent into the log before the first byte goes out.
func (k *keyedRun) record(ctx context.Context) *citron.Refusal {
	k.recorded = true
	k.intent.Body = &record.Entry_Intent{Intent: &record.Intent{
		RequestID: string(k.key.RequestID),
		Team:      string(k.key.Team),
		Class:     string(k.request.Class),
	}}
	bounded, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	err := k.book.ledger.Commit(bounded, k.intent)
	known, ok := k.book.calls.Get(k.key)
	if err != nil || !ok || known.ID != k.intent.GetID() {
		return citron.NewNotRunRefusal(citron.RefusalLogUnavailable, logRetryAfter, "the platform's log did not take the request, which may run once only")
	}
	if !k.s.Owner.MayAct(k.id) {
		return citron.NewNotRunRefusal(citron.RefusalNoOwner, time.Second, "the owner of this request id changes at the moment")
	}
	return nil
}

// close records the outcome in the background. Until it is recorded the request stays busy, so that a repeat
// cannot run beside a record that is still on its way.
func (k *keyedRun) close(outcome record.Outcome) {
	body := &record.CallOutcome{
		IntentID:  k.intent.GetID(),
		Team:      string(k.key.Team),
		RequestID: string(k.key.RequestID),
		Outcome:   outcome,
	}
	if outcome == record.Outcome_OUTCOME_DONE && k.answer.whole() {
		body.Status = int32(k.answer.status)
		body.Body = k.answer.body
		body.ContentType = k.answer.contentType
	}
	// A graceful stop waits for the record as for a request.
	end := k.s.flights.begin()
	k.s.exchanges.Go(func(ctx context.Context) {
		defer end()
		k.recordOutcome(ctx, body)
	})
}

// recordOutcome repeats the record until it has been applied or the shard is lost.
func (k *keyedRun) recordOutcome(ctx context.Context, body *record.CallOutcome) {
	defer k.s.Intents.exit(k.book, k.key)
	for {
		entry := k.book.ledger.NewEntry()
		entry.Body = &record.Entry_CallOutcome{CallOutcome: body}
		bounded, cancel := context.WithTimeout(ctx, intentTimeout)
		err := k.book.ledger.Commit(bounded, entry)
		cancel()
		if err == nil {
			return
		}
		timer.Pause(ctx, k.s.Timer, closeRetry)
		if ctx.Err() != nil || !k.s.Owner.MayAct(k.id) {
			k.s.Log.Emit(event.CallUnknown, event.Fields{"Team": k.key.Team, "Class": k.request.Class, "Error": "outcome not recorded"})
			return
		}
	}
}

// copied hands an answer on and keeps a copy while it is small. A caller that has gone does not end the run.
type copied struct {
	out    citron.AnswerWriter
	status int
	body   []byte
	large  bool
	gone   error

	contentType string
}

var _ citron.AnswerWriter = (*copied)(nil)

// WriteHead hands on what comes before the body.
func (c *copied) WriteHead(status int, contentType string) error {
	c.status, c.contentType = status, contentType
	c.gone = c.out.WriteHead(status, contentType)
	return nil
}

// WriteChunk hands on a part of the body.
func (c *copied) WriteChunk(p []byte) error {
	if len(c.body)+len(p) > keptAnswerBytes {
		c.large = true
		c.body = nil
	}
	if !c.large {
		c.body = append(c.body, p...)
	}
	if c.gone == nil {
		c.gone = c.out.WriteChunk(p)
	}
	return nil
}

func (c *copied) whole() bool {
	return c.status != 0 && !c.large
}

// AwaitReady returns once the book of an owned shard has read every record of former epochs, or the context ends.
func (k *IntentStore) AwaitReady(ctx context.Context, id citron.ShardID) {
	k.mu.Lock()
	b, ok := k.books[id]
	k.mu.Unlock()
	if !ok {
		return
	}
	select {
	case <-b.ledger.Ready():
	case <-b.ledger.Ended():
	case <-ctx.Done():
	}
}
