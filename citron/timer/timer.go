// Package timer is the one source of time that every other part subscribes to.
package timer

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/citroncross/citroncross/citron"
)

// System reads the clocks of this machine. The zero value works.
type System struct{}

var _ citron.Timer = System{}

// Now reads the boot-time clock and the wall clock.
func (s System) Now() citron.Instant {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return citron.Instant{Boot: 1<<63 - 1, Wall: time.Now().Round(0)}
	}
	return citron.Instant{Boot: time.Duration(spec.Nano()), Wall: time.Now().Round(0)}
}

// After delivers one instant when d has passed.
func (s System) After(d time.Duration) (c <-chan citron.Instant, stop func()) {
	out := make(chan citron.Instant, 1)
	t := time.AfterFunc(d, func() { out <- s.Now() })
	return out, func() { t.Stop() }
}

// Every delivers an instant each period until stopped.
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
	ready := make(chan struct{})
	t = time.AfterFunc(period, func() {
		<-ready
		tick()
	})
	close(ready)
	return out, func() { t.Stop() }
}
