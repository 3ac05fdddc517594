// Package crash decides which tasks are suspected when a worker crashes, and when a task is given up because it crashes its
// workers. It performs no I/O and reads no clock.
//
// A crash ends all runs on a worker, most of which have nothing to do with it. A task that crashes its workers does so soon
// after its start, so the runs that the worker has not outlived for SettleTime are suspected. From then on they start only
// where nothing else is suspected, which makes a second crash unambiguous.
package crash

import (
	"slices"
	"time"
)

const (
	// SettleTime is how long a worker must outlive the start of a run for the run not to be suspected. It is long against
	// the way of an order and short against most run times.
	SettleTime = 250 * time.Millisecond
	// tolerated is the number of crashes under a task that may be due to other tasks.
	tolerated = 3
	// maxSuspicions is the number of crashes for which a task that had begun may be suspected together with others, maxCrashes
	// the number of all crashes under it. As the only suspect it is given up one crash earlier.
	maxSuspicions = 3
	maxCrashes    = tolerated + 2
)

// History is what is known of the crashes under one task. The zero value is a task under which no worker has crashed.
type History struct {
	// Runs are the runs whose worker crashed, apart from those that had certainly not begun.
	Runs []int32
	// Suspicions are the runs that had begun and were suspected since the task last settled.
	Suspicions []int32
}

// Tolerated reports whether as many workers have crashed under the task as may be due to other tasks.
func (h *History) Tolerated() bool { return len(h.Runs) >= tolerated }

// Exclusive reports whether nothing else may start on the worker of the task until its run has settled.
func (h *History) Exclusive() bool {
	return len(h.Suspicions) > 0 || h.Tolerated()
}

// Crash is the crash of a worker under a run of a task.
type Crash struct {
	Run int32
	// Suspected is set if the run had not settled, Begun if it is known to have begun.
	Suspected, Begun bool
	// Alone is set if nothing else on the worker was suspected. The members of a gang start together and count as one.
	Alone bool
}

// Record adds a crash and reports whether the task is to be given up. A run counts once.
func (h *History) Record(c Crash) (givenUp bool) {
	if slices.Contains(h.Runs, c.Run) {
		return false
	}
	h.Runs = append(h.Runs, c.Run)
	if !c.Suspected {
		return false
	}
	if c.Begun {
		h.Suspicions = append(h.Suspicions, c.Run)
	}
	suspicions, crashes := maxSuspicions, maxCrashes
	if c.Alone {
		suspicions, crashes = suspicions-1, crashes-1
	}
	return len(h.Suspicions) >= suspicions || len(h.Runs) >= crashes
}

// Settled clears what counts against the task after a run has settled, and reports whether there was anything.
func (h *History) Settled() (changed bool) {
	changed = h.Exclusive()
	if h.Tolerated() {
		h.Runs = nil
	}
	h.Suspicions = nil
	return changed
}
