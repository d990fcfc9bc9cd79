package table

import (
	"maps"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// applyIfEpochMatches applies, like applyEach, the changes whose Replaces equals
// the epoch of their slot. The others are void.
func (t *Table) applyIfEpochMatches(
	name ident.Service, list []Change, transition func(*slot, *Change) (slot, Reason),
) Result {
	return t.applyEach(name, list, func(s *slot, ch *Change) (slot, Reason) {
		if s.epoch != ch.Replaces {
			return slot{}, ReasonEpochMismatch
		}
		return transition(s, ch)
	})
}

// applyEach applies a batch of slot changes of one service. For each change,
// transition returns the slot's new state or the reason why the change is void.
func (t *Table) applyEach(name ident.Service, list []Change, transition func(*slot, *Change) (slot, Reason)) Result {
	if _, ok := t.byName[name]; !ok {
		return Result{Reason: ReasonUnknownService}
	}
	var res Result
	for i := range list {
		shard := ident.NewShard(name, list[i].Slot)
		next, reason := slot{}, ReasonMalformed
		if s := t.slot(shard); s != nil {
			next, reason = transition(s, &list[i])
		}
		if reason != ReasonNone {
			res.Void = append(res.Void, shard)
			if res.Reason == ReasonNone {
				res.Reason = reason
			}
			continue
		}
		t.setSlot(shard, next)
		res.Applied = true
		res.Changed = append(res.Changed, shard)
	}
	return res
}

// setSlot replaces the state of a slot, updates the slot counts of the members
// concerned, and purges members that nothing refers to any more.
func (t *Table) setSlot(shard ident.Shard, next slot) {
	s := t.writableSlot(shard)
	old := *s
	t.addSlotCounts(&next, 1)
	t.addSlotCounts(&old, -1)
	*s = next
	for _, id := range [...]uint32{old.owner, old.succ[0], old.succ[1]} {
		if id != 0 && t.members[id] != nil {
			t.purgeIfUnreferenced(t.members[id].info.Inc)
		}
	}
}

// addSlotCounts adds delta to the slot counts of the slot's owner and successors.
func (t *Table) addSlotCounts(s *slot, delta int) {
	if s.owner != 0 {
		t.writableID(s.owner).ownedSlots += delta
	}
	for _, id := range s.succ {
		if id != 0 {
			t.writableID(id).successorSlots += delta
		}
	}
}

// successorIDs returns the indexes of successors, with 0 (none) for a successor
// that is unknown, removed or listed twice.
func (t *Table) successorIDs(list [2]ident.Incarnation) [2]uint32 {
	var out [2]uint32
	for i, inc := range list {
		if id, ok := t.byInc[inc]; ok && !t.members[id].removed {
			out[i] = id
		}
	}
	if out[0] == out[1] {
		out[1] = 0
	}
	return out
}

// writableID returns the member with the given index for writing. It first copies
// the member and the list of members if a view may share them.
func (t *Table) writableID(id uint32) *member {
	if t.copiedAt.members != t.gen {
		t.members = slices.Clone(t.members)
		t.copiedAt.members = t.gen
	}
	m := t.members[id]
	if m.gen != t.gen {
		c := *m
		c.gen = t.gen
		m = &c
		t.members[id] = m
	}
	return m
}

// writableMember is writableID for an incarnation that has a member.
func (t *Table) writableMember(inc ident.Incarnation) *member {
	return t.writableID(t.byInc[inc])
}

// copyByInc copies the map byInc if a view may share it.
func (t *Table) copyByInc() {
	if t.copiedAt.byInc != t.gen {
		t.byInc = maps.Clone(t.byInc)
		t.copiedAt.byInc = t.gen
	}
}

// addMember adds a member at the first free index.
func (t *Table) addMember(m *member) {
	t.copyByInc()
	if t.copiedAt.members != t.gen {
		t.members = slices.Clone(t.members)
		t.copiedAt.members = t.gen
	}
	free := slices.Index(t.members[1:], nil) + 1
	if free == 0 {
		free = len(t.members)
		t.members = append(t.members, nil)
	}
	t.members[free] = m
	t.byInc[m.info.Inc] = uint32(free)
}

// purgeIfUnreferenced deletes a removed member that no slot refers to any more.
// The incarnation is kept in the bounded list removed, so that a late join record
// does not add it again.
func (t *Table) purgeIfUnreferenced(inc ident.Incarnation) {
	m := t.lookupMember(inc)
	if m == nil || !m.removed || m.ownedSlots > 0 || m.successorSlots > 0 {
		return
	}
	t.writableMember(inc)
	t.copyByInc()
	t.members[t.byInc[inc]] = nil
	delete(t.byInc, inc)
	older := t.removed
	if len(older) >= maxRemoved {
		older = older[1:]
	}
	t.removed = append(slices.Clone(older), inc)
}

func (t *Table) addService(s *service) {
	if t.copiedAt.services != t.gen {
		t.services = slices.Clone(t.services)
		t.copiedAt.services = t.gen
	}
	if t.copiedAt.byName != t.gen {
		t.byName = maps.Clone(t.byName)
		t.copiedAt.byName = t.gen
	}
	t.byName[s.name] = uint32(len(t.services))
	t.services = append(t.services, s)
}

// addPin appends a pinned slot for a key hash. The caller sets the slot's state.
func (t *Table) addPin(name ident.Service, hash uint64) {
	svc := t.writableService(name)
	if svc.pinGen != t.gen {
		svc.pinOf = maps.Clone(svc.pinOf)
		svc.pinGen = t.gen
	}
	svc.pinOf[hash] = ident.Slot(svc.count())
	svc.pins = append(svc.pins, hash)
	svc.grow(t.gen)
}
