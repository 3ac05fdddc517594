package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/relay"
	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

// defaultDirectWorkers is the default of Settings.DirectWorkers.
const defaultDirectWorkers = 64

// orderRelay returns the client that sends the orders of this daemon as the holder.
func (d *Daemon) orderRelay() *relay.Workers {
	return &relay.Workers{
		Direct: d.Workers, Timer: d.Timer, Open: d.peers.OpenOrders, StartVia: d.startVia, RenewVia: d.renewVia, Exchanges: &d.exchanges,
	}
}

// relaysOrders reports whether there are more workers than one daemon can exchange messages with.
func (d *Daemon) relaysOrders() bool {
	most := d.Settings.DirectWorkers
	if most == 0 {
		most = defaultDirectWorkers
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.workerEntries) > most
}

// countDeciders returns the number of daemons that decide on large jobs by themselves. The holder learns of all accepted jobs at once.
func (d *Daemon) countDeciders() int {
	if d.IsHolder() {
		return 1
	}
	return len(d.peers.Present())
}

// storeAtHolder has the holder decide on a job and store it, unless that is this daemon or does not answer.
func (d *Daemon) storeAtHolder(ctx context.Context, r citron.KeyedRecord) (stored bool, err error) {
	holder := d.newestClaim().Holder.VM
	if holder == "" || holder == d.self.VM || !d.peers.IsLive(holder) {
		return false, nil
	}
	return true, d.peers.Append(ctx, holder, []citron.KeyedRecord{r})
}

// homePartition returns the partition of accepted jobs that this daemon uses while the first one is slow or fails.
func (d *Daemon) homePartition() int {
	return 1 + int(xxhash.Sum64String(string(d.self.VM))%(partitionCount-1))
}

// wideJob is the number of tasks above which the starts of a job are spread over all daemons. Those of smaller jobs are
// left to the daemon that has accepted the job and so knows it first.
const wideJob = 8

// startVia returns the daemons that can relay the start of a task, in order of preference.
func (d *Daemon) startVia(task citron.TaskRef, worker citron.Worker) (via []relay.Hop) {
	if !d.relaysOrders() {
		return nil
	}
	e, known := d.view.Get(task.Job())
	if !known {
		return nil
	}
	via = d.nearest(worker)
	by := citron.VMName(e.Spec.GetAcceptedBy())
	if len(via) == 0 || !d.peers.IsLive(by) || slices.Contains(via, relay.Hop{VM: by}) {
		return via
	}
	at := 0
	if countTasks(e.Spec) > wideJob {
		at = 1
	}
	return slices.Insert(slices.Clone(via), at, relay.Hop{VM: by, Via: via[0].VM})
}

// countTasks returns the number of tasks of a job.
func countTasks(j *work.Job) (n int) {
	for _, s := range j.GetSteps() {
		n += int(s.GetTasks())
	}
	return n
}

// renewVia returns the daemons that can relay the renewals of a worker, in order of preference.
func (d *Daemon) renewVia(worker citron.Worker) []relay.Hop {
	if !d.relaysOrders() {
		return nil
	}
	return d.nearest(worker)
}

// relayChoices is the number of daemons among which an order to a worker can choose. Only these, and the holder, connect to
// the worker, which accepts 64 connections in all.
const relayChoices = 3

// workersPerRelay is the number of workers for which one daemon relays orders. The fewer daemons do so, the more orders
// share a message.
const workersPerRelay = 70

// nearest returns the live daemons that relay the orders to a worker, in order of preference. The daemons with the most
// processor time each relay those of an equal share of the workers; most workers keep their daemon when one comes or goes.
func (d *Daemon) nearest(worker citron.Worker) (hops []relay.Hop) {
	d.mu.Lock()
	relays := len(d.workerEntries)/workersPerRelay + 1
	d.mu.Unlock()
	live := d.peers.Live()
	live = live[:min(len(live), max(relays, relayChoices))]
	return d.hops.of(worker, live)
}

// hopCache holds the daemons that relay the orders to each worker, for one list of live daemons. The zero value is empty.
type hopCache struct {
	mu   sync.Mutex
	live []citron.VMName
	hops map[citron.Worker][]relay.Hop
}

// of returns the daemons that relay the orders to a worker. The result must not be changed.
func (c *hopCache) of(worker citron.Worker, live []citron.VMName) []relay.Hop {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hops == nil || !slices.Equal(c.live, live) {
		c.live, c.hops = slices.Clone(live), map[citron.Worker][]relay.Hop{}
	}
	hops, known := c.hops[worker]
	if !known {
		hops = nearestOf(worker, live)
		c.hops[worker] = hops
	}
	return hops
}

// nearestOf returns the daemons of a list that relay the orders to a worker. It reorders the list.
func nearestOf(worker citron.Worker, live []citron.VMName) (hops []relay.Hop) {
	weights := make(map[citron.VMName]uint64, len(live))
	for _, vm := range live {
		weights[vm] = xxhash.Sum64String(string(vm) + "/" + string(worker))
	}
	slices.SortFunc(live, func(a, b citron.VMName) int { return cmp.Compare(weights[b], weights[a]) })
	for _, vm := range live[:min(len(live), relayChoices)] {
		hops = append(hops, relay.Hop{VM: vm})
	}
	return hops
}

// payloadOf returns the payload of a task. Ok is false if its job has not been read here.
func (d *Daemon) payloadOf(task citron.TaskRef) (payload string, ok bool) {
	e, known := d.view.Get(task.Job())
	return e.Spec.GetPayload(), known && !e.Spec.GetPayloadOmitted()
}

// CarryOrders carries out orders of the holder.
func (s *server) CarryOrders(stream link.Link_CarryOrdersServer) error {
	carrier := relay.Server{Workers: s.d.Workers, Timer: s.d.Timer, Payload: s.d.payloadOf, Forward: s.d.orders.Forward}
	return carrier.Serve(stream)
}
