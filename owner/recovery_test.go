package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// restored is a daemon, self, that starts beside a running upstream after a restore of the
// store. Its copy names self and the daemon a, which also starts again, as the owners of
// half of the keys each.
type restored struct {
	c    *qt.C
	m    *owner.Machine
	self ident.Incarnation
	a    gossip.Entry
	now  time.Time
	// number is that of the last heartbeat, holds what the upstream reports to hold.
	number uint64
	holds  []owner.Held
}

var (
	lower = atlas.NewSpan(0, atlas.Space/2-1)
	upper = atlas.NewSpan(atlas.Space/2, atlas.Space-1)
)

// copiedVersion is the version of the table in the copy, which is of era 1; the store is in
// era 2 and holds this one record.
var copiedVersion = store.NewOffset(1, 0) + 1

func newRestored(c *qt.C, holds ...owner.Held) *restored {
	r := &restored{
		c: c, self: ident.NewIncarnation("self", 10), now: epoch, holds: holds,
		a: gossip.Entry{Inc: ident.NewIncarnation("a", 10), Service: service, Condition: gossip.Ready, Slots: 10},
	}
	r.m = owner.New(r.self, service, epoch, owner.WithTerms(terms), owner.WithHold(hold), owner.WithDocument(tableDocument))
	change := atlas.New(service).At(copiedVersion - 1).Change()
	for _, host := range []ident.Host{"a", "self"} {
		inc := ident.NewIncarnation(host, 1)
		change.Join(atlas.Member{Inc: inc, Witnesses: []ident.Incarnation{ident.NewIncarnation("a", 1)}})
	}
	change.Assign(lower, "self", "", 0)
	change.Assign(upper, "a", "", 0)
	r.m.RecordStoreEnd(r.now, store.NewOffset(2, 1))
	r.m.Read(r.now, change.Finish(ident.NewIncarnation("a", 1), 1))
	return r
}

// run advances the time, with heartbeats, renewals and successful writes, until done
// returns true, at most for the given time. It reports whether done did.
func (r *restored) run(limit time.Duration, done func() bool) bool {
	for end := r.now.Add(limit); r.now.Before(end); r.now = r.now.Add(step) {
		if r.number == 0 || r.now.Sub(epoch) >= time.Duration(r.number)*interval {
			r.number++
			r.m.Heartbeat(r.now, owner.Heartbeat{Life: 1, ID: "u", Number: r.number, Holds: r.holds})
		}
		actions := r.m.Tick(r.now, []gossip.Entry{r.a, {Inc: r.self, Service: service, Condition: gossip.Ready, Slots: 10}})
		for _, message := range actions.Messages {
			if message.Message.Renewal != nil {
				r.m.RecordRenewal(r.a.Inc, message.Message.Renewal.Number)
			}
		}
		if actions.Proposal != nil {
			r.m.RecordOutcome(r.now, actions.Proposal, owner.Written)
		}
		if done() {
			return true
		}
	}
	return false
}

// readByOther makes a have read the newest version of the table.
func (r *restored) readByOther() {
	r.a.Versions = []gossip.Version{{Name: tableDocument, Number: r.m.Table().Version()}}
}

// A copy of the store names an owner that may have handed its keys over since. The test
// guards against keys that such an owner grants before the leases of an earlier era have
// ended, counted from when all witnesses have read the table, and against keys that it
// grants under an earlier token at any time.
func TestRecoveryWaitsForEarlierLeases(t *testing.T) {
	c := qt.New(t)
	r := newRestored(c)
	grants := func() bool { return len(r.m.Grant(r.now).Rows) > 0 }
	c.Assert(r.run(2*terms.VoteTimeout(), grants), qt.IsFalse)
	c.Assert(r.m.Table().Recovering(), qt.IsTrue)
	c.Assert(r.m.Table().Era(), qt.Equals, uint64(2))
	r.readByOther()
	read := r.now
	c.Assert(r.run(2*terms.VoteTimeout(), grants), qt.IsTrue)
	c.Check(r.now.Sub(read) >= terms.VoteTimeout(), qt.IsTrue, qt.Commentf("granted after %v", r.now.Sub(read)))
	for _, row := range r.m.Grant(r.now).Rows {
		c.Check(row.Fence.Era(), qt.Equals, uint64(2))
	}
}

// The test guards against keys that move, or wait, though their holder is reached: an
// upstream that got keys by a version of the table that is lost keeps them, under the same
// token, and their earlier owner does not get them back.
func TestLostVersionIsTakenBack(t *testing.T) {
	c := qt.New(t)
	lost := atlas.FenceAfter(copiedVersion)
	r := newRestored(c, owner.Held{Span: lower, Fence: atlas.FenceAfter(copiedVersion - 1)}, owner.Held{Span: upper, Fence: lost})
	answers := func() bool { return r.m.Grant(r.now).Known }
	c.Assert(r.run(2*terms.VoteTimeout(), answers), qt.IsTrue)
	c.Assert(r.m.Table().Recovering(), qt.IsTrue)
	rows := r.m.Grant(r.now).Rows
	c.Assert(rows, qt.HasLen, 2)
	c.Check(rows[0].Span, qt.Equals, lower)
	c.Check(rows[1].Span, qt.Equals, upper)
	c.Check(rows[1].Fence, qt.Equals, lost)
	c.Check(r.m.Table().RowsOf("a"), qt.HasLen, 0)
}
