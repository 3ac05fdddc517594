package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// evacuateBefore is how long before a worker leaves its tasks are stopped, beside the time that a stop takes.
	evacuateBefore = 400 * time.Millisecond
	// heldBack is the number of gangs that may keep room free for themselves.
	heldBack = 2
)

// Plan decides what to do next and returns the records that have to be stored first.
func (p *Pool) Plan(now citron.Instant) (e Effects, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openDue(now)
	p.watchWorkers(now.Boot)
	p.place(now.Boot, &e)
	e.Stops, p.stops = p.stops, nil
	for _, w := range p.order {
		if w.processed > w.acked {
			if e.Acks == nil {
				e.Acks = map[citron.Worker]int64{}
			}
			e.Acks[w.entry.ID] = w.processed
		}
	}
	p.expire(now.Boot, &e)
	return e, p.records(now, &e)
}

// Committed notes that the records of a plan are stored, so the ends in them may be forgotten by the workers.
func (p *Pool) Committed(e Effects) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, number := range e.Acks {
		if w := p.workers[id]; w != nil {
			w.acked = max(w.acked, number)
		}
	}
}

// RunSummary says what is known of the tasks on a worker.
type RunSummary struct {
	Tasks int
	// Unsettled is set where it is not known whether a run is still, or already, there.
	Unsettled bool
	// Unreported is set where the worker has not answered in this epoch.
	Unreported bool
}

// NextRenewal returns the next hold for a worker. It returns false for a worker that is gone.
func (p *Pool) NextRenewal(now citron.Instant, id citron.Worker) (entry citron.WorkerEntry, o citron.RenewOrder, l RunSummary, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil || w.dead || w.entry.Address == "" {
		return entry, o, l, false
	}
	o = citron.RenewOrder{Epoch: p.Epoch, Acked: w.acked}
	// A worker that does not answer may still hear: its lease must be left to lapse. So must the leases of a holder that
	// the store may have replaced: its successor waits for them where it cannot reach the worker.
	lease := min(p.Options.Lease, p.proved+p.Options.MaxLease-now.Boot)
	if w.reported && now.Boot-w.lastAnswer < p.Options.AnswerTimeout && lease > 0 {
		o.Deadline = now.Boot + w.clockAhead + lease
		w.leaseUntil = max(w.leaseUntil, now.Boot+p.lapse(lease))
	}
	l = RunSummary{Tasks: len(w.tasks), Unreported: !w.reported, Unsettled: w.strangers}
	for _, t := range w.tasks {
		l.Unsettled = l.Unsettled || t.state == taskUnsure || t.state == taskStopping || t.state == taskLeaving
	}
	return w.entry, o, l, true
}

// Workers lists the workers that can be reached.
func (p *Pool) Workers() (ids []citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.order {
		if !w.dead && w.entry.Address != "" {
			ids = append(ids, w.entry.ID)
		}
	}
	return ids
}

// watchWorkers gives up on leases that have lapsed, moves tasks off leaving workers and repeats unanswered stops.
func (p *Pool) watchWorkers(now time.Duration) {
	for _, w := range p.order {
		if len(w.tasks) == 0 {
			continue
		}
		if now > w.leaseUntil && now-w.lastAnswer > p.Options.AnswerTimeout {
			p.lost(now, w, "its lease has lapsed without an answer")
			continue
		}
		leaving := w.entry.Draining && now > w.leaves-p.Options.StopGrace-evacuateBefore
		for _, t := range w.sorted() {
			switch {
			case t.state == taskStopping && t.stopAcked == 0 && now-t.stopAsked > stopRetry:
				t.stopAsked = now
				p.sendStop(t)
			case leaving && t.state == taskRunning:
				p.observe(Decision{Kind: DecidedRequeue, Job: t.step.job.id, Task: t.ref, Run: t.run, Worker: w.entry.ID, Reason: "the worker leaves"})
				p.stop(now, t)
			}
		}
	}
}

