package upstrm

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

const (
	// maxBufferedBytes is the size of the largest request or response body that
	// is buffered. Larger ones are streamed at the speed of their caller.
	maxBufferedBytes = 1 << 20
	// uncountedBytes is the size up to which a request or response body is
	// buffered outside the memory budget. It covers the part of a request body
	// that fingerprints need.
	uncountedBytes = poison.PrefixBytes
	// defaultMemory is the default memory budget of the executor, in bytes.
	defaultMemory = 16 << 20
)

// memoryBudget limits the bytes of large request and response bodies that are
// buffered at the same time.
type memoryBudget struct {
	limit    int64
	reserved atomic.Int64
}

// reserve adds n bytes to the reserved ones. It returns false, and reserves
// nothing, if that would exceed the limit.
func (m *memoryBudget) reserve(n int64) bool {
	if m.reserved.Add(n) > m.limit {
		m.reserved.Add(-n)
		return false
	}
	return true
}

func (m *memoryBudget) release(n int64) { m.reserved.Add(-n) }

// bufferLimit returns how many bytes of the call's body are read before the call
// is admitted, so that a slow caller does not occupy a slot meanwhile. It
// reserves memory for a body larger than uncountedBytes.
func (f *inflightCall) bufferLimit() int64 {
	n := f.call.Length
	if _, ok := f.call.Body.(*calls.Buffered); ok || (n >= 0 && n <= uncountedBytes) {
		return uncountedBytes
	}
	if n < 0 {
		n = calls.MaxBuffered
	}
	if n > maxBufferedBytes || !f.executor.memory.reserve(n) {
		return uncountedBytes
	}
	f.reservedBody = n
	return n
}

// releaseBody releases the memory that bufferLimit reserved.
func (f *inflightCall) releaseBody() {
	if f.reservedBody > 0 {
		f.executor.memory.release(f.reservedBody)
	}
}

// bufferedAnswer is a buffered response body. Its first Close releases its
// memory.
type bufferedAnswer struct {
	io.ReadCloser
	memory *memoryBudget
	size   int64
	once   sync.Once
}

// Close implements io.Closer.
func (h *bufferedAnswer) Close() error {
	h.once.Do(func() { h.memory.release(h.size) })
	return h.ReadCloser.Close()
}
