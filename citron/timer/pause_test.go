package timer

import (
	"context"
	"testing"
	"time"
)

func TestPauseEndsWithTheTimeOrTheContext(t *testing.T) {
	clock := &Immediate{}
	if !Pause(context.Background(), clock, time.Second) {
		t.Error("Pause returned false although the context has not ended")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if Pause(ctx, &Manual{}, time.Second) || Pause(ctx, &Manual{}, 0) {
		t.Error("Pause returned true although the context has ended")
	}
}
