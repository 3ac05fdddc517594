package jobs

import (
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// enoughReports is the number of reports after which observed sizes count.
	enoughReports = 20
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

// observed is the largest use that has been reported for one kind of work.
type observed struct {
	reports              int
	milliCores, memoryMb int32
}

// sizes corrects declared sizes by reported use. The zero value knows nothing.
type sizes struct {
	known map[sizeKey]*observed
}

// learn takes in one report of a running task.
func (s *sizes) learn(spec *record.JobSpec, report *lab.TaskReport) {
	if s.known == nil {
		s.known = map[sizeKey]*observed{}
	}
	key := keyOf(spec)
	o, ok := s.known[key]
	if !ok {
		o = &observed{}
		s.known[key] = o
	}
	o.reports++
	o.milliCores = max(o.milliCores, report.GetUsedMilliCores())
	o.memoryMb = max(o.memoryMb, report.GetUsedMemoryMb())
}

// size returns what to book for a task: the declared size until enough is known, then the observed one.
func (s *sizes) size(spec *record.JobSpec) place.Resources {
	size := place.Resources{MilliCores: spec.GetMilliCores(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators()}
	o, ok := s.known[keyOf(spec)]
	if !ok || o.reports < enoughReports {
		return size
	}
	size.MilliCores = corrected(size.MilliCores, o.milliCores)
	size.MemoryMb = corrected(size.MemoryMb, o.memoryMb)
	return size
}

func corrected(declared, used int32) int32 {
	wanted := int32(float64(used) * headroom)
	wanted = max(wanted, declared/maxCorrection)
	return min(wanted, declared*maxCorrection)
}

func keyOf(spec *record.JobSpec) sizeKey {
	return sizeKey{team: spec.GetTeam(), class: spec.GetClass(), milliCores: spec.GetMilliCores(), memoryMb: spec.GetMemoryMb()}
}
