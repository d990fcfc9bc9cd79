package listen

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// DrainingListener is a listener that drains its accept queue when it is closed. Otherwise the
// kernel would reset the connections that have not been accepted yet.
type DrainingListener struct {
	net.Listener

	mu     sync.Mutex
	closed bool
	// pending holds the connections that Close took out of the accept queue and that
	// Accept has not returned yet.
	pending []net.Conn
	// drained is closed once Accept has returned all pending connections.
	drained     chan struct{}
	drainedOnce sync.Once
}

// NewDrainingListener returns a listener that accepts connections from inner.
func NewDrainingListener(inner net.Listener) *DrainingListener {
	return &DrainingListener{Listener: inner, drained: make(chan struct{})}
}

// Accept implements net.Listener. After Close it returns the pending connections, and
// then an error that wraps net.ErrClosed.
func (q *DrainingListener) Accept() (net.Conn, error) {
	conn, err := q.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	conn, closed := q.popPending()
	if conn != nil {
		return conn, nil
	}
	if closed {
		q.drainedOnce.Do(func() { close(q.drained) })
	}
	return nil, err
}

// popPending removes and returns the first pending connection, or nil if there is
// none. It also reports whether the listener was closed.
func (q *DrainingListener) popPending() (conn net.Conn, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) > 0 {
		conn, q.pending = q.pending[0], q.pending[1:]
	}
	return conn, q.closed
}

// Close implements net.Listener. Before it closes the listener, it takes all
// connections out of the accept queue itself, since the goroutine that calls Accept
// may not have been scheduled after they arrived. A second Close does nothing.
func (q *DrainingListener) Close() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil
	}
	q.closed = true
	fds, drainErr := q.drain()
	err := q.Listener.Close()
	for _, fd := range fds {
		conn, connErr := connFromFD(fd)
		if connErr != nil {
			drainErr = errors.Join(drainErr, connErr)
			continue
		}
		q.pending = append(q.pending, conn)
	}
	return errors.Join(drainErr, err)
}

// drain accepts all connections in the accept queue without blocking and returns their
// file descriptors. It does nothing if the listener has no socket.
func (q *DrainingListener) drain() ([]int, error) {
	inner, ok := q.Listener.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access socket of listener %s: %w", q.Addr(), err)
	}
	var fds []int
	var acceptErr error
	err = raw.Control(func(listener uintptr) {
		for {
			fd, _, err := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == nil:
				fds = append(fds, fd)
			case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			case errors.Is(err, unix.EAGAIN):
				return
			default:
				acceptErr = fmt.Errorf("drain accept queue of %s: %w", q.Addr(), err)
				return
			}
		}
	})
	return fds, errors.Join(acceptErr, err)
}

// connFromFD returns a connection for the file descriptor of a socket. It takes
// ownership of the descriptor, also when it fails.
func connFromFD(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "accepted")
	conn, err := net.FileConn(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return nil, fmt.Errorf("convert accepted socket to a connection: %w", err)
	}
	return conn, nil
}
