// Package spawn runs the background exchanges of a component, which can wait until none is running.
package spawn

import (
	"context"
	"sync"
)

// Group is the set of background exchanges of one component. The zero value works.
type Group struct {
	mu      sync.Mutex
	ctx     context.Context
	running int
	// waiters are closed once running is 0.
	waiters []chan struct{}
}

// SetContext sets the context of exchanges that are started later. Without one they get the background context.
func (g *Group) SetContext(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx = ctx
}

// Go runs f as an exchange in a goroutine of its own.
func (g *Group) Go(f func(ctx context.Context)) {
	ctx := g.begin()
	go func() {
		defer g.end()
		f(ctx)
	}()
}

// Idle returns a channel that is closed as soon as no exchange is running.
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
