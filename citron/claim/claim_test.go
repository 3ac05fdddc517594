package claim

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

var (
	self   = citron.Member{VM: "a", Incarnation: 5}
	holder = citron.Member{VM: "b", Incarnation: 7}
)

const base = time.Hour

// newWatch returns a watch that learnt of the holder's claim a minute ago.
func newWatch() *Watch {
	w := &Watch{}
	w.RecordClaim(base-time.Minute, Claim{Holder: holder, Epoch: 3})
	return w
}

func TestWhenToClaim(t *testing.T) {
	healthy := PingResult{AnsweredAt: base - 50*time.Millisecond, Incarnation: 7, HeldEpoch: 3}
	for name, c := range map[string]struct {
		ping  PingResult
		rank  int
		store bool
		want  bool
	}{
		"the holder is healthy":            {healthy, 0, true, false},
		"the store is unavailable":         {PingResult{}, 0, false, false},
		"the holder is unresponsive":       {PingResult{AnsweredAt: base - UnresponsiveAfter, Incarnation: 7, HeldEpoch: 3}, 0, true, true},
		"the timeout has not passed yet":   {PingResult{AnsweredAt: base - UnresponsiveAfter + 1, Incarnation: 7, HeldEpoch: 3}, 0, true, false},
		"a daemon of higher rank claims":   {PingResult{AnsweredAt: base - UnresponsiveAfter, Incarnation: 7, HeldEpoch: 3}, 1, true, false},
		"its port refuses connections":     {PingResult{AnsweredAt: base - 200*time.Millisecond, RefusedSince: base - RefusedAfter, Incarnation: 7}, 0, true, true},
		"it has restarted":                 {PingResult{AnsweredAt: base, Incarnation: 8}, 0, true, true},
		"it cannot store records":          {PingResult{AnsweredAt: base, Incarnation: 7, HeldEpoch: 3, StoreUnavailableFor: StoreUnavailableAfter}, 0, true, true},
		"it no longer holds the pool":      {PingResult{AnsweredAt: base, Incarnation: 7, HeldEpoch: 0}, 0, true, true},
		"it holds the pool in a new epoch": {PingResult{AnsweredAt: base, Incarnation: 7, HeldEpoch: 4}, 0, true, false},
	} {
		if reason, got := newWatch().ShouldClaim(base, self, c.rank, c.store, c.ping); got != c.want {
			t.Errorf("%s: claim %t (%s), want %t", name, got, reason, c.want)
		}
	}
}

func TestExtraTimeoutIsAddedToBothTimeouts(t *testing.T) {
	unresponsive := PingResult{AnsweredAt: base - UnresponsiveAfter, Incarnation: 7, HeldEpoch: 3}
	storeUnavailable := PingResult{AnsweredAt: base, Incarnation: 7, HeldEpoch: 3, StoreUnavailableFor: StoreUnavailableAfter}
	for _, p := range []PingResult{unresponsive, storeUnavailable} {
		w := newWatch()
		w.ExtraTimeout = time.Second
		if reason, ok := w.ShouldClaim(base, self, 0, true, p); ok {
			t.Errorf("claims without the extra timeout: %s", reason)
		}
		p.StoreUnavailableFor += time.Second
		if _, ok := w.ShouldClaim(base+time.Second, self, 0, true, p); !ok {
			t.Errorf("does not claim after the extra timeout: %+v", p)
		}
	}
}

func TestNoClaimWhileHolderAnswersPeers(t *testing.T) {
	unresponsive := PingResult{AnsweredAt: base - time.Second, Incarnation: 7, HeldEpoch: 3}
	w := newWatch()
	w.RecordPeerAnswer(holder, base-100*time.Millisecond)
	if reason, ok := w.ShouldClaim(base, self, 0, true, unresponsive); ok {
		t.Errorf("claims although the holder answers another daemon: %s", reason)
	}
	if reason, ok := w.ShouldClaim(base-100*time.Millisecond+UnresponsiveAfter, self, 0, true, unresponsive); !ok || reason != ReasonUnresponsive {
		t.Errorf("claim %t (%s) once the holder answers no other daemon either, want true (%s)", ok, reason, ReasonUnresponsive)
	}
	w = newWatch()
	w.RecordPeerAnswer(citron.Member{VM: "former", Incarnation: 1}, base)
	if _, ok := w.ShouldClaim(base, self, 0, true, unresponsive); !ok {
		t.Error("an answer of a former holder counts as one of the current holder")
	}
}

