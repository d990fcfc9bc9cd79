package upconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize and writeBufferSize are the sizes of a connection's buffers, in
	// bytes.
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxHead is the size limit of the head of a response, in bytes. An upstream in
	// trouble may send bytes without end.
	maxHead   = 64 << 10
	unlimited = math.MaxInt
	// maxRefused is the number of refused calls that are remembered for a connection.
	maxRefused = 64
	// userTimeout is the TCP user timeout, after which the kernel closes a connection
	// whose sent data is not acknowledged. It is short because the upstream is on the
	// same host.
	userTimeout = 500 * time.Millisecond
	// keepAliveInterval is the time without traffic after which the kernel sends a TCP
	// keep-alive probe, and the time that it waits for the response.
	keepAliveInterval = time.Second
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 400 * time.Millisecond
)

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	// input limits what br reads while it reads the head of a response.
	input *limitedInput
	br    *bufio.Reader
	bw    *bufio.Writer
	// lastUsed is the time when the last exchange ended; zero until then.
	lastUsed time.Time
	// idleTimeout is how long the connection may be idle and still be reused, as
	// announced by the upstream.
	idleTimeout time.Duration
	// unused is set until the first exchange has ended and the connection was returned
	// to the pool.
	unused bool
	// refused holds the ids of the calls that were refused on this connection. The upstream
	// may send a refusal once more, which proves nothing of a call that is sent later.
	refused map[string]bool
	// generation is the pool's generation at the time when the connection was opened.
	generation uint64
}

func newConn(c net.Conn, generation uint64) *conn {
	input := &limitedInput{Reader: c, left: unlimited}
	return &conn{
		Conn: c, input: input, br: bufio.NewReaderSize(input, readBufferSize), bw: bufio.NewWriterSize(c, writeBufferSize),
		unused: true, generation: generation,
	}
}

// recordRefusal notes that a call was refused on this connection. It returns false when the
// connection must not be used again, since too many were.
func (c *conn) recordRefusal(id string) bool {
	if c.refused == nil {
		c.refused = make(map[string]bool)
	}
	c.refused[id] = true
	return len(c.refused) < maxRefused
}

// readHead reads the head of a response, which may have maxHead bytes.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.input.left = maxHead
	defer func() { c.input.left = unlimited }()
	response, err := http.ReadResponse(c.br, request)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return response, nil
}

// errHeadTooLarge reports a response whose head has more than maxHead bytes.
var errHeadTooLarge = fmt.Errorf("head of the answer exceeds %d bytes", maxHead)

// limitedInput fails a read after a number of bytes.
type limitedInput struct {
	io.Reader
	left int
}

// Read implements io.Reader.
func (l *limitedInput) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// hasNoInput reports whether nothing has arrived on an idle connection. Input on it
// is either the end of the connection or data that belongs to no request; in both
// cases it can't be reused. The check peeks at the socket without blocking.
func (c *conn) hasNoInput() bool {
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
	noInput := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noInput
}

// setUserTimeout sets the TCP user timeout of a new socket. It is the dialer's Control
// function.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err = errors.Join(err, optErr); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
