package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
)

const (
	// maxWitnesses is the maximum number of witnesses. Five tolerate the loss
	// of two and keep a member's renewals at a dozen datagrams a second.
	maxWitnesses = 5
	// pickInterval is the time between two reviews of the choice of witnesses.
	pickInterval = 200 * time.Millisecond
	// discoveryTime is how long a daemon that starts waits to learn of others
	// before it chooses witnesses, unless it has found maxWitnesses of them
	// sooner.
	discoveryTime = 300 * time.Millisecond
	// repeatShare is the part of the renewal interval after which a daemon that
	// is not a member yet asks again candidates that have not answered.
	repeatShare = 4
	// goneLengths is how long a witness does not answer, and no daemon of its host
	// is live, before its machine counts as gone, in lengths of a lease.
	goneLengths = 2
	// maxRetried is the number of live daemons that do not answer and are asked
	// all the same, so that they become candidates again once they do.
	maxRetried = 2 * maxWitnesses
)

// inquiry tracks whether a daemon answers the renewals of the present lease
// identity.
type inquiry struct {
	// since is when the first renewal of the present series was sent.
	since time.Time
	// silent is set while the daemon does not answer.
	silent bool
}

// recordAsked records that a renewal is sent to the given daemons, and to no
// others.
func (m *Machine) recordAsked(now time.Time, asked []ident.Incarnation) {
	for _, w := range asked {
		if m.inquiries[w] == nil {
			m.inquiries[w] = &inquiry{since: now}
		}
	}
	for w := range m.inquiries {
		if !slices.Contains(asked, w) {
			delete(m.inquiries, w)
		}
	}
}

// retried returns live daemons that were found not to answer.
func (m *Machine) retried() []ident.Incarnation {
	var retried []ident.Incarnation
	for _, e := range m.live {
		if q := m.inquiries[e.Inc]; q != nil && q.silent && len(retried) < maxRetried {
			retried = append(retried, e.Inc)
		}
	}
	return retried
}

// discountPause excludes a pause of this process from the silence of the daemons
// that it asks: their answers wait to be read.
func (m *Machine) discountPause(gap time.Duration) {
	if gap <= m.terms.Length/4 {
		return
	}
	for w, q := range m.inquiries {
		q.since = m.silentSince(w).Add(gap)
	}
}

// reviewInquiries finds the daemons that are asked and have not answered for half the
// length of a lease.
func (m *Machine) reviewInquiries(now time.Time) {
	for w, q := range m.inquiries {
		q.silent = now.Sub(m.silentSince(w)) > m.terms.Length/2
	}
}

// silentSince returns since when a daemon that is asked has not answered: when
// the newest renewal that it has answered was sent, or the first one of all.
func (m *Machine) silentSince(w ident.Incarnation) time.Time {
	since := m.holder.LastRenewal(w)
	if q := m.inquiries[w]; q != nil && q.since.After(since) {
		since = q.since
	}
	return since
}

// renewalInterval returns the time between two renewals. A daemon that waits to
// join repeats them sooner, since the loss of one answer would delay its join.
func (m *Machine) renewalInterval(now time.Time) time.Duration {
	if m.IsMember() || !slices.ContainsFunc(m.candidates, func(w ident.Incarnation) bool {
		return !m.hasAnswered(now, w) && !m.hadTime(now, w)
	}) {
		return m.terms.Renewal
	}
	return m.terms.Renewal / repeatShare
}

// pickWitnesses chooses the witnesses that the table should name: the healthy
// ones among the current witnesses, then others in an order that is fixed for
// each member and differs between members.
func (m *Machine) pickWitnesses(now time.Time) {
	m.reviewInquiries(now)
	others := make([]ident.Incarnation, 0, len(m.live))
	for _, e := range m.live {
		if e.Inc.Host != m.host && e.Condition != gossip.Stopping && !m.isFailing(e.Inc) {
			others = append(others, e.Inc)
		}
	}
	count := min(maxWitnesses, len(others))
	if count%2 == 0 {
		count--
	}
	if count <= 0 || (count < maxWitnesses && now.Sub(m.started) < discoveryTime) {
		m.candidates = nil
		return
	}
	var picked []ident.Incarnation
	for _, w := range m.holder.Witnesses() {
		if m.IsMember() && len(picked) < count && m.isHealthy(w) {
			picked = append(picked, w)
		}
	}
	if len(picked) < count {
		slices.SortFunc(others, func(a, b ident.Incarnation) int {
			return cmp.Compare(m.witnessRank(a.Host), m.witnessRank(b.Host))
		})
	}
	for _, inc := range others {
		if len(picked) == count {
			break
		}
		if !slices.Contains(picked, inc) {
			picked = append(picked, inc)
		}
	}
	slices.SortFunc(picked, ident.Incarnation.Compare)
	if !slices.Equal(picked, m.candidates) {
		m.candidates = picked
		m.lastRenewal = time.Time{}
	}
}

