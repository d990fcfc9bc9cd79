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
	// moveInterval is the minimum time between two moves for load, so that the
	// measured rates reflect the last move first.
	moveInterval = 1200 * time.Millisecond
	// moveCheckInterval is the time between two checks whether a move is due.
	moveCheckInterval = 200 * time.Millisecond
	// moveTimeout is how long a move may take before it is cancelled.
	moveTimeout = 4 * time.Second
	// softRangeLimit is the number of ranges above which a member gives some
	// away even if its load does not require it, to stay below
	// maxGrantedRanges.
	softRangeLimit = 64
)

// planMoves starts the moves that are due and reports whether it started any.
func (m *Machine) planMoves(now time.Time) bool {
	if !m.IsMember() || !m.upstream.present || !now.Before(m.leaseEnd()) || m.isRecovering() {
		return false
	}
	if m.isEnding() {
		return m.releaseAll(now)
	}
	m.dropStuckReleases(now)
	if m.book != nil && now.Before(m.earlierGrantsEnd()) {
		// The keys would have no holder until then.
		return false
	}
	if len(m.releases) > 0 || now.Sub(m.lastMove) < moveInterval ||
		now.Sub(m.lastMoveCheck) < moveCheckInterval || m.proposal != nil {
		return false
	}
	m.lastMoveCheck = now
	m.sampleOffered(now)
	rows := m.table.RowsOf(m.host)
	pieces := plan.Moves(m.host, rows, m.ownRates, m.loads())
	if len(pieces) == 0 && len(rows) > softRangeLimit {
		pieces = m.quietestMove(rows)
	}
	if len(pieces) == 0 {
		return false
	}
	m.lastMove = now
	for _, p := range pieces {
		m.startRelease(now, p)
	}
	return true
}

// rateSettleTime is how long after a change of a member's keys its offered
// rate, which is measured over one second, no longer includes calls from before
// the change.
const rateSettleTime = 1200 * time.Millisecond

// sampleOffered adds this member's offered rate to its average.
func (m *Machine) sampleOffered(now time.Time) {
	if now.Sub(m.ownChanged) < rateSettleTime {
		return
	}
	for _, e := range m.live {
		if e.Inc.Host == m.host {
			m.avgOffered.Add(now, float64(e.Load.Offered))
		}
	}
}

// quietestMove returns a move of the range with the fewest calls to the member
// with the fewest ranges. It keeps the number of ranges within what the answer
// to a heartbeat can hold.
func (m *Machine) quietestMove(rows []atlas.Row) []plan.Assignment {
	var taker ident.Host
	fewest := softRangeLimit
	for _, member := range m.loads() {
		if member.Host != m.host && member.Rows < fewest {
			taker, fewest = member.Host, member.Rows
		}
	}
	if taker == "" {
		return nil
	}
	quietest := slices.MinFunc(rows, func(a, b atlas.Row) int {
		return cmp.Compare(m.ownRates.Rate(a.Span), m.ownRates.Rate(b.Span))
	})
	return []plan.Assignment{{Span: quietest.Span, To: taker}}
}

func (m *Machine) startRelease(now time.Time, p plan.Assignment) {
	m.releases = append(m.releases, &release{span: p.Span, to: p.To, since: now})
	m.note("releasing", "span", p.Span.String(), "to", string(p.To), "rate", int(m.ownRates.Rate(p.Span)))
}

// releaseAll starts moves for all ranges that are not being moved already.
func (m *Machine) releaseAll(now time.Time) bool {
	var moving []atlas.Span
	for _, r := range m.releases {
		moving = append(moving, r.span)
	}
	rest := atlas.Subtract(atlas.Spans(m.table.RowsOf(m.host)), moving)
	pieces := m.divide(rest, true)
	for _, p := range pieces {
		m.startRelease(now, p)
	}
	return len(pieces) > 0
}

// dropStuckReleases cancels moves that have not completed within moveTimeout,
// such as those to a member that has gone.
func (m *Machine) dropStuckReleases(now time.Time) {
	kept := m.releases[:0]
	for _, r := range m.releases {
		if now.Sub(r.since) > moveTimeout && !r.done {
			m.note("move given up", "span", r.span.String(), "to", string(r.to))
			continue
		}
		kept = append(kept, r)
	}
	m.releases = kept
}

// loads returns the loads of the members that can receive keys, including this
// one.
func (m *Machine) loads() []plan.Member {
	var members []plan.Member
	for _, e := range m.live {
		if !m.canReceive(e.Inc.Host) || e.Service != m.service || e.Condition != gossip.Ready {
			continue
		}
		rows := m.table.RowsOf(e.Inc.Host)
		var steady *plan.RateAverage
		if e.Inc.Host == m.host {
			steady = m.avgOffered
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
	return plan.FillMissingCapacity(members)
}
