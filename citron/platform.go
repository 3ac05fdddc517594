package citron

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors returned by the platform's store, workers and policy service.
var (
	// ErrRejected means that the remote side rejected the request and it had no effect.
	ErrRejected = errors.New("request rejected, nothing was done")
	// ErrUnstorable means that the store refuses the records themselves and will do so again.
	ErrUnstorable = errors.New("records refused for good")
	// ErrFenced means that another daemon has already used a higher epoch.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrConflict means that the condition of an append does not hold.
	ErrConflict = errors.New("append condition does not hold")
	// ErrRefused means that nothing listens at the remote address, for example since the process has ended.
	ErrRefused = errors.New("connection refused")
	// ErrFormerLife means that an order was not sent, since the life of the worker that it was meant for has ended.
	ErrFormerLife = errors.New("the worker has restarted since")
	// ErrWorkerGone means that a worker has restarted or left; its runs have ended.
	ErrWorkerGone = errors.New("worker has restarted or left")
)

// SequenceError means that an append had a sequence number other than the one expected from its producer.
type SequenceError struct {
	Expected int64
}

// Error returns the expected sequence number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}

// Ids of the job model and the store.
type (
	// QueueName names a queue of jobs.
	QueueName string
	// StepRef names a step of one occurrence of a job.
	StepRef string
	// TaskRef names a task of a step.
	TaskRef string
	// Rack names a group of workers behind one switch.
	Rack string
	// Topic names a compacted stream of the store, which keeps the newest value of each key.
	Topic string
)

// Job returns the job that a task belongs to.
func (t TaskRef) Job() JobID {
	id, _, _ := strings.Cut(string(t), ".")
	return JobID(id)
}

// Capacity is an amount of resources that a worker has or a task needs.
type Capacity struct {
	MilliCores   int64
	MemoryMb     int64
	Accelerators int64
}

// Add returns c plus o.
func (c Capacity) Add(o Capacity) Capacity {
	return Capacity{c.MilliCores + o.MilliCores, c.MemoryMb + o.MemoryMb, c.Accelerators + o.Accelerators}
}

// Sub returns c minus o.
func (c Capacity) Sub(o Capacity) Capacity {
	return Capacity{c.MilliCores - o.MilliCores, c.MemoryMb - o.MemoryMb, c.Accelerators - o.Accelerators}
}

// Times returns n times c.
func (c Capacity) Times(n int) Capacity {
	return Capacity{c.MilliCores * int64(n), c.MemoryMb * int64(n), c.Accelerators * int64(n)}
}

// AtLeastZero returns c with 0 in place of negative amounts.
func (c Capacity) AtLeastZero() Capacity {
	return Capacity{max(c.MilliCores, 0), max(c.MemoryMb, 0), max(c.Accelerators, 0)}
}

// Fits reports whether need fits into c.
func (c Capacity) Fits(need Capacity) bool {
	return c.MilliCores >= need.MilliCores && c.MemoryMb >= need.MemoryMb && c.Accelerators >= need.Accelerators
}

// MaxCopies returns how many times need fits into c.
func (c Capacity) MaxCopies(need Capacity) int {
	copies := int64(1 << 30)
	for _, d := range [3][2]int64{
		{c.MilliCores, need.MilliCores},
		{c.MemoryMb, need.MemoryMb},
		{c.Accelerators, need.Accelerators},
	} {
		if d[1] > 0 {
			copies = min(copies, d[0]/d[1])
		}
	}
	return int(max(copies, 0))
}

// AdviceTiming is the cost of a request to the policy service and the validity of its answer.
type AdviceTiming struct {
	// Decision is the fixed cost of a request; PerWorker is added for each worker in it.
	Decision  time.Duration
	PerWorker time.Duration
	// Validity is how long the answer may be used.
	Validity time.Duration
}

// Queue is the configuration of a queue that accepts jobs.
type Queue struct {
	Name    QueueName
	Host    string
	Prefix  string
	Service Service
	// Priority orders queues; 0 is the highest.
	Priority int
	// Attempts is the number of failures of a task after which its job fails.
	Attempts int
	// Stretch and Target set a job's latency objective: Stretch * (run time of its longest chain of steps) + Target.
	Stretch float64
	Target  time.Duration
	// Advice is set if the policy service decides which workers may run a step.
	Advice *AdviceTiming
	// Public is set if callers need no key.
	Public bool
}

// Config is a version of the operator's configuration.
type Config struct {
	Version Version
	Queues  []Queue
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// TeamsInForce is set if callers of queues that are not public need a team's key.
	TeamsInForce bool
	// Teams are sorted by name. Keys holds the team of each key.
	Teams []TeamTerms
	Keys  map[KeyDigest]Team
}

