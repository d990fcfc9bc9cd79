package owner

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/store"
)

const (
	// rewriteDelay is how long a daemon that learns of a restore of the store waits for
	// newer tables that other daemons have, before it writes its own again.
	rewriteDelay = 500 * time.Millisecond
	// rewriteFetchLimit is how much longer it waits for a newer table that was announced.
	// Nobody may have that any more.
	rewriteFetchLimit = time.Second
	// firstStartTime is how long after its start a daemon counts as one of a fleet that
	// starts for the first time.
	firstStartTime = 30 * time.Second
	// maxTurns limits the delays of daemons that wait for others to do a duty first.
	maxTurns = 5
	// recoveryLimit is how long the end of a recovery waits for daemons that never read
	// the table, such as those of an earlier release.
	recoveryLimit = 10 * time.Second
)

// ownedRange is a range with the fencing token that its row in the table has.
type ownedRange struct {
	span  atlas.Span
	fence atlas.Fence
}

// RecordEra records that the store is in the given era. The table of an earlier era must
// be written again.
func (m *Machine) RecordEra(now time.Time, era uint64) {
	if era > m.era {
		m.era, m.eraSince = era, now
	}
}

// Era returns the highest era of the store that this daemon has learned of.
func (m *Machine) Era() uint64 { return m.era }

// RecordStoreEnd records the offset at which the topic of the table ends in the store.
func (m *Machine) RecordStoreEnd(now time.Time, end uint64) {
	m.storeEnd = max(m.storeEnd, end)
	m.RecordEra(now, store.Era(end))
}

// isOutdated reports whether the table is of an earlier era of the store.
func (m *Machine) isOutdated() bool { return m.hasTable && m.table.Era() < m.era }

// isRecovering reports whether versions of the table may be lost that named other owners,
// so that no range may be given to another member yet.
func (m *Machine) isRecovering() bool { return m.isOutdated() || m.table.Recovering() }

// awaitsNewerTable reports whether a newer version of the table has been announced that
// must be read before anything is proposed.
func (m *Machine) awaitsNewerTable(now time.Time) bool {
	if m.newestVersion <= m.table.Version() {
		return false
	}
	return !m.isOutdated() || now.Sub(m.eraSince) < rewriteDelay+rewriteFetchLimit
}

// proposeRewrite returns the table as the first version of the store's present era, once
// it is this daemon's turn. If read is set, the end of the topic must be read first.
func (m *Machine) proposeRewrite(now time.Time) (proposal *atlas.Table, read bool) {
	delay := rewriteDelay
	if m.isFirstStart(now) {
		delay = 0
	}
	if now.Sub(m.eraSince) < delay+turnDelay*time.Duration(m.precedingDaemons()) {
		return nil, false
	}
	if store.Era(m.storeEnd) < m.era {
		return nil, true
	}
	m.writes++
	if m.isFirstStart(now) {
		return m.table.Change().Finish(m.Lease(), m.writes).At(m.storeEnd + 1), false
	}
	m.note("writing the table again", "version", m.storeEnd+1, "before", m.table.Version(), "era", m.era,
		"members", len(m.table.Members()), "rows", len(m.table.Rows()))
	return m.table.Recover(m.storeEnd+1, m.Lease(), m.writes), false
}

// isFirstStart reports whether there was no table before.
func (m *Machine) isFirstStart(now time.Time) bool {
	return m.firstStart && m.table.Version() == 0 && m.newestVersion == 0 && now.Sub(m.started) < firstStartTime
}

// precedingDaemons returns the number of live daemons of the service that come before this
// one in line for a duty that any daemon may do, at most maxTurns.
func (m *Machine) precedingDaemons() int {
	n := 0
	for _, e := range m.live {
		if e.Service == m.service && e.Inc.Host < m.host {
			n++
		}
	}
	return min(n, maxTurns)
}

// confirmOwn keeps what this member owns before it reads the first table of a later era,
// or one of an earlier era after a restore. Its ranges are certainly its own while its
// lease holds: lost versions can have given them away only after votes against the lease,
// or after a release.
func (m *Machine) confirmOwn(now time.Time) {
	var confirmed []ownedRange
	if m.IsMember() && now.Before(m.leaseEnd()) {
		away := m.proposedAway()
		for _, r := range m.releases {
			if r.withdrawn {
				away = append(away, r.span)
			}
		}
		for _, row := range m.table.RowsOf(m.host) {
			for _, span := range atlas.Subtract(m.grantable(row), away) {
				confirmed = append(confirmed, ownedRange{span, row.Fence})
			}
		}
	}
	m.confirmed, m.confirmBelow = confirmed, m.era
}

// grantable returns the parts of a row of this member that may be granted. A row whose
// fencing token is from before a restore may have had another owner in a lost version of the
// table, who used a higher token. It is granted only where this member knows that it
// owned it until the restore, or where the upstream still holds it.
func (m *Machine) grantable(row atlas.Row) []atlas.Span {
	if row.Fence.Era() >= m.confirmBelow {
		return []atlas.Span{row.Span}
	}
	var spans []atlas.Span
	for _, owned := range m.confirmedRanges() {
		if cut, ok := owned.span.Intersect(row.Span); ok && owned.fence == row.Fence {
			spans = append(spans, cut)
		}
	}
	return atlas.Merge(spans)
}

