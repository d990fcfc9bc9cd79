package upsim

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes connections over the limit as soon as they are made.
type limitListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused atomic.Int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		if l.open.Add(1) <= l.limit {
			return &limitConn{Conn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

type limitConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.release()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}
