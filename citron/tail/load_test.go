package tail

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
)

// pagedStore is a store with one partition that holds the keys a, b and c on a page each. Every read of a page appends
// a record.
type pagedStore struct {
	citron.Store
	end citron.Offset
	// first is the offset of the first record that has not been deleted.
	first citron.Offset
	// errs are the errors of the next page reads in turn; nil means success.
	errs []error
	// afters are the keys that the page reads named.
	afters []string
}

func (s *pagedStore) NewestPage(_ context.Context, _ citron.Partition, after string) (citron.NewestPage, error) {
	s.afters = append(s.afters, after)
	if len(s.errs) > 0 {
		err := s.errs[0]
		s.errs = s.errs[1:]
		if err != nil {
			return citron.NewestPage{}, err
		}
	}
	keys := []string{"a", "b", "c"}
	n := slices.Index(keys, after) + 1
	page := citron.NewestPage{Records: []citron.KeyedRecord{{Key: keys[n]}}, End: s.end, More: n < len(keys)-1}
	s.end++
	return page, nil
}

func (s *pagedStore) Read(_ context.Context, _ citron.Partition, from citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	if from < s.first {
		return citron.KeyedBatch{}, citron.ErrRecordsDeleted
	}
	return citron.KeyedBatch{Start: from, Records: make([]citron.KeyedRecord, s.end-from), End: s.end}, nil
}

// loadAll reads until the tail has applied a load, and returns the number of records and the failed reads.
func loadAll(t *testing.T, s *pagedStore) (tail *Tail, records, failures int) {
	t.Helper()
	loads := 0
	tail = &Tail{Store: s, Timer: &timer.Manual{}, Apply: func(b citron.KeyedBatch, fresh bool) {
		if !fresh {
			t.Error("records applied before the load was complete")
		}
		loads++
		records = len(b.Records)
	}}
	for range 20 {
		if _, loaded := tail.Next(); loaded {
			break
		}
		if _, err := tail.readOnce(context.Background()); err != nil {
			failures++
		}
	}
	if loads != 1 {
		t.Fatalf("%d loads applied, want 1", loads)
	}
	return tail, records, failures
}

func TestFailedPageIsReadAgainAlone(t *testing.T) {
	s := &pagedStore{end: 5, errs: []error{citron.ErrUnavailable, nil, citron.ErrUnavailable, citron.ErrRejected}}
	_, _, failures := loadAll(t, s)
	if want := []string{"", "", "a", "a", "a", "b"}; !slices.Equal(s.afters, want) || failures != 3 {
		t.Errorf("pages read after %q with %d failures, want %q with 3", s.afters, failures, want)
	}
}

func TestRecordsAppendedDuringLoadAreApplied(t *testing.T) {
	s := &pagedStore{end: 5}
	tail, records, _ := loadAll(t, s)
	if next, _ := tail.Next(); next != 8 || records != 6 {
		t.Errorf("%d records applied up to offset %d, want 6 up to 8", records, next)
	}
}

// Guards against a load that takes longer than the store keeps its records and so never ends.
func TestLoadOutlastsHistoryOfStore(t *testing.T) {
	s := &pagedStore{end: 5}
	tail := &Tail{Store: s, Timer: &timer.Manual{}, Apply: func(citron.KeyedBatch, bool) {}, Outdated: func() { t.Error("load began again") }}
	for range 3 {
		if _, err := tail.readOnce(context.Background()); err != nil {
			t.Fatal(err)
		}
		s.first = s.end
	}
	if _, loaded := tail.Next(); !loaded {
		t.Error("not loaded after 3 pages")
	}
}

func TestLoadBeginsAgainAfterAppendedRecordsAreDeleted(t *testing.T) {
	s := &pagedStore{end: 5, first: 6}
	outdated := 0
	tail := &Tail{Store: s, Timer: &timer.Manual{}, Apply: func(citron.KeyedBatch, bool) {}, Outdated: func() { outdated++ }}
	for range 4 {
		if _, err := tail.readOnce(context.Background()); err != nil && !errors.Is(err, citron.ErrRecordsDeleted) {
			t.Fatal(err)
		}
	}
	if want := []string{"", "", "a", "b"}; !slices.Equal(s.afters, want) || outdated != 1 {
		t.Errorf("pages read after %q with %d restarts, want %q with 1", s.afters, outdated, want)
	}
}

