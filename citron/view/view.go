// Package view keeps what the store says of all jobs. Every daemon has one and answers callers from it.
package view

import (
	"cmp"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/work"
)

// shards is the number of locks over which the jobs are spread.
const shards = 16

// Entry is what is known of one job. A field is nil where no record of that kind has been read.
type Entry struct {
	Spec      *work.Job
	Progress  *work.Progress
	Cancelled bool
}

// Records returns the entry as the store holds it.
func (e Entry) Records(id citron.JobID) (records []citron.KeyedRecord, err error) {
	spec, err := proto.Marshal(e.Spec)
	if err != nil {
		return nil, err
	}
	records = append(records, citron.KeyedRecord{Key: pool.JobKey + string(id), Value: spec})
	if e.Progress != nil {
		progress, err := proto.Marshal(e.Progress)
		if err != nil {
			return nil, err
		}
		records = append(records, citron.KeyedRecord{Key: pool.ProgressKey + string(id), Value: progress})
	}
	if e.Cancelled {
		records = append(records, citron.KeyedRecord{Key: pool.CancelKey + string(id), Value: []byte{1}})
	}
	return records, nil
}

// State is what callers see.
func (e Entry) State() work.State {
	if s := e.Progress.GetState(); pool.IsTerminal(s) {
		return s
	}
	if e.Cancelled {
		return work.State_STATE_CANCELLED
	}
	return e.Progress.GetState()
}

// pending reports whether the job waits and nothing of it has started.
func (e Entry) pending() bool {
	return e.Spec != nil && e.State() == work.State_STATE_QUEUED && e.Spec.GetSchedule().GetRepeats() == 0
}

// View is the state of all jobs. The zero value works.
type View struct {
	// Unreadable, if set, is called for each record that cannot be decoded; it is passed over.
	Unreadable func(key string, err error)

	shards [shards]shard

	mu      sync.Mutex
	pending map[citron.QueueName]int
	// listener is called with each job that a record changes.
	listener func(id citron.JobID, e Entry)
}

type shard struct {
	mu   sync.RWMutex
	jobs map[citron.JobID]*Entry
}

func (v *View) shard(id citron.JobID) *shard {
	return &v.shards[xxhash.Sum64String(string(id))%shards]
}

// Get returns what is known of a job.
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

// Pending returns the number of jobs of a queue of which nothing has started.
func (v *View) Pending(q citron.QueueName) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pending[q]
}

// SetListener passes every known job and every later change to f, until it is replaced. A change may be passed twice.
func (v *View) SetListener(f func(id citron.JobID, e Entry)) {
	v.mu.Lock()
	v.listener = f
	v.mu.Unlock()
	if f == nil {
		return
	}
	for n := range v.shards {
		for id, e := range v.shards[n].all() {
			f(id, e)
		}
	}
}

func (s *shard) all() map[citron.JobID]Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	copied := make(map[citron.JobID]Entry, len(s.jobs))
	for id, e := range s.jobs {
		copied[id] = *e
	}
	return copied
}

// Apply takes in records of the intake or of the holder.
func (v *View) Apply(batch citron.KeyedBatch, _ bool) {
	for _, r := range batch.Records {
		v.apply(r)
	}
}

func (v *View) apply(r citron.KeyedRecord) {
	if id, ok := strings.CutPrefix(r.Key, pool.JobKey); ok {
		v.applyJob(citron.JobID(id), r)
	} else if id, ok := strings.CutPrefix(r.Key, pool.CancelKey); ok {
		v.change(citron.JobID(id), func(e *Entry) { e.Cancelled = len(r.Value) > 0 })
	} else if id, ok := strings.CutPrefix(r.Key, pool.ProgressKey); ok {
		v.applyProgress(citron.JobID(id), r)
	}
}

// applyJob takes in a declaration; the first one of an id counts.
func (v *View) applyJob(id citron.JobID, r citron.KeyedRecord) {
	if len(r.Value) == 0 {
		v.change(id, func(e *Entry) { e.Spec = nil })
		return
	}
	var spec work.Job
	if err := proto.Unmarshal(r.Value, &spec); err != nil {
		v.unreadable(r.Key, err)
		return
	}
	v.change(id, func(e *Entry) {
		if e.Spec == nil {
			e.Spec = &spec
		}
	})
}

func (v *View) applyProgress(id citron.JobID, r citron.KeyedRecord) {
	if len(r.Value) == 0 {
		v.change(id, func(e *Entry) { e.Progress = nil })
		return
	}
	var progress work.Progress
	if err := proto.Unmarshal(r.Value, &progress); err != nil {
		v.unreadable(r.Key, err)
		return
	}
	v.change(id, func(e *Entry) {
		// The same records come from the store and, sooner, from the holder; and they may lie in several partitions.
		if e.Progress == nil || newer(&progress, e.Progress) {
			e.Progress = &progress
		}
	})
}

func newer(a, b *work.Progress) bool {
	return cmp.Or(cmp.Compare(a.GetEpoch(), b.GetEpoch()), cmp.Compare(a.GetNumber(), b.GetNumber())) > 0
}

func (v *View) unreadable(key string, err error) {
	if v.Unreadable != nil {
		v.Unreadable(key, err)
	}
}

func (v *View) change(id citron.JobID, f func(*Entry)) {
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
	before, queue := e.pending(), e.Spec.GetQueue()
	f(e)
	if e.Spec == nil && e.Progress == nil && !e.Cancelled {
		delete(s.jobs, id)
	}
	after := *e
	s.mu.Unlock()
	if queue == "" {
		queue = after.Spec.GetQueue()
	}
	v.count(citron.QueueName(queue), before, after.pending())
	v.mu.Lock()
	listener := v.listener
	v.mu.Unlock()
	if listener != nil && after.Spec != nil {
		listener(id, after)
	}
}

func (v *View) count(q citron.QueueName, before, after bool) {
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
