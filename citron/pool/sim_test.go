package pool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/advice"
	"github.com/citroncross/citroncross/citron/fence"
	"github.com/citroncross/citroncross/schema/work"
)

// This file simulates changes of holder with the real pool. Orders, answers and appends are delayed by up to seconds or
// lost; workers are partitioned, restart and have slow clocks; holders crash, or freeze and continue. Each start of a
// run is checked against the invariants. Mutants that omit one rule show that the checks detect its absence.

// mutant selects a rule that a simulation omits.
type mutant int

const (
	noMutant mutant = iota
	// startsBeforeRecord sends starts before their records are stored.
	startsBeforeRecord
	// jobsKnownTooSoon makes a new holder acknowledge ends before it knows all jobs.
	jobsKnownTooSoon
	// leaseTooShort makes holders give up the runs of unresponsive workers before their lease has expired.
	leaseTooShort
	// lateOrders makes workers execute start orders after their deadline.
	lateOrders
	// acksBeforeRecord acknowledges ends before their records are stored.
	acksBeforeRecord
	// renewsUnconfirmed makes holders renew leases without confirmation that they still hold the pool.
	renewsUnconfirmed
	// ordersAsStarts takes an unanswered start order for a start.
	ordersAsStarts
	// stopsAsDone takes the end of a stopped run for one as done.
	stopsAsDone
	// countsAnsweredStarts counts a start for its team only once it is answered.
	countsAnsweredStarts
	// stopsAsEnds counts a run for its team only until its stop is ordered.
	stopsAsEnds
	// adoptsUncounted does not count the runs of former holders for their teams.
	adoptsUncounted
	// ignoresResizes keeps the capacity of a worker's first entry.
	ignoresResizes
	// hidesRestarts keeps the incarnations of workers from the holders.
	hidesRestarts
	// startsUnlisted starts tasks while the record that lists their parts is not stored.
	startsUnlisted
	// keepsTokens does not raise the token of a worker after an unanswered order.
	keepsTokens
)

const (
	// simStep is the time per step; jobs are submitted during simSubmitTime.
	simStep       = 10 * time.Millisecond
	simSubmitTime = 12 * time.Second
	simDuration   = 45 * time.Second
	// simRecovery is the time without faults at the end, within which all jobs must end.
	simRecovery = 29 * time.Second
)

