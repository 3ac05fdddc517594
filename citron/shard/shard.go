// Package shard decides, without I/O or clocks, whether one member may act as the owner of one shard.
//
// Only the order of changes in the log decides ownership. Between changes the owner acts under leases that its
// standby grants directly, so that an owner and its standby keep working while the log is unavailable.
package shard

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// State is the state of a shard according to the log.
type State struct {
	Shard         citron.ShardID
	Epoch         citron.Epoch
	StandbyNumber citron.StandbyNumber
	Owner         citron.Member
	Standby       citron.Member
}

// Change is a requested change of a shard's owner or standby. It has no effect if the shard's epoch or standby number
// differs from its base at its position in the log.
type Change struct {
	Shard             citron.ShardID
	BaseEpoch         citron.Epoch
	BaseStandbyNumber citron.StandbyNumber
	Owner             citron.Member
	Standby           citron.Member
}

// Apply returns the state after a change that follows s in the log, and whether the change was valid.
func (s State) Apply(c Change) (State, bool) {
	if c.BaseEpoch != s.Epoch || c.BaseStandbyNumber != s.StandbyNumber {
		return s, false
	}
	return s.accept(c), true
}

// accept returns the state after c without a check of its base.
func (s State) accept(c Change) State {
	next := State{Shard: c.Shard, Epoch: s.Epoch, StandbyNumber: s.StandbyNumber + 1, Owner: c.Owner, Standby: c.Standby}
	if c.Owner != s.Owner {
		next.Epoch++
	}
	return next
}

// Lease identifies the state of a shard for which a lease is requested or granted.
type Lease struct {
	Shard         citron.ShardID
	Epoch         citron.Epoch
	StandbyNumber citron.StandbyNumber
	Owner         citron.Member
	Standby       citron.Member
}

// Terms are the durations of leases; they are the same on all members of a cell.
type Terms struct {
	// Lease is the duration of a lease, counted from the sending of its request.
	Lease time.Duration
	// Drift is how much longer than Lease a standby waits, to allow for clock drift between VMs.
	Drift time.Duration
}

// Replica is one member's view of one shard. It holds plain values only, so that a copy is a snapshot.
type Replica struct {
	Self  citron.Member
	Shard citron.ShardID
	Terms Terms

	state State
	// leaseUntil is when the owner's lease ends. An owner with neither a standby nor a pending change needs no lease.
	leaseUntil citron.Instant
	// grantedUntil is when every lease granted by this standby has expired.
	grantedUntil citron.Instant
	// changePending is set from the sending of a change until a newer state is read from the log.
	changePending bool
	// releasedToStandby is set when this owner has released the shard to its standby without the log.
	releasedToStandby bool
	// releasedByOwner is set when the owner has released the shard to this standby without the log.
	releasedByOwner bool

	// skip is the rule that the model test disables.
	skip rule
}

// rule is a safety rule that the model test can disable to show that it is needed.
type rule int

const (
	ruleNone rule = iota
	// ruleStandbyIncarnation: a restarted standby is not the standby that the log names.
	ruleStandbyIncarnation
	// ruleBaseCheck: a change has no effect unless its base matches the state.
	ruleBaseCheck
	// ruleStandbyWaits: a new standby waits for the longest lease that a former standby can have granted.
	ruleStandbyWaits
	// ruleNoRenewalWhilePending: an owner with a pending change renews no lease.
	ruleNoRenewalWhilePending
	// ruleNoGrantAfterClaim: a standby that has sent a claim grants no lease.
	ruleNoGrantAfterClaim
	// ruleNoReleaseWhilePending: an owner with a pending change cannot release the shard.
	ruleNoReleaseWhilePending
	// ruleStopAtClaim: a standby that acts after a release stops when it sends a claim.
	ruleStopAtClaim
	// ruleOwnerIncarnation: a restarted owner is not the owner that the log names.
	ruleOwnerIncarnation
)

// State returns the newest state read from the log.
func (r *Replica) State() State {
	return r.state
}

// UpdateState adopts a newer state read from the log. Older states are ignored.
func (r *Replica) UpdateState(now citron.Instant, s State) {
	if !newer(s, r.state) {
		return
	}
	r.state = s
	r.changePending = false
	r.releasedByOwner = false
	r.releasedToStandby = false
	r.leaseUntil = citron.Instant{}
	r.grantedUntil = citron.Instant{}
	if r.isStandby() && r.skip != ruleStandbyWaits {
		r.grantedUntil = now.Add(r.Terms.Lease + r.Terms.Drift)
	}
}

func newer(a, b State) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.StandbyNumber > b.StandbyNumber
}

// MayAct reports whether this member may act as the owner at now.
func (r *Replica) MayAct(now citron.Instant) bool {
	if r.releasedByOwner {
		return !r.changePending || r.skip == ruleStopAtClaim
	}
	if !r.isOwner() || r.releasedToStandby {
		return false
	}
	if r.state.Standby.IsZero() && !r.changePending {
		return true
	}
	return !r.leaseUntil.ReachedEither(now)
}

