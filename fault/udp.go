package fault

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxDatagram is the largest datagram in bytes.
const maxDatagram = 64 << 10

// udpLink forwards datagrams. Each source has a flow with a socket of its own
// towards the target.
type udpLink struct {
	clock  clockwork.Clock
	rules  *rules
	conn   *net.UDPConn
	target *net.UDPAddr
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	flows map[netip.AddrPort]*udpFlow
}

// udpFlow is the traffic of one source.
type udpFlow struct {
	source *net.UDPAddr
	conn   *net.UDPConn
	forth  *lane
	back   *lane
	cancel context.CancelFunc
	// The link's lock guards these.
	silent bool
	used   time.Time
}

func listenUDP(l Link, clock clockwork.Clock) (*udpLink, error) {
	listen, err := net.ResolveUDPAddr("udp", l.Listen)
	if err != nil {
		return nil, fmt.Errorf("resolve listen address of link %s: %w", l.Name, err)
	}
	target, err := net.ResolveUDPAddr("udp", l.Target)
	if err != nil {
		return nil, fmt.Errorf("resolve target of link %s: %w", l.Name, err)
	}
	conn, err := net.ListenUDP("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen for link %s: %w", l.Name, err)
	}
	u := &udpLink{
		clock:  clock,
		rules:  newRules(),
		conn:   conn,
		target: target,
		flows:  make(map[netip.AddrPort]*udpFlow),
	}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	u.wg.Go(u.receive)
	return u, nil
}

func (u *udpLink) addr() net.Addr { return u.conn.LocalAddr() }

// receive takes datagrams of all sources.
func (u *udpLink) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, source, err := u.conn.ReadFromUDPAddrPort(buf)
		if u.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		f := u.flow(source)
		if f == nil || u.isSilent(f) {
			continue
		}
		rule, _ := u.rules.of(f.source)
		if !rule.loses(Forth) {
			f.forth.offer(u.piece(rule, buf[:n]))
		}
	}
}

func (u *udpLink) piece(rule Rule, data []byte) piece {
	return piece{data: append([]byte(nil), data...), due: u.clock.Now().Add(rule.Delay)}
}

// flow returns the flow of a source, a new one if need be.
func (u *udpLink) flow(source netip.AddrPort) *udpFlow {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[source]
	if f == nil {
		if f = u.open(source); f == nil {
			return nil
		}
		u.flows[source] = f
	}
	f.used = u.clock.Now()
	return f
}

// open starts a flow. It makes room by ending the one that was used least
// recently.
func (u *udpLink) open(source netip.AddrPort) *udpFlow {
	if len(u.flows) >= maxFlows {
		u.evict()
	}
	conn, err := net.DialUDP("udp", nil, u.target)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(u.ctx)
	f := &udpFlow{
		source: net.UDPAddrFromAddrPort(source),
		conn:   conn,
		forth:  newLane(u.clock),
		back:   newLane(u.clock),
		cancel: cancel,
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	u.wg.Go(func() { u.answers(ctx, f) })
	u.wg.Go(func() {
		f.forth.run(ctx, func(p piece) bool {
			_, _ = f.conn.Write(p.data)
			return true
		})
	})
	u.wg.Go(func() {
		f.back.run(ctx, func(p piece) bool {
			_, _ = u.conn.WriteToUDPAddrPort(p.data, source)
			return true
		})
	})
	return f
}

func (u *udpLink) evict() {
	var oldest netip.AddrPort
	for source, f := range u.flows {
		if o := u.flows[oldest]; o == nil || f.used.Before(o.used) {
			oldest = source
		}
	}
	u.flows[oldest].cancel()
	delete(u.flows, oldest)
}

// answers takes the target's datagrams of one flow.
func (u *udpLink) answers(ctx context.Context, f *udpFlow) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := f.conn.Read(buf)
		if ctx.Err() != nil {
			return
		}
		// A refused datagram shows as an error here; the flow goes on.
		if err != nil || u.isSilent(f) {
			continue
		}
		rule, _ := u.rules.of(f.source)
		if !rule.loses(Back) {
			f.back.offer(u.piece(rule, buf[:n]))
		}
	}
}

func (u *udpLink) isSilent(f *udpFlow) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return f.silent
}

func (u *udpLink) apply() {}

// cut ends the present flows: their sources get new sockets to the target.
func (u *udpLink) cut() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for source, f := range u.flows {
		f.cancel()
		delete(u.flows, source)
	}
}

func (u *udpLink) forget() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		f.silent = true
	}
}

func (u *udpLink) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.flows)
}

func (u *udpLink) close() {
	u.cancel()
	_ = u.conn.Close()
	u.wg.Wait()
}
