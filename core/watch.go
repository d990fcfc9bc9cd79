package core

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// maxVoteBackoff is how many times VoteResend the pause between two sendings
// of a vote grows to.
const maxVoteBackoff = 8

// watched is a member that has renewed with this one, or names it as witness.
type watched struct {
	inc   ident.Incarnation
	heard time.Time
	seq   ident.Seq
	// covers lists the slots that the record numbered seq is about.
	covers []ident.Slot
	voted  bool
	vote   table.Vote
	next   time.Time
	pause  time.Duration
}

// watch is the member's part as witness, ordered by incarnation. A vote in it
// is a promise for as long as the process runs.
type watch struct{ list []*watched }

func (w *watch) find(inc ident.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(w.list, inc, func(e *watched, inc ident.Incarnation) int {
		return e.inc.Compare(inc)
	})
}

// get returns the entry of a member, which counts as heard of now when new.
func (w *watch) get(inc ident.Incarnation, now time.Time) *watched {
	i, ok := w.find(inc)
	if !ok {
		w.list = slices.Insert(w.list, i, &watched{inc: inc, heard: now})
	}
	return w.list[i]
}

// excuse leaves out time in which the witness itself did not run.
func (w *watch) excuse(gap time.Duration) {
	for _, e := range w.list {
		e.heard = e.heard.Add(gap)
	}
}

// watchNamed starts to watch a member that names this one as witness.
func (m *Machine) watchNamed(of ident.Incarnation) {
	if m.isNamer(of) {
		m.watch.get(of, m.now)
	}
}

func (m *Machine) watchAll() {
	for _, member := range m.table.Members() {
		m.watchNamed(member.Inc)
	}
}

func (m *Machine) onRenew(from ident.Incarnation, r *wire.Renew) {
	if m.table.Gone(from) {
		m.send(from, wire.Message{Fenced: &wire.Fenced{Round: r.Round}})
		return
	}
	if !m.table.Live(from) || !m.table.Live(m.self.Inc) && m.retired == "" {
		return
	}
	if m.retired != "" && !m.isNamer(from) {
		return
	}
	w := m.watch.get(from, m.now)
	if w.voted {
		m.send(from, wire.Message{Fenced: &wire.Fenced{Round: r.Round}})
		return
	}
	w.heard = m.now
	w.hear(r)
	m.send(from, wire.Message{Grant: &wire.Grant{Round: r.Round, Seq: w.seq}})
}

// hear notes the highest number that the member has announced and the slots
// that its record is about.
func (w *watched) hear(r *wire.Renew) {
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

// onVoteAsk votes at once against a member that asks it about itself. Asked
// about another member it only repeats a vote that exists.
func (m *Machine) onVoteAsk(from ident.Incarnation, ask *wire.VoteAsk) {
	i, ok := m.watch.find(ask.Of)
	if !ok {
		return
	}
	w := m.watch.list[i]
	if ask.Of == from && !w.voted && slices.Contains(m.table.Witnesses(from), m.self.Inc) {
		m.cast(w)
	}
	switch {
	case !w.voted:
	case ask.Of == from:
		m.send(from, wire.Message{Fenced: &wire.Fenced{}})
	default:
		m.send(from, wire.Message{Vote: &w.vote})
	}
}

// checkWatch votes against members that were silent for too long and repeats
// the votes that are still of use.
func (m *Machine) checkWatch() {
	timeout := m.timings.witnessTimeout()
	kept := m.watch.list[:0]
	for _, w := range m.watch.list {
		if !m.table.Live(w.inc) && m.table.Owned(w.inc) == 0 {
			continue
		}
		kept = append(kept, w)
		switch {
		case w.voted:
			if !m.now.Before(w.next) {
				m.sendVote(w)
			}
		case m.now.Sub(w.heard) <= timeout:
		case slices.Contains(m.table.Witnesses(w.inc), m.self.Inc):
			m.cast(w)
		}
	}
	clear(m.watch.list[len(kept):])
	m.watch.list = kept
}

// cast votes against a member. The number is the highest that the witness
// knows of, by renewals or by the stream.
func (m *Machine) cast(w *watched) {
	w.voted = true
	w.vote = table.Vote{Witness: m.self.Inc, Of: w.inc, Seq: max(w.seq, m.table.Seq(w.inc))}
	if w.vote.Seq == w.seq {
		w.vote.Covers = w.covers
	}
	w.pause = m.timings.VoteResend
	m.emit(events.Event{Kind: events.KindVote, Member: w.inc})
	m.addVote(w.vote)
	m.sendVote(w)
}

func (m *Machine) sendVote(w *watched) {
	w.next = m.now.Add(w.pause)
	w.pause = min(2*w.pause, maxVoteBackoff*m.timings.VoteResend)
	for _, inc := range m.concerned(w.inc) {
		if _, known := m.table.Member(inc); known && inc != m.self.Inc && inc != w.inc {
			vote := w.vote
			m.send(inc, wire.Message{Vote: &vote})
		}
	}
}

// concerned returns who may act on a vote against a member: its other
// witnesses, the successors of its slots, and those who rank after it.
func (m *Machine) concerned(of ident.Incarnation) []ident.Incarnation {
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
