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

const (
	// firstRequestTimeout is how long a shutdown waits for the first request on a new
	// connection. Clients send it as soon as they are connected.
	firstRequestTimeout = 500 * time.Millisecond
	// pollInterval is the interval at which a shutdown checks whether there are still
	// such connections.
	pollInterval = 5 * time.Millisecond
)

// Conns tracks the states of the connections of an http.Server. It is safe for concurrent
// use.
type Conns struct {
	clock clockwork.Clock

	mu     sync.Mutex
	states map[net.Conn]connState
	// limit is the largest number of connections; 0 for no limit.
	limit int
}

// connState is a connection's state and the time when it entered the state.
type connState struct {
	state http.ConnState
	since time.Time
}

// NewConns returns an empty Conns.
func NewConns(clock clockwork.Clock) *Conns {
	return &Conns{clock: clock, states: make(map[net.Conn]connState)}
}

// SetLimit sets the largest number of connections; 0 stands for no limit. A new connection
// beyond it takes the place of the one that has been without a request for the longest
// time, or is closed if all have one.
func (c *Conns) SetLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limit
}

// makeRoom closes a connection if there are as many as the limit allows, and reports whether
// there is room for another one. It is called with mu held.
func (c *Conns) makeRoom() bool {
	if c.limit <= 0 || len(c.states) < c.limit {
		return true
	}
	var oldest net.Conn
	for conn, s := range c.states {
		if s.state != http.StateIdle && s.state != http.StateNew {
			continue
		}
		if oldest == nil || s.since.Before(c.states[oldest].since) {
			oldest = conn
		}
	}
	if oldest == nil {
		return false
	}
	delete(c.states, oldest)
	_ = oldest.Close()
	return true
}

// RecordState records the new state of a connection. It is meant to be used as the field
// ConnState of an http.Server.
func (c *Conns) RecordState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	if _, known := c.states[conn]; !known && state == http.StateNew && !c.makeRoom() {
		_ = conn.Close()
		return
	}
	c.states[conn] = connState{state: state, since: c.clock.Now()}
}

// Active returns the number of connections with an active request, new connections
// included, since their first request may be in transit.
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

// CloseIdle closes the connections that have been idle for longer than limit.
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

// AwaitFirstRequests waits until the first request has arrived on every new connection or its
// firstRequestTimeout has elapsed. It returns an error when ctx is done before.
func (c *Conns) AwaitFirstRequests(ctx context.Context) error {
	for c.awaitsFirstRequest() {
		timer := c.clock.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("wait for first requests on new connections: %w", ctx.Err())
		case <-timer.Chan():
		}
	}
	return nil
}

// awaitsFirstRequest reports whether a first request may be in transit on a new
// connection.
func (c *Conns) awaitsFirstRequest() bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.state == http.StateNew && now.Sub(s.since) < firstRequestTimeout {
			return true
		}
	}
	return false
}

// GracefulShutdown shuts down a server that accepts connections from a queue, without dropping a
// request on a new connection. http.Server.Shutdown alone would not answer a request
// that it reads after it was called, so GracefulShutdown first waits until the queue is drained and
// the first requests on new connections have arrived. After that it closes idle
// connections immediately, even though other connections have active requests: further
// requests on idle connections would prolong the shutdown and be aborted at its
// deadline. GracefulShutdown returns an error when ctx is done first; the server may then still be
// running.
func GracefulShutdown(ctx context.Context, server *http.Server, queue *DrainingListener, conns *Conns) error {
	closeErr := queue.Close()
	select {
	case <-queue.drained:
	case <-ctx.Done():
	}
	if err := conns.AwaitFirstRequests(ctx); err != nil {
		return errors.Join(closeErr, fmt.Errorf("shut down server on %s: %w", queue.Addr(), err))
	}
	if err := errors.Join(closeErr, server.Shutdown(ctx)); err != nil {
		return fmt.Errorf("shut down server on %s: %w", queue.Addr(), err)
	}
	return nil
}

// IsClosed reports whether an error of http.Server.Serve means that the server was shut
// down or its listener closed deliberately.
func IsClosed(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}
