package evac_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/evac"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

func start(zone ident.Place, offset uint64) evac.Record {
	return evac.Record{Zone: zone, Offset: offset, Active: true}
}

func end(zone ident.Place, offset uint64) evac.Record {
	return evac.Record{Zone: zone, Offset: offset}
}

func TestNewestRecordHolds(t *testing.T) {
	for _, test := range []struct {
		name    string
		records []evac.Record
		want    []ident.Place
	}{
		{name: "none"},
		{name: "begun", records: []evac.Record{start("a", 0)}, want: []ident.Place{"a"}},
		{name: "taken back", records: []evac.Record{start("a", 0), end("a", 1)}},
		{name: "late record", records: []evac.Record{end("a", 1), start("a", 0)}},
		{name: "again", records: []evac.Record{start("a", 0), end("a", 1), start("a", 2)}, want: []ident.Place{"a"}},
		{name: "two zones", records: []evac.Record{start("b", 0), start("a", 1), end("c", 2)}, want: []ident.Place{"a", "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := evac.New()
			for _, r := range test.records {
				s.Apply(r)
			}
			c.Assert(s.Zones(), qt.DeepEquals, test.want)
			for _, zone := range test.want {
				c.Assert(s.Has(zone), qt.IsTrue)
			}
		})
	}
}

// A daemon that missed the end of an evacuation, since the store deleted the history, learns
// of it from the newest records. A record newer than these is kept.
func TestSnapshotEndsMissedEvacuations(t *testing.T) {
	c := qt.New(t)
	s := evac.New()
	s.Apply(start("a", 3))
	s.Apply(start("b", 4))
	s.Apply(start("late", 9))
	c.Assert(s.ApplySnapshot([]evac.Record{start("b", 4)}, 8), qt.IsTrue)
	c.Assert(s.Zones(), qt.DeepEquals, []ident.Place{"b", "late"})
	c.Assert(s.ApplySnapshot([]evac.Record{start("b", 4)}, 8), qt.IsFalse)
}

// Daemons that read the same records in different orders, and pass them to each other, come
// to the same state and version.
func TestMergeConverges(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		records := make([]evac.Record, 12)
		truth := evac.New()
		for i := range records {
			records[i] = evac.Record{
				Zone: ident.Place(fmt.Sprint("z", rng.IntN(3))), Offset: uint64(i), Active: rng.IntN(2) == 0,
			}
			truth.Apply(records[i])
		}
		a, b := evac.New(), evac.New()
		for _, i := range rng.Perm(len(records)) {
			target := a
			if rng.IntN(2) == 0 {
				target = b
			}
			target.Apply(records[i])
		}
		for range 2 {
			for _, pair := range [][2]*evac.State{{a, b}, {b, a}} {
				data, err := pair[0].Encode()
				c.Assert(err, qt.IsNil)
				_, err = pair[1].Merge(data)
				c.Assert(err, qt.IsNil)
			}
		}
		for _, s := range []*evac.State{a, b} {
			c.Assert(s.Zones(), qt.DeepEquals, truth.Zones(), qt.Commentf("seed %d", seed))
			c.Assert(s.Version(), qt.Equals, truth.Version())
		}
	}
}

// Odd records neither fill the memory nor change the state.
func TestOddRecords(t *testing.T) {
	c := qt.New(t)
	s := evac.New()
	for i := range 10_000 {
		s.Apply(start(ident.Place(fmt.Sprint(i)), uint64(i)))
	}
	c.Assert(len(s.Zones()) <= 256, qt.IsTrue)
	_, err := s.Merge([]byte("\xff odd"))
	c.Assert(err, qt.ErrorIs, evac.ErrDocument)
}
