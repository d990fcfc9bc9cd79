package core

import (
	"maps"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// slots lists, in order, the slots of the member's service that it owns, those
// that name it as successor and those that are claimable.
type slots struct {
	// stale is set when the lists must be rebuilt; urgent is set when this
	// can't wait for the next tick.
	stale     bool
	urgent    bool
	owned     []ident.Slot
	successor []ident.Slot
	claimable []ident.Slot
	// listCurrent tells whether the list of served shards in the view is
	// current.
	listCurrent bool
}

// concerns reports whether a shard of the member's service names the member
// now, or did at the last rescan.
func (m *Machine) concerns(shard ident.Shard) bool {
	st, ok := m.table.State(shard)
	if !ok {
		return false
	}
	if st.Owner == m.self.Inc || st.Successors[0] == m.self.Inc || st.Successors[1] == m.self.Inc {
		return true
	}
	_, held := m.takeovers.held[shard.Slot]
	_, owned := slices.BinarySearch(m.slots.owned, shard.Slot)
	return held || owned
}

// rescan rebuilds the lists after the table has changed, and drops operations
// on slots that the member no longer holds.
func (m *Machine) rescan() {
	if !m.slots.stale {
		return
	}
	s := &m.slots
	s.stale, s.urgent, s.listCurrent = false, false, false
	before := len(s.claimable)
	s.owned, s.successor, s.claimable = s.owned[:0], s.successor[:0], s.claimable[:0]
	m.table.Roles(m.self.Service, m.self.Inc, func(n ident.Slot, role table.Role) {
		switch role {
		case table.RoleOwner:
			s.owned = append(s.owned, n)
		case table.RoleSuccessor:
			s.successor = append(s.successor, n)
		case table.RoleClaimable:
			s.claimable = append(s.claimable, n)
		}
	})
	if len(s.claimable) != before {
		m.assignment.claimableAt = m.now
	}
	m.takeovers.recheck = m.takeovers.recheck || len(m.ballots.order) > 0
	m.dropStale()
	m.dirty = true
}

// dropStale drops provisional and stopped slots that the table has overtaken.
func (m *Machine) dropStale() {
	maps.DeleteFunc(m.takeovers.held, func(n ident.Slot, p provisional) bool {
		st, ok := m.table.State(m.shard(n))
		return !ok || st.Epoch != p.replaces
	})
	maps.DeleteFunc(m.moves.stops, func(n ident.Slot, s stoppedSlot) bool {
		if p, ok := m.takeovers.held[n]; ok {
			return p.token != s.epoch
		}
		st, ok := m.table.State(m.shard(n))
		if !ok || st.Owner != m.self.Inc {
			return true
		}
		if st.Epoch == s.epoch {
			return false
		}
		if s.idle && s.to.IsZero() {
			// The record with the new epoch was read, which ends the stop.
			return true
		}
		// A record about successors was under way at the stop and has raised
		// the epoch.
		s.epoch = st.Epoch
		m.moves.stops[n] = s
		m.slots.listCurrent = false
		return false
	})
}

// heldEpoch returns the epoch under which the member holds a slot; false when
// it does not hold it.
func (m *Machine) heldEpoch(n ident.Slot) (ident.Epoch, bool) {
	if p, ok := m.takeovers.held[n]; ok {
		return p.token, true
	}
	st, ok := m.table.State(m.shard(n))
	return st.Epoch, ok && st.Owner == m.self.Inc
}

// heldSlots returns all slots that the member holds, owned and provisional
// ones, in order.
func (m *Machine) heldSlots() []ident.Slot {
	list := slices.Clone(m.slots.owned)
	if len(m.takeovers.held) == 0 {
		return list
	}
	for n := range m.takeovers.held {
		list = append(list, n)
	}
	slices.Sort(list)
	return slices.Compact(list)
}
