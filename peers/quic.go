package peers

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"

	"github.com/monsoonmoor/monsoonmoor/certs"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// QUIC settings: times and the sizes of stream receive windows in bytes.
const (
	keepAlive       = 10 * time.Second
	idleTimeout     = 30 * time.Second
	streamWindow    = 64 << 10
	maxStreamWindow = 128 << 10
)

// Quic is the Transport over QUIC. It probes a connection on which a call or a reply is
// outstanding. A connection that leaves a probe unanswered is replaced, and its peer is
// reported down only when the new connection fails too.
type Quic struct {
	opts     options
	handler  Handler
	tls      *tls.Config
	log      logr.Logger
	metrics  *metrics
	instance uint64
	start    time.Time

	udp      *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	serving  atomic.Int64
	// closedOut and closedIn hold the packets and bytes of connections that have been
	// closed.
	closedOut, closedIn [2]atomic.Uint64

	// stateChanges is the queue between the connections and the PeerStateFunc callback.
	stateChanges *ring.Ring[stateChange]

	mu     sync.Mutex
	peers  map[ident.Host]*peer
	closed bool

	// spawnMu keeps spawn from starting a goroutine while Close waits for the others.
	spawnMu    sync.RWMutex
	stopped    bool
	goroutines sync.WaitGroup
}

// stateQueueSize is the number of state changes that can be queued for the PeerStateFunc
// callback.
const stateQueueSize = 1024

// stateChange is a change in the reachability of a peer.
type stateChange struct {
	host ident.Host
	up   bool
}

var _ Transport = (*Quic)(nil)

// Listen opens a transport on a UDP address. Config must authenticate both ends, as
// certs.ServerClientConfig does. It returns an error when the address can't be used.
func Listen(addr string, config *tls.Config, handler Handler, opts ...Option) (*Quic, error) {
	resetKey, err := newResetKey(config)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address %s: %w", addr, err)
	}
	udp, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	q := &Quic{
		opts:         newOptions(opts),
		handler:      handler,
		tls:          config,
		udp:          udp,
		quic:         &quic.Transport{Conn: udp, StatelessResetKey: resetKey},
		stateChanges: ring.NewDropping[stateChange](stateQueueSize),
		peers:        map[ident.Host]*peer{},
	}
	q.log = q.opts.log
	q.metrics = newMetrics(q.opts.scope.SubScope("peers"))
	q.start = q.opts.clock.Now()
	q.ctx, q.cancel = context.WithCancel(context.Background())
	if q.instance, err = newInstance(); err == nil {
		q.listener, err = q.quic.Listen(config, q.config())
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for peers on %s: %w", addr, err), udp.Close())
	}
	q.spawn(q.accept)
	q.spawn(q.probeLoop)
	q.spawn(q.reportStates)
	return q, nil
}

func newInstance() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("generate instance number: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

// config returns the settings of a connection. The connection's receive window holds
// the windows of all its streams together, so that bodies that nobody reads never block
// the control stream.
func (q *Quic) config() *quic.Config {
	window := uint64(2*q.opts.maxStreams+1) * maxStreamWindow
	return &quic.Config{
		HandshakeIdleTimeout:           q.opts.dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: window,
		MaxConnectionReceiveWindow:     window,
		MaxIncomingStreams:             int64(q.opts.maxStreams),
		MaxIncomingUniStreams:          1,
		// Path MTU discovery sends large packets on every new connection, and most
		// connections carry only small messages.
		DisablePathMTUDiscovery: true,
	}
}

// Addr returns the UDP address that the transport listens on.
func (q *Quic) Addr() string { return q.udp.LocalAddr().String() }

// Send implements Transport.
func (q *Quic) Send(to table.Member, message wire.Message) {
	payload, err := wire.Encode(message)
	if err != nil {
		q.metrics.dropped.Inc(1)
		q.log.Error(err, "control message not sent: encoding failed", "to", to.Inc)
		return
	}
	p := q.peer(to.Inc.Host)
	if p == nil {
		return
	}
	p.send(to.Peer, frame{
		kind:     frameMessage,
		payload:  payload,
		queuedAt: int64(q.now()),
		noReply:  isAnswer(&message),
	})
}

// Close implements Transport. It aborts calls in flight.
func (q *Quic) Close() error {
	q.mu.Lock()
	already := q.closed
	q.closed = true
	var conns []*conn
	for _, p := range q.peers {
		list, _ := p.snapshot(0)
		conns = append(conns, list...)
	}
	q.mu.Unlock()
	if already {
		return nil
	}
	for _, c := range conns {
		c.close(codeClosed, "closed")
	}
	q.cancel()
	q.spawnMu.Lock()
	q.stopped = true
	q.spawnMu.Unlock()
	err := errors.Join(q.listener.Close(), q.quic.Close(), q.udp.Close())
	q.goroutines.Wait()
	if err != nil {
		return fmt.Errorf("close peer transport: %w", err)
	}
	return nil
}

// Stats returns the traffic of the transport since it was opened.
func (q *Quic) Stats() Stats {
	s := Stats{
		ControlOut: q.metrics.controlOut.volume(),
		ControlIn:  q.metrics.controlIn.volume(),
		WireOut:    Traffic{Count: q.closedOut[0].Load(), Bytes: q.closedOut[1].Load()},
		WireIn:     Traffic{Count: q.closedIn[0].Load(), Bytes: q.closedIn[1].Load()},
	}
	for _, p := range q.allPeers() {
		conns, _ := p.snapshot(0)
		for _, c := range conns {
			stats := c.qc.ConnectionStats()
			s.WireOut.Count += stats.PacketsSent
			s.WireOut.Bytes += stats.BytesSent
			s.WireIn.Count += stats.PacketsReceived
			s.WireIn.Bytes += stats.BytesReceived
			s.Conns++
		}
	}
	return s
}

// addClosedTraffic adds the traffic of a closed connection to the totals.
func (q *Quic) addClosedTraffic(c *conn) {
	stats := c.qc.ConnectionStats()
	q.closedOut[0].Add(stats.PacketsSent)
	q.closedOut[1].Add(stats.BytesSent)
	q.closedIn[0].Add(stats.PacketsReceived)
	q.closedIn[1].Add(stats.BytesReceived)
}

// now returns the time since the transport was opened.
func (q *Quic) now() time.Duration { return q.opts.clock.Since(q.start) }

// spawn runs f in a goroutine that Close waits for. It returns false, without running f,
// once the transport is closed.
func (q *Quic) spawn(f func()) bool {
	q.spawnMu.RLock()
	defer q.spawnMu.RUnlock()
	if q.stopped {
		return false
	}
	q.goroutines.Go(f)
	return true
}

// peer returns the peer of a host, creating it if needed, or nil once the transport is
// closed.
func (q *Quic) peer(host ident.Host) *peer {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil
	}
	p := q.peers[host]
	if p == nil {
		p = newPeer(q, host)
		q.peers[host] = p
	}
	return p
}

