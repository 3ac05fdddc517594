package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/link"
)

// fakeWorkers records the orders that reach the workers, each after the name of the daemon that sent it.
type fakeWorkers struct {
	citron.Workers
	name string
	mu   *sync.Mutex
	log  *[]string
	// renew and start, if set, answer instead of the defaults.
	renew func(ctx context.Context, o citron.RenewOrder) (citron.WorkerReport, error)
	start func(ctx context.Context, o citron.StartOrder) (citron.StartOutcome, error)
}

func (f *fakeWorkers) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*f.log = append(*f.log, f.name+": "+fmt.Sprintf(format, args...))
}

func (f *fakeWorkers) Start(ctx context.Context, to *citron.WorkerEntry, o citron.StartOrder) (citron.StartOutcome, time.Duration, error) {
	f.record("start %s run %d on %s at %s, payload %q, epoch %d, deadline %s", o.Task, o.Run, to.ID, to.Address, o.Payload, o.Epoch, o.Deadline)
	if f.start != nil {
		outcome, err := f.start(ctx, o)
		return outcome, time.Minute, err
	}
	return citron.Started, time.Minute, nil
}

func (f *fakeWorkers) Renew(ctx context.Context, to *citron.WorkerEntry, o citron.RenewOrder) (citron.WorkerReport, time.Duration, error) {
	f.record("renew %s, acked %d, deadline %s", to.ID, o.Acked, o.Deadline)
	if f.renew != nil {
		report, err := f.renew(ctx, o)
		return report, time.Minute, err
	}
	return citron.WorkerReport{}, time.Minute, nil
}

// rig is a holder with relaying daemons on loopback.
type rig struct {
	t       *testing.T
	mu      sync.Mutex
	log     []string
	workers map[citron.VMName]*fakeWorkers
	streams map[citron.VMName]link.LinkClient
	via     []Hop
	holder  *Workers
	// unknown is the name of a daemon that does not know the payload.
	unknown citron.VMName
	// suspended holds for each daemon that is suspended a channel that is closed when it goes on.
	suspended map[citron.VMName]chan struct{}
	// answers delivers all answers of the daemons.
	answers chan *link.Answer
	cancel  context.CancelFunc
}

// suspend suspends a daemon until resume is called.
func (r *rig) suspend(vm citron.VMName) (resume func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspended := make(chan struct{})
	r.suspended[vm] = suspended
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.suspended, vm)
		close(suspended)
	}
}

// awaitAnswer returns the answer to the order with a number.
func (r *rig) awaitAnswer(number uint64) *link.Answer {
	for a := range r.answers {
		if a.GetNumber() == number {
			return a
		}
	}
	return nil
}

// carrier serves orders as one daemon.
type carrier struct {
	link.UnimplementedLinkServer
	server *Server
	rig    *rig
	vm     citron.VMName
}

func (c *carrier) CarryOrders(stream link.Link_CarryOrdersServer) error {
	return c.server.Serve(&suspendableStream{Link_CarryOrdersServer: stream, carrier: c})
}

// suspendableStream delivers no orders while its daemon is suspended; they wait in the connection.
type suspendableStream struct {
	link.Link_CarryOrdersServer
	carrier *carrier
}

func (s *suspendableStream) Recv() (*link.Orders, error) {
	orders, err := s.Link_CarryOrdersServer.Recv()
	r := s.carrier.rig
	r.mu.Lock()
	suspended := r.suspended[s.carrier.vm]
	r.mu.Unlock()
	if suspended != nil {
		<-suspended
	}
	return orders, err
}

func (s *suspendableStream) Send(answers *link.Answers) error {
	for _, a := range answers.GetAnswers() {
		select {
		case s.carrier.rig.answers <- a:
		default: // Few tests read them.
		}
	}
	return s.Link_CarryOrdersServer.Send(answers)
}

