package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Machine is the decision code of one member. It is not safe for concurrent
// use, and it is deterministic: the same inputs at the same times give the
// same actions.
type Machine struct {
	self    table.Member
	timings Timings
	seed    uint64
	events  bool
	rng     *rand.Rand

	now     time.Time
	actions []Action
	ended   bool
	// retired is the reason why the member has stopped service, though it
	// remains a witness; empty while it serves.
	retired   string
	retiredAt time.Time
	// leaseEndedAt is when its last lease ended.
	leaseEndedAt time.Time
	// dirty is set when the view must be rendered again.
	dirty bool
	// routesChanged is set when slots have changed that the next view must
	// show.
	routesChanged bool

	table      *table.Table
	routeTable *table.View
	view       *View
	stream     streamState
	logUp      bool
	outbox     outbox
	lease      lease
	watch      watch
	ballots    ballots
	numbered   *numberedRecord
	roster     roster
	slots      slots
	takeovers  takeovers
	moves      moves
	// evictions are the evict orders whose members are still on the stream.
	evictions  []EvictOrder
	assignment assignment
	snapshots  snapshots

	upstream bool
	policies map[ident.Service]Policy
	// joinID and witnessesID are the id numbers of the member's join record
	// and of the record that first names its witnesses; zero until they are
	// appended. pendingWitnesses lists those witnesses until the record is
	// read back.
	joinID           uint64
	witnessesID      uint64
	pendingWitnesses []ident.Incarnation
}

