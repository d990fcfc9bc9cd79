package mesh_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// crashPath is the path of a call that crashes every upstream that runs it.
const crashPath = "/deadly"

// slowPath is the path of a harmless call that takes slowTime.
const (
	slowPath = "/slow"
	slowTime = 100 * time.Millisecond
)

// restartDelay is how long a crashed upstream stays down before it restarts.
const restartDelay = 300 * time.Millisecond

// crashingUpstream wraps a host's upstream. It crashes when it runs a call to crashPath
// and restarts as a new instance at the same address after restartDelay.
type crashingUpstream struct {
	c    *qt.C
	host *host
	ran  *atomic.Int32
}

func (x crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == slowPath {
		time.Sleep(slowTime)
	}
	if r.URL.Path != crashPath {
		x.host.ServeHTTP(w, r)
		return
	}
	x.ran.Add(1)
	go x.crash()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (x crashingUpstream) crash() {
	h := x.host
	addr := h.upstream.Listener.Addr().String()
	h.stop()
	_ = h.upstream.Listener.Close()
	h.upstream.CloseClientConnections()
	time.Sleep(restartDelay)
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		x.c.Errorf("restart upstream: %v", err)
		return
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: x}}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.upstream, h.stop = server, cancel
	h.mu.Unlock()
	go h.sendHeartbeats(ctx, h.node, time.Now().UnixMilli())
}

// sendOnce sends a call without a key to a path, which is attempted once.
func (h *host) sendOnce(path string) error {
	call := newCall(plain, 0)
	call.Path, call.Terms.Attempts = path, 1
	_, err := h.node.Run(context.Background(), call)
	return err
}

// TestCallThatCrashesUpstreams repeats a call that crashes every upstream that runs it,
// mixed with harmless calls. The call must be quarantined after the third crash, while
// the other calls are still served.
func TestCallThatCrashesUpstreams(t *testing.T) {
	c := qt.New(t)
	var ran atomic.Int32
	_, hosts := fleet(c, 3, 3)
	media := hosts[3:]
	for _, h := range media {
		h.upstream.Config.Handler = crashingUpstream{c: c, host: h, ran: &ran}
	}
	send := func(i int) error { return hosts[i%len(hosts)].sendOnce(crashPath) }
	quarantined := 0
	for i := 0; quarantined < 5 && i < 60; i++ {
		if err := send(i); err != nil && calls.AsError(err).Reason() == calls.ReasonQuarantine {
			quarantined++
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Check(quarantined, qt.Equals, 5)
	c.Check(ran.Load() <= 4, qt.IsTrue, qt.Commentf("%d upstreams crashed", ran.Load()))
	before := ran.Load()
	for i := range 2 * len(hosts) {
		c.Check(calls.AsError(send(i)).Reason(), qt.Equals, calls.ReasonQuarantine)
		_, err := hosts[i%len(hosts)].node.Run(context.Background(), newCall(plain, 0))
		c.Check(err, qt.IsNil)
	}
	c.Check(ran.Load(), qt.Equals, before)
}

// TestPopularCallsAreNotQuarantined crashes all upstreams of a service at once while the same
// harmless call, which many callers send, runs at each of them. It was answered before, so
// it must not be taken for the cause of the crashes and must be served once they are back.
func TestPopularCallsAreNotQuarantined(t *testing.T) {
	c := qt.New(t)
	_, hosts := fleet(c, 3, 3)
	media := hosts[3:]
	upstreams := make([]crashingUpstream, len(media))
	for i, h := range media {
		upstreams[i] = crashingUpstream{c: c, host: h, ran: new(atomic.Int32)}
		h.upstream.Config.Handler = upstreams[i]
	}
	for _, h := range hosts {
		eventually(c, func() bool { return h.sendOnce(slowPath) == nil })
	}
	for range 2 {
		var running sync.WaitGroup
		for range 4 {
			for _, h := range hosts {
				running.Go(func() { _ = h.sendOnce(slowPath) })
			}
		}
		time.Sleep(slowTime / 2)
		for _, x := range upstreams {
			running.Go(x.crash)
		}
		running.Wait()
		for _, h := range hosts {
			eventually(c, func() bool { return h.sendOnce(slowPath) == nil })
		}
	}
}

// contact is the platform's bound for the time after its start from which a daemon is held
// to what the fleet knows.
const contact = 3 * time.Second

// TestQuarantineOutlivesRestarts restarts daemons after a call that crashes upstreams was
// quarantined. Once contact has passed, the new daemons must refuse it too. They learn of it
// from the store if all daemons of the service have ended, and from the other daemons if
// the store is away.
func TestQuarantineOutlivesRestarts(t *testing.T) {
	for _, test := range []struct {
		name      string
		restarted int
		storeDown bool
	}{
		{name: "all daemons of the service", restarted: 3},
		{name: "one daemon while the store is away", restarted: 1, storeDown: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var ran atomic.Int32
			mem, hosts := fleet(c, 3, 3)
			media := hosts[3:]
			for _, h := range media {
				h.upstream.Config.Handler = crashingUpstream{c: c, host: h, ran: &ran}
			}
			eventually(c, func() bool {
				time.Sleep(100 * time.Millisecond)
				err := hosts[0].sendOnce(crashPath)
				return err != nil && calls.AsError(err).Reason() == calls.ReasonQuarantine
			})
			for _, h := range media {
				eventually(c, func() bool { return calls.AsError(h.sendOnce(crashPath)).Reason() == calls.ReasonQuarantine })
			}
			mem.SetFaults(store.MemFaults{Down: test.storeDown})
			before := ran.Load()
			for _, h := range media[:test.restarted] {
				h.stop()
				c.Assert(h.node.Close(), qt.IsNil)
			}
			for _, h := range media[:test.restarted] {
				h.start(c)
			}
			for _, h := range media[:test.restarted] {
				eventually(c, func() bool {
					_, err := h.node.Run(context.Background(), newCall(plain, 0))
					return err == nil
				})
			}
			time.Sleep(contact)
			for _, h := range media[:test.restarted] {
				c.Check(calls.AsError(h.sendOnce(crashPath)).Reason(), qt.Equals, calls.ReasonQuarantine)
			}
			c.Check(ran.Load(), qt.Equals, before)
		})
	}
}
