// Package state folds the records of the log's streams into what the daemons agree on.
package state

import (
	"sync"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/schema/record"
)

// Owners is the agreed ownership of every shard. The zero value is an empty cell.
type Owners struct {
	// Changed is called, without the lock, for each shard that got a newer state.
	Changed func(shard.State)

	mu     sync.RWMutex
	shards map[citron.ShardID]shard.State
}

var _ citron.Fold = (*Owners)(nil)

// Apply takes in one ownership record. Changes whose base does not hold are void.
func (o *Owners) Apply(_ citron.Offset, entry *record.Entry) {
	for _, c := range entry.GetOwnership().GetChanges() {
		o.apply(shard.ChangeOf(c))
	}
}

// Restore replaces the state by a snapshot.
func (o *Owners) Restore(snapshot *record.Snapshot) {
	for _, r := range snapshot.GetShards() {
		o.set(shard.StateOf(r))
	}
}

// Snapshot returns the state of every shard.
func (o *Owners) Snapshot() *record.Snapshot {
	o.mu.RLock()
	defer o.mu.RUnlock()
	snapshot := &record.Snapshot{}
	for _, s := range o.shards {
		snapshot.Shards = append(snapshot.Shards, s.Record())
	}
	return snapshot
}

// Get returns the state of one shard; the zero state stands for one without an owner.
func (o *Owners) Get(id citron.ShardID) shard.State {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s, ok := o.shards[id]
	if !ok {
		return shard.State{Shard: id}
	}
	return s
}

// All returns a copy of every known state.
func (o *Owners) All() []shard.State {
	o.mu.RLock()
	defer o.mu.RUnlock()
	all := make([]shard.State, 0, len(o.shards))
	for _, s := range o.shards {
		all = append(all, s)
	}
	return all
}

func (o *Owners) apply(c shard.Change) {
	next, valid := o.Get(c.Shard).Apply(c)
	if valid {
		o.set(next)
	}
}

func (o *Owners) set(s shard.State) {
	o.mu.Lock()
	if o.shards == nil {
		o.shards = map[citron.ShardID]shard.State{}
	}
	o.shards[s.Shard] = s
	o.mu.Unlock()
	if o.Changed != nil {
		o.Changed(s)
	}
}
