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
	// notifyDelay is how long records are collected for one message to a daemon.
	notifyDelay = 25 * time.Millisecond
	// notifyTimeout bounds one message; a daemon that misses it reads the records from the store.
	notifyTimeout = 500 * time.Millisecond
	// maxNotifyBacklog is the maximum number of records queued for one daemon; further ones are dropped.
	maxNotifyBacklog = 2000
)

// outbox queues records for each daemon. The zero value is empty.
type outbox struct {
	mu      sync.Mutex
	waiting map[citron.VMName][]citron.KeyedRecord
	sending map[citron.VMName]bool
}

// add queues a record and reports whether the caller must start a sender.
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

// dequeue removes and returns the queued records. The sender must end if there are none.
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

// forwardToHolder sends a stored job or cancellation to the holder.
func (d *Daemon) forwardToHolder(r citron.KeyedRecord) {
	d.view.Apply(r)
	if holder := d.newestClaim().Holder.VM; holder != d.self.VM && holder != "" {
		d.notify(holder, r, 0)
	}
}

// publish sends a record stored by this holder to all live daemons.
func (d *Daemon) publish(r citron.KeyedRecord) {
	d.view.Apply(r)
	for _, vm := range d.peers.Live() {
		d.notify(vm, r, notifyDelay)
	}
}

// notify queues a record for a daemon and sends it after the collect time, with those queued meanwhile.
func (d *Daemon) notify(vm citron.VMName, r citron.KeyedRecord, collect time.Duration) {
	if !d.outbox.add(vm, r) {
		return
	}
	d.exchanges.Go(func(ctx context.Context) {
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
