package core

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/table"
)

// maxPending bounds the records that wait to be read back. It stays below the
// number of record ids that a table tells apart.
const maxPending = 48

// chunkIDBits is set in the ids of snapshot chunks. The table does not track
// these ids.
const chunkIDBits = 1 << 63

// foundingIDBits is set in the ids of chunks of a founding table, one that
// re-initialises the stream; see foundStream.
const foundingIDBits = chunkIDBits | 1<<62

// pendingAppend is a record that was appended and has not been read back.
type pendingAppend struct {
	record table.Record
	sentAt time.Time
}

// outbox holds the records that wait to be read back, in the order of writing,
// and the token bucket that limits new appends.
type outbox struct {
	lastID      uint64
	lastChunkID uint64
	pending     []*pendingAppend
	tokens      float64
	refilledAt  time.Time
}

// write appends a record under a new id and returns the id's number.
func (m *Machine) write(rec table.Record) uint64 {
	m.outbox.lastID++
	return m.writeWithID(rec, m.outbox.lastID)
}

// writeWithID appends a record under a given id number.
func (m *Machine) writeWithID(rec table.Record, n uint64) uint64 {
	rec.ID.By, rec.ID.N = m.self.Inc, n
	e := &pendingAppend{record: rec}
	m.outbox.pending = append(m.outbox.pending, e)
	m.sendAppend(e)
	return n
}

// sendAppend emits the append of a record, for the first time or again. It
// does nothing while the stream has not been read to its end or the log is
// down. Snapshot chunks need only the log, as a founding table is written by
// members without a current table.
func (m *Machine) sendAppend(e *pendingAppend) {
	if !m.synced() && (e.record.Kind != table.KindSnapshot || !m.logUp) {
		return
	}
	e.sentAt = m.now
	m.do(Append{Record: e.record})
}

// retryAppends repeats the appends that were not read back in time.
func (m *Machine) retryAppends() {
	for _, e := range m.outbox.pending {
		if e.sentAt.IsZero() || m.now.Sub(e.sentAt) >= m.timings.Retry {
			m.sendAppend(e)
		}
	}
}

// remove deletes the pending record with an id number and returns it; nil when
// no such record is pending.
func (b *outbox) remove(n uint64) *pendingAppend {
	for i, e := range b.pending {
		if e.record.ID.N == n {
			b.pending = slices.Delete(b.pending, i, i+1)
			return e
		}
	}
	return nil
}

// hasPending reports whether a record of a kind waits to be read back.
func (b *outbox) hasPending(kind table.Kind) bool {
	for _, e := range b.pending {
		if e.record.Kind == kind {
			return true
		}
	}
	return false
}

// hasRoom reports whether another record may be added.
func (b *outbox) hasRoom() bool { return len(b.pending) < maxPending }

// allowAppend takes one append out of the token bucket and reports whether it
// may be made. The bucket refills by Timings.AppendRate a second and holds at
// most that many.
func (m *Machine) allowAppend() bool {
	b := &m.outbox
	if b.refilledAt.IsZero() {
		b.tokens = m.timings.AppendRate
	} else {
		b.tokens = min(m.timings.AppendRate, b.tokens+m.timings.AppendRate*m.now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = m.now
	if b.tokens < 1 || !b.hasRoom() {
		return false
	}
	b.tokens--
	return true
}

// dropChunks removes the snapshot chunks from the pending records.
func (b *outbox) dropChunks() {
	b.pending = slices.DeleteFunc(b.pending, func(e *pendingAppend) bool {
		return e.record.Kind == table.KindSnapshot
	})
}
