package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/peers"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/schema/link"
)

// server serves the RPCs of other daemons and of operators.
type server struct {
	link.UnimplementedLinkServer
	d *Daemon
}

// Ping returns this daemon's liveness data: whether it is stopping, the epoch it holds, the time without the store.
func (s *server) Ping(_ context.Context, r *link.PingRequest) (*link.PingReply, error) {
	d := s.d
	d.peers.RecordHeard(citron.Member{VM: citron.VMName(r.GetVM()), Incarnation: citron.Incarnation(r.GetIncarnation())}, r.GetStopping())
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
	reply.Shares = d.shareSummary()
	reply.Roster = d.peers.NewerRoster(r.GetRosterEpoch(), r.GetRosterNumber())
	return reply, nil
}

// Advise sends a request to the policy service for another daemon.
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
		permit := &link.Permit{Ticket: p.Ticket}
		if n := slices.Index(workers, p.Worker); r.GetPositions() && n >= 0 {
			permit.Position = int32(n + 1)
		} else {
			permit.Worker = string(p.Worker)
		}
		reply.Permits = append(reply.Permits, permit)
	}
	return reply, nil
}

// Append stores intake records for a daemon that cannot reach the store, or that leaves it to the holder to accept a large job.
func (s *server) Append(ctx context.Context, r *link.AppendRequest) (*link.AppendReply, error) {
	records := peers.Decode(r.GetRecords())
	err := s.d.Intake.StoreForwarded(ctx, records)
	switch {
	case err == nil:
		// The other daemon may know an earlier holder only, since it learns of a new one from the store.
		for _, record := range records {
			s.d.forwardToHolder(record)
		}
		return &link.AppendReply{Outcome: peers.Stored}, nil
	case errors.Is(err, citron.ErrRejected):
		return &link.AppendReply{Outcome: peers.NotStored}, nil
	}
	return &link.AppendReply{Outcome: peers.Unknown}, nil
}

// Heard returns how long ago another daemon last answered a ping of this one.
func (s *server) Heard(_ context.Context, r *link.HeardRequest) (*link.HeardReply, error) {
	if vm := citron.VMName(r.GetVM()); vm != s.d.self.VM {
		answered := s.d.peers.LastPing(vm).AnsweredAt
		return &link.HeardReply{Known: answered > 0, AgeMs: (s.d.Timer.Now().Boot - answered).Milliseconds()}, nil
	}
	return &link.HeardReply{Known: true}, nil
}

// Lookup returns the records of a job and whether this daemon's view of them is certain to be complete.
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

// CountPending returns the number of jobs of a queue that have not started, if this daemon knows all accepted jobs.
func (s *server) CountPending(_ context.Context, r *link.CountPendingRequest) (*link.CountPendingReply, error) {
	c, certain := s.d.Intake.CountPendingHere(citron.QueueName(r.GetQueue()))
	return &link.CountPendingReply{Certain: certain, Jobs: int64(c.Jobs)}, nil
}

// Notify applies stored records before this daemon reads them from the store.
func (s *server) Notify(_ context.Context, r *link.NotifyRequest) (*link.NotifyReply, error) {
	s.d.applyNotices(r)
	return &link.NotifyReply{}, nil
}

// TakeOver makes this daemon claim the pool if the given epoch is still the newest. It fails if this daemon has not read
// that claim or what a holder needs, so that another daemon is asked.
func (s *server) TakeOver(_ context.Context, r *link.TakeOverRequest) (*link.TakeOverReply, error) {
	d := s.d
	loaded := d.stateLoaded()
	d.mu.Lock()
	newest := d.watch.Newest().Epoch
	d.takeOver = loaded && uint64(newest) == r.GetEpoch()
	agreed := d.takeOver
	d.mu.Unlock()
	if !agreed {
		return nil, status.Errorf(codes.FailedPrecondition, "newest epoch read is %d, state of the pool loaded: %t", newest, loaded)
	}
	d.wakeClaims()
	return &link.TakeOverReply{}, nil
}

