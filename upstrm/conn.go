package upstrm

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
)

// conn is a connection to the upstream that counts the bytes written to it and
// records when it last transferred data.
type conn struct {
	net.Conn
	run      *target
	clock    clockwork.Clock
	sealed   atomic.Bool
	activeAt atomic.Int64
	// turn holds a value while a call has the connection and has not decided whether
	// later calls may use it. The transport returns a connection to its pool before.
	turn chan struct{}

	mu      sync.Mutex
	written int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.activeAt.Store(c.clock.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if n > 0 {
		c.activeAt.Store(c.clock.Now().UnixNano())
	}
	return n, err
}

// acquire waits until the previous call on the connection has called release.
func (c *conn) acquire() { c.turn <- struct{}{} }

// release lets the next call on the connection proceed.
func (c *conn) release() { <-c.turn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.run.mu.Lock()
	delete(c.run.conns, c)
	c.run.mu.Unlock()
	return c.Conn.Close()
}

// bytesWritten returns the number of bytes written so far.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection and reports whether any byte was written since
// bytesWritten returned mark. Later writes fail with net.ErrClosed.
func (c *conn) seal(mark int64) bool {
	c.sealed.Store(true)
	_ = c.Close()
	return c.bytesWritten() != mark
}
