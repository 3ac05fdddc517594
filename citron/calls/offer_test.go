package calls

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/citron/timer"
)

// ownsAll owns every shard.
type ownsAll struct{ Ownership }

func (ownsAll) MayAct(citron.ShardID) bool { return true }

// A retried call must not run on an offered slot whose endpoint has failed it; the slot is freed for other calls.
func TestOfferedSlotOnAvoidedEndpointIsNotUsed(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	table := &slots.Table{}
	table.SetEndpoints([]slots.Spec{
		{Name: "a", Service: "s", Shard: "c0", Slots: 1, Connections: 1},
		{Name: "b", Service: "s", Shard: "c0", Slots: 1, Connections: 1},
	})
	table.Adopt("c0", 0, 0)
	table.ApplyRemaining("c0", nil)
	s := &Service{Timer: clock, Slots: table, Owner: ownsAll{}}
	now := clock.Now().Boot
	offered, ok := table.Acquire("s", now, []citron.Endpoint{"b"}, s.Owner.MayAct)
	if !ok {
		t.Fatal("Acquire found no slot to offer")
	}
	s.offers.add("o", offered, now+offerValidity)
	slot, ok := s.slotFor("s", "o", []citron.Endpoint{"a"})
	if !ok || slot.Endpoint != "b" {
		t.Errorf("slotFor returned %v, %t; want a slot on endpoint b, which has not failed the call", slot, ok)
	}
	if again, ok := table.Acquire("s", now, nil, s.Owner.MayAct); !ok || again.Endpoint != "a" {
		t.Error("the offered slot on endpoint a was not freed")
	}
}
