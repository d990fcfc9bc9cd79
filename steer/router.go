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
	// maxSteps is the number of daemons that one call may be taken to, those
	// included that turn it away unsent.
	maxSteps = 6
	// patienceShare is the part of a call's target time for which it may wait for
	// its key to have an owner again; a caller that is told to come back loses
	// less than one that waits in vain.
	patienceShare = 0.4
	// maxPatience bounds that wait.
	maxPatience = 400 * time.Millisecond
	// ownerRetry is when a caller should come back whose key has no owner.
	ownerRetry = 300 * time.Millisecond
	// shunTime is how long a daemon that could not be reached gets no calls that
	// others can run.
	shunTime = 700 * time.Millisecond
	// leastLeft is the least time for which a call is sent again.
	leastLeft = 20 * time.Millisecond
	// farCost is what sending a call to another zone counts for, and byteCost
	// each byte of its body.
	farCost  = 2 * time.Millisecond
	byteCost = 150 * time.Nanosecond
	// defaultRatio, defaultSlack and defaultWindow are the budget of repeated
	// sendings when none is set.
	defaultRatio  = 0.1
	defaultSlack  = 5
	defaultWindow = 10 * time.Second
)

// Router is a calls.Executor that takes each call to the upstream that runs it.
type Router struct {
	directory Directory
	local     calls.Executor
	remote    Forwarder
	clock     clockwork.Clock
	log       logr.Logger
	budget    *Budget
	counts    counters

	mu      sync.Mutex
	rng     *rand.Rand
	shunned map[ident.Host]time.Time
	flying  map[ident.Host]int
}

var _ calls.Executor = (*Router)(nil)

// Option changes a Router.
type Option func(*Router)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(r *Router) { r.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(r *Router) { r.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(r *Router) { r.counts = newCounters(scope) } }

// WithBudget sets the budget of repeated sendings.
func WithBudget(b *Budget) Option { return func(r *Router) { r.budget = b } }

// WithSeed seeds the choice of daemons.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a router. Calls for this daemon's upstream run at local, others go
// through remote.
func New(directory Directory, local calls.Executor, remote Forwarder, opts ...Option) *Router {
	r := &Router{
		directory: directory, local: local, remote: remote,
		clock: clockwork.NewRealClock(), log: logr.Discard(),
		counts:  newCounters(tally.NoopScope),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		shunned: make(map[ident.Host]time.Time),
		flying:  make(map[ident.Host]int),
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
	local, forwarded, again, waited, broke tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		local:     scope.Counter("steer_local"),
		forwarded: scope.Counter("steer_forwarded"),
		again:     scope.Counter("steer_again"),
		waited:    scope.Counter("steer_waited"),
		broke:     scope.Counter("steer_budget_empty"),
	}
}

// Run implements calls.Executor.
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
	reply.Body = calls.Ending(reply.Body, cancel)
	return reply, nil
}

func (r *Router) run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	j := &journey{router: r, call: call, begun: r.clock.Now()}
	r.budget.Sent(j.begun, call.Service)
	for range maxSteps {
		target, refusal := j.next(ctx)
		if refusal != nil {
			return j.end(refusal)
		}
		call.Trail = append(call.Trail, target.name())
		reply, err := r.send(ctx, target, call)
		if again := j.judge(ctx, target, reply, err); !again {
			if err != nil {
				return j.end(calls.AsError(err))
			}
			return reply, nil
		}
		rewind(call)
	}
	return j.end(j.last)
}

// name returns the host's name, also for this daemon itself.
func (t Target) name() ident.Host {
	if t.Local {
		return "local"
	}
	return t.Host
}

func rewind(call *calls.Call) {
	if body, ok := call.Body.(*calls.Buffered); ok {
		body.Rewind()
	}
}

// send takes the call to a daemon.
func (r *Router) send(ctx context.Context, target Target, call *calls.Call) (*calls.Reply, error) {
	if target.Local {
		r.counts.local.Inc(1)
		return r.local.Run(ctx, call)
	}
	r.counts.forwarded.Inc(1)
	r.fly(target.Host, 1)
	defer r.fly(target.Host, -1)
	return r.remote.Forward(ctx, target.Addr, call)
}

func (r *Router) fly(host ident.Host, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flying[host] += n
	if r.flying[host] <= 0 {
		delete(r.flying, host)
	}
}

func (r *Router) shun(host ident.Host, now time.Time) {
	if host == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shunned[host] = now.Add(shunTime)
}
