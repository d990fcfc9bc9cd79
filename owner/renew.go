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
	// keptRenewals is the number of recent renewals whose answers are still
	// accepted.
	keptRenewals = 16
	// pickInterval is the time between two reviews of the choice of witnesses.
	pickInterval = 200 * time.Millisecond
	// discoveryTime is how long a daemon that starts waits to learn of others
	// before it chooses witnesses, unless it has found maxWitnesses of them
	// sooner.
	discoveryTime = 300 * time.Millisecond
)

// RecordRenewal records a witness's answer to the renewal with the given number.
func (m *Machine) RecordRenewal(by ident.Incarnation, number uint64) {
	if sent, ok := m.renewals[number]; ok {
		m.holder.RecordRenewal(by, sent)
	}
}

// RecordFenced records that a witness has voted against a lease and will not renew it
// again.
func (m *Machine) RecordFenced(by, lease ident.Incarnation) {
	if lease == m.Lease() && !m.refusedBy[by] {
		m.refusedBy[by] = true
		m.note("witness has voted against the lease", "witness", by.String(), "lease", lease.String())
	}
}

// replaceRefusedLease starts a new lease identity once the current lease has
// expired and witnesses have voted against it: those witnesses never renew it
// again.
func (m *Machine) replaceRefusedLease(now time.Time) {
	if len(m.refusedBy) == 0 || now.Before(m.holder.Expiry()) {
		return
	}
	m.boot++
	m.confirmed = nil
	m.refusedBy = make(map[ident.Incarnation]bool)
	m.holder = lease.NewHolder(m.terms)
	m.renewals = make(map[uint64]time.Time)
	m.lastRenewal = time.Time{}
	m.note("new lease identity", "lease", m.Lease().String())
}

// renew returns the renewals that are due, one for each witness that the table,
// a pending proposal or the candidates name.
func (m *Machine) renew(now time.Time) []Message {
	m.replaceRefusedLease(now)
	if now.Sub(m.lastPick) >= pickInterval || !m.IsMember() {
		m.lastPick = now
		m.pickWitnesses(now)
	}
	if now.Sub(m.lastRenewal) < m.terms.Renewal || !m.wantsLease() {
		return nil
	}
	m.lastRenewal = now
	m.renewalNumber++
	m.renewals[m.renewalNumber] = now
	delete(m.renewals, m.renewalNumber-keptRenewals)
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
			From: m.Lease(), Renewal: &gossip.Renewal{Number: m.renewalNumber}, TableEra: m.table.Era() + 1,
		}})
	}
	return messages
}

// wantsLease reports whether this daemon holds a lease or needs one to join.
func (m *Machine) wantsLease() bool {
	return m.hasTable && (m.IsMember() || m.canOwnKeys())
}

// pickWitnesses chooses the witnesses that the table should name: the healthy
// ones among the current witnesses, then others in an order that is fixed for
// each member and differs between members.
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
	if count <= 0 || (count < maxWitnesses && now.Sub(m.started) < discoveryTime) {
		m.candidates = nil
		return
	}
	var picked []ident.Incarnation
	for _, w := range m.holder.Witnesses() {
		if m.IsMember() && len(picked) < count && m.isHealthy(now, w) {
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
		if !slices.Contains(picked, inc) && !m.isFailing(now, inc) {
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

// isHealthy reports whether a witness has answered recently and is not known to
// have ended or to be stopping.
func (m *Machine) isHealthy(now time.Time, w ident.Incarnation) bool {
	ended := slices.ContainsFunc(m.live, func(e gossip.Entry) bool {
		return e.Inc.Host == w.Host && (e.Inc != w || e.Condition == gossip.Stopping)
	})
	return !ended && !m.isFailing(now, w)
}

// isFailing reports whether a witness has voted against the lease, or has not
// answered renewals for half the length of a lease.
func (m *Machine) isFailing(now time.Time, w ident.Incarnation) bool {
	if m.refusedBy[w] {
		return true
	}
	if !slices.Contains(m.holder.Witnesses(), w) {
		return false
	}
	last := m.holder.LastRenewal(w)
	return !last.IsZero() && now.Sub(last) > m.terms.Length/2
}

// needsWitnesses reports whether the table should name other witnesses: so few
// are healthy that the loss of one more would leave no majority, or the
// candidates are at least two more than the current witnesses.
func (m *Machine) needsWitnesses(now time.Time) bool {
	named := m.holder.Witnesses()
	healthy := 0
	for _, w := range named {
		if m.isHealthy(now, w) {
			healthy++
		}
	}
	if len(m.candidates) == 0 || slices.Equal(named, m.candidates) {
		return false
	}
	return healthy < min(len(named), lease.Majority(len(named))+1) || len(m.candidates) > len(named)+1
}

// candidatesHoldLease reports whether the lease holds with a majority of the
// candidates for more than half its length.
func (m *Machine) candidatesHoldLease(now time.Time) bool {
	return len(m.candidates) > 0 && m.holder.ExpiryWith(m.candidates).Sub(now) > m.terms.Length/2
}
