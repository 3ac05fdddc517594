package entry

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/peers"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// notifyDelay is how long records are collected for one message to a daemon.
	notifyDelay = 25 * time.Millisecond
	// groupNotifyDelay is how long records are collected for one message to a group of daemons.
	groupNotifyDelay = 40 * time.Millisecond
	// notifyTimeout bounds one message; a daemon that misses it reads the records from the store.
	notifyTimeout = 500 * time.Millisecond
	// maxNotifyBacklog is the maximum number of notices queued for one daemon; further ones are dropped.
	maxNotifyBacklog = 2000
)

// notice tells another daemon of a stored record, either the record itself or the state of a job that it contains, or of
// the holder's summary of the teams' backlogs.
type notice struct {
	record citron.KeyedRecord
	state  *link.JobState
	shares *link.ShareSummary
	// forward are the daemons to which the receiver passes the state on.
	forward []citron.VMName
}

// outbox queues notices for each daemon. The zero value is empty.
type outbox struct {
	mu      sync.Mutex
	waiting map[citron.VMName][]notice
	sending map[citron.VMName]bool
}

// add queues a notice and reports whether the caller must start a sender.
func (o *outbox) add(vm citron.VMName, n notice) (start bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting == nil {
		o.waiting, o.sending = map[citron.VMName][]notice{}, map[citron.VMName]bool{}
	}
	if len(o.waiting[vm]) < maxNotifyBacklog {
		o.waiting[vm] = append(o.waiting[vm], n)
	}
	start = !o.sending[vm]
	o.sending[vm] = true
	return start
}

// dequeue removes and returns the queued notices. The sender must end if there are none.
func (o *outbox) dequeue(vm citron.VMName) []notice {
	o.mu.Lock()
	defer o.mu.Unlock()
	notices := o.waiting[vm]
	delete(o.waiting, vm)
	if len(notices) == 0 {
		o.sending[vm] = false
	}
	return notices
}

// forwardToHolder sends a stored job or cancellation to the holder.
func (d *Daemon) forwardToHolder(r citron.KeyedRecord) {
	d.view.Apply(r)
	if holder := d.newestClaim().Holder.VM; holder != d.self.VM && holder != "" {
		d.notify(holder, notice{record: d.brief(r)}, 0)
	}
}

// brief returns the record of a job without its payload if the holder does not need that, and any other record unchanged.
func (d *Daemon) brief(r citron.KeyedRecord) citron.KeyedRecord {
	id, isJob := strings.CutPrefix(r.Key, pool.JobKey)
	if !isJob || !d.relaysOrders() {
		return r
	}
	var job work.Job
	if err := proto.Unmarshal(r.Value, &job); err != nil {
		d.view.Unreadable(r.Key, err)
		return r
	}
	job.Payload, job.PayloadOmitted = "", true
	value, err := proto.Marshal(&job)
	if err != nil {
		d.view.Unreadable(r.Key, err)
		return r
	}
	return citron.KeyedRecord{Key: pool.BriefKey + id, Value: value}
}

// publish sends the state in a record stored by this holder to all live daemons. They read the record itself, which they
// need only to take over, from the store.
func (d *Daemon) publish(r citron.KeyedRecord) {
	d.view.Apply(r)
	id := citron.JobID(strings.TrimPrefix(r.Key, pool.ProgressKey))
	e, known := d.view.Get(id)
	if !known {
		return
	}
	state := &link.JobState{JobID: string(id), State: int32(e.Progress.GetState()), Epoch: e.Progress.GetEpoch(), Number: e.Progress.GetNumber()}
	for _, vms := range publishGroups(d.peers.Live()) {
		delay := notifyDelay
		if len(vms) > 1 {
			delay = groupNotifyDelay
		}
		d.notify(vms[0], notice{state: state, forward: vms[1:]}, delay)
	}
}

// maxPublishTargets is the number of daemons up to which the holder sends all notices itself.
const maxPublishTargets = 8

// publishGroups divides many daemons into groups, the first daemon of which passes notices on to the others. There are
// about as many groups as daemons in each, and the preferred daemons come first.
func publishGroups(live []citron.VMName) (groups [][]citron.VMName) {
	n := len(live)
	if n > maxPublishTargets {
		n = int(math.Ceil(math.Sqrt(float64(n))))
	}
	groups = make([][]citron.VMName, n)
	for i, vm := range live {
		groups[i%n] = append(groups[i%n], vm)
	}
	return groups
}

// notify queues a notice for a daemon and sends it after the collect time, with those queued meanwhile.
func (d *Daemon) notify(vm citron.VMName, n notice, collect time.Duration) {
	if !d.outbox.add(vm, n) {
		return
	}
	d.exchanges.Go(func(ctx context.Context) {
		for {
			if collect > 0 {
				timer.Pause(ctx, d.Timer, collect)
			}
			notices := d.outbox.dequeue(vm)
			if len(notices) == 0 {
				return
			}
			bounded, cancel := context.WithTimeout(ctx, notifyTimeout)
			err := d.peers.Notify(bounded, vm, notifyRequest(notices))
			cancel()
			if err != nil && ctx.Err() == nil {
				d.Log.Emit(event.ExchangeFailed, event.Fields{"Exchange": "notify", "VM": vm, "Error": err})
			}
		}
	})
}

// notifyRequest returns the message with some notices.
func notifyRequest(notices []notice) *link.NotifyRequest {
	request := &link.NotifyRequest{}
	for _, n := range notices {
		if n.state != nil || n.shares != nil {
			if n.state != nil {
				request.States = append(request.States, n.state)
			} else {
				request.Shares = n.shares
			}
			for _, vm := range n.forward {
				if !slices.Contains(request.GetForward(), string(vm)) {
					request.Forward = append(request.Forward, string(vm))
				}
			}
			continue
		}
		request.Records = append(request.Records, &link.Keyed{Key: n.record.Key, Value: n.record.Value})
	}
	return request
}

// applyNotices applies what another daemon has told of stored records.
func (d *Daemon) applyNotices(r *link.NotifyRequest) {
	d.view.Apply(peers.Decode(r.GetRecords())...)
	for _, s := range r.GetStates() {
		d.view.Announce(citron.JobID(s.GetJobID()), work.State(s.GetState()), s.GetEpoch(), s.GetNumber())
		for _, vm := range r.GetForward() {
			d.notify(citron.VMName(vm), notice{state: s}, 0)
		}
	}
	if d.applyShares(r.GetShares()) {
		for _, vm := range r.GetForward() {
			d.notify(citron.VMName(vm), notice{shares: r.GetShares()}, 0)
		}
	}
}
