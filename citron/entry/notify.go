package entry

import (
	"context"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/timer"
)

const (
	// notifyDelay collects the records for one message to a daemon.
	notifyDelay = 25 * time.Millisecond
	// notifyTimeout bounds one message; the daemon reads what it missed from the store.
	notifyTimeout = 500 * time.Millisecond
	// maxNotifyBacklog is the number of records that may wait for one daemon.
	maxNotifyBacklog = 2000
)

// outbox holds the records that wait for each daemon. The zero value works.
type outbox struct {
	mu      sync.Mutex
	waiting map[citron.VMName][]citron.KeyedRecord
	sending map[citron.VMName]bool
}

// add queues a record and reports whether a sender has to be started.
func (o *outbox) add(vm citron.VMName, r citron.KeyedRecord) (start bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting == nil {
		o.waiting, o.sending = map[citron.VMName][]citron.KeyedRecord{}, map[citron.VMName]bool{}
	}
	if len(o.waiting[vm]) < maxNotifyBacklog {
		o.waiting[vm] = append(o.waiting[vm], r)
	}
	start = !o.sending[vm]
	o.sending[vm] = true
	return start
}

// dequeue returns what waits; a sender that gets nothing ends.
func (o *outbox) dequeue(vm citron.VMName) []citron.KeyedRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := o.waiting[vm]
	delete(o.waiting, vm)
	if len(records) == 0 {
		o.sending[vm] = false
	}
	return records
}

// forwardToHolder passes a stored job or cancellation on to the holder.
func (d *Daemon) forwardToHolder(r citron.KeyedRecord) {
	d.view.Apply(citron.KeyedBatch{Records: []citron.KeyedRecord{r}}, false)
	if holder := d.newestClaim().Holder.VM; holder != d.self.VM && holder != "" {
		d.notify(holder, r, 0)
	}
}

// publish passes a holder's stored record on to all daemons.
func (d *Daemon) publish(r citron.KeyedRecord) {
	d.view.Apply(citron.KeyedBatch{Records: []citron.KeyedRecord{r}}, false)
	for _, vm := range d.peers.Live() {
		d.notify(vm, r, notifyDelay)
	}
}

// notify queues a record for a daemon.
func (d *Daemon) notify(vm citron.VMName, r citron.KeyedRecord, collect time.Duration) {
	if !d.outbox.add(vm, r) {
		return
	}
	d.calls.Go(func(ctx context.Context) {
		for {
			if collect > 0 {
				timer.Pause(ctx, d.Timer, collect)
			}
			records := d.outbox.dequeue(vm)
			if len(records) == 0 {
				return
			}
			bounded, cancel := context.WithTimeout(ctx, notifyTimeout)
			err := d.peers.Notify(bounded, vm, records)
			cancel()
			if err != nil && ctx.Err() == nil {
				d.Log.Emit(event.ExchangeFailed, event.Fields{"Exchange": "notify", "VM": vm, "Error": err})
			}
		}
	})
}
