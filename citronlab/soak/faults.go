package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
	"github.com/citroncross/citroncross/schema/work"
)

// fault is one kind of trouble. Begin returns what was done and what ends it; the end is due after a drawn time.
type fault struct {
	// name is for the reader of the list below.
	name string
	// maxDuration bounds how long it lasts.
	maxDuration time.Duration
	inject      func(s *soak, rng *rand.Rand) (what string, end func() error, err error)
}

// meanFaultInterval is the mean pause between two faults; they overlap.
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
		return fmt.Sprintf("%s from the store: %s", s.daemons[n].name, mode), s.recordLoss("store "+mode, n), nil
	}},
	{"freeze a daemon", 3 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		return s.signalDaemon("freeze", rng.IntN(len(s.daemons)), syscall.SIGSTOP)
	}},
	{"kill all", time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		for n := range s.daemons {
			if _, _, err := s.signalDaemon("kill all", n, syscall.SIGKILL); err != nil {
				return "", nil, err
			}
		}
		return "all daemons killed", s.ensureAllRunning, nil
	}},
	{"store troubles", 3 * time.Second, failStoreCalls},
	{"cut a worker", 9 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		lives := s.site.Lives()
		e := lives[rng.IntN(len(lives))]
		s.mu.Lock()
		p := s.workerProxies[e.ID]
		s.mu.Unlock()
		mode := disturbProxy(p, rng)
		return fmt.Sprintf("%s: %s", e.ID, mode), func() error { p.SetMode(Pass, 0); return nil }, nil
	}},
	{"crash a worker", time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		lives := s.site.Lives()
		e := lives[rng.IntN(len(lives))]
		if e.Gone() {
			return e.ID + " is gone already", func() error { return nil }, nil
		}
		e.Crash()
		return e.ID + " crashed", func() error { return s.site.AddExecutor(rng.IntN(s.Workers)) }, nil
	}},
}

// disturbProxy puts a drawn disturbance on a proxy and names it.
func disturbProxy(p *Proxy, rng *rand.Rand) string {
	mode := Delay + Mode(rng.IntN(int(numModes-Delay)))
	p.SetMode(mode, time.Duration(50+rng.IntN(400))*time.Millisecond)
	return mode.String()
}

// failStoreCalls disturbs calls about a part of the partitions.
func failStoreCalls(s *soak, rng *rand.Rand) (string, func() error, error) {
	how := []site.Failure{site.Lost, site.Busy, site.Silent}[rng.IntN(3)]
	share := 1 + rng.IntN(4)
	salt := rng.IntN(7)
	s.site.Store.Fail(func(call, topic, part string) site.Failure {
		if !strings.HasPrefix(topic, "keyed.citron") || (len(topic)*3+len(part)+int(part[0])+salt)%4 >= share {
			return site.Well
		}
		if how == site.Lost && call != "log-append" {
			return site.Well
		}
		return how
	})
	return fmt.Sprintf("store %s for %d of 4 partitions", how, share), func() error { s.site.Store.Fail(nil); return nil }, nil
}

// holder returns the place and the epoch of the pool's holder as the store has it; the epoch is 0 if there is none.
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

func (s *soak) holderIndex() int {
	n, _ := s.holder()
	return n
}

// signalDaemon sends a signal to a daemon. If it holds the pool, the time until the next holder starts tasks is measured.
func (s *soak) signalDaemon(how string, n int, sig syscall.Signal) (what string, end func() error, err error) {
	d := s.daemons[n]
	finish := d.ensureRunning
	if n == s.holderIndex() {
		finish = s.recordLoss(how, n)
	}
	_, err = d.signal(sig)
	return fmt.Sprintf("%s %s", how, d.name), finish, err
}

// holderLoss is a loss of the pool's holder whose end has not been looked up yet.
type holderLoss struct {
	cause string
	epoch uint64
	at    time.Duration
}

// recordLoss notes that daemon n, which holds the pool, is lost. What it returns ends the fault.
func (s *soak) recordLoss(how string, n int) (end func() error) {
	_, epoch := s.holder()
	s.losses = append(s.losses, holderLoss{how, epoch, clock.Now().Boot})
	return func() error {
		s.storeProxies[n].SetMode(Pass, 0)
		return s.daemons[n].ensureRunning()
	}
}

// measureRecoveries looks up when a later holder first started a task after each loss. A holder that was lost for a moment may
// have gone on; then there is nothing to tell.
func (s *soak) measureRecoveries() {
	for _, l := range s.losses {
		if at, ok := s.checker.firstStartAfter(l.epoch); ok {
			s.report.Recoveries = append(s.report.Recoveries, Recovery{Cause: l.cause, Duration: at - l.at})
		}
	}
}

// pendingEnd is the end of a fault.
type pendingEnd struct {
	at  time.Duration
	end func() error
}

// injectFaults brings faults, one after the other and beside each other.
func (s *soak) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	begun := clock.Now().Boot
	var ends []pendingEnd
	note := func(err error) {
		if err != nil {
			s.report.Violations = append(s.report.Violations, err.Error())
		}
	}
	for next := begun; ctx.Err() == nil; {
		now := clock.Now().Boot
		for n := 0; n < len(ends); n++ {
			if ends[n].at <= now {
				note(ends[n].end())
				ends = append(ends[:n], ends[n+1:]...)
				n--
			}
		}
		if now-begun > s.Duration {
			break
		}
		if now >= next {
			f := faults[rng.IntN(len(faults))]
			lasts := time.Duration(rng.Int64N(int64(f.maxDuration)))
			what, end, err := f.inject(s, rng)
			note(err)
			s.report.Faults = append(s.report.Faults, fmt.Sprintf("%v %s for %v", (now-begun).Round(time.Millisecond), what, lasts.Round(time.Millisecond)))
			if end != nil {
				ends = append(ends, pendingEnd{now + lasts, end})
			}
			next = now + time.Duration(rng.Int64N(int64(2*meanFaultInterval)))
		}
		timer.Pause(ctx, clock, pollInterval)
	}
	for _, e := range ends {
		note(e.end())
	}
}
