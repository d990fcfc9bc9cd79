package peers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/ring"
)

const (
	// pendingQueueSize is the number of control frames that can be queued while a dial
	// is in progress.
	pendingQueueSize = 32
	// maxConns is the largest number of connections kept to one peer.
	maxConns = 4
	// minBackoff and maxBackoff are the limits of the delay after a failed dial.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// minRedialInterval is the shortest time between two immediate redials after a lost
	// connection.
	minRedialInterval = time.Second
	// maxDoublings is the largest number of times that the delay is doubled.
	maxDoublings = 10
)

// errBackoff reports a peer whose last dial failed and whose delay before the next has
// not passed.
var errBackoff = errors.New("waiting before the next dial: the last one failed")

// reachability is the reported state of a peer.
type reachability uint8

const (
	reachUnknown reachability = iota
	reachUp
	reachDown
)

// peer holds the connections to one host. At most one of them is current and used for
// new calls and messages; the others are closed when they become idle.
type peer struct {
	q    *Quic
	host ident.Host

	mu      sync.Mutex
	addr    string
	current *conn
	conns   []*conn
	dial    *dial
	// failures counts consecutive failed dials of failedAddr; the next dial may start at
	// retryAt.
	failures   int
	failedAddr string
	retryAt    time.Duration
	// lastRedial is when a lost connection was last redialed without delay.
	lastRedial time.Duration
	// ownSocket is set after a connection has failed. A device on the path may have
	// dropped its state for the shared socket, so later dials open a new socket.
	ownSocket bool
	pending   *ring.Ring[frame]
	reach     reachability
	lastUsed  time.Duration
}

// dial is a connection attempt, shared by all calls that wait for it.
type dial struct {
	addr string
	done chan struct{}
	err  error
}

func newPeer(q *Quic, host ident.Host) *peer {
	return &peer{q: q, host: host, pending: ring.NewDropping[frame](pendingQueueSize), lastUsed: q.now()}
}

// send queues a control frame on the current connection. If there is none, it keeps the
// frame pending and starts a dial.
func (p *peer) send(addr string, f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = p.q.now()
	p.addr = addr
	if c := p.usable(addr); c != nil {
		c.lastUsed.Store(int64(p.lastUsed))
		c.enqueue(f)
		return
	}
	p.pending.Put(f)
	p.startDial(addr, false)
}

// connect returns the current connection, or waits for the dial of a new one.
func (p *peer) connect(ctx context.Context, addr string) (*conn, error) {
	for {
		p.mu.Lock()
		p.lastUsed = p.q.now()
		p.addr = addr
		c := p.usable(addr)
		var d *dial
		if c == nil || c.suspect.Load() {
			// A call sent on a silent connection could not be proved not to have run; a
			// call that waits for a new connection can.
			c, d = nil, p.startDial(addr, false)
		}
		p.mu.Unlock()
		if c != nil {
			return c, nil
		}
		if d == nil {
			return nil, errBackoff
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-d.done:
		}
		if d.err != nil && d.addr == addr {
			return nil, d.err
		}
	}
}

// usable returns the current connection if it is alive and, where this side dialed it,
// leads to the given address; otherwise nil.
func (p *peer) usable(addr string) *conn {
	c := p.current
	if c == nil || !c.alive() || (c.dialed && addr != "" && c.addr != addr) {
		return nil
	}
	return c
}

// startDial returns the dial in progress or starts one. It returns nil when no address
// is given, and during the delay after a failed dial unless the dial replaces a
// connection.
func (p *peer) startDial(addr string, replacement bool) *dial {
	if p.dial != nil {
		return p.dial
	}
	if addr == "" || (!replacement && addr == p.failedAddr && p.q.now() < p.retryAt) {
		return nil
	}
	d := &dial{addr: addr, done: make(chan struct{})}
	p.ownSocket = p.ownSocket || replacement
	ownSocket := p.ownSocket
	if !p.q.spawn(func() {
		c, err := p.q.openConn(p.host, addr, ownSocket)
		p.dialDone(d, c, err)
	}) {
		return nil
	}
	p.dial = d
	return d
}

// dialDone applies the result of a dial and wakes those who wait for it.
func (p *peer) dialDone(d *dial, c *conn, err error) {
	if err == nil {
		p.addConn(c)
	}
	p.mu.Lock()
	p.dial = nil
	d.err = err
	if err != nil {
		p.backOff(d.addr)
		if p.newestAlive() == nil {
			p.setReach(reachDown)
		}
	}
	p.mu.Unlock()
	close(d.done)
	if err != nil {
		p.q.metrics.failed.Inc(1)
		p.q.log.V(1).Info("dial failed", "host", p.host, "err", err)
	}
}

// backOff counts a failed dial of the address and sets when the next dial may start.
func (p *peer) backOff(addr string) {
	if p.failedAddr != addr {
		p.failedAddr, p.failures = addr, 0
	}
	p.retryAt = p.q.now() + min(maxBackoff, minBackoff<<min(p.failures, maxDoublings))
	p.failures++
	p.ownSocket = true
}

