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

// ballotInterval is the time between two questions to a lost member's witnesses.
const ballotInterval = 200 * time.Millisecond

// ballot asks the witnesses of members that seem lost whether their lease has
// ended.
func (m *Machine) ballot(now time.Time) []Message {
	if !m.read {
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
		if !m.IsMember() || !m.upstream.present || now.Sub(s.since) < stepIn*time.Duration(m.turn()) ||
			now.Sub(s.asked) < ballotInterval {
			continue
		}
		s.asked = now
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

// isSuspect reports whether a member's daemon is not heard of, or runs anew.
func (m *Machine) isSuspect(member atlas.Member) bool {
	for _, e := range m.live {
		if e.Inc.Host == member.Inc.Host {
			return e.Inc.Boot > member.Inc.Boot
		}
	}
	return true
}

// Voted takes a witness's vote that a lease has ended.
func (m *Machine) Voted(owner, witness ident.Incarnation) {
	if s, ok := m.suspects[owner.Host]; ok && s.owner == owner {
		s.votes[witness] = true
	}
}

// proposeTakeovers gives the ranges of members whose lease is proved to have
// ended to others.
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
			c.Assign(p.Span, p.To, "", m.guess(p.Span))
		}
		c.Drop(host)
		m.note("taking over", "member", s.owner.String(), "votes", votes, "witnesses", len(member.Witnesses),
			"rows", len(rows), "pieces", len(pieces))
	}
}
