package state

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/record"
)

// CallKey identifies a non-repeatable request.
type CallKey struct {
	Team      citron.Team
	RequestID citron.RequestID
}

// Intent is the write-ahead record of a non-repeatable request that was or may have been sent to an endpoint, with the
// outcome once it is known.
type Intent struct {
	ID      string
	Class   citron.Class
	Outcome record.Outcome
	Status  int32
	Body    []byte
	Written time.Time
	// ContentType is the content type of Body.
	ContentType string
}

// Calls is the replicated state of the non-repeatable requests of one shard. The zero value is empty.
type Calls struct {
	mu      sync.RWMutex
	epoch   citron.Epoch
	intents map[CallKey]Intent
	// notRun holds the ids and write times of intents that ended without a run, so that a late copy of such an intent is
	// ignored.
	notRun map[string]time.Time
}

var _ citron.Fold = (*Calls)(nil)

// Apply applies an intent, an outcome or a fence. Records with an epoch below the last fence are ignored, except
// outcomes other than NOT_RUN, since the request has run or may have run.
func (c *Calls) Apply(_ citron.Offset, entry *record.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.intents == nil {
		c.intents = map[CallKey]Intent{}
		c.notRun = map[string]time.Time{}
	}
	stale := citron.Epoch(entry.GetEpoch()) < c.epoch
	written := time.UnixMilli(entry.GetWrittenMs())
	switch body := entry.GetBody().(type) {
	case *record.Entry_Fence:
		c.epoch = max(c.epoch, citron.Epoch(entry.GetEpoch()))
	case *record.Entry_Intent:
		if !stale {
			c.addIntent(entry.GetID(), body.Intent, written)
		}
	case *record.Entry_CallOutcome:
		if !stale || body.CallOutcome.GetOutcome() != record.Outcome_OUTCOME_NOT_RUN {
			c.applyOutcome(body.CallOutcome, written)
		}
	}
}

// Restore replaces the state with a snapshot.
func (c *Calls) Restore(snapshot *record.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = citron.Epoch(snapshot.GetEpoch())
	c.intents = make(map[CallKey]Intent, len(snapshot.GetIntents()))
	c.notRun = map[string]time.Time{}
	for _, s := range snapshot.GetIntents() {
		key := CallKey{Team: citron.Team(s.GetTeam()), RequestID: citron.RequestID(s.GetRequestID())}
		written := time.UnixMilli(s.GetWrittenMs())
		if s.GetOutcome() == record.Outcome_OUTCOME_NOT_RUN {
			c.notRun[s.GetIntentID()] = written
			continue
		}
		c.intents[key] = Intent{
			ID:      s.GetIntentID(),
			Class:   citron.Class(s.GetClass()),
			Outcome: s.GetOutcome(),
			Status:  s.GetStatus(),
			Body:    s.GetBody(),
			Written: written,

			ContentType: s.GetContentType(),
		}
	}
}

// Snapshot returns every intent and the ids of those that ended without a run.
func (c *Calls) Snapshot() *record.Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	snapshot := &record.Snapshot{Epoch: uint64(c.epoch)}
	for key, i := range c.intents {
		snapshot.Intents = append(snapshot.Intents, &record.IntentState{
			RequestID: string(key.RequestID),
			Team:      string(key.Team),
			Class:     string(i.Class),
			Outcome:   i.Outcome,
			Status:    i.Status,
			Body:      i.Body,
			WrittenMs: i.Written.UnixMilli(),
			IntentID:  i.ID,

			ContentType: i.ContentType,
		})
	}
	for id, written := range c.notRun {
		snapshot.Intents = append(snapshot.Intents, &record.IntentState{
			IntentID:  id,
			Outcome:   record.Outcome_OUTCOME_NOT_RUN,
			WrittenMs: written.UnixMilli(),
		})
	}
	return snapshot
}

// Get returns the intent of a request.
func (c *Calls) Get(key CallKey) (Intent, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	i, ok := c.intents[key]
	return i, ok
}

// Epoch returns the epoch of the last fence.
func (c *Calls) Epoch() citron.Epoch {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.epoch
}

// Len returns the number of retained intents.
func (c *Calls) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.intents)
}

// Prune deletes intents that were written before a time.
func (c *Calls) Prune(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, i := range c.intents {
		if i.Written.Before(before) {
			delete(c.intents, key)
		}
	}
	for id, written := range c.notRun {
		if written.Before(before) {
			delete(c.notRun, id)
		}
	}
}

// addIntent adds an intent unless its request already has one or the intent has ended without a run.
func (c *Calls) addIntent(id string, intent *record.Intent, written time.Time) {
	key := CallKey{Team: citron.Team(intent.GetTeam()), RequestID: citron.RequestID(intent.GetRequestID())}
	_, known := c.intents[key]
	_, ended := c.notRun[id]
	if known || ended {
		return
	}
	c.intents[key] = Intent{ID: id, Class: citron.Class(intent.GetClass()), Written: written}
}

// applyOutcome sets the outcome of an intent. NOT_RUN removes the intent, so that the request can be sent again under a
// new one.
func (c *Calls) applyOutcome(outcome *record.CallOutcome, written time.Time) {
	if outcome.GetOutcome() == record.Outcome_OUTCOME_NOT_RUN {
		c.notRun[outcome.GetIntentID()] = written
	}
	key := CallKey{Team: citron.Team(outcome.GetTeam()), RequestID: citron.RequestID(outcome.GetRequestID())}
	i, ok := c.intents[key]
	if !ok || i.ID != outcome.GetIntentID() {
		return
	}
	if outcome.GetOutcome() == record.Outcome_OUTCOME_NOT_RUN {
		delete(c.intents, key)
		return
	}
	i.Outcome = outcome.GetOutcome()
	i.Status = outcome.GetStatus()
	i.Body = outcome.GetBody()
	i.ContentType = outcome.GetContentType()
	c.intents[key] = i
}
