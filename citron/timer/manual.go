package timer

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Manual is a timer that a test moves by hand. The zero value starts at zero.
type Manual struct {
	mu            sync.Mutex
	now           citron.Instant
	subscriptions []*subscription
}

type subscription struct {
	due    time.Duration
	period time.Duration
	out    chan citron.Instant
	ended  bool
}

var _ citron.Timer = (*Manual)(nil)

// Now returns the instant that the test has set.
func (m *Manual) Now() citron.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After delivers one instant once the test has moved the time by d.
func (m *Manual) After(d time.Duration) (c <-chan citron.Instant, stop func()) {
	return m.subscribe(d, 0)
}

// Every delivers an instant each period of the test's time.
func (m *Manual) Every(period time.Duration) (c <-chan citron.Instant, stop func()) {
	return m.subscribe(period, period)
}

// Advance moves both clocks and delivers what has come due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for _, s := range m.subscriptions {
		s.deliver(m.now)
	}
}

// OpenSubscriptions returns the number of open subscriptions.
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