// confirmedRanges returns the ranges that this member certainly owned until the restore.
// Until the first grant of this run, these include the ranges that the upstream holds
// since an earlier run.
func (m *Machine) confirmedRanges() []ownedRange {
	if m.upstream.answered || m.book != nil {
		return m.confirmed
	}
	ranges := m.confirmed[:len(m.confirmed):len(m.confirmed)]
	for _, h := range m.upstream.holds {
		if h.Fence%atlas.FencesPerVersion >= m.fenceOffset {
			ranges = append(ranges, ownedRange{h.Span, h.Fence - m.fenceOffset})
		}
	}
	return ranges
}

// ownSpans returns the keys that this member may grant.
func (m *Machine) ownSpans() []atlas.Span {
	var spans []atlas.Span
	for _, row := range m.table.RowsOf(m.host) {
		spans = append(spans, m.grantable(row)...)
	}
	return spans
}

// recordGranted keeps the ranges in the first grant of this run as confirmed.
func (m *Machine) recordGranted() {
	if !m.upstream.answered {
		m.confirmed = m.confirmedRanges()
		m.upstream.answered = true
	}
}

// claims returns the ranges that this member certainly owns though the table names an
// earlier owner, or none: versions of the table are lost.
func (m *Machine) claims() []ownedRange {
	if !m.isRecovering() {
		return nil
	}
	var claims []ownedRange
	for _, owned := range m.confirmedRanges() {
		if owned.fence.Era() >= m.era {
			continue
		}
		rest := []atlas.Span{owned.span}
		for _, row := range m.table.Rows() {
			if row.Fence.Version() >= owned.fence.Version() {
				rest = atlas.Subtract(rest, []atlas.Span{row.Span})
			}
		}
		for _, span := range rest {
			claims = append(claims, ownedRange{span, owned.fence})
		}
	}
	return claims
}

// proposeRecovery adds the changes that are allowed during a recovery: members join and
// leave, and take back what they own. The recovery ends once no lease of an earlier era
// can hold any more.
func (m *Machine) proposeRecovery(now time.Time, c *atlas.Change) {
	m.proposeMembership(now, c)
	m.proposeRequests(now, c)
	if m.IsMember() && now.Before(m.leaseEnd()) {
		for _, owned := range m.claims() {
			if c.Adopt(owned.span, m.host, owned.fence, m.ownRates.Rate(owned.span)) {
				m.note("range of a lost version", "span", owned.span.String(), "fence", uint64(owned.fence))
			}
		}
	}
	m.proposeLeave(now, c)
	if m.recoveryEnds(now) {
		m.note("recovery ends", "era", m.era, "after", now.Sub(m.recoveringSince).String())
		c.EndRecovery()
	}
}

// recoveryEnds reports whether the time of the recovery is over and it is this daemon's
// turn to end it. Witnesses that have read the table renew no lease of an earlier era, so
// the last of these ends one vote timeout after the last of the witnesses has.
func (m *Machine) recoveryEnds(now time.Time) bool {
	if m.recoveringSince.IsZero() {
		m.recoveringSince = now
	}
	if !m.allHaveRead() && now.Sub(m.recoveringSince) < recoveryLimit {
		m.readByAllSince = time.Time{}
		return false
	}
	if m.readByAllSince.IsZero() {
		m.readByAllSince = now
	}
	wait := m.terms.VoteTimeout() + leaseMargin + turnDelay*time.Duration(m.precedingDaemons())
	return now.Sub(m.readByAllSince) >= wait
}

// allHaveRead reports whether all live daemons, each of which may be a witness, have read
// a table of the present era.
func (m *Machine) allHaveRead() bool {
	for _, e := range m.live {
		if e.Inc.Host != m.host && e.Condition != gossip.Stopping && store.Era(e.Version(m.document)) < m.table.Era() {
			return false
		}
	}
	return true
}

// proposeConfirmedFences gives new fencing tokens to the ranges of this member that it
// may not grant under those of an earlier era.
func (m *Machine) proposeConfirmedFences(c *atlas.Change) {
	for _, span := range m.unconfirmedSpans() {
		if c.Assign(span, m.host, "", m.ownRates.Rate(span)) {
			m.note("new fencing token after a restore", "span", span.String())
		}
	}
}

// unconfirmedSpans returns the keys of this member that it may not grant under their
// fencing tokens, without those that it gives away.
func (m *Machine) unconfirmedSpans() []atlas.Span {
	if !m.upstream.present || m.isEnding() {
		return nil
	}
	rest := atlas.Subtract(atlas.Spans(m.table.RowsOf(m.host)), m.ownSpans())
	for _, r := range m.releases {
		rest = atlas.Subtract(rest, []atlas.Span{r.span})
	}
	return rest
}
