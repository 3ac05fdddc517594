package main

import (
	"fmt"
	"time"
)

// Doses of the acked scenario.
const (
	ackedWorkers = 24
	// lateShare is the share of the hold calls that get no answer and are carried out between lateFrom and lateTo later.
	lateShare = 0.5
	lateFrom  = 2 * time.Second
	lateTo    = 12 * time.Second
	lateFor   = 5500 * time.Millisecond
	// lateRounds is how often that comes, lateEvery the time between two.
	lateRounds = 6
	lateEvery  = 9 * time.Second
	// lateCrashes workers crash in the middle of each, and are back under their ids after lateDown.
	lateCrashes = 3
	lateDown    = 2 * time.Second
)

// ackedScenario lets workers carry out hold calls late, and some of them crash and start again under their ids meanwhile.
func ackedScenario(b *bed) error {
	if err := b.pool(ackedWorkers, 3); err != nil {
		return err
	}
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- b.steadyTraffic(stop) }()
	time.Sleep(3 * time.Second)
	for range lateRounds {
		began := time.Now()
		if b.trouble {
			b.mu.Lock()
			b.lateUntil = began.Add(lateFor)
			b.log("half of the hold calls get no answer and are carried out late")
			b.mu.Unlock()
			time.Sleep(lateFor / 2)
			crashed := b.crashSome(lateCrashes)
			time.Sleep(lateDown)
			for _, l := range crashed {
				if err := b.restart(l); err != nil {
					return err
				}
			}
		}
		time.Sleep(time.Until(began.Add(lateEvery)))
	}
	close(stop)
	if err := <-ended; err != nil {
		return err
	}
	time.Sleep(lateTo)
	b.summarize()
	return nil
}

// steadyTraffic submits jobs of one short task until it is stopped.
func (b *bed) steadyTraffic(stop <-chan struct{}) error {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		case <-time.After(25 * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(n))
		fronts := b.fronts()
		go b.submit(id, stepBody{Count: 2, CPU: 5000, MemMB: 500, EstimateMs: 400}, taskSpec{runTime: 400 * time.Millisecond}, fronts)
	}
}

// summarize asks for the states of all jobs.
func (b *bed) summarize() {
	b.mu.Lock()
	var ids []string
	for id := range b.specs {
		ids = append(ids, id)
	}
	b.mu.Unlock()
	states := map[string]int{}
	for _, id := range ids {
		states[b.state(id, b.daemons[0].front)]++
	}
	b.note("GET of all jobs: %v", states)
}