func TestIsolatedDaemonWaitsLonger(t *testing.T) {
	unresponsiveFor := func(d time.Duration) PingResult {
		return PingResult{AnsweredAt: base - d, Incarnation: 7, HeldEpoch: 3}
	}
	for name, c := range map[string]struct {
		unresponsive    time.Duration
		asked, answered int
		want            bool
	}{
		"another daemon answers":              {UnresponsiveAfter, 4, 1, true},
		"no other daemon answers":             {UnresponsiveAfter, 4, 0, false},
		"none answers after the long timeout": {UnconfirmedAfter, 4, 0, true},
		"there are no other daemons":          {UnresponsiveAfter, 0, 0, true},
		"none answers just before it":         {UnconfirmedAfter - 1, 1, 0, false},
	} {
		if got := newWatch().ConfirmUnresponsive(base, unresponsiveFor(c.unresponsive), c.asked, c.answered); got != c.want {
			t.Errorf("%s: ConfirmUnresponsive returned %t, want %t", name, got, c.want)
		}
	}
}

func TestLowRankedDaemonsClaimLater(t *testing.T) {
	refuses := PingResult{RefusedSince: base - RefusedAfter, Incarnation: 7, HeldEpoch: 3}
	after := func(rank int) time.Duration {
		for d := time.Duration(0); d < time.Minute; d += 10 * time.Millisecond {
			p := refuses
			p.AnsweredAt = base
			if _, ok := newWatch().ShouldClaim(base+d, self, rank, true, p); ok {
				return d
			}
		}
		return time.Minute
	}
	preferred, other := after(PreferredClaimants-1), after(PreferredClaimants)
	if preferred > time.Second || other < preferred+lowRankDelay {
		t.Errorf("the last preferred daemon claims after %v, want at most 1s; the first other one after %v, want at least %v more", preferred, other, lowRankDelay)
	}
}

// An incarnation is the wall-clock time at the start of a daemon, so it may decrease if the clock is set back.
func TestRestartIsDetectedWithClockSetBack(t *testing.T) {
	w := &Watch{}
	w.RecordClaim(base-time.Second, Claim{Holder: holder, Epoch: 3})
	if reason, ok := w.ShouldClaim(base, self, 0, true, PingResult{AnsweredAt: base, Incarnation: holder.Incarnation - 1}); !ok {
		t.Errorf("no claim although the holder has restarted (%s)", reason)
	}
}

func TestFirstClaimAndOwnRestart(t *testing.T) {
	w := &Watch{}
	if _, ok := w.ShouldClaim(base, self, 1, true, PingResult{}); ok {
		t.Error("the second daemon claims before the startup and rank delay")
	}
	if _, ok := w.ShouldClaim(base+startupDelay+rankDelay, self, 1, true, PingResult{}); !ok {
		t.Error("the second daemon does not claim after the startup and rank delay")
	}
	w.RecordClaim(base, Claim{Holder: citron.Member{VM: "a", Incarnation: 4}, Epoch: 1})
	if _, ok := w.ShouldClaim(base, self, 1, true, PingResult{}); !ok {
		t.Error("a restarted daemon does not claim the pool that its former incarnation held")
	}
	w.RecordClaim(base, Claim{Holder: self, Epoch: 2})
	if _, ok := w.ShouldClaim(base+time.Hour, self, 0, true, PingResult{}); ok {
		t.Error("the holder claims its own pool")
	}
}

func TestFrequentClaimsBackOff(t *testing.T) {
	w := newWatch()
	now := base
	last := time.Duration(0)
	for epoch := citron.Epoch(4); epoch < 8; epoch++ {
		from := now
		for {
			now += 10 * time.Millisecond
			if _, ok := w.ShouldClaim(now, self, 0, true, PingResult{}); ok {
				break
			}
		}
		if took := now - from; took < last {
			t.Errorf("epoch %d was claimed after %v, want at least the %v of the epoch before", epoch, took, last)
		} else {
			last = took
		}
		w.RecordClaim(now, Claim{Holder: citron.Member{VM: "b", Incarnation: citron.Incarnation(epoch) + 10}, Epoch: epoch})
	}
	if last < 2*minReclaimDelay {
		t.Errorf("the delay between claims grew only to %v, want at least %v", last, 2*minReclaimDelay)
	}
}

// A holder whose link is full leaves pings unanswered but goes on storing records. It must not lose its pool to a daemon that
// is no better off, but a holder that is cut off from all VMs must.
func TestHolderThatStoresRecordsIsKeptForATime(t *testing.T) {
	silent := PingResult{AnsweredAt: base - time.Second, Incarnation: 7, HeldEpoch: 3}
	w := newWatch()
	w.RecordStored(base - 100*time.Millisecond)
	if reason, ok := w.ShouldClaim(base, self, 0, true, silent); ok {
		t.Errorf("claims although the holder stores records: %s", reason)
	}
	if _, ok := w.ShouldClaim(base-100*time.Millisecond+UnresponsiveAfter, self, 0, true, silent); !ok {
		t.Error("does not claim once the holder stores no records either")
	}
	long := PingResult{AnsweredAt: base - MaxSilence, Incarnation: 7, HeldEpoch: 3}
	if _, ok := w.ShouldClaim(base, self, 0, true, long); !ok {
		t.Error("does not claim although the holder has answered no daemon for MaxSilence")
	}
}
