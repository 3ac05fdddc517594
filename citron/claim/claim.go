// Package claim decides when a daemon should claim a pool and so become its lease holder. A claim is safe at any time,
// since the store and the workers fence the former holder. This package makes claims quick after the loss of a holder
// and rare otherwise.
package claim

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// RefusedAfter is how long a holder's port may refuse connections before the holder is replaced.
	RefusedAfter = 150 * time.Millisecond
	// UnresponsiveAfter is how long a holder may leave pings unanswered before it is replaced.
	UnresponsiveAfter = 450 * time.Millisecond
	// StoreUnavailableAfter is how long a holder may be unable to store records while the store answers this daemon.
	StoreUnavailableAfter = 500 * time.Millisecond
	// AdoptTimeout is how long a daemon may take to run the pool after its claim is known.
	AdoptTimeout = 3 * time.Second
	// PeerAnswerValidity is the greatest age of a holder's answer to another daemon that keeps this one from claiming:
	// about one ping with its timeout. Such an answer means that the fault lies in the network or with this daemon.
	PeerAnswerValidity = 300 * time.Millisecond
	// MaxSilence is how long a holder may leave pings unanswered while it goes on storing records. Its link may be full, which
	// would be no better at another daemon; but it may also be cut off from all VMs but the store.
	MaxSilence = 4 * time.Second
	// UnconfirmedAfter replaces UnresponsiveAfter if no other daemon answers either, as this daemon is then more likely to
	// be isolated. A holder that is lost together with all others must still be replaced within 2.5 s.
	UnconfirmedAfter = 2 * time.Second
	// PreferredClaimants is the number of daemons, those with the most processor time, that ping a holder at the full rate.
	// They also claim the pool of a lost holder before all others, which wait lowRankDelay longer.
	PreferredClaimants = 6
	// lowRankDelay is how much longer all other daemons wait before a claim. They take over more slowly and are more
	// likely to be too busy to receive an answer in time.
	lowRankDelay = time.Second
	// rankDelay is the delay per rank, so that daemons which detect the same loss do not claim at once.
	rankDelay = 80 * time.Millisecond
	// startupDelay is the wait before the first claim, in which daemons that start together learn of one another.
	startupDelay = 100 * time.Millisecond
	// minReclaimDelay and maxReclaimDelay bound the delay between two claims, which doubles while claims are frequent.
	minReclaimDelay = 500 * time.Millisecond
	maxReclaimDelay = 4 * time.Second
)

// ReasonStoreUnavailable is the reason to replace a holder that cannot store records. The caller must check that the
// store answers this daemon promptly, since a claim does not help if the store is slow or unavailable for all.
const ReasonStoreUnavailable = "the holder does not reach the store"

// ReasonUnresponsive is the reason to replace a holder that does not answer. The caller should first ask other daemons
// whether it answers them; see ConfirmUnresponsive.
const ReasonUnresponsive = "the holder does not answer"

// Claim is a claim of a pool; the zero value means that nobody has claimed it.
type Claim struct {
	Holder citron.Member
	Epoch  citron.Epoch
}

// PingResult sums up the last pings to a daemon.
type PingResult struct {
	// AnsweredAt is the boot time of the last answer.
	AnsweredAt time.Duration
	// RefusedSince is the boot time since which its port has refused connections; zero if it does not.
	RefusedSince time.Duration
	// Incarnation is the incarnation that answered.
	Incarnation citron.Incarnation
	// StoreUnavailableFor is how long the store had stored none of its records; zero while it stores them.
	StoreUnavailableFor time.Duration
	// HeldEpoch is the epoch in which the daemon holds the pool, as stated in its answer.
	HeldEpoch citron.Epoch
	// Stopping is set if the daemon is about to stop.
	Stopping bool
}

// Watch decides when to claim one pool. The zero value works. Its instants are boot times.
type Watch struct {
	// ExtraTimeout is added to UnresponsiveAfter and StoreUnavailableAfter where daemons are short of processor time.
	ExtraTimeout time.Duration

	newest      Claim
	claimSeenAt time.Duration
	// reclaimDelay is the least time between the newest claim and the next one.
	reclaimDelay time.Duration
	startedAt    time.Duration
	// peerAnsweredAt is when the holder is known to have last answered another daemon.
	peerAnsweredAt time.Duration
	// recordedAt is when a record of the holder was last read from the store.
	recordedAt time.Duration
}

