package owner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

// A member with more ranges than the answer to a heartbeat holds grants what fits,
// and gives some away.
func TestManyRanges(t *testing.T) {
	const ranges = 120
	c := qt.New(t)
	self, a := ident.NewIncarnation("self", 1), ident.NewIncarnation("a", 1)
	m := owner.New(self, service, epoch, owner.WithTerms(terms), owner.WithHold(hold))
	change := atlas.New(service).Change()
	for _, inc := range []ident.Incarnation{self, a} {
		change.Join(atlas.Member{Inc: inc, Witnesses: []ident.Incarnation{a}})
	}
	for i := range uint32(ranges) {
		change.Assign(atlas.NewSpan(i*10, i*10+4), "self", fmt.Sprintf("%016x", i), 0)
	}
	m.Read(epoch, change.Sign(self, 1))
	m.Heartbeat(epoch, owner.Heartbeat{Life: 1, ID: "u", Number: 1})
	live := []gossip.Entry{
		{Inc: a, Service: service, Condition: gossip.Ready, Slots: 10},
		{Inc: self, Service: service, Condition: gossip.Ready, Slots: 10},
	}
	begun := releases(m, a, epoch, live)
	now := epoch.Add(600 * time.Millisecond)
	g := m.Grant(now)
	c.Assert(g.Known, qt.IsTrue)
	size := 0
	for _, row := range g.Rows {
		size += len(fmt.Sprintf(`[%d,%d,%d,"%s"],`, row.Span.From+50000, row.Span.To+50000, uint64(row.Fence)+10000000, row.Token))
	}
	c.Check(size < 4000, qt.IsTrue, qt.Commentf("%d bytes in %d ranges", size, len(g.Rows)))
	c.Assert(begun, qt.HasLen, 1)
	c.Check(begun[0]["to"], qt.Equals, string(a.Host))
}
