package core_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/model"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// frequentSnapshots lowers the number of records between snapshots, so that a
// restarted member reads its table from one.
func frequentSnapshots(cfg *model.Config) {
	cfg.Timings = core.DefaultTimings()
	cfg.Timings.SnapshotRecords = 30
}

// churn moves slots back and forth to write records.
func churn(w *model.World, rounds int) {
	for k := range rounds {
		n := ident.Slot(k % worldSlots)
		if list := w.Owners(n); len(list) == 1 {
			w.Host(list[0]).Give(core.MoveOrder{
				Service: model.Service, Slots: []ident.Slot{n}, To: w.Host((list[0] + 1) % 4).Inc(),
			})
		}
		w.Run(150 * time.Millisecond)
	}
}

func TestBootFromSnapshot(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5, frequentSnapshots)
	w.Log().Keep = 80
	churn(w, 150)
	c.Assert(w.Count().Snapshots > 1, qt.IsTrue)
	c.Assert(w.Log().Next() > 160, qt.IsTrue)
	w.Host(4).Kill()
	w.Run(3 * time.Second)
	w.Host(4).Start()
	w.Run(20 * time.Second)
	c.Assert(servedBy(w, 4) > 0, qt.IsTrue, qt.Commentf("%s", w.Trace()))
	c.Assert(w.Err(), qt.IsNil)
	t.Logf("%d records, %d snapshots", w.Log().Next(), w.Count().Snapshots)
}

// TestReaderOvertakenByRetention stops one member's reader until retention has
// removed records that it has not read. The member must continue from the next
// snapshot without a halt.
func TestReaderOvertakenByRetention(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5, frequentSnapshots)
	w.Log().Keep = 80
	h := w.Host(4)
	h.NoRead = true
	churn(w, 150)
	c.Assert(h.Machine(), qt.IsNotNil)
	c.Assert(w.Err(), qt.IsNil)
	h.NoRead = false
	w.Run(5 * time.Second)
	c.Assert(h.Machine(), qt.IsNotNil, qt.Commentf("halted: %s", h.Halt))
	c.Assert(h.Machine().View().Table().Next(), qt.Equals, w.Log().Next())
	c.Assert(runUntilServed(w, 5*time.Second), qt.IsTrue)
	c.Assert(w.Err(), qt.IsNil)
}

// TestFoundedAnew stops members, removes the beginning of the stream and
// starts the members again. They own nothing until an operator re-initialises
// the stream; members that were never stopped start from the new table as
// well. All epochs must rise.
func TestFoundedAnew(t *testing.T) {
	for _, tt := range []struct{ from, trim int }{{0, 5}, {2, 5}, {0, 0}} {
		t.Run(fmt.Sprintf("from host %d, trim %d", tt.from, tt.trim), func(t *testing.T) {
			testFoundedAnew(qt.New(t), tt.from, tt.trim)
		})
	}
}

func testFoundedAnew(c *qt.C, from, trim int) {
	w := newServedWorld(c, 5)
	var before [worldSlots]ident.Epoch
	for n := range before {
		before[n], _ = w.Host(w.Owners(ident.Slot(n))[0]).Serves(ident.Slot(n))
	}
	for i := from; i < 5; i++ {
		w.Host(i).Kill()
	}
	if trim == 0 {
		trim = len(w.Log().Records())
	}
	w.Log().Trim(trim)
	w.StartAll()
	w.Run(20 * time.Second)
	c.Assert(servedBy(w, 2), qt.Equals, 0)
	w.Founded = true
	w.Host(2).Give(core.EvictOrder{Operator: "op"})
	w.Run(5 * time.Second)
	c.Assert(runUntilServed(w, 30*time.Second), qt.IsTrue, qt.Commentf("%s", w.Trace()))
	for n, epoch := range before {
		now, _ := w.Host(w.Owners(ident.Slot(n))[0]).Serves(ident.Slot(n))
		c.Assert(now > epoch, qt.IsTrue, qt.Commentf("slot %d: token %d after %d", n, now, epoch))
	}
}

// TestRouteTableServesNothing starts a member without the log but with a table
// from a peer: it must route by this table and serve none of its slots.
func TestRouteTableServesNothing(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	chunks, err := w.Host(0).Machine().Export()
	c.Assert(err, qt.IsNil)
	self := ident.NewIncarnation("late", 1)
	m := core.New(table.Member{Inc: self, Service: model.Service}, core.WithRouteTable(chunks))
	now := time.Unix(1, 0)
	m.Step(now, core.LogState{Up: false})
	m.Step(now, core.UpstreamUp{})
	m.Step(now, core.Tick{})
	for n := range uint64(worldSlots) {
		got, ok := m.View().Lookup(model.Service, n)
		want, _ := w.Reference().Lookup(model.Service, n)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, want)
		_, serves := m.View().Serves(got.Shard, now)
		c.Assert(serves, qt.IsFalse)
	}
	c.Assert(m.View().Served(), qt.HasLen, 0)
}
