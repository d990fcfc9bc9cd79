package upconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/upconn"
)

// dialect implements upconn.Dialect with a minimal protocol: the header X-Id carries
// the call's id in the request and in the answer, and the header X-No in an answer
// means that the call did not run.
type dialect struct{}

func (dialect) Request(call *calls.Call, _ time.Duration, _ string) *http.Request {
	return &http.Request{
		Method: call.Method, URL: &url.URL{Opaque: call.Path}, Host: "up",
		Header: http.Header{"X-Id": {call.ID}, "User-Agent": {""}},
	}
}

func (dialect) Classify(call *calls.Call, _ string, response *http.Response) upconn.AnswerKind {
	switch id := response.Header.Get("X-Id"); {
	case id != call.ID && id != "":
		return upconn.Stale
	case response.Header.Get("X-No") != "":
		return upconn.NotRun
	case id == "":
		return upconn.Invalid
	}
	return upconn.Matched
}

func (dialect) Identifies(call *calls.Call, response *http.Response) bool {
	return response.Header.Get("X-Id") == call.ID
}

// server is an upstream that calls script for each request; n is the index of the
// request on its connection.
type server struct {
	listener net.Listener
	script   func(conn net.Conn, br *bufio.Reader, n int)
	mu       sync.Mutex
	conns    int
	requests int
}

// opened returns the number of accepted connections.
func (s *server) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// serve starts a server that is closed at the end of the test.
func serve(c *qt.C, script func(conn net.Conn, br *bufio.Reader, n int)) *server {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &server{listener: listener, script: script}
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go func() {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				for n := 0; ; n++ {
					if _, err := br.Peek(1); err != nil {
						return
					}
					s.mu.Lock()
					s.requests++
					s.mu.Unlock()
					script(conn, br, n)
				}
			}()
		}
	}()
	return s
}

// read reads a request and returns its id.
func read(br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("X-Id")
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func call(id string, repeatable bool) *calls.Call {
	return &calls.Call{
		ID: id, Method: http.MethodGet, Path: "/x?y=1", Body: calls.NewBuffered(nil),
		Deadline: time.Now().Add(2 * time.Second), Terms: calls.RoutePolicy{Repeatable: repeatable},
	}
}

func run(c *qt.C, p *upconn.Pool, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	reply, err := p.Run(ctx, call(id, true), "life")
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	_ = reply.Body.Close()
	return string(data), nil
}

func TestConnectionIsUsedAgain(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
		_, _ = io.WriteString(conn, answer(read(br), "hello"))
	})
	p := upconn.New(s.listener.Addr().String(), dialect{})
	for i := range 5 {
		body, err := run(c, p, fmt.Sprint(i))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "hello")
	}
	c.Assert(s.opened(), qt.Equals, 1)
	p.Reset()
	_, err := run(c, p, "6")
	c.Assert(err, qt.IsNil)
	c.Assert(s.opened(), qt.Equals, 2)
}

// TestFaultyAnswers simulates faults of an upstream in its answer to the second call
// on a connection, after a correct answer to the first. It checks the outcome of the
// second call and that a third call is not affected.
func TestFaultyAnswers(t *testing.T) {
	for _, test := range []struct {
		name   string
		second func(conn net.Conn, id string)
		want   string
		// outcome is the expected outcome of a call without an answer.
		outcome calls.Outcome
	}{
		{"late second answer to the first call", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, answer("1", "old")+answer(id, "new"))
		}, "new", 0},
		{"only an answer to the first call", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, answer("1", "old"))
			_ = conn.Close()
		}, "", calls.Unknown},
		{"cut body", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, answer(id, "hello")[:49])
			_ = conn.Close()
		}, "", calls.Unknown},
		{"no answer at all", func(conn net.Conn, _ string) { _ = conn.Close() }, "", calls.Unknown},
		{"reset", func(conn net.Conn, _ string) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}, "", calls.Unknown},
		{"bytes that are no answer", func(conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, "\x00\x01garbage\r\n\r\n")
			_ = conn.Close()
		}, "", calls.Unknown},
		{"an answer without id", func(conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}, "", calls.Unknown},
		{"a body that ends with the connection", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nConnection: close\r\n\r\nto the end")
			_ = conn.Close()
		}, "to the end", 0},
		{"such a body, reset", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nConnection: close\r\n\r\nto the")
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}, "", calls.Unknown},
		{"refused", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Id: "+id+"\r\nX-No: 1\r\nContent-Length: 0\r\n\r\n")
		}, "", calls.NotRun},
		{"bytes after the answer", func(conn net.Conn, id string) {
			_, _ = io.WriteString(conn, answer(id, "fine")+"HTTP/1.1 200")
		}, "fine", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(c, func(conn net.Conn, br *bufio.Reader, n int) {
				id := read(br)
				if n == 0 && id == "1" {
					_, _ = io.WriteString(conn, answer(id, "first"))
					return
				}
				if id == "2" {
					test.second(conn, id)
					return
				}
				_, _ = io.WriteString(conn, answer(id, "third"))
			})
			p := upconn.New(s.listener.Addr().String(), dialect{})
			_, err := run(c, p, "1")
			c.Assert(err, qt.IsNil)
			body, err := run(c, p, "2")
			if test.outcome != 0 {
				c.Assert(err, qt.IsNotNil)
				c.Assert(calls.AsError(err).Outcome(), qt.Equals, test.outcome, qt.Commentf("%v", err))
			} else {
				c.Assert(err, qt.IsNil)
				c.Assert(body, qt.Equals, test.want)
			}
			time.Sleep(10 * time.Millisecond)
			body, err = run(c, p, "3")
			c.Assert(err, qt.IsNil, qt.Commentf("the next call must not suffer"))
			c.Assert(body, qt.Equals, "third")
		})
	}
}

