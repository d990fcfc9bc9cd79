package poison_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

const service = "events"

// admitted reports whether the quarantine admits a request, and ends the request.
func admitted(q *poison.Quarantine, fingerprint uint64, end poison.End) bool {
	pass, err := q.Enter(context.Background(), service, fingerprint)
	if err != nil {
		return calls.AsError(err).Reason() != calls.ReasonQuarantine
	}
	pass.Leave(end)
	return true
}

func TestBlocking(t *testing.T) {
	tests := []struct {
		name string
		// steps runs before fingerprint 1 asks for admission again.
		steps   func(q *poison.Quarantine, clock *clockwork.FakeClock)
		refused bool
	}{
		{name: "one crash", steps: func(q *poison.Quarantine, _ *clockwork.FakeClock) {
			q.RecordCrash(service, 1, []uint64{1})
		}},
		{name: "two crashes", refused: true, steps: func(q *poison.Quarantine, _ *clockwork.FakeClock) {
			q.RecordCrash(service, 1, []uint64{1, 2, 3})
			q.RecordCrash(service, 2, []uint64{1, 4, 5})
		}},
		{name: "one crash reported twice", steps: func(q *poison.Quarantine, _ *clockwork.FakeClock) {
			q.RecordCrash(service, 1, []uint64{1})
			q.RecordCrash(service, 1, []uint64{1})
		}},
		{name: "answered between two crashes", steps: func(q *poison.Quarantine, _ *clockwork.FakeClock) {
			q.RecordCrash(service, 1, []uint64{1, 2})
			admitted(q, 1, poison.Completed)
			q.RecordCrash(service, 2, []uint64{1})
		}},
		{name: "two suspects at both crashes", steps: func(q *poison.Quarantine, _ *clockwork.FakeClock) {
			q.RecordCrash(service, 1, []uint64{1, 2})
			q.RecordCrash(service, 2, []uint64{1, 2})
		}},
		{name: "sole suspect at third crash", refused: true, steps: func(q *poison.Quarantine, _ *clockwork.FakeClock) {
			q.RecordCrash(service, 1, []uint64{1, 2})
			q.RecordCrash(service, 2, []uint64{1, 2})
			q.RecordCrash(service, 3, []uint64{1, 9})
		}},
		{name: "expired", steps: func(q *poison.Quarantine, clock *clockwork.FakeClock) {
			q.RecordCrash(service, 1, []uint64{1})
			q.RecordCrash(service, 2, []uint64{1})
			clock.Advance(time.Hour)
		}},
		{name: "lifted", steps: func(q *poison.Quarantine, _ *clockwork.FakeClock) {
			q.RecordCrash(service, 1, []uint64{1})
			q.RecordCrash(service, 2, []uint64{1})
			_ = q.Lift(service, 1)
		}},
		{name: "two more crashes after it was lifted", refused: true,
			steps: func(q *poison.Quarantine, _ *clockwork.FakeClock) {
				q.RecordCrash(service, 1, []uint64{1})
				q.RecordCrash(service, 2, []uint64{1})
				_ = q.Lift(service, 1)
				q.RecordCrash(service, 3, []uint64{1})
				q.RecordCrash(service, 4, []uint64{1})
			}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			q := poison.New(poison.WithClock(clock))
			tt.steps(q, clock)
			qt.New(t).Assert(!admitted(q, 1, poison.Lost), qt.Equals, tt.refused)
		})
	}
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	c := qt.New(t)
	q := poison.New()
	q.RecordCrash(service, 1, []uint64{1, 2})
	first, err := q.Enter(context.Background(), service, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(admitted(q, 3, poison.Completed), qt.IsTrue)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = q.Enter(ctx, service, 2)
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
	first.Leave(poison.Completed)
	c.Assert(admitted(q, 2, poison.Completed), qt.IsTrue)
}

