package site

import (
	"math/rand/v2"
	"time"
)

// lateFrom and lateTo are the limits of the time after which an order that gets no answer is carried out.
const (
	lateFrom = 2 * time.Second
	lateTo   = 12 * time.Second
)

// LateOrders makes workers leave a share of the orders unanswered, until it is called with a share of 0. Each is carried out 2 to
// 12 s later by the instance that has the worker's id by then.
func (s *Site) LateOrders(share float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare, s.lateChoices = share, rand.New(rand.NewPCG(seed, 2))
}

// postpone reports whether an order to an instance gets no answer, and arranges that it is carried out later.
func (s *Site) postpone(i *Instance, call string, o order) bool {
	s.mu.Lock()
	if s.lateShare == 0 || s.lateChoices.Float64() >= s.lateShare {
		s.mu.Unlock()
		return false
	}
	delay := lateFrom + time.Duration(s.lateChoices.Int64N(int64(lateTo-lateFrom)))
	s.mu.Unlock()
	s.runAfter(delay, func() {
		for _, present := range s.Instances() {
			if present.ID == i.ID {
				present.carryOutLate(call, o, present != i)
			}
		}
	})
	return true
}

// carryOutLate carries out an order that was left unanswered, possibly by another life of the worker. Before a later order has
// reached that life, nothing can keep it from doing so; such an order is lost.
func (i *Instance) carryOutLate(call string, o order, otherLife bool) {
	defer i.deliverEvents()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.gone || otherLife && i.highestToken < o.Token {
		return
	}
	i.endDueRuns()
	if i.checkToken(o) != "" {
		return
	}
	switch call {
	case "run-start":
		i.start(o)
	case "run-stop":
		i.stop(o)
	case "hold":
		o.WaitMs = 0
		i.renew(nil, o)
	}
}

// HighestToken returns the highest fencing token that the instance has seen.
func (i *Instance) HighestToken() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.highestToken
}