// New returns the machine of a member that has not joined yet.
func New(self table.Member, opts ...Option) *Machine {
	m := &Machine{
		self:     self,
		timings:  DefaultTimings(),
		seed:     ident.HashKey(self.Inc.String()),
		events:   true,
		logUp:    true,
		table:    table.New(),
		policies: map[ident.Service]Policy{},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.rng = rand.New(rand.NewPCG(m.seed, m.seed))
	m.lease.peers = map[ident.Incarnation]*peerState{}
	m.ballots.byMember = map[ident.Incarnation]*ballot{}
	m.takeovers.held = map[ident.Slot]provisional{}
	m.moves.stops = map[ident.Slot]stoppedSlot{}
	m.assignment.joinedAt = map[ident.Incarnation]time.Time{}
	m.roster.stale = true
	m.view = m.render()
	return m
}

// Step handles one input at the given time and returns the actions to perform,
// in order. Times must carry a monotonic reading and must not go back. After a
// Halt or Drained action Step returns no more actions.
func (m *Machine) Step(now time.Time, in Input) []Action {
	if m.ended {
		return nil
	}
	m.actions = nil
	m.setTime(now)
	if !m.ended {
		m.handle(in)
	}
	m.publish()
	return m.actions
}

// View returns the current view.
func (m *Machine) View() *View { return m.view }

// Export returns the table as chunks for a peer that can't read the log; none
// when the machine has no table yet.
func (m *Machine) Export() ([]table.Chunk, error) {
	if !m.stream.hasBase || m.table.Next() == 0 {
		return nil, nil
	}
	return m.table.Snapshot(m.table.Next() - 1)
}

// setTime sets the current time and handles the expiry of the lease. If no
// input came for more than half a lease, the process was paused; the pause
// does not count against the members that it watches.
func (m *Machine) setTime(now time.Time) {
	gap := now.Sub(m.now)
	if !m.now.IsZero() && gap > m.timings.Lease/2 {
		m.watch.discountPause(gap)
	}
	m.now = now
	if m.lease.acquired && !now.Before(m.lease.end) {
		m.expireLease()
	}
}

// expireLease retires the member after its lease has expired.
func (m *Machine) expireLease() {
	m.emit(events.Event{Kind: events.KindLapse})
	m.retire("lease ran out")
}

// retire stops all service for good. The member remains a witness for a while,
// so that the members that have named it can replace it first; otherwise the
// loss of two hosts could end the leases of more and more others. It remains
// while the log is down, as a new incarnation could not join.
func (m *Machine) retire(reason string) {
	if m.retired != "" {
		return
	}
	m.retired, m.retiredAt, m.leaseEndedAt = reason, m.now, m.lease.end
	m.lease.end, m.lease.acquired = time.Time{}, false
	m.dirty = true
	if m.isDrained() {
		m.end(reason)
		return
	}
	m.emit(events.Event{Kind: events.KindRestart, Note: reason})
	m.runRetired()
}

// runRetired performs the duties of a retired member. The grants of its
// upstream end with its lease, so after that the member appends its leave
// record, once the fences that need its own votes are on the stream.
func (m *Machine) runRetired() {
	m.checkWatched()
	if m.synced() {
		m.appendFences()
		if m.table.Live(m.self.Inc) && !m.now.Before(m.leaseEndedAt) && !m.outbox.hasPending(table.KindLeave) {
			m.writeLeave()
		}
		m.retryAppends()
	}
	since := m.retiredAt
	if m.moves.since.After(since) {
		since = m.moves.since
	}
	elapsed := m.now.Sub(since)
	done := elapsed >= m.timings.Lease && !m.isWitnessNeeded() || elapsed >= retiredMultiple*m.timings.Lease
	if m.logUp && done || m.isDrained() {
		m.end(m.retired)
	}
}

// isDrained reports whether a retired member that drains has no duties left.
// While it is on the stream, its slots wait for its leave record, unless the
// log is down and the record can't be appended.
func (m *Machine) isDrained() bool {
	return m.moves.draining && m.allIdle() && (!m.logUp || !m.table.Live(m.self.Inc))
}

// isWitnessNeeded reports whether some member that renews its lease with this
// one has named it as a witness and has not replaced it yet.
func (m *Machine) isWitnessNeeded() bool {
	for _, w := range m.watch.list {
		if m.isWitnessOf(w.inc) && m.table.Live(w.inc) && !w.voted && m.now.Sub(w.heardAt) <= 2*m.timings.RenewInterval {
			return true
		}
	}
	return false
}

// isWitnessOf reports whether this member is among the witnesses of another.
func (m *Machine) isWitnessOf(of ident.Incarnation) bool {
	return slices.Contains(m.table.Witnesses(of), m.self.Inc)
}

// handle dispatches an input.
func (m *Machine) handle(in Input) {
	switch in := in.(type) {
	case Tick:
		m.runDuties()
	case Received:
		m.onMessage(&in.Message)
	case StreamRecord:
		m.onRecord(in)
	case CaughtUp:
		m.onCaughtUp(in)
	case Gap:
		m.onGap(in)
	case LogState:
		m.onLogState(in)
	default:
		m.handleOrder(in)
		m.runDuties()
	}
}

// handleOrder dispatches the inputs that come from the daemon, the settings or
// an operator.
func (m *Machine) handleOrder(in Input) {
	switch in := in.(type) {
	case UpstreamUp:
		m.onUpstreamUp()
	case UpstreamDown:
		m.onUpstreamDown()
	case Policy:
		m.policies[in.Service] = in
		m.roster.stale = true
	case Idle:
		m.onIdle(in)
	case Drain:
		m.onDrain()
	case MoveOrder:
		m.onMoveOrder(in)
	case PinOrder:
		m.onPinOrder(in)
	case EvictOrder:
		m.onEvictOrder(in)
	}
}

// onMessage dispatches a control message. It ignores messages to other
// incarnations and from itself.
func (m *Machine) onMessage(msg *wire.Message) {
	if msg.To != m.self.Inc || msg.From == m.self.Inc {
		return
	}
	switch {
	case msg.Renew != nil:
		m.onRenew(msg.From, msg.Renew)
	case msg.Grant != nil:
		m.onGrant(msg.From, msg.Grant)
	case msg.Fenced != nil:
		m.onFenced(msg.From)
	case msg.Vote != nil:
		m.onVote(msg.From, msg.Vote)
	case msg.VoteAsk != nil:
		m.onVoteAsk(msg.From, msg.VoteAsk)
	case msg.Evict != nil && !msg.Evict.Of.IsZero():
		m.onEvictOrder(EvictOrder{Of: msg.Evict.Of, Operator: msg.Evict.Operator})
	}
}

// runDuties performs all duties that are due.
func (m *Machine) runDuties() {
	if !m.stream.hasBase {
		m.writeChunks()
		return
	}
	m.rescan()
	m.refreshRoster()
	m.dirty, m.routesChanged = m.dirty || m.routesChanged, false
	if m.retired != "" {
		m.runRetired()
		return
	}
	m.renew()
	m.checkWatched()
	m.takeOver()
	m.releaseAll()
	m.cancelStalledMoves()
	if m.ended || !m.synced() {
		return
	}
	m.join()
	m.appendEvictions()
	m.nameWitnesses()
	m.appendTakeovers()
	m.appendFences()
	m.advanceNumbered()
	m.declareService()
	m.claimSlots()
	m.rebalance()
	m.writeSnapshot()
	m.retryAppends()
}

// synced reports whether the stream has been read to its end and the log is
// available, so that records can be appended.
func (m *Machine) synced() bool { return m.stream.hasBase && m.stream.caughtUp && m.logUp }

// hasLease reports whether the member has a valid lease.
func (m *Machine) hasLease() bool { return m.now.Before(m.lease.end) }

// end stops all service and ends the incarnation. A draining member without
// requests in flight reports Drained, any other Halt.
func (m *Machine) end(reason string) {
	m.ended = true
	m.dirty = true
	m.lease.end = time.Time{}
	m.publish()
	if m.moves.draining && m.allIdle() {
		m.emit(events.Event{Kind: events.KindLeave, Note: reason})
		m.do(Drained{})
		return
	}
	m.do(Halt{Reason: reason})
}

// do adds an action to the result of the current Step.
func (m *Machine) do(a Action) { m.actions = append(m.actions, a) }

// send sends a control message to another member.
func (m *Machine) send(to ident.Incarnation, msg wire.Message) {
	msg.From, msg.To = m.self.Inc, to
	m.do(Send{To: to, Message: msg})
}

// emit reports an event if events are enabled.
func (m *Machine) emit(e events.Event) {
	if m.events {
		m.do(Emit{Event: e})
	}
}

// emitSlots reports an event about slots of the member's service, if there are
// any.
func (m *Machine) emitSlots(e events.Event, list []ident.Slot) {
	if !m.events || len(list) == 0 {
		return
	}
	e.Service = m.self.Service
	e.First, e.Last, e.Count = list[0], list[len(list)-1], len(list)
	e.Slots = events.EncodeSlots(list)
	m.do(Emit{Event: e})
}

// shard returns the shard of a slot of the member's service.
func (m *Machine) shard(n ident.Slot) ident.Shard { return ident.NewShard(m.self.Service, n) }
