package view

import (
	"strings"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
)

// recordKind is one of the kinds of records that an entry consists of.
type recordKind int

const (
	jobRecord recordKind = iota
	cancelRecord
	progressRecord
	recordKinds
	// partRecord is a part of the progress; an entry has any number of them.
	partRecord = recordKinds
)

// keyPrefixes are the prefixes of the keys by kind.
var keyPrefixes = [recordKinds]string{pool.JobKey, pool.CancelKey, pool.ProgressKey}

// parseKey splits the key of a record. The key of a part also contains its index.
func parseKey(key string) (kind recordKind, id citron.JobID, ok bool) {
	if rest, found := strings.CutPrefix(key, pool.PartKey); found {
		name, _, found := strings.Cut(rest, "/")
		return partRecord, citron.JobID(name), found
	}
	if rest, found := strings.CutPrefix(key, pool.BriefKey); found {
		return jobRecord, citron.JobID(rest), true
	}
	for n, prefix := range keyPrefixes {
		if rest, found := strings.CutPrefix(key, prefix); found {
			return recordKind(n), citron.JobID(rest), true
		}
	}
	return 0, "", false
}

// sourceSet is a set of sources, one bit for each. The empty set stands for records that other daemons have sent.
type sourceSet uint64

// Source applies the records of one partition to a view. The view remembers which partitions hold a record, so that a
// load of a partition removes the records that the store has deleted meanwhile.
type Source struct {
	view *View
	bit  sourceSet
}

// NewSource returns a source for one partition. A view has at most 64 sources.
func (v *View) NewSource() *Source {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sources++
	return &Source{view: v, bit: 1 << (v.sources - 1)}
}

// HoldsJob reports whether the partition holds the record of a job as it was accepted.
func (s *Source) HoldsJob(id citron.JobID) bool {
	e, known := s.view.Get(id)
	return known && e.sources[jobRecord]&s.bit != 0
}

// Apply applies records of the partition. Fresh means that they include the newest record of every key.
func (s *Source) Apply(batch citron.KeyedBatch, fresh bool) {
	if fresh {
		s.removeMissing(batch)
	}
	for _, r := range batch.Records {
		s.view.apply(r, s.bit)
	}
}

// removeMissing removes the records that only this partition held and that are not in a fresh batch.
func (s *Source) removeMissing(batch citron.KeyedBatch) {
	present := make(map[string]bool, len(batch.Records))
	for _, r := range batch.Records {
		present[r.Key] = true
	}
	for n := range s.view.shards {
		for id, e := range s.view.shards[n].copyJobs() {
			for kind, prefix := range keyPrefixes {
				if key := prefix + string(id); e.sources[kind]&s.bit != 0 && !present[key] {
					s.view.removeFrom(recordKind(kind), id, s.bit)
				}
			}
			for _, part := range e.parts {
				if part.sources&s.bit != 0 && !present[part.key] {
					s.view.update(id, func(e *Entry) { e.removePart(part.key, s.bit) })
				}
			}
		}
	}
}

// removeFrom removes a record that a partition no longer holds, unless another partition holds it.
func (v *View) removeFrom(kind recordKind, id citron.JobID, source sourceSet) {
	v.update(id, func(e *Entry) {
		if e.sources[kind] &^= source; e.sources[kind] == 0 {
			e.remove(kind)
		}
	})
}
