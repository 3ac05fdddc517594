package relay

import "time"

// clockWindow is how long a reading of another daemon's clock counts at least. Longer windows would let the estimate run ahead of a clock
// that is slower than the local one.
const clockWindow = 10 * time.Second

// remoteClock estimates the boot clock of another daemon from the readings in its messages. The zero value has none.
//
// A reading is at least as old as the message that brings it, so that an estimate is behind the remote clock, by as much as
// the quickest message of the last two windows took. It stays so while the other daemon is suspended.
type remoteClock struct {
	known bool
	// began is when the present window began. present and former are the greatest offsets of the remote clock in the present
	// window and in the one before.
	began           time.Duration
	present, former time.Duration
}

// record adds a reading that was received at a local boot time.
func (c *remoteClock) record(local, reading time.Duration) {
	offset := reading - local
	switch {
	case !c.known:
		*c = remoteClock{known: true, began: local, present: offset, former: offset}
	case local-c.began >= clockWindow:
		c.began, c.former, c.present = local, c.present, offset
	default:
		c.present = max(c.present, offset)
	}
}

// at returns the estimate for a local boot time.
func (c *remoteClock) at(local time.Duration) time.Duration {
	return local + max(c.present, c.former)
}
