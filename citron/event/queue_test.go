package event

import (
	"bytes"
	"strings"
	"testing"
)

// blockedWriter holds every write back until it is opened.
type blockedWriter struct {
	bytes.Buffer
	opened chan struct{}
}

func (g *blockedWriter) Write(p []byte) (int, error) {
	<-g.opened
	return g.Buffer.Write(p)
}

func TestSlowReaderHoldsNobodyUp(t *testing.T) {
	out := &blockedWriter{opened: make(chan struct{})}
	q := NewAsyncWriter(out)
	for range 2 * maxQueuedLines {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.opened)
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"Omitted":`) {
		t.Error("it is not told how many lines were left out")
	}
	if _, err := q.Write([]byte("late\n")); err != nil || strings.Contains(out.String(), "late") {
		t.Error("a line after the end was written")
	}
}

func TestLimitTellsWhatWasLeftOut(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "info", "json", "vm")
	l.SetRateLimit(2)
	for range 5 {
		l.Emit(JobEnded, Fields{"Job": "j"})
	}
	if n := strings.Count(out.String(), "job ended"); n != 2 {
		t.Errorf("%d lines, want 2", n)
	}
	if omitted, _ := l.allow(JobEnded.Number); omitted != 0 {
		t.Errorf("%d told as left out before a line could be written", omitted)
	}
}