func newRig(t *testing.T, daemons ...citron.VMName) *rig {
	t.Helper()
	r := &rig{t: t, workers: map[citron.VMName]*fakeWorkers{}, streams: map[citron.VMName]link.LinkClient{}, suspended: map[citron.VMName]chan struct{}{}, answers: make(chan *link.Answer, 16)}
	for _, vm := range daemons {
		r.via = append(r.via, Hop{VM: vm})
	}
	direct := &fakeWorkers{name: "holder", mu: &r.mu, log: &r.log}
	r.workers["holder"] = direct
	exchanges := &spawn.Group{}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	exchanges.SetContext(ctx)
	for _, vm := range daemons {
		r.serve(vm)
	}
	r.holder = &Workers{
		Direct: direct, Timer: timer.System{}, Exchanges: exchanges,
		Open: func(ctx context.Context, vm citron.VMName) (Stream, error) {
			if r.streams[vm] == nil {
				return nil, errors.New("no such daemon")
			}
			return r.streams[vm].CarryOrders(ctx)
		},
		StartVia: func(citron.TaskRef, citron.Worker) []Hop { return r.via },
		RenewVia: func(citron.Worker) []Hop { return r.via },
	}
	t.Cleanup(func() {
		cancel()
		<-exchanges.Idle()
	})
	return r
}

// serve starts a relaying daemon.
func (r *rig) serve(vm citron.VMName) {
	r.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	w := &fakeWorkers{name: string(vm), mu: &r.mu, log: &r.log}
	server := grpc.NewServer()
	link.RegisterLinkServer(server, &carrier{rig: r, vm: vm, server: &Server{Workers: w, Timer: timer.System{}, Payload: func(task citron.TaskRef) (string, bool) {
		return "payload of " + string(task), vm != r.unknown
	}, Forward: func(ctx context.Context, via citron.VMName, o *link.Order, payload string) (*link.Answer, error) {
		return r.holder.Forward(ctx, via, o, payload)
	}}})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		r.t.Fatal(err)
	}
	r.workers[vm], r.streams[vm] = w, link.NewLinkClient(conn)
	r.t.Cleanup(func() {
		r.cancel()
		_ = conn.Close()
		server.Stop()
		<-ended
	})
}

var (
	toWorker   = &citron.WorkerEntry{ID: "w", Address: "10.0.0.1:1"}
	startOrder = citron.StartOrder{Task: "j.0.0.0", Run: 2, Epoch: 7, Deadline: 9 * time.Second, PayloadOmitted: true}
)

// orderTimeout is generous: no test waits for it unless a daemon is silent on purpose.
const orderTimeout = 10 * time.Second

func (r *rig) start(timeout time.Duration) (citron.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	outcome, _, err := r.holder.Start(ctx, toWorker, startOrder)
	return outcome, err
}

func (r *rig) renew(o citron.RenewOrder) (citron.WorkerReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	report, _, err := r.holder.Renew(ctx, toWorker, o)
	return report, err
}

// sent returns the orders that have reached workers so far.
func (r *rig) sent() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.log)
}

func TestStartIsRelayedWithThePayloadOfTheRelayingDaemon(t *testing.T) {
	r := newRig(t, "a")
	if outcome, err := r.start(orderTimeout); err != nil || outcome != citron.Started {
		t.Errorf("outcome %d, error %v; want Started", outcome, err)
	}
	if want := []string{`a: start j.0.0.0 run 2 on w at 10.0.0.1:1, payload "payload of j.0.0.0", epoch 7, deadline 9s`}; !slices.Equal(r.sent(), want) {
		t.Errorf("orders %q, want %q", r.sent(), want)
	}
}

// A daemon that does not know the payload has sent nothing, so that the next one can.
func TestStartGoesToTheNextDaemonIfOneHasNotSentIt(t *testing.T) {
	r := newRig(t, "a", "b")
	r.unknown = "a"
	if outcome, err := r.start(orderTimeout); err != nil || outcome != citron.Started {
		t.Errorf("outcome %d, error %v; want Started", outcome, err)
	}
	if got := r.sent(); len(got) != 1 || got[0][:1] != "b" {
		t.Errorf("orders %q, want one by b", got)
	}
}

