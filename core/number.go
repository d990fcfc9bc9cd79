package core

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// numbered is the one numbered record that a member has under way. Its number
// is announced to two witnesses before the record is appended, and the next
// one is announced only after this one was read back.
type numbered struct {
	record table.Record
	// told lists the witnesses whose knowledge of the number counts.
	told     []ident.Incarnation
	leaving  ident.Incarnation
	joining  ident.Incarnation
	appended bool
}

// maxCovers bounds the slots that a renewal names.
const maxCovers = 256

// covers returns the slots that the record is about, or nothing when they are
// too many or it changes more than slots.
func (n *numbered) covers() []ident.Slot {
	switch r := &n.record; {
	case r.Pin != nil:
		return []ident.Slot{r.Pin.Base}
	case r.Changes != nil && len(r.Changes.Slots) <= maxCovers:
		slots := make([]ident.Slot, len(r.Changes.Slots))
		for i, ch := range r.Changes.Slots {
			slots[i] = ch.Slot
		}
		return slots
	}
	return nil
}

// advance appends the numbered record under way once two witnesses know its
// number, or announces the next one that is due.
func (m *Machine) advance() {
	if m.number == nil {
		m.announce()
	}
	n := m.number
	if n == nil || n.appended || !m.holds() || !m.synced() {
		return
	}
	know := 0
	for _, w := range n.told {
		if p := m.lease.peers[w]; p != nil && p.seq >= n.record.Seq && !p.fenced {
			know++
		}
	}
	if know >= table.WitnessCount-1 {
		n.appended = true
		n.record.ID.N = m.write(n.record)
		n.record.ID.By = m.self.Inc
	}
}

// announce starts the next numbered record. There is none while the log is
// down: a number that is announced but not on the stream keeps successors
// from acting.
func (m *Machine) announce() {
	if !m.holds() || m.lease.asked || !m.book.room() {
		return
	}
	n := m.nextNumbered()
	if n == nil {
		return
	}
	m.lease.seq = max(m.lease.seq, m.table.Seq(m.self.Inc)) + 1
	n.record.Seq = m.lease.seq
	if n.told == nil {
		n.told = slices.Clone(m.table.Witnesses(m.self.Inc))
	}
	m.number = n
	m.updateLease()
	m.lease.due = m.now
	m.renew()
}

// nextNumbered returns the most urgent numbered record that is due.
func (m *Machine) nextNumbered() *numbered {
	for _, next := range [...]func() *numbered{
		m.replaceWitness, m.nextMove, m.nextRename, m.nextPin, m.nextSuccessors,
	} {
		if n := next(); n != nil {
			return n
		}
	}
	return nil
}

// changes returns a numbered record about slots of the member's service.
func (m *Machine) changes(kind table.Kind, to ident.Incarnation, list []table.Change) *numbered {
	return &numbered{record: table.Record{
		Kind:    kind,
		Changes: &table.Changes{Service: m.self.Service, To: to, Slots: list},
	}}
}

// numberResolved follows up a numbered record that was read back.
func (m *Machine) numberResolved(rec *table.Record, res table.Result) {
	m.slots.stale, m.slots.urgent = true, true
	m.dirty = true
	switch rec.Kind {
	case table.KindMove:
		m.moveRead(rec)
	case table.KindPin:
		m.emit(events.Event{Kind: events.KindPin, Service: rec.Pin.Service,
			First: rec.Pin.Slot, Last: rec.Pin.Slot, Note: res.Reason.String()})
		if res.Applied {
			m.part(rec.Pin)
		}
		if res.Reason == table.ReasonExists {
			m.pinOrder(PinOrder{Service: rec.Pin.Service, Hash: rec.Pin.Hash})
		}
	case table.KindWitnesses:
		m.updateLease()
	default:
	}
}
