package upstrm

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/journl"
	"github.com/monsoonmoor/monsoonmoor/poison"
	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	defaultProbeAfter      = time.Second
	defaultHardTimeout     = 15 * time.Second
	dialTimeout            = time.Second
	idleConnTimeout        = 20 * time.Second
	defaultMaxConns        = 100
	watchInterval          = 100 * time.Millisecond
	maxProbeRequests       = 64
	maxResponseHeaderBytes = 64 << 10 // bytes
)

// Executor executes calls at the upstream of the daemon's host.
type Executor struct {
	source      Source
	clock       clockwork.Clock
	log         logr.Logger
	scope       tally.Scope
	sink        events.Sink
	since       func(ident.Shard) (ident.Epoch, bool)
	host        ident.Host
	gate        *admit.Gate
	meter       *admit.Meter
	journal     *journl.Journal
	quarantine  *poison.Quarantine
	tripper     http.RoundTripper
	probeAfter  time.Duration
	hardTimeout time.Duration
	maxConns    int
	onCrash     func(*wire.Suspects)

	target        atomic.Pointer[target]
	inflight      *inflightTracker
	memory        memoryBudget
	probeRequests *ring.Ring[probeRequest]
	stop          context.CancelFunc
	done          chan struct{}
	counts        counters
}

var _ calls.Executor = (*Executor)(nil)

// Option changes an Executor.
type Option func(*Executor)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(x *Executor) { x.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(x *Executor) { x.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(x *Executor) { x.scope = scope } }

// WithOwnedSince sets the function that returns the epoch at which this member's
// current, uninterrupted ownership of a shard began. Without it any change of a
// shard's epoch counts as a change of owner.
func WithOwnedSince(since func(ident.Shard) (ident.Epoch, bool)) Option {
	return func(x *Executor) { x.since = since }
}

// WithEvents sets the sink that receives the events of the time line.
func WithEvents(sink events.Sink) Option { return func(x *Executor) { x.sink = sink } }

// WithHost sets the host name that answers and crash reports carry.
func WithHost(host ident.Host) Option { return func(x *Executor) { x.host = host } }

// WithGate sets the admission gate. Without one every call is admitted.
func WithGate(gate *admit.Gate) Option { return func(x *Executor) { x.gate = gate } }

// WithMeter sets the meter that measures the load of each shard.
func WithMeter(meter *admit.Meter) Option { return func(x *Executor) { x.meter = meter } }

// WithJournal sets the journal of idempotency keys.
func WithJournal(j *journl.Journal) Option { return func(x *Executor) { x.journal = j } }

// WithQuarantine sets the quarantine that refuses requests that crash upstreams.
func WithQuarantine(q *poison.Quarantine) Option { return func(x *Executor) { x.quarantine = q } }

// WithRoundTripper replaces the HTTP transport. Since the bytes written by it
// can't be counted, each of its errors gives an unknown outcome.
func WithRoundTripper(t http.RoundTripper) Option { return func(x *Executor) { x.tripper = t } }

// WithSilenceTimeouts sets how long a call may wait without data on its connection
// before the upstream is probed over a new connection (probe), and before the
// call is aborted (hard).
func WithSilenceTimeouts(probe, hard time.Duration) Option {
	return func(x *Executor) { x.probeAfter, x.hardTimeout = probe, hard }
}

// WithMemoryLimit limits the bytes of large request and response bodies that are
// buffered so that slow callers do not occupy the upstream's slots.
func WithMemoryLimit(bytes int64) Option { return func(x *Executor) { x.memory.limit = bytes } }

// WithMaxConns limits the connections to the upstream, even if it announces more.
func WithMaxConns(n int) Option { return func(x *Executor) { x.maxConns = n } }

// WithCrashReporter sets the function that receives the suspect requests after a
// crash of the upstream. It must not block.
func WithCrashReporter(report func(*wire.Suspects)) Option {
	return func(x *Executor) { x.onCrash = report }
}

// New returns an executor without an upstream and starts its goroutines. Close
// stops them.
func New(source Source, opts ...Option) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		source:        source,
		clock:         clockwork.NewRealClock(),
		log:           logr.Discard(),
		scope:         tally.NoopScope,
		sink:          events.Discard{},
		probeAfter:    defaultProbeAfter,
		hardTimeout:   defaultHardTimeout,
		maxConns:      defaultMaxConns,
		onCrash:       func(*wire.Suspects) {},
		memory:        memoryBudget{limit: defaultMemory},
		inflight:      newInflightTracker(),
		probeRequests: ring.New[probeRequest](maxProbeRequests),
		stop:          cancel,
		done:          make(chan struct{}),
	}
	for _, opt := range opts {
		opt(x)
	}
	x.counts = newCounters(x.scope)
	watched, probed := make(chan struct{}), make(chan struct{})
	ticker := x.clock.NewTicker(watchInterval)
	go func() {
		defer close(watched)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				x.checkInflight()
			}
		}
	}()
	go func() {
		defer close(probed)
		for {
			report, err := x.probeRequests.Get(ctx)
			if err != nil {
				return
			}
			x.handleProbeRequest(ctx, report)
		}
	}()
	go func() {
		defer close(x.done)
		<-watched
		<-probed
	}()
	return x
}

// Close stops the executor's goroutines and closes its connections. Calls in
// flight end with an unknown outcome.
func (x *Executor) Close() error {
	x.stop()
	<-x.done
	x.Cut()
	if t := x.target.Load(); t != nil {
		t.close()
	}
	return nil
}

// Run implements calls.Executor.
func (x *Executor) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	f := &inflightCall{executor: x, call: call}
	defer f.releaseBody()
	reply, err := f.run(ctx)
	if err != nil {
		x.counts.count(err)
		return nil, err
	}
	x.counts.answered.Inc(1)
	return reply, nil
}

// Stop refuses new calls for the shards. It calls idle once, when none of them
// has a call in flight. A shard stays stopped until Resume.
func (x *Executor) Stop(shards []ident.Shard, idle func([]ident.Shard)) {
	x.inflight.stopShards(shards, idle)
}

// Resume accepts new calls for the shards again.
func (x *Executor) Resume(shards []ident.Shard) { x.inflight.resume(shards) }

// Drain refuses all new calls. It calls idle once, when no call is in flight.
func (x *Executor) Drain(idle func()) { x.inflight.drain(idle) }

// Inflight returns the number of calls in flight. It includes calls that ended
// without an answer and may still run at an upstream that does not check fencing
// tokens.
func (x *Executor) Inflight() int { return x.inflight.total() }

// Until returns the latest time at which an upstream that does not check fencing
// tokens may still act on a call of this member, or the zero time if there is no
// such call.
func (x *Executor) Until() time.Time { return x.inflight.busyUntil() }

// Cut closes all connections to the upstream. Calls in flight end with an
// unknown outcome.
func (x *Executor) Cut() {
	x.inflight.cancelAll(errCut)
	if t := x.target.Load(); t != nil {
		t.closeConns()
	}
}

// counters counts calls by outcome.
type counters struct {
	answered, notRun, unknown, silent, fenced tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		answered: scope.Counter("upstream_answered"),
		notRun:   scope.Counter("upstream_not_run"),
		unknown:  scope.Counter("upstream_unknown"),
		silent:   scope.Counter("upstream_silent"),
		fenced:   scope.Counter("upstream_fenced"),
	}
}

func (c *counters) count(err error) {
	if calls.AsError(err).Outcome() == calls.NotRun {
		c.notRun.Inc(1)
		return
	}
	c.unknown.Inc(1)
}
