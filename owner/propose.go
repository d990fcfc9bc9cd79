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
	// settleTime is how long keys without owner wait for members that are still
	// joining, and foundTime how long the first owners wait for the upstreams of
	// all daemons of the service: no key is served before, and none moves after.
	settleTime = time.Second
	foundTime  = 2500 * time.Millisecond
	// stepIn is how long each further member waits before it does a duty that
	// another one is first in line for.
	stepIn = 400 * time.Millisecond
	// raceDelay spreads the next attempts of members that lost a race, for each
	// daemon of the service: a write takes about that long.
	raceDelay = 12 * time.Millisecond
	// writeGap is the least time between two writes of the scribe: what is asked for
	// meanwhile goes into one version, which all members read.
	writeGap = 80 * time.Millisecond
	// retryDelay is the time before a refused or unanswered write is repeated.
	retryDelay = 250 * time.Millisecond
)

// Tick tells the machine the time and what is known of the fleet, and returns
// what is to be done.
func (m *Machine) Tick(now time.Time, live []gossip.Entry) Actions {
	m.live, m.now = live, now
	a := Actions{Messages: m.renew(now)}
	a.Messages = append(a.Messages, m.ballot(now)...)
	a.Messages = append(a.Messages, m.ask(now)...)
	if m.planMoves(now) {
		a.Regrant = true
	}
	switch {
	case m.proposal != nil || !m.read || now.Before(m.quiet):
	case m.heard > m.table.Version():
		a.Refresh = m.hasBusiness(now)
	default:
		a.Proposal = m.propose(now)
		m.proposal = a.Proposal
	}
	a.Notes, m.notes = m.notes, nil
	return a
}

// Settled takes what became of a proposal. After Lost the caller reads the table
// anew.
func (m *Machine) Settled(now time.Time, proposal *atlas.Table, outcome Outcome) {
	if m.proposal != proposal {
		return
	}
	switch outcome {
	case Written:
		m.Read(now, proposal)
		if m.scribe() == m.host {
			m.quiet = now.Add(writeGap)
		}
	case Lost:
		m.proposal = nil
		spread := raceDelay
		if m.scribe() != m.host {
			spread *= time.Duration(max(1, m.rivals()))
		}
		m.quiet = now.Add(time.Duration(m.rng.Int64N(int64(spread) + 1)))
	case Refused, Unknown:
		m.proposal = nil
		m.quiet = now.Add(retryDelay/2 + time.Duration(m.rng.Int64N(int64(retryDelay))))
	}
}

// hasBusiness reports whether the member may have something to propose.
func (m *Machine) hasBusiness(now time.Time) bool {
	return m.handsOver(now) || len(m.requests) > 0 || len(m.suspects) > 0 || !m.unowned.IsZero() || m.isFree(now) || m.IsMember() != m.wantsKeys() ||
		m.needsWitnesses(now)
}

// rivals returns the number of live daemons that may write the table.
func (m *Machine) rivals() int {
	n := 0
	for _, e := range m.live {
		if e.Service == m.service {
			n++
		}
	}
	return n
}

// propose returns the next version of the table, nil when nothing should change.
func (m *Machine) propose(now time.Time) *atlas.Table {
	c := m.table.Change()
	m.proposeMembership(now, c)
	m.proposeRequests(now, c)
	if _, ok := m.table.Member(m.host); ok && m.IsMember() {
		if c.Changed() || m.handsOver(now) {
			m.assign(c, m.Lease(), m.dueMoves())
		}
		m.proposeLoss(now, c)
	}
	m.proposeLeave(now, c)
	if m.IsMember() || c.Changed() {
		m.proposeTakeovers(c)
		m.proposeUnowned(now, c)
	}
	if !c.Changed() {
		return nil
	}
	m.writes++
	return c.Sign(m.Lease(), m.writes)
}

// proposeMembership makes this run a member, or names other witnesses.
func (m *Machine) proposeMembership(now time.Time, c *atlas.Change) {
	joined := m.IsMember()
	switch {
	case joined && (!m.needsWitnesses(now) || !m.isCovered(now)):
		return
	case joined:
		m.note("naming witnesses", "witnesses", names(m.candidates), "before", names(m.holder.Witnesses()))
	case m.join(now) == nil || !m.writesItself(now, m.joining) || !m.isTurnToJoin(now):
		return
	default:
		m.note("joining", "lease", m.Lease().String(), "witnesses", names(m.candidates))
	}
	c.Join(atlas.Member{Inc: m.Lease(), Witnesses: m.candidates})
	if !joined {
		m.proposeResume(c)
	}
}