// place starts what fits, in order of urgency.
func (p *Pool) place(now time.Duration, e *Effects) {
	p.lastPlan = PlanStats{}
	p.waiting = slices.DeleteFunc(p.waiting, func(s *step) bool { return s.job.terminal || s.waitingTasks() == 0 })
	p.sortWaiting(now)
	b := board{p: p, now: now, e: e, asked: map[string]int{}}
	for _, s := range p.waiting {
		p.lastPlan.WaitingSteps++
		b.step(s)
		b.explain(s)
		p.lastPlan.WaitingTasks += s.waitingTasks()
	}
	for _, w := range p.order {
		p.lastPlan.RunningTasks += len(w.tasks)
		if w.listed {
			p.lastPlan.ListedWorkers++
		}
		if w.usable(now) {
			p.lastPlan.UsableWorkers++
		}
	}
}

// explainAfter and explainEvery say when it is told why a step waits.
const (
	explainAfter = 3 * time.Second
	explainEvery = 3 * time.Second
)

// explain tells why a step has been waiting for long.
func (b *board) explain(s *step) {
	if s.waitingTasks() == 0 || b.now-s.readyAt < explainAfter || b.now-s.explained < explainEvery {
		return
	}
	s.explained = b.now
	b.p.observe(Decision{
		Kind: DecidedWait, Job: s.job.id, Task: citron.TaskRef(s.ref), Age: b.now - s.readyAt,
		Reason: b.waitsFor(s),
	})
}

func (s *step) waitingTasks() (n int) {
	for _, t := range s.tasks {
		if t.state == taskWaiting {
			n++
		}
	}
	return n
}

// rank is the place of a step in the order: what can still meet its objective, then priority, then least slack.
type rank struct {
	band     int
	priority int32
	deadline time.Duration
}

// Bands of lateness. Work that can no longer meet its objective gives way to work that can.
const (
	bandInTime = iota
	bandLate
	bandHopeless
)

// lateFactor times its objective after its arrival, a job is no longer worth anything to its caller.
const lateFactor = 3

func (p *Pool) sortWaiting(now time.Duration) {
	ranks := make(map[*step]rank, len(p.waiting))
	for _, s := range p.waiting {
		r := rank{priority: s.job.spec.GetTerms().GetPriority(), deadline: s.deadline}
		end := now + p.expected(s.job, s.index)
		switch objective := s.deadline - s.job.accepted; {
		case end <= s.deadline:
		case end <= s.job.accepted+lateFactor*objective:
			r.band = bandLate
		default:
			r.band = bandHopeless
		}
		ranks[s] = r
	}
	slices.SortStableFunc(p.waiting, func(a, b *step) int {
		ra, rb := ranks[a], ranks[b]
		return cmp.Or(cmp.Compare(ra.band, rb.band), cmp.Compare(ra.priority, rb.priority),
			cmp.Compare(ra.deadline, rb.deadline), cmp.Compare(a.ref, b.ref))
	})
}

// board is one pass over the waiting steps.
type board struct {
	p   *Pool
	now time.Duration
	e   *Effects
	// held is the room that waiting gangs keep, by worker, and until when.
	held  map[*worker]hold
	gangs int
	// asked counts the waiting steps with answers of the policy service, by queue.
	asked map[string]int
}

type hold struct {
	room  citron.Capacity
	until time.Duration
}

// step places the waiting tasks of one step as far as they fit.
func (b *board) step(s *step) {
	if b.now < s.backoff {
		return
	}
	if s.job.spec.GetTerms().GetAdvice() != nil {
		b.ask(s)
		if len(s.permits) == 0 {
			return
		}
	}
	if s.spec.GetGang() {
		b.gang(s)
		return
	}
	for _, t := range s.tasks {
		if t.state != taskWaiting {
			continue
		}
		w := b.best(s, t)
		if w == nil {
			return
		}
		b.start(t, w, t.run+1)
	}
}

