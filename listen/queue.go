package listen

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// quietTime is how long no connection may arrive before the accept queue counts
// as empty.
const quietTime = 20 * time.Millisecond

// Queue is a listener whose accept queue can be emptied before it is closed:
// closing a listener resets the connections that wait to be accepted.
type Queue struct {
	net.Listener
	clock    clockwork.Clock
	accepted atomic.Uint64
}

// NewQueue returns a listener that takes its connections from inner.
func NewQueue(inner net.Listener, clock clockwork.Clock) *Queue {
	return &Queue{Listener: inner, clock: clock}
}

// Accept implements net.Listener.
func (q *Queue) Accept() (net.Conn, error) {
	conn, err := q.Listener.Accept()
	if err == nil {
		q.accepted.Add(1)
	}
	return conn, err
}

// Empty waits until no connection has been accepted for a moment, while the
// server goes on accepting. It returns an error when ctx ends first.
func (q *Queue) Empty(ctx context.Context) error {
	for {
		before := q.accepted.Load()
		timer := q.clock.NewTimer(quietTime)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("empty accept queue of %s: %w", q.Addr(), ctx.Err())
		case <-timer.Chan():
		}
		if q.accepted.Load() == before {
			return nil
		}
	}
}
