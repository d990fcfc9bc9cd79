package table_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

func TestApply(t *testing.T) {
	late := ident.NewIncarnation("late", 1)
	tests := []struct {
		name    string
		records []table.Record
		// reasons holds the expected reason of each record, in order.
		reasons []table.Reason
		slot    ident.Slot
		want    string
	}{
		{"claim of an unowned slot", []table.Record{claim(b, 1, 0, c, d)}, []table.Reason{0}, 1, "1 b c d"},
		{"first claim wins", []table.Record{claim(b, 1, 0), claim(c, 1, 0)},
			[]table.Reason{0, table.ReasonEpochMismatch}, 1, "1 b  "},
		{"claim of an owned slot", []table.Record{claim(b, 0, 1)}, []table.Reason{table.ReasonOwned}, 0, "1 a b c"},
		{"claim by a writer that has not joined", []table.Record{claim(late, 1, 0)},
			[]table.Reason{table.ReasonUnknownWriter}, 1, "0   "},
		{"claim without witnesses", []table.Record{join(late), claim(late, 1, 0)},
			[]table.Reason{0, table.ReasonNoWitnesses}, 1, "0   "},
		{"move", []table.Record{move(a, d, 1, 0, 1, b, a)}, []table.Reason{0}, 0, "2 d b a"},
		{"move by a member that is not the owner", []table.Record{move(b, d, 1, 0, 1)},
			[]table.Reason{table.ReasonNotOwner}, 0, "1 a b c"},
		{"move without a sequence number", []table.Record{move(a, d, 0, 0, 1)},
			[]table.Reason{table.ReasonStaleSeq}, 0, "1 a b c"},
		{"move after a record with a higher sequence number", []table.Record{
			changes(table.KindSuccessors, a, a, 2, 0, 1, c, d), move(a, d, 1, 0, 2),
		}, []table.Reason{0, table.ReasonStaleSeq}, 0, "2 a c d"},
		{"move to a member without witnesses", []table.Record{join(late), move(a, late, 1, 0, 1)},
			[]table.Reason{0, table.ReasonNoWitnesses}, 0, "1 a b c"},
		{"takeover by the first successor", []table.Record{takeover(b, a, 0, 1, votes(a, 0, 0))},
			[]table.Reason{0}, 0, "2 b c "},
		{"takeover by the second, the first fenced too",
			[]table.Record{takeover(c, a, 0, 1, votes(a, 0, 0), votes(b, 0, 0))}, []table.Reason{0}, 0, "3 c  "},
		{"takeover by the second after the first", []table.Record{
			takeover(b, a, 0, 1, votes(a, 0, 0)), takeover(c, b, 0, 2, votes(b, 0, 0)),
		}, []table.Reason{0, 0}, 0, "3 c  "},
		{"takeover by the second without votes against the first", []table.Record{takeover(c, a, 0, 1, votes(a, 0, 0))},
			[]table.Reason{table.ReasonMissingVotes}, 0, "1 a b c"},
		{"takeover with one vote", []table.Record{takeover(b, a, 0, 1, votes(a, 0))},
			[]table.Reason{table.ReasonMissingVotes}, 0, "1 a b c"},
		{"takeover with votes of different sequence numbers", []table.Record{takeover(b, a, 0, 1, votes(a, 0, 1))},
			[]table.Reason{table.ReasonMissingVotes}, 0, "1 a b c"},
		{"takeover with votes older than the stream", []table.Record{
			changes(table.KindSuccessors, a, a, 1, 0, 1, b, c), takeover(b, a, 0, 2, votes(a, 0, 0)),
		}, []table.Reason{0, table.ReasonMissingVotes}, 0, "2 a b c"},
		{"takeover with votes newer than the stream", []table.Record{takeover(b, a, 0, 1, votes(a, 4, 4))},
			[]table.Reason{0}, 0, "2 b c "},
		{"takeover with a vote of a member that is no witness", []table.Record{takeover(b, a, 0, 1, []table.Vote{
			{Witness: e, Of: a}, {Witness: b, Of: a},
		})}, []table.Reason{table.ReasonMissingVotes}, 0, "1 a b c"},
		{"takeover by a member that is no successor", []table.Record{takeover(d, a, 0, 1, votes(a, 0, 0))},
			[]table.Reason{table.ReasonNotSuccessor}, 0, "1 a b c"},
		{"fence voids the owner's later records", []table.Record{leave(b, a, votes(a, 1, 1)...), move(a, d, 1, 0, 1)},
			[]table.Reason{0, table.ReasonWriterGone}, 0, "1 a b c"},
		{"fence without votes", []table.Record{leave(b, a)}, []table.Reason{table.ReasonMissingVotes}, 0, "1 a b c"},
		{"takeover after an eviction", []table.Record{evict(e, a), takeover(b, a, 0, 1)},
			[]table.Reason{0, 0}, 0, "2 b c "},
		{"claim while a successor remains", []table.Record{evict(e, a), evict(e, b), claim(d, 0, 1)},
			[]table.Reason{0, 0, table.ReasonOwned}, 0, "1 a b c"},
		{"claim after owner and successors are evicted",
			[]table.Record{evict(e, a), evict(e, b), evict(e, c), claim(d, 0, 1)},
			[]table.Reason{0, 0, 0, 0}, 0, "4 d  "},
		{"leave of an owner", []table.Record{leave(a, a), takeover(b, a, 0, 1)}, []table.Reason{0, 0}, 0, "2 b c "},
		{"leave, then a late claim", []table.Record{leave(d, d), claim(d, 1, 0)},
			[]table.Reason{0, table.ReasonUnknownWriter}, 1, "0   "},
		{"join of a member that left", []table.Record{leave(d, d), join(d)},
			[]table.Reason{0, table.ReasonWriterGone}, 1, "0   "},
		{"two witnesses replaced at once", []table.Record{names(a, 1, b, e, ident.NewIncarnation("x", 1))},
			[]table.Reason{table.ReasonMalformed}, 0, "1 a b c"},
		{"pin", []table.Record{pin(a, 1, 16, 0, 1, 8)}, []table.Reason{0}, 8, "2 a b c"},
		{"pin of a key of another slot", []table.Record{pin(a, 1, 17, 0, 1, 8)},
			[]table.Reason{table.ReasonMalformed}, 8, "0   "},
		{"two pins of one slot number", []table.Record{pin(a, 1, 16, 0, 1, 8), pin(a, 2, 24, 0, 1, 8)},
			[]table.Reason{0, table.ReasonExists}, 8, "2 a b c"},
		{"republish of a higher epoch", []table.Record{changes(table.KindRepublish, d, d, 1, 0, 7, e)},
			[]table.Reason{0}, 0, "7 d e "},
		{"republish of a lower epoch", []table.Record{changes(table.KindRepublish, d, d, 1, 0, 1, e)},
			[]table.Reason{table.ReasonEpochMismatch}, 0, "1 a b c"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStream()
			for i, r := range tt.records {
				res := s.put(r)
				c.Assert(res.Reason, qt.Equals, tt.reasons[i], qt.Commentf("record %d: %s", i, res.Reason))
				c.Assert(res.Applied, qt.Equals, tt.reasons[i] == table.ReasonNone)
			}
			c.Assert(s.state(tt.slot), qt.Equals, tt.want)
		})
	}
}

