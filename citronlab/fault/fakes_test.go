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

// endpoint is a fake endpoint that records what it ran. The checks count runs only in the records of endpoints and
// workers.
type endpoint struct {
	name string
	// slots is the number of slots that the endpoint really has.
	slots int

	mu          sync.Mutex
	inFlight    int
	maxInFlight int
	// leaving is set once the endpoint is about to leave and must get no more calls.
	leaving           bool
	callsWhileLeaving int
	// runs counts the runs of each submission; the body of a call holds its name.
	runs map[string]int
	// gate, if set, blocks every run until it is closed.
	gate chan struct{}
}

// expectedAnswer returns the complete answer to a request.
func expectedAnswer(id citron.RequestID) string {
	return fmt.Sprintf("answer to %s, complete", id)
}

// run runs a call and returns its answer.
func (e *endpoint) run(call citron.Call) string {
	e.mu.Lock()
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	e.runs[string(call.Body)]++
	if e.leaving {
		e.callsWhileLeaving++
	}
	gate := e.gate
	e.mu.Unlock()
	if gate != nil {
		<-gate
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	return expectedAnswer(call.RequestID)
}

// currentCalls returns the number of calls in flight.
func (e *endpoint) currentCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

func (r *rig) endpoint(address string) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[address]
}

// addEndpoint adds an endpoint to a shard and lists it in every node.
func (r *rig) addEndpoint(name string, id citron.ShardID) {
	r.mu.Lock()
	r.endpoints[name] = &endpoint{name: name, slots: r.slots, runs: map[string]int{}}
	r.mu.Unlock()
	r.listEndpoints(id)
}

// listEndpoints gives every node the list of all endpoints, as endpoints of one shard.
func (r *rig) listEndpoints(id citron.ShardID) {
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

// submissionRuns counts the runs of a submission over all endpoints.
func (r *rig) submissionRuns(submission string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.mu.Lock()
		n += e.runs[submission]
		e.mu.Unlock()
	}
	return n
}

// worker is the stand-in for a worker, which records what it ran.
type worker struct {
	*work.Worker
	// lost is set once the worker's VM is gone for good.
	lost atomic.Bool
}

// injectWorkerFault calls do with the worker that a step addresses, or with w0 if it addresses none.
func (r *rig) injectWorkerFault(step string, do func(*worker)) {
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

// addWorker starts a worker and lists it in every node.
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

// listWorkers gives every node the list of all workers that are not lost.
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

// workerGone reports whether a worker's VM is gone for good.
func (r *rig) workerGone(name citron.VMName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.workers[string(name)]
	return ok && w.lost.Load()
}

// attemptStarts counts the starts of each attempt over all workers.
func (r *rig) attemptStarts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	starts := map[string]int{}
	for _, w := range r.workers {
		for id, n := range w.Record().Runs {
			starts[id] += n
		}
	}
	return starts
}

// nodeRunner is the runner of one node; each exchange with a worker is a step.
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
