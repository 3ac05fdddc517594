// Package pool schedules the tasks of accepted jobs on workers: it orders the waiting steps, places their tasks and
// tracks the runs. It has no goroutines, sockets or clocks of its own.
//
// The lease holder of a pool passes events to it and carries out the Effects that Plan returns. No start may be sent
// before the records of the same Effects are stored.
package pool

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/citron/crash"
	"github.com/citroncross/citroncross/citron/quota"
	"github.com/citroncross/citroncross/citron/share"
	"github.com/citroncross/citroncross/citron/speed"
	"github.com/citroncross/citroncross/citron/tries"
	"github.com/citroncross/citroncross/schema/work"
)

// Options are the time limits of a pool, derived from the platform's bounds.
type Options struct {
	// Lease is how long a worker keeps its runs without a renewal.
	Lease time.Duration
	// MaxLease bounds the end of every lease, counted from the last confirmation that this daemon holds the pool. A new
	// holder waits as long for workers that it cannot reach.
	MaxLease time.Duration
	// StartTimeout is how long a start order is valid; the worker refuses it afterwards.
	StartTimeout time.Duration
	// ClockDrift is the fraction by which a worker's clock may run slower than this daemon's.
	ClockDrift float64
	// StopGrace is the maximum time that a worker takes to stop a task.
	StopGrace time.Duration
	// AnswerTimeout is the time without an answer after which a worker's lease is no longer renewed.
	AnswerTimeout time.Duration
	// KeepApart makes the pool learn which kinds of task slow each other down and prefer workers without those.
	KeepApart bool
	// Retention is how long the state of an ended job is retained for callers.
	Retention time.Duration
	// HeadroomPercent is the largest part of the capacity that tasks of priority 1 and above leave free for the expected
	// arrivals of priority 0; 0 means none.
	HeadroomPercent int
	// StartsPerPlan is the number of tasks after which a plan starts no others but the rest of a gang, unless plans are rare; 0 means any
	// number. Each start takes the holder a good part of a millisecond, and urgent jobs that arrive meanwhile wait for the next plan.
	StartsPerPlan int
	// MaxRuns is the number of runs from which a plan starts no other tasks but the rest of a gang; 0 means no limit. A task that asks for
	// next to nothing fits on a worker any number of times.
	MaxRuns int
	// TasksPerRecord is the number of tasks whose progress one record of the store may hold; 0 means tasksPerRecord.
	TasksPerRecord int
	// RestartStragglers makes the pool restart tasks that may run twice and take much longer than expected. Off by default: on
	// drawn loads the sweeps that it restarts gain, but over all queues no gain is shown (docs/design/speed.md).
	RestartStragglers bool
}

// RunBytes is what a run takes of the memory of the holder, beside its job.
const RunBytes budget.Bytes = 1 << 10

