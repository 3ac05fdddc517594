// Package mesh connects the daemons of package daemon by gRPC, with mutual TLS if keys are set.
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
	// maxHeaderList is the maximum size of the headers of a stream.
	maxHeaderList = 8 << 10
	// handshakeTimeout limits the handshake of an incoming connection.
	handshakeTimeout = 3 * time.Second
	// maxMessageBytes is the maximum size of a message on the peer port.
	maxMessageBytes = 72 << 20
	// maxRedialBackoff is the maximum backoff before a lost connection is dialled again, and the minimum timeout of a dial.
	maxRedialBackoff = time.Second
	// pingIdle is how long a connection may be idle before a keepalive ping is sent.
	pingIdle = 10 * time.Second
	// pingTimeout is how long the answer to a keepalive ping may take.
	pingTimeout = 3 * time.Second
)

// Mesh holds the connections to the other daemons. The zero value has no connections.
type Mesh struct {
	// Keys are the keys for mutual TLS; nil means plain TCP.
	Keys *Keys
	// CountBytes is called with the wire size of each control message.
	CountBytes func(kind string, n int)

	mu    sync.RWMutex
	peers map[citron.VMName]*grpc.ClientConn
}

// Connect adds a daemon. It does not wait for the connection.
func (m *Mesh) Connect(vm citron.VMName, address string) (err error) {
	defer func() { err = eris.Wrapf(err, "connect %s", vm) }()
	options := []grpc.DialOption{
		grpc.WithStatsHandler(byteCounter{m.CountBytes}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialBackoff},
			MinConnectTimeout: maxRedialBackoff,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingIdle, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
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

// Names returns the daemons that have been added with Connect.
func (m *Mesh) Names() (names []citron.VMName) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for vm := range m.peers {
		names = append(names, vm)
	}
	return names
}

// Close closes all connections.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, connection := range m.peers {
		_ = connection.Close()
	}
	m.peers = nil
}

// Serve serves requests of other daemons until the context ends and reports its end on the returned channel.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener, server peer.PeerServer) <-chan error {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingIdle / 2, PermitWithoutStream: true}),
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

// sendTrackerKey is the context key of a SendTracker.
type sendTrackerKey struct{}

// SendTracker records whether any bytes of a call may have left this process.
type SendTracker struct {
	mu   sync.Mutex
	sent bool
}

// MayBeSent reports whether the call may have reached the other daemon.
func (s *SendTracker) MayBeSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// TrackSend returns a context for one call and the tracker of that call.
func TrackSend(ctx context.Context) (context.Context, *SendTracker) {
	s := &SendTracker{}
	return context.WithValue(ctx, sendTrackerKey{}, s), s
}

// MarkSent records that bytes of the context's call may have left this process.
func MarkSent(ctx context.Context) {
	tracker, ok := ctx.Value(sendTrackerKey{}).(*SendTracker)
	if !ok {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.sent = true
}

// byteCounter is a gRPC stats handler that counts the bytes of control messages and marks calls as sent.
type byteCounter struct {
	countBytes func(kind string, n int)
}

// methodKey is the context key of a call's method name.
type methodKey struct{}

// TagRPC stores the method of a call in its context.
func (c byteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, info.FullMethodName)
}

// HandleRPC handles an event of a call. Once the headers go out, the call may have reached the other daemon.
func (c byteCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
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
func (c byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (c byteCounter) HandleConn(context.Context, stats.ConnStats) {}

// count reports the bytes of a message if it is control traffic: heartbeats, lease exchanges and fetches.
func (c byteCounter) count(ctx context.Context, n int) {
	if c.countBytes == nil {
		return
	}
	switch method, _ := ctx.Value(methodKey{}).(string); method {
	case peer.Peer_Beat_FullMethodName, peer.Peer_Renew_FullMethodName, peer.Peer_Release_FullMethodName, peer.Peer_Fetch_FullMethodName:
		c.countBytes("peer", n)
	}
}
