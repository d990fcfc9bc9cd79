package steer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
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

// journey is one call on its way.
type journey struct {
	router *Router
	call   *calls.Call
	begun  time.Time
	tried  []ident.Host
	// seen is the number of upstreams that may have seen the call.
	seen int
	last *calls.Error
	// unsure is the first attempt that may have run the call.
	unsure *calls.Error
	// answer is an upstream's failure that was worth another try. It is returned
	// if nothing better comes.
	answer *calls.Reply
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
	reply.Body = &lasting{ReadCloser: reply.Body, end: cancel}
	return reply, nil
}

// lasting keeps a call's context until its answer was read.
type lasting struct {
	io.ReadCloser
	end context.CancelFunc
}

// Close implements io.Closer.
func (l *lasting) Close() error {
	defer l.end()
	return l.ReadCloser.Close()
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

// end returns what becomes of a call that is given up. Once an upstream may have
// run the call, a later refusal does not prove that it never ran.
func (j *journey) end(err *calls.Error) (*calls.Reply, error) {
	switch {
	case j.answer != nil:
		return j.answer, nil
	case j.unsure != nil && err.Outcome() == calls.NotRun:
		return nil, j.unsure
	}
	return nil, err
}

// next returns the daemon that the call should go to now.
func (j *journey) next(ctx context.Context) (Target, *calls.Error) {
	if j.call.Ordered {
		return j.nextOwner(ctx)
	}
	targets := j.router.directory.Targets(j.call.Service)
	if target, ok := j.router.pick(targets, j.tried, j.call); ok {
		return target, nil
	}
	if j.last != nil {
		return Target{}, j.last
	}
	return Target{}, calls.NewNotRun(calls.ReasonNoOwner, calls.WithRetryAfter(ownerRetry))
}

// nextOwner returns the owner of the call's key, and waits for one for a while.
func (j *journey) nextOwner(ctx context.Context) (Target, *calls.Error) {
	r := j.router
	for {
		changed := r.directory.Changed()
		place, host := r.directory.Where(j.call.Service, j.call.Point)
		switch place {
		case owner.Here, owner.Soon, owner.Leaving:
			if !j.isStuck("") {
				return Target{Local: true}, nil
			}
		case owner.Elsewhere:
			if target, ok := r.directory.Target(host); ok && !j.isStuck(host) {
				return target, nil
			}
		case owner.Nowhere:
		}
		left := j.patience()
		if left <= 0 {
			if j.last != nil {
				return Target{}, j.last
			}
			return Target{}, calls.NewNotRun(calls.ReasonNoOwner, calls.WithRetryAfter(ownerRetry))
		}
		r.counts.waited.Inc(1)
		timer := r.clock.NewTimer(left)
		select {
		case <-changed:
			j.tried = nil
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return Target{}, calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
		}
		timer.Stop()
	}
}

// isStuck reports whether the owner, this daemon if the host is empty, has turned
// the call away already and nothing has changed since.
func (j *journey) isStuck(host ident.Host) bool {
	return slices.Contains(j.tried, host)
}

// patience returns how much longer the call may wait for an owner.
func (j *journey) patience() time.Duration {
	t := j.call.Terms
	most := min(time.Duration(patienceShare*float64(t.Target)), maxPatience)
	left := most - j.router.clock.Now().Sub(j.begun)
	return min(left, j.call.Deadline.Sub(j.router.clock.Now())-leastLeft)
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

// judge decides whether the call is tried again.
func (j *journey) judge(ctx context.Context, target Target, reply *calls.Reply, err error) bool {
	r := j.router
	now := r.clock.Now()
	if err == nil {
		return j.judgeAnswer(now, target, reply)
	}
	e := calls.AsError(err)
	if ctx.Err() != nil || j.call.Deadline.Sub(now) < leastLeft {
		return false
	}
	var again bool
	switch {
	case e.Outcome() == calls.Unknown:
		j.seen++
		if e.Reason() == calls.ReasonPeerLost {
			r.shun(target.Host, now)
		}
		again = j.call.Terms.Repeatable && j.seen < max(1, j.call.Terms.Attempts) && j.spend(now)
	case e.Reason() == calls.ReasonUpstreamShed:
		j.seen++
		again = j.seen < max(1, j.call.Terms.Attempts) && j.spend(now)
	default:
		again = j.judgeUnsent(now, target, e)
	}
	r.log.V(1).Info("attempt failed", "request", j.call.ID, "at", string(target.Host), "local", target.Local,
		"outcome", e.Outcome().String(), "reason", string(e.Reason()), "again", again)
	if j.unsure == nil && e.Outcome() == calls.Unknown {
		j.unsure = e
	}
	if again {
		j.last = e
		j.mark(target, e)
	}
	return again
}

// judgeAnswer decides about an upstream's answer: a failure of a call that may
// run twice is worth another try elsewhere.
func (j *journey) judgeAnswer(now time.Time, target Target, reply *calls.Reply) bool {
	if _, whole := reply.Body.(*calls.Buffered); !whole {
		return false
	}
	if reply.Status < http.StatusInternalServerError || !j.call.Terms.Repeatable || j.call.Ordered {
		return false
	}
	j.seen++
	if j.seen >= j.call.Terms.Attempts || j.call.Deadline.Sub(now) < leastLeft || !j.spend(now) {
		return false
	}
	j.answer = reply
	j.last = calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(errFailed))
	j.mark(target, j.last)
	return true
}

// errFailed is the cause of a call that an upstream answered with a failure.
var errFailed = errors.New("upstream answered with a failure")

// judgeUnsent decides about a call that no upstream has seen.
func (j *journey) judgeUnsent(now time.Time, target Target, e *calls.Error) bool {
	switch e.Reason() {
	case calls.ReasonPeerDown, calls.ReasonUpstreamDown, calls.ReasonDraining, calls.ReasonStarting:
		j.router.shun(target.Host, now)
		return true
	case calls.ReasonNotOwner, calls.ReasonNoOwner, calls.ReasonMoving, calls.ReasonFenced:
		return true
	case calls.ReasonOverload, calls.ReasonQueueTimeout:
		return !j.call.Ordered && len(j.tried) < 1
	default:
		return false
	}
}

// spend takes a repeated sending from the budget.
func (j *journey) spend(now time.Time) bool {
	if !j.router.budget.Spend(now, j.call.Service) {
		j.router.counts.broke.Inc(1)
		return false
	}
	j.router.counts.again.Inc(1)
	return true
}

// mark remembers where the call has been. The owner of a key that has moved, or
// was lost, is asked again once the table has changed.
func (j *journey) mark(target Target, e *calls.Error) {
	if j.call.Ordered && e.Outcome() == calls.Unknown {
		return
	}
	j.tried = append(j.tried, target.Host)
}

func (r *Router) shun(host ident.Host, now time.Time) {
	if host == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shunned[host] = now.Add(shunTime)
}

// pick returns the best of a few targets: two at random, by their capacity, and
// the near ones.
func (r *Router) pick(targets []Target, tried []ident.Host, call *calls.Call) (Target, bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []Target
	for _, t := range targets {
		if slices.Contains(tried, t.Host) {
			continue
		}
		if until, ok := r.shunned[t.Host]; ok && now.Before(until) {
			continue
		}
		open = append(open, t)
	}
	if len(open) == 0 {
		for _, t := range targets {
			if !slices.Contains(tried, t.Host) {
				open = append(open, t)
			}
		}
	}
	if len(open) == 0 {
		return Target{}, false
	}
	best := r.draw(open)
	for _, t := range []Target{r.draw(open), r.draw(open)} {
		if r.cost(t, call) < r.cost(best, call) {
			best = t
		}
	}
	for _, t := range open {
		if (t.Near || t.Local) && r.cost(t, call) < r.cost(best, call) {
			best = t
		}
	}
	return best, true
}

// draw returns a random target, each with the probability of its capacity.
func (r *Router) draw(targets []Target) Target {
	sum := 0.0
	for _, t := range targets {
		sum += max(1, t.Capacity)
	}
	at := r.rng.Float64() * sum
	for _, t := range targets {
		at -= max(1, t.Capacity)
		if at < 0 {
			return t
		}
	}
	return targets[len(targets)-1]
}

// cost is how long a call is expected to wait at a target, and what its way
// there counts for.
func (r *Router) cost(t Target, call *calls.Call) time.Duration {
	cost := t.Wait
	if t.Capacity > 0 {
		cost += time.Duration(float64(r.flying[t.Host]) / t.Capacity * float64(time.Second) / 4)
	}
	if !t.Local && !t.Near {
		cost += farCost + time.Duration(max(0, call.Length))*byteCost
	}
	return cost
}
