package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	// memoryKB is memory_mb of the settings; the platform kills a process that takes more and starts it again after restartAfter.
	memoryKB     = 284 << 10
	restartAfter = 500 * time.Millisecond
	// largeJobs is the number of large jobs, largeTasks that of the tasks of each.
	largeJobs, largeTasks = 48, 20_000
	// faultExits is the number of ends on one machine, faultMachines that of such machines, from which the day counts as a fault.
	faultExits, faultMachines = 3, 2
)

// playLarge submits large jobs beside quick ones. No process may take more memory than its limit.
func playLarge(r *Rig) (broken []string, err error) {
	if err := r.start(20, 32000, 65536, 4, flapRoutes); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	done, ended := make(chan struct{}), make(chan struct{})
	kills := map[string]int{}
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, d := range r.daemons {
				if used := residentKB(d.cmd.Process.Pid); used > memoryKB {
					kills[d.name]++
					r.record.Add("%s takes %d MB and is killed by the platform", d.name, used>>10)
					d.Kill()
					time.Sleep(restartAfter)
					if err := d.Start(); err != nil {
						r.record.Add("%s could not start: %v", d.name, err)
					}
				}
			}
		}
	}()
	began := time.Now()
	for n := 0; time.Since(began) < 70*time.Second; n++ {
		r.submit("/quick/", `{"spec":"[800]","steps":[{"count":2,"cpu":2800,"mem_mb":5200,"estimate_ms":800}]}`, 1)
		if r.trouble && n < largeJobs {
			r.submit("/sweep/", fmt.Sprintf(`{"spec":"[2700]","steps":[{"count":%d,"cpu":2000,"mem_mb":3600,"estimate_ms":2700}]}`, largeTasks), 1)
		}
		time.Sleep(200 * time.Millisecond)
	}
	close(done)
	<-ended
	machines := 0
	for name, n := range kills {
		r.record.Add("%s has ended %d times by its memory", name, n)
		if n >= faultExits {
			machines++
		}
	}
	counts := map[string]int{}
	for _, id := range r.order {
		if j := r.jobs[id]; j.accepted && strings.HasPrefix(j.path, "/quick/") {
			status, state := r.state(r.anyDaemon(), j)
			counts[fmt.Sprintf("%d %s", status, state)]++
		}
	}
	r.record.Add("answers about the accepted quick jobs: %v", counts)
	fmt.Println("ends by memory:", kills, "quick jobs:", counts)
	if machines >= faultMachines {
		broken = append(broken, fmt.Sprintf("Fault: on %d machines the process has ended by itself %d times or more, with no disruption there: %v", machines, faultExits, kills))
	}
	return broken, nil
}

// residentKB returns the memory of a process.
func residentKB(pid int) (kb int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	return kb
}