// isTurnToJoin spreads the first attempts of daemons that start together.
func (m *Machine) isTurnToJoin(now time.Time) bool {
	if m.joinAt.IsZero() {
		m.joinAt = now.Add(time.Duration(m.rng.Int64N(int64(raceDelay) * int64(max(1, m.rivals())))))
	}
	return !now.Before(m.joinAt)
}

// wantsKeys reports whether the member can own keys.
func (m *Machine) wantsKeys() bool {
	return m.upstream.present && !m.upstream.leaving && !m.stopping
}

// proposeResume decides whether the upstream goes on with the ranges that an
// earlier run of this daemon had: it does if it still holds them, or never did.
func (m *Machine) proposeResume(c *atlas.Change) {
	resumed := m.holdsRows()
	if !resumed {
		c.Renew(m.host)
	}
	m.note("resuming ranges", "rows", len(m.table.RowsOf(m.host)), "same_tokens", resumed)
}

// holdsRows reports whether the upstream holds all rows of this host under their
// tokens.
func (m *Machine) holdsRows() bool {
	return !slices.ContainsFunc(m.table.RowsOf(m.host), func(row atlas.Row) bool { return !m.holdsRow(row) })
}

// holdsRow reports whether the upstream holds a whole row under its token.
func (m *Machine) holdsRow(row atlas.Row) bool {
	rest := []atlas.Span{row.Span}
	for _, h := range m.upstream.holds {
		if h.Fence == row.Fence+m.tenure {
			rest = atlas.Without(rest, []atlas.Span{h.Span})
		}
	}
	return len(rest) == 0
}

// proposeLoss gives away the ranges of an upstream that is gone.
func (m *Machine) proposeLoss(now time.Time, c *atlas.Change) {
	if !m.isFree(now) {
		return
	}
	rows := m.table.RowsOf(m.host)
	var given []string
	for _, p := range m.divide(atlas.Spans(rows), true) {
		c.Assign(p.Span, p.To, "", m.heat.Rate(p.Span))
		given = append(given, p.Span.String()+"="+string(p.To))
	}
	if len(given) > 0 {
		m.note("giving away the ranges of a lost upstream", "ranges", few(given), "count", len(given))
	}
}

// proposeLeave removes a member that owns nothing and wants nothing.
func (m *Machine) proposeLeave(now time.Time, c *atlas.Change) {
	member, ok := m.table.Member(m.host)
	if !ok {
		return
	}
	switch {
	case m.wantsToLeave(now) && len(c.RowsOf(m.host)) == 0:
		if member.Inc == m.Lease() && !c.Changed() && !m.writesItself(now, m.leaving) {
			return
		}
		m.note("leaving", "lease", m.Lease().String())
		c.Drop(m.host)
	case member.Inc != m.Lease() && m.isFree(now):
		m.leaveForLostRun(c)
	}
}

// leaveForLostRun gives away what an earlier run of this daemon owned, when the
// upstream is gone as well.
func (m *Machine) leaveForLostRun(c *atlas.Change) {
	pieces := m.divide(atlas.Spans(m.table.RowsOf(m.host)), true)
	if len(pieces) == 0 {
		return
	}
	for _, p := range pieces {
		c.Assign(p.Span, p.To, "", m.guess(p.Span))
	}
	c.Drop(m.host)
	m.note("giving away the ranges of an earlier run", "pieces", len(pieces))
}

