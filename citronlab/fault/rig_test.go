// Package fault tests the paths of calls and jobs: it injects each fault at each step and checks the invariants.
package fault

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/batch"
	"github.com/citroncross/citroncross/citron/calls"
	"github.com/citroncross/citroncross/citron/jobs"
	"github.com/citroncross/citroncross/citron/ledger"
	"github.com/citroncross/citroncross/citron/member"
	"github.com/citroncross/citroncross/citron/mesh"
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/citron/stream/memory"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"
)

// faultKind is a fault that is injected at one step.
type faultKind int

const (
	noFault faultKind = iota
	// failBefore fails the step without running it.
	failBefore
	// failAfter runs the step and loses its answer.
	failAfter
	// crashBefore crashes the daemon that makes the step before the step runs.
	crashBefore
	// crashAfter crashes the daemon after the step has run and before its answer arrives.
	crashAfter
	// pausePastLease runs the step after the daemon's leases have expired and its shards have another owner.
	pausePastLease
	// duplicate runs the step two times.
	duplicate
	// logOutage fails the next outageSteps steps that use the log.
	logOutage
	// endOfCallFaults follows the last fault of the call tests and is no fault itself.
	endOfCallFaults
	// workerRestart restarts a worker's process.
	workerRestart
	// workerLoss removes a worker's VM for good.
	workerLoss
	// endOfJobFaults follows the last fault of the job tests.
	endOfJobFaults
)

// faultNames holds the names of the faults in the trace.
var faultNames = [...]string{"none", "fail before", "fail after", "crash before", "crash after", "pause past lease expiry", "duplicate", "log outage", "", "worker restart", "worker loss"}

// outageSteps is the number of log steps that fail during a log outage.
const outageSteps = 4

// rig is a cell of three daemons on fakes that number every step and inject faults.
type rig struct {
	t      testing.TB
	ctx    context.Context
	log    *memory.Log
	nodes  []*node
	layout citron.Layout
	// slots is the number of slots that each endpoint is listed with.
	slots int

	mu sync.Mutex
	// owners holds the index of the node that owns each shard.
	owners map[citron.ShardID]int
	epochs map[citron.ShardID]citron.Epoch
	// steps is the number of steps made so far.
	steps int
	// faults holds the faults to inject by step number.
	faults map[int]faultKind
	// outageRemaining is the number of log steps that still fail in a log outage.
	outageRemaining int
	endpoints       map[string]*endpoint
	workers         map[string]*worker
	// trace describes each step made so far.
	trace []string
	// bug is the defect that the fakes inject.
	bug bug
}

// node is one daemon of a rig.
type node struct {
	r *rig
	// n is the index in rig.nodes.
	n             int
	self          citron.Member
	calls         *calls.Service
	jobs          *jobs.Service
	ledgerOptions ledger.Options
	ctx           context.Context
	cancel        context.CancelFunc

	mu      sync.Mutex
	crashed bool
	stopped bool
}

// templateText is a template with a repeatable class, "again", and a non-repeatable one, "once".
const templateText = `
Team = "t"
Service = "s"
[[Classes]]
Name = "again"
Urgency = "Urgent"
DeadlineMs = 1500
RunBoundMs = 300
Repeatable = true
[[Classes]]
Name = "once"
Urgency = "Urgent"
DeadlineMs = 1500
RunBoundMs = 300
Repeatable = false
`

// newRig returns a running rig that injects the given faults, which are listed by step number.
func newRig(t testing.TB, faults map[int]faultKind) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r := &rig{
		t:         t,
		ctx:       ctx,
		log:       &memory.Log{},
		layout:    citron.Layout{CallShards: 3, WorkerPools: 1},
		slots:     1,
		owners:    map[citron.ShardID]int{},
		epochs:    map[citron.ShardID]citron.Epoch{},
		faults:    faults,
		endpoints: map[string]*endpoint{},
		workers:   map[string]*worker{},
	}
	for n := range 3 {
		r.nodes = append(r.nodes, r.newNode(n))
	}
	return r
}

