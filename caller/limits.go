package caller

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound the resources that callers can occupy in the daemon.
type Limits struct {
	// Header is the largest request header, in bytes.
	Header int
	// HeaderTime is the timeout for receiving a request header.
	HeaderTime time.Duration
	// ReadTime is the timeout for receiving a whole request, its body included.
	ReadTime time.Duration
	// WriteTime is the timeout from the end of the request header to the end of the
	// answer.
	WriteTime time.Duration
	// IdleTime is how long a connection without a request is kept open.
	IdleTime time.Duration
	// Conns is the largest number of open connections; zero sets no limit.
	Conns int
}

// DefaultLimits returns the default limits. Their timeouts allow for callers that
// upload photos over slow connections.
func DefaultLimits() Limits {
	return Limits{
		Header:     16 << 10,
		HeaderTime: 5 * time.Second,
		ReadTime:   60 * time.Second,
		WriteTime:  120 * time.Second,
		IdleTime:   90 * time.Second,
		Conns:      8192,
	}
}

// NewServer returns an HTTP server that enforces limits. A connection that exceeds
// limits.Conns is closed immediately.
func NewServer(addr string, handler http.Handler, limits Limits) *http.Server {
	limiter := &connLimiter{limit: limits.Conns, open: make(map[net.Conn]struct{})}
	return &http.Server{
		Addr:              addr,
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTime,
		ReadTimeout:       limits.ReadTime,
		WriteTimeout:      limits.WriteTime,
		IdleTimeout:       limits.IdleTime,
		MaxHeaderBytes:    limits.Header,
		ConnState:         limiter.trackState,
	}
}

// connLimiter counts the open connections of a server and closes new ones that
// exceed the limit.
type connLimiter struct {
	limit int
	mu    sync.Mutex
	open  map[net.Conn]struct{}
}

// trackState records a connection's new state. It is the server's ConnState hook.
func (c *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.limit > 0 && len(c.open) >= c.limit {
			_ = conn.Close()
			return
		}
		c.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateActive, http.StateIdle:
	}
}
