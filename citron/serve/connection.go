package serve

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citroncross/citroncross/citron/budget"
)

const (
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

// refusal answers a request whose header has not been decoded.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

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

// shed closes the connection so that others are served. Its request, if there is one, has not been handled, or its answer is
// not read.
func (c *connection) shed(reason budget.ShedReason) {
	c.guard.Observer.Shed(c.guard.Port, reason)
	_ = c.Conn.Close()
}

// refuse answers before a header has been decoded. The answer may get lost, like the connection.
func (c *connection) refuse() {
	_ = c.Conn.SetWriteDeadline(c.guard.Timer.Now().Wall.Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusal)
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
	if !c.account.Take(budget.Bytes(lines)*headerLineBytes + headerByteCopies*budget.Bytes(n)) {
		c.guard.Observer.Shed(c.guard.Port, budget.ShedMemory)
		c.refuse()
		return 0, ErrNoMemory
	}
	return n, err
}

// Write writes a part of an answer. Meanwhile the connection may be closed for others, since a client that does not read would
// keep its place and its memory for ever.
func (c *connection) Write(p []byte) (int, error) {
	c.account.Reopen()
	c.guard.Connections.SetServing(&c.slot, false)
	defer c.received()
	return c.Conn.Write(p)
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
	if !c.account.Take(budget.Bytes(c.bufferedLines.Load()) * headerLineBytes) {
		c.shed(budget.ShedMemory)
	}
}

// received marks the request as received as a whole: its connection is no longer closed for others. It reports false if the
// connection is being closed.
func (c *connection) received() bool {
	return c.account.Complete() && c.guard.Connections.SetServing(&c.slot, true)
}
