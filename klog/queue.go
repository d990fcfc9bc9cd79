package klog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/monsoonmoor/monsoonmoor/ring"
)

// DefaultQueue is the number of lines that a Queue holds.
const DefaultQueue = 2048

// Queue is a writer that never blocks: lines are written to another writer from a
// goroutine. When it is full new lines are dropped; how many is written once
// there is room.
type Queue struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewQueue returns a queue of the given number of lines in front of w. Close
// writes what waits.
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

// flush writes a line and all that wait behind it in one write.
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

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.lines.Put(bytes.Clone(line)) {
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the queue.
func (q *Queue) Close() error {
	q.cancel()
	<-q.done
	return nil
}
