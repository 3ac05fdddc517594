// Package view holds the state of all jobs as read from the store. Every daemon answers callers from its own view.
package view

import (
	"cmp"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/work"
)

// shards is the number of parts into which the jobs are split, each with its own lock.
const shards = 16

// Entry is the known state of one job. A field has its zero value if no such record has been read.
type Entry struct {
	// Spec is the accepted job; of a job that has ended, only what Trimmed keeps.
	Spec *work.Job
	// Progress has no tasks; see FullProgress.
	Progress  *work.Progress
	Cancelled bool
	// progress is the encoded record if it has tasks, which take many times their bytes when they are decoded.
	progress []byte
	// announced is the state of a record of the progress that has not been read yet; nil if there is none. Only State uses it.
	announced *work.Progress
	// progressRemoved is set if the progress has been removed from the store, which happens only after the job has been.
	progressRemoved bool
	// cost is what the job takes of the ledger.
	cost admit.Use
	// sources are the partitions that hold each of the records.
	sources [recordKinds]sourceSet
	// parts are those of the progress. The slice is replaced on each change, since copies of the entry share it.
	parts []part
}

// remove removes the record of a kind.
func (e *Entry) remove(kind recordKind) {
	switch kind {
	case jobRecord:
		e.Spec = nil
		if e.progressRemoved {
			e.Progress, e.progress = nil, nil
		}
	case cancelRecord:
		e.Cancelled = false
	case progressRecord:
		e.announced = nil
		// A job without progress looks as if it had never started.
		if e.progressRemoved = e.Spec != nil; !e.progressRemoved {
			e.Progress, e.progress = nil, nil
		}
	}
}

// Records returns the entry as records of the store.
func (e Entry) Records(id citron.JobID) (records []citron.KeyedRecord, err error) {
	spec, err := proto.Marshal(e.Spec)
	if err != nil {
		return nil, err
	}
	key := pool.JobKey
	if e.Spec.GetPayloadOmitted() {
		key = pool.BriefKey
	}
	records = append(records, citron.KeyedRecord{Key: key + string(id), Value: spec})
	if e.Progress != nil {
		progress := e.progress
		if progress == nil {
			if progress, err = proto.Marshal(e.Progress); err != nil {
				return nil, err
			}
		}
		records = append(records, citron.KeyedRecord{Key: pool.ProgressKey + string(id), Value: progress})
	}
	if e.Cancelled {
		records = append(records, citron.KeyedRecord{Key: pool.CancelKey + string(id), Value: []byte{1}})
	}
	return records, nil
}

// FullProgress returns the progress with its tasks.
func (e Entry) FullProgress() (full *work.Progress, err error) {
	if e.progress == nil {
		return e.Progress, nil
	}
	full = &work.Progress{}
	return full, proto.Unmarshal(e.progress, full)
}

// setProgress replaces the progress by a record and its decoded form.
func (e *Entry) setProgress(record []byte, decoded *work.Progress) {
	e.Progress, e.progress = decoded, nil
	for _, o := range decoded.GetOpen() {
		if len(o.GetTasks()) > 0 {
			o.Tasks, e.progress = nil, record
		}
	}
}

// ended reports whether the job has ended and no run of it is left on any worker.
func (e *Entry) ended() bool {
	return pool.IsTerminal(e.Progress.GetState()) && len(e.Progress.GetOpen()) == 0
}

// Trimmed returns what callers and daemons need of a job that has ended.
func Trimmed(spec *work.Job) *work.Job {
	return &work.Job{
		ID: spec.GetID(), Queue: spec.GetQueue(), Team: spec.GetTeam(), AcceptedMs: spec.GetAcceptedMs(), AcceptedBy: spec.GetAcceptedBy(),
		PayloadOmitted: true,
	}
}

// State returns the job's state as reported to callers. A cancelled job counts as cancelled before its runs have ended.
func (e Entry) State() work.State {
	newest := e.Progress
	if e.announced != nil && (newest == nil || newer(e.announced, newest)) {
		newest = e.announced
	}
	if s := newest.GetState(); pool.IsTerminal(s) {
		return s
	}
	if e.Cancelled {
		return work.State_STATE_CANCELLED
	}
	return newest.GetState()
}

