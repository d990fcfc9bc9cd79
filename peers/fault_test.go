package peers_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/peers"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// failingReader returns data and then errUpstream in place of io.EOF.
type failingReader struct{ data io.Reader }

var errUpstream = errors.New("upstream was lost")

func (f failingReader) Read(p []byte) (int, error) {
	n, err := f.data.Read(p)
	if errors.Is(err, io.EOF) {
		err = errUpstream
	}
	return n, err
}

// eventually waits until ok returns true, and fails the test after waitLimit.
func eventually(c *qt.C, what string, ok func() bool) {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatalf("never happened: %s", what)
}

// stateRecorder records the calls of a PeerStateFunc function.
type stateRecorder struct {
	mu   sync.Mutex
	seen []bool
}

func (s *stateRecorder) report(_ ident.Host, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, up)
}

func (s *stateRecorder) list() []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]bool(nil), s.seen...)
}

// TestCutAnswerNeverLooksComplete truncates answers at the upstream and on the connection.
// The caller must get an error with an unknown outcome, never a short body.
func TestCutAnswerNeverLooksComplete(t *testing.T) {
	const size = 1 << 20
	data := bytes.Repeat([]byte("x"), size)
	for _, test := range []struct {
		name  string
		reply func(cut func()) *calls.Reply
	}{
		{"upstream fails", func(func()) *calls.Reply {
			return &calls.Reply{Status: 200, Length: size, Body: io.NopCloser(failingReader{bytes.NewReader(data[:size/2])})}
		}},
		{"upstream fails, length unknown", func(func()) *calls.Reply {
			return &calls.Reply{Status: 200, Length: -1, Body: io.NopCloser(failingReader{bytes.NewReader(data[:size/2])})}
		}},
		{"upstream ends early", func(func()) *calls.Reply {
			return &calls.Reply{Status: 200, Length: size, Body: io.NopCloser(bytes.NewReader(data[:size/2]))}
		}},
		{"small answer ends early", func(func()) *calls.Reply {
			return &calls.Reply{Status: 200, Length: 100, Body: io.NopCloser(bytes.NewReader(data[:50]))}
		}},
		{"upstream sends too much", func(func()) *calls.Reply {
			return &calls.Reply{Status: 200, Length: size / 2, Body: io.NopCloser(bytes.NewReader(data))}
		}},
		{"connection is lost", func(cut func()) *calls.Reply {
			rest := io.MultiReader(bytes.NewReader(data[:size/2]), onRead(cut), bytes.NewReader(data[size/2:]))
			return &calls.Reply{Status: 200, Length: -1, Body: io.NopCloser(rest)}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			c := f.c
			server := newHandler()
			var link atomic.Pointer[relay]
			server.run = func(context.Context, *calls.Call) (*calls.Reply, error) {
				return test.reply(func() { link.Load().cut.Store(true) }), nil
			}
			_, to := f.join("b", server)
			link.Store(newRelay(c, to.Peer))
			to.Peer = link.Load().Addr()
			a, _ := f.join("a", newHandler(), peers.WithProbeTimeout(200*time.Millisecond), peers.WithDialTimeout(200*time.Millisecond))
			got, err := a.Forward(context.Background(), to, newCall(http.MethodGet, ""))
			if err == nil {
				var body []byte
				body, err = io.ReadAll(got.Body)
				c.Assert(len(body) < size, qt.IsTrue)
				_ = got.Body.Close()
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown)
		})
	}
}

// onRead is an empty reader that calls a function when it is read.
type onRead func()

func (h onRead) Read([]byte) (int, error) {
	h()
	return 0, io.EOF
}

