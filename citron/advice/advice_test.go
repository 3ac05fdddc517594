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
				vm, ok := b.Assign(now, k.cost, n == len(kinds)-1)
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
	vm, _ := b.Assign(time.Second, 10*time.Millisecond, true)
	b.RecordResult(vm, 2*time.Second, 300*time.Millisecond, true)
	if other, ok := b.Assign(2*time.Second, 10*time.Millisecond, true); !ok || other == vm {
		t.Errorf("assigned a request to %q, want the daemon other than %s, which has just failed to answer", other, vm)
	}
}

// A burst of urgent requests beside more long ones than the daemons can send: 500 requests of 13.5 ms, 40 of 185 ms and 20 of
// 650 ms each second, balanced across 33 daemons. The urgent ones take seven daemons, a tenth of them may wait for more than a
// tenth of a target latency of 250 ms.
func TestDaemonsAreKeptForABurstOfUrgentRequests(t *testing.T) {
	kinds := []struct {
		every, cost time.Duration
		urgent      bool
	}{
		{25 * time.Millisecond, 185 * time.Millisecond, false},
		{50 * time.Millisecond, 650 * time.Millisecond, false},
		{2 * time.Millisecond, 13500 * time.Microsecond, true},
	}
	b := &Balancer{}
	var vms []citron.VMName
	for n := range 33 {
		vms = append(vms, citron.VMName(rune('a'+n)))
	}
	b.SetDaemons(vms)
	urgent, waited, long := 0, 0, 0
	for now := time.Second; now < 11*time.Second; now += time.Millisecond {
		for _, k := range kinds {
			if now%k.every != 0 {
				continue
			}
			vm, ok := b.Assign(now, k.cost, k.urgent)
			switch {
			case !k.urgent && ok:
				long++
			case k.urgent:
				urgent++
				if !ok || b.busyUntil[vm]-k.cost-now > maxUrgentWait {
					waited++
				}
			}
		}
	}
	if waited*10 > urgent {
		t.Errorf("%d of %d urgent requests wait for longer than %v", waited, urgent, maxUrgentWait)
	}
	if long < 300 {
		t.Errorf("only %d long requests were sent", long)
	}
	for now := 11 * time.Second; now < 15*time.Second; now += 10 * time.Millisecond {
		b.Assign(now, 13500*time.Microsecond, true)
	}
	if b.reservedShare() != minReservedShare {
		t.Errorf("a share of %.2f is still reserved after the burst", b.reservedShare())
	}
}

// Short requests that are not urgent, such as renewals of the tickets of sweeps, come by the hundred beside a burst.
func TestShortRequestsOfPatientJobsLeaveDaemonsToUrgentOnes(t *testing.T) {
	b := &Balancer{}
	vms := []citron.VMName{"a", "b", "c", "d", "e", "f"}
	b.SetDaemons(vms)
	for range 60 {
		b.Assign(time.Second, 140*time.Millisecond, false)
	}
	if _, ok := b.Assign(time.Second, 10*time.Millisecond, true); ok {
		t.Error("without urgent requests all daemons should be used")
	}
	b = &Balancer{}
	b.SetDaemons(vms)
	b.Assign(time.Second, 10*time.Millisecond, true)
	for range 60 {
		b.Assign(time.Second, 140*time.Millisecond, false)
	}
	vm, ok := b.Assign(time.Second, 10*time.Millisecond, true)
	if wait := b.busyUntil[vm] - 10*time.Millisecond - time.Second; !ok || wait > 10*time.Millisecond {
		t.Errorf("an urgent request waits %v, sent %t", wait, ok)
	}
}
