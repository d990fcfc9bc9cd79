package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/listen"
)

// listener is one HTTP server with the address that it takes.
type listener struct {
	name   string
	addr   string
	server *http.Server
	bound  *listen.DrainingListener
	conns  *listen.Conns
}

// listeners are the daemon's HTTP servers.
type listeners struct {
	all []*listener
}

// open binds all addresses before any server starts.
func (s *listeners) open(tasks *sync.WaitGroup, clock clockwork.Clock, log logr.Logger, all ...listener) error {
	for i := range all {
		l := &all[i]
		bound, err := net.Listen("tcp", l.addr)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		l.bound, l.conns = listen.NewDrainingListener(bound), listen.NewConns(clock)
		l.follow()
		s.all = append(s.all, l)
	}
	for _, l := range s.all {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			if err := l.server.Serve(l.bound); !listen.IsClosed(err) {
				log.Error(err, "listener ended", "listener", l.name)
			}
		}()
	}
	return nil
}

// follow has the server tell of its connections, beside whom it tells already.
func (l *listener) follow() {
	before := l.server.ConnState
	l.server.ConnState = func(conn net.Conn, state http.ConnState) {
		l.conns.RecordState(conn, state)
		if before != nil {
			before(conn, state)
		}
	}
}

// addr returns the bound address of a listener, nil when there is none.
func (s *listeners) addr(name string) net.Addr {
	for _, l := range s.all {
		if l.name == name {
			return l.bound.Addr()
		}
	}
	return nil
}

// shutdown serves the connections that wait to be accepted, stops new ones and
// waits for the requests in flight.
func (s *listeners) shutdown(ctx context.Context) error {
	for _, l := range s.all {
		if err := listen.GracefulShutdown(ctx, l.server, l.bound, l.conns); err != nil {
			return fmt.Errorf("shut the %s listener down: %w", l.name, err)
		}
	}
	return nil
}

// close cuts all connections.
func (s *listeners) close() error {
	var errs []error
	for _, l := range s.all {
		errs = append(errs, l.server.Close())
	}
	return errors.Join(errs...)
}
