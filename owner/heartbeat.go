package owner

import (
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/holds"
)

const (
	// leaseMargin separates the end of a grant from the end of the lease, to
	// allow for the time that the answer to the heartbeat takes to arrive.
	leaseMargin = 50 * time.Millisecond
	// maxGrantedRanges limits the ranges in the answer to a heartbeat. Each
	// takes at most 50 bytes of the 4 KiB that upstreams read.
	maxGrantedRanges = 80
)

// Heartbeat applies a heartbeat of the upstream. It returns false, and changes
// nothing, for one that is not newer than the last one applied: from an earlier
// life, or with a number that is not higher.
func (m *Machine) Heartbeat(now time.Time, hb Heartbeat) bool {
	u := &m.upstream
	switch {
	case hb.Life < u.life:
		return false
	case hb.Life > u.life || hb.ID != u.id:
		m.resetUpstream(hb)
	case hb.Number <= u.number:
		return false
	}
	u.number, u.lastHeartbeat, u.present, u.ended = hb.Number, now, true, false
	u.leaving = hb.Leaving || u.departed
	u.holds = hb.Holds
	m.applyReleased(now, hb)
	return true
}

// resetUpstream replaces the state of the upstream when the first heartbeat of
// a new life arrives. The previous life has ended, so its keys are no longer
// held.
func (m *Machine) resetUpstream(hb Heartbeat) {
	first := m.upstream.id == ""
	m.note("upstream began", "id", hb.ID, "life", hb.Life, "before", m.upstream.id, "holds", len(hb.Holds))
	if !first {
		m.fenceOffset++
	}
	m.upstream = upstream{life: hb.Life, id: hb.ID}
	if m.book != nil {
		m.book.Reset()
	}
	for _, r := range m.releases {
		r.withdrawn = false
	}
	if first {
		m.recoverFenceOffset(hb)
	}
}

// recoverFenceOffset restores the offset of the fencing tokens from what the
// upstream still holds, when the upstream kept running while the daemon
// restarted.
func (m *Machine) recoverFenceOffset(hb Heartbeat) {
	for _, row := range m.table.RowsOf(m.host) {
		for _, held := range hb.Holds {
			if held.Span.Overlaps(row.Span) && held.Fence >= row.Fence && held.Fence < row.Fence+atlas.FencesPerVersion {
				m.fenceOffset = max(m.fenceOffset, held.Fence-row.Fence)
			}
		}
	}
}

// applyReleased stores the handover tokens in the heartbeat and marks the moves
// whose keys the upstream no longer holds as done.
func (m *Machine) applyReleased(now time.Time, hb Heartbeat) {
	for _, r := range m.releases {
		for _, freed := range hb.Released {
			if cut, ok := freed.Span.Intersect(r.span); ok {
				r.tokens = append(r.tokens, Released{Span: cut, Token: freed.Token})
			}
		}
		if m.book == nil && !r.done && r.withdrawn && hb.Number > r.afterHeartbeat && !holdsAny(hb.Holds, r.span) {
			r.done, r.doneAt = true, now
		}
	}
}

func holdsAny(holds []Held, span atlas.Span) bool {
	for _, h := range holds {
		if h.Span.Overlaps(span) {
			return true
		}
	}
	return false
}

// Grant returns the answer to the last heartbeat, as of now.
func (m *Machine) Grant(now time.Time) Grant {
	u := &m.upstream
	if !m.hasTable || !u.present || m.book != nil {
		return Grant{}
	}
	member, ok := m.table.Member(m.host)
	if (!ok && m.isRecovering()) || len(m.claims()) > 0 {
		// The upstream may hold ranges that it got by a version of the table that is lost.
		return Grant{}
	}
	if !ok {
		// The ranges that the upstream held have been taken over or given away.
		u.granted = nil
		return Grant{Known: true}
	}
	left := m.leaseEnd().Sub(now) - leaseMargin
	hold := min(m.maxHold, time.Duration(float64(left)/(1+holds.ClockSlack)))
	if member.Inc != m.Lease() || hold <= 0 {
		return Grant{}
	}
	g := Grant{Known: true, Hold: hold.Truncate(time.Millisecond), Rows: m.wantedRanges()}
	if len(g.Rows) > maxGrantedRanges {
		m.note("more ranges than an answer holds", "rows", len(g.Rows), "granted", maxGrantedRanges)
		g.Rows = g.Rows[:maxGrantedRanges]
	}
	m.noteGrant(g, now)
	m.recordGranted()
	u.granted = g.Rows
	u.grantedUntil = now.Add(time.Duration(float64(g.Hold) * (1 + holds.ClockSlack)))
	return g
}

// wantedRanges returns the ranges that the upstream is to hold: those of this
// member without the ones that it gives away, which are marked as withdrawn.
func (m *Machine) wantedRanges() []holds.Range {
	leaving := m.proposedAway()
	for _, r := range m.releases {
		leaving = append(leaving, r.span)
		if !r.withdrawn {
			r.withdrawn, r.afterHeartbeat = true, m.upstream.number
		}
	}
	var ranges []holds.Range
	for _, row := range m.table.RowsOf(m.host) {
		for _, span := range atlas.Subtract(m.grantable(row), leaving) {
			ranges = append(ranges, m.grantFor(row, span))
		}
	}
	return ranges
}

