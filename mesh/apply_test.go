package mesh_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/mesh"
	"github.com/monsoonmoor/monsoonmoor/store"
)

func TestApply(t *testing.T) {
	c := qt.New(t)
	start := mesh.Settings{
		Host: "a", Zone: "z", Service: ordered, Upstream: freeAddr(c), PeerAddr: freeAddr(c),
		Interval: interval, Drain: time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
	}
	node, err := mesh.New(start, mesh.Ports{
		Store: store.NewMem(clockwork.NewRealClock()), Dialect: dialect{},
		Config: mesh.ConfigSource{Topic: "op", Key: "config", Decode: decodePlan},
	})
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(node.Close(), qt.IsNil) }()

	now := start
	now.Seeds, now.RetrySlack, now.Interval = []string{"127.0.0.1:9"}, 60, 2*interval
	applied, restart, err := node.Apply(now)
	c.Assert(err, qt.IsNil)
	c.Check(applied, qt.DeepEquals, []string{"seeds", "retry"})
	c.Check(restart, qt.DeepEquals, []string{"interval"})

	// Settings that were reported once are not reported again.
	applied, restart, err = node.Apply(now)
	c.Assert(err, qt.IsNil)
	c.Check(applied, qt.HasLen, 0)
	c.Check(restart, qt.HasLen, 0)

	now.Host = ""
	_, _, err = node.Apply(now)
	c.Assert(err, qt.ErrorIs, mesh.ErrSettings)
}
