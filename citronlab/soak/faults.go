package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/fence"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
	"github.com/citroncross/citroncross/schema/work"
)

// fault is a kind of fault to inject.
type fault struct {
	// name only labels the entry in the source.
	name string
	// maxDuration is the upper bound of the random duration of the fault.
	maxDuration time.Duration
	// inject starts the fault and returns a description and the function that ends the fault, nil if nothing has to end.
	inject func(s *soak, rng *rand.Rand) (description string, end func() error, err error)
}

// meanFaultInterval is the mean time between the starts of two faults; faults can overlap.
const meanFaultInterval = 900 * time.Millisecond

var faults = []fault{
	{"kill holder", 2 * time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		return s.signalDaemon("kill", s.holderIndex(), syscall.SIGKILL)
	}},
	{"freeze holder", 4 * time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		return s.signalDaemon("freeze", s.holderIndex(), syscall.SIGSTOP)
	}},
	{"stop holder", 5 * time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		return s.signalDaemon("stop", s.holderIndex(), syscall.SIGTERM)
	}},
	{"cut holder from the store", 4 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		n := s.holderIndex()
		mode := disturbProxy(s.storeProxies[n], rng)
		return fmt.Sprintf("%s from the store: %s", s.daemon(n).name, mode), s.recordLoss("store "+mode, n), nil
	}},
	{"freeze a daemon", 3 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		return s.signalDaemon("freeze", rng.IntN(s.Daemons), syscall.SIGSTOP)
	}},
	{"kill all", time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		for n := range s.daemons {
			if _, _, err := s.signalDaemon("kill all", n, syscall.SIGKILL); err != nil {
				return "", nil, err
			}
		}
		return "all daemons killed", s.ensureAllRunning, nil
	}},
	{"fail store calls", 3 * time.Second, failStoreCalls},
	{"cut a worker", 9 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		instances := s.site.Instances()
		i := instances[rng.IntN(len(instances))]
		s.mu.Lock()
		p := s.workerProxies[i.ID]
		s.mu.Unlock()
		mode := disturbProxy(p, rng)
		return fmt.Sprintf("%s: %s", i.ID, mode), func() error { p.SetMode(Pass, 0); return nil }, nil
	}},
	{"crash a worker", time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		instances := s.site.Instances()
		i := instances[rng.IntN(len(instances))]
		if i.Gone() {
			return i.ID + " is gone already", func() error { return nil }, nil
		}
		i.Crash()
		if rng.IntN(2) == 0 {
			return i.ID + " crashed, restarts under its id", func() error { return s.site.RestartInstance(i) }, nil
		}
		return i.ID + " crashed", func() error { return s.site.AddInstance(rng.IntN(s.Workers)) }, nil
	}},
}

// lateOrders makes workers leave orders unanswered and carry them out seconds later. At the end two workers restart under their
// ids, so that many of these orders reach another life.
var lateOrders = fault{"late orders", 5500 * time.Millisecond, func(s *soak, rng *rand.Rand) (string, func() error, error) {
	s.site.LateOrders(0.5, rng.Uint64())
	return "half of the orders are late", func() error {
		s.site.LateOrders(0, 0)
		instances := s.site.Instances()
		for range 2 {
			i := instances[rng.IntN(len(instances))]
			if i.Gone() {
				continue
			}
			i.Crash()
			if err := s.site.RestartInstance(i); err != nil {
				return err
			}
		}
		return nil
	}, nil
}}

// kinds returns the faults of a run.
func (s *soak) kinds() []fault {
	kinds := slices.Clone(faults)
	if s.LateOrders {
		kinds = append(kinds, lateOrders, lateOrders, lateOrders)
	}
	if s.Crowds {
		kinds = append(kinds, crowd, crowd, crowd)
	}
	if s.LargeJobs {
		kinds = append(kinds, burst, burst, burst)
	}
	if s.Replaced {
		kinds = append(kinds, replacement, replacement, replacement)
	}
	return kinds
}

// disturbProxy sets a random mode other than Pass on a proxy and returns its name.
func disturbProxy(p *Proxy, rng *rand.Rand) string {
	mode := Delay + Mode(rng.IntN(int(numModes-Delay)))
	p.SetMode(mode, time.Duration(50+rng.IntN(400))*time.Millisecond)
	return mode.String()
}

