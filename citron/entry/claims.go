package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/claim"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/fence"
	"github.com/citroncross/citroncross/citron/holder"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/work"
)

// claimCheckInterval is the period at which a daemon checks the newest claim and the liveness of the holder.
const claimCheckInterval = 40 * time.Millisecond

// wakeClaims makes the claim loop check at once.
func (d *Daemon) wakeClaims() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// runClaims makes this daemon follow the newest claim and claims the pool if its holder is lost.
func (d *Daemon) runClaims() <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := d.Timer.Every(claimCheckInterval)
		defer stop()
		for {
			select {
			case <-d.run.Done():
				d.stopHolding()
				ended <- nil
				return
			case <-tick:
			case <-d.wake:
			}
			d.reconcile()
			d.checkHolder()
		}
	}()
	return ended
}

// reconcile starts or stops running the pool according to the newest claim.
func (d *Daemon) reconcile() {
	newest := d.newestClaim()
	d.mu.Lock()
	h := d.holding
	d.mu.Unlock()
	if h != nil {
		select {
		case err := <-h.ended:
			d.holdingEnded(h, err)
			h = nil
		default:
		}
	}
	if h != nil && h.epoch != newest.Epoch {
		d.stopHolding()
		h = nil
	}
	if h == nil && newest.Holder == d.self && newest.Epoch > d.releasedEpoch {
		d.startHolding(newest.Epoch)
	}
}

// claimConfirmedAt returns the last boot time at which the claim of an epoch was known to be the newest; zero if it no
// longer is.
func (d *Daemon) claimConfirmedAt(epoch citron.Epoch) time.Duration {
	current := d.cell.CurrentAsOf()
	if d.newestClaim().Epoch != epoch {
		return 0
	}
	return current
}

// stopHolding stops running the pool and waits until its last order has been sent.
func (d *Daemon) stopHolding() {
	d.mu.Lock()
	h := d.holding
	d.mu.Unlock()
	if h == nil {
		return
	}
	h.cancel()
	d.holdingEnded(h, <-h.ended)
}

// holdingEnded records that this daemon no longer runs the pool.
func (d *Daemon) holdingEnded(h *holding, err error) {
	d.mu.Lock()
	d.holding = nil
	d.releasedEpoch, d.releasedAt = h.epoch, d.Timer.Now().Boot
	d.mu.Unlock()
	h.cancel()
	d.Log.Emit(event.PoolLost, event.Fields{"Epoch": h.epoch, "Error": err})
}

// startHolding starts to run the pool in an epoch.
func (d *Daemon) startHolding(epoch citron.Epoch) {
	ctx, cancel := context.WithCancel(d.run)
	p := pool.New(d.Settings.Pool, epoch, &d.balancer)
	p.Observe = d.recordDecision
	ended := make(chan error, 1)
	h := &holding{epoch: epoch, cancel: cancel, ended: ended, holder: &holder.Holder{
		Store:          d.Store,
		Producer:       producer,
		Workers:        &fence.Workers{To: d.orders, Tokens: fence.Tokens{Epoch: epoch}},
		Relayed:        d.relaysOrders,
		MaxOrders:      d.Settings.MaxOrders,
		Timer:          d.Timer,
		View:           &d.view,
		ProgressTails:  d.progress,
		JobTails:       d.jobs,
		JobSources:     d.jobSources,
		ExtendClaim:    d.addClaimPartition,
		NarrowClaim:    d.setClaimPartition,
		LastConfirmed:  func() time.Duration { return d.claimConfirmedAt(epoch) },
		Published:      d.publish,
		Planned:        d.uses.planned,
		Pool:           p,
		Advise:         d.advise,
		ExchangeFailed: d.exchangeFailed,
	}}
	d.mu.Lock()
	d.holding = h
	d.applyTermsLocked()
	for _, n := range d.partitions {
		if int(n) < len(d.progress) {
			h.holder.ClaimedPartitions = append(h.holder.ClaimedPartitions, int(n))
		}
	}
	d.mu.Unlock()
	d.Log.Emit(event.PoolClaimed, event.Fields{"Epoch": epoch})
	d.balancer.SetDaemons(append(d.peers.Live(), d.self.VM))
	go func() {
		ended <- h.holder.Run(ctx, func() {
			h.ready.Store(true)
			d.mu.Lock()
			workerEntries := d.workerEntries
			d.mu.Unlock()
			h.holder.UpdateWorkers(workerEntries)
			d.exchanges.Go(func(context.Context) { d.runWaves(ctx, epoch, p) })
			d.Log.Emit(event.PoolRunning, event.Fields{"Epoch": epoch, "Workers": len(workerEntries)})
		})
		d.wakeClaims()
	}()
}

// stateLoaded reports whether this daemon has read what a holder needs before it can start tasks: the list of workers, the
// accepted jobs and the progress in the partitions that the newest claim names. The other partitions are not waited for,
// since the store may not answer for them.
func (d *Daemon) stateLoaded() bool {
	d.mu.Lock()
	workersKnown := d.workerEntries != nil
	d.mu.Unlock()
	return workersKnown && tail.AllLoaded(d.jobs[0]) && tail.AllLoaded(d.progressInUse()...)
}

