package klog

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// timeLayout is the RFC 3339 format with microseconds; times are formatted in UTC.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

// maxValueBytes is the maximum length of a value in bytes; longer values are truncated.
const maxValueBytes = 4 << 10

// Option configures a logger.
type Option func(*output)

// WithClock sets the clock for the timestamps of the lines; the real clock by default.
func WithClock(clock clockwork.Clock) Option {
	return func(o *output) { o.clock = clock }
}

// WithLevel sets the highest V-level that is written; 0 by default.
func WithLevel(level int) Option {
	return func(o *output) { o.level = level }
}

// New returns a logger that writes each line to w in a single Write. Errors of w
// are ignored, because a daemon must not fail when its log can't be written.
func New(w io.Writer, opts ...Option) logr.Logger {
	o := &output{w: w, clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(o)
	}
	o.enc = logfmt.NewEncoder(&o.buf)
	return logr.New(&sink{out: o})
}

// output is the encoder and writer shared by all sinks derived from one logger.
type output struct {
	clock clockwork.Clock
	level int

	mu  sync.Mutex // guards buf and enc and serialises writes to w
	w   io.Writer
	buf lineBuffer
	enc *logfmt.Encoder
}

// lineBuffer holds the encoded line; its memory is reused for the next line.
type lineBuffer struct{ data []byte }

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.data = append(b.data, p...)
	return len(p), nil
}

// sink implements logr.LogSink.
type sink struct {
	out    *output
	name   string
	values []any
}

var _ logr.LogSink = (*sink)(nil)

// Init implements logr.LogSink.
func (s *sink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (s *sink) Enabled(level int) bool { return level <= s.out.level }

// Info implements logr.LogSink.
func (s *sink) Info(level int, msg string, keysAndValues ...any) {
	levelName := "info"
	if level > 0 {
		levelName = "debug"
	}
	s.write(levelName, msg, nil, keysAndValues)
}

// Error implements logr.LogSink.
func (s *sink) Error(err error, msg string, keysAndValues ...any) {
	s.write("error", msg, err, keysAndValues)
}

// WithValues implements logr.LogSink.
func (s *sink) WithValues(keysAndValues ...any) logr.LogSink {
	next := *s
	next.values = slices.Concat(s.values, keysAndValues)
	return &next
}

// WithName implements logr.LogSink.
func (s *sink) WithName(name string) logr.LogSink {
	next := *s
	if s.name != "" {
		name = s.name + "." + name
	}
	next.name = name
	return &next
}

// write encodes one event and writes it as a line. Values of the logger precede those
// of the event. An event that cannot be encoded is dropped.
func (s *sink) write(level, msg string, err error, pairs []any) {
	o := s.out
	now := o.clock.Now().UTC().Format(timeLayout)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buf.data = o.buf.data[:0]
	o.enc.Reset()
	o.encodePair("time", now)
	o.encodePair("level", level)
	if s.name != "" {
		o.encodePair("logger", s.name)
	}
	o.encodePair("msg", msg)
	o.encodePairs(s.values)
	o.encodePairs(pairs)
	if err != nil {
		o.encodePair("err", err.Error())
	}
	if o.enc.EndRecord() != nil {
		return
	}
	_, _ = o.w.Write(o.buf.data)
}

// encodePairs encodes alternating keys and values. Keys that are not strings are
// formatted; a last key without a value gets the value "missing".
func (o *output) encodePairs(pairs []any) {
	for i := 0; i < len(pairs); i += 2 {
		key, ok := pairs[i].(string)
		if !ok {
			key = fmt.Sprint(pairs[i])
		}
		if i+1 == len(pairs) {
			o.encodePair(key, "missing")
			return
		}
		o.encodePair(key, pairs[i+1])
	}
}

// encodePair encodes a key and its value, truncated to maxValueBytes.
func (o *output) encodePair(key string, value any) {
	text := formatValue(value)
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes]
	}
	if o.enc.EncodeKeyval(key, text) != nil {
		// The encoder rejects a key that has no valid character; the value is
		// logged under a substitute key.
		_ = o.enc.EncodeKeyval("badkey", text)
	}
}

// formatValue returns the text of a value.
func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case logr.Marshaler:
		return fmt.Sprint(v.MarshalLog())
	case time.Time:
		return v.UTC().Format(timeLayout)
	case error:
		return callOrNil(v.Error)
	case fmt.Stringer:
		return callOrNil(v.String)
	}
	return fmt.Sprint(value)
}

// callOrNil returns the result of f, or "nil" if f panics, as methods may do on a
// nil receiver.
func callOrNil(f func() string) (text string) {
	defer func() {
		if recover() != nil {
			text = "nil"
		}
	}()
	return f()
}
