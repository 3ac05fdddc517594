// Package peers connects the daemons of package entry by gRPC. They discover each other through records in the store.
package peers

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/citron/claim"
	"github.com/citroncross/citroncross/citron/roster"
	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// PingTimeout limits one ping.
	PingTimeout = 250 * time.Millisecond
	// minRedialPause and maxRedialPause limit the backoff before a lost connection is dialled again.
	minRedialPause = 30 * time.Millisecond
	maxRedialPause = 300 * time.Millisecond
	// dialTimeout is the minimum time that one connection attempt gets.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes or a keepalive ping may stay unacknowledged before a connection is closed.
	unackedTimeout = time.Second
	// probeAfter is how long a connection may be idle before a keepalive ping is sent; gRPC allows no less.
	probeAfter = 10 * time.Second
	// maxUnanswered is the number of consecutive exchanges without an answer after which a connection is replaced.
	maxUnanswered = 2
	// handshakeTimeout limits the HTTP/2 handshake of an incoming connection.
	handshakeTimeout = 3 * time.Second
	// defaultConnections is the default of Peers.MaxConnections: one from each daemon of a large cell, and some from operators.
	defaultConnections = 1024
	// defaultBytes is the default of Peers.MaxBytes.
	defaultBytes budget.Bytes = 64 << 20
	// flowWindow is the flow control window of a stream and of a connection. A fixed one saves the pings with which gRPC
	// would measure the bandwidth.
	flowWindow = 1 << 20
	// liveFor is how long a daemon counts as live after its last answer.
	liveFor = 1500 * time.Millisecond
)

// Peers holds the connections to the other daemons. The zero value has no other daemons.
type Peers struct {
	Self citron.Member
	// MilliCores is the processor time available to this daemon, in thousandths of a core.
	MilliCores int64
	Timer      citron.Timer
	// CountTraffic, if set, counts the bytes of each message to and from other daemons.
	CountTraffic func(call string, sent, received int)
	// MaxConnections and MaxBytes limit the connections from other daemons, and what their requests may hold together. They
	// have defaults.
	MaxConnections int
	MaxBytes       budget.Bytes
	// Shed, if set, is called when a connection from another daemon is closed so that others are served.
	Shed func(budget.ShedReason)
	// SharesReceived, if set, is called with each summary of the teams' backlogs that a holder sends.
	SharesReceived func(*link.ShareSummary)

	mu     sync.Mutex
	known  map[citron.VMName]*peer
	roster roster.Roster
}

// peer is another daemon.
type peer struct {
	presence *work.Presence
	// conn is nil until the first exchange and after it has been closed because of unanswered ones.
	conn *grpc.ClientConn
	// unanswered counts the consecutive exchanges without an answer.
	unanswered int
	// heardAt is the boot time of the last ping that came from the daemon, heardStopping is set if it was about to stop.
	heardAt       time.Duration
	heardStopping bool
	// refused is set if the last attempt to connect was refused, so that no process listens there.
	refused bool
	// ping is the result of the last pings.
	ping claim.PingResult
}

// Serve serves requests of other daemons until the context ends and reports its end on the returned channel.
func (p *Peers) Serve(ctx context.Context, listener net.Listener, server link.LinkServer) <-chan error {
	ended := make(chan error, 1)
	a := &accounts{shed: p.Shed}
	a.Max, a.Total = cmp.Or(p.MaxConnections, defaultConnections), cmp.Or(p.MaxBytes, defaultBytes)
	g := grpc.NewServer(
		grpc.InitialWindowSize(flowWindow), grpc.InitialConnWindowSize(flowWindow),
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderList),
		grpc.StatsHandler(&traffic{count: p.CountTraffic}), grpc.StatsHandler(a),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: probeAfter / 2, PermitWithoutStream: true}),
		// A handler of unknown methods reports the end of their streams, which is what gives their memory back.
		grpc.UnknownServiceHandler(func(any, grpc.ServerStream) error {
			return status.Error(codes.Unimplemented, "unknown method")
		}),
	)
	link.RegisterLinkServer(g, server)
	listener = &accountedListener{Listener: listener, accounts: a}
	stop := context.AfterFunc(ctx, g.Stop)
	go func() {
		defer stop()
		ended <- g.Serve(listener)
	}()
	return ended
}

