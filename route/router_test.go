package route_test

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/route"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const service = ident.Service("events")

var (
	memberA = ident.NewIncarnation("a", 1)
	memberB = ident.NewIncarnation("b", 1)
	memberC = ident.NewIncarnation("c", 1)
)

// view implements route.View for member a, with a table of one shard.
type view struct {
	mu     sync.Mutex
	target table.Target
	serves bool
}

func newView(owner ident.Incarnation) *view {
	return &view{
		target: table.Target{
			Shard: ident.NewShard(service, 1), Epoch: 3, Owner: owner,
			Successors: [2]ident.Incarnation{memberC, {}},
		},
		serves: owner == memberA,
	}
}

func (v *view) Self() ident.Incarnation { return memberA }

func (v *view) Lookup(name ident.Service, _ uint64) (table.Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.target, name == service
}

func (v *view) Serves(ident.Shard, time.Time) (ident.Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.target.Epoch, v.serves
}

func (v *view) Member(inc ident.Incarnation) (table.Member, bool) {
	return table.Member{Inc: inc}, true
}

func (v *view) Members(ident.Service) []table.Member {
	return []table.Member{{Inc: memberA}, {Inc: memberB}, {Inc: memberC}}
}

// network simulates all members. Each one answers as its script says and
// otherwise echoes the body; script functions receive the number of earlier
// calls to that member.
type network struct {
	mu     sync.Mutex
	script map[ident.Incarnation]func(n int, call *calls.Call) error
	sent   []ident.Incarnation
	hops   []int
}

func (n *network) run(to ident.Incarnation, call *calls.Call) (*calls.Reply, error) {
	n.mu.Lock()
	count := 0
	for _, inc := range n.sent {
		if inc == to {
			count++
		}
	}
	n.sent = append(n.sent, to)
	n.hops = append(n.hops, call.Hops)
	answer := n.script[to]
	n.mu.Unlock()
	if answer != nil {
		if err := answer(count, call); err != nil {
			return nil, err
		}
	}
	body, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, err
	}
	return &calls.Reply{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(body)))}, nil
}

func (n *network) Forward(_ context.Context, to table.Member, call *calls.Call) (*calls.Reply, error) {
	return n.run(to.Inc, call)
}

// local runs calls at member a.
type local struct{ *network }

func (l local) Run(_ context.Context, call *calls.Call) (*calls.Reply, error) {
	return l.run(memberA, call)
}

func always(err error) func(int, *calls.Call) error {
	return func(int, *calls.Call) error { return err }
}

func newCall(clock clockwork.Clock, body string) *calls.Call {
	return &calls.Call{
		Service: service, Key: "k", Method: http.MethodPost, Header: http.Header{},
		Body: strings.NewReader(body), Length: int64(len(body)), Deadline: clock.Now().Add(2 * time.Second),
	}
}

// run runs a call and advances the fake clock whenever the router waits.
func run(r *route.Router, clock *clockwork.FakeClock, call *calls.Call) (*calls.Reply, *calls.Error) {
	type result struct {
		reply *calls.Reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply, err := r.Run(context.Background(), call)
		done <- result{reply, err}
	}()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		waits := clock.BlockUntilContext(ctx, 1) == nil
		cancel()
		select {
		case got := <-done:
			if got.err != nil {
				return nil, calls.AsError(got.err)
			}
			return got.reply, nil
		default:
		}
		if waits {
			clock.Advance(10 * time.Millisecond)
		}
	}
}

