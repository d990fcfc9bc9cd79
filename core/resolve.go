package core

import (
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// onOwnRecord handles a record of the member itself that was read back.
func (m *Machine) onOwnRecord(rec *table.Record, res table.Result) {
	if m.outbox.remove(rec.ID.N) == nil {
		return
	}
	if res.Reason != table.ReasonNone {
		m.emit(events.Event{Kind: events.KindVoid, Note: res.Reason.String(), Count: len(res.Void)})
	}
	if n := m.numbered; n != nil && n.record.ID.N == rec.ID.N {
		m.numbered = nil
		m.onNumberedRecord(rec, res)
	}
	switch rec.Kind {
	case table.KindWitnesses:
		m.onWitnessesRecord(rec)
	case table.KindTakeover:
		m.onTakeoverRecord(rec)
	default:
	}
}

// onWitnessesRecord starts to count the grants of the new witnesses.
func (m *Machine) onWitnessesRecord(rec *table.Record) {
	if m.lease.witnessesAt.IsZero() {
		m.lease.witnessesAt = m.now
	}
	m.pendingWitnesses = nil
	m.lease.due = m.now
	m.updateLease()
	m.renew()
	m.emit(events.Event{Kind: events.KindWitnesses, Count: len(rec.WitnessList.Witnesses)})
}
