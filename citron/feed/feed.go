// Package feed follows streams of the log and keeps their folds up to date.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// longPoll is how long one read waits for a new record.
	longPoll = 10 * time.Second
	// retryDelay is the pause after a failed read.
	retryDelay = 200 * time.Millisecond
)

// Follower applies one stream to one fold.
type Follower struct {
	Log    citron.Log
	Timer  citron.Timer
	Stream citron.Stream
	Fold   citron.Fold
	// ReadFailed is called after a failed read.
	ReadFailed func(error)

	mu          sync.Mutex
	next        citron.Offset
	loaded      bool
	changed     chan struct{}
	oldestMs    int64
	recordCount int
}

// Load reads the stream from its newest usable snapshot to its end.
func (f *Follower) Load(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "load %s", f.Stream) }()
	var all []*record.Entry
	batch, err := f.Log.Read(ctx, f.Stream, 0, 0)
	if err != nil {
		return err
	}
	first, start := batch.Oldest, batch.Start
	all = append(all, batch.Entries...)
	for start+citron.Offset(len(all)) < batch.End {
		batch, err = f.Log.Read(ctx, f.Stream, start+citron.Offset(len(all)), 0)
		if err != nil {
			return err
		}
		if batch.Start != start+citron.Offset(len(all)) || len(batch.Entries) == 0 {
			return citron.ErrRecordsDeleted
		}
		all = append(all, batch.Entries...)
	}
	return f.restore(first, start, all)
}

func (f *Follower) restore(first, start citron.Offset, all []*record.Entry) error {
	from := start
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && start+citron.Offset(len(all)) < f.next {
		// The log answered with less than a peer has already given.
		return nil
	}
	if s := newestSnapshot(all, first); s != nil {
		f.Fold.Restore(s)
		from = citron.Offset(s.GetAsOf()) + 1
	} else if first > 0 {
		return citron.ErrRecordsDeleted
	}
	f.next = from
	f.apply(from, all[from-start:])
	f.loaded = true
	return nil
}

// newestSnapshot returns the newest snapshot from which every later record is still kept.
func newestSnapshot(all []*record.Entry, first citron.Offset) *record.Snapshot {
	for n := len(all) - 1; n >= 0; n-- {
		s := all[n].GetSnapshot()
		if s != nil && citron.Offset(s.GetAsOf())+1 >= first {
			return s
		}
	}
	return nil
}

// RestoreIfNewer takes in a state that a peer has folded, if it is newer than this one.
func (f *Follower) RestoreIfNewer(snapshot *record.Snapshot, next citron.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && next <= f.next {
		return
	}
	f.Fold.Restore(snapshot)
	f.next = next
	f.loaded = true
	f.notify()
}

// Snapshot returns the folded state and the first offset that is not in it.
func (f *Follower) Snapshot() (*record.Snapshot, citron.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return nil, 0, false
	}
	return f.Fold.Snapshot(), f.next, true
}

// Next returns the first offset that has not been applied.
func (f *Follower) Next() citron.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Loaded reports whether the fold holds a whole state.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// SinceSnapshot returns the number of records behind the last snapshot and the writing time of the oldest of them.
func (f *Follower) SinceSnapshot() (records int, oldestMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordCount, f.oldestMs
}

// Wait returns once the record at an offset has been applied.
func (f *Follower) Wait(ctx context.Context, offset citron.Offset) error {
	for {
		f.mu.Lock()
		done := f.loaded && f.next > offset
		changed := f.changeSignal()
		f.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return citron.ErrUnavailable
		}
	}
}

// Run follows the stream until the context ends and reports its end on the returned channel.
func (f *Follower) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
				f.reportFailure(err)
				timer.Pause(ctx, f.Timer, retryDelay)
			}
		}
		ended <- nil
	}()
	return ended
}

func (f *Follower) readOnce(ctx context.Context) error {
	if !f.Loaded() {
		return f.Load(ctx)
	}
	next := f.Next()
	batch, err := f.Log.Read(ctx, f.Stream, next, longPoll)
	if err != nil {
		return err
	}
	if batch.Oldest > next {
		return f.Load(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != batch.Start {
		// A peer's newer state came in between.
		return nil
	}
	f.apply(batch.Start, batch.Entries)
	return nil
}

func (f *Follower) apply(from citron.Offset, entries []*record.Entry) {
	for n, e := range entries {
		f.countRecord(e)
		f.Fold.Apply(from+citron.Offset(n), e)
		f.next = from + citron.Offset(n) + 1
	}
	if len(entries) > 0 || !f.loaded {
		f.notify()
	}
}

func (f *Follower) countRecord(e *record.Entry) {
	if e.GetSnapshot() != nil {
		f.recordCount = 0
		f.oldestMs = 0
		return
	}
	if f.recordCount == 0 {
		f.oldestMs = e.GetWrittenMs()
	}
	f.recordCount++
}

// changeSignal returns a channel that closes at the next change. The lock is held.
func (f *Follower) changeSignal() <-chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

func (f *Follower) notify() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *Follower) reportFailure(err error) {
	if f.ReadFailed != nil {
		f.ReadFailed(err)
	}
}
