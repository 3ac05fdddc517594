package advice

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// The load of Ballyhoura's queues: one question a second of 0.55 s, eight of 83 ms and forty of 12 ms, spread over six
// daemons. One daemon alone could not answer it; short questions must not wait for long ones.
func TestShortQuestionsDoNotWaitBehindLongOnes(t *testing.T) {
	kinds := []struct {
		every, cost time.Duration
	}{
		{575 * time.Millisecond, 555 * time.Millisecond},
		{122 * time.Millisecond, 83 * time.Millisecond},
		{25 * time.Millisecond, 12 * time.Millisecond},
	}
	for name, one := range map[string]struct {
		daemons int
		most    time.Duration
		refused bool
	}{
		"six daemons":              {6, 100 * time.Millisecond, false},
		"one daemon, the baseline": {1, maxBacklog, true},
	} {
		d := &Balancer{}
		var vms []citron.VMName
		for n := range one.daemons {
			vms = append(vms, citron.VMName(rune('a'+n)))
		}
		d.SetDaemons(vms)
		busy := map[citron.VMName]time.Duration{}
		worst, refused := time.Duration(0), 0
		for now := time.Second; now < 31*time.Second; now += time.Millisecond {
			for n, k := range kinds {
				if now%k.every != 0 {
					continue
				}
				vm, ok := d.Assign(now, k.cost)
				if !ok {
					refused++
					continue
				}
				start := max(busy[vm], now)
				busy[vm] = start + k.cost
				if n == len(kinds)-1 {
					worst = max(worst, start-now)
				}
			}
		}
		if worst > one.most || (refused > 0) != one.refused {
			t.Errorf("%s: a short question waited %v, %d were put off", name, worst, refused)
		}
	}
}

func TestDaemonThatDoesNotAnswerIsLeftAlone(t *testing.T) {
	d := &Balancer{}
	d.SetDaemons([]citron.VMName{"a", "b"})
	vm, _ := d.Assign(time.Second, 10*time.Millisecond)
	d.RecordResult(vm, 2*time.Second, 300*time.Millisecond, true)
	if other, ok := d.Assign(2*time.Second, 10*time.Millisecond); !ok || other == vm {
		t.Errorf("asked %s again", other)
	}
}
