package daemon

import (
	"crypto/tls"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/stream"
)

// Option sets a detail of a Daemon.
type Option func(*options)

type options struct {
	clock   clockwork.Clock
	log     logr.Logger
	port    stream.Port
	tls     *tls.Config
	timings core.Timings
}

func newOptions(opts []Option) options {
	o := options{
		clock:   clockwork.NewRealClock(),
		log:     logr.Discard(),
		timings: core.DefaultTimings(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithLog sets the platform's log, in place of the one that the settings name.
func WithLog(port stream.Port) Option {
	return func(o *options) { o.port = port }
}

// WithTLS sets the keys towards peers, in place of the files that the settings
// name.
func WithTLS(config *tls.Config) Option {
	return func(o *options) { o.tls = config }
}

// WithTimings sets the intervals of the ownership protocol other than those
// that the settings give.
func WithTimings(t core.Timings) Option {
	return func(o *options) { o.timings = t }
}
