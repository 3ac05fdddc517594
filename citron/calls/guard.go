package calls

import (
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

const (
	// maxRetries bounds the further attempts of one request.
	maxRetries = 2
	// maxSavedRetries bounds the attempts that a quiet time saves up.
	maxSavedRetries = 20
)

// budget bounds further attempts to a part of the requests. The zero value is empty.
type budget struct {
	mu    sync.Mutex
	saved float64
}

// earn adds the part of an attempt that one request brings.
func (b *budget) earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+float64(percent)/100, maxSavedRetries)
}

// spend takes one attempt and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// seen remembers the attempts that have been taken on, so that a message that comes twice runs once.
type seen struct {
	mu    sync.Mutex
	until map[citron.AttemptID]time.Duration
}

// first reports whether an attempt is new.
func (s *seen) first(id citron.AttemptID, until time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[citron.AttemptID]time.Duration{}
	}
	if _, known := s.until[id]; known {
		return false
	}
	s.until[id] = until
	return true
}

// expire forgets attempts whose deadline has passed.
func (s *seen) expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.until {
		if until < now {
			delete(s.until, id)
		}
	}
}

// flights counts requests under way.
type flights struct {
	mu sync.Mutex
	n  int
}

func (f *flights) begin() (end func()) {
	f.mu.Lock()
	f.n++
	f.mu.Unlock()
	return func() {
		f.mu.Lock()
		f.n--
		f.mu.Unlock()
	}
}

func (f *flights) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