func (r *rig) newNode(n int) *node {
	ctx, cancel := context.WithCancel(r.ctx)
	x := &node{r: r, n: n, ctx: ctx, cancel: cancel, self: citron.Member{VM: citron.VMName(fmt.Sprintf("d%d", n)), Incarnation: 1}}
	clock := timer.System{}
	templates := &state.Templates{}
	templates.Apply(0, &record.Entry{Body: &record.Entry_TemplateChange{TemplateChange: &record.TemplateChange{Team: "t", Source: templateText}}})
	appender := &batch.Appender{Log: nodeLog{x}, Timer: clock, PerSecond: 1000, Timeout: time.Second}
	appender.Run(ctx)
	x.ledgerOptions = ledger.Options{VM: x.self.VM, Log: nodeLog{x}, Timer: clock, Appender: appender, SnapshotAge: time.Hour}
	x.calls = &calls.Service{
		Self:      x.self,
		Layout:    r.layout,
		Options:   calls.Options{QueuedCalls: 100, QueuedBytes: 1 << 20, BufferedAnswer: 1 << 16, RetryPercent: 100},
		Timer:     clock,
		Templates: templates,
		Slots:     &slots.Table{Settle: 20 * time.Millisecond},
		Owner:     x,
		Members:   &member.List{HeartbeatTimeout: time.Hour},
		Peers:     x,
		Invoker:   nodeInvoker{x},
		Intents:   &calls.IntentStore{Retention: time.Hour, LogAvailable: func() bool { return true }},
		Stats:     stats.New(),
	}
	x.jobs = &jobs.Service{
		Self:      x.self,
		Layout:    r.layout,
		Options:   jobs.Options{TaskLease: 2 * time.Second, SyncEvery: 50 * time.Millisecond, GangReservation: time.Second, IdleTimeout: time.Hour, JobRetention: time.Hour, Rules: place.Rules{QuarantineFailures: 3, QuarantineFor: time.Hour}},
		Timer:     clock,
		Templates: templates,
		Owner:     x,
		Peers:     x,
		Runner:    nodeRunner{x},
		VMs:       unavailableVMs{},
		IsVMGone:  func(name citron.VMName) bool { return r.workerGone(name) },
		Stats:     stats.New(),
	}
	x.calls.Run(ctx)
	go x.reconcileSlots()
	return x
}

// reconcileSlots periodically queries the endpoints about slots that are in doubt, as the daemon does.
func (x *node) reconcileSlots() {
	tick, stop := timer.System{}.Every(20 * time.Millisecond)
	defer stop()
	for {
		select {
		case <-tick:
			x.calls.QueryInDoubtSlots(x.ctx)
		case <-x.ctx.Done():
			return
		}
	}
}

// assignShard makes node n the owner of a shard, with a new epoch.
func (r *rig) assignShard(id citron.ShardID, n int) {
	r.mu.Lock()
	former, owned := r.owners[id]
	r.owners[id] = n
	r.epochs[id]++
	epoch := r.epochs[id]
	r.mu.Unlock()
	x := r.nodes[n]
	if id.IsPool() {
		x.jobs.Gained(x.ctx, x.ledgerOptions, id, epoch)
		return
	}
	var formerOwner citron.Member
	if owned {
		formerOwner = r.nodes[former].self
		r.nodes[former].calls.Lost(id)
	}
	x.calls.Gained(id, formerOwner)
	x.calls.Intents.Gained(x.ctx, x.ledgerOptions, id, epoch)
}

// reassignShards makes the next node the owner of every shard of node n.
func (r *rig) reassignShards(n int) {
	next := (n + 1) % len(r.nodes)
	for _, id := range r.layout.Shards() {
		r.mu.Lock()
		owner, owned := r.owners[id]
		r.mu.Unlock()
		if owned && owner == n {
			r.assignShard(id, next)
		}
	}
}

