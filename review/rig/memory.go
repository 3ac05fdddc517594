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
	// faultExits is the number of ends on one machine, faultMachines that of such machines, from which the day counts as a fault.
	faultExits, faultMachines = 3, 2
)

// watchMemory kills each daemon that exceeds its memory and starts it again, until stop is called, which returns the number of kills of
// each daemon.
func (r *Rig) watchMemory() (stop func() map[string]int) {
	done, ended := make(chan struct{}), make(chan struct{})
	kills := map[string]int{}
	again := map[*Daemon]time.Time{}
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, d := range r.daemons {
				if at, down := again[d]; down {
					if time.Now().After(at) {
						delete(again, d)
						if err := d.Start(); err != nil {
							r.record.Add("%s could not start: %v", d.name, err)
						}
					}
					continue
				}
				if used := residentKB(d.cmd.Process.Pid); used > memoryKB {
					kills[d.name]++
					r.record.Add("%s takes %d MB and is killed by the platform", d.name, used>>10)
					d.Kill()
					again[d] = time.Now().Add(restartAfter)
				}
			}
		}
	}()
	return func() map[string]int {
		close(done)
		<-ended
		return kills
	}
}

// judgeMemory records the kills and what became of the accepted quick jobs, and judges the rule Fault.
func (r *Rig) judgeMemory(kills map[string]int) (broken []string) {
	machines := 0
	for name, n := range kills {
		r.record.Add("%s has ended %d times by its memory", name, n)
		if n >= faultExits {
			machines++
		}
	}
	counts := map[string]int{}
	began := time.Now()
	for _, id := range r.order {
		if j := r.jobs[id]; j.accepted && strings.HasPrefix(j.path, "/quick/") && time.Since(began) < 5*time.Second {
			status, state := r.state(r.anyDaemon(), j)
			counts[fmt.Sprintf("%d %s", status, state)]++
		}
	}
	r.record.Add("answers about the accepted quick jobs: %v", counts)
	fmt.Println("ends by memory:", kills, "quick jobs:", counts)
	if machines >= faultMachines {
		broken = append(broken, fmt.Sprintf("Fault: on %d machines the process has ended by itself %d times or more, with no disruption there: %v", machines, faultExits, kills))
	}
	return broken
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
