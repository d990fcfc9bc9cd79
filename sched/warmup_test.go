package sched_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/sched"
)

const (
	// coldLimit is the number of calls a second that the cold upstream of these tests bears.
	coldLimit = 14
	coldTime  = 3 * time.Second
	coldSlots = 9
)

// coldLoad plays calls with 100 ms of work each at a steady rate against an upstream that
// becomes cold at coldAt, and returns the times at which calls started and the number of
// calls that were refused.
func coldLoad(q *sched.Queue, perSecond int, length, coldAt time.Duration, seed uint64) (starts []time.Time, refused int) {
	const step, work = 5 * time.Millisecond, 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	var ends []time.Time
	run := func(now time.Time) {
		starts = append(starts, now)
		ends = append(ends, now.Add(work))
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		if now.Equal(start.Add(coldAt)) {
			q.SetWarmup(coldLimit, now.Add(coldTime))
		}
		for len(ends) > 0 && !ends[0].After(now) {
			ends = ends[1:]
			q.Finish(now, "x", work, work, sched.Served)
		}
		if rng.Float64() < float64(perSecond)*step.Seconds() {
			switch _, v, _ := q.Arrive(now, demand("x", 1, now, 500*time.Millisecond, 4*time.Second)); v {
			case sched.Run:
				run(now)
			case sched.Refuse:
				refused++
			case sched.Wait:
			}
		}
		for {
			w, v := q.Next(now)
			if w == nil {
				break
			}
			if v == sched.Run {
				run(now)
			} else {
				refused++
			}
		}
	}
	return starts, refused
}

// most returns the largest number of times in any second that ends between from and to.
func most(times []time.Time, from, to time.Time) int {
	best := 0
	for i, end := range times {
		if end.Before(from) || !end.Before(to) {
			continue
		}
		n := 0
		for _, t := range times[:i+1] {
			if end.Sub(t) < time.Second {
				n++
			}
		}
		best = max(best, n)
	}
	return best
}

// An upstream that comes back cold, or becomes cold while calls run, crashes if it gets the
// calls of its warm capacity. Without the limit it gets 62 calls in a second here.
func TestColdUpstreamIsPaced(t *testing.T) {
	for _, coldAt := range []time.Duration{0, 700 * time.Millisecond} {
		for seed := range uint64(5) {
			c := qt.New(t)
			q := sched.NewQueue()
			q.Announce(coldSlots)
			q.SetWarmup(coldLimit, start)
			starts, refused := coldLoad(q, 60, 6*time.Second, coldAt, seed)
			cold, warm := start.Add(coldAt), start.Add(coldAt+coldTime)
			// The first second after the change still holds starts of the warm time.
			from := cold
			if coldAt > 0 {
				from = cold.Add(time.Second)
			}
			c.Assert(most(starts, from, warm) <= coldLimit, qt.IsTrue, qt.Commentf("seed %d", seed))
			c.Assert(most(starts, warm.Add(time.Second), start.Add(6*time.Second)) > 2*coldLimit, qt.IsTrue,
				qt.Commentf("seed %d: the limit must end with the warm-up", seed))
			c.Assert(refused > 0, qt.IsTrue)
		}
	}
}

// Calls that started just before the upstream became cold count: it gets no further call
// while a full second's worth has started within the last second.
func TestStartsBeforeWarmupCount(t *testing.T) {
	c := qt.New(t)
	q := sched.NewQueue()
	q.Announce(100)
	q.SetWarmup(coldLimit, start)
	now := start
	for range 2 * coldLimit {
		_, v, _ := q.Arrive(now, demand("x", 1, now, time.Second, 4*time.Second))
		c.Assert(v, qt.Equals, sched.Run)
		now = now.Add(10 * time.Millisecond)
	}
	q.SetWarmup(coldLimit, now.Add(coldTime))
	w, v, _ := q.Arrive(now, demand("x", 1, now, 3*time.Second, 4*time.Second))
	c.Assert(v, qt.Equals, sched.Wait)
	// It starts once the fourteenth last start is a second old.
	free := start.Add(coldLimit*10*time.Millisecond + time.Second)
	next, _ := q.Next(free.Add(-time.Millisecond))
	c.Assert(next, qt.IsNil)
	next, v = q.Next(free)
	c.Assert(next, qt.Equals, w)
	c.Assert(v, qt.Equals, sched.Run)
}

// A caller that can't be served at the pace of a cold upstream within its target is told
// so at once, and others see the limited capacity and the wait.
func TestColdUpstreamTellsItsCapacity(t *testing.T) {
	c := qt.New(t)
	q := sched.NewQueue()
	q.Announce(100)
	q.SetWarmup(coldLimit, start.Add(coldTime))
	for range coldLimit {
		_, v, _ := q.Arrive(start, demand("x", 1, start, time.Second, 4*time.Second))
		c.Assert(v, qt.Equals, sched.Run)
	}
	_, capacity := q.Load(start)
	c.Assert(capacity, qt.Equals, float64(coldLimit))
	c.Assert(q.LongestWait(start), qt.Equals, time.Second)
	_, v, after := q.Arrive(start, demand("x", 1, start, 500*time.Millisecond, 600*time.Millisecond))
	c.Assert(v, qt.Equals, sched.Refuse)
	c.Assert(after, qt.Equals, 500*time.Millisecond)
	warm := start.Add(coldTime)
	c.Assert(q.LongestWait(warm), qt.Equals, time.Duration(0))
	_, capacity = q.Load(warm)
	c.Assert(capacity > coldLimit, qt.IsTrue)
}
