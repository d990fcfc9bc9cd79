package mesh_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/holds"
	"github.com/monsoonmoor/monsoonmoor/mesh"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// keyCalls accepts the grants for the life "second" of an upstream. A grant for the life
// "first" is answered when answer is closed: another life has the address by then.
type keyCalls struct {
	called chan struct{}
	answer chan struct{}
	first  atomic.Bool
}

func (k *keyCalls) Grant(_ context.Context, upstream string, _ holds.Range, _ time.Duration) (holds.Outcome, error) {
	if upstream != "first" {
		return holds.Accepted, nil
	}
	if !k.first.Swap(true) {
		close(k.called)
	}
	<-k.answer
	return holds.Unsent, errors.New("another life listens")
}

func (k *keyCalls) Release(context.Context, string, holds.Range) (string, holds.Outcome, error) {
	return "", holds.Accepted, nil
}

// TestLateOutcomeOfAnEarlierLife starts a second life of an upstream while a grant for
// the first one is in flight. Its outcome, that the first life has ended, must not make
// the daemon take the second one for ended and give its keys away.
func TestLateOutcomeOfAnEarlierLife(t *testing.T) {
	c := qt.New(t)
	mem := store.NewMem(clockwork.NewRealClock())
	_, err := mem.Put(context.Background(), store.Write{Topic: "op", Key: "config", Value: []byte("x"), At: store.AnyOffset})
	c.Assert(err, qt.IsNil)
	newHost(c, "m00", plain, mem)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	}))
	c.Cleanup(upstream.Close)
	keys := &keyCalls{called: make(chan struct{}), answer: make(chan struct{})}
	node, err := mesh.New(mesh.Settings{
		Host: "e00", Zone: "z", Service: ordered, Upstream: upstream.Listener.Addr().(*net.TCPAddr).String(), PeerAddr: freeAddr(c),
		Interval: time.Minute, MaxGrant: 2 * time.Second, Drain: drain, GrantsByCall: true,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
	}, mesh.Ports{
		Store: mem, Dialect: dialect{}, Keys: keys, Config: mesh.ConfigSource{Topic: "op", Key: "config", Decode: decodePlan},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = node.Close() })
	begin := func(life int64, id string) {
		node.Heartbeat(context.Background(), mesh.Heartbeat{
			Slots: 8, Heartbeat: owner.Heartbeat{Life: life, ID: id, Number: 1},
		})
	}
	begin(1, "first")
	select {
	case <-keys.called:
	case <-time.After(15 * time.Second):
		c.Fatal("no grant for the first life")
	}
	begin(2, "second")
	close(keys.answer)
	time.Sleep(200 * time.Millisecond)
	eventually(c, func() bool { return call(node, 7) == nil })
}
