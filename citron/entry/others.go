package entry

import (
	"context"
	"errors"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// maxRelayTargets is the number of daemons through which an append is tried in turn.
	maxRelayTargets = 2
	// maxAsked is the number of daemons that are asked in turn for what this one does not know.
	maxAsked = 5
	// relayTimeout bounds one append through another daemon and one question to it.
	relayTimeout = 600 * time.Millisecond
	// askTimeout bounds all questions for one answer. Callers usually wait 3 s.
	askTimeout = 2 * relayTimeout
)

// relay appends records through another daemon.
func (d *Daemon) relay(ctx context.Context, records []citron.KeyedRecord) error {
	result := citron.ErrRejected
	for _, vm := range d.othersByPreference(maxRelayTargets) {
		bounded, cancel := context.WithTimeout(ctx, relayTimeout)
		err := d.peers.Append(bounded, vm, records)
		cancel()
		if err == nil {
			return nil
		}
		if !errors.Is(err, citron.ErrRejected) {
			result = citron.ErrUnavailable
		}
	}
	return result
}

// lookup gets the records of a job from another daemon and applies them.
func (d *Daemon) lookup(ctx context.Context, id citron.JobID) bool {
	return d.askOthers(ctx, func(ctx context.Context, vm citron.VMName) error {
		records, err := d.peers.Lookup(ctx, vm, id)
		if err == nil {
			d.view.Apply(records...)
		}
		return err
	})
}

// countElsewhere asks other daemons for the number of pending jobs of a queue.
func (d *Daemon) countElsewhere(ctx context.Context, q citron.QueueName) (n int, ok bool) {
	ok = d.askOthers(ctx, func(ctx context.Context, vm citron.VMName) (err error) {
		n, err = d.peers.CountPending(ctx, vm, q)
		return err
	})
	return n, ok
}

// askOthers asks other daemons in turn, the holder first, until one answers or askTimeout has passed. Daemons that are
// down refuse connections and cost little of that time.
func (d *Daemon) askOthers(ctx context.Context, ask func(ctx context.Context, vm citron.VMName) error) bool {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, vm := range d.othersByPreference(maxAsked) {
		if bounded.Err() != nil {
			return false
		}
		each, cancelEach := context.WithTimeout(bounded, relayTimeout)
		err := ask(each, vm)
		cancelEach()
		if err == nil {
			return true
		}
	}
	return false
}

// othersByPreference returns up to most other daemons, the holder first.
func (d *Daemon) othersByPreference(most int) (vms []citron.VMName) {
	holder := d.newestClaim().Holder.VM
	if holder != "" && holder != d.self.VM {
		vms = append(vms, holder)
	}
	for _, vm := range d.peers.Present() {
		if vm != d.self.VM && vm != holder && len(vms) < most {
			vms = append(vms, vm)
		}
	}
	return vms
}
