package core_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/model"
)

const worldSlots = 64

// newServedWorld returns a simulation in which all slots are served and ownership
// has settled.
func newServedWorld(c *qt.C, hosts int, change ...func(*model.Config)) *model.World {
	cfg := model.Config{Hosts: hosts, Places: 3, Slots: worldSlots, Seed: 7}
	for _, f := range change {
		f(&cfg)
	}
	w := model.New(cfg)
	for i := range hosts {
		w.Host(i).Restart = true
	}
	w.StartAll()
	c.Assert(runUntilServed(w, 30*time.Second), qt.IsTrue)
	w.Run(8 * time.Second)
	c.Assert(w.Err(), qt.IsNil)
	return w
}

// runUntilServed runs the simulation until all slots are served and reports
// whether that took no longer than within.
func runUntilServed(w *model.World, within time.Duration) bool {
	return w.RunUntil(within, func() bool { return w.Served() == worldSlots })
}

// servedBy returns how many slots a host serves.
func servedBy(w *model.World, host int) int {
	n := 0
	for slot := range ident.Slot(worldSlots) {
		if slices.Contains(w.Owners(slot), host) {
			n++
		}
	}
	return n
}

// indexOf returns the host that runs an incarnation.
func indexOf(w *model.World, hosts int, inc ident.Incarnation) int {
	for i := range hosts {
		if w.Host(i).Inc() == inc {
			return i
		}
	}
	return -1
}

func TestLossIsServedAgain(t *testing.T) {
	tests := []struct {
		name string
		// also returns a further host that is lost with the owner of slot 0.
		also    func(w *model.World, owner int) int
		logDown bool
	}{
		{"owner", nil, false},
		{"owner, log down", nil, true},
		{"owner and first successor", successor, false},
		{"owner and a witness", witness, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var times []time.Duration
			for seed := range uint64(20) {
				w := newServedWorld(c, 6, func(cfg *model.Config) {
					cfg.Seed, cfg.Boots = seed, 100*seed
					cfg.Noise = model.Noise{Delay: 20 * time.Millisecond, Append: 50 * time.Millisecond}
				})
				i := w.Owners(0)[0]
				j := -1
				if tt.also != nil {
					j = tt.also(w, i)
				}
				w.Log().Up = !tt.logDown
				w.Host(i).Kill()
				if j >= 0 {
					w.Host(j).Kill()
				}
				at := w.Now()
				c.Assert(runUntilServed(w, 20*time.Second), qt.IsTrue, qt.Commentf("seed %d: %s", seed, w.Trace()))
				times = append(times, w.Now()-at)
				c.Assert(w.Err(), qt.IsNil)
			}
			slices.Sort(times)
			t.Logf("20 losses: half within %s, all within %s", times[9], times[19])
			c.Assert(times[19] <= 4*time.Second, qt.IsTrue)
		})
	}
}

// TestTwoLossesInOutage loses two hosts while the log is down. Slots whose
// successor has lost two of its own witnesses wait for the log; all others are
// served without it.
func TestTwoLossesInOutage(t *testing.T) {
	for name, also := range map[string]func(*model.World, int) int{"first successor": successor, "witness": witness} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var times []time.Duration
			waited, slots := 0, 0
			for seed := range uint64(20) {
				w := newServedWorld(c, 6, func(cfg *model.Config) { cfg.Seed, cfg.Boots = seed, 100*seed })
				i := w.Owners(0)[0]
				j := also(w, i)
				st, _ := w.Reference().State(ident.NewShard(model.Service, 0))
				remaining := st.Successors[0]
				if indexOf(w, 6, remaining) == j {
					remaining = st.Successors[1]
				}
				lost := 0
				for _, inc := range w.Reference().Witnesses(remaining) {
					if k := indexOf(w, 6, inc); k == i || k == j {
						lost++
					}
				}
				w.Log().Up = false
				w.Host(i).Kill()
				w.Host(j).Kill()
				at := w.Now()
				ok := w.RunUntil(4*time.Second, func() bool { return len(w.Owners(0)) == 1 })
				if lost < 2 {
					c.Assert(ok, qt.IsTrue, qt.Commentf("seed %d: %s", seed, w.Trace()))
					times = append(times, w.Now()-at)
				} else {
					waited++
				}
				w.Run(4*time.Second - (w.Now() - at))
				slots += w.Served()
				w.Log().Up = true
				c.Assert(runUntilServed(w, 8*time.Second), qt.IsTrue, qt.Commentf("seed %d: %s", seed, w.Trace()))
				c.Assert(w.Err(), qt.IsNil)
			}
			slices.Sort(times)
			t.Logf(
				"slot served again %d times of 20, all in %s; %d successors lost two witnesses; %d of %d slots served after 4 s",
				len(times), times[len(times)-1], waited, slots, 20*worldSlots)
		})
	}
}