func TestRecordIsAppliedOnce(t *testing.T) {
	c := qt.New(t)
	s := newStream()
	r := claim(b, 1, 0, memberC(), d)
	r.ID.N = 40
	c.Assert(s.table.Apply(s.table.Next(), r).Applied, qt.IsTrue)
	c.Assert(s.table.Apply(s.table.Next(), r).Reason, qt.Equals, table.ReasonDuplicate)
	older := claim(b, 2, 0)
	older.ID.N = 39
	c.Assert(s.table.Apply(s.table.Next(), older).Applied, qt.IsTrue)
	c.Assert(s.table.Seen(older.ID), qt.IsTrue)
	far := claim(b, 3, 0)
	far.ID.N = 500
	c.Assert(s.table.Apply(s.table.Next(), far).Applied, qt.IsTrue)
	r.ID.N = 41
	c.Assert(s.table.Apply(s.table.Next(), r).Reason, qt.Equals, table.ReasonDuplicate,
		qt.Commentf("ids below the window count as seen"))
}

func memberC() ident.Incarnation { return ident.NewIncarnation("c", 1) }

func TestViewIsImmutable(t *testing.T) {
	c := qt.New(t)
	s := newStream()
	v := s.table.View()
	before, _ := v.Lookup(service, 0)
	s.put(move(a, d, 1, 0, 1, b, a))
	s.put(pin(d, 1, 16, 0, 2, 8))
	s.put(leave(e, e))
	after, _ := v.Lookup(service, 0)
	c.Assert(after, qt.Equals, before)
	c.Assert(v.Live(e), qt.IsTrue)
	_, pinned := v.PinOf(service, 16)
	c.Assert(pinned, qt.IsFalse)
	now, _ := s.table.Lookup(service, 16)
	c.Assert(now.Shard.Slot, qt.Equals, ident.Slot(8))
	c.Assert(now.Owner, qt.Equals, d)
}
