package main

import (
	"fmt"
	"time"
)

// largeJobs is the number of large jobs, largeTasks that of the tasks of each.
const largeJobs, largeTasks = 48, 20_000

// quickJob is the body of a quick job.
const quickJob = `{"spec":"[800]","steps":[{"count":2,"cpu":2800,"mem_mb":5200,"estimate_ms":800}]}`

// playLarge submits large jobs beside quick ones. No process may take more memory than its limit.
func playLarge(r *Rig) (broken []string, err error) {
	if err := r.start(20, 32000, 65536, 4, routes); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	stop := r.watchMemory()
	began := time.Now()
	for n := 0; time.Since(began) < 70*time.Second; n++ {
		r.submit("/quick/", quickJob, 1)
		if r.trouble && n < largeJobs {
			r.submit("/sweep/", fmt.Sprintf(`{"spec":"[2700]","steps":[{"count":%d,"cpu":2000,"mem_mb":3600,"estimate_ms":2700}]}`, largeTasks), 1)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return r.judgeMemory(stop()), nil
}
