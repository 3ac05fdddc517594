package timer

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Pause waits for d. It returns false if the context ends first.
func Pause(ctx context.Context, t citron.Timer, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	due, stop := t.After(d)
	defer stop()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}
