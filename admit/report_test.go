package admit_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/events"
)

// timeline records the kind and note of each event.
type timeline struct{ notes []string }

func (l *timeline) Emit(e events.Event) { l.notes = append(l.notes, string(e.Kind)+": "+e.Note) }

// TestEventsAreThrottled checks that an unchanged limit emits one event, and
// that a burst of refused requests emits one, with another only after 10 s
// without refusals.
func TestEventsAreThrottled(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	line := &timeline{}
	gate := admit.New(admit.WithClock(clock), admit.WithMaxQueued(1), admit.WithEvents(line, "events"))
	gate.Announce(1, false)
	gate.Announce(1, false)
	deadline := clock.Now().Add(time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, err := gate.Acquire(ctx, 1, deadline)
	c.Assert(err, qt.IsNil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = gate.Acquire(ctx, 1, deadline)
	}()
	for _, queued, _, _ := gate.AverageLoad(); queued == 0; _, queued, _, _ = gate.AverageLoad() {
		clock.Advance(time.Millisecond)
	}
	for range 100 {
		_, err := gate.Acquire(ctx, 1, deadline)
		c.Assert(err, qt.IsNotNil)
	}
	clock.Advance(10 * time.Second)
	_, err = gate.Acquire(ctx, 1, deadline)
	c.Assert(err, qt.IsNotNil)
	cancel()
	<-ended
	c.Assert(line.notes, qt.DeepEquals, []string{
		"limit: concurrency limit from 0 to 1",
		"shed: requests are shed",
		"shed: requests are shed",
	})
}
