package upstrm_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/caller"
	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/route"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

// TestPhotosAreStreamed uploads and downloads a photo. The second half of each
// is only produced once part of the first one has arrived, which would block if
// bodies were buffered completely.
func TestPhotosAreStreamed(t *testing.T) {
	c := qt.New(t)
	const half = 2 << 20
	arrived := make(chan struct{})
	read := make(chan struct{})
	var received atomic.Int64
	v := newView()
	x, _ := newExecutor(t, v, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first, _ := io.CopyN(io.Discard, r.Body, half/2)
		close(arrived)
		rest, _ := io.Copy(io.Discard, r.Body)
		received.Store(first + rest)
		w.Header().Set("Content-Length", "4194304")
		_, _ = w.Write(make([]byte, half))
		<-read
		_, _ = w.Write(make([]byte, half))
	}))
	router := route.New(func() route.View { return v }, x, noPeer{})
	front := httptest.NewServer(caller.New(router, settings{}))
	defer front.Close()

	body, upload := io.Pipe()
	go func() {
		_, _ = upload.Write(make([]byte, half))
		<-arrived
		_, _ = upload.Write(make([]byte, half))
		_ = upload.Close()
	}()
	response, err := http.Post(front.URL+"/rounds-desk/rounds/r1/photo", "image/jpeg", body)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	first, err := io.CopyN(io.Discard, response.Body, half/2)
	c.Assert(err, qt.IsNil)
	close(read)
	rest, err := io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(first+rest, qt.Equals, int64(2*half))
	c.Assert(received.Load(), qt.Equals, int64(2*half))
	for x.Inflight() > 0 {
		runtime.Gosched()
	}
}

// TestSlowCallersDoNotTakeSlots leaves one answer unread and stalls the body of
// another call at an upstream with one slot. A third call must still be served
// when there is memory to buffer the bodies.
func TestSlowCallersDoNotTakeSlots(t *testing.T) {
	for name, memory := range map[string]int64{"held in memory": 4 << 20, "no memory": 0} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			gate := admit.New()
			photo := make([]byte, 512<<10)
			x, server := newExecutor(t, newView(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Length", strconv.Itoa(len(photo)))
				_, _ = w.Write(photo)
			}), upstrm.WithGate(gate), upstrm.WithMemoryLimit(memory))
			err := x.Attach(grant.Announcement{Service: service, Instance: "one", URL: server.URL, Slots: 1, Conns: 2, ChecksTokens: true})
			c.Assert(err, qt.IsNil)

			_, _, unread := outcome(x, newCall(http.MethodGet, "r1", ""))
			stalled, stall := io.Pipe()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				call := newCall(http.MethodPost, "r2", "")
				call.Body, call.Length = stalled, int64(len(photo))
				_, _, reply := outcome(x, call)
				if reply != nil {
					_ = reply.Body.Close()
				}
			}()
			_, err = stall.Write(make([]byte, 4<<10))
			c.Assert(err, qt.IsNil)

			call := newCall(http.MethodGet, "r3", "")
			call.Deadline = time.Now().Add(300 * time.Millisecond)
			ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
			defer cancel()
			reply, err := x.Run(ctx, call)
			c.Assert(err == nil, qt.Equals, memory > 0, qt.Commentf("%v", err))
			if reply != nil {
				c.Assert(reply.Body.Close(), qt.IsNil)
			}
			c.Assert(unread.Body.Close(), qt.IsNil)
			_ = stall.CloseWithError(io.ErrUnexpectedEOF)
			<-ended
		})
	}
}

// TestConnectionsAreBounded runs concurrent calls at an upstream that may announce
// a connection limit. The lower of this and the daemon's own limit applies.
func TestConnectionsAreBounded(t *testing.T) {
	const atOnce = 6
	for _, tt := range []struct {
		name             string
		announced, bound int
		want             int32
	}{
		{name: "the daemon's bound", announced: 4, bound: 2, want: 2},
		{name: "the upstream's number", announced: 3, bound: 5, want: 3},
		{name: "none announced", announced: 0, bound: 2, want: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var opened, running atomic.Int32
			full := make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				// The first calls are held until all connections are in use.
				if running.Add(1) == tt.want {
					close(full)
				}
				<-full
				w.WriteHeader(http.StatusNoContent)
			}))
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					opened.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			v := newView()
			x := upstrm.New(func() upstrm.View { return v }, upstrm.WithHost("a"), upstrm.WithMaxConns(tt.bound))
			defer func() { _ = x.Close() }()
			c.Assert(x.Attach(grant.Announcement{
				Service: service, Instance: "one", URL: server.URL, Slots: 20, Conns: tt.announced, ChecksTokens: true,
			}), qt.IsNil)
			var all sync.WaitGroup
			for i := range atOnce {
				all.Go(func() {
					kind, reason, _ := outcome(x, newCall(http.MethodGet, "r"+strconv.Itoa(i), ""))
					c.Check(kind, qt.Equals, calls.Answered, qt.Commentf("%s", reason))
				})
			}
			all.Wait()
			c.Assert(opened.Load(), qt.Equals, tt.want)
		})
	}
}
