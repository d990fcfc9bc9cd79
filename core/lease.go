package core

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	// roundsKept is the number of renewal rounds whose grants still count.
	roundsKept = 32
	// leaseless is how many leases' time a member waits for its first lease
	// before it ends its incarnation.
	leaseless = 6
	// restLeases is how many leases' time a retired member stays for those that
	// have named it as a witness, at the most. It is as long as they wait for a
	// first lease.
	restLeases = 6
)

// peer is what a member knows of one of its witnesses or of a candidate.
type peer struct {
	// granted is the send time of the latest round that the peer granted.
	granted time.Time
	heard   time.Time
	seq     ident.Seq
	fenced  bool
}

// lease is the member's own lease.
type lease struct {
	round uint64
	sent  [roundsKept]time.Time
	peers map[ident.Incarnation]*peer
	due   time.Time
	end   time.Time
	// had is set once there was a lease; since is when the first witnesses
	// were read back.
	had   bool
	since time.Time
	// asked is set once the member has asked its witnesses to vote.
	asked bool
	seq   ident.Seq
	// probed and asking are when candidates were last and first asked,
	// probeFrom with which of them the next round begins.
	probed    time.Time
	asking    time.Time
	probeFrom int
}

func (l *lease) peer(inc ident.Incarnation) *peer {
	p := l.peers[inc]
	if p == nil {
		p = &peer{}
		l.peers[inc] = p
	}
	return p
}

// renew sends the next round of renewals when it is due.
func (m *Machine) renew() {
	l := &m.lease
	if m.now.Before(l.due) || l.asked {
		return
	}
	l.due = m.now.Add(m.timings.Renew)
	targets := m.renewTargets()
	if len(targets) == 0 {
		return
	}
	m.nextRound()
	for _, w := range targets {
		m.sendRenew(w)
	}
	if !l.had && !l.since.IsZero() && m.now.Sub(l.since) > leaseless*m.timings.Lease {
		m.retire("no lease from the witnesses")
	}
}

func (m *Machine) nextRound() {
	m.lease.round++
	m.lease.sent[m.lease.round%roundsKept] = m.now
}

// renewTargets returns the witnesses in force and those that are about to be.
func (m *Machine) renewTargets() []ident.Incarnation {
	set := m.table.Witnesses(m.self.Inc)
	switch {
	case set == nil:
		return m.named
	case m.number != nil && m.number.joining != ident.Incarnation{}:
		return append(slices.Clone(set), m.number.joining)
	}
	return set
}

// sendRenew asks for a grant and announces the member's number. The witness
// that a pending record removes is not told that record's number.
func (m *Machine) sendRenew(to ident.Incarnation) {
	renew := &wire.Renew{Round: m.lease.round, Seq: m.lease.seq}
	switch n := m.number; {
	case n == nil:
	case n.leaving == to:
		renew.Seq = n.record.Seq - 1
	default:
		renew.Covers = n.covers()
	}
	m.send(to, wire.Message{Renew: renew})
}

func (m *Machine) onGrant(from ident.Incarnation, g *wire.Grant) {
	l := &m.lease
	p := l.peers[from]
	if p == nil && !slices.Contains(m.renewTargets(), from) {
		return
	}
	if g.Round == 0 || g.Round > l.round || l.round-g.Round >= roundsKept {
		return
	}
	p = l.peer(from)
	if sent := l.sent[g.Round%roundsKept]; sent.After(p.granted) {
		p.granted = sent
	}
	p.heard = m.now
	p.seq = max(p.seq, g.Seq)
	m.updateLease()
	if m.synced() && m.retired == "" {
		m.nameWitnesses()
		m.advance()
	}
}

// updateLease sets the end of the lease from the grants so far.
func (m *Machine) updateLease() {
	l := &m.lease
	end := m.leaseEnd()
	if m.retired != "" || end.Equal(l.end) {
		return
	}
	l.end = end
	m.dirty = true
	if !l.had && m.holds() {
		l.had = true
		m.takes.check = true
		m.emit(events.Event{Kind: events.KindLease})
	}
}

// leaseEnd counts from the second latest round that was granted. While a
// change of witnesses is under way some readers know it and some do not, so
// the lease must hold by the old set and by the new one.
func (m *Machine) leaseEnd() time.Time {
	set := m.table.Witnesses(m.self.Inc)
	if set == nil {
		return time.Time{}
	}
	at := m.secondGrant(set)
	if n := m.number; n != nil && n.record.Kind == table.KindWitnesses {
		if joint := m.secondGrant(n.record.Names.Witnesses); joint.Before(at) {
			at = joint
		}
	}
	if at.IsZero() {
		return at
	}
	return at.Add(m.timings.Lease)
}

// secondGrant returns the send time of the second latest grant of a set.
func (m *Machine) secondGrant(set []ident.Incarnation) time.Time {
	var first, second time.Time
	for _, w := range set {
		p := m.lease.peers[w]
		switch {
		case p == nil:
		case p.granted.After(first):
			first, second = p.granted, first
		case p.granted.After(second):
			second = p.granted
		}
	}
	return second
}

// onFenced notes that a witness has voted against the member.
func (m *Machine) onFenced(from ident.Incarnation) {
	p := m.lease.peers[from]
	if p == nil {
		return
	}
	p.fenced = true
	count := 0
	for _, w := range m.table.Witnesses(m.self.Inc) {
		if q := m.lease.peers[w]; q != nil && q.fenced {
			count++
		}
	}
	if count >= table.WitnessCount-1 {
		m.emit(events.Event{Kind: events.KindFenced, Member: from})
		m.retire("fenced by two witnesses")
	}
}

// askVotes has the witnesses vote against the member itself, which serves
// nothing any more.
func (m *Machine) askVotes() {
	if m.lease.asked && m.now.Before(m.lease.due) {
		return
	}
	m.lease.asked = true
	m.lease.due = m.now.Add(m.timings.VoteResend)
	for _, w := range m.table.Witnesses(m.self.Inc) {
		m.lease.peer(w)
		m.send(w, wire.Message{VoteAsk: &wire.VoteAsk{Of: m.self.Inc}})
	}
}
