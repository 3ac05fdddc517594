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
	"github.com/citroncross/citroncross/schema/work"
)

// This file plays changes of holder against the real pool: orders, answers and appends are delayed, lost or carried
// out seconds late, workers are cut off, restart and run slow clocks, holders die, freeze and go on. After each start
// it checks what must never happen; mutants show that the checks find a missing rule.

// mutant leaves one rule out.
type mutant int

const (
	sound mutant = iota
	// startsBeforeRecord sends starts before their record is stored.
	startsBeforeRecord
	// completeTooSoon lets a new holder take in ends before it knows all jobs.
	completeTooSoon
	// leaseTooShort gives up on silent workers before their lease has lapsed.
	leaseTooShort
	// lateOrders has workers carry out orders after their deadline.
	lateOrders
	// acksBeforeRecord acknowledges ends before their record is stored.
	acksBeforeRecord
	// leaseUnproved lets a holder renew leases without knowing that it still holds the pool.
	leaseUnproved
)

const (
	simStep  = 10 * time.Millisecond
	simLoad  = 12 * time.Second
	simLimit = 45 * time.Second
	// simRecovery is the quiet time at the end, within which all work has to end.
	simRecovery = 29 * time.Second
)

// world is one play.
type world struct {
	rng     *rand.Rand
	mutant  mutant
	now     citron.Instant
	start   time.Duration
	events  []event
	serial  int
	lives   int
	workers []*simWorker
	// stored is the newest record of each job; epoch the highest producer epoch.
	stored map[string]*work.Progress
	epoch  citron.Epoch
	// accepted lists the jobs in the store.
	accepted  []*work.Job
	cancelled map[string]bool
	holders   []*simHolder
	done      map[citron.TaskRef]bool
	// begun is when each task was last started.
	begun   map[citron.TaskRef]time.Duration
	failed  map[citron.TaskRef]int
	problem string
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type simHolder struct {
	w      *world
	p      *Pool
	dead   bool
	frozen time.Duration
	// storeCut is until when the holder does not reach the store.
	storeCut time.Duration
	busy     bool
	// caughtUp is set once the holder has read the accepted jobs; before, it knows some of them.
	caughtUp bool
	known    int
	// told lists the cancelled jobs that the holder knows of.
	told    map[string]bool
	polling map[citron.Worker]bool
}

type simWorker struct {
	w        *world
	entry    citron.WorkerEntry
	drift    float64
	base     time.Duration
	token    citron.Epoch
	deadline time.Duration
	runs     map[citron.TaskRef]*simRun
	highest  map[citron.TaskRef]int32
	ended    []citron.EndedTask
	// excused is the number of the last end before the lease lapsed; the ends up to it need not be taken note of.
	excused int64
	ends    int64
	// endedAt is when each listed run ended.
	endedAt  map[int64]time.Duration
	cutUntil time.Duration
	// formerUntil is until when only holders up to the epoch former reach the worker.
	formerUntil time.Duration
	former      citron.Epoch
}

type simRun struct {
	run   int32
	need  citron.Capacity
	until time.Duration
	fails bool
	// gang is the number of members; zero for a task of its own.
	gang   int
	broken bool
	// stopping is when a stop takes effect; zero if none was ordered.
	stopping time.Duration
}

func play(seed uint64, m mutant) (problem string) {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), mutant: m, stored: map[string]*work.Progress{}, done: map[citron.TaskRef]bool{},
		failed: map[citron.TaskRef]int{}, cancelled: map[string]bool{}, begun: map[citron.TaskRef]time.Duration{}, start: time.Hour,
		now: citron.Instant{Boot: time.Hour, Wall: time.UnixMilli(1_700_000_000_000)},
	}
	for range 5 {
		s := &simWorker{w: w, drift: 1 - 0.02*w.rng.Float64(), entry: citron.WorkerEntry{Service: "svc", Capacity: citron.Capacity{MilliCores: 8000, MemoryMb: 8000}}}
		s.born()
		w.workers = append(w.workers, s)
	}
	w.claim()
	for w.now.Boot < w.start+simLimit && w.problem == "" {
		w.step()
	}
	if w.problem == "" && m == sound {
		w.unfinished()
	}
	return w.problem
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) later(d time.Duration, do func()) {
	w.serial++
	w.events = append(w.events, event{w.now.Boot + d, w.serial, do})
}

