package event

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that may wait for a slow reader; further lines are omitted and counted.
const maxQueuedLines = 4096

// AsyncWriter writes lines in the background, so that a slow reader of the log does not block its callers.
type AsyncWriter struct {
	lines chan []byte
	// result holds the first write error once every line is written.
	result  chan error
	omitted atomic.Int64
	mu      sync.RWMutex
	closed  bool
}

// NewAsyncWriter returns a writer to out; Close ends its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), result: make(chan error, 1)}
	go func() { q.result <- q.run(bufio.NewWriter(out)) }()
	return q
}

// Write queues one line, or omits it if the queue is full or closed. It never blocks and never fails.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.omitted.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and returns the first write error. It may be called more than once.
func (q *AsyncWriter) Close() error {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	err := <-q.result
	q.result <- err
	return err
}

// run writes lines until the queue is closed. It flushes when the queue is empty, so that queued lines are written
// together.
func (q *AsyncWriter) run(out *bufio.Writer) (first error) {
	keepFirst := func(err error) {
		if first == nil {
			first = err
		}
	}
	for line := range q.lines {
		_, err := out.Write(line)
		keepFirst(err)
		if n := q.omitted.Swap(0); n > 0 {
			_, err = fmt.Fprintf(out, "{\"Omitted\":%d,\"msg\":\"lines left out, the reader is slow\"}\n", n)
			keepFirst(err)
		}
		if len(q.lines) == 0 {
			keepFirst(out.Flush())
		}
	}
	keepFirst(out.Flush())
	return first
}
