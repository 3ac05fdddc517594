package event

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that may wait for a slow reader; later ones are left out and counted.
const maxQueuedLines = 4096

// AsyncWriter writes lines behind its callers, so that a slow reader of the log never holds them up.
type AsyncWriter struct {
	lines   chan []byte
	result  chan error
	omitted atomic.Int64
	mu      sync.RWMutex
	closed  bool
}

// NewAsyncWriter begins to write to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), result: make(chan error, 1)}
	go func() { q.result <- q.run(bufio.NewWriter(out)) }()
	return q
}

// Write takes one line. It never waits and never fails.
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

// Close writes what waits and returns the first error of the output.
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

// run writes until the queue is closed. Lines that wait together go out in one write.
func (q *AsyncWriter) run(out *bufio.Writer) (first error) {
	note := func(err error) {
		if first == nil {
			first = err
		}
	}
	for line := range q.lines {
		_, err := out.Write(line)
		note(err)
		if n := q.omitted.Swap(0); n > 0 {
			_, err = fmt.Fprintf(out, "{\"Omitted\":%d,\"msg\":\"lines left out, the reader is slow\"}\n", n)
			note(err)
		}
		if len(q.lines) == 0 {
			note(out.Flush())
		}
	}
	note(out.Flush())
	return first
}