func (w *world) quiet() bool { return w.now.Boot > w.start+simLimit-simRecovery }

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
	slices.SortFunc(due, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.serial, b.serial)) })
	for _, e := range due {
		e.do()
	}
	for _, s := range w.workers {
		s.tick()
	}
	if w.now.Boot < w.start+simLoad && w.chance(0.05) {
		w.submit()
	}
	if len(w.accepted) > 0 && w.chance(0.004) {
		w.cancelled[w.accepted[w.rng.IntN(len(w.accepted))].GetID()] = true
	}
	if !w.quiet() {
		w.trouble()
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
	j.Terms.Attempts = 4
	j.AcceptedMs = w.now.Wall.UnixMilli()
	w.accepted = append(w.accepted, j)
}

func (w *world) trouble() {
	newest := w.holders[len(w.holders)-1]
	switch w.rng.IntN(1200) {
	case 0, 1:
		newest.dead = true
		w.later(time.Duration(w.rng.IntN(2000))*time.Millisecond, w.claim)
	case 2, 3:
		newest.frozen = w.now.Boot + time.Duration(w.rng.IntN(4000))*time.Millisecond
		w.later(time.Duration(w.rng.IntN(1500))*time.Millisecond, w.claim)
	case 4, 5, 6:
		// The former holder goes on beside the new one.
		w.claim()
	case 7, 8, 9:
		s := w.workers[w.rng.IntN(len(w.workers))]
		s.cutUntil = w.now.Boot + time.Duration(w.rng.IntN(9000))*time.Millisecond
	case 10:
		w.workers[w.rng.IntN(len(w.workers))].born()
	case 13, 14, 15, 16, 17, 18:
		s := w.workers[w.rng.IntN(len(w.workers))]
		s.cutUntil = w.now.Boot + time.Duration(5000+w.rng.IntN(4000))*time.Millisecond
	case 11, 12:
		// The holder loses the store but keeps some workers that its successor does not reach.
		newest.storeCut = w.now.Boot + time.Duration(w.rng.IntN(9000))*time.Millisecond
		s := w.workers[w.rng.IntN(len(w.workers))]
		s.former, s.formerUntil = newest.p.Epoch, w.now.Boot+time.Duration(w.rng.IntN(12_000))*time.Millisecond
		w.later(700*time.Millisecond, w.claim)
	}
}

// claim begins a new epoch: the store refuses the former holder, and all that it stored is known.
func (w *world) claim() {
	w.epoch++
	desk := &advice.Balancer{}
	o := testOptions
	if w.mutant == leaseTooShort {
		o.Lease, o.MaxLease, o.StopGrace, o.AnswerTimeout = time.Second, time.Second, 0, 500*time.Millisecond
	}
	h := &simHolder{w: w, p: New(o, w.epoch, desk), polling: map[citron.Worker]bool{}, told: map[string]bool{}}
	h.p.ConfirmHeld(w.now.Boot)
	w.holders = append(w.holders, h)
	h.list()
	if w.mutant == completeTooSoon {
		h.p.MarkAllJobsKnown()
	}
	// Some jobs are known at the claim, all of them a little later.
	h.read(w.rng.IntN(len(w.accepted) + 1))
	w.later(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
		h.caughtUp = true
		h.read(len(w.accepted))
		h.p.MarkAllJobsKnown()
	})
}

func (h *simHolder) list() {
	entries := make([]citron.WorkerEntry, 0, len(h.w.workers))
	for _, s := range h.w.workers {
		entries = append(entries, s.entry)
	}
	h.p.UpdateWorkers(h.w.now, entries)
}

// read accepts the jobs that have come into the store. What a holder knows of their progress is what was stored when
// it claimed, since nobody else can store after that.
func (h *simHolder) read(upto int) {
	for ; h.known < upto; h.known++ {
		j := h.w.accepted[h.known]
		h.p.Accept(h.w.now, j, h.w.stored[j.GetID()])
	}
	for _, j := range h.w.accepted[:h.known] {
		if id := j.GetID(); h.w.cancelled[id] && !h.told[id] {
			h.told[id] = true
			h.p.Cancel(h.w.now, citron.JobID(id))
		}
	}
}

func (h *simHolder) tick() {
	if h.dead || h.w.now.Boot < h.frozen {
		return
	}
	if h.caughtUp {
		h.read(len(h.w.accepted))
	}
	if h.w.mutant == leaseUnproved {
		h.p.ConfirmHeld(h.w.now.Boot)
	}
	h.list()
	h.poll()
	if h.busy || h.p.Fenced() {
		return
	}
	e, err := h.p.Plan(h.w.now)
	if err != nil {
		h.w.problem = err.Error()
		return
	}
	for _, s := range e.Stops {
		h.send(func() { h.stop(s) }, nil)
	}
	h.busy = true
	if h.w.mutant == startsBeforeRecord {
		h.orders(e.Starts)
	}
	if h.w.mutant == acksBeforeRecord {
		h.p.Committed(e)
	}
	h.store(e)
}

