// Package memory is a log in memory, for tests and for cells inside one process.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/record"
)

// Log is a log in memory. The zero value is empty and retains all records.
type Log struct {
	// Retain is the number of records that each stream retains; 0 retains all.
	Retain int

	mu      sync.Mutex
	streams map[citron.Stream]*streamRecords
}

type streamRecords struct {
	// first is the offset of entries[0].
	first   citron.Offset
	entries []*record.Entry
	// changed is closed by the next append.
	changed chan struct{}
}

var _ citron.Log = (*Log)(nil)

// Append adds entries atomically.
func (l *Log) Append(_ context.Context, stream citron.Stream, entries []*record.Entry) (citron.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.stream(stream)
	offset := r.end()
	r.entries = append(r.entries, entries...)
	if drop := len(r.entries) - l.Retain; l.Retain > 0 && drop > 0 {
		r.first += citron.Offset(drop)
		r.entries = append([]*record.Entry(nil), r.entries[drop:]...)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return offset, nil
}

// Read returns entries starting at from and waits up to wait for the first one.
func (l *Log) Read(ctx context.Context, stream citron.Stream, from citron.Offset, wait time.Duration) (citron.Batch, error) {
	batch, changed := l.read(stream, from)
	if len(batch.Entries) > 0 || wait == 0 {
		return batch, nil
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-changed:
	case <-bounded.Done():
		if ctx.Err() != nil {
			return citron.Batch{}, ctx.Err()
		}
	}
	batch, _ = l.read(stream, from)
	return batch, nil
}

// read returns the present entries starting at from, and a channel that is closed by the next append.
func (l *Log) read(stream citron.Stream, from citron.Offset) (citron.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.stream(stream)
	from = min(max(from, r.first), r.end())
	entries := append([]*record.Entry(nil), r.entries[from-r.first:]...)
	return citron.Batch{Oldest: r.first, Start: from, End: r.end(), Entries: entries}, r.changed
}

// stream returns a stream and creates it if needed. The caller holds the lock.
func (l *Log) stream(name citron.Stream) *streamRecords {
	if l.streams == nil {
		l.streams = map[citron.Stream]*streamRecords{}
	}
	r, ok := l.streams[name]
	if !ok {
		r = &streamRecords{changed: make(chan struct{})}
		l.streams[name] = r
	}
	return r
}

// end returns the offset of the next append.
func (r *streamRecords) end() citron.Offset {
	return r.first + citron.Offset(len(r.entries))
}
