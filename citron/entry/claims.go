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

const (
	// claimEvery is how often a daemon looks whether the holder is well.
	claimEvery = 40 * time.Millisecond
	// pingEvery is how often the holder is pinged by the others, and they by the holder.
	pingEvery = 130 * time.Millisecond
	// weakPings is how much more rarely a daemon pings that does not watch the holder closely.
	weakPings = 3
	// reclaimAfter is when a daemon that gave up a pool claims it again if nobody else has.
	reclaimAfter = 4 * time.Second
)

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
	current := d.cell.Current()
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
		Store:     d.Store,
		Producer:  producer,
		Workers:   d.Workers,
		Timer:     d.Timer,
		View:      &d.view,
		Progress:  d.progress,
		Jobs:      d.jobs,
		Extend:    d.extend,
		Narrow:    d.narrow,
		Confirmed: func() time.Duration { return d.confirmed(epoch) },
		Published: d.publish,
		Pool:      p,
		Advise:    d.advise,
		Observed:  d.exchangeFailed,
	}}
	d.mu.Lock()
	d.holding = h
	for _, n := range d.partitions {
		if int(n) < len(d.progress) {
			h.holder.Partitions = append(h.holder.Partitions, int(n))
		}
	}
	d.mu.Unlock()
	d.Log.Emit(event.PoolClaimed, event.Fields{"Epoch": epoch})
	d.desk.Daemons(append(d.peers.Live(), d.self.VM))
	go func() {
		ended <- h.holder.Run(ctx, func() {
			h.ready.Store(true)
			d.mu.Lock()
			entries := d.entries
			d.mu.Unlock()
			h.holder.Listed(entries)
			d.calls.Go(func(context.Context) { d.runWaves(ctx, epoch, p) })
			d.Log.Emit(event.PoolRuns, event.Fields{"Epoch": epoch, "Workers": len(entries)})
		})
		d.hurryClaims()
	}()
}

// maybeClaim claims the pool where its holder is lost.
func (d *Daemon) maybeClaim() {
	if d.stopping.Load() {
		return
	}
	now := d.Timer.Now().Boot
	newest := d.newest()
	ping := d.peers.LastPing(newest.Holder.VM)
	rank := slices.Index(d.peers.All(), d.self.VM)
	well := !d.cell.Failing()
	d.mu.Lock()
	reason, ok := d.watch.Should(now, d.self, rank, well, ping)
	if d.takeOver && newest.Holder != d.self {
		reason, ok = "the holder is about to stop", true
	}
	if newest.Holder == d.self && d.holding == nil && d.resigned == newest.Epoch && now-d.resignedAt > reclaimAfter {
		reason, ok = "nobody has claimed the pool that this daemon gave up", true
	}
	d.mu.Unlock()
	switch {
	case !ok:
	case reason == claim.ReasonStoreLost && !d.storeIsQuick():
	case reason == claim.ReasonSilent && !d.silent(newest.Holder, ping, rank):
	default:
		d.claim(newest, reason)
	}
}

const (
	// witnesses is the number of daemons that are asked whether a holder answers them, of the strongest ones.
	witnesses = 4
	// askWatcher and askWeak bound these questions, put by a daemon that watches the holder closely and by another one,
	// which may be busier and has less bandwidth.
	askWatcher = 150 * time.Millisecond
	askWeak    = time.Second
)