// step numbers a step of a node, injects the fault planned for it and runs it by calling do.
func (x *node) step(name string, isLog bool, do func() error) error {
	r := x.r
	r.mu.Lock()
	r.steps++
	n := r.steps
	fault := r.faults[n]
	r.trace = append(r.trace, fmt.Sprintf("%d %s %s [%s]", n, x.self.VM, name, faultNames[fault]))
	if isLog && r.outageRemaining > 0 {
		r.outageRemaining--
		r.mu.Unlock()
		return citron.ErrUnavailable
	}
	if fault == logOutage {
		r.outageRemaining = outageSteps
	}
	r.mu.Unlock()
	if x.hasCrashed() {
		return citron.ErrUnavailable
	}
	switch fault {
	case failBefore:
		return citron.ErrUnavailable
	case failAfter:
		_ = do()
		return citron.ErrUnavailable
	case crashBefore:
		x.crash()
		return citron.ErrUnavailable
	case crashAfter:
		_ = do()
		x.crash()
		return citron.ErrUnavailable
	case pausePastLease:
		r.reassignShards(x.n)
	case workerRestart:
		r.injectWorkerFault(name, func(w *worker) { w.Restart() })
	case workerLoss:
		r.injectWorkerFault(name, func(w *worker) {
			w.Restart()
			w.lost.Store(true)
		})
	case duplicate:
		if !strings.HasPrefix(name, "invoke") {
			// Requests to endpoints go over TCP, which does not duplicate them.
			_ = do()
		}
	}
	return do()
}

func (x *node) hasCrashed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.crashed
}

// crash stops the node and reassigns its shards.
func (x *node) crash() {
	x.mu.Lock()
	x.crashed = true
	x.mu.Unlock()
	x.cancel()
	x.r.reassignShards(x.n)
}

// MayAct reports whether the node owns a shard and has not crashed.
func (x *node) MayAct(id citron.ShardID) bool {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	owner, owned := x.r.owners[id]
	return owned && owner == x.n && !x.hasCrashed()
}

// OwnerOf returns the member that owns a shard.
func (x *node) OwnerOf(id citron.ShardID) citron.Member {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	owner, owned := x.r.owners[id]
	if !owned {
		return citron.Member{}
	}
	return x.r.nodes[owner].self
}

// sendHeartbeat delivers a heartbeat of node from, with its number of free slots, to node to.
func (r *rig) sendHeartbeat(to, from, free int) {
	r.nodes[to].calls.Members.RecordHeartbeat(timer.System{}.Now(), &peer.BeatRequest{
		Sender: shard.MemberRecord(r.nodes[from].self),
		Loads:  []*peer.ServiceLoad{{Service: "s", FreeSlots: int32(free), Slots: int32(r.slots)}},
	})
}

// nodeLog is the log client of one node. Only appends are steps, because a failed read is simply repeated.
type nodeLog struct{ x *node }

func (l nodeLog) Append(ctx context.Context, stream citron.Stream, entries []*record.Entry) (offset citron.Offset, err error) {
	err = l.x.step("append to "+string(stream), true, func() (err error) {
		offset, err = l.x.r.log.Append(ctx, stream, entries)
		return err
	})
	return offset, err
}

func (l nodeLog) Read(ctx context.Context, stream citron.Stream, from citron.Offset, wait time.Duration) (citron.Batch, error) {
	return l.x.r.log.Read(ctx, stream, from, wait)
}

// nodeInvoker is the invoker of one node; each call to an endpoint is a step.
type nodeInvoker struct{ x *node }

func (i nodeInvoker) Invoke(_ context.Context, address string, call citron.Call, w citron.AnswerWriter) (sent bool, err error) {
	e := i.x.r.endpoint(address)
	body := ""
	err = i.x.step("invoke "+address, false, func() error {
		sent = true
		body = e.run(call)
		return nil
	})
	if err == nil {
		sent, body, err = i.x.r.bug.afterInvoke(e, call, body)
	}
	if err != nil {
		return sent, err
	}
	if err := w.WriteHead(200, "text/plain"); err != nil {
		return true, err
	}
	return true, w.WriteChunk([]byte(body))
}

func (i nodeInvoker) InFlight(_ context.Context, address string) (int, error) {
	return i.x.r.endpoint(address).currentCalls(), nil
}

// Peer returns the in-memory client for another node.
func (x *node) Peer(vm citron.VMName) (peer.PeerClient, bool) {
	for _, other := range x.r.nodes {
		if other.self.VM == vm {
			return nodePeer{from: x, to: other}, true
		}
	}
	return nil, false
}

