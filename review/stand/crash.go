package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// crashShare is the number of executors that crash at once, 15 of 100.
	crashShare = 7
	// crashes is the number of times that executors crash, crashInterval the time between two, downTime how long they are down.
	crashes       = 14
	crashInterval = 1800 * time.Millisecond
	downTime      = 1500 * time.Millisecond
)

// crash crashes executors that are chosen at random, and starts others at their addresses.
func (l *lab) crash(random *rand.Rand) {
	list := l.present()
	random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for _, x := range list[:crashShare] {
		l.note("fault", "%s on %s crashes with %d runs", x.id, x.machine, x.load())
		x.crash()
		time.AfterFunc(downTime, func() {
			var n int
			_, _ = fmt.Sscanf(x.machine, "m-%d", &n)
			if err := l.addExecutorAt(x.address, x.machine, n); err != nil {
				l.note("fault", "%s does not start again: %v", x.machine, err)
			}
		})
	}
}

// crashedWorkers submits short jobs and services, of which no task ever fails, while executors crash.
func crashedWorkers(l *lab, trouble bool) (broken bool, err error) {
	random := rand.New(rand.NewPCG(45, 4))
	traffic := time.Now().Add(crashes*crashInterval + time.Second)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range crashes {
			time.Sleep(crashInterval)
			if trouble {
				l.crash(random)
			}
		}
	}()
	var ids []string
	services := map[string]bool{}
	for n := 0; time.Now().Before(traffic); n++ {
		id := fmt.Sprintf("b000%012x", n)
		body := job("ms=800", step{Count: 2, CPU: 2800, MemMB: 1000, Estimate: 800})
		if n%20 == 0 {
			body = job("lasts", step{Count: 4, CPU: 1000, MemMB: 1000, Estimate: 1000, Lasts: true})
			services[id] = true
		}
		if !l.submit(id, body.Steps[0].Count, body) {
			return false, errNotAccepted
		}
		ids = append(ids, id)
		time.Sleep(40 * time.Millisecond)
	}
	<-ended
	time.Sleep(finishAfter)
	states, failedServices := map[string]int{}, 0
	for _, id := range ids {
		state := l.state(id)
		states[state]++
		if state == "failed" {
			l.mu.Lock()
			starts, done := l.starts[id], l.done[id]
			l.mu.Unlock()
			if services[id] {
				failedServices++
			}
			l.note("check", "%s is shown as failed: %d starts, %d runs ended done, none failed, it was not cancelled; its tasks last: %t", id, starts, done, services[id])
		}
	}
	l.note("check", "%d jobs accepted, states: %v, %d of the failed ones are services", len(ids), states, failedServices)
	return states["failed"] > 0, nil
}
