package relay

import (
	"maps"
	"slices"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/link"
)

// percentStep is the change of a task's progress that is always reported; smaller ones are reported with another change.
const percentStep = 10

// complete is the progress of a task that is done or fully at work.
const complete = 100

// baseReport is the last report of a worker, on which the next one is based.
type baseReport struct {
	// number is the number of the answered order.
	number  uint64
	running map[string]*link.RunningTask
}

// encodeReport returns what a report changes in base, or the complete report if base is nil, and the base of the next one.
func encodeReport(number uint64, r citron.WorkerReport, base *baseReport) (*link.Report, *baseReport) {
	encoded := &link.Report{Partial: r.Partial, Incarnation: uint64(r.Incarnation)}
	next := &baseReport{number: number, running: make(map[string]*link.RunningTask, len(r.Running))}
	if base != nil {
		encoded.Base = base.number
	}
	for _, t := range r.Running {
		row := &link.RunningTask{Task: string(t.Task), Run: t.Run, Checkpoint: t.Checkpoint, Percent: int32(t.Percent)}
		if base != nil {
			if old := base.running[row.GetTask()]; old != nil && !differs(old, row) {
				next.running[row.GetTask()] = old
				continue
			}
		}
		next.running[row.GetTask()] = row
		encoded.Running = append(encoded.Running, row)
	}
	if base != nil {
		for task := range base.running {
			if next.running[task] == nil {
				encoded.NotRunning = append(encoded.NotRunning, task)
			}
		}
	}
	for _, t := range r.Ended {
		encoded.Ended = append(encoded.Ended, &link.EndedTask{Number: t.Number, Task: string(t.Task), Run: t.Run, Kind: string(t.Kind), Checkpoint: t.Checkpoint})
	}
	return encoded, next
}

// differs reports whether the holder must learn of a change.
func differs(old, row *link.RunningTask) bool {
	change := row.GetPercent() - old.GetPercent()
	return old.GetRun() != row.GetRun() || old.GetCheckpoint() != row.GetCheckpoint() || change >= percentStep || change < 0 ||
		row.GetPercent() >= complete && old.GetPercent() < complete
}

// errUnknownBase is the problem of a report that changes another one than the last.
const errUnknownBase = "the report changes one that is not known"

// completeReport makes a report that contains only changes complete and keeps it as the next base. The caller holds the
// lock.
func (s *session) completeReport(worker citron.Worker, a *link.Answer) {
	r := a.GetReport()
	if r == nil {
		return
	}
	next := &baseReport{number: a.GetNumber(), running: map[string]*link.RunningTask{}}
	if r.GetBase() > 0 {
		base := s.reports[worker]
		if base == nil || base.number != r.GetBase() {
			delete(s.reports, worker)
			a.Result, a.Error, a.Report = link.OrderResult_ORDER_RESULT_UNANSWERED, errUnknownBase, nil
			return
		}
		maps.Copy(next.running, base.running)
		for _, task := range r.GetNotRunning() {
			delete(next.running, task)
		}
	}
	for _, row := range r.GetRunning() {
		next.running[row.GetTask()] = row
	}
	r.Base, r.NotRunning, r.Running = 0, nil, slices.Collect(maps.Values(next.running))
	s.reports[worker] = next
}

// decodeReport converts a complete report.
func decodeReport(r *link.Report) (report citron.WorkerReport) {
	report.Partial, report.Incarnation = r.GetPartial(), citron.Incarnation(r.GetIncarnation())
	for _, t := range r.GetRunning() {
		report.Running = append(report.Running, citron.RunningTask{Task: citron.TaskRef(t.GetTask()), Run: t.GetRun(), Checkpoint: t.GetCheckpoint(), Percent: int(t.GetPercent())})
	}
	for _, t := range r.GetEnded() {
		report.Ended = append(report.Ended, citron.EndedTask{Number: t.GetNumber(), Task: citron.TaskRef(t.GetTask()), Run: t.GetRun(), Kind: citron.EndKind(t.GetKind()), Checkpoint: t.GetCheckpoint()})
	}
	return report
}