func TestKeyedCalls(t *testing.T) {
	notOwner := calls.NewNotRun(calls.ReasonNotOwner, calls.WithHint(memberC))
	down := calls.NewNotRun(calls.ReasonPeerDown)
	fenced := calls.NewUnknown(calls.ReasonFenced)
	tests := []struct {
		name   string
		method string
		owner  ident.Incarnation
		script map[ident.Incarnation]func(int, *calls.Call) error
		sent   []ident.Incarnation
		want   string
	}{
		{name: "owned here", owner: memberA, sent: []ident.Incarnation{memberA}, want: "answered"},
		{name: "forwarded once", owner: memberB, sent: []ident.Incarnation{memberB}, want: "answered"},
		{
			name: "owner down, successor serves", owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{memberB: always(down)},
			sent:   []ident.Incarnation{memberB, memberC}, want: "answered",
		},
		{
			name: "hint followed", owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{memberB: always(notOwner)},
			sent:   []ident.Incarnation{memberB, memberC}, want: "answered",
		},
		{
			name: "unknown never retried", owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{memberB: always(calls.NewUnknown(calls.ReasonPeerLost))},
			sent:   []ident.Incarnation{memberB}, want: "unknown: peer-lost",
		},
		{
			name: "read repeated where the key is now", method: http.MethodGet, owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{memberB: always(fenced)},
			sent:   []ident.Incarnation{memberB, memberC}, want: "answered",
		},
		{
			name: "write not repeated where the key is now", owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{memberB: always(fenced)},
			sent:   []ident.Incarnation{memberB}, want: "unknown: fenced",
		},
		{
			name: "read that may have run is never told not run", method: http.MethodGet, owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{
				memberB: always(fenced), memberC: always(calls.NewNotRun(calls.ReasonOverload)),
			},
			sent: []ident.Incarnation{memberB, memberC}, want: "unknown: fenced",
		},
		{
			name: "lost read not repeated", method: http.MethodGet, owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{memberB: always(calls.NewUnknown(calls.ReasonPeerLost))},
			sent:   []ident.Incarnation{memberB}, want: "unknown: peer-lost",
		},
		{
			name: "overload not retried", owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{memberB: always(calls.NewNotRun(calls.ReasonOverload))},
			sent:   []ident.Incarnation{memberB}, want: "not-run: overload",
		},
		{
			name: "served once the takeover is through", owner: memberB,
			script: map[ident.Incarnation]func(int, *calls.Call) error{
				memberB: always(down),
				memberC: func(n int, _ *calls.Call) error {
					if n < 2 {
						return calls.NewNotRun(calls.ReasonNotOwner, calls.WithHint(memberB))
					}
					return nil
				},
			},
			sent: []ident.Incarnation{memberB, memberC, memberC, memberB, memberC}, want: "answered",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			n := &network{script: tt.script}
			v := newView(tt.owner)
			r := route.New(func() route.View { return v }, local{n}, n, route.WithClock(clock), route.WithSeed(1))
			call := newCall(clock, "body")
			call.Method = cmp.Or(tt.method, call.Method)
			reply, err := run(r, clock, call)
			got := "answered"
			if err != nil {
				got = err.Error()
			} else {
				body, _ := io.ReadAll(reply.Body)
				c.Assert(string(body), qt.Equals, "body")
			}
			c.Assert(got, qt.Equals, tt.want)
			c.Assert(n.sent, qt.DeepEquals, tt.sent)
		})
	}
}

func TestForwardedCallIsNotForwardedAgain(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	n := &network{}
	v := newView(memberB)
	r := route.New(func() route.View { return v }, local{n}, n, route.WithClock(clock))
	call := newCall(clock, "")
	call.Hops = 1
	_, err := run(r, clock, call)
	c.Assert(err.Reason(), qt.Equals, calls.ReasonNotOwner)
	c.Assert(err.Hint(), qt.Equals, memberB)
	c.Assert(n.sent, qt.HasLen, 0)
}

// TestStreamedBodyIsNotReplayed guards against resending a truncated body: the
// owner reads part of a body that is too large to buffer and then refuses, so
// the call must fail. An unread body may be sent to the successor.
func TestStreamedBodyIsNotReplayed(t *testing.T) {
	for name, reads := range map[string]int64{"untouched": 0, "touched": 10} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			n := &network{script: map[ident.Incarnation]func(int, *calls.Call) error{
				memberB: func(_ int, call *calls.Call) error {
					_, _ = io.CopyN(io.Discard, call.Body, reads)
					return calls.NewNotRun(calls.ReasonPeerDown)
				},
			}}
			v := newView(memberB)
			r := route.New(func() route.View { return v }, local{n}, n, route.WithClock(clock))
			_, err := run(r, clock, newCall(clock, strings.Repeat("x", calls.MaxBuffered+1)))
			c.Assert(err == nil, qt.Equals, reads == 0)
		})
	}
}

// TestWaitsUntilTheDeadline checks that a call for a key that no member serves
// is retried until its deadline, and no more often than the budget allows.
func TestWaitsUntilTheDeadline(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	n := &network{script: map[ident.Incarnation]func(int, *calls.Call) error{
		memberB: always(calls.NewNotRun(calls.ReasonPeerDown)),
		memberC: always(calls.NewNotRun(calls.ReasonNotOwner)),
	}}
	v := newView(memberB)
	r := route.New(func() route.View { return v }, local{n}, n, route.WithClock(clock),
		route.WithSeed(1), route.WithRetryBudget(0.1, 0, 5))
	_, err := run(r, clock, newCall(clock, ""))
	c.Assert(err.Outcome(), qt.Equals, calls.NotRun)
	c.Assert(clock.Now().Sub(start) >= 1900*time.Millisecond, qt.IsTrue)
	// The owner and its successor are tried once each, and each retry in the
	// budget allows one more attempt.
	c.Assert(len(n.sent) <= 2+5, qt.IsTrue, qt.Commentf("sent %d times", len(n.sent)))
}

