package citron

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of the platform's store and workers.
var (
	// ErrRejected means that the other side refused and nothing was done.
	ErrRejected = errors.New("refused, nothing done")
	// ErrFenced means that another daemon has used a higher epoch.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrConflict means that the condition of an append does not hold.
	ErrConflict = errors.New("condition does not hold")
	// ErrWorkerGone means that a worker has restarted or left; what ran there has ended.
	ErrWorkerGone = errors.New("worker has restarted")
)

// SequenceError means that the store expects another number of the producer's next append.
type SequenceError struct {
	Expected int64
}

// Error describes the error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}

// Names of the job model.
type (
	// QueueName names one entry that takes jobs of one kind.
	QueueName string
	// StepRef names one step of one occurrence of a job.
	StepRef string
	// TaskRef names one task of one step.
	TaskRef string
	// Rack names a group of workers behind one switch.
	Rack string
	// Topic names one stream of the store that keeps the newest value of each key.
	Topic string
)

// Capacity is what a worker has or a task needs.
type Capacity struct {
	MilliCores   int64
	MemoryMb     int64
	Accelerators int64
}

// Add returns the sum.
func (c Capacity) Add(o Capacity) Capacity {
	return Capacity{c.MilliCores + o.MilliCores, c.MemoryMb + o.MemoryMb, c.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (c Capacity) Sub(o Capacity) Capacity {
	return Capacity{c.MilliCores - o.MilliCores, c.MemoryMb - o.MemoryMb, c.Accelerators - o.Accelerators}
}

// Fits reports whether c is enough for need.
func (c Capacity) Fits(need Capacity) bool {
	return c.MilliCores >= need.MilliCores && c.MemoryMb >= need.MemoryMb && c.Accelerators >= need.Accelerators
}

// MaxCopies returns how often need fits into c.
func (c Capacity) MaxCopies(need Capacity) int {
	times := int64(1 << 30)
	for _, d := range [3][2]int64{
		{c.MilliCores, need.MilliCores},
		{c.MemoryMb, need.MemoryMb},
		{c.Accelerators, need.Accelerators},
	} {
		if d[1] > 0 {
			times = min(times, d[0]/d[1])
		}
	}
	return int(max(times, 0))
}

// AdviceTiming says what one question to the policy service costs and how long its answer holds.
type AdviceTiming struct {
	Decision  time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Queue is one entry that takes jobs, as the operator configured it.
type Queue struct {
	Name    QueueName
	Host    string
	Prefix  string
	Service Service
	// Priority 0 comes first.
	Priority int
	// Attempts is how often a task may fail before its job fails.
	Attempts int
	// Stretch times the longest chain of work, plus Target, is the objective of a job.
	Stretch float64
	Target  time.Duration
	// Advice is set where a policy service decides which workers may run a step.
	Advice *AdviceTiming
}

// Config is one version of the operator's configuration.
type Config struct {
	Version Version
	Queues  []Queue
	// MaxBody bounds the body of one request in bytes.
	MaxBody int64
}

// FindQueue returns the queue with the longest prefix of path on a host, and what follows the prefix.
func (c *Config) FindQueue(host, path string) (q Queue, rest string, ok bool) {
	longest := -1
	for _, one := range c.Queues {
		if one.Host == host && strings.HasPrefix(path, one.Prefix) && len(one.Prefix) > longest {
			q, rest, ok = one, path[len(one.Prefix):], true
			longest = len(one.Prefix)
		}
	}
	return q, rest, ok
}

// WorkerEntry is what a worker says about itself.
type WorkerEntry struct {
	ID            Worker
	Address       string
	Service       Service
	FailureDomain FailureDomain
	Rack          Rack
	Labels        []string
	Capacity      Capacity
	// Draining workers take no new task; Remaining is the shortest time until they leave.
	Draining  bool
	Remaining time.Duration
}

// HasLabel reports whether the worker carries a label; every worker carries the empty one.
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

// Partition is one partition of a topic.
type Partition struct {
	Topic  Topic
	Number int
}

// KeyedRecord is one record; an empty value removes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Condition restricts an append. The zero value restricts nothing.
type Condition struct {
	// ExpectedOffset, if set, is the only offset at which the append may land.
	ExpectedOffset *Offset
	// Producer, if not empty, makes the store refuse lower epochs and drop repeated numbers.
	Producer string
	Epoch    Epoch
	Sequence int64
}

// KeyedBatch is a run of records of one partition.
type KeyedBatch struct {
	Start   Offset
	Records []KeyedRecord
	// End is the offset that the next append will get.
	End Offset
}

// Store is the platform's store. It loses nothing that it has acknowledged.
//
// Every method returns ErrNotDone where the store refused, and ErrUnavailable where the effect is unknown.
type Store interface {
	// Append adds records in one step and returns the offset behind them. It returns ErrFenced for a lower epoch
	// and ErrConflict where the condition does not hold.
	Append(ctx context.Context, p Partition, records []KeyedRecord, c Condition) (Offset, error)
	// Read returns records from an offset on and waits for the first. It returns ErrLost for deleted records.
	Read(ctx context.Context, p Partition, from Offset, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key and an offset from which reading on misses nothing.
	Newest(ctx context.Context, p Partition) (KeyedBatch, error)
}

// StartOrder starts one run of one task.
type StartOrder struct {
	Task       TaskRef
	Run        int32
	Payload    string
	Checkpoint string
	Ticket     string
	Epoch      Epoch
	// Deadline is on the worker's clock; an order that arrives later does nothing.
	Deadline time.Duration
}

// StopOrder ends one run of one task.
type StopOrder struct {
	Task  TaskRef
	Run   int32
	Epoch Epoch
}

// RenewOrder renews the lease of everything on a worker and asks what runs there.
type RenewOrder struct {
	Epoch Epoch
	// Deadline is on the worker's clock; zero renews nothing.
	Deadline time.Duration
	// Acked is the number of the last end that is recorded.
	Acked int64
	// Wait is how long the worker may hold its answer back for a task to end.
	Wait time.Duration
}

// StartOutcome is a worker's answer to a start.
type StartOutcome int

// Answers to a start. All but Started and StartUnknown mean that nothing was done.
const (
	StartUnknown StartOutcome = iota
	Started
	// StartFenced: another daemon has used a higher epoch on this worker.
	StartFenced
	// StartStale: this run or a later one was there before.
	StartStale
	// StartLate: the order arrived after its deadline.
	StartLate
	// StartNoCapacity: the worker has no room left.
	StartNoCapacity
	// StartNoTicket: the ticket is missing or has lapsed.
	StartNoTicket
	// StartUnhealthy: the worker takes nothing at the moment.
	StartUnhealthy
	// StartGone: the worker has restarted.
	StartGone
	// StartMalformed: the worker found the order malformed.
	StartMalformed
)

// EndKind is how a run ended.
type EndKind string

// Ways in which a run ends.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken: another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangTimeout: the other members of the gang did not come in time.
	EndGangTimeout EndKind = "alone"
)

// RunningTask is one run on a worker.
type RunningTask struct {
	Task       TaskRef
	Run        int32
	Checkpoint string
	Percent    int
}

// EndedTask is one run that ended on a worker and has not been acknowledged.
type EndedTask struct {
	// Number counts the ends of one life of a worker.
	Number     int64
	Task       TaskRef
	Run        int32
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is a worker's answer to a hold.
type WorkerReport struct {
	// Partial is set where more runs may have ended than are listed.
	Partial bool
	Running []RunningTask
	Ended   []EndedTask
}

// Workers reaches the workers. Every answer carries the worker's clock.
type Workers interface {
	// Start starts one run.
	Start(ctx context.Context, w *WorkerEntry, o StartOrder) (StartOutcome, time.Duration, error)
	// Stop ends one run. After a nil error the run has ended, is ending, or will never start.
	Stop(ctx context.Context, w *WorkerEntry, o StopOrder) (time.Duration, error)
	// Renew renews the lease and returns what runs and what ended.
	Renew(ctx context.Context, w *WorkerEntry, o RenewOrder) (WorkerReport, time.Duration, error)
}

// Permit allows one step on one worker.
type Permit struct {
	Worker Worker
	Ticket string
}

// Adviser asks the policy service which workers may run a step.
type Adviser interface {
	// Advise names those of the workers that may run the step, and how long the tickets hold. It returns ErrNotDone
	// where too many questions wait.
	Advise(ctx context.Context, step StepRef, workers []Worker) ([]Permit, time.Duration, error)
}

// Machine names the hardware that a worker runs on, over all its lives.
type Machine string

// MachineState is what the platform says of a machine.
type MachineState int

// States of a machine.
const (
	// MachineUnavailable is neither up nor in upkeep: it is off, moving, or in a state that is not known here.
	MachineUnavailable MachineState = iota
	MachineUp
	MachineUpkeep
)

// MachineEntry is one machine in the platform's list.
type MachineEntry struct {
	Machine Machine
	State   MachineState
	// Worker is the machine's worker; empty while it has none.
	Worker Worker
}

// Wave asks for the upkeep of machines within a time, with at most so many down at once.
type Wave struct {
	Number    int64
	Machines  []Machine
	TimeLimit time.Duration
	MaxDown   int
}

// UpkeepOrder takes one machine down for a wave.
type UpkeepOrder struct {
	Machine Machine
	Wave    int64
	Holder  VMName
	Epoch   Epoch
}

// UpkeepOutcome is the answer to an upkeep order.
type UpkeepOutcome int

// Outcomes of an upkeep order.
const (
	// UpkeepUnknown: no answer; it may have begun, or begin yet.
	UpkeepUnknown UpkeepOutcome = iota
	// UpkeepBegan: it has begun, now or by an earlier order.
	UpkeepBegan
	// UpkeepBusy: the machine is not up, or the platform takes no more orders at the moment. Nothing was done.
	UpkeepBusy
	// UpkeepNotApplicable: the machine does not exist or is not of the wave.
	UpkeepNotApplicable
	// UpkeepFenced: a holder with a higher epoch has given orders for the machine.
	UpkeepFenced
)

var upkeepOutcomes = [...]string{"unknown", "began", "busy", "needless", "fenced"}

func (o UpkeepOutcome) String() string { return upkeepOutcomes[o] }

// Machines reaches the platform's machines.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]MachineEntry, error)
	// Upkeep takes a machine down. Everything that runs there ends.
	Upkeep(ctx context.Context, o UpkeepOrder) (UpkeepOutcome, error)
	// ReportWave tells the operator how a wave stands.
	ReportWave(ctx context.Context, wave int64, completed bool) error
}
