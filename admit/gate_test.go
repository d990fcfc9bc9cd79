package admit_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/hotkey"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// TestLimit checks how the limit follows announcements, service times, refusals
// and the slow start.
func TestLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	serve := func(l *admit.Limit, n int, service time.Duration) {
		for range n {
			l.RecordServed(service, l.Value(start))
		}
	}
	tests := []struct {
		name     string
		steps    func(*admit.Limit)
		at       time.Duration
		min, max int
	}{
		{name: "announced", steps: func(*admit.Limit) {}, min: 20, max: 20},
		{name: "never above announced", steps: func(l *admit.Limit) { serve(l, 6400, time.Millisecond) }, min: 20, max: 20},
		{name: "falls when service times grow", steps: func(l *admit.Limit) {
			serve(l, 640, time.Millisecond)
			serve(l, 640, 10*time.Millisecond)
		}, min: 5, max: 14},
		{name: "rises again", steps: func(l *admit.Limit) {
			serve(l, 640, time.Millisecond)
			serve(l, 640, 10*time.Millisecond)
			serve(l, 3200, time.Millisecond)
		}, min: 20, max: 20},
		{name: "falls when the upstream sheds", steps: func(l *admit.Limit) {
			for i := range 5 {
				l.RecordRefused(start.Add(time.Duration(i) * time.Second))
			}
		}, min: 11, max: 12},
		{name: "cold start", steps: func(l *admit.Limit) { l.Reset(start) }, min: 2, max: 2},
		{name: "half way", steps: func(l *admit.Limit) { l.Reset(start) }, at: 5 * time.Second, min: 10, max: 12},
		{name: "warm", steps: func(l *admit.Limit) { l.Reset(start) }, at: 10 * time.Second, min: 20, max: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := admit.NewLimit()
			l.Announce(start, 20, false)
			tt.steps(l)
			got := l.Value(start.Add(tt.at))
			qt.New(t).Assert(got >= tt.min && got <= tt.max, qt.IsTrue, qt.Commentf("limit %d", got))
		})
	}
}

func TestGate(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	gate := admit.New(admit.WithClock(clock), admit.WithMaxQueued(1))
	gate.Announce(1, false)
	deadline := clock.Now().Add(time.Second)
	first, err := gate.Acquire(context.Background(), 1, deadline)
	c.Assert(err, qt.IsNil)

	ctx, cancel := context.WithCancel(context.Background())
	queuedResult := make(chan error, 1)
	go func() {
		_, err := gate.Acquire(ctx, 2, deadline.Add(time.Hour))
		queuedResult <- err
	}()
	for _, queued, _, _ := gate.AverageLoad(); queued == 0; _, queued, _, _ = gate.AverageLoad() {
		time.Sleep(100 * time.Microsecond)
		clock.Advance(time.Millisecond)
	}
	_, err = gate.Acquire(context.Background(), 3, clock.Now().Add(time.Second))
	e := calls.AsError(err)
	c.Assert(e.Outcome(), qt.Equals, calls.NotRun)
	c.Assert(e.Reason(), qt.Equals, calls.ReasonOverload)
	c.Assert(e.RetryAfter() > 0, qt.IsTrue)

	cancel()
	c.Assert(calls.AsError(<-queuedResult).Reason(), qt.Equals, calls.ReasonCanceled)
	first.Done(admit.Served, 100*time.Millisecond)
	second, err := gate.Acquire(context.Background(), 4, deadline)
	c.Assert(err, qt.IsNil)
	_, err = gate.Acquire(context.Background(), 5, clock.Now().Add(50*time.Millisecond))
	c.Assert(calls.AsError(err).Reason(), qt.Equals, calls.ReasonOverload)
	second.Done(admit.Served, time.Millisecond)
}

func TestMeter(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	gate := admit.New(admit.WithClock(clock))
	meter := admit.NewMeter(clock, gate)
	tracker := hotkey.New(ident.DefaultSlots)
	meter.SetTracker(tracker)
	tracker.EndInterval(clock.Now())
	hot, quiet := ident.NewShard("events", 1), ident.NewShard("events", 2)
	for i := range 60 * 100 {
		clock.Advance(10 * time.Millisecond)
		meter.RecordRequest(hot, 7)
		if i%4 == 0 {
			meter.RecordRequest(hot, uint64(1000+i))
		}
		if i%10 == 0 {
			meter.RecordRequest(quiet, 9)
		}
		if i%100 == 99 {
			tracker.EndInterval(clock.Now())
		}
	}
	rates := make(map[ident.Slot]float64)
	for slot, rate := range tracker.Rates() {
		rates[slot] = rate
	}
	c.Assert(rates, qt.HasLen, 2)
	c.Assert(rates[hot.Slot] > 115 && rates[hot.Slot] < 130, qt.IsTrue, qt.Commentf("%v", rates))
	pins := tracker.ProposePins(8)
	c.Assert(pins, qt.HasLen, 1)
	c.Assert(pins[0].Hash(), qt.Equals, uint64(7))
	c.Assert(pins[0].Rate() > 90 && pins[0].Rate() < 110, qt.IsTrue, qt.Commentf("%+v", pins[0]))
	load := meter.Load("events", 2, false)
	c.Assert(load.Owned, qt.Equals, uint32(2))
	c.Assert(load.Rate > 120 && load.Rate < 145, qt.IsTrue)
}