// ActiveUntil returns when the owner's lease ends, and false if no lease bounds this member.
func (r *Replica) ActiveUntil() (citron.Instant, bool) {
	bounded := r.isOwner() && !r.releasedByOwner && (r.changePending || !r.state.Standby.IsZero())
	return r.leaseUntil, bounded
}

// LeaseRequest returns the lease that the owner should request from its standby, and false if it may request none.
func (r *Replica) LeaseRequest() (Lease, bool) {
	if !r.isOwner() || r.releasedToStandby || r.state.Standby.IsZero() {
		return Lease{}, false
	}
	if r.changePending && r.skip != ruleNoRenewalWhilePending {
		return Lease{}, false
	}
	return r.lease(), true
}

// ApplyGrant extends the owner's lease after the standby has granted a request that was sent at sent.
func (r *Replica) ApplyGrant(sent citron.Instant, l Lease) {
	expected, ok := r.LeaseRequest()
	if !ok || l != expected {
		return
	}
	until := sent.Add(r.Terms.Lease)
	if until.Boot > r.leaseUntil.Boot {
		r.leaseUntil = until
	}
}

// Grant reports whether this standby grants the owner a lease, and records until when the lease may be in use.
func (r *Replica) Grant(now citron.Instant, l Lease) bool {
	if !r.isStandby() || l != r.lease() {
		return false
	}
	if (r.changePending || r.releasedByOwner) && r.skip != ruleNoGrantAfterClaim {
		return false
	}
	until := now.Add(r.Terms.Lease + r.Terms.Drift)
	if until.Boot > r.grantedUntil.Boot {
		r.grantedUntil = until
	}
	return true
}

// CanClaim reports whether this standby may claim the shard: the owner has released it, or every lease that this
// standby or a former one can have granted has expired.
func (r *Replica) CanClaim(now citron.Instant) bool {
	return r.isStandby() && (r.releasedByOwner || r.grantedUntil.ReachedBoth(now))
}

// CanClaimOrphan reports whether this member may claim a shard that has no owner, or whose owner is known to be dead
// and whose standby is this member, missing or known to be dead.
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

// Claim returns the change that makes this member the owner. It may be called again while a claim is pending.
func (r *Replica) Claim(standby citron.Member) Change {
	r.changePending = true
	return r.change(r.Self, standby)
}

// Appoint returns the change by which the owner replaces or removes its standby.
func (r *Replica) Appoint(now citron.Instant, standby citron.Member) (Change, bool) {
	if !r.isOwner() || r.releasedToStandby || r.changePending {
		return Change{}, false
	}
	if r.state.Standby.IsZero() {
		// Without a standby there is no lease yet. The owner may grant itself one, as the new standby waits for at
		// least a full lease after it has read the change, which is later than now.
		r.leaseUntil = now.Add(r.Terms.Lease)
	}
	r.changePending = true
	return r.change(r.state.Owner, standby), true
}

// HandOver returns the change by which the owner makes another member the owner. The owner stops acting at once.
func (r *Replica) HandOver(next, standby citron.Member) (Change, bool) {
	if !r.isOwner() || r.releasedToStandby || r.changePending {
		return Change{}, false
	}
	r.changePending = true
	r.leaseUntil = citron.Instant{}
	return r.change(next, standby), true
}

// ChangePending reports whether this member has sent a change whose outcome it has not read from the log yet.
func (r *Replica) ChangePending() bool {
	return r.changePending
}

// Release ends this member's ownership without the log and returns the lease to release to the standby.
func (r *Replica) Release() (Lease, bool) {
	if !r.isOwner() || r.releasedToStandby || r.state.Standby.IsZero() {
		return Lease{}, false
	}
	if r.changePending && r.skip != ruleNoReleaseWhilePending {
		return Lease{}, false
	}
	r.releasedToStandby = true
	return r.lease(), true
}

// AcceptRelease reports whether this standby accepts the owner's release. If so it acts at once, without the log.
func (r *Replica) AcceptRelease(l Lease) bool {
	if !r.isStandby() || l != r.lease() || r.changePending {
		return false
	}
	r.releasedByOwner = true
	return true
}

// lease returns the lease that fits the current state.
func (r *Replica) lease() Lease {
	s := r.state
	return Lease{Shard: r.Shard, Epoch: s.Epoch, StandbyNumber: s.StandbyNumber, Owner: s.Owner, Standby: s.Standby}
}

// change returns a change based on the current state.
func (r *Replica) change(owner, standby citron.Member) Change {
	s := r.state
	return Change{Shard: r.Shard, BaseEpoch: s.Epoch, BaseStandbyNumber: s.StandbyNumber, Owner: owner, Standby: standby}
}

func (r *Replica) isOwner() bool {
	return !r.state.Owner.IsZero() && r.isSelf(r.state.Owner, ruleOwnerIncarnation)
}

func (r *Replica) isStandby() bool {
	return !r.state.Standby.IsZero() && r.isSelf(r.state.Standby, ruleStandbyIncarnation)
}

// isSelf reports whether m is this incarnation of this member. If guard is disabled, any incarnation on the VM matches.
func (r *Replica) isSelf(m citron.Member, guard rule) bool {
	if r.skip == guard {
		return m.VM == r.Self.VM
	}
	return m == r.Self
}
