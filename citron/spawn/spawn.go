// Package spawn runs short exchanges beside their owner and tells the owner when all of them have ended.
package spawn

import (
	"context"
	"sync"
)

// Group is the exchanges of one owner. The zero value works.
type Group struct {
	mu      sync.Mutex
	ctx     context.Context
	running int
	waiters []chan struct{}
}

// SetContext sets the context of later exchanges; they end with it.
func (g *Group) SetContext(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx = ctx
}

// Go runs one exchange.
func (g *Group) Go(f func(ctx context.Context)) {
	ctx := g.begin()
	go func() {
		defer g.end()
		f(ctx)
	}()
}

// Idle returns a channel that is closed at the next instant at which no exchange runs.
func (g *Group) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := make(chan struct{})
	if g.running == 0 {
		close(ended)
		return ended
	}
	g.waiters = append(g.waiters, ended)
	return ended
}

func (g *Group) begin() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
	if g.ctx == nil {
		return context.Background()
	}
	return g.ctx
}

func (g *Group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running > 0 {
		return
	}
	for _, w := range g.waiters {
		close(w)
	}
	g.waiters = nil
}
