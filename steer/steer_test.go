package steer_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/steer"
)

var start = time.Date(2026, 1, 3, 15, 0, 0, 0, time.UTC)

// fakeFleet is a directory and transport whose daemons return the given results, one
// per attempt.
type fakeFleet struct {
	owner   ident.Host
	place   owner.KeyStatus
	targets []steer.Target
	answers map[string][]error
	// sentTo holds the addresses to which attempts were sent; "" stands for the local
	// daemon.
	sentTo []string
	// nextOwner becomes the owner after the first attempt, if set.
	nextOwner ident.Host
	// status holds the HTTP status codes of successive replies; 200 when it is empty.
	status []int
}

func (s *fakeFleet) LookupOwner(ident.Service, uint32) (owner.KeyStatus, ident.Host) {
	return s.place, s.owner
}

func (s *fakeFleet) Target(host ident.Host) (steer.Target, bool) {
	for _, t := range s.targets {
		if t.Host == host {
			return t, true
		}
	}
	return steer.Target{}, false
}

func (s *fakeFleet) Targets(ident.Service) []steer.Target { return s.targets }

func (s *fakeFleet) Changed() <-chan struct{} { return nil }

func (s *fakeFleet) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	return s.Forward(ctx, "", call)
}

func (s *fakeFleet) Forward(_ context.Context, addr string, _ *calls.Call) (*calls.Reply, error) {
	s.sentTo = append(s.sentTo, addr)
	if s.nextOwner != "" {
		s.owner, s.nextOwner = s.nextOwner, ""
	}
	if list := s.answers[addr]; len(list) > 0 {
		s.answers[addr] = list[1:]
		if list[0] != nil {
			return nil, list[0]
		}
	}
	status := http.StatusOK
	if len(s.status) > 0 {
		status, s.status = s.status[0], s.status[1:]
	}
	return &calls.Reply{Status: status, Body: calls.NewBuffered(nil)}, nil
}

func remote(hosts ...string) []steer.Target {
	var out []steer.Target
	for _, h := range hosts {
		out = append(out, steer.Target{Host: ident.Host(h), Addr: h, Capacity: 10, Slots: 4})
	}
	return out
}

func newCall(terms calls.RoutePolicy, ordered bool) *calls.Call {
	return &calls.Call{
		ID: "c1", Service: "events", Ordered: ordered, Point: 7, Terms: terms,
		Deadline: time.Now().Add(time.Minute), Body: calls.NewBuffered(nil),
	}
}

