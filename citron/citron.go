// Package citron holds the ids, units, interfaces and errors that every part of the scheduler shares.
package citron

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

// Named ids. Each is unique within one cell.
type (
	// VMName names a VM of any kind.
	VMName string
	// FailureDomain names a group of VMs that can be lost together.
	FailureDomain string
	// Team names a tenant.
	Team string
	// Class names one kind of work of a team.
	Class string
	// Service names the endpoints that answer the calls of one or more teams.
	Service string
	// Endpoint names a back end that runs calls.
	Endpoint string
	// Worker names a VM that runs tasks.
	Worker string
	// RequestID is the idempotency key of a call or job.
	RequestID string
	// AttemptID names one attempt to run a call.
	AttemptID string
	// JobID names a job.
	JobID string
	// ShardID names a group of endpoints, workers and request ids with one owner.
	ShardID string
	// Stream names one stream of the platform's log.
	Stream string
)

// Numbers that only grow.
type (
	// Incarnation is the start time of a process in milliseconds since 1970.
	Incarnation uint64
	// Epoch counts the owners of a shard.
	Epoch uint64
	// StandbyNumber counts the standbys of a shard over all epochs.
	StandbyNumber uint64
	// Offset is a place in a stream; the first record has offset 0.
	Offset int64
	// Version counts the accepted changes of one template.
	Version uint64
)

// Member is one run of the daemon on one VM.
type Member struct {
	VM          VMName
	Incarnation Incarnation
}

// IsZero reports whether no member is named.
func (m Member) IsZero() bool {
	return m == Member{}
}

// Instant is one reading of both clocks.
type Instant struct {
	// Boot is the time since boot, with suspends counted.
	Boot time.Duration
	// Wall is the wall clock.
	Wall time.Time
}

// Add returns the instant d later on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Boot: i.Boot + d, Wall: i.Wall.Add(d)}
}

// ReachedEither reports whether either clock of now has come to i. The zero instant is always reached.
func (i Instant) ReachedEither(now Instant) bool {
	return now.Boot >= i.Boot || !now.Wall.Before(i.Wall)
}

// ReachedBoth reports whether both clocks of now have come to i.
func (i Instant) ReachedBoth(now Instant) bool {
	return now.Boot >= i.Boot && !now.Wall.Before(i.Wall)
}

// Timer is the one source of time. Parts subscribe to it and never sleep.
type Timer interface {
	// Now reads both clocks.
	Now() Instant
	// After delivers one instant when d has passed; stop frees the subscription.
	After(d time.Duration) (c <-chan Instant, stop func())
	// Every delivers an instant each period; a slow reader misses ticks.
	Every(period time.Duration) (c <-chan Instant, stop func())
}

// Batch is a run of records of one stream.
type Batch struct {
	// Oldest is the oldest offset that the log still keeps.
	Oldest Offset
	// Start is the offset of Entries[0].
	Start Offset
	// End is the offset that the next append will get.
	End     Offset
	Entries []*record.Entry
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds entries in one step. An error leaves open whether they landed or will land later.
	Append(ctx context.Context, stream Stream, entries []*record.Entry) (Offset, error)
	// Read returns entries from an offset on and waits up to wait for the first one.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Batch, error)
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	// List returns one list; a later call can return an older list.
	List(ctx context.Context) (*lab.VMList, error)
	// SetPower switches a worker VM on or off.
	SetPower(ctx context.Context, name VMName, on bool) error
}

// Call is one attempt to run a request on an endpoint.
type Call struct {
	Team        Team
	Class       Class
	RequestID   RequestID
	AttemptID   AttemptID
	ContentType string
	Body        []byte
	// RunBound is the longest time that the endpoint may take.
	RunBound time.Duration
}

// AnswerWriter takes an answer part by part.
type AnswerWriter interface {
	// WriteHead comes first.
	WriteHead(status int, contentType string) error
	// WriteChunk adds a part of the body; the caller may reuse p.
	WriteChunk(p []byte) error
}

// Invoker sends calls to endpoints.
type Invoker interface {
	// Invoke runs one call. Sent reports whether any byte can have reached the endpoint. A nil error means the whole answer came.
	Invoke(ctx context.Context, address string, call Call, w AnswerWriter) (sent bool, err error)
	// InFlight asks an endpoint how many calls it is running.
	InFlight(ctx context.Context, address string) (int, error)
}

// Runner talks to workers.
type Runner interface {
	// Sync starts, renews, stops and forgets attempts on one worker in one message.
	Sync(ctx context.Context, address string, request *lab.SyncRequest) (*lab.SyncReply, error)
}

// Fold builds state from the records of one stream, in order.
type Fold interface {
	// Apply takes in the record at an offset.
	Apply(offset Offset, entry *record.Entry)
	// Restore replaces the state by a snapshot.
	Restore(snapshot *record.Snapshot)
	// Snapshot returns the state after the last applied record.
	Snapshot() *record.Snapshot
}
