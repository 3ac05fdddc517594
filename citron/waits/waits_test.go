package waits

import (
	"fmt"
	"testing"
	"time"
)

func ExampleLimit() {
	l := &Limit{Least: 400 * time.Millisecond, Most: time.Second}
	l.Late()
	fmt.Println(l.Now())
	l.Late()
	fmt.Println(l.Now())
	l.Answered(700 * time.Millisecond)
	fmt.Println(l.Now())
	l.Answered(10 * time.Millisecond)
	fmt.Println(l.Now())
	// Output:
	// 800ms
	// 1s
	// 1s
	// 400ms
}

// A service that always takes half a second is answered from the second try on.
func TestSlowServiceIsHeard(t *testing.T) {
	l := &Limit{Least: 400 * time.Millisecond, Most: 1600 * time.Millisecond}
	late := 0
	for range 20 {
		if l.Now() < 500*time.Millisecond {
			l.Late()
			late++
			continue
		}
		l.Answered(500 * time.Millisecond)
	}
	if late != 1 {
		t.Errorf("%d calls were given up, want 1", late)
	}
}
