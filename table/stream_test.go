package table_test

import (
	"fmt"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const service ident.Service = "rounds"

var (
	a = ident.NewIncarnation("a", 1)
	b = ident.NewIncarnation("b", 1)
	c = ident.NewIncarnation("c", 1)
	d = ident.NewIncarnation("d", 1)
	e = ident.NewIncarnation("e", 1)

	members = []ident.Incarnation{a, b, c, d, e}
)

// stream applies records to a table and numbers them per writer.
type stream struct {
	table *table.Table
	ids   map[ident.Incarnation]uint64
}

// newStream returns a stream on which all members have joined and have witnesses,
// and on which a owns slot 0 with successors b and c.
func newStream() *stream {
	s := &stream{table: table.New(), ids: map[ident.Incarnation]uint64{}}
	for _, inc := range members {
		s.put(join(inc))
	}
	for _, inc := range members {
		s.put(names(inc, 0, witnessesOf(inc)...))
	}
	s.put(table.Record{ID: id(a), Kind: table.KindService, Service: &table.Service{Name: service, Slots: 8}})
	s.put(claim(a, 0, 0, b, c))
	return s
}

// put applies a record with the next id of its writer.
func (s *stream) put(r table.Record) table.Result {
	s.ids[r.ID.By]++
	r.ID.N = s.ids[r.ID.By]
	return s.table.Apply(s.table.Next(), r)
}

// state formats a slot as its epoch and the hosts of its owner and successors.
func (s *stream) state(n ident.Slot) string {
	st, _ := s.table.State(ident.NewShard(service, n))
	return fmt.Sprintf("%d %s %s %s", st.Epoch, st.Owner.Host, st.Successors[0].Host, st.Successors[1].Host)
}

func id(by ident.Incarnation) ident.RecordID { return ident.RecordID{By: by} }

func witnessesOf(inc ident.Incarnation) []ident.Incarnation {
	var out []ident.Incarnation
	for _, w := range members {
		if w != inc && len(out) < table.WitnessCount {
			out = append(out, w)
		}
	}
	return out
}

func join(inc ident.Incarnation) table.Record {
	return table.Record{ID: id(inc), Kind: table.KindJoin, Join: &table.Member{Inc: inc, Service: service}}
}

func names(by ident.Incarnation, seq ident.Seq, list ...ident.Incarnation) table.Record {
	return table.Record{ID: id(by), Kind: table.KindWitnesses, Seq: seq, WitnessList: &table.WitnessList{Witnesses: list}}
}

func changes(
	kind table.Kind, by, to ident.Incarnation, seq ident.Seq,
	n ident.Slot, replaces ident.Epoch, succ ...ident.Incarnation,
) table.Record {
	ch := table.Change{Slot: n, Replaces: replaces}
	copy(ch.Successors[:], succ)
	return table.Record{ID: id(by), Kind: kind, Seq: seq, Changes: &table.Changes{
		Service: service, To: to, Slots: []table.Change{ch},
	}}
}

func claim(by ident.Incarnation, n ident.Slot, replaces ident.Epoch, succ ...ident.Incarnation) table.Record {
	return changes(table.KindClaim, by, by, 0, n, replaces, succ...)
}

func move(
	by, to ident.Incarnation, seq ident.Seq,
	n ident.Slot, replaces ident.Epoch, succ ...ident.Incarnation,
) table.Record {
	return changes(table.KindMove, by, to, seq, n, replaces, succ...)
}

func votes(of ident.Incarnation, seqs ...ident.Seq) []table.Vote {
	var out []table.Vote
	for i, seq := range seqs {
		out = append(out, table.Vote{Witness: witnessesOf(of)[i], Of: of, Seq: seq})
	}
	return out
}

func takeover(by, from ident.Incarnation, n ident.Slot, replaces ident.Epoch, cited ...[]table.Vote) table.Record {
	t := &table.Takeover{From: from, Service: service, Slots: []table.Change{{Slot: n, Replaces: replaces}}}
	for _, list := range cited {
		t.Votes = append(t.Votes, list...)
	}
	return table.Record{ID: id(by), Kind: table.KindTakeover, Takeover: t}
}

func leave(by, of ident.Incarnation, cited ...table.Vote) table.Record {
	return table.Record{ID: id(by), Kind: table.KindLeave, Removal: &table.Removal{Inc: of, Votes: cited}}
}

func evict(by, of ident.Incarnation) table.Record {
	return table.Record{ID: id(by), Kind: table.KindEvict, Removal: &table.Removal{Inc: of, Operator: "op"}}
}

func pin(
	by ident.Incarnation, seq ident.Seq,
	hash uint64, base ident.Slot, replaces ident.Epoch, slot ident.Slot,
) table.Record {
	return table.Record{ID: id(by), Kind: table.KindPin, Seq: seq, Pin: &table.Pin{
		Service: service, Hash: hash, Base: base, Replaces: replaces, Slot: slot,
	}}
}
