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
	defaultTimeout  = 10 * time.Second
	maxTimeout      = 60 * time.Second
	defaultMaxBody  = 32 << 20 // bytes
	defaultInflight = 4096     // requests
	defaultRetry    = time.Second
	copyBuffer      = 32 << 10 // bytes

	// keyPath is where callers get a fresh Idempotency-Key.
	keyPath = "/.moor/key"
)

// Handler serves callers' requests.
type Handler struct {
	executor calls.Executor
	services ServiceSource
	clock    clockwork.Clock
	log      logr.Logger
	scope    tally.Scope
	host     ident.Host
	inflight int64
	maxBody  int64
	mux      chi.Router

	running atomic.Int64
	next    atomic.Uint64
	prefix  string
	buffers sync.Pool
	counts  counters
}

// Option changes a Handler.
type Option func(*Handler)

// WithClock sets the clock that deadlines are read from.
func WithClock(clock clockwork.Clock) Option { return func(h *Handler) { h.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(h *Handler) { h.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(h *Handler) { h.scope = scope } }

// WithHost names the daemon's host in answers.
func WithHost(host ident.Host) Option { return func(h *Handler) { h.host = host } }

// WithInflight bounds the number of requests served at once.
func WithInflight(n int) Option { return func(h *Handler) { h.inflight = int64(n) } }

// WithMaxBody sets the largest request body in bytes for services that set
// none.
func WithMaxBody(n int64) Option { return func(h *Handler) { h.maxBody = n } }

// New returns a handler that runs callers' requests with executor.
func New(executor calls.Executor, services ServiceSource, opts ...Option) *Handler {
	h := &Handler{
		executor: executor,
		services: services,
		clock:    clockwork.NewRealClock(),
		log:      logr.Discard(),
		scope:    tally.NoopScope,
		inflight: defaultInflight,
		maxBody:  defaultMaxBody,
		prefix:   strconv.FormatUint(rand.Uint64(), 36) + "-",
		buffers:  sync.Pool{New: func() any { return new([copyBuffer]byte) }},
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

// serveKey answers with a fresh Idempotency-Key made by the daemon's clock.
func (h *Handler) serveKey(w http.ResponseWriter, _ *http.Request) {
	key, err := calls.NewIdempotencyKey(h.clock.Now())
	if err != nil {
		h.log.Error(err, "make idempotency key")
		http.Error(w, "no random numbers", http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set(calls.HeaderOutcome, calls.Answered.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, key+"\n")
}

// serveUnknown answers a path that names no service.
func (h *Handler) serveUnknown(w http.ResponseWriter, _ *http.Request) {
	h.refuse(w, h.requestID(), calls.NewNotRun(calls.ReasonNoService))
}

// serveCall runs one request.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	id := h.requestID()
	if h.running.Add(1) > h.inflight {
		h.running.Add(-1)
		h.refuse(w, id, calls.NewNotRun(calls.ReasonOverload, calls.WithRetryAfter(defaultRetry)))
		return
	}
	defer h.running.Add(-1)
	call, refusal := h.newCall(id, r)
	if refusal != nil {
		h.refuse(w, id, refusal)
		return
	}
	ctx, cancel := clockwork.WithDeadline(r.Context(), h.clock, call.Deadline)
	defer cancel()
	h.run(ctx, w, call)
}

func (h *Handler) run(ctx context.Context, w http.ResponseWriter, call *calls.Call) {
	reply, err := h.executor.Run(ctx, call)
	if err != nil {
		h.refuse(w, call.ID, calls.AsError(err))
		return
	}
	h.answer(w, call, reply)
}

// newCall reads a request's headers.
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
			return nil, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(errNoKey))
		}
		call.Key, call.Hash = key, ident.HashKey(key)
	}
	if service.NeedsKey() && !call.IsIdempotent() && call.Idempotency == "" {
		return nil, calls.NewNotRun(calls.ReasonKeyNeeded)
	}
	timeout, err := h.timeout(r.Header.Get(calls.HeaderTimeout), service)
	if err != nil {
		return nil, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(err))
	}
	call.Deadline = h.clock.Now().Add(timeout)
	return call, h.limitBody(call, r.Body, service)
}

// limitBody gives the call its body, bounded in length.
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
		call.Body = &limitedBody{body: body, left: limit}
	default:
		call.Body = body
	}
	return nil
}

// errNoKey is the cause of a refused request to a service divided by key.
var errNoKey = errors.New("request has no valid routing key")

// errTimeout is the cause of a refused Moor-Timeout header.
var errTimeout = errors.New("timeout is not a positive number of milliseconds")

// timeout returns the time that a request has.
func (h *Handler) timeout(text string, service Service) (time.Duration, error) {
	if text == "" {
		if d := service.DefaultTimeout(); d > 0 {
			return d, nil
		}
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, errTimeout
	}
	return min(time.Duration(ms)*time.Millisecond, maxTimeout), nil
}

// requestID returns an id that no other request of this process has.
func (h *Handler) requestID() string {
	return h.prefix + strconv.FormatUint(h.next.Add(1), 36)
}

// splitPath parts "/service/rest" into the service and "/rest".
func splitPath(path string) (service, rest string) {
	path = strings.TrimPrefix(path, "/")
	service, rest, ok := strings.Cut(path, "/")
	if !ok {
		return service, "/"
	}
	return service, "/" + rest
}
