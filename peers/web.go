package peers

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
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
)

// Times of a Web transport.
const (
	// webDialTime bounds the opening of a connection; daemons are milliseconds
	// apart.
	webDialTime = 400 * time.Millisecond
	// webProbe is how long a connection may be quiet before the kernel probes it,
	// and the time between two probes; webProbes is how many may stay without
	// answer. They bound how long a connection that has gone silent is used, at no
	// cost to the process.
	webProbe  = time.Second
	webProbes = 1
	// webUnacked is how long sent bytes may stay unacknowledged before the
	// connection is given up.
	webUnacked = 1200 * time.Millisecond
	// webConfirm is how long a peer may take to confirm that it reads a call, before
	// any of the call is sent; it may have no share of its processor for a tenth of a
	// second. webDoubt is that time for a peer that has not confirmed the call before.
	webConfirm = 400 * time.Millisecond
	webDoubt   = 100 * time.Millisecond
	// webIdle is how long an unused connection stays open.
	webIdle = 90 * time.Second
	// webStreams is the number of calls that one connection carries at once.
	webStreams = 1024
)

// Paths of the protocol between daemons.
const (
	callPath = "/call"
	docPath  = "/doc/"
)

// maxAtOnce is the largest answer that is read to its end before any of it is
// passed on, in bytes.
const maxAtOnce = 1 << 20

// maxDoc is the largest document that a peer may send, in bytes.
const maxDoc = 4 << 20

// WebHandler takes what other daemons send over a Web transport.
type WebHandler interface {
	calls.Executor
	// Document returns a document that peers may ask for, and its version; false
	// when this daemon does not have it.
	Document(name string) (data []byte, version uint64, ok bool)
	// Wait returns how long a call would wait at the upstream of this daemon.
	Wait() time.Duration
}

// Web is a transport between daemons over HTTP/2, one connection a pair, with
// mutual TLS where keys are set. It costs a tenth of the processor time of Quic
// where connections are neither lossy nor long.
type Web struct {
	handler WebHandler
	clock   clockwork.Clock
	log     logr.Logger
	server  *http.Server
	client  *http.Transport
	scheme  string
	addr    string
	done    sync.WaitGroup
	waits   func(addr string, wait time.Duration)
	doubts  *doubts
}

// WebOption changes a Web transport.
type WebOption func(*Web)

// WithWebClock sets the clock.
func WithWebClock(clock clockwork.Clock) WebOption { return func(w *Web) { w.clock = clock } }

// WithWebLogger sets the logger.
func WithWebLogger(log logr.Logger) WebOption { return func(w *Web) { w.log = log } }

// WithWaits sets who is told the waiting times that come with answers.
func WithWaits(waits func(addr string, wait time.Duration)) WebOption {
	return func(w *Web) { w.waits = waits }
}

// ListenWeb opens a transport on a TCP address. Config authenticates both ends;
// nil leaves connections plain. Close ends it.
func ListenWeb(addr string, config *tls.Config, handler WebHandler, opts ...WebOption) (*Web, error) {
	w := &Web{
		handler: handler, clock: clockwork.NewRealClock(), log: logr.Discard(),
		scheme: "http", waits: func(string, time.Duration) {}, doubts: newDoubts(),
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
			w.log.Error(err, "listener for peers ended")
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
		Timeout: webDialTime, Control: limitUnacked,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: webProbe, Interval: webProbe, Count: webProbes},
	}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		TLSClientConfig:    config,
		DisableCompression: true,
		IdleConnTimeout:    webIdle,
		// The wait for the confirmation is bounded by the call's context.
		ExpectContinueTimeout: time.Hour,
		Protocols:             protocols(config != nil),
	}
}

// limitUnacked makes the kernel give a connection up whose bytes are not
// acknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(webUnacked.Milliseconds()))
	})
	if err = errors.Join(err, failure); err != nil {
		return fmt.Errorf("limit unacknowledged bytes: %w", err)
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
		IdleTimeout:       2 * webIdle,
		Protocols:         protocols(w.scheme == "https"),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: webStreams},
	}
}

// Addr returns the TCP address that the transport listens on.
func (w *Web) Addr() string { return w.addr }

// Close ends the transport. Calls in flight are cut.
func (w *Web) Close() error {
	err := w.server.Close()
	w.client.CloseIdleConnections()
	w.done.Wait()
	if err != nil {
		return fmt.Errorf("close transport: %w", err)
	}
	return nil
}

// Shutdown lets calls in flight end and takes no new ones.
func (w *Web) Shutdown(ctx context.Context) error {
	if err := w.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut transport down: %w", err)
	}
	return nil
}

