// Package tail follows partitions of the store: it reads the newest record of each key, then every later record.
package tail

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/waits"
)

const (
	// readWait is the default long-poll time of a read.
	readWait = 1500 * time.Millisecond
	// readSlack is added to the long-poll time to get the timeout of a read.
	readSlack = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after failed reads.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
)

// errAborted means that RestartRead has aborted a read, which tells nothing about the store.
var errAborted = errors.New("read aborted")

// Tail follows one partition.
type Tail struct {
	Store     citron.Store
	Partition citron.Partition
	Timer     citron.Timer
	// Apply is called with the records in order. Fresh is set if the batch contains the newest record of every key.
	Apply func(batch citron.KeyedBatch, fresh bool)
	// HealthChanged, if set, is called when reads begin to fail, with the error, and when they succeed again, with nil.
	HealthChanged func(err error)
	// Loaded, if set, is called when the newest record of every key has been read and applied, with the number of records
	// and the time since the first attempt to read them.
	Loaded func(records int, took time.Duration)
	// Outdated, if set, is called when the store has deleted records that were not read yet, so that the newest record of
	// every key has to be read again.
	Outdated func()
	// Wait is the long-poll time of a read; zero means readWait. It bounds how long a dead connection goes unnoticed.
	Wait time.Duration
	// Pause is the pause between two reads, which limits their rate under load.
	Pause time.Duration
	// PauseNow, if set, returns the pause at the moment instead of Pause.
	PauseNow func() time.Duration

	// loading is the load in progress and pageTimeout its timeout; only the goroutine of Run uses them.
	loading     load
	pageTimeout waits.Timeout

	mu   sync.Mutex
	next citron.Offset
	// loaded is set while next is valid, that is once the newest records have been read.
	loaded bool
	// wakeup ends the pause before the next read.
	wakeup chan struct{}
	// abort cancels the read in progress; aborted is set once that has been done.
	abort   context.CancelFunc
	aborted bool
	// lastAnswer is the boot time of the last read that did not fail.
	lastAnswer time.Duration
	// currentAsOf is a boot time before which every stored record has been applied.
	currentAsOf time.Duration
	failing     bool
	// healthySince is the boot time since which reads have succeeded.
	healthySince time.Duration
	waiters      []waiter
}

// waiter is a WaitFor call that waits for the records before offset.
type waiter struct {
	offset citron.Offset
	done   chan struct{}
}

// Run follows the partition until the context ends. The returned channel delivers nil after that.
func (t *Tail) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	wakeup := t.wakeupChannel()
	go func() {
		backoff := minRetryDelay
		for ctx.Err() == nil {
			behind, err := t.readOnce(ctx)
			if ctx.Err() != nil {
				break
			}
			wait := t.pause()
			aborted := errors.Is(err, errAborted)
			if !aborted {
				t.recordResult(err)
			}
			switch {
			case aborted:
			case err != nil:
				wait, backoff = backoff, min(2*backoff, maxRetryDelay)
			case behind:
				wait, backoff = 0, minRetryDelay
			default:
				backoff = minRetryDelay
			}
			t.pauseReads(ctx, wait, wakeup)
		}
		ended <- nil
	}()
	return ended
}

// pause returns the pause before the next read.
func (t *Tail) pause() time.Duration {
	if t.PauseNow != nil {
		return t.PauseNow()
	}
	return t.Pause
}

// wakeupChannel returns the channel that ends pauses, creating it on first use.
func (t *Tail) wakeupChannel() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wakeup == nil {
		t.wakeup = make(chan struct{}, 1)
	}
	return t.wakeup
}

// pauseReads waits for d or for a wakeup.
func (t *Tail) pauseReads(ctx context.Context, d time.Duration, wakeup <-chan struct{}) {
	if d <= 0 {
		return
	}
	due, stop := t.Timer.After(d)
	defer stop()
	select {
	case <-due:
	case <-wakeup:
	case <-ctx.Done():
	}
}