// world is the state of one simulation.
type world struct {
	rng    *rand.Rand
	mutant mutant
	// keepApart is pool.Options.KeepApart of all holders.
	keepApart    bool
	now          citron.Instant
	start        time.Duration
	events       []event
	sequence     int
	incarnations int
	workers      []*simWorker
	// stored is the newest progress record of each job; epoch is the highest epoch that the store has accepted.
	stored map[string]*work.Progress
	epoch  citron.Epoch
	// splits is nil in simulations whose jobs fit into one record each.
	splits *simSplits
	// accepted lists the submitted jobs, all of which are in the store.
	accepted  []*work.Job
	cancelled map[string]bool
	holders   []*simHolder
	// done holds the tasks with an acknowledged end as done.
	done map[citron.TaskRef]bool
	// begun holds the jobs of which a task has begun on a worker, finished the tasks of which a run has ended as done.
	begun    map[citron.JobID]bool
	finished map[citron.TaskRef]bool
	// lastStart is when a run of each task last started.
	lastStart map[citron.TaskRef]time.Duration
	// failures counts the acknowledged failures of each task.
	failures map[citron.TaskRef]int
	// keepsIDs makes workers restart under their id.
	keepsIDs bool
	// losesAnswers makes workers leave half of the orders unanswered until lateUntil, carry them out later, and crash meanwhile.
	losesAnswers bool
	lateUntil    time.Duration
	// failsTogether makes workers fail all that they start for some seconds.
	failsTogether bool
	// resizes makes the capacity of workers shrink and grow.
	resizes bool
	// crashes records the crashes of workers; nil in simulations without tasks that crash them.
	crashes *simCrashes
	// teams is nil in simulations without teams.
	teams *simTeams
	// violation describes the first violation of an invariant, with its time and the rule of docs/PROOFS.md that it
	// breaks, for example LIMIT; the bench's verdict on such a fault has the same name.
	violation string
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type simHolder struct {
	world       *world
	pool        *Pool
	dead        bool
	frozenUntil time.Duration
	tokens      fence.Tokens
	// storeCutUntil is the end of a partition between the holder and the store.
	storeCutUntil time.Duration
	// writes are the plans whose records are not stored, or not those of a plan before.
	writes []*simWrite
	// caughtUp is set once the holder has read all accepted jobs; before, it knows only some.
	caughtUp  bool
	knownJobs int
	// knownCancels holds the cancelled jobs that the holder knows of.
	knownCancels map[string]bool
	polling      map[citron.Worker]bool
	// ordered holds the newest run of each task that this holder has planned.
	ordered map[citron.TaskRef]int32
}

type simWorker struct {
	world *world
	entry citron.WorkerEntry
	// listed is the entry in the platform's list, which follows entry after a while.
	listed citron.WorkerEntry
	// acked is the number up to which ends are acknowledged, also those that follow.
	acked int64
	// capacity is the present capacity, former are the earlier ones. The entry may lag behind.
	capacity   citron.Capacity
	former     []capacityChange
	drift      float64
	startedAt  time.Duration
	epoch      citron.Epoch
	leaseEnd   time.Duration
	runs       map[citron.TaskRef]*simRun
	highestRun map[citron.TaskRef]int32
	ended      []citron.EndedTask
	// lastExpiredEnd is the number of the last end up to the last step with an expired lease. Holders need not apply the
	// ends up to it.
	lastExpiredEnd int64
	lastEnd        int64
	// endedAt is when each reported run ended.
	endedAt  map[int64]time.Duration
	cutUntil time.Duration
	// failsUntil is the end of the time in which the worker fails all that it starts.
	failsUntil time.Duration
	// down is set from a crash to the restart.
	down bool
	// reached is set once the present life has received an order that the newest holder sent to it.
	reached bool
	// formerUntil is the end of a partition during which only holders up to formerEpoch reach the worker.
	formerUntil time.Duration
	formerEpoch citron.Epoch
}

type simRun struct {
	run      int32
	need     citron.Capacity
	endsAt   time.Duration
	willFail bool
	// gang is the number of members, 0 for a task without a gang.
	gang   int
	broken bool
	// stopAt is when a stop takes effect, 0 if none was ordered.
	stopAt time.Duration
}

// simWrite is the append of the records of a plan.
type simWrite struct {
	effects Effects
	stored  bool
}

// simulate runs one simulation without teams and returns the first violation of an invariant, empty if there is none.
func simulate(seed uint64, m mutant) (violation string) {
	return simulateTeams(seed, m, nil)
}

// simulateTeams runs one simulation, in which the teams, if any, submit the jobs.
func simulateTeams(seed uint64, m mutant, teams *simTeams) (violation string) {
	return newWorld(seed, m, teams).run()
}

// newWorld returns the state at the start of a simulation.
func newWorld(seed uint64, m mutant, teams *simTeams) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), mutant: m, stored: map[string]*work.Progress{}, done: map[citron.TaskRef]bool{},
		failures: map[citron.TaskRef]int{}, cancelled: map[string]bool{}, lastStart: map[citron.TaskRef]time.Duration{}, start: time.Hour,
		now:   citron.Instant{Boot: time.Hour, Wall: time.UnixMilli(1_700_000_000_000)},
		begun: map[citron.JobID]bool{}, finished: map[citron.TaskRef]bool{}, teams: teams,
	}
	for range 5 {
		s := &simWorker{world: w, drift: 1 - 0.02*w.rng.Float64(), entry: citron.WorkerEntry{Service: "svc", Capacity: citron.Capacity{MilliCores: 8000, MemoryMb: 8000}}}
		s.capacity = s.entry.Capacity
		s.restart()
		w.workers = append(w.workers, s)
	}
	return w
}

// run runs a simulation and returns the first violation.
func (w *world) run() (violation string) {
	w.claim()
	duration := simDuration
	if w.teams != nil {
		duration += simQuotaDrain
	}
	if w.crashes != nil {
		duration += simCrashDrain
	}
	for w.now.Boot < w.start+duration && w.violation == "" {
		w.step()
	}
	if w.violation == "" && w.mutant == noMutant {
		w.checkAllEnded()
	}
	return w.violation
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// schedule runs do after d.
func (w *world) schedule(d time.Duration, do func()) {
	w.sequence++
	w.events = append(w.events, event{w.now.Boot + d, w.sequence, do})
}

// recovering reports whether faults have ended.
func (w *world) recovering() bool { return w.now.Boot > w.start+simDuration-simRecovery }

func (w *world) step() {
	w.now = w.now.Add(simStep)
	due := w.events[:0:0]
	rest := w.events[:0:0]
	for _, e := range w.events {
		if e.at <= w.now.Boot {
			due = append(due, e)
		} else {
			rest = append(rest, e)
		}
	}
	w.events = rest
	slices.SortFunc(due, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence)) })
	for _, e := range due {
		e.run()
	}
	for _, s := range w.workers {
		s.tick()
	}
	w.changeTerms()
	w.resize()
	if w.now.Boot < w.start+simSubmitTime && w.chance(0.05) {
		w.submit()
	}
	if len(w.accepted) > 0 && w.chance(0.004) {
		w.cancelled[w.accepted[w.rng.IntN(len(w.accepted))].GetID()] = true
	}
	if !w.recovering() {
		w.injectFault()
	}
	for _, h := range w.holders {
		h.tick()
	}
}

func (w *world) submit() {
	id := fmt.Sprintf("j%03d", len(w.accepted))
	j := newJob(id, newStep(1+int32(w.rng.IntN(3)), 1+int64(w.rng.IntN(4))))
	if w.chance(0.3) {
		j.Steps[0].Gang = true
	}
	if w.chance(0.4) {
		second := newStep(1, 2)
		second.After = []int32{0}
		j.Steps = append(j.Steps, second)
	}
	w.splits.widen(w, j)
	j.Terms.Attempts = 4
	j.Team = w.nextTeam()
	j.AcceptedMs = w.now.Wall.UnixMilli()
	w.accepted = append(w.accepted, j)
}

