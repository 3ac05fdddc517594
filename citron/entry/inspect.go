package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/schema/link"
)

// Status returns the state of this daemon and, if it is the holder, of the pool.
func (s *server) Status(context.Context, *link.StatusRequest) (*link.StatusReply, error) {
	d := s.d
	newest := d.newestClaim()
	reply := &link.StatusReply{
		VM: string(d.self.VM), FailureDomain: string(d.Settings.FailureDomain), Stopping: d.stopping.Load(), Ready: d.Ready(),
		StoreAgeMs: -1, Holder: string(newest.Holder.VM), Epoch: uint64(newest.Epoch), Peers: d.peers.Addresses(),
	}
	if age := d.storeAge(); age < tail.NeverAnswered {
		reply.StoreAgeMs = age.Milliseconds()
	}
	if c := d.config.Load(); c != nil {
		reply.ConfigVersion = uint64(c.Version)
	}
	p := d.heldPool()
	if p == nil {
		return reply, nil
	}
	reply.Holds = true
	for _, q := range p.Queues() {
		reply.Queues = append(reply.Queues, &link.QueueStatus{
			Queue: string(q.Queue), OpenJobs: int32(q.OpenJobs), WaitingTasks: int32(q.WaitingTasks), RunningTasks: int32(q.Running),
		})
	}
	reply.Teams = teamStatuses(p.Teams(), p.Refusals())
	for _, w := range p.WorkerStatuses(d.Timer.Now()) {
		reply.Workers = append(reply.Workers, &link.WorkerStatus{
			Worker: string(w.Entry.ID), Rack: string(w.Entry.Rack), Service: string(w.Entry.Service), State: w.State, Tasks: int32(w.Tasks),
			UsedMilliCores: w.Used.MilliCores, MilliCores: w.Entry.Capacity.MilliCores,
			UsedMemoryMb: w.Used.MemoryMb, MemoryMb: w.Entry.Capacity.MemoryMb, SilentMs: w.SinceAnswer.Milliseconds(),
			Speed: w.Speed.Factor, SpeedRuns: int32(w.Speed.Runs), SpeedClass: w.SpeedClass,
		})
	}
	for _, a := range p.InterferingPairs() {
		reply.Pairs = append(reply.Pairs, &link.PairStatus{
			Slowed: a.Slowed.String(), By: a.By.String(), Factor: a.Factor, With: int32(a.With), Without: int32(a.Without),
			SinceMs: (d.Timer.Now().Boot - a.Since).Milliseconds(),
		})
	}
	return reply, nil
}

// teamStatuses returns the teams as shown to operators. A team of which several priorities are refused shows the longest wait.
func teamStatuses(loads []pool.TeamLoad, refused pool.Refusals) (list []*link.TeamStatus) {
	waits := map[citron.Team]time.Duration{}
	for _, b := range refused.Teams {
		waits[b.Team] = max(waits[b.Team], b.Wait)
	}
	for _, t := range loads {
		list = append(list, &link.TeamStatus{
			Team: string(t.Terms.Name), Weight: t.Terms.Weight,
			UsedMilliCores: t.Used.MilliCores, MaxMilliCores: t.Terms.Max.MilliCores,
			UsedMemoryMb: t.Used.MemoryMb, MaxMemoryMb: t.Terms.Max.MemoryMb,
			UsedAccelerators: t.Used.Accelerators, MaxAccelerators: t.Terms.Max.Accelerators,
			WaitingTasks: int32(t.Waiting), RunningTasks: int32(t.Running),
			RefusedMs: waits[t.Terms.Name].Milliseconds(),
		})
	}
	return list
}

// heldPool returns the pool if this daemon is its holder and has loaded its state, otherwise nil.
func (d *Daemon) heldPool() *pool.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holding == nil || !d.holding.ready.Load() {
		return nil
	}
	return d.holding.holder.Pool
}

// Explain returns the state of each task of a job. Daemons other than the holder return what the store contains.
func (s *server) Explain(ctx context.Context, r *link.ExplainRequest) (*link.ExplainReply, error) {
	d, id := s.d, citron.JobID(r.GetJobID())
	e, known, _ := d.Intake.Find(ctx, id)
	if !known {
		return &link.ExplainReply{}, nil
	}
	reply := &link.ExplainReply{Known: true, Queue: e.Spec.GetQueue(), State: stateName(e.State())}
	if p := d.heldPool(); p != nil {
		if tasks, open := p.Explain(d.Timer.Now(), id); open {
			reply.Holds = true
			for _, t := range tasks {
				reply.Tasks = append(reply.Tasks, &link.TaskStatus{
					Task: string(t.Task), State: t.State, Run: t.Run, Worker: string(t.Worker), SinceMs: t.Since.Milliseconds(),
					Failures: int32(t.Failures), Reason: t.Reason,
				})
			}
			return reply, nil
		}
	}
	progress, err := e.FullProgress()
	if err != nil {
		return nil, err
	}
	for _, o := range progress.GetOpen() {
		for _, t := range o.GetTasks() {
			reply.Tasks = append(reply.Tasks, &link.TaskStatus{
				Task: string(pool.TaskName(id, o.GetNumber(), t.GetStep(), t.GetIndex())), State: stateName(t.GetState()), Run: t.GetRun(),
				Worker: t.GetWorker(), SinceMs: -1, Failures: int32(len(t.GetFailedRuns())),
			})
		}
	}
	return reply, nil
}

// stateName returns the last word of an enum value's name in lower case.
func stateName(state fmt.Stringer) string {
	name := state.String()
	return strings.ToLower(name[strings.LastIndexByte(name, '_')+1:])
}