// handOverTimeout bounds the handover of the pool at a planned stop.
const handOverTimeout = 1200 * time.Millisecond

// IsHolder reports whether this daemon is the holder and has loaded the pool's state.
func (d *Daemon) IsHolder() bool {
	return d.heldPool() != nil
}

// Drain makes this daemon unready and hands the pool over. It still serves callers.
func (d *Daemon) Drain() {
	d.stopping.Store(true)
	d.Log.Emit(event.DaemonDraining, nil)
	bounded, cancel := context.WithTimeout(d.run, handOverTimeout)
	defer cancel()
	d.handOver(bounded)
}

// Withdraw removes the presence record, so that the other daemons do not count this one any more. It serves nothing afterwards.
func (d *Daemon) Withdraw(ctx context.Context) {
	d.stopping.Store(true)
	if err := d.removePresence(ctx, []citron.VMName{d.self.VM}); err != nil {
		// The holder removes the record after a time.
		d.Log.Emit(event.LogAppendFailed, event.Fields{"Topic": cellPartition.Topic, "Error": err})
	}
}

// removePresence removes presence records. A daemon that is alive announces itself again, see announceAgain.
func (d *Daemon) removePresence(ctx context.Context, vms []citron.VMName) error {
	records := make([]citron.KeyedRecord, 0, len(vms))
	for _, vm := range vms {
		records = append(records, citron.KeyedRecord{Key: peerKeyPrefix + string(vm)})
	}
	return d.appendCell(ctx, citron.Condition{}, records...)
}

// Stop stops the daemon and waits for its goroutines.
func (d *Daemon) Stop() {
	d.cancel()
	for _, ended := range d.components {
		<-ended
	}
	<-d.exchanges.Idle()
	d.Log.Emit(event.DaemonStopped, nil)
}

// recordDecision logs and counts a decision of the pool.
func (d *Daemon) recordDecision(c pool.Decision) {
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
		"Team": string(c.Team), "Outcome": c.Outcome, "Reason": c.Reason,
	} {
		if value != "" {
			fields[key] = value
		}
	}
	if c.Run > 0 {
		fields["Run"] = c.Run
	}
	if c.Expected > 0 {
		fields["ExpectedMs"] = c.Expected.Milliseconds()
	}
	if c.Speed > 0 {
		fields["Speed"] = math.Round(100*c.Speed) / 100
	}
	if c.Runs > 0 {
		fields["Runs"] = c.Runs
	}
	if s := &c.Spent; c.Kind == pool.DecidedJobEnd {
		fields["UntilAskedMs"], fields["UntilPlacedMs"], fields["RunningMs"] = s.UntilAsked.Milliseconds(), s.UntilPlaced.Milliseconds(), s.Running.Milliseconds()
		fields["Lateness"] = pool.LatenessNames[s.Lateness]
	}
	if pair := c.Pair; pair != nil {
		fields["Slowed"], fields["By"], fields["Factor"] = pair.Slowed.String(), pair.By.String(), math.Round(100*pair.Factor)/100
		fields["With"], fields["Without"] = pair.With, pair.Without
	}
	d.Log.Emit(e, fields)
}

// decisionEvents maps each kind of decision to its log event.
var decisionEvents = map[pool.DecisionKind]event.Event{
	pool.DecidedStart:         event.TaskPlaced,
	pool.DecidedEnd:           event.TaskEnded,
	pool.DecidedRequeue:       event.TaskRequeued,
	pool.DecidedJobEnd:        event.JobEnded,
	pool.DecidedAdviceRequest: event.AdviceRequested,
	pool.DecidedQuarantine:    event.WorkerQuarantined,
	pool.DecidedWorkerLost:    event.WorkerLost,
	pool.DecidedWait:          event.StepWaiting,
	pool.DecidedAboveQuota:    event.TeamAboveQuota,
	pool.DecidedQuotaWait:     event.TeamWaitsForQuota,
	pool.DecidedUnknownRuns:   event.UnknownRunsCounted,
	pool.DecidedSpeed:         event.WorkerSpeedChanged,
	pool.DecidedPairAccepted:  event.PairAccepted,
	pool.DecidedPairWithdrawn: event.PairWithdrawn,
	pool.DecidedRunLost:       event.RunLost,

	pool.DecidedWorkerRestarted: event.WorkerRestarted,
	pool.DecidedEndSkipped:      event.EndSkipped,
}

