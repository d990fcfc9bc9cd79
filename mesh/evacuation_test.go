package mesh_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// zoneFleet starts four hosts of the keyed service and two of the other in each of two
// zones.
func zoneFleet(c *qt.C) (*store.Mem, map[ident.Place][]*host, []*host) {
	mem := store.NewMem(clockwork.NewRealClock())
	put(c, mem, "config", "x")
	zones := make(map[ident.Place][]*host)
	var all []*host
	for _, zone := range []ident.Place{"a", "b"} {
		for i := range 4 {
			service := ordered
			if i >= 2 {
				service = plain
			}
			h := newHostIn(c, fmt.Sprintf("%s%d", zone, i), zone, service, mem)
			zones[zone], all = append(zones[zone], h), append(all, h)
		}
	}
	awaitServed(c, all)
	return mem, zones, all
}

// put writes an operator's record.
func put(c *qt.C, mem *store.Mem, key, value string) {
	c.Helper()
	_, err := mem.Put(context.Background(), store.Write{Topic: "op", Key: key, Value: []byte(value), At: store.AnyOffset})
	c.Assert(err, qt.IsNil)
}

// ranAt returns the number of calls that ran at the hosts' upstreams, and of the rows that
// these hold.
func ranAt(hosts []*host) (ran, rows int) {
	for _, h := range hosts {
		h.mu.Lock()
		ran += h.ran
		rows += len(h.rows)
		h.mu.Unlock()
	}
	return ran, rows
}

// sendAll sends calls of both services through all hosts and returns how many failed.
func sendAll(hosts []*host) (failed int) {
	for i := range 48 {
		node := hosts[i%len(hosts)].node
		if call(node, uint32(i*1365)) != nil {
			failed++
		}
		if _, err := node.Run(context.Background(), newCall(plain, 0)); err != nil {
			failed++
		}
	}
	return failed
}

// awaitEvacuated waits until the upstreams of a zone hold no keys and get no calls.
func awaitEvacuated(c *qt.C, all, zone []*host) {
	c.Helper()
	eventually(c, func() bool {
		before, rows := ranAt(zone)
		sendAll(all)
		after, _ := ranAt(zone)
		return rows == 0 && after == before
	})
}

// A zone that the operator evacuates gets no more calls: its keys are handed over and calls
// without key go elsewhere, while its daemons still serve their callers. Once it is taken
// back, its upstreams serve again. Without it all calls go on to the zone (EVAC).
func TestEvacuationOfAZone(t *testing.T) {
	c := qt.New(t)
	mem, zones, all := zoneFleet(c)
	put(c, mem, "evacuate/a", "{}")
	awaitEvacuated(c, all, zones["a"])
	before, _ := ranAt(zones["a"])
	for range 5 {
		c.Assert(sendAll(all), qt.Equals, 0)
	}
	after, rows := ranAt(zones["a"])
	c.Assert(after, qt.Equals, before)
	c.Assert(rows, qt.Equals, 0)
	put(c, mem, "evacuate/a", "")
	eventually(c, func() bool {
		sendAll(all)
		ran, _ := ranAt(zones["a"][2:])
		return ran > before
	})
}

// A daemon of an evacuated zone that restarts, and an upstream that starts there, get no
// calls: the daemon learns of the evacuation before it is ready.
func TestRestartInAnEvacuatedZone(t *testing.T) {
	c := qt.New(t)
	mem, zones, all := zoneFleet(c)
	put(c, mem, "evacuate/a", "{}")
	awaitEvacuated(c, all, zones["a"])
	before, _ := ranAt(zones["a"])
	for _, h := range zones["a"] {
		h.stop()
		c.Assert(h.node.Close(), qt.IsNil)
		h.start(c)
	}
	// The others see the restarted daemons within a few rounds of gossip.
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		sendAll(zones["b"])
	}
	after, rows := ranAt(zones["a"])
	c.Assert(after, qt.Equals, before)
	c.Assert(rows, qt.Equals, 0)
}

// Daemons to which the store doesn't answer learn of an evacuation, and of its end, from
// others.
func TestEvacuationBesideADeafStore(t *testing.T) {
	c := qt.New(t)
	mem, zones, all := zoneFleet(c)
	// The pending reads of all daemons hang; only the few that watch the operators'
	// records make new ones soon.
	mem.HangPendingReads()
	put(c, mem, "evacuate/a", "{}")
	awaitEvacuated(c, all, zones["a"])
	put(c, mem, "evacuate/a", "")
	before, _ := ranAt(zones["a"])
	eventually(c, func() bool {
		sendAll(all)
		ran, _ := ranAt(zones["a"])
		return ran > before
	})
}

// The test guards against an evacuation that lapses when the store comes back from a copy
// that doesn't have it yet, and one that returns from a copy though it was taken back: the
// operator's records are written again a moment later.
func TestEvacuationsOutliveARestore(t *testing.T) {
	for _, test := range []struct {
		name      string
		evacuated bool
	}{{"begun since the copy", true}, {"taken back since the copy", false}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			mem, zones, all := zoneFleet(c)
			write := func(evacuated bool) {
				value := ""
				if evacuated {
					value = "{}"
				}
				put(c, mem, "evacuate/a", value)
			}
			write(!test.evacuated)
			if !test.evacuated {
				awaitEvacuated(c, all, zones["a"])
			}
			older := mem.Copy()
			write(test.evacuated)
			if test.evacuated {
				awaitEvacuated(c, all, zones["a"])
			} else {
				eventually(c, func() bool { return runsAt(all, zones["a"]) })
			}
			mem.Restore(older, "")
			for begun, rewritten := time.Now(), false; time.Since(begun) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
				if !rewritten && time.Since(begun) > 500*time.Millisecond {
					write(test.evacuated)
					rewritten = true
				}
				c.Assert(runsAt(all, zones["a"]), qt.Equals, !test.evacuated, qt.Commentf("after %v", time.Since(begun)))
			}
		})
	}
}

// runsAt sends calls through all hosts and reports whether some ran at the given ones.
func runsAt(all, hosts []*host) bool {
	before, _ := ranAt(hosts)
	sendAll(all)
	after, _ := ranAt(hosts)
	return after > before
}
