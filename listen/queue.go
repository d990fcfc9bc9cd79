package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// quietTime is how long no connection may arrive before the accept queue counts
// as empty.
const quietTime = 20 * time.Millisecond

// Queue is a listener whose accept queue can be emptied before it is closed:
// closing a listener resets the connections that wait to be accepted.
type Queue struct {
	net.Listener
	clock    clockwork.Clock
	accepted atomic.Uint64

	mu     sync.Mutex
	closed bool
	// late are the connections that Close found in the accept queue.
	late []net.Conn
}

// NewQueue returns a listener that takes its connections from inner.
func NewQueue(inner net.Listener, clock clockwork.Clock) *Queue {
	return &Queue{Listener: inner, clock: clock}
}

// Accept implements net.Listener. After Close it returns the connections that
// waited to be accepted, then net.ErrClosed.
func (q *Queue) Accept() (net.Conn, error) {
	conn, err := q.Listener.Accept()
	if err != nil {
		if conn = q.takeLate(); conn == nil {
			return nil, err
		}
	}
	q.accepted.Add(1)
	return conn, nil
}

// takeLate returns one of the connections that Close found; nil when there is
// none left.
func (q *Queue) takeLate() net.Conn {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.late) == 0 {
		return nil
	}
	conn := q.late[0]
	q.late = q.late[1:]
	return conn
}

// Close implements net.Listener. It takes what waits to be accepted out of the
// accept queue first: whoever accepts may have had no processor time since.
func (q *Queue) Close() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return net.ErrClosed
	}
	q.closed = true
	late, drained := q.drain()
	err := q.Listener.Close()
	for _, fd := range late {
		conn, lost := connOf(fd)
		if lost != nil {
			drained = errors.Join(drained, lost)
			continue
		}
		q.late = append(q.late, conn)
	}
	return errors.Join(drained, err)
}

// drain takes the connections out of the accept queue without waiting, and
// returns their file descriptors.
func (q *Queue) drain() ([]int, error) {
	inner, ok := q.Listener.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("reach accept queue of %s: %w", q.Addr(), err)
	}
	var late []int
	var failed error
	err = raw.Control(func(listener uintptr) {
		for {
			fd, _, err := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == nil:
				late = append(late, fd)
			case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			case errors.Is(err, unix.EAGAIN):
				return
			default:
				failed = fmt.Errorf("drain accept queue of %s: %w", q.Addr(), err)
				return
			}
		}
	})
	return late, errors.Join(failed, err)
}

// connOf returns the connection of a file descriptor, which it takes over.
func connOf(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "accepted")
	conn, err := net.FileConn(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return nil, fmt.Errorf("take accepted connection: %w", err)
	}
	return conn, nil
}

// Empty waits until no connection has been accepted for a moment, while the
// server goes on accepting. It returns an error when ctx ends first.
func (q *Queue) Empty(ctx context.Context) error {
	for {
		before := q.accepted.Load()
		timer := q.clock.NewTimer(quietTime)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("empty accept queue of %s: %w", q.Addr(), ctx.Err())
		case <-timer.Chan():
		}
		if q.accepted.Load() == before {
			return nil
		}
	}
}
