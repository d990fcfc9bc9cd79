package upstrm_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

// An upstream stops at any byte of an answer's head and closes the connection. A head that is
// cut off must not pass for an answer.
func TestCutHead(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	var part atomic.Value
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, part.Load().(string))
			}
			_ = conn.Close()
		}
	}()
	x := upstrm.New(func() upstrm.View { return newView() }, upstrm.WithHost("a"))
	defer func() { _ = x.Close() }()
	attach(t, x, "http://"+listener.Addr().String(), "one", true)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-More: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for n := range len(head) {
			part.Store(head[:n])
			_, err := x.Run(context.Background(), newCall("POST", "r1", ""))
			c.Assert(err, qt.IsNotNil, qt.Commentf("%q", head[:n]))
			c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown, qt.Commentf("%q", head[:n]))
		}
	}
}