// readOnce reads once and reports whether the store has more records than it returned.
func (t *Tail) readOnce(ctx context.Context) (behind bool, err error) {
	t.mu.Lock()
	next, loaded := t.next, t.loaded
	t.mu.Unlock()
	if !loaded {
		return t.loadOnce(ctx)
	}
	wait := t.Wait
	if wait == 0 {
		wait = readWait
	}
	// A shorter long poll leaves no less time for the transfer of records.
	bounded, cancel := context.WithTimeout(ctx, max(wait, readWait)+readSlack)
	defer cancel()
	t.mu.Lock()
	t.abort, t.aborted = cancel, false
	t.mu.Unlock()
	sent := t.Timer.Now().Boot
	batch, err := t.Store.Read(bounded, t.Partition, next, wait)
	if err != nil && t.wasAborted() {
		return false, errAborted
	}
	if errors.Is(err, citron.ErrRecordsDeleted) {
		t.markOutdated()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if len(batch.Records) > 0 {
		t.Apply(batch, false)
	}
	next = batch.Start + citron.Offset(len(batch.Records))
	t.advance(next)
	if next >= batch.End {
		t.confirmCurrent(sent)
	}
	return len(batch.Records) > 0 && next < batch.End, nil
}

// markOutdated makes the next read load the newest records again and calls Outdated.
func (t *Tail) markOutdated() {
	t.mu.Lock()
	t.loaded = false
	t.mu.Unlock()
	if t.Outdated != nil {
		t.Outdated()
	}
}

// confirmCurrent records that every record stored before a boot time has been applied.
func (t *Tail) confirmCurrent(instant time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.currentAsOf = instant
}

// advance records that every record before next has been applied.
func (t *Tail) advance(next citron.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next, t.loaded = next, true
	remaining := t.waiters[:0]
	for _, w := range t.waiters {
		if w.offset <= next {
			close(w.done)
		} else {
			remaining = append(remaining, w)
		}
	}
	t.waiters = remaining
}

// recordResult records whether a read succeeded and calls HealthChanged on a change.
func (t *Tail) recordResult(err error) {
	t.mu.Lock()
	changed := t.failing != (err != nil)
	t.failing = err != nil
	if err == nil {
		t.lastAnswer = t.Timer.Now().Boot
		if changed || t.healthySince == 0 {
			t.healthySince = t.lastAnswer
		}
	}
	t.mu.Unlock()
	if changed && t.HealthChanged != nil {
		t.HealthChanged(err)
	}
}

// Next returns the offset of the first record that has not been applied, and whether the newest records have been read.
func (t *Tail) Next() (next citron.Offset, loaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.loaded
}

// CountNotLoaded returns the number of tails whose newest records have not been read.
func CountNotLoaded(tails ...*Tail) (n int) {
	for _, t := range tails {
		if _, loaded := t.Next(); !loaded {
			n++
		}
	}
	return n
}

// AllLoaded reports whether the newest records of all tails have been read.
func AllLoaded(tails ...*Tail) bool {
	return CountNotLoaded(tails...) == 0
}

// CurrentAsOf returns a boot time such that every record stored before it has been applied.
func (t *Tail) CurrentAsOf() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentAsOf
}

// RestartRead aborts the read in progress and starts a new one. A read may hang on a connection that died while the
// store was unavailable.
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

// HealthyFor returns how long reads have succeeded without a failure; zero while they fail.
func (t *Tail) HealthyFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failing || t.healthySince == 0 {
		return 0
	}
	return t.Timer.Now().Boot - t.healthySince
}

// AnsweredSince reports whether the store has answered a read of the partition after a boot time.
func (t *Tail) AnsweredSince(instant time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastAnswer > instant
}

// NeverAnswered is the answer age if the store has not answered yet.
const NeverAnswered time.Duration = 1 << 62

// AnswerAge returns how long ago the store last answered, or NeverAnswered.
func (t *Tail) AnswerAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastAnswer == 0 {
		return NeverAnswered
	}
	return t.Timer.Now().Boot - t.lastAnswer
}

// WaitFor waits until every record before an offset has been applied. It ends the pause before the next read.
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
	case t.wakeupChannel() <- struct{}{}:
	default:
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CatchUp waits until every record has been applied that the store had acknowledged before the call. It returns
// ErrUnavailable if the newest records have not been read or have to be read anew.
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
