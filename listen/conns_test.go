package listen_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/listen"
)

// closableConn is a connection that only knows whether it was closed.
type closableConn struct {
	net.Conn
	closed bool
}

// Close implements net.Conn.
func (c *closableConn) Close() error {
	c.closed = true
	return nil
}

// A crowd of connections must not use up the descriptors of the process. A new connection takes
// the place of the one without a request for the longest time; one with a request is never
// closed for it.
func TestConnectionLimit(t *testing.T) {
	for _, test := range []struct {
		name   string
		states []http.ConnState
		// closed is the index of the connection that is closed; the last one is new.
		closed int
	}{
		{"room", []http.ConnState{http.StateActive, http.StateIdle}, -1},
		{"an idle one", []http.ConnState{http.StateActive, http.StateIdle, http.StateIdle}, 1},
		{"one that sends nothing", []http.ConnState{http.StateNew, http.StateIdle, http.StateActive}, 0},
		{"all with requests", []http.ConnState{http.StateActive, http.StateActive, http.StateActive}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			conns := listen.NewConns(clock)
			conns.SetLimit(3)
			var all []*closableConn
			for _, state := range append(test.states, http.StateNew) {
				conn := &closableConn{}
				all = append(all, conn)
				clock.Advance(time.Second)
				conns.RecordState(conn, http.StateNew)
				conns.RecordState(conn, state)
			}
			for i, conn := range all {
				c.Check(conn.closed, qt.Equals, i == test.closed, qt.Commentf("connection %d", i))
			}
		})
	}
}
