package table_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

func withID(r table.Record) table.Record {
	r.ID.N = 9
	return r
}

func sampleRecords() []table.Record {
	return []table.Record{
		withID(join(a)), withID(names(a, 1, b, memberC(), d)), withID(claim(a, 0, 0, b, d)),
		withID(move(a, b, 2, 0, 1)), withID(takeover(b, a, 0, 1, votes(a, 3, 3))),
		withID(leave(b, a, votes(a, 3, 3)...)), withID(evict(b, a)), withID(pin(a, 3, 16, 0, 1, 8)),
		{ID: id(a), Kind: table.KindService, Service: &table.Service{Name: service, Slots: 8}},
		{ID: id(a), Kind: table.KindSnapshot, Chunk: &table.Chunk{At: 3, Count: 1, Data: []byte{1, 2}}},
	}
}

func TestCodecRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, r := range sampleRecords() {
		data, err := table.Encode(r)
		c.Assert(err, qt.IsNil)
		back, err := table.Decode(data)
		c.Assert(err, qt.IsNil)
		c.Assert(back, qt.DeepEquals, r)
	}
}

func TestCodecRejectsMalformed(t *testing.T) {
	many := claim(a, 0, 0)
	many.Changes.Slots = make([]table.Change, table.MaxChanges+1)
	two := join(a)
	two.Service = &table.Service{Name: service, Slots: 8}
	tests := []struct {
		name   string
		record table.Record
	}{
		{"no kind", table.Record{ID: id(a)}},
		{"two payloads", two},
		{"payload of another kind", table.Record{ID: id(a), Kind: table.KindClaim, Join: join(a).Join}},
		{"too many changes", many},
		{"writer as its own witness", names(a, 0, a, b, d)},
		{"one witness twice", names(a, 0, b, b, d)},
		{"slots no power of two", table.Record{ID: id(a), Kind: table.KindService,
			Service: &table.Service{Name: service, Slots: 12}}},
		{"chunk beyond its count", table.Record{ID: id(a), Kind: table.KindSnapshot,
			Chunk: &table.Chunk{Index: 1, Count: 1}}},
		{"no writer", table.Record{Kind: table.KindJoin, Join: join(a).Join}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := table.Encode(tt.record)
			qt.New(t).Assert(err, qt.ErrorIs, table.ErrMalformed)
		})
	}
	_, err := table.Decode(make([]byte, table.MaxRecord+1))
	qt.New(t).Assert(err, qt.ErrorIs, table.ErrTooLarge)
}

func TestLargestRecordFits(t *testing.T) {
	c := qt.New(t)
	long := ident.NewIncarnation(ident.Host(strings.Repeat("h", 96)), 1<<63)
	r := claim(long, 0, 0)
	r.ID.N = 1 << 62
	r.Changes.Slots = nil
	for n := range table.MaxChanges {
		r.Changes.Slots = append(r.Changes.Slots, table.Change{
			Slot: ident.Slot(60000 + n), Replaces: 1 << 40, Successors: [2]ident.Incarnation{long, long},
		})
	}
	data, err := table.Encode(r)
	c.Assert(err, qt.IsNil)
	t.Logf("%d bytes", len(data))
	r.ID.By.Host += "h"
	_, err = table.Encode(r)
	c.Assert(err, qt.ErrorIs, table.ErrMalformed)
}

// FuzzDecode checks that no input makes Decode or Apply panic, and that every
// decoded record can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range sampleRecords() {
		data, err := table.Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := table.Decode(data)
		if err != nil {
			return
		}
		s := newStream()
		s.table.Apply(s.table.Next(), r)
		s.table.Apply(s.table.Next(), r)
		if _, err := table.Encode(r); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzRestore checks that no snapshot makes Restore, or a record that is applied
// to the restored table, panic.
func FuzzRestore(f *testing.F) {
	chunks, err := newStream().table.Snapshot(1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(chunks[0].Data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		back, err := table.Restore([]table.Chunk{{At: 1, Count: 1, Data: data}})
		if err != nil {
			return
		}
		s := &stream{table: back, ids: map[ident.Incarnation]uint64{a: 100, b: 100}}
		s.put(takeover(b, a, 0, 1, votes(a, 0, 0)))
		s.put(evict(a, b))
		s.put(pin(a, 9, 16, 0, 1, 8))
		_, _ = back.Lookup(service, 16)
	})
}
