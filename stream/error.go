package stream

import (
	"errors"
	"fmt"
	"time"
)

// Errors of an append that callers tell apart.
var (
	// ErrUnknown means that the record may have been appended.
	ErrUnknown = errors.New("append may have taken effect")
	// ErrRefused means that the log refused the record; see RefusedError.
	ErrRefused = errors.New("append refused")
	// ErrOutage means that the log is down and the record was not appended.
	ErrOutage = errors.New("log is down")
	// ErrTooLarge means that the record can never be appended.
	ErrTooLarge = errors.New("record too large")
	// ErrFull means that the writer's ring has no room.
	ErrFull = errors.New("writer is full")
	// ErrClosed means that the client or writer has been closed.
	ErrClosed = errors.New("closed")
)

// RefusedError reports that the log refused a record for now. It matches
// ErrRefused.
type RefusedError struct {
	after time.Duration
}

// After returns when a repetition may succeed; zero when it is not known.
func (e *RefusedError) After() time.Duration { return e.after }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrRefused, e.after)
}

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// GapError reports a read below the first record that is kept.
type GapError struct {
	First uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream begins at offset %d", e.First)
}
