package core

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// stoppedSlot is a slot on which the member accepts no new requests.
type stoppedSlot struct {
	epoch ident.Epoch
	// to is the member that receives the slot; zero when the slot stays and is
	// to be given a new epoch.
	to   ident.Incarnation
	idle bool
	// number is that of the Stop sent to the daemon, at the time since.
	number uint64
	since  time.Time
}

// stopTimeout is how long a slot that moves for load may wait for its calls in
// flight. A call that hangs must not leave the other keys of the slot unserved
// until its deadline.
const stopTimeout = time.Second

// moves holds the stopped slots, and whether the member releases all its
// slots.
type moves struct {
	stops    map[ident.Slot]stoppedSlot
	draining bool
	// upstreamLost is set while the upstream is lost; since is when the member
	// began to release its slots, or when the log last changed its state.
	upstreamLost bool
	since        time.Time
	// lastStop is the number of the latest Stop.
	lastStop uint64
	pins     []PinOrder
	// pinOrigins holds the pins that this member has split from slots of its
	// own.
	pinOrigins map[ident.Slot]pinOrigin
	// leaveID is the id number of the member's leave record; zero while there
	// is none.
	leaveID uint64
}

// pinOrigin is the slot that a pin was split from, and the first epoch of the
// pin.
type pinOrigin struct {
	base  ident.Slot
	epoch ident.Epoch
}

// onMoveOrder stops slots that are to move to another member.
func (m *Machine) onMoveOrder(in MoveOrder) {
	if in.Service != m.self.Service || in.To == m.self.Inc || !m.isReady(in.To) {
		return
	}
	var list []ident.Slot
	for _, n := range in.Slots {
		if _, owned := slices.BinarySearch(m.slots.owned, n); owned {
			list = append(list, n)
		}
	}
	m.stopSlots(list, in.To)
}

// isReady reports whether a member can receive slots: it is live, serves the
// same service, has witnesses and is not suspected.
func (m *Machine) isReady(inc ident.Incarnation) bool {
	member, ok := m.table.Member(inc)
	return ok && m.table.Live(inc) && m.table.Witnesses(inc) != nil &&
		member.Service == m.self.Service && !m.isSuspect(inc)
}

// stopSlots ends new requests on slots. Their service ends with the next view,
// before a sequence number is announced.
func (m *Machine) stopSlots(list []ident.Slot, to ident.Incarnation) {
	m.moves.lastStop++
	act := Stop{To: to, Number: m.moves.lastStop}
	var stopped []ident.Slot
	for _, n := range list {
		epoch, held := m.heldEpoch(n)
		if _, already := m.moves.stops[n]; already || !held || m.isEpochChanging(n) {
			continue
		}
		m.moves.stops[n] = stoppedSlot{epoch: epoch, to: to, number: act.Number, since: m.now}
		stopped = append(stopped, n)
		act.Shards = append(act.Shards, m.shard(n))
	}
	if len(stopped) == 0 {
		return
	}
	m.emitSlots(events.Event{Kind: events.KindStop, Member: to}, stopped)
	m.slots.listCurrent = false
	m.dirty = true
	m.publish()
	m.do(act)
}

// isEpochChanging reports whether a record under way changes the epoch of a
// slot. Such a slot is stopped later, so that its journal is handed over under
// the epoch that the move replaces.
func (m *Machine) isEpochChanging(n ident.Slot) bool {
	if m.numbered == nil || m.numbered.record.Changes == nil {
		return false
	}
	return slices.ContainsFunc(m.numbered.record.Changes.Slots, func(ch table.Change) bool { return ch.Slot == n })
}

// cancelStalledMoves resumes service on slots that were to move for load but
// whose calls in flight do not end within stopTimeout. No record about them
// has been announced yet: that waits for the calls to end.
func (m *Machine) cancelStalledMoves() {
	if m.moves.draining || m.moves.upstreamLost {
		return
	}
	var back []ident.Slot
	for n, s := range m.moves.stops {
		if !s.idle && !s.to.IsZero() && m.now.Sub(s.since) >= stopTimeout {
			back = append(back, n)
		}
	}
	if len(back) == 0 {
		return
	}
	slices.Sort(back)
	for _, n := range back {
		delete(m.moves.stops, n)
	}
	m.emitSlots(events.Event{Kind: events.KindStop, Note: "move cancelled, calls in flight do not end"}, back)
	m.slots.listCurrent = false
	m.dirty = true
}

