package quota

import (
	"fmt"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// StepNeed returns the capacity that each task of a step counts against its team's maximum. It is the declared one, also for
// fill tasks, which take no cores from the capacity of their worker.
func StepNeed(s *work.Step) citron.Capacity {
	return citron.Capacity{MilliCores: s.GetMilliCores(), MemoryMb: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
}

// Check returns an error if a step of the job can never start under the terms of its team: a gang that is larger than the
// team's maximum, or a single task that is.
func Check(job *work.Job, terms citron.TeamTerms) error {
	var c Counter
	c.SetTerms([]citron.TeamTerms{terms})
	for n, s := range job.GetSteps() {
		together := 1
		if s.GetGang() {
			together = int(s.GetTasks())
		}
		if !c.Suits(terms.Name, StepNeed(s), together) {
			return fmt.Errorf("step %d starts %d tasks at once, which need more than team %s may use: %s", n, together, terms.Name, describe(terms.Max))
		}
	}
	return nil
}

// describe returns the limited dimensions of a maximum.
func describe(maximum citron.Capacity) (text string) {
	for _, d := range []struct {
		name  string
		limit int64
	}{{"thousandths of a core", maximum.MilliCores}, {"MB of memory", maximum.MemoryMb}, {"accelerators", maximum.Accelerators}} {
		if d.limit == 0 {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d %s", d.limit, d.name)
	}
	return text
}