// injectFault starts a random fault in some steps.
func (w *world) injectFault() {
	if w.failsTogether && w.chance(0.01) {
		for range 2 {
			w.workers[w.rng.IntN(len(w.workers))].failsUntil = w.now.Boot + 2*time.Second
		}
	}
	if w.losesAnswers && w.chance(0.004) {
		w.loseAnswers()
	}
	newest := w.holders[len(w.holders)-1]
	switch w.rng.IntN(1200) {
	case 0, 1:
		newest.dead = true
		w.schedule(time.Duration(w.rng.IntN(2000))*time.Millisecond, w.claim)
	case 2, 3:
		newest.frozenUntil = w.now.Boot + time.Duration(w.rng.IntN(4000))*time.Millisecond
		w.schedule(time.Duration(w.rng.IntN(1500))*time.Millisecond, w.claim)
	case 4, 5, 6:
		// The former holder keeps running beside the new one.
		w.claim()
	case 7, 8, 9:
		s := w.workers[w.rng.IntN(len(w.workers))]
		s.cutUntil = w.now.Boot + time.Duration(w.rng.IntN(9000))*time.Millisecond
	case 10:
		s := w.workers[w.rng.IntN(len(w.workers))]
		if w.keepsIDs {
			s.crash(time.Duration(200+w.rng.IntN(2000)) * time.Millisecond)
			return
		}
		s.restart()
	case 13, 14, 15, 16, 17, 18:
		s := w.workers[w.rng.IntN(len(w.workers))]
		s.cutUntil = w.now.Boot + time.Duration(5000+w.rng.IntN(4000))*time.Millisecond
	case 11, 12:
		// The holder is partitioned from the store but still reaches a worker that its successor does not reach.
		newest.storeCutUntil = w.now.Boot + time.Duration(w.rng.IntN(9000))*time.Millisecond
		s := w.workers[w.rng.IntN(len(w.workers))]
		s.formerEpoch, s.formerUntil = fence.NextEpoch(newest.pool.Epoch)-1, w.now.Boot+time.Duration(w.rng.IntN(12_000))*time.Millisecond
		w.schedule(700*time.Millisecond, w.claim)
	}
}

// loseAnswers makes orders late for some seconds, in which two workers crash.
func (w *world) loseAnswers() {
	w.lateUntil = w.now.Boot + 5500*time.Millisecond
	for range 2 {
		s := w.workers[w.rng.IntN(len(w.workers))]
		w.schedule(time.Duration(w.rng.IntN(5500))*time.Millisecond, func() {
			if !s.down {
				s.crash(time.Duration(200+w.rng.IntN(2000)) * time.Millisecond)
			}
		})
	}
}

// late reports whether an order that is sent now is carried out seconds later.
func (w *world) late(usually float64) bool {
	share := usually
	if w.now.Boot < w.lateUntil {
		share = 0.5
	}
	return !w.recovering() && w.chance(share)
}

// claim adds a holder with a new epoch. The store refuses the former holder from now on.
func (w *world) claim() {
	w.epoch = fence.NextEpoch(w.epoch)
	advisers := &advice.Balancer{}
	o := testOptions
	o.KeepApart = w.keepApart
	if w.splits != nil {
		o.TasksPerRecord = simTasksPerRecord
	}
	if w.mutant == leaseTooShort {
		o.Lease, o.MaxLease, o.StopGrace, o.AnswerTimeout = time.Second, time.Second, 0, 500*time.Millisecond
	}
	h := &simHolder{world: w, tokens: fence.Tokens{Epoch: w.epoch}, pool: New(o, w.epoch, advisers), polling: map[citron.Worker]bool{}, knownCancels: map[string]bool{}, ordered: map[citron.TaskRef]int32{}}
	h.pool.ConfirmHeld(w.now.Boot)
	w.holders = append(w.holders, h)
	h.updateWorkers()
	if w.mutant == jobsKnownTooSoon {
		h.pool.MarkAllJobsKnown()
	}
	// The new holder knows some jobs at once and all of them after a short delay.
	h.readJobs(w.rng.IntN(len(w.accepted) + 1))
	w.schedule(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
		h.caughtUp = true
		h.readJobs(len(w.accepted))
		h.pool.MarkAllJobsKnown()
	})
}

func (h *simHolder) updateWorkers() {
	entries := make([]citron.WorkerEntry, 0, len(h.world.workers))
	for _, s := range h.world.workers {
		e := s.listed
		if h.world.mutant == ignoresResizes {
			e.Capacity = citron.Capacity{MilliCores: 8000, MemoryMb: 8000}
		}
		entries = append(entries, e)
	}
	h.pool.UpdateWorkers(h.world.now, entries)
}

// readJobs passes the jobs and cancellations in the store to the pool. The stored progress is that of the time of the
// claim, since no other holder can append after it.
func (h *simHolder) readJobs(upto int) {
	for ; h.knownJobs < upto; h.knownJobs++ {
		j := h.world.accepted[h.knownJobs]
		h.pool.Accept(h.world.now, j, h.world.stored[j.GetID()], h.world.splits.partsOf(j.GetID())...)
	}
	for _, j := range h.world.accepted[:h.knownJobs] {
		if id := j.GetID(); h.world.cancelled[id] && !h.knownCancels[id] {
			h.knownCancels[id] = true
			h.pool.Cancel(h.world.now, citron.JobID(id))
		}
	}
}

