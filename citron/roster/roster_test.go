package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const pingInterval = minPingInterval

// cell is a number of daemons, of which the first is the holder. It has a clock of its own.
type cell struct {
	now     time.Duration
	holder  *Roster
	daemons map[citron.VMName]*Roster
	// cut are the daemons that do not reach the holder, lost those that have ended.
	cut, lost map[citron.VMName]bool
	pings     int
}

// newCell returns a cell whose holder has loaded the records of daemons that were lost before.
func newCell(alive, lostBefore int) *cell {
	c := &cell{now: time.Hour, holder: &Roster{}, daemons: map[citron.VMName]*Roster{}, cut: map[citron.VMName]bool{}, lost: map[citron.VMName]bool{}}
	for n := range lostBefore {
		c.holder.Announced(c.now, citron.VMName(fmt.Sprintf("lost%05d", n)), true)
	}
	for n := range alive {
		c.start(citron.VMName(fmt.Sprintf("vm%02d", n)))
	}
	c.holder.Hold(c.now, 1)
	return c
}

// start starts a daemon that has loaded all records.
func (c *cell) start(vm citron.VMName) {
	r := &Roster{}
	for other := range c.holder.daemons {
		r.Announced(c.now, other, true)
	}
	for other := range c.daemons {
		r.Announced(c.now, other, true)
		c.daemons[other].Announced(c.now, vm, false)
	}
	c.holder.Announced(c.now, vm, false)
	c.daemons[vm] = r
}

// run lets time pass, in which daemons ping the holder and it pings them.
func (c *cell) run(d time.Duration) {
	for until := c.now + d; c.now < until; c.now += pingInterval {
		c.holder.Hold(c.now, 1)
		c.holder.Update(c.now, "holder")
		for _, vm := range c.holder.PingsDue(c.now, 600*time.Millisecond) {
			c.pings++
			if c.daemons[vm] != nil && !c.cut[vm] && !c.lost[vm] {
				c.holder.Heard(c.now, vm, false)
			}
		}
		for vm, r := range c.daemons {
			if c.cut[vm] || c.lost[vm] {
				continue
			}
			c.holder.Heard(c.now, vm, false)
			if l, newer := c.holder.Current(r.Known()); newer {
				r.Apply(c.now, l)
			}
		}
		for _, vm := range c.holder.RemovalsDue(c.now) {
			for _, r := range append(slices.Collect(mapValues(c.daemons)), c.holder) {
				r.Removed(vm)
			}
		}
	}
}

func mapValues(m map[citron.VMName]*Roster) func(func(*Roster) bool) {
	return func(yield func(*Roster) bool) {
		for _, r := range m {
			if !yield(r) {
				return
			}
		}
	}
}

// count returns how many others a daemon counts.
func (c *cell) count(r *Roster) (n int) {
	for vm := range r.daemons {
		if r.Present(c.now, vm) {
			n++
		}
	}
	return n
}

// Guards against lost daemons that delay each change of holder, also those whose records nobody has removed.
func TestLostDaemonsDoNotCount(t *testing.T) {
	for _, lostBefore := range []int{0, 252, 10_000} {
		c := newCell(6, lostBefore)
		c.run(time.Second)
		for vm, r := range c.daemons {
			if n := c.count(r); n != 5 {
				t.Errorf("%d lost before: %s counts %d of 5 others a second after its start", lostBefore, vm, n)
			}
		}
		// The holder is lost, and the next one within a second.
		next := c.daemons["vm00"]
		next.Hold(c.now, 2)
		next.Update(c.now, "vm00")
		if n := c.count(next); n != 5 {
			t.Errorf("%d lost before: the next holder counts %d of 5 others at once", lostBefore, n)
		}
	}
}

// Guards against a daemon that counts as gone while it is only slow, and one that counts for long although it is lost.
func TestDaemonCountsUntilTheHolderHasNoticedItsLoss(t *testing.T) {
	c := newCell(6, 0)
	c.run(10 * time.Second)
	c.cut["vm01"] = true
	c.run(PresentFor - time.Second)
	if other := c.daemons["vm02"]; !other.Present(c.now, "vm01") {
		t.Error("a daemon that is silent for less than PresentFor does not count")
	}
	c.run(2 * time.Second)
	if other := c.daemons["vm02"]; other.Present(c.now, "vm01") {
		t.Error("a daemon that is silent for longer than PresentFor counts")
	}
	// It is back with its first ping.
	c.cut["vm01"] = false
	c.run(3 * pingInterval)
	for vm, r := range c.daemons {
		if vm != "vm01" && !r.Present(c.now, "vm01") {
			t.Errorf("%s does not count a daemon that is reachable again", vm)
		}
	}
}

