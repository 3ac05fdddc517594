// Package batch appends records to the log in batches, with a limited rate of appends.
package batch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/record"
)

// maxRecords is the maximum number of records in one append.
const maxRecords = 512

// Result is the outcome of the append of one record.
type Result struct {
	Offset citron.Offset
	Err    error
}

// item is a record that waits to be appended.
type item struct {
	entry *record.Entry
	done  chan Result
}

// streamQueue holds the records that wait for one stream. Each stream has at most one append in progress.
type streamQueue struct {
	waiting []item
	// busy is set while an append is prepared or in progress.
	busy bool
}

// Appender batches the records of one daemon.
type Appender struct {
	Log   citron.Log
	Timer citron.Timer
	// PerSecond is the maximum number of appends per second.
	PerSecond int
	// Timeout is the timeout of one append.
	Timeout time.Duration
	// OnAppend is called after each append with its duration and error; it may be nil.
	OnAppend func(stream citron.Stream, records int, took time.Duration, err error)

	mu      sync.Mutex
	queues  map[citron.Stream]*streamQueue
	ready   []citron.Stream
	wake    chan struct{}
	limiter *rate.Limiter
}

// Append appends one record and waits for the outcome. After an error the record may or may not have been appended.
func (a *Appender) Append(ctx context.Context, stream citron.Stream, entry *record.Entry) (offset citron.Offset, err error) {
	done := a.Enqueue(stream, entry)
	select {
	case r := <-done:
		return r.Offset, r.Err
	case <-ctx.Done():
		return 0, citron.ErrUnavailable
	}
}

// Enqueue queues one record and returns a channel that receives the outcome.
func (a *Appender) Enqueue(stream citron.Stream, entry *record.Entry) <-chan Result {
	done := make(chan Result, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	q, ok := a.queues[stream]
	if !ok {
		q = &streamQueue{}
		a.queues[stream] = q
	}
	if len(q.waiting) == 0 && !q.busy {
		a.ready = append(a.ready, stream)
	}
	q.waiting = append(q.waiting, item{entry: entry, done: done})
	a.signal()
	return done
}

// Run appends queued records until ctx ends, then sends nil on the returned channel.
func (a *Appender) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	a.mu.Lock()
	a.init()
	a.mu.Unlock()
	go func() {
		ended <- a.run(ctx)
	}()
	return ended
}

func (a *Appender) run(ctx context.Context) error {
	var appends sync.WaitGroup
	defer appends.Wait()
	for {
		stream, items := a.next()
		if items == nil {
			select {
			case <-a.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if err := a.waitForBudget(ctx); err != nil {
			finish(items, Result{Err: citron.ErrUnavailable})
			return nil
		}
		items = append(items, a.dequeueMore(stream, maxRecords-len(items))...)
		appends.Add(1)
		go func() {
			defer appends.Done()
			a.appendBatch(ctx, stream, items)
		}()
	}
}

// waitForBudget waits until the rate limit allows another append.
func (a *Appender) waitForBudget(ctx context.Context) error {
	now := a.Timer.Now().Wall
	wait := a.limiter.ReserveN(now, 1).DelayFrom(now)
	if !timer.Pause(ctx, a.Timer, wait) {
		return ctx.Err()
	}
	return nil
}

// appendBatch appends the items of one stream and reports the outcome to each.
func (a *Appender) appendBatch(ctx context.Context, stream citron.Stream, items []item) {
	entries := make([]*record.Entry, 0, len(items))
	for _, i := range items {
		entries = append(entries, i.entry)
	}
	began := a.Timer.Now().Boot
	bounded, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	offset, err := a.Log.Append(bounded, stream, entries)
	if a.OnAppend != nil {
		a.OnAppend(stream, len(entries), a.Timer.Now().Boot-began, err)
	}
	for n, i := range items {
		i.done <- Result{Offset: offset + citron.Offset(n), Err: err}
	}
	a.appendDone(stream)
}

// next removes and returns a batch of the stream that has waited longest; the batch is nil if no stream has records
// waiting.
func (a *Appender) next() (citron.Stream, []item) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ready) == 0 {
		return "", nil
	}
	stream := a.ready[0]
	a.ready = a.ready[1:]
	q := a.queues[stream]
	q.busy = true
	return stream, q.dequeue(maxRecords)
}

// dequeueMore removes and returns up to n records that were queued for a stream while its batch waited for the rate
// limit.
func (a *Appender) dequeueMore(stream citron.Stream, n int) []item {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queues[stream].dequeue(n)
}

// appendDone marks the append of a stream as done and makes the stream ready again if records are waiting.
func (a *Appender) appendDone(stream citron.Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[stream]
	q.busy = false
	if len(q.waiting) > 0 {
		a.ready = append(a.ready, stream)
		a.signal()
	}
}

func (a *Appender) init() {
	if a.queues != nil {
		return
	}
	a.queues = map[citron.Stream]*streamQueue{}
	a.wake = make(chan struct{}, 1)
	a.limiter = rate.NewLimiter(rate.Limit(a.PerSecond), a.PerSecond)
}

func (a *Appender) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns up to n waiting items.
func (q *streamQueue) dequeue(n int) []item {
	n = min(n, len(q.waiting))
	items := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	return items
}

// finish reports r as the outcome of all items.
func finish(items []item, r Result) {
	for _, i := range items {
		i.done <- r
	}
}
