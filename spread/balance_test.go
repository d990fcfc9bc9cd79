package spread_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/spread"
)

// Limits that TestBalance and TestColdJoiner check, derived from the settings and the target cluster sizes.
const (
	// maxImbalance is the highest accepted ratio of actual to ideal imbalance. The planner moves nothing
	// within a hysteresis of 0.2 and a pressure gap of 0.05, so the load may stay that far from the best
	// placement of whole slots.
	maxImbalance = 1.25
	// maxExcess is the share of the excess imbalance of static placement, compared with the best placement
	// of whole slots, that may remain after moves: they must remove at least three quarters of it.
	maxExcess = 0.25
	// maxSettle is the longest accepted time until the load is balanced, in seconds: half of two minutes,
	// the shortest interval at which the hottest keys change. Slower balancing would come too late.
	maxSettle = 60
	// maxUnavailable is the share of time for which a key may be unavailable: each key should be available
	// 99.99% of the time. A hand-over of a slot takes one append to the log and reading it back, at most
	// 100 ms.
	maxUnavailable = 1e-4
	handOver       = 100 * time.Millisecond
)

// loadFunc returns the total requests per second at the given second of the run, and those of each hot key.
type loadFunc func(f *fleet, second int) (total float64, hot map[ident.Slot]float64)

// shape is a load profile of one service. Its hot keys change every changes seconds.
type shape struct {
	name    string
	members int
	changes int
	source  loadFunc
}

// changing returns a constant total load with the given share of it on 23 hot keys, which are chosen anew
// every 180 s.
func changing(members int, share float64) loadFunc {
	var hot map[ident.Slot]float64
	return func(f *fleet, second int) (float64, map[ident.Slot]float64) {
		total := 0.5 * capacity * float64(members)
		if second%180 == 0 {
			hot = f.hotKeys(23, share*total)
		}
		return total, hot
	}
}

// rush returns a load that rises twelvefold within five minutes, with a quarter of it on five hot keys.
func rush(members int) loadFunc {
	var hot map[ident.Slot]float64
	return func(f *fleet, second int) (float64, map[ident.Slot]float64) {
		total := capacity * float64(members) * min(0.6, 0.05+0.55*float64(second)/300)
		if second%180 == 0 {
			hot = f.hotKeys(5, 1)
		}
		scaled := map[ident.Slot]float64{}
		for s, r := range hot {
			scaled[s] = r * 0.25 * total
		}
		return total, scaled
	}
}

// gathering returns a load in which one key rises to 45% of one upstream's capacity within two minutes.
func gathering(members int) loadFunc {
	return func(_ *fleet, second int) (float64, map[ident.Slot]float64) {
		rise := min(1, float64(second%450)/120)
		return 0.5 * capacity * float64(members), map[ident.Slot]float64{ident.Slot(1000 + second/450): 0.45 * capacity * rise}
	}
}

var shapes = []shape{
	{"rounds-desk 6, rush", 6, 180, rush(6)},
	{"carrier-hub 4, rush", 4, 180, rush(4)},
	{"events 5, gathering", 5, 450, gathering(5)},
	{"events 5, 23 hot keys", 5, 180, changing(5, 0.4)},
	{"media 4, 23 hot keys", 4, 180, changing(4, 0.4)},
	{"rounds-desk 6, 23 hot keys", 6, 180, changing(6, 0.4)},
	{"40 upstreams, 23 hot keys", 40, 180, changing(40, 0.084)},
	{"40 upstreams, key over mean", 40, 180, changing(40, 0.15)},
}

// result summarizes a run. static, actual and ideal are imbalances, averaged over the last third of each
// interval between changes of the hot keys; worst is the highest ratio of actual to ideal.
type result struct {
	static, actual, ideal, worst float64
	// settle is the longest time from a change of the hot keys until the load is balanced, in seconds.
	settle int
	// first is the number of slots moved before the first change of the hot keys, moved the number after it.
	first, moved int
	seconds      int
}

// unavailable returns the mean share of time for which a slot was unavailable because it was being moved.
func (r result) unavailable() float64 {
	return float64(r.first+r.moved) * handOver.Seconds() / float64(slots) / float64(r.seconds)
}

