package waits

import (
	"fmt"
	"testing"
	"time"
)

func ExampleLimit() {
	var l Limit
	b := Bounds{Least: 400 * time.Millisecond, Most: time.Second}
	l.Late(b)
	fmt.Println(l.Now(b))
	l.Late(b)
	fmt.Println(l.Now(b))
	l.Answered(b, 700*time.Millisecond)
	fmt.Println(l.Now(b))
	l.Answered(b, 10*time.Millisecond)
	fmt.Println(l.Now(b))
	// Output:
	// 800ms
	// 1s
	// 1s
	// 400ms
}

// A service that always takes half a second is answered from the second try on.
func TestSlowServiceIsHeard(t *testing.T) {
	var l Limit
	b := Bounds{Least: 400 * time.Millisecond, Most: 1600 * time.Millisecond}
	late := 0
	for range 20 {
		if l.Now(b) < 500*time.Millisecond {
			l.Late(b)
			late++
			continue
		}
		l.Answered(b, 500*time.Millisecond)
	}
	if late != 1 {
		t.Errorf("%d calls were given up, want 1", late)
	}
}
