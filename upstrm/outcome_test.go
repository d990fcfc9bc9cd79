package upstrm_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

// hijack answers with raw bytes and closes the connection.
func hijack(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	}
}

func refuse(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Moor-Ran", "no")
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(status)
	}
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		owner   ident.Incarnation
		outcome calls.Outcome
		reason  calls.Reason
	}{
		{name: "answered", handler: func(http.ResponseWriter, *http.Request) {}, outcome: calls.Answered},
		{name: "connection closed without an answer", handler: hijack(""), outcome: calls.Unknown, reason: calls.ReasonUpstreamLost},
		{name: "answer cut", handler: hijack("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), outcome: calls.Unknown, reason: calls.ReasonUpstreamLost},
		{name: "answer without length", handler: hijack("HTTP/1.1 200 OK\r\n\r\nhalf"), outcome: calls.Unknown, reason: calls.ReasonUpstreamLost},
		{name: "header cut", handler: hijack("HTTP/1.1 200 OK\r\nContent-Le"), outcome: calls.Unknown, reason: calls.ReasonUpstreamLost},
		{name: "shed by the upstream", handler: refuse(429), outcome: calls.NotRun, reason: calls.ReasonUpstreamShed},
		{name: "token refused", handler: refuse(409), outcome: calls.NotRun, reason: calls.ReasonFenced},
		{name: "own error of the upstream", handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, outcome: calls.Answered},
		{name: "other owner", handler: func(http.ResponseWriter, *http.Request) {}, owner: ident.NewIncarnation("b", 2), outcome: calls.NotRun, reason: calls.ReasonNotOwner},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			v := newView()
			if !tt.owner.IsZero() {
				v.set(func(v *view) { v.owner = tt.owner })
			}
			x, _ := newExecutor(t, v, tt.handler)
			got, reason, reply := outcome(x, newCall(http.MethodPost, "r1", "stop"))
			c.Assert(got, qt.Equals, tt.outcome)
			c.Assert(reason, qt.Equals, tt.reason)
			if reply != nil {
				c.Assert(reply.Body.Close(), qt.IsNil)
			}
			c.Assert(x.Inflight(), qt.Equals, 0)
		})
	}
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	c := qt.New(t)
	x, server := newExecutor(t, newView(), http.NotFoundHandler())
	server.Close()
	got, reason, _ := outcome(x, newCall(http.MethodPost, "r1", "stop"))
	c.Assert(got, qt.Equals, calls.NotRun)
	c.Assert(reason, qt.Equals, calls.ReasonUpstreamDown)
}

func TestLeaseIsCheckedBeforeTheAnswerGoesOut(t *testing.T) {
	changes := map[string]func(*view){
		"lease ran out":  func(v *view) { v.lease = 0 },
		"owner replaced": func(v *view) { v.owner, v.epoch = ident.NewIncarnation("b", 2), v.epoch+1 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v := newView()
			x, _ := newExecutor(t, v, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { v.set(change) }))
			got, reason, _ := outcome(x, newCall(http.MethodGet, "r1", ""))
			c.Assert(got, qt.Equals, calls.Unknown)
			c.Assert(reason, qt.Equals, calls.ReasonFenced)
		})
	}
}

// TestNeverSentTwice closes a reused connection after the request has run. The
// HTTP transport would retry a request that it considers replayable.
func TestNeverSentTwice(t *testing.T) {
	tests := []struct{ name, method, key, body string }{
		{name: "safe method", method: http.MethodGet},
		{name: "safe method with a key", method: http.MethodGet, key: "k"},
		{name: "idempotency key and no body", method: http.MethodPost, key: "k"},
		{name: "idempotency key and body", method: http.MethodPost, key: "k", body: "stop"},
		{name: "no key", method: http.MethodPost, body: "stop"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var runs atomic.Int32
			x, _ := newExecutor(t, newView(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) > 1 {
					hijack("")(w, r)
				}
			}))
			for i := range 2 {
				call := newCall(tt.method, "r1", tt.body)
				if tt.key != "" {
					call.Header.Set(calls.HeaderIdempotency, tt.key)
				}
				got, _, reply := outcome(x, call)
				c.Assert(got, qt.Equals, []calls.Outcome{calls.Answered, calls.Unknown}[i])
				if reply != nil {
					_ = reply.Body.Close()
				}
			}
			c.Assert(runs.Load(), qt.Equals, int32(2))
		})
	}
}