// nodePeer is an in-memory peer client of one node for another.
type nodePeer struct {
	peer.PeerClient
	from, to *node
}

// Forward forwards a call to the other node, which serves it twice if the step is duplicated.
func (w nodePeer) Forward(ctx context.Context, f *peer.ForwardRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[peer.ForwardPart], error) {
	var answer *answerPipe
	err := w.from.step("forward to "+string(w.to.self.VM), false, func() error {
		if w.to.hasCrashed() {
			return citron.ErrUnavailable
		}
		mesh.MarkSent(ctx)
		next := &answerPipe{ctx: w.to.ctx, parts: make(chan *peer.ForwardPart, 64)}
		go func() {
			defer close(next.parts)
			_ = w.to.calls.ServeForwarded(f, serverEnd{pipe: next})
		}()
		if answer == nil {
			answer = next
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return clientEnd{pipe: answer}, nil
}

// Relay relays a job request to the other node.
func (w nodePeer) Relay(ctx context.Context, request *peer.RelayRequest, _ ...grpc.CallOption) (reply *peer.RelayReply, err error) {
	err = w.from.step("relay to "+string(w.to.self.VM), false, func() error {
		if w.to.hasCrashed() {
			return citron.ErrUnavailable
		}
		reply = w.to.jobs.Relay(ctx, request)
		return nil
	})
	return reply, err
}

// answerPipe is an in-memory stream of the parts of an answer.
type answerPipe struct {
	ctx   context.Context
	parts chan *peer.ForwardPart
}

// serverEnd is the end of a pipe to which the answer is written.
type serverEnd struct {
	grpc.ServerStream
	pipe *answerPipe
}

// clientEnd is the end of a pipe from which the answer is read.
type clientEnd struct {
	grpc.ClientStream
	pipe *answerPipe
}

func (s serverEnd) Context() context.Context { return s.pipe.ctx }

func (s serverEnd) Send(part *peer.ForwardPart) error { return s.pipe.send(part) }

func (c clientEnd) Recv() (*peer.ForwardPart, error) { return c.pipe.receive() }

func (p *answerPipe) send(part *peer.ForwardPart) error {
	select {
	case p.parts <- part:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p *answerPipe) receive() (*peer.ForwardPart, error) {
	select {
	case part, ok := <-p.parts:
		if !ok {
			return nil, io.EOF
		}
		return part, nil
	case <-p.ctx.Done():
		return nil, citron.ErrUnavailable
	}
}

// unavailableVMs is a VM list that cannot be read and ignores power changes.
type unavailableVMs struct{}

func (unavailableVMs) List(context.Context) (*lab.VMList, error)           { return nil, citron.ErrUnavailable }
func (unavailableVMs) SetPower(context.Context, citron.VMName, bool) error { return nil }

// pollInterval is the interval at which waitUntil checks its condition.
const pollInterval = 2 * time.Millisecond

func (r *rig) clock() timer.System { return timer.System{} }

// Want reports the demand for slots to the other node.
func (w nodePeer) Want(_ context.Context, request *peer.WantRequest, _ ...grpc.CallOption) (*peer.WantReply, error) {
	return &peer.WantReply{}, w.from.step("want to "+string(w.to.self.VM), false, func() error {
		if w.to.hasCrashed() {
			return citron.ErrUnavailable
		}
		w.to.calls.RecordDemand(request)
		return nil
	})
}

// Offer offers slots to the other node.
func (w nodePeer) Offer(_ context.Context, request *peer.OfferRequest, _ ...grpc.CallOption) (reply *peer.OfferReply, err error) {
	err = w.from.step("offer to "+string(w.to.self.VM), false, func() error {
		if w.to.hasCrashed() {
			return citron.ErrUnavailable
		}
		reply = w.to.calls.AcceptOffer(request)
		return nil
	})
	return reply, err
}

// Remaining queries the other node as a former owner. It is not a step, because a failed query is simply repeated.
func (w nodePeer) Remaining(_ context.Context, request *peer.RemainingRequest, _ ...grpc.CallOption) (*peer.RemainingReply, error) {
	if w.to.hasCrashed() {
		return nil, citron.ErrUnavailable
	}
	return w.to.calls.Remaining(request), nil
}
