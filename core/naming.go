package core

import (
	"cmp"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const (
	// probeWidth is the number of candidates for witness that are asked at once.
	probeWidth = 6
	// maxPeers bounds the candidates that are remembered.
	maxPeers = 64
)

// join announces the member once the stream has been read.
func (m *Machine) join() {
	if m.joinID != 0 {
		return
	}
	self := m.self
	m.joinID = m.write(table.Record{Kind: table.KindJoin, Join: &self})
}

// nameWitnesses names the first three witnesses, out of candidates that
// answer within a moment, lest those that joined first serve everyone. A member that has witnesses is ready to own, so one without an
// upstream names none yet.
func (m *Machine) nameWitnesses() {
	if !m.upstream || m.nameID != 0 || m.moves.draining || !m.table.Live(m.self.Inc) {
		return
	}
	m.probe(nil)
	if m.lease.asking.IsZero() {
		m.lease.asking = m.now
	}
	set := m.choose(nil, table.WitnessCount)
	if len(set) < table.WitnessCount || m.now.Sub(m.lease.asking) < m.timings.Renew/2 {
		return
	}
	m.named = set
	m.nameID = m.write(table.Record{Kind: table.KindWitnesses, Names: &table.Names{Witnesses: set}})
}

// probe asks some candidates for a grant, to learn which of them are there.
func (m *Machine) probe(kept []ident.Incarnation) {
	l := &m.lease
	if m.now.Before(l.probed.Add(m.timings.Renew)) {
		return
	}
	l.probed = m.now
	m.prunePeers()
	list := m.candidates(kept)
	if len(list) == 0 {
		return
	}
	m.nextRound()
	for i := range min(probeWidth, len(list)) {
		w := list[(l.probeFrom+i)%len(list)].Inc
		l.peer(w)
		m.sendRenew(w)
	}
	if len(list) > probeWidth {
		l.probeFrom = (l.probeFrom + probeWidth/2) % len(list)
	}
}

// choose returns want candidates that answered lately, by preference. It
// returns fewer when there are not that many.
func (m *Machine) choose(kept []ident.Incarnation, want int) []ident.Incarnation {
	var picked []ident.Incarnation
	for len(picked) < want {
		list := m.candidates(slices.Concat(kept, picked))
		i := slices.IndexFunc(list, func(c ranked) bool { return m.answers(c.Inc) })
		if i < 0 {
			return picked
		}
		picked = append(picked, list[i].Inc)
	}
	return picked
}

func (m *Machine) answers(inc ident.Incarnation) bool {
	p := m.lease.peers[inc]
	return p != nil && !p.fenced && !p.heard.IsZero() && m.now.Sub(p.heard) <= 2*m.timings.Renew
}

// candidates returns the members that could be witnesses beside the kept
// ones: those of other hosts, first of places of the member's region that no
// kept one is in, its own place last among them, then what there is. So the
// loss of one place takes one witness of a member that it spares.
func (m *Machine) candidates(kept []ident.Incarnation) []ranked {
	places := map[ident.Place]int{}
	hosts := map[ident.Host]bool{m.self.Inc.Host: true}
	for _, inc := range kept {
		hosts[inc.Host] = true
		if w, ok := m.table.Member(inc); ok {
			places[w.Place]++
		}
	}
	own := ident.HashKey(m.self.Inc.String())
	var list []ranked
	for _, c := range m.live() {
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
		list = append(list, ranked{Member: c, tier: tier, score: score(own, hostHash(c.Inc))})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.score, a.score), a.Inc.Compare(b.Inc))
	})
	return list
}

// ranked is a candidate with its tier, lower ones first, and its score within
// the tier.
type ranked struct {
	table.Member
	tier  int
	score uint64
}

// replaceWitness names another witness for one that is silent or gone, while
// the other two hold. One that has left the stream holds as long as it still
// grants. The number is announced to these two and not to the one that goes, so
// that no vote of the latter can match one of theirs.
func (m *Machine) replaceWitness() *numbered {
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
		if m.isSilent(w) || m.now.Sub(m.lease.peer(w).heard) > m.timings.Lease {
			return nil
		}
	}
	// The lost one is no candidate, though it may be what there is.
	m.probe(set)
	next := m.choose(set, 1)
	if len(next) == 0 || !m.spend() {
		return nil
	}
	return &numbered{
		record: table.Record{
			Kind:  table.KindWitnesses,
			Names: &table.Names{Witnesses: append(slices.Clone(kept), next[0])},
		},
		told:    kept,
		leaving: set[lost],
		joining: next[0],
	}
}

// isSilent reports whether a witness grants nothing any more.
func (m *Machine) isSilent(w ident.Incarnation) bool {
	p := m.lease.peer(w)
	heard := p.heard
	if heard.IsZero() {
		heard = m.lease.since
	}
	return p.fenced || m.now.Sub(heard) > m.timings.Silence
}

// prunePeers forgets candidates that are not needed any more.
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
