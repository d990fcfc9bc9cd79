package stream

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Defaults.
const (
	// DefaultWait is how long the log holds a read without new records.
	DefaultWait = 2 * time.Second
	// DefaultTimeout is how long an append may take, and a read beyond its wait.
	DefaultTimeout = 2 * time.Second
	// DefaultMax is the number of records in one read.
	DefaultMax = 256
	// DefaultPending is the number of records that a writer holds.
	DefaultPending = 1024

	defaultBackoffMin = 50 * time.Millisecond
	defaultBackoffMax = 2 * time.Second
)

// Option sets a detail of a Client, Mem or Writer; each says which.
type Option func(*options)

type options struct {
	clock      clockwork.Clock
	log        logr.Logger
	scope      tally.Scope
	state      func(State)
	from       uint64
	wait       time.Duration
	timeout    time.Duration
	batch      int
	transport  http.RoundTripper
	backoffMin time.Duration
	backoffMax time.Duration
	budget     *Budget
	pending    int
	acked      func(ident.RecordID, uint64)
}

// WithClock sets the clock (Client, Mem, Writer).
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger (Client, Writer).
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithScope sets where metrics go (Client, Writer).
func WithScope(scope tally.Scope) Option {
	return func(o *options) { o.scope = scope }
}

// WithState sets what is called when a topic's reader finds the log up or
// down (Client, Mem). It is called from the reader's goroutine, before the
// messages that follow, and must not block.
func WithState(state func(State)) Option {
	return func(o *options) { o.state = state }
}

// WithFrom sets the offset where subscriptions start whose context has none
// (Client, Mem).
func WithFrom(offset uint64) Option {
	return func(o *options) { o.from = offset }
}

// WithWait sets how long the log holds a read without new records (Client).
func WithWait(wait time.Duration) Option {
	return func(o *options) { o.wait = wait }
}

// WithTimeout sets how long an append may take, and a read beyond its wait
// (Client).
func WithTimeout(timeout time.Duration) Option {
	return func(o *options) { o.timeout = timeout }
}

// WithMax sets the number of records in one read (Client).
func WithMax(records int) Option {
	return func(o *options) { o.batch = records }
}

// WithTransport sets what carries the requests (Client).
func WithTransport(transport http.RoundTripper) Option {
	return func(o *options) { o.transport = transport }
}

// WithBackoff bounds the time between attempts (Client, Writer).
func WithBackoff(shortest, longest time.Duration) Option {
	return func(o *options) { o.backoffMin, o.backoffMax = shortest, longest }
}

// WithBudget sets the budget of appends (Writer). Writers of one daemon share
// one budget.
func WithBudget(budget *Budget) Option {
	return func(o *options) { o.budget = budget }
}

// WithPending sets the number of records that wait or are under way (Writer).
func WithPending(records int) Option {
	return func(o *options) { o.pending = records }
}

// WithAcked sets what is called when the log has acknowledged a record
// (Writer). It is called from the writer's goroutine and must not block.
func WithAcked(acked func(id ident.RecordID, offset uint64)) Option {
	return func(o *options) { o.acked = acked }
}

func newOptions(opts []Option) options {
	o := options{
		clock:      clockwork.NewRealClock(),
		log:        logr.Discard(),
		scope:      tally.NoopScope,
		state:      func(State) {},
		wait:       DefaultWait,
		timeout:    DefaultTimeout,
		batch:      DefaultMax,
		backoffMin: defaultBackoffMin,
		backoffMax: defaultBackoffMax,
		pending:    DefaultPending,
		acked:      func(ident.RecordID, uint64) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
