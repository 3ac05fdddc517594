package calls

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/slots"
	"github.com/citroncross/citroncross/citron/timer"
)

// always owns every shard.
type always struct{ Ownership }

func (always) MayAct(citron.ShardID) bool { return true }

func TestOfferedSlotOfAnEndpointToAvoidIsNotUsed(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	table := &slots.Table{}
	table.SetEndpoints([]slots.Spec{
		{Name: "a", Service: "s", Shard: "c0", Slots: 1, Connections: 1},
		{Name: "b", Service: "s", Shard: "c0", Slots: 1, Connections: 1},
	})
	table.Adopt("c0", 0, 0)
	table.ApplyRemaining("c0", nil)
	s := &Service{Timer: clock, Slots: table, Owner: always{}}
	now := clock.Now().Boot
	offered, ok := table.Acquire("s", now, []citron.Endpoint{"b"}, s.Owner.MayAct)
	if !ok {
		t.Fatal("no slot to offer")
	}
	s.offers.add("o", offered, now+offerLasts)
	grant, ok := s.slotFor("s", "o", []citron.Endpoint{"a"})
	if !ok || grant.Endpoint != "b" {
		t.Errorf("got %v, %t; want the endpoint that has not failed the call", grant, ok)
	}
	if again, ok := table.Acquire("s", now, nil, s.Owner.MayAct); !ok || again.Endpoint != "a" {
		t.Error("the offered slot was not given back")
	}
}