// WantsGrant reports whether the grants have changed, so that the upstream
// should get an answer now rather than with its next heartbeat.
func (m *Machine) WantsGrant(now time.Time) bool {
	u := &m.upstream
	if !m.hasTable || !u.present || m.book != nil {
		return false
	}
	for _, r := range m.releases {
		if !r.withdrawn {
			return true
		}
	}
	if !m.IsMember() {
		_, ok := m.table.Member(m.host)
		return !ok && len(u.holds) > 0 && !m.isRecovering()
	}
	if !now.Before(m.leaseEnd()) || len(m.claims()) > 0 {
		return false
	}
	if len(u.granted) == 0 || !now.Before(u.grantedUntil) {
		return len(m.ownSpans()) > 0
	}
	granted := grantedSpans(u.granted)
	away := m.proposedAway()
	for _, r := range m.releases {
		if r.withdrawn {
			away = append(away, r.span)
		}
	}
	own := atlas.Subtract(m.ownSpans(), away)
	return len(atlas.Subtract(own, granted)) > 0 || len(atlas.Subtract(granted, own)) > 0
}

// UpstreamLeaving records that the upstream has announced its end outside a heartbeat.
// No further heartbeat may follow, so its keys can be reassigned once its
// grants have expired.
func (m *Machine) UpstreamLeaving() { m.upstream.leaving, m.upstream.departed = true, true }

// noteGrant logs a grant that differs from the previous one.
func (m *Machine) noteGrant(g Grant, now time.Time) {
	before, after := grantedSpans(m.upstream.granted), grantedSpans(g.Rows)
	more, less := atlas.Subtract(after, before), atlas.Subtract(before, after)
	if len(more) == 0 && len(less) == 0 {
		return
	}
	m.note("grant changed", "id", m.upstream.id, "version", m.table.Version(), "rows", len(g.Rows),
		"more", summarize(more), "less", summarize(less), "hold", g.Hold.String(),
		"lease_left", m.leaseEnd().Sub(now).Round(time.Millisecond).String(),
		"beat_age", now.Sub(m.upstream.lastHeartbeat).Round(time.Millisecond).String())
}

func grantedSpans(rows []holds.Range) []atlas.Span {
	spans := make([]atlas.Span, 0, len(rows))
	for _, g := range rows {
		spans = append(spans, g.Span)
	}
	return spans
}

// summarize formats the first items for the log, followed by the number of
// those left out.
func summarize[T any](items []T) string {
	const shown = 4
	text := fmt.Sprint(items[:min(len(items), shown)])
	if len(items) > shown {
		text += fmt.Sprintf("+%d", len(items)-shown)
	}
	return text
}

// leaseEnd returns when the lease ends. While a proposal that names other
// witnesses may or may not have been written, the lease must hold with both
// sets, so the earlier end counts.
func (m *Machine) leaseEnd() time.Time {
	until := m.holder.Expiry()
	if m.proposal == nil {
		return until
	}
	member, ok := m.proposal.Member(m.host)
	if !ok || member.Inc != m.Lease() {
		return until
	}
	if other := m.holder.ExpiryWith(member.Witnesses); other.Before(until) {
		return other
	}
	return until
}

// proposedAway returns the ranges of this member that a pending proposal
// assigns to other members.
func (m *Machine) proposedAway() []atlas.Span {
	if m.proposal == nil {
		return nil
	}
	return atlas.Subtract(atlas.Spans(m.table.RowsOf(m.host)), atlas.Spans(m.proposal.RowsOf(m.host)))
}

// grantFor returns the grant of span, which is a subrange of row.
func (m *Machine) grantFor(row atlas.Row, span atlas.Span) holds.Range {
	g := holds.Range{Span: span, Fence: row.Fence + m.fenceOffset, Token: row.Token}
	for _, h := range m.upstream.holds {
		if h.Fence == g.Fence && h.Span.From <= span.From && h.Span.To >= span.To {
			// The upstream holds the range already, so it has used the handover
			// token.
			g.Token = ""
		}
	}
	return g
}

// UpstreamDown records that the upstream does not answer. If sure is set, its process
// has certainly ended and holds nothing any more; otherwise its keys can be
// reassigned once its grants have expired.
func (m *Machine) UpstreamDown(now time.Time, sure bool) {
	u := &m.upstream
	if !sure && m.answersCalls(now) {
		return
	}
	if u.present || (sure && !u.ended) {
		m.note("upstream down", "id", u.id, "sure", sure, "granted_until", max(0, u.grantedUntil.Sub(now)))
	}
	u.present = false
	u.ended = u.ended || sure
	if sure && m.book != nil {
		m.book.Reset()
	}
}

// holdsNothing reports whether the upstream certainly holds no keys any more.
func (m *Machine) holdsNothing(now time.Time) bool {
	u := &m.upstream
	if u.present && !u.departed {
		return false
	}
	if u.ended {
		return true
	}
	until := m.earlierGrantsEnd()
	if u.grantedUntil.After(until) {
		until = u.grantedUntil
	}
	if m.book != nil && m.book.End(now).After(until) {
		until = m.book.End(now)
	}
	return now.After(until)
}
