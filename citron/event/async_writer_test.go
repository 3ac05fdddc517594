package event

import (
	"bytes"
	"strings"
	"testing"
)

// blockedWriter blocks every write until opened is closed.
type blockedWriter struct {
	bytes.Buffer
	opened chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.opened
	return w.Buffer.Write(p)
}

// Guards against long lines that fill the memory while nobody reads the log.
func TestQueuedLinesAreLimitedInBytes(t *testing.T) {
	out := &blockedWriter{opened: make(chan struct{})}
	w := NewAsyncWriter(out)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range maxQueuedLines {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if queued := w.queued.Load(); queued > maxQueuedBytes {
		t.Errorf("%d bytes are queued, want at most %d", queued, maxQueuedBytes)
	}
	close(out.opened)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a reader that stops reading the log and so blocks the daemon.
func TestSlowReaderBlocksNoWriter(t *testing.T) {
	out := &blockedWriter{opened: make(chan struct{})}
	w := NewAsyncWriter(out)
	for range 2 * maxQueuedLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.opened)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"Omitted":`) {
		t.Error("no line with the number of omitted lines was written")
	}
	if _, err := w.Write([]byte("late\n")); err != nil || strings.Contains(out.String(), "late") {
		t.Error("a line that was queued after Close was written")
	}
}

// Guards against an event that floods the log, and against a wrong count of omitted lines.
func TestRateLimitCountsOmittedLines(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "info", "json", "vm")
	l.SetRateLimit(2)
	for range 5 {
		l.Emit(JobEnded, Fields{"Job": "j"})
	}
	if n := strings.Count(out.String(), "job ended"); n != 2 {
		t.Errorf("%d lines written, want 2", n)
	}
	if omitted, _ := l.allow(JobEnded.Number); omitted != 0 {
		t.Errorf("%d lines reported as omitted before a line may be written, want 0", omitted)
	}
}
