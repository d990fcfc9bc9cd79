package upconn

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer and writeBuffer are the buffers of a connection, in bytes.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// unacked is how long sent bytes may stay unacknowledged: the upstream is on
	// the same host.
	unacked = 500 * time.Millisecond
	// probeTime is how long a connection may be quiet before the kernel probes it,
	// and how long it waits for the answer.
	probeTime = time.Second
	// dialTime bounds the opening of a connection.
	dialTime = 400 * time.Millisecond
)

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// used is when the last exchange ended.
	used time.Time
	// keep is how long the upstream keeps the connection without a request.
	keep time.Duration
	// fresh is set until the first exchange has ended.
	fresh bool
	// generation is that of the pool when the connection was opened.
	generation uint64
}

func newConn(c net.Conn, generation uint64) *conn {
	return &conn{
		Conn: c, br: bufio.NewReaderSize(c, readBuffer), bw: bufio.NewWriterSize(c, writeBuffer),
		fresh: true, generation: generation,
	}
}

// isQuiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) isQuiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// limitUnacked makes the kernel give a connection up whose bytes are not
// acknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
	if err = errors.Join(err, failure); err != nil {
		return fmt.Errorf("limit unacknowledged bytes: %w", err)
	}
	return nil
}
