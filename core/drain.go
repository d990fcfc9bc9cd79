package core

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// giveUpLeases is how many leases' time a member that gives its slots up
// waits for the log before it has its witnesses vote.
const giveUpLeases = 1

func (m *Machine) drain() {
	if m.moves.draining {
		return
	}
	m.moves.draining = true
	m.moves.since = m.now
	m.emit(events.Event{Kind: events.KindDrain})
}

func (m *Machine) upstreamUp() {
	m.upstream = true
	m.share.up = m.now
	if m.moves.away {
		m.moves.away = false
		m.keepStopped()
	}
}

// keepStopped has the slots that were stopped for a lost upstream stay.
func (m *Machine) keepStopped() {
	for n, s := range m.moves.stops {
		s.to = ident.Incarnation{}
		m.moves.stops[n] = s
	}
}

func (m *Machine) upstreamDown() {
	m.upstream = false
	if m.moves.away || !m.lease.had {
		return
	}
	m.moves.away = true
	m.moves.since = m.now
	m.emit(events.Event{Kind: events.KindUpstream, Note: "lost"})
}

// giveUp hands all slots to others, while the member drains or its upstream
// is lost, and ends the incarnation when it holds nothing any more.
func (m *Machine) giveUp() {
	if !m.moves.draining && !m.moves.away {
		return
	}
	if !m.lease.asked {
		m.stopAll()
	}
	switch {
	case !m.allIdle():
	case m.lease.asked:
		m.askVotes()
	case m.hasNothing():
		m.finish()
	case m.number == nil && m.isLogLate():
		m.askVotes()
	}
}

// stopAll stops every slot that is still served, by taker.
func (m *Machine) stopAll() {
	byTaker := map[ident.Incarnation][]ident.Slot{}
	var order []ident.Incarnation
	for _, n := range m.held() {
		if _, stopped := m.moves.stops[n]; stopped {
			continue
		}
		to := m.taker(n)
		if _, known := byTaker[to]; !known {
			order = append(order, to)
		}
		byTaker[to] = append(byTaker[to], n)
	}
	for _, to := range order {
		m.stop(byTaker[to], to)
	}
	for _, n := range m.held() {
		if s, ok := m.moves.stops[n]; ok && s.to.IsZero() {
			s.to = m.taker(n)
			m.moves.stops[n] = s
		}
	}
}

// allIdle reports whether no work of any held slot is in flight.
func (m *Machine) allIdle() bool {
	for _, n := range m.held() {
		if s, ok := m.moves.stops[n]; !ok || !s.idle {
			return false
		}
	}
	return true
}

func (m *Machine) hasNothing() bool {
	return len(m.slots.owned) == 0 && len(m.takes.held) == 0 && m.number == nil &&
		!m.book.pending(table.KindClaim) && !m.book.pending(table.KindTakeover) &&
		!m.book.pending(table.KindWitnesses)
}

// isLogLate reports whether the log has kept the member from leaving for so
// long that votes are quicker.
func (m *Machine) isLogLate() bool {
	return !m.logUp && m.now.Sub(m.moves.since) >= giveUpLeases*m.timings.Lease
}

// finish leaves the stream. A member that lost its upstream comes back under
// a new incarnation, which is not ready before the upstream is.
func (m *Machine) finish() {
	if m.joinID == 0 || !m.table.Live(m.self.Inc) && !m.book.pending(table.KindJoin) {
		m.end("nothing to give up")
		return
	}
	if m.synced() && m.table.Live(m.self.Inc) {
		m.writeLeave()
	}
	if !m.logUp && m.now.Sub(m.moves.since) >= giveUpLeases*m.timings.Lease {
		m.end("left without the log")
	}
}

// writeLeave removes the member from the stream. It serves nothing from here
// on, whatever it may still be given, as successors go by the record.
func (m *Machine) writeLeave() {
	if m.moves.leave != 0 {
		return
	}
	m.moves.leave = m.write(table.Record{
		Kind:    table.KindLeave,
		Subject: &table.Subject{Inc: m.self.Inc},
	})
	m.dirty = true
	m.publish()
}

// nextPin returns the record of the next pin that was ordered.
func (m *Machine) nextPin() *numbered {
	for len(m.moves.pins) > 0 {
		in := m.moves.pins[0]
		m.moves.pins = m.moves.pins[1:]
		if n := m.pinRecord(in); n != nil {
			return n
		}
	}
	return nil
}

func (m *Machine) pinRecord(in PinOrder) *numbered {
	hashed, pinned := m.table.Slots(in.Service)
	if _, done := m.table.PinOf(in.Service, in.Hash); done || hashed == 0 {
		return nil
	}
	base := ident.SlotOfHash(in.Hash, hashed)
	st, _ := m.table.State(m.shard(base))
	if _, stopped := m.moves.stops[base]; stopped || st.Owner != m.self.Inc || !m.spend() {
		return nil
	}
	return &numbered{record: table.Record{Kind: table.KindPin, Pin: &table.Pin{
		Service: in.Service, Hash: in.Hash, Base: base, Replaces: st.Epoch,
		Slot: ident.Slot(hashed + pinned),
	}}}
}

// part notes where a pin of this member comes from.
func (m *Machine) part(p *table.Pin) {
	if m.moves.parted == nil {
		m.moves.parted = make(map[ident.Slot]parting)
	}
	m.moves.parted[p.Slot] = parting{base: p.Base, epoch: p.Replaces + 1}
}

// maxPinOrders bounds the pins that wait for their record.
const maxPinOrders = 16

func (m *Machine) pinOrder(in PinOrder) {
	if in.Service != m.self.Service || len(m.moves.pins) >= maxPinOrders ||
		slices.Contains(m.moves.pins, in) {
		return
	}
	m.moves.pins = append(m.moves.pins, in)
}

// evictOrder writes an eviction. The operator vouches that the evicted
// process runs no more, or that its upstream takes no more work under its
// grants: successors act as soon as they read the record, without waiting
// for the lease of the evicted member. An order that names no member is about
// all of them, see found.
func (m *Machine) evictOrder(in EvictOrder) {
	if in.Of.IsZero() {
		m.found(in)
		return
	}
	if !m.table.Live(in.Of) || !m.table.Live(m.self.Inc) || !m.book.room() {
		return
	}
	for _, e := range m.book.open {
		if e.record.Kind == table.KindEvict && e.record.Subject.Inc == in.Of {
			return
		}
	}
	m.write(table.Record{
		Kind:    table.KindEvict,
		Subject: &table.Subject{Inc: in.Of, Operator: in.Operator},
	})
}
