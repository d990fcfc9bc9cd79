package peers_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/certs"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/peers"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

func TestMain(m *testing.M) {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	goleak.VerifyTestMain(m)
}

// waitLimit is how long a test waits for an expected event before it fails.
const waitLimit = 20 * time.Second

// handler is a Handler that queues control messages and runs calls with a function.
type handler struct {
	messages chan wire.Message
	run      func(ctx context.Context, call *calls.Call) (*calls.Reply, error)
}

func newHandler() *handler {
	return &handler{messages: make(chan wire.Message, 1024), run: echo}
}

func (h *handler) Control(m wire.Message) { h.messages <- m }

func (h *handler) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	return h.run(ctx, call)
}

// echo answers a call with its own body.
func echo(_ context.Context, call *calls.Call) (*calls.Reply, error) {
	body, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, calls.NewUnknown(calls.ReasonCanceled, calls.WithCause(err))
	}
	return reply(body), nil
}

func reply(body []byte) *calls.Reply {
	return &calls.Reply{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"text/plain"}},
		Body:   io.NopCloser(bytes.NewReader(body)),
		Length: int64(len(body)),
	}
}

// fleet opens transports whose certificates are issued by one authority.
type fleet struct {
	c         *qt.C
	authority *certs.Authority
}

func newFleet(t testing.TB) *fleet {
	c := qt.New(t)
	authority, err := certs.NewAuthority()
	c.Assert(err, qt.IsNil)
	return &fleet{c: c, authority: authority}
}

func (f *fleet) config(host ident.Host) *tls.Config {
	pair, err := f.authority.Issue(host)
	f.c.Assert(err, qt.IsNil)
	config, err := certs.PairConfig(f.authority.CertPEM(), pair)
	f.c.Assert(err, qt.IsNil)
	return config
}

func (f *fleet) join(host ident.Host, h peers.Handler, opts ...peers.Option) (*peers.Quic, table.Member) {
	return f.joinAs(host, f.config(host), h, opts...)
}

func (f *fleet) joinAs(host ident.Host, config *tls.Config, h peers.Handler, opts ...peers.Option) (*peers.Quic, table.Member) {
	inc := ident.NewIncarnation(host, 1)
	opts = append([]peers.Option{peers.WithSelf(func() ident.Incarnation { return inc })}, opts...)
	q, err := peers.Listen("127.0.0.1:0", config, h, opts...)
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() { f.c.Check(q.Close(), qt.IsNil) })
	return q, table.Member{Inc: inc, Peer: q.Addr()}
}

func newCall(method, body string) *calls.Call {
	return &calls.Call{
		ID: "r1", Service: "events", Key: "k1", Hash: ident.HashKey("k1"),
		Method: method, Path: "/k1?x=1",
		Header: http.Header{"Accept": {"a", "b"}},
		Body:   strings.NewReader(body), Length: int64(len(body)),
	}
}

func readAll(c *qt.C, r *calls.Reply) string {
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	return string(data)
}

func receive[T any](c *qt.C, ch <-chan T) T {
	select {
	case v := <-ch:
		return v
	case <-time.After(waitLimit):
		c.Fatal("nothing arrived")
		panic("unreachable")
	}
}

