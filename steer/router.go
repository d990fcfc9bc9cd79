package steer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/steady"
)

const (
	// maxTargets is the number of attempts for one call. Attempts that were refused
	// before they reached an upstream count too.
	maxTargets = 6
	// ownerWaitShare is the fraction of the target time of a call for which it may wait
	// until its key has an owner again. A caller that is told to retry loses less time
	// than one that waits and gets no answer.
	ownerWaitShare = 0.4
	// maxOwnerWait is the upper limit of that wait.
	maxOwnerWait = 400 * time.Millisecond
	// noOwnerRetryAfter is the retry delay told to a caller whose key has no owner.
	noOwnerRetryAfter = 300 * time.Millisecond
	// avoidTime is how long a daemon that could not be reached gets no calls that
	// another daemon can run.
	avoidTime = 700 * time.Millisecond
	// minTimeLeft is the least time before the deadline with which a call is retried.
	minTimeLeft = 20 * time.Millisecond
	// crossZoneCost is the wait to which sending a call to another zone is equated;
	// crossZoneByteCost is added for each byte of its body.
	crossZoneCost     = 2 * time.Millisecond
	crossZoneByteCost = 150 * time.Nanosecond
	// defaultRatio, defaultSlack and defaultWindow define the retry budget when no
	// other is set.
	defaultRatio  = 0.1
	defaultSlack  = 5
	defaultWindow = 10 * time.Second
)

// Router is a calls.Executor that sends each call to the daemon whose upstream runs it,
// and retries failed attempts.
type Router struct {
	directory Directory
	local     calls.Executor
	remote    Forwarder
	clock     clockwork.Clock
	log       logr.Logger
	budget    *Budget
	counts    counters
	// region is that of this daemon.
	region ident.Region

	mu  sync.Mutex
	rng *rand.Rand
	// avoidUntil holds, for each host that could not be reached, the time until which
	// it is avoided.
	avoidUntil map[ident.Host]time.Time
	// inFlight counts the calls that were sent to each host and have not ended.
	inFlight map[ident.Host]int
}

var _ calls.Executor = (*Router)(nil)

// Option configures a Router.
type Option func(*Router)

// WithClock sets the clock. The default is the real one.
func WithClock(clock clockwork.Clock) Option { return func(r *Router) { r.clock = clock } }

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(log logr.Logger) Option { return func(r *Router) { r.log = log } }

// WithScope sets the scope of the metrics. By default none are reported.
func WithScope(scope tally.Scope) Option { return func(r *Router) { r.counts = newCounters(scope) } }

// WithBudget sets the retry budget.
func WithBudget(b *Budget) Option { return func(r *Router) { r.budget = b } }

// WithSeed seeds the random choice of targets, for tests.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithRegion sets the region of this daemon.
func WithRegion(region ident.Region) Option { return func(r *Router) { r.region = region } }

// New returns a router. Calls for the upstream of this daemon run at local, others are
// sent through remote.
func New(directory Directory, local calls.Executor, remote Forwarder, opts ...Option) *Router {
	r := &Router{
		directory: directory, local: local, remote: remote,
		clock: clockwork.NewRealClock(), log: logr.Discard(),
		counts:     newCounters(tally.NoopScope),
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		avoidUntil: make(map[ident.Host]time.Time),
		inFlight:   make(map[ident.Host]int),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.budget == nil {
		r.budget = NewBudget(defaultRatio, defaultSlack, defaultWindow)
	}
	return r
}

type counters struct {
	local, forwarded, retried, waited, budgetEmpty tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		local:       scope.Counter("steer_local"),
		forwarded:   scope.Counter("steer_forwarded"),
		retried:     scope.Counter("steer_again"),
		waited:      scope.Counter("steer_waited"),
		budgetEmpty: scope.Counter("steer_budget_empty"),
	}
}

// Run implements calls.Executor. The context of the call ends at its deadline, or when
// the reply has been read if its body is streamed.
func (r *Router) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	ctx, cancel := steady.WithDeadline(ctx, r.clock, call.Deadline)
	reply, err := r.run(ctx, call)
	if err != nil {
		cancel()
		return nil, err
	}
	if _, whole := reply.Body.(*calls.Buffered); whole {
		cancel()
		return reply, nil
	}
	reply.Body = calls.OnClose(reply.Body, cancel)
	return reply, nil
}

// run makes attempts until one succeeds, one fails that is not to be retried, or
// maxTargets is reached.
func (r *Router) run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	c := &routedCall{router: r, call: call, started: r.clock.Now()}
	r.budget.RecordCall(c.started, call.Service)
	for range maxTargets {
		target, refusal := c.nextTarget(ctx)
		if refusal != nil {
			return c.result(refusal)
		}
		call.Trail = append(call.Trail, target.trailName())
		reply, err := r.send(ctx, target, call)
		if retry := c.shouldRetry(ctx, target, reply, err); !retry {
			if err != nil {
				return c.result(calls.AsError(err))
			}
			return reply, nil
		}
		rewind(call)
	}
	return c.result(c.lastErr)
}

// trailName returns the name under which the target is listed in the trail of a call:
// its host, or "local" for this daemon.
func (t Target) trailName() ident.Host {
	if t.Local {
		return "local"
	}
	return t.Host
}

// rewind resets a buffered body to its start for the next attempt.
func rewind(call *calls.Call) {
	if body, ok := call.Body.(*calls.Buffered); ok {
		body.Rewind()
	}
}

// send makes one attempt at a target.
func (r *Router) send(ctx context.Context, target Target, call *calls.Call) (*calls.Reply, error) {
	if target.Local {
		r.counts.local.Inc(1)
		return r.local.Run(ctx, call)
	}
	r.counts.forwarded.Inc(1)
	r.addInFlight(target.Host, 1)
	defer r.addInFlight(target.Host, -1)
	return r.remote.Forward(ctx, target.Addr, call)
}

// addInFlight adds n to the number of calls in flight to a host.
func (r *Router) addInFlight(host ident.Host, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[host] += n
	if r.inFlight[host] <= 0 {
		delete(r.inFlight, host)
	}
}

// avoid keeps calls that another daemon can run away from a host for avoidTime. It does
// nothing for an empty host, which stands for this daemon as the owner of a key.
func (r *Router) avoid(host ident.Host, now time.Time) {
	if host == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidUntil[host] = now.Add(avoidTime)
}
