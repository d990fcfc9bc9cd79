package peers_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/peers"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// TestMemFaults checks the outcome of a call and the delivery of a message for each fault of
// an in-memory network.
func TestMemFaults(t *testing.T) {
	b := table.Member{Inc: ident.NewIncarnation("b", 1)}
	for _, test := range []struct {
		name    string
		fault   func(n *peers.Network)
		outcome calls.Outcome
		ran     bool
		arrives bool
	}{
		{"none", func(*peers.Network) {}, calls.Answered, true, true},
		{"forward link cut", func(n *peers.Network) { n.SetCut("a", "b", true) }, calls.NotRun, false, false},
		{"return link cut", func(n *peers.Network) { n.SetCut("b", "a", true) }, calls.Unknown, true, true},
		{"messages lost", func(n *peers.Network) { n.SetLoss("a", "b", 1) }, calls.Answered, true, false},
		{"cut and restored", func(n *peers.Network) { n.SetCut("a", "b", true); n.SetCut("a", "b", false) }, calls.Answered, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := peers.NewNetwork(1)
			server := newHandler()
			ran := false
			server.run = func(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
				ran = true
				return echo(ctx, call)
			}
			at, from := n.Join("b", server), n.Join("a", newHandler())
			defer at.Close()
			defer from.Close()
			test.fault(n)
			from.Send(b, wire.Message{Ping: &wire.Ping{Nonce: 1}})
			got, err := from.Forward(context.Background(), b, newCall(http.MethodPost, "hello"))
			if test.outcome == calls.Answered {
				c.Assert(err, qt.IsNil)
				c.Assert(readAll(c, got), qt.Equals, "hello")
			} else {
				c.Assert(calls.AsError(err).Outcome(), qt.Equals, test.outcome)
			}
			c.Assert(ran, qt.Equals, test.ran)
			n.SetLoss("a", "b", 0)
			n.SetCut("a", "b", false)
			from.Send(b, wire.Message{Ping: &wire.Ping{Nonce: 2}})
			want := uint64(2)
			if test.arrives {
				want = 1
			}
			c.Assert(receive(c, server.messages).Ping.Nonce, qt.Equals, want)
		})
	}
}
