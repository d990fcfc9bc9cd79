package upconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/upconn"
)

// longBody is the size of an upload that an upstream answers before it has read it.
const longBody = 8 << 20

// upload returns a call with a long body.
func upload(id string) *calls.Call {
	return &calls.Call{
		ID: id, Method: "POST", Path: "/x", Body: calls.NewBuffered(make([]byte, longBody)),
		Length: longBody, Deadline: time.Now().Add(10 * time.Second),
	}
}

// readHeadOf reads the head of a request.
func readHeadOf(br *bufio.Reader) {
	for {
		line, err := br.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}

// An upstream answers a long upload at once, without a length, sends a part of the answer and
// resets the connection while the upload is still being written. The writer of the upload may
// get the reset, and the reader then only the end of the connection; the part must not pass
// for the whole answer. Both a short answer and one that is streamed.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	for name, part := range map[string]int{"short": 100, "streamed": 2 << 20} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(c, func(conn net.Conn, br *bufio.Reader, n int) {
				readHeadOf(br)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"+strings.Repeat("x", part))
				time.Sleep(time.Duration(n%5) * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			})
			p := upconn.New(s.listener.Addr().String(), dialect{})
			defer func() { _ = p.Close() }()
			for i := range 60 {
				reply, err := p.Run(context.Background(), upload("1"), "life")
				if err != nil {
					c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown)
					continue
				}
				n, err := io.Copy(io.Discard, reply.Body)
				c.Assert(err, qt.IsNotNil, qt.Commentf("run %d: %d bytes of an answer that was reset pass for all of it", i, n))
				_ = reply.Body.Close()
			}
		})
	}
}

// An upstream that answers a long upload at once, reads the rest and then ends the connection
// has sent a whole answer, with a length or without one.
func TestEarlyAnswerThatIsWhole(t *testing.T) {
	for name, head := range map[string]string{"no length": "", "length": "Content-Length: 5\r\n"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
				readHeadOf(br)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+head+"\r\nwhole")
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, br)
				_ = conn.Close()
			})
			p := upconn.New(s.listener.Addr().String(), dialect{})
			defer func() { _ = p.Close() }()
			reply, err := p.Run(context.Background(), upload("1"), "life")
			c.Assert(err, qt.IsNil)
			data, err := io.ReadAll(reply.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(data), qt.Equals, "whole")
		})
	}
}

// Statuses that are none must not reach the caller as an answer.
func TestOddStatuses(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 099 OK", "HTTP/1.1 1000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 abc OK", "HTTP/1.1", "HTTP/1.1 000 OK\r\nHTTP/1.1 200 OK", "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			for _, rest := range []string{"Content-Length: 5\r\n\r\nwhole", "\r\nwhole", "Content-Length: 0\r\n\r\n"} {
				c := qt.New(t)
				s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
					read(br)
					_, _ = fmt.Fprintf(conn, "%s\r\nX-Id: 1\r\n%s", line, rest)
					_ = conn.Close()
				})
				p := upconn.New(s.listener.Addr().String(), dialect{})
				_, err := run(c, p, "1")
				c.Assert(err, qt.IsNotNil)
				c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown)
				c.Assert(p.Close(), qt.IsNil)
			}
		})
	}
}
