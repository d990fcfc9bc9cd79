package calls

import (
	"errors"
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Error is the outcome of a call without an answer: NotRun or Unknown, and the
// reason.
type Error struct {
	outcome    Outcome
	reason     Reason
	hint       ident.Incarnation
	retryAfter time.Duration
	cause      error
}

// ErrorOption sets a detail of an Error.
type ErrorOption func(*Error)

// WithHint sets the member that probably owns the key, so that the call can be sent
// there.
func WithHint(inc ident.Incarnation) ErrorOption {
	return func(e *Error) { e.hint = inc }
}

// WithRetryAfter sets the delay after which a retry may succeed.
func WithRetryAfter(d time.Duration) ErrorOption {
	return func(e *Error) { e.retryAfter = d }
}

// WithCause sets the underlying error, which Unwrap returns.
func WithCause(err error) ErrorOption {
	return func(e *Error) { e.cause = err }
}

// NewNotRun returns an error for a request that certainly did not run.
func NewNotRun(reason Reason, opts ...ErrorOption) *Error {
	return newError(NotRun, reason, opts)
}

// NewUnknown returns an error for a request that may have run.
func NewUnknown(reason Reason, opts ...ErrorOption) *Error {
	return newError(Unknown, reason, opts)
}

func newError(outcome Outcome, reason Reason, opts []ErrorOption) *Error {
	e := &Error{outcome: outcome, reason: reason}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Outcome returns NotRun or Unknown.
func (e *Error) Outcome() Outcome { return e.outcome }

// Reason returns the reason why the call was not answered.
func (e *Error) Reason() Reason { return e.reason }

// Hint returns the member that probably owns the key, or the zero incarnation if it
// is unknown.
func (e *Error) Hint() ident.Incarnation { return e.hint }

// RetryAfter returns the delay after which a retry may succeed, or zero if it is
// unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.outcome, e.reason, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.outcome, e.reason)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// AsError returns the *Error in err's chain. Any other error is converted to the
// outcome Unknown, since nothing proves that the request did not run.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(ReasonUpstreamLost, WithCause(err))
}
