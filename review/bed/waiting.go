package main

import (
	"errors"
	"fmt"
	"time"
)

// waitsFor is how long a job may have nothing running although there is room.
const waitsFor = 3 * time.Second

// pool starts a number of workers and a small deployment of daemons.
func (b *bed) pool(workers, daemons int) error {
	for n := range workers {
		if _, err := b.addWorker(fmt.Sprintf("i-%03d", n), fmt.Sprintf("m-%03d", n), fmt.Sprintf("r%d", n/6), "", 400*time.Second); err != nil {
			return err
		}
	}
	b.publish(3)
	for n := range daemons {
		if err := b.addDaemon(fmt.Sprintf("front-%d", n), 0.4); err != nil {
			return err
		}
	}
	return b.ready()
}

// working returns the number of tasks of a job that run.
func (b *bed) working(id string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.lives {
		for task := range l.runs {
			if job, _, _, _, err := parseTask(task); err == nil && job == id {
				n++
			}
		}
	}
	return n
}

// checkWaiting checks that no job has nothing running for waitsFor.
func (b *bed) checkWaiting(ids []string) {
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = true
	}
	for began := time.Now(); time.Since(began) < waitsFor; time.Sleep(50 * time.Millisecond) {
		for id := range idle {
			if b.working(id) > 0 {
				idle[id] = false
			}
		}
	}
	used, total := b.use()
	for _, id := range ids {
		state := b.state(id, b.daemons[0].front)
		b.mu.Lock()
		b.log("GET %s -> %s", id, state)
		if state != "completed" && state != "canceled" && idle[id] {
			b.violate("LOST: job %s is %q and has had nothing running for %v; %d of %d thousandths of a core are in use", id, state, waitsFor, used, total)
		}
		b.mu.Unlock()
	}
}

// use returns the thousandths of a core that tasks use, apart from those that fill, and that the workers have.
func (b *bed) use() (used, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.lives {
		if l.gone {
			continue
		}
		total += workerCPU
		for _, r := range l.runs {
			used += r.spec.cpu
		}
	}
	return used, total
}

// Doses of the reserve scenario.
const (
	reserveWorkers = 12
	// declaredMs is the run time that the long tasks declare, actual the one that they have.
	declaredMs = 1500
	actual     = 15 * time.Second
	// calmFor is how long before waitsFor nothing may happen for a task that lasts to be judged.
	calmFor = 4 * time.Second
)

// reserveScenario submits tasks that take ten times as long as they declare, then a gang that waits for them, then a service for which
// there is room on every worker.
func reserveScenario(b *bed) error {
	if err := b.pool(reserveWorkers, 6); err != nil {
		return err
	}
	b.publishQueues(queue{"quick", 0, 3, 1.5, 250}, queue{"watch", 1, 4, 2.2, 2500}, queue{"bulk", 2, 4, 2.2, 1200})
	time.Sleep(2 * time.Second)
	runTime := declaredMs * time.Millisecond
	if b.trouble {
		runTime = actual
	}
	long := "f000000000000001"
	if !b.submitTo("bulk", long, stepBody{Count: reserveWorkers, CPU: 15000, MemMB: 2000, AntiAffinity: 1, EstimateMs: declaredMs, Image: "bulk"}, taskSpec{runTime: runTime}, b.fronts()) {
		return errors.New("the long job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { return b.working(long) == reserveWorkers }) {
		return errors.New("the long job does not run")
	}
	gang := "f000000000000002"
	if !b.submitTo("quick", gang, stepBody{Count: reserveWorkers, CPU: 18000, MemMB: 2000, Gang: true, EstimateMs: 12_000, Image: "quick"}, taskSpec{runTime: time.Second}, b.fronts()) {
		return errors.New("the gang was not accepted")
	}
	time.Sleep(time.Second)
	lasting := "f000000000000003"
	if !b.submitTo("watch", lasting, stepBody{Count: 2, CPU: 2000, MemMB: 1000, LongRunning: true, EstimateMs: 600, Image: "watch"}, taskSpec{startup: startup}, b.fronts()) {
		return errors.New("the service was not accepted")
	}
	time.Sleep(calmFor)
	b.checkWaiting([]string{lasting})
	began := time.Now()
	waitFor(actual, func() bool { return b.working(lasting) == 2 })
	b.note("%d tasks of the service run, %v after that", b.working(lasting), time.Since(began).Round(time.Millisecond))
	return nil
}
