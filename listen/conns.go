package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// newTime is how long a new connection counts as one whose request is on its
// way. Clients send it as soon as they are connected.
const newTime = 500 * time.Millisecond

// Conns follows the connections of an http.Server. It is safe for concurrent
// use.
type Conns struct {
	clock clockwork.Clock

	mu      sync.Mutex
	states  map[net.Conn]connState
	changes uint64
}

type connState struct {
	state http.ConnState
	since time.Time
}

// NewConns returns Conns without any.
func NewConns(clock clockwork.Clock) *Conns {
	return &Conns{clock: clock, states: make(map[net.Conn]connState)}
}

// Change notes the state of a connection, as http.Server.ConnState tells it.
func (c *Conns) Change(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes++
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = connState{state: state, since: c.clock.Now()}
}

// Active returns the number of connections with a request under way.
func (c *Conns) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.states {
		if s.state == http.StateActive || s.state == http.StateNew {
			n++
		}
	}
	return n
}

// CloseIdle closes connections that have been idle for longer than limit.
func (c *Conns) CloseIdle(limit time.Duration) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		if s.state == http.StateIdle && now.Sub(s.since) > limit {
			_ = conn.Close()
		}
	}
}

// Quiet waits until no request is under way or about to come, and nothing has
// changed for a moment. It returns an error when ctx ends first.
func (c *Conns) Quiet(ctx context.Context) error {
	for {
		_, before := c.pending()
		timer := c.clock.NewTimer(quietTime)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("wait for requests under way: %w", ctx.Err())
		case <-timer.Chan():
		}
		if n, changes := c.pending(); n == 0 && changes == before {
			return nil
		}
	}
}

// pending returns how many connections have a request under way or about to
// come, and how many changes there were so far.
func (c *Conns) pending() (n int, changes uint64) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.state == http.StateActive || s.state == http.StateNew && now.Sub(s.since) < newTime {
			n++
		}
	}
	return n, c.changes
}

// End ends a server that accepts from a queue, and drops no request that has
// arrived. Shutdown alone gives no answer to a request that it reads after it has
// begun. It returns an error when ctx ends first; the server may still run then.
func End(ctx context.Context, server *http.Server, queue *Queue, conns *Conns) error {
	if err := queue.Empty(ctx); err != nil {
		return err
	}
	closed := queue.Close()
	if err := conns.Quiet(ctx); err != nil {
		return errors.Join(closed, fmt.Errorf("end server on %s: %w", queue.Addr(), err))
	}
	if err := errors.Join(closed, server.Shutdown(ctx)); err != nil {
		return fmt.Errorf("end server on %s: %w", queue.Addr(), err)
	}
	return nil
}

// IsEnd reports whether an error of http.Server.Serve says that the server was
// ended in order.
func IsEnd(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}
