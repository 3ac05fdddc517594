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

// scriptedStore answers appends with the errors of a list in turn, then with success.
type scriptedStore struct {
	citron.Store
	mu      sync.Mutex
	errs    []error
	appends []int
}

func (s *scriptedStore) Append(_ context.Context, p citron.Partition, _ []citron.KeyedRecord, _ citron.Condition) (citron.Offset, error) {
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

func newWriter(errs ...error) (*Writer, *scriptedStore) {
	s := &scriptedStore{errs: errs}
	clock := &timer.Immediate{}
	clock.Advance(time.Second)
	return &Writer{Store: s, Timer: clock, Partitions: []citron.Partition{{Number: 0}, {Number: 1}, {Number: 2}}}, s
}

// write writes a record and waits for all appends, including those whose outcome is no longer needed.
func write(w *Writer) error {
	err := w.Write(context.Background(), citron.KeyedRecord{Key: "k", Value: []byte("v")})
	<-w.exchanges.Idle()
	return err
}

func TestWriterDistinguishesRejectedFromUnknown(t *testing.T) {
	w, _ := newWriter(citron.ErrRejected, citron.ErrRejected, citron.ErrRejected)
	if err := write(w); !errors.Is(err, citron.ErrRejected) {
		t.Errorf("every append rejected: error %v, want citron.ErrRejected", err)
	}
	w, s := newWriter(citron.ErrUnavailable, citron.ErrRejected, citron.ErrRejected)
	if err := write(w); err != nil || len(s.appends) != 4 {
		t.Errorf("one append unanswered, two rejected, then success: error %v after %d appends, want none after 4", err, len(s.appends))
	}
	var rejections []error
	for range 1000 {
		rejections = append(rejections, citron.ErrRejected)
	}
	w, _ = newWriter(append([]error{citron.ErrUnavailable}, rejections...)...)
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	if err := w.Write(ctx, citron.KeyedRecord{Key: "k"}); !errors.Is(err, citron.ErrUnavailable) {
		t.Errorf("append that may have been stored: error %v, want citron.ErrUnavailable", err)
	}
}

func TestWriterFailsOverToAnotherPartition(t *testing.T) {
	w, s := newWriter(citron.ErrUnavailable)
	for range 2 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
	}
	if s.appends[0] != 0 || slices.Contains(s.appends[1:], 0) {
		t.Errorf("appended to partitions %v, want 0 once, then only others while they answer", s.appends)
	}
}

func TestWriterRelaysFirstAfterSuccessfulRelay(t *testing.T) {
	w, s := newWriter(citron.ErrRejected, citron.ErrRejected, citron.ErrRejected)
	relayed := 0
	w.Relay = func(context.Context, []citron.KeyedRecord) error { relayed++; return nil }
	for range 3 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
	}
	if relayed != 3 || len(s.appends) != len(w.Partitions) {
		t.Errorf("relayed %d times with %d direct appends, want 3 and one per partition", relayed, len(s.appends))
	}
}

func TestWriterFailsBackOnceFirstPartitionAnswers(t *testing.T) {
	w, s := newWriter(citron.ErrUnavailable)
	answers := false
	w.AnsweredSince = func(int, time.Duration) bool { return answers }
	for range 2 {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
		if last := s.appends[len(s.appends)-1]; last == 0 {
			t.Error("appended to partition 0 although it has not answered since its failure")
		}
	}
	answers = true
	if err := write(w); err != nil {
		t.Fatal(err)
	}
	if last := s.appends[len(s.appends)-1]; last != 0 {
		t.Errorf("appended to partition %d after partition 0 answered again, want 0", last)
	}
}