// witnessRank orders hosts differently for each member, so that the work of
// witnesses is spread over the fleet.
func (m *Machine) witnessRank(host ident.Host) uint64 {
	rank, ok := m.witnessRanks[host]
	if !ok {
		rank = xxhash.Sum64String(string(m.host) + "\x00" + string(host))
		m.witnessRanks[host] = rank
	}
	return rank
}

// isHealthy reports whether a witness answers and is not known to have ended or
// to be stopping.
func (m *Machine) isHealthy(w ident.Incarnation) bool {
	ended := slices.ContainsFunc(m.live, func(e gossip.Entry) bool {
		return e.Inc.Host == w.Host && (e.Inc != w || e.Condition == gossip.Stopping)
	})
	return !ended && !m.isFailing(w)
}

// isFailing reports whether a daemon has voted against the lease, or has not
// answered renewals for half the length of a lease, be it that it never has. A
// daemon that was not asked may be sound.
func (m *Machine) isFailing(w ident.Incarnation) bool {
	q := m.inquiries[w]
	return m.refusedBy[w] || (q != nil && q.silent)
}

// hasAnswered reports whether a daemon has renewed the lease lately.
func (m *Machine) hasAnswered(now time.Time, w ident.Incarnation) bool {
	return !m.refusedBy[w] && now.Sub(m.holder.LastRenewal(w)) <= m.terms.Length/2
}

// hadTime reports whether a daemon was asked long enough ago to have answered.
func (m *Machine) hadTime(now time.Time, w ident.Incarnation) bool {
	q := m.inquiries[w]
	return q != nil && now.Sub(q.since) >= m.terms.Renewal
}

// nameable returns the witnesses that the table may name now, an odd number of
// candidates that answer: all of them, or a majority once the others had time to.
// A witness that may not exist can neither renew a lease nor vote for its end. It
// returns nil if there are too few.
func (m *Machine) nameable(now time.Time) []ident.Incarnation {
	var answering []ident.Incarnation
	for _, w := range m.candidates {
		switch {
		case m.hasAnswered(now, w):
			answering = append(answering, w)
		case !m.hadTime(now, w):
			return nil
		}
	}
	if len(answering) == 0 || len(answering) < lease.Majority(len(m.candidates)) {
		return nil
	}
	if len(answering)%2 == 0 {
		answering = answering[:len(answering)-1]
	}
	return answering
}

// needsWitnesses reports whether the table should name other witnesses, and can:
// so few are healthy that the loss of one more would leave no majority, one that
// is gone can be replaced, or at least two more than the current ones answer.
func (m *Machine) needsWitnesses(now time.Time) bool {
	named, next := m.holder.Witnesses(), m.nameable(now)
	if len(next) == 0 || slices.Equal(named, next) {
		return false
	}
	healthy, gone := 0, false
	for _, w := range named {
		if m.isHealthy(w) {
			healthy++
		}
		gone = gone || m.isGone(now, w)
	}
	return healthy < min(len(named), lease.Majority(len(named))+1) || (gone && len(next) > healthy) || len(next) > len(named)+1
}

// isGone reports whether the machine of a witness is likely lost for good, so that
// nobody can vote in its place.
func (m *Machine) isGone(now time.Time, w ident.Incarnation) bool {
	return now.Sub(m.silentSince(w)) > goneLengths*m.terms.Length &&
		!slices.ContainsFunc(m.live, func(e gossip.Entry) bool { return e.Inc.Host == w.Host })
}

// setWitnesses makes the lease depend on the witnesses that the table names, and
// notes which ones were given up.
func (m *Machine) setWitnesses(now time.Time, next []ident.Incarnation) {
	for _, w := range m.holder.Witnesses() {
		if slices.Contains(next, w) {
			continue
		}
		m.givenUp++
		var silent time.Duration
		if since := m.silentSince(w); !since.IsZero() {
			silent = now.Sub(since)
		}
		m.note("witness given up", "witness", w.String(), "reason", m.reasonAgainst(now, w),
			"answered", !m.holder.LastRenewal(w).IsZero(), "silent", silent.Round(time.Millisecond).String())
	}
	m.holder.SetWitnesses(next)
}

// reasonAgainst returns why a witness is given up, for the log.
func (m *Machine) reasonAgainst(now time.Time, w ident.Incarnation) string {
	for _, e := range m.live {
		switch {
		case e.Inc.Host != w.Host:
		case e.Inc != w:
			return "restarted"
		case e.Condition == gossip.Stopping:
			return "stopping"
		}
	}
	switch {
	case m.refusedBy[w]:
		return "voted against the lease"
	case !m.hasAnswered(now, w):
		return "does not answer"
	}
	return "not needed"
}

// Witnesses returns how many witnesses the table names for this member, and how
// many of them answer.
func (m *Machine) Witnesses(now time.Time) (named, answering int) {
	if !m.IsMember() {
		return 0, 0
	}
	for _, w := range m.holder.Witnesses() {
		named++
		if m.hasAnswered(now, w) {
			answering++
		}
	}
	return named, answering
}

// TakeGivenUp returns the number of witnesses that were replaced or dropped since
// the last call.
func (m *Machine) TakeGivenUp() int {
	n := m.givenUp
	m.givenUp = 0
	return n
}
