package core

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// stop is a slot on which the member has stopped new work.
type stop struct {
	epoch ident.Epoch
	// to is the taker; none when the slot stays and is to be renamed.
	to   ident.Incarnation
	idle bool
	// number names the Stop that the daemon was given, at the time since.
	number uint64
	since  time.Time
}

// stopPatience is how long a slot that moves for load may wait for its calls. A
// call that hangs must not keep its neighbours' keys without service until its
// deadline.
const stopPatience = time.Second

// moves holds the slots that are stopped, and whether the member gives
// everything up.
type moves struct {
	stops    map[ident.Slot]stop
	draining bool
	// away is set while the upstream is lost; since is when the member began
	// to give its slots up, or when the log last changed its state.
	away  bool
	since time.Time
	// number is that of the last Stop.
	number uint64
	pins   []PinOrder
	// parted holds the pins that this member has parted from slots of its own.
	parted map[ident.Slot]parting
	leave  uint64
}

// parting is where a pin comes from, and its first epoch.
type parting struct {
	base  ident.Slot
	epoch ident.Epoch
}

// moveOrder stops slots that are to go to another member.
func (m *Machine) moveOrder(in MoveOrder) {
	if in.Service != m.self.Service || in.To == m.self.Inc || !m.isReady(in.To) {
		return
	}
	var list []ident.Slot
	for _, n := range in.Slots {
		if _, owned := slices.BinarySearch(m.slots.owned, n); owned {
			list = append(list, n)
		}
	}
	m.stop(list, in.To)
}

// isReady reports whether a member can be given slots.
func (m *Machine) isReady(inc ident.Incarnation) bool {
	member, ok := m.table.Member(inc)
	return ok && m.table.Live(inc) && m.table.Witnesses(inc) != nil &&
		member.Service == m.self.Service && !m.isSuspect(inc)
}

// stop ends new work on slots. Service on them ends with the next view,
// before any number is announced.
func (m *Machine) stop(list []ident.Slot, to ident.Incarnation) {
	m.moves.number++
	act := Stop{To: to, Number: m.moves.number}
	var stopped []ident.Slot
	for _, n := range list {
		epoch, held := m.holding(n)
		if _, already := m.moves.stops[n]; already || !held || m.isRenaming(n) {
			continue
		}
		m.moves.stops[n] = stop{epoch: epoch, to: to, number: act.Number, since: m.now}
		stopped = append(stopped, n)
		act.Shards = append(act.Shards, m.shard(n))
	}
	if len(stopped) == 0 {
		return
	}
	m.emitSlots(events.Event{Kind: events.KindStop, Member: to}, stopped)
	m.slots.listed = false
	m.dirty = true
	m.publish()
	m.do(act)
}

// isRenaming reports whether a record under way changes the epoch of a slot.
// Such a slot is stopped later, so that its journal leaves under the epoch
// that the move replaces.
func (m *Machine) isRenaming(n ident.Slot) bool {
	if m.number == nil || m.number.record.Changes == nil {
		return false
	}
	return slices.ContainsFunc(m.number.record.Changes.Slots, func(ch table.Change) bool { return ch.Slot == n })
}

// takeBack serves slots again that were to move for load and have calls in flight
// that do not end. No record about them was announced: that waits for the calls.
func (m *Machine) takeBack() {
	if m.moves.draining || m.moves.away {
		return
	}
	var back []ident.Slot
	for n, s := range m.moves.stops {
		if !s.idle && !s.to.IsZero() && m.now.Sub(s.since) >= stopPatience {
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
	m.emitSlots(events.Event{Kind: events.KindStop, Note: "taken back, calls in flight do not end"}, back)
	m.slots.listed = false
	m.dirty = true
}

// idle notes slots whose work has ended.
func (m *Machine) idle(in Idle) {
	for _, shard := range in.Shards {
		if s, ok := m.moves.stops[shard.Slot]; ok && shard.Service == m.self.Service && s.number == in.Number {
			s.idle = true
			m.moves.stops[shard.Slot] = s
		}
	}
}

// nextMove returns a record for idle slots that go to one taker. Slots whose
// taker has gone are given to another, or renamed when nobody is there.
func (m *Machine) nextMove() *numbered {
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
			s.to = m.otherTaker(n)
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
	return m.changes(table.KindMove, to, list)
}

func (m *Machine) without(list [2]ident.Incarnation, inc ident.Incarnation) [2]ident.Incarnation {
	for i := range list {
		if list[i] == inc || list[i] == m.self.Inc {
			list[i] = ident.Incarnation{}
		}
	}
	return list
}

// owns reports whether the stream has the member as owner of a slot.
func (m *Machine) owns(n ident.Slot) bool {
	st, ok := m.table.State(m.shard(n))
	return ok && st.Owner == m.self.Inc
}

// otherTaker returns who else may have a slot that the member gives up; none
// when the slot may as well stay.
func (m *Machine) otherTaker(n ident.Slot) ident.Incarnation {
	if !m.moves.draining && !m.moves.away {
		return ident.Incarnation{}
	}
	return m.taker(n)
}

// taker returns the first successor of a slot that is ready, or else the best
// candidate.
func (m *Machine) taker(n ident.Slot) ident.Incarnation {
	st, _ := m.table.State(m.shard(n))
	for _, inc := range st.Successors {
		if !inc.IsZero() && inc != m.self.Inc && m.isReady(inc) {
			return inc
		}
	}
	c, ok := m.best(n, m.eligible(), func(c *candidate) bool {
		return c.Inc != m.self.Inc && m.isReady(c.Inc)
	})
	if !ok {
		return ident.Incarnation{}
	}
	return c.Inc
}

// nextRename restates idle slots that stay, under a new epoch. Until then
// they are not served.
func (m *Machine) nextRename() *numbered {
	if m.moves.draining || m.moves.away || len(m.moves.stops) == 0 {
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
	return m.changes(table.KindSuccessors, ident.Incarnation{}, list)
}

// moveRead marks slots whose move proved void. They stay stopped until a
// record renames them.
func (m *Machine) moveRead(rec *table.Record) {
	var moved []ident.Slot
	for _, ch := range rec.Changes.Slots {
		s, ok := m.moves.stops[ch.Slot]
		st, _ := m.table.State(m.shard(ch.Slot))
		switch {
		case !ok:
		case st.Epoch == s.epoch && st.Owner == m.self.Inc:
			s.to = m.otherTaker(ch.Slot)
			m.moves.stops[ch.Slot] = s
		default:
			moved = append(moved, ch.Slot)
		}
	}
	m.emitSlots(events.Event{Kind: events.KindMove, Member: rec.Changes.To}, moved)
}
