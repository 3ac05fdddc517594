// Package state builds the replicated state of shard owners, templates, jobs and calls from the streams of the log.
package state

import (
	"sync"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/shard"
	"github.com/citroncross/citroncross/schema/record"
)

// Owners is the replicated ownership of every shard. The zero value has no shards.
type Owners struct {
	// Changed is called for each shard whose state was set; the lock is not held.
	Changed func(shard.State)

	mu     sync.RWMutex
	shards map[citron.ShardID]shard.State
}

var _ citron.Fold = (*Owners)(nil)

// Apply applies one ownership record. Changes whose base is not the current state of the shard are ignored.
func (o *Owners) Apply(_ citron.Offset, entry *record.Entry) {
	for _, c := range entry.GetOwnership().GetChanges() {
		o.apply(shard.ChangeOf(c))
	}
}

// Restore sets the state of every shard in a snapshot.
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

// Get returns the state of one shard. An unknown shard has no owner.
func (o *Owners) Get(id citron.ShardID) shard.State {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s, ok := o.shards[id]
	if !ok {
		return shard.State{Shard: id}
	}
	return s
}

// All returns the states of all known shards.
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
