package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// tcpFlow is one forwarded connection.
type tcpFlow struct {
	link   *tcpLink
	client *net.TCPConn
	ctx    context.Context
	cancel context.CancelFunc
	// silent is set when the link has lost track of the flow.
	silent atomic.Bool
}

func newTCPFlow(link *tcpLink, client *net.TCPConn) *tcpFlow {
	f := &tcpFlow{link: link, client: client}
	f.ctx, f.cancel = context.WithCancel(link.ctx)
	return f
}

func (f *tcpFlow) source() net.Addr { return f.client.RemoteAddr() }

// run connects to the target and carries both directions until both have
// ended or the flow is cut.
func (f *tcpFlow) run() {
	defer f.cancel()
	defer reset(f.client)
	rule, _ := f.link.rules.of(f.source())
	if rule.Cut || !f.pass(Both) {
		return
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(f.ctx, "tcp", f.link.target)
	if err != nil {
		return
	}
	target, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	defer reset(target)
	// A cut ends blocked reads and writes, too.
	stop := context.AfterFunc(f.ctx, func() {
		reset(f.client)
		reset(target)
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { f.carry(Forth, f.client, target) })
	both.Go(func() { f.carry(Back, target, f.client) })
	both.Wait()
}

// carry moves one direction of the stream.
func (f *tcpFlow) carry(way Way, from, to *net.TCPConn) {
	l := newLane(f.link.clock)
	var reader sync.WaitGroup
	reader.Go(func() { f.read(l, from) })
	l.run(f.ctx, func(p piece) bool { return f.deliver(way, p, to) })
	reader.Wait()
}

func (f *tcpFlow) read(l *lane, from *net.TCPConn) {
	for {
		buf := make([]byte, pieceSize)
		n, err := from.Read(buf)
		rule, _ := f.link.rules.of(f.source())
		due := f.link.clock.Now().Add(rule.Delay)
		if n > 0 && !l.put(f.ctx, piece{data: buf[:n], due: due}) {
			return
		}
		if err != nil {
			l.put(f.ctx, piece{end: err, due: due})
			return
		}
	}
}

// deliver writes a piece once traffic may pass. It reports false at the end
// of the stream.
func (f *tcpFlow) deliver(way Way, p piece, to *net.TCPConn) bool {
	if !f.pass(way) {
		return false
	}
	if p.end != nil {
		if !isEnd(p.end) {
			f.cancel()
		}
		_ = to.CloseWrite()
		return false
	}
	if _, err := to.Write(p.data); err != nil {
		f.cancel()
		return false
	}
	return true
}

// pass waits until traffic may pass in a direction; Both waits for both. It
// reports false when the flow has ended. A silent flow waits for good.
func (f *tcpFlow) pass(way Way) bool {
	for {
		rule, changed := f.link.rules.of(f.source())
		blocked := rule.Drop.covers(way) || way == Both && rule.Drop != None
		if !blocked && !f.silent.Load() {
			return f.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-f.ctx.Done():
			return false
		}
	}
}
