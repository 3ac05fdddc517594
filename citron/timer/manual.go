package timer

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Manual is a timer for tests that only Advance moves. The zero value starts at zero.
type Manual struct {
	mu            sync.Mutex
	now           citron.Instant
	subscriptions []*subscription
}

// subscription is a call of After or Every.
type subscription struct {
	// due is the boot time of the next delivery.
	due time.Duration
	// period is 0 for After.
	period time.Duration
	out    chan citron.Instant
	ended  bool
}

var _ citron.Timer = (*Manual)(nil)

// Now returns the current reading of both clocks.
func (m *Manual) Now() citron.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After delivers one instant once the timer has been advanced by d.
func (m *Manual) After(d time.Duration) (c <-chan citron.Instant, stop func()) {
	return m.subscribe(d, 0)
}

// Every delivers an instant once the timer has been advanced by a further period.
func (m *Manual) Every(period time.Duration) (c <-chan citron.Instant, stop func()) {
	return m.subscribe(period, period)
}

// Advance moves both clocks forward by d and delivers to the subscriptions that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for _, s := range m.subscriptions {
		s.deliver(m.now)
	}
}

// OpenSubscriptions returns the number of subscriptions that have not ended.
func (m *Manual) OpenSubscriptions() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.subscriptions {
		if !s.ended {
			n++
		}
	}
	return n
}

func (m *Manual) subscribe(d, period time.Duration) (c <-chan citron.Instant, stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &subscription{due: m.now.Boot + d, period: period, out: make(chan citron.Instant, 1)}
	m.subscriptions = append(m.subscriptions, s)
	s.deliver(m.now)
	return s.out, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		s.ended = true
	}
}

// deliver sends now if the subscription is due. It drops the instant if the reader has not received the last one.
func (s *subscription) deliver(now citron.Instant) {
	if s.ended || now.Boot < s.due {
		return
	}
	select {
	case s.out <- now:
	default:
	}
	if s.period == 0 {
		s.ended = true
		return
	}
	for s.due <= now.Boot {
		s.due += s.period
	}
}