func (q *Quic) allPeers() []*peer {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]*peer, 0, len(q.peers))
	for _, p := range q.peers {
		list = append(list, p)
	}
	return list
}

// openConn dials a peer and exchanges hello frames. With ownSocket the connection gets a
// new UDP socket in place of the shared one.
func (q *Quic) openConn(host ident.Host, addr string, ownSocket bool) (*conn, error) {
	q.metrics.dials.Inc(1)
	ctx, cancel := clockwork.WithTimeout(q.ctx, q.opts.clock, q.opts.dialTimeout)
	defer cancel()
	config := q.tls.Clone()
	config.ServerName = string(host)
	qc, err := q.dial(ctx, addr, config, ownSocket)
	if err != nil {
		return nil, dialError(host, err)
	}
	c, err := newConn(ctx, q, qc, host)
	if err != nil {
		return nil, dialError(host, err)
	}
	c.dialed, c.addr = true, addr
	return c, nil
}

func (q *Quic) dial(ctx context.Context, addr string, config *tls.Config, ownSocket bool) (*quic.Conn, error) {
	if ownSocket {
		return quic.DialAddr(ctx, addr, config, q.config())
	}
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", addr, err)
	}
	return q.quic.Dial(ctx, at, config, q.config())
}

// accept accepts the connections that peers dial.
func (q *Quic) accept() {
	for {
		qc, err := q.listener.Accept(q.ctx)
		if err != nil {
			return
		}
		q.spawn(func() { q.handleIncoming(qc) })
	}
}

// handleIncoming identifies a peer that has dialed by its certificate and adds the
// connection.
func (q *Quic) handleIncoming(qc *quic.Conn) {
	ctx, cancel := clockwork.WithTimeout(q.ctx, q.opts.clock, q.opts.dialTimeout)
	defer cancel()
	chain := qc.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 {
		_ = qc.CloseWithError(codeProtocol, "no certificate")
		return
	}
	host, err := certs.HostOf(chain[0])
	if err != nil {
		_ = qc.CloseWithError(codeProtocol, "certificate names no host")
		return
	}
	c, err := newConn(ctx, q, qc, host)
	if err != nil {
		q.log.V(1).Info("incoming connection closed: hello failed", "host", host, "err", err)
		return
	}
	p := q.peer(host)
	if p == nil {
		c.close(codeClosed, "closed")
		return
	}
	p.addConn(c)
}

// reportStates passes changes of reachability to the PeerStateFunc callback, in order.
func (q *Quic) reportStates() {
	for {
		r, err := q.stateChanges.Get(q.ctx)
		if err != nil {
			return
		}
		q.log.Info("peer", "host", r.host, "up", r.up)
		q.opts.onPeerState(r.host, r.up)
	}
}

// closeCode returns the application error code with which either side closed a
// connection, or zero.
func closeCode(err error) quic.ApplicationErrorCode {
	var app *quic.ApplicationError
	if errors.As(err, &app) {
		return app.ErrorCode
	}
	return 0
}
