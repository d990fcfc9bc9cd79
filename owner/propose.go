package owner

import (
	"math"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/plan"
)

const (
	// joinWait is how long keys without an owner wait for members that are
	// still joining. bootstrapWait is how long the first assignment of all keys
	// waits for the upstreams of all daemons of the service: no key is served
	// before it, and none has to move after it.
	joinWait      = time.Second
	bootstrapWait = 2500 * time.Millisecond
	// turnDelay is how long each further member in line waits before it does a
	// duty that another member should do first.
	turnDelay = 400 * time.Millisecond
	// raceBackoff spreads the retries of members that lost a race for a
	// version. It is multiplied by the number of daemons of the service: a
	// write takes about that long.
	raceBackoff = 12 * time.Millisecond
	// minWriteInterval is the minimum time between two writes of the designated
	// writer. Requests that arrive meanwhile go into one version, since all
	// members must read each version.
	minWriteInterval = 80 * time.Millisecond
	// retryDelay is the mean time before a write that was refused or not
	// answered is repeated.
	retryDelay = 250 * time.Millisecond
)

// Tick advances the machine to the given time and the given state of the fleet,
// and returns the actions that are due.
func (m *Machine) Tick(now time.Time, live []gossip.Entry) Actions {
	if !m.now.IsZero() {
		m.discountPause(now.Sub(m.now))
	}
	m.live, m.now = live, now
	a := Actions{Messages: m.renew(now)}
	a.Messages = append(a.Messages, m.requestVotes(now)...)
	a.Messages = append(a.Messages, m.requestWrites(now)...)
	if m.planMoves(now) {
		a.SendGrant = true
	}
	switch {
	case m.proposal != nil || !m.hasTable || now.Before(m.proposeAfter):
	case m.awaitsNewerTable(now):
		a.Refresh = m.mayPropose(now)
	case m.isOutdated():
		a.Proposal, a.ReadStore = m.proposeRewrite(now)
		m.proposal = a.Proposal
	default:
		a.Proposal = m.propose(now)
		m.proposal = a.Proposal
	}
	a.Notes, m.notes = m.notes, nil
	return a
}

// RecordOutcome records the outcome of a proposal. After Lost the caller must read
// the table again.
func (m *Machine) RecordOutcome(now time.Time, proposal *atlas.Table, outcome Outcome) {
	if m.proposal != proposal {
		return
	}
	switch outcome {
	case Written:
		m.Read(now, proposal)
		if m.designatedWriter() == m.host {
			m.proposeAfter = now.Add(minWriteInterval)
		}
	case Lost:
		m.proposal = nil
		spread := raceBackoff
		if m.designatedWriter() != m.host {
			spread *= time.Duration(max(1, m.countWriters()))
		}
		m.proposeAfter = now.Add(time.Duration(m.rng.Int64N(int64(spread) + 1)))
	case Refused, Unknown:
		m.proposal = nil
		m.proposeAfter = now.Add(retryDelay/2 + time.Duration(m.rng.Int64N(int64(retryDelay))))
	}
}

// mayPropose reports whether the member may have a change to propose. It may
// return true when there is none; then the table is only read once more.
func (m *Machine) mayPropose(now time.Time) bool {
	return m.isRecovering() || m.mustWriteHandovers(now) || len(m.unconfirmedSpans()) > 0 || len(m.requests) > 0 || len(m.suspects) > 0 ||
		!m.unownedSince.IsZero() || m.holdsNothing(now) || m.IsMember() != m.canOwnKeys() || m.needsWitnesses(now) || len(m.refusedRanges()) > 0
}

// countWriters returns the number of live daemons of the service, each of which
// may write the table.
func (m *Machine) countWriters() int {
	n := 0
	for _, e := range m.live {
		if e.Service == m.service {
			n++
		}
	}
	return n
}

// propose returns the next version of the table, or nil if nothing has to
// change.
func (m *Machine) propose(now time.Time) *atlas.Table {
	c := m.table.Change()
	if m.isRecovering() {
		m.proposeRecovery(now, c)
		return m.finish(c)
	}
	m.proposeMembership(now, c)
	m.proposeRequests(now, c)
	if _, ok := m.table.Member(m.host); ok && m.IsMember() {
		if c.Changed() || m.mustWriteHandovers(now) {
			m.assignMoves(c, m.Lease(), m.dueMoves())
		}
		m.proposeUpstreamLoss(now, c)
		m.proposeNewFences(c)
		m.proposeConfirmedFences(c)
	}
	m.proposeLeave(now, c)
	if m.IsMember() || c.Changed() {
		m.proposeTakeovers(c)
		m.proposeUnowned(now, c)
	}
	return m.finish(c)
}

// finish returns the next version of the table, or nil if the change is empty.
func (m *Machine) finish(c *atlas.Change) *atlas.Table {
	if !c.Changed() {
		return nil
	}
	m.writes++
	return c.Finish(m.Lease(), m.writes)
}

