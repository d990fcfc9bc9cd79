package listen

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

const (
	// headerTimeout is the timeout for receiving a request header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the largest request header that is accepted, in bytes.
	maxHeaderBytes = 64 << 10
	// sweepInterval is the interval at which connections that exceed the idle timeout
	// are closed.
	sweepInterval = time.Second
)

// Server serves HTTP on one address.
type Server struct {
	server           *http.Server
	listener         *DrainingListener
	clock            clockwork.Clock
	log              logr.Logger
	idleTimeout      func() time.Duration
	disableKeepAlive atomic.Bool
	done             chan struct{}
	stopSweep        context.CancelFunc
	conns            *Conns
	maxConns         int
}

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock for idle times and waits.
func WithClock(clock clockwork.Clock) Option { return func(s *Server) { s.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(s *Server) { s.log = log } }

// WithIdle sets a function that returns the idle timeout of connections. It is called
// before each check, so the timeout may change at any time; zero disables it.
func WithIdle(idle func() time.Duration) Option { return func(s *Server) { s.idleTimeout = idle } }

// WithMaxConns sets the largest number of open connections. A new one beyond it takes the
// place of the connection that has been without a request for the longest time, or is closed
// if all have one. The default is no limit.
func WithMaxConns(limit int) Option { return func(s *Server) { s.maxConns = limit } }

// Serve listens on an address and starts serving in the background. The server runs
// until Close or Drain is called.
func Serve(addr string, handler http.Handler, opts ...Option) (*Server, error) {
	inner, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		clock: clockwork.NewRealClock(), log: logr.Discard(),
		idleTimeout: func() time.Duration { return 0 },
		done:        make(chan struct{}), stopSweep: stop,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.conns = NewConns(s.clock)
	s.conns.SetLimit(s.maxConns)
	s.listener = NewDrainingListener(inner)
	s.server = &http.Server{
		Handler: s.withConnectionClose(handler), ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: s.conns.RecordState,
	}
	sweepDone := make(chan struct{})
	go func() {
		defer close(sweepDone)
		s.closeIdleConns(ctx)
	}()
	go func() {
		defer close(s.done)
		if err := s.server.Serve(s.listener); !IsClosed(err) {
			s.log.Error(err, "HTTP server failed", "addr", addr)
		}
		<-sweepDone
	}()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// DisableKeepAlives makes all further answers include Connection: close, so that clients open new
// connections, possibly to another host.
func (s *Server) DisableKeepAlives() { s.disableKeepAlive.Store(true) }

// withConnectionClose wraps handler so that answers include Connection: close after
// Part was called.
func (s *Server) withConnectionClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.disableKeepAlive.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// closeIdleConns periodically closes the connections that exceed the idle timeout,
// until ctx is done.
func (s *Server) closeIdleConns(ctx context.Context) {
	ticker := s.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		limit := s.idleTimeout()
		if limit <= 0 {
			continue
		}
		s.conns.CloseIdle(limit)
	}
}

// Active returns the number of connections with an active request, new connections
// included.
func (s *Server) Active() int { return s.conns.Active() }

// Drain shuts the server down gracefully. It serves the connections in the accept
// queue, accepts no more, and waits for active requests. It returns an error when ctx
// is done first.
func (s *Server) Drain(ctx context.Context) error {
	s.DisableKeepAlives()
	s.stopSweep()
	if err := GracefulShutdown(ctx, s.server, s.listener, s.conns); err != nil {
		return err
	}
	<-s.done
	return nil
}

// Close stops the server immediately. Active requests are aborted.
func (s *Server) Close() error {
	s.stopSweep()
	err := s.server.Close()
	<-s.done
	if err != nil {
		return fmt.Errorf("close server: %w", err)
	}
	return nil
}
