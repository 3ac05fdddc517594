// Package shard decides, without I/O or clocks, whether one member may act as the owner of one shard.
//
// The log's order is the only arbiter of ownership. Between changes the owner lives on leases that its
// standby grants directly, so that a live pair works through any outage of the log.
package shard

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// State is what the log says of a shard.
type State struct {
	Shard         citron.ShardID
	Epoch         citron.Epoch
	StandbyNumber citron.StandbyNumber
	Owner         citron.Member
	Standby       citron.Member
}

// Change is a wish to change a shard. It is void unless its base still holds where it lands.
type Change struct {
	Shard             citron.ShardID
	BaseEpoch         citron.Epoch
	BaseStandbyNumber citron.StandbyNumber
	Owner             citron.Member
	Standby           citron.Member
}

// Apply returns the state after a change that lands behind s, and whether the change was valid.
func (s State) Apply(c Change) (State, bool) {
	if c.BaseEpoch != s.Epoch || c.BaseStandbyNumber != s.StandbyNumber {
		return s, false
	}
	return s.accept(c), true
}

func (s State) accept(c Change) State {
	next := State{Shard: c.Shard, Epoch: s.Epoch, StandbyNumber: s.StandbyNumber + 1, Owner: c.Owner, Standby: c.Standby}
	if c.Owner != s.Owner {
		next.Epoch++
	}
	return next
}

// Lease names the ownership that a lease is for.
type Lease struct {
	Shard         citron.ShardID
	Epoch         citron.Epoch
	StandbyNumber citron.StandbyNumber
	Owner         citron.Member
	Standby       citron.Member
}

// Terms are the times of leases; all members of a cell share them.
type Terms struct {
	// Lease is how long a lease lasts from the sending of its request.
	Lease time.Duration
	// Drift is how much longer a standby waits, for clocks that run apart.
	Drift time.Duration
}

// Replica is one member's part in one shard. Its fields are plain values, so that a copy is a snapshot.
type Replica struct {
	Self  citron.Member
	Shard citron.ShardID
	Terms Terms

	state State
	// leaseUntil is when the owner must stop, unless it is without a standby and without an open change.
	leaseUntil citron.Instant
	// grantedUntil is when every lease granted by this standby has lapsed.
	grantedUntil citron.Instant
	// changeSent is set from the sending of a change until the log shows a newer state.
	changeSent bool
	// releasedOut is set when this owner has given the shard to its standby without the log.
	releasedOut bool
	// releasedIn is set when this standby has been given the shard without the log.
	releasedIn bool

	skip rule
}

// rule names a rule that the model search leaves out to show that the rule is needed.
type rule int

const (
	ruleNone rule = iota
	ruleIncarnations
	ruleBaseCheck
	ruleWaiting
	ruleOldStandbyLeases
	ruleNoGrantAfterClaim
	ruleReleaseClosed
	ruleStopAtClaim
	ruleNoTakeBack
)

// State returns what the log said last.
func (r *Replica) State() State {
	return r.state
}

// UpdateState takes in a newer state from the log. Older states are ignored.
func (r *Replica) UpdateState(now citron.Instant, s State) {
	if !newer(s, r.state) {
		return
	}
	r.state = s
	r.changeSent = false
	r.releasedIn = false
	r.releasedOut = false
	r.leaseUntil = citron.Instant{}
	r.grantedUntil = citron.Instant{}
	if r.isStandby() && r.skip != ruleWaiting {
		r.grantedUntil = now.Add(r.Terms.Lease + r.Terms.Drift)
	}
}

func newer(a, b State) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.StandbyNumber > b.StandbyNumber
}

// MayAct reports whether this member may use the shard at this instant.
func (r *Replica) MayAct(now citron.Instant) bool {
	if r.releasedIn {
		return !r.changeSent || r.skip == ruleStopAtClaim
	}
	if !r.isOwner() || r.releasedOut {
		return false
	}
	if r.state.Standby.IsZero() && !r.changeSent {
		return true
	}
	return !r.leaseUntil.ReachedEither(now)
}

// ActiveUntil returns when the right to act ends by itself, and false where it is open-ended.
func (r *Replica) ActiveUntil() (citron.Instant, bool) {
	bounded := r.isOwner() && !r.releasedIn && (r.changeSent || !r.state.Standby.IsZero())
	return r.leaseUntil, bounded
}

// LeaseRequest returns the lease that the owner should ask its standby for, and false where there is none to ask for.
func (r *Replica) LeaseRequest() (Lease, bool) {
	if !r.isOwner() || r.releasedOut || r.state.Standby.IsZero() {
		return Lease{}, false
	}
	if r.changeSent && r.skip != ruleOldStandbyLeases {
		return Lease{}, false
	}
	return r.lease(), true
}