// proposeMembership adds this run as a member, or replaces the witnesses that
// the table names for it.
func (m *Machine) proposeMembership(now time.Time, c *atlas.Change) {
	joined := m.IsMember()
	switch {
	case joined && !m.needsWitnesses(now):
		return
	case joined:
		m.note("naming witnesses", "witnesses", names(m.nameable(now)), "before", names(m.holder.Witnesses()))
	case m.joinRequest(now) == nil || !m.mustWriteItself(now, m.joiningSince) || !m.isJoinDue(now):
		return
	default:
		m.note("joining", "lease", m.Lease().String(), "witnesses", names(m.nameable(now)))
	}
	c.Join(atlas.Member{Inc: m.Lease(), Witnesses: m.nameable(now)})
	if !joined {
		m.proposeResume(c)
	}
}

// isJoinDue spreads the first join attempts of daemons that start at the same
// time. It chooses a random delay at its first call and returns true once that
// has passed.
func (m *Machine) isJoinDue(now time.Time) bool {
	if m.joinAt.IsZero() {
		m.joinAt = now.Add(time.Duration(m.rng.Int64N(int64(raceBackoff) * int64(max(1, m.countWriters())))))
	}
	return !now.Before(m.joinAt)
}

// canOwnKeys reports whether this daemon can own keys: its upstream is present
// and neither of them is ending or evacuated.
func (m *Machine) canOwnKeys() bool {
	return m.upstream.present && !m.isEnding()
}

// proposeResume decides whether the upstream keeps the fencing tokens of the
// ranges that an earlier run of this daemon owned. It keeps them if it still
// holds all of these ranges; otherwise the ranges get new tokens.
func (m *Machine) proposeResume(c *atlas.Change) {
	resumed := m.canResume()
	if !resumed && !m.isRecovering() {
		c.RenewFences(m.host)
	}
	m.note("resuming ranges", "rows", len(m.table.RowsOf(m.host)), "same_tokens", resumed)
}

// upstreamHoldsRows reports whether the upstream holds all rows of this host
// under their fencing tokens.
func (m *Machine) upstreamHoldsRows() bool {
	return !slices.ContainsFunc(m.table.RowsOf(m.host), func(row atlas.Row) bool { return !m.upstreamHoldsRow(row) })
}

// upstreamHoldsRow reports whether the upstream holds all keys of a row under
// its fencing token.
func (m *Machine) upstreamHoldsRow(row atlas.Row) bool {
	rest := []atlas.Span{row.Span}
	for _, h := range m.upstream.holds {
		if h.Fence == row.Fence+m.fenceOffset {
			rest = atlas.Subtract(rest, []atlas.Span{h.Span})
		}
	}
	return len(rest) == 0
}

// proposeUpstreamLoss assigns the ranges of this member to others when its
// upstream has ended.
func (m *Machine) proposeUpstreamLoss(now time.Time, c *atlas.Change) {
	if !m.holdsNothing(now) {
		return
	}
	rows := m.table.RowsOf(m.host)
	var given []string
	for _, p := range m.divide(atlas.Spans(rows), true) {
		c.Assign(p.Span, p.To, "", m.ownRates.Rate(p.Span))
		given = append(given, p.Span.String()+"="+string(p.To))
	}
	if len(given) > 0 {
		m.note("reassigning the ranges of an upstream that has ended", "ranges", summarize(given), "count", len(given))
	}
}

// proposeLeave removes this member from the table when it wants to leave and
// owns nothing.
func (m *Machine) proposeLeave(now time.Time, c *atlas.Change) {
	member, ok := m.table.Member(m.host)
	if !ok {
		return
	}
	switch {
	case m.wantsToLeave(now) && len(c.RowsOf(m.host)) == 0:
		if member.Inc == m.Lease() && !c.Changed() && !m.mustWriteItself(now, m.leavingSince) {
			return
		}
		m.note("leaving", "lease", m.Lease().String())
		c.Drop(m.host)
	case member.Inc != m.Lease() && m.holdsNothing(now) && !m.isRecovering():
		m.proposeLeaveOfEarlierRun(c)
	}
}

// proposeLeaveOfEarlierRun assigns the ranges of an earlier run of this daemon
// to other members and removes that run, when its upstream has ended as well.
func (m *Machine) proposeLeaveOfEarlierRun(c *atlas.Change) {
	pieces := m.divide(atlas.Spans(m.table.RowsOf(m.host)), true)
	if len(pieces) == 0 {
		return
	}
	for _, p := range pieces {
		c.Assign(p.Span, p.To, "", m.estimateRateOrZero(p.Span))
	}
	c.Drop(m.host)
	m.note("reassigning the ranges of an earlier run of the daemon", "pieces", len(pieces))
}

// proposeUnowned assigns keys without an owner, after the wait for members that
// are still joining.
func (m *Machine) proposeUnowned(now time.Time, c *atlas.Change) {
	if m.unownedSince.IsZero() {
		if len(m.table.Unowned()) == 0 {
			return
		}
		m.unownedSince = now
	}
	if !m.IsMember() || !m.canOwnKeys() {
		return
	}
	waited := now.Sub(m.unownedSince)
	wait := turnDelay * time.Duration(m.precedingMembers())
	switch {
	case len(m.table.Rows()) == 0 && m.isDaemonStarting():
		wait += bootstrapWait
	case m.isDaemonJoining():
		wait += joinWait
	}
	if waited < wait {
		return
	}
	spans := m.table.Unowned()
	var given []string
	for _, p := range m.divide(spans, false) {
		if c.Assign(p.Span, p.To, "", m.estimateRateOrZero(p.Span)) {
			given = append(given, p.Span.String()+"="+string(p.To))
		}
	}
	if len(given) > 0 {
		m.note("assigning keys without owner", "ranges", summarize(given), "count", len(given))
	}
}

