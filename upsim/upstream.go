package upsim

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// headerTimeout is how long a connection may take to send its headers.
const headerTimeout = 10 * time.Second

// Upstream is a listening upstream.
type Upstream struct {
	cfg       Config
	state     *state
	server    *server
	announcer *announcer
	listener  *limitListener
	http      *http.Server
	url       string
	served    chan struct{}
	ended     chan struct{}
	endOnce   sync.Once
}

// Option sets a detail of an Upstream.
type Option func(*options)

type options struct {
	clock   clockwork.Clock
	log     logr.Logger
	history io.Writer
	crash   func()
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithHistory writes one line of JSON for each executed request to w, in one
// Write at the moment of effect. Lines are verify.Execution values.
func WithHistory(w io.Writer) Option {
	return func(o *options) { o.history = w }
}

// WithCrash sets what a poisonous request does after it was recorded. By
// default the upstream ends as Kill does.
func WithCrash(crash func()) Option {
	return func(o *options) { o.crash = crash }
}

// Listen starts an upstream on addr. It announces itself to cfg.Daemon until
// it is closed.
func Listen(addr string, cfg Config, opts ...Option) (*Upstream, error) {
	o := options{clock: clockwork.NewRealClock(), log: logr.Discard()}
	for _, opt := range opts {
		opt(&o)
	}
	cfg = cfg.withDefaults()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for requests: %w", err)
	}
	u := &Upstream{
		cfg:      cfg,
		listener: &limitListener{Listener: ln, limit: int64(cfg.Conns)},
		url:      "http://" + ln.Addr().String(),
		served:   make(chan struct{}),
		ended:    make(chan struct{}),
	}
	if o.crash == nil {
		o.crash = u.Kill
	}
	u.state = newState(cfg, o.clock, uuid.NewString(), o.history)
	u.announcer = newAnnouncer(u.state, o.clock, o.log, u.url)
	u.server = newServer(u.state, o.clock, u.announcer.poke, o.crash)
	u.http = &http.Server{Handler: u.server.router, ReadHeaderTimeout: headerTimeout}
	go func() {
		defer close(u.served)
		_ = u.http.Serve(u.listener)
	}()
	if cfg.Daemon != "" {
		u.announcer.start(u.server)
	} else {
		close(u.announcer.done)
	}
	return u, nil
}

// URL returns the base URL for requests.
func (u *Upstream) URL() string { return u.url }

// Instance returns the id of this run.
func (u *Upstream) Instance() string { return u.state.instance }

// Set changes the behaviour.
func (u *Upstream) Set(b Behaviour) { u.server.set(b) }

// Behaviour returns the behaviour in force.
func (u *Upstream) Behaviour() Behaviour { return u.server.current() }

// Granted returns what the upstream may run now.
func (u *Upstream) Granted() Granted { return u.state.granted() }

// Counter returns the counter of a key.
func (u *Upstream) Counter(key string) uint64 { return u.state.counter(key) }

// Drain announces that the upstream is leaving, waits until the daemon says
// that nothing is left for it, and finishes what is in flight. It returns the
// error of ctx when that ends first; the upstream is still there then.
func (u *Upstream) Drain(ctx context.Context) error {
	if u.cfg.Daemon != "" {
		u.announcer.leave()
		select {
		case <-u.announcer.drained:
		case <-ctx.Done():
			return fmt.Errorf("wait for the daemon to drain: %w", ctx.Err())
		}
	}
	if err := u.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("finish requests in flight: %w", err)
	}
	return u.Close()
}

// Kill closes every connection at once, as a crash does. Requests in flight
// have no effect any more.
func (u *Upstream) Kill() {
	u.state.kill()
	u.announcer.stop()
	_ = u.http.Close()
	u.endOnce.Do(func() { close(u.ended) })
}

// Ended is closed when the upstream has crashed or was closed.
func (u *Upstream) Ended() <-chan struct{} { return u.ended }

// Close ends the upstream at once.
func (u *Upstream) Close() error {
	u.Kill()
	u.announcer.wait()
	<-u.served
	return nil
}

// Control returns the handler by which a test changes the behaviour: POST
// /control with the JSON names of Behaviour as parameters, GET /granted. It
// is not reachable through URL.
func (u *Upstream) Control() http.Handler {
	r := chi.NewRouter()
	r.Post("/control", func(w http.ResponseWriter, r *http.Request) {
		b := u.Behaviour()
		err := r.ParseForm()
		if err == nil {
			err = b.apply(r.Form)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.Set(b)
		writeJSON(w, http.StatusOK, b)
	})
	r.Get("/granted", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, u.Granted())
	})
	return r
}
