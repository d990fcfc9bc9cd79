package klog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/monsoonmoor/monsoonmoor/ring"
)

// DefaultQueueCapacity is the default capacity of a Queue, in lines.
const DefaultQueueCapacity = 2048

// Queue is a non-blocking writer that buffers lines and writes them to another
// writer in a goroutine. When the queue is full, new lines are dropped; the number
// of dropped lines is logged with the next lines that are written.
type Queue struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewQueue returns a queue that buffers up to capacity lines for w and starts its
// goroutine. Close writes the buffered lines and stops the goroutine.
func NewQueue(w io.Writer, capacity int) *Queue {
	ctx, cancel := context.WithCancel(context.Background())
	q := &Queue{lines: ring.New[[]byte](capacity), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for {
			line, err := q.lines.Get(ctx)
			if err != nil {
				q.flush(w, nil)
				return
			}
			q.flush(w, line)
		}
	}()
	return q
}

// flush writes first, all lines buffered after it and the number of dropped lines, if
// any, in a single Write. Errors of w are ignored.
func (q *Queue) flush(w io.Writer, first []byte) {
	var buf bytes.Buffer
	buf.Write(first)
	for line, ok := q.lines.TryGet(); ok; line, ok = q.lines.TryGet() {
		buf.Write(line)
	}
	if n := q.dropped.Swap(0); n > 0 {
		fmt.Fprintf(&buf, "level=error msg=\"log lines dropped\" count=%d\n", n)
	}
	_, _ = w.Write(buf.Bytes())
}

// Write implements io.Writer. It enqueues a copy of line, or drops the line if the
// queue is full. It never blocks and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.lines.Put(bytes.Clone(line)) {
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the buffered lines and waits until the goroutine has stopped.
func (q *Queue) Close() error {
	q.cancel()
	<-q.done
	return nil
}
