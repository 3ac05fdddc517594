package shard

import (
	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/record"
)

// MemberOf converts a record to a member.
func MemberOf(m *record.Member) citron.Member {
	return citron.Member{VM: citron.VMName(m.GetVM()), Incarnation: citron.Incarnation(m.GetIncarnation())}
}

// MemberRecord converts a member to a record; the zero member becomes nil.
func MemberRecord(m citron.Member) *record.Member {
	if m.IsZero() {
		return nil
	}
	return &record.Member{VM: string(m.VM), Incarnation: uint64(m.Incarnation)}
}

// ChangeOf converts a record to a change.
func ChangeOf(c *record.ShardChange) Change {
	return Change{
		Shard:             citron.ShardID(c.GetShard()),
		BaseEpoch:         citron.Epoch(c.GetBaseEpoch()),
		BaseStandbyNumber: citron.StandbyNumber(c.GetBaseStandbyNumber()),
		Owner:             MemberOf(c.GetOwner()),
		Standby:           MemberOf(c.GetStandby()),
	}
}

// Record converts the change to a record.
func (c Change) Record() *record.ShardChange {
	return &record.ShardChange{
		Shard:             string(c.Shard),
		BaseEpoch:         uint64(c.BaseEpoch),
		BaseStandbyNumber: uint64(c.BaseStandbyNumber),
		Owner:             MemberRecord(c.Owner),
		Standby:           MemberRecord(c.Standby),
	}
}

// StateOf converts a record to a state.
func StateOf(s *record.ShardState) State {
	return State{
		Shard:         citron.ShardID(s.GetShard()),
		Epoch:         citron.Epoch(s.GetEpoch()),
		StandbyNumber: citron.StandbyNumber(s.GetStandbyNumber()),
		Owner:         MemberOf(s.GetOwner()),
		Standby:       MemberOf(s.GetStandby()),
	}
}

// Record converts the state to a record.
func (s State) Record() *record.ShardState {
	return &record.ShardState{
		Shard:         string(s.Shard),
		Epoch:         uint64(s.Epoch),
		StandbyNumber: uint64(s.StandbyNumber),
		Owner:         MemberRecord(s.Owner),
		Standby:       MemberRecord(s.Standby),
	}
}
