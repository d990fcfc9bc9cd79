package core

import (
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// found starts the stream anew by an operator's order, where its beginning is
// lost and no whole snapshot is left. The operator vouches that no incarnation
// from before serves any more, just as for an eviction. The new table is in
// force for all readers from its last chunk on, and nothing before counts.
// Those that do run find that they are not on it and end.
func (m *Machine) found(in EvictOrder) {
	b := &m.boot
	if !b.rebuild || !b.caught || b.next == 0 || !m.logUp || len(m.snaps.writing) > 0 || m.openChunks() > 0 {
		return
	}
	at := b.next - 1
	var services []table.Service
	for _, name := range m.table.Services() {
		hashed, _ := m.table.Slots(name)
		services = append(services, table.Service{Name: name, Slots: hashed})
	}
	for _, e := range b.tail {
		if e.Record.Kind == table.KindService && e.Record.Service != nil {
			services = append(services, *e.Record.Service)
		}
	}
	chunks, err := table.Found(at, services).Snapshot(at)
	if err != nil {
		m.emit(events.Event{Kind: events.KindSnapshot, Note: err.Error()})
		return
	}
	m.emit(events.Event{Kind: events.KindEvict, Offset: at, Note: "stream founded anew by " + in.Operator})
	m.snaps.writing, m.snaps.founds = chunks, true
	m.writeChunks()
}

// isFound reports whether a snapshot chunk belongs to a table that founds the
// stream anew.
func isFound(rec *table.Record) bool { return rec.ID.N&foundIDs == foundIDs }

// adoptFound puts a founding table in force.
func (m *Machine) adoptFound(chunks []table.Chunk, offset uint64) {
	founded, err := table.Restore(chunks)
	if err != nil {
		m.emit(events.Event{Kind: events.KindSnapshot, Offset: offset, Note: err.Error()})
		return
	}
	founded.SkipTo(offset + 1)
	m.adopt(founded)
}