// proposeUnowned divides keys without owner, once the members that are joining
// had their time.
func (m *Machine) proposeUnowned(now time.Time, c *atlas.Change) {
	if m.unowned.IsZero() {
		if len(m.table.Unowned()) == 0 {
			return
		}
		m.unowned = now
	}
	if !m.IsMember() || !m.wantsKeys() {
		return
	}
	waited := now.Sub(m.unowned)
	wait := stepIn * time.Duration(m.turn())
	switch {
	case len(m.table.Rows()) == 0 && m.isStarting():
		wait += foundTime
	case m.isJoining():
		wait += settleTime
	}
	if waited < wait {
		return
	}
	spans := m.table.Unowned()
	var given []string
	for _, p := range m.divide(spans, false) {
		if c.Assign(p.Span, p.To, "", m.guess(p.Span)) {
			given = append(given, p.Span.String()+"="+string(p.To))
		}
	}
	if len(given) > 0 {
		m.note("assigning keys without owner", "ranges", few(given), "count", len(given))
	}
}

// isJoining reports whether a live daemon with an upstream of the service is no
// member yet.
func (m *Machine) isJoining() bool {
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

// isStarting reports whether a live daemon of the service has no upstream yet, as
// far as is known here: a member had one when it joined, and news of that may be on
// its way.
func (m *Machine) isStarting() bool {
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

// turn returns how many live members are before this one in line for a duty that
// any member may do.
func (m *Machine) turn() int {
	n := 0
	for _, member := range m.table.Members() {
		if member.Inc.Host >= m.host {
			break
		}
		if m.canTake(member.Inc.Host) {
			n++
		}
	}
	return n
}

// canTake reports whether a host may be given keys: it is a member, lives, and
// its upstream is ready.
func (m *Machine) canTake(host ident.Host) bool {
	if _, ok := m.table.Member(host); !ok {
		return false
	}
	if host == m.host {
		return m.IsMember() && m.wantsKeys()
	}
	for _, e := range m.live {
		if e.Inc.Host == host {
			return e.Condition == gossip.Ready
		}
	}
	return false
}

// divide gives ranges to members by the room that they have.
func (m *Machine) divide(spans []atlas.Span, others bool) []plan.Piece {
	var shares []plan.Share
	for _, e := range m.live {
		if !m.canTake(e.Inc.Host) || (others && e.Inc.Host == m.host) {
			continue
		}
		shares = append(shares, plan.Share{Host: e.Inc.Host, Weight: weightOf(e, m.offered(e))})
	}
	if len(shares) == 0 {
		return nil
	}
	heat := m.heat
	load := rateOf(heat, spans)
	if heat.Total() <= 0 || !others {
		heat = m.fleet
		load = m.estimate(spans)
		if others && math.IsInf(load, 1) {
			// Keys that nobody has called yet burden few.
			load = 0
		}
	}
	return plan.Divide(spans, heat, plan.Choose(shares, load, m.rng))
}

func rateOf(heat *plan.Heat, spans []atlas.Span) float64 {
	rate := 0.0
	for _, s := range spans {
		rate += heat.Rate(s)
	}
	return rate
}

// estimate returns the rate of calls for keys of others: their part in the calls
// that this daemon's callers make, applied to what the members are offered. It is
// infinite when nothing is known.
func (m *Machine) estimate(spans []atlas.Span) float64 {
	total := m.fleet.Total()
	if total <= 0 {
		return math.Inf(1)
	}
	part := rateOf(m.fleet, spans) / total
	offered := 0.0
	for _, e := range m.live {
		if e.Service == m.service {
			offered += float64(e.Load.Offered)
		}
	}
	if part >= 1 || offered <= 0 {
		return math.Inf(1)
	}
	return offered * part / (1 - part)
}

// guess returns the rate of calls for keys of others, zero when nothing is known.
func (m *Machine) guess(span atlas.Span) float64 {
	rate := m.estimate([]atlas.Span{span})
	if math.IsInf(rate, 1) {
		return 0
	}
	return rate
}

// leastShare is the part of its capacity that a busy member counts for, so that
// keys find an owner even when all are busy.
const leastShare = 0.15

// weightOf returns how much a member should take of keys that need an owner, when
// it is offered the given rate.
func weightOf(e gossip.Entry, offered float64) float64 {
	capacity := float64(e.Load.Capacity)
	if capacity <= 0 {
		return max(1, float64(e.Slots))
	}
	room := capacity
	if e.Load.Cold > 0 {
		room /= 2
	}
	return max(room-offered, leastShare*room)
}

func names(incs []ident.Incarnation) []string {
	out := make([]string, 0, len(incs))
	for _, inc := range incs {
		out = append(out, inc.String())
	}
	return out
}
