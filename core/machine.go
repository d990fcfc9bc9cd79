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

	now   time.Time
	out   []Action
	ended bool
	// retired is why the member serves no more, though it still is a witness.
	retired   string
	retiredAt time.Time
	// outAt is when its last lease ended.
	outAt time.Time
	dirty bool
	// routes is set when slots changed that the next view must show.
	routes bool

	table   *table.Table
	route   *table.View
	view    *View
	boot    boot
	logUp   bool
	book    book
	lease   lease
	watch   watch
	ballots ballots
	number  *numbered
	roster  roster
	slots   slots
	takes   takes
	moves   moves
	share   share
	snaps   snaps

	upstream bool
	policies map[ident.Service]Policy
	joinID   uint64
	nameID   uint64
	named    []ident.Incarnation
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
	m.lease.peers = map[ident.Incarnation]*peer{}
	m.ballots.byMember = map[ident.Incarnation]*ballot{}
	m.takes.held = map[ident.Slot]provisional{}
	m.moves.stops = map[ident.Slot]stop{}
	m.share.joiners = map[ident.Incarnation]time.Time{}
	m.roster.stale = true
	m.view = m.render()
	return m
}

// Step takes one input at the given time and returns what is to be done, in
// order. Times must carry a monotonic reading and must not go back. After a
// Halt or Left action it returns nothing any more.
func (m *Machine) Step(now time.Time, in Input) []Action {
	if m.ended {
		return nil
	}
	m.out = nil
	m.begin(now)
	if !m.ended {
		m.take(in)
	}
	m.publish()
	return m.out
}

// View returns the current view.
func (m *Machine) View() *View { return m.view }

// Export returns the table in chunks for a peer that can't read the log; none
// when the machine has no table yet.
func (m *Machine) Export() ([]table.Chunk, error) {
	if !m.boot.based || m.table.Next() == 0 {
		return nil, nil
	}
	return m.table.Snapshot(m.table.Next() - 1)
}

// begin notes the time, and what its passing alone has changed.
func (m *Machine) begin(now time.Time) {
	gap := now.Sub(m.now)
	if !m.now.IsZero() && gap > m.timings.Lease/2 {
		m.watch.excuse(gap)
	}
	m.now = now
	if m.lease.had && !now.Before(m.lease.end) {
		m.lapse()
	}
}

// lapse ends the incarnation after its lease.
func (m *Machine) lapse() {
	m.emit(events.Event{Kind: events.KindLapse})
	m.retire("lease ran out")
}

// retire stops all service for good. The member stays a witness for a while,
// so that those who name it can replace it first; otherwise the loss of two
// hosts could take the leases of more and more others. While the log is down
// it stays, as a new incarnation could not join.
func (m *Machine) retire(reason string) {
	if m.retired != "" {
		return
	}
	m.retired, m.retiredAt, m.outAt = reason, m.now, m.lease.end
	m.lease.end, m.lease.had = time.Time{}, false
	m.dirty = true
	if m.isDrained() {
		m.end(reason)
		return
	}
	m.emit(events.Event{Kind: events.KindRestart, Note: reason})
	m.rest()
}

// rest does what is left to a retired member. The grants of its upstream were
// bounded by its lease, so after that it says on the stream that it is out,
// once the fences are there that need its own votes.
func (m *Machine) rest() {
	m.checkWatch()
	if m.synced() {
		m.logFences()
		if m.table.Live(m.self.Inc) && !m.now.Before(m.outAt) && !m.book.pending(table.KindLeave) {
			m.writeLeave()
		}
		m.retry()
	}
	since := m.retiredAt
	if m.moves.since.After(since) {
		since = m.moves.since
	}
	rested := m.now.Sub(since)
	done := rested >= m.timings.Lease && !m.isNeeded() || rested >= restLeases*m.timings.Lease
	if m.logUp && done || m.isDrained() {
		m.end(m.retired)
	}
}

// isDrained reports whether a retired member that drains has nothing left to
// do. While it is on the stream its slots wait for it to say that it is out,
// unless there is no log to say it to.
func (m *Machine) isDrained() bool {
	return m.moves.draining && m.allIdle() && (!m.logUp || !m.table.Live(m.self.Inc))
}

