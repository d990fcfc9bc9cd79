package upconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

const (
	// defaultIdle is how long an unused connection is kept when the upstream does
	// not say how long it keeps one.
	defaultIdle = 5 * time.Second
	// freshAge is the age up to which an idle connection carries a call that must
	// not run twice: an upstream that forgets idle connections resets the call,
	// and nothing proves that it did not run.
	freshAge = 250 * time.Millisecond
	// maxIdle is the number of unused connections that are kept.
	maxIdle = 64
)

// Pool holds the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	addr    string
	dialect Dialect
	clock   clockwork.Clock
	log     logr.Logger
	dialer  *net.Dialer
	down    func(sure bool)
	counts  counters

	mu         sync.Mutex
	idle       []*conn
	generation uint64
	// patience is the age at which idle connections were found forgotten lately.
	patience time.Duration
}

// Option changes a Pool.
type Option func(*Pool)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(p *Pool) { p.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(p *Pool) { p.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(p *Pool) { p.counts = newCounters(scope) } }

// WithDown sets who is told that the upstream can't be reached. Sure is set when
// nothing listens at its address.
func WithDown(down func(sure bool)) Option { return func(p *Pool) { p.down = down } }

// New returns the pool of an upstream's address.
func New(addr string, dialect Dialect, opts ...Option) *Pool {
	p := &Pool{
		addr: addr, dialect: dialect,
		clock: clockwork.NewRealClock(), log: logr.Discard(),
		dialer: &net.Dialer{
			Timeout: dialTime, Control: limitUnacked,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeTime, Interval: probeTime, Count: 1},
		},
		down: func(bool) {}, counts: newCounters(tally.NoopScope),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

type counters struct {
	dialed, reused, stale, garbage, lost tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		dialed:  scope.Counter("upconn_dialed"),
		reused:  scope.Counter("upconn_reused"),
		stale:   scope.Counter("upconn_stale_answers"),
		garbage: scope.Counter("upconn_garbage"),
		lost:    scope.Counter("upconn_lost"),
	}
}

// Renew closes all idle connections and keeps those in use from coming back, for
// a new life of the upstream or after connections have gone silent.
func (p *Pool) Renew() {
	p.mu.Lock()
	p.generation++
	old := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	p.Renew()
	return nil
}

// get returns a connection for a call. A call that must not run twice gets one
// that was used just now, or a new one.
func (p *Pool) get(ctx context.Context, repeatable bool) (*conn, *calls.Error) {
	for {
		c := p.takeIdle(repeatable)
		if c == nil {
			return p.dial(ctx)
		}
		if c.isQuiet() {
			p.counts.reused.Inc(1)
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle returns the idle connection that was used last, if it is young enough.
func (p *Pool) takeIdle(repeatable bool) *conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	limit := c.keep
	if p.patience > 0 {
		limit = min(limit, p.patience)
	}
	if !repeatable {
		limit = min(limit, freshAge)
	}
	if now.Sub(c.used) > limit {
		if repeatable {
			p.closeIdle()
		}
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

// closeIdle closes the idle connections, all of which are too old.
func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// put keeps a connection for later calls.
func (p *Pool) put(c *conn) {
	c.used, c.fresh = p.clock.Now(), false
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.generation != p.generation {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdle {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// forgotten learns that the upstream had dropped a connection of the given idle
// age without a word.
func (p *Pool) forgotten(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if age < p.patience || p.patience == 0 {
		p.patience = max(age*3/4, 10*time.Millisecond)
		p.log.Info("upstream forgets idle connections", "age", age.String(), "kept", p.patience.String())
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, *calls.Error) {
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	c, err := p.dialer.DialContext(ctx, "tcp4", p.addr)
	if err != nil {
		if ctx.Err() != nil {
			return nil, calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(err))
		}
		sure := errors.Is(err, syscall.ECONNREFUSED)
		p.log.Info("upstream not reached", "addr", p.addr, "refused", sure, "err", err.Error())
		p.down(sure)
		return nil, calls.NewNotRun(calls.ReasonUpstreamDown, calls.WithCause(fmt.Errorf("connect to upstream: %w", err)))
	}
	p.counts.dialed.Inc(1)
	return newConn(c, generation), nil
}
