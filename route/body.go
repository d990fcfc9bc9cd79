package route

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// streamedBody is a request body that is not buffered. It records whether any
// read was started: an unread body can still be sent by another attempt.
type streamedBody struct {
	io.Reader
	started atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	return b.Reader.Read(p)
}

// prepareBody buffers a body of at most calls.MaxBuffered bytes, so that it can
// be sent again, while the memory limit for buffered bodies allows it. Any
// other body is streamed. It fails only when reading the body fails.
func (r *Router) prepareBody(s *retryState) *calls.Error {
	call := s.call
	if call.Length >= 0 && call.Length <= calls.MaxBuffered && r.waitLimiter.reserveBytes(call.Length) {
		s.buffered = call.Length
		if _, err := calls.Buffer(call, calls.MaxBuffered); err != nil {
			r.waitLimiter.release(s)
			return calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(err))
		}
		return nil
	}
	s.streamed = &streamedBody{Reader: call.Body}
	call.Body = s.streamed
	return nil
}

// replayable reports whether the body can be sent again: it is buffered, or
// streamed and still unread.
func (s *retryState) replayable() bool {
	return s.streamed == nil || !s.streamed.started.Load()
}

// rewind resets the call's body for the next attempt.
func (s *retryState) rewind() {
	if s.streamed != nil {
		s.call.Body = s.streamed
		return
	}
	if body, ok := s.call.Body.(*calls.Buffered); ok {
		body.Rewind()
	}
}

// waitLimiter limits the number of calls that wait for an owner and the total
// size of buffered bodies.
type waitLimiter struct {
	maxCalls int
	maxBytes int64

	mu       sync.Mutex
	waiting  int
	buffered atomic.Int64
}

// reserveBytes reserves memory for a body of n bytes. Returns false when the
// limit would be exceeded.
func (l *waitLimiter) reserveBytes(n int64) bool {
	if n == 0 {
		return true
	}
	if l.buffered.Add(n) > l.maxBytes {
		l.buffered.Add(-n)
		return false
	}
	return true
}

// addWaiting registers a waiting call. Returns false when the maximum number of
// calls already waits.
func (l *waitLimiter) addWaiting(s *retryState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting >= l.maxCalls {
		return false
	}
	l.waiting++
	s.counted = true
	return true
}

// release frees the memory reserved for the body and removes the call from the
// waiting calls.
func (l *waitLimiter) release(s *retryState) {
	if s.buffered > 0 {
		l.buffered.Add(-s.buffered)
		s.buffered = 0
	}
	if !s.counted {
		return
	}
	s.counted = false
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
}