// progressInUse returns the tails of the partitions that hold the pool's records: those that the newest claim lists. All
// of them count while the claims are not known.
func (d *Daemon) progressInUse() (inUse []*tail.Tail) {
	if !tail.AllLoaded(d.cell) {
		return d.progress
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.claimedPartitions() {
		if int(n) < len(d.progress) {
			inUse = append(inUse, d.progress[n])
		}
	}
	return inUse
}

// claimedPartitions returns the partitions that the newest claim lists, or the first one if nobody has claimed the pool.
// The caller holds the lock.
func (d *Daemon) claimedPartitions() []int32 {
	if len(d.partitions) == 0 {
		return []int32{0}
	}
	return d.partitions
}

// claimPool appends a claim for this daemon unless the cell's records have changed since newest was read.
func (d *Daemon) claimPool(newest claim.Claim, reason string) {
	next, loaded := d.cell.Next()
	if !loaded || d.newestClaim() != newest {
		return
	}
	epoch := fence.NextEpoch(newest.Epoch)
	d.mu.Lock()
	partitions := d.claimedPartitions()
	d.mu.Unlock()
	d.Log.Emit(event.ClaimSent, event.Fields{"Epoch": epoch, "Former": newest.Holder.VM, "Reason": reason, "Loaded": d.stateLoaded()})
	if err := d.appendClaim(d.run, epoch, partitions, next); err != nil && !errors.Is(err, citron.ErrConflict) {
		d.Log.Emit(event.LogAppendFailed, event.Fields{"Topic": cellPartition.Topic, "Error": err})
	}
	// After an error the claim may still have been stored; reading the records back tells.
	bounded, cancel := context.WithTimeout(d.run, readBackTimeout)
	defer cancel()
	if err := d.cell.WaitFor(bounded, next+1); err != nil {
		return
	}
	d.reconcile()
}

// appendClaim stores a claim of this daemon, provided that the cell's records end at the given offset.
func (d *Daemon) appendClaim(ctx context.Context, epoch citron.Epoch, partitions []int32, at citron.Offset) error {
	value, err := proto.Marshal(&work.Claim{
		VM:          string(d.self.VM),
		Incarnation: uint64(d.self.Incarnation),
		Epoch:       uint64(epoch),
		Partitions:  partitions,
	})
	if err != nil {
		return err
	}
	return d.appendCell(ctx, citron.Condition{ExpectedOffset: &at}, citron.KeyedRecord{Key: claimKey, Value: value})
}

// addClaimPartition adds a partition to this daemon's claim.
func (d *Daemon) addClaimPartition(ctx context.Context, partition int) error {
	return d.updateClaim(ctx, func(partitions []int32) []int32 {
		if slices.Contains(partitions, int32(partition)) {
			// Append the claim again anyway: an earlier append without the partition may still be in flight. Both are
			// conditional on the same offset, so the store accepts only one of them.
			return partitions
		}
		return append(slices.Clone(partitions), int32(partition))
	})
}

// setClaimPartition makes one partition the only one in this daemon's claim.
func (d *Daemon) setClaimPartition(ctx context.Context, partition int) error {
	return d.updateClaim(ctx, func([]int32) []int32 { return []int32{int32(partition)} })
}

// updateClaim stores this daemon's claim with the partitions that change returns. It fails if another daemon has claimed
// the pool.
func (d *Daemon) updateClaim(ctx context.Context, change func(partitions []int32) []int32) error {
	next, _ := d.cell.Next()
	d.mu.Lock()
	newest, partitions := d.watch.Newest(), change(d.partitions)
	d.mu.Unlock()
	if newest.Holder != d.self {
		return citron.ErrFenced
	}
	err := d.appendClaim(ctx, newest.Epoch, partitions, next)
	if err != nil && !errors.Is(err, citron.ErrConflict) && !errors.Is(err, citron.ErrUnavailable) {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	if err := d.cell.WaitFor(bounded, next+1); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watch.Newest() != newest || !slices.Equal(d.partitions, partitions) {
		return citron.ErrConflict
	}
	return nil
}

// readBackTimeout bounds the wait after an append until the record at its offset, which may be another daemon's, is
// read.
const readBackTimeout = 800 * time.Millisecond

// handOver asks a live daemon to claim the pool and waits until its claim is read.
func (d *Daemon) handOver(ctx context.Context) {
	newest := d.newestClaim()
	if newest.Holder != d.self {
		return
	}
	for _, vm := range d.peers.Live() {
		if err := d.peers.TakeOver(ctx, vm, newest.Epoch); err != nil {
			d.Log.Emit(event.HandOverFailed, event.Fields{"VM": vm, "Error": err})
			continue
		}
		for d.newestClaim().Holder == d.self && ctx.Err() == nil {
			timer.Pause(ctx, d.Timer, claimCheckInterval)
		}
		return
	}
}

// advise sends a policy request through the daemon that the pool has chosen.
func (d *Daemon) advise(ctx context.Context, a pool.AdviceRequest) ([]citron.Permit, time.Duration, error) {
	timeout := adviseSlack + a.Cost
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.VM == d.self.VM {
		return d.Adviser.Advise(bounded, a.Step, a.Workers)
	}
	return d.peers.Advise(bounded, a.VM, a.Step, a.Workers, timeout)
}

// adviseSlack is added to the cost of a policy request to get its timeout; it covers the requests queued before it.
const adviseSlack = 1600 * time.Millisecond
