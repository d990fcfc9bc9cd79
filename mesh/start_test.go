package mesh_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/mesh"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// TestHeartbeatBeforeConfiguration sends a single heartbeat to a daemon that has no
// configuration yet, as after a restart. Once the configuration arrives, the daemon must
// join the ownership table without waiting for another heartbeat.
func TestHeartbeatBeforeConfiguration(t *testing.T) {
	c := qt.New(t)
	mem := store.NewMem(clockwork.NewRealClock())
	newHost(c, "m00", plain, mem)
	node, err := mesh.New(mesh.Settings{
		Host: "e00", Zone: "z", Service: ordered, Upstream: freeAddr(c), PeerAddr: freeAddr(c),
		Interval: time.Minute, Drain: drain, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
	}, mesh.Ports{Store: mem, Dialect: dialect{}, Config: mesh.ConfigSource{Topic: "op", Key: "config", Decode: decodePlan}})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = node.Close() })

	answered := make(chan struct{})
	go func() {
		defer close(answered)
		node.Heartbeat(context.Background(), mesh.Heartbeat{
			Slots: 8, Heartbeat: owner.Heartbeat{Life: time.Now().UnixMilli(), ID: "e00", Number: 1},
		})
	}()
	time.Sleep(50 * time.Millisecond)
	_, err = mem.Put(context.Background(), store.Write{Topic: "op", Key: "config", Value: []byte("x"), At: store.AnyOffset})
	c.Assert(err, qt.IsNil)
	eventually(c, func() bool {
		s, err := mem.Newest(context.Background(), "table."+string(ordered))
		return err == nil && len(s.Items) > 0
	})
	<-answered
}