// isNeeded reports whether some member that renews its lease here has named
// this one as a witness and has not replaced it yet.
func (m *Machine) isNeeded() bool {
	for _, w := range m.watch.list {
		if m.isNamer(w.inc) && m.table.Live(w.inc) && !w.voted && m.now.Sub(w.heard) <= 2*m.timings.Renew {
			return true
		}
	}
	return false
}

// isNamer reports whether a member has this one among its witnesses.
func (m *Machine) isNamer(of ident.Incarnation) bool {
	return slices.Contains(m.table.Witnesses(of), m.self.Inc)
}

func (m *Machine) take(in Input) {
	switch in := in.(type) {
	case Tick:
		m.work()
	case Received:
		m.receive(&in.Message)
	case Logged:
		m.logged(in)
	case CaughtUp:
		m.caughtUp(in)
	case Gap:
		m.gap(in)
	case LogState:
		m.logState(in)
	default:
		m.order(in)
		m.work()
	}
}

// order takes what the daemon, the settings or an operator says.
func (m *Machine) order(in Input) {
	switch in := in.(type) {
	case UpstreamUp:
		m.upstreamUp()
	case UpstreamDown:
		m.upstreamDown()
	case Policy:
		m.policies[in.Service] = in
		m.roster.stale = true
	case Idle:
		m.idle(in)
	case Drain:
		m.drain()
	case MoveOrder:
		m.moveOrder(in)
	case PinOrder:
		m.pinOrder(in)
	case EvictOrder:
		m.evictOrder(in)
	}
}

func (m *Machine) receive(msg *wire.Message) {
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
		m.evictOrder(EvictOrder{Of: msg.Evict.Of, Operator: msg.Evict.Operator})
	}
}

// work does all duties that are due.
func (m *Machine) work() {
	if !m.boot.based {
		m.writeChunks()
		return
	}
	m.rescan()
	m.refreshRoster()
	m.dirty, m.routes = m.dirty || m.routes, false
	if m.retired != "" {
		m.rest()
		return
	}
	m.renew()
	m.checkWatch()
	m.takeOver()
	m.giveUp()
	m.takeBack()
	if m.ended || !m.synced() {
		return
	}
	m.join()
	m.nameWitnesses()
	m.appendTakeovers()
	m.logFences()
	m.advance()
	m.declare()
	m.claim()
	m.spread()
	m.snapshot()
	m.retry()
}

// synced reports whether the stream has been read to its end and the log
// answers, so that appends make sense.
func (m *Machine) synced() bool { return m.boot.based && m.boot.caught && m.logUp }

// holds reports whether the member has a lease.
func (m *Machine) holds() bool { return m.now.Before(m.lease.end) }

// end stops all service and ends the incarnation. A member that drains has
// left when nothing of its work is in flight.
func (m *Machine) end(reason string) {
	m.ended = true
	m.dirty = true
	m.lease.end = time.Time{}
	m.publish()
	if m.moves.draining && m.allIdle() {
		m.emit(events.Event{Kind: events.KindLeave, Note: reason})
		m.do(Left{})
		return
	}
	m.do(Halt{Reason: reason})
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) send(to ident.Incarnation, msg wire.Message) {
	msg.From, msg.To = m.self.Inc, to
	m.do(Send{To: to, Message: msg})
}

func (m *Machine) emit(e events.Event) {
	if m.events {
		m.do(Emit{Event: e})
	}
}

// emitSlots reports an event about slots of the member's service.
func (m *Machine) emitSlots(e events.Event, list []ident.Slot) {
	if !m.events || len(list) == 0 {
		return
	}
	e.Service = m.self.Service
	e.First, e.Last, e.Count = list[0], list[len(list)-1], len(list)
	e.Slots = events.Pack(list)
	m.do(Emit{Event: e})
}

func (m *Machine) shard(n ident.Slot) ident.Shard { return ident.NewShard(m.self.Service, n) }
