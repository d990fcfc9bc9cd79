package store_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/store"
)

// testTimeout bounds each wait of a test, which would hang on a fault otherwise.
const testTimeout = 20 * time.Second

func put(c *qt.C, m *store.Mem, key, value string) {
	_, err := m.Put(context.Background(), store.Write{Topic: "t", Key: key, Value: []byte(value), At: store.AnyOffset})
	c.Assert(err, qt.IsNil)
}

// next returns the next item that a follower delivers, as key=value.
func next(c *qt.C, items <-chan store.Item) string {
	select {
	case item := <-items:
		return item.Key + "=" + string(item.Value)
	case <-time.After(testTimeout):
		c.Fatal("no item delivered in time")
		return ""
	}
}

// nextSynced returns the next value that the follower passes to the function of
// WithSyncCallback.
func nextSynced(c *qt.C, synced <-chan bool) bool {
	select {
	case up := <-synced:
		return up
	case <-time.After(testTimeout):
		c.Fatal("no change of the synced state in time")
		return false
	}
}

func follow(c *qt.C, m *store.Mem, opts ...store.FollowerOption) (*store.Follower, <-chan store.Item, <-chan bool) {
	items, synced := make(chan store.Item, 100), make(chan bool, 100)
	opts = append(opts, store.WithSyncCallback(func(up bool) { synced <- up }))
	f := store.Follow(m, "t", func(i store.Item) { items <- i }, opts...)
	c.Cleanup(func() { _ = f.Close() })
	return f, items, synced
}

func TestFollowerDeliversNewestAndChanges(t *testing.T) {
	c := qt.New(t)
	m := store.NewMem(clockwork.NewRealClock())
	put(c, m, "a", "1")
	put(c, m, "a", "2")
	_, items, synced := follow(c, m, store.WithPollInterval(time.Second, time.Millisecond))
	c.Assert(next(c, items), qt.Equals, "a=2")
	c.Assert(nextSynced(c, synced), qt.IsTrue)
	put(c, m, "b", "3")
	c.Assert(next(c, items), qt.Equals, "b=3")
}

func TestFollowerRecoversFromOutage(t *testing.T) {
	c := qt.New(t)
	m := store.NewMem(clockwork.NewRealClock())
	_, items, synced := follow(c, m, store.WithPollInterval(20*time.Millisecond, time.Millisecond))
	c.Assert(nextSynced(c, synced), qt.IsTrue)
	m.SetFaults(store.MemFaults{Down: true})
	c.Assert(nextSynced(c, synced), qt.IsFalse)
	m.SetFaults(store.MemFaults{})
	c.Assert(nextSynced(c, synced), qt.IsTrue)
	put(c, m, "a", "1")
	c.Assert(next(c, items), qt.Equals, "a=1")
}

// The test guards against a follower that misses changes or stops when the store has
// dropped records that it has not read: it must read the newest items instead.
func TestFollowerRecoversFromExpiredRecords(t *testing.T) {
	c := qt.New(t)
	m := store.NewMem(clockwork.NewRealClock())
	_, items, synced := follow(c, m, store.WithPollInterval(20*time.Millisecond, time.Millisecond))
	c.Assert(nextSynced(c, synced), qt.IsTrue)
	m.SetFaults(store.MemFaults{Down: true})
	c.Assert(nextSynced(c, synced), qt.IsFalse)
	m.SetFaults(store.MemFaults{})
	put(c, m, "a", "1")
	put(c, m, "a", "2")
	m.ExpireRecords("t")
	for got := ""; got != "a=2"; {
		got = next(c, items)
	}
}

// The test guards against needless calls to the store: once a topic has been read
// that is not wanted, since its changes arrive by another way, it is read no more.
func TestFollowerMakesNoCallsWhenNotWanted(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	m := store.NewMem(clock)
	put(c, m, "a", "1")
	_, items, synced := follow(c, m, store.WithClock(clock), store.WithEnabled(func() bool { return false }))
	c.Assert(next(c, items), qt.Equals, "a=1")
	c.Assert(nextSynced(c, synced), qt.IsTrue)
	before := m.Calls()
	for range 20 {
		c.Assert(clock.BlockUntilContext(context.Background(), 1), qt.IsNil)
		clock.Advance(time.Second)
	}
	c.Assert(m.Calls(), qt.Equals, before)
}
