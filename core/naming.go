package core

import (
	"cmp"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const (
	// probeWidth is the number of witness candidates that are probed at once.
	probeWidth = 6
	// maxPeers is the number of known peers from which on candidates that are
	// not needed are removed.
	maxPeers = 64
)

// join appends the join record of the member once the stream has been read.
func (m *Machine) join() {
	if m.joinID != 0 {
		return
	}
	self := m.self
	m.joinID = m.write(table.Record{Kind: table.KindJoin, Join: &self})
}

// nameWitnesses names the first three witnesses. It waits for half a renewal
// interval for candidates to answer, so that the members that joined first do
// not become the witnesses of all others. A member with witnesses counts as
// ready to own slots, so a member without an upstream names none yet.
func (m *Machine) nameWitnesses() {
	if !m.upstream || m.witnessesID != 0 || m.moves.draining || !m.table.Live(m.self.Inc) {
		return
	}
	m.probe(nil)
	if m.lease.probingSince.IsZero() {
		m.lease.probingSince = m.now
	}
	set := m.chooseWitnesses(nil, table.WitnessCount)
	if len(set) < table.WitnessCount || m.now.Sub(m.lease.probingSince) < m.timings.RenewInterval/2 {
		return
	}
	m.pendingWitnesses = set
	m.witnessesID = m.write(table.Record{Kind: table.KindWitnesses, WitnessList: &table.WitnessList{Witnesses: set}})
}

// probe asks some candidates for a grant, to find out which of them are
// reachable.
func (m *Machine) probe(kept []ident.Incarnation) {
	l := &m.lease
	if m.now.Before(l.probedAt.Add(m.timings.RenewInterval)) {
		return
	}
	l.probedAt = m.now
	m.prunePeers()
	list := m.witnessCandidates(kept)
	if len(list) == 0 {
		return
	}
	m.nextRound()
	for i := range min(probeWidth, len(list)) {
		w := list[(l.probeOffset+i)%len(list)].Inc
		l.peer(w)
		m.sendRenew(w)
	}
	if len(list) > probeWidth {
		l.probeOffset = (l.probeOffset + probeWidth/2) % len(list)
	}
}

// chooseWitnesses returns up to want candidates that have answered lately, the
// preferred ones first.
func (m *Machine) chooseWitnesses(kept []ident.Incarnation, want int) []ident.Incarnation {
	var picked []ident.Incarnation
	for len(picked) < want {
		list := m.witnessCandidates(slices.Concat(kept, picked))
		i := slices.IndexFunc(list, func(c rankedMember) bool { return m.hasAnswered(c.Inc) })
		if i < 0 {
			return picked
		}
		picked = append(picked, list[i].Inc)
	}
	return picked
}

// hasAnswered reports whether a peer has granted within the last two renewal
// intervals and has not voted against the member.
func (m *Machine) hasAnswered(inc ident.Incarnation) bool {
	p := m.lease.peers[inc]
	return p != nil && !p.fenced && !p.heardAt.IsZero() && m.now.Sub(p.heardAt) <= 2*m.timings.RenewInterval
}

// witnessCandidates returns the members on other hosts that could be witnesses
// beside the kept ones. Members of the same region come first; among them,
// places without a kept witness, and the member's own place after the others.
// So the loss of one place takes at most one witness of a member outside it,
// given enough places.
func (m *Machine) witnessCandidates(kept []ident.Incarnation) []rankedMember {
	places := map[ident.Place]int{}
	hosts := map[ident.Host]bool{m.self.Inc.Host: true}
	for _, inc := range kept {
		hosts[inc.Host] = true
		if w, ok := m.table.Member(inc); ok {
			places[w.Place]++
		}
	}
	own := ident.HashKey(m.self.Inc.String())
	var list []rankedMember
	for _, c := range m.liveMembers() {
		if p := m.lease.peers[c.Inc]; hosts[c.Inc.Host] || p != nil && p.fenced {
			continue
		}
		tier := 2 * places[c.Place]
		if c.Place == m.self.Place {
			tier++
		}
		if c.Region != m.self.Region {
			tier += 2 * table.WitnessCount
		}
		list = append(list, rankedMember{Member: c, tier: tier, score: score(own, hostHash(c.Inc))})
	}
	slices.SortFunc(list, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.score, a.score), a.Inc.Compare(b.Inc))
	})
	return list
}

// rankedMember is a candidate with its tier, where lower ones come first, and
// its score within the tier.
type rankedMember struct {
	table.Member
	tier  int
	score uint64
}

// replaceWitness returns a record that replaces a witness that is silent or
// gone, while the other two still grant; nil when none is due. Silent
// witnesses are replaced first: one that has left the stream counts as long as
// it still grants. The sequence number is announced to the two that stay and
// not to the one that is replaced, so that no vote of the latter can match one
// of theirs.
func (m *Machine) replaceWitness() *numberedRecord {
	set := m.table.Witnesses(m.self.Inc)
	if set == nil {
		return nil
	}
	lost := slices.IndexFunc(set, m.isSilent)
	if lost < 0 {
		lost = slices.IndexFunc(set, func(w ident.Incarnation) bool { return !m.table.Live(w) })
	}
	if lost < 0 {
		return nil
	}
	kept := slices.Delete(slices.Clone(set), lost, lost+1)
	for _, w := range kept {
		if m.isSilent(w) || m.now.Sub(m.lease.peer(w).heardAt) > m.timings.Lease {
			return nil
		}
	}
	// The lost witness is excluded too, even if no other candidate exists.
	m.probe(set)
	next := m.chooseWitnesses(set, 1)
	if len(next) == 0 || !m.allowAppend() {
		return nil
	}
	return &numberedRecord{
		record: table.Record{
			Kind:        table.KindWitnesses,
			WitnessList: &table.WitnessList{Witnesses: append(slices.Clone(kept), next[0])},
		},
		announcedTo: kept,
		leaving:     set[lost],
		joining:     next[0],
	}
}

// isSilent reports whether a witness has voted against the member or has
// granted nothing for Timings.WitnessSilence.
func (m *Machine) isSilent(w ident.Incarnation) bool {
	p := m.lease.peer(w)
	heard := p.heardAt
	if heard.IsZero() {
		heard = m.lease.witnessesAt
	}
	return p.fenced || m.now.Sub(heard) > m.timings.WitnessSilence
}

// prunePeers removes candidates that are no longer needed. Live peers that
// have voted against the member stay, as they must not become witnesses again.
func (m *Machine) prunePeers() {
	if len(m.lease.peers) < maxPeers {
		return
	}
	set := m.renewTargets()
	for inc, p := range m.lease.peers {
		if !slices.Contains(set, inc) && (!p.fenced || !m.table.Live(inc)) {
			delete(m.lease.peers, inc)
		}
	}
}
