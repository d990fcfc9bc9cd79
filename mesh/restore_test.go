package mesh_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/holds"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// sampleKeys are keys from all parts of the key space.
var sampleKeys = []uint32{0, 9000, 20000, 30000, 40000, 50000, 65535}

// moved starts a fleet, and has the keys of one host move to the others after a copy of the
// store was made.
func moved(c *qt.C) (*store.Mem, store.MemCopy, []*host) {
	mem, hosts := fleet(c, 4, 1)
	older := mem.Copy()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(hosts[1].node.Stop(ctx), qt.IsNil)
	hosts[1].stop()
	c.Assert(hosts[1].node.Close(), qt.IsNil)
	awaitServed(c, []*host{hosts[0], hosts[2], hosts[3]})
	return mem, older, hosts
}

// grants returns the ranges that a host holds, without handover tokens.
func (h *host) grants() []holds.Range {
	h.mu.Lock()
	defer h.mu.Unlock()
	var rows []holds.Range
	for _, r := range h.rows {
		rows = append(rows, holds.Range{Span: r.Span, Fence: r.Fence})
	}
	return rows
}

// The test guards against keys that move, change their tokens or are refused when the store
// comes back from a copy that names other owners, while all their holders are reached.
func TestRestoreMovesNoKeys(t *testing.T) {
	c := qt.New(t)
	mem, older, hosts := moved(c)
	before := map[ident.Host][]holds.Range{}
	for _, h := range hosts {
		before[h.name] = h.grants()
	}
	mem.Restore(older, "op")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, key := range sampleKeys {
			c.Assert(call(hosts[0].node, key), qt.IsNil)
		}
	}
	for _, h := range []*host{hosts[0], hosts[2], hosts[3]} {
		c.Check(h.grants(), qt.DeepEquals, before[h.name])
	}
}

// The test guards against a write from before a restore that takes effect after it, at an
// offset that fits by chance: the daemons must keep their table, and must still be able to
// write it. A daemon that starts again must not take that record for the table either.
func TestLateWriteAfterRestore(t *testing.T) {
	c := qt.New(t)
	mem, older, hosts := moved(c)
	mem.Restore(older, "op")
	ctx := context.Background()
	recovered := func() bool {
		s, err := mem.Newest(ctx, "table.events")
		c.Assert(err, qt.IsNil)
		for _, item := range s.Items {
			if item.Key == "table.1" {
				table, err := atlas.Decode(item.Offset+1, item.Value)
				c.Assert(err, qt.IsNil)
				return !table.Recovering()
			}
		}
		return false
	}
	eventually(c, recovered)
	thief := ident.NewIncarnation("e01", 1)
	change := atlas.New(ordered).Change()
	change.Join(atlas.Member{Inc: thief, Witnesses: []ident.Incarnation{thief}})
	change.Assign(atlas.Whole(), "e01", "", 0)
	data, err := change.Finish(thief, 1).Encode()
	c.Assert(err, qt.IsNil)
	_, err = mem.Put(ctx, store.Write{Topic: "table.events", Key: "table", Value: data, At: store.AnyOffset})
	c.Assert(err, qt.IsNil)
	hosts[1].start(c)
	awaitServed(c, hosts[:4])
	stopping, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	c.Assert(hosts[2].node.Stop(stopping), qt.IsNil)
	hosts[2].stop()
	for _, key := range sampleKeys {
		eventually(c, func() bool { return call(hosts[0].node, key) == nil })
	}
}
