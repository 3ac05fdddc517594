package advice

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// The load of Ballyhoura's queues: each second one request of 0.55 s, eight of 83 ms and forty of 12 ms, balanced
// across six daemons. A single daemon cannot answer it; short requests must not wait behind long ones.
func TestShortRequestsAreNotQueuedBehindLongOnes(t *testing.T) {
	kinds := []struct {
		every, cost time.Duration
	}{
		{575 * time.Millisecond, 555 * time.Millisecond},
		{122 * time.Millisecond, 83 * time.Millisecond},
		{25 * time.Millisecond, 12 * time.Millisecond},
	}
	for name, c := range map[string]struct {
		daemons  int
		maxWait  time.Duration
		deferred bool
	}{
		"six daemons":            {6, 100 * time.Millisecond, false},
		"one daemon, overloaded": {1, maxBacklog, true},
	} {
		b := &Balancer{}
		var vms []citron.VMName
		for n := range c.daemons {
			vms = append(vms, citron.VMName(rune('a'+n)))
		}
		b.SetDaemons(vms)
		busy := map[citron.VMName]time.Duration{}
		worst, deferred := time.Duration(0), 0
		for now := time.Second; now < 31*time.Second; now += time.Millisecond {
			for n, k := range kinds {
				if now%k.every != 0 {
					continue
				}
				vm, ok := b.Assign(now, k.cost)
				if !ok {
					deferred++
					continue
				}
				start := max(busy[vm], now)
				busy[vm] = start + k.cost
				if n == len(kinds)-1 {
					worst = max(worst, start-now)
				}
			}
		}
		if worst > c.maxWait || (deferred > 0) != c.deferred {
			t.Errorf("%s: a short request waited %v, want at most %v; %d requests deferred, want any: %t", name, worst, c.maxWait, deferred, c.deferred)
		}
	}
}

func TestUnresponsiveDaemonIsNotAssigned(t *testing.T) {
	b := &Balancer{}
	b.SetDaemons([]citron.VMName{"a", "b"})
	vm, _ := b.Assign(time.Second, 10*time.Millisecond)
	b.RecordResult(vm, 2*time.Second, 300*time.Millisecond, true)
	if other, ok := b.Assign(2*time.Second, 10*time.Millisecond); !ok || other == vm {
		t.Errorf("assigned a request to %q, want the daemon other than %s, which has just failed to answer", other, vm)
	}
}
