package timer

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Immediate is a timer for tests whose waits end at once and advance its clocks. The zero value starts at zero.
type Immediate struct {
	Manual
}

var _ citron.Timer = (*Immediate)(nil)

// After advances both clocks by d and delivers.
func (i *Immediate) After(d time.Duration) (c <-chan citron.Instant, stop func()) {
	c, stop = i.Manual.After(d)
	i.Advance(d)
	return c, stop
}
