package admit

import (
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/schema/work"
)

// What a job takes of the memory of the daemon that holds its pool, which is the most of all daemons. The test of package holder that is
// named TestJobsTakeWhatIsCounted shows that they are upper bounds.
const (
	// JobBytes is for the job itself, with the entry of the view and the state that the pool keeps of it.
	JobBytes budget.Bytes = 2 << 10
	// StepBytes is for a step, beside its text.
	StepBytes budget.Bytes = 1 << 10
	// TaskBytes is for a task, whether or not it has started. The runs under way take more; pool.Options.MaxRuns bounds them.
	TaskBytes budget.Bytes = 40
	// EndedBytes is for a job that has ended and of which callers may still ask for the state.
	EndedBytes budget.Bytes = 768
	// textFactor is how often the bytes of a record are held: text as it is, numbers as twice their encoded bytes at most.
	textFactor = 2
)

// Bounds of the steps and tasks of one job that are open at once; a job without repeats may not have more in all.
const (
	MaxOpenSteps = 256
	MaxOpenTasks = 20_000
)

// OpenOccurrences returns how many occurrences of a job with a number of steps and tasks may be open at once.
func OpenOccurrences(steps, tasks int) int {
	return max(min(MaxOpenSteps/max(steps, 1), MaxOpenTasks/max(tasks, 1)), 1)
}

// CostOf returns what a job takes from its acceptance to its end; of a job without steps, which has ended, what it takes afterwards.
func CostOf(spec *work.Job) budget.Bytes {
	steps, tasks := len(spec.GetSteps()), 0
	if steps == 0 {
		return EndedBytes
	}
	for _, s := range spec.GetSteps() {
		tasks += int(s.GetTasks())
	}
	occurrences := 1
	if repeats := int(spec.GetSchedule().GetRepeats()); repeats > 0 {
		occurrences = min(repeats, OpenOccurrences(steps, tasks))
	}
	open := budget.Bytes(occurrences) * (budget.Bytes(steps)*StepBytes + budget.Bytes(tasks)*TaskBytes)
	return JobBytes + textFactor*budget.Bytes(proto.Size(spec)) + open
}
