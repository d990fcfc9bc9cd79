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
	// maxWitnesses is the largest number of witnesses. Five bear the loss of two
	// and keep a member's renewals at a dozen datagrams a second.
	maxWitnesses = 5
	// keptRenewals is the number of renewals whose answers still count.
	keptRenewals = 16
	// pickInterval is the time between two looks at the choice of witnesses.
	pickInterval = 200 * time.Millisecond
	// gatherTime is how long a daemon that starts listens for others before it
	// picks witnesses, unless it knows enough of them.
	gatherTime = 300 * time.Millisecond
)

// Renewed takes a witness's answer to a renewal.
func (m *Machine) Renewed(by ident.Incarnation, number uint64) {
	if sent, ok := m.renewals[number]; ok {
		m.holder.Renewed(by, sent)
	}
}

// Fenced takes a witness's word that it has voted against a lease.
func (m *Machine) Fenced(by, lease ident.Incarnation) {
	if lease == m.Lease() && !m.refused[by] {
		m.refused[by] = true
		m.note("witness refuses the lease", "witness", by.String(), "lease", lease.String())
	}
}

// rename starts a new lease identity when witnesses have voted against the
// present one and it has lapsed: they will never renew it again.
func (m *Machine) rename(now time.Time) {
	if len(m.refused) == 0 || now.Before(m.holder.Until()) {
		return
	}
	m.boot++
	m.refused = make(map[ident.Incarnation]bool)
	m.holder = lease.NewHolder(m.terms)
	m.renewals = make(map[uint64]time.Time)
	m.renewed = time.Time{}
	m.note("new lease identity", "lease", m.Lease().String())
}

// renew sends renewals when they are due.
func (m *Machine) renew(now time.Time) []Message {
	m.rename(now)
	if now.Sub(m.picked) >= pickInterval || !m.IsMember() {
		m.picked = now
		m.pickWitnesses(now)
	}
	if now.Sub(m.renewed) < m.terms.Renewal || !m.wantsLease() {
		return nil
	}
	m.renewed = now
	m.number++
	m.renewals[m.number] = now
	delete(m.renewals, m.number-keptRenewals)
	to := slices.Clone(m.holder.Witnesses())
	asked := m.candidates
	if m.proposal != nil {
		if member, ok := m.proposal.Member(m.host); ok && member.Inc == m.Lease() {
			asked = slices.Concat(asked, member.Witnesses)
		}
	}
	for _, w := range asked {
		if !slices.Contains(to, w) {
			to = append(to, w)
		}
	}
	messages := make([]Message, 0, len(to))
	for _, w := range to {
		messages = append(messages, Message{To: w.Host, Message: gossip.Message{
			From: m.Lease(), Renewal: &gossip.Renewal{Number: m.number},
		}})
	}
	return messages
}

// wantsLease reports whether the member holds or needs a lease.
func (m *Machine) wantsLease() bool {
	return m.read && (m.IsMember() || m.wantsKeys())
}

// pickWitnesses chooses the witnesses that the table should name: the present
// ones that are well, and others by a fixed rank of their own for each member.
func (m *Machine) pickWitnesses(now time.Time) {
	others := make([]ident.Incarnation, 0, len(m.live))
	for _, e := range m.live {
		if e.Inc.Host != m.host && e.Condition != gossip.Stopping {
			others = append(others, e.Inc)
		}
	}
	count := min(maxWitnesses, len(others))
	if count%2 == 0 {
		count--
	}
	if count <= 0 || (count < maxWitnesses && now.Sub(m.started) < gatherTime) {
		m.candidates = nil
		return
	}
	var picked []ident.Incarnation
	for _, w := range m.holder.Witnesses() {
		if m.IsMember() && len(picked) < count && m.isWell(now, w) {
			picked = append(picked, w)
		}
	}
	if len(picked) < count {
		slices.SortFunc(others, func(a, b ident.Incarnation) int {
			return cmp.Compare(m.rank(a.Host), m.rank(b.Host))
		})
	}
	for _, inc := range others {
		if len(picked) == count {
			break
		}
		if !slices.Contains(picked, inc) && !m.isFailing(now, inc) {
			picked = append(picked, inc)
		}
	}
	slices.SortFunc(picked, ident.Incarnation.Compare)
	if !slices.Equal(picked, m.candidates) {
		m.candidates = picked
		m.renewed = time.Time{}
	}
}

// rank orders hosts differently for each member, so that the duty of a witness
// is spread.
func (m *Machine) rank(host ident.Host) uint64 {
	rank, ok := m.ranks[host]
	if !ok {
		rank = xxhash.Sum64String(string(m.host) + "\x00" + string(host))
		m.ranks[host] = rank
	}
	return rank
}

// isWell reports whether a witness has answered lately and is not known to have
// ended.
func (m *Machine) isWell(now time.Time, w ident.Incarnation) bool {
	ended := slices.ContainsFunc(m.live, func(e gossip.Entry) bool {
		return e.Inc.Host == w.Host && (e.Inc != w || e.Condition == gossip.Stopping)
	})
	return !ended && !m.isFailing(now, w)
}

// isFailing reports whether a witness has voted against the lease, or has left
// renewals unanswered for half a lease.
func (m *Machine) isFailing(now time.Time, w ident.Incarnation) bool {
	if m.refused[w] {
		return true
	}
	if !slices.Contains(m.holder.Witnesses(), w) {
		return false
	}
	last := m.holder.Answers(w)
	return !last.IsZero() && now.Sub(last) > m.terms.Length/2
}

// needsWitnesses reports whether so many witnesses are gone that the table should
// name others: one more loss would leave no majority.
func (m *Machine) needsWitnesses(now time.Time) bool {
	named := m.holder.Witnesses()
	well := 0
	for _, w := range named {
		if m.isWell(now, w) {
			well++
		}
	}
	if len(m.candidates) == 0 || slices.Equal(named, m.candidates) {
		return false
	}
	return well < min(len(named), lease.Majority(len(named))+1) || len(m.candidates) > len(named)+1
}

// isCovered reports whether a majority of the candidates holds the lease for a
// good while.
func (m *Machine) isCovered(now time.Time) bool {
	return len(m.candidates) > 0 && m.holder.UntilWith(m.candidates).Sub(now) > m.terms.Length/2
}
