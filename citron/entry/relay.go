package entry

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/relay"
	"github.com/citroncross/citroncross/schema/link"
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

// startVia returns the daemon that relays the start of a task, that is the one that accepted its job, or an empty name.
func (d *Daemon) startVia(task citron.TaskRef) citron.VMName {
	if !d.relaysOrders() {
		return ""
	}
	e, known := d.view.Get(jobOf(task))
	if vm := citron.VMName(e.Spec.GetAcceptedBy()); known && d.peers.IsLive(vm) {
		return vm
	}
	return ""
}

// renewVia returns the daemon that relays the renewals of a worker, or an empty name. Each live daemon relays those of an
// equal share of the workers; a worker changes its daemon only if that one comes or goes.
func (d *Daemon) renewVia(worker citron.Worker) (via citron.VMName) {
	if !d.relaysOrders() {
		return ""
	}
	var highest uint64
	for _, vm := range append(d.peers.Live(), d.self.VM) {
		if weight := xxhash.Sum64String(string(vm) + "/" + string(worker)); weight >= highest {
			highest, via = weight, vm
		}
	}
	if via == d.self.VM {
		return ""
	}
	return via
}

// jobOf returns the job of a task.
func jobOf(task citron.TaskRef) citron.JobID {
	id, _, _ := strings.Cut(string(task), ".")
	return citron.JobID(id)
}

// CarryOrders carries out orders of the holder.
func (s *server) CarryOrders(stream link.Link_CarryOrdersServer) error {
	carrier := relay.Server{Workers: s.d.Workers, Payload: func(task citron.TaskRef) (string, bool) {
		e, known := s.d.view.Get(jobOf(task))
		return e.Spec.GetPayload(), known
	}}
	return carrier.Serve(stream)
}
