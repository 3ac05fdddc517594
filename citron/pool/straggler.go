package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// stragglerFactor is the multiple of the expected run time on a worker from which a run is a straggler. Where three runs in
	// a hundred take seven times as long, one that exceeds 2.5 times has 4.5 to go, while a new run takes 1.
	stragglerFactor = 2.5
	// maxRestartedShare is the maximum share of restarted tasks in the running ones, which bounds what a wrong estimate costs.
	maxRestartedShare = 0.02
	// stragglerInterval is the time between two searches. It is short against the run times for which a restart pays.
	stragglerInterval = 100 * time.Millisecond
	// minRestartResults is the number of restarted tasks after which their results decide whether more are restarted.
	minRestartResults = 5
)

// stragglers is what is known of restarted tasks.
type stragglers struct {
	checkedAt time.Duration
	// ended counts the restarted tasks that were no stragglers in their new run, late those that were.
	ended, late int
}

// useful reports whether restarts help: the tail may be due to the tasks themselves.
func (s *stragglers) useful() bool {
	return s.ended+s.late < minRestartResults || s.ended > s.late
}

// restartStragglers stops stragglers of steps that allow duplicates, so that they run elsewhere: those that exceed their
// expected run time most first, each at most once, and only while another worker has capacity that no waiting step takes.
// It applies where Options.RestartStragglers is set and teams are in force or workers differ in speed.
func (wp *waitingPass) restartStragglers() {
	p := wp.pool
	if !p.Options.RestartStragglers || p.terms == nil && !p.speeds.differ() || wp.now-p.stragglers.checkedAt < stragglerInterval {
		return
	}
	p.stragglers.checkedAt = wp.now
	list, running, restarted := p.findStragglers(wp.now)
	for _, t := range list {
		if float64(restarted+1) > maxRestartedShare*float64(running) || !p.stragglers.useful() {
			return
		}
		if !wp.fitsElsewhere(t) {
			continue
		}
		restarted++
		t.restarted = true
		t.avoid(t.worker)
		p.observe(Decision{
			Kind: DecidedRequeue, Job: t.step.job.id, Task: t.ref, Run: t.run, Worker: t.worker.entry.ID, Reason: "straggler",
			Age: wp.now - t.startedAt, Expected: p.runTimeOn(t.worker, t.step),
		})
		p.stopRun(wp.now, t)
	}
}

// findStragglers returns the stragglers that may be restarted, the latest first, and counts the running tasks and those of
// them that have been restarted. It also counts the restarted tasks that are stragglers again.
func (p *Pool) findStragglers(now time.Duration) (list []*task, running, restarted int) {
	lateness := map[*task]float64{}
	for _, w := range p.byID {
		running += len(w.tasks)
		for _, t := range w.tasks {
			if t.restarted {
				restarted++
			}
			late := p.lateness(now, t)
			switch {
			case late < stragglerFactor:
			case !t.restarted:
				lateness[t] = late
				list = append(list, t)
			case !t.restartCounted:
				t.restartCounted = true
				p.stragglers.late++
			}
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Or(cmp.Compare(lateness[b], lateness[a]), cmp.Compare(a.ref, b.ref)) })
	return list, running, restarted
}

// lateness returns the run time of a task that may be restarted relative to the expected one, 0 for other tasks and as
// long as no run of the kind has ended.
func (p *Pool) lateness(now time.Duration, t *task) float64 {
	s := t.step
	if t.state != taskRunning || !t.startSeen || !s.spec.GetCopies() || s.spec.GetGang() || s.spec.GetService() || t.finished() {
		return 0
	}
	if p.runTimes.Estimate(kindOf(s.job, s.index), 0) == 0 {
		return 0
	}
	return float64(now-t.startedAt) / float64(max(p.runTimeOn(t.worker, s), time.Millisecond))
}

// fitsElsewhere reports whether a worker other than its own has room for a task and may run it. Its step may have to renew
// the ticket.
func (wp *waitingPass) fitsElsewhere(t *task) bool {
	s := t.step
	return slices.ContainsFunc(wp.pool.byID, func(w *worker) bool {
		return w != t.worker && w.usable(wp.now) && w.entry.Service == citron.Service(s.job.spec.GetTerms().GetService()) &&
			w.entry.HasLabel(s.spec.GetRequires()) && !interferes(s, w) && wp.capacityFor(s, w).Fits(s.need) &&
			(s.job.spec.GetTerms().GetAdvice() == nil || s.eligible[w.entry.ID]) && w.speed.class >= min(t.worker.speed.class, usualWorker)
	})
}

// recordRestartEnd counts the end of a restarted task.
func (p *Pool) recordRestartEnd(t *task) {
	if t.restarted && !t.restartCounted {
		t.restartCounted = true
		p.stragglers.ended++
	}
}

// avoid makes placement prefer other workers for a task.
func (t *task) avoid(w *worker) {
	if t.failedOn == nil {
		t.failedOn = map[citron.Worker]bool{}
	}
	t.failedOn[w.entry.ID] = true
	c := &t.step.counts
	if c.failedOn == nil {
		c.failedOn = map[citron.Worker]bool{}
	}
	c.failedOn[w.entry.ID] = true
}