func TestForwardCarriesCallAndAnswer(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 20_000)
	for _, test := range []struct {
		name, method, body string
		length             int64
	}{
		{"get without body", http.MethodGet, "", 0},
		{"post without body", http.MethodPost, "", 0},
		{"post", http.MethodPost, "hello", 5},
		{"put", http.MethodPut, "hello", 5},
		{"unknown length", http.MethodPost, "hello", -1},
		{"large", http.MethodPost, large, int64(len(large))},
		{"large of unknown length", http.MethodPut, large, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			c := f.c
			server := newHandler()
			seen := make(chan *calls.Call, 1)
			server.run = func(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
				seen <- call
				return echo(ctx, call)
			}
			_, to := f.join("b", server)
			a, _ := f.join("a", newHandler())
			call := newCall(test.method, test.body)
			call.Length = test.length
			call.Deadline = time.Now().Add(waitLimit)
			call.Idempotency = "once"
			got, err := a.Forward(context.Background(), to, call)
			c.Assert(err, qt.IsNil)
			c.Assert(got.Status, qt.Equals, http.StatusOK)
			c.Assert(got.Header.Get("Content-Type"), qt.Equals, "text/plain")
			c.Assert(readAll(c, got) == test.body, qt.IsTrue)
			received := receive(c, seen)
			c.Assert(received.Path, qt.Equals, call.Path)
			c.Assert(received.Header, qt.DeepEquals, call.Header)
			c.Assert(received.Hash, qt.Equals, call.Hash)
			c.Assert(received.Idempotency, qt.Equals, "once")
			c.Assert(received.Hops, qt.Equals, 1)
			c.Assert(received.Deadline.After(time.Now()), qt.IsTrue)
		})
	}
}

func TestForwardCarriesOutcome(t *testing.T) {
	hint := ident.NewIncarnation("c", 7)
	for _, test := range []struct {
		name string
		err  *calls.Error
	}{
		{"not run", calls.NewNotRun(calls.ReasonNotOwner, calls.WithHint(hint), calls.WithRetryAfter(time.Second))},
		{"unknown", calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(errors.New("reset")))},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			c := f.c
			server := newHandler()
			server.run = func(context.Context, *calls.Call) (*calls.Reply, error) { return nil, test.err }
			_, to := f.join("b", server)
			a, _ := f.join("a", newHandler())
			_, err := a.Forward(context.Background(), to, newCall(http.MethodPost, "x"))
			got := calls.AsError(err)
			c.Assert(got.Outcome(), qt.Equals, test.err.Outcome())
			c.Assert(got.Reason(), qt.Equals, test.err.Reason())
			c.Assert(got.Hint(), qt.Equals, test.err.Hint())
			c.Assert(got.RetryAfter(), qt.Equals, test.err.RetryAfter())
		})
	}
}

func TestSendDelivers(t *testing.T) {
	f := newFleet(t)
	c := f.c
	ha, hb := newHandler(), newHandler()
	a, ma := f.join("a", ha)
	b, mb := f.join("b", hb)
	a.Send(mb, wire.Message{From: ma.Inc, To: mb.Inc, Renew: &wire.Renew{Round: 3, Seq: 9}})
	got := receive(c, hb.messages)
	c.Assert(got.Renew, qt.DeepEquals, &wire.Renew{Round: 3, Seq: 9})
	b.Send(ma, wire.Message{From: mb.Inc, Grant: &wire.Grant{Round: 3}})
	c.Assert(receive(c, ha.messages).Grant, qt.DeepEquals, &wire.Grant{Round: 3})
	c.Assert(a.Stats().Conns, qt.Equals, 1)
	c.Assert(b.Stats().Conns, qt.Equals, 1)
}

func TestSendChecksSenderAndReceiver(t *testing.T) {
	f := newFleet(t)
	c := f.c
	hb := newHandler()
	a, ma := f.join("a", newHandler())
	_, mb := f.join("b", hb)
	stranger := ident.NewIncarnation("c", 1)
	a.Send(mb, wire.Message{From: stranger, To: mb.Inc, Renew: &wire.Renew{Round: 1}})
	a.Send(mb, wire.Message{From: ma.Inc, To: ident.NewIncarnation("b", 2), Renew: &wire.Renew{Round: 2}})
	a.Send(mb, wire.Message{From: ma.Inc, To: mb.Inc, Renew: &wire.Renew{Round: 3}})
	c.Assert(receive(c, hb.messages).Renew.Round, qt.Equals, uint64(3))
	c.Assert(hb.messages, qt.HasLen, 0)
}

