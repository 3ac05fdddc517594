package pool

import (
	"slices"
	"time"
)

// This file answers overloads that leave thousands of steps whose results are worth nothing any more. They run once there is room, but
// plans do not look at all of them: plans that take longer make the jobs late that arrive after the overload.

// maxIdleMisses is the number of idle steps that a plan tries in vain. What fits is started whatever their number.
const maxIdleMisses = 32

// setAside moves the steps that are too late from the waiting steps to the idle ones. Steps that have tickets, or have asked for them,
// stay until these expire, and services stay since they are of use whenever they start.
func (p *Pool) setAside(now time.Duration) {
	p.waiting = slices.DeleteFunc(p.waiting, func(s *step) bool {
		if s.job.terminal || s.waitingTasks() == 0 {
			return true
		}
		idle := p.latenessOf(now, s) == TooLate && !s.spec.GetService() && !s.advised(now) && s != p.aging.step
		if idle {
			p.idle = append(p.idle, s)
		}
		return idle
	})
}

// recallAged moves the idle step that has waited longest back to the waiting ones if it may come before all others.
func (p *Pool) recallAged(now time.Duration) {
	if p.share == nil || now < p.aging.due || len(p.idle) == 0 {
		return
	}
	oldest := slices.MinFunc(p.idle, func(a, b *step) int { return int(a.waitsSince() - b.waitsSince()) })
	if now-oldest.waitsSince() > agedAfter {
		p.idle = slices.DeleteFunc(p.idle, func(s *step) bool { return s == oldest })
		p.waiting = append(p.waiting, oldest)
	}
}

// placeIdle starts idle steps in turn, until maxIdleMisses of them cannot start.
func (wp *waitingPass) placeIdle() {
	p := wp.pool
	for left, misses := len(p.idle), 0; left > 0 && misses < maxIdleMisses; left-- {
		s := p.idle[0]
		p.idle = p.idle[1:]
		if s.job.terminal {
			continue
		}
		before := s.waitingTasks()
		wp.placeStep(s)
		wp.observeWait(s)
		switch after := s.waitingTasks(); {
		case after == 0:
		case s.advised(wp.now):
			p.waiting = append(p.waiting, s)
		default:
			p.idle = append(p.idle, s)
			if after == before {
				misses++
			}
		}
	}
}