func TestOutcomes(t *testing.T) {
	repeatable := calls.RoutePolicy{Repeatable: true, Attempts: 2, Target: time.Second}
	once := calls.RoutePolicy{Attempts: 2, Target: time.Second}
	lost := calls.NewUnknown(calls.ReasonUpstreamLost)
	moved := calls.NewNotRun(calls.ReasonNotOwner)
	full := calls.NewNotRun(calls.ReasonOverload)
	for _, test := range []struct {
		name    string
		terms   calls.RoutePolicy
		ordered bool
		answers map[string][]error
		next    ident.Host
		sent    int
		outcome calls.Outcome
		reason  calls.Reason
	}{
		{name: "answered", terms: once, ordered: true, sent: 1, outcome: calls.Answered},
		{
			name: "a call that may run once is not sent again", terms: once, ordered: true,
			answers: map[string][]error{"a": {lost}}, sent: 1, outcome: calls.Unknown, reason: calls.ReasonUpstreamLost,
		},
		{
			name: "a repeatable call is sent again", terms: repeatable, ordered: true,
			answers: map[string][]error{"a": {lost, nil}}, sent: 2, outcome: calls.Answered,
		},
		{
			name: "a refusal after an attempt with unknown outcome keeps the outcome unknown", terms: repeatable, ordered: true,
			answers: map[string][]error{"a": {lost, full}}, sent: 2, outcome: calls.Unknown, reason: calls.ReasonUpstreamLost,
		},
		{
			name: "the same holds for a call without key", terms: repeatable, ordered: false,
			answers: map[string][]error{"a": {lost, moved, full}, "b": {lost, moved, full}, "c": {lost, moved, full}},
			sent:    2, outcome: calls.Unknown, reason: calls.ReasonUpstreamLost,
		},
		{
			name: "a call that the old owner refused goes to the new owner", terms: once, ordered: true,
			answers: map[string][]error{"a": {moved}}, next: "b", sent: 2, outcome: calls.Answered,
		},
		{
			name: "an overloaded owner is not tried twice", terms: once, ordered: true,
			answers: map[string][]error{"a": {full}}, sent: 1, outcome: calls.NotRun, reason: calls.ReasonOverload,
		},
		{
			name: "a call without key refused for overload tries one other daemon", terms: once,
			answers: map[string][]error{"a": {full, full}, "b": {full, full}, "c": {full, full}},
			sent:    2, outcome: calls.NotRun, reason: calls.ReasonOverload,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &fakeFleet{
				owner: "a", place: owner.KeyRemote, targets: remote("a", "b", "c"), answers: test.answers, nextOwner: test.next,
			}
			r := steer.New(s, s, s, steer.WithClock(clockwork.NewRealClock()), steer.WithSeed(1),
				steer.WithBudget(steer.NewBudget(1, 160, 10*time.Second)))
			reply, err := r.Run(context.Background(), newCall(test.terms, test.ordered))
			c.Check(s.sentTo, qt.HasLen, test.sent)
			if test.outcome == calls.Answered {
				c.Assert(err, qt.IsNil)
				c.Assert(reply.Status, qt.Equals, http.StatusOK)
				return
			}
			e := calls.AsError(err)
			c.Check(e.Outcome(), qt.Equals, test.outcome)
			c.Check(e.Reason(), qt.Equals, test.reason)
		})
	}
}

// The first attempt may have run the call. Then the key moves, and its new owner is
// overloaded. The refusal of the new owner holds for its own attempt only, so the
// outcome must stay unknown.
func TestRefusalAfterMoveDoesNotHideUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	s := &fakeFleet{
		owner: "a", place: owner.KeyRemote, targets: remote("a", "b"),
		answers: map[string][]error{
			"a": {calls.NewUnknown(calls.ReasonUpstreamLost), calls.NewNotRun(calls.ReasonNotOwner)},
			"b": {calls.NewNotRun(calls.ReasonOverload)},
		},
	}
	clock := clockwork.NewRealClock()
	r := steer.New(s, s, ownerChange{s}, steer.WithClock(clock), steer.WithSeed(1),
		steer.WithBudget(steer.NewBudget(1, 160, 10*time.Second)))
	_, err := r.Run(context.Background(), newCall(calls.RoutePolicy{Repeatable: true, Attempts: 3, Target: time.Second}, true))
	c.Check(s.sentTo, qt.DeepEquals, []string{"a", "a", "b"})
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown)
}

// ownerChange makes b the owner once a has refused a call as not its own.
type ownerChange struct{ *fakeFleet }

func (f ownerChange) Forward(ctx context.Context, addr string, call *calls.Call) (*calls.Reply, error) {
	reply, err := f.fakeFleet.Forward(ctx, addr, call)
	if err != nil && calls.AsError(err).Reason() == calls.ReasonNotOwner {
		f.owner = "b"
	}
	return reply, err
}

func TestServerErrorIsRetried(t *testing.T) {
	c := qt.New(t)
	s := &fakeFleet{targets: remote("a", "b"), status: []int{http.StatusInternalServerError, http.StatusOK}}
	r := steer.New(s, s, s, steer.WithClock(clockwork.NewRealClock()), steer.WithSeed(1),
		steer.WithBudget(steer.NewBudget(1, 160, 10*time.Second)))
	reply, err := r.Run(context.Background(), newCall(calls.RoutePolicy{Repeatable: true, Attempts: 2}, false))
	c.Assert(err, qt.IsNil)
	c.Check(reply.Status, qt.Equals, http.StatusOK)
	c.Check(s.sentTo, qt.HasLen, 2)

	// A call that may not be retried returns the server error.
	s.status = []int{http.StatusInternalServerError}
	reply, err = r.Run(context.Background(), newCall(calls.RoutePolicy{Attempts: 2}, false))
	c.Assert(err, qt.IsNil)
	c.Check(reply.Status, qt.Equals, http.StatusInternalServerError)
}

