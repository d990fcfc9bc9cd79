package core

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// maxVotes bounds the votes kept about one member.
const maxVotes = 8

// ballot holds the votes that were cast against one member.
type ballot struct {
	votes []table.Vote
	// matchedAt is when two votes first matched.
	matchedAt time.Time
	// fenceID is the id number of the fence record that this member has
	// appended; zero while there is none.
	fenceID uint64
}

// ballots holds the votes that this member knows of.
type ballots struct {
	byMember map[ident.Incarnation]*ballot
	// order lists the members in byMember in ascending order.
	order []ident.Incarnation
}

// onVote handles a vote that its witness has sent.
func (m *Machine) onVote(from ident.Incarnation, v *table.Vote) {
	if v.Witness != from || !m.addVote(*v) {
		return
	}
	m.takeOver()
}

// addVote records a vote and reports whether it is new. A witness never
// changes its vote: only its first one counts.
func (m *Machine) addVote(v table.Vote) bool {
	if _, known := m.table.Member(v.Of); !known || v.Of == m.self.Inc {
		return false
	}
	b := m.ballots.byMember[v.Of]
	if b == nil {
		b = &ballot{}
		m.ballots.byMember[v.Of] = b
		i, _ := slices.BinarySearchFunc(m.ballots.order, v.Of, ident.Incarnation.Compare)
		m.ballots.order = slices.Insert(m.ballots.order, i, v.Of)
	}
	for _, old := range b.votes {
		if old.Witness == v.Witness {
			return false
		}
	}
	if len(b.votes) >= maxVotes {
		return false
	}
	b.votes = append(b.votes, v)
	if b.matchedAt.IsZero() && m.matchingVotes(v.Of) != nil {
		b.matchedAt = m.now
	}
	m.takeovers.recheck = true
	return true
}

// matchingVotes returns two votes against a member that state the same
// sequence number and come from witnesses named in the table; nil when there
// are none. It prefers two votes that also agree on the slots covered by the
// record with that number.
func (m *Machine) matchingVotes(of ident.Incarnation) []table.Vote {
	b := m.ballots.byMember[of]
	if b == nil {
		return nil
	}
	set := m.table.Witnesses(of)
	var found []table.Vote
	for i, v := range b.votes {
		for _, w := range b.votes[:i] {
			if v.Seq != w.Seq || !slices.Contains(set, v.Witness) || !slices.Contains(set, w.Witness) {
				continue
			}
			if len(v.Covers) > 0 && slices.Equal(v.Covers, w.Covers) {
				return []table.Vote{w, v}
			}
			if found == nil {
				found = []table.Vote{w, v}
			}
		}
	}
	return found
}

// citedVotes returns the matching votes against a member in the form that
// records carry: without the covered slots.
func (m *Machine) citedVotes(of ident.Incarnation) []table.Vote {
	votes := slices.Clone(m.matchingVotes(of))
	for i := range votes {
		votes[i].Covers = nil
	}
	return votes
}

// fencing tells for which slots a member can no longer act: for all but except
// if fenced is set, else for none.
type fencing struct {
	fenced bool
	except []ident.Slot
}

// covers reports whether the member can no longer act on a slot.
func (o fencing) covers(n ident.Slot) bool { return o.fenced && !slices.Contains(o.except, n) }

// fencingOf returns for which slots this member may assume that another member
// can no longer act: the stream says so, or two votes match each other and the
// sequence number up to which this member has read the records of the other.
// If only the record with the last number is missing, it can change nothing
// but the slots that both votes name; for all other slots it does not matter
// whether that record is appended.
func (m *Machine) fencingOf(inc ident.Incarnation) fencing {
	if inc.IsZero() || m.table.Removed(inc) {
		return fencing{fenced: true}
	}
	votes := m.matchingVotes(inc)
	if votes == nil {
		return fencing{}
	}
	read, covers := m.table.Seq(inc), votes[0].Covers
	switch {
	case votes[0].Seq == read:
		return fencing{fenced: true}
	case votes[0].Seq == read+1 && len(covers) > 0 && slices.Equal(covers, votes[1].Covers):
		return fencing{fenced: true, except: covers}
	}
	return fencing{}
}

// appendFences appends a fence for each member with matching votes, so that
// readers whose sequence number differs from that of the votes can proceed.
// The witnesses of the member append first, one after another.
func (m *Machine) appendFences() {
	kept := m.ballots.order[:0]
	for _, of := range m.ballots.order {
		if !m.table.Live(of) && m.table.OwnedSlots(of) == 0 {
			delete(m.ballots.byMember, of)
			continue
		}
		kept = append(kept, of)
		m.appendFence(of, m.ballots.byMember[of])
	}
	m.ballots.order = kept
}

// appendFence appends a leave record that cites the votes against a member,
// once this member's turn has come: each rank among the witnesses waits for
// one more VoteResend, a retired member does not wait.
func (m *Machine) appendFence(of ident.Incarnation, b *ballot) {
	if !m.table.Live(of) || b.fenceID != 0 {
		return
	}
	votes := m.citedVotes(of)
	if votes == nil {
		return
	}
	if b.matchedAt.IsZero() {
		b.matchedAt = m.now
	}
	rank := slices.Index(m.table.Witnesses(of), m.self.Inc)
	if rank < 0 {
		rank = table.WitnessCount
	}
	if m.retired != "" {
		rank = 0
	}
	if m.now.Sub(b.matchedAt) < time.Duration(rank)*m.timings.VoteResend || !m.allowAppend() {
		return
	}
	b.fenceID = m.write(table.Record{
		Kind:    table.KindLeave,
		Removal: &table.Removal{Inc: of, Votes: votes},
	})
}
