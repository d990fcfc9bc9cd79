package core

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// maxVoteBackoff bounds the pause before a vote is sent again, as a multiple
// of Timings.VoteResend.
const maxVoteBackoff = 8

// watched is a member that has renewed its lease with this one, or has named
// it as a witness.
type watched struct {
	inc     ident.Incarnation
	heardAt time.Time
	seq     ident.Seq
	// covers lists the slots that the record with the number seq changes.
	covers   []ident.Slot
	voted    bool
	vote     table.Vote
	resendAt time.Time
	backoff  time.Duration
}

// watch is the state of the member as a witness, ordered by incarnation. A
// vote in it is a promise for as long as the process runs.
type watch struct{ list []*watched }

// find returns the index of a member, and whether it is listed.
func (w *watch) find(inc ident.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(w.list, inc, func(e *watched, inc ident.Incarnation) int {
		return e.inc.Compare(inc)
	})
}

// get returns the entry of a member. A new entry counts as heard from at now.
func (w *watch) get(inc ident.Incarnation, now time.Time) *watched {
	i, ok := w.find(inc)
	if !ok {
		w.list = slices.Insert(w.list, i, &watched{inc: inc, heardAt: now})
	}
	return w.list[i]
}

// discountPause excludes a pause of this process from the silence of the
// watched members.
func (w *watch) discountPause(gap time.Duration) {
	for _, e := range w.list {
		e.heardAt = e.heardAt.Add(gap)
	}
}

// watchNamed starts to watch a member if it has named this one as a witness.
func (m *Machine) watchNamed(of ident.Incarnation) {
	if m.isWitnessOf(of) {
		m.watch.get(of, m.now)
	}
}

// watchAll starts to watch all members that have named this one as a witness.
func (m *Machine) watchAll() {
	for _, member := range m.table.Members() {
		m.watchNamed(member.Inc)
	}
}

// onRenew answers a renewal with a grant, or with Fenced if the sender is gone
// or this member has voted against it.
func (m *Machine) onRenew(from ident.Incarnation, r *wire.Renew) {
	if m.table.Removed(from) {
		m.send(from, wire.Message{Fenced: &wire.Fenced{Round: r.Round}})
		return
	}
	if !m.table.Live(from) || !m.table.Live(m.self.Inc) && m.retired == "" {
		return
	}
	if m.retired != "" && !m.isWitnessOf(from) {
		return
	}
	w := m.watch.get(from, m.now)
	if w.voted {
		m.send(from, wire.Message{Fenced: &wire.Fenced{Round: r.Round}})
		return
	}
	w.heardAt = m.now
	w.noteRenewal(r)
	m.send(from, wire.Message{Grant: &wire.Grant{Round: r.Round, Seq: w.seq}})
}

// noteRenewal records the highest sequence number that the member has
// announced and the slots that its record changes.
func (w *watched) noteRenewal(r *wire.Renew) {
	switch {
	case r.Seq > w.seq:
		w.seq, w.covers = r.Seq, r.Covers
	case r.Seq == w.seq && len(w.covers) == 0:
		w.covers = r.Covers
	}
	if len(w.covers) > maxCovers {
		w.covers = nil
	}
}

// onVoteAsk votes at once against a member that asks for a vote against
// itself. If it is asked about another member, it only repeats an existing
// vote.
func (m *Machine) onVoteAsk(from ident.Incarnation, ask *wire.VoteAsk) {
	i, ok := m.watch.find(ask.Of)
	if !ok {
		return
	}
	w := m.watch.list[i]
	if ask.Of == from && !w.voted && slices.Contains(m.table.Witnesses(from), m.self.Inc) {
		m.castVote(w)
	}
	switch {
	case !w.voted:
	case ask.Of == from:
		m.send(from, wire.Message{Fenced: &wire.Fenced{}})
	default:
		m.send(from, wire.Message{Vote: &w.vote})
	}
}

// checkWatched votes against members that were silent for too long and repeats
// the votes that may still be needed.
func (m *Machine) checkWatched() {
	timeout := m.timings.witnessTimeout()
	kept := m.watch.list[:0]
	for _, w := range m.watch.list {
		if !m.table.Live(w.inc) && m.table.OwnedSlots(w.inc) == 0 {
			continue
		}
		kept = append(kept, w)
		switch {
		case w.voted:
			if !m.now.Before(w.resendAt) {
				m.sendVote(w)
			}
		case m.now.Sub(w.heardAt) <= timeout:
		case slices.Contains(m.table.Witnesses(w.inc), m.self.Inc):
			m.castVote(w)
		}
	}
	clear(m.watch.list[len(kept):])
	m.watch.list = kept
}

// castVote votes against a member. The vote states the highest sequence number
// that the witness knows, from renewals or from the stream.
func (m *Machine) castVote(w *watched) {
	w.voted = true
	w.vote = table.Vote{Witness: m.self.Inc, Of: w.inc, Seq: max(w.seq, m.table.Seq(w.inc))}
	if w.vote.Seq == w.seq {
		w.vote.Covers = w.covers
	}
	w.backoff = m.timings.VoteResend
	m.emit(events.Event{Kind: events.KindVote, Member: w.inc})
	m.addVote(w.vote)
	m.sendVote(w)
}

// sendVote sends a vote to all members that may act on it and doubles the
// pause until the next time.
func (m *Machine) sendVote(w *watched) {
	w.resendAt = m.now.Add(w.backoff)
	w.backoff = min(2*w.backoff, maxVoteBackoff*m.timings.VoteResend)
	for _, inc := range m.voteRecipients(w.inc) {
		if _, known := m.table.Member(inc); known && inc != m.self.Inc && inc != w.inc {
			vote := w.vote
			m.send(inc, wire.Message{Vote: &vote})
		}
	}
}

// voteRecipients returns the members that may act on a vote against a member:
// its other witnesses, the successors of its slots, and the second successors
// of slots that name it as the first.
func (m *Machine) voteRecipients(of ident.Incarnation) []ident.Incarnation {
	list := slices.Clone(m.table.Witnesses(of))
	member, _ := m.table.Member(of)
	seen := map[ident.Incarnation]bool{{}: true}
	for _, w := range list {
		seen[w] = true
	}
	add := func(inc ident.Incarnation) {
		if !seen[inc] {
			seen[inc] = true
			list = append(list, inc)
		}
	}
	m.table.Range(member.Service, func(_ ident.Slot, s table.State) bool {
		if s.Owner == of {
			add(s.Successors[0])
			add(s.Successors[1])
		}
		if s.Successors[0] == of {
			add(s.Successors[1])
		}
		return true
	})
	return list
}
