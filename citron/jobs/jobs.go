// Package jobs runs the jobs of the worker pools that this daemon owns: it records them in the log, places their tasks
// on workers and runs the tasks under leases.
package jobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/ledger"
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// maxTasks is the maximum number of tasks of a job.
	maxTasks = 10_000
	// maxPayload is the maximum size of a job's payload in bytes.
	maxPayload = 16 << 10
	// commitTimeout limits the recording of one request in the log.
	commitTimeout = 3 * time.Second
	// retryAfter is the retry delay sent to callers while a pool has no ready owner.
	retryAfter = time.Second
)

// Ownership reports which pools this daemon may use.
type Ownership interface {
	// MayAct reports whether this daemon may use a shard now.
	MayAct(id citron.ShardID) bool
	// OwnerOf returns the last owner recorded in the log.
	OwnerOf(id citron.ShardID) citron.Member
}

// Peers provides clients of other daemons.
type Peers interface {
	// Peer returns the client of the daemon on a VM, and false if there is none.
	Peer(vm citron.VMName) (peer.PeerClient, bool)
}

// Options configures how tasks are run.
type Options struct {
	// TaskLease is how long a worker may run its tasks without a lease renewal.
	TaskLease time.Duration
	// SyncEvery is the maximum time between two messages to a worker that has tasks.
	SyncEvery time.Duration
	// GangReservation is the length of the alternating periods in which smaller work may start and in which capacity is
	// kept free for a waiting gang.
	GangReservation time.Duration
	// IdleTimeout is how long a worker is idle before it is switched off.
	IdleTimeout time.Duration
	// JobRetention is how long ended jobs are retained.
	JobRetention time.Duration
	Rules        place.Rules
}

// Service runs the jobs of the pools that this daemon owns and relays requests for other pools to their owners.
type Service struct {
	Self      citron.Member
	Layout    citron.Layout
	Options   Options
	Timer     citron.Timer
	Templates *state.Templates
	Owner     Ownership
	Peers     Peers
	Runner    citron.Runner
	VMs       citron.VMList
	// IsVMGone reports whether a VM is gone according to the platform.
	IsVMGone func(citron.VMName) bool
	Stats    *stats.Set
	Log      *event.Logger

	mu     sync.Mutex
	pools  map[citron.ShardID]*pool
	allVMs []*lab.VM
}

// Gained loads and starts a newly owned pool.
func (s *Service) Gained(ctx context.Context, o ledger.Options, id citron.ShardID, epoch citron.Epoch) {
	p := newPool(s, id)
	p.ledger = ledger.Open(ctx, o, id, epoch, p.jobs)
	s.mu.Lock()
	if s.pools == nil {
		s.pools = map[citron.ShardID]*pool{}
	}
	old := s.pools[id]
	s.pools[id] = p
	vms := s.allVMs
	s.mu.Unlock()
	if old != nil {
		old.close()
	}
	p.setVMs(vms)
	p.start(ctx)
}

