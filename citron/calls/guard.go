package calls

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// maxRetries bounds the further attempts of one request.
	maxRetries = 2
	// maxRetryBalance bounds the attempts that a quiet time saves up.
	maxRetryBalance = 20
)

// retryBudget bounds further attempts to a part of the requests. The zero value is empty.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

// deposit adds the part of an attempt that one request brings.
func (b *retryBudget) deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+float64(percent)/100, maxRetryBalance)
}

// withdraw takes one attempt and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// attemptSet remembers the attempts that have been taken on, so that a message that comes twice runs once.
type attemptSet struct {
	mu      sync.Mutex
	expires map[citron.AttemptID]time.Duration
}

// add reports whether an attempt is new.
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

// expire forgets attempts whose deadline has passed.
func (s *attemptSet) expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.expires {
		if until < now {
			delete(s.expires, id)
		}
	}
}

// requestCounter counts requests under way.
type requestCounter struct {
	mu sync.Mutex
	n  int
}

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