// Pool is the scheduling state of one worker pool during one epoch.
type Pool struct {
	Options Options
	// Epoch is the fencing token sent with every order.
	Epoch citron.Epoch
	// Advisers assigns requests to the policy service to daemons.
	Advisers *advice.Balancer
	// Observe, if set, is called with every decision while the pool is locked.
	Observe func(Decision)

	mu      sync.Mutex
	jobs    map[citron.JobID]*job
	workers map[citron.Worker]*worker
	// listVersion counts the lists of workers received from the platform.
	listVersion uint64
	// byID holds the workers sorted by id, so that equal events lead to equal decisions.
	byID  []*worker
	steps map[citron.StepRef]*step
	// permitCounts are counts of the policy service's decisions by queue.
	permitCounts map[string]permitCount
	// scheduled lists the jobs with occurrences at set times.
	scheduled []*job
	// waiting lists the steps that may have waiting tasks, without the idle ones: steps that are too late, which are tried in turn.
	waiting, idle []*step
	// dirty holds the jobs of which a record must be replaced.
	dirty map[*job]bool
	// stops are the orders to be sent with the next Effects. Unanswered ones were last looked for at stopsCheckedAt.
	stops          []Stop
	stopsCheckedAt time.Duration
	// urgentUse is the capacity that the tasks of priority 0 use, by service.
	urgentUse map[citron.Service]citron.Capacity
	ended     map[citron.JobID]endedJob
	// interference is unused unless Options.KeepApart is set.
	interference interference
	runTimes     citron.RunTimes
	speeds       speeds
	// stragglers is what is known of restarted tasks.
	stragglers stragglers
	// suspects are the tasks that may crash their worker, until a run of theirs has settled.
	suspects map[*task]bool
	// terms are the teams' terms in the newest configuration; nil if teams are not in force.
	terms []citron.TeamTerms
	// termsKnown is set once the terms, or that there are none, are known. Jobs of teams wait for that.
	termsKnown bool
	// quota counts what the runs of each team use.
	quota quota.Counter
	// unknownUntil is when every lease given by a former holder has expired; 0 before the first Plan with terms.
	unknownUntil time.Duration
	// share ranks the teams; nil if teams are not in force.
	share citron.Share
	// teams holds the use of capacity by each team with jobs in the pool, arrivals the jobs whose rate is not checked yet.
	teams    map[citron.Team]*teamUse
	arrivals []*job
	aging    aging
	// refusals is the result of the last check of the teams' backlogs, backlogsDue the boot time of the next one.
	refusals    atomic.Pointer[Refusals]
	backlogsDue time.Duration
	// headrooms estimates the need of priority 0 on the workers of each service. It is empty without HeadroomPercent.
	headrooms map[citron.Service]*headroom
	// withoutHolds makes gangs hold no quota; the baseline of the test that plays them.
	withoutHolds bool
	// quotaWaitAt is when a step of each team was last reported to wait for quota; unknownRunsAt is when unknown runs last
	// counted.
	quotaWaitAt   map[citron.Team]time.Duration
	unknownRunsAt time.Duration
	// lastExpiry is when expired jobs were last removed.
	lastExpiry time.Duration
	fenced     bool
	// heldAt is the last instant at which this holder is known to have held the pool.
	heldAt time.Duration
	// allJobsKnown is set once every job that a former holder may have started has been accepted.
	allJobsKnown bool
	// recordNumber counts the progress records of this epoch.
	recordNumber uint64
	// rewriteQueue lists the jobs that a rewrite in progress has not recorded yet.
	rewriteQueue []citron.JobID
	// rewriteParts are the parts of such jobs that are to be recorded next.
	rewriteParts []occurrencePart
	rewriting    bool
	lastPlan     PlanStats
	// placedAt is when tasks were last placed.
	placedAt time.Duration
	// planNumber counts the plans.
	planNumber uint64
	// used counts what was started and asked for since the last UseByQueue.
	used useByQueue
}

// DecisionKind is the kind of a Decision.
type DecisionKind int

// Kinds of decisions.
const (
	DecidedStart DecisionKind = iota
	DecidedEnd
	// DecidedRequeue means that a run was given up or is stopped early; its task will wait again.
	DecidedRequeue
	DecidedJobEnd
	DecidedAdviceRequest
	DecidedQuarantine
	DecidedWorkerLost
	// DecidedWait reports why a step has been waiting for long.
	DecidedWait
	// DecidedAboveQuota means that new terms lower a team's maximum below what it uses.
	DecidedAboveQuota
	// DecidedQuotaWait means that a step waits because its team uses what it may.
	DecidedQuotaWait
	// DecidedUnknownRuns means that runs of unknown teams begin to count against each maximum.
	DecidedUnknownRuns
	// DecidedSpeed means that a worker is now treated as slow, usual or fast.
	DecidedSpeed
	DecidedPairAccepted
	DecidedPairWithdrawn
	// DecidedRunLost means that a run was lost with its worker.
	DecidedRunLost
	// DecidedWorkerRestarted means that a worker has started again under its id.
	DecidedWorkerRestarted
	// DecidedEndSkipped means that the end of a run that counts as running is not applied, since its number is not higher than
	// that of the last end that was.
	DecidedEndSkipped
)

// Decision is a scheduling decision with its cause, for logs and metrics.
type Decision struct {
	Kind   DecisionKind
	Queue  citron.QueueName
	Job    citron.JobID
	Task   citron.TaskRef
	Run    int32
	Worker citron.Worker
	Team   citron.Team
	// Outcome is the result and Reason the cause of the decision. Both are written to logs; the Outcome of an end and the
	// Reason of a requeue are also values of metric labels.
	Outcome string
	Reason  string
	// Age is how long the task, step or job had waited or run; for a lost worker the time since its last answer, for a lost
	// run how long its worker is known to have outlived its start, and for a quarantine its length.
	Age time.Duration
	// Expected is the expected run time of a started task on its worker, and Speed the estimated speed of a worker that is
	// not of usual speed or whose class has changed; Runs counts the ended runs on which that rests.
	Expected time.Duration
	Speed    float64
	Runs     int
	// Spent tells where the time of a job went that has ended.
	Spent Spent
	// Pair is the pair that was accepted or withdrawn, otherwise nil.
	Pair *citron.InterferingPair
}

