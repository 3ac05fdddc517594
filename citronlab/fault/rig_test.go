// Package fault brings every fault to every step of the paths of calls and jobs and checks what must always hold.
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

// kind is a fault that strikes at one step.
type kind int

const (
	noFault kind = iota
	// failBefore fails the step without an effect.
	failBefore
	// failAfter does the step and loses its answer.
	failAfter
	// crashBefore ends the daemon that makes the step, before it.
	crashBefore
	// crashAfter ends it after the step, before the answer.
	crashAfter
	// pausePast holds the daemon until its lease has lapsed and its shards have another owner, then goes on.
	pausePast
	// twice does the step two times.
	twice
	// logOutage makes every later step with the log fail for a while.
	logOutage
	kinds
	// workerRestart ends a worker's process and starts a new one.
	workerRestart
	// workerLoss ends a worker's VM for good.
	workerLoss
	jobKinds
)

var kindNames = [...]string{"none", "fail before", "fail after", "crash before", "crash after", "pause past the lease", "twice", "log outage", "", "worker restarts", "worker lost"}

const outageSteps = 4

// rig is a cell of three daemons on fakes that count every step between them.
type rig struct {
	t      testing.TB
	ctx    context.Context
	log    *memory.Log
	nodes  []*node
	layout citron.Layout
	slots  int

	mu        sync.Mutex
	owners    map[citron.ShardID]int
	epochs    map[citron.ShardID]citron.Epoch
	steps     int
	strikes   map[int]kind
	outage    int
	endpoints map[string]*endpoint
	workers   map[string]*worker
	trace     []string
	// broken names a promise that the fakes break on purpose, to test the checks.
	broken breakage
}

// node is one daemon.
type node struct {
	r     *rig
	n     int
	self  citron.Member
	calls *calls.Service
	jobs  *jobs.Service
	opt   ledger.Options
	ctx   context.Context
	end   context.CancelFunc

	mu      sync.Mutex
	dead    bool
	stopped bool
}

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

func newRig(t testing.TB, strikes map[int]kind) *rig {
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
		strikes:   strikes,
		endpoints: map[string]*endpoint{},
		workers:   map[string]*worker{},
	}
	for n := range 3 {
		r.nodes = append(r.nodes, r.newNode(n))
	}
	return r
}

func (r *rig) newNode(n int) *node {
	ctx, end := context.WithCancel(r.ctx)
	x := &node{r: r, n: n, ctx: ctx, end: end, self: citron.Member{VM: citron.VMName(fmt.Sprintf("d%d", n)), Incarnation: 1}}
	clock := timer.System{}
	templates := &state.Templates{}
	templates.Apply(0, &record.Entry{Body: &record.Entry_TemplateChange{TemplateChange: &record.TemplateChange{Team: "t", Source: templateText}}})
	appender := &batch.Appender{Log: nodeLog{x}, Timer: clock, PerSecond: 1000, Timeout: time.Second}
	appender.Run(ctx)
	x.opt = ledger.Options{VM: x.self.VM, Log: nodeLog{x}, Timer: clock, Appender: appender, SnapshotAge: time.Hour}
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
		VMs:       noPower{},
		Gone:      func(name citron.VMName) bool { return r.workerGone(name) },
		Stats:     stats.New(),
	}
	x.calls.Run(ctx)
	go x.upkeep()
	return x
}

// upkeep asks endpoints for evidence as the daemon does.
func (x *node) upkeep() {
	tick, stop := timer.System{}.Every(20 * time.Millisecond)
	defer stop()
	for {
		select {
		case <-tick:
			x.calls.QueryHeldSlots(x.ctx)
		case <-x.ctx.Done():
			return
		}
	}
}

// own gives a shard to a node.
func (r *rig) own(id citron.ShardID, n int) {
	r.mu.Lock()
	former, owned := r.owners[id]
	r.owners[id] = n
	r.epochs[id]++
	epoch := r.epochs[id]
	r.mu.Unlock()
	x := r.nodes[n]
	if id.IsPool() {
		x.jobs.Gained(x.ctx, x.opt, id, epoch)
		return
	}
	var before citron.Member
	if owned {
		before = r.nodes[former].self
		r.nodes[former].calls.Lost(id)
	}
	x.calls.Gained(id, before)
	x.calls.Intents.Gained(x.ctx, x.opt, id, epoch)
}

// moveFrom gives every shard of a node to the next one.
func (r *rig) moveFrom(n int) {
	next := (n + 1) % len(r.nodes)
	for _, id := range r.layout.Shards() {
		r.mu.Lock()
		owner, owned := r.owners[id]
		r.mu.Unlock()
		if owned && owner == n {
			r.own(id, next)
		}
	}
}

// step does one step of a node under the plan of faults.
func (x *node) step(name string, isLog bool, do func() error) error {
	r := x.r
	r.mu.Lock()
	r.steps++
	n := r.steps
	strike := r.strikes[n]
	r.trace = append(r.trace, fmt.Sprintf("%d %s %s [%s]", n, x.self.VM, name, kindNames[strike]))
	if isLog && r.outage > 0 {
		r.outage--
		r.mu.Unlock()
		return citron.ErrUnavailable
	}
	if strike == logOutage {
		r.outage = outageSteps
	}
	r.mu.Unlock()
	if x.isDead() {
		return citron.ErrUnavailable
	}
	switch strike {
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
	case pausePast:
		r.moveFrom(x.n)
	case workerRestart:
		r.strikeWorker(name, func(w *worker) { w.Restart() })
	case workerLoss:
		r.strikeWorker(name, func(w *worker) {
			w.Restart()
			w.lost.Store(true)
		})
	case twice:
		if !strings.HasPrefix(name, "invoke") {
			// TCP does not repeat a request to an endpoint.
			_ = do()
		}
	}
	return do()
}

