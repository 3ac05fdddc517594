// Package ledger gives the owner of a shard a fenced, current view of the shard's stream and a way to add to it.
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
	// openRetry is the pause before another try to fence a stream.
	openRetry = 300 * time.Millisecond
	// snapshotEvery is how often it is looked whether a snapshot is due.
	snapshotEvery = 10 * time.Second
	// snapshotRecords is the number of records behind the last snapshot that makes one due.
	snapshotRecords = 20_000
)

// Options are what ledgers of one daemon share.
type Options struct {
	VM       citron.VMName
	Log      citron.Log
	Timer    citron.Timer
	Appender *batch.Appender
	// SnapshotAge is the age of the oldest record behind the last snapshot that makes a new one due.
	SnapshotAge time.Duration
	// ReadFailed is called after a failed read.
	ReadFailed func(error)
	// Snapshotted is called after a snapshot has landed.
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

// Open fences the stream and starts to follow it into fold. It does not wait; see Ready.
func Open(ctx context.Context, o Options, shard citron.ShardID, epoch citron.Epoch, fold citron.Fold) *Ledger {
	inner, cancel := context.WithCancel(ctx)
	stream := citron.StreamOf(shard)
	l := &Ledger{
		options:  o,
		stream:   stream,
		shard:    shard,
		epoch:    epoch,
		follower: &feed.Follower{Log: o.Log, Timer: o.Timer, Stream: stream, Fold: fold, Failed: o.ReadFailed},
		ready:    make(chan struct{}),
		cancel:   cancel,
		ended:    make(chan error, 1),
	}
	go func() {
		l.ended <- l.run(inner)
	}()
	return l
}

// Close stops following. Its end is reported on Ended.
func (l *Ledger) Close() {
	l.cancel()
}

// Ended reports the end of the ledger.
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

// Epoch returns the epoch that the ledger was opened for.
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

// Commit appends an entry and returns once it has been applied. An error leaves open whether it has landed.
func (l *Ledger) Commit(ctx context.Context, entry *record.Entry) (err error) {
	defer func() { err = eris.Wrapf(err, "commit to %s", l.stream) }()
	offset, err := l.options.Appender.Append(ctx, l.stream, entry)
	if err != nil {
		return err
	}
	return l.follower.Wait(ctx, offset)
}

// StartAppend appends an entry and returns where its end is reported.
func (l *Ledger) StartAppend(entry *record.Entry) <-chan batch.Result {
	return l.options.Appender.Enqueue(l.stream, entry)
}

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

// fence repeats the fence until it has landed.
func (l *Ledger) fence(ctx context.Context) (citron.Offset, bool) {
	for {
		entry := l.NewEntry()
		entry.Body = &record.Entry_Fence{Fence: &record.Fence{Shard: string(l.shard)}}
		offset, err := l.options.Appender.Append(ctx, l.stream, entry)
		if err == nil {
			return offset, true
		}
		if !timer.Pause(ctx, l.options.Timer, openRetry) {
			return 0, false
		}
	}
}

// KeepSnapshots writes snapshots of a followed stream until the context ends, so that what is live outlasts retention. It
// leaves the stream alone while mine is false.
func KeepSnapshots(ctx context.Context, o Options, f *feed.Follower, mine func() bool, entry func() *record.Entry) {
	tick, stop := o.Timer.Every(snapshotEvery)
	defer stop()
	written := o.Timer.Now().Wall
	for {
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
		now := o.Timer.Now().Wall
		if !mine() || !snapshotDue(o, f, now, written) {
			continue
		}
		if WriteSnapshot(ctx, o, f, entry()) == nil {
			written = now
		}
	}
}

// WriteSnapshot writes one snapshot.
func WriteSnapshot(ctx context.Context, o Options, f *feed.Follower, entry *record.Entry) (err error) {
	defer func() { err = eris.Wrapf(err, "snapshot %s", f.Stream) }()
	snapshot, next, ok := f.Share()
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

func snapshotDue(o Options, f *feed.Follower, now, written time.Time) bool {
	records, oldest := f.Since()
	if records >= snapshotRecords {
		return true
	}
	if now.Sub(written) >= o.SnapshotAge {
		return true
	}
	return records > 0 && now.Sub(time.UnixMilli(oldest)) >= o.SnapshotAge
}