// store appends until the store has answered; a holder of an older epoch is refused for good.
func (h *simHolder) store(e Effects) {
	w := h.w
	w.later(10*time.Millisecond, func() {
		if h.dead {
			return
		}
		if w.now.Boot < h.storeCut {
			w.later(simStep, func() { h.store(e) })
			return
		}
		if w.epoch != h.p.Epoch {
			h.dead = true
			return
		}
		h.p.ConfirmHeld(w.now.Boot)
		if w.chance(0.05) && !w.quiet() {
			// The append is not answered at once; at times it takes seconds.
			w.later(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { h.store(e) })
			return
		}
		for _, r := range e.Records {
			var progress work.Progress
			if err := proto.Unmarshal(r.Value, &progress); err != nil {
				w.problem = err.Error()
			}
			w.stored[progress.GetJobID()] = &progress
		}
		w.later(5*time.Millisecond, func() { h.stored(e) })
	})
}

func (h *simHolder) stored(e Effects) {
	if h.dead {
		return
	}
	if h.w.now.Boot < h.frozen {
		h.w.later(simStep, func() { h.stored(e) })
		return
	}
	h.busy = false
	h.p.Committed(e)
	if h.w.mutant != startsBeforeRecord {
		h.orders(e.Starts)
	}
}

func (h *simHolder) orders(starts []Start) {
	for _, s := range starts {
		answered := false
		h.send(func() {
			worker := h.w.find(s.Worker.ID)
			if worker != nil && h.w.now.Boot < worker.cutUntil {
				// The network delivers it once the cut is over.
				h.w.later(worker.cutUntil-h.w.now.Boot+h.w.delay(), func() { h.w.find(s.Worker.ID).take(s) })
				return
			}
			outcome, clock := worker.take(s)
			h.w.later(h.w.delay(), func() {
				if !answered {
					answered = true
					h.p.Started(h.w.now, s, outcome, clock)
				}
			})
		}, func() {
			if !answered {
				answered = true
				h.p.Started(h.w.now, s, citron.StartUnknown, 0)
			}
		})
	}
}

func (h *simHolder) stop(s Stop) {
	worker := h.w.find(s.Worker.ID)
	if worker == nil {
		h.w.later(h.w.delay(), func() { h.p.Gone(h.w.now, s.Worker.ID) })
		return
	}
	if worker.reaches(s.Order.Epoch) && !worker.fences(s.Order.Epoch) && worker.end(s.Order) {
		clock := worker.clock()
		h.w.later(h.w.delay(), func() { h.p.Stopped(h.w.now, s, clock) })
	}
}

func (w *world) delay() time.Duration { return time.Duration(1+w.rng.IntN(20)) * time.Millisecond }

// send carries an order out after a while, at times seconds later, and at times its answer is lost.
func (h *simHolder) send(do, lost func()) {
	w := h.w
	d := w.delay()
	if !w.quiet() && w.chance(0.04) {
		d = time.Duration(500+w.rng.IntN(11000)) * time.Millisecond
	}
	w.later(d, do)
	if lost != nil {
		w.later(300*time.Millisecond, lost)
	}
}

func (w *world) find(id citron.Worker) *simWorker {
	for _, s := range w.workers {
		if s.entry.ID == id {
			return s
		}
	}
	return nil
}

func (h *simHolder) poll() {
	w := h.w
	for _, id := range h.p.Workers() {
		if h.polling[id] {
			continue
		}
		_, o, _, ok := h.p.NextRenewal(w.now, id)
		if !ok {
			continue
		}
		h.polling[id] = true
		sent := w.now.Boot
		answered := false
		w.later(w.delay(), func() {
			s := w.find(id)
			if s == nil {
				answered = true
				h.p.Gone(w.now, id)
				return
			}
			if !s.reaches(o.Epoch) || w.chance(0.02) && !w.quiet() || s.fences(o.Epoch) {
				return
			}
			report, clock := s.hold(o)
			w.later(w.delay(), func() {
				answered = true
				h.polling[id] = false
				if !h.dead && w.now.Boot >= h.frozen {
					h.p.Renewed(w.now, id, sent, report, clock)
				}
			})
		})
		w.later(400*time.Millisecond, func() {
			if !answered {
				h.polling[id] = false
			}
		})
	}
}

