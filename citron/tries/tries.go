// Package tries counts failed runs against the attempts that a queue allows for a task. It performs no I/O.
package tries

import "slices"

// Failures are the numbers of the failed runs of a task, or of a gang. The members of a gang start together under one
// number, so that a run of the gang counts once, however many members fail in it and whenever their ends arrive. The zero
// value has none.
type Failures []int32

// Record adds a run and reports whether it is new.
func (f *Failures) Record(run int32) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}

// Exhausted reports whether no attempt is left. One is always allowed.
func (f Failures) Exhausted(attempts int) bool {
	return len(f) >= max(attempts, 1)
}
