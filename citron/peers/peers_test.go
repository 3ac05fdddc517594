package peers

import (
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

func TestNewestPresenceCountsWithTheClockSetBack(t *testing.T) {
	p := &Peers{Self: citron.Member{VM: "a"}}
	p.Know("b", &work.Presence{Incarnation: 9, PeerAddress: "10.0.0.1:1"})
	p.Know("b", &work.Presence{Incarnation: 4, PeerAddress: "10.0.0.2:1"})
	if got := p.known["b"].presence.GetPeerAddress(); got != "10.0.0.2:1" {
		t.Errorf("daemon is looked for at %s", got)
	}
}
