package upconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/upconn"
)

// An upstream stops at any byte of an answer's head and closes or resets the connection. A
// head that is cut off must not pass for an answer, with whatever length of the body the part
// says or leaves out.
func TestCutHead(t *testing.T) {
	for name, head := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n",
		"empty":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: 1\r\nX-More: 1\r\n\r\n",
		"chunked":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
		"lines":     "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 0\n\n",
		"informed":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset ", reset), func(t *testing.T) {
				c := qt.New(t)
				part := make(chan string, 1)
				s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
					read(br)
					_, _ = io.WriteString(conn, <-part)
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				})
				p := upconn.New(s.listener.Addr().String(), dialect{})
				defer func() { _ = p.Close() }()
				for n := range len(head) {
					part <- head[:n]
					reply, err := p.Run(context.Background(), call("1", false), "life")
					c.Assert(reply, qt.IsNil, qt.Commentf("%q", head[:n]))
					c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown, qt.Commentf("%q", head[:n]))
				}
			})
		}
	}
}
