package jobs

import (
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// minReports is the number of reports after which observed sizes count.
	minReports = 20
	// headroom is what is added to the largest observed size.
	headroom = 1.2
	// maxCorrection bounds how far an observed size moves a declared one, up and down.
	maxCorrection = 4
)

// sizeKey is work of one kind and declared size.
type sizeKey struct {
	team, class          string
	milliCores, memoryMb int32
}

// observedUse is the largest use that has been reported for one kind of work.
type observedUse struct {
	reports              int
	milliCores, memoryMb int32
}

// sizes corrects declared sizes by reported use. The zero value knows nothing.
type sizes struct {
	known map[sizeKey]*observedUse
}

// observe takes in one report of a running task.
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

// size returns what to book for a task: the declared size until enough is known, then the observed one.
func (s *sizes) size(spec *record.JobSpec) place.Size {
	size := place.Size{MilliCores: spec.GetMilliCores(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators()}
	o, ok := s.known[keyOf(spec)]
	if !ok || o.reports < minReports {
		return size
	}
	size.MilliCores = correctSize(size.MilliCores, o.milliCores)
	size.MemoryMb = correctSize(size.MemoryMb, o.memoryMb)
	return size
}

func correctSize(declared, used int32) int32 {
	wanted := int32(float64(used) * headroom)
	wanted = max(wanted, declared/maxCorrection)
	return min(wanted, declared*maxCorrection)
}

func keyOf(spec *record.JobSpec) sizeKey {
	return sizeKey{team: spec.GetTeam(), class: spec.GetClass(), milliCores: spec.GetMilliCores(), memoryMb: spec.GetMemoryMb()}
}