func successor(w *model.World, _ int) int {
	st, _ := w.Reference().State(ident.NewShard(model.Service, 0))
	return indexOf(w, 6, st.Successors[0])
}

func witness(w *model.World, owner int) int {
	return indexOf(w, 6, w.Reference().Witnesses(w.Host(owner).Inc())[0])
}

// TestDrain drains a member with requests in flight, with and without the log.
// It must stop service at once but leave only after the requests have ended.
func TestDrain(t *testing.T) {
	for _, logUp := range []bool{true, false} {
		c := qt.New(t)
		w := newServedWorld(c, 5)
		w.Log().Up = logUp
		w.Run(200 * time.Millisecond)
		h := w.Host(1)
		had := servedBy(w, 1)
		c.Assert(had > 0, qt.IsTrue)
		h.Hold = true
		at := w.Now()
		h.Give(core.Drain{})
		c.Assert(servedBy(w, 1), qt.Equals, 0)
		w.Run(time.Second)
		c.Assert(h.Left, qt.IsFalse, qt.Commentf("left with work in flight"))
		h.Release()
		c.Assert(w.RunUntil(10*time.Second, func() bool { return h.Left }), qt.IsTrue)
		left := w.Now() - at
		c.Assert(runUntilServed(w, 10*time.Second), qt.IsTrue, qt.Commentf("%s", w.Trace()))
		t.Logf("log up %t: %d slots, left after %s, all served after %s", logUp, had, left, w.Now()-at)
		c.Assert(w.Err(), qt.IsNil)
	}
}

func TestUpstreamLost(t *testing.T) {
	for _, logUp := range []bool{true, false} {
		c := qt.New(t)
		w := newServedWorld(c, 5)
		w.Log().Up = logUp
		w.Run(200 * time.Millisecond)
		at := w.Now()
		w.Host(1).SetUpstream(false)
		c.Assert(runUntilServed(w, 10*time.Second), qt.IsTrue, qt.Commentf("%s", w.Trace()))
		c.Assert(servedBy(w, 1), qt.Equals, 0)
		t.Logf("log up %t: all served after %s", logUp, w.Now()-at)
		c.Assert(w.Now()-at <= 4*time.Second, qt.IsTrue)
		w.Log().Up = true
		w.Run(5 * time.Second)
		w.Host(1).SetUpstream(true)
		c.Assert(w.RunUntil(30*time.Second, func() bool { return servedBy(w, 1) > 0 }), qt.IsTrue)
		c.Assert(w.Err(), qt.IsNil)
	}
}

// TestPausePastLease pauses a member for longer than its lease. The view from
// before the pause must not serve any more, and the member returns under a new
// incarnation.
func TestPausePastLease(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	h := w.Host(2)
	c.Assert(servedBy(w, 2) > 0, qt.IsTrue)
	h.Pause()
	c.Assert(w.RunUntil(3*time.Second, func() bool { return servedBy(w, 2) == 0 }), qt.IsTrue,
		qt.Commentf("the old view still serves"))
	c.Assert(runUntilServed(w, 4*time.Second), qt.IsTrue)
	w.Run(5 * time.Second)
	h.Resume()
	c.Assert(servedBy(w, 2), qt.Equals, 0)
	w.Run(4 * time.Second)
	c.Assert(h.Inc().Boot, qt.Equals, uint64(2))
	c.Assert(h.Halt, qt.Equals, "lease ran out")
	c.Assert(w.Err(), qt.IsNil)
}

func TestIsolatedMemberStops(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	w.Cut = func(from, to int) bool { return from == 3 || to == 3 }
	c.Assert(w.RunUntil(2*time.Second, func() bool { return servedBy(w, 3) == 0 }), qt.IsTrue)
	c.Assert(runUntilServed(w, 4*time.Second), qt.IsTrue)
	c.Assert(w.Err(), qt.IsNil)
}