// TestCutCallNeverLooksComplete breaks the body of a call while it is sent. The handler
// must get an error from the body, not its end.
func TestCutCallNeverLooksComplete(t *testing.T) {
	f := newFleet(t)
	c := f.c
	server := newHandler()
	started, bodies := make(chan struct{}), make(chan error, 1)
	server.run = func(_ context.Context, call *calls.Call) (*calls.Reply, error) {
		_, err := io.ReadFull(call.Body, make([]byte, 4))
		c.Check(err, qt.IsNil)
		close(started)
		_, err = io.ReadAll(call.Body)
		bodies <- err
		return nil, calls.NewNotRun(calls.ReasonBadRequest)
	}
	_, to := f.join("b", server)
	a, _ := f.join("a", newHandler())
	call := newCall(http.MethodPut, "")
	call.Body = failingReader{io.MultiReader(strings.NewReader("half"), onRead(func() { <-started }))}
	call.Length = -1
	_, err := a.Forward(context.Background(), to, call)
	c.Assert(err, qt.IsNotNil)
	c.Assert(receive(c, bodies), qt.IsNotNil)
}

// TestSilentConnectionIsReplaced drops all packets of an open connection. Calls on it fail,
// later calls use a new connection, and the peer is not reported down.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t)
	c := f.c
	server := newHandler()
	started, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	var ran atomic.Int64
	server.run = func(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
		ran.Add(1)
		if call.ID == "slow" {
			started <- struct{}{}
			<-release
		}
		return echo(ctx, call)
	}
	_, to := f.join("b", server)
	link := newRelay(c, to.Peer)
	to.Peer = link.Addr()
	var peer stateRecorder
	a, _ := f.join("a", newHandler(), peers.WithPeerState(peer.report))
	slow := newCall(http.MethodPost, "x")
	slow.ID = "slow"
	outcome := make(chan error, 1)
	go func() {
		_, err := a.Forward(context.Background(), to, slow)
		outcome <- err
	}()
	receive(c, started)
	link.BlockFlows()
	// This call is not idempotent and uses the silent connection before that is
	// detected: without a confirmation it is proved not to have run.
	_, err := a.Forward(context.Background(), to, newCall(http.MethodPost, "x"))
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
	c.Assert(calls.AsError(err).Reason(), qt.Equals, calls.ReasonPeerLost)
	c.Assert(err, qt.ErrorMatches, ".*: silent", qt.Commentf("the probe found it, not the idle timeout"))
	c.Assert(calls.AsError(receive(c, outcome)).Outcome(), qt.Equals, calls.Unknown)
	got, err := a.Forward(context.Background(), to, newCall(http.MethodPost, "again"))
	c.Assert(err, qt.IsNil)
	c.Assert(readAll(c, got), qt.Equals, "again")
	c.Assert(ran.Load(), qt.Equals, int64(2))
	c.Assert(peer.list(), qt.DeepEquals, []bool{true}, qt.Commentf("a peer that answers on a new connection is not down"))
}

func TestLostPeerIsReportedDownAndUp(t *testing.T) {
	f := newFleet(t)
	c := f.c
	_, to := f.join("b", newHandler())
	link := newRelay(c, to.Peer)
	to.Peer = link.Addr()
	var peer stateRecorder
	a, ma := f.join("a", newHandler(), peers.WithPeerState(peer.report),
		peers.WithProbeTimeout(200*time.Millisecond), peers.WithDialTimeout(200*time.Millisecond))
	renew := func() { a.Send(to, wire.Message{From: ma.Inc, To: to.Inc, Renew: &wire.Renew{Round: 1}}) }
	renew()
	eventually(c, "up", func() bool { return len(peer.list()) == 1 })
	link.cut.Store(true)
	eventually(c, "down", func() bool { renew(); return len(peer.list()) == 2 })
	_, err := a.Forward(context.Background(), to, newCall(http.MethodGet, ""))
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
	link.cut.Store(false)
	eventually(c, "up again", func() bool { renew(); return len(peer.list()) == 3 })
	c.Assert(peer.list(), qt.DeepEquals, []bool{true, false, true})
}

