// Package pool decides what runs where: it orders the tasks of accepted jobs, places them on workers and follows
// their runs. It has no goroutines, sockets or clocks of its own.
//
// The holder of a pool feeds it with events and carries out the Effects that Plan returns. No start may leave before
// the records of the same Effects are stored.
package pool

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/schema/work"
)

// Options are the time limits of a pool, from the bounds of the platform.
type Options struct {
	// Lease is how long a worker runs on without hearing from the holder.
	Lease time.Duration
	// MaxLease is how long after the last proof of holding the pool a lease may end. A new holder waits as long for
	// workers that it cannot reach.
	MaxLease time.Duration
	// StartTimeout is how late a start order may arrive.
	StartTimeout time.Duration
	// ClockDrift is how much slower a worker's clock may run, as a share.
	ClockDrift float64
	// StopGrace is the longest time that a worker takes to stop a task.
	StopGrace time.Duration
	// AnswerTimeout is the time without an answer after which a worker's lease is no longer renewed.
	AnswerTimeout time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
}

// Pool is the state of one pool in one epoch of its holder.
type Pool struct {
	Options Options
	// Epoch is the fencing token of every order.
	Epoch citron.Epoch
	// Advisers assigns questions to the policy service to daemons.
	Advisers *advice.Balancer
	// Observe, if set, is called with every decision, under the lock of the pool.
	Observe func(Decision)

	mu      sync.Mutex
	jobs    map[citron.JobID]*job
	workers map[citron.Worker]*worker
	// listVersion counts the changes of the platform's list.
	listVersion uint64
	// order lists the workers by id, so that equal events lead to equal decisions.
	order []*worker
	steps map[citron.StepRef]*step
	// scheduled lists the jobs that begin again at set times.
	scheduled []*job
	// waiting lists the steps that may have tasks to place.
	waiting []*step
	dirty   map[*job]bool
	stops   []Stop
	ended   map[citron.JobID]ending
	learnt  durations
	// expired is when jobs were last removed.
	expired time.Duration
	fenced  bool
	// proved is the last instant at which this holder is known to have held the pool.
	proved time.Duration
	// complete is set once every job is known that a former holder may have started.
	complete bool
	// number counts the records of this epoch.
	number uint64
	// rewrite lists the jobs whose progress is still to be recorded again, while rewriting is set.
	rewrite   []citron.JobID
	rewriting bool
	lastPlan  PlanStats
}

// DecisionKind says what was decided.
type DecisionKind int

// Kinds of decisions.
const (
	DecidedStart DecisionKind = iota
	DecidedEnd
	DecidedRequeue
	DecidedJobEnd
	DecidedAdviceRequest
	DecidedQuarantine
	DecidedWorkerLost
	DecidedWait
)

// Decision is one decision with the inputs that led to it.
type Decision struct {
	Kind   DecisionKind
	Queue  citron.QueueName
	Job    citron.JobID
	Task   citron.TaskRef
	Run    int32
	Worker citron.Worker
	// Outcome and Reason say what came out and why.
	Outcome string
	Reason  string
	// Age is how long the subject had waited or run.
	Age time.Duration
}

// Start is an order to start a run and where it goes.
type Start struct {
	Worker citron.WorkerEntry
	Order  citron.StartOrder
}

// Stop is an order to end a run and where it goes.
type Stop struct {
	Worker citron.WorkerEntry
	Order  citron.StopOrder
}

// AdviceRequest is a question to the policy service and the daemon that puts it.
type AdviceRequest struct {
	Step    citron.StepRef
	Workers []citron.Worker
	VM      citron.VMName
	Cost    time.Duration
}

// Effects are what one Plan wants done.
type Effects struct {
	// Records must be stored before Starts leave.
	Records []citron.KeyedRecord
	// Visible tells for each record whether it changes what callers see.
	Visible []bool
	// Rewritten is set where Records are the last of a rewriting.
	Rewritten      bool
	Starts         []Start
	Stops          []Stop
	AdviceRequests []AdviceRequest
	// Acks are the ends that Records cover, by worker.
	Acks map[citron.Worker]int64
	// Expired lists jobs whose records are to be removed.
	Expired []citron.JobID
}

// PlanStats sums up the last planning for metrics and tests.
type PlanStats struct {
	WaitingSteps int
	WaitingTasks int
	RunningTasks int
	// UsableWorkers are those of ListedWorkers that may be given tasks.
	UsableWorkers int
	ListedWorkers int
}

// job is an accepted job that has not ended.
type job struct {
	id       citron.JobID
	spec     *work.Job
	accepted time.Duration
	state    work.State
	// recorded is the state of the last record.
	recorded work.State
	next     int32
	open     []*occurrence
	// terminal is set once the end of the job is decided.
	terminal bool
}

