package table_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// populated returns a table with the given numbers of services, slots per service
// and members, whose slots are owned by random members.
func populated(services int, slots uint32, members int) *table.Table {
	t := table.New()
	rng := rand.New(rand.NewPCG(1, 2))
	ids := make([]uint64, members)
	inc := func(i int) ident.Incarnation {
		return ident.NewIncarnation(ident.Host(fmt.Sprintf("host-%03d", i%members)), 7)
	}
	put := func(i int, r table.Record) {
		ids[i]++
		r.ID = ident.RecordID{By: inc(i), N: ids[i]}
		if res := t.Apply(t.Next(), r); !res.Applied {
			panic(res.Reason.String())
		}
	}
	for i := range members {
		put(i, table.Record{Kind: table.KindJoin, Join: &table.Member{Inc: inc(i)}})
	}
	for i := range members {
		put(i, table.Record{Kind: table.KindWitnesses, WitnessList: &table.WitnessList{
			Witnesses: []ident.Incarnation{inc(i + 1), inc(i + 2), inc(i + 3)},
		}})
	}
	for k := range services {
		name := ident.Service(fmt.Sprintf("service-%d", k))
		put(0, table.Record{Kind: table.KindService, Service: &table.Service{Name: name, Slots: slots}})
		for n := range slots {
			i := rng.IntN(members)
			put(i, table.Record{Kind: table.KindClaim, Changes: &table.Changes{
				Service: name, To: inc(i), Slots: []table.Change{{
					Slot: ident.Slot(n), Successors: [2]ident.Incarnation{inc(i + 1), inc(i + 2)},
				}},
			}})
		}
	}
	return t
}

func TestSnapshotRoundTrip(t *testing.T) {
	c := qt.New(t)
	whole := populated(4, 4096, 20)
	chunks, err := whole.Snapshot(whole.Next() - 1)
	c.Assert(err, qt.IsNil)
	size := 0
	for _, chunk := range chunks {
		c.Assert(len(chunk.Data) <= table.MaxChunk, qt.IsTrue)
		size += len(chunk.Data)
	}
	t.Logf("4 services of 4096 slots, 20 members: %d chunks, %d bytes", len(chunks), size)
	rand.New(rand.NewPCG(3, 4)).Shuffle(len(chunks), func(i, j int) { chunks[i], chunks[j] = chunks[j], chunks[i] })
	back, err := table.Restore(chunks)
	c.Assert(err, qt.IsNil)
	c.Assert(back.Next(), qt.Equals, whole.Next())
	c.Assert(back.Members(), qt.DeepEquals, whole.Members())
	for _, name := range whole.Services() {
		whole.Range(name, func(n ident.Slot, want table.State) bool {
			got, ok := back.State(ident.NewShard(name, n))
			return c.Check(ok, qt.IsTrue) && c.Check(got, qt.Equals, want)
		})
	}
	again, err := back.Snapshot(back.Next() - 1)
	c.Assert(err, qt.IsNil)
	same, err := whole.Snapshot(whole.Next() - 1)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, same)
}

func TestRestoredTableVoidsStaleRecords(t *testing.T) {
	c := qt.New(t)
	s := newStream()
	s.put(changes(table.KindSuccessors, a, a, 3, 0, 1, b, memberC()))
	s.put(pin(a, 4, 16, 0, 2, 8))
	s.put(leave(e, e))
	chunks, err := s.table.Snapshot(s.table.Next() - 1)
	c.Assert(err, qt.IsNil)
	s.table, err = table.Restore(chunks)
	c.Assert(err, qt.IsNil)
	c.Assert(s.put(move(a, d, 4, 0, 2)).Reason, qt.Equals, table.ReasonStaleSeq)
	c.Assert(s.put(join(e)).Reason, qt.Equals, table.ReasonWriterGone)
	dup := claim(a, 1, 0)
	dup.ID.N = s.ids[a]
	c.Assert(s.table.Apply(s.table.Next(), dup).Reason, qt.Equals, table.ReasonDuplicate)
	got, _ := s.table.Lookup(service, 16)
	c.Assert(got.Shard.Slot, qt.Equals, ident.Slot(8))
	c.Assert(s.table.OwnedSlots(a), qt.Equals, 2)
}

func TestRestoreRejects(t *testing.T) {
	whole := populated(1, 4096, 8)
	chunks, _ := whole.Snapshot(1)
	other, _ := whole.Snapshot(2)
	cut := append([]table.Chunk(nil), chunks...)
	cut[0].Data = cut[0].Data[:len(cut[0].Data)/2]
	tests := []struct {
		name   string
		chunks []table.Chunk
	}{
		{"nothing", nil},
		{"one chunk twice", append(chunks[:1:1], chunks...)},
		{"chunks of two snapshots", append(chunks[:len(chunks):len(chunks)], other...)},
		{"truncated data", cut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := table.Restore(tt.chunks)
			qt.New(t).Assert(err, qt.ErrorIs, table.ErrSnapshot)
		})
	}
}
