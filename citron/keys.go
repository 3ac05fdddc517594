package citron

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Control streams that every daemon follows.
const (
	// StreamTemplates holds the team templates.
	StreamTemplates Stream = "templates"
	// StreamOwners holds the ownership of shards.
	StreamOwners Stream = "owners"
)

// Layout says how many shards of each kind a cell has.
type Layout struct {
	// CallShards hold endpoints and the request ids of non-repeatable calls.
	CallShards int
	// WorkerPools hold workers and jobs.
	WorkerPools int
}

// CallShard returns the shard with number n.
func CallShard(n int) ShardID {
	return ShardID(fmt.Sprintf("c%03d", n))
}

// WorkerPool returns the pool with number n.
func WorkerPool(n int) ShardID {
	return ShardID(fmt.Sprintf("w%03d", n))
}

// Shards lists every shard of the layout.
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

// RequestShard returns the shard that holds the intents of a request.
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

// IsPool reports whether a shard is a pool of workers.
func (s ShardID) IsPool() bool {
	return len(s) > 0 && s[0] == 'w'
}

// StreamOf returns the stream that holds the work of a shard.
func StreamOf(shard ShardID) Stream {
	return Stream("work-" + string(shard))
}

// Rank orders members for a key; the member with the highest rank is preferred.
func Rank(key string, vm VMName) uint64 {
	return xxhash.Sum64String(key + "/" + string(vm))
}

func bucket(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}
