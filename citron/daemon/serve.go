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

// peerServer answers other daemons.
type peerServer struct {
	peer.UnimplementedPeerServer
	d *Daemon
}

// Beat exchanges what two daemons know of each other.
func (p *peerServer) Beat(_ context.Context, request *peer.BeatRequest) (*peer.BeatReply, error) {
	if err := p.check(request.GetSender()); err != nil {
		return nil, err
	}
	p.d.heard(request)
	return &peer.BeatReply{State: p.d.state()}, nil
}

// Renew asks this standby for leases.
func (p *peerServer) Renew(_ context.Context, request *peer.RenewRequest) (*peer.RenewReply, error) {
	if err := p.check(request.GetOwner()); err != nil {
		return nil, err
	}
	return p.d.manager.GrantLeases(request), nil
}

// Release gives shards to this standby.
func (p *peerServer) Release(_ context.Context, request *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	if err := p.check(request.GetOwner()); err != nil {
		return nil, err
	}
	return p.d.manager.AcceptRelease(request), nil
}

// Forward runs another daemon's call.
func (p *peerServer) Forward(request *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.ForwardPart]) error {
	if err := p.check(request.GetSender()); err != nil {
		return err
	}
	return p.d.calls.ServeForwarded(request, stream)
}

// Want takes in what waits in another daemon.
func (p *peerServer) Want(_ context.Context, request *peer.WantRequest) (*peer.WantReply, error) {
	if err := p.check(request.GetSender()); err != nil {
		return nil, err
	}
	p.d.calls.RecordDemand(request)
	return &peer.WantReply{}, nil
}

// Remaining answers the new owner of a shard that this daemon owned.
func (p *peerServer) Remaining(_ context.Context, request *peer.RemainingRequest) (*peer.RemainingReply, error) {
	if err := p.check(request.GetSender()); err != nil {
		return nil, err
	}
	return p.d.calls.Remaining(request), nil
}

// Offer takes slots that another daemon holds for calls that wait here.
func (p *peerServer) Offer(_ context.Context, request *peer.OfferRequest) (*peer.OfferReply, error) {
	if err := p.check(request.GetSender()); err != nil {
		return nil, err
	}
	return p.d.calls.AcceptOffer(request), nil
}

// Relay answers another daemon's job request.
func (p *peerServer) Relay(ctx context.Context, request *peer.RelayRequest) (*peer.RelayReply, error) {
	return p.d.jobs.Relay(ctx, request), nil
}

// Fetch reads a control stream from this daemon's memory.
func (p *peerServer) Fetch(_ context.Context, request *peer.FetchRequest) (*peer.FetchReply, error) {
	f, ok := p.d.feeds[citron.Stream(request.GetStream())]
	if !ok {
		return nil, p.refuse("unknown stream")
	}
	snapshot, next, ok := f.Snapshot()
	if !ok {
		return &peer.FetchReply{}, nil
	}
	return &peer.FetchReply{Snapshot: snapshot, Next: int64(next)}, nil
}

// check refuses messages from daemons that the settings do not name.
func (p *peerServer) check(m *record.Member) error {
	if _, known := p.d.mesh.Peer(shard.MemberOf(m).VM); !known {
		return p.refuse("sender is not a daemon of this cell")
	}
	return nil
}

func (p *peerServer) refuse(reason string) error {
	p.d.stats.CountPeerRefusal()
	p.d.log.Emit(event.PeerRefused, event.Fields{"Reason": reason})
	return status.Error(codes.InvalidArgument, reason)
}

// Ready reports whether callers should be sent here.
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

// Drain starts a graceful stop.
func (d *Daemon) Drain() {
	select {
	case d.stopAsk <- struct{}{}:
	default:
	}
}

// Explain says why a job waits or where it ran.
func (d *Daemon) Explain(ctx context.Context, request *peer.RelayRequest) (*peer.RelayReply, *citron.Refusal) {
	return d.jobs.Handle(ctx, request)
}

// Status describes the daemon.
func (d *Daemon) Status() *admin.Status {
	out := &admin.Status{
		VM:            string(d.self.VM),
		FailureDomain: d.settings.GetFailureDomain(),
		Incarnation:   uint64(d.self.Incarnation),
		Ready:         d.Ready(),
		Stopping:      d.isStopping(),
		TemplatesNext: int64(d.feeds[citron.StreamTemplates].Next()),
		OpenJobs:      int64(d.jobs.OpenJobs()),
	}
	for _, t := range d.templates.All() {
		out.Templates = append(out.Templates, &admin.TemplateVersion{Team: string(t.Team), Version: uint64(t.Version)})
	}
	d.statusShards(out)
	d.statusRoom(out)
	return out
}

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

func (d *Daemon) statusRoom(out *admin.Status) {
	for _, l := range d.state().GetLoads() {
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