func TestMergeReportsOfPeers(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	a, b := poison.New(poison.WithClock(clock)), poison.New(poison.WithClock(clock))
	a.RecordCrash(service, 1, []uint64{1, 2})
	b.Merge(a.Report())
	b.RecordCrash(service, 2, []uint64{1, 5})
	a.Merge(b.Report())
	c.Assert(admitted(a, 1, poison.Lost), qt.IsFalse)
	c.Assert(admitted(b, 1, poison.Lost), qt.IsFalse)
	c.Assert(admitted(a, 2, poison.Completed), qt.IsTrue)

	stale := b.Report()
	c.Assert(a.Lift(service, 1), qt.IsNil)
	b.Merge(a.Report())
	a.Merge(stale)
	c.Assert(admitted(a, 1, poison.Lost), qt.IsTrue)
	c.Assert(admitted(b, 1, poison.Lost), qt.IsTrue)
	c.Assert(a.Lift(service, 77), qt.ErrorIs, poison.ErrNotFound)
}

// timeline is an event sink that records the notes of events.
type timeline struct{ notes []string }

func (l *timeline) Emit(e events.Event) { l.notes = append(l.notes, e.Note) }

func TestMaxEntries(t *testing.T) {
	c := qt.New(t)
	recorded := &timeline{}
	q := poison.New(poison.WithMax(10), poison.WithEvents(recorded))
	q.RecordCrash(service, 1, []uint64{1})
	q.RecordCrash(service, 2, []uint64{1})
	c.Assert(recorded.notes, qt.DeepEquals, []string{"request 0000000000000001 refused after 2 crashes"})
	for i := range uint64(100) {
		q.RecordCrash(service, 100+i, []uint64{1000 + i})
	}
	c.Assert(q.List(), qt.HasLen, 10)
	c.Assert(admitted(q, 1, poison.Lost), qt.IsFalse)
}

// TestCrashThreshold checks that a request that was present at three crashes of
// different upstreams is blocked on all hosts, whichever other requests were in
// flight, and that a request that was answered between the crashes is not.
func TestCrashThreshold(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	hosts := make([]*poison.Quarantine, 4)
	for i := range hosts {
		hosts[i] = poison.New(poison.WithClock(clock), poison.WithCrashThreshold(3))
	}
	broadcast := func(from int, fingerprints ...uint64) {
		for i, q := range hosts {
			if i != from {
				q.Merge(hosts[from].ReportFor(service, fingerprints))
			}
		}
	}
	const culprit, frequent = 1, 2
	for i := range 3 {
		for _, q := range hosts {
			_, err := q.Enter(t.Context(), service, culprit)
			c.Assert(err, qt.IsNil, qt.Commentf("crash %d", i))
		}
		running := []uint64{culprit, frequent, uint64(10 + i), uint64(20 + i)}
		hosts[i].RecordCrash(service, uint64(100+i), running)
		broadcast(i, running...)
		// The upstream of another host answers the frequent request.
		pass, err := hosts[3].Enter(t.Context(), service, frequent)
		c.Assert(err, qt.IsNil)
		c.Assert(pass.Leave(poison.Completed), qt.IsTrue)
		broadcast(3, frequent)
	}
	for i, q := range hosts {
		_, err := q.Enter(t.Context(), service, culprit)
		c.Check(calls.AsError(err).Reason(), qt.Equals, calls.ReasonQuarantine, qt.Commentf("host %d", i))
		for _, innocent := range []uint64{frequent, 10, 21} {
			pass, err := q.Enter(t.Context(), service, innocent)
			c.Check(err, qt.IsNil)
			pass.Leave(poison.Completed)
		}
	}
}

// TestNextReportRepeatsLift checks that a peer that missed the report of an
// answered request learns from the report of the next crash that the entry was
// lifted, and does not count the crash before it.
func TestNextReportRepeatsLift(t *testing.T) {
	c := qt.New(t)
	here, there := poison.New(poison.WithCrashThreshold(2)), poison.New(poison.WithCrashThreshold(2))
	here.RecordCrash(service, 1, []uint64{7, 8})
	there.Merge(here.ReportFor(service, []uint64{7, 8}))
	pass, err := here.Enter(t.Context(), service, 7)
	c.Assert(err, qt.IsNil)
	c.Assert(pass.Leave(poison.Completed), qt.IsTrue)
	here.RecordCrash(service, 2, []uint64{7, 9})
	there.Merge(here.ReportFor(service, []uint64{7, 9}))
	_, err = there.Enter(t.Context(), service, 7)
	c.Assert(err, qt.IsNil)
}