func (h *simHolder) tick() {
	if h.dead || h.world.now.Boot < h.frozenUntil {
		return
	}
	if h.caughtUp {
		h.readJobs(len(h.world.accepted))
	}
	if h.world.mutant == renewsUnconfirmed {
		h.pool.ConfirmHeld(h.world.now.Boot)
	}
	h.updateWorkers()
	h.poll()
	if len(h.writes) > h.world.splits.overlap() || h.pool.Fenced() {
		return
	}
	e, err := h.plan()
	if err != nil {
		h.world.violation = err.Error()
		return
	}
	if h.world.keepApart {
		h.checkKinds()
	}
	for _, s := range e.Stops {
		s.Order.Epoch = h.nextToken(s.Worker.ID)
		h.send(func() { h.deliverStop(s) }, nil)
	}
	write := &simWrite{effects: e}
	h.writes = append(h.writes, write)
	if h.world.mutant == startsBeforeRecord {
		h.sendStarts(e.Starts)
	}
	if h.world.mutant == acksBeforeRecord {
		h.pool.Committed(e)
	}
	if h.world.mutant == startsUnlisted {
		for _, o := range e.listed {
			o.layout.listed = true
		}
	}
	h.store(write)
}

// store retries an append until the store answers. A holder of an older epoch is refused and ends.
func (h *simHolder) store(write *simWrite) {
	w, e := h.world, write.effects
	w.schedule(10*time.Millisecond, func() {
		if h.dead {
			return
		}
		if w.now.Boot < h.storeCutUntil {
			w.schedule(simStep, func() { h.store(write) })
			return
		}
		if w.epoch != h.pool.Epoch {
			h.dead = true
			return
		}
		h.pool.ConfirmHeld(w.now.Boot)
		if w.chance(0.05) && !w.recovering() {
			// The append is not answered and is repeated up to 1.5 seconds later.
			w.schedule(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { h.store(write) })
			return
		}
		if w.splits != nil {
			if h.storeSplit(e.Records) {
				w.schedule(w.delay(), func() { h.stored(write) })
			}
			return
		}
		for _, r := range e.Records {
			var progress work.Progress
			if err := proto.Unmarshal(r.Value, &progress); err != nil {
				w.violation = err.Error()
			}
			w.stored[progress.GetJobID()] = &progress
			w.checkState(&progress)
		}
		w.schedule(5*time.Millisecond, func() { h.stored(write) })
	})
}

func (h *simHolder) stored(write *simWrite) {
	if h.dead {
		return
	}
	if h.world.now.Boot < h.frozenUntil {
		h.world.schedule(simStep, func() { h.stored(write) })
		return
	}
	for write.stored = true; len(h.writes) > 0 && h.writes[0].stored; h.writes = h.writes[1:] {
		h.pool.Committed(h.writes[0].effects)
	}
	if h.world.mutant != startsBeforeRecord {
		h.sendStarts(write.effects.Starts)
	}
}

func (h *simHolder) sendStarts(starts []Start) {
	for _, s := range starts {
		h.sendStart(s)
	}
}

// nextToken returns the token of the next order to a worker.
func (h *simHolder) nextToken(id citron.Worker) citron.Epoch {
	if h.world.mutant == keepsTokens {
		return h.pool.Epoch
	}
	token, _ := h.tokens.Next(id)
	return token
}

// fences reports whether an order with a token fences the orders to former lives of the worker that has answered it.
func (h *simHolder) fences(id citron.Worker, incarnation citron.Incarnation, token citron.Epoch) bool {
	return h.tokens.RecordLife(id, incarnation, token) || h.world.mutant == keepsTokens
}

// sendStart sends a start order, and sends it again if a later order has overtaken it.
func (h *simHolder) sendStart(s Start) {
	w := h.world
	if h.tokens.Outlived(s.Worker.ID, s.Worker.Incarnation) && w.mutant != keepsTokens {
		h.pool.Started(w.now, s, citron.StartLate, 0)
		return
	}
	s.Order.Epoch = h.nextToken(s.Worker.ID)
	answered := false
	lost := w.loseLate(s.Worker.ID)
	h.send(func() {
		if lost() {
			return
		}
		worker := w.findWorker(s.Worker.ID)
		if worker != nil && w.now.Boot < worker.cutUntil {
			// The network delivers the order after the partition.
			w.schedule(worker.cutUntil-w.now.Boot+w.delay(), func() {
				if !lost() {
					w.findWorker(s.Worker.ID).handleStart(s)
				}
			})
			return
		}
		outcome, clock := worker.handleStart(s)
		w.schedule(w.delay(), func() {
			if answered {
				return
			}
			answered = true
			if outcome == citron.StartFenced && h.tokens.Superseded(s.Worker.ID, s.Order.Epoch) {
				h.sendStart(s)
				return
			}
			h.pool.Started(w.now, s, outcome, clock)
		})
	}, func() {
		if !answered {
			answered = true
			h.tokens.RecordUnanswered(s.Worker.ID, s.Order.Epoch)
			outcome := citron.StartUnknown
			if w.mutant == ordersAsStarts {
				outcome = citron.Started
			}
			h.pool.Started(w.now, s, outcome, 0)
		}
	})
}