// born begins a new life.
func (s *simWorker) born() {
	s.w.lives++
	s.entry.ID = citron.Worker(fmt.Sprintf("i-%d", s.w.lives))
	s.entry.Address = string(s.entry.ID)
	s.base, s.token, s.deadline = s.w.now.Boot, 0, 0
	s.endedAt = map[int64]time.Duration{}
	s.runs, s.highest, s.ended, s.ends = map[citron.TaskRef]*simRun{}, map[citron.TaskRef]int32{}, nil, 0
}

// reaches reports whether the holder of an epoch reaches the worker.
func (s *simWorker) reaches(epoch citron.Epoch) bool {
	return s.w.now.Boot >= s.cutUntil && (epoch <= s.former || s.w.now.Boot >= s.formerUntil)
}

// clock is the worker's own steady clock.
func (s *simWorker) clock() time.Duration {
	return time.Minute + time.Duration(float64(s.w.now.Boot-s.base)*s.drift)
}

func (s *simWorker) fences(epoch citron.Epoch) bool {
	if epoch < s.token {
		return true
	}
	s.token = max(s.token, epoch)
	return false
}

func (s *simWorker) take(o Start) (citron.StartOutcome, time.Duration) {
	if s == nil {
		return citron.StartGone, 0
	}
	order := o.Order
	if !s.reaches(order.Epoch) {
		return citron.StartUnknown, 0
	}
	switch {
	case s.fences(order.Epoch):
		return citron.StartFenced, s.clock()
	case order.Deadline <= s.clock() && s.w.mutant != lateOrders:
		return citron.StartLate, s.clock()
	}
	s.deadline = max(s.deadline, order.Deadline)
	if run := s.runs[order.Task]; run != nil && run.run == order.Run {
		return citron.Started, s.clock()
	}
	if order.Run <= s.highest[order.Task] {
		return citron.StartStale, s.clock()
	}
	s.begin(order)
	return citron.Started, s.clock()
}

// begin starts a run and checks what must hold at that moment.
func (s *simWorker) begin(o citron.StartOrder) {
	w := s.w
	need, members := w.need(o.Task)
	used := citron.Capacity{}
	for _, run := range s.runs {
		used = used.Add(run.need)
	}
	if !s.entry.Capacity.Sub(used).Fits(need) {
		w.report("LIMIT: %s on %s over its capacity", o.Task, s.entry.ID)
	}
	for _, other := range w.workers {
		if run := other.runs[o.Task]; run != nil {
			w.report("TWICE: %s run %d on %s while run %d is on %s", o.Task, o.Run, s.entry.ID, run.run, other.entry.ID)
		}
	}
	if w.done[o.Task] {
		w.report("TWICE: %s run %d on %s after its end as done was acknowledged", o.Task, o.Run, s.entry.ID)
	}
	if w.failed[o.Task] >= 4 {
		w.report("BUDGET: %s run %d after four acknowledged failures", o.Task, o.Run)
	}
	s.highest[o.Task], w.begun[o.Task] = o.Run, w.now.Boot
	s.runs[o.Task] = &simRun{run: o.Run, need: need, gang: members, until: w.now.Boot + time.Duration(200+w.rng.IntN(1500))*time.Millisecond, fails: w.chance(0.03)}
}

func (w *world) report(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf("at %v: ", w.now.Boot-w.start) + fmt.Sprintf(format, args...)
	}
}

