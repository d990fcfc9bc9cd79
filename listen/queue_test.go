package listen_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/listen"
)

// pollInterval is the interval at which a shutdown checks for new connections.
const pollInterval = 5 * time.Millisecond

// TestQueueIsEmptiedBeforeTheEnd checks that a server that accepts slowly answers all
// connections that are in its accept queue when the shutdown begins.
func TestQueueIsEmptiedBeforeTheEnd(t *testing.T) {
	t.Run("slow", func(t *testing.T) { endSlowServer(t, 40, 5*time.Millisecond) })
	t.Run("accept stalled for 40 ms per connection", func(t *testing.T) {
		endSlowServer(t, 10, 40*time.Millisecond)
	})
}

// endSlowServer shuts a server down that takes acceptTime to accept a connection and has
// as many new connections as there are callers. Each of them must get an answer.
func endSlowServer(t *testing.T, callers int, acceptTime time.Duration) {
	c := qt.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	queue := listen.NewDrainingListener(inner)
	conns := listen.NewConns(clockwork.NewRealClock())
	server := &http.Server{Handler: http.HandlerFunc(ok), ReadHeaderTimeout: testTimeout, ConnState: func(conn net.Conn, s http.ConnState) {
		conns.RecordState(conn, s)
		if s == http.StateNew {
			time.Sleep(acceptTime)
		}
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(queue) }()
	addr := inner.Addr().String()
	var dialed []net.Conn
	for range callers {
		conn, err := net.Dial("tcp4", addr)
		c.Assert(err, qt.IsNil)
		dialed = append(dialed, conn)
	}
	statuses := make([]string, callers)
	var readers sync.WaitGroup
	for i, conn := range dialed {
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		readers.Add(1)
		go func() {
			defer readers.Done()
			defer func() { _ = conn.Close() }()
			answer := make([]byte, len("HTTP/1.1 200"))
			n, _ := conn.Read(answer)
			statuses[i] = string(answer[:n])
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.Assert(listen.GracefulShutdown(ctx, server, queue, conns), qt.IsNil)
	c.Assert(listen.IsClosed(<-served), qt.IsTrue)
	readers.Wait()
	for _, status := range statuses {
		c.Check(status, qt.Equals, "HTTP/1.1 200")
	}
}

// TestCloseKeepsWhatWaits checks that Accept returns the connections in the accept
// queue after Close. The goroutine that accepts may not be scheduled between their
// arrival and Close; here it begins only after Close.
func TestCloseKeepsWhatWaits(t *testing.T) {
	c := qt.New(t)
	const callers = 5
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	queue := listen.NewDrainingListener(inner)
	for i := range callers {
		conn, err := net.Dial("tcp4", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte{byte(i)})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(queue.Close(), qt.IsNil)
	for i := range callers {
		conn, err := queue.Accept()
		c.Assert(err, qt.IsNil)
		first := make([]byte, 1)
		_, err = conn.Read(first)
		c.Assert(err, qt.IsNil)
		c.Assert(first[0], qt.Equals, byte(i))
		c.Assert(conn.Close(), qt.IsNil)
	}
	_, err = queue.Accept()
	c.Assert(err, qt.ErrorIs, net.ErrClosed)
	c.Assert(queue.Close(), qt.IsNil)
}

// TestEndAnswersWhatIsOnItsWay checks that a request is answered that arrives on a new
// connection after the listener was closed.
func TestEndAnswersWhatIsOnItsWay(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	clock := clockwork.NewFakeClock()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	queue, conns := listen.NewDrainingListener(inner), listen.NewConns(clock)
	server := &http.Server{Handler: http.HandlerFunc(ok), ReadHeaderTimeout: testTimeout, ConnState: conns.RecordState}
	served := make(chan error, 1)
	go func() { served <- server.Serve(queue) }()
	conn, err := net.Dial("tcp4", inner.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	for conns.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	ended := make(chan error, 1)
	go func() { ended <- listen.GracefulShutdown(ctx, server, queue, conns) }()
	c.Assert(listen.IsClosed(<-served), qt.IsTrue)
	c.Assert(clock.BlockUntilContext(ctx, 1), qt.IsNil)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	answer := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(conn, answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "HTTP/1.1 200")
	for conns.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
	for done := false; !done; {
		select {
		case err := <-ended:
			c.Assert(err, qt.IsNil)
			done = true
		default:
			clock.Advance(pollInterval)
			time.Sleep(time.Millisecond)
		}
	}
}

// TestEndClosesIdleConnections checks that a shutdown closes idle connections
// immediately, even though a request is active on another connection. Otherwise further
// requests on them would prolong the shutdown.
func TestEndClosesIdleConnections(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	queue, conns := listen.NewDrainingListener(inner), listen.NewConns(clockwork.NewRealClock())
	begun, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: testTimeout, ConnState: conns.RecordState, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-release
		}
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(queue) }()
	send := func(path string) net.Conn {
		conn, err := net.Dial("tcp4", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		return conn
	}
	idle := send("/fast")
	defer func() { _ = idle.Close() }()
	answer := bufio.NewReader(idle)
	response, err := http.ReadResponse(answer, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	slow := send("/slow")
	defer func() { _ = slow.Close() }()
	<-begun
	ended := make(chan error, 1)
	go func() { ended <- listen.GracefulShutdown(ctx, server, queue, conns) }()
	c.Assert(idle.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err = answer.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	close(release)
	response, err = http.ReadResponse(bufio.NewReader(slow), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(<-ended, qt.IsNil)
	c.Assert(listen.IsClosed(<-served), qt.IsTrue)
}

// failingListener is a listener whose Close closes it and returns errClose.
type failingListener struct{ net.Listener }

var errClose = errors.New("close fails")

// Close implements net.Listener.
func (l failingListener) Close() error { return errors.Join(l.Listener.Close(), errClose) }

// TestEndGoesOnWhenTheListenerFails checks that a shutdown waits for the active request
// and returns the error when closing the listener fails.
func TestEndGoesOnWhenTheListenerFails(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	clock := clockwork.NewRealClock()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	queue, conns := listen.NewDrainingListener(failingListener{inner}), listen.NewConns(clock)
	begun, closed := make(chan struct{}), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: testTimeout, ConnState: conns.RecordState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-closed
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(queue) }()
	status := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + inner.Addr().String())
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	<-begun
	ended := make(chan error, 1)
	go func() { ended <- listen.GracefulShutdown(ctx, server, queue, conns) }()
	c.Assert(listen.IsClosed(<-served), qt.IsTrue)
	select {
	case err := <-ended:
		c.Fatalf("ended with a request under way: %v", err)
	case <-time.After(10 * pollInterval):
	}
	close(closed)
	c.Assert(<-status, qt.Equals, http.StatusOK)
	c.Assert(<-ended, qt.ErrorIs, errClose)
}
