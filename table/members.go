package table

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// lookupMember returns the member of an incarnation, or nil if it has not joined
// or no longer has an entry.
func (r *stateRoot) lookupMember(inc ident.Incarnation) *member {
	id, ok := r.byInc[inc]
	if !ok {
		return nil
	}
	return r.members[id]
}

// Member returns the description of an incarnation that has joined. It reports
// false when the table has no entry for it.
func (r *stateRoot) Member(inc ident.Incarnation) (Member, bool) {
	m := r.lookupMember(inc)
	if m == nil {
		return Member{}, false
	}
	return m.info, true
}

// Members returns the members that have joined and have not been removed,
// ordered by incarnation.
func (r *stateRoot) Members() []Member {
	list := make([]Member, 0, len(r.byInc))
	for _, m := range r.members {
		if m != nil && !m.removed {
			list = append(list, m.info)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return a.Inc.Compare(b.Inc) })
	return list
}

// Live reports whether an incarnation has joined and has not been removed.
func (r *stateRoot) Live(inc ident.Incarnation) bool {
	m := r.lookupMember(inc)
	return m != nil && !m.removed
}

// Removed reports whether an incarnation has been removed: it left, was fenced by a
// record of the stream, or was evicted. Of the removed incarnations that no slot
// refers to, the table remembers only the maxRemoved latest.
func (r *stateRoot) Removed(inc ident.Incarnation) bool {
	if m := r.lookupMember(inc); m != nil {
		return m.removed
	}
	return slices.Contains(r.removed, inc)
}

// Witnesses returns the witnesses of a member, or nil when it has none. The
// returned slice must not be modified.
func (r *stateRoot) Witnesses(inc ident.Incarnation) []ident.Incarnation {
	if m := r.lookupMember(inc); m != nil {
		return m.witnesses
	}
	return nil
}

// Seq returns the highest sequence number among the member's records.
func (r *stateRoot) Seq(inc ident.Incarnation) ident.Seq {
	if m := r.lookupMember(inc); m != nil {
		return m.seq
	}
	return 0
}

// OwnedSlots returns the number of slots that a member owns.
func (r *stateRoot) OwnedSlots(inc ident.Incarnation) int {
	if m := r.lookupMember(inc); m != nil {
		return m.ownedSlots
	}
	return 0
}

// SuccessorSlots returns the number of slots that name a member as successor.
func (r *stateRoot) SuccessorSlots(inc ident.Incarnation) int {
	if m := r.lookupMember(inc); m != nil {
		return m.successorSlots
	}
	return 0
}

// Seen reports whether a record with the given id was seen. Ids below the window
// of idWindow ids count as seen.
func (r *stateRoot) Seen(id ident.RecordID) bool {
	m := r.lookupMember(id.By)
	return m != nil && m.hasSeen(id.N)
}

// hasSeen reports whether the member's record with id n was seen.
func (m *member) hasSeen(n uint64) bool {
	if n > m.lastID {
		return false
	}
	age := m.lastID - n
	return age >= idWindow || m.window>>age&1 == 1
}

// markSeen marks the member's record id n as seen. A new highest id shifts the
// window.
func (m *member) markSeen(n uint64) {
	if n > m.lastID {
		shift := n - m.lastID
		if shift >= idWindow {
			m.window = 0
		} else {
			m.window <<= shift
		}
		m.lastID = n
		m.window |= 1
		return
	}
	m.window |= 1 << (m.lastID - n)
}
