// Package roster decides which of the daemons that have announced themselves still count. It has no network, goroutines or clocks.
//
// A daemon that is lost leaves its presence record in the store, and only the holder hears of all other daemons. So the holder lists those
// that it hears of, the others count those on its list, and it finds the records that are to be removed.
package roster

import (
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// PresentFor is how long the holder counts a daemon after it last heard of it.
	PresentFor = 5 * time.Second
	// RemoveAfter is how long the holder waits before it has the record of a daemon removed. One that is alive announces itself again.
	RemoveAfter = time.Minute
	// removeInterval is the least time between two removals of the same record.
	removeInterval = 15 * time.Second
	// maxRemovals is the number of records that are removed at once.
	maxRemovals = 100
	// minPingInterval and maxPingInterval bound the time between two pings of a daemon that sends none: an eighth of its silence.
	minPingInterval = 130 * time.Millisecond
	maxPingInterval = 3 * time.Second
	pingShare       = 8
)

// Number orders the lists of all holders.
type Number struct {
	Epoch  citron.Epoch
	Number uint64
}

// newerThan reports whether a list with number n replaces one with number other.
func (n Number) newerThan(other Number) bool {
	return n.Epoch > other.Epoch || n.Epoch == other.Epoch && n.Number > other.Number
}

// List are the daemons that a holder counts, itself included, sorted by name.
type List struct {
	Number Number
	VMs    []citron.VMName
}

// Roster is what one daemon knows of the others. The zero value knows none. Its instants are boot times.
type Roster struct {
	daemons map[citron.VMName]*daemon
	// list is the newest list, received at listedAt; VMs is nil before the first one.
	list     List
	listedAt time.Duration
	// holding is the epoch in which this daemon hears of all others, since heldSince; 0 while it is not the holder.
	holding   citron.Epoch
	heldSince time.Duration
	// calledAt is when Hold was last called.
	calledAt time.Duration
	// former are the daemons that were listed at heldSince.
	former []citron.VMName
}

// daemon is another daemon.
type daemon struct {
	// announcedAt is when it announced itself, 0 if that was before this daemon followed the records.
	announcedAt, heardAt, pingedAt, removedAt time.Duration
	stopping                                  bool
}

// Announced records that a presence record has been read. Loaded means that it may be of any age.
func (r *Roster) Announced(now time.Duration, vm citron.VMName, loaded bool) {
	if r.daemons == nil {
		r.daemons = map[citron.VMName]*daemon{}
	}
	d := &daemon{}
	if !loaded {
		d.announcedAt = now
	}
	r.daemons[vm] = d
}

// Removed records that the presence record of a daemon has been removed.
func (r *Roster) Removed(vm citron.VMName) {
	delete(r.daemons, vm)
}

// Heard records that a daemon has answered or sent a ping, and whether it is about to stop.
func (r *Roster) Heard(now time.Duration, vm citron.VMName, stopping bool) {
	if d := r.daemons[vm]; d != nil {
		d.heardAt, d.stopping = now, stopping
	}
}

// Hold records that this daemon is the holder in an epoch, 0 if it is not. It is called at the interval of pings; a daemon that was
// suspended meanwhile could not hear of the others.
func (r *Roster) Hold(now time.Duration, epoch citron.Epoch) {
	if r.holding == 0 || now-r.calledAt > maxPingInterval {
		r.heldSince, r.former = now, r.list.VMs
	}
	r.holding, r.calledAt = epoch, now
}

// Listed reports whether any holder has told which daemons it counts.
func (r *Roster) Listed() bool {
	return r.list.VMs != nil || r.holding != 0
}

// Present reports whether a daemon with a presence record counts.
func (r *Roster) Present(now time.Duration, vm citron.VMName) bool {
	d := r.daemons[vm]
	switch {
	case d == nil:
		return false
	case r.holding != 0:
		return !d.stopping && r.presentAtHolder(now, vm, d)
	case r.list.VMs == nil || d.announcedAt > r.listedAt:
		return true
	}
	return isListed(r.list.VMs, vm)
}

// presentAtHolder reports whether this daemon, as the holder, has heard of another one, or has not had the time to.
func (r *Roster) presentAtHolder(now time.Duration, vm citron.VMName, d *daemon) bool {
	if at := max(d.heardAt, d.announcedAt); at > 0 && now-at < PresentFor {
		return true
	}
	return now-r.heldSince < PresentFor && isListed(r.former, vm)
}

// isListed reports whether sorted names contain one.
func isListed(vms []citron.VMName, vm citron.VMName) bool {
	_, listed := slices.BinarySearch(vms, vm)
	return listed
}

// silence returns how long the holder has heard nothing of a daemon although it could have.
func (r *Roster) silence(now time.Duration, d *daemon) time.Duration {
	return now - max(d.heardAt, d.announcedAt, r.heldSince)
}

// Apply replaces the list by a newer one of a holder.
func (r *Roster) Apply(now time.Duration, l List) {
	if r.holding != 0 || len(l.VMs) == 0 || !l.Number.newerThan(r.list.Number) {
		return
	}
	r.list, r.listedAt = l, now
}

// Missing reports whether the holder does not count this daemon, self: it does not know the presence record, or has removed it.
func (r *Roster) Missing(self citron.VMName) bool {
	return r.holding == 0 && r.list.VMs != nil && !isListed(r.list.VMs, self)
}

// Update renews the list if this daemon, self, is the holder, and returns it.
func (r *Roster) Update(now time.Duration, self citron.VMName) List {
	if r.holding == 0 {
		return r.list
	}
	vms := []citron.VMName{self}
	for vm := range r.daemons {
		if r.Present(now, vm) {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	if r.list.Number.Epoch != r.holding || !slices.Equal(vms, r.list.VMs) {
		number := Number{Epoch: r.holding, Number: 1}
		if r.list.Number.Epoch == r.holding {
			number.Number += r.list.Number.Number
		}
		r.list, r.listedAt = List{number, vms}, now
	}
	return r.list
}

// Current returns the newest list if this daemon is the holder and the given one is older.
func (r *Roster) Current(known Number) (l List, newer bool) {
	return r.list, r.holding != 0 && r.list.Number.newerThan(known)
}

// Known returns the number of the newest list.
func (r *Roster) Known() Number { return r.list.Number }

// PingsDue returns the daemons that the holder has not heard of for some time and is to ping now. The longer one has been silent, the
// less often it is pinged; once it can send pings again, it is heard of at once.
func (r *Roster) PingsDue(now, unheardFor time.Duration) (vms []citron.VMName) {
	for vm, d := range r.daemons {
		silence := r.silence(now, d)
		if now-d.heardAt < unheardFor && d.heardAt > 0 {
			continue
		}
		if d.pingedAt > 0 && now-d.pingedAt < min(max(silence/pingShare, minPingInterval), maxPingInterval) {
			continue
		}
		d.pingedAt = now
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// RemovalsDue returns the daemons whose presence records the holder is to remove now.
func (r *Roster) RemovalsDue(now time.Duration) (vms []citron.VMName) {
	if r.holding == 0 {
		return nil
	}
	for vm, d := range r.daemons {
		if r.silence(now, d) < RemoveAfter || d.removedAt > 0 && now-d.removedAt < removeInterval {
			continue
		}
		if len(vms) == maxRemovals {
			break
		}
		d.removedAt = now
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}