func TestWrongCertificateIsRefused(t *testing.T) {
	f := newFleet(t)
	c := f.c
	other := newFleet(t)
	ran := make(chan struct{}, 8)
	server := newHandler()
	server.run = func(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
		ran <- struct{}{}
		return echo(ctx, call)
	}
	_, mb := f.join("b", server)
	for _, test := range []struct {
		name   string
		config *tls.Config
		to     table.Member
	}{
		{"another authority", other.config("a"), mb},
		{"another host answers", f.config("a"), table.Member{Inc: ident.NewIncarnation("c", 1), Peer: mb.Peer}},
	} {
		a, _ := f.joinAs("a", test.config, newHandler())
		_, err := a.Forward(context.Background(), test.to, newCall(http.MethodGet, ""))
		got := calls.AsError(err)
		c.Assert(got.Outcome(), qt.Equals, calls.NotRun, qt.Commentf(test.name))
		c.Assert(got.Reason(), qt.Equals, calls.ReasonPeerDown, qt.Commentf(test.name))
	}
	c.Assert(ran, qt.HasLen, 0)
}

func TestCancelReachesHandler(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			f := newFleet(t)
			c := f.c
			server := newHandler()
			started, ended := make(chan struct{}), make(chan error, 1)
			server.run = func(ctx context.Context, _ *calls.Call) (*calls.Reply, error) {
				close(started)
				<-ctx.Done()
				ended <- ctx.Err()
				return nil, calls.NewUnknown(calls.ReasonCanceled)
			}
			_, to := f.join("b", server)
			a, _ := f.join("a", newHandler())
			ctx, cancel := context.WithCancel(context.Background())
			var once sync.Once
			go func() {
				<-started
				once.Do(cancel)
			}()
			_, err := a.Forward(ctx, to, newCall(method, ""))
			got := calls.AsError(err)
			c.Assert(got.Outcome(), qt.Equals, calls.Unknown)
			c.Assert(got.Reason(), qt.Equals, calls.ReasonCanceled)
			c.Assert(receive(c, ended), qt.Equals, context.Canceled)
		})
	}
}

func TestDeadlineReachesHandler(t *testing.T) {
	f := newFleet(t)
	c := f.c
	server := newHandler()
	server.run = func(ctx context.Context, _ *calls.Call) (*calls.Reply, error) {
		<-ctx.Done()
		return nil, calls.NewUnknown(calls.ReasonDeadline, calls.WithCause(ctx.Err()))
	}
	_, to := f.join("b", server)
	a, _ := f.join("a", newHandler())
	call := newCall(http.MethodGet, "")
	call.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := a.Forward(context.Background(), to, call)
	c.Assert(err, qt.ErrorMatches, "unknown: deadline: context deadline exceeded")
}

func TestLimitsRefuseWithoutRunning(t *testing.T) {
	f := newFleet(t)
	c := f.c
	server := newHandler()
	entered, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	server.run = func(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
		close(entered)
		<-release
		return echo(ctx, call)
	}
	_, to := f.join("b", server, peers.WithMaxCalls(1))
	a, _ := f.join("a", newHandler())
	go func() { _, _ = a.Forward(context.Background(), to, newCall(http.MethodGet, "")) }()
	receive(c, entered)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	large := newCall(http.MethodGet, "")
	large.Header = http.Header{"X": {strings.Repeat("x", peers.MaxHeader)}}
	for _, test := range []struct {
		ctx  context.Context
		call *calls.Call
		want calls.Reason
	}{
		{context.Background(), newCall(http.MethodGet, ""), calls.ReasonOverload},
		{context.Background(), newCall(http.MethodPost, "x"), calls.ReasonOverload},
		{context.Background(), large, calls.ReasonTooLarge},
		{canceled, newCall(http.MethodGet, ""), calls.ReasonCanceled},
	} {
		_, err := a.Forward(test.ctx, to, test.call)
		c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun, qt.Commentf("%s", test.want))
		c.Assert(calls.AsError(err).Reason(), qt.Equals, test.want)
	}
}
