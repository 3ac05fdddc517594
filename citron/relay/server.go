package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/grpc"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/spawn"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/link"
)

// maxOrders is the maximum number of orders of one stream that wait for their workers; a worker rarely has more than a
// few.
const maxOrders = 4096

// Server carries out the orders of other daemons.
type Server struct {
	Workers citron.Workers
	Timer   citron.Timer
	// Payload returns the payload of a task. Ok is false if its job is not known here.
	Payload func(citron.TaskRef) (payload string, ok bool)
	// Forward passes an order on to another daemon.
	Forward func(ctx context.Context, vm citron.VMName, o *link.Order, payload string) (*link.Answer, error)
}

// serverStream is one stream of orders.
type serverStream struct {
	server *Server
	// wakeup is signalled when an answer has been queued.
	wakeup chan struct{}

	mu      sync.Mutex
	running int
	queue   []*link.Answer
	// reports are the last reports that have been sent, by worker.
	reports map[citron.Worker]*baseReport
}

// Serve carries out the orders of one stream until it ends.
func (s *Server) Serve(stream grpc.BidiStreamingServer[link.Orders, link.Answers]) error {
	var exchanges spawn.Group
	inner, cancel := context.WithCancel(stream.Context())
	defer func() {
		cancel()
		<-exchanges.Idle()
	}()
	exchanges.SetContext(inner)
	t := &serverStream{server: s, wakeup: make(chan struct{}, 1), reports: map[citron.Worker]*baseReport{}}
	exchanges.Go(func(ctx context.Context) { t.sendAnswers(ctx, stream) })
	for {
		orders, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, o := range orders.GetOrders() {
			if !t.begin() {
				t.reply(&link.Answer{Number: o.GetNumber(), Result: link.OrderResult_ORDER_RESULT_NOT_SENT, Error: "too many orders wait"})
				continue
			}
			exchanges.Go(func(ctx context.Context) {
				defer t.end()
				bounded, cancel := context.WithTimeout(ctx, millis(o.GetTimeoutMs()))
				defer cancel()
				t.reply(t.carryOut(bounded, o))
			})
		}
	}
}

// begin counts an order and reports whether it may be carried out.
func (t *serverStream) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= maxOrders {
		return false
	}
	t.running++
	return true
}

func (t *serverStream) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// reply queues an answer.
func (t *serverStream) reply(a *link.Answer) {
	t.mu.Lock()
	t.queue = append(t.queue, a)
	t.mu.Unlock()
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// sendAnswers sends the queued answers until the stream ends.
func (t *serverStream) sendAnswers(ctx context.Context, stream grpc.BidiStreamingServer[link.Orders, link.Answers]) {
	// The first message tells the clock, without which the other daemon sends no orders.
	if stream.Send(&link.Answers{ClockMs: t.clockMs()}) != nil {
		return
	}
	for {
		select {
		case <-t.wakeup:
		case <-ctx.Done():
			return
		}
		t.mu.Lock()
		answers := t.queue
		t.queue = nil
		t.mu.Unlock()
		if len(answers) == 0 {
			continue
		}
		if stream.Send(&link.Answers{Answers: answers, ClockMs: t.clockMs()}) != nil {
			return
		}
		timer.Pause(ctx, t.server.Timer, sendInterval)
	}
}

// clockMs returns the clock on which orders expire.
func (t *serverStream) clockMs() int64 {
	return t.server.Timer.Now().Boot.Milliseconds()
}

// carryOut sends an order to its worker and returns the answer.
func (t *serverStream) carryOut(ctx context.Context, o *link.Order) *link.Answer {
	if expires := o.GetExpiresMs(); expires != 0 && t.clockMs() >= expires {
		return &link.Answer{Number: o.GetNumber(), Result: link.OrderResult_ORDER_RESULT_NOT_SENT, Error: "the order has expired"}
	}
	to := &citron.WorkerEntry{ID: citron.Worker(o.GetWorker()), Address: o.GetAddress()}
	switch {
	case o.GetStart() != nil:
		return t.start(ctx, to, o)
	case o.GetRenew() != nil:
		return t.renew(ctx, to, o)
	}
	return &link.Answer{Number: o.GetNumber(), Result: link.OrderResult_ORDER_RESULT_NOT_SENT, Error: "unknown kind of order"}
}

func (t *serverStream) start(ctx context.Context, to *citron.WorkerEntry, o *link.Order) *link.Answer {
	task := citron.TaskRef(o.GetStart().GetTask())
	payload, ok := o.GetStart().GetPayload(), o.GetStart().GetHasPayload()
	if !ok {
		payload, ok = t.server.Payload(task)
	}
	if !ok {
		return &link.Answer{Number: o.GetNumber(), Result: link.OrderResult_ORDER_RESULT_NOT_SENT, Error: fmt.Sprintf("the job of %s is not known", task)}
	}
	if via := citron.VMName(o.GetVia()); via != "" {
		a, err := t.server.Forward(ctx, via, o, payload)
		if errors.Is(err, citron.ErrRejected) {
			return &link.Answer{Number: o.GetNumber(), Result: link.OrderResult_ORDER_RESULT_NOT_SENT, Error: err.Error()}
		}
		if err != nil {
			return failure(o, err)
		}
		a.Number = o.GetNumber()
		return a
	}
	outcome, clock, err := t.server.Workers.Start(ctx, to, citron.StartOrder{
		Task: task, Run: o.GetStart().GetRun(), Payload: payload, Checkpoint: o.GetStart().GetCheckpoint(), Ticket: o.GetStart().GetTicket(),
		Epoch: citron.Epoch(o.GetEpoch()), Deadline: millis(o.GetDeadlineMs()),
	})
	if err != nil && outcome == citron.StartUnknown {
		return failure(o, err)
	}
	return &link.Answer{Number: o.GetNumber(), Result: link.OrderResult_ORDER_RESULT_ANSWERED, Outcome: int32(outcome), ClockMs: clock.Milliseconds()}
}

func (t *serverStream) renew(ctx context.Context, to *citron.WorkerEntry, o *link.Order) *link.Answer {
	report, clock, err := t.server.Workers.Renew(ctx, to, citron.RenewOrder{
		Epoch: citron.Epoch(o.GetEpoch()), Deadline: millis(o.GetDeadlineMs()), Acked: o.GetRenew().GetAcked(), Wait: millis(o.GetRenew().GetWaitMs()),
	})
	if err != nil {
		return failure(o, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	base := t.reports[to.ID]
	if base != nil && base.number != o.GetRenew().GetBase() {
		base = nil
	}
	a := &link.Answer{Number: o.GetNumber(), Result: link.OrderResult_ORDER_RESULT_ANSWERED, ClockMs: clock.Milliseconds()}
	a.Report, t.reports[to.ID] = encodeReport(o.GetNumber(), report, base)
	return a
}

// failure returns the answer for an error of the worker.
func failure(o *link.Order, err error) *link.Answer {
	a := &link.Answer{Number: o.GetNumber(), Error: err.Error()}
	switch {
	case errors.Is(err, citron.ErrWorkerGone):
		a.Result = link.OrderResult_ORDER_RESULT_WORKER_GONE
	case errors.Is(err, citron.ErrFenced):
		a.Result = link.OrderResult_ORDER_RESULT_FENCED
	case errors.Is(err, citron.ErrRefused):
		a.Result = link.OrderResult_ORDER_RESULT_REFUSED
	}
	return a
}