// allowed reports whether a worker may run tasks of a step now.
func (b *board) allowed(s *step, w *worker) bool {
	if !w.usable(b.now) || w.entry.Service != citron.Service(s.job.spec.GetTerms().GetService()) || !w.entry.HasLabel(s.spec.GetRequires()) {
		return false
	}
	if disturbs(s, w) {
		return false
	}
	if s.job.spec.GetTerms().GetAdvice() == nil {
		return true
	}
	r, ok := s.permits[w.entry.ID]
	return ok && r.until > b.now+permitMargin
}

// disturbs reports whether tasks that fill and tasks with a bound on their tail latency would share a worker. How much
// they disturb each other differs by image and changes within seconds.
func disturbs(s *step, w *worker) bool {
	if !s.spec.GetFills() && s.spec.GetTailTargetMs() == 0 {
		return false
	}
	for _, t := range w.tasks {
		other := t.step.spec
		if s.spec.GetFills() && other.GetTailTargetMs() > 0 || s.spec.GetTailTargetMs() > 0 && other.GetFills() {
			return true
		}
	}
	return false
}

// room is what a worker has for a step, less what waiting gangs keep.
func (b *board) room(s *step, w *worker) citron.Capacity {
	free := w.free()
	if h, ok := b.held[w]; ok && b.now+b.p.expected(s.job, s.index) > h.until {
		free = free.Sub(h.room)
	}
	return free
}

// onWorker counts the tasks of a step on a worker.
func onWorker(s *step, w *worker) (n int) {
	for _, t := range s.tasks {
		if t.worker == w {
			n++
		}
	}
	return n
}

// best returns the worker that is left with the least room, near the data first.
func (b *board) best(s *step, t *task) (best *worker) {
	var bestScore int64
	for _, w := range b.p.order {
		// Room is looked at first: on a full estate it leaves few workers to look up tickets for.
		if !w.free().Fits(s.need) || !b.allowed(s, w) || !b.room(s, w).Fits(s.need) {
			continue
		}
		if limit := int(s.spec.GetPerWorker()); limit > 0 && onWorker(s, w) >= limit {
			continue
		}
		score := w.free().MilliCores - s.need.MilliCores
		if s.spec.GetFills() {
			// It works with what the others leave.
			score = -w.free().MilliCores
		}
		if rack := s.spec.GetDataRack(); rack != "" && string(w.entry.Rack) != rack {
			score += farPenalty
		}
		if s.spec.GetSameRack() && b.otherRack(s, w) {
			score += farPenalty
		}
		if w.fails.suspect() {
			score += suspectPenalty
		}
		if t.failedOn[w.entry.ID] {
			score += 2 * farPenalty
		}
		if best == nil || score < bestScore || score == bestScore && w.entry.ID < best.entry.ID {
			best, bestScore = w, score
		}
	}
	return best
}

const (
	// farPenalty outweighs any difference in room, in thousandths of a core.
	farPenalty = 1 << 40
	// suspectPenalty outweighs any difference in room, but no distance.
	suspectPenalty = 1 << 30
)

func (b *board) otherRack(s *step, w *worker) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.worker != nil && t.worker.entry.Rack != w.entry.Rack
	})
}

// start books the room, numbers the run and adds the order.
func (b *board) start(t *task, w *worker, run int32) {
	s, p := t.step, b.p
	t.state, t.run, t.worker, t.since, t.startedAt = taskOrdered, run, w, b.now, b.now
	w.tasks[t.ref] = t
	w.used = w.used.Add(s.need)
	w.leaseUntil = max(w.leaseUntil, b.now+p.lapse(p.Options.Lease))
	j := s.job
	p.dirty[j] = true
	b.e.Starts = append(b.e.Starts, Start{Worker: w.entry, Order: citron.StartOrder{
		Task:       t.ref,
		Run:        run,
		Payload:    j.spec.GetPayload(),
		Checkpoint: t.checkpoint,
		Ticket:     s.permits[w.entry.ID].ticket,
		Epoch:      p.Epoch,
		Deadline:   b.now + w.clockAhead + p.Options.StartTimeout,
	}})
	p.observe(Decision{Kind: DecidedStart, Job: j.id, Task: t.ref, Run: run, Worker: w.entry.ID, Age: b.now - t.waitedFrom})
}
