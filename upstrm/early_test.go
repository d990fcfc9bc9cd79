package upstrm_test

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
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

// An upstream answers a long upload at once, without a length, sends a part of the answer and
// resets the connection while the upload is still being written. The writer of the upload may
// get the reset, and the reader then only the end of the connection; the part must not pass
// for the whole answer.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(conn)
				for line := ""; line != "\r\n"; {
					if line, err = br.ReadString('\n'); err != nil {
						break
					}
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 100))
				time.Sleep(time.Duration(n%5) * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	x := upstrm.New(func() upstrm.View { return newView() }, upstrm.WithHost("a"))
	defer func() { _ = x.Close() }()
	attach(t, x, "http://"+listener.Addr().String(), "one", true)
	for i := range 60 {
		call := newCall("POST", "r1", strings.Repeat("u", 8<<20))
		reply, err := x.Run(context.Background(), call)
		if err != nil {
			c.Assert(calls.AsError(err).Outcome(), qt.Not(qt.Equals), calls.NotRun, qt.Commentf("run %d: %v", i, err))
			continue
		}
		n, err := io.Copy(io.Discard, reply.Body)
		c.Assert(err, qt.IsNotNil, qt.Commentf("run %d: %d bytes of an answer that was reset pass for all of it", i, n))
		_ = reply.Body.Close()
	}
}
