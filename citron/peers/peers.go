// Package peers connects the daemons of a cell that find one another through the store.
package peers

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/claim"
	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// PingTimeout bounds one ping.
	PingTimeout = 250 * time.Millisecond
	// redialFirst and redialMost are the pauses before a lost connection is dialled again.
	redialFirst = 30 * time.Millisecond
	redialMost  = 300 * time.Millisecond
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout ends a connection on which sent bytes are not acknowledged.
	unackedTimeout = time.Second
	// probeAfter is the silence after which a connection is probed; gRPC allows no less.
	probeAfter = 10 * time.Second
	// silentLimit is the number of unanswered calls in a row after which a connection is replaced.
	silentLimit = 2
	// greetTimeout bounds how long a new connection may take to say that it speaks HTTP/2.
	greetTimeout = 3 * time.Second
	// maxPeers is the number of connections to the peer port: one from each daemon of a large cell, and operators.
	maxPeers = 1024
	// liveFor is how long a daemon counts as live after it last answered.
	liveFor = 1500 * time.Millisecond
)

// Peers holds the connections to the other daemons. The zero value knows none.
type Peers struct {
	Self citron.Member
	// MilliCores is the processor time that this daemon has.
	MilliCores int64
	Timer      citron.Timer

	mu    sync.Mutex
	known map[citron.VMName]*peer
}

type peer struct {
	presence *work.Presence
	conn     *grpc.ClientConn
	silent   int
	ping     claim.PingResult
}

// Serve answers other daemons on a listener until the context ends, and reports its end.
func Serve(ctx context.Context, listener net.Listener, server link.LinkServer) <-chan error {
	ended := make(chan error, 1)
	g := grpc.NewServer(grpc.ConnectionTimeout(greetTimeout), grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: probeAfter / 2, PermitWithoutStream: true}))
	link.RegisterLinkServer(g, server)
	listener = netutil.LimitListener(listener, maxPeers)
	stop := context.AfterFunc(ctx, g.Stop)
	go func() {
		defer stop()
		ended <- g.Serve(listener)
	}()
	return ended
}

// SetPresence takes in where a daemon can be reached; nil means that it is gone for good.
func (p *Peers) SetPresence(vm citron.VMName, presence *work.Presence) {
	if vm == p.Self.VM {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil {
		p.known = map[citron.VMName]*peer{}
	}
	old := p.known[vm]
	// An incarnation is a time of day, which may have been set back: the newest record counts, whatever it says.
	if old != nil && presence != nil && presence.GetIncarnation() == old.presence.GetIncarnation() {
		return
	}
	if old != nil && old.conn != nil {
		_ = old.conn.Close()
	}
	delete(p.known, vm)
	if presence != nil {
		p.known[vm] = &peer{presence: presence}
	}
}

// All lists the known daemons, this one included, the strongest first.
func (p *Peers) All() []citron.VMName {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := []citron.VMName{p.Self.VM}
	for vm := range p.known {
		all = append(all, vm)
	}
	p.rank(all)
	return all
}

// Addresses lists where the other daemons answer each other.
func (p *Peers) Addresses() (list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.known {
		list = append(list, one.presence.GetPeerAddress())
	}
	slices.Sort(list)
	return list
}

// Rank is the number of known daemons that come before this one.
func (p *Peers) Rank() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm := range p.known {
		if p.compare(vm, p.Self.VM) < 0 {
			n++
		}
	}
	return n
}

// rank sorts daemons, the strongest first.
func (p *Peers) rank(vms []citron.VMName) {
	slices.SortFunc(vms, p.compare)
}

