package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/caller"
	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// fakeService implements caller.Service with fixed settings.
type fakeService struct {
	rule    caller.Rule
	shared  bool
	needs   bool
	maxBody int64
}

func (s fakeService) Divided() bool                 { return !s.shared }
func (s fakeService) KeyRule() caller.Rule          { return s.rule }
func (s fakeService) MaxBody() int64                { return s.maxBody }
func (s fakeService) DefaultTimeout() time.Duration { return 3 * time.Second }
func (s fakeService) RequiresIdempotencyKey() bool  { return s.needs }

// fakeServices implements caller.ServiceSource with a fixed set of services.
type fakeServices map[ident.Service]fakeService

func (fakeServices) Ready() bool { return true }

func (s fakeServices) Service(name ident.Service) (caller.Service, bool) {
	found, ok := s[name]
	return found, ok
}

var services = fakeServices{
	"header": {},
	"path":   {rule: caller.PathRule(1)},
	"query":  {rule: caller.QueryRule("round")},
	"named":  {rule: caller.HeaderRule("Round")},
	"media":  {shared: true},
	"strict": {rule: caller.PathRule(0), needs: true},
	"small":  {rule: caller.PathRule(0), maxBody: 10},
}

// executorFunc adapts a function to calls.Executor.
type executorFunc func(ctx context.Context, call *calls.Call) (*calls.Reply, error)

func (r executorFunc) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	return r(ctx, call)
}

func answer(text string, length int64) *calls.Reply {
	return &calls.Reply{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), Length: length}
}

func TestRequests(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		header                   map[string]string
		key, upstreamPath        string
		timeout                  time.Duration
		refused                  calls.Reason
	}{
		{name: "key in header", path: "/header/a/b?x=1", header: map[string]string{"Moor-Key": "k"}, key: "k", upstreamPath: "/a/b?x=1"},
		{name: "key in path", path: "/path/rounds/r%2F1/stops", key: "r/1", upstreamPath: "/rounds/r%2F1/stops"},
		{name: "key in query", path: "/query/?round=r%201", key: "r 1", upstreamPath: "/?round=r%201"},
		{name: "key in named header", path: "/named", header: map[string]string{"Round": "r1"}, key: "r1", upstreamPath: "/"},
		{name: "header before rule", path: "/path/rounds/r1", header: map[string]string{"Moor-Key": "k"}, key: "k", upstreamPath: "/rounds/r1"},
		{name: "no key needed", path: "/media/photo", upstreamPath: "/photo"},
		{name: "no key", path: "/path/rounds", refused: calls.ReasonBadRequest},
		{name: "control character in key", path: "/path/rounds/a%00b", refused: calls.ReasonBadRequest},
		{name: "long key", path: "/path/rounds/" + strings.Repeat("k", 513), refused: calls.ReasonBadRequest},
		{name: "unknown service", path: "/other/x", refused: calls.ReasonNoService},
		{name: "no service", path: "/", refused: calls.ReasonNoService},
		{name: "timeout", path: "/media/x", header: map[string]string{"Moor-Timeout": "250"}, upstreamPath: "/x", timeout: 250 * time.Millisecond},
		{name: "timeout bounded", path: "/media/x", header: map[string]string{"Moor-Timeout": "2000000000"}, upstreamPath: "/x", timeout: time.Minute},
		{name: "malformed timeout", path: "/media/x", header: map[string]string{"Moor-Timeout": "-1"}, refused: calls.ReasonBadRequest},
		{name: "idempotency key needed", method: "POST", path: "/strict/x", refused: calls.ReasonKeyNeeded},
		{name: "idempotency key given", method: "POST", path: "/strict/x", header: map[string]string{"Idempotency-Key": "i"}, key: "x", upstreamPath: "/x"},
		{name: "body too large", method: "POST", path: "/small/x", body: "more than ten", refused: calls.ReasonTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			var got *calls.Call
			h := caller.New(executorFunc(func(_ context.Context, call *calls.Call) (*calls.Reply, error) {
				got = call
				return answer("ok", 2), nil
			}), services, caller.WithClock(clock))
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			for name, value := range tt.header {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			c.Assert(w.Header().Get("Moor-Request"), qt.Not(qt.Equals), "")
			c.Assert(calls.Reason(w.Header().Get("Moor-Reason")), qt.Equals, tt.refused)
			if tt.refused != "" {
				c.Assert(got, qt.IsNil)
				c.Assert(w.Header().Get("Moor-Outcome"), qt.Equals, "not-run")
				return
			}
			c.Assert(got.Key, qt.Equals, tt.key)
			c.Assert(got.Path, qt.Equals, tt.upstreamPath)
			want := tt.timeout
			if want == 0 {
				want = 3 * time.Second
			}
			c.Assert(got.Deadline, qt.Equals, clock.Now().Add(want))
		})
	}
}

