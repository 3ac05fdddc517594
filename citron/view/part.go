package view

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// part is a part of the progress of a job and the partitions that hold it.
type part struct {
	key string
	// record is the encoded part: its tasks take many times their bytes when they are decoded.
	record  []byte
	order   partOrder
	sources sourceSet
}

// partOrder tells which of two records of a part is newer.
type partOrder struct{ epoch, number uint64 }

// GetEpoch returns the epoch of the holder that wrote the record.
func (o partOrder) GetEpoch() uint64 { return o.epoch }

// GetNumber returns the number of the record in its epoch.
func (o partOrder) GetNumber() uint64 { return o.number }

// Parts returns the parts of the progress. Which of them are valid is told by Progress.
func (e Entry) Parts() (list []*work.Part, err error) {
	for _, p := range e.parts {
		record := &work.Part{}
		if err := proto.Unmarshal(p.record, record); err != nil {
			return nil, err
		}
		list = append(list, record)
	}
	return list, nil
}

// applyPart applies a record of a part or its removal.
func (v *View) applyPart(id citron.JobID, r citron.KeyedRecord, source sourceSet) {
	if len(r.Value) == 0 {
		v.update(id, func(e *Entry) { e.removePart(r.Key, ^sourceSet(0)) })
		return
	}
	record := &work.Part{}
	if err := proto.Unmarshal(r.Value, record); err != nil {
		v.reportUnreadable(r.Key, err)
		return
	}
	v.update(id, func(e *Entry) {
		if !e.ended() {
			e.addPart(part{r.Key, r.Value, partOrder{record.GetEpoch(), record.GetNumber()}, source})
		}
	})
}

// addPart adds a part or replaces an older record of it.
func (e *Entry) addPart(added part) {
	n := e.findPart(added.key)
	if n < 0 {
		e.parts = append(slices.Clip(e.parts), added)
		return
	}
	e.parts = slices.Clone(e.parts)
	known := &e.parts[n]
	known.sources |= added.sources
	if newer(added.order, known.order) {
		known.record, known.order = added.record, added.order
	}
}

// removePart removes a part that no other partitions hold than the given ones.
func (e *Entry) removePart(key string, from sourceSet) {
	n := e.findPart(key)
	if n < 0 {
		return
	}
	e.parts = slices.Clone(e.parts)
	if e.parts[n].sources &^= from; e.parts[n].sources == 0 {
		e.parts = slices.Delete(e.parts, n, n+1)
	}
}

// findPart returns the index of the part with a key, or -1.
func (e *Entry) findPart(key string) int {
	return slices.IndexFunc(e.parts, func(p part) bool { return p.key == key })
}
