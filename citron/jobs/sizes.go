package jobs

import (
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// minReports is the number of reports from which the observed size is used.
	minReports = 20
	// headroom is the factor applied to the largest observed use.
	headroom = 1.2
	// maxCorrection is the maximum factor between the declared and the corrected size, in both directions.
	maxCorrection = 4
)

// sizeKey identifies tasks of one team, class and declared size.
type sizeKey struct {
	team, class          string
	milliCores, memoryMb int32
}

// observedUse is the largest reported use of the tasks of one sizeKey.
type observedUse struct {
	reports              int
	milliCores, memoryMb int32
}

// sizes corrects declared sizes by reported use. The zero value has no reports.
type sizes struct {
	known map[sizeKey]*observedUse
}

// observe adds a report of a running task.
func (s *sizes) observe(spec *record.JobSpec, report *lab.TaskReport) {
	if s.known == nil {
		s.known = map[sizeKey]*observedUse{}
	}
	key := keyOf(spec)
	o, ok := s.known[key]
	if !ok {
		o = &observedUse{}
		s.known[key] = o
	}
	o.reports++
	o.milliCores = max(o.milliCores, report.GetUsedMilliCores())
	o.memoryMb = max(o.memoryMb, report.GetUsedMemoryMb())
}

// size returns the size to reserve for a task: the declared one until there are minReports, then the corrected one.
func (s *sizes) size(spec *record.JobSpec) place.Resources {
	size := place.Resources{MilliCores: spec.GetMilliCores(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators()}
	o, ok := s.known[keyOf(spec)]
	if !ok || o.reports < minReports {
		return size
	}
	size.MilliCores = correctSize(size.MilliCores, o.milliCores)
	size.MemoryMb = correctSize(size.MemoryMb, o.memoryMb)
	return size
}

// correctSize returns used plus headroom, limited to maxCorrection around the declared size.
func correctSize(declared, used int32) int32 {
	wanted := int32(float64(used) * headroom)
	wanted = max(wanted, declared/maxCorrection)
	return min(wanted, declared*maxCorrection)
}

func keyOf(spec *record.JobSpec) sizeKey {
	return sizeKey{team: spec.GetTeam(), class: spec.GetClass(), milliCores: spec.GetMilliCores(), memoryMb: spec.GetMemoryMb()}
}
