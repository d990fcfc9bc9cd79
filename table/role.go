package table

import "github.com/monsoonmoor/monsoonmoor/ident"

// Role is the relation of a member to a slot.
type Role uint8

// Roles.
const (
	// RoleOwner marks a slot that the member owns.
	RoleOwner Role = iota + 1
	// RoleSuccessor marks a slot that names the member as successor.
	RoleSuccessor
	// RoleClaimable marks a slot that any member may claim: it has no owner, or its
	// owner and successors have all been removed.
	RoleClaimable
)

// Roles calls visit, in slot order, for each slot of a service that the member
// owns, is a successor of or may claim.
func (r *stateRoot) Roles(name ident.Service, inc ident.Incarnation, visit func(ident.Slot, Role)) {
	i, ok := r.byName[name]
	if !ok {
		return
	}
	id := r.byInc[inc]
	svc := r.services[i]
	for n := ident.Slot(0); n < ident.Slot(svc.count()); n++ {
		s := svc.at(n)
		switch {
		case id != 0 && s.owner == id:
			visit(n, RoleOwner)
		case id != 0 && (s.succ[0] == id || s.succ[1] == id):
			visit(n, RoleSuccessor)
		case r.claimEpochRaise(s) > 0:
			visit(n, RoleClaimable)
		}
	}
}

// claimEpochRaise returns by how much a claim raises the slot's epoch, or zero
// when the slot can't be claimed. If the owner and both successors have been
// removed, the raise skips the epochs under which either successor may have
// served.
func (r *stateRoot) claimEpochRaise(s *slot) ident.Epoch {
	switch {
	case s.owner == 0:
		return 1
	case r.isRemoved(s.owner) && r.isRemoved(s.succ[0]) && r.isRemoved(s.succ[1]):
		return 1 + ident.Epoch(len(s.succ))
	}
	return 0
}

// isRemoved reports whether the member with the given index can't act any more.
// Index 0 stands for no member.
func (r *stateRoot) isRemoved(id uint32) bool { return id == 0 || r.members[id].removed }