// TestRefusalSentAgain has an upstream that refuses a call and keeps the connection. When the
// next request arrives on it, the upstream sends the refusal once more and runs the request.
// That refusal must not be taken for the one of the next call, nor of the same call when it
// is sent again, which would be reported as not run and run a second time.
func TestRefusalSentAgain(t *testing.T) {
	for _, test := range []struct {
		name, header string
		// next is the id of the call that follows the refused one, "1".
		next string
	}{
		{"with the id, before another call", "X-Id: 1\r\n", "2"},
		{"with the id, before the same call", "X-Id: 1\r\n", "1"},
		{"without an id, before another call", "", "2"},
		{"without an id, before the same call", "", "1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			refusal := "HTTP/1.1 503 Busy\r\nX-No: 1\r\n" + test.header + "Content-Length: 0\r\n\r\n"
			var refused atomic.Bool
			s := serve(c, func(conn net.Conn, br *bufio.Reader, n int) {
				id := read(br)
				if refused.CompareAndSwap(false, true) {
					_, _ = io.WriteString(conn, refusal)
					return
				}
				if n > 0 {
					_, _ = io.WriteString(conn, refusal)
				}
				_, _ = io.WriteString(conn, answer(id, "ran"))
			})
			p := upconn.New(s.listener.Addr().String(), dialect{})
			_, err := p.Run(context.Background(), call("1", false), "life")
			c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
			reply, err := p.Run(context.Background(), call(test.next, false), "life")
			c.Assert(err, qt.IsNil)
			data, err := io.ReadAll(reply.Body)
			c.Assert(err, qt.IsNil)
			c.Check(string(data), qt.Equals, "ran")
		})
	}
}

func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer(r.Header.Get("X-Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	p := upconn.New(s.listener.Addr().String(), dialect{})
	large := call("1", false)
	large.Method, large.Body = http.MethodPost, calls.NewBuffered([]byte(strings.Repeat("x", 8<<20)))
	large.Length = 8 << 20
	reply, err := p.Run(context.Background(), large, "life")
	c.Assert(err, qt.IsNil)
	data, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "early")
	_, err = run(c, p, "2")
	c.Assert(err, qt.IsNil)
	c.Assert(s.opened(), qt.Equals, 2, qt.Commentf("a connection with half a request is not used again"))
}

func TestCallerGone(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
		read(br)
		_, _ = br.ReadByte()
		close(closed)
		_ = conn.Close()
	})
	p := upconn.New(s.listener.Addr().String(), dialect{})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := p.Run(ctx, call("1", true), "life")
	c.Assert(calls.AsError(err).Reason(), qt.Equals, calls.ReasonCanceled)
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		c.Fatal("the upstream did not see the connection close")
	}
}

func TestNothingListens(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	down := 0
	p := upconn.New(addr, dialect{}, upconn.WithDown(func(sure bool) {
		if sure {
			down++
		}
	}))
	_, err = run(c, p, "1")
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
	c.Assert(calls.AsError(err).Reason(), qt.Equals, calls.ReasonUpstreamDown)
	c.Assert(down, qt.Equals, 1)
}

// TestForgottenConnection checks that a call that must not run twice is not sent on a
// connection that has been idle for longer than 250 ms: the upstream may have silently
// closed it, and then the outcome of the call would be unknown.
func TestForgottenConnection(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, br *bufio.Reader, _ int) {
		_, _ = io.WriteString(conn, answer(read(br), "ok"))
	})
	p := upconn.New(s.listener.Addr().String(), dialect{})
	_, err := run(c, p, "1")
	c.Assert(err, qt.IsNil)
	time.Sleep(400 * time.Millisecond)
	_, err = p.Run(context.Background(), call("2", false), "life")
	c.Assert(err, qt.IsNil)
	c.Assert(s.opened(), qt.Equals, 2)
}
