package listen_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/listen"
)

// A server that accepts slowly has connections in its accept queue when it is
// told to end; all of them are answered.
func TestQueueIsEmptiedBeforeTheEnd(t *testing.T) {
	c := qt.New(t)
	const callers, acceptTime = 40, 5 * time.Millisecond
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	queue := listen.NewQueue(inner, clockwork.NewRealClock())
	server := &http.Server{Handler: http.HandlerFunc(ok), ReadHeaderTimeout: within, ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			time.Sleep(acceptTime)
		}
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(queue) }()
	addr := inner.Addr().String()
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp4", addr)
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
	}
	statuses := make([]string, callers)
	var reading sync.WaitGroup
	for i, conn := range conns {
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		reading.Add(1)
		go func() {
			defer reading.Done()
			defer func() { _ = conn.Close() }()
			answer := make([]byte, len("HTTP/1.1 200"))
			n, _ := conn.Read(answer)
			statuses[i] = string(answer[:n])
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	c.Assert(queue.Empty(ctx), qt.IsNil)
	c.Assert(server.Shutdown(ctx), qt.IsNil)
	c.Assert(<-served, qt.ErrorIs, http.ErrServerClosed)
	reading.Wait()
	for _, status := range statuses {
		c.Check(status, qt.Equals, "HTTP/1.1 200")
	}
}

func TestQueueThatNeverRestsEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = inner.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(listen.NewQueue(inner, clockwork.NewRealClock()).Empty(ctx), qt.ErrorIs, context.Canceled)
}
