package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/link"
)

// sendInterval is the minimum time between two messages of a stream. Under load, several orders or answers share a message,
// each of which costs more than what it contains.
const sendInterval = 12 * time.Millisecond

// maxClockWait is the longest wait for the first message of another daemon, without which no order has a time limit there.
const maxClockWait = 100 * time.Millisecond

// maxQueued is the maximum number of orders that wait to be sent on one stream.
const maxQueued = 4096

// session exchanges orders and answers with one daemon.
type session struct {
	// wakeup is signalled when an order has been queued.
	wakeup chan struct{}

	mu     sync.Mutex
	number uint64
	queue  []*link.Order
	// pending holds where to deliver the answers that are waited for.
	pending map[uint64]pendingOrder
	// reports are the last reports that have been received, by worker.
	reports map[citron.Worker]*baseReport
	// clock is that of the other daemon. clockKnown is closed once it has been read or the stream has ended.
	clock      remoteClock
	clockKnown chan struct{}
	// err is set once the stream has ended.
	err error
}

// pendingOrder is an order whose answer is waited for.
type pendingOrder struct {
	worker citron.Worker
	// answer delivers the answer and is closed if there will be none.
	answer chan *link.Answer
}

func newSession() *session {
	return &session{
		wakeup: make(chan struct{}, 1), clockKnown: make(chan struct{}),
		pending: map[uint64]pendingOrder{}, reports: map[citron.Worker]*baseReport{},
	}
}

// awaitClock waits until the clock of the other daemon has been read. After an error no order has been sent.
func (s *session) awaitClock(ctx context.Context, clock citron.Timer) (err error) {
	select {
	case <-s.clockKnown:
	default:
		due, stop := clock.After(maxClockWait)
		defer stop()
		select {
		case <-s.clockKnown:
		case <-due:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.clock.known {
		return errors.Join(citron.ErrRejected, errNoAnswer, s.err)
	}
	return nil
}

// expiry returns the reading of the other daemon's clock at a local boot time, or an earlier one.
func (s *session) expiry(local time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.at(local)
}

// exchange queues an order and waits for its answer.
func (s *session) exchange(ctx context.Context, o *link.Order) (*link.Answer, error) {
	answer := make(chan *link.Answer, 1)
	s.mu.Lock()
	if s.err != nil || len(s.queue) >= maxQueued {
		err := s.err
		s.mu.Unlock()
		if err == nil {
			err = errNoAnswer
		}
		return nil, err
	}
	s.number++
	o.Number = s.number
	if base := s.reports[citron.Worker(o.GetWorker())]; base != nil && o.Renew != nil {
		o.Renew.Base = base.number
	}
	s.queue = append(s.queue, o)
	s.pending[o.GetNumber()] = pendingOrder{citron.Worker(o.GetWorker()), answer}
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	select {
	case a, ok := <-answer:
		if !ok {
			return nil, s.failure()
		}
		return a, nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, o.GetNumber())
		return nil, errNoAnswer
	}
}

// run opens the stream and carries orders until it fails or the context ends.
func (s *session) run(ctx context.Context, clock citron.Timer, open func(context.Context) (Stream, error), exchanges *spawn.Group) {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := open(inner)
	if err != nil {
		s.fail(err)
		return
	}
	exchanges.Go(func(context.Context) {
		defer cancel()
		for {
			answers, err := stream.Recv()
			if err != nil {
				s.fail(err)
				return
			}
			s.recordClock(clock.Now().Boot, millis(answers.GetClockMs()))
			s.deliver(answers.GetAnswers())
		}
	})
	for {
		select {
		case <-s.wakeup:
		case <-inner.Done():
			s.fail(inner.Err())
			return
		}
		if orders := s.dequeue(); len(orders) > 0 {
			if err := stream.Send(&link.Orders{Orders: orders}); err != nil {
				s.fail(err)
				return
			}
			timer.Pause(inner, clock, sendInterval)
		}
	}
}

// dequeue returns the queued orders whose answers are still waited for.
func (s *session) dequeue() (orders []*link.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.queue {
		if _, waiting := s.pending[o.GetNumber()]; waiting {
			orders = append(orders, o)
		}
	}
	s.queue = nil
	return orders
}

// recordClock records a reading of the other daemon's clock; 0 is none.
func (s *session) recordClock(now, reading time.Duration) {
	if reading == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.clock.known && s.err == nil {
		close(s.clockKnown)
	}
	s.clock.record(now, reading)
}

// deliver passes answers to the exchanges that wait for them. A report that nobody waits for is not used as a base either,
// so that the next one is complete.
func (s *session) deliver(answers []*link.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range answers {
		waiting, ok := s.pending[a.GetNumber()]
		if !ok {
			continue
		}
		delete(s.pending, a.GetNumber())
		s.completeReport(waiting.worker, a)
		waiting.answer <- a
	}
}

// fail ends all exchanges that wait for answers.
func (s *session) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = err
	if !s.clock.known {
		close(s.clockKnown)
	}
	for number, waiting := range s.pending {
		delete(s.pending, number)
		close(waiting.answer)
	}
}

func (s *session) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