func runShape(s shape, seconds int, opts ...spread.Option) result {
	f, static := newFleet(1, s.members, opts...), newFleet(1, s.members)
	r := result{seconds: seconds}
	settled, n := 0, 0
	for second := range seconds {
		if second%s.changes == 0 {
			if second == s.changes {
				r.first = f.moved
			}
			r.settle, settled = max(r.settle, settled), s.changes
		}
		total, hot := s.source(f, second)
		f.setLoad(total, hot)
		static.setLoad(total, hot)
		f.step()
		actual, ideal := f.imbalance()
		if settled == s.changes && actual <= maxImbalance*ideal {
			settled = second % s.changes
		}
		if second%s.changes >= s.changes*2/3 {
			unmoved, _ := static.imbalance()
			r.static, r.actual, r.ideal, n = r.static+unmoved, r.actual+actual, r.ideal+ideal, n+1
			r.worst = max(r.worst, actual/ideal)
		}
	}
	r.settle = max(r.settle, settled)
	r.static, r.actual, r.ideal = r.static/float64(n), r.actual/float64(n), r.ideal/float64(n)
	r.moved = f.moved - r.first
	return r
}

// TestBalance compares load-based moves with static rendezvous placement under each load profile.
func TestBalance(t *testing.T) {
	c := qt.New(t)
	const seconds = 900
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-28s %7s %7s %7s %7s %9s %7s %12s %12s\n", "max/mean of load", "static", "moved", "ideal",
		"worst", "settle s", "first", "per change", "unavailable")
	for _, s := range shapes {
		r := runShape(s, seconds)
		changes := max(1, seconds/s.changes-1)
		fmt.Fprintf(&table, "%-28s %7.2f %7.2f %7.2f %7.2f %9d %7d %12d %12.1e\n", s.name, r.static, r.actual, r.ideal,
			r.worst, r.settle, r.first, r.moved/changes, r.unavailable())
		name := qt.Commentf("%s", s.name)
		c.Check(r.worst <= maxImbalance, qt.IsTrue, name)
		c.Check(r.settle <= maxSettle, qt.IsTrue, name)
		c.Check(r.unavailable() <= maxUnavailable, qt.IsTrue, name)
		c.Check(r.actual < r.static, qt.IsTrue, name)
		c.Check(r.actual-r.ideal <= maxExcess*(r.static-r.ideal), qt.IsTrue, name)
	}
	t.Log(table.String())
}

// TestColdJoiner checks that a cold member that joins five busy ones is not overloaded while its concurrency
// limit grows from 2 to 20 within a minute, and that the load is balanced afterwards.
func TestColdJoiner(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 5)
	f.setLoad(0.6*5*capacity, nil)
	for range 60 {
		f.step()
	}
	before := f.moved
	joiner := f.join(2)
	joiner.load.Cold = true
	index := len(f.members) - 1
	highest, last := 0.0, 0
	for second := range 180 {
		if second < 60 {
			joiner.load.Limit = 2 + 18*float64(second)/60
		}
		joiner.load.Cold = second < 60
		f.step()
		load, owned := 0.0, 0
		for s, o := range f.owner {
			if o == index {
				load += f.rate[s]
				owned++
			}
		}
		if joiner.load.Cold {
			c.Assert(owned-last <= 5*8, qt.IsTrue, qt.Commentf("%d slots in a second", owned-last))
			highest = max(highest, load*serviceTime/joiner.load.Limit)
		}
		last = owned
	}
	actual, _ := f.imbalance()
	share := slots / len(f.members)
	t.Logf("joiner: highest pressure while cold %.2f, max/mean after 3 min %.2f, %d slots moved, an equal share is %d",
		highest, actual, f.moved-before, share)
	c.Assert(actual <= maxImbalance, qt.IsTrue)
	c.Assert(highest < 1, qt.IsTrue, qt.Commentf("a cold upstream is never assigned more load than its limit allows"))
	c.Assert(f.moved-before <= share, qt.IsTrue, qt.Commentf("at most an equal share of the slots moves"))
}
