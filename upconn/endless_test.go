package upconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/upconn"
)

// TestHeadWithoutEnd has an upstream that sends the head of an answer without end, in
// one line and in many, or the trailer or a chunk's extension. The pool must close the connection after a bounded number of
// bytes and report that the call may have run.
func TestHeadWithoutEnd(t *testing.T) {
	for _, test := range []struct{ name, start, block string }{
		{"one line", "HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("x", 1<<12)},
		{"many lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 1<<9)},
		{"no status line", "", strings.Repeat("\xff", 1<<12)},
		{"trailer", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-A: b\r\n", 1<<9)},
		{"chunk extension", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<12)},
		{"interim answers", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<8)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			written := make(chan int, 1)
			s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
				read(br)
				n, _ := io.WriteString(conn, test.start)
				for {
					more, err := io.WriteString(conn, test.block)
					n += more
					if err != nil || n > 64<<20 {
						written <- n
						return
					}
				}
			})
			p := upconn.New(s.listener.Addr().String(), dialect{})
			defer func() { _ = p.Close() }()
			_, err := run(c, p, "1")
			c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown)
			// What the kernel buffers on both sides counts as well.
			n := <-written
			c.Assert(n < 16<<20, qt.IsTrue, qt.Commentf("the upstream could write %d bytes", n))
		})
	}
}

// TestBodyWithoutEnd has an upstream that sends a body without end. The caller reads a
// part and closes the reply; the connection to the upstream must be closed then.
func TestBodyWithoutEnd(t *testing.T) {
	for _, test := range []struct{ name, start, block string }{
		{"until the connection ends", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", strings.Repeat("x", 1<<12)},
		{"in chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
			"1000\r\n" + strings.Repeat("x", 1<<12) + "\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			closed := make(chan struct{})
			s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
				read(br)
				_, err := io.WriteString(conn, test.start)
				for err == nil {
					_, err = io.WriteString(conn, test.block)
				}
				close(closed)
			})
			p := upconn.New(s.listener.Addr().String(), dialect{})
			defer func() { _ = p.Close() }()
			reply, err := p.Run(context.Background(), call("1", true), "life")
			c.Assert(err, qt.IsNil)
			_, err = io.CopyN(io.Discard, reply.Body, 4<<20)
			c.Assert(err, qt.IsNil)
			c.Assert(reply.Body.Close(), qt.IsNil)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				c.Fatal("the upstream can still send 5 s after the reply was closed")
			}
		})
	}
}

// TestStreamEndsWithItsContext has an upstream whose answer is too long to be buffered, and
// either has no end or falls silent. Reading it must fail once the context of the call is
// done, and the connection to the upstream must be closed then.
func TestStreamEndsWithItsContext(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent bool
	}{{"without end", false}, {"silent", true}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			closed := make(chan struct{})
			s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
				defer close(closed)
				read(br)
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"+strings.Repeat("x", 2<<20))
				for err == nil && !test.silent {
					_, err = io.WriteString(conn, strings.Repeat("x", 1<<10))
					time.Sleep(time.Millisecond)
				}
				_, _ = br.ReadByte()
			})
			p := upconn.New(s.listener.Addr().String(), dialect{})
			defer func() { _ = p.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			reply, err := p.Run(ctx, call("1", true), "life")
			c.Assert(err, qt.IsNil)
			ended := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, reply.Body)
				ended <- err
			}()
			select {
			case err := <-ended:
				c.Check(err, qt.IsNotNil)
			case <-time.After(5 * time.Second):
				c.Error("the answer can still be read 5 s after the context has ended")
			}
			c.Check(reply.Body.Close(), qt.IsNil)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				c.Fatal("the connection to the upstream is still open")
			}
		})
	}
}
