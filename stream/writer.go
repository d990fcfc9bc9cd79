package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// maxPendingBytes bounds what a writer holds.
const maxPendingBytes = 8 << 20

// Writer appends records to one topic in order. It repeats an append under
// the same id until it is acknowledged or the reader has seen it, so that a
// record may be on the log more than once; readers count an id once.
type Writer struct {
	pub    message.Publisher
	topic  string
	opts   options
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	closed bool
	queue  []*entry
	// queued is the size of the queue in bytes.
	queued int
	byID   map[ident.RecordID]*entry
	// wake is signalled when the head of the queue may have changed.
	wake chan struct{}

	appends tally.Counter
	bytes   tally.Counter
	retries tally.Counter
	pending tally.Gauge
}

// entry is a record that is not yet known to be on the log.
type entry struct {
	id   ident.RecordID
	data []byte
	seen bool
}

// NewWriter returns a writer to topic. It runs until Close.
func NewWriter(pub message.Publisher, topic string, opts ...Option) *Writer {
	o := newOptions(opts)
	scope := o.scope.Tagged(map[string]string{"topic": topic})
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		pub:     pub,
		topic:   topic,
		opts:    o,
		cancel:  cancel,
		done:    make(chan struct{}),
		byID:    make(map[ident.RecordID]*entry),
		wake:    make(chan struct{}, 1),
		appends: scope.Counter("log_appends"),
		bytes:   scope.Counter("log_append_bytes"),
		retries: scope.Counter("log_append_retries"),
		pending: scope.Gauge("log_append_pending"),
	}
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return w
}

// Append queues a record. It returns ErrFull, ErrTooLarge or ErrClosed when
// the record was not taken. An id that is queued already is taken once.
func (w *Writer) Append(id ident.RecordID, data []byte) error {
	if len(data) > MaxRecord {
		return fmt.Errorf("append %v: %w: %d bytes", id, ErrTooLarge, len(data))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
		return fmt.Errorf("append %v: %w", id, ErrClosed)
	case w.byID[id] != nil:
		return nil
	case len(w.queue) >= w.opts.pending, w.queued+len(data) > maxPendingBytes:
		return fmt.Errorf("append %v: %w", id, ErrFull)
	}
	e := &entry{id: id, data: data}
	w.queue = append(w.queue, e)
	w.queued += len(data)
	w.byID[id] = e
	w.pending.Update(float64(len(w.queue)))
	w.signal()
	return nil
}

// Seen tells the writer that a reader has met the record on the log, or that
// the record need not be appended any more.
func (w *Writer) Seen(id ident.RecordID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.byID[id]; e != nil {
		e.seen = true
		w.signal()
	}
}

// Pending returns the number of records not yet known to be on the log.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.queue {
		if !e.seen {
			n++
		}
	}
	return n
}

// Close ends the writer; records that are pending are dropped.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	<-w.done
	return nil
}

func (w *Writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		e := w.head()
		if e == nil {
			select {
			case <-w.wake:
			case <-ctx.Done():
			}
			continue
		}
		w.finish(ctx, e)
		w.pop(e)
	}
}

// finish repeats the append of e until it is known to be on the log.
func (w *Writer) finish(ctx context.Context, e *entry) {
	b := newBackoff(w.opts)
	for attempt := 0; !w.isSeen(e) && ctx.Err() == nil; attempt++ {
		if w.opts.budget != nil && w.opts.budget.Wait(ctx) != nil {
			return
		}
		if w.isSeen(e) {
			return
		}
		if attempt > 0 {
			w.retries.Inc(1)
		}
		offset, err := w.publish(ctx, e)
		switch {
		case err == nil:
			w.opts.acked(e.id, offset)
			return
		case errors.Is(err, ErrTooLarge):
			w.opts.log.Error(err, "append dropped", "topic", w.topic, "id", e.id)
			return
		}
		w.opts.log.V(1).Info("append repeated", "topic", w.topic, "id", e.id, "error", err)
		w.pause(ctx, e, b, err)
	}
}

// pause waits between attempts, until the reader has seen the record at most.
func (w *Writer) pause(ctx context.Context, e *entry, b *backoff, err error) {
	d := b.next()
	var refused *RefusedError
	if errors.As(err, &refused) {
		d = max(d, refused.After())
	}
	timer := w.opts.clock.NewTimer(d)
	defer timer.Stop()
	for !w.isSeen(e) {
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
			return
		case <-w.wake:
		}
	}
}

func (w *Writer) publish(ctx context.Context, e *entry) (uint64, error) {
	msg := message.NewMessageWithContext(ctx, e.id.String(), e.data)
	w.appends.Inc(1)
	w.bytes.Inc(int64(len(e.data)))
	if err := w.pub.Publish(w.topic, msg); err != nil {
		return 0, fmt.Errorf("publish %v: %w", e.id, err)
	}
	offset, _ := Offset(msg)
	return offset, nil
}

func (w *Writer) head() *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return nil
	}
	return w.queue[0]
}

func (w *Writer) pop(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue[0] = nil
	w.queue = w.queue[1:]
	w.queued -= len(e.data)
	delete(w.byID, e.id)
	w.pending.Update(float64(len(w.queue)))
}

func (w *Writer) isSeen(e *entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return e.seen
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