// Only few daemons may connect to a worker, so that one that knows the payload passes the start on to one of them.
func TestStartIsPassedOnWithItsPayload(t *testing.T) {
	r := newRig(t, "a", "b")
	r.via = []Hop{{VM: "a", Via: "b"}, {VM: "b"}}
	r.unknown = "b"
	if outcome, err := r.start(orderTimeout); err != nil || outcome != citron.Started {
		t.Errorf("outcome %d, error %v; want Started", outcome, err)
	}
	if want := []string{`b: start j.0.0.0 run 2 on w at 10.0.0.1:1, payload "payload of j.0.0.0", epoch 7, deadline 9s`}; !slices.Equal(r.sent(), want) {
		t.Errorf("orders %q, want %q", r.sent(), want)
	}
	// The worker does not answer daemon b: the outcome is unknown, and the next try takes another path.
	r.workers["b"].start = func(context.Context, citron.StartOrder) (citron.StartOutcome, error) {
		return citron.StartUnknown, citron.ErrUnavailable
	}
	if outcome, err := r.start(orderTimeout); outcome != citron.StartUnknown || !errors.Is(err, citron.ErrUnavailable) || errors.Is(err, citron.ErrRejected) {
		t.Errorf("outcome %d, error %v; want StartUnknown and citron.ErrUnavailable", outcome, err)
	}
	if r.holder.usable(path{r.via[0], "w"}) || !r.holder.usable(path{r.via[1], "w"}) {
		t.Error("the next try takes the same path")
	}
}

// The members of a gang wait for one another, so that a start must not wait until a daemon has read the job.
func TestStartCarriesThePayloadIfNoDaemonKnowsIt(t *testing.T) {
	r := newRig(t, "a")
	r.unknown = "a"
	o := startOrder
	o.Payload, o.PayloadOmitted = "p", false
	outcome, _, err := r.holder.Start(t.Context(), toWorker, o)
	if err != nil || outcome != citron.Started {
		t.Errorf("outcome %d, error %v; want Started", outcome, err)
	}
	if want := []string{`a: start j.0.0.0 run 2 on w at 10.0.0.1:1, payload "p", epoch 7, deadline 9s`}; !slices.Equal(r.sent(), want) {
		t.Errorf("orders %q, want %q", r.sent(), want)
	}
}

// A start that was relayed and not answered may have been carried out. It must neither be reported as not sent nor be sent
// by another daemon within the same try.
func TestUnansweredStartIsInDoubtAndNotSentAgain(t *testing.T) {
	r := newRig(t, "a", "b")
	r.workers["a"].start = func(context.Context, citron.StartOrder) (citron.StartOutcome, error) {
		return citron.StartUnknown, citron.ErrUnavailable
	}
	outcome, err := r.start(orderTimeout)
	if outcome != citron.StartUnknown || !errors.Is(err, citron.ErrUnavailable) || errors.Is(err, citron.ErrRejected) {
		t.Errorf("outcome %d, error %v; want StartUnknown and citron.ErrUnavailable", outcome, err)
	}
	if got := r.sent(); len(got) != 1 {
		t.Errorf("orders %q, want one", got)
	}
	// The next try takes another path.
	if outcome, err := r.start(orderTimeout); err != nil || outcome != citron.Started {
		t.Errorf("next try: outcome %d, error %v; want Started", outcome, err)
	}
	if got := r.sent(); len(got) != 2 || got[1][:1] != "b" {
		t.Errorf("orders %q, want the second by b", got)
	}
}

// A relaying daemon that is paused answers nothing. Orders must not wait for it again and again.
func TestSilentDaemonIsAvoided(t *testing.T) {
	r := newRig(t, "a", "b")
	if _, err := r.renew(citron.RenewOrder{}); err != nil {
		t.Fatal(err)
	}
	paused := make(chan struct{})
	defer close(paused)
	r.workers["a"].start = func(context.Context, citron.StartOrder) (citron.StartOutcome, error) {
		<-paused
		return citron.Started, nil
	}
	if outcome, err := r.start(100 * time.Millisecond); outcome != citron.StartUnknown || !errors.Is(err, errNoAnswer) {
		t.Errorf("outcome %d, error %v; want StartUnknown and errNoAnswer", outcome, err)
	}
	if outcome, err := r.start(orderTimeout); err != nil || outcome != citron.Started {
		t.Errorf("next try: outcome %d, error %v; want Started", outcome, err)
	}
}

