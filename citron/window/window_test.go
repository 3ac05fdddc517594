package window

import (
	"testing"
	"time"
)

// holder plays a holder that carries out a limited number of orders per second, in the order in which they were sent.
type holder struct {
	perSecond int
	queue     []time.Duration
	now       time.Duration
	done      int
}

// step advances by 10 ms and returns the ages of the orders answered in it.
func (h *holder) step() (ages []time.Duration) {
	const tick = 10 * time.Millisecond
	h.now += tick
	for n := h.perSecond / 100; n > 0 && len(h.queue) > 0; n-- {
		ages = append(ages, h.now-h.queue[0])
		h.queue = h.queue[1:]
		h.done++
	}
	return ages
}

// late is the age at which the holder's orders count as late.
const late = 250 * time.Millisecond

// play offers a number of orders per second for a time and returns the share of the answers that were late.
func play(w *Window, h *holder, offered int, seconds int) (lateShare float64) {
	backlog, answered, tooLate := 0, 0, 0
	for range seconds * 100 {
		backlog += offered / 100
		n := backlog
		if w != nil {
			n = min(n, w.Free())
			w.Sent(n)
		}
		backlog -= n
		for range n {
			h.queue = append(h.queue, h.now)
		}
		for _, age := range h.step() {
			answered++
			if age > late {
				tooLate++
			}
			if w != nil {
				w.Ended(h.now, age > late)
			}
		}
	}
	return float64(tooLate) / float64(max(answered, 1))
}

// Guards against a holder whose orders wait for longer and longer while more arrive than it can send: without a limit almost
// all answers are late, which makes the holder take its relays for lost.
func TestOverloadedHolderKeepsItsAnswersPrompt(t *testing.T) {
	for _, perSecond := range []int{100, 200, 800} {
		without := play(nil, &holder{perSecond: perSecond}, 2*perSecond, 30)
		limited := &holder{perSecond: perSecond}
		with := play(&Window{}, limited, 2*perSecond, 30)
		if without < 0.9 {
			t.Errorf("%d/s: the load does not overload a holder without a limit: %.2f of the answers are late", perSecond, without)
		}
		if with > 0.4 {
			t.Errorf("%d/s: %.2f of the answers are late with a limit", perSecond, with)
		}
		if want := perSecond * 30 * 9 / 10; limited.done < want {
			t.Errorf("%d/s: the limit leaves the holder idle: %d orders, want at least %d", perSecond, limited.done, want)
		}
	}
}

// Guards against a limit that slows a holder with prompt answers down.
func TestPromptHolderIsNotLimited(t *testing.T) {
	w, h := &Window{}, &holder{perSecond: 2000}
	if share := play(w, h, 1500, 10); share > 0 {
		t.Errorf("%.2f of the answers are late", share)
	}
	if w.Free() < 100 {
		t.Errorf("only %d orders may be sent", w.Free())
	}
}

// Guards against a limit that stays low after the overload has ended.
func TestLimitGrowsAgainAfterOverload(t *testing.T) {
	w, h := &Window{}, &holder{perSecond: 100}
	play(w, h, 400, 10)
	low := w.Limit()
	h.perSecond = 2000
	play(w, h, 1500, 10)
	if w.Limit() < 4*low || w.Limit() < 100 {
		t.Errorf("the limit is %d after the overload and was %d in it", w.Limit(), low)
	}
}

// Guards against a lost answer that stops a holder for good.
func TestSomeOrdersMayAlwaysBeSent(t *testing.T) {
	w := &Window{}
	for n := range 100 {
		w.Sent(1)
		w.Ended(time.Duration(n+1)*time.Second, true)
	}
	if w.Free() < minLimit {
		t.Errorf("%d orders may be sent, want at least %d", w.Free(), minLimit)
	}
}
