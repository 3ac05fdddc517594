package entry

import (
	"context"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/claim"
)

const (
	// pingEvery is how often the holder is pinged by the others, and they by the holder.
	pingEvery = 130 * time.Millisecond
	// weakPings is how much more rarely a daemon pings that does not watch the holder closely.
	weakPings = 3
	// reclaimAfter is when a daemon that gave up a pool claims it again if nobody else has.
	reclaimAfter = 4 * time.Second
)

// This file watches the pool's holder and says when it is lost.

// maybeClaim claims the pool where its holder is lost.
func (d *Daemon) maybeClaim() {
	if d.stopping.Load() {
		return
	}
	now := d.Timer.Now().Boot
	newest := d.newest()
	ping := d.peers.LastPing(newest.Holder.VM)
	rank := d.peers.Rank()
	well := !d.cell.Failing()
	d.mu.Lock()
	reason, ok := d.watch.ShouldClaim(now, d.self, rank, well, ping)
	if d.takeOver && newest.Holder != d.self {
		reason, ok = "the holder is about to stop", true
	}
	if newest.Holder == d.self && d.holding == nil && d.resigned == newest.Epoch && now-d.resignedAt > reclaimAfter {
		reason, ok = "nobody has claimed the pool that this daemon gave up", true
	}
	d.mu.Unlock()
	switch {
	case !ok:
	case reason == claim.ReasonStoreUnavailable && !d.storeIsQuick():
	case reason == claim.ReasonUnresponsive && !d.silent(newest.Holder, ping, rank):
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
func (d *Daemon) silent(holder citron.Member, p claim.PingResult, rank int) bool {
	timeout := askWatcher
	if rank >= claim.PreferredClaimants {
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
			a.age, a.heard, a.err = d.peers.QueryAnswerAge(bounded, vm, holder.VM)
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
		if a.heard && a.age < claim.PeerAnswerValidity {
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

// quickStore is how soon the store has to answer for this daemon to take over from one that it turns away.
const quickStore = 120 * time.Millisecond

// storeBackFor is how long the store has to answer this daemon before another one counts as turned away: when it comes
// back, the holder reaches it a moment sooner or later than the others.
const storeBackFor = 600 * time.Millisecond

// storeIsQuick asks the store for the end of the cell's records.
func (d *Daemon) storeIsQuick() bool {
	next, loaded := d.cell.Next()
	if !loaded || d.cell.HealthyFor() < storeBackFor {
		return false
	}
	bounded, cancel := context.WithTimeout(d.run, quickStore)
	defer cancel()
	_, err := d.Store.Read(bounded, cellPartition, next, 0)
	return err == nil
}

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
				if turn%weakPings != 0 && d.peers.Rank() >= claim.PreferredClaimants {
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
			d.desk.SetDaemons(append(d.peers.Live(), d.self.VM))
		}
	}()
	return ended
}