// need returns what a task needs and how many members its gang has.
func (w *world) need(ref citron.TaskRef) (need citron.Capacity, members int) {
	var id string
	var occurrence, step, index int
	if _, err := fmt.Sscanf(string(ref), "%4s.%d.%d.%d", &id, &occurrence, &step, &index); err != nil {
		w.report("task %s has no readable name: %v", ref, err)
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
	w.report("UNASKED: %s belongs to no job", ref)
	return need, 0
}

func (s *simWorker) end(o citron.StopOrder) bool {
	s.highest[o.Task] = max(s.highest[o.Task], o.Run)
	if run := s.runs[o.Task]; run != nil && run.run <= o.Run && run.stopping == 0 {
		run.stopping = s.w.now.Boot + time.Duration(s.w.rng.IntN(int(testOptions.StopGrace)))
	}
	return true
}

func (s *simWorker) list(ref citron.TaskRef, how citron.EndKind) {
	if run := s.runs[ref]; run.gang > 0 && how != citron.EndDone && how != citron.EndGangBroken {
		defer s.w.breakGang(ref, run.run)
	}
	s.ends++
	s.endedAt[s.ends] = s.w.now.Boot
	s.ended = append(s.ended, citron.EndedTask{Number: s.ends, Task: ref, Run: s.runs[ref].run, Kind: how})
	delete(s.runs, ref)
}

func (s *simWorker) tick() {
	if s.clock() > s.deadline {
		s.excused = s.ends
	}
	refs := make([]citron.TaskRef, 0, len(s.runs))
	for ref := range s.runs {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	for _, ref := range refs {
		run := s.runs[ref]
		if run == nil {
			continue // It ended with its gang.
		}
		switch now := s.w.now.Boot; {
		case s.clock() > s.deadline:
			s.list(ref, citron.EndLeaseExpired)
		case run.stopping > 0 && now >= run.stopping && run.broken:
			s.list(ref, citron.EndGangBroken)
		case run.stopping > 0 && now >= run.stopping:
			s.list(ref, citron.EndStopped)
		case now >= run.until && run.fails:
			s.list(ref, citron.EndFailed)
		case now >= run.until && run.gang > 0:
			s.w.endGang(ref, run)
		case now >= run.until:
			s.list(ref, citron.EndDone)
		}
	}
}

// endGang ends all members of a gang as done once all are there.
func (w *world) endGang(ref citron.TaskRef, run *simRun) {
	type member struct {
		s   *simWorker
		ref citron.TaskRef
	}
	var members []member
	for _, s := range w.workers {
		for other, r := range s.runs {
			if r.run == run.run && stepOf(other) == stepOf(ref) && r.stopping == 0 {
				members = append(members, member{s, other})
			}
		}
	}
	if len(members) < run.gang {
		return
	}
	for _, m := range members {
		m.s.list(m.ref, citron.EndDone)
	}
}

// stepOf cuts the index off the name of a task.
func stepOf(ref citron.TaskRef) string { return string(ref[:strings.LastIndexByte(string(ref), '.')]) }

// breakGang ends the other members of a gang of which one has ended without being done.
func (w *world) breakGang(ref citron.TaskRef, number int32) {
	for _, s := range w.workers {
		for other, run := range s.runs {
			if other != ref && run.gang > 0 && run.run == number && stepOf(other) == stepOf(ref) && run.stopping == 0 {
				run.stopping = w.now.Boot + simStep
				run.broken = true
			}
		}
	}
}

func (s *simWorker) hold(o citron.RenewOrder) (r citron.WorkerReport, clock time.Duration) {
	if o.Deadline > 0 {
		s.deadline = max(s.deadline, min(o.Deadline, s.clock()+6*time.Second))
	}
	kept := s.ended[:0]
	for _, end := range s.ended {
		if end.Number > o.Acked {
			kept = append(kept, end)
			continue
		}
		if end.Number <= s.excused {
			continue
		}
		switch end.Kind {
		case citron.EndDone:
			s.w.done[end.Task] = true
			if s.w.begun[end.Task] > s.endedAt[end.Number] {
				s.w.report("TWICE: run %d of %s was done on %s, acknowledged after a later start", end.Run, end.Task, s.entry.ID)
			}
		case citron.EndFailed:
			s.w.failed[end.Task]++
		}
	}
	s.ended = kept
	for ref, run := range s.runs {
		r.Running = append(r.Running, citron.RunningTask{Task: ref, Run: run.run})
	}
	slices.SortFunc(r.Running, func(a, b citron.RunningTask) int { return cmp.Compare(a.Task, b.Task) })
	r.Ended = append(r.Ended, s.ended...)
	return r, s.clock()
}

// unfinished reports a job that has not ended although all was quiet for long.
func (w *world) unfinished() {
	for _, j := range w.accepted {
		if p := w.stored[j.GetID()]; !IsTerminal(p.GetState()) {
			w.report("LOST: job %s is %v", j.GetID(), p)
			return
		}
	}
}

// simSeeds is the number of plays in CI; each takes a few hundredths of a second.
const simSeeds = 40

func TestChangesOfHolderKeepWhatMustHold(t *testing.T) {
	for seed := range uint64(simSeeds) {
		if problem := play(seed, sound); problem != "" {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
}

func TestMissingRulesAreFound(t *testing.T) {
	for name, m := range map[string]mutant{
		"starts before their record": startsBeforeRecord,
		"ends before all jobs":       completeTooSoon,
		"lease too short":            leaseTooShort,
		"orders carried out late":    lateOrders,
		"acks before their record":   acksBeforeRecord,
		"leases without a proof":     leaseUnproved,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5 * simSeeds) {
				if play(seed, m) != "" {
					return
				}
			}
			t.Error("no play showed that the rule is missing")
		})
	}
}
