package core

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// provisional is a slot that the member serves as successor before its
// takeover record has been read back.
type provisional struct {
	replaces ident.Epoch
	// token is the epoch under which the member serves the slot.
	token ident.Epoch
	from  ident.Incarnation
	// recordID is the id number of the takeover record; zero until it is
	// appended.
	recordID uint64
}

// takeovers holds the provisional slots.
type takeovers struct {
	held map[ident.Slot]provisional
	// recheck is set when a change may allow further takeovers.
	recheck bool
	// due is when the records of new takeovers are to be appended.
	due time.Time
}

const (
	// maxRecordJitter bounds the random delay of takeover records.
	maxRecordJitter = 1500 * time.Millisecond
	// recordJitterPerMember is by how much each live member raises the upper
	// limit of that delay.
	recordJitterPerMember = 4 * time.Millisecond
)

// delayRecords delays the records of new takeovers for a random time. The
// member serves the slots already, and the loss of a place must not flood the
// log.
func (m *Machine) delayRecords() {
	m.takeovers.due = m.now.Add(m.jitter(maxRecordJitter, recordJitterPerMember))
}

// jitter returns a random time. Its upper limit grows by each with every live
// member, up to most.
func (m *Machine) jitter(most, each time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(min(most, time.Duration(len(m.liveMembers()))*each)) + 1))
}

// takeOver starts to serve the slots whose owner, and whose successors that
// rank before this member, can no longer act. A member that has written its
// leave record takes no slot over, as readers of that record count it as gone
// already.
func (m *Machine) takeOver() {
	if !m.takeovers.recheck || !m.hasLease() || m.lease.votesAsked || m.moves.leaveID != 0 {
		return
	}
	m.takeovers.recheck = false
	m.rescan()
	known := map[ident.Incarnation]fencing{}
	isFenced := func(inc ident.Incarnation, n ident.Slot) bool {
		o, ok := known[inc]
		if !ok {
			o = m.fencingOf(inc)
			known[inc] = o
		}
		return o.covers(n)
	}
	var taken []ident.Slot
	for _, n := range m.slots.successor {
		st, _ := m.table.State(m.shard(n))
		if _, have := m.takeovers.held[n]; have || !isFenced(st.Owner, n) {
			continue
		}
		rank := slices.Index(st.Successors[:], m.self.Inc)
		if rank == 1 && !isFenced(st.Successors[0], n) {
			continue
		}
		m.takeovers.held[n] = provisional{
			replaces: st.Epoch,
			token:    st.Epoch + 1 + ident.Epoch(rank),
			from:     st.Owner,
		}
		taken = append(taken, n)
	}
	if len(taken) == 0 {
		return
	}
	m.emitSlots(events.Event{Kind: events.KindTakeover, Member: m.takeovers.held[taken[0]].from}, taken)
	m.slots.listCurrent = false
	m.dirty = true
	m.delayRecords()
}

// appendTakeovers appends the records of provisional slots that have none.
func (m *Machine) appendTakeovers() {
	for !m.now.Before(m.takeovers.due) && m.outbox.hasRoom() {
		slots := m.nextTakeover()
		if len(slots) == 0 {
			return
		}
		from := m.takeovers.held[slots[0]].from
		rec := &table.Takeover{From: from, Service: m.self.Service}
		cited := map[ident.Incarnation]bool{}
		for _, n := range slots {
			st, _ := m.table.State(m.shard(n))
			rec.Slots = append(rec.Slots, table.Change{Slot: n, Replaces: st.Epoch})
			cited[from] = true
			if st.Successors[0] != m.self.Inc {
				cited[st.Successors[0]] = true
			}
		}
		for _, of := range slices.SortedFunc(maps.Keys(cited), ident.Incarnation.Compare) {
			rec.Votes = append(rec.Votes, m.citedVotes(of)...)
		}
		id := m.write(table.Record{Kind: table.KindTakeover, Takeover: rec})
		for _, n := range slots {
			p := m.takeovers.held[n]
			p.recordID = id
			m.takeovers.held[n] = p
		}
	}
}

// nextTakeover returns provisional slots of one former owner for the next
// record.
func (m *Machine) nextTakeover() []ident.Slot {
	if len(m.takeovers.held) == 0 {
		return nil
	}
	var slots []ident.Slot
	var from ident.Incarnation
	for _, n := range slices.Sorted(maps.Keys(m.takeovers.held)) {
		p := m.takeovers.held[n]
		if p.recordID != 0 || len(slots) > 0 && p.from != from || len(slots) >= table.MaxChanges {
			continue
		}
		from = p.from
		slots = append(slots, n)
	}
	return slots
}

// onTakeoverRecord retires the member if the stream has refused a slot that
// the member served. That would mean that the protocol is violated.
func (m *Machine) onTakeoverRecord(rec *table.Record) {
	m.takeovers.recheck = true
	m.slots.stale, m.slots.urgent = true, true
	m.dirty = true
	for _, ch := range rec.Takeover.Slots {
		p, ok := m.takeovers.held[ch.Slot]
		if !ok || p.recordID != rec.ID.N {
			continue
		}
		if st, _ := m.table.State(m.shard(ch.Slot)); st.Epoch == p.replaces {
			m.retire("takeover refused by the stream")
			return
		}
	}
}
