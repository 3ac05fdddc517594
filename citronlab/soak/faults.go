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
	// longest bounds how long it lasts.
	longest time.Duration
	begin   func(s *soak, rng *rand.Rand) (what string, end func() error, err error)
}

// betweenFaults is the mean pause between two faults; they overlap.
const betweenFaults = 900 * time.Millisecond

var faults = []fault{
	{"kill holder", 2 * time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		return s.strike("kill", s.holding(), syscall.SIGKILL)
	}},
	{"freeze holder", 4 * time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		return s.strike("freeze", s.holding(), syscall.SIGSTOP)
	}},
	{"stop holder", 5 * time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		return s.strike("stop", s.holding(), syscall.SIGTERM)
	}},
	{"cut holder from the store", 4 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		n := s.holding()
		mode := disturb(s.store[n], rng)
		return fmt.Sprintf("%s from the store: %s", s.daemons[n].name, mode), s.loss("store "+mode, n), nil
	}},
	{"freeze a daemon", 3 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		return s.strike("freeze", rng.IntN(len(s.daemons)), syscall.SIGSTOP)
	}},
	{"kill all", time.Second, func(s *soak, _ *rand.Rand) (string, func() error, error) {
		for n := range s.daemons {
			if _, _, err := s.strike("kill all", n, syscall.SIGKILL); err != nil {
				return "", nil, err
			}
		}
		return "all daemons killed", s.reviveAll, nil
	}},
	{"store troubles", 3 * time.Second, storeTroubles},
	{"cut a worker", 9 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		lives := s.site.Instances()
		e := lives[rng.IntN(len(lives))]
		s.mu.Lock()
		p := s.workers[e.ID]
		s.mu.Unlock()
		mode := disturb(p, rng)
		return fmt.Sprintf("%s: %s", e.ID, mode), func() error { p.SetMode(Pass, 0); return nil }, nil
	}},
	{"crash a worker", time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
		lives := s.site.Instances()
		e := lives[rng.IntN(len(lives))]
		if e.Gone() {
			return e.ID + " is gone already", func() error { return nil }, nil
		}
		e.Crash()
		return e.ID + " crashed", func() error { return s.site.AddExecutor(rng.IntN(s.Workers)) }, nil
	}},
}

// disturb puts a drawn disturbance on a proxy and names it.
func disturb(p *Proxy, rng *rand.Rand) string {
	mode := Delay + Mode(rng.IntN(int(modes-Delay)))
	p.SetMode(mode, time.Duration(50+rng.IntN(400))*time.Millisecond)
	return mode.String()
}

// storeTroubles disturbs calls about a part of the partitions.
func storeTroubles(s *soak, rng *rand.Rand) (string, func() error, error) {
	how := []site.Failure{site.AnswersLost, site.Busy, site.Unresponsive}[rng.IntN(3)]
	share := 1 + rng.IntN(4)
	salt := rng.IntN(7)
	s.site.Store.SetFailures(func(call, topic, part string) site.Failure {
		if !strings.HasPrefix(topic, "keyed.citron") || (len(topic)*3+len(part)+int(part[0])+salt)%4 >= share {
			return site.NoFailure
		}
		if how == site.AnswersLost && call != "log-append" {
			return site.NoFailure
		}
		return how
	})
	return fmt.Sprintf("store %s for %d of 4 partitions", how, share), func() error { s.site.Store.SetFailures(nil); return nil }, nil
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

func (s *soak) holding() int {
	n, _ := s.holder()
	return n
}

// strike sends a signal to a daemon. If it holds the pool, the time until the next holder starts tasks is measured.
func (s *soak) strike(how string, n int, sig syscall.Signal) (what string, end func() error, err error) {
	d := s.daemons[n]
	finish := d.revive
	if n == s.holding() {
		finish = s.loss(how, n)
	}
	_, err = d.signal(sig)
	return fmt.Sprintf("%s %s", how, d.name), finish, err
}

// loss is a loss of the pool's holder whose end has not been looked up yet.
type loss struct {
	how   string
	epoch uint64
	at    time.Duration
}

// loss notes that daemon n, which holds the pool, is lost. What it returns ends the fault.
func (s *soak) loss(how string, n int) (end func() error) {
	_, epoch := s.holder()
	s.losses = append(s.losses, loss{how, epoch, clock.Now().Boot})
	return func() error {
		s.store[n].SetMode(Pass, 0)
		return s.daemons[n].revive()
	}
}

// recovered looks up when a later holder first started a task after each loss. A holder that was lost for a moment may
// have gone on; then there is nothing to tell.
func (s *soak) recovered() {
	for _, l := range s.losses {
		if at, ok := s.ledger.startedBy(l.epoch); ok {
			s.report.Recoveries = append(s.report.Recoveries, Recovery{Cause: l.how, Duration: at - l.at})
		}
	}
}

// due is the end of a fault.
type due struct {
	at  time.Duration
	end func() error
}

// play brings faults, one after the other and beside each other.
func (s *soak) play(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	begun := clock.Now().Boot
	var ends []due
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
			lasts := time.Duration(rng.Int64N(int64(f.longest)))
			what, end, err := f.begin(s, rng)
			note(err)
			s.report.Faults = append(s.report.Faults, fmt.Sprintf("%v %s for %v", (now-begun).Round(time.Millisecond), what, lasts.Round(time.Millisecond)))
			if end != nil {
				ends = append(ends, due{now + lasts, end})
			}
			next = now + time.Duration(rng.Int64N(int64(2*betweenFaults)))
		}
		timer.Pause(ctx, clock, poll)
	}
	for _, e := range ends {
		note(e.end())
	}
}