// addConn adds a new connection, makes it current unless keepCurrent objects, and starts
// its goroutines. It sends the pending frames and closes the oldest spare connection
// beyond maxConns.
func (p *peer) addConn(c *conn) {
	p.mu.Lock()
	p.conns = append(p.conns, c)
	if !p.keepCurrent(c) {
		p.current = c
	}
	p.failures, p.retryAt = 0, 0
	p.setReach(reachUp)
	for {
		f, ok := p.pending.TryGet()
		if !ok {
			break
		}
		p.current.enqueue(f)
	}
	var excess *conn
	if len(p.conns) > maxConns {
		excess = p.oldestSpare()
	}
	p.mu.Unlock()
	if excess != nil {
		excess.close(codeSurplus, "too many connections")
	}
	c.start(func() { p.connClosed(c) })
}

// setReach sets the reachability of the peer and queues a report if it has changed.
func (p *peer) setReach(r reachability) {
	if p.reach != r {
		p.reach = r
		p.q.stateChanges.Put(stateChange{host: p.host, up: r == reachUp})
	}
}

// keepCurrent reports whether the current connection stays current although c is newer.
// When both sides dial at once, both keep the connection dialed by the host whose name
// sorts first.
func (p *peer) keepCurrent(c *conn) bool {
	cur := p.current
	if cur == nil || !cur.alive() || cur.instance != c.instance || cur.dialed == c.dialed {
		return false
	}
	if c.since-cur.since > p.q.opts.dialTimeout || cur.suspect.Load() {
		return false
	}
	return cur.dialed == (p.q.opts.self().Host < p.host)
}

// oldestSpare returns the oldest connection that is not current, or nil.
func (p *peer) oldestSpare() *conn {
	for _, c := range p.conns {
		if c != p.current {
			return c
		}
	}
	return nil
}

// newestAlive returns the newest connection that is alive, or nil.
func (p *peer) newestAlive() *conn {
	for i := len(p.conns) - 1; i >= 0; i-- {
		if p.conns[i].alive() {
			return p.conns[i]
		}
	}
	return nil
}

// connClosed removes a closed connection. If it was the last one and was not closed as
// idle, a new one is dialed immediately; the peer is marked down if that dial fails or
// is not allowed.
func (p *peer) connClosed(c *conn) {
	c.closing.Store(true)
	cause := context.Cause(c.qc.Context())
	p.q.log.V(1).Info("connection closed", "host", p.host, "cause", cause)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.q.addClosedTraffic(c)
	p.conns = slices.DeleteFunc(p.conns, func(other *conn) bool { return other == c })
	if p.current == c {
		p.current = p.newestAlive()
	}
	p.requeue(c)
	code, addr := closeCode(cause), c.addr
	if !c.dialed {
		addr = p.addr
	}
	if p.current != nil || code == codeIdle {
		return
	}
	// The peer has announced that it closes, or a newer dial has failed already.
	failed := p.failures > 0 && p.failedAddr == addr
	if code == codeClosed || code == codeProtocol || failed || !p.redial(addr) {
		p.backOff(addr)
		p.setReach(reachDown)
	}
}

// redial dials immediately to replace a lost connection. It returns false when the last
// such redial is less than minRedialInterval ago, so that a peer whose connections don't
// last is not dialed in a loop.
func (p *peer) redial(addr string) bool {
	now := p.q.now()
	if p.lastRedial != 0 && now-p.lastRedial < minRedialInterval {
		return false
	}
	p.lastRedial = now
	return p.startDial(addr, true) != nil
}

// requeue moves the unsent messages of a closed connection to the current one, or keeps
// them pending.
func (p *peer) requeue(c *conn) {
	for {
		f, ok := c.outQueue.TryGet()
		if !ok {
			return
		}
		switch {
		case f.kind != frameMessage:
		case p.current != nil:
			p.current.enqueue(f)
		default:
			p.pending.Put(f)
		}
	}
}

// snapshot returns the connections, and whether the peer is unused and can be forgotten.
func (p *peer) snapshot(now time.Duration) (conns []*conn, unused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused = len(p.conns) == 0 && p.dial == nil && now-p.lastUsed > p.q.opts.idleTimeout
	return append(conns, p.conns...), unused
}

// dialReplacement starts a dial to replace c, which is suspect.
func (p *peer) dialReplacement(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := c.addr
	if !c.dialed {
		addr = p.addr
	}
	p.startDial(addr, true)
}

// hasNewer reports whether a connection newer than c is alive.
func (p *peer) hasNewer(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.newestAlive()
	return n != nil && n != c && n.since > c.since
}

// dialing reports whether a dial is in progress.
func (p *peer) dialing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dial != nil
}

func dialError(host ident.Host, err error) error {
	return fmt.Errorf("connect to %s: %w", host, err)
}