// SetPresence sets the incarnation, address and processor time of a daemon; nil removes a daemon that has left. Loaded means that the
// record may be of any age.
func (p *Peers) SetPresence(vm citron.VMName, presence *work.Presence, loaded bool) {
	if vm == p.Self.VM {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil {
		p.known = map[citron.VMName]*peer{}
	}
	old := p.known[vm]
	// An incarnation is a wall-clock time and the clock may have been set back, so the newest record applies even if its
	// incarnation is lower.
	if old != nil && presence != nil && presence.GetIncarnation() == old.presence.GetIncarnation() {
		return
	}
	if old != nil && old.conn != nil {
		_ = old.conn.Close()
	}
	delete(p.known, vm)
	p.roster.Removed(vm)
	if presence != nil {
		p.known[vm] = &peer{presence: presence}
		p.roster.Announced(p.now(), vm, loaded)
	}
}

// now returns the boot time.
func (p *Peers) now() time.Duration {
	if p.Timer == nil {
		return 0
	}
	return p.Timer.Now().Boot
}

// Present returns the daemons that count, this one included, in order of preference, see compare. One that does not answer counts until
// the holder has noticed that.
func (p *Peers) Present() []citron.VMName {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	present := []citron.VMName{p.Self.VM}
	for vm := range p.known {
		if p.roster.Present(now, vm) {
			present = append(present, vm)
		}
	}
	p.sort(present)
	return present
}

// Addresses returns the peer addresses of the other daemons.
func (p *Peers) Addresses() (list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, remote := range p.known {
		list = append(list, remote.presence.GetPeerAddress())
	}
	slices.Sort(list)
	return list
}

// Rank returns the position of this daemon in Present. Listed is false if no holder has told yet which daemons count, so that lost ones
// may.
func (p *Peers) Rank() (n int, listed bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm := range p.known {
		if p.compare(vm, p.Self.VM) < 0 && p.roster.Present(now, vm) {
			n++
		}
	}
	return n, p.roster.Listed()
}

// sort sorts daemons by preference.
func (p *Peers) sort(vms []citron.VMName) {
	slices.SortFunc(vms, p.compare)
}

// compare prefers the daemon with more processor time. Daemons with equal processor time are ordered by a hash of their
// names, since daemons with similar names tend to fail together. The caller holds the lock.
func (p *Peers) compare(a, b citron.VMName) int {
	return cmp.Or(cmp.Compare(p.milliCores(b), p.milliCores(a)), cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// milliCores returns the processor time available to a daemon, in thousandths of a core. The caller holds the lock.
func (p *Peers) milliCores(vm citron.VMName) int64 {
	if vm == p.Self.VM {
		return p.MilliCores
	}
	return p.known[vm].presence.GetMilliCores()
}

// Live returns the other daemons that have answered or sent a ping within liveFor and are not stopping, in order of
// preference.
func (p *Peers) Live() (live []citron.VMName) {
	now := p.Timer.Now().Boot
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, remote := range p.known {
		if remote.live(now) {
			live = append(live, vm)
		}
	}
	p.sort(live)
	return live
}

// live reports whether the daemon has answered or sent a ping within liveFor and is not stopping. The caller holds the lock.
func (r *peer) live(now time.Duration) bool {
	at, stopping := r.ping.AnsweredAt, r.ping.Stopping
	if r.heardAt > at {
		at, stopping = r.heardAt, r.heardStopping
	}
	return at > 0 && now-at < liveFor && !stopping
}

// RecordHeard records a ping that came from another daemon.
func (p *Peers) RecordHeard(from citron.Member, stopping bool) {
	now := p.Timer.Now().Boot
	p.mu.Lock()
	defer p.mu.Unlock()
	if remote := p.known[from.VM]; remote != nil && remote.presence.GetIncarnation() == uint64(from.Incarnation) {
		remote.heardAt, remote.heardStopping = now, stopping
		p.roster.Heard(now, from.VM, stopping)
	}
}

// Unheard returns the other daemons that have neither answered nor sent a ping for some time.
func (p *Peers) Unheard(since time.Duration) (vms []citron.VMName) {
	now := p.Timer.Now().Boot
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, remote := range p.known {
		if now-max(remote.ping.AnsweredAt, remote.heardAt) >= since {
			vms = append(vms, vm)
		}
	}
	return vms
}

// LastPing returns the result of the last pings to a daemon.
func (p *Peers) LastPing(vm citron.VMName) claim.PingResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if remote := p.known[vm]; remote != nil {
		return remote.ping
	}
	return claim.PingResult{}
}

// Ping pings a daemon and stores the result for LastPing and Live. Stopping tells that daemon that this one is about to
// stop.
func (p *Peers) Ping(ctx context.Context, vm citron.VMName, stopping bool) {
	bounded, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	request := &link.PingRequest{VM: string(p.Self.VM), Incarnation: uint64(p.Self.Incarnation), Stopping: stopping}
	request.RosterEpoch, request.RosterNumber = p.rosterNumber()
	var reply *link.PingReply
	err := p.call(vm, func(c link.LinkClient) (err error) {
		reply, err = c.Ping(bounded, request)
		return err
	})
	if ctx.Err() != nil {
		return
	}
	if s := reply.GetShares(); s != nil && p.SharesReceived != nil {
		p.SharesReceived(s)
	}
	now := p.Timer.Now().Boot
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyRoster(now, reply.GetRoster())
	remote := p.known[vm]
	if remote == nil {
		return
	}
	switch {
	case err == nil:
		p.roster.Heard(now, vm, reply.GetStopping())
		remote.ping = claim.PingResult{
			AnsweredAt:          now,
			Incarnation:         citron.Incarnation(reply.GetIncarnation()),
			StoreUnavailableFor: time.Duration(reply.GetStoreLostMs()) * time.Millisecond,
			HeldEpoch:           citron.Epoch(reply.GetEpoch()),
			Stopping:            reply.GetStopping(),
		}
	case status.Code(err) == codes.Unavailable && remote.refused:
		if remote.ping.RefusedSince == 0 {
			remote.ping.RefusedSince = now
		}
	}
	if err != nil && remote.conn != nil && !p.roster.Present(now, vm) {
		_ = remote.conn.Close() // It would be dialled again and again.
		remote.conn = nil
	}
}

// QueryAnswerAge asks the daemon on vm how long ago target last answered it. Ok is false if target never has or is not
// known there.
func (p *Peers) QueryAnswerAge(ctx context.Context, vm, target citron.VMName) (age time.Duration, ok bool, err error) {
	defer func() { err = eris.Wrapf(err, "ask %s when %s last answered it", vm, target) }()
	var reply *link.HeardReply
	err = p.call(vm, func(c link.LinkClient) (err error) {
		reply, err = c.Heard(ctx, &link.HeardRequest{VM: string(target)})
		return err
	})
	return time.Duration(reply.GetAgeMs()) * time.Millisecond, reply.GetKnown(), err
}

// Advise sends a request to the policy service through another daemon. It returns citron.ErrRejected if that daemon or
// the service is busy.
func (p *Peers) Advise(ctx context.Context, vm citron.VMName, step citron.StepRef, workers []citron.Worker, timeout time.Duration) (permits []citron.Permit, valid time.Duration, err error) {
	defer func() { err = eris.Wrapf(err, "request advice through %s", vm) }()
	request := &link.AdviseRequest{Step: string(step), TimeoutMs: timeout.Milliseconds(), Positions: true}
	for _, w := range workers {
		request.Workers = append(request.Workers, string(w))
	}
	var reply *link.AdviseReply
	if err := p.call(vm, func(c link.LinkClient) (err error) {
		reply, err = c.Advise(ctx, request)
		return err
	}); err != nil {
		return nil, 0, err
	}
	if reply.GetBusy() {
		return nil, 0, citron.ErrRejected
	}
	for _, r := range reply.GetPermits() {
		worker := citron.Worker(r.GetWorker())
		if n := int(r.GetPosition()); n > 0 && n <= len(workers) {
			worker = workers[n-1]
		}
		permits = append(permits, citron.Permit{Worker: worker, Ticket: r.GetTicket()})
	}
	return permits, time.Duration(reply.GetValidMs()) * time.Millisecond, nil
}

// Outcomes of an append through another daemon, the values of link.AppendReply.Outcome.
const (
	Stored    = 1
	NotStored = 2
	Unknown   = 3
)

// connectTimeout bounds the wait for a connection before an append, so that a daemon that is gone costs the caller little.
const connectTimeout = 100 * time.Millisecond

// connected waits until the connection to a daemon is established and reports whether it is.
func (p *Peers) connected(ctx context.Context, vm citron.VMName) bool {
	conn, err := p.connection(vm)
	if err != nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		switch state := conn.GetState(); state {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure, connectivity.Shutdown:
			return false
		default:
			conn.Connect()
			if !conn.WaitForStateChange(bounded, state) {
				return false
			}
		}
	}
}

// Append appends intake records through another daemon. It returns citron.ErrRejected if they have not been stored, also if
// they could not be sent, and citron.ErrUnavailable if the outcome is unknown.
func (p *Peers) Append(ctx context.Context, vm citron.VMName, records []citron.KeyedRecord) error {
	if !p.connected(ctx, vm) {
		return citron.ErrRejected
	}
	request := &link.AppendRequest{Records: Encode(records)}
	var reply *link.AppendReply
	err := p.call(vm, func(c link.LinkClient) (err error) {
		reply, err = c.Append(ctx, request)
		return err
	})
	switch {
	case err != nil:
		return citron.ErrUnavailable
	case reply.GetOutcome() == Stored:
		return nil
	case reply.GetOutcome() == NotStored:
		return citron.ErrRejected
	}
	return citron.ErrUnavailable
}

// Encode converts records to their form in messages.
func Encode(records []citron.KeyedRecord) (encoded []*link.Keyed) {
	for _, r := range records {
		encoded = append(encoded, &link.Keyed{Key: r.Key, Value: r.Value})
	}
	return encoded
}

// Decode converts records from their form in messages.
func Decode(records []*link.Keyed) (decoded []citron.KeyedRecord) {
	for _, r := range records {
		decoded = append(decoded, citron.KeyedRecord{Key: r.GetKey(), Value: r.GetValue()})
	}
	return decoded
}

// Lookup asks a daemon for the records of a job, which it may read from the store. It returns citron.ErrUnavailable if
// the answer is not certain.
func (p *Peers) Lookup(ctx context.Context, vm citron.VMName, id citron.JobID) (records []citron.KeyedRecord, err error) {
	defer func() { err = eris.Wrapf(err, "look up %s at %s", id, vm) }()
	var reply *link.LookupReply
	if err := p.call(vm, func(c link.LinkClient) (err error) {
		reply, err = c.Lookup(ctx, &link.LookupRequest{JobID: string(id)})
		return err
	}); err != nil {
		return nil, err
	}
	if !reply.GetCertain() {
		return nil, citron.ErrUnavailable
	}
	return Decode(reply.GetRecords()), nil
}

// CountPending asks a daemon how many jobs of a queue have not started. It returns citron.ErrUnavailable if that daemon
// does not know all accepted jobs.
func (p *Peers) CountPending(ctx context.Context, vm citron.VMName, q citron.QueueName) (n int, err error) {
	defer func() { err = eris.Wrapf(err, "count pending jobs of %s at %s", q, vm) }()
	var reply *link.CountPendingReply
	if err := p.call(vm, func(c link.LinkClient) (err error) {
		reply, err = c.CountPending(ctx, &link.CountPendingRequest{Queue: string(q)})
		return err
	}); err != nil {
		return 0, err
	}
	if !reply.GetCertain() {
		return 0, citron.ErrUnavailable
	}
	return int(reply.GetJobs()), nil
}

// Notify tells a daemon of records that have been stored.
func (p *Peers) Notify(ctx context.Context, vm citron.VMName, request *link.NotifyRequest) (err error) {
	defer func() { err = eris.Wrapf(err, "notify %s", vm) }()
	return p.call(vm, func(c link.LinkClient) error {
		_, err := c.Notify(ctx, request)
		return err
	})
}

// OpenOrders opens a stream of orders to workers through a daemon. It lasts until the context ends or the connection is
// replaced.
func (p *Peers) OpenOrders(ctx context.Context, vm citron.VMName) (stream grpc.BidiStreamingClient[link.Orders, link.Answers], err error) {
	defer func() { err = eris.Wrapf(err, "open a stream of orders through %s", vm) }()
	conn, err := p.connection(vm)
	if err != nil {
		return nil, err
	}
	return link.NewLinkClient(conn).CarryOrders(ctx)
}

// IsLive reports whether a daemon has answered or sent a ping within liveFor and is not stopping.
func (p *Peers) IsLive(vm citron.VMName) bool {
	now := p.Timer.Now().Boot
	p.mu.Lock()
	defer p.mu.Unlock()
	remote := p.known[vm]
	return remote != nil && remote.live(now)
}

// TakeOver asks a daemon to claim the pool that this daemon holds under epoch. It fails if that daemon has not loaded what
// a holder needs.
func (p *Peers) TakeOver(ctx context.Context, vm citron.VMName, epoch citron.Epoch) (err error) {
	defer func() { err = eris.Wrapf(err, "ask %s to take over", vm) }()
	return p.call(vm, func(c link.LinkClient) error {
		_, err := c.TakeOver(ctx, &link.TakeOverRequest{Epoch: uint64(epoch)})
		return err
	})
}

// call runs one exchange. After maxUnanswered exchanges without an answer it replaces the connection, since an open
// connection can stop delivering without an error while new ones work.
func (p *Peers) call(vm citron.VMName, f func(link.LinkClient) error) error {
	conn, err := p.connection(vm)
	if err != nil {
		return err
	}
	err = f(link.NewLinkClient(conn))
	p.mu.Lock()
	defer p.mu.Unlock()
	remote := p.known[vm]
	if remote == nil || remote.conn != conn {
		return err
	}
	if err == nil {
		remote.unanswered, remote.ping.RefusedSince = 0, 0
	} else if status.Code(err) == codes.DeadlineExceeded {
		if remote.unanswered++; remote.unanswered >= maxUnanswered {
			_ = conn.Close()
			remote.conn, remote.unanswered = nil, 0
		}
	}
	return err
}

// connection returns the connection to a daemon and sets it up if there is none.
func (p *Peers) connection(vm citron.VMName) (conn *grpc.ClientConn, err error) {
	defer func() { err = eris.Wrapf(err, "connect %s", vm) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	remote := p.known[vm]
	if remote == nil {
		return nil, citron.ErrUnavailable
	}
	if remote.conn != nil {
		return remote.conn, nil
	}
	remote.conn, err = grpc.NewClient("passthrough:///"+remote.presence.GetPeerAddress(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedialPause, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialPause},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: probeAfter, Timeout: unackedTimeout, PermitWithoutStream: true}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithInitialWindowSize(flowWindow),
		grpc.WithInitialConnWindowSize(flowWindow),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return p.dial(ctx, remote, address) }),
		grpc.WithStatsHandler(&traffic{count: p.CountTraffic}),
	)
	return remote.conn, err
}

// dial connects to a daemon and records whether it refused.
func (p *Peers) dial(ctx context.Context, remote *peer, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	p.mu.Lock()
	defer p.mu.Unlock()
	remote.refused = errors.Is(err, syscall.ECONNREFUSED)
	return conn, err
}