// compare puts the daemon with more processor time first. Equal ones come in an order that has nothing to do with their
// names, since neighbours by name tend to be lost together. The lock is held.
func (p *Peers) compare(a, b citron.VMName) int {
	return cmp.Or(cmp.Compare(p.strength(b), p.strength(a)), cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// strength is the processor time that a daemon has, in thousandths of a core.
func (p *Peers) strength(vm citron.VMName) int64 {
	if vm == p.Self.VM {
		return p.MilliCores
	}
	return p.known[vm].presence.GetMilliCores()
}

// Live lists the daemons that answered lately, the strongest first.
func (p *Peers) Live() (live []citron.VMName) {
	now := p.Timer.Now().Boot
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, one := range p.known {
		if one.ping.AnsweredAt > 0 && now-one.ping.AnsweredAt < liveFor && !one.ping.Stopping {
			live = append(live, vm)
		}
	}
	p.rank(live)
	return live
}

// LastPing returns what the last pings to a daemon gave.
func (p *Peers) LastPing(vm citron.VMName) claim.PingResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.known[vm]; one != nil {
		return one.ping
	}
	return claim.PingResult{}
}

// Ping asks a daemon whether it lives, and notes the answer.
func (p *Peers) Ping(ctx context.Context, vm citron.VMName) {
	bounded, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	var reply *link.PingReply
	err := p.call(vm, func(c link.LinkClient) (err error) {
		reply, err = c.Ping(bounded, &link.PingRequest{VM: string(p.Self.VM), Incarnation: uint64(p.Self.Incarnation)})
		return err
	})
	if ctx.Err() != nil {
		return
	}
	now := p.Timer.Now().Boot
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.known[vm]
	if one == nil {
		return
	}
	switch {
	case err == nil:
		one.ping = claim.PingResult{
			AnsweredAt:          now,
			Incarnation:         citron.Incarnation(reply.GetIncarnation()),
			StoreUnavailableFor: time.Duration(reply.GetStoreLostMs()) * time.Millisecond,
			HeldEpoch:           citron.Epoch(reply.GetEpoch()),
			Stopping:            reply.GetStopping(),
		}
	case status.Code(err) == codes.Unavailable:
		if one.ping.RefusedSince == 0 {
			one.ping.RefusedSince = now
		}
	}
}

// QueryAnswerAge returns how long ago a daemon last answered another one; false if it never has, or is not known there.
func (p *Peers) QueryAnswerAge(ctx context.Context, vm, about citron.VMName) (age time.Duration, ok bool, err error) {
	defer func() { err = eris.Wrapf(err, "ask %s about %s", vm, about) }()
	var reply *link.HeardReply
	err = p.call(vm, func(c link.LinkClient) (err error) {
		reply, err = c.Heard(ctx, &link.HeardRequest{VM: string(about)})
		return err
	})
	return time.Duration(reply.GetAgeMs()) * time.Millisecond, reply.GetKnown(), err
}

// Advise has a daemon put a question to the policy service.
func (p *Peers) Advise(ctx context.Context, vm citron.VMName, step citron.StepRef, workers []citron.Worker, timeout time.Duration) (permits []citron.Permit, valid time.Duration, err error) {
	defer func() { err = eris.Wrapf(err, "advise through %s", vm) }()
	request := &link.AdviseRequest{Step: string(step), TimeoutMs: timeout.Milliseconds()}
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
		permits = append(permits, citron.Permit{Worker: citron.Worker(r.GetWorker()), Ticket: r.GetTicket()})
	}
	return permits, time.Duration(reply.GetValidMs()) * time.Millisecond, nil
}

// Outcomes of an append through another daemon, as they stand in link.AppendReply.
const (
	Stored    = 1
	NotStored = 2
	Unknown   = 3
)

// Append has a daemon append intake records.
func (p *Peers) Append(ctx context.Context, vm citron.VMName, records []citron.KeyedRecord) error {
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

// Encode returns the records for a message.
func Encode(records []citron.KeyedRecord) (encoded []*link.Keyed) {
	for _, r := range records {
		encoded = append(encoded, &link.Keyed{Key: r.Key, Value: r.Value})
	}
	return encoded
}

// Decode returns the records of a message.
func Decode(records []*link.Keyed) (decoded []citron.KeyedRecord) {
	for _, r := range records {
		decoded = append(decoded, citron.KeyedRecord{Key: r.GetKey(), Value: r.GetValue()})
	}
	return decoded
}

// Lookup returns what a daemon or the store knows of a job. It returns ErrUnavailable where that is not certain.
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

// Notify passes stored records on to a daemon.
func (p *Peers) Notify(ctx context.Context, vm citron.VMName, records []citron.KeyedRecord) (err error) {
	defer func() { err = eris.Wrapf(err, "notify %s", vm) }()
	return p.call(vm, func(c link.LinkClient) error {
		_, err := c.Notify(ctx, &link.NotifyRequest{Records: Encode(records)})
		return err
	})
}

// TakeOver asks a daemon to claim the pool from this one.
func (p *Peers) TakeOver(ctx context.Context, vm citron.VMName, epoch citron.Epoch) (err error) {
	defer func() { err = eris.Wrapf(err, "ask %s to take over", vm) }()
	return p.call(vm, func(c link.LinkClient) error {
		_, err := c.TakeOver(ctx, &link.TakeOverRequest{Epoch: uint64(epoch)})
		return err
	})
}

// call runs one exchange and replaces the connection after several that went unanswered, since a connection can fall
// silent without an error while new ones work.
func (p *Peers) call(vm citron.VMName, f func(link.LinkClient) error) error {
	conn, err := p.connection(vm)
	if err != nil {
		return err
	}
	err = f(link.NewLinkClient(conn))
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.known[vm]
	if one == nil || one.conn != conn {
		return err
	}
	if err == nil {
		one.silent, one.ping.RefusedSince = 0, 0
	} else if status.Code(err) == codes.DeadlineExceeded {
		if one.silent++; one.silent >= silentLimit {
			_ = conn.Close()
			one.conn, one.silent = nil, 0
		}
	}
	return err
}

func (p *Peers) connection(vm citron.VMName) (conn *grpc.ClientConn, err error) {
	defer func() { err = eris.Wrapf(err, "connect %s", vm) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.known[vm]
	if one == nil {
		return nil, citron.ErrUnavailable
	}
	if one.conn != nil {
		return one.conn, nil
	}
	one.conn, err = grpc.NewClient("passthrough:///"+one.presence.GetPeerAddress(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialFirst, Multiplier: 1.6, Jitter: 0.2, MaxDelay: redialMost},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: probeAfter, Timeout: unackedTimeout, PermitWithoutStream: true}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
	)
	return one.conn, err
}