func TestJoinerGetsFairShare(t *testing.T) {
	c := qt.New(t)
	w := model.New(model.Config{Hosts: 6, Places: 3, Slots: worldSlots, Seed: 7})
	for i := range 5 {
		w.Host(i).Start()
	}
	c.Assert(runUntilServed(w, 30*time.Second), qt.IsTrue)
	w.Run(5 * time.Second)
	before := w.Count()
	w.Host(5).Start()
	most, down := 0, 0
	for range 20 * 20 {
		w.Advance()
		most = max(most, servedBy(w, 5))
		down = max(down, worldSlots-w.Served())
	}
	after := w.Count()
	t.Logf("joiner owns %d of %d, at most %d slots were unserved at once, %d moves by %d appends",
		servedBy(w, 5), worldSlots, down, after.Moves-before.Moves, after.Appends-before.Appends)
	c.Assert(most <= worldSlots/6, qt.IsTrue)
	c.Assert(servedBy(w, 5) >= worldSlots/6/2, qt.IsTrue)
	c.Assert(w.Err(), qt.IsNil)
}

// TestMoveWaitsForCallsInVain moves a slot for load while a call on it hangs.
// The slot is served again after a second, under the same epoch. A late Idle
// for that Stop must move nothing, not even if the slot has been stopped a
// second time.
func TestMoveWaitsForCallsInVain(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	i := w.Owners(0)[0]
	h := w.Host(i)
	epoch, _ := h.Serves(0)
	order := core.MoveOrder{Service: model.Service, Slots: []ident.Slot{0}, To: w.Host((i + 1) % 5).Inc()}
	h.Hold = true
	h.Give(order)
	c.Assert(w.Owners(0), qt.HasLen, 0)
	c.Assert(w.RunUntil(1200*time.Millisecond, func() bool { return len(w.Owners(0)) == 1 }), qt.IsTrue)
	now, ok := h.Serves(0)
	c.Assert(ok && now == epoch, qt.IsTrue)
	h.Give(order)
	c.Assert(w.Owners(0), qt.HasLen, 0)
	h.Give(core.Idle{Shards: []ident.Shard{ident.NewShard(model.Service, 0)}, Number: 1})
	w.Run(700 * time.Millisecond)
	c.Assert(w.Owners(0), qt.HasLen, 0)
	h.Release()
	c.Assert(w.RunUntil(2*time.Second, func() bool { return slices.Contains(w.Owners(0), (i+1)%5) }), qt.IsTrue)
	c.Assert(w.Err(), qt.IsNil)
}

// TestVoidMoveIsRenamed makes a move void by evicting the member that was to
// receive the slot. The slot must be served again, under a higher epoch.
func TestVoidMoveIsRenamed(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	i := w.Owners(0)[0]
	to := (i + 1) % 5
	h := w.Host(i)
	epoch, _ := h.Serves(0)
	h.Hold = true
	h.Give(core.MoveOrder{Service: model.Service, Slots: []ident.Slot{0}, To: w.Host(to).Inc()})
	c.Assert(w.Owners(0), qt.HasLen, 0)
	w.Host((i + 2) % 5).Give(core.EvictOrder{Of: w.Host(to).Inc(), Operator: "op"})
	w.Host(to).Kill()
	w.Run(700 * time.Millisecond)
	c.Assert(w.Owners(0), qt.HasLen, 0)
	h.Release()
	c.Assert(w.RunUntil(3*time.Second, func() bool { return len(w.Owners(0)) == 1 }), qt.IsTrue)
	now, ok := h.Serves(0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(now > epoch, qt.IsTrue)
	c.Assert(w.Err(), qt.IsNil)
}

func TestPin(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	const hash = 5 + 3*worldSlots
	i := w.Owners(5)[0]
	w.Host(i).Give(core.PinOrder{Service: model.Service, Hash: hash})
	w.Run(2 * time.Second)
	for j := range 5 {
		got, ok := w.Host(j).Machine().View().Lookup(model.Service, hash)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got.Shard.Slot, qt.Equals, ident.Slot(worldSlots))
		c.Assert(got.Owner, qt.Equals, w.Host(i).Inc())
	}
	_, ok := w.Host(i).Serves(worldSlots)
	c.Assert(ok, qt.IsTrue)
	c.Assert(baseOf(w.Host(i), worldSlots), qt.Equals, ident.Slot(5))
	w.Host(i).Kill()
	c.Assert(w.RunUntil(4*time.Second, func() bool { return len(w.Owners(worldSlots)) == 1 }), qt.IsTrue)
}

