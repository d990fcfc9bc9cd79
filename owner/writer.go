package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// requestInterval is the time between two requests to the designated
	// writer. Requests are repeated because a datagram may be lost.
	requestInterval = 150 * time.Millisecond
	// writerTimeout is how long a member waits for the designated writer before
	// it writes its change itself.
	writerTimeout = 500 * time.Millisecond
	// requestTTL is how long a request is valid. The sender repeats it while it
	// is needed.
	requestTTL = time.Second
	// maxMoves is the maximum number of moves in one request, so that it fits
	// into a datagram.
	maxMoves = 64
)

// request is a write request of another member and the time of its receipt.
type request struct {
	gossip.Request
	at time.Time
}

// designatedWriter returns the host of the member that writes the changes of
// all members: the first one that can own keys. If each member wrote its own
// changes, all but one would lose the race for each version of the table. It
// returns an empty host if there is no such member.
func (m *Machine) designatedWriter() ident.Host {
	for _, member := range m.table.Members() {
		if m.canReceive(member.Inc.Host) {
			return member.Inc.Host
		}
	}
	return ""
}

// mustWriteItself reports whether this member writes its own change, which it
// has wanted since the given time: there is no other designated writer, or that
// one has not written the change within writerTimeout.
func (m *Machine) mustWriteItself(now, since time.Time) bool {
	if !since.IsZero() && now.Sub(since) >= writerTimeout {
		return true
	}
	tableWriter := m.designatedWriter()
	return tableWriter == "" || tableWriter == m.host
}

// AddRequest stores another member's request to write changes.
func (m *Machine) AddRequest(now time.Time, r gossip.Request) {
	if r.Service == m.service && len(r.Moves) <= maxMoves {
		m.requests[r.Owner.Host] = request{Request: r, at: now}
	}
}

// requestWrites returns the message that asks the designated writer for this
// member's changes, if one is due.
func (m *Machine) requestWrites(now time.Time) []Message {
	if !m.hasTable || now.Sub(m.lastRequest) < requestInterval {
		return nil
	}
	r := gossip.Request{Service: m.service, Owner: m.Lease(), Join: m.joinRequest(now)}
	if m.IsMember() {
		moves := m.dueMoves()
		r.Moves, r.Leave = moves[:min(len(moves), maxMoves)], m.wantsToLeave(now)
	}
	to := m.designatedWriter()
	if (len(r.Moves) == 0 && r.Join == nil && !r.Leave) || to == "" || to == m.host {
		return nil
	}
	m.lastRequest = now
	return []Message{{To: to, Message: gossip.Message{From: m.Lease(), Request: &r}}}
}

// joinRequest returns the request by which this run becomes a member. It
// returns nil if this run is a member already or cannot join yet.
func (m *Machine) joinRequest(now time.Time) *gossip.Join {
	witnesses := m.nameable(now)
	if m.IsMember() || !m.canOwnKeys() || len(witnesses) == 0 {
		m.joiningSince = time.Time{}
		return nil
	}
	if m.joiningSince.IsZero() {
		m.joiningSince = now
	}
	before, _ := m.table.Member(m.host)
	return &gossip.Join{
		Witnesses: witnesses, Before: before.Inc, Version: m.table.Version(), Renew: !m.canResume(),
	}
}

// wantsToLeave reports whether this member should be removed from the table,
// because the daemon or its upstream is ending or has ended, or its zone is evacuated.
func (m *Machine) wantsToLeave(now time.Time) bool {
	if !m.isEnding() && !m.holdsNothing(now) {
		m.leavingSince = time.Time{}
		return false
	}
	if m.leavingSince.IsZero() {
		m.leavingSince = now
	}
	return true
}

// mustWriteHandovers reports whether this member now writes its own completed
// handovers.
func (m *Machine) mustWriteHandovers(now time.Time) bool {
	for _, r := range m.releases {
		if r.done && m.mustWriteItself(now, r.doneAt) {
			return true
		}
	}
	return false
}