func (x *node) isDead() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dead
}

func (x *node) crash() {
	x.mu.Lock()
	x.dead = true
	x.mu.Unlock()
	x.end()
	x.r.moveFrom(x.n)
}

// MayAct reports whether the node holds a shard.
func (x *node) MayAct(id citron.ShardID) bool {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	owner, owned := x.r.owners[id]
	return owned && owner == x.n && !x.isDead()
}

// OwnerOf returns the node that holds a shard.
func (x *node) OwnerOf(id citron.ShardID) citron.Member {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	owner, owned := x.r.owners[id]
	if !owned {
		return citron.Member{}
	}
	return x.r.nodes[owner].self
}

// tell makes one node know the room of another.
func (r *rig) tell(to, about, free int) {
	r.nodes[to].calls.Members.RecordHeartbeat(timer.System{}.Now(), &peer.BeatRequest{
		Sender: shard.MemberRecord(r.nodes[about].self),
		Loads:  []*peer.ServiceLoad{{Service: "s", FreeSlots: int32(free), Slots: int32(r.slots)}},
	})
}

// nodeLog is the log as one node reaches it. Reads are no steps: a lost read is read again.
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

// nodeInvoker is the way of one node to the endpoints.
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
		sent, body, err = i.x.r.broken.invoke(e, call, body)
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
	return i.x.r.endpoint(address).now(), nil
}

// Peer returns the way of one node to another.
func (x *node) Peer(vm citron.VMName) (peer.PeerClient, bool) {
	for _, other := range x.r.nodes {
		if other.self.VM == vm {
			return wire{from: x, to: other}, true
		}
	}
	return nil, false
}

// wire carries calls between two nodes in memory.
type wire struct {
	peer.PeerClient
	from, to *node
}

// Forward hands a call to the other node. A repeated message reaches it two times.
func (w wire) Forward(ctx context.Context, f *peer.ForwardRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[peer.ForwardPart], error) {
	var answer *pipe
	err := w.from.step("forward to "+string(w.to.self.VM), false, func() error {
		if w.to.isDead() {
			return citron.ErrUnavailable
		}
		mesh.MarkSent(ctx)
		next := &pipe{ctx: w.to.ctx, parts: make(chan *peer.ForwardPart, 64)}
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

// Relay hands a job request to the other node.
func (w wire) Relay(ctx context.Context, request *peer.RelayRequest, _ ...grpc.CallOption) (reply *peer.RelayReply, err error) {
	err = w.from.step("relay to "+string(w.to.self.VM), false, func() error {
		if w.to.isDead() {
			return citron.ErrUnavailable
		}
		reply = w.to.jobs.Relay(ctx, request)
		return nil
	})
	return reply, err
}

// pipe carries an answer in memory.
type pipe struct {
	ctx   context.Context
	parts chan *peer.ForwardPart
}

// serverEnd is where an answer is written.
type serverEnd struct {
	grpc.ServerStream
	pipe *pipe
}

// clientEnd is where it is read.
type clientEnd struct {
	grpc.ClientStream
	pipe *pipe
}

func (s serverEnd) Context() context.Context { return s.pipe.ctx }

func (s serverEnd) Send(part *peer.ForwardPart) error { return s.pipe.send(part) }

func (c clientEnd) Recv() (*peer.ForwardPart, error) { return c.pipe.receive() }

func (p *pipe) send(part *peer.ForwardPart) error {
	select {
	case p.parts <- part:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p *pipe) receive() (*peer.ForwardPart, error) {
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

type noPower struct{}

func (noPower) List(context.Context) (*lab.VMList, error)           { return nil, citron.ErrUnavailable }
func (noPower) SetPower(context.Context, citron.VMName, bool) error { return nil }

// pollEvery is how often a condition of the fakes is looked at.
const pollEvery = 2 * time.Millisecond

func (r *rig) clock() timer.System { return timer.System{} }

// Want hands what waits to the other node.
func (w wire) Want(_ context.Context, request *peer.WantRequest, _ ...grpc.CallOption) (*peer.WantReply, error) {
	return &peer.WantReply{}, w.from.step("want to "+string(w.to.self.VM), false, func() error {
		if w.to.isDead() {
			return citron.ErrUnavailable
		}
		w.to.calls.RecordDemand(request)
		return nil
	})
}

// Offer hands offered slots to the other node.
func (w wire) Offer(_ context.Context, request *peer.OfferRequest, _ ...grpc.CallOption) (reply *peer.OfferReply, err error) {
	err = w.from.step("offer to "+string(w.to.self.VM), false, func() error {
		if w.to.isDead() {
			return citron.ErrUnavailable
		}
		reply = w.to.calls.AcceptOffer(request)
		return nil
	})
	return reply, err
}

// Remaining asks the other node, as a former owner. It is no step: a lost answer is asked for again.
func (w wire) Remaining(_ context.Context, request *peer.RemainingRequest, _ ...grpc.CallOption) (*peer.RemainingReply, error) {
	if w.to.isDead() {
		return nil, citron.ErrUnavailable
	}
	return w.to.calls.Remaining(request), nil
}
