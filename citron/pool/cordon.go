package pool

import "github.com/citroncross/citroncross/citron"

// Cordon names the workers that are given no more tasks; all others are.
func (p *Pool) Cordon(ids []citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.order {
		w.cordoned = false
	}
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.cordoned = true
		}
	}
}

// RunCount returns the number of runs on a worker, those that end included.
func (p *Pool) RunCount(id citron.Worker) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; w != nil {
		return len(w.tasks)
	}
	return 0
}

// EvictTasks stops the tasks on a worker. Of a step that may miss only so many tasks at a time, it stops as many as that
// allows now; call it again for the others.
func (p *Pool) EvictTasks(now citron.Instant, id citron.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil {
		return
	}
	for _, t := range w.sorted() {
		if t.state != taskRunning && t.state != taskOrdered && t.state != taskUnsure {
			continue
		}
		if may := int(t.step.spec.GetMayMiss()); may > 0 && atWork(t) && away(t.step) >= may {
			continue
		}
		p.observe(Decision{Kind: DecidedRequeue, Job: t.step.job.id, Task: t.ref, Run: t.run, Worker: id, Reason: "its machine goes down for upkeep"})
		p.stop(now.Boot, t)
	}
}

// fullPercent is what a task reports that is wholly at work.
const fullPercent = 100

func atWork(t *task) bool {
	return t.state == taskRunning && t.percent >= fullPercent
}

// away counts the tasks of a step that are not at work.
func away(s *step) (n int) {
	for _, t := range s.tasks {
		if !atWork(t) {
			n++
		}
	}
	return n
}
