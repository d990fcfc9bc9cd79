package core

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// numberedRecord is the one record with a sequence number that a member has
// under way. The number is announced to two witnesses before the record is
// appended, and the next number is announced only after this record was read
// back.
type numberedRecord struct {
	record table.Record
	// announcedTo lists the witnesses whose knowledge of the number counts.
	announcedTo []ident.Incarnation
	// leaving and joining are the witnesses that the record replaces and adds,
	// if it changes them.
	leaving  ident.Incarnation
	joining  ident.Incarnation
	appended bool
}

// maxCovers bounds the slots that a renewal lists.
const maxCovers = 256

// covers returns the slots that the record changes; nil when they are more
// than maxCovers or when it changes more than slots.
func (n *numberedRecord) covers() []ident.Slot {
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

// advanceNumbered appends the numbered record under way once two witnesses
// know its sequence number, or announces the next one that is due.
func (m *Machine) advanceNumbered() {
	if m.numbered == nil {
		m.announceNext()
	}
	n := m.numbered
	if n == nil || n.appended || !m.hasLease() || !m.synced() {
		return
	}
	confirmed := 0
	for _, w := range n.announcedTo {
		if p := m.lease.peers[w]; p != nil && p.seq >= n.record.Seq && !p.fenced {
			confirmed++
		}
	}
	if confirmed >= table.WitnessCount-1 {
		n.appended = true
		n.record.ID.N = m.write(n.record)
		n.record.ID.By = m.self.Inc
	}
}

// announceNext announces the next numbered record. Callers must not announce
// one while the log is down: a number that is announced but not on the stream
// keeps successors from acting.
func (m *Machine) announceNext() {
	if !m.hasLease() || m.lease.votesAsked || !m.outbox.hasRoom() {
		return
	}
	n := m.nextNumbered()
	if n == nil {
		return
	}
	m.lease.seq = max(m.lease.seq, m.table.Seq(m.self.Inc)) + 1
	n.record.Seq = m.lease.seq
	if n.announcedTo == nil {
		n.announcedTo = slices.Clone(m.table.Witnesses(m.self.Inc))
	}
	m.numbered = n
	m.updateLease()
	m.lease.due = m.now
	m.renew()
}

// nextNumbered returns the most urgent numbered record that is due; nil when
// there is none.
func (m *Machine) nextNumbered() *numberedRecord {
	for _, next := range [...]func() *numberedRecord{
		m.replaceWitness, m.nextMove, m.nextEpochBump, m.nextPin, m.nextSuccessors,
	} {
		if n := next(); n != nil {
			return n
		}
	}
	return nil
}

// changesRecord returns a numbered record that changes slots of the member's
// service.
func (m *Machine) changesRecord(kind table.Kind, to ident.Incarnation, list []table.Change) *numberedRecord {
	return &numberedRecord{record: table.Record{
		Kind:    kind,
		Changes: &table.Changes{Service: m.self.Service, To: to, Slots: list},
	}}
}

// onNumberedRecord handles a numbered record that was read back.
func (m *Machine) onNumberedRecord(rec *table.Record, res table.Result) {
	m.slots.stale, m.slots.urgent = true, true
	m.dirty = true
	switch rec.Kind {
	case table.KindMove:
		m.onMoveRecord(rec)
	case table.KindPin:
		m.emit(events.Event{Kind: events.KindPin, Service: rec.Pin.Service,
			First: rec.Pin.Slot, Last: rec.Pin.Slot, Note: res.Reason.String()})
		if res.Applied {
			m.noteOrigin(rec.Pin)
		}
		if res.Reason == table.ReasonExists {
			m.onPinOrder(PinOrder{Service: rec.Pin.Service, Hash: rec.Pin.Hash})
		}
	case table.KindWitnesses:
		m.updateLease()
	default:
	}
}
