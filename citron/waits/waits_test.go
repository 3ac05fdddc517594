package waits

import (
	"fmt"
	"testing"
	"time"
)

func ExampleTimeout() {
	var timeout Timeout
	b := Bounds{Min: 400 * time.Millisecond, Max: time.Second}
	timeout.TimedOut(b)
	fmt.Println(timeout.Current(b))
	timeout.TimedOut(b)
	fmt.Println(timeout.Current(b))
	timeout.Answered(b, 700*time.Millisecond)
	fmt.Println(timeout.Current(b))
	timeout.Answered(b, 10*time.Millisecond)
	fmt.Println(timeout.Current(b))
	// Output:
	// 800ms
	// 1s
	// 1s
	// 400ms
}

// Guards against a service that takes longer than the minimum and so times out on every call.
func TestSlowServiceTimesOutOnce(t *testing.T) {
	var timeout Timeout
	b := Bounds{Min: 400 * time.Millisecond, Max: 1600 * time.Millisecond}
	timedOut := 0
	for range 20 {
		if timeout.Current(b) < 500*time.Millisecond {
			timeout.TimedOut(b)
			timedOut++
			continue
		}
		timeout.Answered(b, 500*time.Millisecond)
	}
	if timedOut != 1 {
		t.Errorf("%d calls timed out, want 1", timedOut)
	}
}