// loseLate returns whether an order to a worker that is sent now is lost. An order that outlives the life of the worker
// that it was sent to is carried out by the next one. Until an order of the newest holder has reached that life, no holder can
// keep it from that, so such orders are lost unless they are prompt.
func (w *world) loseLate(id citron.Worker) (lost func() bool) {
	s, sent := w.findWorker(id), w.now.Boot
	if s == nil || !w.keepsIDs {
		return func() bool { return false }
	}
	life := s.startedAt
	return func() bool { return s.startedAt != life && !s.reached && w.now.Boot-sent > 500*time.Millisecond }
}

func (h *simHolder) deliverStop(s Stop) {
	worker := h.world.findWorker(s.Worker.ID)
	if worker == nil {
		h.world.schedule(h.world.delay(), func() { h.pool.Gone(h.world.now, &s.Worker) })
		return
	}
	if worker.reachableBy(s.Order.Epoch) && !worker.fence(s.Order.Epoch) && worker.handleStop(s.Order) {
		clock := worker.clock()
		h.world.schedule(h.world.delay(), func() { h.pool.Stopped(h.world.now, s, clock) })
	}
}

func (w *world) delay() time.Duration { return time.Duration(1+w.rng.IntN(20)) * time.Millisecond }

// send runs do after a network delay, sometimes of several seconds, and timeout after the timeout of an exchange.
func (h *simHolder) send(do, timeout func()) {
	w := h.world
	d := w.delay()
	if w.late(0.04) {
		d = time.Duration(500+w.rng.IntN(11000)) * time.Millisecond
	}
	w.schedule(d, do)
	if timeout != nil {
		w.schedule(300*time.Millisecond, timeout)
	}
}

func (w *world) findWorker(id citron.Worker) *simWorker {
	for _, s := range w.workers {
		if s.entry.ID == id {
			return s
		}
	}
	return nil
}

func (h *simHolder) poll() {
	w := h.world
	for _, id := range h.pool.Workers() {
		if h.polling[id] {
			continue
		}
		entry, o, _, ok := h.pool.NextRenewal(w.now, id)
		if !ok {
			continue
		}
		h.polling[id] = true
		o.Epoch = h.nextToken(id)
		answered := false
		if w.keepsIDs && w.late(0.02) {
			h.renewLate(id, o)
		} else {
			h.renew(&entry, o, &answered)
		}
		w.schedule(400*time.Millisecond, func() {
			if answered {
				return
			}
			h.polling[id] = false
			if w.keepsIDs {
				h.pool.MarkUnresponsive(id)
				h.tokens.RecordUnanswered(id, o.Epoch)
			}
		})
	}
}

// renew delivers a renew order, unless it is lost, and passes the answer to the pool.
func (h *simHolder) renew(entry *citron.WorkerEntry, o citron.RenewOrder, answered *bool) {
	w, id, sent := h.world, entry.ID, h.world.now.Boot
	w.schedule(w.delay(), func() {
		s := w.findWorker(id)
		if s == nil {
			*answered = true
			h.pool.Gone(w.now, entry)
			return
		}
		if s.down {
			h.pool.MarkRefused(w.now, id)
			return
		}
		if !s.reachableBy(o.Epoch) || w.chance(0.02) && !w.recovering() || s.fence(o.Epoch) {
			return
		}
		s.reached = s.reached || sent > s.startedAt && h.pool.Epoch == w.epoch
		report, clock := s.handleRenew(o)
		w.schedule(w.delay(), func() {
			*answered = true
			h.polling[id] = false
			if !h.dead && w.now.Boot >= h.frozenUntil && h.fences(id, report.Incarnation, o.Epoch) {
				h.pool.Renewed(w.now, id, sent, report, clock)
			}
		})
	})
}

// renewLate lets a worker carry out a renew order seconds later, in the life that it has by then.
func (h *simHolder) renewLate(id citron.Worker, o citron.RenewOrder) {
	w := h.world
	lost := w.loseLate(id)
	w.schedule(time.Duration(2000+w.rng.IntN(10_000))*time.Millisecond, func() {
		s := w.findWorker(id)
		if s != nil && !lost() && s.reachableBy(o.Epoch) && !s.fence(o.Epoch) {
			s.handleRenew(o)
		}
	})
}

// restart begins a new incarnation of the worker without runs.
func (s *simWorker) restart() {
	s.recordCrash()
	s.world.incarnations++
	if !s.world.keepsIDs || s.entry.ID == "" {
		s.entry.ID = citron.Worker(fmt.Sprintf("i-%d", s.world.incarnations))
		s.entry.Address = string(s.entry.ID)
	}
	s.down, s.reached = false, false
	s.startedAt, s.epoch, s.leaseEnd, s.acked, s.lastExpiredEnd = s.world.now.Boot, 0, 0, 0, 0
	s.tellIncarnation()
	s.list()
	s.endedAt = map[int64]time.Duration{}
	s.runs, s.highestRun, s.ended, s.lastEnd = map[citron.TaskRef]*simRun{}, map[citron.TaskRef]int32{}, nil, 0
}