// TestWaitingCallsAreBounded checks that a call above the limit of waiting
// calls is refused at once, with a retry delay.
func TestWaitingCallsAreBounded(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	n := &network{}
	v := newView(ident.Incarnation{})
	v.target.Successors = [2]ident.Incarnation{}
	r := route.New(func() route.View { return v }, local{n}, n, route.WithClock(clock), route.WithWaitLimits(2, 1<<20))
	var wg sync.WaitGroup
	for range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = r.Run(context.Background(), newCall(clock, ""))
		}()
	}
	c.Assert(clock.BlockUntilContext(context.Background(), 2), qt.IsNil)
	_, err := r.Run(context.Background(), newCall(clock, ""))
	e := calls.AsError(err)
	c.Assert(e.Reason(), qt.Equals, calls.ReasonNoOwner)
	c.Assert(e.RetryAfter(), qt.Equals, time.Second)
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			return
		default:
			clock.Advance(50 * time.Millisecond)
		}
	}
}

// TestUnkeyedCalls checks that calls of a service without keys are spread
// evenly over its members, and that this member is preferred when all are
// equally loaded.
func TestUnkeyedCalls(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	n := &network{}
	v := newView(memberB)
	r := route.New(func() route.View { return v }, local{n}, n, route.WithClock(clock), route.WithSeed(1))
	var open []*calls.Reply
	for range 30 {
		call := newCall(clock, "")
		call.Key = ""
		reply, err := r.Run(context.Background(), call)
		c.Assert(err, qt.IsNil)
		open = append(open, reply)
	}
	count := make(map[ident.Incarnation]int)
	for _, inc := range n.sent {
		count[inc]++
	}
	for _, inc := range []ident.Incarnation{memberA, memberB, memberC} {
		c.Assert(count[inc] >= 8 && count[inc] <= 12, qt.IsTrue, qt.Commentf("%v", count))
	}
	for _, reply := range open {
		c.Assert(reply.Body.Close(), qt.IsNil)
	}
	n.sent = nil
	call := newCall(clock, "")
	call.Key = ""
	_, err := r.Run(context.Background(), call)
	c.Assert(err, qt.IsNil)
	c.Assert(n.sent, qt.DeepEquals, []ident.Incarnation{memberA})
}

func TestUnkeyedCallAvoidsFailedMember(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	busy := calls.NewNotRun(calls.ReasonOverload)
	n := &network{script: map[ident.Incarnation]func(int, *calls.Call) error{
		memberA: always(busy),
		memberB: always(calls.NewNotRun(calls.ReasonPeerDown)),
	}}
	v := newView(memberB)
	r := route.New(func() route.View { return v }, local{n}, n, route.WithClock(clock), route.WithSeed(1))
	for range 10 {
		call := newCall(clock, "")
		call.Key = ""
		_, err := r.Run(context.Background(), call)
		c.Assert(err, qt.IsNil)
	}
	failed := 0
	for _, inc := range n.sent {
		if inc == memberB {
			failed++
		}
	}
	c.Assert(failed <= 1, qt.IsTrue)
}

// TestLaggingNewOwnerIsRetriedWithoutBudget guards against failing a call when
// the new owner applies the record of its ownership later than the router does.
// The retry budget is empty: only the free attempts after a table change
// remain.
func TestLaggingNewOwnerIsRetriedWithoutBudget(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	v := newView(memberB)
	var attempts int
	n := &network{script: map[ident.Incarnation]func(int, *calls.Call) error{
		memberB: func(int, *calls.Call) error {
			v = newView(memberC)
			return calls.NewNotRun(calls.ReasonPeerDown)
		},
		memberC: func(int, *calls.Call) error {
			if attempts++; attempts < 3 {
				return calls.NewNotRun(calls.ReasonNotOwner)
			}
			return nil
		},
	}}
	r := route.New(func() route.View { return v }, local{n}, n, route.WithClock(clock),
		route.WithSeed(1), route.WithRetryBudget(0, 0, 0))
	_, err := run(r, clock, newCall(clock, ""))
	c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
}
