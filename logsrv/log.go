package logsrv

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/monsoonmoor/monsoonmoor/stream"
)

// Bounds on what one caller can ask for.
const (
	// MaxStreams is the number of streams that a log holds.
	MaxStreams = 64
	// MaxBatch is the number of records in one answer.
	MaxBatch = 1024
	// maxBatchBytes ends a batch early, after at least one record.
	maxBatchBytes = 1 << 20
)

// ErrStreams means that the log holds no further stream.
var ErrStreams = errors.New("too many streams")

// RateError reports that the append rate is exceeded.
type RateError struct {
	after time.Duration
}

// After returns when there is room for another append.
func (e *RateError) After() time.Duration { return e.after }

// Error implements error.
func (e *RateError) Error() string {
	return fmt.Sprintf("append rate exceeded: retry after %v", e.after)
}

// Log keeps streams in memory. It is safe for concurrent use.
type Log struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	limits  Limits
	limiter *rate.Limiter
	topics  map[string]*topic
	bytes   int
}

// NewLog returns an empty log.
func NewLog(opts ...Option) *Log {
	o := newOptions(opts)
	l := &Log{clock: o.clock, topics: make(map[string]*topic)}
	l.SetLimits(o.limits)
	return l
}

// SetLimits replaces the limits and drops what they no longer allow.
func (l *Log) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	burst := max(1, int(limits.Rate/burstShare))
	l.limiter = rate.NewLimiter(rate.Limit(limits.Rate), burst)
	for _, t := range l.topics {
		l.trim(t)
	}
}

// burstShare is the part of a second's appends that may come at once.
const burstShare = 4

// Limits returns the limits in force.
func (l *Log) Limits() Limits {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits
}

// Append adds a record to a stream and returns its offset. Errors are a
// *RateError, stream.ErrTooLarge or ErrStreams; none of them has an effect.
func (l *Log) Append(name string, data []byte) (uint64, error) {
	if len(data) > stream.MaxRecord {
		return 0, fmt.Errorf("append %d bytes: %w", len(data), stream.ErrTooLarge)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if !l.limiter.AllowN(now, 1) {
		return 0, &RateError{after: l.nextAppend(now)}
	}
	t, err := l.topic(name)
	if err != nil {
		return 0, fmt.Errorf("append to %q: %w", name, err)
	}
	offset := t.add(now, append([]byte(nil), data...))
	l.bytes += len(data)
	l.trim(t)
	l.trimBytes()
	return offset, nil
}

// Read returns the records of a stream from offset from on, at most limit of
// them. When there are none yet it waits for up to wait. An offset below the
// first kept record is a *stream.GapError; zero stands for that record.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (stream.Batch, error) {
	timer := l.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, wake, err := l.tryRead(name, from, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-wake:
		case <-timer.Chan():
			return batch, nil
		case <-ctx.Done():
			return batch, fmt.Errorf("wait for records of %q: %w", name, ctx.Err())
		}
	}
}

func (l *Log) tryRead(name string, from uint64, limit int) (stream.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, err := l.topic(name)
	if err != nil {
		return stream.Batch{}, nil, fmt.Errorf("read %q: %w", name, err)
	}
	l.trim(t)
	if from == 0 {
		from = t.first
	}
	if from < t.first {
		return stream.Batch{}, nil, &stream.GapError{First: t.first}
	}
	if limit <= 0 || limit > MaxBatch {
		limit = MaxBatch
	}
	return t.batch(from, limit), t.wake, nil
}

// Span returns the first kept offset of a stream and the next one.
func (l *Log) Span(name string) (first, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.topics[name]
	if !ok {
		return 1, 1
	}
	l.trim(t)
	return t.first, t.next()
}

// Trim drops the records of a stream below first.
func (l *Log) Trim(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.topics[name]; ok {
		for len(t.records) > 0 && t.first < first {
			l.bytes -= t.drop()
		}
	}
}

func (l *Log) topic(name string) (*topic, error) {
	if t, ok := l.topics[name]; ok {
		return t, nil
	}
	if len(l.topics) >= MaxStreams {
		return nil, ErrStreams
	}
	t := newTopic()
	l.topics[name] = t
	return t, nil
}

func (l *Log) trim(t *topic) {
	oldest := l.clock.Now().Add(-l.limits.Age).UnixMilli()
	for len(t.records) > l.limits.Count || len(t.records) > 0 && t.records[0].At < oldest {
		l.bytes -= t.drop()
	}
}

// trimBytes drops from the stream that keeps most until the bound is met.
func (l *Log) trimBytes() {
	for l.bytes > l.limits.Bytes {
		var most *topic
		for _, t := range l.topics {
			if most == nil || t.bytes > most.bytes {
				most = t
			}
		}
		l.bytes -= most.drop()
	}
}

func (l *Log) nextAppend(now time.Time) time.Duration {
	r := l.limiter.ReserveN(now, 1)
	defer r.CancelAt(now)
	return r.DelayFrom(now)
}
