// Package batch appends records to the log in batches, within a budget of appends for each second.
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

// maxGroup bounds the records of one append.
const maxGroup = 512

// Result is the end of one append.
type Result struct {
	Offset citron.Offset
	Err    error
}

type item struct {
	entry *record.Entry
	done  chan Result
}

// lane holds what waits for one stream; one append a stream is under way at a time.
type lane struct {
	waiting []item
	busy    bool
}

// Appender groups the records of one daemon.
type Appender struct {
	Log   citron.Log
	Timer citron.Timer
	// PerSecond is the budget of appends.
	PerSecond int
	// Timeout bounds one append.
	Timeout time.Duration
	// OnAppend is called after each append with its duration.
	OnAppend func(stream citron.Stream, records int, took time.Duration, err error)

	mu      sync.Mutex
	lanes   map[citron.Stream]*lane
	order   []citron.Stream
	wake    chan struct{}
	limiter *rate.Limiter
}

// Append adds one record and waits for its end. An error leaves open whether the record has landed.
func (a *Appender) Append(ctx context.Context, stream citron.Stream, entry *record.Entry) (offset citron.Offset, err error) {
	done := a.Enqueue(stream, entry)
	select {
	case r := <-done:
		return r.Offset, r.Err
	case <-ctx.Done():
		return 0, citron.ErrUnavailable
	}
}

// Enqueue adds one record and returns where its end is reported.
func (a *Appender) Enqueue(stream citron.Stream, entry *record.Entry) <-chan Result {
	done := make(chan Result, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	l, ok := a.lanes[stream]
	if !ok {
		l = &lane{}
		a.lanes[stream] = l
	}
	if len(l.waiting) == 0 && !l.busy {
		a.order = append(a.order, stream)
	}
	l.waiting = append(l.waiting, item{entry: entry, done: done})
	a.signal()
	return done
}

// Run appends until the context ends and then reports its end on the returned channel.
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
	var flights sync.WaitGroup
	defer flights.Wait()
	for {
		stream, group := a.next()
		if group == nil {
			select {
			case <-a.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if err := a.pause(ctx); err != nil {
			finish(group, Result{Err: citron.ErrUnavailable})
			return nil
		}
		group = append(group, a.more(stream, maxGroup-len(group))...)
		flights.Add(1)
		go func() {
			defer flights.Done()
			a.flight(ctx, stream, group)
		}()
	}
}

// pause waits for the budget.
func (a *Appender) pause(ctx context.Context) error {
	now := a.Timer.Now().Wall
	wait := a.limiter.ReserveN(now, 1).DelayFrom(now)
	if !timer.Pause(ctx, a.Timer, wait) {
		return ctx.Err()
	}
	return nil
}

func (a *Appender) flight(ctx context.Context, stream citron.Stream, group []item) {
	entries := make([]*record.Entry, 0, len(group))
	for _, i := range group {
		entries = append(entries, i.entry)
	}
	began := a.Timer.Now().Boot
	bounded, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	offset, err := a.Log.Append(bounded, stream, entries)
	if a.OnAppend != nil {
		a.OnAppend(stream, len(entries), a.Timer.Now().Boot-began, err)
	}
	for n, i := range group {
		i.done <- Result{Offset: offset + citron.Offset(n), Err: err}
	}
	a.landed(stream)
}

// next takes the group of the stream that has waited longest.
func (a *Appender) next() (citron.Stream, []item) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.order) == 0 {
		return "", nil
	}
	stream := a.order[0]
	a.order = a.order[1:]
	l := a.lanes[stream]
	l.busy = true
	return stream, l.take(maxGroup)
}

// more takes what has come for a stream while its group waited for the budget.
func (a *Appender) more(stream citron.Stream, n int) []item {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lanes[stream].take(n)
}

func (a *Appender) landed(stream citron.Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lanes[stream]
	l.busy = false
	if len(l.waiting) > 0 {
		a.order = append(a.order, stream)
		a.signal()
	}
}

func (a *Appender) init() {
	if a.lanes != nil {
		return
	}
	a.lanes = map[citron.Stream]*lane{}
	a.wake = make(chan struct{}, 1)
	a.limiter = rate.NewLimiter(rate.Limit(a.PerSecond), a.PerSecond)
}

func (a *Appender) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (l *lane) take(n int) []item {
	n = min(n, len(l.waiting))
	group := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	return group
}

func finish(group []item, r Result) {
	for _, i := range group {
		i.done <- r
	}
}
