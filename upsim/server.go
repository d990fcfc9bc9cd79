package upsim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// maxBody bounds the body of a request other than a photo, in bytes.
const maxBody = 1 << 20

// Answer is the body of an answer about a key.
type Answer struct {
	Host    string `json:"host"`
	Key     string `json:"key"`
	Counter uint64 `json:"counter"`
	Epoch   uint64 `json:"epoch"`
	Request string `json:"request"`
	// Value is the key's last value after the effect; for a write its own body.
	Value string `json:"value,omitempty"`
	// Bytes and Sum tell of the photo that was received.
	Bytes int64  `json:"bytes,omitempty"`
	Sum   string `json:"sum,omitempty"`
}

// server runs requests.
type server struct {
	state  *state
	clock  clockwork.Clock
	router chi.Router
	health *health
	// newer is called for a token above all grants.
	newer func()
	crash func()

	mu        sync.Mutex
	behaviour Behaviour

	busy    atomic.Int64
	served  atomic.Int64
	refused atomic.Int64
}

func newServer(s *state, clock clockwork.Clock, newer, crash func()) *server {
	srv := &server{state: s, clock: clock, newer: newer, crash: sync.OnceFunc(crash), behaviour: s.cfg.Behaviour}
	srv.health = newHealth(srv)
	srv.router = chi.NewRouter()
	srv.router.Get("/health", srv.health.serveHealth)
	srv.router.Get("/load", srv.health.serveLoad)
	srv.routes(srv.router)
	srv.router.Route("/{service}", srv.routes)
	return srv
}

func (s *server) routes(r chi.Router) {
	r.Get("/keys/{key}", s.handle(s.whole, s.answerKey))
	r.Post("/keys/{key}", s.handle(s.whole, s.answerKey))
	r.Put("/keys/{key}", s.handle(s.whole, s.answerKey))
	r.Post("/echo", s.handle(s.whole, s.answerEcho))
	r.Post("/keys/{key}/photo", s.handle(s.photo, s.answerKey))
	r.Get("/keys/{key}/photo", s.handle(s.whole, s.answerPhoto))
	r.Post("/photo", s.handle(s.photo, s.answerKey))
	r.Get("/photo", s.handle(s.whole, s.answerPhoto))
}

func (s *server) current() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

func (s *server) set(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// take reads a request's body into the job; answer writes what came of it.
type (
	take   func(j *job, ans *Answer, body io.Reader) error
	answer func(w http.ResponseWriter, r *http.Request, j *job, ans Answer) error
)

// handle runs a request from admission to its answer. Every refusal before
// the effect carries "Moor-Ran: no".
func (s *server) handle(take take, answer answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		j, err := newJob(r)
		if err != nil {
			s.refuse(w, http.StatusBadRequest, err)
			return
		}
		behaviour := s.current()
		if s.busy.Add(1) > int64(s.state.cfg.Slots) || behaviour.sheds() {
			s.busy.Add(-1)
			s.refuse(w, http.StatusTooManyRequests, errors.New("overloaded"))
			return
		}
		defer s.busy.Add(-1)
		if err := s.state.admit(j); err != nil {
			s.refuseFenced(w, err)
			return
		}
		ans := Answer{Host: string(s.state.host()), Key: j.key, Epoch: uint64(j.epoch), Request: j.request}
		if err := take(j, &ans, r.Body); err != nil {
			s.refuse(w, http.StatusBadRequest, err)
			return
		}
		if j.poison {
			s.state.crash(j)
			s.crash()
			panic(http.ErrAbortHandler)
		}
		if !s.work(w, r, j, &ans, behaviour) {
			return
		}
		s.served.Add(1)
		s.head(w, ans)
		if err := answer(w, r, j, ans); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// work spends the service time and gives the request its effect. It reports
// false when the request was answered already.
func (s *server) work(w http.ResponseWriter, r *http.Request, j *job, ans *Answer, b Behaviour) bool {
	ctx := r.Context()
	if j.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, s.clock, j.deadline)
		defer cancel()
	}
	spend := func() error {
		d := b.duration(j.asked, s.state.age())
		if d <= 0 {
			return ctx.Err()
		}
		timer := s.clock.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.Chan():
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if !j.first {
		if err := spend(); err != nil {
			s.refuse(w, http.StatusGatewayTimeout, fmt.Errorf("before the effect: %w", err))
			return false
		}
	}
	v, err := s.state.commit(j)
	if err != nil {
		s.refuseFenced(w, err)
		return false
	}
	ans.Counter = v.counter
	ans.Value = string(v.last)
	if j.first {
		if err := spend(); err != nil {
			http.Error(w, "after the effect: "+err.Error(), http.StatusGatewayTimeout)
			return false
		}
	}
	return true
}

// refuse answers a request that had no effect.
func (s *server) refuse(w http.ResponseWriter, status int, err error) {
	s.refused.Add(1)
	w.Header().Set(calls.HeaderRan, "no")
	w.Header().Set(HeaderHost, string(s.state.host()))
	http.Error(w, err.Error(), status)
}

func (s *server) refuseFenced(w http.ResponseWriter, err error) {
	var fence *FenceError
	switch {
	case errors.Is(err, errDead):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errKeys):
		s.refuse(w, http.StatusInsufficientStorage, err)
		return
	case errors.As(err, &fence) && fence.Newer:
		s.newer()
	}
	s.refuse(w, http.StatusConflict, err)
}

// whole reads a body of bounded size.
func (s *server) whole(j *job, _ *Answer, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBody+1))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if len(data) > maxBody {
		return fmt.Errorf("body over %d bytes", maxBody)
	}
	j.body = data
	return nil
}

func (s *server) head(w http.ResponseWriter, ans Answer) {
	h := w.Header()
	h.Set(HeaderHost, ans.Host)
	h.Set(HeaderCounter, strconv.FormatUint(ans.Counter, 10))
	h.Set(HeaderEpoch, strconv.FormatUint(ans.Epoch, 10))
	h.Set(calls.HeaderRequest, ans.Request)
}

func (s *server) answerKey(w http.ResponseWriter, _ *http.Request, _ *job, ans Answer) error {
	data, err := json.Marshal(ans)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	return send(w, data)
}

func (s *server) answerEcho(w http.ResponseWriter, r *http.Request, j *job, _ Answer) error {
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	return send(w, j.body)
}

func send(w http.ResponseWriter, data []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}
