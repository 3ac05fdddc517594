package hedge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// targets are six partitions, the second of which is the home, and another daemon.
var targets = []Target{0, 3, 1, 2, 4, 5, Relay}

// answer is what happens to a copy or a probe at a target; never is set if nothing does.
type answer struct {
	after    time.Duration
	rejected bool
	never    bool
}

// outcome is the result of one simulated append.
type outcome struct {
	at       time.Duration
	stored   bool
	rejected bool
	copies   []Target
}

// run plays one race for limit. Copy and probe give the answers at a target.
func run(r *Race, limit time.Duration, copyAt, probeAt func(now time.Duration, t Target) answer) (o outcome) {
	type event struct {
		at    time.Duration
		t     Target
		probe bool
		a     answer
	}
	var events []event
	for now := time.Duration(0); now < limit; now += ms {
		for n := 0; n < len(events); n++ {
			e := events[n]
			if e.at > now {
				continue
			}
			events = slices.Delete(events, n, n+1)
			n--
			switch {
			case e.probe && !e.a.rejected:
				r.Probed(e.t, e.a.after)
			case e.probe:
			case e.a.rejected:
				r.Failed(now, e.t, true)
			default:
				o.at, o.stored = now, true
				return o
			}
		}
		m := r.Next(now)
		if m.Rejected {
			o.at, o.rejected = now, true
			return o
		}
		for _, t := range m.Send {
			o.copies = append(o.copies, t)
			if a := copyAt(now, t); !a.never {
				events = append(events, event{now + a.after, t, false, a})
			}
		}
		for _, t := range m.Probe {
			if a := probeAt(now, t); !a.never {
				events = append(events, event{now + a.after, t, true, a})
			}
		}
	}
	return o
}

func ExampleRace() {
	r := Race{Targets: []Target{0, 2, 1, Relay}, Patience: Patience(10 * ms)}
	fmt.Println(r.Next(0).Send)
	m := r.Next(150 * ms)
	fmt.Println(m.Send, m.Probe)
	// Partition 1 answers a probe quickly, so the store is not slow: partitions 0 and 2 are silent.
	r.Probed(1, 8*ms)
	fmt.Println(r.Next(158 * ms).Send)
	// Output:
	// [0]
	// [2] [2 1]
	// [1]
}

func TestRaceSendsNoStormOfCopiesToASlowStore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slow := func(time.Duration, Target) answer { return answer{after: time.Duration(250+random.IntN(270)) * ms} }
	for n := range 100 {
		latency := 10 * ms
		if n > 0 {
			latency = 300 * ms
		}
		o := run(&Race{Targets: targets, Patience: Patience(latency)}, 2500*ms, slow, slow)
		if !o.stored || o.at > 520*ms || len(o.copies) > 2 {
			t.Fatalf("append %d to a slow store: %+v, want it stored within one latency, with at most 2 copies", n, o)
		}
	}
}

func TestRaceLeavesSilentPartitionsSoon(t *testing.T) {
	silent := []Target{0, 3, 1}
	at := func(_ time.Duration, t Target) answer {
		return answer{after: 10 * ms, never: slices.Contains(silent, t)}
	}
	o := run(&Race{Targets: targets, Patience: Patience(10 * ms)}, 2500*ms, at, at)
	if !o.stored || o.at > 200*ms || len(o.copies) != 3 {
		t.Errorf("three silent partitions: %+v, want the third copy stored within 200 ms", o)
	}
}

// Guards against a wait as for a slow store after several answers of a quick one were lost.
func TestRaceGoesOnWithAQuickStoreThatLosesAnswers(t *testing.T) {
	lost := []Target{0, 3, 1, 2}
	o := run(&Race{Targets: targets, Patience: Patience(10 * ms)}, 2500*ms, func(_ time.Duration, t Target) answer {
		return answer{after: 10 * ms, never: slices.Contains(lost, t)}
	}, func(time.Duration, Target) answer { return answer{after: 8 * ms} })
	if !o.stored || o.at > 4*minPatience {
		t.Errorf("four lost answers: %+v, want the append stored within %v", o, 4*minPatience)
	}
}

func TestRaceRelaysOnceTheStoreIsOutOfReach(t *testing.T) {
	at := func(_ time.Duration, t Target) answer { return answer{after: 10 * ms, never: t != Relay} }
	o := run(&Race{Targets: targets, Patience: Patience(10 * ms)}, 2500*ms, at, at)
	if !o.stored || o.at < relayAfter || o.at > relayAfter+50*ms || o.copies[len(o.copies)-1] != Relay {
		t.Errorf("silent store: %+v, want the copy of another daemon stored after %v", o, relayAfter)
	}
}

func TestStoreIsUnreachableOnlyIfNothingAnswers(t *testing.T) {
	slow := Race{Targets: targets, Patience: Patience(10 * ms)}
	slow.Next(0)
	silent := slow
	slow.Probed(3, 320*ms)
	for _, at := range []time.Duration{unreachableAfter - ms, unreachableAfter} {
		if got, want := silent.Unreachable(at), at >= unreachableAfter; got != want || slow.Unreachable(at) {
			t.Errorf("after %v: unreachable %t if silent, %t if slow; want %t and false", at, got, slow.Unreachable(at), want)
		}
	}
}

func TestRaceIsRejectedOnlyIfNoCopyCanBeStored(t *testing.T) {
	refuse := func(time.Duration, Target) answer { return answer{after: 8 * ms, rejected: true} }
	if o := run(&Race{Targets: targets, Patience: Patience(10 * ms)}, 2500*ms, refuse, refuse); !o.rejected || o.at > 100*ms || len(o.copies) != len(targets) {
		t.Errorf("store that rejects everything: %+v, want a rejection by each target within 100 ms", o)
	}
	for lost := range targets {
		first := true
		o := run(&Race{Targets: targets, Patience: Patience(10 * ms)}, 2500*ms, func(now time.Duration, t Target) answer {
			if first && t == targets[lost] {
				first = false
				return answer{never: true}
			}
			return refuse(now, t)
		}, refuse)
		if o.rejected {
			t.Errorf("copy at target %d unanswered: rejected at %v although it may be stored yet", targets[lost], o.at)
		}
	}
}

// An outage that begins while a copy is unanswered must not keep the append from being stored once the store is back.
func TestRaceSendsRejectedCopiesAgainAfterAnOutage(t *testing.T) {
	const back = 900 * ms
	o := run(&Race{Targets: targets, Patience: Patience(10 * ms)}, 2500*ms, func(now time.Duration, _ Target) answer {
		return answer{after: 8 * ms, rejected: now < back, never: now == 0}
	}, func(time.Duration, Target) answer { return answer{after: 8 * ms, rejected: true} })
	if !o.stored || o.at > back+2*repeatAfter {
		t.Errorf("store back after %v: %+v, want the append stored within %v of that", back, o, 2*repeatAfter)
	}
}
