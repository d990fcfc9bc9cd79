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
	defaultSilence  = time.Second
	defaultHard     = 15 * time.Second
	defaultDial     = time.Second
	defaultIdle     = 20 * time.Second
	defaultConns    = 100
	watchTime       = 100 * time.Millisecond
	maxLossReports  = 64
	maxAnswerHeader = 64 << 10 // bytes
)

// Executor runs calls at the upstream beside the daemon.
type Executor struct {
	source     Source
	clock      clockwork.Clock
	log        logr.Logger
	scope      tally.Scope
	sink       events.Sink
	since      func(ident.Shard) (ident.Epoch, bool)
	host       ident.Host
	gate       *admit.Gate
	meter      *admit.Meter
	journal    *journl.Journal
	quarantine *poison.Quarantine
	tripper    http.RoundTripper
	silence    time.Duration
	hard       time.Duration
	conns      int
	crashed    func(*wire.Suspects)

	target  atomic.Pointer[target]
	flights *flights
	memory  memory
	losses  *ring.Ring[loss]
	stop    context.CancelFunc
	done    chan struct{}
	counts  counters
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

// WithSince sets what tells the epoch at which this member's present, unbroken
// holding of a shard began. Without it any change of a shard's epoch counts as
// a change of owner.
func WithSince(since func(ident.Shard) (ident.Epoch, bool)) Option {
	return func(x *Executor) { x.since = since }
}

// WithEvents sets where the time line's events go.
func WithEvents(sink events.Sink) Option { return func(x *Executor) { x.sink = sink } }

// WithHost names the daemon's host in answers and crash reports.
func WithHost(host ident.Host) Option { return func(x *Executor) { x.host = host } }

// WithGate sets the admission; without one every call is admitted.
func WithGate(gate *admit.Gate) Option { return func(x *Executor) { x.gate = gate } }

// WithMeter sets what measures the load of each shard.
func WithMeter(meter *admit.Meter) Option { return func(x *Executor) { x.meter = meter } }

// WithJournal sets the journal of idempotency keys.
func WithJournal(j *journl.Journal) Option { return func(x *Executor) { x.journal = j } }

// WithQuarantine sets what refuses requests that crash upstreams.
func WithQuarantine(q *poison.Quarantine) Option { return func(x *Executor) { x.quarantine = q } }

// WithRoundTripper replaces the HTTP transport. Every error of it counts as an
// unknown outcome.
func WithRoundTripper(t http.RoundTripper) Option { return func(x *Executor) { x.tripper = t } }

// WithSilence sets after which time without a byte a connection is compared
// with a new one, and after which time its call is given up.
func WithSilence(probe, hard time.Duration) Option {
	return func(x *Executor) { x.silence, x.hard = probe, hard }
}

// WithMemory bounds the bytes of large bodies and answers that are held so that
// slow callers do not take the upstream's slots.
func WithMemory(bytes int64) Option { return func(x *Executor) { x.memory.limit = bytes } }

// WithConns bounds the connections to the upstream, also where it announces more.
func WithConns(n int) Option { return func(x *Executor) { x.conns = n } }

// WithCrashes sets who is given the suspects after a crash of the upstream. It
// must not block.
func WithCrashes(report func(*wire.Suspects)) Option {
	return func(x *Executor) { x.crashed = report }
}

// New returns an executor without an upstream. Close ends it.
func New(source Source, opts ...Option) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		source:  source,
		clock:   clockwork.NewRealClock(),
		log:     logr.Discard(),
		scope:   tally.NoopScope,
		sink:    events.Discard{},
		silence: defaultSilence,
		hard:    defaultHard,
		conns:   defaultConns,
		crashed: func(*wire.Suspects) {},
		memory:  memory{limit: defaultMemory},
		flights: newFlights(),
		losses:  ring.New[loss](maxLossReports),
		stop:    cancel,
		done:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(x)
	}
	x.counts = newCounters(x.scope)
	watched, probed := make(chan struct{}), make(chan struct{})
	ticker := x.clock.NewTicker(watchTime)
	go func() {
		defer close(watched)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				x.watch()
			}
		}
	}()
	go func() {
		defer close(probed)
		for {
			report, err := x.losses.Get(ctx)
			if err != nil {
				return
			}
			x.examine(ctx, report)
		}
	}()
	go func() {
		defer close(x.done)
		<-watched
		<-probed
	}()
	return x
}

// Close ends the executor's goroutines and connections. Calls in flight end as
// unknown.
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
	f := &flight{x: x, call: call}
	defer f.releaseBody()
	reply, err := f.run(ctx)
	if err != nil {
		x.counts.count(err)
		return nil, err
	}
	x.counts.answered.Inc(1)
	return reply, nil
}

// Stop ends new work on shards. Idle is called once, when none of them has a
// call in flight. A shard stays stopped until Resume.
func (x *Executor) Stop(shards []ident.Shard, idle func([]ident.Shard)) {
	x.flights.stopShards(shards, idle)
}

// Resume lets shards take new work again.
func (x *Executor) Resume(shards []ident.Shard) { x.flights.resume(shards) }

// Drain ends all new work. Idle is called once, when no call is in flight.
func (x *Executor) Drain(idle func()) { x.flights.drain(idle) }

// Inflight returns the number of calls in flight, those among them that may
// still run at an upstream that checks no tokens included.
func (x *Executor) Inflight() int { return x.flights.total() }

// Until returns the latest time at which an upstream that checks no tokens may
// still act for this member; the zero time when nothing is under way.
func (x *Executor) Until() time.Time { return x.flights.until() }

// Cut closes all connections to the upstream. Calls in flight end as unknown.
func (x *Executor) Cut() {
	x.flights.cancelAll(errCut)
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
