package peers

import (
	"slices"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

func TestRankIsThePositionAmongAllDaemons(t *testing.T) {
	p := &Peers{Self: citron.Member{VM: "a"}, MilliCores: 400}
	for vm, cores := range map[citron.VMName]int64{"large": 800, "small": 100, "equal1": 400, "equal2": 400, "equal3": 400} {
		p.SetPresence(vm, &work.Presence{Incarnation: 1, MilliCores: cores})
	}
	all := p.All()
	if all[0] != "large" || all[len(all)-1] != "small" {
		t.Errorf("All() = %v, want large first and small last", all)
	}
	if got, want := p.Rank(), slices.Index(all, "a"); got != want {
		t.Errorf("Rank() = %d, want %d, the position in %v", got, want, all)
	}
}

// A daemon that restarts after its clock was set back has a lower incarnation; its new address must still be used.
func TestNewestPresenceAppliesAfterClockSetBack(t *testing.T) {
	p := &Peers{Self: citron.Member{VM: "a"}}
	p.SetPresence("b", &work.Presence{Incarnation: 9, PeerAddress: "10.0.0.1:1"})
	p.SetPresence("b", &work.Presence{Incarnation: 4, PeerAddress: "10.0.0.2:1"})
	if got := p.known["b"].presence.GetPeerAddress(); got != "10.0.0.2:1" {
		t.Errorf("peer address is %s, want that of the newest record, 10.0.0.2:1", got)
	}
}
