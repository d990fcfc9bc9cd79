package logsrv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/stream"
)

// maxWait bounds the long poll.
const maxWait = 30 * time.Second

// Server serves a Log over HTTP.
type Server struct {
	log    *Log
	clock  clockwork.Clock
	logger logr.Logger
	router chi.Router

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	appends int
}

// New returns a server with an empty log.
func New(opts ...Option) *Server {
	o := newOptions(opts)
	s := &Server{
		log:     NewLog(opts...),
		clock:   o.clock,
		logger:  o.log,
		faults:  o.faults,
		changed: make(chan struct{}),
	}
	s.router = chi.NewRouter()
	s.router.Route("/streams", func(r chi.Router) {
		r.Use(s.inject)
		r.Post("/{name}", s.append)
		r.Get("/{name}", s.read)
	})
	if o.control {
		s.router.Post("/control", s.control)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Log returns the log that the server serves.
func (s *Server) Log() *Log { return s.log }

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.appends = 0
	close(s.changed)
	s.changed = make(chan struct{})
	s.logger.Info("faults", "outage", f.Outage, "delay", f.Delay, "lose", f.LoseEvery)
}

// inject applies the outage before a request takes effect.
func (s *Server) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		s.mu.Unlock()
		switch f.Outage {
		case OutageNone:
		case OutageRefuse:
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		case OutageHang:
			s.hang(r.Context(), changed)
			panic(http.ErrAbortHandler)
		case OutageReset:
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) hang(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// slow applies the delay. A client that gives up meanwhile does not stop the
// request from taking effect.
func (s *Server) slow() {
	if d := s.Faults().Delay; d > 0 {
		s.clock.Sleep(d)
	}
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, stream.MaxRecord))
	if err != nil {
		s.refuse(w, readError(err))
		return
	}
	s.slow()
	offset, err := s.log.Append(chi.URLParam(r, "name"), data)
	if err != nil {
		s.refuse(w, err)
		return
	}
	if s.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	s.writeJSON(w, http.StatusOK, stream.Appended{Offset: offset})
}

func readError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fmt.Errorf("read record: %w", stream.ErrTooLarge)
	}
	return fmt.Errorf("read record: %w", err)
}

func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	return s.faults.LoseEvery > 0 && s.appends%s.faults.LoseEvery == 0
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: want an offset", http.StatusBadRequest)
		return
	}
	limit := 0
	if s := q.Get("max"); s != "" {
		if limit, err = strconv.Atoi(s); err != nil {
			http.Error(w, "max: want a number", http.StatusBadRequest)
			return
		}
	}
	var wait time.Duration
	if s := q.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil {
			http.Error(w, "wait: want a duration", http.StatusBadRequest)
			return
		}
	}
	s.slow()
	batch, err := s.log.Read(r.Context(), chi.URLParam(r, "name"), from, limit, min(wait, maxWait))
	if err != nil {
		s.refuse(w, err)
		return
	}
	data, err := cbor.Marshal(batch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", stream.BatchType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	s.write(w, data)
}

// refuse answers a request that had no effect.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	var (
		tooFast *RateError
		gap     *stream.GapError
	)
	switch {
	case errors.As(err, &gap):
		s.writeJSON(w, http.StatusGone, stream.Gone{First: gap.First})
	case errors.As(err, &tooFast):
		s.writeJSON(w, http.StatusTooManyRequests, stream.Refused{Millis: tooFast.After().Milliseconds() + 1})
	case errors.Is(err, stream.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrStreams):
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, l := s.Faults(), s.log.Limits()
	if err := applyValues(r.Form, &f, &l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	s.log.SetLimits(l)
	s.writeJSON(w, http.StatusOK, State{Faults: f, Limits: l})
}

// State answers POST /control: what is in force now.
type State struct {
	Faults Faults `json:"faults"`
	Limits Limits `json:"limits"`
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	s.write(w, data)
}

// write sends the body. A client that has gone needs no answer.
func (s *Server) write(w io.Writer, data []byte) {
	if _, err := w.Write(data); err != nil {
		s.logger.V(1).Info("answer", "error", err)
	}
}
