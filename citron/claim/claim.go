// Package claim decides when a daemon should claim a pool. A claim is safe at any moment, since the store and the
// workers refuse the former holder; this package only keeps claims quick when the holder is lost and rare otherwise.
package claim

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// RefusedAfter is how long a holder's port may refuse connections.
	RefusedAfter = 150 * time.Millisecond
	// UnresponsiveAfter is how long a holder may leave pings unanswered.
	UnresponsiveAfter = 450 * time.Millisecond
	// StoreUnavailableAfter is how long a holder may be without the store while this daemon has it.
	StoreUnavailableAfter = 700 * time.Millisecond
	// AdoptTimeout is how long a daemon may take from being named to holding the pool.
	AdoptTimeout = 3 * time.Second
	// PeerAnswerValidity is how long ago a holder may have answered another daemon for its silence here to count for nothing:
	// one ping and its time limit. The fault is then in between, or with this daemon.
	PeerAnswerValidity = 300 * time.Millisecond
	// UnconfirmedAfter is how long a holder has to be silent if no other daemon answers either: more likely it is this daemon
	// that hears nobody. A holder that is lost silently, with all others, has to be replaced within 2.5 s.
	UnconfirmedAfter = 2 * time.Second
	// PreferredClaimants is the number of daemons, the strongest, that watch a holder closely; weakPause is how much longer the
	// others wait. They are slow at taking over, and sooner too busy to hear an answer in time.
	PreferredClaimants = 6
	weakPause          = time.Second
	// rankPause separates the claims of several daemons that miss the same holder.
	rankPause = 80 * time.Millisecond
	// firstPause is how long daemons that start together wait to hear of one another before the first claim.
	firstPause = 100 * time.Millisecond
	// againFirst and againMost are the pauses between a claim and the next; they double while claims follow closely.
	againFirst = 500 * time.Millisecond
	againMost  = 4 * time.Second
)

// ReasonStoreUnavailable is why a holder is replaced that the store turns away. It holds only if the store answers the daemon
// that claims: a store that is slow or away for all is no reason.
const ReasonStoreUnavailable = "the holder does not reach the store"

// ReasonUnresponsive is why a holder is replaced that does not answer. Others should be asked whether it answers them.
const ReasonUnresponsive = "the holder does not answer"

// Claim is the newest claim of a pool; the zero value means that nobody has claimed it.
type Claim struct {
	Holder citron.Member
	Epoch  citron.Epoch
}

// PingResult is what the last questions to the holder gave.
type PingResult struct {
	// AnsweredAt is when the holder last answered.
	AnsweredAt time.Duration
	// RefusedSince is when its port began to refuse connections; zero if it does not.
	RefusedSince time.Duration
	// Incarnation is the run of the daemon that answered.
	Incarnation citron.Incarnation
	// StoreUnavailableFor is how long the store had not taken the holder's records.
	StoreUnavailableFor time.Duration
	// HeldEpoch is the epoch in which the daemon says that it holds the pool.
	HeldEpoch citron.Epoch
	// Stopping is set where the daemon is about to stop.
	Stopping bool
}

// Watch decides for one pool. The zero value works.
type Watch struct {
	// ExtraTimeout is added to SilentAfter and StoreLostAfter, where daemons are known to be short of processor time.
	ExtraTimeout time.Duration

	newest  Claim
	seen    time.Duration
	again   time.Duration
	started time.Duration
	// vouched is when the holder last answered another daemon, as far as known.
	vouched time.Duration
}

// RecordClaim takes in the newest claim.
func (w *Watch) RecordClaim(now time.Duration, c Claim) {
	if c == w.newest {
		return
	}
	if now-w.seen < 2*againMost && w.seen > 0 {
		w.again = min(max(2*w.again, againFirst), againMost)
	} else {
		w.again = againFirst
	}
	w.newest, w.seen, w.vouched = c, now, 0
}

// RecordPeerAnswer notes when a holder last answered another daemon.
func (w *Watch) RecordPeerAnswer(holder citron.Member, at time.Duration) {
	if holder == w.newest.Holder {
		w.vouched = max(w.vouched, at)
	}
}

// UnresponsiveFor is how long the holder has answered neither this daemon nor, as far as known, another one.
func (w *Watch) UnresponsiveFor(now time.Duration, p PingResult) time.Duration {
	return now - max(p.AnsweredAt, w.seen, w.vouched)
}

// ConfirmUnresponsive reports whether the silence of a holder is reason enough to replace it, after so many other daemons were
// asked and so many of them answered that they have not heard of it lately either.
func (w *Watch) ConfirmUnresponsive(now time.Duration, p PingResult, asked, answered int) bool {
	return asked == 0 || answered > 0 || w.UnresponsiveFor(now, p) >= UnconfirmedAfter
}

// Newest returns the newest claim.
func (w *Watch) Newest() Claim {
	return w.newest
}

// ShouldClaim reports whether self should claim now, and why. Rank is the place of self among the live daemons.
func (w *Watch) ShouldClaim(now time.Duration, self citron.Member, rank int, storeWell bool, p PingResult) (reason string, ok bool) {
	if w.started == 0 {
		w.started = now
	}
	if !storeWell || w.newest.Holder == self {
		return "", false
	}
	if w.newest.Holder.IsZero() {
		return "nobody holds the pool", now-w.started >= firstPause+time.Duration(rank)*rankPause
	}
	pause := time.Duration(rank) * rankPause
	if rank >= PreferredClaimants {
		pause += weakPause
	}
	if w.newest.Holder.VM == self.VM {
		return "an earlier run of this daemon held the pool", true
	}
	if now-w.seen < w.again {
		return "", false
	}
	return w.missed(now, pause, p)
}

func (w *Watch) missed(now, pause time.Duration, p PingResult) (reason string, ok bool) {
	switch {
	case p.AnsweredAt > w.seen && p.Incarnation != w.newest.Holder.Incarnation:
		return "the holder has restarted", now-w.seen >= pause
	case p.RefusedSince > 0 && now-p.RefusedSince >= RefusedAfter+pause:
		return "the holder refuses connections", true
	case w.UnresponsiveFor(now, p) >= UnresponsiveAfter+w.ExtraTimeout+pause:
		return ReasonUnresponsive, true
	case p.AnsweredAt > w.seen && p.StoreUnavailableFor >= StoreUnavailableAfter+w.ExtraTimeout+pause:
		return ReasonStoreUnavailable, true
	case p.AnsweredAt > w.seen+AdoptTimeout+pause && p.HeldEpoch < w.newest.Epoch:
		return "the holder has given up", true
	}
	return "", false
}