// proposeRequests applies the valid requests of other members to the change and
// drops those that are expired or change nothing.
func (m *Machine) proposeRequests(now time.Time, c *atlas.Change) {
	for _, host := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[host]
		if now.Sub(r.at) > requestTTL || !m.proposeRequest(c, r.Request) {
			delete(m.requests, host)
		}
	}
}

// proposeRequest applies one request to the change and reports whether it
// changed anything.
func (m *Machine) proposeRequest(c *atlas.Change, r gossip.Request) bool {
	changed := false
	if r.Join != nil && m.canAdmit(r) {
		c.Join(atlas.Member{Inc: r.Owner, Witnesses: r.Join.Witnesses})
		if r.Join.Renew && !m.isRecovering() {
			c.RenewFences(r.Owner.Host)
		}
		m.note("admitting", "lease", r.Owner.String(), "before", r.Join.Before.String(), "renew", r.Join.Renew)
		changed = true
	}
	if !m.isRecovering() && m.assignMoves(c, r.Owner, r.Moves) > 0 {
		changed = true
	}
	if member, ok := m.table.Member(r.Owner.Host); r.Leave && ok && member.Inc == r.Owner && len(c.RowsOf(r.Owner.Host)) == 0 {
		c.Drop(r.Owner.Host)
		m.note("dropping", "lease", r.Owner.String())
		changed = true
	}
	return changed
}

// canAdmit reports whether the table has the same member and ranges for the
// host as when the joining daemon read it.
func (m *Machine) canAdmit(r gossip.Request) bool {
	before, _ := m.table.Member(r.Owner.Host)
	if before.Inc != r.Join.Before || before.Inc == r.Owner {
		return false
	}
	for _, row := range m.table.RowsOf(r.Owner.Host) {
		if row.Fence >= atlas.FenceAfter(r.Join.Version) {
			return false
		}
	}
	return true
}

// assignMoves applies the moves whose range the owner still has under the same
// fencing token, and returns their number.
func (m *Machine) assignMoves(c *atlas.Change, owner ident.Incarnation, moves []gossip.Move) int {
	var given []string
	for _, move := range moves {
		span := atlas.NewSpan(move.From, move.To)
		if !m.table.Owns(owner, span, atlas.Fence(move.Fence)) {
			continue
		}
		if c.Assign(span, move.Taker, move.Token, float64(move.Rate)) {
			given = append(given, span.String()+"="+string(move.Taker))
		}
	}
	if len(given) > 0 {
		m.note("handing over", "owner", owner.String(), "ranges", summarize(given), "count", len(given))
	}
	return len(given)
}

// dueMoves returns the moves of ranges that the upstream has released, split by
// row and by handover token.
func (m *Machine) dueMoves() []gossip.Move {
	var moves []gossip.Move
	for _, r := range m.releases {
		if !r.done {
			continue
		}
		to := r.to
		if !m.canReceive(to) {
			pieces := m.divide([]atlas.Span{r.span}, true)
			if len(pieces) == 0 {
				continue
			}
			to = pieces[0].To
		}
		for _, row := range m.table.RowsOf(m.host) {
			if span, ok := row.Span.Intersect(r.span); ok {
				moves = append(moves, m.splitMoves(span, row, to, r.tokens)...)
			}
		}
	}
	return moves
}

// splitMoves returns the moves of span, which is a subrange of row: one for
// each subrange with a handover token from the upstream, and one for each
// remaining subrange.
func (m *Machine) splitMoves(span atlas.Span, row atlas.Row, to ident.Host, tokens []Released) []gossip.Move {
	var moves []gossip.Move
	add := func(span atlas.Span, token string) {
		moves = append(moves, gossip.Move{
			From: span.From, To: span.To, Fence: uint64(row.Fence), Taker: to, Token: token,
			Rate: float32(m.ownRates.Rate(span)),
		})
	}
	rest := []atlas.Span{span}
	for _, freed := range tokens {
		if cut, ok := freed.Span.Intersect(span); ok {
			add(cut, freed.Token)
			rest = atlas.Subtract(rest, []atlas.Span{cut})
		}
	}
	for _, span := range rest {
		add(span, "")
	}
	return moves
}
