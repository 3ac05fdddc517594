// Package ledger lets the owner of a shard fence the shard's stream, follow it, append to it and write its snapshots.
package ledger

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/batch"
	"github.com/citroncross/citroncross/citron/feed"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// fenceRetry is the delay between the tries to fence a stream.
	fenceRetry = 300 * time.Millisecond
	// snapshotCheckInterval is the period of the check whether a snapshot is due.
	snapshotCheckInterval = 10 * time.Second
	// snapshotRecords is the number of records since the last snapshot at which a new one is due.
	snapshotRecords = 20_000
)

// Options are the settings that all ledgers of a daemon share.
type Options struct {
	VM       citron.VMName
	Log      citron.Log
	Timer    citron.Timer
	Appender *batch.Appender
	// SnapshotAge is the age of the last snapshot, or of the oldest record since then, at which a new one is due.
	SnapshotAge time.Duration
	// ReadFailed is called after a failed read of a stream.
	ReadFailed func(error)
	// Snapshotted, if set, is called after a snapshot has been stored.
	Snapshotted func(citron.Stream)
}

// Ledger is the stream of one shard in one epoch.
type Ledger struct {
	options  Options
	stream   citron.Stream
	shard    citron.ShardID
	epoch    citron.Epoch
	follower *feed.Follower
	ready    chan struct{}
	cancel   context.CancelFunc
	ended    chan error
}

// Open starts to fence the shard's stream and to apply its records to fold. It does not wait; see Ready.
func Open(ctx context.Context, o Options, shard citron.ShardID, epoch citron.Epoch, fold citron.Fold) *Ledger {
	inner, cancel := context.WithCancel(ctx)
	stream := citron.StreamOf(shard)
	l := &Ledger{
		options:  o,
		stream:   stream,
		shard:    shard,
		epoch:    epoch,
		follower: &feed.Follower{Log: o.Log, Timer: o.Timer, Stream: stream, Fold: fold, ReadFailed: o.ReadFailed},
		ready:    make(chan struct{}),
		cancel:   cancel,
		ended:    make(chan error, 1),
	}
	go func() {
		l.ended <- l.run(inner)
	}()
	return l
}

// Close stops the ledger without waiting for its end; see Ended.
func (l *Ledger) Close() {
	l.cancel()
}

// Ended returns a channel that delivers the result of the ledger once it has ended.
func (l *Ledger) Ended() <-chan error {
	return l.ended
}

// Ready returns a channel that is closed once every record of former epochs has been applied.
func (l *Ledger) Ready() <-chan struct{} {
	return l.ready
}

// IsReady reports whether every record of former epochs has been applied.
func (l *Ledger) IsReady() bool {
	select {
	case <-l.ready:
		return true
	default:
		return false
	}
}

// Epoch returns the epoch in which the ledger was opened.
func (l *Ledger) Epoch() citron.Epoch {
	return l.epoch
}

// NewEntry returns an entry of this epoch with a new id.
func (l *Ledger) NewEntry() *record.Entry {
	return &record.Entry{
		ID:        uuid.NewString(),
		Writer:    string(l.options.VM),
		WrittenMs: l.options.Timer.Now().Wall.UnixMilli(),
		Epoch:     uint64(l.epoch),
	}
}

// Commit appends an entry and waits until it has been applied. After an error the entry may have been stored.
func (l *Ledger) Commit(ctx context.Context, entry *record.Entry) (err error) {
	defer func() { err = eris.Wrapf(err, "commit to %s", l.stream) }()
	offset, err := l.options.Appender.Append(ctx, l.stream, entry)
	if err != nil {
		return err
	}
	return l.follower.Wait(ctx, offset)
}

// StartAppend appends an entry without waiting and returns the channel that delivers the result.
func (l *Ledger) StartAppend(entry *record.Entry) <-chan batch.Result {
	return l.options.Appender.Enqueue(l.stream, entry)
}

// run fences the stream, follows it and writes its snapshots until the context ends.
func (l *Ledger) run(ctx context.Context) error {
	offset, ok := l.fence(ctx)
	if !ok {
		return nil
	}
	following := l.follower.Run(ctx)
	if l.follower.Wait(ctx, offset) == nil {
		close(l.ready)
		always := func() bool { return true }
		KeepSnapshots(ctx, l.options, l.follower, always, l.NewEntry)
	}
	return <-following
}

// fence appends a fence record, retrying until it is stored, and returns its offset. It returns false once the context
// has ended.
func (l *Ledger) fence(ctx context.Context) (citron.Offset, bool) {
	for {
		entry := l.NewEntry()
		entry.Body = &record.Entry_Fence{Fence: &record.Fence{Shard: string(l.shard)}}
		offset, err := l.options.Appender.Append(ctx, l.stream, entry)
		if err == nil {
			return offset, true
		}
		if !timer.Pause(ctx, l.options.Timer, fenceRetry) {
			return 0, false
		}
	}
}

// KeepSnapshots writes snapshots of a followed stream until the context ends, so that its state outlives the retention
// of its records. It writes none while owned returns false.
func KeepSnapshots(ctx context.Context, o Options, f *feed.Follower, owned func() bool, entry func() *record.Entry) {
	tick, stop := o.Timer.Every(snapshotCheckInterval)
	defer stop()
	written := o.Timer.Now().Wall
	for {
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
		now := o.Timer.Now().Wall
		if !owned() || !snapshotDue(o, f, now, written) {
			continue
		}
		if WriteSnapshot(ctx, o, f, entry()) == nil {
			written = now
		}
	}
}

// WriteSnapshot appends a snapshot of a followed stream as the body of entry. It does nothing while no record has been
// applied.
func WriteSnapshot(ctx context.Context, o Options, f *feed.Follower, entry *record.Entry) (err error) {
	defer func() { err = eris.Wrapf(err, "snapshot %s", f.Stream) }()
	snapshot, next, ok := f.Snapshot()
	if !ok || next == 0 {
		return nil
	}
	snapshot.AsOf = int64(next) - 1
	entry.Body = &record.Entry_Snapshot{Snapshot: snapshot}
	if _, err := o.Appender.Append(ctx, f.Stream, entry); err != nil {
		return err
	}
	if o.Snapshotted != nil {
		o.Snapshotted(f.Stream)
	}
	return nil
}

// snapshotDue reports whether enough records or time have passed since the last snapshot.
func snapshotDue(o Options, f *feed.Follower, now, written time.Time) bool {
	records, oldest := f.SinceSnapshot()
	if records >= snapshotRecords {
		return true
	}
	if now.Sub(written) >= o.SnapshotAge {
		return true
	}
	return records > 0 && now.Sub(time.UnixMilli(oldest)) >= o.SnapshotAge
}
