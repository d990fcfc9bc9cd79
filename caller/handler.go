package caller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// defaultTimeout applies when neither the request nor its service sets a
	// timeout.
	defaultTimeout = 10 * time.Second
	// maxTimeout is the upper bound for a timeout from a Moor-Timeout header.
	maxTimeout = 60 * time.Second
	// defaultMaxBody is the largest request body, in bytes, for services that set
	// no limit.
	defaultMaxBody = 32 << 20
	// defaultMaxInflight is the number of requests that are served concurrently.
	defaultMaxInflight = 4096
	// defaultRetryAfter is the Retry-After of a request that exceeds the number of
	// concurrent requests.
	defaultRetryAfter = time.Second
	// copyBufferSize is the size of a buffer for copying answers, in bytes.
	copyBufferSize = 32 << 10

	// keyPath is the path that returns a new Idempotency-Key.
	keyPath = "/.moor/key"
)

// Handler is an http.Handler that serves callers' requests. It is safe for
// concurrent use.
type Handler struct {
	executor    calls.Executor
	services    ServiceSource
	clock       clockwork.Clock
	log         logr.Logger
	scope       tally.Scope
	host        ident.Host
	maxInflight int64
	maxBody     int64
	mux         chi.Router

	inflight atomic.Int64
	nextID   atomic.Uint64
	idPrefix string
	buffers  sync.Pool
	counts   counters
}

// Option configures a Handler.
type Option func(*Handler)

