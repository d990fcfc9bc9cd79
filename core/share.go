package core

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// joinerPeriod is how long a member counts as new after it has become ready.
// Later only load decides which slots move.
const joinerPeriod = 2 * time.Minute

const (
	// maxRefreshJitter bounds the random part of the time between two checks
	// of the successor lists, which keeps members from renewing the lists at
	// the same time.
	maxRefreshJitter = 5 * time.Second
	// refreshJitterPerMember is by how much each live member raises the upper
	// limit of that random part.
	refreshJitterPerMember = 12 * time.Millisecond
	// maxRefreshSlots bounds the slots in one record that renews successor
	// lists, and so the slots that can't be taken over while the record is
	// under way.
	maxRefreshSlots = 64
)

// assignment is the state of the duties that assign slots to members: claims
// of claimable slots, moves to new members and the renewal of successor lists.
type assignment struct {
	// upstreamAt is when the upstream last came up; claimableAt is when the
	// number of claimable slots last changed.
	upstreamAt   time.Time
	claimableAt  time.Time
	rebalancedAt time.Time
	// refreshDue is when successor lists are checked next.
	refreshDue time.Time
	// joinedAt holds since when each eligible member has been eligible; zero
	// for a member that counts as new no longer.
	joinedAt map[ident.Incarnation]time.Time
	// declaredID is the id number of the service record that this member has
	// appended; zero when it appended none.
	declaredID uint64
}

// declareService appends the record of the member's service when its settings
// are known and the stream has no such record. Members take turns, in the
// order of dutyRank.
func (m *Machine) declareService() {
	policy, known := m.policies[m.self.Service]
	if hashed, _ := m.table.Slots(m.self.Service); !known || hashed > 0 || m.assignment.declaredID != 0 ||
		!m.table.Live(m.self.Inc) {
		return
	}
	turn := m.dutyRank(ident.HashKey(string(m.self.Service)), m.liveMembers())
	if m.now.Sub(m.stream.baseAt) < time.Duration(turn)*m.timings.DutyDelay || !m.allowAppend() {
		return
	}
	count := policy.Slots
	if count == 0 {
		count = ident.DefaultSlots
	}
	m.assignment.declaredID = m.write(table.Record{
		Kind:    table.KindService,
		Service: &table.Service{Name: m.self.Service, Slots: count},
	})
}

// dutyRank returns how many of the listed members come before this one for a
// duty, by rendezvous score.
func (m *Machine) dutyRank(point uint64, list []table.Member) int {
	own, turn := hostHash(m.self.Inc), 0
	for i := range list {
		if list[i].Inc != m.self.Inc &&
			compareScores(point, hostHash(list[i].Inc), own, list[i].Inc, m.self.Inc) < 0 {
			turn++
		}
	}
	return turn
}

// claimSlots claims the claimable slots that rendezvous hashing assigns to this
// member. The longer slots stay claimable, the more members may claim them, in
// the order of their scores.
func (m *Machine) claimSlots() {
	if len(m.slots.claimable) == 0 || !m.upstream || !m.hasLease() || m.moves.draining ||
		m.outbox.hasPending(table.KindClaim) || !m.isEligibleNow(m.self.Inc) {
		return
	}
	waited := min(m.now.Sub(m.assignment.upstreamAt), m.now.Sub(m.lease.witnessesAt))
	depth := int(min(waited, m.now.Sub(m.assignment.claimableAt)) / m.timings.DutyDelay)
	var list []table.Change
	var claimed []ident.Slot
	for _, n := range m.slots.claimable {
		st, _ := m.table.State(m.shard(n))
		if st.Epoch == 0 && waited < m.timings.ClaimDelay || !m.ranksWithin(n, depth) {
			continue
		}
		list = append(list, table.Change{
			Slot: n, Replaces: st.Epoch, Successors: m.successors(n, m.self.Inc, [2]ident.Incarnation{}),
		})
		claimed = append(claimed, n)
	}
	for part := range slices.Chunk(list, table.MaxChanges) {
		if !m.allowAppend() {
			break
		}
		m.write(table.Record{Kind: table.KindClaim, Changes: &table.Changes{
			Service: m.self.Service, To: m.self.Inc, Slots: part,
		}})
	}
	m.emitSlots(events.Event{Kind: events.KindClaim}, claimed)
}