func TestForgedHeadersAreRemoved(t *testing.T) {
	c := qt.New(t)
	var got http.Header
	h := caller.New(executorFunc(func(_ context.Context, call *calls.Call) (*calls.Reply, error) {
		got = call.Header
		reply := answer("ok", 2)
		reply.Header = http.Header{"Moor-Slot": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-App": {"1"}}
		return reply, nil
	}), services)
	r := httptest.NewRequest(http.MethodGet, "/media/x", nil)
	r.Header = http.Header{
		"Moor-Slot": {"1"}, "Moor-Epoch": {"9"}, "Moor-Ran": {"no"}, "moor-deadline": {"1"},
		"Connection": {"close, x-secret"}, "X-Secret": {"1"}, "Upgrade": {"websocket"}, "X-App": {"1"},
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	c.Assert(got, qt.DeepEquals, http.Header{"X-App": {"1"}})
	c.Assert(w.Header().Get("Moor-Slot"), qt.Equals, "")
	c.Assert(w.Header().Get("X-Hop"), qt.Equals, "")
	c.Assert(w.Header().Get("X-App"), qt.Equals, "1")
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	h := caller.New(executorFunc(func(context.Context, *calls.Call) (*calls.Reply, error) {
		return nil, calls.NewNotRun(calls.ReasonOverload, calls.WithRetryAfter(1200*time.Millisecond))
	}), services)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/media/x", nil))
	c.Assert(w.Code, qt.Equals, http.StatusTooManyRequests)
	c.Assert(w.Header().Get("Retry-After"), qt.Equals, "2")
	c.Assert(w.Header().Get("Moor-Reason"), qt.Equals, "overload")
}

// nopCloser adds a Close method that does nothing to a reader of a truncated body.
type nopCloser struct{ io.Reader }

func (nopCloser) Close() error { return nil }

// TestCutAnswerAbortsTheConnection checks that a caller gets an error while it
// reads an answer whose upstream body ends early, and never a complete answer.
func TestCutAnswerAbortsTheConnection(t *testing.T) {
	content := strings.Repeat("x", 100<<10)
	tests := []struct {
		name  string
		reply func() *calls.Reply
		whole bool
	}{
		{name: "whole", whole: true, reply: func() *calls.Reply { return answer(content, int64(len(content))) }},
		{name: "whole, length not known", whole: true, reply: func() *calls.Reply { return answer(content, -1) }},
		{name: "shorter than announced", reply: func() *calls.Reply { return answer(content, int64(len(content))+1) }},
		{name: "error, length not known", reply: func() *calls.Reply {
			reply := answer("", -1)
			reply.Body = nopCloser{io.MultiReader(strings.NewReader(content), brokenReader{})}
			return reply
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(caller.New(executorFunc(func(context.Context, *calls.Call) (*calls.Reply, error) {
				return tt.reply(), nil
			}), services))
			defer server.Close()
			response, err := http.Get(server.URL + "/media/x")
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			c.Assert(err == nil, qt.Equals, tt.whole)
		})
	}
}

// brokenReader fails on the first read.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("cut") }

func TestInflightIsBounded(t *testing.T) {
	c := qt.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	h := caller.New(executorFunc(func(context.Context, *calls.Call) (*calls.Reply, error) {
		close(started)
		<-release
		return answer("ok", 2), nil
	}), services, caller.WithMaxInflight(1))
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/media/x", nil))
	}()
	<-started
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/media/x", nil))
	c.Assert(w.Code, qt.Equals, http.StatusTooManyRequests)
	close(release)
	<-done
}

// TestServerLimits checks the limits of a server over real connections with callers
// that send slowly, send too much or open too many connections.
func TestServerLimits(t *testing.T) {
	limits := caller.DefaultLimits()
	limits.HeaderTime, limits.ReadTime, limits.Conns = 50*time.Millisecond, 100*time.Millisecond, 2
	limits.Header = 4 << 10
	handler := caller.New(executorFunc(func(_ context.Context, call *calls.Call) (*calls.Reply, error) {
		if _, err := io.Copy(io.Discard, call.Body); err != nil {
			return nil, calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(err))
		}
		return answer("ok", 2), nil
	}), services)
	tests := []struct {
		name, send, want string
		before           int
	}{
		{name: "good", send: "GET /media/x HTTP/1.1\r\nHost: a\r\n\r\n", want: "HTTP/1.1 200 OK"},
		{name: "slow header", send: "GET /media/x HTTP/1.1\r\nHost:"},
		{name: "slow body", send: "POST /media/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", want: "HTTP/1.1 503 Service Unavailable"},
		{name: "large header", send: "GET /media/x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", want: "HTTP/1.1 431 Request Header Fields Too Large"},
		{name: "too many connections", before: 2, send: "GET /media/x HTTP/1.1\r\nHost: a\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			server := caller.NewServer("", handler, limits)
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			for range tt.before {
				conn, err := net.Dial("tcp", listener.Addr().String())
				c.Assert(err, qt.IsNil)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "GET /media/x HTTP/1.1\r\nHost: a\r\n\r\n")
				c.Assert(err, qt.IsNil)
				_, err = bufio.NewReader(conn).ReadString('\n')
				c.Assert(err, qt.IsNil)
			}
			conn, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, _ = io.WriteString(conn, tt.send)
			line, _ := bufio.NewReader(conn).ReadString('\n')
			c.Assert(strings.TrimSpace(line), qt.Equals, tt.want)
		})
	}
}

