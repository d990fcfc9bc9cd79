package admit

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// loadTimeConstant is the time constant of the exponential averages of running
// and queued requests.
const loadTimeConstant = 2 * time.Second

// Gate applies a Policy to concurrent requests. It is safe for concurrent use.
type Gate struct {
	clock     clockwork.Clock
	scope     tally.Scope
	report    reporter
	maxQueued int
	fair      bool
	unlimited bool

	mu     sync.Mutex
	policy *Policy
	busy   decayingMean
	queued decayingMean

	shed  tally.Counter
	limit tally.Gauge
}

// Option configures a Gate.
type Option func(*Gate)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(g *Gate) { g.clock = clock } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(g *Gate) { g.scope = scope } }

// WithEvents sets the sink for events about the service.
func WithEvents(sink events.Sink, service ident.Service) Option {
	return func(g *Gate) { g.report.sink, g.report.service = sink, service }
}

// WithMaxQueued sets the maximum number of queued requests; zero derives it from the
// announced slots.
func WithMaxQueued(n int) Option { return func(g *Gate) { g.maxQueued = n } }

// WithoutFairness makes all keys share one queue. It is meant for comparisons
// with fair queueing.
func WithoutFairness() Option { return func(g *Gate) { g.fair = false } }

// WithoutLimit admits every request. It is meant for comparisons with admission
// control.
func WithoutLimit() Option { return func(g *Gate) { g.unlimited = true } }

// New returns a gate for an upstream that has not announced its slots yet.
func New(opts ...Option) *Gate {
	g := &Gate{clock: clockwork.NewRealClock(), scope: tally.NoopScope, fair: true}
	g.report.sink = events.Discard{}
	for _, opt := range opts {
		opt(g)
	}
	g.policy = NewPolicy(g.maxQueued, g.fair)
	g.shed = g.scope.Counter("admit_shed")
	g.limit = g.scope.Gauge("admit_limit")
	return g
}

// Announce applies the number of slots that the upstream announced. Cold starts
// a slow start.
func (g *Gate) Announce(slots int, cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.policy.limit.Announce(now, slots, cold)
	g.limit.Update(float64(g.policy.limit.Value(now)))
	g.advance(now)
}

// ResetLimit discards the measurements of the upstream's previous run and starts a
// slow start.
func (g *Gate) ResetLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy.limit.Reset(g.clock.Now())
}

// Ticket permits one request to the upstream. Done must be called when the
// request has ended.
type Ticket struct {
	gate    *Gate
	started time.Time
}

// Acquire waits until the request may run. A returned error is a *calls.Error
// with the outcome NotRun.
func (g *Gate) Acquire(ctx context.Context, hash uint64, deadline time.Time) (Ticket, error) {
	g.mu.Lock()
	now := g.clock.Now()
	if g.unlimited {
		g.policy.running++
		g.mu.Unlock()
		return Ticket{gate: g, started: now}, nil
	}
	w, evicted, verdict := g.policy.Admit(now, hash, deadline)
	if evicted != nil || verdict == Shed {
		g.report.reportShed(now)
	}
	g.updateAverages(now)
	after := g.policy.RetryAfter(now)
	g.mu.Unlock()
	if evicted != nil {
		evicted.ready <- Shed
	}
	if verdict != Queued {
		return g.resolve(verdict, now, after)
	}
	return g.waitForVerdict(ctx, w, after)
}

// waitForVerdict waits for the verdict on a queued request or the end of its
// context. If the context ends just when the request was admitted, it frees the
// slot again.
func (g *Gate) waitForVerdict(ctx context.Context, w *Waiter, after time.Duration) (Ticket, error) {
	select {
	case verdict := <-w.ready:
		return g.resolve(verdict, g.clock.Now(), after)
	case <-ctx.Done():
	}
	g.mu.Lock()
	waiting := g.policy.Cancel(w)
	g.updateAverages(g.clock.Now())
	g.mu.Unlock()
	if !waiting && <-w.ready == Admitted {
		g.done(Failed, 0)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return g.resolve(Expired, time.Time{}, after)
	}
	return Ticket{}, calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
}

// resolve returns the ticket of an admitted request, or counts a refused one
// and returns its error.
func (g *Gate) resolve(verdict Verdict, now time.Time, after time.Duration) (Ticket, error) {
	if verdict == Admitted {
		return Ticket{gate: g, started: now}, nil
	}
	g.shed.Inc(1)
	return Ticket{}, shedError(verdict, after)
}

// Started returns when the request was admitted.
func (t Ticket) Started() time.Time { return t.started }

// Done frees the slot and reports how the request ended. Service is the time
// until the upstream answered, without the time to forward the answer to the
// caller.
func (t Ticket) Done(result Result, service time.Duration) {
	if t.gate != nil {
		t.gate.done(result, service)
	}
}

func (g *Gate) done(result Result, service time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.policy.Finish(now, service, result)
	g.advance(now)
}

// advance delivers the verdicts on all queued requests that can be decided now.
func (g *Gate) advance(now time.Time) {
	for {
		w, verdict := g.policy.Next(now)
		if w == nil {
			break
		}
		w.ready <- verdict
	}
	g.report.reportLimit(g.policy.limit.Value(now))
	g.updateAverages(now)
}

// updateAverages updates the averages of running and queued requests.
func (g *Gate) updateAverages(now time.Time) {
	g.busy.update(now, float64(g.policy.running))
	g.queued.update(now, float64(g.policy.queue.count))
}

// AverageLoad returns the average numbers of running and queued requests over the
// last seconds, the limit in force and whether the upstream is in its slow
// start.
func (g *Gate) AverageLoad() (busy, queued, limit float64, cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.updateAverages(now)
	return g.busy.mean, g.queued.mean, float64(g.policy.limit.Value(now)), g.policy.limit.Cold(now)
}

// decayingMean is a time-weighted mean with exponential decay; loadTimeConstant
// is its time constant.
type decayingMean struct {
	at   time.Time
	last float64
	mean float64
}

func (a *decayingMean) update(now time.Time, value float64) {
	if dt := now.Sub(a.at); dt > 0 {
		keep := math.Exp(-dt.Seconds() / loadTimeConstant.Seconds())
		a.mean = a.last + (a.mean-a.last)*keep
		a.at = now
	}
	a.last = value
}
