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

// A member with more ranges than the answer to a heartbeat can hold must grant
// those that fit in its 4 KiB and start to give some away.
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
	m.Read(epoch, change.Finish(self, 1))
	m.Heartbeat(epoch, owner.Heartbeat{Life: 1, ID: "u", Number: 1})
	live := []gossip.Entry{
		{Inc: a, Service: service, Condition: gossip.Ready, Slots: 10},
		{Inc: self, Service: service, Condition: gossip.Ready, Slots: 10},
	}
	started := startedMoves(m, a, epoch, live)
	now := epoch.Add(600 * time.Millisecond)
	g := m.Grant(now)
	c.Assert(g.Known, qt.IsTrue)
	size := 0
	for _, row := range g.Rows {
		size += len(fmt.Sprintf(`[%d,%d,%d,"%s"],`, row.Span.From+50000, row.Span.To+50000, uint64(row.Fence)+10000000, row.Token))
	}
	c.Check(size < 4000, qt.IsTrue, qt.Commentf("%d bytes in %d ranges", size, len(g.Rows)))
	c.Assert(started, qt.HasLen, 1)
	c.Check(started[0]["to"], qt.Equals, string(a.Host))
}

// The ownership table may name a member before gossip reports that its upstream
// is ready. The first assignment of all keys must wait for that report, but
// only for a limited time.
func TestFirstDivisionWaitsForNewsOfMembers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		ready time.Duration
		want  int
	}{
		{"news in time", 300 * time.Millisecond, 2},
		{"no news", time.Hour, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			self, late := ident.NewIncarnation("a", 1), ident.NewIncarnation("b", 1)
			m := owner.New(self, service, epoch, owner.WithTerms(terms), owner.WithHold(hold))
			change := atlas.New(service).Change()
			for _, inc := range []ident.Incarnation{self, late} {
				change.Join(atlas.Member{Inc: inc, Witnesses: []ident.Incarnation{late}})
			}
			m.Read(epoch, change.Finish(self, 1))
			m.Heartbeat(epoch, owner.Heartbeat{Life: 1, ID: "u", Number: 1})
			var first *atlas.Table
			for at := time.Duration(0); first == nil && at < 10*time.Second; at += 50 * time.Millisecond {
				live := []gossip.Entry{
					{Inc: self, Service: service, Condition: gossip.Ready, Slots: 10},
					{Inc: late, Service: service, Condition: gossip.Absent, Slots: 10},
				}
				if at >= tt.ready {
					live[1].Condition = gossip.Ready
				}
				a := m.Tick(epoch.Add(at), live)
				for _, message := range a.Messages {
					if r := message.Message.Renewal; r != nil {
						m.RecordRenewal(late, r.Number)
					}
				}
				if a.Proposal != nil && len(a.Proposal.Rows()) > 0 {
					first = a.Proposal
				}
			}
			c.Assert(first, qt.IsNotNil)
			owners := make(map[ident.Host]bool)
			for _, row := range first.Rows() {
				member, _ := first.Owner(row.Span.From)
				owners[member.Inc.Host] = true
			}
			c.Check(owners, qt.HasLen, tt.want)
		})
	}
}
