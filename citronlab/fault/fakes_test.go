package fault

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/fleet"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/work"
	"github.com/citroncross/citroncross/schema/lab"
)

// endpoint is a fake back end with its own record. The checks look only here.
type endpoint struct {
	name  string
	slots int

	mu       sync.Mutex
	inFlight int
	most     int
	leaving  bool
	late     int
	// runs counts the runs of each sending, which the body of a call names.
	runs map[string]int
	// gate, if set, holds every run until it is closed.
	gate chan struct{}
}

// body is the one right answer to a request.
func body(id citron.RequestID) string {
	return fmt.Sprintf("answer to %s, whole", id)
}

func (e *endpoint) run(call citron.Call) string {
	e.mu.Lock()
	e.inFlight++
	e.most = max(e.most, e.inFlight)
	e.runs[string(call.Body)]++
	if e.leaving {
		e.late++
	}
	gate := e.gate
	e.mu.Unlock()
	if gate != nil {
		<-gate
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	return body(call.RequestID)
}

func (e *endpoint) now() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

func (r *rig) endpoint(address string) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[address]
}

// addEndpoint lists an endpoint of a shard in every node.
func (r *rig) addEndpoint(name string, id citron.ShardID) {
	r.mu.Lock()
	r.endpoints[name] = &endpoint{name: name, slots: r.slots, runs: map[string]int{}}
	r.mu.Unlock()
	r.list(id)
}

func (r *rig) list(id citron.ShardID) {
	r.mu.Lock()
	var specs []slots.Spec
	for _, e := range r.endpoints {
		specs = append(specs, slots.Spec{
			Name: citron.Endpoint(e.name), Address: e.name, Service: "s", Shard: id, Slots: r.slots, Connections: 64, Leaving: e.leaving,
		})
	}
	r.mu.Unlock()
	for _, x := range r.nodes {
		x.calls.Slots.SetEndpoints(specs)
	}
}

// runsOf counts the runs of a sending over all endpoints.
func (r *rig) runsOf(sending string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.mu.Lock()
		n += e.runs[sending]
		e.mu.Unlock()
	}
	return n
}

// worker is the stand-in's worker with a record of how often each task ran at once anywhere.
type worker struct {
	*work.Worker
	lost atomic.Bool
}

// strikeWorker does something to the worker that a step speaks to, or to any where it speaks to none.
func (r *rig) strikeWorker(step string, do func(*worker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen := "w0"
	for name := range r.workers {
		if strings.HasSuffix(step, " "+name) {
			chosen = name
		}
	}
	if w, ok := r.workers[chosen]; ok {
		do(w)
	}
}

func (r *rig) addWorker(name string) {
	w := &worker{Worker: &work.Worker{
		Options: work.Options{Name: name, MilliCores: 4000, MemoryMb: 4000, RunTime: 20 * time.Millisecond},
		Timer:   timer.System{},
	}}
	w.Run(r.ctx)
	r.mu.Lock()
	r.workers[name] = w
	r.mu.Unlock()
	r.listWorkers()
}

func (r *rig) listWorkers() {
	r.mu.Lock()
	var vms []*lab.VM
	for name, w := range r.workers {
		if !w.lost.Load() {
			vms = append(vms, &lab.VM{Name: name, Kind: fleet.KindWorker, Address: name, Rack: "r", MilliCores: 4000, MemoryMb: 4000})
		}
	}
	r.mu.Unlock()
	for _, x := range r.nodes {
		x.jobs.SetVMs(vms)
	}
}

func (r *rig) workerGone(name citron.VMName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.workers[string(name)]
	return ok && w.lost.Load()
}

// taskRuns counts the starts of each task over all workers and attempts.
func (r *rig) taskRuns() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string]int{}
	for _, w := range r.workers {
		for id, n := range w.Record().Runs {
			runs[id] += n
		}
	}
	return runs
}

// nodeRunner is the way of one node to the workers.
type nodeRunner struct{ x *node }

func (n nodeRunner) Sync(ctx context.Context, address string, request *lab.SyncRequest) (reply *lab.SyncReply, err error) {
	err = n.x.step("sync "+address, false, func() error {
		n.x.r.mu.Lock()
		w := n.x.r.workers[address]
		n.x.r.mu.Unlock()
		if w.lost.Load() {
			return citron.ErrUnavailable
		}
		reply = w.Sync(ctx, request)
		return ctx.Err()
	})
	return reply, err
}