// ranksWithin reports whether at most depth candidates rank before the member
// for a slot.
func (m *Machine) ranksWithin(n ident.Slot, depth int) bool {
	point, own := m.point(n), hostHash(m.self.Inc)
	for i := range m.roster.eligible {
		c := &m.roster.eligible[i]
		if c.Inc != m.self.Inc && !m.isSuspect(c.Inc) &&
			compareScores(point, c.hash, own, c.Inc, m.self.Inc) < 0 {
			depth--
			if depth < 0 {
				return false
			}
		}
	}
	return true
}

// nextSuccessors returns a record that renews the successor lists that name a
// lost member; nil when none is due. It checks them at most once per
// Timings.RefreshInterval plus a random time, unless a record was full.
func (m *Machine) nextSuccessors() *numberedRecord {
	if m.moves.draining || m.moves.upstreamLost || m.now.Before(m.assignment.refreshDue) {
		return nil
	}
	m.assignment.refreshDue = m.now.Add(m.timings.RefreshInterval + m.jitter(maxRefreshJitter, refreshJitterPerMember))
	m.rescan()
	var list []table.Change
	for _, n := range m.slots.owned {
		if _, stopped := m.moves.stops[n]; stopped || len(list) >= maxRefreshSlots {
			continue
		}
		st, _ := m.table.State(m.shard(n))
		if m.areReady(st.Successors) {
			continue
		}
		next := m.successors(n, m.self.Inc, st.Successors)
		if next != st.Successors {
			list = append(list, table.Change{Slot: n, Replaces: st.Epoch, Successors: next})
		}
	}
	if len(list) == 0 || !m.allowAppend() {
		return nil
	}
	if len(list) == maxRefreshSlots {
		m.assignment.refreshDue = m.now
	}
	return m.changesRecord(table.KindSuccessors, ident.Incarnation{}, list)
}

// areReady reports whether all successors are set, live and not suspected.
func (m *Machine) areReady(list [2]ident.Incarnation) bool {
	for _, inc := range list {
		if inc.IsZero() || !m.table.Live(inc) || m.isSuspect(inc) {
			return false
		}
	}
	return true
}

// rebalance moves slots to the new members that rendezvous hashing assigns
// them to, a few at a time and never beyond a fair share.
func (m *Machine) rebalance() {
	if m.now.Sub(m.assignment.rebalancedAt) < m.timings.RebalanceInterval || m.moves.draining || m.moves.upstreamLost ||
		!m.hasLease() || len(m.slots.owned) == 0 || len(m.moves.stops) > 0 {
		return
	}
	m.assignment.rebalancedAt = m.now
	list := m.eligible()
	fair := m.fairShare(list)
	joiners := m.joinersBelowShare(list, fair)
	if len(joiners) == 0 {
		return
	}
	budget := max(1, m.timings.RebalanceSlots/m.countAbove(list, fair))
	given := map[ident.Incarnation][]ident.Slot{}
	for _, n := range m.slots.owned {
		c, ok := m.bestCandidate(n, list, func(c *candidate) bool { return !m.isSuspect(c.Inc) })
		if !ok || c.Inc == m.self.Inc || len(given[c.Inc]) >= min(budget, joiners[c.Inc]) {
			continue
		}
		given[c.Inc] = append(given[c.Inc], n)
	}
	for _, c := range list {
		if len(given[c.Inc]) > 0 {
			m.stopSlots(given[c.Inc], c.Inc)
		}
	}
}

// fairShare returns the number of slots that each of the candidates would own if all
// owned the same number.
func (m *Machine) fairShare(list []candidate) int {
	hashed, pinned := m.table.Slots(m.self.Service)
	return int(hashed+pinned) / max(1, len(list))
}

// countAbove returns the number of candidates that own more than a fair share, which
// are those that move slots to new members; at least 1.
func (m *Machine) countAbove(list []candidate, fair int) int {
	n := 0
	for _, c := range list {
		if m.table.OwnedSlots(c.Inc) > fair {
			n++
		}
	}
	return max(1, n)
}

// joinersBelowShare returns the new members that own less than a fair share,
// each with the number of slots that it lacks. It returns none while this
// member itself owns no more than a fair share.
func (m *Machine) joinersBelowShare(list []candidate, fair int) map[ident.Incarnation]int {
	if len(m.slots.owned) <= fair {
		return nil
	}
	out := map[ident.Incarnation]int{}
	for _, c := range list {
		lacks := fair - m.table.OwnedSlots(c.Inc)
		if c.Inc != m.self.Inc && lacks > 0 && m.now.Sub(m.assignment.joinedAt[c.Inc]) < joinerPeriod {
			out[c.Inc] = lacks
		}
	}
	return out
}
