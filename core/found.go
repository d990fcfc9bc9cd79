package core

import (
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// foundStream re-initialises the stream by an operator's order, when its
// beginning is lost and it holds no whole snapshot. The operator vouches that
// no earlier incarnation still serves, as for an eviction. All readers use the
// new table from its last chunk on and ignore all records before it.
// Incarnations that still run find themselves missing from the table and end.
func (m *Machine) foundStream(in EvictOrder) {
	b := &m.stream
	if !b.rebuilding || !b.caughtUp || b.next == 0 || !m.logUp ||
		len(m.snapshots.unwritten) > 0 || m.pendingChunks() > 0 {
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
	chunks, err := table.Bootstrap(at, services).Snapshot(at)
	if err != nil {
		m.emit(events.Event{Kind: events.KindSnapshot, Note: err.Error()})
		return
	}
	m.emit(events.Event{Kind: events.KindEvict, Offset: at, Note: "stream founded anew by " + in.Operator})
	m.snapshots.unwritten, m.snapshots.founding = chunks, true
	m.writeChunks()
}

// isFounding reports whether a snapshot chunk belongs to a founding table.
func isFounding(rec *table.Record) bool { return rec.ID.N&foundingIDBits == foundingIDBits }

// installFounding replaces the table by the founding table that the chunks
// hold.
func (m *Machine) installFounding(chunks []table.Chunk, offset uint64) {
	founded, err := table.Restore(chunks)
	if err != nil {
		m.emit(events.Event{Kind: events.KindSnapshot, Offset: offset, Note: err.Error()})
		return
	}
	founded.SkipTo(offset + 1)
	m.installTable(founded)
}