// RecordClaim records the newest claim; frequent claims increase the delay before the next one.
func (w *Watch) RecordClaim(now time.Duration, c Claim) {
	if c == w.newest {
		return
	}
	if now-w.claimSeenAt < 2*maxReclaimDelay && w.claimSeenAt > 0 {
		w.reclaimDelay = min(max(2*w.reclaimDelay, minReclaimDelay), maxReclaimDelay)
	} else {
		w.reclaimDelay = minReclaimDelay
	}
	w.newest, w.claimSeenAt, w.peerAnsweredAt = c, now, 0
}

// RecordPeerAnswer records that a holder answered another daemon at the given boot time.
func (w *Watch) RecordPeerAnswer(holder citron.Member, at time.Duration) {
	if holder == w.newest.Holder {
		w.peerAnsweredAt = max(w.peerAnsweredAt, at)
	}
}

// RecordStored records that a record of the holder has been read from the store, so that it was alive shortly before.
func (w *Watch) RecordStored(now time.Duration) {
	w.recordedAt = max(w.recordedAt, now)
}

// UnresponsiveFor returns how long the holder is known to have answered neither this daemon nor another one. For up to
// MaxSilence, records that it stores count as answers.
func (w *Watch) UnresponsiveFor(now time.Duration, p PingResult) time.Duration {
	silence := now - max(p.AnsweredAt, w.claimSeenAt, w.peerAnsweredAt)
	if silence >= MaxSilence {
		return silence
	}
	return min(silence, now-w.recordedAt)
}

// ConfirmUnresponsive reports whether an unresponsive holder should be replaced. Asked is the number of other daemons
// that were asked about it, answered the number of those that replied; none of them has had a recent answer from it.
func (w *Watch) ConfirmUnresponsive(now time.Duration, p PingResult, asked, answered int) bool {
	return asked == 0 || answered > 0 || w.UnresponsiveFor(now, p) >= UnconfirmedAfter
}

// Newest returns the newest claim.
func (w *Watch) Newest() Claim {
	return w.newest
}

// ShouldClaim reports whether self should claim the pool now, and why. Rank is the position of self among all known
// daemons, from 0, whether or not they answer; storeHealthy is set if the store answers self.
func (w *Watch) ShouldClaim(now time.Duration, self citron.Member, rank int, storeHealthy bool, p PingResult) (reason string, ok bool) {
	if w.startedAt == 0 {
		w.startedAt = now
	}
	if !storeHealthy || w.newest.Holder == self {
		return "", false
	}
	if w.newest.Holder.IsZero() {
		return "nobody holds the pool", now-w.startedAt >= startupDelay+time.Duration(rank)*rankDelay
	}
	delay := time.Duration(rank) * rankDelay
	if rank >= PreferredClaimants {
		delay += lowRankDelay
	}
	if w.newest.Holder.VM == self.VM {
		return "an earlier run of this daemon held the pool", true
	}
	if now-w.claimSeenAt < w.reclaimDelay {
		return "", false
	}
	return w.holderLost(now, delay, p)
}

// holderLost reports whether the holder has been lost for at least delay beyond its time limit, and why it is replaced.
func (w *Watch) holderLost(now, delay time.Duration, p PingResult) (reason string, ok bool) {
	switch {
	case p.AnsweredAt > w.claimSeenAt && p.Incarnation != w.newest.Holder.Incarnation:
		return "the holder has restarted", now-w.claimSeenAt >= delay
	case p.RefusedSince > 0 && now-p.RefusedSince >= RefusedAfter+delay:
		return "the holder refuses connections", true
	case w.UnresponsiveFor(now, p) >= UnresponsiveAfter+w.ExtraTimeout+delay:
		return ReasonUnresponsive, true
	case p.AnsweredAt > w.claimSeenAt && p.StoreUnavailableFor >= StoreUnavailableAfter+w.ExtraTimeout+delay:
		return ReasonStoreUnavailable, true
	case p.AnsweredAt > w.claimSeenAt+AdoptTimeout+delay && p.HeldEpoch < w.newest.Epoch:
		return "the holder has given up", true
	}
	return "", false
}
