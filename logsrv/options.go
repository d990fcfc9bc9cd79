package logsrv

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// Limits are what the log keeps to.
type Limits struct {
	// Rate is the number of appends a second that all streams together take.
	Rate float64 `json:"rate"`
	// Age and Count bound what a stream keeps.
	Age   time.Duration `json:"age"`
	Count int           `json:"count"`
	// Bytes bounds what all streams together keep.
	Bytes int `json:"bytes"`
}

// Defaults of the limits.
const (
	DefaultRate  = 400.0
	DefaultAge   = time.Hour
	DefaultCount = 100_000
	DefaultBytes = 64 << 20
)

// Option sets a detail of a Server or Log.
type Option func(*options)

type options struct {
	clock   clockwork.Clock
	log     logr.Logger
	limits  Limits
	faults  Faults
	control bool
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger for changes of faults and limits.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithRate sets the append rate for all streams together, in records a second.
func WithRate(perSecond float64) Option {
	return func(o *options) { o.limits.Rate = perSecond }
}

// WithRetention sets for how long and how many records a stream keeps.
func WithRetention(age time.Duration, count int) Option {
	return func(o *options) { o.limits.Age, o.limits.Count = age, count }
}

// WithBytes bounds the memory that records take, in bytes.
func WithBytes(n int) Option {
	return func(o *options) { o.limits.Bytes = n }
}

// WithFaults sets the faults in force from the start.
func WithFaults(f Faults) Option {
	return func(o *options) { o.faults = f }
}

// WithControl lets POST /control change faults and limits.
func WithControl() Option {
	return func(o *options) { o.control = true }
}

func newOptions(opts []Option) options {
	o := options{
		clock:  clockwork.NewRealClock(),
		log:    logr.Discard(),
		limits: Limits{Rate: DefaultRate, Age: DefaultAge, Count: DefaultCount, Bytes: DefaultBytes},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