// Guards against daemons that are not counted although they have just announced themselves.
func TestNewDaemonCountsAtOnce(t *testing.T) {
	c := newCell(3, 10)
	c.run(10 * time.Second)
	c.start("new")
	for vm, r := range c.daemons {
		if vm != "new" && !r.Present(c.now, "new") {
			t.Errorf("%s does not count a daemon that has announced itself", vm)
		}
	}
	c.run(time.Second)
	if n := c.count(c.daemons["new"]); n != 3 {
		t.Errorf("the new daemon counts %d of 3 others", n)
	}
}

// Guards against pings and records of lost daemons without an end.
func TestLostDaemonsCostAFewPingsAndLeaveNoRecord(t *testing.T) {
	c := newCell(6, 50)
	c.run(RemoveAfter + time.Second)
	if n := len(c.holder.daemons); n != 6 {
		t.Errorf("%d records are left, want those of 6 live daemons", n)
	}
	if each := c.pings / 50; each > 80 {
		t.Errorf("%d pings for each lost daemon in a minute, want at most 80", each)
	}
	c.lost["vm03"], c.pings = true, 0
	c.run(RemoveAfter + time.Second)
	if c.holder.daemons["vm03"] != nil || len(c.holder.daemons) != 5 {
		t.Errorf("%d records a minute after the loss of a daemon, want 5", len(c.holder.daemons))
	}
}

// Guards against records that a new holder removes before it could hear of their daemons, and against a former holder that does.
func TestOnlyAHolderThatCouldHearRemovesRecords(t *testing.T) {
	r := &Roster{}
	r.Announced(time.Hour, "a", true)
	if due := r.RemovalsDue(2 * time.Hour); due != nil {
		t.Errorf("%v are removed by a daemon that is not the holder", due)
	}
	r.Hold(2*time.Hour, 1)
	hold := func(since, until time.Duration) {
		for now := since; now < until; now += pingInterval {
			r.Hold(now, 1)
		}
	}
	held := 2 * time.Hour
	hold(held, held+RemoveAfter)
	if due := r.RemovalsDue(held + RemoveAfter - 1); due != nil {
		t.Errorf("%v are removed by a holder that has held the pool for less than RemoveAfter", due)
	}
	// The holder is suspended for an hour.
	held += time.Hour
	hold(held, held+RemoveAfter)
	if due := r.RemovalsDue(held + RemoveAfter - 1); due != nil {
		t.Errorf("%v are removed by a holder that was suspended until less than RemoveAfter ago", due)
	}
	if due := r.RemovalsDue(held + RemoveAfter); len(due) != 1 {
		t.Errorf("%v are removed, want the only one", due)
	}
	if due := r.RemovalsDue(held + RemoveAfter + time.Second); due != nil {
		t.Errorf("%v are removed again at once", due)
	}
}

// Guards against a daemon that nobody counts for good, since its record was removed while it was silent.
func TestDaemonThatWasRemovedAnnouncesItselfAgain(t *testing.T) {
	c := newCell(3, 0)
	c.run(time.Second)
	c.cut["vm01"] = true
	c.run(RemoveAfter + time.Second)
	if c.holder.daemons["vm01"] != nil {
		t.Fatal("the record of a daemon that was silent for longer than RemoveAfter is not removed")
	}
	c.cut["vm01"] = false
	c.run(3 * pingInterval)
	for vm, r := range c.daemons {
		if missing := r.Missing(vm); missing != (vm == "vm01") {
			t.Errorf("%s finds that it is missing: %t", vm, missing)
		}
	}
	for _, r := range c.daemons {
		r.Announced(c.now, "vm01", false)
	}
	c.holder.Announced(c.now, "vm01", false)
	c.run(3 * pingInterval)
	for vm, r := range c.daemons {
		if r.Missing(vm) {
			t.Errorf("%s finds that it is missing after it has announced itself again", vm)
		}
	}
	if c.holder.Missing("holder") {
		t.Error("the holder finds that it is missing")
	}
}

// Guards against an older list that replaces a newer one, and against a list of a former holder.
func TestNewestListApplies(t *testing.T) {
	r := &Roster{}
	for _, vm := range []citron.VMName{"a", "b", "c"} {
		r.Announced(time.Hour, vm, true)
	}
	random := rand.New(rand.NewPCG(1, 1))
	newest := Number{}
	for range 500 {
		n := Number{citron.Epoch(random.IntN(5) + 1), uint64(random.IntN(5) + 1)}
		r.Apply(time.Hour, List{n, []citron.VMName{"a"}})
		if n.newerThan(newest) {
			newest = n
		}
		if r.Known() != newest {
			t.Fatalf("list %v in force, want %v", r.Known(), newest)
		}
	}
	if r.Present(time.Hour, "b") || !r.Present(time.Hour, "a") {
		t.Error("the daemons of the newest list are not those that count")
	}
	r.Hold(2*time.Hour, 9)
	r.Apply(2*time.Hour, List{Number{99, 1}, []citron.VMName{"b"}})
	if l := r.Update(2*time.Hour, "self"); l.Number.Epoch != 9 || slices.Contains(l.VMs, "b") {
		t.Errorf("list %v at the holder, want its own", l)
	}
}