// WithClock sets the clock from which deadlines and idempotency keys are computed.
func WithClock(clock clockwork.Clock) Option { return func(h *Handler) { h.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(h *Handler) { h.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(h *Handler) { h.scope = scope } }

// WithHost sets the host that the Moor-Owner header names when the upstream's
// answer does not name one.
func WithHost(host ident.Host) Option { return func(h *Handler) { h.host = host } }

// WithMaxInflight sets the number of requests that are served concurrently. Further
// requests are refused with the reason overload.
func WithMaxInflight(n int) Option { return func(h *Handler) { h.maxInflight = int64(n) } }

// WithMaxBody sets the largest request body, in bytes, for services that set no
// limit of their own.
func WithMaxBody(n int64) Option { return func(h *Handler) { h.maxBody = n } }

// New returns a handler that executes callers' requests with executor and looks up
// their services in services.
func New(executor calls.Executor, services ServiceSource, opts ...Option) *Handler {
	h := &Handler{
		executor:    executor,
		services:    services,
		clock:       clockwork.NewRealClock(),
		log:         logr.Discard(),
		scope:       tally.NoopScope,
		maxInflight: defaultMaxInflight,
		maxBody:     defaultMaxBody,
		idPrefix:    strconv.FormatUint(rand.Uint64(), 36) + "-",
		buffers:     sync.Pool{New: func() any { return new([copyBufferSize]byte) }},
	}
	for _, opt := range opts {
		opt(h)
	}
	h.counts = newCounters(h.scope)
	h.mux = chi.NewRouter()
	h.mux.Get(keyPath, h.serveKey)
	h.mux.HandleFunc("/{service}", h.serveCall)
	h.mux.HandleFunc("/{service}/*", h.serveCall)
	h.mux.NotFound(h.serveUnknown)
	h.mux.MethodNotAllowed(h.serveUnknown)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// serveKey answers with a new Idempotency-Key, whose time comes from the daemon's
// clock.
func (h *Handler) serveKey(w http.ResponseWriter, _ *http.Request) {
	key, err := calls.NewIdempotencyKey(h.clock.Now())
	if err != nil {
		h.log.Error(err, "can't generate an idempotency key")
		http.Error(w, "no random numbers", http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set(calls.HeaderOutcome, calls.Answered.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, key+"\n")
}

// serveUnknown refuses a request whose path names no service.
func (h *Handler) serveUnknown(w http.ResponseWriter, _ *http.Request) {
	h.writeRefusal(w, h.requestID(), calls.NewNotRun(calls.ReasonNoService))
}

// serveCall serves a request to a service, or refuses it when too many requests are
// being served.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	id := h.requestID()
	if h.inflight.Add(1) > h.maxInflight {
		h.inflight.Add(-1)
		h.writeRefusal(w, id, calls.NewNotRun(calls.ReasonOverload, calls.WithRetryAfter(defaultRetryAfter)))
		return
	}
	defer h.inflight.Add(-1)
	call, refusal := h.newCall(id, r)
	if refusal != nil {
		h.writeRefusal(w, id, refusal)
		return
	}
	ctx, cancel := clockwork.WithDeadline(r.Context(), h.clock, call.Deadline)
	defer cancel()
	h.run(ctx, w, call)
}

// run executes a call and writes its answer or its error.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, call *calls.Call) {
	reply, err := h.executor.Run(ctx, call)
	if err != nil {
		h.writeRefusal(w, call.ID, calls.AsError(err))
		return
	}
	h.writeReply(w, call, reply)
}

// newCall builds a call from a request. It returns an error when the request is
// invalid or its service is unknown.
func (h *Handler) newCall(id string, r *http.Request) (*calls.Call, *calls.Error) {
	name, rest := splitPath(r.URL.EscapedPath())
	service, ok := h.services.Service(ident.Service(name))
	if !ok {
		if !h.services.Ready() {
			return nil, calls.NewNotRun(calls.ReasonStarting, calls.WithRetryAfter(time.Second))
		}
		return nil, calls.NewNotRun(calls.ReasonNoService)
	}
	call := &calls.Call{
		ID:          id,
		Service:     ident.Service(name),
		Method:      r.Method,
		Path:        rest,
		Header:      calls.EndToEnd(r.Header),
		Length:      r.ContentLength,
		Idempotency: r.Header.Get(calls.HeaderIdempotency),
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	if service.Divided() {
		key, ok := service.KeyRule().key(r.Header, rest, r.URL.RawQuery)
		if !ok || key == "" {
			return nil, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(errInvalidKey))
		}
		call.Key, call.Hash = key, ident.HashKey(key)
	}
	if service.RequiresIdempotencyKey() && !call.IsIdempotent() && call.Idempotency == "" {
		return nil, calls.NewNotRun(calls.ReasonKeyNeeded)
	}
	timeout, err := h.timeout(r.Header.Get(calls.HeaderTimeout), service)
	if err != nil {
		return nil, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(err))
	}
	call.Deadline = h.clock.Now().Add(timeout)
	return call, h.limitBody(call, r.Body, service)
}

// limitBody sets the call's body and enforces the service's limit on its length. A
// body of unknown length fails while it is read, once it exceeds the limit.
func (h *Handler) limitBody(call *calls.Call, body io.ReadCloser, service Service) *calls.Error {
	limit := service.MaxBody()
	if limit <= 0 {
		limit = h.maxBody
	}
	switch {
	case call.Length > limit:
		return calls.NewNotRun(calls.ReasonTooLarge)
	case call.Length == 0 || body == nil || body == http.NoBody:
		call.Body, call.Length = calls.NewBuffered(nil), 0
	case call.Length < 0:
		call.Body = &limitedBody{body: body, remaining: limit}
	default:
		call.Body = body
	}
	return nil
}

// errInvalidKey is the cause of a refused request to a service divided by key: the
// request has no routing key, or an invalid one.
var errInvalidKey = errors.New("request has no valid routing key")

// errInvalidTimeout is the cause of a request refused because of its Moor-Timeout
// header.
var errInvalidTimeout = errors.New("header Moor-Timeout is not a positive integer number of milliseconds")

// timeout returns the timeout of a request: the value of its Moor-Timeout header,
// in milliseconds and at most maxTimeout, or the service's default.
func (h *Handler) timeout(text string, service Service) (time.Duration, error) {
	if text == "" {
		if d := service.DefaultTimeout(); d > 0 {
			return d, nil
		}
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, errInvalidTimeout
	}
	return min(time.Duration(ms)*time.Millisecond, maxTimeout), nil
}

// requestID returns an id that is unique within this process. Its random prefix
// distinguishes it from ids of other processes.
func (h *Handler) requestID() string {
	return h.idPrefix + strconv.FormatUint(h.nextID.Add(1), 36)
}

// splitPath splits "/service/rest" into the service and "/rest".
func splitPath(path string) (service, rest string) {
	path = strings.TrimPrefix(path, "/")
	service, rest, ok := strings.Cut(path, "/")
	if !ok {
		return service, "/"
	}
	return service, "/" + rest
}
