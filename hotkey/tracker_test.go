package hotkey_test

import (
	"math"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonmoor/monsoonmoor/hotkey"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	slots    = 64
	coldRate = 1000
)

var start = time.Unix(1e9, 0)

// workload generates requests for individual hot keys and for randomly chosen
// cold keys.
type workload struct {
	t    *hotkey.Tracker
	rng  *rand.Rand
	now  time.Time
	hot  map[uint64]int
	cold int
}

func newWorkload(opts ...hotkey.Option) *workload {
	s := &workload{t: hotkey.New(slots, opts...), rng: rand.New(rand.NewSource(1)), now: start, hot: map[uint64]int{}}
	s.t.EndInterval(s.now)
	return s
}

// run generates requests for the given number of seconds. The slot of a key is
// hash%slots.
func (s *workload) run(seconds int) {
	for range seconds {
		for hash, n := range s.hot {
			for range n {
				s.t.Record(ident.SlotOfHash(hash, slots), hash)
			}
		}
		for range s.cold {
			hash := s.rng.Uint64()
			s.t.Record(ident.SlotOfHash(hash, slots), hash)
		}
		s.now = s.now.Add(time.Second)
		s.t.EndInterval(s.now)
	}
}

func (s *workload) rate(slot ident.Slot) float64 {
	for at, rate := range s.t.Rates() {
		if at == slot {
			return rate
		}
	}
	return 0
}

func TestRatesFollowLoad(t *testing.T) {
	c := qt.New(t)
	s := newWorkload(hotkey.WithWindow(5 * time.Second))
	s.hot[7] = 300
	s.run(30)
	c.Assert(math.Abs(s.rate(7)-300) < 3, qt.IsTrue, qt.Commentf("%v", s.rate(7)))
	s.hot[7] = 30
	s.run(30)
	c.Assert(math.Abs(s.rate(7)-30) < 3, qt.IsTrue, qt.Commentf("%v", s.rate(7)))
	s.t.Forget(7)
	c.Assert(s.rate(7), qt.Equals, 0.0)
}

func TestPinsSeparateHotKeys(t *testing.T) {
	c := qt.New(t)
	s := newWorkload()
	s.cold = coldRate
	s.hot[3] = 400         // with another hot key in slot 3
	s.hot[3+slots*5] = 300 // the other one
	s.hot[9] = 900         // alone in slot 9
	s.run(40)
	pins := s.t.ProposePins(4)
	c.Assert(pins, qt.HasLen, 1)
	c.Assert(pins[0].Hash(), qt.Equals, uint64(3))
	c.Assert(pins[0].Slot(), qt.Equals, ident.Slot(3))
	c.Assert(math.Abs(pins[0].Rate()-400) < 40, qt.IsTrue, qt.Commentf("%v", pins[0].Rate()))
	c.Assert(s.t.ProposePins(0), qt.HasLen, 0)
}

// TestManyDistinctKeysEarnNoPin guards against false positives: a stream of
// ever new keys replaces the counters of a slot all the time, and none of these
// keys may count as hot.
func TestManyDistinctKeysEarnNoPin(t *testing.T) {
	c := qt.New(t)
	s := newWorkload(hotkey.WithMinRate(1))
	for range 30 {
		for range 2000 {
			s.t.Record(5, s.rng.Uint64())
		}
		s.run(1)
	}
	c.Assert(s.t.ProposePins(10), qt.HasLen, 0)
}

func TestHotKeyIsFoundAmongManyKeys(t *testing.T) {
	c := qt.New(t)
	s := newWorkload()
	for range 30 {
		for i := range 1000 {
			s.t.Record(5, s.rng.Uint64())
			if i%3 == 0 {
				s.t.Record(5, 5)
			}
		}
		s.run(1)
	}
	pins := s.t.ProposePins(10)
	c.Assert(pins, qt.HasLen, 1)
	c.Assert(pins[0].Hash(), qt.Equals, uint64(5))
}

// TestLateHotKeyIsFound guards against missing a key that becomes hot when all
// counters of its slot are in use by warm keys and by a stream of new keys.
func TestLateHotKeyIsFound(t *testing.T) {
	c := qt.New(t)
	s := newWorkload()
	for second := range 60 {
		for i := range 1000 {
			if i%16 < 8 {
				s.t.Record(5, uint64(i%16))
			}
			if second >= 30 {
				s.t.Record(5, s.rng.Uint64())
			}
			if second >= 30 && i%2 == 0 {
				s.t.Record(5, 500)
			}
		}
		s.run(1)
	}
	pins := s.t.ProposePins(10)
	c.Assert(pins, qt.HasLen, 1)
	c.Assert(pins[0].Hash(), qt.Equals, uint64(500))
}

func TestReleasable(t *testing.T) {
	c := qt.New(t)
	s := newWorkload(hotkey.WithReleaseAfter(time.Minute), hotkey.WithMaxPins(1))
	s.cold = coldRate
	s.t.Record(slots+1, 1)
	s.t.Record(slots+2, 2)
	c.Assert(s.t.Releasable(s.now), qt.HasLen, 0, qt.Commentf("rate is low only since now"))
	s.run(59)
	c.Assert(s.t.Releasable(s.now), qt.HasLen, 0)
	s.run(1)
	c.Assert(s.t.Releasable(s.now), qt.DeepEquals, []ident.Slot{slots + 1}, qt.Commentf("only one pinned slot is tracked"))
	for range 500 {
		s.t.Record(slots+1, 1)
	}
	s.run(1)
	c.Assert(s.t.Releasable(s.now), qt.HasLen, 0, qt.Commentf("hot again"))
}

func TestConcurrentUse(t *testing.T) {
	c := qt.New(t)
	tracker := hotkey.New(slots)
	var group errgroup.Group
	for worker := range 4 {
		group.Go(func() error {
			for i := range 2000 {
				tracker.Record(ident.Slot(i%(slots+4)), uint64(i))
				if i%500 == 0 {
					tracker.EndInterval(start.Add(time.Duration(worker*10+i) * time.Second))
					tracker.ProposePins(3)
					tracker.Releasable(start)
					tracker.Forget(ident.Slot(i % slots))
				}
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
}

func TestTouchAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	tracker := hotkey.New(slots)
	tracker.Record(1, 1)
	tracker.Record(slots+1, 1)
	hash := uint64(0)
	allocs := testing.AllocsPerRun(1000, func() {
		hash++
		tracker.Record(1, hash)
		tracker.Record(slots+1, 1)
	})
	c.Assert(allocs, qt.Equals, 0.0)
}

func BenchmarkTouch(b *testing.B) {
	tracker := hotkey.New(ident.DefaultSlots)
	rng := rand.New(rand.NewSource(1))
	hashes := make([]uint64, 1<<16)
	for i := range hashes {
		hashes[i] = rng.Uint64()
		tracker.Record(ident.SlotOfHash(hashes[i], ident.DefaultSlots), hashes[i])
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		hash := hashes[i&(1<<16-1)]
		tracker.Record(ident.SlotOfHash(hash, ident.DefaultSlots), hash)
		i++
	}
}

// BenchmarkTick measures the cost of EndInterval with every slot in use.
func BenchmarkTick(b *testing.B) {
	tracker := hotkey.New(ident.DefaultSlots)
	for i := range ident.DefaultSlots * 16 {
		tracker.Record(ident.Slot(i%ident.DefaultSlots), uint64(i))
	}
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		tracker.EndInterval(now)
	}
}
