// Package relay passes the orders of a pool's holder to workers through other daemons, so that the holder's link and
// processor do not limit the number of workers. Each worker gets its orders through a few daemons; the daemon that accepted
// a job adds the payload to the starts of its tasks.
//
// Once its sender does not wait for the answer any more, a daemon does not send an order: each order says when it expires on the
// clock of the daemon that relays it. So a daemon that was suspended does not carry out what has been given up meanwhile.
package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/schema/link"
)

const (
	// answerSlack is subtracted from the time limit of an order to get the limit for the worker's answer, so that the
	// relaying daemon can still report that there was none.
	answerSlack = 60 * time.Millisecond
	// avoidDaemonFor is how long no orders are relayed through a daemon that did not answer.
	avoidDaemonFor = 2 * time.Second
	// avoidRelayFor is how long a daemon relays no orders to a worker that has not answered it: the path between them may be
	// cut.
	avoidRelayFor = 3 * time.Second
)

// errNoAnswer means that a daemon has not answered a relayed order in time.
var errNoAnswer = errors.New("the relaying daemon does not answer")

// Stream carries orders to one daemon.
type Stream = grpc.BidiStreamingClient[link.Orders, link.Answers]

// Workers sends orders to workers, through other daemons where StartVia and RenewVia name some. Stops are always sent
// directly.
type Workers struct {
	// Direct sends the orders that are not relayed.
	Direct citron.Workers
	Timer  citron.Timer
	// Open opens a stream to a daemon that lasts until the context ends.
	Open func(ctx context.Context, vm citron.VMName) (Stream, error)
	// StartVia returns the daemons that can relay the start of a task on a worker, RenewVia those for the renewals of a
	// worker, in order of preference. An order for which there is none is sent directly.
	StartVia func(citron.TaskRef, citron.Worker) []Hop
	RenewVia func(citron.Worker) []Hop
	// Exchanges runs the streams.
	Exchanges *spawn.Group

	mu       sync.Mutex
	sessions map[citron.VMName]*session
	// avoidDaemon and avoidRelay hold boot times until which a daemon is not used, at all or for one worker.
	avoidDaemon map[citron.VMName]time.Duration
	avoidRelay  map[path]time.Duration
}

// Hop is a daemon that can relay an order.
type Hop struct {
	VM citron.VMName
	// Via, if set, is another daemon to which VM passes the order on. A worker accepts a limited number of connections, so
	// that only few daemons may send it orders; the daemon that knows the payload is often none of them.
	Via citron.VMName
}

// path is the way of an order through a daemon to a worker.
type path struct {
	hop Hop
	to  citron.Worker
}

var _ citron.Workers = (*Workers)(nil)

// Start starts a run.
func (w *Workers) Start(ctx context.Context, to *citron.WorkerEntry, o citron.StartOrder) (outcome citron.StartOutcome, clock time.Duration, err error) {
	order := &link.Order{
		Epoch: uint64(o.Epoch), DeadlineMs: o.Deadline.Milliseconds(),
		Start: &link.StartTask{Task: string(o.Task), Run: o.Run, Checkpoint: o.Checkpoint, Ticket: o.Ticket},
	}
	via := w.StartVia(o.Task, to.ID)
	a, err := w.relay(ctx, to, via, order)
	if err == nil && a == nil && !o.PayloadOmitted {
		// None of the daemons knows the payload yet.
		order.Start.HasPayload, order.Start.Payload = true, o.Payload
		a, err = w.relay(ctx, to, via, order)
	}
	switch {
	case err != nil:
		return citron.StartUnknown, 0, eris.Wrapf(err, "start %s on %s", o.Task, to.ID)
	case a == nil:
		return w.Direct.Start(ctx, to, o)
	}
	return citron.StartOutcome(a.GetOutcome()), millis(a.GetClockMs()), nil
}

// Stop stops a run.
func (w *Workers) Stop(ctx context.Context, to *citron.WorkerEntry, o citron.StopOrder) (time.Duration, error) {
	return w.Direct.Stop(ctx, to, o)
}

// Renew renews the lease and returns the running and the ended runs.
func (w *Workers) Renew(ctx context.Context, to *citron.WorkerEntry, o citron.RenewOrder) (report citron.WorkerReport, clock time.Duration, err error) {
	a, err := w.relay(ctx, to, w.RenewVia(to.ID), &link.Order{
		Epoch: uint64(o.Epoch), DeadlineMs: o.Deadline.Milliseconds(),
		Renew: &link.RenewLease{Acked: o.Acked, WaitMs: o.Wait.Milliseconds()},
	})
	switch {
	case err != nil:
		return report, 0, eris.Wrapf(err, "renew lease of %s", to.ID)
	case a == nil:
		return w.Direct.Renew(ctx, to, o)
	}
	return decodeReport(a.GetReport()), millis(a.GetClockMs()), nil
}