// TestRefusalSentAgain has an upstream that refuses a call and keeps the connection. When the
// next request arrives on it, the upstream runs it but sends the refusal once more. The next
// call must not be reported as not run.
func TestRefusalSentAgain(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nMoor-Ran: no\r\nContent-Length: 0\r\n\r\n"
	c := qt.New(t)
	var first atomic.Bool
	x, _ := newExecutor(t, newView(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !first.CompareAndSwap(false, true) {
			return
		}
		conn, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for {
			_, _ = io.WriteString(conn, refusal)
			r, err := http.ReadRequest(rw.Reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}))
	got, reason, _ := outcome(x, newCall(http.MethodPost, "r1", "stop"))
	c.Assert(got, qt.Equals, calls.NotRun)
	c.Assert(reason, qt.Equals, calls.ReasonUpstreamShed)
	got, _, reply := outcome(x, newCall(http.MethodPost, "r1", "go"))
	c.Assert(got, qt.Equals, calls.Answered)
	c.Assert(reply.Body.Close(), qt.IsNil)
}

// TestRefusalsFailNoOtherCalls has an upstream that refuses every second call. The connections
// that carried a refusal are closed, which must not fail or truncate the calls that come next.
func TestRefusalsFailNoOtherCalls(t *testing.T) {
	for name, size := range map[string]int{"buffered body": 10, "streamed body": 2 << 20} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var served atomic.Int32
			x, _ := newExecutor(t, newView(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				c.Check(n, qt.Equals, int64(size))
				if served.Add(1)%2 == 0 {
					refuse(http.StatusTooManyRequests)(w, r)
				}
			}))
			body := strings.Repeat("b", size)
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					for range 50 {
						call := newCall(http.MethodPost, "r1", body)
						call.Body = io.NopCloser(strings.NewReader(body))
						got, reason, reply := outcome(x, call)
						if reply != nil {
							c.Check(reply.Body.Close(), qt.IsNil)
						}
						if reason != calls.ReasonUpstreamShed {
							c.Check(got, qt.Equals, calls.Answered, qt.Commentf("%s", reason))
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// TestNeverSentTwiceAfterARefusal has an upstream that refuses a call and closes the connection,
// and loses the next call. That call may have run and must not be sent on a third connection.
func TestNeverSentTwiceAfterARefusal(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nMoor-Ran: no\r\nContent-Length: 0\r\n\r\n"
	c := qt.New(t)
	var refused atomic.Bool
	var runs atomic.Int32
	x, _ := newExecutor(t, newView(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.CompareAndSwap(false, true) {
			hijack(refusal)(w, r)
			return
		}
		runs.Add(1)
		hijack("")(w, r)
	}))
	for range 100 {
		refused.Store(false)
		runs.Store(0)
		got, _, _ := outcome(x, newCall(http.MethodPost, "r1", "stop"))
		c.Assert(got, qt.Equals, calls.NotRun)
		got, _, _ = outcome(x, newCall(http.MethodPost, "r1", "go"))
		c.Assert(got, qt.Equals, calls.Unknown)
		c.Assert(runs.Load(), qt.Equals, int32(1))
	}
}

// TestLargeAnswerCutMidway truncates answers of two sizes. Truncation of a
// buffered answer is found before the caller gets a reply; truncation of a
// streamed one is an error of the reply's body.
func TestLargeAnswerCutMidway(t *testing.T) {
	for name, size := range map[string]int{"held": 1 << 20, "streamed": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x, _ := newExecutor(t, newView(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(size))
				_, _ = w.Write(make([]byte, size/2))
				panic(http.ErrAbortHandler)
			}))
			got, reason, reply := outcome(x, newCall(http.MethodGet, "r1", ""))
			if name == "held" {
				c.Assert(got, qt.Equals, calls.Unknown)
				c.Assert(reason, qt.Equals, calls.ReasonUpstreamLost)
				c.Assert(x.Inflight(), qt.Equals, 0)
				return
			}
			n, err := io.Copy(io.Discard, reply.Body)
			c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
			c.Assert(n < int64(size), qt.IsTrue)
			c.Assert(x.Inflight(), qt.Equals, 1)
			c.Assert(reply.Body.Close(), qt.IsNil)
			c.Assert(x.Inflight(), qt.Equals, 0)
		})
	}
}

func TestCancellationReachesTheUpstream(t *testing.T) {
	c := qt.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	x, _ := newExecutor(t, newView(), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := x.Run(ctx, newCall(http.MethodGet, "r1", ""))
	e := calls.AsError(err)
	c.Assert(e.Outcome(), qt.Equals, calls.Unknown)
	c.Assert(e.Reason(), qt.Equals, calls.ReasonCanceled)
	<-ended
}

// TestSilentConnection keeps the first connection silent while new connections
// work, as happens when a firewall or NAT loses its connection-table entry.
func TestSilentConnection(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	var first atomic.Value
	lines := make(chan string, 64)
	log := funcr.New(func(_, args string) { lines <- args }, funcr.Options{})
	x, _ := newExecutor(t, newView(), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(nil, r.RemoteAddr) {
			<-release
		}
	}), upstrm.WithSilenceTimeouts(20*time.Millisecond, 500*time.Millisecond), upstrm.WithLogger(log))
	defer close(release)
	got, reason, _ := outcome(x, newCall(http.MethodGet, "r1", ""))
	c.Assert(got, qt.Equals, calls.Unknown)
	c.Assert(reason, qt.Equals, calls.ReasonUpstreamLost)
	c.Assert(<-lines, qt.Contains, "silent connection replaced")
	got, _, _ = outcome(x, newCall(http.MethodGet, "r1", ""))
	c.Assert(got, qt.Equals, calls.Answered)
}

func TestUploadCutBeforeItsStartDidNotRun(t *testing.T) {
	c := qt.New(t)
	x, _ := newExecutor(t, newView(), http.NotFoundHandler())
	ctx, cancel := context.WithCancel(context.Background())
	call := newCall(http.MethodPost, "r1", "")
	call.Body, call.Length = &failing{cancel: cancel}, 1<<20
	_, err := x.Run(ctx, call)
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
	c.Assert(x.Inflight(), qt.Equals, 0)
}

// failing is a body whose caller disconnects before the first byte.
type failing struct{ cancel func() }

func (f *failing) Read([]byte) (int, error) {
	f.cancel()
	return 0, errors.New("caller has gone")
}
