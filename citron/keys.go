package citron

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Control streams, followed by every daemon.
const (
	// StreamTemplates holds the team templates.
	StreamTemplates Stream = "templates"
	// StreamOwners holds the ownership records of shards.
	StreamOwners Stream = "owners"
)

// Layout is the number of shards of each kind in a cell.
type Layout struct {
	// CallShards is the number of shards that hold endpoints and the request ids of non-repeatable calls.
	CallShards int
	// WorkerPools is the number of shards that hold workers and jobs.
	WorkerPools int
}

// CallShard returns the id of call shard n.
func CallShard(n int) ShardID {
	return ShardID(fmt.Sprintf("c%03d", n))
}

// WorkerPool returns the id of worker pool n.
func WorkerPool(n int) ShardID {
	return ShardID(fmt.Sprintf("w%03d", n))
}

// Shards returns the ids of all shards in the layout.
func (l Layout) Shards() []ShardID {
	shards := make([]ShardID, 0, l.CallShards+l.WorkerPools)
	for n := range l.CallShards {
		shards = append(shards, CallShard(n))
	}
	for n := range l.WorkerPools {
		shards = append(shards, WorkerPool(n))
	}
	return shards
}

// EndpointShard returns the shard that holds an endpoint.
func (l Layout) EndpointShard(endpoint Endpoint) ShardID {
	return CallShard(bucket(string(endpoint), l.CallShards))
}

// RequestShard returns the shard that holds the intents (write-ahead records) of a request.
func (l Layout) RequestShard(team Team, id RequestID) ShardID {
	return CallShard(bucket(string(team)+"/"+string(id), l.CallShards))
}

// RackPool returns the pool that holds the workers of a rack.
func (l Layout) RackPool(rack string) ShardID {
	return WorkerPool(bucket(rack, l.WorkerPools))
}

// JobPool returns the pool that holds a job.
func (l Layout) JobPool(job JobID) ShardID {
	return WorkerPool(bucket(string(job), l.WorkerPools))
}

// IsPool reports whether s is a worker pool.
func (s ShardID) IsPool() bool {
	return len(s) > 0 && s[0] == 'w'
}

// StreamOf returns the stream that holds the records of a shard.
func StreamOf(shard ShardID) Stream {
	return Stream("work-" + string(shard))
}

// Rank returns the rendezvous hash of a key and a VM; the VM with the highest rank is preferred for the key.
func Rank(key string, vm VMName) uint64 {
	return xxhash.Sum64String(key + "/" + string(vm))
}

// bucket maps key to a number in [0, n).
func bucket(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}
