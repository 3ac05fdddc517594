package daemon

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/schema/admin"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"
)

// peerServer serves the requests of other daemons.
type peerServer struct {
	peer.UnimplementedPeerServer
	d *Daemon
}

// Beat records the heartbeat of another daemon and answers with that of this one.
func (p *peerServer) Beat(_ context.Context, request *peer.BeatRequest) (*peer.BeatReply, error) {
	if err := p.checkSender(request.GetSender()); err != nil {
		return nil, err
	}
	p.d.recordHeartbeat(request)
	return &peer.BeatReply{State: p.d.heartbeat()}, nil
}

// Renew grants leases to an owner for which this daemon is the standby.
func (p *peerServer) Renew(_ context.Context, request *peer.RenewRequest) (*peer.RenewReply, error) {
	if err := p.checkSender(request.GetOwner()); err != nil {
		return nil, err
	}
	return p.d.manager.GrantLeases(request), nil
}

// Release accepts shards that an owner releases without the log to this daemon, their standby.
func (p *peerServer) Release(_ context.Context, request *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	if err := p.checkSender(request.GetOwner()); err != nil {
		return nil, err
	}
	return p.d.manager.AcceptRelease(request), nil
}

// Forward runs a call that another daemon forwards.
func (p *peerServer) Forward(request *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.ForwardPart]) error {
	if err := p.checkSender(request.GetSender()); err != nil {
		return err
	}
	return p.d.calls.ServeForwarded(request, stream)
}

// Want records the calls that wait in another daemon.
func (p *peerServer) Want(_ context.Context, request *peer.WantRequest) (*peer.WantReply, error) {
	if err := p.checkSender(request.GetSender()); err != nil {
		return nil, err
	}
	p.d.calls.RecordDemand(request)
	return &peer.WantReply{}, nil
}

// Remaining returns, to the new owner of a shard, how many calls this daemon still runs on each endpoint of the shard.
func (p *peerServer) Remaining(_ context.Context, request *peer.RemainingRequest) (*peer.RemainingReply, error) {
	if err := p.checkSender(request.GetSender()); err != nil {
		return nil, err
	}
	return p.d.calls.Remaining(request), nil
}

// Offer accepts slots that another daemon offers to calls that wait here.
func (p *peerServer) Offer(_ context.Context, request *peer.OfferRequest) (*peer.OfferReply, error) {
	if err := p.checkSender(request.GetSender()); err != nil {
		return nil, err
	}
	return p.d.calls.AcceptOffer(request), nil
}

// Relay handles a job request that another daemon relays.
func (p *peerServer) Relay(ctx context.Context, request *peer.RelayRequest) (*peer.RelayReply, error) {
	return p.d.jobs.Relay(ctx, request), nil
}

// Fetch returns this daemon's state of a control stream, so that a daemon can start without the log.
func (p *peerServer) Fetch(_ context.Context, request *peer.FetchRequest) (*peer.FetchReply, error) {
	f, ok := p.d.followers[citron.Stream(request.GetStream())]
	if !ok {
		return nil, p.reject("unknown stream")
	}
	snapshot, next, ok := f.Snapshot()
	if !ok {
		return &peer.FetchReply{}, nil
	}
	return &peer.FetchReply{Snapshot: snapshot, Next: int64(next)}, nil
}

// checkSender rejects messages from daemons that are not in the settings.
func (p *peerServer) checkSender(m *record.Member) error {
	if _, known := p.d.mesh.Peer(shard.MemberOf(m).VM); !known {
		return p.reject("sender is not a daemon of this cell")
	}
	return nil
}

// reject counts and logs a rejected message and returns its error.
func (p *peerServer) reject(reason string) error {
	p.d.stats.CountPeerRefusal()
	p.d.log.Emit(event.PeerRefused, event.Fields{"Reason": reason})
	return status.Error(codes.InvalidArgument, reason)
}

// Ready reports whether this daemon accepts callers.
func (d *Daemon) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

func (d *Daemon) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// Drain requests a graceful stop, see Done.
func (d *Daemon) Drain() {
	select {
	case d.stopRequested <- struct{}{}:
	default:
	}
}

// Explain returns why a job waits or where it ran.
func (d *Daemon) Explain(ctx context.Context, request *peer.RelayRequest) (*peer.RelayReply, *citron.Refusal) {
	return d.jobs.Handle(ctx, request)
}

// Status returns the state of the daemon for operators.
func (d *Daemon) Status() *admin.Status {
	out := &admin.Status{
		VM:            string(d.self.VM),
		FailureDomain: d.settings.GetFailureDomain(),
		Incarnation:   uint64(d.self.Incarnation),
		Ready:         d.Ready(),
		Stopping:      d.isStopping(),
		TemplatesNext: int64(d.followers[citron.StreamTemplates].Next()),
		OpenJobs:      int64(d.jobs.OpenJobs()),
	}
	for _, t := range d.templates.All() {
		out.Templates = append(out.Templates, &admin.TemplateVersion{Team: string(t.Team), Version: uint64(t.Version)})
	}
	d.statusShards(out)
	d.statusCapacity(out)
	return out
}

// statusShards adds the shards and the other daemons.
func (d *Daemon) statusShards(out *admin.Status) {
	for _, v := range d.manager.Views() {
		left := int64(-1)
		if v.Bounded {
			left = max(v.LeaseLeft.Milliseconds(), 0)
		}
		out.Shards = append(out.Shards, &admin.Shard{
			Shard:       string(v.State.Shard),
			Epoch:       uint64(v.State.Epoch),
			Owner:       string(v.State.Owner.VM),
			Standby:     string(v.State.Standby.VM),
			Active:      v.Active,
			LeaseLeftMs: left,
		})
	}
	for _, p := range d.members.All(d.timer.Now()) {
		out.Daemons = append(out.Daemons, &admin.Daemon{VM: string(p.Member.VM), AdminAddress: p.AdminAddress, Alive: p.Alive})
	}
}

// statusCapacity adds the load of services and workers.
func (d *Daemon) statusCapacity(out *admin.Status) {
	for _, l := range d.heartbeat().GetLoads() {
		out.Services = append(out.Services, &admin.ServiceRoom{
			Service: l.GetService(),
			Slots:   int64(l.GetSlots()),
			Free:    int64(l.GetFreeSlots()),
			Queued:  int64(l.GetQueued()),
		})
	}
	for _, w := range d.jobs.Workers() {
		out.Workers = append(out.Workers, &admin.WorkerRoom{
			Worker:         string(w.Name),
			Rack:           w.Rack,
			Awake:          !w.Asleep && !w.Gone,
			Quarantined:    w.Quarantined,
			Leaving:        w.Leaving,
			Tasks:          int64(w.Tasks),
			UsedMilliCores: int64(w.Used.MilliCores),
			MilliCores:     int64(w.Resources.MilliCores),
			UsedMemoryMb:   int64(w.Used.MemoryMb),
			MemoryMb:       int64(w.Resources.MemoryMb),
		})
	}
}