// Start is a start order and the worker that it goes to.
type Start struct {
	Worker citron.WorkerEntry
	Order  citron.StartOrder
}

// Stop is a stop order and the worker that it goes to.
type Stop struct {
	Worker citron.WorkerEntry
	Order  citron.StopOrder
}

// AdviceRequest asks the policy service which workers may run a step.
type AdviceRequest struct {
	Step    citron.StepRef
	Workers []citron.Worker
	// VM is the daemon that sends the request.
	VM citron.VMName
	// Cost is the expected time that the policy service takes to answer.
	Cost time.Duration
}

// Effects are the records, orders and requests that result from one call of Plan.
type Effects struct {
	// Records must be stored before Starts are sent.
	Records []citron.KeyedRecord
	// Visible holds for each record whether it changes a state that callers see.
	Visible []bool
	// Rewritten is set if Records complete a rewrite.
	Rewritten      bool
	Starts         []Start
	Stops          []Stop
	AdviceRequests []AdviceRequest
	// Acks holds for each worker the last ended run that Records cover.
	Acks map[citron.Worker]Ack
	// Ended lists the jobs that Records show as ended for good, without a run on any worker.
	Ended []citron.JobID
	// Expired lists the jobs whose records are to be removed.
	Expired []ExpiredJob
	// listed are the occurrences whose parts Records list for the first time.
	listed []*occurrence
	// unlisted are the closed occurrences that Records no longer list.
	unlisted []*occurrence
}

// ExpiredJob is a job whose records are to be removed, with the parts of its progress below an index.
type ExpiredJob struct {
	ID    citron.JobID
	Parts int
}

// Ack is the number of an ended run in one incarnation of its worker.
type Ack struct {
	Incarnation citron.Incarnation
	Number      int64
}

// PlanStats summarizes one call of Plan for metrics and tests.
type PlanStats struct {
	// WaitingSteps and WaitingTasks do not contain the IdleSteps, which are too late.
	WaitingSteps int
	IdleSteps    int
	WaitingTasks int
	RunningTasks int
	// UsableWorkers counts those of the ListedWorkers that accept new tasks.
	UsableWorkers int
	ListedWorkers int
	// Looks counts the workers and tasks that were looked at for a step, and the comparisons of those that were sorted.
	Looks int
	// SlowWorkers and FastWorkers are known to differ from the usual speed.
	SlowWorkers, FastWorkers int
}

// job is an accepted job that has not ended or whose runs are still being stopped.
type job struct {
	id   citron.JobID
	spec *work.Job
	// accepted is the time of acceptance on the boot clock.
	accepted time.Duration
	state    work.State
	// recorded is the state in the last progress record.
	recorded work.State
	// nextOccurrence is the number of the first occurrence that has not begun.
	nextOccurrence int32
	open           []*occurrence
	// changed is set if the progress record has to be replaced, apart from the parts; parts is an upper bound on the indexes of these.
	changed bool
	parts   int
	// closed are the closed occurrences whose parts the stored progress record may still list.
	closed []*occurrence
	// terminal is set once the final state of the job is decided.
	terminal bool
	// team is the use of capacity by the job's team, nil until its rate is checked.
	team *teamUse
	// spent is the time of its steps that are done.
	spent Spent
	// overRate is set if the job arrived beyond the rate of its team.
	overRate bool
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job    *job
	number int32
	steps  []*step
	layout layout
}

