package pool

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// This file answers jobs whose progress does not fit into one record of the store. docs/design/parts.md tells what a reader that has
// seen only some of the records of a job may do.

const (
	// PartKey is the prefix for parts of the progress of large jobs, followed by a job id, a slash and the index of the part.
	PartKey = "part/"
	// RecordBytesPerTask is what a record of the store must hold for each task, so that a checkpoint of hundreds of bytes fits.
	RecordBytesPerTask = 1 << 10
	// maxTaskBytes is the part of RecordBytesPerTask that tasks take on average at most; the rest is for the job and the occurrences.
	maxTaskBytes = 960
	// tasksPerRecord is the default of Options.TasksPerRecord, for records of 256 KiB.
	tasksPerRecord = 256
)

// NameOfPart returns the key of a part of the progress of a job.
func NameOfPart(id citron.JobID, index int32) string {
	return fmt.Sprintf("%s%s/%d", PartKey, id, index)
}

// JobOfRecord returns the job of a record that a pool writes.
func JobOfRecord(key string) citron.JobID {
	_, name, _ := strings.Cut(key, "/")
	id, _, _ := strings.Cut(name, "/")
	return citron.JobID(id)
}

// layout tells which records hold the tasks of an occurrence. The zero value is the progress record of the job.
type layout struct {
	// firstPart is the index of the first of a number of parts, each of which holds perPart tasks but for the last.
	firstPart, parts, perPart int
	// listing is set once the records of a plan list the parts, listed once these are stored. A reader ignores parts that are not listed,
	// so later plans start no task in between: their records may be stored earlier.
	listing, listed bool
	// changed are the parts to be recorded.
	changed map[int]bool
}

// tasksPerRecord returns the number of tasks that one record may hold.
func (o *Options) tasksPerRecord() int {
	if o.TasksPerRecord > 0 {
		return o.TasksPerRecord
	}
	return tasksPerRecord
}

// countTasks returns the number of tasks in one occurrence of a job.
func (j *job) countTasks() (tasks int) {
	for _, s := range j.spec.GetSteps() {
		tasks += int(s.GetTasks())
	}
	return tasks
}

// layOut returns the layout of a further occurrence of a job: its tasks are in the progress record if they fit there beside those of
// the other occurrences.
func (p *Pool) layOut(j *job) layout {
	tasks, most := j.countTasks(), p.Options.tasksPerRecord()
	inline := tasks
	var taken []layout
	for _, o := range j.closed {
		taken = append(taken, o.layout)
	}
	for _, o := range j.open {
		if o.layout.parts > 0 {
			taken = append(taken, o.layout)
			continue
		}
		inline += tasks
	}
	if inline <= most {
		return layout{}
	}
	l := layout{parts: divideUp(tasks, most)}
	l.perPart = divideUp(tasks, l.parts)
	slices.SortFunc(taken, func(a, b layout) int { return a.firstPart - b.firstPart })
	for _, other := range taken {
		if l.firstPart+l.parts <= other.firstPart {
			break
		}
		l.firstPart = max(l.firstPart, other.firstPart+other.parts)
	}
	j.parts = max(j.parts, l.firstPart+l.parts)
	return l
}

// divideUp returns a/b, rounded up. A reader derives perPart from the number of parts in the same way.
func divideUp(a, b int) int { return (a + b - 1) / b }

// partOf returns which part of its occurrence holds a task.
func (l *layout) partOf(t *task) int {
	return (t.step.firstTask + t.index) / l.perPart
}

// changeJob marks the progress record of a job as changed.
func (p *Pool) changeJob(j *job) {
	p.dirty[j], j.changed = true, true
}

// changeTask marks the record that holds a task as changed.
func (p *Pool) changeTask(t *task) {
	j, l := t.step.job, &t.step.occurrence.layout
	if l.parts == 0 || j.terminal {
		p.changeJob(j)
	}
	if l.parts == 0 {
		return
	}
	p.dirty[j] = true
	if l.changed == nil {
		l.changed = map[int]bool{}
	}
	l.changed[l.partOf(t)] = true
}

// appendParts adds the changed parts of a job to e.
func (p *Pool) appendParts(j *job, e *Effects) error {
	for _, o := range j.open {
		for _, n := range slices.Sorted(maps.Keys(o.layout.changed)) {
			if err := p.appendPart(o, n, e); err != nil {
				return err
			}
		}
		o.layout.changed = nil
	}
	return nil
}

// appendPart adds the n-th part of an occurrence to e, unless no task in it has been started.
func (p *Pool) appendPart(o *occurrence, n int, e *Effects) error {
	l := &o.layout
	r := &work.Part{JobID: string(o.job.id), Index: int32(l.firstPart + n), Occurrence: o.number}
	r.Tasks = o.recordTasks(n*l.perPart, (n+1)*l.perPart)
	if len(r.GetTasks()) == 0 {
		return nil
	}
	p.recordNumber++
	r.Epoch, r.Number = uint64(p.Epoch), p.recordNumber
	p.Options.shorten(r.GetTasks())
	value, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	e.Records = append(e.Records, citron.KeyedRecord{Key: NameOfPart(o.job.id, r.GetIndex()), Value: value})
	e.Visible = append(e.Visible, false)
	return nil
}

// shorten drops the checkpoints if the tasks are too large for a record. A task whose run is lost then starts from its beginning, unless
// its worker tells the checkpoint.
func (o *Options) shorten(tasks []*work.Task) {
	size := 0
	for _, t := range tasks {
		size += proto.Size(t)
	}
	if size <= o.tasksPerRecord()*maxTaskBytes {
		return
	}
	for _, t := range tasks {
		t.Checkpoint = ""
	}
}

// recordTasks returns the records of the started tasks of an occurrence, counted over all its steps, from one number up to another.
func (o *occurrence) recordTasks(from, to int) (list []*work.Task) {
	for _, s := range o.steps {
		first, last := max(from-s.firstTask, 0), min(to-s.firstTask, s.tasks.size)
		for i := first; i < last; i++ {
			if r := s.tasks.record(i); r.GetRun() > 0 {
				list = append(list, r)
			}
		}
	}
	return list
}

// restoreLayout sets the layout of an occurrence as it was recorded and returns the records of its tasks.
func (o *occurrence) restoreLayout(recorded *work.Occurrence, parts []*work.Part) []*work.Task {
	if recorded.GetParts() <= 0 {
		return recorded.GetTasks()
	}
	l := &o.layout
	l.firstPart, l.parts = int(recorded.GetFirstPart()), int(recorded.GetParts())
	l.listing, l.listed = true, true
	l.perPart = divideUp(o.job.countTasks(), l.parts)
	var list []*work.Task
	for _, r := range parts {
		if n := int(r.GetIndex()) - l.firstPart; r.GetOccurrence() == o.number && n >= 0 && n < l.parts {
			list = append(list, r.GetTasks()...)
		}
	}
	return list
}

// list adds to e which parts of a job a progress record in e lists for the first time, or not any more.
func (e *Effects) list(j *job) {
	e.unlisted = append(e.unlisted, j.closed...)
	for _, o := range j.open {
		if l := &o.layout; l.parts > 0 && !l.listing {
			l.listing = true
			e.listed = append(e.listed, o)
		}
	}
}
