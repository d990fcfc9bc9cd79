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
	// askInterval is the time between two requests to the scribe: a datagram may be
	// lost.
	askInterval = 150 * time.Millisecond
	// askTime is how long a member waits for the scribe before it writes itself.
	askTime = 500 * time.Millisecond
	// requestTime is how long a request counts; it is repeated while it is needed.
	requestTime = time.Second
	// maxMoves is the number of moves in one request, so that it fits a datagram.
	maxMoves = 64
)

// request is what another member asked this one to write.
type request struct {
	gossip.Request
	at time.Time
}

// scribe returns the member that writes for all: when each member writes its own
// changes, all but one lose the race for each version of the table. It is empty
// when there is none.
func (m *Machine) scribe() ident.Host {
	for _, member := range m.table.Members() {
		if m.canTake(member.Inc.Host) {
			return member.Inc.Host
		}
	}
	return ""
}

// writesItself reports whether this member writes a change itself that it wants
// since the given time.
func (m *Machine) writesItself(now, since time.Time) bool {
	if !since.IsZero() && now.Sub(since) >= askTime {
		return true
	}
	scribe := m.scribe()
	return scribe == "" || scribe == m.host
}

// Take takes another member's request.
func (m *Machine) Take(now time.Time, r gossip.Request) {
	if r.Service == m.service && len(r.Moves) <= maxMoves {
		m.requests[r.Owner.Host] = request{Request: r, at: now}
	}
}

// ask sends the scribe what this member wants written.
func (m *Machine) ask(now time.Time) []Message {
	if !m.read || now.Sub(m.asked) < askInterval {
		return nil
	}
	r := gossip.Request{Service: m.service, Owner: m.Lease(), Join: m.join(now)}
	if m.IsMember() {
		moves := m.dueMoves()
		r.Moves, r.Leave = moves[:min(len(moves), maxMoves)], m.wantsToLeave(now)
	}
	to := m.scribe()
	if (len(r.Moves) == 0 && r.Join == nil && !r.Leave) || to == "" || to == m.host {
		return nil
	}
	m.asked = now
	return []Message{{To: to, Message: gossip.Message{From: m.Lease(), Request: &r}}}
}

// join returns how this run becomes a member, nil while it can't or is one.
func (m *Machine) join(now time.Time) *gossip.Join {
	if m.IsMember() || !m.wantsKeys() || !m.isCovered(now) {
		m.joining = time.Time{}
		return nil
	}
	if m.joining.IsZero() {
		m.joining = now
	}
	before, _ := m.table.Member(m.host)
	return &gossip.Join{
		Witnesses: m.candidates, Before: before.Inc, Version: m.table.Version(), Renew: !m.holdsRows(),
	}
}

// wantsToLeave reports whether this member needs no place in the table any more.
func (m *Machine) wantsToLeave(now time.Time) bool {
	if !m.stopping && !m.upstream.leaving && !m.isFree(now) {
		m.leaving = time.Time{}
		return false
	}
	if m.leaving.IsZero() {
		m.leaving = now
	}
	return true
}

// handsOver reports whether this member writes its own handovers now.
func (m *Machine) handsOver(now time.Time) bool {
	for _, r := range m.releases {
		if r.done && m.writesItself(now, r.ended) {
			return true
		}
	}
	return false
}

// proposeRequests makes the changes that other members asked for.
func (m *Machine) proposeRequests(now time.Time, c *atlas.Change) {
	for _, host := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[host]
		if now.Sub(r.at) > requestTime || !m.proposeRequest(c, r.Request) {
			delete(m.requests, host)
		}
	}
}

// proposeRequest makes the changes of one request, and reports whether there were
// any.
func (m *Machine) proposeRequest(c *atlas.Change, r gossip.Request) bool {
	changed := false
	if r.Join != nil && m.admits(r) {
		c.Join(atlas.Member{Inc: r.Owner, Witnesses: r.Join.Witnesses})
		if r.Join.Renew {
			c.Renew(r.Owner.Host)
		}
		m.note("admitting", "lease", r.Owner.String(), "before", r.Join.Before.String(), "renew", r.Join.Renew)
		changed = true
	}
	if m.assign(c, r.Owner, r.Moves) > 0 {
		changed = true
	}
	if member, ok := m.table.Member(r.Owner.Host); r.Leave && ok && member.Inc == r.Owner && len(c.RowsOf(r.Owner.Host)) == 0 {
		c.Drop(r.Owner.Host)
		m.note("dropping", "lease", r.Owner.String())
		changed = true
	}
	return changed
}

// admits reports whether the table still says of a host what the member that wants
// to join has read.
func (m *Machine) admits(r gossip.Request) bool {
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

// assign makes the moves that still fit the table, and returns their number.
func (m *Machine) assign(c *atlas.Change, owner ident.Incarnation, moves []gossip.Move) int {
	var given []string
	for _, move := range moves {
		span := atlas.NewSpan(move.From, move.To)
		if !m.table.Holds(owner, span, atlas.Fence(move.Fence)) {
			continue
		}
		if c.Assign(span, move.Taker, move.Token, float64(move.Rate)) {
			given = append(given, span.String()+"="+string(move.Taker))
		}
	}
	if len(given) > 0 {
		m.note("handing over", "owner", owner.String(), "ranges", few(given), "count", len(given))
	}
	return len(given)
}

// dueMoves returns the moves whose ranges the upstream has let go of, one for each
// row and handover token.
func (m *Machine) dueMoves() []gossip.Move {
	var moves []gossip.Move
	for _, r := range m.releases {
		if !r.done {
			continue
		}
		to := r.to
		if !m.canTake(to) {
			pieces := m.divide([]atlas.Span{r.span}, true)
			if len(pieces) == 0 {
				continue
			}
			to = pieces[0].To
		}
		for _, row := range m.table.RowsOf(m.host) {
			if span, ok := row.Span.Cut(r.span); ok {
				moves = append(moves, m.movesOf(span, row, to, r.tokens)...)
			}
		}
	}
	return moves
}

// movesOf returns the moves of a part of a row: each part for which the upstream
// gave a handover token, and the rest.
func (m *Machine) movesOf(span atlas.Span, row atlas.Row, to ident.Host, tokens []Released) []gossip.Move {
	var moves []gossip.Move
	add := func(span atlas.Span, token string) {
		moves = append(moves, gossip.Move{
			From: span.From, To: span.To, Fence: uint64(row.Fence), Taker: to, Token: token,
			Rate: float32(m.heat.Rate(span)),
		})
	}
	rest := []atlas.Span{span}
	for _, freed := range tokens {
		if cut, ok := freed.Span.Cut(span); ok {
			add(cut, freed.Token)
			rest = atlas.Without(rest, []atlas.Span{cut})
		}
	}
	for _, span := range rest {
		add(span, "")
	}
	return moves
}
