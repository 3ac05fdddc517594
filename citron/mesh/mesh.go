// Package mesh connects the daemons of a cell by gRPC.
package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/peer"
)

const (
	// maxMessage bounds one message on the peer port.
	maxMessage = 72 << 20
	// redialAfter is the longest pause before a lost connection is dialled again.
	redialAfter = time.Second
	// pingAfter is the silence after which a connection is probed.
	pingAfter = 10 * time.Second
	// pingTimeout is how long a probe may take.
	pingTimeout = 3 * time.Second
)

// Mesh holds the connections to the other daemons. The zero value has none.
type Mesh struct {
	// Keys protects the connections; nil means plain TCP.
	Keys *Keys
	// Bytes is called with the wire size of each control message.
	Bytes func(kind string, n int)

	mu    sync.RWMutex
	peers map[citron.VMName]*grpc.ClientConn
}

// Connect prepares the connection to a daemon. It does not wait for it.
func (m *Mesh) Connect(vm citron.VMName, address string) (err error) {
	defer func() { err = eris.Wrapf(err, "connect %s", vm) }()
	options := []grpc.DialOption{
		grpc.WithStatsHandler(counter{m.Bytes}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: redialAfter},
			MinConnectTimeout: redialAfter,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
	}
	if m.Keys == nil {
		options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	} else {
		options = append(options, grpc.WithTransportCredentials(m.Keys.Client(vm)))
	}
	connection, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[citron.VMName]*grpc.ClientConn{}
	}
	m.peers[vm] = connection
	return nil
}

// Peer returns the client of a daemon.
func (m *Mesh) Peer(vm citron.VMName) (peer.PeerClient, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	connection, ok := m.peers[vm]
	if !ok {
		return nil, false
	}
	return peer.NewPeerClient(connection), true
}

// Names lists the daemons that are connected to.
func (m *Mesh) Names() (names []citron.VMName) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for vm := range m.peers {
		names = append(names, vm)
	}
	return names
}

// Close ends every connection.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, connection := range m.peers {
		_ = connection.Close()
	}
	m.peers = nil
}

// Serve answers other daemons on a listener until the context ends. Its end is reported on the returned channel.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener, server peer.PeerServer) <-chan error {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingAfter / 2, PermitWithoutStream: true}),
	}
	if m.Keys != nil {
		options = append(options, grpc.Creds(m.Keys.Server()))
	}
	s := grpc.NewServer(options...)
	peer.RegisterPeerServer(s, server)
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		s.Stop()
	}()
	go func() {
		ended <- s.Serve(listener)
	}()
	return ended
}

// sentKey marks a context whose call notes whether anything was sent.
type sentKey struct{}

// SendTracker notes whether the bytes of a call can have left this process.
type SendTracker struct {
	mu   sync.Mutex
	sent bool
}

// MayBeSent reports whether the call can have reached the other daemon.
func (s *SendTracker) MayBeSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// TrackSend returns a context for one call and the note that the call fills.
func TrackSend(ctx context.Context) (context.Context, *SendTracker) {
	s := &SendTracker{}
	return context.WithValue(ctx, sentKey{}, s), s
}

// MarkSent notes that the bytes of the context's call can have left this process.
func MarkSent(ctx context.Context) {
	note, ok := ctx.Value(sentKey{}).(*SendTracker)
	if !ok {
		return
	}
	note.mu.Lock()
	defer note.mu.Unlock()
	note.sent = true
}

// counter counts the bytes of control messages and notes what was sent.
type counter struct {
	bytes func(kind string, n int)
}

type kindKey struct{}

// TagRPC notes the method of a call.
func (c counter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, kindKey{}, info.FullMethodName)
}

// HandleRPC counts one event of a call.
func (c counter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch e := s.(type) {
	case *stats.OutHeader:
		MarkSent(ctx)
	case *stats.OutPayload:
		c.count(ctx, e.WireLength)
	case *stats.InPayload:
		c.count(ctx, e.WireLength)
	}
}

// TagConn does nothing.
func (c counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (c counter) HandleConn(context.Context, stats.ConnStats) {}

func (c counter) count(ctx context.Context, n int) {
	if c.bytes == nil {
		return
	}
	switch method, _ := ctx.Value(kindKey{}).(string); method {
	case peer.Peer_Beat_FullMethodName, peer.Peer_Renew_FullMethodName, peer.Peer_Release_FullMethodName, peer.Peer_Fetch_FullMethodName:
		c.bytes("peer", n)
	}
}
