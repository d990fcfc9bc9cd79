package owner

import (
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
)

const (
	// holdSlack is by how much an upstream's clock may run slow.
	holdSlack = 0.02
	// leaseMargin is kept between the end of a grant and the end of the lease,
	// for the way of the answer.
	leaseMargin = 50 * time.Millisecond
	// maxGranted is the number of ranges that an answer to a heartbeat grants: some
	// 44 bytes each of the 4 KiB that upstreams read.
	maxGranted = 88
)

// Heartbeat takes what the upstream says. It reports false for a heartbeat that
// is older than one that came before.
func (m *Machine) Heartbeat(now time.Time, hb Heartbeat) bool {
	u := &m.upstream
	switch {
	case hb.Life < u.life:
		return false
	case hb.Life > u.life || hb.ID != u.id:
		m.begin(hb)
	case hb.Number <= u.number:
		return false
	}
	u.number, u.beat, u.present, u.free = hb.Number, now, true, false
	u.leaving = hb.Leaving || u.departed
	u.holds = hb.Holds
	m.takeReleased(now, hb)
	return true
}

// begin starts a new life of the upstream. The one before has ended, and what it
// held is free.
func (m *Machine) begin(hb Heartbeat) {
	first := m.upstream.id == ""
	m.note("upstream began", "id", hb.ID, "life", hb.Life, "before", m.upstream.id, "holds", len(hb.Holds))
	if !first {
		m.tenure++
	}
	m.upstream = upstream{life: hb.Life, id: hb.ID}
	for _, r := range m.releases {
		r.asked = false
	}
	if first {
		m.recoverTenure(hb)
	}
}

// recoverTenure continues the fencing tokens of an upstream that outlived the
// daemon's earlier run.
func (m *Machine) recoverTenure(hb Heartbeat) {
	for _, row := range m.table.RowsOf(m.host) {
		for _, held := range hb.Holds {
			if held.Span.Meets(row.Span) && held.Fence >= row.Fence && held.Fence < row.Fence+atlas.Tenures {
				m.tenure = max(m.tenure, held.Fence-row.Fence)
			}
		}
	}
}

// takeReleased finds the moves whose keys the upstream has let go of.
func (m *Machine) takeReleased(now time.Time, hb Heartbeat) {
	for _, r := range m.releases {
		for _, freed := range hb.Released {
			if cut, ok := freed.Span.Cut(r.span); ok {
				r.tokens = append(r.tokens, Released{Span: cut, Token: freed.Token})
			}
		}
		if !r.done && r.asked && hb.Number > r.after && !holdsAny(hb.Holds, r.span) {
			r.done, r.ended = true, now
		}
	}
}

func holdsAny(holds []Held, span atlas.Span) bool {
	for _, h := range holds {
		if h.Span.Meets(span) {
			return true
		}
	}
	return false
}

// Grant returns the answer to the newest heartbeat, as of now.
func (m *Machine) Grant(now time.Time) Grant {
	u := &m.upstream
	if !m.read || !u.present {
		return Grant{}
	}
	member, ok := m.table.Member(m.host)
	if !ok {
		// Whatever the upstream holds was taken over or given away.
		u.granted = nil
		return Grant{Known: true}
	}
	left := m.until().Sub(now) - leaseMargin
	hold := min(m.hold, time.Duration(float64(left)/(1+holdSlack)))
	if member.Inc != m.Lease() || hold <= 0 {
		return Grant{}
	}
	g := Grant{Known: true, Hold: hold.Truncate(time.Millisecond)}
	leaving := m.proposedAway()
	for _, r := range m.releases {
		leaving = append(leaving, r.span)
		if !r.asked {
			r.asked, r.after = true, u.number
		}
	}
	for _, row := range m.table.RowsOf(m.host) {
		for _, span := range atlas.Without([]atlas.Span{row.Span}, leaving) {
			g.Rows = append(g.Rows, m.granted(row, span))
		}
	}
	if len(g.Rows) > maxGranted {
		m.note("more ranges than an answer holds", "rows", len(g.Rows), "granted", maxGranted)
		g.Rows = g.Rows[:maxGranted]
	}
	m.noteGrant(g, now)
	u.granted = g.Rows
	u.until = now.Add(time.Duration(float64(g.Hold) * (1 + holdSlack)))
	return g
}

