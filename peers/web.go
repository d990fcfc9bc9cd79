package peers

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/quota"
	"github.com/monsoonmoor/monsoonmoor/steady"
)

// Timeouts and limits of a Web transport.
const (
	// webDialTimeout is the time allowed for opening a connection; daemons are
	// milliseconds apart.
	webDialTimeout = 400 * time.Millisecond
	// webProbeInterval is how long a connection may be idle before the kernel sends a
	// TCP keep-alive probe, and the time between two probes; webProbeCount is how many
	// may stay unanswered. They limit how long a connection that has gone silent is
	// used, at no cost to the process.
	webProbeInterval = time.Second
	webProbeCount    = 1
	// webUnackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	webUnackedTimeout = 1200 * time.Millisecond
	// webConfirmTimeout is how long a peer may take to confirm that it reads a call,
	// before any of the call is sent. A working peer may get no processor time for a
	// tenth of a second. webSuspectTimeout replaces it for a peer that did not confirm
	// its last call.
	webConfirmTimeout = 400 * time.Millisecond
	webSuspectTimeout = 100 * time.Millisecond
	// webIdleTimeout is how long an unused connection stays open.
	webIdleTimeout = 90 * time.Second
	// webMaxStreams is the number of concurrent calls on one connection.
	webMaxStreams = 1024
	// webStreamWindow is how many bytes of an answer are received ahead of its reader. The
	// library's default of 4 MiB takes all memory when many answers have no end.
	webStreamWindow = 256 << 10
)

// Paths of the protocol between daemons.
const (
	callPath = "/call"
	docPath  = "/doc/"
)

// maxBufferedAnswer is the largest answer, in bytes, that is read into memory before it
// is passed on; longer ones are streamed.
const maxBufferedAnswer = 1 << 20

// maxDoc is the largest document that a peer may send, in bytes.
const maxDoc = 4 << 20

// WebHandler handles what other daemons send over a Web transport.
type WebHandler interface {
	calls.Executor
	// Document returns the named document and its version for a peer. It returns false
	// when this daemon does not have the document.
	Document(name string) (data []byte, version uint64, ok bool)
	// ExpectedWait returns how long a new call would wait for the upstream of this daemon.
	ExpectedWait() time.Duration
}

// Web is a transport between daemons over HTTP/2, with one connection for each pair and
// with mutual TLS when it is configured. It uses a tenth of the processor time of Quic
// where connections are neither lossy nor long.
type Web struct {
	handler     WebHandler
	clock       clockwork.Clock
	log         logr.Logger
	server      *http.Server
	client      *http.Transport
	scheme      string
	addr        string
	done        sync.WaitGroup
	onWait      func(addr string, wait time.Duration)
	unconfirmed *unconfirmedPeers
	// bodies bounds the memory of the bodies of calls that peers forward.
	bodies *quota.Account
}

// WebOption configures a Web transport.
type WebOption func(*Web)

// WithWebClock sets the clock.
func WithWebClock(clock clockwork.Clock) WebOption { return func(w *Web) { w.clock = clock } }

// WithWebLogger sets the logger.
func WithWebLogger(log logr.Logger) WebOption { return func(w *Web) { w.log = log } }

// WithWaitFunc sets the function that receives the waiting time reported in each answer of
// a peer.
func WithWaitFunc(waits func(addr string, wait time.Duration)) WebOption {
	return func(w *Web) { w.onWait = waits }
}

// WithBodies sets the account of the memory that the bodies of forwarded calls take; without
// it that memory has no bound.
func WithBodies(bodies *quota.Account) WebOption { return func(w *Web) { w.bodies = bodies } }

