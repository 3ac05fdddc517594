package main

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// A small deployment: 20 executors of 32 cores, of which two flap. Sweeps and quick queries take some two thirds of the room.
const (
	flapWorkers  = 20
	flapping     = 2
	flapPeriod   = time.Second
	flapFor      = 7 * time.Second
	flapRounds   = 3
	flapPause    = 5 * time.Second
	flapAttempts = 2
)

var flapRoutes = []map[string]any{
	{"name": "quick", "host": host, "path_prefix": "/quick/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0, "service": "svc", "attempts": 3, "stretch": 1.5},
	{"name": "sweep", "host": host, "path_prefix": "/sweep/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000, "priority": 2, "service": "svc", "attempts": flapAttempts, "stretch": 4.0},
}

// playFlap lets executors go down and up by turns. No task ever ends as failed, so no job may be shown as failed.
func playFlap(r *Rig) (broken []string, err error) {
	if err := r.start(flapWorkers, 32000, 65536, 4, flapRoutes); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var load sync.WaitGroup
	client := func(path string, perSecond float64, tasks, cpu, memMb int, ms float64) {
		load.Add(1)
		go func() {
			defer load.Done()
			for {
				r.mu.Lock()
				wait := r.rng.ExpFloat64() / perSecond
				work := int(ms * math.Exp(0.5*r.rng.NormFloat64()-0.125))
				r.mu.Unlock()
				select {
				case <-done:
					return
				case <-time.After(time.Duration(wait * float64(time.Second))):
				}
				body := fmt.Sprintf(`{"spec":"[%d]","steps":[{"count":%d,"cpu":%d,"mem_mb":%d,"estimate_ms":%d}]}`, work, tasks, cpu, memMb, work)
				load.Add(1)
				go func() {
					defer load.Done()
					r.submit(path, body, 1)
				}()
			}
		}()
	}
	client("/quick/", 16, 2, 2800, 5200, 800)
	client("/sweep/", 6, 10, 2000, 3600, 2700)
	time.Sleep(5 * time.Second)
	for range flapRounds {
		if r.trouble {
			r.flap()
		} else {
			time.Sleep(flapFor)
		}
		time.Sleep(flapPause)
	}
	close(done)
	load.Wait()
	time.Sleep(14 * time.Second)
	return r.failedWithoutCause(), nil
}

// flap lets the first executors go down and up with a period, half of it down.
func (r *Rig) flap() {
	lives := map[*Worker]int{}
	for began := time.Now(); time.Since(began) < flapFor; {
		for _, w := range r.workers[:flapping] {
			w.Crash()
		}
		time.Sleep(flapPeriod / 2)
		for _, w := range r.workers[:flapping] {
			lives[w]++
			if err := w.Start(int(time.Since(r.record.began).Milliseconds())); err != nil {
				r.record.Add("worker %02d could not start: %v", w.number, err)
			}
		}
		time.Sleep(flapPeriod / 2)
	}
}

// failedWithoutCause asks for all accepted jobs and returns those that are shown as failed although no task has used up its attempts.
func (r *Rig) failedWithoutCause() (broken []string) {
	counts := map[string]int{}
	for _, id := range r.order {
		j := r.jobs[id]
		if !j.accepted {
			counts["not accepted"]++
			continue
		}
		d := r.anyDaemon()
		status, state := r.state(d, j)
		r.record.Add("GET %s at %s: %d %s", j.path, d.name, status, state)
		counts[fmt.Sprintf("%d %s", status, state)]++
		if state != "failed" {
			continue
		}
		ends := map[string]int{}
		r.record.mu.Lock()
		for task, kinds := range r.record.ends {
			if len(task) > len(id) && task[:len(id)] == id {
				for kind, n := range kinds {
					ends[kind] += n
				}
			}
		}
		r.record.mu.Unlock()
		if ends["failed"] < flapAttempts {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed, its runs have ended %v, none as failed", j.path, ends))
		}
	}
	r.record.Add("answers about %d jobs: %v; %d starts", len(r.order), counts, r.record.starts)
	fmt.Println(len(r.order), "jobs:", counts, r.record.starts, "starts")
	return broken
}
