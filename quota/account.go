package quota

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

const (
	// segmentBytes is the size of the steps in which a long body is read.
	segmentBytes = 64 << 10
	// firstBytes is the size of the first step for a body of unknown length.
	firstBytes = 4 << 10
	// rateWindow is the least time over which the rate of a reader is judged.
	rateWindow = time.Second
	// minRate is the rate, in bytes per second, below which a reader may be ended when
	// there is no room. Clients on the slowest links send several times as fast.
	minRate = 8 << 10
	// roomWait is how long a reader waits for room.
	roomWait = 300 * time.Millisecond
)

// Errors of Read.
var (
	// ErrFull means that there is no room for the body.
	ErrFull = errors.New("no room for the body")
	// ErrSlow means that the body was ended, since others needed its room and it arrived
	// too slowly.
	ErrSlow = errors.New("body arrives too slowly")
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("body exceeds the size limit")
)

// Account bounds the memory of bodies. It is safe for concurrent use.
type Account struct {
	clock clockwork.Clock

	mu       sync.Mutex
	capacity int64
	used     int64
	// readers are the bodies that are being read.
	readers map[*Share]bool
	// changed is closed when room is released.
	changed chan struct{}
	// ended and refused count the readers that were ended and refused.
	ended, refused int64
}

// Option configures an Account.
type Option func(*Account)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option { return func(a *Account) { a.clock = clock } }

// New returns an account with a capacity in bytes; 0 stands for no bound.
func New(capacity int64, opts ...Option) *Account {
	a := &Account{
		clock: clockwork.NewRealClock(), capacity: capacity, readers: make(map[*Share]bool), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Share is the room of one body.
type Share struct {
	account *Account
	abort   func()
	size    int64
	// received is the number of bytes that have arrived. markAt and mark are a time and
	// that number then, from which the present rate is reckoned.
	received, mark int64
	markAt         time.Time
	// receivedAt is when bytes arrived last.
	receivedAt time.Time
	// lastRate is the rate in the last whole window, in bytes per second; a body counts
	// as fast until then.
	lastRate float64
	// waiting is set while the reader waits for room: it is not slow by its own fault.
	waiting bool
	// slow is set when the reader was ended.
	slow bool
}

// SetCapacity changes the capacity. Bodies that are there already keep their room.
func (a *Account) SetCapacity(capacity int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.capacity = capacity
}

// Stats returns the room in use, in bytes, and the numbers of bodies that were ended for
// being slow and refused for lack of room.
func (a *Account) Stats() (used, ended, refused int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used, a.ended, a.refused
}

// Read reads a body of the given length, or of unknown length if that is negative, which may
// have at most limit bytes. It calls abort, which must make the reader fail, if the body
// is ended. The share must be released once the body is not used any more; it is nil if there
// is an error. Other errors are those of the reader.
func (a *Account) Read(
	ctx context.Context, body io.Reader, length, limit int64, abort func()) (*calls.Buffered, *Share, error) {

	if length > limit {
		return nil, nil, ErrTooLarge
	}
	s := a.open(abort)
	data, err := s.read(ctx, body, length, limit)
	a.mu.Lock()
	delete(a.readers, s)
	if s.slow {
		// The reader is being aborted, also if its body is complete by now.
		err = ErrSlow
	}
	a.mu.Unlock()
	if err != nil {
		s.Release()
		return nil, nil, err
	}
	return data, s, nil
}

func (a *Account) open(abort func()) *Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	s := &Share{account: a, abort: abort, markAt: now, receivedAt: now, lastRate: minRate}
	a.readers[s] = true
	return s
}

// read reads the body in segments, each of which takes its room first.
func (s *Share) read(ctx context.Context, body io.Reader, length, limit int64) (*calls.Buffered, error) {
	var segments [][]byte
	for total := int64(0); ; {
		size := int64(segmentBytes)
		if length >= 0 {
			size = min(size, length-total)
		} else if total == 0 {
			size = firstBytes
		}
		if size <= 0 {
			return calls.NewSegments(segments), nil
		}
		if err := s.grow(ctx, size); err != nil {
			return nil, err
		}
		segment := make([]byte, size)
		n, err := io.ReadFull(&progressReader{reader: body, share: s}, segment)
		total += int64(n)
		if n > 0 {
			segments = append(segments, segment[:n])
		}
		if total > limit {
			return nil, ErrTooLarge
		}
		if length < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
			return calls.NewSegments(segments), nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// progressReader records the bytes that arrive.
type progressReader struct {
	reader io.Reader
	share  *Share
}

// Read implements io.Reader.
func (p *progressReader) Read(data []byte) (int, error) {
	n, err := p.reader.Read(data)
	p.share.progress(int64(n))
	return n, err
}

// progress records bytes that have arrived.
func (s *Share) progress(n int64) {
	a := s.account
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if n == 0 {
		return
	}
	s.received += n
	s.receivedAt = now
	if elapsed := now.Sub(s.markAt); elapsed >= rateWindow {
		s.lastRate = float64(s.received-s.mark) / elapsed.Seconds()
		s.markAt, s.mark = now, s.received
	}
}

// grow takes room for n more bytes. It waits for up to roomWait, and ends the slowest reader
// if that is too slow.
func (s *Share) grow(ctx context.Context, n int64) error {
	a := s.account
	timer := a.clock.NewTimer(roomWait)
	defer timer.Stop()
	for {
		a.mu.Lock()
		if s.slow {
			a.mu.Unlock()
			return ErrSlow
		}
		if a.capacity <= 0 || a.used+n <= a.capacity {
			a.used += n
			s.size += n
			s.waiting = false
			a.mu.Unlock()
			return nil
		}
		s.waiting = true
		changed := a.changed
		victim := a.slowest()
		if victim != nil {
			victim.slow = true
			a.ended++
		}
		a.mu.Unlock()
		if victim != nil {
			victim.abort()
		}
		select {
		case <-changed:
		case <-timer.Chan():
			a.mu.Lock()
			a.refused++
			a.mu.Unlock()
			return ErrFull
		case <-ctx.Done():
			return fmt.Errorf("wait for room: %w", ctx.Err())
		}
	}
}

// slowest returns the reader with the lowest rate among those that are slower than minRate
// and have room to give, or nil if there is none. It is called with mu held.
func (a *Account) slowest() *Share {
	now := a.clock.Now()
	var victim *Share
	lowest := float64(minRate)
	for s := range a.readers {
		if s.slow || s.waiting || s.size == 0 {
			continue
		}
		rate := s.rate(now)
		if rate < lowest || (rate == lowest && victim != nil && s.size > victim.size) {
			victim, lowest = s, rate
		}
	}
	return victim
}

// rate returns the present rate of a reader, in bytes per second. One that has received
// nothing for a whole window has stopped, however fast it was before. It is called with mu
// held.
func (s *Share) rate(now time.Time) float64 {
	elapsed := now.Sub(s.markAt)
	switch {
	case now.Sub(s.receivedAt) >= rateWindow:
		return 0
	case elapsed >= rateWindow:
		return float64(s.received-s.mark) / elapsed.Seconds()
	}
	return s.lastRate
}

// Release returns the room of the body.
func (s *Share) Release() {
	if s == nil {
		return
	}
	a := s.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.size == 0 {
		return
	}
	a.used -= s.size
	s.size = 0
	close(a.changed)
	a.changed = make(chan struct{})
}
