package pool

import "github.com/citroncross/citroncross/citron"

// Cordon replaces the set of cordoned workers, which accept no new tasks.
func (p *Pool) Cordon(ids []citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.byID {
		w.cordoned = false
	}
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.cordoned = true
		}
	}
}

// RunCount returns the number of runs on a worker, including those being stopped.
func (p *Pool) RunCount(id citron.Worker) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; w != nil {
		return len(w.tasks)
	}
	return 0
}

// EvictTasks stops the tasks on a worker. Of a step that limits how many of its tasks may be missing, it stops only as
// many as the limit allows now; call it again for the others.
func (p *Pool) EvictTasks(now citron.Instant, id citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil {
		return
	}
	missing := map[*step]int{}
	for _, t := range w.tasksWith(func(t *task) bool { return t.state.active() }) {
		if limit := int(t.step.spec.GetMayMiss()); limit > 0 && fullyReady(t) {
			if _, counted := missing[t.step]; !counted {
				missing[t.step] = countMissing(t.step)
			}
			if missing[t.step] >= limit {
				continue
			}
			missing[t.step]++
		}
		p.observe(Decision{Kind: DecidedRequeue, Job: t.step.job.id, Task: t.ref, Run: t.run, Worker: id, Reason: "its machine goes down for upkeep"})
		p.stopRun(now.Boot, t)
	}
}

// readyPercent is the progress that a fully ready task reports.
const readyPercent = 100

// fullyReady reports whether a task is running and has reported readyPercent.
func fullyReady(t *task) bool {
	return t.state == taskRunning && t.percent >= readyPercent
}

// countMissing counts the tasks of a step that are not fully ready.
func countMissing(s *step) (n int) {
	n = s.tasks.size
	for t := range s.tasks.withObject {
		if fullyReady(t) {
			n--
		}
	}
	return n
}
