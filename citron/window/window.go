// Package window limits how many start orders of a holder are unanswered at the same time. A holder that is short of processor
// time or bandwidth would otherwise send orders faster than their answers come back, take the daemons that relay them for
// lost, and lose its lease. The limit follows the answers: it grows while they are prompt and is halved when they are late.
//
// It answers a load that exceeds what one daemon can schedule: steps wait in the pool instead of as unanswered orders.
package window

import "time"

const (
	// minLimit keeps a slow holder at work: a few orders for each relaying daemon.
	minLimit = 16
	// maxLimit is above what any holder has had unanswered at once while its answers were prompt.
	maxLimit = 4096
	// initialLimit lets a new holder start a burst of wide jobs at once.
	initialLimit = 512
	// cutInterval is the minimum time between two cuts, about the time until the orders sent before a cut are answered.
	cutInterval = 500 * time.Millisecond
	// cutFactor is the factor of a cut.
	cutFactor = 0.5
	// growth is by how much the limit grows while as many orders as it allows are answered in time. From minLimit to twice that
	// takes two such rounds, less than a second.
	growth = 8
)

// Window is the limit and the number of unanswered orders. The zero value works.
type Window struct {
	// limit is 0 before the first answer.
	limit      float64
	unanswered int
	// lastCut is the boot time of the last cut, 0 before the first.
	lastCut time.Duration
}

// Free returns how many more orders may be sent now.
func (w *Window) Free() int {
	return max(int(w.current())-w.unanswered, 0)
}

// Limit returns the number of orders that may be unanswered at the same time.
func (w *Window) Limit() int {
	return int(w.current())
}

func (w *Window) current() float64 {
	if w.limit == 0 {
		return initialLimit
	}
	return w.limit
}

// Sent records that orders have been sent.
func (w *Window) Sent(orders int) {
	w.unanswered += orders
}

// Ended records that an order has been answered or given up. Late is set if the answer took longer than it does while
// neither the holder nor the relaying daemons are overloaded.
func (w *Window) Ended(now time.Duration, late bool) {
	w.unanswered = max(w.unanswered-1, 0)
	if !late {
		w.limit = min(w.current()+growth/w.current(), maxLimit)
		return
	}
	if w.lastCut != 0 && now-w.lastCut < cutInterval {
		return
	}
	w.lastCut = now
	// Without as many orders as the limit allows, half of the limit would still be more than the holder can send.
	w.limit = max(min(w.current(), float64(w.unanswered))*cutFactor, minLimit)
}