// failStoreCalls makes the store fail the calls for some of the partitions. Lost answers apply to appends only.
func failStoreCalls(s *soak, rng *rand.Rand) (string, func() error, error) {
	failure := []site.Failure{site.AnswersLost, site.Busy, site.Unresponsive}[rng.IntN(3)]
	share := 1 + rng.IntN(4)
	salt := rng.IntN(7)
	s.site.Store.SetFailures(func(call, topic, part string) site.Failure {
		if !strings.HasPrefix(topic, "keyed.citron") || (len(topic)*3+len(part)+int(part[0])+salt)%4 >= share {
			return site.NoFailure
		}
		if failure == site.AnswersLost && call != "log-append" {
			return site.NoFailure
		}
		return failure
	})
	return fmt.Sprintf("store %s for %d of 4 partitions", failure, share), func() error { s.site.Store.SetFailures(nil); return nil }, nil
}

// holder returns the index and the epoch of the daemon that holds the pool according to the store. The epoch is 0 if
// there is no holder.
func (s *soak) holder() (n int, epoch uint64) {
	var claim work.Claim
	if err := proto.Unmarshal([]byte(s.site.Store.Value("keyed.citron.cell", "claim/0")), &claim); err != nil {
		return 0, 0
	}
	for n, d := range s.daemons {
		if d.name == claim.GetVM() {
			return n, claim.GetEpoch()
		}
	}
	return 0, 0
}

// holderIndex returns the index of the daemon that holds the pool, 0 if there is none.
func (s *soak) holderIndex() int {
	n, _ := s.holder()
	return n
}

// signalDaemon sends a signal to daemon n. If the daemon holds the pool, the loss is recorded so that the time until the
// next holder starts a task can be measured.
func (s *soak) signalDaemon(action string, n int, sig syscall.Signal) (description string, end func() error, err error) {
	d := s.daemon(n)
	finish := d.ensureRunning
	if n == s.holderIndex() {
		finish = s.recordLoss(action, n)
	}
	_, err = d.signal(sig)
	return fmt.Sprintf("%s %s", action, d.name), finish, err
}

// holderLoss is a fault that hit the holder of the pool.
type holderLoss struct {
	cause string
	// epoch is that of the lost holder.
	epoch uint64
	at    time.Duration
}

// recordLoss records a fault of daemon n, which holds the pool, and returns the function that ends the fault.
func (s *soak) recordLoss(cause string, n int) (end func() error) {
	_, epoch := s.holder()
	s.losses = append(s.losses, holderLoss{cause, epoch, clock.Now().Boot})
	return func() error {
		s.storeProxies[n].SetMode(Pass, 0)
		return s.daemon(n).ensureRunning()
	}
}

// measureRecoveries reports the time from each loss to the first start of a task by a later holder. A holder
// may resume before another daemon takes over the pool; such a loss has no recovery.
func (s *soak) measureRecoveries() {
	for _, l := range s.losses {
		if at, ok := s.checker.firstStartAfter(uint64(fence.NextEpoch(citron.Epoch(l.epoch)) - 1)); ok {
			s.report.Recoveries = append(s.report.Recoveries, Recovery{Cause: l.cause, Duration: at - l.at})
		}
	}
}

// pendingEnd is the scheduled end of a fault.
type pendingEnd struct {
	at  time.Duration
	end func() error
}

// injectFaults injects random faults, which can overlap, for the duration of the run and ends them all.
func (s *soak) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	started, kinds := clock.Now().Boot, s.kinds()
	var pending []pendingEnd
	reportError := func(err error) {
		if err != nil {
			s.report.Violations = append(s.report.Violations, err.Error())
		}
	}
	for nextFault := started; ctx.Err() == nil; {
		now := clock.Now().Boot
		for n := 0; n < len(pending); n++ {
			if pending[n].at <= now {
				reportError(pending[n].end())
				pending = append(pending[:n], pending[n+1:]...)
				n--
			}
		}
		if now-started > s.Duration {
			break
		}
		if now >= nextFault {
			f := kinds[rng.IntN(len(kinds))]
			duration := time.Duration(rng.Int64N(int64(f.maxDuration)))
			description, end, err := f.inject(s, rng)
			reportError(err)
			s.report.Faults = append(s.report.Faults, fmt.Sprintf("%v %s for %v", (now-started).Round(time.Millisecond), description, duration.Round(time.Millisecond)))
			if end != nil {
				pending = append(pending, pendingEnd{now + duration, end})
			}
			nextFault = now + time.Duration(rng.Int64N(int64(2*meanFaultInterval)))
		}
		timer.Pause(ctx, clock, pollInterval)
	}
	for _, e := range pending {
		reportError(e.end())
	}
}
