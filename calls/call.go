// Package calls defines a caller's request and its answer as they pass from the
// caller listener through the router to the upstream, and the three outcomes that
// are reported to callers: answered, not run and unknown.
//
// # Usage
//
//	reply, err := executor.Run(ctx, call)
//	if err != nil {
//		// err is a *calls.Error: it carries the outcome and the reason.
//	}
package calls

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Call is one request from a caller.
type Call struct {
	// ID identifies the request in logs and at the upstream.
	ID      string
	Service ident.Service
	// Key is the routing key; empty for a service that is not divided by key.
	Key string
	// Hash is ident.HashKey of Key.
	Hash   uint64
	Method string
	// Path is the path, with the query, that is sent to the upstream.
	Path   string
	Header http.Header
	// Body is never nil. It can be read once.
	Body io.Reader
	// Length is the body's length in bytes, or -1 when it is unknown.
	Length int64
	// Deadline is the time by which the caller expects the answer.
	Deadline time.Time
	// Idempotency is the value of the caller's Idempotency-Key header; empty when
	// there is none.
	Idempotency string
	// Hops is the number of times that daemons have forwarded the call.
	Hops int

	// Host is the virtual host of the caller's request; empty when the path names
	// the service.
	Host string
	// Origin is the service that runs on the host where the call entered the fleet.
	Origin ident.Service
	// Point is the numeric key of the call in an ordered key space. It is valid if
	// Ordered is set.
	Point   uint32
	Ordered bool
	// Terms is the route's policy for the call, such as timeouts and retries.
	Terms RoutePolicy
	// Answered is set when a daemon has seen an answer to the same request lately, which
	// proves that it does not crash upstreams.
	Answered bool
	// Trail lists the hosts to which this daemon has sent the call so far, in order.
	// It is only logged.
	Trail []ident.Host
}

// Keyed reports whether the call has a routing key, so that only the key's owner
// may run it.
func (c *Call) Keyed() bool {
	return c.Key != ""
}

// IsIdempotent reports whether the call's method may be repeated without an
// idempotency key, as RFC 9110 section 9.2.2 defines it.
func (c *Call) IsIdempotent() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// IsReadOnly reports whether the call's method is safe, which means that it requests
// no change of state, as RFC 9110 section 9.2.1 defines it.
func (c *Call) IsReadOnly() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// Reply is an upstream's answer. Reading Body fails with an error other than io.EOF
// when the answer is truncated.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 when it is unknown.
	Length int64
	// Replayed is set when the answer was read from the idempotency journal.
	Replayed bool
}

// Executor executes calls.
type Executor interface {
	// Run executes a call and returns its answer. An error is always a *Error.
	Run(ctx context.Context, call *Call) (*Reply, error)
}
