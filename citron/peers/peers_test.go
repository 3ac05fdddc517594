package peers

import (
	"slices"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

func TestRankIsThePlaceAmongAllDaemons(t *testing.T) {
	p := &Peers{Self: citron.Member{VM: "a"}, MilliCores: 400}
	for vm, cores := range map[citron.VMName]int64{"strong": 800, "weak": 100, "equal1": 400, "equal2": 400, "equal3": 400} {
		p.SetPresence(vm, &work.Presence{Incarnation: 1, MilliCores: cores})
	}
	all := p.All()
	if all[0] != "strong" || all[len(all)-1] != "weak" {
		t.Errorf("order %v", all)
	}
	if got, want := p.Rank(), slices.Index(all, "a"); got != want {
		t.Errorf("rank %d, want %d in %v", got, want, all)
	}
}

func TestNewestPresenceCountsWithTheClockSetBack(t *testing.T) {
	p := &Peers{Self: citron.Member{VM: "a"}}
	p.SetPresence("b", &work.Presence{Incarnation: 9, PeerAddress: "10.0.0.1:1"})
	p.SetPresence("b", &work.Presence{Incarnation: 4, PeerAddress: "10.0.0.2:1"})
	if got := p.known["b"].presence.GetPeerAddress(); got != "10.0.0.2:1" {
		t.Errorf("daemon is looked for at %s", got)
	}
}
