package table

import (
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// stateRoot is the root of the copy-on-write state that a table and its views
// share. Everything that it refers to is copied before the first write after a
// view was taken: an element whose generation differs from gen may be shared
// with a view.
type stateRoot struct {
	// gen is the current generation; View starts a new one.
	gen      uint64
	copiedAt containerGens
	// members holds the members by index. Index 0 stands for no member; freed
	// indexes hold nil.
	members []*member
	byInc   map[ident.Incarnation]uint32
	// removed lists the latest removed incarnations that have no entry in
	// members, oldest first.
	removed  []ident.Incarnation
	services []*service
	byName   map[ident.Service]uint32
	// initialEpoch is the epoch of slots that have never had an owner.
	initialEpoch ident.Epoch
}

// containerGens holds, for each container of stateRoot, the generation in which
// it was last copied.
type containerGens struct{ members, byInc, services, byName uint64 }

// member is the state of one incarnation.
type member struct {
	gen       uint64
	info      Member
	removed   bool
	witnesses []ident.Incarnation
	// seq is the highest sequence number among the member's records.
	seq ident.Seq
	// lastID is the highest record id that was seen. Bit i of window is set when
	// id lastID-i was seen; ids below the window count as seen.
	lastID, window uint64
	// ownedSlots is the number of slots that the member owns, successorSlots the
	// number of slots that name it as a successor.
	ownedSlots, successorSlots int
}

// State is the state of one slot.
type State struct {
	Epoch      ident.Epoch
	Owner      ident.Incarnation
	Successors [2]ident.Incarnation
}

// State returns the state of a shard's slot. It reports false if the shard does
// not exist.
func (r *stateRoot) State(shard ident.Shard) (State, bool) {
	s := r.slot(shard)
	if s == nil {
		return State{}, false
	}
	return r.state(s), true
}

// state returns a slot with incarnations in place of member indexes.
func (r *stateRoot) state(s *slot) State {
	return State{
		Epoch:      s.epoch,
		Owner:      r.incarnation(s.owner),
		Successors: [2]ident.Incarnation{r.incarnation(s.succ[0]), r.incarnation(s.succ[1])},
	}
}

// incarnation returns the incarnation of the member with the given index; the
// zero incarnation for index 0.
func (r *stateRoot) incarnation(id uint32) ident.Incarnation {
	if id == 0 {
		return ident.Incarnation{}
	}
	return r.members[id].info.Inc
}

// slot returns the slot of a shard for reading, or nil if it does not exist.
func (r *stateRoot) slot(shard ident.Shard) *slot {
	i, ok := r.byName[shard.Service]
	if !ok {
		return nil
	}
	return r.services[i].at(shard.Slot)
}

// Lookup returns the shard and the owner to which requests for a key hash of a
// service are routed. It reports false if the service is unknown.
func (r *stateRoot) Lookup(name ident.Service, hash uint64) (Target, bool) {
	i, ok := r.byName[name]
	if !ok {
		return Target{}, false
	}
	svc := r.services[i]
	n, pinned := svc.pinOf[hash]
	if !pinned {
		n = ident.SlotOfHash(hash, svc.slots)
	}
	st := r.state(svc.at(n))
	return Target{
		Shard:      ident.Shard{Service: name, Slot: n},
		Epoch:      st.Epoch,
		Owner:      st.Owner,
		Successors: st.Successors,
	}, true
}

// Slots returns the numbers of hash slots and of pinned slots of a service; both
// are zero if the service is unknown.
func (r *stateRoot) Slots(name ident.Service) (hashed, pinned uint32) {
	i, ok := r.byName[name]
	if !ok {
		return 0, 0
	}
	return r.services[i].slots, uint32(len(r.services[i].pins))
}

// PinOf returns the slot of a pinned key hash. It reports false if the hash is
// not pinned.
func (r *stateRoot) PinOf(name ident.Service, hash uint64) (ident.Slot, bool) {
	i, ok := r.byName[name]
	if !ok {
		return 0, false
	}
	n, ok := r.services[i].pinOf[hash]
	return n, ok
}

// Services returns the names of all services in the order of their declaration.
func (r *stateRoot) Services() []ident.Service {
	names := make([]ident.Service, 0, len(r.services))
	for _, s := range r.services {
		names = append(names, s.name)
	}
	return names
}

// Range calls visit for each slot of a service in order, until it returns
// false.
func (r *stateRoot) Range(name ident.Service, visit func(ident.Slot, State) bool) {
	i, ok := r.byName[name]
	if !ok {
		return
	}
	svc := r.services[i]
	for n := ident.Slot(0); n < ident.Slot(svc.count()); n++ {
		if !visit(n, r.state(svc.at(n))) {
			return
		}
	}
}
