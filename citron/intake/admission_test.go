package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/admit"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/record"
	"github.com/citroncross/citroncross/schema/work"
)

const testLimit = 8 << 20

// admitting is a service whose ledger counts the jobs of its view.
type admitting struct {
	*Service
	store *countingStore
	// tail follows the partition of accepted jobs and has read it.
	tail    *tail.Tail
	refused []admit.Reason
}

// newAdmitting returns a service that reads accepted jobs from a store. Its daemon is one of six.
func newAdmitting(t *testing.T, reads citron.Store) *admitting {
	t.Helper()
	a := &admitting{store: &countingStore{}}
	ledger := &admit.Ledger{Limit: testLimit}
	v := &view.View{Ledger: ledger}
	loaded := make(chan struct{})
	a.tail = &tail.Tail{Store: reads, Timer: timer.System{}, Apply: v.NewSource().Apply, Loaded: func(int, time.Duration) { close(loaded) }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := a.tail.Run(ctx)
	t.Cleanup(func() { cancel(); <-ended })
	<-loaded
	a.Service = &Service{
		View: v, Tails: []*tail.Tail{a.tail}, ProgressTails: func() []*tail.Tail { return nil }, Timer: timer.System{},
		Writer: &Writer{Store: a.store, Timer: timer.System{}, Partitions: []citron.Partition{{Topic: "jobs"}}},
		Stored: func(r citron.KeyedRecord) { v.Apply(r) },
		Admission: &Admission{
			Ledger: ledger, Daemons: func() int { return 6 },
			Forward: func(context.Context, citron.KeyedRecord) (bool, error) { return false, nil },
			Refused: func(r admit.Reason) { a.refused = append(a.refused, r) },
		},
	}
	return a
}

// largeJob is a job of 20,000 tasks.
func largeJob(id string) *work.Job {
	return &work.Job{ID: id, Queue: "sweep", Steps: []*work.Step{{Tasks: 20_000}}}
}

// use makes the jobs of another queue take most of the memory.
func (a *admitting) use() {
	a.Admission.Ledger.Change(admit.Account{Queue: "other"}, admit.Use{Open: testLimit * 3 / 4})
}

// Guards against jobs that are accepted although there is no memory for them, and against refusals without a time to return.
func TestJobWithoutRoomIsRefusedAtOnce(t *testing.T) {
	a := newAdmitting(t, quietStore{})
	if refused := a.Submit(context.Background(), largeJob("a")); refused != nil {
		t.Fatalf("the first job is refused: %v", refused)
	}
	a.use()
	refused := a.Submit(context.Background(), largeJob("b"))
	if refused == nil || refused.Number != citron.RefusalNoMemory || refused.Outcome != record.Outcome_OUTCOME_NOT_RUN || refused.RetryAfter < admit.MinRetry {
		t.Errorf("refusal %+v, want one for lack of memory, with a time to return", refused)
	}
	if a.store.appends != 1 || len(a.refused) != 1 {
		t.Errorf("%d appends, %d refusals counted, want 1 of each", a.store.appends, len(a.refused))
	}
	if refused := a.Submit(context.Background(), &work.Job{ID: "c", Queue: "quick", Steps: []*work.Step{{Tasks: 2}}}); refused != nil {
		t.Errorf("quick job refused: %v", refused)
	}
	if refused := a.Submit(context.Background(), largeJob("a")); refused != nil {
		t.Errorf("repeated request for an accepted job refused: %v", refused)
	}
}

// Guards against a refusal of a job that another daemon has accepted, whose answer the caller did not receive.
func TestAcceptedJobIsNotRefused(t *testing.T) {
	store := &catchUpStore{record: newRecord(t, pool.JobKey+"a", largeJob("a")), found: make(chan struct{})}
	a := newAdmitting(t, store)
	a.use()
	if refused := a.Submit(context.Background(), largeJob("a")); refused != nil {
		t.Errorf("refused (%v) although the store holds the job", refused)
	}
}

// silentStore is loaded and answers nothing afterwards.
type silentStore struct{ quietStore }

func (silentStore) Read(ctx context.Context, _ citron.Partition, _ citron.Offset, wait time.Duration) (citron.KeyedBatch, error) {
	if wait > 0 {
		<-ctx.Done()
	}
	return citron.KeyedBatch{}, citron.ErrUnavailable
}

// Guards against a refusal that says that a job has not run while the store does not tell.
func TestRefusalWhileTheStoreDoesNotAnswerIsNotCertain(t *testing.T) {
	a := newAdmitting(t, silentStore{})
	a.use()
	refused := a.Submit(context.Background(), largeJob("a"))
	if refused == nil || refused.Outcome != record.Outcome_OUTCOME_UNKNOWN || refused.RetryAfter < admit.MinRetry {
		t.Errorf("refusal %+v, want an unknown outcome with a time to return", refused)
	}
}

// Guards against many daemons that accept a large job each at the same moment: they leave it to the holder.
func TestLargeJobIsLeftToTheHolder(t *testing.T) {
	for _, c := range []struct {
		name      string
		forwarded bool
		err       error
		accepted  bool
		appends   int
	}{
		{name: "accepted by the holder", forwarded: true, accepted: true},
		{name: "refused by the holder", forwarded: true, err: citron.ErrRejected},
		{name: "without an answer", forwarded: true, err: citron.ErrUnavailable},
		{name: "no holder", accepted: true, appends: 1},
	} {
		a := newAdmitting(t, quietStore{})
		calls := 0
		a.Admission.Forward = func(context.Context, citron.KeyedRecord) (bool, error) { calls++; return c.forwarded, c.err }
		refused := a.Submit(context.Background(), largeJob("a"))
		if (refused == nil) != c.accepted || calls != 1 || a.store.appends != c.appends {
			t.Errorf("%s: refusal %v, %d calls, %d appends", c.name, refused, calls, a.store.appends)
		}
		if _, known := a.View.Get("a"); known != c.accepted {
			t.Errorf("%s: job known %t", c.name, known)
		}
		if total := a.Admission.Ledger.Total().Open; (total > 0) != c.accepted {
			t.Errorf("%s: %d bytes are counted", c.name, total)
		}
		if small := a.Submit(context.Background(), &work.Job{ID: "q", Queue: "quick", Steps: []*work.Step{{Tasks: 2}}}); small != nil || calls != 1 {
			t.Errorf("%s: quick job refused (%v) or left to the holder", c.name, small)
		}
	}
}

// Guards against a holder that stores whatever other daemons send.
func TestHolderDecidesOnForwardedJobs(t *testing.T) {
	a := newAdmitting(t, quietStore{})
	a.Admission.Daemons = func() int { return 1 }
	records := func(id string) []citron.KeyedRecord {
		value, err := proto.Marshal(largeJob(id))
		if err != nil {
			t.Fatal(err)
		}
		return []citron.KeyedRecord{{Key: pool.JobKey + id, Value: value}}
	}
	if err := a.StoreForwarded(context.Background(), records("a")); err != nil {
		t.Errorf("first job: %v", err)
	}
	a.use()
	if err := a.StoreForwarded(context.Background(), records("b")); err == nil {
		t.Error("a job without room is stored")
	}
	cancelled := []citron.KeyedRecord{{Key: pool.CancelKey + "b", Value: []byte{1}}}
	if err := a.StoreForwarded(context.Background(), cancelled); err != nil {
		t.Errorf("cancellation: %v", err)
	}
}

// Guards against a read of the store for each of a crowd of refused callers, and against a call that is told by a read which began
// before it.
func TestConfirmationsShareReadsThatBeginLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r rounds
		reads := 0
		ended := make(chan error)
		block := make(chan struct{})
		go func() {
			ended <- r.join(t.Context(), timer.System{}, func(context.Context) error { reads++; <-block; return nil })
		}()
		synctest.Wait()
		for range 50 {
			go func() {
				ended <- r.join(t.Context(), timer.System{}, func(context.Context) error { reads++; return nil })
			}()
		}
		synctest.Wait()
		if reads != 1 {
			t.Errorf("%d reads while the first has not ended, want 1", reads)
		}
		close(block)
		for range 51 {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		if reads != 2 {
			t.Errorf("%d reads for a call and 50 that came during its read, want 2", reads)
		}
	})
}
