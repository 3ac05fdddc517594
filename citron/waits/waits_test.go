package waits

import (
	"fmt"
	"testing"
	"time"
)

func ExampleTimeout() {
	var l Timeout
	b := Bounds{Min: 400 * time.Millisecond, Max: time.Second}
	l.TimedOut(b)
	fmt.Println(l.Current(b))
	l.TimedOut(b)
	fmt.Println(l.Current(b))
	l.Answered(b, 700*time.Millisecond)
	fmt.Println(l.Current(b))
	l.Answered(b, 10*time.Millisecond)
	fmt.Println(l.Current(b))
	// Output:
	// 800ms
	// 1s
	// 1s
	// 400ms
}

// A service that always takes half a second is answered from the second try on.
func TestSlowServiceIsHeard(t *testing.T) {
	var l Timeout
	b := Bounds{Min: 400 * time.Millisecond, Max: 1600 * time.Millisecond}
	late := 0
	for range 20 {
		if l.Current(b) < 500*time.Millisecond {
			l.TimedOut(b)
			late++
			continue
		}
		l.Answered(b, 500*time.Millisecond)
	}
	if late != 1 {
		t.Errorf("%d calls were given up, want 1", late)
	}
}
