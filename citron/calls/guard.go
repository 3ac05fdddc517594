package calls

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// maxRetries is the maximum number of retries of a request.
	maxRetries = 2
	// maxRetryBalance is the maximum number of retries that accumulate while few attempts fail.
	maxRetryBalance = 20
)

// retryBudget limits retries to a percentage of requests. The zero value is empty.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

// deposit adds percent of a retry for one request.
func (b *retryBudget) deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+float64(percent)/100, maxRetryBalance)
}

// withdraw takes one retry from the balance and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// attemptSet holds the accepted forwarded attempts, so that a message delivered twice runs once.
type attemptSet struct {
	mu      sync.Mutex
	expires map[citron.AttemptID]time.Duration
}

// add adds an attempt and reports whether it is new.
func (s *attemptSet) add(id citron.AttemptID, until time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expires == nil {
		s.expires = map[citron.AttemptID]time.Duration{}
	}
	if _, known := s.expires[id]; known {
		return false
	}
	s.expires[id] = until
	return true
}

// expire deletes attempts whose deadline has passed.
func (s *attemptSet) expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.expires {
		if until < now {
			delete(s.expires, id)
		}
	}
}

// requestCounter counts requests in progress.
type requestCounter struct {
	mu sync.Mutex
	n  int
}

// begin counts a request until end is called.
func (f *requestCounter) begin() (end func()) {
	f.mu.Lock()
	f.n++
	f.mu.Unlock()
	return func() {
		f.mu.Lock()
		f.n--
		f.mu.Unlock()
	}
}

func (f *requestCounter) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