// step is one step of one occurrence.
type step struct {
	ref        citron.StepRef
	job        *job
	occurrence *occurrence
	index      int
	spec       *work.Step
	tasks      taskList
	counts     taskCounts
	// firstTask is the number of tasks in the steps before this one.
	firstTask int
	// kind is set by Pool.kindInfo.
	kind *kindInfo
	// need is the capacity that each task uses.
	need citron.Capacity
	// remaining counts the tasks that are not done.
	remaining int
	// ready is set once all steps that this one depends on are done.
	ready   bool
	readyAt time.Duration
	// askedAt is when the policy service was first asked, placedAt when all tasks had been placed for the first time; 0 before, and
	// after the time has been counted.
	askedAt, placedAt time.Duration
	// expected is the expected run time of its tasks in the plan with the number expectedAt.
	expected   time.Duration
	expectedAt uint64
	// deadline is when the step must end for the job to meet its latency objective.
	deadline time.Duration
	permits  map[citron.Worker]permit
	// ticketsUntil is when the last ticket expires.
	ticketsUntil time.Duration
	// eligible holds the policy service's decision for each worker asked about; a decision never changes.
	eligible map[citron.Worker]bool
	// coveredVersion is the listVersion for which the decisions so far suffice; adviceCost is the cost of renewing the
	// tickets.
	coveredVersion uint64
	adviceCost     time.Duration
	advicePending  bool
	adviceRetryAt  time.Duration
	// adviceCheckAt is the boot time before which the decisions so far count as enough.
	adviceCheckAt time.Duration
	// backoffUntil is when the step may be placed again after a worker refused a start.
	backoffUntil time.Duration
	// agedAt is when the step last came before all others because of its wait.
	agedAt time.Duration
	// explainedAt is when the reason for waiting was last reported.
	explainedAt time.Duration
	// quotaHeldAt is when the gang last held quota that it could not use yet.
	quotaHeldAt time.Duration
	// gangRun is the run number shared by all members of a gang, gangFailures are the runs in which a member failed.
	gangRun      int32
	gangFailures tries.Failures
}

// permit is a ticket with which a worker may run a step until it expires.
type permit struct {
	ticket  string
	expires time.Duration
}

type taskState int

const (
	taskWaiting taskState = iota
	// taskOrdered means that the start is planned, recorded or sent, and not answered yet.
	taskOrdered
	// taskInDoubt means that the run may have started: the order was not answered, or a former holder recorded it.
	taskInDoubt
	taskRunning
	// taskStopping means that a stop was ordered and the worker has not reported the end yet.
	taskStopping
	// taskLeaving means that the task is done through another member of its gang, but its own worker has not reported
	// the end yet.
	taskLeaving
	taskDone
)

type task struct {
	ref   citron.TaskRef
	step  *step
	index int
	state taskState
	// run is the number of the newest run, 0 before the first.
	run int32
	// worker is the worker that the newest run may still be on, nil if there is none. The run was ordered in that incarnation
	// of the worker, 0 if it is not known.
	worker      *worker
	incarnation citron.Incarnation
	failedRuns  tries.Failures
	// crashes are the crashes of workers under the task.
	crashes crash.History
	// completedEarlier is set if an earlier run completed the task while the newest run is still being stopped.
	completedEarlier bool
	// dropped is set if the task needs no further run although it is not done, since its job has ended.
	dropped    bool
	checkpoint string
	stateSince time.Duration
	startedAt  time.Duration
	// startSeen is set if the worker answered the start of the newest run to this holder, which makes startedAt precise.
	startSeen    bool
	waitingSince time.Duration
	// stopSentAt is when the stop order was last sent, stopAckedAt when the worker answered it; 0 if not yet.
	stopSentAt  time.Duration
	stopAckedAt time.Duration
	// percent is the progress that the worker last reported.
	percent int
	// restarted is set once a run was stopped as a straggler; restartCounted once the result of the next one is counted.
	restarted, restartCounted bool
	// failedOn holds the workers on which the task failed, or was a straggler.
	failedOn map[citron.Worker]bool
	// joinedAt is when the run was assigned to its worker. For the length of window from then on, meetings records what
	// ran beside it; runs with a window of 0 are not observed.
	joinedAt    time.Duration
	window      time.Duration
	meetings    []meeting
	expectedEnd time.Duration
}

