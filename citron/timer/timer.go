// Package timer implements citron.Timer for the system clocks and for tests.
package timer

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/citroncross/citroncross/citron"
)

// System is the timer of the machine's clocks. The zero value works.
type System struct{}

var _ citron.Timer = System{}

// Now reads the boot clock and the wall clock. If the boot clock cannot be read, Boot is the maximum, so that every
// deadline on that clock counts as passed.
func (s System) Now() citron.Instant {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return citron.Instant{Boot: 1<<63 - 1, Wall: time.Now().Round(0)}
	}
	return citron.Instant{Boot: time.Duration(spec.Nano()), Wall: time.Now().Round(0)}
}

// After delivers one instant once d has passed.
func (s System) After(d time.Duration) (c <-chan citron.Instant, stop func()) {
	out := make(chan citron.Instant, 1)
	t := time.AfterFunc(d, func() { out <- s.Now() })
	return out, func() { t.Stop() }
}

// Every delivers an instant once per period and drops ticks that the reader is too slow for.
func (s System) Every(period time.Duration) (c <-chan citron.Instant, stop func()) {
	out := make(chan citron.Instant, 1)
	var t *time.Timer
	tick := func() {
		select {
		case out <- s.Now():
		default:
		}
		t.Reset(period)
	}
	// The first tick must not run before t is set.
	ready := make(chan struct{})
	t = time.AfterFunc(period, func() {
		<-ready
		tick()
	})
	close(ready)
	return out, func() { t.Stop() }
}