// ListenWeb opens a transport on a TCP address. Config authenticates both ends; with a
// nil config, connections are not encrypted. Close ends the transport.
func ListenWeb(addr string, config *tls.Config, handler WebHandler, opts ...WebOption) (*Web, error) {
	w := &Web{
		handler: handler, clock: clockwork.NewRealClock(), log: logr.Discard(),
		scheme: "http", onWait: func(string, time.Duration) {}, unconfirmed: newUnconfirmedPeers(), bodies: quota.New(0),
	}
	for _, opt := range opts {
		opt(w)
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	w.addr = listener.Addr().String()
	if config != nil {
		w.scheme = "https"
		listener = tls.NewListener(listener, config)
	}
	w.client = newWebClient(config)
	w.server = w.newServer()
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		if err := w.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			w.log.Error(err, "peer listener stopped")
		}
	}()
	return w, nil
}

func protocols(secure bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(secure)
	p.SetUnencryptedHTTP2(!secure)
	return p
}

func newWebClient(config *tls.Config) *http.Transport {
	dialer := &net.Dialer{
		Timeout: webDialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: webProbeInterval, Interval: webProbeInterval, Count: webProbeCount},
	}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		TLSClientConfig:    config,
		DisableCompression: true,
		IdleConnTimeout:    webIdleTimeout,
		// Forward cancels a request whose confirmation takes too long, long before this
		// limit.
		ExpectContinueTimeout: time.Hour,
		Protocols:             protocols(config != nil),
		HTTP2:                 &http.HTTP2Config{MaxReceiveBufferPerStream: webStreamWindow},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose
// bytes are not acknowledged within webUnackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(webUnackedTimeout.Milliseconds()))
	})
	if err = errors.Join(err, failure); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

func (w *Web) newServer() *http.Server {
	mux := chi.NewRouter()
	mux.Post(callPath, w.serveCall)
	mux.Get(docPath+"*", w.serveDocument)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * webIdleTimeout,
		Protocols:         protocols(w.scheme == "https"),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: webMaxStreams},
	}
}

// Addr returns the TCP address that the transport listens on.
func (w *Web) Addr() string { return w.addr }

// Close closes the transport. It aborts calls in flight.
func (w *Web) Close() error {
	err := w.server.Close()
	w.client.CloseIdleConnections()
	w.done.Wait()
	if err != nil {
		return fmt.Errorf("close peer transport: %w", err)
	}
	return nil
}

// Shutdown stops accepting calls and waits for the calls in flight.
func (w *Web) Shutdown(ctx context.Context) error {
	if err := w.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down peer transport: %w", err)
	}
	return nil
}

// Forward runs a call at another daemon. Its error is a *calls.Error; the outcome is
// calls.NotRun only if no byte of the call was sent, or if the peer reports so. A call
// is sent only after the peer has confirmed that it reads it, so a peer that is hung or
// unreachable has not run it. The body must be in memory.
func (w *Web) Forward(ctx context.Context, addr string, call *calls.Call) (*calls.Reply, error) {
	body, ok := call.Body.(*calls.Buffered)
	if !ok {
		return nil, calls.NewNotRun(calls.ReasonTooLarge, calls.WithCause(errNotBuffered))
	}
	header, err := encodeHeader(newCallHeader(call, w.clock.Now(), call.Deadline, false))
	if err != nil {
		return nil, calls.NewNotRun(calls.ReasonTooLarge, calls.WithCause(err))
	}
	payload := newCancelableBody(io.MultiReader(bytes.NewReader(header), body.Reader()),
		func() { w.unconfirmed.confirmed(addr) })
	sendCtx, cancel := context.WithCancel(ctx)
	timeout, probe := w.unconfirmed.confirmTimeout(addr)
	timer := w.clock.AfterFunc(timeout, func() {
		if payload.cancelUnread() {
			cancel()
		}
	})
	defer timer.Stop()
	request, err := http.NewRequestWithContext(sendCtx, http.MethodPost, w.scheme+"://"+addr+callPath, payload)
	if err != nil {
		cancel()
		w.unconfirmed.abandoned(addr, probe)
		return nil, calls.NewNotRun(calls.ReasonPeerDown, calls.WithCause(err))
	}
	request.ContentLength = int64(len(header) + body.Len())
	request.Header.Set("Expect", "100-continue")
	response, err := w.client.RoundTrip(request)
	if err != nil {
		cancel()
		if !payload.cancelUnread() {
			return nil, sentError(ctx, err)
		}
		return nil, w.unsentError(ctx, addr, probe, err)
	}
	response.Body = calls.OnClose(response.Body, cancel)
	return w.readReply(ctx, addr, response)
}