// worker is a worker with an id. A restarted worker has another id or, under the same one, another incarnation.
type worker struct {
	entry citron.WorkerEntry
	// incarnation is the newest known life of the worker, 0 if it does not tell; lifeSince is when it became known.
	incarnation citron.Incarnation
	lifeSince   time.Duration
	// used is the capacity taken by tasks.
	used  citron.Capacity
	tasks map[citron.TaskRef]*task
	// filling counts the tasks that fill, serving those with a target for their tail latency.
	filling, serving int
	// hash is that of the id.
	hash uint64
	// listed is set while the platform lists the worker.
	listed bool
	// gone is set once the worker is known to have restarted or left.
	gone bool
	// reported is set by the first report in this epoch and reset when the lease expires without an answer. Only reports
	// show which runs the worker has.
	reported   bool
	lastAnswer time.Duration
	// lastReport is the time of the last report. sameLife is set by it and reset by an exchange that failed.
	lastReport time.Duration
	sameLife   bool
	// refusedAt is when the worker first refused a connection since its last answer, 0 if it has not.
	refusedAt time.Duration
	// clockOffset is the worker's clock minus the boot clock of this daemon.
	clockOffset time.Duration
	// leaseUntil is when every lease given to the worker has expired and its tasks have stopped.
	leaseUntil time.Duration
	// processedEnd is the number of the last ended run that was applied, ackedEnd of the last one in a stored record.
	processedEnd int64
	ackedEnd     int64
	// listedEnd is the lowest number of an ended run in the last report, 0 if it listed none.
	listedEnd int64
	// lost are the runs that were given up while it was not known whether the worker had crashed, lostAt is when the last was.
	lost   []lostRun
	lostAt time.Duration
	// unresponsive is set if the last exchanges were not answered.
	unresponsive bool
	// cordoned is set while the worker's machine is about to go down for upkeep.
	cordoned bool
	// unrecordedRuns is set if the last report listed a run that is not recorded. Its use of capacity is unknown.
	unrecordedRuns bool
	// blockedUntil is the end of a quarantine or of the backoff after a refused start.
	blockedUntil time.Duration
	// leavesAt is the earliest time at which a draining worker leaves.
	leavesAt time.Duration
	failures failureStreak
	speed    workerSpeed
	// kinds counts the tasks by kind, and metAt is when the meetings of the tasks were last recorded.
	kinds []kindCount
	metAt time.Duration
}

// free returns the capacity that no task uses.
func (w *worker) free() citron.Capacity {
	return w.entry.Capacity.Sub(w.used)
}

// sortedTasks returns the tasks on the worker sorted by name.
func (w *worker) sortedTasks() []*task {
	return w.tasksWith(func(*task) bool { return true })
}

// tasksWith returns the tasks on the worker that a condition holds for, sorted by name.
func (w *worker) tasksWith(holds func(*task) bool) []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		if holds(t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Compare(a.ref, b.ref) })
	return list
}

// usable reports whether the worker accepts new tasks.
func (w *worker) usable(now time.Duration) bool {
	return w.state(now) == stateUsable
}

// New returns an empty pool for an epoch.
func New(o Options, epoch citron.Epoch, advisers *advice.Balancer) *Pool {
	return &Pool{
		Options:  o,
		Epoch:    epoch,
		Advisers: advisers,
		jobs:     map[citron.JobID]*job{},
		workers:  map[citron.Worker]*worker{},
		steps:    map[citron.StepRef]*step{},
		dirty:    map[*job]bool{},
		ended:    map[citron.JobID]endedJob{},
		runTimes: &speed.Model{},
		suspects: map[*task]bool{},

		permitCounts: map[string]permitCount{},
		teams:        map[citron.Team]*teamUse{},
		headrooms:    map[citron.Service]*headroom{},
		urgentUse:    map[citron.Service]citron.Capacity{},
		used:         useByQueue{},
	}
}

// Fenced reports whether a worker has seen a higher epoch.
func (p *Pool) Fenced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fenced
}

// SetTerms replaces the terms of all teams; nil means that teams are not in force.
func (p *Pool) SetTerms(terms []citron.TeamTerms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terms, p.termsKnown = terms, true
	p.quota.SetTerms(terms)
	p.reportAboveQuota()
	switch {
	case terms == nil:
		p.share = nil
		return
	case p.share == nil:
		p.share = &share.Share{}
	}
	p.share.SetTerms(terms)
}

// ConfirmHeld records that this daemon held the pool at the given time. The store confirms it by accepting a record,
// since it refuses the records of a holder that has been replaced.
func (p *Pool) ConfirmHeld(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldAt = max(p.heldAt, at)
}

// MarkAllJobsKnown records that every job that a former holder may have started has been accepted here.
func (p *Pool) MarkAllJobsKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allJobsKnown = true
}

// LastPlan returns the statistics of the last call of Plan.
func (p *Pool) LastPlan() PlanStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastPlan
}

// observe adds the job's queue to a decision and passes it to Observe.
func (p *Pool) observe(d Decision) {
	if p.Observe == nil {
		return
	}
	if j := p.jobs[d.Job]; j != nil {
		d.Queue = citron.QueueName(j.spec.GetQueue())
	}
	p.Observe(d)
}