func TestClosedPeerIsReportedDown(t *testing.T) {
	f := newFleet(t)
	c := f.c
	b, to := f.join("b", newHandler())
	var peer stateRecorder
	a, ma := f.join("a", newHandler(), peers.WithPeerState(peer.report))
	a.Send(to, wire.Message{From: ma.Inc, Renew: &wire.Renew{Round: 1}})
	eventually(c, "up", func() bool { return len(peer.list()) == 1 })
	c.Assert(b.Close(), qt.IsNil)
	eventually(c, "down", func() bool { return len(peer.list()) == 2 })
}

// TestRestartedPeerIsFoundByReset restarts a peer whose close was lost. The new process must
// answer packets of the old connection with a stateless reset.
func TestRestartedPeerIsFoundByReset(t *testing.T) {
	f := newFleet(t)
	c := f.c
	config := f.config("b")
	old, to := f.joinAs("b", config, newHandler())
	at := to.Peer
	link := newRelay(c, at)
	to.Peer = link.Addr()
	var peer stateRecorder
	a, _ := f.join("a", newHandler(), peers.WithPeerState(peer.report))
	got, err := a.Forward(context.Background(), to, newCall(http.MethodPost, "x"))
	c.Assert(err, qt.IsNil)
	c.Assert(readAll(c, got), qt.Equals, "x")
	// The old process ends without a closing packet that reaches its peer.
	link.cut.Store(true)
	c.Assert(old.Close(), qt.IsNil)
	link.Drain()
	fresh, err := peers.Listen(at, config, newHandler())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(fresh.Close(), qt.IsNil) })
	link.cut.Store(false)
	_, err = a.Forward(context.Background(), to, newCall(http.MethodPost, "x"))
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
	c.Assert(err, qt.ErrorMatches, ".*stateless reset.*")
	got, err = a.Forward(context.Background(), to, newCall(http.MethodPost, "again"))
	c.Assert(err, qt.IsNil)
	c.Assert(readAll(c, got), qt.Equals, "again")
	c.Assert(peer.list(), qt.DeepEquals, []bool{true})
}

// TestSlowPeerDoesNotBlockSend sends more messages to a blocked handler than its queue holds.
// Send must not block, and messages to another peer must arrive.
func TestSlowPeerDoesNotBlockSend(t *testing.T) {
	f := newFleet(t)
	c := f.c
	// Cleanups run in reverse order: this one must run after the transports are closed,
	// which wait for their handlers.
	ended := make(chan struct{})
	c.Cleanup(func() { close(ended) })
	stuck := newHandler()
	stuck.messages = make(chan wire.Message)
	_, mb := f.join("b", stuck)
	hc := newHandler()
	_, mc := f.join("c", hc)
	a, ma := f.join("a", newHandler(), peers.WithProbeTimeout(waitLimit))
	big := make([]wire.Entry, 0, 4)
	for range cap(big) {
		big = append(big, wire.Entry{Body: make([]byte, 32<<10)})
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for range 2000 {
			a.Send(mb, wire.Message{From: ma.Inc, Journal: &wire.Journal{Entries: big}})
		}
		a.Send(mc, wire.Message{From: ma.Inc, Renew: &wire.Renew{Round: 7}})
	}()
	receive(c, sent)
	c.Assert(receive(c, hc.messages).Renew.Round, qt.Equals, uint64(7))
	go func() {
		for {
			select {
			case <-stuck.messages:
			case <-ended:
				return
			}
		}
	}()
}

// TestUnreadAnswersDoNotHoldUpControl fills the windows of all streams with answers that
// nobody reads. Control messages must still arrive.
func TestUnreadAnswersDoNotHoldUpControl(t *testing.T) {
	const streams = 8
	f := newFleet(t)
	c := f.c
	server, ha := newHandler(), newHandler()
	server.run = func(context.Context, *calls.Call) (*calls.Reply, error) {
		return reply(make([]byte, 4<<20)), nil
	}
	b, mb := f.join("b", server, peers.WithMaxStreams(streams))
	a, ma := f.join("a", ha, peers.WithMaxStreams(streams))
	for range streams {
		got, err := a.Forward(context.Background(), mb, newCall(http.MethodGet, ""))
		c.Assert(err, qt.IsNil)
		defer got.Body.Close()
	}
	_, err := a.Forward(context.Background(), mb, newCall(http.MethodGet, ""))
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
	c.Assert(calls.AsError(err).Reason(), qt.Equals, calls.ReasonOverload)
	b.Send(ma, wire.Message{From: mb.Inc, Grant: &wire.Grant{Round: 4}})
	c.Assert(receive(c, ha.messages).Grant.Round, qt.Equals, uint64(4))
}