// onIdle marks stopped slots that have no requests in flight any more.
func (m *Machine) onIdle(in Idle) {
	for _, shard := range in.Shards {
		if s, ok := m.moves.stops[shard.Slot]; ok && shard.Service == m.self.Service && s.number == in.Number {
			s.idle = true
			m.moves.stops[shard.Slot] = s
		}
	}
}

// nextMove returns a record that moves idle slots to one member; nil when
// there are none. If the receiving member is no longer ready, a member that
// releases all its slots chooses another one; otherwise the slot stays and is
// given a new epoch.
func (m *Machine) nextMove() *numberedRecord {
	if len(m.moves.stops) == 0 {
		return nil
	}
	var to ident.Incarnation
	var list []table.Change
	for _, n := range slices.Sorted(maps.Keys(m.moves.stops)) {
		s := m.moves.stops[n]
		if !s.idle || s.to.IsZero() || !m.owns(n) || len(list) >= table.MaxChanges {
			continue
		}
		if !m.isReady(s.to) {
			s.to = m.otherRecipient(n)
			m.moves.stops[n] = s
		}
		if s.to.IsZero() || len(list) > 0 && s.to != to {
			continue
		}
		to = s.to
		st, _ := m.table.State(m.shard(n))
		list = append(list, table.Change{
			Slot: n, Replaces: s.epoch, Successors: m.successors(n, to, m.without(st.Successors, to)),
		})
	}
	if len(list) == 0 {
		return nil
	}
	return m.changesRecord(table.KindMove, to, list)
}

// without clears inc and the member itself from a list of successors.
func (m *Machine) without(list [2]ident.Incarnation, inc ident.Incarnation) [2]ident.Incarnation {
	for i := range list {
		if list[i] == inc || list[i] == m.self.Inc {
			list[i] = ident.Incarnation{}
		}
	}
	return list
}

// owns reports whether the member owns a slot by the table.
func (m *Machine) owns(n ident.Slot) bool {
	st, ok := m.table.State(m.shard(n))
	return ok && st.Owner == m.self.Inc
}

// otherRecipient returns another member for a slot whose move has failed; zero
// when the slot can stay, as the member does not release all its slots.
func (m *Machine) otherRecipient(n ident.Slot) ident.Incarnation {
	if !m.moves.draining && !m.moves.upstreamLost {
		return ident.Incarnation{}
	}
	return m.recipient(n)
}

// recipient returns the member that a slot moves to: its first successor that
// is ready, or else the best candidate; zero when there is none.
func (m *Machine) recipient(n ident.Slot) ident.Incarnation {
	st, _ := m.table.State(m.shard(n))
	for _, inc := range st.Successors {
		if !inc.IsZero() && inc != m.self.Inc && m.isReady(inc) {
			return inc
		}
	}
	c, ok := m.bestCandidate(n, m.eligible(), func(c *candidate) bool {
		return c.Inc != m.self.Inc && m.isReady(c.Inc)
	})
	if !ok {
		return ident.Incarnation{}
	}
	return c.Inc
}

// nextEpochBump returns a record that gives idle slots that stay a new epoch;
// nil when there are none. The slots are not served until the record has been
// read back.
func (m *Machine) nextEpochBump() *numberedRecord {
	if m.moves.draining || m.moves.upstreamLost || len(m.moves.stops) == 0 {
		return nil
	}
	var list []table.Change
	for _, n := range slices.Sorted(maps.Keys(m.moves.stops)) {
		s := m.moves.stops[n]
		if !s.idle || !s.to.IsZero() || !m.owns(n) || len(list) >= table.MaxChanges {
			continue
		}
		st, _ := m.table.State(m.shard(n))
		list = append(list, table.Change{
			Slot: n, Replaces: s.epoch, Successors: m.successors(n, m.self.Inc, st.Successors),
		})
	}
	if len(list) == 0 {
		return nil
	}
	return m.changesRecord(table.KindSuccessors, ident.Incarnation{}, list)
}

// onMoveRecord handles a move record that was read back. Slots whose move was
// void stay stopped until a record moves them or gives them a new epoch.
func (m *Machine) onMoveRecord(rec *table.Record) {
	var moved []ident.Slot
	for _, ch := range rec.Changes.Slots {
		s, ok := m.moves.stops[ch.Slot]
		st, _ := m.table.State(m.shard(ch.Slot))
		switch {
		case !ok:
		case st.Epoch == s.epoch && st.Owner == m.self.Inc:
			s.to = m.otherRecipient(ch.Slot)
			m.moves.stops[ch.Slot] = s
		default:
			moved = append(moved, ch.Slot)
		}
	}
	m.emitSlots(events.Event{Kind: events.KindMove, Member: rec.Changes.To}, moved)
}