// pending reports whether the job is queued and has not started. Repeating jobs are never pending.
func (e Entry) pending() bool {
	return e.Spec != nil && e.State() == work.State_STATE_QUEUED && e.Spec.GetSchedule().GetRepeats() == 0
}

// View is the state of all jobs. The zero value works.
type View struct {
	// Unreadable, if set, is called for each record that cannot be decoded and is therefore ignored.
	Unreadable func(key string, err error)
	// Ledger, if set, counts what all jobs take.
	Ledger *admit.Ledger
	// Contested, if set, is called after a partition's record of a job that is known with another team.
	Contested func(id citron.JobID)

	shards [shards]shard

	mu sync.Mutex
	// pending is the number of pending jobs of each queue.
	pending map[citron.QueueName]int
	// sources is the number of sources.
	sources int
	// listener, if set, is called with each job that a record may have changed.
	listener func(id citron.JobID, e Entry)
}

type shard struct {
	mu   sync.RWMutex
	jobs map[citron.JobID]*Entry
}

func (v *View) shard(id citron.JobID) *shard {
	return &v.shards[xxhash.Sum64String(string(id))%shards]
}

// Get returns the entry of a job. It returns false while the job's spec is not known.
func (v *View) Get(id citron.JobID) (Entry, bool) {
	s := v.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.jobs[id]
	if !ok || e.Spec == nil {
		return Entry{}, false
	}
	return *e, true
}

// Pending returns the number of queued jobs of a queue that have not started.
func (v *View) Pending(q citron.QueueName) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pending[q]
}

// Len returns the number of jobs of which some record has been read.
func (v *View) Len() (n int) {
	for i := range v.shards {
		s := &v.shards[i]
		s.mu.RLock()
		n += len(s.jobs)
		s.mu.RUnlock()
	}
	return n
}

// SetListener calls f with every job whose spec is known and then with every changed one, until the listener is replaced; nil removes
// it. A change may be passed twice.
func (v *View) SetListener(f func(id citron.JobID, e Entry)) {
	v.mu.Lock()
	v.listener = f
	v.mu.Unlock()
	if f == nil {
		return
	}
	for n := range v.shards {
		for id, e := range v.shards[n].copyJobs() {
			if e.Spec != nil {
				f(id, e)
			}
		}
	}
}

func (s *shard) copyJobs() map[citron.JobID]Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	copied := make(map[citron.JobID]Entry, len(s.jobs))
	for id, e := range s.jobs {
		copied[id] = *e
	}
	return copied
}

// Apply applies records written by the intake or by the holder that did not come from a partition, in any order.
func (v *View) Apply(records ...citron.KeyedRecord) {
	for _, r := range records {
		v.apply(r, 0)
	}
}

// Announce applies the state of a stored record of a job's progress before the record itself is read. It has no effect on a
// job that is not known.
func (v *View) Announce(id citron.JobID, state work.State, epoch, number uint64) {
	if _, known := v.Get(id); !known {
		return
	}
	announced := &work.Progress{State: state, Epoch: epoch, Number: number}
	v.update(id, func(e *Entry) {
		if e.announced == nil || newer(announced, e.announced) {
			e.announced = announced
		}
	})
}

// apply applies one record by the prefix of its key; it ignores other keys.
func (v *View) apply(r citron.KeyedRecord, source sourceSet) {
	kind, id, ok := parseKey(r.Key)
	if !ok {
		return
	}
	if kind == partRecord {
		v.applyPart(id, r, source)
		return
	}
	if len(r.Value) == 0 {
		v.update(id, func(e *Entry) {
			e.sources[kind] &^= source
			e.remove(kind)
		})
		return
	}
	set, err := decode(kind, r.Value)
	if err != nil {
		v.reportUnreadable(r.Key, err)
		return
	}
	contested := false
	v.update(id, func(e *Entry) {
		// The order of a partition is the same for all daemons, unlike that of records sent by other daemons.
		outranks := source != 0 && e.sources[kind] == 0
		e.sources[kind] |= source
		contested = set(e, outranks)
	})
	if contested && source != 0 && v.Contested != nil {
		v.Contested(id)
	}
}

