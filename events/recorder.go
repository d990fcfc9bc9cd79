package events

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/go-logr/logr"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/ring"
)

// Limits of a Recorder.
const (
	// DefaultCapacity is the default number of events that a Recorder keeps.
	DefaultCapacity = 4096
	// highRateDivisor is the divisor that gives the share of the capacity reserved for
	// highRateKinds: one fourth. Load can cause these events at any rate.
	highRateDivisor = 4
	// MaxNoteBytes is the maximum length of a recorded note in bytes; longer notes are
	// truncated.
	MaxNoteBytes = 256
	// logQueueSize is the maximum number of events queued for the log.
	logQueueSize = 1024
)

// RecorderOption configures a Recorder.
type RecorderOption func(*Recorder)

// WithCapacity sets the number of events that the recorder keeps.
func WithCapacity(n int) RecorderOption {
	return func(r *Recorder) { r.capacity = max(1, n) }
}

// WithLogger logs each event as one line from a separate goroutine. When the log
// cannot keep up, the oldest queued lines are dropped and counted by Dropped; the
// recorder still keeps the events.
func WithLogger(log logr.Logger) RecorderOption {
	return func(r *Recorder) {
		r.log = log
		r.logQueue = ring.NewDropping[Event](logQueueSize)
	}
}

// highRateKinds are the kinds that load can cause at any rate. They have a ring
// buffer of their own, so that a burst of them does not overwrite the events that explain ownership.
var highRateKinds = []Kind{KindShed, KindLimit, KindLease}

// Recorder is the Sink of one daemon: it keeps the newest events, numbered in
// sequence, in two ring buffers of bounded size that overwrite their oldest events
// when full. It is safe for concurrent use.
type Recorder struct {
	host     ident.Host
	clock    *Clock
	capacity int
	log      logr.Logger
	logQueue *ring.Ring[Event]
	stop     context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex
	regular  eventRing
	highRate eventRing
	next     uint64
}

// eventRing is a ring buffer that keeps the newest events up to capacity. count is
// the number of events ever added.
type eventRing struct {
	items    []sequencedEvent
	capacity int
	count    int
}

// sequencedEvent is an event with its sequence number.
type sequencedEvent struct {
	n uint64
	e Event
}

// add adds an event and overwrites the oldest one when the buffer is full.
func (s *eventRing) add(item sequencedEvent) {
	if len(s.items) < s.capacity {
		s.items = append(s.items, item)
	} else {
		s.items[s.count%s.capacity] = item
	}
	s.count++
}

// appendSince appends the events with sequence number n or above to list, oldest first.
func (s *eventRing) appendSince(n uint64, list []sequencedEvent) []sequencedEvent {
	oldest := s.count - len(s.items)
	for i := oldest; i < s.count; i++ {
		if item := s.items[i%s.capacity]; item.n >= n {
			list = append(list, item)
		}
	}
	return list
}

var _ Sink = (*Recorder)(nil)

// NewRecorder returns a recorder for the daemon of a host. With a logger it starts a
// goroutine, which Close ends.
func NewRecorder(host ident.Host, clock *Clock, opts ...RecorderOption) *Recorder {
	r := &Recorder{
		host:     host,
		clock:    clock,
		capacity: DefaultCapacity,
		done:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.highRate.capacity = max(1, r.capacity/highRateDivisor)
	r.regular.capacity = max(1, r.capacity-r.highRate.capacity)
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	if r.logQueue == nil {
		close(r.done)
		return r
	}
	go func() {
		defer close(r.done)
		for {
			e, err := r.logQueue.Get(ctx)
			if err != nil {
				return
			}
			logEvent(r.log, e)
		}
	}()
	return r
}

// Emit implements Sink. It sets the stamp and the host of the event, truncates its
// note to MaxNoteBytes and raises Last to at least First.
func (r *Recorder) Emit(e Event) {
	e.Host = r.host
	e.Last = max(e.First, e.Last)
	if len(e.Note) > MaxNoteBytes {
		// A substring would keep the whole long note in memory, so it is copied.
		e.Note = strings.Clone(e.Note[:MaxNoteBytes])
	}
	r.mu.Lock()
	// The stamp is read under the lock, so that stamps increase with sequence
	// numbers.
	e.Clock = r.clock.Now()
	if slices.Contains(highRateKinds, e.Kind) {
		r.highRate.add(sequencedEvent{n: r.next, e: e})
	} else {
		r.regular.add(sequencedEvent{n: r.next, e: e})
	}
	r.next++
	r.mu.Unlock()
	if r.logQueue != nil {
		r.logQueue.Put(e)
	}
}

// Since returns the recorded events with sequence number n or above that match f. A
// nil filter matches all events. Batch.Lost counts overwritten events of any kind,
// whether or not f would match them.
func (r *Recorder) Since(n uint64, f *Filter) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.highRate.appendSince(n, r.regular.appendSince(n, nil))
	slices.SortFunc(kept, func(a, b sequencedEvent) int { return cmp.Compare(a.n, b.n) })
	b := Batch{Host: r.host, First: n, Next: r.next}
	if r.next > n {
		b.Lost = r.next - n - uint64(len(kept))
	}
	for _, item := range kept {
		if f.Match(item.e) {
			b.Events = append(b.Events, item.e)
		}
	}
	return b
}

// Dropped returns the number of log lines dropped so far because the log could not
// keep up.
func (r *Recorder) Dropped() uint64 {
	if r.logQueue == nil {
		return 0
	}
	return r.logQueue.Dropped()
}

// Close stops the logging goroutine and logs the events that are still queued.
// Events emitted after Close are recorded but not logged.
func (r *Recorder) Close() error {
	r.stop()
	<-r.done
	if r.logQueue == nil {
		return nil
	}
	for {
		e, ok := r.logQueue.TryGet()
		if !ok {
			return nil
		}
		logEvent(r.log, e)
	}
}

// logEvent logs an event with its kind as the message.
func logEvent(log logr.Logger, e Event) {
	log.Info(string(e.Kind), LogFields(e)...)
}
