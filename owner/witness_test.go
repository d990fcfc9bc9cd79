package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recoveryBound is how soon after a fault all keys must be held: the platform's bound for
// recovery.
const recoveryBound = 15 * time.Second

// assertRecovers checks that all keys are held after a fault, by one upstream each.
func assertRecovers(c *qt.C, w *simulation) {
	c.Helper()
	_, held := w.unheld(recoveryBound)
	c.Assert(held, qt.IsTrue, qt.Commentf("%d of %d keys held\n%s", w.held(), len(probes), tail(w.log, 30)))
	c.Assert(w.violations, qt.HasLen, 0)
}

// assertStaysHeld checks that all keys are held all the time.
func assertStaysHeld(c *qt.C, w *simulation, length time.Duration) {
	c.Helper()
	longest, held := w.unheld(length)
	c.Assert(held && longest <= interval, qt.IsTrue, qt.Commentf("%v without holder\n%s", longest, tail(w.log, 30)))
	c.Assert(w.violations, qt.HasLen, 0)
}

// replaceAndRoll replaces two machines without keys, and rolls the two that have keys.
func replaceAndRoll(seed uint64) *simulation {
	w := newMachines(seed, 2, 5, rules{})
	for _, d := range w.daemons[2:4] {
		w.replace(d)
		w.run(3 * time.Second)
	}
	for _, d := range w.daemons[:2] {
		w.roll(d)
		w.run(4 * time.Second)
	}
	return w
}

// A daemon that starts hears of machines that were lost shortly before. The test guards
// against such machines as witnesses: the loss of the owner and of any other machine then
// leaves no majority that could vote, and its keys never get another owner.
func TestLostMachinesAreNoWitnesses(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for seed := range uint64(4) {
			for lost := range 7 {
				c := qt.New(t)
				w := replaceAndRoll(seed)
				owner := w.owners()[0]
				other := w.daemons[lost]
				if other == owner || !other.removedAt.IsZero() {
					continue
				}
				w.remove(owner)
				w.remove(other)
				if killed {
					w.kill(w.daemons...)
				}
				if survivors := w.daemons[:2]; survivors[0].removedAt.IsZero() || survivors[1].removedAt.IsZero() {
					assertRecovers(c, w)
				}
			}
		}
	}
}

// The test guards against keys that lose their holder though all machines are up: the
// witnesses that answer are restarted in turn, beside others that never did.
func TestWitnessesAreRolled(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		w := replaceAndRoll(seed)
		for _, d := range w.daemons[2:] {
			if d.removedAt.IsZero() {
				w.kill(d)
				assertStaysHeld(c, w, 4*time.Second)
			}
		}
	}
}

// The test guards against keys without an owner after machines of their own service were
// replaced, one after the other, until none of the first ones is left.
func TestAllMachinesAreReplaced(t *testing.T) {
	for seed := range uint64(4) {
		c := qt.New(t)
		w := newMachines(seed, 4, 1, rules{})
		for _, d := range w.daemons[:5] {
			w.replace(d)
			assertRecovers(c, w)
		}
	}
}

// The test guards against an owner that starts while daemons are frozen, which it takes for
// its witnesses, and never names others though its lease has ended; and against one that
// does without them after they are back.
func TestFrozenWitnesses(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		w := newMachines(seed, 2, 5, rules{})
		w.freeze(30*time.Second, w.daemons[2:4]...)
		w.run(2 * time.Second)
		w.roll(w.daemons[1])
		w.run(3 * time.Second)
		w.roll(w.daemons[0])
		assertRecovers(c, w)
		for _, d := range w.daemons[4:] {
			w.kill(d)
			assertStaysHeld(c, w, 4*time.Second)
		}
		w.run(10 * time.Second)
		for _, d := range w.owners() {
			member, _ := w.newest.Member(d.host)
			c.Check(member.Witnesses, qt.HasLen, 5, qt.Commentf("%s", tail(w.log, 10)))
		}
	}
}

