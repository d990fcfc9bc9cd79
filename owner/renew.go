package owner

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
)

// keptRenewals is the number of recent renewals whose answers are still
// accepted.
const keptRenewals = 16

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
	m.inquiries = make(map[ident.Incarnation]*inquiry)
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
	if !m.wantsLease() {
		// Nobody is asked, so nobody is silent.
		clear(m.inquiries)
		return nil
	}
	if now.Sub(m.lastRenewal) < m.renewalInterval(now) {
		return nil
	}
	m.lastRenewal = now
	m.renewalNumber++
	m.renewals[m.renewalNumber] = now
	delete(m.renewals, m.renewalNumber-keptRenewals)
	to := slices.Clone(m.holder.Witnesses())
	asked := slices.Concat(m.candidates, m.retried())
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
	m.recordAsked(now, to)
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
