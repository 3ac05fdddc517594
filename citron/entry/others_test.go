package entry

import (
	"context"
	"slices"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/claim"
	"github.com/citroncross/citroncross/schema/work"
)

// Guards against questions that only reach daemons that are down.
func TestOthersAreAskedUntilOneKnows(t *testing.T) {
	d := &Daemon{self: citron.Member{VM: "a"}}
	d.peers.Self = d.self
	for _, vm := range []citron.VMName{"b", "c", "d", "e", "f", "g", "h"} {
		d.peers.SetPresence(vm, &work.Presence{VM: string(vm), Incarnation: 1}, false)
	}
	d.watch.RecordClaim(0, claim.Claim{Holder: citron.Member{VM: "e"}, Epoch: 1})
	for answering := 1; answering <= maxAsked+1; answering++ {
		var asked []citron.VMName
		known := d.askOthers(context.Background(), func(_ context.Context, vm citron.VMName) error {
			if asked = append(asked, vm); len(asked) == answering {
				return nil
			}
			return citron.ErrUnavailable
		})
		if want := min(answering, maxAsked); len(asked) != want || asked[0] != "e" || slices.Contains(asked, "a") || known != (answering <= maxAsked) {
			t.Errorf("asked %v with result %t, want %d other daemons, the holder first, and %t", asked, known, want, answering <= maxAsked)
		}
	}
}
