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
	// headerTime bounds the arrival of a request's header.
	headerTime = 10 * time.Second
	// maxHeader is the largest request header that is read, in bytes.
	maxHeader = 64 << 10
	// sweepTime is the time between two looks for idle connections to close.
	sweepTime = time.Second
)

// Server serves HTTP on one address.
type Server struct {
	server   *http.Server
	listener *Queue
	clock    clockwork.Clock
	log      logr.Logger
	idle     func() time.Duration
	parting  atomic.Bool
	done     chan struct{}
	stop     context.CancelFunc
	conns    *Conns
}

// Option changes a Server.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(s *Server) { s.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(s *Server) { s.log = log } }

// WithIdle sets what tells how long a connection may stay without a request; zero
// keeps it for good.
func WithIdle(idle func() time.Duration) Option { return func(s *Server) { s.idle = idle } }

// Serve starts to serve on an address. Close or Drain ends it.
func Serve(addr string, handler http.Handler, opts ...Option) (*Server, error) {
	inner, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		clock: clockwork.NewRealClock(), log: logr.Discard(),
		idle: func() time.Duration { return 0 },
		done: make(chan struct{}), stop: stop,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.conns = NewConns(s.clock)
	s.listener = NewQueue(inner)
	s.server = &http.Server{
		Handler: s.part(handler), ReadHeaderTimeout: headerTime, MaxHeaderBytes: maxHeader, ConnState: s.conns.Change,
	}
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		s.sweep(ctx)
	}()
	go func() {
		defer close(s.done)
		if err := s.server.Serve(s.listener); !IsEnd(err) {
			s.log.Error(err, "listener ended", "addr", addr)
		}
		<-swept
	}()
	return s, nil
}

// Addr returns the address that is served.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Part makes answers ask for new connections from now on.
func (s *Server) Part() { s.parting.Store(true) }

func (s *Server) part(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.parting.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// sweep closes connections that were idle for too long.
func (s *Server) sweep(ctx context.Context) {
	ticker := s.clock.NewTicker(sweepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		limit := s.idle()
		if limit <= 0 {
			continue
		}
		s.conns.CloseIdle(limit)
	}
}

// Active returns the number of connections with a request under way.
func (s *Server) Active() int { return s.conns.Active() }

// Drain serves what waits in the accept queue, takes no more connections and ends
// when no request is under way. It returns an error when ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.Part()
	s.stop()
	if err := End(ctx, s.server, s.listener, s.conns); err != nil {
		return err
	}
	<-s.done
	return nil
}

// Close ends the server at once. Requests under way are cut.
func (s *Server) Close() error {
	s.stop()
	err := s.server.Close()
	<-s.done
	if err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}
