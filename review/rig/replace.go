package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// fleet is the number of machines at any time, generations how often all of them are replaced, with generationPause between.
	fleet           = 6
	generations     = 42
	generationPause = 900 * time.Millisecond
	// finish is finish_s of the settings, stuckFor the time for which a job may have nothing running.
	finish   = 14 * time.Second
	stuckFor = 3 * time.Second
)

// playReplace replaces all machines again and again by new ones at other addresses, the last time by smaller ones. At last the machine
// of the holder is lost. Jobs that the others accept from then on must be run.
func playReplace(r *Rig) (broken []string, err error) {
	if err := r.start(6, 32000, 65536, fleet, routes); err != nil {
		return nil, err
	}
	if r.trouble {
		for range generations - 1 {
			added, err := r.addFleet(0.4)
			if err != nil {
				return nil, err
			}
			r.remove(r.daemons)
			r.daemons = added
			time.Sleep(generationPause)
		}
	}
	added, err := r.addFleet(0.2)
	if err != nil {
		return nil, err
	}
	holder, err := r.findHolder(append(r.all[:len(r.all):len(r.all)], added...))
	if err != nil {
		return nil, err
	}
	var others []*Daemon
	for _, d := range r.all[:len(r.all)-fleet] {
		if d != holder {
			others = append(others, d)
		}
	}
	r.remove(others)
	for _, d := range others {
		select {
		case <-d.exited:
		case <-time.After(8 * time.Second):
			d.Kill()
		}
	}
	r.daemons = added
	r.record.Add("%s, which holds the pool, is removed for good, without SIGTERM", holder.name)
	holder.Kill()
	time.Sleep(time.Second)
	for range 20 {
		r.submit("/sweep/", `{"spec":"[500,500]","steps":[{"count":4,"cpu":2000,"mem_mb":1000,"estimate_ms":500},{"count":2,"cpu":2000,"mem_mb":1000,"estimate_ms":500,"after":[0]}]}`, 2)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(finish - stuckFor)
	before, running := r.record.Progress()
	time.Sleep(stuckFor)
	after, _ := r.record.Progress()
	still := r.unfinished()
	r.record.Add("%v after the end of the traffic %d accepted jobs have not ended; 3 s before, %d tasks ran, since then %d have started", finish, len(still), running, after-before)
	if running == 0 && after == before {
		for _, id := range still {
			broken = append(broken, fmt.Sprintf("LOST: job %s is %s and has had nothing running for 3 s, with all executors free", r.jobs[id].path, r.jobs[id].state))
		}
	}
	for range 12 {
		if len(r.unfinished()) == 0 {
			break
		}
		time.Sleep(time.Second)
	}
	r.record.Add("at last %d jobs have not ended", len(r.unfinished()))
	return broken, nil
}

// addFleet starts a new fleet and waits until it is ready.
func (r *Rig) addFleet(cpuShare float64) (added []*Daemon, err error) {
	for range fleet {
		d, err := r.addDaemon(len(r.all), cpuShare)
		if err != nil {
			return nil, err
		}
		r.record.Add("%s is added, %v cores", d.name, cpuShare)
		added = append(added, d)
	}
	return added, r.awaitReady(added)
}

// remove takes machines away for good, as planned.
func (r *Rig) remove(daemons []*Daemon) {
	for _, d := range daemons {
		select {
		case <-d.exited:
		default:
			r.record.Add("%s is removed for good, with SIGTERM", d.name)
			d.Signal(syscall.SIGTERM)
		}
	}
}

// findHolder waits until one of some daemons holds the pool.
func (r *Rig) findHolder(daemons []*Daemon) (*Daemon, error) {
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, d := range daemons {
			select {
			case <-d.exited:
			default:
				if r.holds(d) {
					return d, nil
				}
			}
		}
	}
	return nil, errors.New("no daemon holds the pool")
}

// unfinished asks for all accepted jobs and returns those that have not ended.
func (r *Rig) unfinished() (ids []string) {
	for _, id := range r.order {
		j := r.jobs[id]
		if !j.accepted {
			continue
		}
		d := r.anyDaemon()
		status, state := r.state(d, j)
		r.record.Add("GET %s at %s: %d %s", j.path, d.name, status, state)
		if j.state = state; state == "queued" || state == "running" {
			ids = append(ids, id)
		}
	}
	return ids
}
