package event

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines and maxQueuedBytes limit the lines that may wait for a slow reader; further lines are omitted and counted.
const (
	maxQueuedLines = 4096
	maxQueuedBytes = 4 << 20
)

// AsyncWriter writes lines in the background, so that a slow reader of the log does not block its callers.
type AsyncWriter struct {
	lines chan []byte
	// result holds the first write error once every line is written.
	result  chan error
	omitted atomic.Int64
	// queued is the size of the lines in the queue in bytes.
	queued atomic.Int64
	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter returns a writer to out; Close ends its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), result: make(chan error, 1)}
	go func() { w.result <- w.run(bufio.NewWriter(out)) }()
	return w
}

// Write queues one line, or omits it if the queue is full or closed. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.queued.Add(-size)
		w.omitted.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-size)
		w.omitted.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and returns the first write error. It may be called more than once.
func (w *AsyncWriter) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	err := <-w.result
	w.result <- err
	return err
}

// run writes lines until the queue is closed. It flushes when the queue is empty, so that queued lines are written
// together.
func (w *AsyncWriter) run(out *bufio.Writer) (first error) {
	keepFirst := func(err error) {
		if first == nil {
			first = err
		}
	}
	for line := range w.lines {
		_, err := out.Write(line)
		w.queued.Add(-int64(len(line)))
		keepFirst(err)
		if n := w.omitted.Swap(0); n > 0 {
			_, err = fmt.Fprintf(out, "{\"Omitted\":%d,\"msg\":\"lines left out, the reader is slow\"}\n", n)
			keepFirst(err)
		}
		if len(w.lines) == 0 {
			keepFirst(out.Flush())
		}
	}
	keepFirst(out.Flush())
	return first
}