// FindQueue returns the queue of a host with the longest prefix of path, and the rest of path after the prefix.
func (c *Config) FindQueue(host, path string) (q Queue, rest string, ok bool) {
	longest := -1
	for _, candidate := range c.Queues {
		if candidate.Host == host && strings.HasPrefix(path, candidate.Prefix) && len(candidate.Prefix) > longest {
			q, rest, ok = candidate, path[len(candidate.Prefix):], true
			longest = len(candidate.Prefix)
		}
	}
	return q, rest, ok
}

// WorkerEntry describes a worker as the worker registered itself.
type WorkerEntry struct {
	ID Worker
	// Incarnation tells the lives of a worker under one id apart; 0 if the worker does not tell.
	Incarnation   Incarnation
	Address       string
	Service       Service
	FailureDomain FailureDomain
	Rack          Rack
	Labels        []string
	Capacity      Capacity
	// Draining is set if the worker accepts no new tasks; Remaining is the minimum time until it leaves.
	Draining  bool
	Remaining time.Duration
}

// HasLabel reports whether the worker has a label; every worker has the empty one.
func (w *WorkerEntry) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Partition identifies a partition of a topic.
type Partition struct {
	Topic  Topic
	Number int
}

// KeyedRecord is a record of a topic; an empty value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Size returns the number of bytes of the key and the value.
func (r KeyedRecord) Size() int {
	return len(r.Key) + len(r.Value)
}

// SizeOf returns the total size of records.
func SizeOf(records []KeyedRecord) (bytes int) {
	for _, r := range records {
		bytes += r.Size()
	}
	return bytes
}

// Condition makes an append conditional. The zero value sets no condition.
type Condition struct {
	// ExpectedOffset, if set, is the only offset at which the records may be written.
	ExpectedOffset *Offset
	// Producer, if not empty, makes the store reject lower epochs and drop repeated sequence numbers.
	Producer string
	Epoch    Epoch
	Sequence int64
}

// KeyedBatch is a sequence of consecutive records of one partition.
type KeyedBatch struct {
	Start   Offset
	Records []KeyedRecord
	// End is the offset of the next append.
	End Offset
}