// unsentError returns the NotRun error of a call that the peer did not confirm, and
// records the failure of the peer unless the caller's context has ended.
func (w *Web) unsentError(ctx context.Context, addr string, probe bool, err error) *calls.Error {
	reason := calls.ReasonPeerDown
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = calls.ReasonDeadline
	case ctx.Err() != nil:
		reason = calls.ReasonCanceled
	}
	if reason == calls.ReasonPeerDown {
		w.unconfirmed.failed(addr, probe)
	} else {
		w.unconfirmed.abandoned(addr, probe)
	}
	return calls.NewNotRun(reason, calls.WithCause(fmt.Errorf("peer did not confirm the call: %w", err)))
}

// errNotBuffered reports a call whose body is not held in memory and so can't be sent
// again.
var errNotBuffered = errors.New("body is not in memory")

// sentError returns the error of a call that was sent but got no answer: its outcome is
// unknown.
func sentError(ctx context.Context, err error) *calls.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return calls.NewUnknown(calls.ReasonDeadline, calls.WithCause(err))
	case ctx.Err() != nil:
		return calls.NewUnknown(calls.ReasonCanceled, calls.WithCause(err))
	}
	return calls.NewUnknown(calls.ReasonPeerLost, calls.WithCause(err))
}

// readReply reads the header of an answer, and the body unless it is streamed.
func (w *Web) readReply(ctx context.Context, addr string, response *http.Response) (*calls.Reply, error) {
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, calls.NewUnknown(calls.ReasonPeerLost, calls.WithCause(fmt.Errorf("peer answered with status %s", response.Status)))
	}
	h, err := readReplyHeader(response.Body)
	if err != nil {
		_ = response.Body.Close()
		return nil, sentError(ctx, fmt.Errorf("read answer: %w", err))
	}
	w.onWait(addr, time.Duration(h.Wait)*time.Microsecond)
	if failure := h.err(); failure != nil {
		_ = response.Body.Close()
		return nil, failure
	}
	reply := &calls.Reply{Status: h.Status, Header: h.Header, Length: h.Length}
	if h.Length < 0 || h.Length > maxBufferedAnswer {
		reply.Body = calls.CheckBodyLength(response.Body, h.Length)
		return reply, nil
	}
	defer func() { _ = response.Body.Close() }()
	data := make([]byte, h.Length)
	if _, err := io.ReadFull(response.Body, data); err != nil {
		return nil, sentError(ctx, fmt.Errorf("read answer's body: %w", err))
	}
	reply.Body = calls.NewBuffered(data)
	return reply, nil
}

