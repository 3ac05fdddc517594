package entry

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/claim"
)

const (
	// pingInterval is how often the holder is pinged by the others, and they by the holder.
	pingInterval = 130 * time.Millisecond
	// nonWatcherPingRatio is how much more rarely a daemon pings that does not watch the holder closely.
	nonWatcherPingRatio = 3
	// reclaimAfter is when a daemon that gave up a pool claims it again if nobody else has.
	reclaimAfter = 4 * time.Second
)

// This file watches the pool's holder and says when it is lost.

// checkHolder claims the pool where its holder is lost.
func (d *Daemon) checkHolder() {
	if d.stopping.Load() {
		return
	}
	now := d.Timer.Now().Boot
	newest := d.newestClaim()
	ping := d.peers.LastPing(newest.Holder.VM)
	rank := d.peers.Rank()
	well := !d.cell.Failing()
	d.mu.Lock()
	reason, ok := d.watch.Should(now, d.self, rank, well, ping)
	if d.takeOver && newest.Holder != d.self {
		reason, ok = "the holder is about to stop", true
	}
	if newest.Holder == d.self && d.holding == nil && d.releasedEpoch == newest.Epoch && now-d.releasedAt > reclaimAfter {
		reason, ok = "nobody has claimed the pool that this daemon gave up", true
	}
	d.mu.Unlock()
	switch {
	case !ok:
	case reason == claim.ReasonStoreLost && !d.storeResponsive():
	case reason == claim.ReasonSilent && !d.confirmUnresponsive(newest.Holder, ping, rank):
	default:
		d.claimPool(newest, reason)
	}
}

const (
	// indirectProbes is the number of daemons that are asked whether a holder answers them, of the strongest ones.
	indirectProbes = 4
	// watcherProbeTimeout and askWeak bound these questions, put by a daemon that watches the holder closely and by another one,
	// which may be busier and has less bandwidth.
	watcherProbeTimeout    = 150 * time.Millisecond
	nonWatcherProbeTimeout = time.Second
)

// confirmUnresponsive asks other daemons whether a holder that is silent here has answered them lately, and reports whether it is
// silent for all.
func (d *Daemon) confirmUnresponsive(holder citron.Member, p claim.Ping, rank int) bool {
	timeout := watcherProbeTimeout
	if rank >= claim.Watchers {
		timeout = nonWatcherProbeTimeout
	}
	bounded, cancel := context.WithTimeout(d.run, timeout)
	defer cancel()
	type answer struct {
		age   time.Duration
		heard bool
		err   error
	}
	answers := make(chan answer, indirectProbes)
	asked := 0
	for _, vm := range d.peers.All() {
		if vm == d.self.VM || vm == holder.VM || asked == indirectProbes {
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

// storeProbeTimeout is how soon the store has to answer for this daemon to take over from one that it turns away.
const storeProbeTimeout = 120 * time.Millisecond

// storeStableAfter is how long the store has to answer this daemon before another one counts as turned away: when it comes
// back, the holder reaches it a moment sooner or later than the others.
const storeStableAfter = 600 * time.Millisecond

// storeResponsive asks the store for the end of the cell's records.
func (d *Daemon) storeResponsive() bool {
	next, loaded := d.cell.Next()
	if !loaded || d.cell.WellFor() < storeStableAfter {
		return false
	}
	bounded, cancel := context.WithTimeout(d.run, storeProbeTimeout)
	defer cancel()
	_, err := d.Store.Read(bounded, cellPartition, next, 0)
	return err == nil
}

// runPings keeps the liveness of the holder, and at the holder that of all daemons.
func (d *Daemon) runPings() <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := d.Timer.Every(pingInterval)
		defer stop()
		for turn := 0; ; turn++ {
			select {
			case <-d.run.Done():
				ended <- nil
				return
			case <-tick:
			}
			newest := d.newestClaim().Holder
			if newest != d.self {
				if turn%nonWatcherPingRatio != 0 && d.peers.Rank() >= claim.Watchers {
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
			d.balancer.SetDaemons(append(d.peers.Live(), d.self.VM))
		}
	}()
	return ended
}
