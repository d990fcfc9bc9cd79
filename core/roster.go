package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// candidate is a member that may own slots of this member's service.
type candidate struct {
	table.Member
	hash uint64
}

// roster lists the members on the stream that are not gone.
type roster struct {
	stale bool
	all   []table.Member
	// eligible lists the members that may own slots of this member's service.
	eligible  []candidate
	byService map[ident.Service][]table.Member
}

// refreshRoster rebuilds the lists if they are stale.
func (m *Machine) refreshRoster() {
	if !m.roster.stale {
		return
	}
	r := &m.roster
	r.stale = false
	m.dirty = true
	r.all = m.table.Members()
	r.eligible = nil
	r.byService = map[ident.Service][]table.Member{}
	for _, member := range r.all {
		r.byService[member.Service] = append(r.byService[member.Service], member)
		if m.isEligible(&member) {
			r.eligible = append(r.eligible, candidate{Member: member, hash: hostHash(member.Inc)})
		}
	}
	m.trackJoiners()
}

// trackJoiners records since when each eligible member has been eligible.
func (m *Machine) trackJoiners() {
	now := map[ident.Incarnation]time.Time{}
	for _, c := range m.roster.eligible {
		at, known := m.assignment.joinedAt[c.Inc]
		if !known {
			at = m.now
		}
		now[c.Inc] = at
	}
	m.assignment.joinedAt = now
}

// isEligible reports whether a member may own slots of this member's service:
// it is ready, which it shows by naming witnesses, and its place is one that
// the settings allow for the service.
func (m *Machine) isEligible(member *table.Member) bool {
	policy, known := m.policies[m.self.Service]
	return known && member.Service == m.self.Service &&
		(len(policy.Places) == 0 || slices.Contains(policy.Places, member.Place)) &&
		m.table.Witnesses(member.Inc) != nil
}

// liveMembers returns the members on the stream that are not gone.
func (m *Machine) liveMembers() []table.Member {
	m.refreshRoster()
	return m.roster.all
}

// eligible returns the members that may own slots of this member's service.
func (m *Machine) eligible() []candidate {
	m.refreshRoster()
	return m.roster.eligible
}

// isEligibleNow reports whether a member is among the eligible ones.
func (m *Machine) isEligibleNow(inc ident.Incarnation) bool {
	return slices.ContainsFunc(m.eligible(), func(c candidate) bool { return c.Inc == inc })
}

// hostHash returns the hash of a host for rendezvous hashing. It leaves out
// the boot number, so that a restarted host keeps its scores.
func hostHash(inc ident.Incarnation) uint64 { return ident.HashKey(string(inc.Host)) }

// score returns the rendezvous score of a host for a point. It mixes the two
// hashes with the finalizer of MurmurHash3.
func score(point, host uint64) uint64 {
	x := point ^ host
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// compareScores orders two members by their scores for a point, the higher
// score first.
func compareScores(point, a, b uint64, incA, incB ident.Incarnation) int {
	if c := cmp.Compare(score(point, b), score(point, a)); c != 0 {
		return c
	}
	return incB.Compare(incA)
}

// point returns the hash of a slot of the member's service for rendezvous
// hashing.
func (m *Machine) point(n ident.Slot) uint64 {
	return score(uint64(n)+1, ident.HashKey(string(m.self.Service)))
}

// bestCandidate returns the allowed candidate with the highest score for a
// slot, without sorting; false when there is none.
func (m *Machine) bestCandidate(n ident.Slot, list []candidate, allowed func(*candidate) bool) (*candidate, bool) {
	point := m.point(n)
	var found *candidate
	for i := range list {
		c := &list[i]
		if allowed != nil && !allowed(c) {
			continue
		}
		if found == nil || compareScores(point, c.hash, found.hash, c.Inc, found.Inc) < 0 {
			found = c
		}
	}
	return found, found != nil
}

// successors returns the two best successors for a slot of an owner. Those in
// keep that still qualify come first, then members in places other than the
// owner's, then the rest.
func (m *Machine) successors(n ident.Slot, owner ident.Incarnation, keep [2]ident.Incarnation) [2]ident.Incarnation {
	list := m.eligible()
	home, _ := m.table.Member(owner)
	var out [2]ident.Incarnation
	k := 0
	excluded := ident.Incarnation{}
	if m.moves.draining || m.moves.upstreamLost {
		excluded = m.self.Inc
	}
	qualifies := func(inc ident.Incarnation) bool {
		return inc != owner && inc != excluded && inc != out[0] && !m.isSuspect(inc)
	}
	for _, inc := range keep {
		if qualifies(inc) && m.isEligibleNow(inc) {
			out[k] = inc
			k++
		}
	}
	for ; k < len(out); k++ {
		free := func(c *candidate) bool {
			return qualifies(c.Inc) && c.Inc.Host != owner.Host
		}
		c, ok := m.bestCandidate(n, list, func(c *candidate) bool { return free(c) && c.Place != home.Place })
		if !ok {
			c, ok = m.bestCandidate(n, list, free)
		}
		if !ok {
			break
		}
		out[k] = c.Inc
	}
	return out
}

// isSuspect reports whether two matching votes against a member are known.
func (m *Machine) isSuspect(inc ident.Incarnation) bool {
	b := m.ballots.byMember[inc]
	return b != nil && !b.matchedAt.IsZero()
}
