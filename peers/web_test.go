package peers_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/fault"
	"github.com/monsoonmoor/monsoonmoor/peers"
)

// webPeer is a WebHandler that runs calls with a function of the test.
type webPeer struct {
	run func(ctx context.Context, call *calls.Call) (*calls.Reply, error)
}

func (p webPeer) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	return p.run(ctx, call)
}

func (p webPeer) Document(string) ([]byte, uint64, bool) { return nil, 0, false }

func (p webPeer) ExpectedWait() time.Duration { return 0 }

func openWeb(c *qt.C, run func(ctx context.Context, call *calls.Call) (*calls.Reply, error)) *peers.Web {
	w, err := peers.ListenWeb("127.0.0.1:0", nil, webPeer{run})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = w.Close() })
	return w
}

func webCall(body string) *calls.Call {
	return &calls.Call{
		ID: "c1", Service: "events", Method: http.MethodPost, Path: "/x", Length: int64(len(body)),
		Deadline: time.Now().Add(20 * time.Second), Body: calls.NewBuffered([]byte(body)),
	}
}

func TestWebCarriesCalls(t *testing.T) {
	c := qt.New(t)
	server := openWeb(c, func(_ context.Context, call *calls.Call) (*calls.Reply, error) {
		data, err := io.ReadAll(call.Body)
		return &calls.Reply{Status: http.StatusOK, Body: calls.NewBuffered(data), Length: int64(len(data))}, err
	})
	client := openWeb(c, nil)
	for _, body := range []string{"", "hello", string(make([]byte, 300<<10))} {
		reply, err := client.Forward(context.Background(), server.Addr(), webCall(body))
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(reply.Body)
		c.Assert(err, qt.IsNil)
		c.Check(len(data), qt.Equals, len(body))
		c.Check(string(data) == body, qt.IsTrue)
	}
}

// TestWebStreamsLongAnswers checks that an answer above maxBufferedAnswer can be read after
// Forward has returned.
func TestWebStreamsLongAnswers(t *testing.T) {
	c := qt.New(t)
	const length = 3 << 20
	server := openWeb(c, func(context.Context, *calls.Call) (*calls.Reply, error) {
		return &calls.Reply{Status: http.StatusOK, Body: calls.NewBuffered(make([]byte, length)), Length: length}, nil
	})
	reply, err := openWeb(c, nil).Forward(context.Background(), server.Addr(), webCall(""))
	c.Assert(err, qt.IsNil)
	data, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	c.Check(data, qt.HasLen, length)
	c.Check(reply.Body.Close(), qt.IsNil)
}

// TestWebPeerThatStandsStill calls a hung peer, whose kernel accepts connections and bytes.
// The call is never sent to it, so the outcome must be NotRun.
func TestWebPeerThatStandsStill(t *testing.T) {
	c := qt.New(t)
	stalled, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = stalled.Close() }()
	client := openWeb(c, nil)
	for range 2 {
		_, err = client.Forward(context.Background(), stalled.Addr().String(), webCall("hello"))
		e := calls.AsError(err)
		c.Check(e.Outcome(), qt.Equals, calls.NotRun)
		c.Check(e.Reason(), qt.Equals, calls.ReasonPeerDown)
	}
}

// TestWebPeerThatEndsWithTheCall lets the peer read the call and abort its answer.
// The peer may have run it, so the outcome must be unknown.
func TestWebPeerThatEndsWithTheCall(t *testing.T) {
	c := qt.New(t)
	server := openWeb(c, func(context.Context, *calls.Call) (*calls.Reply, error) { panic(http.ErrAbortHandler) })
	_, err := openWeb(c, nil).Forward(context.Background(), server.Addr(), webCall("hello"))
	c.Check(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown)
}

// TestWebFindsASlowPeerAgain slows down a peer that was unreachable before. It misses the
// short timeout for an unconfirmed peer but not the full one, so calls must reach it again.
func TestWebFindsASlowPeerAgain(t *testing.T) {
	c := qt.New(t)
	server := openWeb(c, func(context.Context, *calls.Call) (*calls.Reply, error) {
		return &calls.Reply{Status: http.StatusOK, Body: calls.NewBuffered(nil)}, nil
	})
	forward := fault.New()
	defer func() { _ = forward.Close() }()
	addr, err := forward.Add(fault.Link{Name: "peer", Network: "tcp", Listen: "127.0.0.1:0", Target: server.Addr()})
	c.Assert(err, qt.IsNil)
	client := openWeb(c, nil)
	send := func() error {
		_, err := client.Forward(context.Background(), addr, webCall("hello"))
		return err
	}
	c.Assert(send(), qt.IsNil)
	c.Assert(forward.Set("peer", fault.Rule{Drop: fault.Both}), qt.IsNil)
	c.Check(calls.AsError(send()).Outcome(), qt.Equals, calls.NotRun)
	// A round trip now takes longer than webSuspectTimeout, which most calls to an
	// unconfirmed peer get.
	c.Assert(forward.Set("peer", fault.Rule{Delay: 80 * time.Millisecond}), qt.IsNil)
	for range 5 {
		if err = send(); err == nil {
			break
		}
	}
	c.Assert(err, qt.IsNil)
}

// endlessBody is a body without end. It counts the bytes that were read and records that it
// was closed.
type endlessBody struct {
	read   *atomic.Int64
	closed chan struct{}
}

func newEndlessBody() endlessBody {
	return endlessBody{read: new(atomic.Int64), closed: make(chan struct{})}
}

func (b endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

func (b endlessBody) Close() error {
	close(b.closed)
	return nil
}

// TestWebStreamEndsAtDeadline forwards a call whose answer has no end and is not read by the
// peer that sent the call. Its flow control blocks the write, which must end at the deadline
// of the call.
func TestWebStreamEndsAtDeadline(t *testing.T) {
	c := qt.New(t)
	body := newEndlessBody()
	server := openWeb(c, func(context.Context, *calls.Call) (*calls.Reply, error) {
		return &calls.Reply{Status: http.StatusOK, Body: body, Length: -1}, nil
	})
	call := webCall("")
	call.Deadline = time.Now().Add(300 * time.Millisecond)
	reply, err := openWeb(c, nil).Forward(context.Background(), server.Addr(), call)
	c.Assert(err, qt.IsNil)
	select {
	case <-body.closed:
	case <-time.After(5 * time.Second):
		c.Fatal("the answer is still being sent 5 s after the deadline")
	}
	_, err = io.Copy(io.Discard, reply.Body)
	c.Check(err, qt.IsNotNil)
	c.Check(reply.Body.Close(), qt.IsNil)
}

// TestWebBoundsUnreadAnswers forwards a call whose answer has no end and is not read on by
// the caller. The transport must not receive more of it than a small window: with many such
// answers, a daemon would run out of memory.
func TestWebBoundsUnreadAnswers(t *testing.T) {
	c := qt.New(t)
	body := newEndlessBody()
	server := openWeb(c, func(context.Context, *calls.Call) (*calls.Reply, error) {
		return &calls.Reply{Status: http.StatusOK, Body: body, Length: -1}, nil
	})
	reply, err := openWeb(c, nil).Forward(context.Background(), server.Addr(), webCall(""))
	c.Assert(err, qt.IsNil)
	var read int64
	for last := int64(-1); read != last; time.Sleep(200 * time.Millisecond) {
		last, read = read, body.read.Load()
	}
	c.Check(read < 1<<20, qt.IsTrue, qt.Commentf("%d bytes were sent of an answer that nobody reads", read))
	c.Check(reply.Body.Close(), qt.IsNil)
}
