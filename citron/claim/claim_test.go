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

// seen returns a watch that has known the holder for a minute.
func seen() *Watch {
	w := &Watch{}
	w.RecordClaim(base-time.Minute, Claim{Holder: holder, Epoch: 3})
	return w
}

func TestWhenToClaim(t *testing.T) {
	well := PingResult{AnsweredAt: base - 50*time.Millisecond, Incarnation: 7, HeldEpoch: 3}
	for name, one := range map[string]struct {
		ping  PingResult
		rank  int
		store bool
		want  bool
	}{
		"the holder is well":               {well, 0, true, false},
		"the store is away":                {PingResult{}, 0, false, false},
		"it does not answer":               {PingResult{AnsweredAt: base - UnresponsiveAfter, Incarnation: 7, HeldEpoch: 3}, 0, true, true},
		"it has just not answered":         {PingResult{AnsweredAt: base - UnresponsiveAfter + 1, Incarnation: 7, HeldEpoch: 3}, 0, true, false},
		"a daemon before this one may":     {PingResult{AnsweredAt: base - UnresponsiveAfter, Incarnation: 7, HeldEpoch: 3}, 1, true, false},
		"its port refuses":                 {PingResult{AnsweredAt: base - 200*time.Millisecond, RefusedSince: base - RefusedAfter, Incarnation: 7}, 0, true, true},
		"it has restarted":                 {PingResult{AnsweredAt: base, Incarnation: 8}, 0, true, true},
		"the store takes nothing from it":  {PingResult{AnsweredAt: base, Incarnation: 7, HeldEpoch: 3, StoreUnavailableFor: StoreUnavailableAfter}, 0, true, true},
		"it no longer holds the pool":      {PingResult{AnsweredAt: base, Incarnation: 7, HeldEpoch: 0}, 0, true, true},
		"it holds the pool of a new epoch": {PingResult{AnsweredAt: base, Incarnation: 7, HeldEpoch: 4}, 0, true, false},
	} {
		if reason, got := seen().ShouldClaim(base, self, one.rank, one.store, one.ping); got != one.want {
			t.Errorf("%s: claim %t (%s), want %t", name, got, reason, one.want)
		}
	}
}

func TestPatienceIsAddedToBothWaits(t *testing.T) {
	silent := PingResult{AnsweredAt: base - UnresponsiveAfter, Incarnation: 7, HeldEpoch: 3}
	storeLost := PingResult{AnsweredAt: base, Incarnation: 7, HeldEpoch: 3, StoreUnavailableFor: StoreUnavailableAfter}
	for _, p := range []PingResult{silent, storeLost} {
		w := seen()
		w.ExtraTimeout = time.Second
		if reason, ok := w.ShouldClaim(base, self, 0, true, p); ok {
			t.Errorf("claims at once: %s", reason)
		}
		p.StoreUnavailableFor += time.Second
		if _, ok := w.ShouldClaim(base+time.Second, self, 0, true, p); !ok {
			t.Errorf("does not claim after its patience: %+v", p)
		}
	}
}

func TestSilenceCountsForNothingWhileOthersAreAnswered(t *testing.T) {
	silent := PingResult{AnsweredAt: base - time.Second, Incarnation: 7, HeldEpoch: 3}
	w := seen()
	w.RecordPeerAnswer(holder, base-100*time.Millisecond)
	if reason, ok := w.ShouldClaim(base, self, 0, true, silent); ok {
		t.Errorf("claims although the holder answers others: %s", reason)
	}
	if reason, ok := w.ShouldClaim(base-100*time.Millisecond+UnresponsiveAfter, self, 0, true, silent); !ok || reason != ReasonUnresponsive {
		t.Errorf("claims %t (%s) once the others are not answered either", ok, reason)
	}
	w = seen()
	w.RecordPeerAnswer(citron.Member{VM: "former", Incarnation: 1}, base)
	if _, ok := w.ShouldClaim(base, self, 0, true, silent); !ok {
		t.Error("an answer of a former holder counts for the present one")
	}
}

func TestDaemonThatHearsNobodyWaitsLonger(t *testing.T) {
	silentFor := func(d time.Duration) PingResult {
		return PingResult{AnsweredAt: base - d, Incarnation: 7, HeldEpoch: 3}
	}
	for name, one := range map[string]struct {
		silent          time.Duration
		asked, answered int
		want            bool
	}{
		"others miss it too":               {UnresponsiveAfter, 4, 1, true},
		"nobody answers":                   {UnresponsiveAfter, 4, 0, false},
		"nobody has answered for long":     {UnconfirmedAfter, 4, 0, true},
		"there are no others":              {UnresponsiveAfter, 0, 0, true},
		"nobody answers, and not for long": {UnconfirmedAfter - 1, 1, 0, false},
	} {
		if got := seen().ConfirmUnresponsive(base, silentFor(one.silent), one.asked, one.answered); got != one.want {
			t.Errorf("%s: %t, want %t", name, got, one.want)
		}
	}
}

func TestWeakDaemonsWaitForStrongOnes(t *testing.T) {
	refuses := PingResult{RefusedSince: base - RefusedAfter, Incarnation: 7, HeldEpoch: 3}
	after := func(rank int) time.Duration {
		for d := time.Duration(0); d < time.Minute; d += 10 * time.Millisecond {
			p := refuses
			p.AnsweredAt = base
			if _, ok := seen().ShouldClaim(base+d, self, rank, true, p); ok {
				return d
			}
		}
		return time.Minute
	}
	strong, weak := after(PreferredClaimants-1), after(PreferredClaimants)
	if strong > time.Second || weak < strong+weakPause {
		t.Errorf("the last strong daemon claims after %v, the first weak one after %v", strong, weak)
	}
}

// A daemon's incarnation is the time of day at its start, which may be set back.
func TestRestartIsSeenWithTheClockSetBack(t *testing.T) {
	w := &Watch{}
	w.RecordClaim(base-time.Second, Claim{Holder: holder, Epoch: 3})
	if reason, ok := w.ShouldClaim(base, self, 0, true, PingResult{AnsweredAt: base, Incarnation: holder.Incarnation - 1}); !ok {
		t.Errorf("no claim although the holder has restarted (%s)", reason)
	}
}

func TestFirstClaimAndOwnRestart(t *testing.T) {
	w := &Watch{}
	if _, ok := w.ShouldClaim(base, self, 1, true, PingResult{}); ok {
		t.Error("the second daemon claims before the first could")
	}
	if _, ok := w.ShouldClaim(base+firstPause+rankPause, self, 1, true, PingResult{}); !ok {
		t.Error("the second daemon never claims")
	}
	w.RecordClaim(base, Claim{Holder: citron.Member{VM: "a", Incarnation: 4}, Epoch: 1})
	if _, ok := w.ShouldClaim(base, self, 1, true, PingResult{}); !ok {
		t.Error("a restarted daemon does not claim what its earlier run held")
	}
	w.RecordClaim(base, Claim{Holder: self, Epoch: 2})
	if _, ok := w.ShouldClaim(base+time.Hour, self, 0, true, PingResult{}); ok {
		t.Error("a daemon claims from itself")
	}
}

func TestClaimsThatFollowCloselySlowDown(t *testing.T) {
	w := seen()
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
			t.Errorf("epoch %d was claimed after %v, the one before after %v", epoch, took, last)
		} else {
			last = took
		}
		w.RecordClaim(now, Claim{Holder: citron.Member{VM: "b", Incarnation: citron.Incarnation(epoch) + 10}, Epoch: epoch})
	}
	if last < 2*againFirst {
		t.Errorf("the pause grew to %v only", last)
	}
}