// exchangeFailed logs and counts a failed exchange of the given kind.
func (d *Daemon) exchangeFailed(kind string, err error) {
	d.Stats.CountFailedExchange(kind)
	d.Log.Emit(event.ExchangeFailed, event.Fields{"Exchange": kind, "Error": err})
}

// registerGauges registers the gauges of the daemon and of the pool; those of the pool are 0 unless it is the holder.
func (d *Daemon) registerGauges() {
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
	d.Stats.RegisterGauge("citron_slow_workers", held(func(h *holding) float64 { return float64(h.holder.Pool.LastPlan().SlowWorkers) }))
	d.Stats.RegisterGauge("citron_fast_workers", held(func(h *holding) float64 { return float64(h.holder.Pool.LastPlan().FastWorkers) }))
	d.Stats.RegisterGauge("citron_listed_workers", held(func(h *holding) float64 { return float64(h.holder.Pool.LastPlan().ListedWorkers) }))
	d.Stats.RegisterGauge("citron_interfering_pairs", held(func(h *holding) float64 { return float64(len(h.holder.Pool.InterferingPairs())) }))
	d.Stats.RegisterGauge("citron_store_age_seconds", func() float64 { return d.storeAge().Seconds() })
	d.Stats.RegisterGauge("citron_jobs_age_seconds", func() float64 { return d.Intake.Freshness().Age.Seconds() })
	d.Stats.RegisterGauge("citron_partitions_not_loaded", func() float64 { return float64(d.Intake.Freshness().NotLoaded) })
	d.Stats.RegisterGauge("citron_known_jobs", func() float64 { return float64(d.view.Len()) })
	d.Stats.RegisterGauge("citron_open_job_bytes", func() float64 { return float64(d.view.Ledger.Total().Open) })
	d.Stats.RegisterGauge("citron_ended_job_bytes", func() float64 { return float64(d.view.Ledger.Total().Ended) })
	d.Stats.RegisterGauge("citron_job_bytes_limit", func() float64 { return float64(d.view.Ledger.Limit) })
	d.Stats.RegisterGauge("citron_config_version", func() float64 {
		if c := d.config.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}

// registerTeamGauges registers the gauges of new teams; they are 0 unless this daemon holds the pool. It requires d.mu.
func (d *Daemon) registerTeamGauges(teams []citron.TeamTerms) {
	for _, t := range teams {
		if d.gaugedTeams[t.Name] || len(d.gaugedTeams) >= maxGaugedTeams {
			continue
		}
		if d.gaugedTeams == nil {
			d.gaugedTeams = map[citron.Team]bool{}
		}
		d.gaugedTeams[t.Name] = true
		used := func() (used, maximum citron.Capacity) {
			if p := d.heldPool(); p != nil {
				used, maximum = p.TeamUse(t.Name)
			}
			return used, maximum
		}
		d.Stats.RegisterGauge(fmt.Sprintf(`citron_team_used_cores{Team=%q}`, t.Name), func() float64 {
			u, _ := used()
			return float64(u.MilliCores) / 1000
		})
		d.Stats.RegisterGauge(fmt.Sprintf(`citron_team_maximum_cores{Team=%q}`, t.Name), func() float64 {
			_, m := used()
			return float64(m.MilliCores) / 1000
		})
	}
}

// maxGaugedTeams is the maximum number of teams with gauges. It is the limit of team labels that docs/design/OVERVIEW.md sets;
// further teams are in the daemon's status only.
const maxGaugedTeams = 200
