package serve

import (
	"bytes"
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
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
	// readBufferBytes is the size of the buffer through which net/http reads a connection.
	readBufferBytes = 4 << 10
	// headerLineBytes is what a header line takes when it is decoded, beside its bytes: an entry of the header map while the
	// map grows, and two strings.
	headerLineBytes budget.Bytes = 256
	// headerByteCopies is how often a byte of a header is held: in the buffer of the line and in the strings.
	headerByteCopies = 2
	// refusalTimeout bounds the writing of a refusal to a client that may not read.
	refusalTimeout = 100 * time.Millisecond
)

// ErrNoMemory means that a request is refused because the memory for requests is used up. It has not been handled.
var ErrNoMemory error = noMemoryError{}

// noMemoryError is a time-out to net/http, which then closes the connection without an answer of its own.
type noMemoryError struct{}

func (noMemoryError) Error() string   { return "the memory for requests is used up" }
func (noMemoryError) Timeout() bool   { return true }
func (noMemoryError) Temporary() bool { return false }

// refusal answers a request whose header has not been decoded.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

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

// connection is a connection whose requests take their memory from the budget.
type connection struct {
	net.Conn
	guard   *Guard
	slot    budget.Connection
	account budget.Account
	// inHeader is set while a header is received.
	inHeader atomic.Bool
	// bufferedLines counts the line ends of the last read, of which net/http may hold a part for the next header.
	bufferedLines atomic.Int64
	// used is set once a request has been received.
	used atomic.Bool
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func newConnection(accepted net.Conn, g *Guard) *connection {
	c := &connection{Conn: accepted, guard: g}
	c.inHeader.Store(true)
	c.slot.Close = func() { c.shed(budget.ShedConnections) }
	c.account.Budget = g.Budget
	c.account.End = func() { c.shed(budget.ShedMemory) }
	return c
}

// shed closes the connection so that others are served. Its request, if there is one, has not been handled.
func (c *connection) shed(reason budget.ShedReason) {
	c.guard.Observer.Shed(c.guard.Port, reason)
	_ = c.Conn.Close()
}

// refuse answers before a header has been decoded. The answer may get lost, like the connection.
func (c *connection) refuse() {
	_ = c.Conn.SetWriteDeadline(c.guard.Timer.Now().Wall.Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(refusal))
}

// Read reads and takes the memory that the bytes of a header need when they are decoded.
func (c *connection) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.guard.Connections.Touch(&c.slot)
	lines := int64(0)
	if len(p) <= readBufferBytes {
		lines = int64(bytes.Count(p[:n], []byte{'\n'}))
	}
	c.bufferedLines.Store(lines)
	if !c.inHeader.Load() {
		return n, err
	}
	if !<-c.account.Take(budget.Bytes(lines)*headerLineBytes + headerByteCopies*budget.Bytes(n)) {
		c.guard.Observer.Shed(c.guard.Port, budget.ShedMemory)
		c.refuse()
		return 0, ErrNoMemory
	}
	return n, err
}

// connStateChanged follows the requests of a connection.
func connStateChanged(conn net.Conn, state http.ConnState) {
	c := conn.(*connection)
	switch state {
	case http.StateActive:
		c.inHeader.Store(false)
	case http.StateIdle:
		c.nextRequest()
	case http.StateClosed, http.StateHijacked:
		c.account.Close()
		c.guard.Connections.Remove(&c.slot)
		if !c.used.Load() {
			c.guard.Observer.Incomplete(c.guard.Port, c.RemoteAddr())
		}
	}
}

// nextRequest prepares for the next header, of which a part may have been read already.
func (c *connection) nextRequest() {
	c.account.Reset()
	c.guard.Connections.SetServing(&c.slot, false)
	c.inHeader.Store(true)
	if !<-c.account.Take(budget.Bytes(c.bufferedLines.Load()) * headerLineBytes) {
		c.shed(budget.ShedMemory)
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

// received marks the request as received as a whole: its connection is no longer closed for others. It reports false if the
// connection is being closed.
func (c *connection) received() bool {
	return c.account.Complete() && c.guard.Connections.SetServing(&c.slot, true)
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
	if !<-c.account.Take(budget.Bytes(n)) {
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
