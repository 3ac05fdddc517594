package peers

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc/stats"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/budget"
)

const (
	// streamBytes is what a stream takes beside its messages: a goroutine and a header list of maxHeaderList bytes.
	streamBytes = 8<<10 + headerListCopies*maxHeaderList
	// maxHeaderList is the maximum size of the headers of a stream.
	maxHeaderList = 8 << 10
	// headerListCopies is how often the headers of a stream are held.
	headerListCopies = 2
	// messageCopies is how often the bytes of a message are held: as they were received and decoded.
	messageCopies = 2
	// maxStreams is the maximum number of streams of a connection.
	maxStreams = 256
)

// accounts takes the memory of what other daemons send from a budget of its own, so that callers who use up theirs do not
// cut daemons off from each other.
type accounts struct {
	budget.Budget
	budget.Connections
	// shed, if set, is called when a connection is closed so that others are served.
	shed func(budget.ShedReason)

	// open holds the accounted connections by their remote address.
	open sync.Map
}

// accountedListener accepts the connections that accounts admits.
type accountedListener struct {
	net.Listener
	accounts *accounts
}

// Accept returns the next admitted connection.
func (l *accountedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &accountedConn{Conn: accepted, accounts: l.accounts}
		c.slot.Close = func() { c.closeForOthers(budget.ShedConnections) }
		c.account.Budget = &l.accounts.Budget
		c.account.End = func() { c.closeForOthers(budget.ShedMemory) }
		if !l.accounts.Admit(&c.slot) {
			c.slot.Close()
			continue
		}
		l.accounts.open.Store(accepted.RemoteAddr().String(), c)
		return c, nil
	}
}

// accountedConn is a connection from another daemon. It takes memory for the message bytes that it reads.
type accountedConn struct {
	net.Conn
	accounts *accounts
	slot     budget.Connection
	account  budget.Account
	frames   frameReader

	mu sync.Mutex
	// streams is the number of open streams.
	streams int
}

func (c *accountedConn) closeForOthers(reason budget.ShedReason) {
	if c.accounts.shed != nil {
		c.accounts.shed(reason)
	}
	_ = c.Conn.Close()
}

// Read reads and takes the memory of the messages whose bytes were read.
func (c *accountedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.accounts.Touch(&c.slot)
	if data := c.frames.countData(p[:n]); data > 0 && !c.account.Take(messageCopies*budget.Bytes(data)) {
		c.closeForOthers(budget.ShedMemory)
		return 0, citron.ErrUnavailable
	}
	return n, err
}

// Close closes the connection and gives its memory back.
func (c *accountedConn) Close() error {
	c.accounts.open.CompareAndDelete(c.RemoteAddr().String(), c)
	c.accounts.Remove(&c.slot)
	c.account.Close()
	return c.Conn.Close()
}

// beginStream takes the memory of a new stream, and closes the connection if there is none.
func (c *accountedConn) beginStream() {
	c.mu.Lock()
	c.streams++
	c.mu.Unlock()
	if !c.account.Take(streamBytes) {
		c.closeForOthers(budget.ShedMemory)
	}
}

// endStream gives the memory of a stream back, and once the last one has ended also that of messages that were not received
// as a whole.
func (c *accountedConn) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams--; c.streams == 0 {
		c.account.Reset()
		return
	}
	c.account.Release(streamBytes)
}

// connKey is the context key of the connection of a stream.
type connKey struct{}

var _ stats.Handler = (*accounts)(nil)

// TagConn adds the connection to the context of its streams.
func (a *accounts) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	c, ok := a.open.Load(info.RemoteAddr.String())
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, c)
}

// HandleConn does nothing.
func (a *accounts) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC returns the context unchanged.
func (a *accounts) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC takes the memory of new streams, and gives back that of messages that were received as a whole and of ended
// streams.
func (a *accounts) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch m := s.(type) {
	case *stats.InHeader:
		if c := connOf(ctx); c != nil {
			c.beginStream()
		}
	case *stats.InPayload:
		if c := connOf(ctx); c != nil {
			c.account.Release(messageCopies * budget.Bytes(m.WireLength))
		}
	case *stats.End:
		if c := connOf(ctx); c != nil {
			c.endStream()
		}
	}
}

// connOf returns the connection of a stream, nil if it is not accounted.
func connOf(ctx context.Context) *accountedConn {
	c, _ := ctx.Value(connKey{}).(*accountedConn)
	return c
}

// Lengths in HTTP/2.
const (
	prefaceLength     = 24
	frameHeaderLength = 9
	frameTypeData     = 0
)

// frameReader follows the frames of the client's side of an HTTP/2 connection.
type frameReader struct {
	// skipped is the number of bytes of the preface that have been read.
	skipped int
	header  []byte
	// remaining is the number of bytes of the current frame that have not been read.
	remaining int
}

// countData returns how many of the bytes belong to DATA frames.
func (f *frameReader) countData(p []byte) (data int) {
	n := min(prefaceLength-f.skipped, len(p))
	f.skipped += n
	for p = p[n:]; len(p) > 0; {
		if f.remaining > 0 {
			n := min(f.remaining, len(p))
			if f.header[3] == frameTypeData {
				data += n
			}
			f.remaining -= n
			p = p[n:]
			if f.remaining > 0 {
				return data
			}
			f.header = f.header[:0]
			continue
		}
		n := min(frameHeaderLength-len(f.header), len(p))
		f.header = append(f.header, p[:n]...)
		p = p[n:]
		if len(f.header) < frameHeaderLength {
			return data
		}
		if f.remaining = int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2]); f.remaining == 0 {
			f.header = f.header[:0]
		}
	}
	return data
}