type occurrence struct {
	job    *job
	number int32
	steps  []*step
}

// step is one step of one occurrence.
type step struct {
	ref   citron.StepRef
	job   *job
	occ   *occurrence
	index int
	spec  *work.Step
	tasks []*task
	need  citron.Capacity
	left  int
	// ready is set once every earlier step is done.
	ready   bool
	readyAt time.Duration
	// deadline is when the step should have ended for the job to meet its objective.
	deadline time.Duration
	permits  map[citron.Worker]permit
	// eligible holds every answer of the policy service so far; it never changes.
	eligible map[citron.Worker]bool
	// covered is the list of workers for which the answers so far are enough; askCost is what renewing them costs.
	covered  uint64
	askCost  time.Duration
	asking   bool
	askAfter time.Duration
	// backoff is when the step may be placed again after a refusal.
	backoff time.Duration
	// explained is when it was last told why the step waits.
	explained time.Duration
	// gangRun is the run number that all members share.
	gangRun int32
}

type permit struct {
	ticket string
	until  time.Duration
}

type taskState int

const (
	taskWaiting taskState = iota
	// taskOrdered: recorded or about to be, the worker has not answered.
	taskOrdered
	// taskUnsure: the order was not answered.
	taskUnsure
	taskRunning
	// taskStopping: a stop was ordered, the end is not listed yet.
	taskStopping
	// taskLeaving: done through another member of its gang; its own worker has not listed the end yet.
	taskLeaving
	taskDone
)

type task struct {
	ref    citron.TaskRef
	step   *step
	index  int
	state  taskState
	run    int32
	worker *worker
	// failedRuns are the runs whose failure counts as an attempt.
	failedRuns []int32
	// settled is set where the task is done although its newest run is still to be stopped.
	settled    bool
	checkpoint string
	since      time.Duration
	startedAt  time.Duration
	waitedFrom time.Duration
	stopAsked  time.Duration
	stopAcked  time.Duration
	percent    int
	// failedOn lists workers on which the task failed.
	failedOn map[citron.Worker]bool
}

// worker is one life of a worker.
type worker struct {
	entry citron.WorkerEntry
	used  citron.Capacity
	tasks map[citron.TaskRef]*task
	// listed is false once the platform no longer lists the worker.
	listed bool
	// dead is set once the life is known to be over.
	dead bool
	// reported is set after the first report in this epoch, until the worker's lease has lapsed unheard. Other answers do
	// not tell what runs there.
	reported   bool
	lastAnswer time.Duration
	// clockAhead is the worker's clock less the boot clock of this daemon.
	clockAhead time.Duration
	leaseUntil time.Duration
	processed  int64
	acked      int64
	// silent is set where the last exchanges were not answered.
	silent bool
	// cordoned is set while the worker's machine is about to go down.
	cordoned bool
	// strangers is set where the last report showed a run that is not recorded. How much room it takes is not known.
	strangers bool
	// blockedUntil is when the worker may take tasks again.
	blockedUntil time.Duration
	// leaves is when a draining worker may leave.
	leaves time.Duration
	fails  streak
}

func (w *worker) free() citron.Capacity {
	return w.entry.Capacity.Sub(w.used)
}

// sorted lists the tasks on the worker by name.
func (w *worker) sorted() []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Compare(a.ref, b.ref) })
	return list
}

// usable reports whether new tasks may go to the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.state(now) == stateUsable
}

// New returns the pool of one epoch.
func New(o Options, epoch citron.Epoch, advisers *advice.Balancer) *Pool {
	return &Pool{
		Options:  o,
		Epoch:    epoch,
		Advisers: advisers,
		jobs:     map[citron.JobID]*job{},
		workers:  map[citron.Worker]*worker{},
		steps:    map[citron.StepRef]*step{},
		dirty:    map[*job]bool{},
		ended:    map[citron.JobID]ending{},
		learnt:   durations{},
	}
}

// Fenced reports whether a worker has seen a higher epoch.
func (p *Pool) Fenced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fenced
}

// ConfirmHeld notes that this holder held the pool at an instant: the store refuses its records once another one has
// claimed the pool.
func (p *Pool) ConfirmHeld(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proved = max(p.proved, at)
}

// MarkAllJobsKnown notes that every job which a former holder may have started has been accepted here.
func (p *Pool) MarkAllJobsKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.complete = true
}

// LastPlan sums up the last planning.
func (p *Pool) LastPlan() PlanStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastPlan
}

func (p *Pool) observe(d Decision) {
	if p.Observe == nil {
		return
	}
	if j := p.jobs[d.Job]; j != nil {
		d.Queue = citron.QueueName(j.spec.GetQueue())
	}
	p.Observe(d)
}