// Store is the platform's store. It never loses an acknowledged record.
//
// Every method returns ErrRejected if the store rejected the request and ErrUnavailable if the effect is unknown.
type Store interface {
	// Append adds records atomically and returns the offset after the last one. It returns ErrFenced for a lower epoch
	// and ErrConflict if the condition does not hold, and ErrUnstorable if it does not accept the records at any time.
	Append(ctx context.Context, p Partition, records []KeyedRecord, c Condition) (Offset, error)
	// Read returns records starting at from and waits up to wait for the first one. It returns ErrRecordsDeleted if
	// records at from have been deleted.
	Read(ctx context.Context, p Partition, from Offset, wait time.Duration) (KeyedBatch, error)
	// NewestPage returns the newest records of the keys that follow after, up to the size of a page; an empty after
	// returns the first page.
	NewestPage(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// NewestPage is one page of the newest records of a partition, in the order of their keys. Each page is a snapshot of its
// own time.
type NewestPage struct {
	Records []KeyedRecord
	// End is the offset of the next append at the time of the page.
	End Offset
	// More is set if other keys follow the last one of Records.
	More bool
}

// StartOrder starts a run of a task.
type StartOrder struct {
	Task    TaskRef
	Run     int32
	Payload string
	// PayloadOmitted is set if the payload is not known yet. Such an order can only be relayed.
	PayloadOmitted bool
	Checkpoint     string
	Ticket         string
	// Epoch is the fencing token, as in the other orders.
	Epoch Epoch
	// Deadline is on the worker's clock; the worker refuses an order that arrives later.
	Deadline time.Duration
}

// StopOrder stops a run of a task.
type StopOrder struct {
	Task  TaskRef
	Run   int32
	Epoch Epoch
}

// RenewOrder renews the lease of all runs on a worker and requests a report on them.
type RenewOrder struct {
	Epoch Epoch
	// Deadline is the new end of the lease on the worker's clock; zero does not renew the lease.
	Deadline time.Duration
	// Acked is the number of the last ended run that has been recorded.
	Acked int64
	// Wait is the long-poll time: how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// StartOutcome is a worker's answer to a start order.
type StartOutcome int

// Outcomes of a start order. All except Started and StartUnknown mean that nothing was started.
const (
	StartUnknown StartOutcome = iota
	Started
	// StartFenced means that another daemon has used a higher epoch on this worker.
	StartFenced
	// StartStale means that the worker has already seen this run or a later one of the task.
	StartStale
	// StartLate means that the order arrived after its deadline.
	StartLate
	// StartNoCapacity means that the worker has too little free capacity.
	StartNoCapacity
	// StartNoTicket means that the ticket is missing or has expired.
	StartNoTicket
	// StartUnhealthy means that the worker accepts no runs at the moment.
	StartUnhealthy
	// StartGone means that the worker has restarted.
	StartGone
	// StartMalformed means that the worker rejected the order as malformed.
	StartMalformed
)

// EndKind is the way in which a run ended.
type EndKind string

// Kinds of ends of a run.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangTimeout means that the other members of the gang did not start in time.
	EndGangTimeout EndKind = "alone"
)

// RunningTask is a run in progress on a worker.
type RunningTask struct {
	Task       TaskRef
	Run        int32
	Checkpoint string
	Percent    int
}

// EndedTask is a run that ended on a worker and has not been acknowledged yet.
type EndedTask struct {
	// Number counts the ended runs of one incarnation of the worker.
	Number     int64
	Task       TaskRef
	Run        int32
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is a worker's answer to a renew order.
type WorkerReport struct {
	// Incarnation is the life of the worker that answered; 0 if the worker does not tell.
	Incarnation Incarnation
	// Partial is set if more runs may have ended than are listed.
	Partial bool
	Running []RunningTask
	Ended   []EndedTask
}

// Workers sends orders to workers. Every method also returns the worker's clock.
type Workers interface {
	// Start starts a run. It returns ErrRejected if the order was not sent.
	Start(ctx context.Context, w *WorkerEntry, o StartOrder) (StartOutcome, time.Duration, error)
	// Stop stops a run. A nil error means that the run has ended, is ending or will never start.
	Stop(ctx context.Context, w *WorkerEntry, o StopOrder) (time.Duration, error)
	// Renew renews the lease and returns the running and the ended runs.
	Renew(ctx context.Context, w *WorkerEntry, o RenewOrder) (WorkerReport, time.Duration, error)
}

// Permit allows a step to run on a worker.
type Permit struct {
	Worker Worker
	Ticket string
}

// Adviser is a client of the policy service, which decides which workers may run a step.
type Adviser interface {
	// Advise returns permits for those workers that may run the step, and how long their tickets are valid. It returns
	// ErrRejected if too many requests are waiting.
	Advise(ctx context.Context, step StepRef, workers []Worker) ([]Permit, time.Duration, error)
}

// Machine names the hardware that a worker runs on; it stays the same when the worker restarts.
type Machine string

// MachineState is the state of a machine as reported by the platform.
type MachineState int

// States of a machine.
const (
	// MachineUnavailable means neither up nor in upkeep: off, moving, or in a state unknown to this version.
	MachineUnavailable MachineState = iota
	MachineUp
	MachineUpkeep
)

// MachineEntry is a machine in the platform's list.
type MachineEntry struct {
	Machine Machine
	State   MachineState
	// Worker is the worker on the machine, empty if there is none.
	Worker Worker
}

// Wave requests the upkeep of Machines within TimeLimit, with at most MaxDown of them down at once.
type Wave struct {
	Number    int64
	Machines  []Machine
	TimeLimit time.Duration
	MaxDown   int
}

// UpkeepOrder takes a machine down for a wave.
type UpkeepOrder struct {
	Machine Machine
	Wave    int64
	Holder  VMName
	Epoch   Epoch
}

// UpkeepOutcome is the platform's answer to an upkeep order.
type UpkeepOutcome int

// Outcomes of an upkeep order.
const (
	// UpkeepUnknown means that there was no answer: upkeep may have begun or may still begin.
	UpkeepUnknown UpkeepOutcome = iota
	// UpkeepBegan means that upkeep has begun, through this order or an earlier one.
	UpkeepBegan
	// UpkeepBusy means that the machine is not up or the platform accepts no more orders at the moment. Nothing was done.
	UpkeepBusy
	// UpkeepNotApplicable means that the machine does not exist or is not part of the wave.
	UpkeepNotApplicable
	// UpkeepFenced means that a lease holder with a higher epoch has sent an order for the machine.
	UpkeepFenced
)

var upkeepOutcomes = [...]string{"unknown", "began", "busy", "needless", "fenced"}

func (o UpkeepOutcome) String() string { return upkeepOutcomes[o] }

// Machines is a client of the platform's machine service.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]MachineEntry, error)
	// Upkeep takes a machine down, which ends everything that runs on it.
	Upkeep(ctx context.Context, o UpkeepOrder) (UpkeepOutcome, error)
	// ReportWave reports to the operator whether a wave is still running or completed.
	ReportWave(ctx context.Context, wave int64, completed bool) error
}