// The test guards against an owner that counts on frozen daemons: of its three witnesses, one
// has never answered, another was frozen since, and the third has just handed its keys over
// and stopped.
func TestHandoverBesideFrozenDaemons(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		w := newMachines(seed, 2, 2, rules{})
		w.freeze(40*time.Second, w.daemons[2])
		w.run(2 * time.Second)
		w.roll(w.daemons[0])
		w.run(time.Second)
		w.freeze(40*time.Second, w.daemons[3])
		w.roll(w.daemons[1])
		assertRecovers(c, w)
	}
}

// The test guards against witnesses that come back with a copy of the store: its owner could
// not write the names of others while the store was away.
func TestCopyNamesLostWitnesses(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		w := newMachines(seed, 2, 5, rules{restores: true})
		w.storeDownUntil = w.now.Add(6 * time.Second)
		for _, d := range w.daemons[2:5] {
			w.remove(d)
		}
		w.run(6 * time.Second)
		w.restore()
		w.add("late", media)
		assertRecovers(c, w)
		w.remove(w.owners()[0])
		assertRecovers(c, w)
	}
}

// The test guards against keys without an owner after the whole fleet was killed twice,
// with the owner and another machine missing each time.
func TestFleetIsKilledTwice(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		w := newMachines(seed, 2, 6, rules{})
		for round := range 2 {
			w.remove(w.owners()[0])
			w.remove(w.daemons[2+round])
			w.kill(w.daemons...)
			assertRecovers(c, w)
			w.add("late", service)
			w.run(3 * time.Second)
		}
	}
}

// The test guards against small fleets that stand still: of two and of three daemons, one
// is replaced, and then the other ones.
func TestSmallFleets(t *testing.T) {
	for size := 2; size <= 3; size++ {
		for seed := range uint64(8) {
			c := qt.New(t)
			w := newMachines(seed, size, 0, rules{})
			for _, d := range w.daemons[:size] {
				w.roll(d)
				w.replace(d)
				assertRecovers(c, w)
			}
		}
	}
}

// The test guards against a large fleet that waits for daemons that are gone while it is
// rolled.
func TestLargeFleetIsRolled(t *testing.T) {
	c := qt.New(t)
	w := newMachines(1, 30, 170, rules{})
	for i := range 8 {
		w.replace(w.daemons[30+i])
		w.roll(w.daemons[i])
	}
	for _, d := range w.owners()[:2] {
		w.remove(d)
	}
	assertRecovers(c, w)
}

// The test guards against a start that waits for witnesses that are gone: it may take one
// renewal interval longer than a start beside machines that are all there.
func TestStartBesideLostMachines(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		var unheld [2]time.Duration
		for lost := range unheld {
			w := newMachines(seed, 2, 5, rules{})
			for _, d := range w.daemons[2 : 2+2*lost] {
				w.remove(d)
			}
			w.run(time.Second)
			w.kill(w.daemons[:2]...)
			unheld[lost], _ = w.unheld(recoveryBound)
		}
		t.Logf("seed %d: %v without holder, %v beside lost machines", seed, unheld[0], unheld[1])
		c.Check(unheld[1] <= unheld[0]+interval+terms.Renewal, qt.IsTrue)
	}
}

// The test guards against a daemon that takes those for silent that it has not asked: after
// its upstream was away for longer than a lease, it joins with all its witnesses.
func TestUpstreamReturns(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		w := newMachines(seed, 3, 4, rules{})
		d := w.daemons[0]
		d.upstream.up, d.upstream.restartAt = false, w.now.Add(5*time.Second)
		w.run(5 * time.Second)
		for end := w.now.Add(recoveryBound); !d.machine.IsMember() && w.now.Before(end); {
			w.advance()
		}
		member, _ := w.newest.Member(d.host)
		c.Check(member.Witnesses, qt.HasLen, 5)
	}
}
