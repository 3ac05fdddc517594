package quota

import (
	"fmt"
	"strings"

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
			return fmt.Errorf("step %d starts %d tasks at once, which need %s that team %s may use", n, together, Describe(Total(StepNeed(s), together), terms.Max), terms.Name)
		}
	}
	return nil
}

// Total returns what a number of tasks need together.
func Total(need citron.Capacity, tasks int) citron.Capacity {
	n := int64(tasks)
	return citron.Capacity{MilliCores: n * need.MilliCores, MemoryMb: n * need.MemoryMb, Accelerators: n * need.Accelerators}
}

// Describe returns what is used of the limited dimensions of a maximum, as text.
func Describe(used, maximum citron.Capacity) string {
	var parts []string
	for _, d := range []struct {
		name       string
		used, most int64
	}{
		{"thousandths of a core", used.MilliCores, maximum.MilliCores},
		{"MB of memory", used.MemoryMb, maximum.MemoryMb},
		{"accelerators", used.Accelerators, maximum.Accelerators},
	} {
		if d.most != 0 {
			parts = append(parts, fmt.Sprintf("%d of %d %s", d.used, d.most, d.name))
		}
	}
	return strings.Join(parts, ", ")
}