func TestBudget(t *testing.T) {
	c := qt.New(t)
	const window = 10 * time.Second
	spend := func(b *steer.Budget, at time.Time) int {
		n := 0
		for b.TakeRetry(at, "events") {
			n++
		}
		return n
	}
	b := steer.NewBudget(0.2, 160, window)
	for range 100 {
		b.RecordCall(start, "events")
	}
	// (0.2 of 100 calls + 160/16 of the slack) * 0.8 = 24 retries.
	c.Assert(spend(b, start), qt.Equals, 24)
	c.Assert(spend(b, start.Add(window/2)), qt.Equals, 0)
	c.Assert(spend(b, start.Add(2*window)), qt.Equals, 8)

	// A larger fleet shares the same slack. A daemon that sees fewer others after a
	// partition does not get a larger part of it.
	b = steer.NewBudget(0, 160, window)
	b.ObserveFleetSize(64)
	b.ObserveFleetSize(3)
	c.Assert(spend(b, start), qt.Equals, 2)
	b.SetLimits(0, 1600)
	c.Assert(spend(b, start), qt.Equals, 18)
}

// A daemon with an outdated ownership table sends a call to a former owner. That one
// names the present owner, and the call must go there at once.
func TestOwnerHintIsFollowed(t *testing.T) {
	c := qt.New(t)
	s := &fakeFleet{
		owner: "a", place: owner.KeyRemote, targets: remote("a", "b"),
		answers: map[string][]error{
			"a": {calls.NewNotRun(calls.ReasonNotOwner, calls.WithHint(ident.NewIncarnation("b", 0)))},
		},
	}
	r := steer.New(s, s, s, steer.WithClock(clockwork.NewRealClock()), steer.WithSeed(1))
	_, err := r.Run(context.Background(), newCall(calls.RoutePolicy{Attempts: 2, Target: 20 * time.Millisecond}, true))
	c.Assert(err, qt.IsNil)
	c.Check(s.sentTo, qt.DeepEquals, []string{"a", "b"})
}

// A route that names regions is served there only. Where they hold no upstream of the service,
// or the owner of the key is elsewhere, the call is refused at once as not run.
func TestRegionsOfARoute(t *testing.T) {
	targets := []steer.Target{
		{Host: "a", Addr: "a", Region: "north", Capacity: 10}, {Host: "b", Addr: "b", Region: "south", Capacity: 1000},
	}
	for _, test := range []struct {
		name    string
		regions []ident.Region
		ordered bool
		place   owner.KeyStatus
		owner   ident.Host
		sent    []string
	}{
		{name: "any upstream", regions: []ident.Region{"north"}, sent: []string{"a"}},
		{name: "one of two", regions: []ident.Region{"west", "north"}, sent: []string{"a"}},
		{name: "no upstream there", regions: []ident.Region{"west"}},
		{name: "owner there", regions: []ident.Region{"north"}, ordered: true, place: owner.KeyRemote, owner: "a", sent: []string{"a"}},
		{name: "owner elsewhere", regions: []ident.Region{"north"}, ordered: true, place: owner.KeyRemote, owner: "b"},
		{name: "own key", regions: []ident.Region{"south"}, ordered: true, place: owner.KeyHeld, sent: []string{""}},
		{name: "own key elsewhere", regions: []ident.Region{"north"}, ordered: true, place: owner.KeyHeld},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(20) {
				f := &fakeFleet{targets: targets, place: test.place, owner: test.owner}
				r := steer.New(f, f, f, steer.WithSeed(seed), steer.WithRegion("south"))
				_, err := r.Run(context.Background(), newCall(calls.RoutePolicy{Attempts: 2, Target: time.Second, Regions: test.regions}, test.ordered))
				c.Assert(f.sentTo, qt.DeepEquals, test.sent)
				if test.sent == nil {
					c.Assert(calls.AsError(err).Reason(), qt.Equals, calls.ReasonNoRegion)
					c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
				}
			}
		})
	}
}