// decode returns the change that a record with a value makes to the entry of its job. Outranks means that the record comes
// from a partition and the known one, if any, only from other daemons. Contested means that the known one is another team's.
func decode(kind recordKind, value []byte) (set func(e *Entry, outranks bool) (contested bool), err error) {
	switch kind {
	case jobRecord:
		spec := &work.Job{}
		return func(e *Entry, outranks bool) (contested bool) {
			// Later specs with the same id are ignored, but for one that adds the payload. Another team's spec adds none; it
			// replaces one that no partition is known to hold.
			contested = e.Spec != nil && e.Spec.GetTeam() != spec.GetTeam()
			if e.Spec == nil || !contested && e.Spec.GetPayloadOmitted() || contested && outranks {
				e.Spec = spec
			}
			return contested
		}, proto.Unmarshal(value, spec)
	case progressRecord:
		progress := &work.Progress{}
		return func(e *Entry, _ bool) bool {
			// The same record arrives from the holder and later from the store, and may be in several partitions.
			if e.Progress == nil || newer(progress, e.Progress) {
				e.setProgress(value, progress)
			}
			if e.announced != nil && !newer(e.announced, e.Progress) {
				e.announced = nil
			}
			if e.ended() {
				e.parts = nil
			}
			return false
		}, proto.Unmarshal(value, progress)
	}
	return func(e *Entry, _ bool) bool {
		e.Cancelled = true
		return false
	}, nil
}

// ordered is a record of which there may be several, the one with the highest epoch and number counts.
type ordered interface {
	GetEpoch() uint64
	GetNumber() uint64
}

// newer reports whether a has a higher epoch than b, or the same epoch and a higher number.
func newer(a, b ordered) bool {
	return cmp.Or(cmp.Compare(a.GetEpoch(), b.GetEpoch()), cmp.Compare(a.GetNumber(), b.GetNumber())) > 0
}

func (v *View) reportUnreadable(key string, err error) {
	if v.Unreadable != nil {
		v.Unreadable(key, err)
	}
}

// update applies f to the entry of a job, updates the pending counts and calls the listener.
func (v *View) update(id citron.JobID, f func(*Entry)) {
	s := v.shard(id)
	s.mu.Lock()
	if s.jobs == nil {
		s.jobs = map[citron.JobID]*Entry{}
	}
	e := s.jobs[id]
	if e == nil {
		e = &Entry{}
		s.jobs[id] = e
	}
	before, queue, former := e.pending(), e.Spec.GetQueue(), *e
	f(e)
	if e.ended() && len(e.Spec.GetSteps()) > 0 {
		e.Spec = Trimmed(e.Spec)
	}
	v.count(&former, e)
	if e.Spec == nil && e.Progress == nil && !e.Cancelled && len(e.parts) == 0 {
		delete(s.jobs, id)
	}
	after := *e
	s.mu.Unlock()
	if now := after.Spec.GetQueue(); queue == "" || now == "" || now == queue {
		v.countPending(citron.QueueName(cmp.Or(queue, now)), before, after.pending())
	} else {
		v.countPending(citron.QueueName(queue), before, false)
		v.countPending(citron.QueueName(now), false, after.pending())
	}
	v.mu.Lock()
	listener := v.listener
	v.mu.Unlock()
	if listener != nil && after.Spec != nil {
		listener(id, after)
	}
}

// count passes a change of an entry to the ledger.
func (v *View) count(before, after *Entry) {
	if v.Ledger == nil || before.Spec == after.Spec {
		return
	}
	switch {
	case after.Spec == nil:
		after.cost = admit.Use{}
	case len(after.Spec.GetSteps()) == 0:
		after.cost = admit.Use{Ended: admit.CostOf(after.Spec)}
	default:
		after.cost = admit.Use{Open: admit.CostOf(after.Spec)}
	}
	v.Ledger.Change(admit.AccountOf(before.Spec), before.cost.Negated())
	v.Ledger.Change(admit.AccountOf(after.Spec), after.cost)
}

// countPending updates the number of pending jobs of a queue after a change of one job.
func (v *View) countPending(q citron.QueueName, before, after bool) {
	if before == after {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pending == nil {
		v.pending = map[citron.QueueName]int{}
	}
	if after {
		v.pending[q]++
	} else {
		v.pending[q]--
	}
}
