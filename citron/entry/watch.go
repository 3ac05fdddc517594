package entry

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/claim"
	"github.com/citroncross/citroncross/citron/event"
)

const (
	// pingInterval is the period at which the other daemons ping the holder.
	pingInterval = 130 * time.Millisecond
	// lowRankPingRatio is the number of ping intervals per ping of the holder by a daemon whose rank among all known
	// daemons is claim.PreferredClaimants or higher.
	lowRankPingRatio = 3
	// unheardAfter is the time without a ping from another daemon after which the holder pings that daemon.
	unheardAfter = 600 * time.Millisecond
	// reclaimAfter is the time after which a daemon that stopped running the pool claims it again if no other daemon has.
	reclaimAfter = 4 * time.Second
)

// checkHolder claims the pool if its holder is lost or about to stop, or if nobody has claimed it since this daemon
// stopped running it.
func (d *Daemon) checkHolder() {
	if d.stopping.Load() {
		return
	}
	now := d.Timer.Now().Boot
	newest := d.newestClaim()
	ping := d.peers.LastPing(newest.Holder.VM)
	rank := d.claimRank()
	storeOK := !d.cell.Failing()
	loaded := d.stateLoaded()
	d.mu.Lock()
	reason, ok := d.watch.ShouldClaim(now, d.self, rank, storeOK, ping)
	if d.takeOver && loaded && newest.Holder != d.self {
		reason, ok = "the holder is about to stop", true
	}
	if newest.Holder == d.self && d.holding == nil && d.releasedEpoch == newest.Epoch && now-d.releasedAt > reclaimAfter {
		reason, ok = "nobody has claimed the pool that this daemon gave up", true
	}
	d.mu.Unlock()
	switch {
	case !ok:
	case reason == claim.ReasonStoreUnavailable && !d.storeResponsive():
	case reason == claim.ReasonUnresponsive && !d.confirmUnresponsive(newest.Holder, ping, rank):
	default:
		d.claimPool(newest, reason)
	}
}

// claimRank returns how many daemons claim the pool of a lost holder before this one. Before a holder has told which daemons there are,
// records of lost ones count, so that the rank is bounded. They cannot be there if nobody has held the pool yet.
func (d *Daemon) claimRank() int {
	rank, listed := d.peers.Rank()
	if !listed && !d.newestClaim().Holder.IsZero() {
		return min(rank, claim.PreferredClaimants)
	}
	return rank
}

// heldEpoch returns the epoch in which this daemon is the newest holder; 0 if it is not.
func (d *Daemon) heldEpoch() citron.Epoch {
	newest := d.newestClaim()
	if newest.Holder != d.self {
		return 0
	}
	return newest.Epoch
}

// removeLost removes the presence records of daemons that have not been heard of for long.
func (d *Daemon) removeLost(ctx context.Context, vms []citron.VMName) {
	err := d.removePresence(ctx, vms)
	d.Log.Emit(event.LostDaemonsRemoved, event.Fields{"VMs": len(vms), "First": vms[0], "Error": err})
}

const (
	// indirectProbes is the number of daemons that are asked whether a holder answers them; those with the most
	// processor time come first.
	indirectProbes = 4
	// preferredProbeTimeout bounds these probes by one of the claim.PreferredClaimants, lowRankProbeTimeout those by
	// another daemon, which may be busier and has less bandwidth.
	preferredProbeTimeout = 150 * time.Millisecond
	lowRankProbeTimeout   = time.Second
)

// confirmUnresponsive asks other daemons whether a holder that does not answer this daemon has answered them recently,
// and reports whether the holder counts as lost.
func (d *Daemon) confirmUnresponsive(holder citron.Member, p claim.PingResult, rank int) bool {
	timeout := preferredProbeTimeout
	if rank >= claim.PreferredClaimants {
		timeout = lowRankProbeTimeout
	}
	bounded, cancel := context.WithTimeout(d.run, timeout)
	defer cancel()
	type answer struct {
		age      time.Duration
		answered bool
		err      error
	}
	answers := make(chan answer, indirectProbes)
	asked := 0
	for _, vm := range d.peers.Present() {
		if vm == d.self.VM || vm == holder.VM || asked == indirectProbes {
			continue
		}
		asked++
		d.exchanges.Go(func(context.Context) {
			var a answer
			a.age, a.answered, a.err = d.peers.QueryAnswerAge(bounded, vm, holder.VM)
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
		if a.answered && a.age < claim.PeerAnswerValidity {
			d.mu.Lock()
			d.watch.RecordPeerAnswer(holder, d.Timer.Now().Boot-a.age)
			d.mu.Unlock()
			return false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watch.ConfirmUnresponsive(d.Timer.Now().Boot, p, asked, answered)
}

// storeProbeTimeout is the time in which the store must answer this daemon before it replaces a holder that cannot store
// records.
const storeProbeTimeout = 120 * time.Millisecond

// storeStableAfter is how long the store must have answered this daemon before it replaces a holder that cannot store
// records: when the store recovers, the holder reaches it slightly earlier or later than the other daemons do.
const storeStableAfter = 600 * time.Millisecond

// storeResponsive reports whether the store has answered for storeStableAfter and answers a read within
// storeProbeTimeout.
func (d *Daemon) storeResponsive() bool {
	next, loaded := d.cell.Next()
	if !loaded || d.cell.HealthyFor() < storeStableAfter {
		return false
	}
	bounded, cancel := context.WithTimeout(d.run, storeProbeTimeout)
	defer cancel()
	_, err := d.Store.Read(bounded, cellPartition, next, 0)
	return err == nil
}

// runPings tracks the liveness of the holder or, on the holder, that of all daemons that do not ping it.
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
			d.announceAgain()
			newest := d.newestClaim().Holder
			if newest != d.self {
				d.peers.Hold(0, unheardAfter)
				if turn%lowRankPingRatio != 0 && d.claimRank() >= claim.PreferredClaimants {
					continue
				}
				if newest.VM != "" && newest.VM != d.self.VM {
					d.exchanges.Go(func(ctx context.Context) { d.peers.Ping(ctx, newest.VM, d.stopping.Load()) })
				}
				continue
			}
			ping, remove := d.peers.Hold(d.heldEpoch(), unheardAfter)
			for _, vm := range ping {
				d.exchanges.Go(func(ctx context.Context) { d.peers.Ping(ctx, vm, d.stopping.Load()) })
			}
			if len(remove) > 0 {
				d.exchanges.Go(func(ctx context.Context) { d.removeLost(ctx, remove) })
			}
			d.balancer.SetDaemons(append(d.peers.Live(), d.self.VM))
			d.publishShares()
			d.logUse()
		}
	}()
	return ended
}