// serveCall runs a call that a peer has forwarded.
func (w *Web) serveCall(rw http.ResponseWriter, r *http.Request) {
	h, err := readCallHeader(r.Body)
	if err != nil {
		w.log.Info("bad call: header not readable", "peer", r.RemoteAddr, "err", err.Error())
		w.refuse(rw, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(err)))
		return
	}
	call := h.call(w.clock.Now(), r.Body)
	ctx, cancel := steady.WithDeadline(r.Context(), w.clock, call.Deadline)
	defer cancel()
	share, failure := w.readBody(ctx, rw, call)
	if failure != nil {
		w.refuse(rw, failure)
		return
	}
	defer share.Release()
	reply, err := w.handler.Run(ctx, call)
	if err != nil {
		w.refuse(rw, calls.AsError(err))
		return
	}
	defer func() { _ = reply.Body.Close() }()
	buf, err := encodeHeader(replyHeader{
		Outcome: calls.Answered, Status: reply.Status, Header: reply.Header, Length: reply.Length,
		Wait: w.handler.ExpectedWait().Microseconds(),
	})
	if err != nil {
		w.log.Error(err, "answer not sent: encoding its header failed", "request", call.ID)
		panic(http.ErrAbortHandler)
	}
	if err := w.writeReply(ctx, rw, buf, reply); err != nil {
		w.log.V(1).Info("answer cut", "request", call.ID, "err", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the body of a forwarded call into memory.
func (w *Web) readBody(ctx context.Context, rw http.ResponseWriter, call *calls.Call) (*quota.Share, *calls.Error) {
	if call.Length == 0 {
		call.Body = calls.NewBuffered(nil)
		return nil, nil
	}
	abort := func() { _ = http.NewResponseController(rw).SetReadDeadline(past) }
	data, share, err := w.bodies.Read(ctx, call.Body, call.Length, math.MaxInt64, abort)
	if err != nil {
		reason := calls.ReasonCanceled
		if errors.Is(err, quota.ErrFull) {
			reason = calls.ReasonOverload
		}
		return nil, calls.NewNotRun(reason, calls.WithCause(err))
	}
	call.Body, call.Length = data, int64(data.Len())
	return share, nil
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// writeReply sends a header and a body, in one write if the body is in memory. A streamed
// body is sent until ctx is done.
func (w *Web) writeReply(ctx context.Context, rw http.ResponseWriter, header []byte, reply *calls.Reply) error {
	if body, ok := reply.Body.(interface{ Bytes() []byte }); ok {
		_, err := rw.Write(append(header, body.Bytes()...))
		return err
	}
	defer calls.AbortWrites(ctx, rw, w.log)()
	if _, err := rw.Write(header); err != nil {
		return err
	}
	if _, err := io.Copy(rw, reply.Body); err != nil {
		return err
	}
	return nil
}

// refuse sends the error of a call that has no answer.
func (w *Web) refuse(rw http.ResponseWriter, e *calls.Error) {
	h := newErrorHeader(e)
	h.Wait = w.handler.ExpectedWait().Microseconds()
	buf, err := encodeHeader(h)
	if err != nil {
		w.log.Error(err, "refusal not sent: encoding its header failed")
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(buf)
}

// Document requests a document and its version from another daemon.
func (w *Web) Document(ctx context.Context, addr, name string) ([]byte, uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.scheme+"://"+addr+docPath+name, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("request document %s: %w", name, err)
	}
	response, err := w.client.RoundTrip(request)
	if err != nil {
		return nil, 0, fmt.Errorf("request document %s: %w", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("request document %s: peer answered with status %s", name, response.Status)
	}
	var h docHeader
	if err := readHeader(response.Body, &h); err != nil {
		return nil, 0, fmt.Errorf("read document %s: %w", name, err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxDoc))
	if err != nil {
		return nil, 0, fmt.Errorf("read document %s: %w", name, err)
	}
	if len(data) != h.Length {
		return nil, 0, fmt.Errorf("read document %s: %w", name, errBody)
	}
	return data, h.Version, nil
}

// docHeader is the header of a document.
type docHeader struct {
	Version uint64 `cbor:"1,keyasint"`
	Length  int    `cbor:"2,keyasint"`
}

func (w *Web) serveDocument(rw http.ResponseWriter, r *http.Request) {
	data, version, ok := w.handler.Document(chi.URLParam(r, "*"))
	if !ok {
		http.NotFound(rw, r)
		return
	}
	buf, err := encodeHeader(docHeader{Version: version, Length: len(data)})
	if err != nil {
		w.log.Error(err, "document not sent: encoding its header failed")
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(append(buf, data...))
}
