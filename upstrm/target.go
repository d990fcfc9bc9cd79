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

// errEnded reports a connection to a run of the upstream that is over.
var errEnded = errors.New("run of the upstream is over")

// target is one run of the upstream.
type target struct {
	service  ident.Service
	instance string
	scheme   string
	host     string
	prefix   string
	checks   atomic.Bool
	tripper  http.RoundTripper
	// exact reports that errors of tripper tell what was written.
	exact bool

	transport *http.Transport
	mu        sync.Mutex
	conns     map[*conn]struct{}
	// closed refuses new connections.
	closed bool

	// lost holds the fingerprints in flight when the first connection of this
	// run was lost, as long as a crash is neither proved nor ruled out.
	lost   []uint64
	lostAt time.Time
}

// Attach takes what the upstream announces. A new instance gets new
// connections and a slow start.
func (x *Executor) Attach(a grant.Announcement) error {
	before := x.target.Load()
	if x.gate != nil {
		x.gate.Announce(a.Slots, a.Cold)
	}
	if before != nil && before.instance == a.Instance && before.matches(a.URL) {
		before.checks.Store(a.ChecksTokens)
		return nil
	}
	next, err := x.newTarget(a)
	if err != nil {
		return fmt.Errorf("attach upstream %s: %w", a.Instance, err)
	}
	x.target.Store(next)
	if before != nil {
		x.confirm(before)
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

// Detach ends the use of an instance that is lost.
func (x *Executor) Detach(instance string) {
	t := x.target.Load()
	if t == nil || t.instance != instance {
		return
	}
	x.confirm(t)
	x.target.CompareAndSwap(t, nil)
	t.close()
}

// Replaced takes the proof that an instance has ended: another run of the
// upstream announces itself on the same host.
func (x *Executor) Replaced(instance string) {
	if t := x.target.Load(); t != nil && t.instance == instance {
		x.confirm(t)
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
	t.checks.Store(a.ChecksTokens)
	if t.tripper == nil {
		t.transport = t.newTransport(x, a.Conns)
		t.tripper, t.exact = t.transport, true
	}
	return t, nil
}

// newTransport returns a transport that opens at most as many connections as the
// upstream announces, where it does, and as the executor may.
func (t *target) newTransport(x *Executor, announced int) *http.Transport {
	conns := x.conns
	if announced > 0 {
		conns = min(conns, announced)
	}
	dialer := &net.Dialer{Timeout: defaultDial}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, fmt.Errorf("connect to upstream: %w", err)
			}
			return t.add(raw, x)
		},
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        defaultIdle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// matches reports whether the target was made for the base URL.
func (t *target) matches(base string) bool {
	return strings.TrimSuffix(base, "/") == t.scheme+"://"+t.host+t.prefix
}

func (t *target) add(raw net.Conn, x *Executor) (net.Conn, error) {
	c := &conn{Conn: raw, owner: t, clock: x.clock}
	c.active.Store(x.clock.Now().UnixNano())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errors.Join(errEnded, raw.Close())
	}
	t.conns[c] = struct{}{}
	return c, nil
}

// closeIdle closes the connections without a call, so that later calls use
// new ones.
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

// close ends the use of a run that is over: connections are cut, and the
// transport cannot open new ones to repeat a request on.
func (t *target) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.closeIdle()
	t.closeConns()
}

// url returns the address of a call's path at the upstream.
func (t *target) url(path string) (*url.URL, error) {
	raw, query, _ := strings.Cut(path, "?")
	u := &url.URL{Scheme: t.scheme, Host: t.host, Path: t.prefix + raw, RawQuery: query}
	if strings.Contains(raw, "%") {
		plain, err := url.PathUnescape(raw)
		if err != nil {
			return nil, fmt.Errorf("path of request: %w", err)
		}
		u.Path, u.RawPath = t.prefix+plain, t.prefix+raw
	}
	return u, nil
}