// tellIncarnation puts the start of the worker into its entry if it keeps its id.
func (s *simWorker) tellIncarnation() {
	if s.world.keepsIDs && s.world.mutant != hidesRestarts {
		s.entry.Incarnation = citron.Incarnation(s.world.now.Wall.UnixMilli())
	}
}

// list puts the entry into the platform's list, at once unless the list may show one of a former life.
func (s *simWorker) list() {
	delay := time.Duration(0)
	if s.world.keepsIDs && s.listed.ID != "" {
		delay = time.Duration(s.world.rng.IntN(1500)) * time.Millisecond
	}
	if delay == 0 {
		s.listed = s.entry
		return
	}
	s.world.schedule(delay, func() { s.listed = s.entry })
}

// reachableBy reports whether the holder of an epoch reaches the worker.
func (s *simWorker) reachableBy(epoch citron.Epoch) bool {
	return !s.down && s.world.now.Boot >= s.cutUntil && (epoch <= s.formerEpoch || s.world.now.Boot >= s.formerUntil)
}

// clock returns the worker's own monotonic clock, which runs slow by its drift.
func (s *simWorker) clock() time.Duration {
	return time.Minute + time.Duration(float64(s.world.now.Boot-s.startedAt)*s.drift)
}

// fence reports whether an epoch is lower than the highest seen, and records it otherwise.
func (s *simWorker) fence(epoch citron.Epoch) bool {
	if epoch < s.epoch {
		return true
	}
	s.epoch = max(s.epoch, epoch)
	return false
}

func (s *simWorker) handleStart(o Start) (citron.StartOutcome, time.Duration) {
	if s == nil {
		return citron.StartGone, 0
	}
	order := o.Order
	if !s.reachableBy(order.Epoch) {
		return citron.StartUnknown, 0
	}
	switch {
	case s.fence(order.Epoch):
		return citron.StartFenced, s.clock()
	case order.Deadline <= s.clock() && s.world.mutant != lateOrders:
		return citron.StartLate, s.clock()
	}
	s.leaseEnd = max(s.leaseEnd, order.Deadline)
	if run := s.runs[order.Task]; run != nil && run.run == order.Run {
		return citron.Started, s.clock()
	}
	if order.Run <= s.highestRun[order.Task] {
		return citron.StartStale, s.clock()
	}
	s.begin(order)
	return citron.Started, s.clock()
}

// begin starts a run and checks the invariants.
func (s *simWorker) begin(o citron.StartOrder) {
	w := s.world
	need, members := w.taskNeed(o.Task)
	used := citron.Capacity{}
	for _, run := range s.runs {
		used = used.Add(run.need)
	}
	if !s.countedCapacity().Sub(used).Fits(need) {
		w.fail("LIMIT: start of %s on %s exceeds its capacity", o.Task, s.entry.ID)
	}
	w.checkQuota(o.Task, need)
	for _, other := range w.workers {
		if run := other.runs[o.Task]; run != nil {
			w.fail("TWICE: %s started as run %d on %s while run %d is on %s", o.Task, o.Run, s.entry.ID, run.run, other.entry.ID)
		}
	}
	if w.done[o.Task] {
		w.fail("TWICE: %s started as run %d on %s after an acknowledged end as done", o.Task, o.Run, s.entry.ID)
	}
	if w.failures[o.Task] >= 4 {
		w.fail("BUDGET: %s started as run %d after four acknowledged failures", o.Task, o.Run)
	}
	w.checkCrashes(o.Task)
	w.checkOrder(o.Task)
	s.highestRun[o.Task], w.lastStart[o.Task] = o.Run, w.now.Boot
	w.begun[o.Task.Job()] = true
	s.runs[o.Task] = &simRun{run: o.Run, need: need, gang: members, endsAt: w.now.Boot + time.Duration(200+w.rng.IntN(1500))*time.Millisecond, willFail: w.chance(0.03)}
	if w.now.Boot < s.failsUntil {
		s.runs[o.Task].endsAt, s.runs[o.Task].willFail = w.now.Boot+simStep, true
	}
	w.crashAfterStart(s, o.Task)
}

// fail records the first violation.
func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now.Boot-w.start) + fmt.Sprintf(format, args...)
	}
}

// taskNeed returns the capacity that a task needs and the number of members of its gang.
func (w *world) taskNeed(ref citron.TaskRef) (need citron.Capacity, members int) {
	var id string
	var occurrence, step, index int
	if _, err := fmt.Sscanf(string(ref), "%4s.%d.%d.%d", &id, &occurrence, &step, &index); err != nil {
		w.fail("task name %q cannot be parsed: %v", ref, err)
		return need, 0
	}
	for _, j := range w.accepted {
		if j.GetID() == id {
			spec := j.GetSteps()[step]
			if spec.GetGang() {
				members = int(spec.GetTasks())
			}
			return citron.Capacity{MilliCores: spec.GetMilliCores(), MemoryMb: spec.GetMemoryMb()}, members
		}
	}
	w.fail("UNASKED: task %s belongs to no accepted job", ref)
	return need, 0
}

