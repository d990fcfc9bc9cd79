package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Paths of the operators' listener.
const (
	PathStatus     = "/status"
	PathTimeline   = "/timeline"
	PathMetrics    = "/metrics"
	PathHealthz    = "/healthz"
	PathReadyz     = "/readyz"
	PathDrain      = "/drain"
	PathEvict      = "/evict"
	PathQuarantine = "/quarantine"
	PathSettings   = "/settings"
	PathTable      = "/table"
)

// Names of query parameters.
const (
	paramNumber      = "number"
	paramService     = "service"
	paramFingerprint = "fingerprint"
)

// maxBody is the largest body of an order in bytes.
const maxBody = 4 << 10

// maxQuery is the longest query of a request in bytes.
const maxQuery = 8 << 10

// Option sets a property of a handler.
type Option func(*server)

// WithToken asks for a bearer token on every order. An empty token asks for
// none.
func WithToken(token string) Option {
	return func(s *server) { s.token = token }
}

// server answers operators.
type server struct {
	source  Source
	control Control
	token   string
}

// New returns the handler of the operators' listener.
func New(source Source, control Control, opts ...Option) http.Handler {
	s := &server{source: source, control: control}
	for _, opt := range opts {
		opt(s)
	}
	r := chi.NewRouter()
	r.Use(limit)
	r.Get(PathStatus, s.status)
	r.Get(PathTimeline, s.timeline)
	r.Get(PathMetrics, s.metrics)
	r.Get(PathHealthz, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get(PathReadyz, s.ready)
	r.Get(PathQuarantine, s.quarantine)
	r.Get(PathSettings, s.settings)
	r.Get(PathTable, s.table)
	r.Group(func(r chi.Router) {
		r.Use(s.authorize)
		r.Post(PathDrain, s.drain)
		r.Post(PathEvict, s.evict)
		r.Delete(PathQuarantine, s.lift)
	})
	return r
}

// limit bounds what a request may carry.
func limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.URL.RawQuery) > maxQuery {
			fail(w, http.StatusRequestURITooLong, errors.New("query is too long"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

// authorize lets orders through that carry the token.
func (s *server) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if s.token != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 0 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			fail(w, http.StatusUnauthorized, errors.New("this order needs the operators' token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.source.Status())
}

func (s *server) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	filter, err := events.ParseFilter(q)
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	var number uint64
	if text := q.Get(paramNumber); text != "" {
		if number, err = strconv.ParseUint(text, 10, 64); err != nil {
			fail(w, http.StatusBadRequest, fmt.Errorf("parse number: %w", err))
			return
		}
	}
	if filter.Key() != "" {
		slots, ok := s.source.SlotsOf(filter.Service(), filter.Key())
		if !ok {
			fail(w, http.StatusNotFound, fmt.Errorf("service %q: %w", filter.Service(), ErrNotFound))
			return
		}
		filter = filter.Resolve(slots...)
	}
	answer(w, http.StatusOK, s.source.Events(number, filter))
}

func (s *server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = s.source.WriteMetrics(w)
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.source.Ready(); err != nil {
		fail(w, http.StatusServiceUnavailable, err)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *server) quarantine(w http.ResponseWriter, _ *http.Request) {
	list := s.source.Quarantine()
	if list == nil {
		list = []Quarantine{}
	}
	answer(w, http.StatusOK, list)
}

func (s *server) settings(w http.ResponseWriter, _ *http.Request) {
	settings, err := s.source.Settings()
	if err != nil {
		fail(w, http.StatusInternalServerError, err)
		return
	}
	answer(w, http.StatusOK, settings)
}

func (s *server) table(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	if err := s.source.WriteTable(w); err != nil {
		// The answer has begun; cutting it keeps it from looking whole.
		panic(http.ErrAbortHandler)
	}
}

func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	s.order(w, s.control.Drain(r.Context()))
}

// eviction is the body of an order to evict.
type eviction struct {
	Member   string `json:"member"`
	Operator string `json:"operator"`
}

func (s *server) evict(w http.ResponseWriter, r *http.Request) {
	var body eviction
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, fmt.Errorf("read order: %w", err))
		return
	}
	member, err := ident.ParseIncarnation(body.Member)
	if err != nil || member.IsZero() || body.Operator == "" {
		fail(w, http.StatusBadRequest, errors.New("an eviction names a member as host~boot and an operator"))
		return
	}
	s.order(w, s.control.Evict(r.Context(), member, body.Operator))
}

func (s *server) lift(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	service, fingerprint := q.Get(paramService), q.Get(paramFingerprint)
	if service == "" || fingerprint == "" {
		fail(w, http.StatusBadRequest, errors.New("a quarantine entry is named by service and fingerprint"))
		return
	}
	s.order(w, s.control.Lift(r.Context(), ident.Service(service), fingerprint))
}

// order answers with the result of an order.
func (s *server) order(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		answer(w, http.StatusAccepted, struct{}{})
	case errors.Is(err, ErrNotFound):
		fail(w, http.StatusNotFound, err)
	case errors.Is(err, ErrRefused):
		fail(w, http.StatusConflict, err)
	default:
		fail(w, http.StatusInternalServerError, err)
	}
}

// problem is the body of an answer that is an error.
type problem struct {
	Error string `json:"error"`
}

func fail(w http.ResponseWriter, status int, err error) {
	answer(w, status, problem{Error: err.Error()})
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
