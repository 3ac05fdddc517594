package peers

import (
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/work"
)

func TestRankIsThePositionAmongAllDaemons(t *testing.T) {
	p := &Peers{Self: citron.Member{VM: "a"}, MilliCores: 400}
	for vm, cores := range map[citron.VMName]int64{"large": 800, "small": 100, "equal1": 400, "equal2": 400, "equal3": 400} {
		p.SetPresence(vm, &work.Presence{Incarnation: 1, MilliCores: cores}, false)
	}
	all := p.Present()
	if all[0] != "large" || all[len(all)-1] != "small" {
		t.Errorf("Present() = %v, want large first and small last", all)
	}
	if got, _ := p.Rank(); got != slices.Index(all, "a") {
		t.Errorf("Rank() = %d, want the position in %v", got, all)
	}
}

// A daemon that restarts after its clock was set back has a lower incarnation; its new address must still be used.
func TestNewestPresenceAppliesAfterClockSetBack(t *testing.T) {
	p := &Peers{Self: citron.Member{VM: "a"}}
	p.SetPresence("b", &work.Presence{Incarnation: 9, PeerAddress: "10.0.0.1:1"}, true)
	p.SetPresence("b", &work.Presence{Incarnation: 4, PeerAddress: "10.0.0.2:1"}, false)
	if got := p.known["b"].presence.GetPeerAddress(); got != "10.0.0.2:1" {
		t.Errorf("peer address is %s, want that of the newest record, 10.0.0.2:1", got)
	}
}

// newPeers returns peers that know daemon b at an address.
func newPeers(address string) *Peers {
	p := &Peers{Self: citron.Member{VM: "a", Incarnation: 1}, Timer: timer.System{}}
	p.SetPresence("b", &work.Presence{Incarnation: 2, PeerAddress: address}, false)
	return p
}

// Only a refused connection shows that no process listens. A connection that is lost or cannot be opened in time may be due
// to a full link, and the daemon behind it may be alive.
func TestOnlyARefusedConnectionCountsAsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				ended <- nil
				return
			}
			_ = conn.Close()
		}
	}()
	p := newPeers(listener.Addr().String())
	for range 3 {
		p.Ping(t.Context(), "b", false)
	}
	if p.LastPing("b").RefusedSince != 0 {
		t.Error("a lost connection counts as refused")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	<-ended
	p = newPeers(listener.Addr().String())
	for p.LastPing("b").RefusedSince == 0 {
		p.Ping(t.Context(), "b", false)
	}
}

func TestDaemonThatPingsIsLiveUnlessItStops(t *testing.T) {
	p := newPeers("127.0.0.1:1")
	b := citron.Member{VM: "b", Incarnation: 2}
	if p.IsLive("b") || len(p.Unheard(time.Second)) != 1 {
		t.Error("a daemon counts as live before it has answered or sent a ping")
	}
	p.RecordHeard(citron.Member{VM: "b", Incarnation: 1}, false)
	if p.IsLive("b") {
		t.Error("a ping of a former process counts as one of the present process")
	}
	p.RecordHeard(b, false)
	if !p.IsLive("b") || len(p.Live()) != 1 || len(p.Unheard(time.Second)) != 0 {
		t.Error("a daemon that has sent a ping does not count as live")
	}
	p.RecordHeard(b, true)
	if p.IsLive("b") {
		t.Error("a daemon that is about to stop counts as live")
	}
}

// Guards against an append that counts as perhaps stored although the daemon that was to relay it is gone.
func TestAppendThroughADaemonThatIsGoneIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	p := newPeers(listener.Addr().String())
	for _, vm := range []citron.VMName{"b", "unknown"} {
		if err := p.Append(t.Context(), vm, []citron.KeyedRecord{{Key: "k"}}); !errors.Is(err, citron.ErrRejected) {
			t.Errorf("append through %s: error %v, want citron.ErrRejected", vm, err)
		}
	}
}