// ApplyGrant takes in a lease that the standby granted for a request sent at sent.
func (r *Replica) ApplyGrant(sent citron.Instant, l Lease) {
	want, ok := r.LeaseRequest()
	if !ok || l != want {
		return
	}
	until := sent.Add(r.Terms.Lease)
	if until.Boot > r.leaseUntil.Boot {
		r.leaseUntil = until
	}
}

// Grant decides on an owner's request for a lease.
func (r *Replica) Grant(now citron.Instant, l Lease) bool {
	if !r.isStandby() || l != r.lease() {
		return false
	}
	if (r.changeSent || r.releasedIn) && r.skip != ruleNoGrantAfterClaim {
		return false
	}
	until := now.Add(r.Terms.Lease + r.Terms.Drift)
	if until.Boot > r.grantedUntil.Boot {
		r.grantedUntil = until
	}
	return true
}

// CanClaim reports whether the standby may claim: every lease that it can have granted has lapsed.
func (r *Replica) CanClaim(now citron.Instant) bool {
	return r.isStandby() && (r.releasedIn || r.grantedUntil.ReachedBoth(now))
}

// CanClaimOrphan reports whether this member may claim a shard that has no owner, or whose owner is known dead
// and whose standby is this member, none, or known dead.
func (r *Replica) CanClaimOrphan(dead func(citron.Member) bool) bool {
	if r.isOwner() {
		return false
	}
	if r.state.Owner.IsZero() {
		return true
	}
	if !dead(r.state.Owner) {
		return false
	}
	return r.state.Standby.IsZero() || r.isStandby() || dead(r.state.Standby)
}

// Claim returns the change that makes this member the owner. The same call repeats an open claim.
func (r *Replica) Claim(standby citron.Member) Change {
	r.changeSent = true
	return r.change(r.Self, standby)
}

// Appoint returns the owner's change to another standby, or to none.
func (r *Replica) Appoint(now citron.Instant, standby citron.Member) (Change, bool) {
	if !r.isOwner() || r.releasedOut || r.changeSent {
		return Change{}, false
	}
	if r.state.Standby.IsZero() {
		// The new standby waits a full lease after it has read the change, which is later than now.
		r.leaseUntil = now.Add(r.Terms.Lease)
	}
	r.changeSent = true
	return r.change(r.state.Owner, standby), true
}

// HandOver returns the owner's change that makes another member the owner. The owner stops acting.
func (r *Replica) HandOver(next, standby citron.Member) (Change, bool) {
	if !r.isOwner() || r.releasedOut || r.changeSent {
		return Change{}, false
	}
	r.changeSent = true
	r.leaseUntil = citron.Instant{}
	return r.change(next, standby), true
}

// ChangePending reports whether a change of this member is open.
func (r *Replica) ChangePending() bool {
	return r.changeSent
}

// Release ends this owner's part without the log and returns what to tell the standby.
func (r *Replica) Release() (Lease, bool) {
	if !r.isOwner() || r.releasedOut || r.state.Standby.IsZero() {
		return Lease{}, false
	}
	if r.changeSent && r.skip != ruleReleaseClosed {
		return Lease{}, false
	}
	r.releasedOut = true
	return r.lease(), true
}

// AcceptRelease takes in an owner's release. The standby acts at once, without the log.
func (r *Replica) AcceptRelease(l Lease) bool {
	if !r.isStandby() || l != r.lease() || r.changeSent {
		return false
	}
	r.releasedIn = true
	return true
}

func (r *Replica) lease() Lease {
	s := r.state
	return Lease{Shard: r.Shard, Epoch: s.Epoch, StandbyNumber: s.StandbyNumber, Owner: s.Owner, Standby: s.Standby}
}

func (r *Replica) change(owner, standby citron.Member) Change {
	s := r.state
	return Change{Shard: r.Shard, BaseEpoch: s.Epoch, BaseStandbyNumber: s.StandbyNumber, Owner: owner, Standby: standby}
}

func (r *Replica) isOwner() bool {
	return !r.state.Owner.IsZero() && r.same(r.state.Owner, ruleNoTakeBack)
}

func (r *Replica) isStandby() bool {
	return !r.state.Standby.IsZero() && r.same(r.state.Standby, ruleIncarnations)
}

// same reports whether m is this incarnation. The rule is the one that holds for m's part in the shard.
func (r *Replica) same(m citron.Member, because rule) bool {
	if r.skip == because {
		return m.VM == r.Self.VM
	}
	return m == r.Self
}
