package peers

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Default settings of a Quic transport.
const (
	// DefaultProbeTimeout is how long a connection may leave a probe unanswered before it is
	// closed.
	DefaultProbeTimeout = time.Second
	// DefaultDialTimeout is the time allowed for opening a connection.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is how long an unused connection stays open. It is long because
	// opening a connection costs more bytes than keeping one open for ten minutes.
	DefaultIdleTimeout = 10 * time.Minute
	// DefaultMaxStreams is the number of calls that one peer may have in flight.
	DefaultMaxStreams = 512
	// DefaultMaxCalls is the number of calls from all peers that are served at once.
	DefaultMaxCalls = 8192
)

// Option configures a Quic transport.
type Option func(*options)

// PeerStateFunc is called when a host becomes reachable or unreachable. It must not block.
type PeerStateFunc func(host ident.Host, up bool)

type options struct {
	self         func() ident.Incarnation
	clock        clockwork.Clock
	log          logr.Logger
	scope        tally.Scope
	onPeerState  PeerStateFunc
	probeTimeout time.Duration
	dialTimeout  time.Duration
	idleTimeout  time.Duration
	maxStreams   int
	maxCalls     int
	needsConfirm func(*calls.Call) bool
}

func newOptions(opts []Option) options {
	o := options{
		self:         func() ident.Incarnation { return ident.Incarnation{} },
		clock:        clockwork.NewRealClock(),
		log:          logr.Discard(),
		scope:        tally.NoopScope,
		onPeerState:  func(ident.Host, bool) {},
		probeTimeout: DefaultProbeTimeout,
		dialTimeout:  DefaultDialTimeout,
		idleTimeout:  DefaultIdleTimeout,
		maxStreams:   DefaultMaxStreams,
		maxCalls:     DefaultMaxCalls,
		needsConfirm: func(c *calls.Call) bool { return !c.IsIdempotent() },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithSelf sets the function that returns the current incarnation of this daemon.
// Control messages addressed to another incarnation are dropped. Without this option
// only messages that name no receiver are accepted.
func WithSelf(self func() ident.Incarnation) Option {
	return func(o *options) { o.self = self }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option {
	return func(o *options) { o.scope = scope }
}

// WithPeerState sets the function that is called when a peer becomes reachable or
// unreachable.
func WithPeerState(state PeerStateFunc) Option {
	return func(o *options) { o.onPeerState = state }
}

// WithProbeTimeout sets how long a connection may leave a probe unanswered before it is
// closed. The default is DefaultProbeTimeout.
func WithProbeTimeout(d time.Duration) Option {
	return func(o *options) { o.probeTimeout = d }
}

// WithDialTimeout sets the time allowed for opening a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(o *options) { o.dialTimeout = d }
}

// WithIdleTimeout sets how long an unused connection stays open.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *options) { o.idleTimeout = d }
}

// WithMaxStreams sets how many calls one peer may have in flight at this transport.
func WithMaxStreams(n int) Option {
	return func(o *options) { o.maxStreams = n }
}

// WithMaxCalls sets how many calls from all peers together are served at once.
func WithMaxCalls(n int) Option {
	return func(o *options) { o.maxCalls = n }
}

// WithConfirm selects the calls whose header the peer must confirm before the body is
// sent. This costs a round trip, but proves that a call lost before the confirmation has
// not run. By default these are the calls that are not idempotent.
func WithConfirm(confirm func(*calls.Call) bool) Option {
	return func(o *options) { o.needsConfirm = confirm }
}