func TestIdleConnectionIsClosedAndOpenedAgain(t *testing.T) {
	f := newFleet(t)
	c := f.c
	_, to := f.join("b", newHandler())
	var peer stateRecorder
	a, _ := f.join("a", newHandler(), peers.WithIdleTimeout(100*time.Millisecond), peers.WithProbeTimeout(400*time.Millisecond), peers.WithPeerState(peer.report))
	for range 2 {
		got, err := a.Forward(context.Background(), to, newCall(http.MethodGet, ""))
		c.Assert(err, qt.IsNil)
		c.Assert(readAll(c, got), qt.Equals, "")
		eventually(c, "closed", func() bool { return a.Stats().Conns == 0 })
	}
	c.Assert(peer.list(), qt.DeepEquals, []bool{true}, qt.Commentf("an idle peer is not down"))
}

// TestBothDialAtOnce makes both peers dial each other at once. Messages and calls must all
// arrive, on at most two connections.
func TestBothDialAtOnce(t *testing.T) {
	f := newFleet(t)
	c := f.c
	for range 5 {
		ha, hb := newHandler(), newHandler()
		a, ma := f.join("a", ha)
		b, mb := f.join("b", hb)
		a.Send(mb, wire.Message{From: ma.Inc, Renew: &wire.Renew{Round: 1}})
		b.Send(ma, wire.Message{From: mb.Inc, Renew: &wire.Renew{Round: 2}})
		c.Assert(receive(c, hb.messages).Renew.Round, qt.Equals, uint64(1))
		c.Assert(receive(c, ha.messages).Renew.Round, qt.Equals, uint64(2))
		c.Assert(a.Stats().Conns <= 2, qt.IsTrue)
		for range 20 {
			got, err := a.Forward(context.Background(), mb, newCall(http.MethodPost, "x"))
			c.Assert(err, qt.IsNil)
			c.Assert(readAll(c, got), qt.Equals, "x")
		}
	}
}

// TestManyPeers keeps connections to 100 peers open: the number of goroutines must stay
// below 16 for each, and they must end when the connections become idle.
func TestManyPeers(t *testing.T) {
	const members, perConn = 100, 16
	const idle = time.Second
	f := newFleet(t)
	c := f.c
	var spokes []table.Member
	for i := range members {
		_, m := f.join(ident.Host(fmt.Sprintf("s%d", i)), newHandler())
		spokes = append(spokes, m)
	}
	hub, mh := f.join("hub", newHandler(), peers.WithIdleTimeout(idle))
	before := runtime.NumGoroutine()
	sendAll := func() {
		for _, m := range spokes {
			hub.Send(m, wire.Message{From: mh.Inc, Renew: &wire.Renew{Round: 1}})
		}
	}
	sendAll()
	lastSend := time.Now()
	eventually(c, "all connected", func() bool {
		// On a slow machine opening all connections takes longer than the idle
		// timeout: sending again keeps the first ones from becoming idle before.
		if time.Since(lastSend) > idle/4 {
			sendAll()
			lastSend = time.Now()
		}
		return hub.Stats().Conns == members
	})
	c.Assert(runtime.NumGoroutine()-before < members*perConn, qt.IsTrue, qt.Commentf("%d", runtime.NumGoroutine()-before))
	t.Logf("%d goroutines for %d connections, both ends", runtime.NumGoroutine()-before, members)
	eventually(c, "all idle", func() bool { return hub.Stats().Conns == 0 })
	eventually(c, "goroutines ended", func() bool { return runtime.NumGoroutine() <= before+members })
}
