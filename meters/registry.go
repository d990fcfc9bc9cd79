package meters

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// DefaultMaxSeries is the default maximum number of series.
	DefaultMaxSeries = 4096
	// DefaultInterval is the default interval at which counters and gauges are
	// reported to the registry.
	DefaultInterval = time.Second
	// separator joins the prefix, scopes and name of a metric.
	separator = "_"
)

// Option configures a Registry.
type Option func(*Registry)

// WithPrefix sets the prefix of all metric names.
func WithPrefix(prefix string) Option {
	return func(r *Registry) { r.prefix = prefix }
}

// WithTags sets labels that are added to every series.
func WithTags(tags map[string]string) Option {
	return func(r *Registry) { r.tags = tags }
}

// WithInterval sets the interval at which counters and gauges are reported to the
// registry. With zero they are reported only by Close.
func WithInterval(d time.Duration) Option {
	return func(r *Registry) { r.interval = d }
}

// WithMaxSeries sets the maximum number of series. Further series are not rendered, but
// counted in meters_refused.
func WithMaxSeries(n int) Option {
	return func(r *Registry) { r.limit = n }
}

// Registry holds the metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	prefix   string
	tags     map[string]string
	interval time.Duration
	limit    int

	reporter *reporter
	scope    tally.Scope
	closer   io.Closer
}

// New returns an empty registry and starts its reporting goroutine, which Close stops.
func New(opts ...Option) *Registry {
	r := &Registry{interval: DefaultInterval, limit: DefaultMaxSeries}
	for _, opt := range opts {
		opt(r)
	}
	r.reporter = newReporter(r.limit)
	r.scope, r.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 r.prefix,
		Tags:                   r.tags,
		CachedReporter:         r.reporter,
		Separator:              separator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, r.interval)
	return r
}

// sanitizeOptions replaces characters in metric and label names other than letters,
// digits and underscores, as the Prometheus text format requires. Label values are
// not sanitized: they are escaped when they are rendered.
func sanitizeOptions() *tally.SanitizeOptions {
	nameCharacters := tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreCharacters,
	}
	return &tally.SanitizeOptions{
		NameCharacters:       nameCharacters,
		KeyCharacters:        nameCharacters,
		ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, maxRune}}},
		ReplacementCharacter: '_',
	}
}

// maxRune is the highest Unicode code point: label values may hold any character.
const maxRune = '\U0010FFFF'

// Scope returns the root scope, through which metrics are reported.
func (r *Registry) Scope() tally.Scope { return r.scope }

// WriteText writes the metrics in the Prometheus text format, sorted by name.
// Counters and gauges have their values as of the last reporting interval.
func (r *Registry) WriteText(w io.Writer) error {
	var b bytes.Buffer
	r.reporter.write(&b)
	if _, err := w.Write(b.Bytes()); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// Close reports the latest values to the registry and stops its goroutine.
func (r *Registry) Close() error {
	if err := r.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
