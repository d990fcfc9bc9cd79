package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/plan"
)

const (
	// moveInterval is the least time between two moves for load: the rates must
	// have followed the last one.
	moveInterval = 1200 * time.Millisecond
	// lookInterval is the time between two looks at whether a move is due.
	lookInterval = 200 * time.Millisecond
	// stuckTime is how long a move may take before it is given up.
	stuckTime = 4 * time.Second
	// manyRows is the number of ranges from which a member gives some away though its
	// load does not ask for it.
	manyRows = 64
)

// planMoves starts the moves that are due and reports whether there is a new
// one.
func (m *Machine) planMoves(now time.Time) bool {
	if !m.IsMember() || !m.upstream.present || !now.Before(m.until()) {
		return false
	}
	if m.stopping || m.upstream.leaving {
		return m.releaseAll(now)
	}
	m.giveUpStuck(now)
	if len(m.releases) > 0 || now.Sub(m.moved) < moveInterval || now.Sub(m.looked) < lookInterval || m.proposal != nil {
		return false
	}
	m.looked = now
	m.measure(now)
	rows := m.table.RowsOf(m.host)
	pieces := plan.Moves(m.host, rows, m.heat, m.loads())
	if len(pieces) == 0 && len(rows) > manyRows {
		pieces = m.shed(rows)
	}
	if len(pieces) == 0 {
		return false
	}
	m.moved = now
	for _, p := range pieces {
		m.release(now, p)
	}
	return true
}

// followTime is how long after a change of its keys a member's offered rate, which
// is measured over a second, has followed.
const followTime = 1200 * time.Millisecond

// measure adds to the average of the offered rate.
func (m *Machine) measure(now time.Time) {
	if now.Sub(m.ownChanged) < followTime {
		return
	}
	for _, e := range m.live {
		if e.Inc.Host == m.host {
			m.steady.Add(now, float64(e.Load.Offered))
		}
	}
}

// shed returns the quietest of many ranges, for the member with the fewest: the
// answer to a heartbeat has room for a limited number.
func (m *Machine) shed(rows []atlas.Row) []plan.Piece {
	var taker ident.Host
	fewest := manyRows
	for _, member := range m.loads() {
		if member.Host != m.host && member.Rows < fewest {
			taker, fewest = member.Host, member.Rows
		}
	}
	if taker == "" {
		return nil
	}
	quietest := slices.MinFunc(rows, func(a, b atlas.Row) int {
		return cmp.Compare(m.heat.Rate(a.Span), m.heat.Rate(b.Span))
	})
	return []plan.Piece{{Span: quietest.Span, To: taker}}
}

func (m *Machine) release(now time.Time, p plan.Piece) {
	m.releases = append(m.releases, &release{span: p.Span, to: p.To, since: now})
	m.note("releasing", "span", p.Span.String(), "to", string(p.To), "rate", int(m.heat.Rate(p.Span)))
}

// releaseAll gives away everything that is not on its way already.
func (m *Machine) releaseAll(now time.Time) bool {
	var going []atlas.Span
	for _, r := range m.releases {
		going = append(going, r.span)
	}
	rest := atlas.Without(atlas.Spans(m.table.RowsOf(m.host)), going)
	pieces := m.divide(rest, true)
	for _, p := range pieces {
		m.release(now, p)
	}
	return len(pieces) > 0
}

// giveUpStuck takes back moves that do not end, such as those to a member that
// has gone.
func (m *Machine) giveUpStuck(now time.Time) {
	kept := m.releases[:0]
	for _, r := range m.releases {
		if now.Sub(r.since) > stuckTime && !r.done {
			m.note("move given up", "span", r.span.String(), "to", string(r.to))
			continue
		}
		kept = append(kept, r)
	}
	m.releases = kept
}

// loads returns the loads of the members that can take keys, this one included.
func (m *Machine) loads() []plan.Member {
	var members []plan.Member
	for _, e := range m.live {
		if !m.canTake(e.Inc.Host) || e.Service != m.service || e.Condition != gossip.Ready {
			continue
		}
		rows := m.table.RowsOf(e.Inc.Host)
		var steady *plan.Steady
		if e.Inc.Host == m.host {
			steady = m.steady
		}
		members = append(members, plan.Member{
			Steady:   steady,
			Host:     e.Inc.Host,
			Offered:  m.offered(e),
			Capacity: float64(e.Load.Capacity),
			Slots:    int(e.Slots),
			Cold:     time.Duration(e.Load.Cold) * time.Millisecond,
			Rows:     len(rows),
			Keys:     atlas.Keys(atlas.Spans(rows)),
		})
	}
	return plan.Complete(members)
}
