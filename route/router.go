package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const (
	defaultMaxWaiting       = 2048     // calls
	defaultMaxBuffered      = 16 << 20 // bytes
	defaultBudgetRatio      = 0.1      // retries per call
	defaultBudgetBurst      = 100      // retries
	defaultBudgetRefillRate = 100      // retries per second
	freeAttempts            = 3        // attempts per change of a table entry that cost no budget
	// failureTTL is how long a failed member is tried only after all others.
	failureTTL   = time.Second
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	// answerReserve is the part of the deadline reserved for the attempt
	// itself: a pause between rounds ends at least this long before the
	// deadline.
	answerReserve = 2 * time.Millisecond
)

// Router is a calls.Executor that runs each call at the member responsible for
// it.
type Router struct {
	source Source
	local  calls.Executor
	remote Forwarder
	clock  clockwork.Clock
	log    logr.Logger
	scope  tally.Scope

	maxWaiting       int
	maxBuffered      int64
	budgetRatio      float64
	budgetRefillRate float64
	budgetBurst      float64

	rngMu sync.Mutex
	rng   *rand.Rand

	budget      *retryBudget
	waitLimiter *waitLimiter
	failed      *failedMembers
	owners      *ownerCache
	inFlight    *inFlightCalls
	counts      counters
}

var _ calls.Executor = (*Router)(nil)

// Option configures a Router.
type Option func(*Router)

// WithClock sets the clock for deadlines, backoff and the retry budget.
func WithClock(clock clockwork.Clock) Option { return func(r *Router) { r.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(r *Router) { r.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(r *Router) { r.scope = scope } }

// WithSeed seeds the random choice of members and the jitter of backoff delays.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithRetryBudget configures the retry budget: the retries that each call adds
// (usually a fraction), the retries added per second, and the maximum that can
// accumulate.
func WithRetryBudget(ratio, perSecond float64, burst int) Option {
	return func(r *Router) { r.budgetRatio, r.budgetRefillRate, r.budgetBurst = ratio, perSecond, float64(burst) }
}

// WithWaitLimits limits the number of calls that wait for a new owner, and the
// total size in bytes of all buffered request bodies.
func WithWaitLimits(n int, bytes int64) Option {
	return func(r *Router) { r.maxWaiting, r.maxBuffered = n, bytes }
}

// New returns a router that looks up members in the views of source. Calls for
// this member run at local, all others are forwarded through remote.
func New(source Source, local calls.Executor, remote Forwarder, opts ...Option) *Router {
	r := &Router{
		source:           source,
		local:            local,
		remote:           remote,
		clock:            clockwork.NewRealClock(),
		log:              logr.Discard(),
		scope:            tally.NoopScope,
		maxWaiting:       defaultMaxWaiting,
		maxBuffered:      defaultMaxBuffered,
		budgetRatio:      defaultBudgetRatio,
		budgetRefillRate: defaultBudgetRefillRate,
		budgetBurst:      defaultBudgetBurst,
		rng:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.budget = newBudget(r.budgetRatio, r.budgetRefillRate, r.budgetBurst)
	r.waitLimiter = &waitLimiter{maxCalls: r.maxWaiting, maxBytes: r.maxBuffered}
	r.failed = newFailedMembers()
	r.owners = newOwnerCache()
	r.inFlight = newInFlightCalls()
	r.counts = newCounters(r.scope)
	return r
}

// Run implements calls.Executor.
func (r *Router) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	view := r.source()
	if call.Hops > 0 {
		return r.runForwarded(ctx, view, call)
	}
	r.budget.deposit()
	if !call.Keyed() {
		return r.runUnkeyed(ctx, view, call)
	}
	return r.runKeyed(ctx, call)
}

// runForwarded runs a call that another daemon forwarded to this one. It never
// forwards the call again, so that daemons with different tables cannot create
// a forwarding loop.
func (r *Router) runForwarded(ctx context.Context, view View, call *calls.Call) (*calls.Reply, error) {
	if !call.Keyed() {
		return r.local.Run(ctx, call)
	}
	target, ok := view.Lookup(call.Service, call.Hash)
	if !ok {
		return nil, calls.NewNotRun(calls.ReasonNoOwner)
	}
	if _, ok := view.Serves(target.Shard, r.clock.Now()); !ok {
		return nil, notServed(view, target)
	}
	return r.local.Run(ctx, call)
}

// notServed returns the refusal for a target that this member does not serve.
// The refusal names the owner when that is another member.
func notServed(view View, target table.Target) *calls.Error {
	switch {
	case target.Owner.IsZero():
		return calls.NewNotRun(calls.ReasonNoOwner)
	case target.Owner == view.Self():
		return calls.NewNotRun(calls.ReasonMoving)
	}
	return calls.NewNotRun(calls.ReasonNotOwner, calls.WithHint(target.Owner))
}

// forward sends a call to another member and records whether the member failed.
func (r *Router) forward(ctx context.Context, to table.Member, call *calls.Call) (*calls.Reply, error) {
	outgoing := *call
	outgoing.Hops++
	r.counts.forwarded.Inc(1)
	reply, err := r.remote.Forward(ctx, to, &outgoing)
	call.Body = outgoing.Body
	if err == nil {
		r.failed.clear(to.Inc)
		return reply, nil
	}
	e := calls.AsError(err)
	if isMemberFailure(e.Reason()) {
		r.failed.add(to.Inc, r.clock.Now().Add(failureTTL))
	}
	return nil, e
}

// isMemberFailure reports whether an error with the reason means that the
// member should be avoided for failureTTL.
func isMemberFailure(reason calls.Reason) bool {
	switch reason {
	case calls.ReasonPeerDown, calls.ReasonPeerLost, calls.ReasonUpstreamDown, calls.ReasonDraining:
		return true
	default:
		return false
	}
}

// jitter returns a random duration between d/2 and d.
func (r *Router) jitter(d time.Duration) time.Duration {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return d/2 + time.Duration(r.rng.Int64N(int64(d/2)+1))
}

// randomIndex returns a random number from 0 to n-1.
func (r *Router) randomIndex(n int) int {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.IntN(n)
}

// counters holds the router's metrics.
type counters struct {
	forwarded, retried, waited, waitRefused tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		forwarded:   scope.Counter("route_forwarded"),
		retried:     scope.Counter("route_retried"),
		waited:      scope.Counter("route_waited"),
		waitRefused: scope.Counter("route_wait_refused"),
	}
}
