// Package citron defines the ids, units, interfaces and errors shared by all parts of the scheduler. There are two kinds
// of daemon: that of package daemon keeps its state in the platform's log and runs calls and jobs, that of package entry
// keeps its state in the platform's store and runs jobs.
package citron

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

// Ids, each unique within one cell.
type (
	// VMName names a VM of any kind.
	VMName string
	// FailureDomain names a group of VMs that can fail together.
	FailureDomain string
	// Team names a tenant.
	Team string
	// Class names a kind of work of one team.
	Class string
	// Service names the group of endpoints that serve the calls of one or more teams.
	Service string
	// Endpoint names a backend that runs calls.
	Endpoint string
	// Worker names a VM that runs tasks.
	Worker string
	// RequestID is the idempotency key of a call or job.
	RequestID string
	// AttemptID names one attempt to run a call.
	AttemptID string
	// JobID names a job.
	JobID string
	// ShardID names a set of endpoints, workers and request ids that has one owner.
	ShardID string
	// Stream names a stream of the platform's log.
	Stream string
)

// Counters that only increase.
type (
	// Incarnation is the start time of a process in Unix milliseconds.
	Incarnation uint64
	// Epoch is the fencing token of a shard or pool; it increases with each change of owner or lease holder.
	Epoch uint64
	// StandbyNumber counts the standbys appointed for a shard over all epochs.
	StandbyNumber uint64
	// Offset is the position of a record in a stream, starting at 0.
	Offset int64
	// Version counts the accepted changes of a template or of the configuration.
	Version uint64
)

// Member identifies one incarnation of the daemon on a VM.
type Member struct {
	VM          VMName
	Incarnation Incarnation
}

// IsZero reports whether m names no member.
func (m Member) IsZero() bool {
	return m == Member{}
}

// Instant is a simultaneous reading of the boot clock and the wall clock.
type Instant struct {
	// Boot is the time since boot, including time suspended.
	Boot time.Duration
	// Wall is the wall-clock time.
	Wall time.Time
}

// Add returns i advanced by d on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Boot: i.Boot + d, Wall: i.Wall.Add(d)}
}

// ReachedEither reports whether at least one clock of now is at or past i. It is always true for the zero instant.
func (i Instant) ReachedEither(now Instant) bool {
	return now.Boot >= i.Boot || !now.Wall.Before(i.Wall)
}

// ReachedBoth reports whether both clocks of now are at or past i.
func (i Instant) ReachedBoth(now Instant) bool {
	return now.Boot >= i.Boot && !now.Wall.Before(i.Wall)
}

// Timer is the only source of time. Components subscribe to it instead of sleeping.
type Timer interface {
	// Now returns the current reading of both clocks.
	Now() Instant
	// After delivers one instant once d has passed; stop releases the subscription.
	After(d time.Duration) (c <-chan Instant, stop func())
	// Every delivers an instant once per period and drops ticks that the reader is too slow for.
	Every(period time.Duration) (c <-chan Instant, stop func())
}

// Batch is a sequence of consecutive records of one stream.
type Batch struct {
	// Oldest is the lowest offset that the log still retains.
	Oldest Offset
	// Start is the offset of Entries[0].
	Start Offset
	// End is the offset of the next append.
	End     Offset
	Entries []*record.Entry
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds entries atomically. After an error they may have been added or may still be added later.
	Append(ctx context.Context, stream Stream, entries []*record.Entry) (Offset, error)
	// Read returns entries starting at from and waits up to wait for the first one.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Batch, error)
}

// VMList is the platform's eventually consistent list of VMs.
type VMList interface {
	// List returns the VMs; a later call may return an older list.
	List(ctx context.Context) (*lab.VMList, error)
	// SetPower switches a worker VM on or off.
	SetPower(ctx context.Context, name VMName, on bool) error
}

// Call is an attempt to run a request on an endpoint.
type Call struct {
	Team        Team
	Class       Class
	RequestID   RequestID
	AttemptID   AttemptID
	ContentType string
	Body        []byte
	// RunBound is the maximum run time on the endpoint.
	RunBound time.Duration
}

// AnswerWriter receives a streamed answer.
type AnswerWriter interface {
	// WriteHead is called once, before any WriteChunk.
	WriteHead(status int, contentType string) error
	// WriteChunk writes a part of the body; the caller may reuse p afterwards.
	WriteChunk(p []byte) error
}

// Invoker sends calls to endpoints.
type Invoker interface {
	// Invoke runs a call. Sent reports whether any byte may have reached the endpoint. A nil error means that the
	// answer is complete.
	Invoke(ctx context.Context, address string, call Call, w AnswerWriter) (sent bool, err error)
	// InFlight returns the number of calls that an endpoint is running.
	InFlight(ctx context.Context, address string) (int, error)
}

// Runner manages task attempts on workers.
type Runner interface {
	// Sync starts, renews, stops and forgets attempts on one worker in a single exchange.
	Sync(ctx context.Context, address string, request *lab.SyncRequest) (*lab.SyncReply, error)
}

// Fold is a state machine replicated by replaying the records of one stream in order.
type Fold interface {
	// Apply applies the record at offset.
	Apply(offset Offset, entry *record.Entry)
	// Restore replaces the state with a snapshot.
	Restore(snapshot *record.Snapshot)
	// Snapshot returns the state as of the last applied record.
	Snapshot() *record.Snapshot
}
