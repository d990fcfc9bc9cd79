package upconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept when the upstream does
	// not announce its own idle timeout.
	defaultIdleTimeout = 5 * time.Second
	// maxNonRepeatableIdle is the longest time that a connection may have been idle
	// before it carries a call that must not run twice. An upstream that has silently
	// closed an idle connection resets it when the call arrives, and then nothing
	// proves that the call did not run.
	maxNonRepeatableIdle = 250 * time.Millisecond
	// maxIdleConns is the largest number of idle connections that are kept.
	maxIdleConns = 64
)

// Pool is a pool of connections to one upstream. It is safe for concurrent use.
type Pool struct {
	addr    string
	dialect Dialect
	clock   clockwork.Clock
	log     logr.Logger
	dialer  *net.Dialer
	onDown  func(sure bool)
	// onSlowness receives the slowness in answers.
	onSlowness func(value float64)
	counts     counters

	mu sync.Mutex
	// idle holds the idle connections; the one used last is at the end.
	idle []*conn
	// generation is incremented by Reset. Connections of an earlier generation are
	// not reused.
	generation uint64
	// learnedIdleTimeout is an upper bound for the time that a connection may be idle
	// and still be reused. It is derived from silently closed connections; zero means
	// that none was found.
	learnedIdleTimeout time.Duration
}

// Option configures a Pool.
type Option func(*Pool)

// WithClock sets the clock for deadlines and idle times.
func WithClock(clock clockwork.Clock) Option { return func(p *Pool) { p.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(p *Pool) { p.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(p *Pool) { p.counts = newCounters(scope) } }

// WithDown sets a function that is called when a connection to the upstream can't be
// opened. The argument sure is set when the connection was refused, since then nothing
// listens at the address.
func WithDown(down func(sure bool)) Option { return func(p *Pool) { p.onDown = down } }

// WithSlowness sets a function that receives how long work takes at the upstream at
// present, in proportion to the usual time, with each answer that says so. The dialect
// must implement LoadDialect.
func WithSlowness(report func(value float64)) Option { return func(p *Pool) { p.onSlowness = report } }

// New returns a pool of connections to the upstream at addr. It opens connections on
// demand.
func New(addr string, dialect Dialect, opts ...Option) *Pool {
	p := &Pool{
		addr: addr, dialect: dialect,
		clock: clockwork.NewRealClock(), log: logr.Discard(),
		dialer: &net.Dialer{
			Timeout: dialTimeout, Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1},
		},
		onDown: func(bool) {}, onSlowness: func(float64) {}, counts: newCounters(tally.NoopScope),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

type counters struct {
	dialed, reused, stale, garbage, lost, badLoad tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		dialed:  scope.Counter("upconn_dialed"),
		reused:  scope.Counter("upconn_reused"),
		stale:   scope.Counter("upconn_stale_answers"),
		garbage: scope.Counter("upconn_garbage"),
		lost:    scope.Counter("upconn_lost"),
		badLoad: scope.Counter("upconn_bad_load"),
	}
}

// Reset closes all idle connections and makes the pool close those in use instead of
// reusing them. It is meant for a restart of the upstream and for connections that
// have become unresponsive.
func (p *Pool) Reset() {
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
	p.Reset()
	return nil
}

// get returns a connection for a call: an idle one without pending input on which the call
// was not refused before, or else a new one. For a call that must not run twice, it reuses
// only a connection that was idle for at most maxNonRepeatableIdle.
func (p *Pool) get(ctx context.Context, call *calls.Call) (*conn, *calls.Error) {
	for {
		c := p.popIdle(call)
		if c == nil {
			return p.dial(ctx)
		}
		if c.hasNoInput() {
			p.counts.reused.Inc(1)
			return c, nil
		}
		_ = c.Close()
	}
}

// popIdle removes the most recently used idle connection on which the call was not refused
// from the pool and returns it. It returns nil if that connection has been idle for too
// long. It then closes it and those that have been idle for longer, if the call is
// repeatable. Otherwise it keeps them for repeatable calls, whose limit can be higher.
func (p *Pool) popIdle(call *calls.Call) *conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.lastUsed) > p.idleLimit(c, call.Terms.Repeatable) {
			if call.Terms.Repeatable {
				p.closeOldest(i + 1)
			}
			return nil
		}
		if !c.refused[call.ID] {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// idleLimit returns how long a connection may have been idle before it carries a call. The
// pool's mutex must be held.
func (p *Pool) idleLimit(c *conn, repeatable bool) time.Duration {
	limit := c.idleTimeout
	if p.learnedIdleTimeout > 0 {
		limit = min(limit, p.learnedIdleTimeout)
	}
	if !repeatable {
		limit = min(limit, maxNonRepeatableIdle)
	}
	return limit
}

// closeOldest closes the n connections that have been idle longest. The pool's mutex must
// be held.
func (p *Pool) closeOldest(n int) {
	for _, c := range p.idle[:n] {
		_ = c.Close()
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// put returns a connection to the pool. It closes the connection if its generation is
// outdated, and the connection that has been idle longest if there are too many.
func (p *Pool) put(c *conn) {
	c.lastUsed, c.unused = p.clock.Now(), false
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.generation != p.generation {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdleConns {
		p.closeOldest(1)
	}
}

// recordSilentClose lowers learnedIdleTimeout to three quarters of the given idle time,
// but to no less than 10 ms, after the upstream has silently closed a connection that
// was idle for that time.
func (p *Pool) recordSilentClose(idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idleTime < p.learnedIdleTimeout || p.learnedIdleTimeout == 0 {
		p.learnedIdleTimeout = max(idleTime*3/4, 10*time.Millisecond)
		p.log.Info("upstream forgets idle connections", "age", idleTime.String(), "kept", p.learnedIdleTimeout.String())
	}
}

// dial opens a new connection. Its error has the outcome NotRun, since nothing was
// sent.
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
		p.log.Info("can't connect to upstream", "addr", p.addr, "refused", sure, "err", err.Error())
		p.onDown(sure)
		return nil, calls.NewNotRun(calls.ReasonUpstreamDown, calls.WithCause(fmt.Errorf("connect to upstream: %w", err)))
	}
	p.counts.dialed.Inc(1)
	return newConn(c, generation), nil
}
