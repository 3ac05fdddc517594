package feed

import (
	"context"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stream/memory"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/record"
)

func ownershipEntry(base uint64, vm string) *record.Entry {
	c := &record.ShardChange{Shard: "c000", BaseEpoch: base, BaseStandbyNumber: base, Owner: &record.Member{VM: vm, Incarnation: 1}}
	return &record.Entry{Body: &record.Entry_Ownership{Ownership: &record.Ownership{Changes: []*record.ShardChange{c}}}}
}

// loadOwners loads the owners stream with a new follower.
func loadOwners(log citron.Log) (*state.Owners, error) {
	owners := &state.Owners{}
	f := &Follower{Log: log, Timer: timer.System{}, Stream: citron.StreamOwners, Fold: owners}
	return owners, f.Load(context.Background())
}

// Guards against a load that misses records which the log has deleted, or that applies a stale change after the snapshot.
func TestLoadStartsFromSnapshot(t *testing.T) {
	log := &memory.Log{Retain: 4}
	ctx := context.Background()
	add := func(e *record.Entry) {
		if _, err := log.Append(ctx, citron.StreamOwners, []*record.Entry{e}); err != nil {
			t.Fatal(err)
		}
	}
	add(ownershipEntry(0, "a"))
	add(ownershipEntry(1, "b"))
	owners, err := loadOwners(log)
	if err != nil {
		t.Fatal(err)
	}
	snapshot := owners.Snapshot()
	snapshot.AsOf = 1
	add(ownershipEntry(2, "c"))
	add(&record.Entry{Body: &record.Entry_Snapshot{Snapshot: snapshot}})
	// A late change with a stale base after the snapshot is ignored by a reader that starts at the snapshot.
	add(ownershipEntry(1, "d"))
	owners, err = loadOwners(log)
	if err != nil || owners.Get("c000").Owner.VM != "c" {
		t.Errorf("owner is %v, error %v; want owner c", owners.Get("c000").Owner, err)
	}
	// Two more records make the log delete record 2, which the snapshot does not cover.
	add(ownershipEntry(9, "x"))
	add(ownershipEntry(9, "x"))
	if _, err := loadOwners(log); err == nil {
		t.Error("a stream that has lost a record that the snapshot does not cover was loaded without an error")
	}
}

// Guards against a log that returns fewer records than a peer's state covers and so reverts the state.
func TestShorterLogDoesNotRevertState(t *testing.T) {
	log := &memory.Log{}
	owners := &state.Owners{}
	f := &Follower{Log: log, Timer: timer.System{}, Stream: citron.StreamOwners, Fold: owners}
	f.RestoreIfNewer(&record.Snapshot{Shards: []*record.ShardState{{Shard: "c000", Epoch: 5, Owner: &record.Member{VM: "a"}}}}, 7)
	if err := f.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if f.Next() != 7 || owners.Get("c000").Epoch != 5 {
		t.Errorf("state went to offset %d, epoch %d; want offset 7, epoch 5", f.Next(), owners.Get("c000").Epoch)
	}
}
