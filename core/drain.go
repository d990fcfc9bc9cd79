package core

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// logDownMultiple is how long a member that releases its slots waits for the
// log before it asks its witnesses to vote, as a multiple of Timings.Lease.
const logDownMultiple = 1

// onDrain starts to release all slots by an operator's order.
func (m *Machine) onDrain() {
	if m.moves.draining {
		return
	}
	m.moves.draining = true
	m.moves.since = m.now
	m.emit(events.Event{Kind: events.KindDrain})
}

// onUpstreamUp notes that the upstream takes requests. It cancels the release
// of slots that its loss had started.
func (m *Machine) onUpstreamUp() {
	m.upstream = true
	m.assignment.upstreamAt = m.now
	if m.moves.upstreamLost {
		m.moves.upstreamLost = false
		m.retainStopped()
	}
}

// retainStopped keeps the slots that were stopped after the loss of the
// upstream, instead of moving them.
func (m *Machine) retainStopped() {
	for n, s := range m.moves.stops {
		s.to = ident.Incarnation{}
		m.moves.stops[n] = s
	}
}

// onUpstreamDown starts to release all slots, as the upstream is lost.
func (m *Machine) onUpstreamDown() {
	m.upstream = false
	if m.moves.upstreamLost || !m.lease.acquired {
		return
	}
	m.moves.upstreamLost = true
	m.moves.since = m.now
	m.emit(events.Event{Kind: events.KindUpstream, Note: "lost"})
}

// releaseAll hands all slots to other members while the member drains or its
// upstream is lost. It ends the incarnation once no slot is left.
func (m *Machine) releaseAll() {
	if !m.moves.draining && !m.moves.upstreamLost {
		return
	}
	if !m.lease.votesAsked {
		m.stopAll()
	}
	switch {
	case !m.allIdle():
	case m.lease.votesAsked:
		m.requestVotes()
	case m.holdsNothing():
		m.leaveStream()
	case m.numbered == nil && m.isLogDownTooLong():
		m.requestVotes()
	}
}

// stopAll stops every slot that is still served, grouped by the member that
// receives it.
func (m *Machine) stopAll() {
	byRecipient := map[ident.Incarnation][]ident.Slot{}
	var order []ident.Incarnation
	for _, n := range m.heldSlots() {
		if _, stopped := m.moves.stops[n]; stopped {
			continue
		}
		to := m.recipient(n)
		if _, known := byRecipient[to]; !known {
			order = append(order, to)
		}
		byRecipient[to] = append(byRecipient[to], n)
	}
	for _, to := range order {
		m.stopSlots(byRecipient[to], to)
	}
	for _, n := range m.heldSlots() {
		if s, ok := m.moves.stops[n]; ok && s.to.IsZero() {
			s.to = m.recipient(n)
			m.moves.stops[n] = s
		}
	}
}

// allIdle reports whether no held slot has requests in flight.
func (m *Machine) allIdle() bool {
	for _, n := range m.heldSlots() {
		if s, ok := m.moves.stops[n]; !ok || !s.idle {
			return false
		}
	}
	return true
}

// holdsNothing reports whether the member holds no slot and no record under
// way can give it one.
func (m *Machine) holdsNothing() bool {
	return len(m.slots.owned) == 0 && len(m.takeovers.held) == 0 && m.numbered == nil &&
		!m.outbox.hasPending(table.KindClaim) && !m.outbox.hasPending(table.KindTakeover) &&
		!m.outbox.hasPending(table.KindWitnesses)
}

// isLogDownTooLong reports whether the log has kept the member from leaving
// for so long that votes of its witnesses are quicker.
func (m *Machine) isLogDownTooLong() bool {
	return !m.logUp && m.now.Sub(m.moves.since) >= logDownMultiple*m.timings.Lease
}

// leaveStream removes the member from the stream and ends the incarnation. A
// member that lost its upstream returns under a new incarnation, which is not
// ready before the upstream is.
func (m *Machine) leaveStream() {
	if m.joinID == 0 || !m.table.Live(m.self.Inc) && !m.outbox.hasPending(table.KindJoin) {
		m.end("no slots to release")
		return
	}
	if m.synced() && m.table.Live(m.self.Inc) {
		m.writeLeave()
	}
	if !m.logUp && m.now.Sub(m.moves.since) >= logDownMultiple*m.timings.Lease {
		m.end("left while the log was down")
	}
}

