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
	"github.com/citroncross/citroncross/citron/holder"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/work"
)

// claimEvery is how often a daemon looks whether the holder is well.
const claimEvery = 40 * time.Millisecond

func (d *Daemon) hurryClaims() {
	select {
	case d.hurry <- struct{}{}:
	default:
	}
}

// runClaims keeps this daemon's part in line with the newest claim, and claims the pool where its holder is lost.
func (d *Daemon) runClaims() <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := d.Timer.Every(claimEvery)
		defer stop()
		for {
			select {
			case <-d.run.Done():
				d.drop()
				ended <- nil
				return
			case <-tick:
			case <-d.hurry:
			}
			d.follow()
			d.maybeClaim()
		}
	}()
	return ended
}

// follow starts or ends the holding of the pool as the newest claim says.
func (d *Daemon) follow() {
	newest := d.newest()
	d.mu.Lock()
	h := d.holding
	d.mu.Unlock()
	if h != nil {
		select {
		case err := <-h.ended:
			d.over(h, err)
			h = nil
		default:
		}
	}
	if h != nil && h.epoch != newest.Epoch {
		d.drop()
		h = nil
	}
	if h == nil && newest.Holder == d.self && newest.Epoch > d.resigned {
		d.hold(newest.Epoch)
	}
}

// confirmed returns the last instant at which the claim of an epoch was the newest; zero if it no longer is.
func (d *Daemon) confirmed(epoch citron.Epoch) time.Duration {
	current := d.cell.CurrentAsOf()
	if d.newest().Epoch != epoch {
		return 0
	}
	return current
}

// drop ends the holding and waits for its last order.
func (d *Daemon) drop() {
	d.mu.Lock()
	h := d.holding
	d.mu.Unlock()
	if h == nil {
		return
	}
	h.cancel()
	d.over(h, <-h.ended)
}

func (d *Daemon) over(h *holding, err error) {
	d.mu.Lock()
	d.holding = nil
	d.resigned, d.resignedAt = h.epoch, d.Timer.Now().Boot
	d.mu.Unlock()
	h.cancel()
	d.Log.Emit(event.PoolLost, event.Fields{"Epoch": h.epoch, "Error": err})
}

// hold begins to run the pool.
func (d *Daemon) hold(epoch citron.Epoch) {
	ctx, cancel := context.WithCancel(d.run)
	p := pool.New(d.Settings.Pool, epoch, &d.desk)
	p.Observe = d.decided
	ended := make(chan error, 1)
	h := &holding{epoch: epoch, cancel: cancel, ended: ended, holder: &holder.Holder{
		Store:          d.Store,
		Producer:       producer,
		Workers:        d.Workers,
		Timer:          d.Timer,
		View:           &d.view,
		ProgressTails:  d.progress,
		JobTails:       d.jobs,
		ExtendClaim:    d.extend,
		NarrowClaim:    d.narrow,
		LastConfirmed:  func() time.Duration { return d.confirmed(epoch) },
		Published:      d.publish,
		Pool:           p,
		Advise:         d.advise,
		ExchangeFailed: d.exchangeFailed,
	}}
	d.mu.Lock()
	d.holding = h
	for _, n := range d.partitions {
		if int(n) < len(d.progress) {
			h.holder.ClaimedPartitions = append(h.holder.ClaimedPartitions, int(n))
		}
	}
	d.mu.Unlock()
	d.Log.Emit(event.PoolClaimed, event.Fields{"Epoch": epoch})
	d.desk.SetDaemons(append(d.peers.Live(), d.self.VM))
	go func() {
		ended <- h.holder.Run(ctx, func() {
			h.ready.Store(true)
			d.mu.Lock()
			entries := d.entries
			d.mu.Unlock()
			h.holder.UpdateWorkers(entries)
			d.calls.Go(func(context.Context) { d.runWaves(ctx, epoch, p) })
			d.Log.Emit(event.PoolRunning, event.Fields{"Epoch": epoch, "Workers": len(entries)})
		})
		d.hurryClaims()
	}()
}

// claim names this daemon as holder unless the cell's records have changed meanwhile.
func (d *Daemon) claim(newest claim.Claim, reason string) {
	next, loaded := d.cell.Next()
	if !loaded || d.newest() != newest {
		return
	}
	epoch := newest.Epoch + 1
	d.mu.Lock()
	partitions := d.partitions
	d.mu.Unlock()
	if len(partitions) == 0 {
		partitions = []int32{0}
	}
	d.Log.Emit(event.ClaimSent, event.Fields{"Epoch": epoch, "Former": newest.Holder.VM, "Reason": reason})
	if err := d.appendClaim(d.run, epoch, partitions, next); err != nil && !errors.Is(err, citron.ErrConflict) {
		d.Log.Emit(event.LogAppendFailed, event.Fields{"Topic": cellPartition.Topic, "Error": err})
	}
	// Whether it landed, the cell's records will show.
	bounded, cancel := context.WithTimeout(d.run, claimSettle)
	defer cancel()
	if err := d.cell.WaitFor(bounded, next+1); err != nil {
		return
	}
	d.follow()
}

// appendClaim names this daemon as holder if the cell's records end at an offset.
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
	return d.appendCell(ctx, citron.KeyedRecord{Key: claimKey, Value: value}, citron.Condition{ExpectedOffset: &at})
}

// extend names one more partition in this daemon's claim.
func (d *Daemon) extend(ctx context.Context, partition int) error {
	return d.restate(ctx, func(named []int32) []int32 {
		if slices.Contains(named, int32(partition)) {
			// The claim is stored anew all the same: an earlier one without it may be on its way to the store, which takes
			// one of the two.
			return named
		}
		return append(slices.Clone(named), int32(partition))
	})
}

// narrow leaves one partition in this daemon's claim.
func (d *Daemon) narrow(ctx context.Context, partition int) error {
	return d.restate(ctx, func([]int32) []int32 { return []int32{int32(partition)} })
}

// restate stores this daemon's claim with other partitions, made from those that it names. It fails where another daemon
// has claimed the pool.
func (d *Daemon) restate(ctx context.Context, change func(named []int32) []int32) error {
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
	bounded, cancel := context.WithTimeout(ctx, claimSettle)
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

// claimSettle is how long a daemon waits for its claim, or another one, to be read back.
const claimSettle = 800 * time.Millisecond

// handOver asks a live daemon to take the pool, and waits until it has.
func (d *Daemon) handOver(ctx context.Context) {
	newest := d.newest()
	if newest.Holder != d.self {
		return
	}
	for _, vm := range d.peers.Live() {
		if err := d.peers.TakeOver(ctx, vm, newest.Epoch); err != nil {
			d.Log.Emit(event.HandOverFailed, event.Fields{"VM": vm, "Error": err})
			continue
		}
		for d.newest().Holder == d.self && ctx.Err() == nil {
			timer.Pause(ctx, d.Timer, claimEvery)
		}
		return
	}
}

// advise puts a question from the daemon that the pool has chosen.
func (d *Daemon) advise(ctx context.Context, a pool.AdviceRequest) ([]citron.Permit, time.Duration, error) {
	timeout := adviseSlack + a.Cost
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.VM == d.self.VM {
		return d.Adviser.Advise(bounded, a.Step, a.Workers)
	}
	return d.peers.Advise(bounded, a.VM, a.Step, a.Workers, timeout)
}

// adviseSlack is how much longer than its cost a question may take, with the questions before it.
const adviseSlack = 1600 * time.Millisecond
