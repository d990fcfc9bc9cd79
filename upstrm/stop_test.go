package upstrm_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

func TestStopWaitsForWorkInFlight(t *testing.T) {
	c := qt.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	x, _ := newExecutor(t, newView(), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/rounds/slow" {
			close(started)
			<-release
		}
	}))
	ended := make(chan calls.Outcome)
	go func() {
		got, _, _ := outcome(x, newCall(http.MethodPost, "slow", ""))
		ended <- got
	}()
	<-started
	idle := make(chan []ident.Shard, 1)
	x.Stop([]ident.Shard{shardOf("slow")}, func(shards []ident.Shard) { idle <- shards })

	got, reason, _ := outcome(x, newCall(http.MethodPost, "slow", ""))
	c.Assert(got, qt.Equals, calls.NotRun)
	c.Assert(reason, qt.Equals, calls.ReasonMoving)
	got, _, _ = outcome(x, newCall(http.MethodPost, "other", ""))
	c.Assert(got, qt.Equals, calls.Answered)
	select {
	case <-idle:
		t.Fatal("idle while a call is in flight")
	default:
	}
	close(release)
	c.Assert(<-ended, qt.Equals, calls.Answered)
	c.Assert(<-idle, qt.DeepEquals, []ident.Shard{shardOf("slow")})

	x.Resume([]ident.Shard{shardOf("slow")})
	release = make(chan struct{})
	close(release)
	started = make(chan struct{})
	got, _, _ = outcome(x, newCall(http.MethodPost, "slow", ""))
	c.Assert(got, qt.Equals, calls.Answered)
}

// TestUncheckedUpstreamHoldsItsShard aborts a call at an upstream that does not
// check fencing tokens. The call may still run there until its deadline, so its
// shard must stay busy until then.
func TestUncheckedUpstreamHoldsItsShard(t *testing.T) {
	for name, checks := range map[string]bool{"checks tokens": true, "checks none": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			started, release := make(chan struct{}), make(chan struct{})
			x, server := newExecutor(t, newView(), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				close(started)
				<-release
			}), upstrm.WithClock(clock))
			attach(t, x, server.URL, "one", checks)
			defer close(release)
			call := newCall(http.MethodPost, "r1", "")
			call.Deadline = clock.Now().Add(10 * time.Second)
			ended := make(chan calls.Outcome)
			go func() {
				got, _, _ := outcome(x, call)
				ended <- got
			}()
			<-started
			idle := make(chan []ident.Shard, 1)
			x.Stop([]ident.Shard{shardOf("r1")}, func(shards []ident.Shard) { idle <- shards })
			x.Cut()
			c.Assert(<-ended, qt.Equals, calls.Unknown)
			c.Assert(len(idle) == 1, qt.Equals, checks)
			if !checks {
				c.Assert(x.Until(), qt.Equals, call.Deadline)
				clock.Advance(10 * time.Second)
				<-idle
			}
			c.Assert(x.Until().IsZero(), qt.IsTrue)
		})
	}
}

func TestDrain(t *testing.T) {
	c := qt.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	x, _ := newExecutor(t, newView(), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	ended := make(chan error)
	go func() {
		_, err := x.Run(context.Background(), newCall(http.MethodPost, "r1", ""))
		ended <- err
	}()
	<-started
	idle := make(chan struct{})
	x.Drain(func() { close(idle) })
	_, reason, _ := outcome(x, newCall(http.MethodPost, "r2", ""))
	c.Assert(reason, qt.Equals, calls.ReasonDraining)
	close(release)
	c.Assert(<-ended, qt.IsNil)
	<-idle
}