// TestPinsByTwoOwnersAtOnce orders pins from two owners that choose the same
// new slot. The one that comes second is repeated, and both keys must end up
// pinned.
func TestPinsByTwoOwnersAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	var hashes []uint64
	first := w.Owners(0)[0]
	for n := range ident.Slot(worldSlots) {
		if i := w.Owners(n)[0]; len(hashes) == 0 || len(hashes) == 1 && i != first {
			hash := uint64(n) + worldSlots
			hashes = append(hashes, hash)
			w.Host(i).Give(core.PinOrder{Service: model.Service, Hash: hash})
		}
	}
	w.Run(3 * time.Second)
	for _, hash := range hashes {
		_, pinned := w.Reference().PinOf(model.Service, hash)
		c.Assert(pinned, qt.IsTrue)
	}
}

// TestEvictionFreesSlots loses an owner and two of its witnesses, so that no
// two votes against the owner can match. Its slots are served again only after
// an operator has evicted the three.
func TestEvictionFreesSlots(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	i := w.Owners(0)[0]
	set := w.Reference().Witnesses(w.Host(i).Inc())
	w.Host(i).Kill()
	for _, inc := range set[:2] {
		w.Host(indexOf(w, 5, inc)).Kill()
	}
	for k := range 5 {
		if w.Host(k).Machine() == nil && k != i {
			w.Host(k).Start()
		}
	}
	c.Assert(runUntilServed(w, 8*time.Second), qt.IsFalse, qt.Commentf("no two votes can match"))
	for k := range 5 {
		for _, inc := range append(set[:2:2], ident.NewIncarnation(w.Host(i).Inc().Host, 1)) {
			w.Host(k).Give(core.EvictOrder{Of: inc, Operator: "op"})
		}
	}
	c.Assert(runUntilServed(w, 15*time.Second), qt.IsTrue, qt.Commentf("%s", w.Trace()))
	c.Assert(w.Err(), qt.IsNil)
}

// TestEvictOrderWaitsForMembership loses an owner and two of its witnesses and gives the
// evict orders to one host only, just after its daemon has started, so that it is not on
// the stream yet. It guards against an order that is accepted and then dropped.
func TestEvictOrderWaitsForMembership(t *testing.T) {
	c := qt.New(t)
	w := newServedWorld(c, 5)
	i := w.Owners(0)[0]
	set := w.Reference().Witnesses(w.Host(i).Inc())
	gone := slices.Concat(set[:2], []ident.Incarnation{w.Host(i).Inc()})
	w.Host(i).Kill()
	ordered := -1
	for _, inc := range set[:2] {
		ordered = indexOf(w, 5, inc)
		w.Host(ordered).Kill()
	}
	for k := range 5 {
		if w.Host(k).Machine() == nil && k != i {
			w.Host(k).Start()
		}
	}
	for _, inc := range gone {
		w.Host(ordered).Give(core.EvictOrder{Of: inc, Operator: "op"})
	}
	c.Assert(runUntilServed(w, 15*time.Second), qt.IsTrue, qt.Commentf("%s", w.Trace()))
	c.Assert(w.Err(), qt.IsNil)
}

// TestFewMembersOwnNothing runs three members: none can name three witnesses
// on other hosts, so none can own slots, and none may halt.
func TestFewMembersOwnNothing(t *testing.T) {
	c := qt.New(t)
	w := model.New(model.Config{Hosts: 3, Places: 3, Slots: worldSlots, Seed: 7})
	w.StartAll()
	w.Run(15 * time.Second)
	c.Assert(w.Served(), qt.Equals, 0)
	c.Assert(w.Count().Halts, qt.Equals, 0)
}

// baseOf returns the slot that a pin was split from by the view of a host.
func baseOf(h *model.Host, pin ident.Slot) ident.Slot {
	for _, held := range h.Machine().View().Served() {
		if held.Shard.Slot == pin {
			return held.Base.Slot
		}
	}
	return 0
}