// A daemon that was suspended finds orders in its connections that the holder has given up. By then the task may have run
// elsewhere, and the worker may have restarted under its id.
func TestExpiredOrderIsNotCarriedOut(t *testing.T) {
	for name, via := range map[string][]Hop{"to the worker": {{VM: "a"}}, "to another daemon": {{VM: "a", Via: "b"}}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "a", "b")
			r.via = via
			if outcome, err := r.start(orderTimeout); err != nil || outcome != citron.Started {
				t.Fatalf("outcome %d, error %v; want Started", outcome, err)
			}
			resume := r.suspend("a")
			if outcome, err := r.start(100 * time.Millisecond); outcome != citron.StartUnknown || !errors.Is(err, errNoAnswer) || errors.Is(err, citron.ErrRejected) {
				t.Errorf("outcome %d, error %v; want StartUnknown and errNoAnswer", outcome, err)
			}
			resume()
			if a := r.awaitAnswer(2); a.GetResult() != link.OrderResult_ORDER_RESULT_NOT_SENT {
				t.Errorf("answer %v, want not sent", a)
			}
			if got := r.sent(); len(got) != 1 {
				t.Errorf("orders %q, want the first one only", got)
			}
		})
	}
}

// A daemon of an earlier version does not tell its clock, so that its orders would not expire.
func TestOrdersAvoidADaemonWithoutAClock(t *testing.T) {
	r := newRig(t, "a")
	resume := r.suspend("a")
	defer resume()
	s := newSession()
	r.holder.mu.Lock()
	r.holder.sessions = map[citron.VMName]*session{"a": s}
	r.holder.avoidDaemon, r.holder.avoidRelay = map[citron.VMName]time.Duration{}, map[path]time.Duration{}
	r.holder.mu.Unlock()
	if _, err := r.renew(citron.RenewOrder{}); err != nil {
		t.Fatal(err)
	}
	if want := []string{"holder: renew w, acked 0, deadline 0s"}; !slices.Equal(r.sent(), want) {
		t.Errorf("orders %q, want %q", r.sent(), want)
	}
}

func TestEndedStreamLeavesOrdersInDoubtAndIsOpenedAgain(t *testing.T) {
	r := newRig(t, "a")
	reached := make(chan struct{})
	r.workers["a"].start = func(ctx context.Context, _ citron.StartOrder) (citron.StartOutcome, error) {
		close(reached)
		<-ctx.Done()
		return citron.StartUnknown, citron.ErrUnavailable
	}
	failed := make(chan error, 1)
	go func() {
		_, err := r.start(orderTimeout)
		failed <- err
	}()
	<-reached
	r.holder.mu.Lock()
	s := r.holder.sessions["a"]
	r.holder.mu.Unlock()
	s.fail(errors.New("connection lost"))
	if err := <-failed; !errors.Is(err, citron.ErrUnavailable) {
		t.Errorf("error %v, want citron.ErrUnavailable", err)
	}
}

func TestOrdersAreSentDirectlyWithoutARelay(t *testing.T) {
	r := newRig(t)
	if _, err := r.renew(citron.RenewOrder{Acked: 3}); err != nil {
		t.Fatal(err)
	}
	if want := []string{"holder: renew w, acked 3, deadline 0s"}; !slices.Equal(r.sent(), want) {
		t.Errorf("orders %q, want %q", r.sent(), want)
	}
}

func TestErrorsOfWorkersPassTheRelay(t *testing.T) {
	for _, want := range []error{citron.ErrWorkerGone, citron.ErrFenced, citron.ErrRefused, citron.ErrUnavailable} {
		r := newRig(t, "a")
		r.workers["a"].renew = func(context.Context, citron.RenewOrder) (citron.WorkerReport, error) {
			return citron.WorkerReport{}, want
		}
		if _, err := r.renew(citron.RenewOrder{}); !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
	}
}

