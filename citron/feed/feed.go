// Package feed follows streams of the log and applies their records to state machines.
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
	// longPoll is the time that one read waits for a new record.
	longPoll = 10 * time.Second
	// retryDelay is the pause after a failed read.
	retryDelay = 200 * time.Millisecond
)

// Follower applies the records of a stream to a state machine.
type Follower struct {
	Log    citron.Log
	Timer  citron.Timer
	Stream citron.Stream
	Fold   citron.Fold
	// ReadFailed is called after a failed read.
	ReadFailed func(error)

	mu sync.Mutex
	// next is the first offset that has not been applied.
	next citron.Offset
	// loaded is set once Fold holds a complete state.
	loaded bool
	// changed is closed at the next change; nil if nobody waits.
	changed chan struct{}
	// oldestMs is the write time of the first record since the last snapshot, recordCount the number of these records.
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
	oldest, start := batch.Oldest, batch.Start
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
	return f.restore(oldest, start, all)
}

// restore builds the state from all, the records from start to the end of the stream; oldest is the lowest offset that
// the log retains.
func (f *Follower) restore(oldest, start citron.Offset, all []*record.Entry) error {
	from := start
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && start+citron.Offset(len(all)) < f.next {
		// The log returned fewer records than are already applied from a peer's state.
		return nil
	}
	if s := newestSnapshot(all, oldest); s != nil {
		f.Fold.Restore(s)
		from = citron.Offset(s.GetAsOf()) + 1
	} else if oldest > 0 {
		return citron.ErrRecordsDeleted
	}
	f.next = from
	f.apply(from, all[from-start:])
	f.loaded = true
	return nil
}

// newestSnapshot returns the newest snapshot for which the log retains every later record, or nil if there is none.
func newestSnapshot(all []*record.Entry, oldest citron.Offset) *record.Snapshot {
	for n := len(all) - 1; n >= 0; n-- {
		s := all[n].GetSnapshot()
		if s != nil && citron.Offset(s.GetAsOf())+1 >= oldest {
			return s
		}
	}
	return nil
}

// RestoreIfNewer replaces the state with that of a peer if it is newer; next is the first offset that is not in it.
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

// Snapshot returns the state and the first offset that is not in it. It returns false if no state has been loaded.
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

// Loaded reports whether the state is complete.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// SinceSnapshot returns the number of records since the last snapshot and the write time of the oldest of them.
func (f *Follower) SinceSnapshot() (records int, oldestMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordCount, f.oldestMs
}

// Wait waits until the record at an offset has been applied.
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

// Run follows the stream until the context ends. It then sends nil on the returned channel.
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

// readOnce reads and applies the next records, or loads the state if it is missing or has fallen behind the retention of
// the log.
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
		// RestoreIfNewer has replaced the state during the read.
		return nil
	}
	f.apply(batch.Start, batch.Entries)
	return nil
}

// apply applies entries, the first of which is at offset from. The caller holds the lock.
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

// countRecord updates the count of records since the last snapshot.
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

// changeSignal returns a channel that is closed at the next change. The caller holds the lock.
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
