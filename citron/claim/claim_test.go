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
	w.Seen(base-time.Minute, Claim{Holder: holder, Epoch: 3})
	return w
}

func TestWhenToClaim(t *testing.T) {
	well := Ping{Answered: base - 50*time.Millisecond, Incarnation: 7, Holds: 3}
	for name, one := range map[string]struct {
		ping  Ping
		rank  int
		store bool
		want  bool
	}{
		"the holder is well":               {well, 0, true, false},
		"the store is away":                {Ping{}, 0, false, false},
		"it does not answer":               {Ping{Answered: base - SilentAfter, Incarnation: 7, Holds: 3}, 0, true, true},
		"it has just not answered":         {Ping{Answered: base - SilentAfter + 1, Incarnation: 7, Holds: 3}, 0, true, false},
		"a daemon before this one may":     {Ping{Answered: base - SilentAfter, Incarnation: 7, Holds: 3}, 1, true, false},
		"its port refuses":                 {Ping{Answered: base - 200*time.Millisecond, RefusedSince: base - RefusedAfter, Incarnation: 7}, 0, true, true},
		"it has restarted":                 {Ping{Answered: base, Incarnation: 8}, 0, true, true},
		"the store takes nothing from it":  {Ping{Answered: base, Incarnation: 7, Holds: 3, StoreLost: StoreLostAfter}, 0, true, true},
		"it no longer holds the pool":      {Ping{Answered: base, Incarnation: 7, Holds: 0}, 0, true, true},
		"it holds the pool of a new epoch": {Ping{Answered: base, Incarnation: 7, Holds: 4}, 0, true, false},
	} {
		if reason, got := seen().Should(base, self, one.rank, one.store, one.ping); got != one.want {
			t.Errorf("%s: claim %t (%s), want %t", name, got, reason, one.want)
		}
	}
}

func TestPatienceIsAddedToBothWaits(t *testing.T) {
	silent := Ping{Answered: base - SilentAfter, Incarnation: 7, Holds: 3}
	storeLost := Ping{Answered: base, Incarnation: 7, Holds: 3, StoreLost: StoreLostAfter}
	for _, p := range []Ping{silent, storeLost} {
		w := seen()
		w.Patience = time.Second
		if reason, ok := w.Should(base, self, 0, true, p); ok {
			t.Errorf("claims at once: %s", reason)
		}
		p.StoreLost += time.Second
		if _, ok := w.Should(base+time.Second, self, 0, true, p); !ok {
			t.Errorf("does not claim after its patience: %+v", p)
		}
	}
}

func TestSilenceCountsForNothingWhileOthersAreAnswered(t *testing.T) {
	silent := Ping{Answered: base - time.Second, Incarnation: 7, Holds: 3}
	w := seen()
	w.Vouched(holder, base-100*time.Millisecond)
	if reason, ok := w.Should(base, self, 0, true, silent); ok {
		t.Errorf("claims although the holder answers others: %s", reason)
	}
	if reason, ok := w.Should(base-100*time.Millisecond+SilentAfter, self, 0, true, silent); !ok || reason != ReasonSilent {
		t.Errorf("claims %t (%s) once the others are not answered either", ok, reason)
	}
	w = seen()
	w.Vouched(citron.Member{VM: "former", Incarnation: 1}, base)
	if _, ok := w.Should(base, self, 0, true, silent); !ok {
		t.Error("an answer of a former holder counts for the present one")
	}
}

func TestDaemonThatHearsNobodyWaitsLonger(t *testing.T) {
	silentFor := func(d time.Duration) Ping { return Ping{Answered: base - d, Incarnation: 7, Holds: 3} }
	for name, one := range map[string]struct {
		silent          time.Duration
		asked, answered int
		want            bool
	}{
		"others miss it too":               {SilentAfter, 4, 1, true},
		"nobody answers":                   {SilentAfter, 4, 0, false},
		"nobody has answered for long":     {AloneAfter, 4, 0, true},
		"there are no others":              {SilentAfter, 0, 0, true},
		"nobody answers, and not for long": {AloneAfter - 1, 1, 0, false},
	} {
		if got := seen().Confirmed(base, silentFor(one.silent), one.asked, one.answered); got != one.want {
			t.Errorf("%s: %t, want %t", name, got, one.want)
		}
	}
}

func TestWeakDaemonsWaitForStrongOnes(t *testing.T) {
	refuses := Ping{RefusedSince: base - RefusedAfter, Incarnation: 7, Holds: 3}
	after := func(rank int) time.Duration {
		for d := time.Duration(0); d < time.Minute; d += 10 * time.Millisecond {
			p := refuses
			p.Answered = base
			if _, ok := seen().Should(base+d, self, rank, true, p); ok {
				return d
			}
		}
		return time.Minute
	}
	strong, weak := after(Watchers-1), after(Watchers)
	if strong > time.Second || weak < strong+weakPause {
		t.Errorf("the last strong daemon claims after %v, the first weak one after %v", strong, weak)
	}
}

// A daemon's incarnation is the time of day at its start, which may be set back.
func TestRestartIsSeenWithTheClockSetBack(t *testing.T) {
	w := &Watch{}
	w.Seen(base-time.Second, Claim{Holder: holder, Epoch: 3})
	if reason, ok := w.Should(base, self, 0, true, Ping{Answered: base, Incarnation: holder.Incarnation - 1}); !ok {
		t.Errorf("no claim although the holder has restarted (%s)", reason)
	}
}

func TestFirstClaimAndOwnRestart(t *testing.T) {
	w := &Watch{}
	if _, ok := w.Should(base, self, 1, true, Ping{}); ok {
		t.Error("the second daemon claims before the first could")
	}
	if _, ok := w.Should(base+firstPause+rankPause, self, 1, true, Ping{}); !ok {
		t.Error("the second daemon never claims")
	}
	w.Seen(base, Claim{Holder: citron.Member{VM: "a", Incarnation: 4}, Epoch: 1})
	if _, ok := w.Should(base, self, 1, true, Ping{}); !ok {
		t.Error("a restarted daemon does not claim what its earlier run held")
	}
	w.Seen(base, Claim{Holder: self, Epoch: 2})
	if _, ok := w.Should(base+time.Hour, self, 0, true, Ping{}); ok {
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
			if _, ok := w.Should(now, self, 0, true, Ping{}); ok {
				break
			}
		}
		if took := now - from; took < last {
			t.Errorf("epoch %d was claimed after %v, the one before after %v", epoch, took, last)
		} else {
			last = took
		}
		w.Seen(now, Claim{Holder: citron.Member{VM: "b", Incarnation: citron.Incarnation(epoch) + 10}, Epoch: epoch})
	}
	if last < 2*againFirst {
		t.Errorf("the pause grew to %v only", last)
	}
}