// Reports are sent as changes. The holder must see the same runs as the worker reports, also after answers were lost.
func TestRelayedReportsAreComplete(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	r := newRig(t, "a")
	var report citron.WorkerReport
	r.workers["a"].renew = func(context.Context, citron.RenewOrder) (citron.WorkerReport, error) { return report, nil }
	for step := range 300 {
		report = citron.WorkerReport{Incarnation: citron.Incarnation(step / 100)}
		for n := range 8 {
			if rng.IntN(3) > 0 {
				report.Running = append(report.Running, citron.RunningTask{
					Task: citron.TaskRef(fmt.Sprintf("j.0.0.%d", n)), Run: int32(1 + rng.IntN(2)), Checkpoint: fmt.Sprint(rng.IntN(3)), Percent: percentStep * rng.IntN(11),
				})
			}
		}
		if rng.IntN(4) == 0 {
			report.Ended = append(report.Ended, citron.EndedTask{Number: int64(step), Task: "j.0.0.9", Run: 1, Kind: citron.EndDone})
		}
		if rng.IntN(5) == 0 {
			// The answer is lost: nobody waits for it any more when it arrives.
			r.loseAnswer()
			continue
		}
		got, err := r.renew(citron.RenewOrder{})
		if err != nil {
			t.Fatalf("step %d: %v", step, err)
		}
		slices.SortFunc(got.Running, func(a, b citron.RunningTask) int { return compareTasks(a.Task, b.Task) })
		if !reflect.DeepEqual(got, report) {
			t.Fatalf("step %d: report %+v, want %+v", step, got, report)
		}
	}
}

func compareTasks(a, b citron.TaskRef) int {
	if a < b {
		return -1
	}
	return 1
}

// loseAnswer sends a renewal and gives up on it before the worker answers.
func (r *rig) loseAnswer() {
	w := r.workers["a"]
	answer := w.renew
	ctx, cancel := context.WithCancel(context.Background())
	gaveUp := make(chan struct{})
	answered := make(chan struct{})
	w.renew = func(ctx context.Context, o citron.RenewOrder) (citron.WorkerReport, error) {
		cancel()
		<-gaveUp
		defer close(answered)
		return answer(ctx, o)
	}
	_, _ = r.holder.session("a").exchange(ctx, &link.Order{Worker: "w", TimeoutMs: orderTimeout.Milliseconds(), Renew: &link.RenewLease{}})
	close(gaveUp)
	<-answered
	w.renew = answer
}

// A malformed order must not end the stream, let alone the process.
func TestMalformedOrdersAreNotSent(t *testing.T) {
	r := newRig(t, "a")
	for _, o := range []*link.Order{{}, {Worker: "w"}, {TimeoutMs: -5, Start: nil}} {
		a, err := r.holder.exchange(t.Context(), "a", o)
		if err != nil || a.GetResult() != link.OrderResult_ORDER_RESULT_NOT_SENT {
			t.Errorf("order %v: result %v, error %v; want not sent", o, a.GetResult(), err)
		}
	}
	if outcome, err := r.start(orderTimeout); err != nil || outcome != citron.Started {
		t.Errorf("start after malformed orders: outcome %d, error %v; want Started", outcome, err)
	}
}

// A report that changes another one than the last is not used: a run that it does not list would look as if it had ended.
func TestReportWithoutItsBaseIsNotUsed(t *testing.T) {
	for name, known := range map[string]*baseReport{"none known": nil, "another one known": {number: 1}} {
		s := newSession()
		if known != nil {
			s.reports["w"] = known
		}
		a := &link.Answer{Number: 3, Result: link.OrderResult_ORDER_RESULT_ANSWERED, Report: &link.Report{Base: 2}}
		s.completeReport("w", a)
		if a.GetResult() != link.OrderResult_ORDER_RESULT_UNANSWERED || a.GetReport() != nil {
			t.Errorf("%s: answer %v, want unanswered", name, a)
		}
	}
}
