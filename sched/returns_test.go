package sched_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/sched"
)

// Callers set different deadlines for the same request. A first attempt with a short
// deadline must not count as a retry of an earlier call, and a retry must be recognized
// by its deadline.
func TestReturns(t *testing.T) {
	c := qt.New(t)
	r := sched.NewRetryTracker()
	const request = 7
	patient, hurried := start.Add(3*time.Second), start.Add(2400*time.Millisecond)
	c.Check(r.FirstAttempt(start, request, patient), qt.Equals, start)
	c.Check(r.FirstAttempt(start, request, hurried), qt.Equals, start)
	r.RecordFailure(request, start, patient)
	r.RecordFailure(request, start, hurried)
	later := start.Add(300 * time.Millisecond)
	c.Check(r.FirstAttempt(later, request, later.Add(2900*time.Millisecond)), qt.Equals, later)
	c.Check(r.FirstAttempt(later, request+1, hurried), qt.Equals, later)
	c.Check(r.FirstAttempt(later, request, hurried.Add(4*time.Millisecond)), qt.Equals, start)
	c.Check(r.FirstAttempt(later, request, hurried), qt.Equals, later, qt.Commentf("a failure is matched by one retry only"))
	c.Check(r.FirstAttempt(later, request, patient.Add(-4*time.Millisecond)), qt.Equals, start)
}

// The number of remembered failures is bounded, and the oldest are evicted first.
func TestReturnsAreBounded(t *testing.T) {
	c := qt.New(t)
	r := sched.NewRetryTracker()
	rng := rand.New(rand.NewPCG(1, 2))
	const many = 20000
	deadline := func(i int) time.Time { return start.Add(time.Duration(i) * 100 * time.Millisecond) }
	for i := range many {
		r.RecordFailure(uint64(i%300), deadline(i), deadline(i))
		if rng.IntN(3) == 0 {
			r.FirstAttempt(deadline(many), uint64(i%300), deadline(i))
		}
	}
	known := 0
	for i := range many {
		if r.FirstAttempt(deadline(many), uint64(i%300), deadline(i)).Equal(deadline(i)) {
			known++
			c.Check(i >= many-8192, qt.IsTrue, qt.Commentf("%d", i))
		}
	}
	c.Check(known > 2000 && known <= 4096, qt.IsTrue, qt.Commentf("%d", known))
}
