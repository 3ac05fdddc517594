// Package tail follows partitions of the store: first the newest record of each key, then every later record.
package tail

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// readWait is how long the store may hold an answer back where nothing else is said.
	readWait = 1500 * time.Millisecond
	// readSlack is added to the wait before a read counts as unanswered.
	readSlack = 500 * time.Millisecond
	// newestTimeout bounds the reading of all newest records.
	newestTimeout = 5 * time.Second
	// retryFirst and retryMost are the pauses after failed reads.
	retryFirst = 30 * time.Millisecond
	retryMost  = 300 * time.Millisecond
)

// Tail follows one partition.
type Tail struct {
	Store     citron.Store
	Partition citron.Partition
	Timer     citron.Timer
	// Apply takes in records in order. Fresh is set where the batch holds the newest record of every key that exists.
	Apply func(batch citron.KeyedBatch, fresh bool)
	// HealthChanged, if set, is called when reading begins to fail or to succeed.
	HealthChanged func(err error)
	// Wait is how long the store may hold an answer back; zero means readWait. It bounds how long a silenced connection
	// goes unnoticed.
	Wait time.Duration
	// Pause is the least time between two reads; it bounds the number of reads under load.
	Pause time.Duration

	mu     sync.Mutex
	next   citron.Offset
	loaded bool
	hurry  chan struct{}
	// abort ends the read that is under way; aborted is set once it has been used.
	abort   context.CancelFunc
	aborted bool
	lastOK  time.Duration
	// current is the instant up to which every record is known.
	current time.Duration
	failing bool
	// wellSince is when reading began to succeed.
	wellSince time.Duration
	waiters   []waiter
}

type waiter struct {
	offset citron.Offset
	done   chan struct{}
}

// Run follows until the context ends and reports its end.
func (t *Tail) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	hurry := t.hurried()
	go func() {
		pause := retryFirst
		for ctx.Err() == nil {
			behind, err := t.step(ctx)
			if ctx.Err() != nil {
				break
			}
			t.note(err)
			wait := t.Pause
			switch {
			case err != nil:
				wait, pause = pause, min(2*pause, retryMost)
			case behind:
				wait, pause = 0, retryFirst
			default:
				pause = retryFirst
			}
			t.rest(ctx, wait, hurry)
		}
		ended <- nil
	}()
	return ended
}

// hurried returns the channel that cuts pauses short.
func (t *Tail) hurried() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hurry == nil {
		t.hurry = make(chan struct{}, 1)
	}
	return t.hurry
}

func (t *Tail) rest(ctx context.Context, d time.Duration, hurry <-chan struct{}) {
	if d <= 0 {
		return
	}
	due, stop := t.Timer.After(d)
	defer stop()
	select {
	case <-due:
	case <-hurry:
	case <-ctx.Done():
	}
}

// step reads once and reports whether the store holds more records than it has returned.
func (t *Tail) step(ctx context.Context) (behind bool, err error) {
	t.mu.Lock()
	next, loaded := t.next, t.loaded
	t.mu.Unlock()
	asked := t.Timer.Now().Boot
	if !loaded {
		bounded, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		batch, err := t.Store.Newest(bounded, t.Partition)
		if err != nil {
			return false, err
		}
		t.Apply(batch, true)
		t.advance(batch.End, asked)
		return false, nil
	}
	wait := t.Wait
	if wait == 0 {
		wait = readWait
	}
	bounded, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	t.mu.Lock()
	t.abort, t.aborted = cancel, false
	t.mu.Unlock()
	batch, err := t.Store.Read(bounded, t.Partition, next, wait)
	if err != nil && t.wasAborted() {
		return false, nil
	}
	if errors.Is(err, citron.ErrRecordsDeleted) {
		t.mu.Lock()
		t.loaded = false
		t.mu.Unlock()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if len(batch.Records) > 0 {
		t.Apply(batch, false)
	}
	next = batch.Start + citron.Offset(len(batch.Records))
	t.advance(next, asked)
	return len(batch.Records) > 0 && next < batch.End, nil
}

// advance notes that every record before next has been applied, as read by a call that was sent at an instant.
func (t *Tail) advance(next citron.Offset, asked time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next, t.loaded, t.current = next, true, asked
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if w.offset <= next {
			close(w.done)
		} else {
			kept = append(kept, w)
		}
	}
	t.waiters = kept
}

func (t *Tail) note(err error) {
	t.mu.Lock()
	changed := t.failing != (err != nil)
	t.failing = err != nil
	if err == nil {
		t.lastOK = t.Timer.Now().Boot
		if changed || t.wellSince == 0 {
			t.wellSince = t.lastOK
		}
	}
	t.mu.Unlock()
	if changed && t.HealthChanged != nil {
		t.HealthChanged(err)
	}
}

// Next returns the offset of the first record that has not been applied, and whether any reading has succeeded yet.
func (t *Tail) Next() (next citron.Offset, loaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.loaded
}

// CurrentAsOf returns an instant such that every record stored before it has been applied.
func (t *Tail) CurrentAsOf() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// RestartRead reads anew at once. A read may hang on a connection that fell silent while the store was away.
func (t *Tail) RestartRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.abort != nil {
		t.aborted = true
		t.abort()
	}
}

func (t *Tail) wasAborted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.aborted
}

// Failing reports whether the last read failed.
func (t *Tail) Failing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failing
}

// HealthyFor is how long reading has succeeded without a failure; zero while it fails.
func (t *Tail) HealthyFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failing || t.wellSince == 0 {
		return 0
	}
	return t.Timer.Now().Boot - t.wellSince
}

// AnsweredSince reports whether the store has answered for the partition since an instant.
func (t *Tail) AnsweredSince(instant time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastOK > instant
}

// NeverAnswered is the age where the store has not answered yet.
const NeverAnswered time.Duration = 1 << 62

// AnswerAge is how long ago the store last answered.
func (t *Tail) AnswerAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastOK == 0 {
		return NeverAnswered
	}
	return t.Timer.Now().Boot - t.lastOK
}

// WaitFor waits until every record before an offset has been applied.
func (t *Tail) WaitFor(ctx context.Context, offset citron.Offset) error {
	t.mu.Lock()
	if t.loaded && t.next >= offset {
		t.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	t.waiters = append(t.waiters, waiter{offset, done})
	t.mu.Unlock()
	select {
	case t.hurried() <- struct{}{}:
	default:
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CatchUp waits until every record that the store had acknowledged when it was called has been applied.
func (t *Tail) CatchUp(ctx context.Context) error {
	next, loaded := t.Next()
	if !loaded {
		return citron.ErrUnavailable
	}
	batch, err := t.Store.Read(ctx, t.Partition, next, 0)
	if errors.Is(err, citron.ErrRecordsDeleted) {
		return citron.ErrUnavailable
	}
	if err != nil {
		return err
	}
	return t.WaitFor(ctx, batch.End)
}