func TestFreshIdempotencyKey(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	h := caller.New(nil, services, caller.WithClock(clock))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/.moor/key", nil))
	made, err := calls.IdempotencyTime(strings.TrimSpace(w.Body.String()))
	c.Assert(err, qt.IsNil)
	c.Assert(made.Equal(clock.Now().Truncate(time.Millisecond)), qt.IsTrue)
}

func FuzzRequest(f *testing.F) {
	f.Add("/path/rounds/r1?x=%zz", "Moor-Key", "k")
	f.Add("/query/?round=%00", "Connection", "Moor-Key, ,")
	f.Add("//..%2f/%", "mOOr-slot", "\x7f")
	h := caller.New(executorFunc(func(_ context.Context, call *calls.Call) (*calls.Reply, error) {
		if call.Key == "" && call.Service != "media" {
			panic("call without a key")
		}
		if !strings.HasPrefix(call.Path, "/") {
			panic("path is not absolute: " + call.Path)
		}
		for name := range call.Header {
			if strings.HasPrefix(http.CanonicalHeaderKey(name), "Moor-") {
				panic("internal header " + name)
			}
		}
		return answer("ok", 2), nil
	}), services)
	f.Fuzz(func(t *testing.T, target, name, value string) {
		u, err := url.ParseRequestURI(target)
		if err != nil || u.Host != "" {
			return
		}
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.URL, r.RequestURI = u, target
		r.Header[name] = []string{value}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Header().Get(calls.HeaderOutcome) == "" {
			t.Fatal("answer without an outcome")
		}
	})
}
