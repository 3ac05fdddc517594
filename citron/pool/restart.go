package pool

import (
	"fmt"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// beginLife notes the incarnation in an entry of a worker, or in its answer to an order that was sent at the given time.
// Current is false if it is a former one, whose news must be ignored. The clock from which incarnations are taken may step
// back, but whoever answers an order that was sent after the newest life was known belongs to that one or a later one.
func (p *Pool) beginLife(now time.Duration, w *worker, reported citron.Incarnation, sent time.Duration, source string) (current bool) {
	switch {
	case reported == 0 || reported == w.incarnation:
		return true
	case reported < w.incarnation && sent <= w.lifeSince:
		return false
	}
	// A worker that has answered without an incarnation does not tell one later in the same life.
	restarted := w.incarnation != 0 || w.reported
	if restarted {
		p.observe(Decision{
			Kind: DecidedWorkerRestarted, Worker: w.entry.ID, Outcome: source,
			Reason: fmt.Sprintf("started at %d, before at %d; %d tasks, ends applied up to %d", reported, w.incarnation, len(w.tasks), w.processedEnd),
		})
		p.forgetLife(now, w)
	}
	w.incarnation, w.lifeSince = reported, now
	p.endFormerRuns(now, w, restarted)
	return true
}

// forgetLife resets what holds for one life of a worker only. What the former life ran may have been started again on the
// new one by an order that was under way, so its lease counts as if this holder had just taken over.
func (p *Pool) forgetLife(now time.Duration, w *worker) {
	w.gone, w.reported = false, false
	w.processedEnd, w.ackedEnd, w.listedEnd = 0, 0, 0
	w.unrecordedRuns, w.blockedUntil, w.failures = false, 0, failureStreak{}
	w.leaseUntil = max(w.leaseUntil, now+p.maxLeaseTime(p.Options.MaxLease))
	p.runTimes.Forget(w.entry.ID)
	for _, s := range p.steps {
		delete(s.permits, w.entry.ID)
		delete(s.eligible, w.entry.ID)
	}
}

// endFormerRuns stops the runs on a worker that were ordered in another life of it, so that they cannot start late, and
// counts the crash. Restarted is set if runs of an unknown life belong to a former one.
func (p *Pool) endFormerRuns(now time.Duration, w *worker, restarted bool) {
	var ended []*task
	for _, t := range w.sortedTasks() {
		if t.incarnation != w.incarnation && (t.incarnation != 0 || restarted) {
			ended = append(ended, t)
		}
	}
	if len(ended) > 0 {
		p.recordLost(now, w, ended)
	}
	for _, t := range ended {
		t.incarnation, t.startedAt, t.startSeen = w.incarnation, now, false
		if t.state == taskLeaving {
			t.stateSince = now
			continue
		}
		p.stopRun(now, t)
	}
	if restarted || len(ended) > 0 {
		p.countCrash(now, w)
	}
	for _, t := range ended {
		if t.step.spec.GetGang() && t.worker != nil && !t.finished() {
			p.breakGang(now, t.step)
		}
	}
}

// target returns the worker's entry for an order to its present life.
func (w *worker) target() citron.WorkerEntry {
	entry := w.entry
	entry.Incarnation = w.incarnation
	return entry
}

// maxAckAge is the longest time from a worker's last report to an acknowledgement, less than a restart takes. It passes if
// this daemon was suspended.
const maxAckAge = 500 * time.Millisecond

// unackedEnd returns the number up to which ends may be acknowledged, 0 if the last report lists none of them. The worker
// may have restarted since, and forgets what is acknowledged whether it has listed it or not. So nothing is acknowledged
// twice, nor before a worker that was unresponsive has sent a report: answers to other orders do not tell its life.
func (w *worker) unackedEnd(now time.Duration) int64 {
	if !w.sameLife || now-w.lastReport > maxAckAge || w.listedEnd == 0 || w.listedEnd > w.ackedEnd {
		return 0
	}
	return w.ackedEnd
}