// writeLeave appends the record that removes the member from the stream. The
// member serves nothing from here on, even if slots are still assigned to it,
// as successors act on the record.
func (m *Machine) writeLeave() {
	if m.moves.leaveID != 0 {
		return
	}
	m.moves.leaveID = m.write(table.Record{
		Kind:    table.KindLeave,
		Removal: &table.Removal{Inc: m.self.Inc},
	})
	m.dirty = true
	m.publish()
}

// nextPin returns the record for the next pin order; nil when no order is
// left.
func (m *Machine) nextPin() *numberedRecord {
	for len(m.moves.pins) > 0 {
		in := m.moves.pins[0]
		m.moves.pins = m.moves.pins[1:]
		if n := m.pinRecord(in); n != nil {
			return n
		}
	}
	return nil
}

// pinRecord returns the record that pins a key. It returns nil when the key is
// pinned already, when its slot is stopped or owned by another member, or when
// the limit of appends is reached.
func (m *Machine) pinRecord(in PinOrder) *numberedRecord {
	hashed, pinned := m.table.Slots(in.Service)
	if _, done := m.table.PinOf(in.Service, in.Hash); done || hashed == 0 {
		return nil
	}
	base := ident.SlotOfHash(in.Hash, hashed)
	st, _ := m.table.State(m.shard(base))
	if _, stopped := m.moves.stops[base]; stopped || st.Owner != m.self.Inc || !m.allowAppend() {
		return nil
	}
	return &numberedRecord{record: table.Record{Kind: table.KindPin, Pin: &table.Pin{
		Service: in.Service, Hash: in.Hash, Base: base, Replaces: st.Epoch,
		Slot: ident.Slot(hashed + pinned),
	}}}
}

// noteOrigin records from which slot a pin of this member was split.
func (m *Machine) noteOrigin(p *table.Pin) {
	if m.moves.pinOrigins == nil {
		m.moves.pinOrigins = make(map[ident.Slot]pinOrigin)
	}
	m.moves.pinOrigins[p.Slot] = pinOrigin{base: p.Base, epoch: p.Replaces + 1}
}

// maxPinOrders bounds the pin orders that are queued.
const maxPinOrders = 16

// onPinOrder queues a pin order.
func (m *Machine) onPinOrder(in PinOrder) {
	if in.Service != m.self.Service || len(m.moves.pins) >= maxPinOrders ||
		slices.Contains(m.moves.pins, in) {
		return
	}
	m.moves.pins = append(m.moves.pins, in)
}

// onEvictOrder appends an eviction. The operator vouches that the evicted
// process has stopped, or that its upstream accepts no more requests under its
// grants: successors act as soon as they read the record, without waiting for
// the lease of the evicted member to expire. An order waits until this member
// is on the stream and may append. One that names no member is about all of
// them; see foundStream.
func (m *Machine) onEvictOrder(in EvictOrder) {
	if in.Of.IsZero() {
		m.foundStream(in)
		return
	}
	if len(m.evictions) < maxEvictOrders && !slices.Contains(m.evictions, in) {
		m.evictions = append(m.evictions, in)
	}
	m.appendEvictions()
}

// maxEvictOrders bounds the evict orders that wait.
const maxEvictOrders = 64

// appendEvictions appends the evictions that were ordered and drops the orders
// whose member has left the stream.
func (m *Machine) appendEvictions() {
	if !m.synced() {
		return
	}
	m.evictions = slices.DeleteFunc(m.evictions, func(in EvictOrder) bool { return !m.table.Live(in.Of) })
	for _, in := range m.evictions {
		if m.table.Live(m.self.Inc) && m.outbox.hasRoom() && !m.isEvicting(in.Of) {
			m.write(table.Record{
				Kind:    table.KindEvict,
				Removal: &table.Removal{Inc: in.Of, Operator: in.Operator},
			})
		}
	}
}

// isEvicting reports whether the record that evicts a member is under way.
func (m *Machine) isEvicting(of ident.Incarnation) bool {
	return slices.ContainsFunc(m.outbox.pending, func(e *pendingAppend) bool {
		return e.record.Kind == table.KindEvict && e.record.Removal.Inc == of
	})
}
