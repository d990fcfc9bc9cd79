package table

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// pageSlots is the number of slots in a page, the unit of copy-on-write.
const pageSlots = 64

// slot is the state of one slot. Owner and successors are indexes into
// stateRoot.members; 0 stands for none.
type slot struct {
	epoch ident.Epoch
	owner uint32
	succ  [2]uint32
}

// page holds pageSlots consecutive slots; gen is the generation in which it was
// last copied.
type page struct {
	gen   uint64
	slots [pageSlots]slot
}

// service holds the slots of one service: first the hash slots, whose number is
// in slots, then one slot for each pinned key. pins lists the hashes of the
// pinned keys in slot order, pinOf maps each to its slot, and pinGen is the
// generation in which pinOf was last copied.
type service struct {
	gen    uint64
	name   ident.Service
	slots  uint32
	pages  []*page
	pins   []uint64
	pinOf  map[uint64]ident.Slot
	pinGen uint64
}

func newService(gen uint64, name ident.Service, slots uint32) *service {
	s := &service{gen: gen, name: name, slots: slots, pinOf: map[uint64]ident.Slot{}, pinGen: gen}
	s.grow(gen)
	return s
}

// count returns the number of hash slots and pinned slots.
func (s *service) count() uint32 { return s.slots + uint32(len(s.pins)) }

// grow adds pages until every slot has one.
func (s *service) grow(gen uint64) {
	for uint32(len(s.pages))*pageSlots < s.count() {
		s.pages = append(s.pages, &page{gen: gen})
	}
}

// at returns a slot for reading, or nil if it does not exist.
func (s *service) at(n ident.Slot) *slot {
	if uint32(n) >= s.count() {
		return nil
	}
	return &s.pages[n/pageSlots].slots[n%pageSlots]
}

// writableSlot returns the slot of a shard for writing. It first copies the
// service and the page that hold the slot if a view may share them.
func (r *stateRoot) writableSlot(shard ident.Shard) *slot {
	svc := r.writableService(shard.Service)
	p := svc.pages[shard.Slot/pageSlots]
	if p.gen != r.gen {
		c := *p
		c.gen = r.gen
		p = &c
		svc.pages[shard.Slot/pageSlots] = p
	}
	return &p.slots[shard.Slot%pageSlots]
}

// writableService returns a service for writing. It first copies the service, but
// not its pages nor pinOf, if a view may share it.
func (r *stateRoot) writableService(name ident.Service) *service {
	if r.copiedAt.services != r.gen {
		r.services = slices.Clone(r.services)
		r.copiedAt.services = r.gen
	}
	i := r.byName[name]
	svc := r.services[i]
	if svc.gen != r.gen {
		c := *svc
		c.gen = r.gen
		c.pages = slices.Clone(svc.pages)
		c.pins = slices.Clone(svc.pins)
		svc = &c
		r.services[i] = svc
	}
	return svc
}
