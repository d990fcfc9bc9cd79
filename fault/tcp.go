package fault

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/jonboulle/clockwork"
)

const (
	// maxFlows bounds the flows of one link.
	maxFlows = 1024
	// pieceSize is what is read at once of a TCP stream, in bytes.
	pieceSize = 16 << 10
)

// tcpLink forwards TCP connections.
type tcpLink struct {
	clock    clockwork.Clock
	rules    *rules
	listener *net.TCPListener
	target   string
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu    sync.Mutex
	flows map[*tcpFlow]struct{}
}

func listenTCP(l Link, clock clockwork.Clock) (*tcpLink, error) {
	ln, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for link %s: %w", l.Name, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("listen for link %s: not TCP", l.Name), ln.Close())
	}
	t := &tcpLink{
		clock:    clock,
		rules:    newRules(),
		listener: tcp,
		target:   l.Target,
		flows:    make(map[*tcpFlow]struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(t.accept)
	return t, nil
}

func (t *tcpLink) addr() net.Addr { return t.listener.Addr() }

func (t *tcpLink) accept() {
	for {
		conn, err := t.listener.AcceptTCP()
		if err != nil {
			return
		}
		f := newTCPFlow(t, conn)
		if !t.add(f) {
			reset(conn)
			continue
		}
		t.wg.Go(func() {
			defer t.remove(f)
			f.run()
		})
	}
}

func (t *tcpLink) add(f *tcpFlow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.flows) >= maxFlows || t.ctx.Err() != nil {
		return false
	}
	t.flows[f] = struct{}{}
	return true
}

func (t *tcpLink) remove(f *tcpFlow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.flows, f)
}

// each calls do for each present flow.
func (t *tcpLink) each(do func(*tcpFlow)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.flows {
		do(f)
	}
}

func (t *tcpLink) apply() {
	t.each(func(f *tcpFlow) {
		if rule, _ := t.rules.of(f.source()); rule.Cut {
			f.cancel()
		}
	})
}

func (t *tcpLink) cut() { t.each(func(f *tcpFlow) { f.cancel() }) }

func (t *tcpLink) forget() { t.each(func(f *tcpFlow) { f.silent.Store(true) }) }

func (t *tcpLink) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.flows)
}

func (t *tcpLink) close() {
	t.cancel()
	_ = t.listener.Close()
	t.wg.Wait()
}

// reset closes a connection so that its peer sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// isEnd reports whether a stream ended in order.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF)
}
