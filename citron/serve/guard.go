package serve

import (
	"bytes"
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/budget"
)

const (
	// headerTimeout bounds the time to receive the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection stays open without a request.
	idleTimeout = 60 * time.Second
	// maxHeader is the maximum size of a request header in bytes.
	maxHeader = 16 << 10
)

// ErrNoMemory means that a request is refused because the memory for requests is used up. It has not been handled.
var ErrNoMemory error = noMemoryError{}

// noMemoryError is a time-out to net/http, which then closes the connection without an answer of its own.
type noMemoryError struct{}

func (noMemoryError) Error() string   { return "the memory for requests is used up" }
func (noMemoryError) Timeout() bool   { return true }
func (noMemoryError) Temporary() bool { return false }

// Observer is told what a guard does to clients.
type Observer interface {
	// Shed is called when a connection to a port is closed or a request refused so that others are served.
	Shed(port string, reason budget.ShedReason)
	// Incomplete is called when a connection to a port closes without any request.
	Incomplete(port string, remote net.Addr)
	// Failed is called with errors of the HTTP server.
	Failed(line string)
}

// Guard serves the HTTP port of a daemon. It bounds the number of connections and takes the memory of each request from
// a budget.
type Guard struct {
	Port        string
	Timer       citron.Timer
	Budget      *budget.Budget
	Connections budget.Connections
	// BodyTimeout bounds the time to receive the body of a request.
	BodyTimeout time.Duration
	Observer    Observer
}

// Run serves HTTP on a listener and reports its end on the returned channel.
func (g *Guard) Run(listener net.Listener, handler http.Handler) (*http.Server, <-chan error) {
	server := &http.Server{
		Handler:           g.receive(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: connStateChanged,
		ErrorLog:  log.New(errorLog{g.Observer}, "", 0),
	}
	return server, Run(server, &guardedListener{Listener: listener, guard: g})
}

// errorLog passes the lines of an HTTP server's log on.
type errorLog struct{ observer Observer }

// Write passes one line on.
func (e errorLog) Write(line []byte) (int, error) {
	e.observer.Failed(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// guardedListener accepts connections of a guard. It never stops accepting, since connections that wait to be accepted
// receive data too.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next admitted connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConnection(accepted, l.guard)
		if l.guard.Connections.Admit(&c.slot) {
			return c, nil
		}
		l.guard.Observer.Shed(l.guard.Port, budget.ShedConnections)
		c.refuse()
		_ = accepted.Close()
	}
}

// receive passes requests on. A body has BodyTimeout to arrive, whether or not a handler reads it.
func (g *Guard) receive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r)
		c.used.Store(true)
		if r.Body != nil && r.Body != http.NoBody {
			_ = c.SetReadDeadline(g.Timer.Now().Wall.Add(g.BodyTimeout))
		} else if !c.received() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// connectionOf returns the connection of a request, nil if no guard serves it.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// Reserve takes memory for the handling of a request until its end or until release is called. It returns ErrNoMemory if
// there is none.
func Reserve(r *http.Request, n int64) (release func(), err error) {
	c := connectionOf(r)
	if c == nil {
		return func() {}, nil
	}
	if !c.account.Take(budget.Bytes(n)) {
		c.guard.Observer.Shed(c.guard.Port, budget.ShedMemory)
		return nil, ErrNoMemory
	}
	return func() { c.account.Release(budget.Bytes(n)) }, nil
}

// IsNoMemory reports whether a request is to be refused because the memory for requests is used up. An error of a
// connection that was closed for that reason counts too.
func IsNoMemory(err error) bool {
	return errors.Is(err, ErrNoMemory) || errors.Is(err, net.ErrClosed)
}
