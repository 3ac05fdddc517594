package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
)

// scripted answers appends with the next error of a list; after its end everything succeeds.
type scripted struct {
	citron.Store
	mu      sync.Mutex
	errs    []error
	appends []int
}

func (s *scripted) Append(_ context.Context, p citron.Partition, _ []citron.KeyedRecord, _ citron.Condition) (citron.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends = append(s.appends, p.Number)
	if len(s.errs) == 0 {
		return 1, nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return 0, err
}

func newWriter(errs ...error) (*Writer, *scripted) {
	s := &scripted{errs: errs}
	clock := &timer.Instant{}
	clock.Advance(time.Second)
	return &Writer{Store: s, Timer: clock, Partitions: []citron.Partition{{Number: 0}, {Number: 1}, {Number: 2}}}, s
}

// write waits for every try of a write, those included that the writer no longer needs.
func write(w *Writer) error {
	err := w.Write(context.Background(), citron.KeyedRecord{Key: "k", Value: []byte("v")})
	<-w.exchanges.Ended()
	return err
}

func TestWriterTellsRefusedFromUnknown(t *testing.T) {
	w, _ := newWriter(citron.ErrRejected, citron.ErrRejected, citron.ErrRejected)
	if err := write(w); !errors.Is(err, citron.ErrRejected) {
		t.Errorf("every try refused: %v", err)
	}
	w, s := newWriter(citron.ErrUnavailable, citron.ErrRejected, citron.ErrRejected)
	if err := write(w); err != nil || len(s.appends) != 4 {
		t.Errorf("one try without an answer, two refused, then the store is back: %v after %d tries", err, len(s.appends))
	}
	var refused []error
	for range 1000 {
		refused = append(refused, citron.ErrRejected)
	}
	w, _ = newWriter(append([]error{citron.ErrUnavailable}, refused...)...)
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	if err := w.Write(ctx, citron.KeyedRecord{Key: "k"}); !errors.Is(err, citron.ErrUnavailable) {
		t.Errorf("a try that may have landed was called refused: %v", err)
	}
}

func TestWriterGoesOnWithAnotherPartition(t *testing.T) {
	w, s := newWriter(citron.ErrUnavailable)
	for range 2 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
	}
	if s.appends[0] != 0 || slices.Contains(s.appends[1:], 0) {
		t.Errorf("appended to partitions %v, want 0 once, then others for as long as they answer", s.appends)
	}
}

func TestWriterAsksAnotherDaemonAndRemembersIt(t *testing.T) {
	w, s := newWriter(citron.ErrRejected, citron.ErrRejected, citron.ErrRejected)
	relayed := 0
	w.Relay = func(context.Context, []citron.KeyedRecord) error { relayed++; return nil }
	for range 3 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
	}
	if relayed != 3 || len(s.appends) != len(w.Partitions) {
		t.Errorf("relayed %d times after %d own tries", relayed, len(s.appends))
	}
}

func TestWriterReturnsToTheFirstPartitionOnceItAnswers(t *testing.T) {
	w, s := newWriter(citron.ErrUnavailable)
	answers := false
	w.AnsweredSince = func(int, time.Duration) bool { return answers }
	for range 2 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
		if last := s.appends[len(s.appends)-1]; last == 0 {
			t.Error("appended to the partition that does not answer")
		}
	}
	answers = true
	if err := write(w); err != nil {
		t.Fatal(err)
	}
	if last := s.appends[len(s.appends)-1]; last != 0 {
		t.Errorf("still appends to partition %d", last)
	}
}