// relay sends an order through the first of several daemons that can send it. The answer is nil if none can.
func (w *Workers) relay(ctx context.Context, to *citron.WorkerEntry, via []Hop, o *link.Order) (a *link.Answer, err error) {
	o.Worker, o.Address = string(to.ID), to.Address
	for _, hop := range via {
		if !w.usable(path{hop, to.ID}) || o.GetStart().GetHasPayload() && hop.Via != "" {
			continue
		}
		o.Via = string(hop.Via)
		a, err = w.exchange(ctx, hop.VM, o)
		if errors.Is(err, citron.ErrRejected) {
			continue
		}
		if err != nil {
			return nil, eris.Wrapf(err, "relay through %s", hop.VM)
		}
		switch a.GetResult() {
		case link.OrderResult_ORDER_RESULT_NOT_SENT:
		case link.OrderResult_ORDER_RESULT_ANSWERED:
			return a, nil
		default:
			return nil, eris.Wrapf(w.workerError(path{hop, to.ID}, a), "relay through %s", hop.VM)
		}
	}
	// A session that could not be used is no error: the order goes another way.
	return nil, nil
}

// workerError returns the error for an order that the worker has not carried out, or not answered. In the latter case the
// next orders to the worker take another path.
func (w *Workers) workerError(p path, a *link.Answer) error {
	switch a.GetResult() {
	case link.OrderResult_ORDER_RESULT_WORKER_GONE:
		return citron.ErrWorkerGone
	case link.OrderResult_ORDER_RESULT_FENCED:
		return citron.ErrFenced
	case link.OrderResult_ORDER_RESULT_REFUSED:
		return errors.Join(citron.ErrUnavailable, citron.ErrRefused)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.avoidRelay[p] = w.Timer.Now().Boot + avoidRelayFor
	return fmt.Errorf("%w: %s", citron.ErrUnavailable, a.GetError())
}

// usable reports whether orders should take a path.
func (w *Workers) usable(p path) bool {
	now := w.Timer.Now().Boot
	w.mu.Lock()
	defer w.mu.Unlock()
	return now >= w.avoidDaemon[p.hop.VM] && now >= w.avoidDaemon[p.hop.Via] && now >= w.avoidRelay[p]
}

// exchange sends an order through a daemon and returns the answer. It returns ErrRejected if the order was not sent.
func (w *Workers) exchange(ctx context.Context, vm citron.VMName, o *link.Order) (a *link.Answer, err error) {
	s := w.session(vm)
	if err = s.awaitClock(ctx, w.Timer); err != nil {
		w.avoid(ctx, vm)
		return nil, err
	}
	if limit, ok := ctx.Deadline(); ok {
		timeout := max(time.Until(limit)-answerSlack, time.Millisecond)
		o.TimeoutMs, o.ExpiresMs = timeout.Milliseconds(), s.expiry(w.Timer.Now().Boot+timeout).Milliseconds()
	}
	if a, err = s.exchange(ctx, o); err == nil {
		return a, nil
	}
	w.avoid(ctx, vm)
	return nil, errors.Join(citron.ErrUnavailable, err)
}

// avoid keeps the next orders from a daemon that has not answered, unless the exchange was cancelled.
func (w *Workers) avoid(ctx context.Context, vm citron.VMName) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.avoidDaemon[vm] = w.Timer.Now().Boot + avoidDaemonFor
}

// Forward passes an order that another daemon has sent on to a daemon, with the payload of its task.
func (w *Workers) Forward(ctx context.Context, vm citron.VMName, o *link.Order, payload string) (*link.Answer, error) {
	forwarded := proto.CloneOf(o)
	forwarded.Via, forwarded.Start.HasPayload, forwarded.Start.Payload = "", true, payload
	return w.exchange(ctx, vm, forwarded)
}

// session returns the stream to a daemon and opens one if there is none.
func (w *Workers) session(vm citron.VMName) *session {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sessions == nil {
		w.sessions = map[citron.VMName]*session{}
		w.avoidDaemon, w.avoidRelay = map[citron.VMName]time.Duration{}, map[path]time.Duration{}
	}
	s := w.sessions[vm]
	if s != nil {
		return s
	}
	s = newSession()
	w.sessions[vm] = s
	w.Exchanges.Go(func(ctx context.Context) {
		s.run(ctx, w.Timer, func(ctx context.Context) (Stream, error) { return w.Open(ctx, vm) }, w.Exchanges)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.sessions, vm)
	})
	return s
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
