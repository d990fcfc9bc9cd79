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
	// roundsKept is the number of most recent renewal rounds whose grants
	// still count.
	roundsKept = 32
	// firstLeaseMultiple is how long a member waits for its first lease before
	// it ends its incarnation, as a multiple of Timings.Lease.
	firstLeaseMultiple = 6
	// retiredMultiple is for how long at most a retired member stays for those
	// that have named it as a witness, as a multiple of Timings.Lease. It
	// equals the time for which these wait for a first lease.
	retiredMultiple = 6
)

// peerState is what a member knows about one of its witnesses or about a
// candidate.
type peerState struct {
	// grantedAt is the send time of the latest round that the peer has
	// granted.
	grantedAt time.Time
	heardAt   time.Time
	seq       ident.Seq
	fenced    bool
}

// lease is the member's own lease.
type lease struct {
	// round is the number of the latest renewal round; sentAt holds the send
	// times of the rounds that still count.
	round  uint64
	sentAt [roundsKept]time.Time
	peers  map[ident.Incarnation]*peerState
	// due is when the next round is sent.
	due time.Time
	end time.Time
	// acquired is set once there was a lease; witnessesAt is when the record
	// of the first witnesses was read back.
	acquired    bool
	witnessesAt time.Time
	// votesAsked is set once the member has asked its witnesses to vote
	// against it.
	votesAsked bool
	// seq is the latest sequence number that the member has announced.
	seq ident.Seq
	// probedAt and probingSince are when candidates were last and first
	// probed; probeOffset is the candidate with which the next round starts.
	probedAt     time.Time
	probingSince time.Time
	probeOffset  int
}

// peer returns the state of a peer; it adds an empty one if there is none.
func (l *lease) peer(inc ident.Incarnation) *peerState {
	p := l.peers[inc]
	if p == nil {
		p = &peerState{}
		l.peers[inc] = p
	}
	return p
}

// renew sends the next round of renewals if it is due.
func (m *Machine) renew() {
	l := &m.lease
	if m.now.Before(l.due) || l.votesAsked {
		return
	}
	l.due = m.now.Add(m.timings.RenewInterval)
	targets := m.renewTargets()
	if len(targets) == 0 {
		return
	}
	m.nextRound()
	for _, w := range targets {
		m.sendRenew(w)
	}
	if !l.acquired && !l.witnessesAt.IsZero() && m.now.Sub(l.witnessesAt) > firstLeaseMultiple*m.timings.Lease {
		m.retire("no lease granted by the witnesses")
	}
}

// nextRound starts a renewal round and records its send time.
func (m *Machine) nextRound() {
	m.lease.round++
	m.lease.sentAt[m.lease.round%roundsKept] = m.now
}

// renewTargets returns the current witnesses and those that a record under way
// adds.
func (m *Machine) renewTargets() []ident.Incarnation {
	set := m.table.Witnesses(m.self.Inc)
	switch {
	case set == nil:
		return m.pendingWitnesses
	case m.numbered != nil && m.numbered.joining != ident.Incarnation{}:
		return append(slices.Clone(set), m.numbered.joining)
	}
	return set
}

// sendRenew asks a witness for a grant and announces the sequence number of
// the record under way. The witness that this record removes does not learn
// the number.
func (m *Machine) sendRenew(to ident.Incarnation) {
	renew := &wire.Renew{Round: m.lease.round, Seq: m.lease.seq}
	switch n := m.numbered; {
	case n == nil:
	case n.leaving == to:
		renew.Seq = n.record.Seq - 1
	default:
		renew.Covers = n.covers()
	}
	m.send(to, wire.Message{Renew: renew})
}

// onGrant counts the grant of a witness or a candidate.
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
	if sent := l.sentAt[g.Round%roundsKept]; sent.After(p.grantedAt) {
		p.grantedAt = sent
	}
	p.heardAt = m.now
	p.seq = max(p.seq, g.Seq)
	m.updateLease()
	if m.synced() && m.retired == "" {
		m.nameWitnesses()
		m.advanceNumbered()
	}
}

// updateLease computes the end of the lease from the grants received so far.
func (m *Machine) updateLease() {
	l := &m.lease
	end := m.leaseEnd()
	if m.retired != "" || end.Equal(l.end) {
		return
	}
	l.end = end
	m.dirty = true
	if !l.acquired && m.hasLease() {
		l.acquired = true
		m.takeovers.recheck = true
		m.emit(events.Event{Kind: events.KindLease})
	}
}

// leaseEnd returns the end of the lease, counted from the send time of the
// second latest grant. While a change of witnesses is under way some readers
// know of it and some do not, so the lease must be valid under both the old
// and the new set.
func (m *Machine) leaseEnd() time.Time {
	set := m.table.Witnesses(m.self.Inc)
	if set == nil {
		return time.Time{}
	}
	at := m.secondGrant(set)
	if n := m.numbered; n != nil && n.record.Kind == table.KindWitnesses {
		if joint := m.secondGrant(n.record.WitnessList.Witnesses); joint.Before(at) {
			at = joint
		}
	}
	if at.IsZero() {
		return at
	}
	return at.Add(m.timings.Lease)
}

// secondGrant returns the send time of the second latest grant of a set of
// witnesses.
func (m *Machine) secondGrant(set []ident.Incarnation) time.Time {
	var first, second time.Time
	for _, w := range set {
		p := m.lease.peers[w]
		switch {
		case p == nil:
		case p.grantedAt.After(first):
			first, second = p.grantedAt, first
		case p.grantedAt.After(second):
			second = p.grantedAt
		}
	}
	return second
}

// onFenced notes that a witness has voted against the member. After the vote
// of a second witness the member retires.
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

// requestVotes asks the witnesses to vote against the member itself, which no
// longer serves requests.
func (m *Machine) requestVotes() {
	if m.lease.votesAsked && m.now.Before(m.lease.due) {
		return
	}
	m.lease.votesAsked = true
	m.lease.due = m.now.Add(m.timings.VoteResend)
	for _, w := range m.table.Witnesses(m.self.Inc) {
		m.lease.peer(w)
		m.send(w, wire.Message{VoteAsk: &wire.VoteAsk{Of: m.self.Inc}})
	}
}