// isDaemonJoining reports whether a live daemon whose upstream is ready for the
// service is not a member yet.
func (m *Machine) isDaemonJoining() bool {
	for _, e := range m.live {
		if e.Service != m.service || e.Condition != gossip.Ready {
			continue
		}
		if _, ok := m.table.Member(e.Inc.Host); !ok {
			return true
		}
	}
	return false
}

// isDaemonStarting reports whether a live daemon of the service may have no
// upstream yet. A member whose upstream is shown as absent counts too: it had
// one when it joined, and gossip may not have delivered that yet.
func (m *Machine) isDaemonStarting() bool {
	for _, e := range m.live {
		if e.Service != m.service {
			continue
		}
		if _, ok := m.table.Member(e.Inc.Host); !ok || e.Condition == gossip.Absent {
			return true
		}
	}
	return false
}

// precedingMembers returns the number of members that come before this one in
// line for a duty that any member may do, and that can do it.
func (m *Machine) precedingMembers() int {
	n := 0
	for _, member := range m.table.Members() {
		if member.Inc.Host >= m.host {
			break
		}
		if m.canReceive(member.Inc.Host) {
			n++
		}
	}
	return n
}

// canReceive reports whether a host may be given keys: it is a member, its
// daemon is live, and its upstream is ready.
func (m *Machine) canReceive(host ident.Host) bool {
	if _, ok := m.table.Member(host); !ok {
		return false
	}
	if host == m.host {
		return m.IsMember() && m.canOwnKeys()
	}
	for _, e := range m.live {
		if e.Inc.Host == host {
			return e.Condition == gossip.Ready
		}
	}
	return false
}

// divide distributes ranges over the members that can receive keys, weighted by
// their spare capacity. With excludeSelf, this member gets none.
func (m *Machine) divide(spans []atlas.Span, excludeSelf bool) []plan.Assignment {
	var shares []plan.Share
	for _, e := range m.live {
		if !m.canReceive(e.Inc.Host) || (excludeSelf && e.Inc.Host == m.host) {
			continue
		}
		shares = append(shares, plan.Share{Host: e.Inc.Host, Weight: weightOf(e, m.offered(e))})
	}
	if len(shares) == 0 {
		return nil
	}
	heat := m.ownRates
	load := rateOf(heat, spans)
	if heat.Total() <= 0 || !excludeSelf {
		heat = m.fleetRates
		load = m.estimateRate(spans)
		if excludeSelf && math.IsInf(load, 1) {
			// Keys that nobody has called yet are given to few members.
			load = 0
		}
	}
	return plan.Divide(spans, heat, plan.ChooseReceivers(shares, load, m.rng))
}

func rateOf(heat *plan.Heat, spans []atlas.Span) float64 {
	rate := 0.0
	for _, s := range spans {
		rate += heat.Rate(s)
	}
	return rate
}

// estimateRate returns the estimated rate of calls for keys that this member
// does not own: their fraction of the calls that this daemon's callers make,
// applied to the rate that all members are offered. It returns infinity when
// there is no data.
func (m *Machine) estimateRate(spans []atlas.Span) float64 {
	total := m.fleetRates.Total()
	if total <= 0 {
		return math.Inf(1)
	}
	fraction := rateOf(m.fleetRates, spans) / total
	offered := 0.0
	for _, e := range m.live {
		if e.Service == m.service {
			offered += float64(e.Load.Offered)
		}
	}
	if fraction >= 1 || offered <= 0 {
		return math.Inf(1)
	}
	return offered * fraction / (1 - fraction)
}

// estimateRateOrZero returns the same estimate for one range, but zero when
// there is no data.
func (m *Machine) estimateRateOrZero(span atlas.Span) float64 {
	rate := m.estimateRate([]atlas.Span{span})
	if math.IsInf(rate, 1) {
		return 0
	}
	return rate
}

// minRoomShare is the minimum spare capacity of a busy member, as a fraction of
// its capacity, so that keys find an owner even when all members are busy.
const minRoomShare = 0.15

// weightOf returns the weight of a member in the distribution of keys that need
// an owner, given the rate of calls that it is offered.
func weightOf(e gossip.Entry, offered float64) float64 {
	capacity := float64(e.Load.Capacity)
	if capacity <= 0 {
		return max(1, float64(e.Slots))
	}
	room := capacity
	if e.Load.Cold > 0 {
		room /= 2
	}
	return max(room-offered, minRoomShare*room)
}

func names(incs []ident.Incarnation) []string {
	out := make([]string, 0, len(incs))
	for _, inc := range incs {
		out = append(out, inc.String())
	}
	return out
}