// WantsGrant reports whether the upstream should be told of a change of its
// grants now.
func (m *Machine) WantsGrant(now time.Time) bool {
	u := &m.upstream
	if !m.read || !u.present {
		return false
	}
	for _, r := range m.releases {
		if !r.asked {
			return true
		}
	}
	if !m.IsMember() {
		_, ok := m.table.Member(m.host)
		return !ok && len(u.holds) > 0
	}
	if !now.Before(m.until()) {
		return false
	}
	if len(u.granted) == 0 || !now.Before(u.until) {
		return len(m.table.RowsOf(m.host)) > 0
	}
	granted := grantedSpans(u.granted)
	away := m.proposedAway()
	for _, r := range m.releases {
		if r.asked {
			away = append(away, r.span)
		}
	}
	own := atlas.Without(atlas.Spans(m.table.RowsOf(m.host)), away)
	return len(atlas.Without(own, granted)) > 0 || len(atlas.Without(granted, own)) > 0
}

// Depart takes the upstream's word that it ends, outside a heartbeat. It may send
// no more of them, so its keys are free when its grants have run out.
func (m *Machine) Depart() { m.upstream.leaving, m.upstream.departed = true, true }

// noteGrant records a grant that differs from the one before.
func (m *Machine) noteGrant(g Grant, now time.Time) {
	before, after := grantedSpans(m.upstream.granted), grantedSpans(g.Rows)
	more, less := atlas.Without(after, before), atlas.Without(before, after)
	if len(more) == 0 && len(less) == 0 {
		return
	}
	m.note("grant changed", "id", m.upstream.id, "version", m.table.Version(), "rows", len(g.Rows),
		"more", few(more), "less", few(less), "hold", g.Hold.String(),
		"lease_left", m.until().Sub(now).Round(time.Millisecond).String(), "beat_age", now.Sub(m.upstream.beat).Round(time.Millisecond).String())
}

func grantedSpans(rows []Granted) []atlas.Span {
	spans := make([]atlas.Span, 0, len(rows))
	for _, g := range rows {
		spans = append(spans, g.Span)
	}
	return spans
}

// few returns the first items for the log, and how many more there are.
func few[T any](items []T) string {
	const shown = 4
	text := fmt.Sprint(items[:min(len(items), shown)])
	if len(items) > shown {
		text += fmt.Sprintf("+%d", len(items)-shown)
	}
	return text
}

// until returns when the lease ends. While it is not known whether a version that
// names other witnesses was written, the lease must hold with both sets.
func (m *Machine) until() time.Time {
	until := m.holder.Until()
	if m.proposal == nil {
		return until
	}
	member, ok := m.proposal.Member(m.host)
	if !ok || member.Inc != m.Lease() {
		return until
	}
	if other := m.holder.UntilWith(member.Witnesses); other.Before(until) {
		return other
	}
	return until
}

// proposedAway returns the ranges of this member that a proposal under way gives
// to others.
func (m *Machine) proposedAway() []atlas.Span {
	if m.proposal == nil {
		return nil
	}
	return atlas.Without(atlas.Spans(m.table.RowsOf(m.host)), atlas.Spans(m.proposal.RowsOf(m.host)))
}

// granted returns the grant of a part of a row.
func (m *Machine) granted(row atlas.Row, span atlas.Span) Granted {
	g := Granted{Span: span, Fence: row.Fence + m.tenure, Token: row.Token}
	for _, h := range m.upstream.holds {
		if h.Fence == g.Fence && h.Span.From <= span.From && h.Span.To >= span.To {
			// The upstream has used the token.
			g.Token = ""
		}
	}
	return g
}

// Down reports that the upstream does not answer. Sure is set when it has
// certainly ended, so that it holds nothing any more; otherwise its keys are free
// when its grants have run out.
func (m *Machine) Down(now time.Time, sure bool) {
	u := &m.upstream
	if u.present || (sure && !u.free) {
		m.note("upstream down", "id", u.id, "sure", sure, "granted_until", max(0, u.until.Sub(now)))
	}
	u.present = false
	u.free = u.free || sure
}

// isFree reports whether the upstream certainly holds nothing any more.
func (m *Machine) isFree(now time.Time) bool {
	u := &m.upstream
	if u.present && !u.departed {
		return false
	}
	if u.free {
		return true
	}
	// An earlier run of the daemon may have granted something just before.
	until := m.started.Add(time.Duration(float64(m.hold) * (1 + 2*holdSlack)))
	if u.until.After(until) {
		until = u.until
	}
	return now.After(until)
}
