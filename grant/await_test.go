package grant_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// setSlots replaces the slots that the view serves.
func (r *fixture) setSlots(slots ...ident.Slot) {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.slots = slots
}

// announceWithWait announces an upstream once and returns its next announcement: it holds the newest grants and
// allows the answer to be delayed by wait.
func (r *fixture) announceWithWait(wait time.Duration) grant.Announcement {
	a := announcement("one")
	a.HeldRevision = r.desk.Announce(a).Revision
	a.MaxDelayMillis = wait.Milliseconds()
	return a
}

// startAwait calls Await in the background and returns once it waits. The channel receives the answer.
func (r *fixture) startAwait(ctx context.Context, c *qt.C, a grant.Announcement) <-chan grant.Grants {
	answer := make(chan grant.Grants, 1)
	go func() { answer <- r.desk.Await(ctx, a) }()
	// Two waiters: the ticker of the desk and the timer of Await.
	c.Assert(r.clock.BlockUntilContext(ctx, 2), qt.IsNil)
	return answer
}

// TestAwaitAnswersAtOnce checks the cases in which an announcement that allows a delay must be answered without one.
func TestAwaitAnswersAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *fixture, a *grant.Announcement)
	}{
		{name: "no wait asked for", change: func(_ *fixture, a *grant.Announcement) { a.MaxDelayMillis = 0 }},
		{name: "other grants held", change: func(_ *fixture, a *grant.Announcement) { a.HeldRevision-- }},
		{name: "view changed before", change: func(r *fixture, _ *grant.Announcement) { r.setSlots(4) }},
		{name: "no lease", change: func(r *fixture, _ *grant.Announcement) { r.view.ends = r.clock.Now() }},
		{name: "other run", change: func(_ *fixture, a *grant.Announcement) { a.Instance = "two" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			a := r.announceWithWait(300 * time.Millisecond)
			tt.change(r, &a)
			// The fake clock does not advance, so a delayed answer would block forever.
			r.desk.Await(t.Context(), a)
		})
	}
}

// TestAwaitExtendsExpiryByWait checks the validity of a grant whose answer was delayed. It counts from when the
// announcement was sent, so it includes the delay, and it must not outlast the lease.
func TestAwaitExtendsExpiryByWait(t *testing.T) {
	tests := []struct {
		name   string
		lease  time.Duration
		millis int64
	}{
		{name: "grant's time", lease: time.Hour, millis: 1287},
		{name: "lease ends first", lease: 700 * time.Millisecond, millis: 693},
		{name: "lease ended meanwhile", lease: 200 * time.Millisecond, millis: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := newFixture(t)
			a := r.announceWithWait(300 * time.Millisecond)
			arrived := r.clock.Now()
			r.view.mu.Lock()
			r.view.ends = arrived.Add(tt.lease)
			r.view.mu.Unlock()
			answer := r.startAwait(t.Context(), c, a)
			r.clock.Advance(300 * time.Millisecond)
			g := <-answer
			c.Assert(g.ValidMillis, qt.Equals, tt.millis)
			c.Assert(r.desk.Expires().Before(arrived.Add(time.Duration(g.ValidMillis)*time.Millisecond)), qt.IsFalse)
		})
	}
}

func TestAwaitAnswersOnChange(t *testing.T) {
	c := qt.New(t)
	r := newFixture(t)
	a := r.announceWithWait(300 * time.Millisecond)
	answer := r.startAwait(t.Context(), c, a)
	r.desk.NotifyChange()
	select {
	case g := <-answer:
		c.Fatalf("answered although nothing changed: %+v", g)
	default:
	}
	r.setSlots(4, 5)
	r.desk.NotifyChange()
	g := <-answer
	c.Assert(g.Revision, qt.Equals, a.HeldRevision+1)
	c.Assert(g.Spans, qt.DeepEquals, []grant.Span{{First: 4, Last: 5, Epoch: 2}})
}

func TestAwaitEndsOnCancel(t *testing.T) {
	c := qt.New(t)
	r := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	answer := r.startAwait(ctx, c, r.announceWithWait(300*time.Millisecond))
	cancel()
	c.Assert((<-answer).Unchanged, qt.IsTrue)
}

// TestAwaitDetectsNewInstance checks that a delayed answer grants nothing when another instance has replaced the
// one that announced itself.
func TestAwaitDetectsNewInstance(t *testing.T) {
	c := qt.New(t)
	r := newFixture(t)
	answer := r.startAwait(t.Context(), c, r.announceWithWait(300*time.Millisecond))
	r.desk.Announce(announcement("two"))
	for range 20 {
		r.clock.Advance(100 * time.Millisecond)
		r.desk.Announce(announcement("two"))
	}
	r.desk.NotifyChange()
	first := <-answer
	c.Assert(r.desk.Announce(announcement("two")).ValidMillis > 0, qt.IsTrue)
	c.Assert(first.Spans, qt.HasLen, 0)
}

// TestAwaitSettled checks that AwaitReleased returns once the upstream has confirmed grants without the shards or its
// grants have expired, and that it returns the error of its context.
func TestAwaitSettled(t *testing.T) {
	shards := []ident.Shard{ident.NewShard(service, 9)}
	tests := []struct {
		name string
		end  func(r *fixture, a grant.Announcement)
	}{
		{name: "confirmed", end: func(r *fixture, a grant.Announcement) {
			a.HeldRevision = r.desk.Announce(a).Revision
			r.desk.Announce(a)
		}},
		{name: "expired", end: func(r *fixture, _ grant.Announcement) { r.clock.Advance(time.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := newFixture(t)
			a := r.announceWithWait(0)
			r.setSlots(4, 5, 6)
			settled := make(chan error, 1)
			go func() { settled <- r.desk.AwaitReleased(t.Context(), shards) }()
			c.Assert(r.clock.BlockUntilContext(t.Context(), 2), qt.IsNil)
			c.Assert(settled, qt.HasLen, 0)
			tt.end(r, a)
			c.Assert(<-settled, qt.IsNil)
			c.Assert(r.desk.Released(shards), qt.IsTrue)
		})
	}
	t.Run("ended", func(t *testing.T) {
		c := qt.New(t)
		r := newFixture(t)
		r.announceWithWait(0)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		c.Assert(r.desk.AwaitReleased(ctx, shards), qt.ErrorIs, context.Canceled)
	})
}
