package core

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const (
	// maxPartial bounds the incomplete snapshots that are collected at the
	// same time.
	maxPartial = 4
	// maxPendingChunks bounds the chunks that wait to be read back.
	maxPendingChunks = 8
)

// partialSnapshot is a snapshot of which not all chunks have been read.
type partialSnapshot struct {
	by       ident.Incarnation
	founding bool
	at       uint64
	chunks   []table.Chunk
}

// snapshots is the state of reading and writing snapshots on the stream.
type snapshots struct {
	partial []*partialSnapshot
	// at is the offset of the latest whole snapshot; readAt is when it was
	// read, and dueAt is when the next one was first found to be due.
	at     uint64
	readAt time.Time
	dueAt  time.Time
	isDue  bool
	// unwritten holds the chunks that are still to be appended; founding is
	// set when they belong to a founding table.
	unwritten []table.Chunk
	founding  bool
}

// reset drops the incomplete snapshots.
func (s *snapshots) reset() { s.partial = nil }

// collect adds a chunk and returns all chunks of the snapshot that it
// completes; nil when it completes none.
func (s *snapshots) collect(in StreamRecord) []table.Chunk {
	if in.Record.Kind != table.KindSnapshot || in.Record.Chunk == nil {
		return nil
	}
	c, by := *in.Record.Chunk, in.Record.ID.By
	founding := isFounding(&in.Record)
	var p *partialSnapshot
	for _, q := range s.partial {
		if q.by == by && q.at == c.At && q.founding == founding {
			p = q
		}
	}
	if p == nil {
		p = &partialSnapshot{by: by, at: c.At, founding: founding}
		s.partial = append(s.partial, p)
		if len(s.partial) > maxPartial {
			s.partial = append([]*partialSnapshot(nil), s.partial[1:]...)
		}
	}
	for _, old := range p.chunks {
		if old.Index == c.Index {
			return nil
		}
	}
	p.chunks = append(p.chunks, c)
	if uint32(len(p.chunks)) < c.Count {
		return nil
	}
	return p.chunks
}

// noteComplete records that a whole snapshot has been read.
func (s *snapshots) noteComplete(at uint64, now time.Time) {
	if at >= s.at {
		s.at, s.readAt, s.isDue = at, now, false
	}
}

// writeSnapshot writes the next snapshot when it is due. The members take
// turns in the order of dutyRank, so that usually only one of them writes it.
func (m *Machine) writeSnapshot() {
	s := &m.snapshots
	if len(s.unwritten) > 0 {
		m.writeChunks()
		return
	}
	if !m.isSnapshotDue() || !m.table.Live(m.self.Inc) || m.outbox.hasPending(table.KindSnapshot) {
		return
	}
	if !s.isDue {
		s.isDue, s.dueAt = true, m.now
	}
	turn := m.dutyRank(s.at, m.liveMembers())
	if m.now.Sub(s.dueAt) < time.Duration(turn)*m.timings.DutyDelay {
		return
	}
	chunks, err := m.table.Snapshot(m.table.Next() - 1)
	if err != nil {
		m.emit(events.Event{Kind: events.KindSnapshot, Note: err.Error()})
		return
	}
	// Restart the wait, to leave time for these chunks before the next turn.
	s.dueAt = m.now
	s.unwritten, s.founding = chunks, false
	m.emit(events.Event{Kind: events.KindSnapshot, Offset: m.table.Next() - 1, Count: len(chunks)})
	m.writeChunks()
}

// isSnapshotDue reports whether the number of records or the time since the
// latest snapshot requires another one.
func (m *Machine) isSnapshotDue() bool {
	next := m.table.Next()
	if next == 0 || next <= m.snapshots.at+1 {
		return false
	}
	if m.snapshots.readAt.IsZero() {
		m.snapshots.readAt = m.now
	}
	return next-m.snapshots.at > m.timings.SnapshotRecords ||
		m.now.Sub(m.snapshots.readAt) >= m.timings.SnapshotAge
}

// writeChunks appends chunks while fewer than maxPendingChunks wait to be read
// back.
func (m *Machine) writeChunks() {
	s := &m.snapshots
	for len(s.unwritten) > 0 && m.pendingChunks() < maxPendingChunks {
		chunk := s.unwritten[0]
		s.unwritten = s.unwritten[1:]
		m.outbox.lastChunkID++
		ids := uint64(chunkIDBits)
		if s.founding {
			ids = foundingIDBits
		}
		m.writeWithID(table.Record{Kind: table.KindSnapshot, Chunk: &chunk}, ids+m.outbox.lastChunkID)
	}
}

// pendingChunks counts the chunks that wait to be read back.
func (m *Machine) pendingChunks() int {
	n := 0
	for _, e := range m.outbox.pending {
		if e.record.Kind == table.KindSnapshot {
			n++
		}
	}
	return n
}