func (s *simWorker) handleStop(o citron.StopOrder) bool {
	s.highestRun[o.Task] = max(s.highestRun[o.Task], o.Run)
	if run := s.runs[o.Task]; run != nil && run.run <= o.Run && run.stopAt == 0 {
		run.stopAt = s.world.now.Boot + time.Duration(s.world.rng.IntN(int(testOptions.StopGrace)))
	}
	return true
}

// endRun adds a run to the ended ones; its gang breaks unless the run is done.
func (s *simWorker) endRun(ref citron.TaskRef, how citron.EndKind) {
	if run := s.runs[ref]; run.gang > 0 && how != citron.EndDone && how != citron.EndGangBroken {
		defer s.world.breakGang(ref, run.run)
	}
	s.world.finished[ref] = s.world.finished[ref] || how == citron.EndDone
	s.world.recordFailure(ref, s.runs[ref], how)
	s.lastEnd++
	s.endedAt[s.lastEnd] = s.world.now.Boot
	s.ended = append(s.ended, citron.EndedTask{Number: s.lastEnd, Task: ref, Run: s.runs[ref].run, Kind: how})
	delete(s.runs, ref)
	s.forgetAcked()
}

func (s *simWorker) tick() {
	if s.clock() > s.leaseEnd {
		s.lastExpiredEnd = s.lastEnd
	}
	refs := make([]citron.TaskRef, 0, len(s.runs))
	for ref := range s.runs {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	for _, ref := range refs {
		run := s.runs[ref]
		if run == nil {
			continue // Ended with another member of its gang.
		}
		switch now := s.world.now.Boot; {
		case s.clock() > s.leaseEnd:
			s.endRun(ref, citron.EndLeaseExpired)
		case run.stopAt > 0 && now >= run.stopAt && run.broken:
			s.endRun(ref, citron.EndGangBroken)
		case run.stopAt > 0 && now >= run.stopAt:
			s.endRun(ref, citron.EndStopped)
		case now >= run.endsAt && run.willFail:
			s.endRun(ref, citron.EndFailed)
		case now >= run.endsAt && run.gang > 0:
			s.world.endGang(ref, run)
		case now >= run.endsAt:
			s.endRun(ref, citron.EndDone)
		}
	}
}

// endGang ends all members of a gang as done if all are running.
func (w *world) endGang(ref citron.TaskRef, run *simRun) {
	type member struct {
		s   *simWorker
		ref citron.TaskRef
	}
	var members []member
	for _, s := range w.workers {
		for other, r := range s.runs {
			if r.run == run.run && stepOf(other) == stepOf(ref) && r.stopAt == 0 {
				members = append(members, member{s, other})
			}
		}
	}
	if len(members) < run.gang {
		return
	}
	// Runs of a worker are in a map; without an order a seed would not repeat.
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.ref, b.ref) })
	for _, m := range members {
		m.s.endRun(m.ref, citron.EndDone)
	}
}

// stepOf returns the name of a task's step.
func stepOf(ref citron.TaskRef) string { return string(ref[:strings.LastIndexByte(string(ref), '.')]) }

// breakGang stops the other members of a gang after one has ended without being done.
func (w *world) breakGang(ref citron.TaskRef, number int32) {
	for _, s := range w.workers {
		for other, run := range s.runs {
			if other != ref && run.gang > 0 && run.run == number && stepOf(other) == stepOf(ref) && run.stopAt == 0 {
				run.stopAt = w.now.Boot + simStep
				run.broken = true
			}
		}
	}
}

// handleRenew renews the lease, drops the acknowledged ends and reports the rest.
func (s *simWorker) handleRenew(o citron.RenewOrder) (r citron.WorkerReport, clock time.Duration) {
	if o.Deadline > 0 {
		s.leaseEnd = max(s.leaseEnd, min(o.Deadline, s.clock()+6*time.Second))
	}
	s.acked = max(s.acked, o.Acked)
	s.forgetAcked()
	r.Incarnation = s.entry.Incarnation
	for ref, run := range s.runs {
		r.Running = append(r.Running, citron.RunningTask{Task: ref, Run: run.run})
	}
	slices.SortFunc(r.Running, func(a, b citron.RunningTask) int { return cmp.Compare(a.Task, b.Task) })
	r.Ended = append(r.Ended, s.ended...)
	for n := range r.Ended {
		if r.Ended[n].Kind == citron.EndStopped && s.world.mutant == stopsAsDone {
			r.Ended[n].Kind = citron.EndDone
		}
	}
	return r, s.clock()
}

// forgetAcked removes the acknowledged ends.
func (s *simWorker) forgetAcked() {
	unacked := s.ended[:0]
	for _, end := range s.ended {
		if end.Number > s.acked {
			unacked = append(unacked, end)
			continue
		}
		if end.Number <= s.lastExpiredEnd {
			continue
		}
		switch end.Kind {
		case citron.EndDone:
			s.world.done[end.Task] = true
			if s.world.lastStart[end.Task] > s.endedAt[end.Number] {
				s.world.fail("TWICE: end as done of run %d of %s on %s acknowledged after a later start", end.Run, end.Task, s.entry.ID)
			}
		case citron.EndFailed:
			s.world.failures[end.Task]++
		}
	}
	s.ended = unacked
}

