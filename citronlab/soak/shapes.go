package soak

import (
	"encoding/json"
	"math/rand/v2"
)

// step is a step in the body of a job.
type step struct {
	Count         int    `json:"count"`
	MilliCores    int    `json:"cpu"`
	MemoryMb      int    `json:"mem_mb"`
	EstimateMs    int64  `json:"estimate_ms"`
	After         []int  `json:"after,omitempty"`
	PerWorker     int    `json:"anti_affinity,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	DataRack      string `json:"data_rack,omitempty"`
	Requires      string `json:"requires,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
}

const (
	// One job in wideJobs has up to maxWideTasks tasks in one step, whose progress takes several records. One in deepJobs has
	// maxSteps steps.
	wideJobs, maxWideTasks = 120, 900
	deepJobs, maxSteps     = 120, 64
)

// randomShape returns the body of a job of random shape that the stand-in's workers can run, and the number of its tasks in all
// occurrences. It has no gangs (see jobKinds) and no services, which do not end.
func randomShape(rng *rand.Rand) (tasks int, body string) {
	steps, most := 1+rng.IntN(4), 4
	switch {
	case rng.IntN(wideJobs) == 0:
		steps, most = 1, maxWideTasks
	case rng.IntN(deepJobs) == 0:
		steps, most = maxSteps, 1
	}
	var job struct {
		Payload    string `json:"spec"`
		Steps      []step `json:"steps"`
		Repeats    int    `json:"repeat_count,omitempty"`
		FirstMs    int64  `json:"first_run_ms,omitempty"`
		IntervalMs int    `json:"interval_ms,omitempty"`
	}
	job.Payload = "x"
	for n := range steps {
		s := step{Count: 1 + rng.IntN(most), MilliCores: 100 * (1 + rng.IntN(10)), MemoryMb: 10, EstimateMs: runTime.Milliseconds()}
		for range rng.IntN(4) {
			if n > 0 {
				s.After = append(s.After, rng.IntN(n))
			}
		}
		switch rng.IntN(8) {
		case 0:
			s.PerWorker = 1 + rng.IntN(3)
		case 1:
			s.SameRack = true
		case 2:
			s.DataRack = "r0"
		case 3:
			s.Requires = "a"
		case 4:
			s.Checkpointing = true
		case 5:
			s.Fills = true
		}
		tasks += s.Count
		job.Steps = append(job.Steps, s)
	}
	if most <= 4 && rng.IntN(6) == 0 {
		job.Repeats, job.IntervalMs = 2+rng.IntN(3), 20+rng.IntN(300)
		job.FirstMs = clock.Now().Wall.UnixMilli() - int64(rng.IntN(2000))
		tasks *= job.Repeats
	}
	raw, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	return tasks, string(raw)
}

// newJob returns a job to submit and its body.
func (c *caller) newJob() (j *job, body string) {
	kind := jobKinds[c.rng.IntN(len(jobKinds))]
	if c.soak.Shapes {
		kind.tasks, kind.body = randomShape(c.rng)
	}
	return &job{tasks: kind.tasks, refused: true}, kind.body
}