// Forward runs a call at another daemon. Its error is a *calls.Error; it is
// calls.NotRun only where no byte of the call was sent, or the peer said so. A call
// is sent once the peer has confirmed that it reads it: one that stands still, or
// is cut off, has then not run it. The body must be in memory.
func (w *Web) Forward(ctx context.Context, addr string, call *calls.Call) (*calls.Reply, error) {
	body, ok := call.Body.(*calls.Buffered)
	if !ok {
		return nil, calls.NewNotRun(calls.ReasonTooLarge, calls.WithCause(errNotBuffered))
	}
	header, err := encodeHeader(newCallHeader(call, w.clock.Now(), call.Deadline, false))
	if err != nil {
		return nil, calls.NewNotRun(calls.ReasonTooLarge, calls.WithCause(err))
	}
	payload := newGated(io.MultiReader(bytes.NewReader(header), bytes.NewReader(body.Bytes())),
		func() { w.doubts.confirmed(addr) })
	sending, cancel := context.WithCancel(ctx)
	patience, probe := w.doubts.begin(addr)
	timer := w.clock.AfterFunc(patience, func() {
		if payload.shut() {
			cancel()
		}
	})
	defer timer.Stop()
	request, err := http.NewRequestWithContext(sending, http.MethodPost, w.scheme+"://"+addr+callPath, payload)
	if err != nil {
		cancel()
		w.doubts.gaveUp(addr, probe)
		return nil, calls.NewNotRun(calls.ReasonPeerDown, calls.WithCause(err))
	}
	request.ContentLength = int64(len(header) + len(body.Bytes()))
	request.Header.Set("Expect", "100-continue")
	response, err := w.client.RoundTrip(request)
	if err != nil {
		cancel()
		if !payload.shut() {
			return nil, sentError(ctx, err)
		}
		return nil, w.unsentError(ctx, addr, probe, err)
	}
	response.Body = calls.OnClose(response.Body, cancel)
	return w.readReply(ctx, addr, response)
}

// unsentError tells why a call was not sent: the peer has not confirmed it.
func (w *Web) unsentError(ctx context.Context, addr string, probe bool, err error) *calls.Error {
	reason := calls.ReasonPeerDown
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = calls.ReasonDeadline
	case ctx.Err() != nil:
		reason = calls.ReasonCanceled
	}
	if reason == calls.ReasonPeerDown {
		w.doubts.failed(addr, probe)
	} else {
		w.doubts.gaveUp(addr, probe)
	}
	return calls.NewNotRun(reason, calls.WithCause(fmt.Errorf("no confirmation: %w", err)))
}

// errNotBuffered reports a call whose body can't be sent a second time.
var errNotBuffered = errors.New("body is not in memory")

// sentError tells what became of a call that was sent and has no answer.
func sentError(ctx context.Context, err error) *calls.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return calls.NewUnknown(calls.ReasonDeadline, calls.WithCause(err))
	case ctx.Err() != nil:
		return calls.NewUnknown(calls.ReasonCanceled, calls.WithCause(err))
	}
	return calls.NewUnknown(calls.ReasonPeerLost, calls.WithCause(err))
}

func (w *Web) readReply(ctx context.Context, addr string, response *http.Response) (*calls.Reply, error) {
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, calls.NewUnknown(calls.ReasonPeerLost, calls.WithCause(fmt.Errorf("peer answers %s", response.Status)))
	}
	h, err := readReplyHeader(response.Body)
	if err != nil {
		_ = response.Body.Close()
		return nil, sentError(ctx, fmt.Errorf("read answer: %w", err))
	}
	w.waits(addr, time.Duration(h.Wait)*time.Microsecond)
	if failure := h.err(); failure != nil {
		_ = response.Body.Close()
		return nil, failure
	}
	reply := &calls.Reply{Status: h.Status, Header: h.Header, Length: h.Length}
	if h.Length < 0 || h.Length > maxAtOnce {
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

// serveCall runs a call that a peer forwards.
func (w *Web) serveCall(rw http.ResponseWriter, r *http.Request) {
	h, err := readCallHeader(r.Body)
	if err != nil {
		w.log.Info("bad call of a peer", "peer", r.RemoteAddr, "err", err.Error())
		w.refuse(rw, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(err)))
		return
	}
	call := h.call(w.clock.Now(), r.Body)
	if _, err := calls.Buffer(call, call.Length); err != nil {
		w.refuse(rw, calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(err)))
		return
	}
	reply, err := w.handler.Run(r.Context(), call)
	if err != nil {
		w.refuse(rw, calls.AsError(err))
		return
	}
	defer func() { _ = reply.Body.Close() }()
	buf, err := encodeHeader(replyHeader{
		Outcome: calls.Answered, Status: reply.Status, Header: reply.Header, Length: reply.Length,
		Wait: w.handler.Wait().Microseconds(),
	})
	if err != nil {
		w.log.Error(err, "answer not sent", "request", call.ID)
		panic(http.ErrAbortHandler)
	}
	if err := writeReply(rw, buf, reply); err != nil {
		w.log.V(1).Info("answer cut", "request", call.ID, "err", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// writeReply sends a header and a body, in one write when both are in memory.
func writeReply(rw http.ResponseWriter, header []byte, reply *calls.Reply) error {
	if body, ok := reply.Body.(interface{ Bytes() []byte }); ok {
		_, err := rw.Write(append(header, body.Bytes()...))
		return err
	}
	if _, err := rw.Write(header); err != nil {
		return err
	}
	if _, err := io.Copy(rw, reply.Body); err != nil {
		return err
	}
	return nil
}

func (w *Web) refuse(rw http.ResponseWriter, e *calls.Error) {
	h := newErrorHeader(e)
	h.Wait = w.handler.Wait().Microseconds()
	buf, err := encodeHeader(h)
	if err != nil {
		w.log.Error(err, "refusal not sent")
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(buf)
}

// Document asks another daemon for a document.
func (w *Web) Document(ctx context.Context, addr, name string) ([]byte, uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.scheme+"://"+addr+docPath+name, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("ask for document %s: %w", name, err)
	}
	response, err := w.client.RoundTrip(request)
	if err != nil {
		return nil, 0, fmt.Errorf("ask for document %s: %w", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("ask for document %s: peer answers %s", name, response.Status)
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
		return nil, 0, fmt.Errorf("read document %s: %w", name, errCut)
	}
	return data, h.Version, nil
}

// docHeader opens a document.
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
		w.log.Error(err, "document not sent")
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(append(buf, data...))
}
