package timer

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Instant is a timer for tests whose waits are over at once; its time passes with them. The zero value starts at zero.
type Instant struct {
	Manual
}

var _ citron.Timer = (*Instant)(nil)

// After moves the time by d and delivers.
func (i *Instant) After(d time.Duration) (c <-chan citron.Instant, stop func()) {
	c, stop = i.Manual.After(d)
	i.Advance(d)
	return c, stop
}
