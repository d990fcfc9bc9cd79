package upstrm

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// errRunEnded is returned for a new connection to an upstream instance that was
// detached or replaced.
var errRunEnded = errors.New("upstream instance was detached or replaced")

// target is one run of the upstream process, from its announcement to its end.
type target struct {
	service      ident.Service
	instance     string
	scheme       string
	host         string
	prefix       string
	checksTokens atomic.Bool
	tripper      http.RoundTripper
	// tracksWrites is set when tripper uses connections of type conn, which
	// count the bytes written. Otherwise every error of tripper gives an unknown
	// outcome.
	tracksWrites bool

	transport *http.Transport
	mu        sync.Mutex
	conns     map[*conn]struct{}
	// closed is set when new connections are refused.
	closed bool

	// suspects holds the fingerprints in flight when the first connection of
	// this run was lost, as long as a crash is neither proved nor ruled out.
	suspects []uint64
	lostAt   time.Time
}

// Attach applies an announcement of the upstream. A new instance gets new
// connections and a slow start.
func (x *Executor) Attach(a grant.Announcement) error {
	before := x.target.Load()
	if x.gate != nil {
		x.gate.Announce(a.Slots, a.Cold)
	}
	if before != nil && before.instance == a.Instance && before.matches(a.URL) {
		before.checksTokens.Store(a.ChecksTokens)
		return nil
	}
	next, err := x.newTarget(a)
	if err != nil {
		return fmt.Errorf("attach upstream %s: %w", a.Instance, err)
	}
	x.target.Store(next)
	if before != nil {
		x.reportCrash(before)
		if before.instance == a.Instance {
			before.closeIdle()
			return nil
		}
		before.close()
		if x.gate != nil {
			x.gate.ResetLimit()
		}
	}
	return nil
}

// Detach stops using an instance that is lost and closes its connections.
func (x *Executor) Detach(instance string) {
	t := x.target.Load()
	if t == nil || t.instance != instance {
		return
	}
	x.reportCrash(t)
	x.target.CompareAndSwap(t, nil)
	t.close()
}

// Replaced records that an instance has ended, which is proved by another run
// of the upstream that announces itself on the same host.
func (x *Executor) Replaced(instance string) {
	if t := x.target.Load(); t != nil && t.instance == instance {
		x.reportCrash(t)
	}
}

func (x *Executor) newTarget(a grant.Announcement) (*target, error) {
	base, err := url.Parse(a.URL)
	if err != nil {
		return nil, fmt.Errorf("parse url: %w", err)
	}
	t := &target{
		service:  a.Service,
		instance: a.Instance,
		scheme:   base.Scheme,
		host:     base.Host,
		prefix:   strings.TrimSuffix(base.Path, "/"),
		tripper:  x.tripper,
		conns:    make(map[*conn]struct{}),
	}
	t.checksTokens.Store(a.ChecksTokens)
	if t.tripper == nil {
		t.transport = t.newTransport(x, a.Conns)
		t.tripper, t.tracksWrites = t.transport, true
	}
	return t, nil
}

// newTransport returns a transport that opens at most as many connections as
// WithMaxConns allows and as the upstream announces, if it announces a limit.
func (t *target) newTransport(x *Executor, announced int) *http.Transport {
	conns := x.maxConns
	if announced > 0 {
		conns = min(conns, announced)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, fmt.Errorf("connect to upstream: %w", err)
			}
			return t.addConn(raw, x)
		},
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// matches reports whether the target has the given base URL.
func (t *target) matches(base string) bool {
	return strings.TrimSuffix(base, "/") == t.scheme+"://"+t.host+t.prefix
}

func (t *target) addConn(raw net.Conn, x *Executor) (net.Conn, error) {
	c := &conn{Conn: raw, run: t, clock: x.clock, turn: make(chan struct{}, 1)}
	c.activeAt.Store(x.clock.Now().UnixNano())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errors.Join(errRunEnded, raw.Close())
	}
	t.conns[c] = struct{}{}
	return c, nil
}

// closeIdle closes the idle connections, so that later calls use new ones.
func (t *target) closeIdle() {
	if t.transport != nil {
		t.transport.CloseIdleConnections()
	}
}

// closeConns closes all connections.
func (t *target) closeConns() {
	t.mu.Lock()
	all := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

// close closes all connections of a run that has ended and refuses new ones, so
// that the transport cannot retry a request on a new connection.
func (t *target) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.closeIdle()
	t.closeConns()
}

// url returns the upstream's URL for the path and query of a call.
func (t *target) url(path string) (*url.URL, error) {
	raw, query, _ := strings.Cut(path, "?")
	u := &url.URL{Scheme: t.scheme, Host: t.host, Path: t.prefix + raw, RawQuery: query}
	if strings.Contains(raw, "%") {
		plain, err := url.PathUnescape(raw)
		if err != nil {
			return nil, fmt.Errorf("unescape request path: %w", err)
		}
		u.Path, u.RawPath = t.prefix+plain, t.prefix+raw
	}
	return u, nil
}
