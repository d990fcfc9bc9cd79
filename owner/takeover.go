package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
)

// voteRequestInterval is the time between two vote requests to the witnesses of
// a suspected member.
const voteRequestInterval = 200 * time.Millisecond

// requestVotes updates the list of suspected members and returns the messages
// that ask their witnesses to vote that the lease has ended.
func (m *Machine) requestVotes(now time.Time) []Message {
	if !m.hasTable {
		return nil
	}
	var messages []Message
	for _, member := range m.table.Members() {
		host := member.Inc.Host
		if host == m.host || !m.isSuspect(member) {
			delete(m.suspects, host)
			continue
		}
		s, ok := m.suspects[host]
		if !ok || s.owner != member.Inc {
			s = &suspect{owner: member.Inc, votes: make(map[ident.Incarnation]bool), since: now}
			m.suspects[host] = s
			m.note("member suspected", "member", member.Inc.String(), "rows", len(m.table.RowsOf(host)))
		}
		if !m.IsMember() || !m.upstream.present || now.Sub(s.since) < turnDelay*time.Duration(m.precedingMembers()) ||
			now.Sub(s.lastVoteRequest) < voteRequestInterval {
			continue
		}
		s.lastVoteRequest = now
		for _, w := range member.Witnesses {
			if !s.votes[w] {
				messages = append(messages, Message{To: w.Host, Message: gossip.Message{
					From: m.Lease(), Ballot: &gossip.Ballot{Owner: member.Inc, Witness: w},
				}})
			}
		}
	}
	return messages
}

// isSuspect reports whether a member's daemon is not live, or has restarted
// since it became a member.
func (m *Machine) isSuspect(member atlas.Member) bool {
	for _, e := range m.live {
		if e.Inc.Host == member.Inc.Host {
			return e.Inc.Boot > member.Inc.Boot
		}
	}
	return true
}

// RecordVote records a witness's vote that the owner's lease has ended.
func (m *Machine) RecordVote(owner, witness ident.Incarnation) {
	if s, ok := m.suspects[owner.Host]; ok && s.owner == owner {
		s.votes[witness] = true
	}
}

// proposeTakeovers assigns the ranges of members to others when a majority of
// their witnesses has voted that the lease has ended.
func (m *Machine) proposeTakeovers(c *atlas.Change) {
	for _, host := range slices.Sorted(maps.Keys(m.suspects)) {
		s := m.suspects[host]
		member, ok := m.table.Member(host)
		if !ok || member.Inc != s.owner || !m.IsMember() {
			continue
		}
		votes := 0
		for _, w := range member.Witnesses {
			if s.votes[w] {
				votes++
			}
		}
		if votes < lease.Majority(len(member.Witnesses)) {
			continue
		}
		rows := m.table.RowsOf(host)
		pieces := m.divide(atlas.Spans(rows), false)
		for _, p := range pieces {
			c.Assign(p.Span, p.To, "", m.estimateRateOrZero(p.Span))
		}
		c.Drop(host)
		m.note("taking over", "member", s.owner.String(), "votes", votes, "witnesses", len(member.Witnesses),
			"rows", len(rows), "pieces", len(pieces))
	}
}
