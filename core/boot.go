package core

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// maxTail bounds the records that are buffered until a whole snapshot has been
// read.
const maxTail = 1 << 16

// streamState tracks how far the stream has been read. The table has a base
// once it was built from the first record of the stream or from a whole
// snapshot.
type streamState struct {
	hasBase  bool
	caughtUp bool
	// rebuilding is set while records are buffered until the next whole
	// snapshot.
	rebuilding bool
	started    bool
	// tail holds the buffered records.
	tail []StreamRecord
	// next is the offset after the last record that was read.
	next uint64
	// baseAt is when the member first had a whole table.
	baseAt time.Time
}

// onRecord handles the next record of the stream.
func (m *Machine) onRecord(in StreamRecord) {
	b := &m.stream
	if !b.started {
		b.started = true
		b.hasBase = in.Offset == 0
		b.rebuilding = !b.hasBase
	}
	b.next = in.Offset + 1
	if b.hasBase && !b.rebuilding {
		switch {
		case in.Offset < m.table.Next():
			return
		case in.Offset > m.table.Next():
			m.onGap(Gap{First: in.Offset})
		}
	}
	if b.rebuilding {
		m.bufferRecord(in)
		return
	}
	m.applyRecord(in)
	if b.caughtUp && !m.ended {
		m.runUrgent()
	}
}

// bufferRecord buffers a record until a whole snapshot has been read.
func (m *Machine) bufferRecord(in StreamRecord) {
	b := &m.stream
	if len(b.tail) >= maxTail {
		b.tail = append([]StreamRecord(nil), b.tail[maxTail/2:]...)
	}
	b.tail = append(b.tail, in)
	whole := m.snapshots.collect(in)
	if whole != nil && isFounding(&in.Record) {
		m.installFounding(whole, in.Offset)
		return
	}
	if whole == nil || whole[0].At+1 < b.tail[0].Offset {
		return
	}
	t, err := table.Restore(whole)
	if err != nil {
		m.emit(events.Event{Kind: events.KindSnapshot, Offset: in.Offset, Note: err.Error()})
		return
	}
	m.installTable(t)
}

// installTable replaces the table by a restored one and applies the buffered
// records that follow it.
func (m *Machine) installTable(t *table.Table) {
	tail := m.stream.tail
	m.stream.tail, m.stream.rebuilding, m.stream.hasBase = nil, false, true
	m.outbox.dropChunks()
	m.table = t
	m.snapshots.noteComplete(t.Next()-1, m.now)
	b := &m.stream
	if b.baseAt.IsZero() {
		b.baseAt = m.now
	}
	m.roster.stale, m.slots.stale, m.takeovers.recheck = true, true, true
	m.dirty = true
	for _, in := range tail {
		if in.Offset >= m.table.Next() && !m.ended {
			m.applyRecord(in)
		}
	}
	if m.ended {
		return
	}
	m.reconcile()
}

// reconcile compares the operations under way with a restored table, whose
// records were not read one by one.
func (m *Machine) reconcile() {
	joined := m.joinID > 0 && !m.outbox.hasPending(table.KindJoin)
	if m.table.Removed(m.self.Inc) || joined && !m.table.Live(m.self.Inc) {
		m.retire("member not in the restored table")
		return
	}
	for _, e := range append([]*pendingAppend(nil), m.outbox.pending...) {
		if m.table.Seen(e.record.ID) {
			m.onOwnRecord(&e.record, table.Result{})
		}
	}
	m.watchAll()
	m.rescan()
}

// onCaughtUp notes that the stream has been read to its end; from then on the
// member may append.
func (m *Machine) onCaughtUp(in CaughtUp) {
	b := &m.stream
	if !b.started {
		b.started, b.hasBase, b.rebuilding = true, in.Next == 0, in.Next > 0
	}
	b.caughtUp, b.next = true, in.Next
	if b.rebuilding {
		m.emit(events.Event{Kind: events.KindLog, Offset: in.Next, Note: "no whole snapshot on the stream"})
	}
	if b.hasBase && b.baseAt.IsZero() {
		b.baseAt = m.now
		m.watchAll()
	}
	m.runDuties()
}

// onGap keeps the table as it is, for routing and for the lease, until a whole
// snapshot replaces it.
func (m *Machine) onGap(in Gap) {
	b := &m.stream
	if b.hasBase && in.First <= m.table.Next() {
		return
	}
	b.started, b.rebuilding, b.caughtUp = true, true, false
	b.tail = nil
	m.snapshots.reset()
	m.emit(events.Event{Kind: events.KindLog, Offset: in.First, Note: "retention removed records that were not read"})
}

// onLogState notes that the log has become available or unavailable.
func (m *Machine) onLogState(in LogState) {
	if m.logUp == in.Up {
		return
	}
	m.logUp = in.Up
	m.moves.since = m.now
	m.runDuties()
}

// applyRecord applies one record to the table and handles its consequences for
// the member.
func (m *Machine) applyRecord(in StreamRecord) {
	rec := &in.Record
	res := m.table.Apply(in.Offset, *rec)
	m.markStale(rec, &res)
	if rec.Kind == table.KindSnapshot {
		whole := m.snapshots.collect(in)
		if whole != nil && isFounding(rec) {
			m.installFounding(whole, in.Offset)
			return
		}
		if whole != nil {
			m.snapshots.noteComplete(whole[0].At, m.now)
		}
	}
	if rec.ID.By == m.self.Inc && res.Reason != table.ReasonDuplicate {
		m.onOwnRecord(rec, res)
	}
	if !m.ended && m.table.Removed(m.self.Inc) {
		m.onRemoved()
	}
}

// markStale marks the derived state that a record has made stale.
func (m *Machine) markStale(rec *table.Record, res *table.Result) {
	if rec.Seq > 0 && len(m.ballots.order) > 0 {
		m.takeovers.recheck = true
	}
	if !res.Applied {
		return
	}
	switch rec.Kind {
	case table.KindJoin:
		m.roster.stale = true
	case table.KindService:
		m.slots.stale = true
	case table.KindWitnesses:
		m.roster.stale = true
		m.watchNamed(rec.ID.By)
	case table.KindMove:
		// A member that gives slots away, because it leaves or is overloaded,
		// must not be given others for being new.
		m.assignment.joinedAt[rec.ID.By] = time.Time{}
	case table.KindLeave, table.KindEvict:
		m.roster.stale, m.slots.stale, m.takeovers.recheck = true, true, true
		if m.stream.caughtUp {
			m.emit(events.Event{Kind: eventOf(rec.Kind), Member: rec.Removal.Inc, Note: rec.Removal.Operator})
		}
	default:
	}
	m.routesChanged = m.routesChanged || len(res.Changed) > 0
	for _, shard := range res.Changed {
		if shard.Service == m.self.Service {
			m.slots.stale = true
			m.slots.urgent = m.slots.urgent || m.concerns(shard)
		}
	}
	m.dirty = m.dirty || m.slots.urgent
}

// eventOf returns the kind of event that reports a leave or an evict record.
func eventOf(kind table.Kind) events.Kind {
	if kind == table.KindEvict {
		return events.KindEvict
	}
	return events.KindLeave
}

// runUrgent does at once what a record has made possible, without waiting for
// the next tick.
func (m *Machine) runUrgent() {
	if m.slots.urgent || m.takeovers.recheck {
		m.rescan()
		m.takeOver()
	}
	if m.synced() && !m.ended && m.retired == "" {
		m.advanceNumbered()
	}
}

// onRemoved retires the member once a record has removed it from the stream.
func (m *Machine) onRemoved() {
	m.retire("member removed from the stream")
}
