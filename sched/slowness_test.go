package sched_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/sched"
)

const usualWork = 100 * time.Millisecond

// workAt runs calls one after the other at an upstream that shares its host: in a fifth of the
// times of 400 ms work takes three times as long. The function says what the upstream reports
// then. It returns the queue and the time at which the last call ended.
func workAt(seed uint64, report func(rng *rand.Rand, slowness float64) float64) (*sched.Queue, time.Time) {
	rng := rand.New(rand.NewPCG(seed, 1))
	q := sched.NewQueue()
	q.Announce(1)
	now := start
	for range 100 {
		slowness := 1.0
		if rng.IntN(5) == 0 {
			slowness = 3
		}
		for end := now.Add(400 * time.Millisecond); now.Before(end); {
			q.Arrive(now, demand("x", 1, now, time.Second, time.Second))
			took := time.Duration(float64(usualWork) * slowness)
			now = now.Add(took)
			q.ReportSlowness(now, report(rng, slowness))
			q.Finish(now, "x", usualWork, took, sched.Served)
		}
	}
	return q, now
}

// The wait that a queue estimates follows what its upstream reports at once, so that calls
// without key go elsewhere. Without reports, or with ones that contradict the measured times, only the mean counts.
func TestWaitFollowsSlowness(t *testing.T) {
	honest := func(_ *rand.Rand, slowness float64) float64 { return slowness }
	lying := func(rng *rand.Rand, _ float64) float64 { return 0.2 + 5*rng.Float64() }
	for _, test := range []struct {
		name   string
		report func(rng *rand.Rand, slowness float64) float64
		// ratio is by how much the wait is longer when the upstream reports that work
		// takes three times as long.
		ratio float64
	}{
		{name: "honest", report: honest, ratio: 3},
		{name: "contradicts the measured times", report: lying, ratio: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				q, now := workAt(seed, test.report)
				for range 4 {
					q.Arrive(now, demand("x", 1, now, 10*time.Second, 10*time.Second))
				}
				q.ReportSlowness(now, 1)
				usual := q.LongestWait(now)
				q.ReportSlowness(now, 3)
				ratio := float64(q.LongestWait(now)) / float64(usual)
				c.Assert(math.Abs(ratio-test.ratio) < 0.01, qt.IsTrue, qt.Commentf("seed %d: %v", seed, ratio))
			}
		})
	}
}

// A report holds for half a second only.
func TestOldSlownessIsForgotten(t *testing.T) {
	c := qt.New(t)
	q, now := workAt(1, func(_ *rand.Rand, slowness float64) float64 { return slowness })
	for range 4 {
		q.Arrive(now, demand("x", 1, now, 10*time.Second, 10*time.Second))
	}
	q.ReportSlowness(now, 3)
	slow := q.LongestWait(now)
	c.Assert(q.LongestWait(now.Add(time.Second)) < slow, qt.IsTrue)
}

// Reports that are no numbers change nothing.
func TestOddSlowness(t *testing.T) {
	c := qt.New(t)
	q := busyQueue(1)
	usual := q.LongestWait(start)
	for _, value := range []float64{math.NaN(), math.Inf(1), 0, -1} {
		q.ReportSlowness(start, value)
		c.Assert(q.LongestWait(start), qt.Equals, usual)
	}
}
