package entry

import (
	"context"
	"errors"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/peers"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/link"
)

// server answers the other daemons.
type server struct {
	link.UnimplementedLinkServer
	d *Daemon
}

// Ping tells how this daemon is.
func (s *server) Ping(context.Context, *link.PingRequest) (*link.PingReply, error) {
	d := s.d
	reply := &link.PingReply{
		VM:          string(d.self.VM),
		Incarnation: uint64(d.self.Incarnation),
		Stopping:    d.stopping.Load(),
	}
	d.mu.Lock()
	if d.holding != nil {
		reply.Epoch = uint64(d.holding.epoch)
		reply.StoreLostMs = d.holding.holder.StoreUnavailableFor().Milliseconds()
	}
	d.mu.Unlock()
	return reply, nil
}

// Advise puts a question to the policy service.
func (s *server) Advise(ctx context.Context, r *link.AdviseRequest) (*link.AdviseReply, error) {
	workers := make([]citron.Worker, 0, len(r.GetWorkers()))
	for _, w := range r.GetWorkers() {
		workers = append(workers, citron.Worker(w))
	}
	permits, valid, err := s.d.Adviser.Advise(ctx, citron.StepRef(r.GetStep()), workers)
	if errors.Is(err, citron.ErrRejected) {
		return &link.AdviseReply{Busy: true}, nil
	}
	if err != nil {
		return nil, err
	}
	reply := &link.AdviseReply{ValidMs: valid.Milliseconds()}
	for _, p := range permits {
		reply.Permits = append(reply.Permits, &link.Permit{Worker: string(p.Worker), Ticket: p.Ticket})
	}
	return reply, nil
}

// Append stores intake records for a daemon that does not reach the store.
func (s *server) Append(ctx context.Context, r *link.AppendRequest) (*link.AppendReply, error) {
	err := s.d.Intake.Writer.AppendDirect(ctx, peers.Decode(r.GetRecords()))
	switch {
	case err == nil:
		return &link.AppendReply{Outcome: peers.Stored}, nil
	case errors.Is(err, citron.ErrRejected):
		return &link.AppendReply{Outcome: peers.NotStored}, nil
	}
	return &link.AppendReply{Outcome: peers.Unknown}, nil
}

// Heard tells how long ago a daemon last answered this one.
func (s *server) Heard(_ context.Context, r *link.HeardRequest) (*link.HeardReply, error) {
	if vm := citron.VMName(r.GetVM()); vm != s.d.self.VM {
		answered := s.d.peers.LastPing(vm).AnsweredAt
		return &link.HeardReply{Known: answered > 0, AgeMs: (s.d.Timer.Now().Boot - answered).Milliseconds()}, nil
	}
	return &link.HeardReply{Known: true}, nil
}

// Lookup tells what is known of a job.
func (s *server) Lookup(ctx context.Context, r *link.LookupRequest) (*link.LookupReply, error) {
	id := citron.JobID(r.GetJobID())
	e, known, certain := s.d.Intake.Find(ctx, id)
	reply := &link.LookupReply{Certain: certain}
	if known {
		records, err := e.Records(id)
		if err != nil {
			return nil, err
		}
		reply.Records = peers.Encode(records)
	}
	return reply, nil
}

// Notify takes in stored records before they are read from the store.
func (s *server) Notify(_ context.Context, r *link.NotifyRequest) (*link.NotifyReply, error) {
	s.d.view.Apply(citron.KeyedBatch{Records: peers.Decode(r.GetRecords())}, false)
	return &link.NotifyReply{}, nil
}

// TakeOver makes this daemon claim the pool.
func (s *server) TakeOver(_ context.Context, r *link.TakeOverRequest) (*link.TakeOverReply, error) {
	d := s.d
	d.mu.Lock()
	d.takeOver = uint64(d.watch.Newest().Epoch) == r.GetEpoch()
	d.mu.Unlock()
	d.hurryClaims()
	return &link.TakeOverReply{}, nil
}

// handOverWithin bounds the hand-over of the pool at a planned stop.
const handOverWithin = 1200 * time.Millisecond

