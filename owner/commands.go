package owner

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/holds"
)

const (
	// callMargin separates the end of a grant by call from the end of the lease, to
	// allow for the time that the call takes to arrive.
	callMargin = 100 * time.Millisecond
	// answerValidity is how long the answer to a call shows that the upstream runs.
	answerValidity = 1500 * time.Millisecond
)

// Commands returns the calls to the upstream that are due. The outcome of each must
// be reported by RecordCommand. There are none for an upstream that takes its grants
// in the answers to heartbeats.
func (m *Machine) Commands(now time.Time) []holds.Command {
	if m.book == nil || !m.hasTable || m.upstream.id == "" || m.upstream.ended {
		return nil
	}
	member, ok := m.table.Member(m.host)
	if ok && member.Inc != m.Lease() {
		return nil
	}
	if (!ok && m.isRecovering()) || len(m.claims()) > 0 {
		return nil
	}
	var wanted []holds.Range
	if ok {
		wanted = m.wantedRanges()
	}
	commands := m.book.Next(now, wanted, m.leaseEnd().Add(-callMargin))
	m.settleReleases(now)
	return commands
}

// RecordCommand records the outcome of a call to the upstream, and the handover
// token in the answer to a release.
func (m *Machine) RecordCommand(now time.Time, cmd holds.Command, outcome holds.Outcome, token string) {
	if m.book == nil {
		return
	}
	m.book.Record(now, cmd, outcome)
	if outcome != holds.Accepted || !cmd.Renewal {
		m.note("upstream called", "command", cmd.Kind.String(), "span", cmd.Range.Span.String(),
			"fence", uint64(cmd.Range.Fence), "outcome", outcome.String(), "hold", cmd.Hold.String(),
			"took", now.Sub(cmd.Issued).Round(time.Millisecond).String(), "token", token != "", "renewal", cmd.Renewal)
	}
	if cmd.Kind == holds.Release && outcome == holds.Accepted && token != "" {
		for _, r := range m.releases {
			if cut, ok := cmd.Range.Span.Intersect(r.span); ok {
				r.tokens = append(r.tokens, Released{Span: cut, Token: token})
			}
		}
	}
	m.settleReleases(now)
}

// RecordNotHeld records that the upstream has refused a request because it does not
// hold the key.
func (m *Machine) RecordNotHeld(key atlas.Point) {
	if m.book != nil {
		m.book.RecordNotHeld(key)
	}
}

// settleReleases marks the moves as done whose keys the upstream no longer holds.
func (m *Machine) settleReleases(now time.Time) {
	for _, r := range m.releases {
		if !r.done && r.withdrawn && now.After(m.earlierGrantsEnd()) && !m.book.MayHold(now, r.span) {
			r.done, r.doneAt = true, now
		}
	}
}

// earlierGrantsEnd returns when the grants of an earlier run of this daemon have
// ended at the latest. They may have got no answer and may still take effect.
func (m *Machine) earlierGrantsEnd() time.Time {
	return m.started.Add(time.Duration(float64(m.maxHold) * (1 + 2*holds.ClockSlack)))
}

// answersCalls reports whether the upstream has answered a call recently, so that it
// runs although its heartbeats are missing.
func (m *Machine) answersCalls(now time.Time) bool {
	return m.book != nil && now.Sub(m.book.Answered()) < answerValidity
}

// canResume reports whether the upstream may keep the fencing tokens of the ranges
// that the table names for this host. An upstream that takes its grants by calls does
// not report what it holds; the tokens remain valid if this run of the daemon has
// used them and has counted the lives of the upstream since.
func (m *Machine) canResume() bool {
	if m.book != nil {
		return m.boot != m.firstBoot
	}
	return m.upstreamHoldsRows()
}

// refusedRanges returns the ranges of this member whose fencing tokens the upstream
// has refused.
func (m *Machine) refusedRanges() []holds.Range {
	if m.book == nil || !m.IsMember() {
		return nil
	}
	return m.book.Refused()
}

// proposeNewFences gives ranges whose fencing tokens the upstream has refused new
// ones: it has seen higher tokens, those of an earlier run of this daemon.
func (m *Machine) proposeNewFences(c *atlas.Change) {
	for _, r := range m.refusedRanges() {
		for _, row := range m.table.RowsOf(m.host) {
			if span, ok := row.Span.Intersect(r.Span); ok && row.Fence+m.fenceOffset == r.Fence {
				c.Assign(span, m.host, "", m.ownRates.Rate(span))
				m.note("new fencing token after a refusal", "span", span.String(), "before", uint64(r.Fence))
			}
		}
	}
}