// checkState checks the state in a stored record, which callers may see from now on.
func (w *world) checkState(r *work.Progress) {
	id := citron.JobID(r.GetJobID())
	switch r.GetState() {
	case work.State_STATE_RUNNING:
		if !w.begun[id] {
			w.fail("MIXED: job %s is recorded as running, but no task of it has begun", id)
		}
	case work.State_STATE_COMPLETED:
		if ref := w.unfinished(id); ref != "" {
			w.fail("MIXED: job %s is recorded as completed, but %s has not ended as done", id, ref)
		}
	case work.State_STATE_FAILED:
		w.checkFailed(id)
	}
}

// unfinished returns a task of a job without an end as done, empty if there is none. One end stands for a whole gang.
func (w *world) unfinished(id citron.JobID) citron.TaskRef {
	for _, j := range w.accepted {
		if j.GetID() != string(id) {
			continue
		}
		for n, s := range j.GetSteps() {
			for o := range max(j.GetSchedule().GetRepeats(), 1) {
				if ref := w.unfinishedIn(id, o, int32(n), s); ref != "" {
					return ref
				}
			}
		}
	}
	return ""
}

// unfinishedIn returns a task of a step of one occurrence without an end as done, empty if there is none.
func (w *world) unfinishedIn(id citron.JobID, occurrence, step int32, s *work.Step) citron.TaskRef {
	missing := []citron.TaskRef{}
	for i := range s.GetTasks() {
		if ref := TaskName(id, occurrence, step, i); !w.finished[ref] {
			missing = append(missing, ref)
		}
	}
	if len(missing) > 0 && (!s.GetGang() || len(missing) == int(s.GetTasks())) {
		return missing[0]
	}
	return ""
}

// checkOrder checks that the steps before that of a task are done.
func (w *world) checkOrder(ref citron.TaskRef) {
	var id string
	var occurrence, step, index int32
	if _, err := fmt.Sscanf(string(ref), "%4s.%d.%d.%d", &id, &occurrence, &step, &index); err != nil {
		w.fail("task name %q cannot be parsed: %v", ref, err)
		return
	}
	for _, j := range w.accepted {
		if j.GetID() != id {
			continue
		}
		for _, n := range j.GetSteps()[step].GetAfter() {
			if missing := w.unfinishedIn(citron.JobID(id), occurrence, n, j.GetSteps()[n]); missing != "" {
				w.fail("ORDER: %s started before the end of %s", ref, missing)
			}
		}
	}
}

// checkAllEnded reports a job that has not ended after the time without faults.
func (w *world) checkAllEnded() {
	for _, j := range w.accepted {
		if p := w.stored[j.GetID()]; !IsTerminal(p.GetState()) {
			w.fail("LOST: job %s has not ended, progress %v", j.GetID(), p)
			return
		}
	}
}

// simulationSeeds is the number of simulations in CI; each takes a few hundredths of a second.
const simulationSeeds = 40

func TestInvariantsHoldAcrossChangesOfHolder(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		if violation := simulate(seed, noMutant); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

func TestMutantsViolateInvariants(t *testing.T) {
	for name, m := range map[string]mutant{
		"starts before their record":  startsBeforeRecord,
		"acks before all jobs known":  jobsKnownTooSoon,
		"lease too short":             leaseTooShort,
		"late orders executed":        lateOrders,
		"acks before their record":    acksBeforeRecord,
		"leases without confirmation": renewsUnconfirmed,
		"orders taken for starts":     ordersAsStarts,
		"stopped taken for done":      stopsAsDone,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5 * simulationSeeds) {
				if simulate(seed, m) != "" {
					return
				}
			}
			t.Error("no simulation of the mutant violated an invariant, want at least one")
		})
	}
}

// Guards against counts of kinds that drift from the tasks on a worker when runs are adopted, lost, stopped or superseded.
func TestKindsAreCountedAcrossChangesOfHolder(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		w := newWorld(seed, noMutant, nil)
		w.keepApart = true
		if violation := w.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// checkKinds compares the counts of kinds on each worker with its tasks.
func (h *simHolder) checkKinds() {
	for _, w := range h.pool.byID {
		tasks, ends := map[*kindInfo]int{}, map[*kindInfo]time.Duration{}
		for _, t := range w.tasks {
			tasks[t.step.kind]++
			ends[t.step.kind] += t.expectedEnd
		}
		if len(w.kinds) != len(tasks) {
			h.world.fail("worker %s counts %d kinds, has tasks of %d", w.entry.ID, len(w.kinds), len(tasks))
		}
		for _, c := range w.kinds {
			if c.tasks != tasks[c.kind] || c.ends != ends[c.kind] {
				h.world.fail("worker %s counts %d tasks of %s, has %d", w.entry.ID, c.tasks, c.kind.kind, tasks[c.kind])
			}
		}
	}
}