// Lost closes a pool that this daemon no longer owns.
func (s *Service) Lost(id citron.ShardID) {
	s.mu.Lock()
	p := s.pools[id]
	delete(s.pools, id)
	s.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// SetVMs passes the platform's list of VMs to the owned pools.
func (s *Service) SetVMs(vms []*lab.VM) {
	s.mu.Lock()
	s.allVMs = vms
	pools := s.allPools()
	s.mu.Unlock()
	for _, p := range pools {
		p.setVMs(vms)
	}
}

// Workers returns the workers of the owned pools.
func (s *Service) Workers() (infos []place.Info) {
	s.mu.Lock()
	pools := s.allPools()
	s.mu.Unlock()
	for _, p := range pools {
		infos = append(infos, p.workerInfos()...)
	}
	return infos
}

// OpenJobs returns the number of open jobs in the owned pools.
func (s *Service) OpenJobs() (n int) {
	s.mu.Lock()
	pools := s.allPools()
	s.mu.Unlock()
	for _, p := range pools {
		p.jobs.Each(func(j *state.Job) {
			if j.Ended.IsZero() {
				n++
			}
		})
	}
	return n
}

// Handle serves a job request here or relays it to the owner of the job's pool.
func (s *Service) Handle(ctx context.Context, request *peer.RelayRequest) (*peer.RelayReply, *citron.Refusal) {
	id := s.Layout.JobPool(citron.JobID(request.GetJobID()))
	request.Shard = string(id)
	if s.Owner.MayAct(id) {
		return s.handleHere(ctx, id, request)
	}
	to := s.Owner.OwnerOf(id)
	client, ok := s.Peers.Peer(to.VM)
	if !ok {
		return nil, citron.NewNotRunRefusal(citron.RefusalNoOwner, retryAfter, "pool %s changes its owner at the moment", id)
	}
	reply, err := client.Relay(ctx, request)
	if err != nil {
		return nil, s.ownerUnavailable(id, request)
	}
	if reply.GetNumber() != 0 {
		return nil, refusalOf(reply)
	}
	return reply, nil
}

// Relay serves a job request relayed by another daemon. It never relays the request again, so requests cannot loop.
func (s *Service) Relay(ctx context.Context, request *peer.RelayRequest) *peer.RelayReply {
	id := citron.ShardID(request.GetShard())
	if !s.Owner.MayAct(id) {
		return refusalReply(citron.NewNotRunRefusal(citron.RefusalNoOwner, retryAfter, "pool %s changes its owner at the moment", id))
	}
	reply, refusal := s.handleHere(ctx, id, request)
	if refusal != nil {
		return refusalReply(refusal)
	}
	return reply
}

// handleHere serves a job request for an owned pool.
func (s *Service) handleHere(ctx context.Context, id citron.ShardID, request *peer.RelayRequest) (*peer.RelayReply, *citron.Refusal) {
	p, ok := s.pool(id)
	if !ok {
		return nil, citron.NewNotRunRefusal(citron.RefusalLogUnavailable, retryAfter, "the state of pool %s is not loaded yet", id)
	}
	job := citron.JobID(request.GetJobID())
	switch request.GetVerb() {
	case peer.RelayVerb_RELAY_VERB_SUBMIT:
		if refusal := p.submit(ctx, job, request.GetSpec()); refusal != nil {
			return nil, refusal
		}
	case peer.RelayVerb_RELAY_VERB_CANCEL:
		if refusal := p.cancel(ctx, job); refusal != nil {
			return nil, refusal
		}
	case peer.RelayVerb_RELAY_VERB_EXPLAIN:
		lines, refusal := p.explain(job)
		return &peer.RelayReply{Lines: lines}, refusal
	}
	reply := &peer.RelayReply{}
	if !p.jobs.View(job, func(j *state.Job) { reply.Job = j.Record() }) {
		return nil, citron.NewNotRunRefusal(citron.RefusalUnknownJob, 0, "job %q is not known; ended jobs are forgotten after a time", job)
	}
	return reply, nil
}

// ownerUnavailable refuses a request because the owner of the pool did not reply. Submitting and cancelling are
// idempotent, so the caller may retry.
func (s *Service) ownerUnavailable(id citron.ShardID, request *peer.RelayRequest) *citron.Refusal {
	r := citron.NewNotRunRefusal(citron.RefusalNoOwner, retryAfter, "the owner of pool %s does not answer; send the same request again", id)
	if request.GetVerb() == peer.RelayVerb_RELAY_VERB_SUBMIT {
		r.Outcome = record.Outcome_OUTCOME_UNKNOWN
	}
	return r
}

// Check refuses a job that can never run regardless of load.
func (s *Service) Check(spec *record.JobSpec) *citron.Refusal {
	t, ok := s.Templates.Get(citron.Team(spec.GetTeam()))
	if !ok {
		return citron.NewNotRunRefusal(citron.RefusalUnknownTeam, 0, "team %q has no template; publish one with citronctl", spec.GetTeam())
	}
	if _, ok := t.Compiled.Classes[citron.Class(spec.GetClass())]; !ok {
		return citron.NewNotRunRefusal(citron.RefusalUnknownClass, 0, "team %q has no class %q; see citronctl template show", spec.GetTeam(), spec.GetClass())
	}
	if reason := badSpec(spec); reason != "" {
		return citron.NewNotRunRefusal(citron.RefusalBadBody, 0, "%s", reason)
	}
	q := t.Compiled.Quota
	atOnce := int64(1)
	if spec.GetGang() || spec.GetService() {
		atOnce = int64(spec.GetTasks())
	}
	switch {
	case exceeds(q.MilliCores, atOnce*int64(spec.GetMilliCores())):
		return quotaRefusal("MilliCores", atOnce*int64(spec.GetMilliCores()), q.MilliCores)
	case exceeds(q.MemoryMb, atOnce*int64(spec.GetMemoryMb())):
		return quotaRefusal("MemoryMb", atOnce*int64(spec.GetMemoryMb()), q.MemoryMb)
	case exceeds(q.Accelerators, atOnce*int64(spec.GetAccelerators())):
		return quotaRefusal("Accelerators", atOnce*int64(spec.GetAccelerators()), q.Accelerators)
	}
	return nil
}

// badSpec returns why a spec is invalid, or "" for a valid one.
func badSpec(spec *record.JobSpec) string {
	switch {
	case spec.GetTasks() < 1 || spec.GetTasks() > maxTasks:
		return fmt.Sprintf("Tasks is %d, must be from 1 to %d", spec.GetTasks(), maxTasks)
	case spec.GetMilliCores() < 1:
		return fmt.Sprintf("MilliCores is %d, must be 1 or more (1000 for a core)", spec.GetMilliCores())
	case spec.GetMemoryMb() < 1:
		return fmt.Sprintf("MemoryMb is %d, must be 1 or more", spec.GetMemoryMb())
	case spec.GetAccelerators() < 0:
		return "Accelerators must be 0 or more"
	case spec.GetRunBoundMs() < 0:
		return "RunBoundMs must be 0 (the class's bound) or more"
	case len(spec.GetPayload()) > maxPayload:
		return fmt.Sprintf("Payload has %d bytes, must have at most %d", len(spec.GetPayload()), maxPayload)
	}
	return ""
}

// exceeds reports whether value is above bound; a bound of 0 means unlimited.
func exceeds(bound, value int64) bool {
	return bound > 0 && value > bound
}

// quotaRefusal refuses a job that needs more of a resource at once than the team's quota.
func quotaRefusal(what string, value, bound int64) *citron.Refusal {
	return citron.NewNotRunRefusal(citron.RefusalUnschedulable, 0, "the job needs %d %s at once, the team's quota is %d; ask for less", value, what, bound)
}

// pool returns an owned pool whose state is loaded.
func (s *Service) pool(id citron.ShardID) (*pool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[id]
	return p, ok && p.ledger.IsReady()
}

// allPools returns the owned pools. The lock is held.
func (s *Service) allPools() (pools []*pool) {
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	return pools
}

// refusalOf converts an error reply to a refusal.
func refusalOf(r *peer.RelayReply) *citron.Refusal {
	refusal := citron.NewNotRunRefusal(citron.RefusalNumber(r.GetNumber()), time.Duration(r.GetRetryAfterMs())*time.Millisecond, "%s", r.GetReason())
	return refusal
}

// refusalReply converts a refusal to an error reply.
func refusalReply(r *citron.Refusal) *peer.RelayReply {
	return &peer.RelayReply{Number: int32(r.Number), Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds()}
}