// silent asks other daemons whether a holder that is silent here has answered them lately, and reports whether it is
// silent for all.
func (d *Daemon) silent(holder citron.Member, p claim.Ping, rank int) bool {
	timeout := askWatcher
	if rank >= claim.Watchers {
		timeout = askWeak
	}
	bounded, cancel := context.WithTimeout(d.run, timeout)
	defer cancel()
	type answer struct {
		age   time.Duration
		heard bool
		err   error
	}
	answers := make(chan answer, witnesses)
	asked := 0
	for _, vm := range d.peers.All() {
		if vm == d.self.VM || vm == holder.VM || asked == witnesses {
			continue
		}
		asked++
		d.calls.Go(func(context.Context) {
			var a answer
			a.age, a.heard, a.err = d.peers.Heard(bounded, vm, holder.VM)
			answers <- a
		})
	}
	answered := 0
	for range asked {
		a := <-answers
		if a.err != nil {
			continue
		}
		answered++
		if a.heard && a.age < claim.VouchedFor {
			d.mu.Lock()
			d.watch.Vouched(holder, d.Timer.Now().Boot-a.age)
			d.mu.Unlock()
			return false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watch.Confirmed(d.Timer.Now().Boot, p, asked, answered)
}

// quickStore is how soon the store has to answer for this daemon to take over from one that it turns away.
const quickStore = 120 * time.Millisecond

// storeBackFor is how long the store has to answer this daemon before another one counts as turned away: when it comes
// back, the holder reaches it a moment sooner or later than the others.
const storeBackFor = 600 * time.Millisecond

// storeIsQuick asks the store for the end of the cell's records.
func (d *Daemon) storeIsQuick() bool {
	next, loaded := d.cell.Next()
	if !loaded || d.cell.WellFor() < storeBackFor {
		return false
	}
	bounded, cancel := context.WithTimeout(d.run, quickStore)
	defer cancel()
	_, err := d.Store.Read(bounded, cellPartition, next, 0)
	return err == nil
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
	if err := d.cell.Reach(bounded, next+1); err != nil {
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
	return d.appendCell(ctx, citron.Keyed{Key: claimKey, Value: value}, citron.Condition{At: &at})
}

// extend names one more partition in this daemon's claim. It fails where another daemon has claimed the pool.
func (d *Daemon) extend(ctx context.Context, partition int) error {
	next, _ := d.cell.Next()
	d.mu.Lock()
	newest, partitions := d.watch.Newest(), d.partitions
	d.mu.Unlock()
	if newest.Holder != d.self {
		return citron.ErrFenced
	}
	partitions = slices.Clone(partitions)
	if !slices.Contains(partitions, int32(partition)) {
		partitions = append(partitions, int32(partition))
	}
	// The claim is stored anew even if it names the partition already: an earlier claim without it may be on its way to
	// the store, which takes one of the two.
	return d.restate(ctx, newest, partitions, next)
}

// narrow leaves one partition in this daemon's claim. It fails where another daemon has claimed the pool.
func (d *Daemon) narrow(ctx context.Context, partition int) error {
	next, _ := d.cell.Next()
	newest := d.newest()
	if newest.Holder != d.self {
		return citron.ErrFenced
	}
	return d.restate(ctx, newest, []int32{int32(partition)}, next)
}

// restate stores this daemon's claim with other partitions, if the cell's records end at an offset.
func (d *Daemon) restate(ctx context.Context, newest claim.Claim, partitions []int32, at citron.Offset) error {
	err := d.appendClaim(ctx, newest.Epoch, partitions, at)
	if err != nil && !errors.Is(err, citron.ErrConflict) && !errors.Is(err, citron.ErrUnavailable) {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, claimSettle)
	defer cancel()
	if err := d.cell.Reach(bounded, at+1); err != nil {
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

// runPings keeps the liveness of the holder, and at the holder that of all daemons.
func (d *Daemon) runPings() <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := d.Timer.Every(pingEvery)
		defer stop()
		for turn := 0; ; turn++ {
			select {
			case <-d.run.Done():
				ended <- nil
				return
			case <-tick:
			}
			newest := d.newest().Holder
			if newest != d.self {
				if turn%weakPings != 0 && slices.Index(d.peers.All(), d.self.VM) >= claim.Watchers {
					continue
				}
				if newest.VM != "" && newest.VM != d.self.VM {
					d.calls.Go(func(ctx context.Context) { d.peers.Ping(ctx, newest.VM) })
				}
				continue
			}
			for _, vm := range d.peers.All() {
				if vm != d.self.VM {
					d.calls.Go(func(ctx context.Context) { d.peers.Ping(ctx, vm) })
				}
			}
			d.desk.Daemons(append(d.peers.Live(), d.self.VM))
		}
	}()
	return ended
}

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
func (d *Daemon) advise(ctx context.Context, a pool.Ask) ([]citron.Permit, time.Duration, error) {
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