// IsHolder reports whether this daemon runs the pool.
func (d *Daemon) IsHolder() bool {
	return d.heldPool() != nil
}

// Drain makes this daemon unready and hands the pool over. Callers are still answered.
func (d *Daemon) Drain() {
	d.stopping.Store(true)
	d.Log.Emit(event.DaemonDraining, nil)
	bounded, cancel := context.WithTimeout(d.run, handOverWithin)
	defer cancel()
	d.handOver(bounded)
}

// Stop ends the daemon.
func (d *Daemon) Stop() {
	d.cancel()
	for _, part := range d.parts {
		<-part
	}
	<-d.calls.Idle()
	d.Log.Emit(event.DaemonStopped, nil)
}

// decided logs and counts one decision of the pool.
func (d *Daemon) decided(c pool.Decision) {
	switch c.Kind {
	case pool.DecidedStart:
		d.Stats.ObserveStart(c.Queue, c.Age)
	case pool.DecidedEnd:
		d.Stats.ObserveEnd(c.Queue, c.Outcome, c.Age)
	case pool.DecidedRequeue:
		d.Stats.CountRequeue(c.Queue, c.Reason)
	case pool.DecidedJobEnd:
		d.Stats.ObserveJobEnd(c.Queue, c.Outcome, c.Age)
	}
	e := decisionEvents[c.Kind]
	if !d.Log.Enabled(e) {
		return
	}
	fields := event.Fields{"AgeMs": c.Age.Milliseconds()}
	for key, value := range map[string]string{
		"Queue": string(c.Queue), "Job": string(c.Job), "Task": string(c.Task), "Worker": string(c.Worker),
		"Outcome": c.Outcome, "Reason": c.Reason,
	} {
		if value != "" {
			fields[key] = value
		}
	}
	if c.Run > 0 {
		fields["Run"] = c.Run
	}
	d.Log.Emit(e, fields)
}

var decisionEvents = map[pool.DecisionKind]event.Event{
	pool.DecidedStart:         event.TaskPlaced,
	pool.DecidedEnd:           event.TaskEnded,
	pool.DecidedRequeue:       event.TaskRequeued,
	pool.DecidedJobEnd:        event.JobEnded,
	pool.DecidedAdviceRequest: event.AdviceRequested,
	pool.DecidedQuarantine:    event.WorkerQuarantined,
	pool.DecidedWorkerLost:    event.WorkerLost,
	pool.DecidedWait:          event.StepWaiting,
}

func (d *Daemon) exchangeFailed(what string, err error) {
	d.Stats.CountFailedExchange(what)
	d.Log.Emit(event.ExchangeFailed, event.Fields{"Exchange": what, "Error": err})
}

// gauges shows what this daemon holds at the moment.
func (d *Daemon) gauges() {
	held := func(read func(*holding) float64) func() float64 {
		return func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.holding == nil {
				return 0
			}
			return read(d.holding)
		}
	}
	d.Stats.RegisterGauge("citron_held_epoch", held(func(h *holding) float64 { return float64(h.epoch) }))
	d.Stats.RegisterGauge("citron_waiting_steps", held(func(h *holding) float64 { return float64(h.holder.Pool.LastPlan().WaitingSteps) }))
	d.Stats.RegisterGauge("citron_waiting_tasks", held(func(h *holding) float64 { return float64(h.holder.Pool.LastPlan().WaitingTasks) }))
	d.Stats.RegisterGauge("citron_running_tasks", held(func(h *holding) float64 { return float64(h.holder.Pool.LastPlan().RunningTasks) }))
	d.Stats.RegisterGauge("citron_usable_workers", held(func(h *holding) float64 { return float64(h.holder.Pool.LastPlan().UsableWorkers) }))
	d.Stats.RegisterGauge("citron_listed_workers", held(func(h *holding) float64 { return float64(h.holder.Pool.LastPlan().ListedWorkers) }))
	d.Stats.RegisterGauge("citron_store_age_seconds", func() float64 { return d.storeAge().Seconds() })
	d.Stats.RegisterGauge("citron_config_version", func() float64 {
		if c := d.config.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}