// busyStore has 10 pages, gets 2 records during each page, returns 1 record per read and keeps the last 6 records.
type busyStore struct {
	citron.Store
	end citron.Offset
}

func (s *busyStore) NewestPage(_ context.Context, _ citron.Partition, after string) (citron.NewestPage, error) {
	next := "a"
	if after != "" {
		next = string(after[0] + 1)
	}
	page := citron.NewestPage{Records: []citron.KeyedRecord{{Key: next}}, End: s.end, More: next < "j"}
	s.end += 2
	return page, nil
}

func (s *busyStore) Read(_ context.Context, _ citron.Partition, from citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	if from < s.end-6 {
		return citron.KeyedBatch{}, citron.ErrRecordsDeleted
	}
	b := citron.KeyedBatch{Start: from, End: s.end}
	if from < s.end {
		b.Records = make([]citron.KeyedRecord, 1)
	}
	return b, nil
}

// Guards against a load that falls behind the appended records and so begins again and again.
func TestLoadKeepsUpWithAppendedRecords(t *testing.T) {
	tail := &Tail{Store: &busyStore{end: 100}, Timer: &timer.Manual{}, Apply: func(citron.KeyedBatch, bool) {}, Outdated: func() { t.Error("load began again") }}
	for range 30 {
		if _, err := tail.readOnce(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if _, loaded := tail.Next(); !loaded {
		t.Error("not loaded after 30 reads of 10 pages and 20 records")
	}
}

// changingStore has two pages. After each page two records are appended, the first of which removes key a.
type changingStore struct {
	citron.Store
	end citron.Offset
}

func (s *changingStore) NewestPage(_ context.Context, _ citron.Partition, after string) (page citron.NewestPage, err error) {
	page = citron.NewestPage{Records: []citron.KeyedRecord{{Key: "a", Value: []byte("a")}}, End: s.end, More: true}
	if after != "" {
		page = citron.NewestPage{Records: []citron.KeyedRecord{{Key: "b", Value: []byte("b")}}, End: s.end}
	}
	s.end += 2
	return page, nil
}

func (s *changingStore) Read(_ context.Context, _ citron.Partition, from citron.Offset, _ time.Duration) (citron.KeyedBatch, error) {
	appended := []citron.KeyedRecord{{Key: "a"}, {Key: "c", Value: []byte("c")}, {Key: "d", Value: []byte("d")}, {Key: "e", Value: []byte("e")}}
	b := citron.KeyedBatch{Start: from, End: s.end}
	if from < s.end {
		b.Records = appended[from : from+1]
	}
	return b, nil
}

func TestLoadEndsWithTheLastAppendedRecord(t *testing.T) {
	known := map[string]bool{}
	tail := &Tail{Store: &changingStore{}, Timer: &timer.Manual{}, Apply: func(b citron.KeyedBatch, _ bool) {
		for _, r := range b.Records {
			known[r.Key] = len(r.Value) > 0
		}
	}}
	for _, loaded := tail.Next(); !loaded; _, loaded = tail.Next() {
		if _, err := tail.readOnce(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if known["a"] || !known["b"] || !known["c"] || !known["d"] || !known["e"] {
		t.Errorf("known after the load: %v, want b, c, d and e", known)
	}
}

func TestOnlyLoadsUnderWayWaitLonger(t *testing.T) {
	timedOut := errors.Join(citron.ErrUnavailable, context.DeadlineExceeded)
	s := &pagedStore{end: 5, errs: []error{timedOut, timedOut, nil, timedOut}}
	tail := &Tail{Store: s, Timer: &timer.Manual{}, Apply: func(citron.KeyedBatch, bool) {}}
	for _, want := range []time.Duration{pageBounds.Min, pageBounds.Min, pageBounds.Min, pageBounds.Max} {
		_, _ = tail.readOnce(context.Background())
		if got := tail.pageTimeout.Current(pageBounds); got != want {
			t.Errorf("timeout %v after reads after %q, want %v", got, s.afters, want)
		}
	}
}
