package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/claim"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/work"
)

// Guards against a pool that nobody takes over for a time that grows with the number of daemons that were ever lost.
func TestRecordsOfLostDaemonsDoNotDelayAClaim(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	d := &Daemon{Timer: clock, self: citron.Member{VM: "self", Incarnation: 1}}
	d.peers.Self, d.peers.Timer, d.peers.MilliCores = d.self, clock, 200
	holder := citron.Member{VM: "holder", Incarnation: 1}
	d.peers.SetPresence(holder.VM, &work.Presence{Incarnation: 1, MilliCores: 400}, true)
	for n := range 252 {
		d.peers.SetPresence(citron.VMName(fmt.Sprintf("lost%03d", n)), &work.Presence{Incarnation: 1, MilliCores: 400}, true)
	}
	d.watch.RecordClaim(clock.Now().Boot, claim.Claim{Holder: holder, Epoch: 1})
	clock.Advance(time.Minute)
	var watch claim.Watch
	watch.RecordClaim(clock.Now().Boot, claim.Claim{Holder: holder, Epoch: 1})
	lostAt := clock.Now().Boot
	for claimed := false; !claimed; clock.Advance(claimCheckInterval) {
		_, claimed = watch.ShouldClaim(clock.Now().Boot, d.self, d.claimRank(), true, claim.PingResult{})
	}
	if took := clock.Now().Boot - lostAt; took > 3*time.Second {
		t.Errorf("the pool is claimed %v after the loss of its holder, want 3 s at most", took)
	}
}
